//! Growth of figures with one size of the plan: a line fitted through several runs, its residual, and the
//! exponent of a power law.

/// Largest residual of a line that fits, relative to the mean of the figure.
const MAX_RESIDUAL: f64 = 0.1;

/// The value of a figure in a run of one size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// Value of the varied size.
    pub size: f64,
    /// Value of the figure.
    pub value: f64,
}

/// A least-squares line `intercept + slope * size`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinearFit {
    /// Value at size 0.
    pub intercept: f64,
    /// Growth per unit of size.
    pub slope: f64,
    /// Root of the mean squared distance from the line, relative to the figure's mean absolute value.
    pub residual: f64,
    /// Exponent of a power law, fitted to the logarithms; `None` unless all sizes and values are positive.
    pub power: Option<f64>,
}

impl LinearFit {
    /// Returns whether the line fits the points.
    pub fn is_line(&self) -> bool {
        self.residual <= MAX_RESIDUAL
    }

    /// Returns the line's value at a size.
    pub fn value_at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

struct Coefficients {
    intercept: f64,
    slope: f64,
}

fn least_squares(points: &[Point]) -> Coefficients {
    let mean_size = mean(points.iter().map(|point| point.size));
    let mean_value = mean(points.iter().map(|point| point.value));
    let covariance: f64 = points
        .iter()
        .map(|point| (point.size - mean_size) * (point.value - mean_value))
        .sum();
    let variance: f64 = points
        .iter()
        .map(|point| (point.size - mean_size).powi(2))
        .sum();
    let slope = match variance > 0.0 {
        true => covariance / variance,
        false => 0.0,
    };
    Coefficients {
        intercept: mean_value - slope * mean_size,
        slope,
    }
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len() as f64;
    values.sum::<f64>() / count
}

/// Fits a line to a figure's values by size; returns `None` for fewer than two points.
pub fn fit(points: &[Point]) -> Option<LinearFit> {
    if points.len() < 2 {
        return None;
    }
    let Coefficients { intercept, slope } = least_squares(points);
    let squares = points
        .iter()
        .map(|point| (point.value - intercept - slope * point.size).powi(2));
    let distance_rms = mean(squares).sqrt();
    let magnitude = mean(points.iter().map(|point| point.value.abs()));
    let residual = match magnitude > 0.0 {
        true => distance_rms / magnitude,
        false => 0.0,
    };
    Some(LinearFit {
        intercept,
        slope,
        residual,
        power: power(points),
    })
}

fn power(points: &[Point]) -> Option<f64> {
    let is_positive = |point: &Point| point.size > 0.0 && point.value > 0.0;
    if !points.iter().all(is_positive) {
        return None;
    }
    let logarithms: Vec<Point> = points
        .iter()
        .map(|point| Point {
            size: point.size.ln(),
            value: point.value.ln(),
        })
        .collect();
    Some(least_squares(&logarithms).slope)
}

/// Returns one row of a table with the figure at each size and the fitted line.
pub fn row(name: &str, points: &[Point]) -> String {
    let values: Vec<String> = points
        .iter()
        .map(|point| format!("{:.4}", point.value))
        .collect();
    let values = values.join(" | ");
    let Some(fitted) = fit(points) else {
        return format!("{name} | {values}");
    };
    let power = fitted
        .power
        .map_or("-".to_string(), |power| format!("{power:.2}"));
    let shape = match fitted.is_line() {
        true => "line",
        false => "no line",
    };
    format!(
        "{name} | {values} | {:.5} + {:.8} x | {:.3} | {power} | {shape}",
        fitted.intercept, fitted.slope, fitted.residual
    )
}
