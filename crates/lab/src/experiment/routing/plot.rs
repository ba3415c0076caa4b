//! Plots of latency by quantile.

use std::path::Path;

use plotters::prelude::*;

use super::PolicyResult;
use crate::error::LabError;

const SIZE: (u32, u32) = (800, 480);
const COLOURS: [RGBColor; 3] = [RGBColor(0, 110, 180), RGBColor(200, 80, 0), RGBColor(90, 90, 90)];
/// Quantiles are drawn from the median up to this.
const HIGHEST_QUANTILE: f64 = 0.999;
const POINTS: u32 = 200;

/// Draws the time to the first token by quantile, one line for each policy.
pub fn latency(path: &Path, title: &str, results: &[PolicyResult]) -> Result<(), LabError> {
    let drawn = draw(path, title, results);
    drawn.map_err(|error| LabError::Part { part: "plot", message: format!("{}: {error}", path.display()) })
}

fn draw(path: &Path, title: &str, results: &[PolicyResult]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let highest = results.iter().map(|result| at(result, HIGHEST_QUANTILE)).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.5..HIGHEST_QUANTILE, (1.0..highest * 1.1).log_scale())?;
    chart.configure_mesh().x_desc("quantile").y_desc("time to the first token, ms").draw()?;
    for (result, colour) in results.iter().zip(COLOURS) {
        let points = (0..=POINTS).map(|point| {
            let quantile = 0.5 + (HIGHEST_QUANTILE - 0.5) * f64::from(point) / f64::from(POINTS);
            (quantile, at(result, quantile).max(1.0))
        });
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(result.kind.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

/// Milliseconds at a quantile.
fn at(result: &PolicyResult, quantile: f64) -> f64 {
    result.live_first.value_at_quantile(quantile) as f64 / 1_000.0
}
