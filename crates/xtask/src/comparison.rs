//! Compares the journal entries of a run with the baseline.

use crate::baseline::{is_drawn, Baseline};
use crate::journal::{Day, Entry};
use serde::Serialize;
use std::collections::BTreeMap;
use thiserror::Error;

/// Largest decrease of a figure that counts as noise, as the users defined it.
pub const MAX_DECREASE: f64 = 0.03;

/// A day fails if less than this share of the work of a class or team was served, as the users defined it.
pub const MIN_SERVED_SHARE: f64 = 0.5;

/// Tolerance for the rounding of figures to four digits.
const FIGURE_TOLERANCE: f64 = 1e-6;

/// Name of the row for all randomly drawn days.
const DRAWN_DAYS: &str = "drawn";

/// A template cannot be rendered.
#[derive(Debug, Error)]
#[error("template: {0:#}")]
pub struct TemplateError(#[from] minijinja::Error);

/// One row of the table. Templates use the serialised names of the fields.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct ComparisonRow {
    /// The site's name.
    pub site: String,
    /// The day's name, `drawn` for all randomly drawn days, or `score` for the site's score.
    #[serde(rename = "what")]
    pub name: String,
    /// Number of runs.
    #[serde(rename = "plays")]
    pub runs: usize,
    /// The mean figure of the runs, from 0 to 1.
    pub figure: Option<f64>,
    /// The lowest figure of the baseline.
    pub base: Option<f64>,
    /// Number of figures of the baseline.
    #[serde(rename = "of")]
    pub base_count: usize,
    /// The difference of `figure` and `base`.
    pub change: Option<f64>,
    /// The reason why the row fails, if it does.
    #[serde(rename = "fails")]
    pub failure: Option<String>,
    /// Whether the figure decreased. Further runs may show that this was noise.
    #[serde(rename = "fell")]
    pub has_decreased: bool,
}

/// Returns one row for the score of each site and for each day, with several runs of a day combined. Requested sites
/// without an entry fail.
pub fn compare(baseline: &Baseline, requested: &[String], entries: &[Entry]) -> Vec<ComparisonRow> {
    let mut rows = Vec::new();
    for site in requested {
        let of_site: Vec<&Entry> = (entries.iter())
            .filter(|e| e.site.as_ref() == Some(site))
            .collect();
        rows.extend(site_rows(baseline, site, &of_site));
    }
    for entry in entries {
        let is_requested = entry.site.as_ref().is_some_and(|s| requested.contains(s));
        if !is_requested {
            let mut row = empty_row(entry.site.as_deref().unwrap_or("-"), &entry.id);
            let error = entry
                .error
                .as_deref()
                .unwrap_or("it names no site asked for");
            row.failure = Some(error.to_string());
            rows.push(row);
        }
    }
    rows
}

fn empty_row(site: &str, name: &str) -> ComparisonRow {
    ComparisonRow {
        site: site.into(),
        name: name.into(),
        runs: 0,
        figure: None,
        base: None,
        base_count: 0,
        change: None,
        failure: None,
        has_decreased: false,
    }
}

