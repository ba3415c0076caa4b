//! Plots of a figure over the number of nodes, with its linear fit and the letter's limit.

use std::path::Path;

use plotters::prelude::{
    ChartBuilder, Circle, Color, IntoDrawingArea, LineSeries, PathElement, RED, RGBColor, SVGBackend, WHITE,
};

use super::fit::Fit;
use super::report::Figure;
use crate::error::LabError;

const SIZE_PIXELS: (u32, u32) = (800, 480);
const MEASURED: RGBColor = RGBColor(0, 90, 180);
const FITTED: RGBColor = RGBColor(120, 120, 120);

/// Draws `<file>.svg`.
pub(super) fn draw(folder: &Path, figure: &Figure, points: &[(f64, f64)]) -> Result<(), LabError> {
    let path = folder.join(format!("{}.svg", figure.file));
    draw_chart(&path, figure, points).map_err(|error| LabError::Part {
        part: "plot",
        message: format!("{}: {error}; give --output a folder that can be written", path.display()),
    })
}

fn draw_chart(path: &Path, figure: &Figure, points: &[(f64, f64)]) -> Result<(), Box<dyn std::error::Error>> {
    let largest = points.iter().map(|point| point.1).fold(figure.limit, f64::max);
    let nodes = points.iter().map(|point| point.0).fold(0.0, f64::max);
    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{} by number of nodes", figure.name), ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..nodes * 1.05, 0.0..largest * 1.1)?;
    chart.configure_mesh().x_desc("nodes").y_desc(figure.unit).draw()?;
    chart
        .draw_series(points.iter().map(|point| Circle::new(*point, 4, MEASURED.filled())))?
        .label("measured")
        .legend(|(x, y)| Circle::new((x + 10, y), 4, MEASURED.filled()));
    if let Some(fit) = Fit::least_squares(points) {
        chart
            .draw_series(LineSeries::new([(0.0, fit.at(0.0)), (nodes, fit.at(nodes))], FITTED))?
            .label("linear fit")
            .legend(|(x, y)| PathElement::new([(x, y), (x + 20, y)], FITTED));
    }
    chart
        .draw_series(LineSeries::new([(0.0, figure.limit), (nodes, figure.limit)], RED))?
        .label("limit of the letter")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 20, y)], RED));
    chart.configure_series_labels().border_style(FITTED).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
