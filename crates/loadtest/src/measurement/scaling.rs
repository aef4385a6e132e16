//! How figures grow with one size: a line through several runs, its residual, and the power if no line
//! fits.

use serde::Serialize;

/// A line fails to fit when its residual is larger than this part of the mean.
const RESIDUAL_OF_A_LINE: f64 = 0.1;

/// A least-squares line `base + slope * size`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct LinearFit {
    pub base: f64,
    pub slope: f64,
    /// Root of the mean squared distance from the line, as a part of the figure's mean.
    pub residual: f64,
    /// The power of the size with which the figure grows, from logarithms; none with zeros about.
    pub power: Option<f64>,
}

impl LinearFit {
    pub fn fits(&self) -> bool {
        self.residual <= RESIDUAL_OF_A_LINE
    }

    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

fn least_squares(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = match variance > 0.0 {
        true => covariance / variance,
        false => 0.0,
    };
    (mean_y - slope * mean_x, slope)
}

/// Fits a line to figures by size; none with fewer than two sizes.
pub fn fit(points: &[(f64, f64)]) -> Option<LinearFit> {
    if points.len() < 2 {
        return None;
    }
    let (base, slope) = least_squares(points);
    let squares = points.iter().map(|(x, y)| (y - base - slope * x).powi(2));
    let distance = (squares.sum::<f64>() / points.len() as f64).sqrt();
    let mean = points.iter().map(|(_, y)| y.abs()).sum::<f64>() / points.len() as f64;
    let residual = match mean > 0.0 {
        true => distance / mean,
        false => 0.0,
    };
    let positive = points.iter().all(|(x, y)| *x > 0.0 && *y > 0.0);
    let logarithms: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
    Some(LinearFit {
        base,
        slope,
        residual,
        power: positive.then(|| least_squares(&logarithms).1),
    })
}

/// One row of a table: the figure at each size, and the line through them.
pub fn row(name: &str, points: &[(f64, f64)]) -> String {
    let values: Vec<String> = points.iter().map(|(_, y)| format!("{y:.4}")).collect();
    let Some(line) = fit(points) else {
        return format!("{name} | {}", values.join(" | "));
    };
    let power = line
        .power
        .map_or("-".to_string(), |power| format!("{power:.2}"));
    let shape = match line.fits() {
        true => "line",
        false => "no line",
    };
    format!(
        "{name} | {} | {:.5} + {:.8} x | {:.3} | {power} | {shape}",
        values.join(" | "),
        line.base,
        line.slope,
        line.residual
    )
}
