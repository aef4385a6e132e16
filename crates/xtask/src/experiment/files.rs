//! What was played, as files.

use super::plot::plot;
use super::{table, ExperimentError, Played};
use crate::file_error::FileError;
use glenmount_simulation::outcome::{Durations, Outcome};
use serde_json::json;
use std::collections::BTreeMap;
use std::path::Path;

/// The kinds of times that are plotted: the file's name, and where an outcome has them.
type TimesOf = fn(&Outcome) -> &Durations;
const PLOTTED: [(&str, TimesOf); 4] = [
    ("noticed", |o| &o.failure_detection),
    ("heard", |o| &o.worker_reconnection),
    ("first-claim", |o| &o.first_start_after_failure),
    ("submitted", |o| &o.time_to_acceptance),
];

/// Writes the table, the figures as JSON, and one plot of each kind of time with a curve per variant.
///
/// # Errors
///
/// Names the file that can't be written.
pub fn write(played: &[Played], dir: &Path) -> Result<(), ExperimentError> {
    std::fs::create_dir_all(dir).map_err(FileError::at(dir))?;
    let text = dir.join("table.txt");
    std::fs::write(&text, table(played)).map_err(FileError::at(&text))?;
    let figures = played.iter().map(|p| {
        json!({
            "day": p.day, "variant": p.variant, "broken": p.broken,
            "failed": p.outcome.failed(), "figures": p.outcome,
        })
    });
    let figures: Vec<_> = figures.collect();
    let path = dir.join("figures.json");
    let body = serde_json::to_string_pretty(&figures)?;
    std::fs::write(&path, body).map_err(FileError::at(&path))?;
    let mut days: BTreeMap<&str, Vec<&Played>> = BTreeMap::new();
    for p in played {
        days.entry(&p.day).or_default().push(p);
    }
    for (day, variants) in days {
        for (kind, times) in &PLOTTED {
            let curves = variants
                .iter()
                .map(|p| {
                    (
                        p.variant.clone(),
                        times(&p.outcome).cumulative_distribution(),
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
