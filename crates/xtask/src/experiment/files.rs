//! Writes the results of experiments to files.

use super::plot::plot;
use super::{table, DayResult, ExperimentError};
use crate::file_error::FileError;
use glenmount_simulation::outcome::{Durations, Outcome};
use serde_json::json;
use std::collections::BTreeMap;
use std::path::Path;

/// Returns the durations of one kind in an outcome.
type DurationsOf = fn(&Outcome) -> &Durations;
/// The plotted kinds of durations, with the names that file names and titles have.
const PLOTTED: [(&str, DurationsOf); 4] = [
    ("noticed", |o| &o.failure_detection),
    ("heard", |o| &o.worker_reconnection),
    ("first-claim", |o| &o.first_start_after_failure),
    ("submitted", |o| &o.time_to_acceptance),
];

/// Writes the table, the figures as JSON, and one plot per day and kind of duration with a curve for each variant.
///
/// # Errors
///
/// Names the file that cannot be written.
pub fn write(results: &[DayResult], dir: &Path) -> Result<(), ExperimentError> {
    std::fs::create_dir_all(dir).map_err(FileError::at(dir))?;
    let path = dir.join("table.txt");
    std::fs::write(&path, table(results)).map_err(FileError::at(&path))?;
    let figures = results.iter().map(|result| {
        json!({
            "day": result.day, "variant": result.variant, "broken": result.broken_rules,
            "failed": result.outcome.failed(), "figures": result.outcome,
        })
    });
    let figures: Vec<_> = figures.collect();
    let path = dir.join("figures.json");
    let body = serde_json::to_string_pretty(&figures)?;
    std::fs::write(&path, body).map_err(FileError::at(&path))?;
    let mut days: BTreeMap<&str, Vec<&DayResult>> = BTreeMap::new();
    for result in results {
        days.entry(&result.day).or_default().push(result);
    }
    for (day, variants) in days {
        for (kind, durations) in &PLOTTED {
            let curves = variants
                .iter()
                .map(|result| {
                    (
                        result.variant.clone(),
                        durations(&result.outcome).cumulative_distribution(),
                    )
                })
                .filter(|(_, curve)| curve.len() > 1);
            let curves: Vec<(String, Vec<(f64, f64)>)> = curves.collect();
            if !curves.is_empty() {
                let path = dir.join(format!("{day}-{kind}.svg"));
                plot(&path, &format!("{day}: {kind}"), &curves)?;
            }
        }
    }
    Ok(())
}
