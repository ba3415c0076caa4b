//! SVG plot of the time breakdown of steps, with one stacked bar for each step.
//!
//! The durations come from `step_account`.

use std::fmt::Write;

use crate::step_account::StepAccount;

/// Width of the image, in pixels.
const WIDTH: u64 = 900;
/// Left margin for the names of the steps, in pixels.
const LEFT_MARGIN: u64 = 70;
/// Right margin for the total time of a step, in pixels.
const RIGHT_MARGIN: u64 = 90;
/// Width of one entry of the legend, in pixels.
const LEGEND_ENTRY_WIDTH: u64 = 90;
/// Height of a bar, in pixels.
const BAR_HEIGHT: u64 = 18;
/// Distance between the tops of two bars, in pixels.
const ROW_HEIGHT: u64 = 24;
/// Top margin for the legend, in pixels.
const TOP_MARGIN: u64 = 40;

/// Names and colours of the parts of a bar.
const PARTS: [(&str, &str); 6] = [
    ("wait", "#9aa5b1"),
    ("run", "#3b7dd8"),
    ("gap", "#d64545"),
    ("score", "#e9b949"),
    ("list", "#8a63d2"),
    ("read", "#57ae5b"),
];

const fn part_ms(account: &StepAccount, part: usize) -> u64 {
    match part {
        0 => account.wait_ms,
        1 => account.run_ms,
        2 => account.gap_ms,
        3 => account.score_ms,
        4 => account.list_ms,
        _ => account.read_ms,
    }
}

/// Renders the plot as SVG.
pub fn render(accounts: &[StepAccount]) -> String {
    let longest = accounts.iter().map(|account| account.total_ms).max().unwrap_or(1).max(1);
    let height = TOP_MARGIN + ROW_HEIGHT * accounts.len() as u64 + 20;
    let scale = |milliseconds: u64| milliseconds * (WIDTH - LEFT_MARGIN - RIGHT_MARGIN) / longest;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" font-family=\"sans-serif\" \
         font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    // Writing to a string can't fail.
    for (number, (name, colour)) in PARTS.iter().enumerate() {
        let x = LEFT_MARGIN + LEGEND_ENTRY_WIDTH * number as u64;
        let _ = writeln!(svg, "<rect x=\"{x}\" y=\"12\" width=\"12\" height=\"12\" fill=\"{colour}\"/>");
        let _ = writeln!(svg, "<text x=\"{}\" y=\"22\">{name}</text>", x + 16);
    }
    for (row, account) in accounts.iter().enumerate() {
        let y = TOP_MARGIN + ROW_HEIGHT * row as u64;
        let _ = writeln!(svg, "<text x=\"8\" y=\"{}\">step {}</text>", y + 13, account.step);
        let mut x = LEFT_MARGIN;
        for (part, (_, colour)) in PARTS.iter().enumerate() {
            let width = scale(part_ms(account, part));
            let _ = writeln!(
                svg,
                "<rect x=\"{x}\" y=\"{y}\" width=\"{width}\" height=\"{BAR_HEIGHT}\" fill=\"{colour}\"/>"
            );
            x += width;
        }
        let seconds = account.total_ms as f64 / 1_000.0;
        let _ = writeln!(svg, "<text x=\"{}\" y=\"{}\">{seconds:.1} s</text>", x + 6, y + 13);
    }
    svg.push_str("</svg>\n");
    svg
}
