//! Text tables with aligned columns.

/// Separator between two columns.
const COLUMN_GAP: &str = "  ";

/// A table that is rendered as text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a row of headings.
    pub fn new(headings: &[&str]) -> Self {
        Self { rows: vec![headings.iter().map(|heading| (*heading).to_owned()).collect()] }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Renders one line for each row, without trailing blanks.
    pub fn render(&self) -> String {
        let widths = self.widths();
        let lines: Vec<String> = self.rows.iter().map(|row| render_row(row, &widths)).collect();
        lines.join("\n")
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        (0..columns).map(|column| self.width_of(column)).collect()
    }

    fn width_of(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

fn render_row(row: &[String], widths: &[usize]) -> String {
    let padded = row.iter().zip(widths).map(|(cell, &width)| format!("{cell:width$}"));
    let cells: Vec<String> = padded.collect();
    cells.join(COLUMN_GAP).trim_end().to_owned()
}