fn site_rows(baseline: &Baseline, site: &str, entries: &[&Entry]) -> Vec<ComparisonRow> {
    let mut rows = Vec::new();
    if entries.is_empty() {
        let mut row = empty_row(site, "score");
        row.failure = Some("not played".into());
        return vec![row];
    }
    let site_figures = baseline.sites.get(site);
    let scores: Vec<f64> = (entries.iter())
        .filter(|e| e.command == "score" && !e.is_quick())
        .filter_map(|e| e.score)
        .collect();
    let base_scores = site_figures.map_or(&[][..], |figures| &figures.score);
    if !scores.is_empty() {
        rows.push(with_figures(empty_row(site, "score"), &scores, base_scores));
    }
    let mut days: BTreeMap<&str, DayRuns> = BTreeMap::new();
    for entry in entries {
        if !entry.succeeded || entry.sources_changed {
            let error = entry.error.as_deref();
            let reason = error.unwrap_or("the run failed, or the sources changed during it");
            days.entry("all").or_default().failures.push(reason.into());
        }
        for day in &entry.days {
            let name = match is_drawn(&day.name) {
                true => DRAWN_DAYS,
                false => day.name.as_str(),
            };
            let runs = days.entry(name).or_default();
            runs.figures.extend(day.score);
            let failures = day_failures(day);
            match name {
                DRAWN_DAYS => {
                    let named = failures
                        .iter()
                        .map(|failure| format!("{}: {failure}", day.name));
                    runs.failures.extend(named);
                }
                _ => runs.failures.extend(failures),
            }
        }
    }
    for (name, runs) in days {
        let base_figures = site_figures.and_then(|figures| figures.days.get(name));
        let mut row = with_figures(
            empty_row(site, name),
            &runs.figures,
            base_figures.map_or(&[], |v| v),
        );
        if !runs.failures.is_empty() {
            row.failure = Some(runs.failures.join("; "));
            row.has_decreased = false;
        }
        rows.push(row);
    }
    rows
}

/// All runs of a day.
#[derive(Default)]
struct DayRuns {
    figures: Vec<f64>,
    /// Reasons why the day fails regardless of its figures.
    failures: Vec<String>,
}

/// Returns the reasons why a day fails regardless of its figure.
fn day_failures(day: &Day) -> Vec<String> {
    let mut failures = Vec::new();
    if !day.broken_rules.is_empty() {
        let broken = day
            .broken_rules
            .iter()
            .map(|(rule, count)| format!("{count} {rule}"));
        let broken: Vec<String> = broken.collect();
        failures.push(format!("rules broken: {}", broken.join(", ")));
    }
    if let Some(reason) = &day.abort_reason {
        failures.push(format!("not played to its end: {reason}"));
    }
    if day.controller_exits > 0.0 {
        failures.push(format!(
            "{} controllers ended by themselves",
            day.controller_exits
        ));
    }
    for (name, _, share) in day.served.iter().filter(|s| s.2 < MIN_SERVED_SHARE) {
        failures.push(format!("only {share:.2} of {name} was served"));
    }
    if day.score.is_none() {
        failures.push("it has no figure".into());
    }
    failures
}

fn with_figures(mut row: ComparisonRow, figures: &[f64], base_figures: &[f64]) -> ComparisonRow {
    row.runs = figures.len();
    row.base_count = base_figures.len();
    row.base = base_figures.iter().copied().reduce(f64::min);
    if !figures.is_empty() {
        row.figure = Some(figures.iter().sum::<f64>() / figures.len() as f64);
    }
    if let (Some(figure), Some(base)) = (row.figure, row.base) {
        row.change = Some(figure - base);
        // A decrease of 0.03 in figures of four digits is within the limit.
        row.has_decreased = figure < base - MAX_DECREASE - FIGURE_TOLERANCE;
        if row.has_decreased {
            row.failure = Some(format!("fell by more than {MAX_DECREASE}"));
        }
    }
    row
}

/// Renders the table from a template, so that a report in another form needs no code.
///
/// # Errors
///
/// If the template is invalid.
pub fn table(rows: &[ComparisonRow], template: &str) -> Result<String, TemplateError> {
    let mut environment = minijinja::Environment::new();
    environment.set_keep_trailing_newline(true);
    environment.add_filter("fixed", |x: Option<f64>, digits: usize| {
        x.map_or("-".to_string(), |x| format!("{x:.digits$}"))
    });
    environment.add_filter("signed", |x: Option<f64>| {
        x.map_or("-".to_string(), |x| format!("{x:+.3}"))
    });
    environment.add_filter("wide", |text: String, width: usize| {
        format!("{text:<width$}")
    });
    let failed = rows.iter().filter(|r| r.failure.is_some()).count();
    let context = minijinja::context! { rows => rows, failed => failed };
    Ok(environment.render_str(template, context)?)
}

/// The default template.
pub const DEFAULT_TEMPLATE: &str = include_str!("../templates/table.txt");
