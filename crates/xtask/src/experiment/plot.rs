//! Plots distributions of durations with a curve for each variant.

use super::ExperimentError;
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    BLACK, WHITE,
};
use std::path::Path;

/// Draws named curves of points (milliseconds, share).
pub(super) fn plot(
    path: &Path,
    title: &str,
    curves: &[(String, Vec<(f64, f64)>)],
) -> Result<(), ExperimentError> {
    let last_ms = curves.iter().flat_map(|(_, c)| c.last()).map(|p| p.0);
    let max_ms = last_ms.fold(1.0, f64::max);
    let area = SVGBackend::new(path, (720, 420)).into_drawing_area();
    let draw = || -> Result<(), Box<dyn std::error::Error>> {
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..max_ms, 0.0..1.0)?;
        chart
            .configure_mesh()
            .x_desc("milliseconds (simulated)")
            .y_desc("share that took no longer")
            .draw()?;
        for (index, (name, curve)) in curves.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            chart
                .draw_series(LineSeries::new(curve.iter().copied(), &colour))?
                .label(name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    };
    draw().map_err(|error| ExperimentError::Plot {
        path: path.to_path_buf(),
        problem: error.to_string(),
    })
}
