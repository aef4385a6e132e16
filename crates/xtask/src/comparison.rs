//! What a run's entries say against the base.

use crate::baseline::{is_drawn, Base};
use crate::journal::{Day, Entry};
use serde::Serialize;
use std::collections::BTreeMap;
use thiserror::Error;

/// What a figure may lose: less is noise, by the users' word.
pub const MAX_FALL: f64 = 0.03;

/// A day of which less than this share of any class or team was served counts as failed, by the users'
/// word.
pub const MIN_SERVED_SHARE: f64 = 0.5;

/// Rounding of figures, which have four digits.
const FIGURE_TOLERANCE: f64 = 1e-6;

/// The name under which the days that were drawn for one run are taken together.
const DRAWN: &str = "drawn";

/// A template that can't be filled in.
#[derive(Debug, Error)]
#[error("template: {0:#}")]
pub struct TemplateError(#[from] minijinja::Error);

/// One line of the table. Templates know the fields by their names here.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct ComparisonRow {
    /// The site's name.
    pub site: String,
    /// A day's name, `hunted` for all of a hunt, or `score` for the site's figure.
    pub what: String,
    /// Plays that it is the mean of.
    pub plays: usize,
    /// The mean of their figures, 0 to 1.
    pub figure: Option<f64>,
    /// The lowest figure of the base.
    pub base: Option<f64>,
    /// How many figures the base has.
    pub of: usize,
    /// The figure less that of the base.
    pub change: Option<f64>,
    /// Why it fails, if it does.
    pub fails: Option<String>,
    /// It is a fall that more plays may show to be luck.
    pub fell: bool,
}

/// One row for each site's figure and each day, several plays of a day taken together. Sites that
/// were to be played and have no entry fail.
pub fn rows(base: &Base, wanted: &[String], entries: &[Entry]) -> Vec<ComparisonRow> {
    let mut rows = Vec::new();
    for site in wanted {
        let of: Vec<&Entry> = (entries.iter())
            .filter(|e| e.site.as_ref() == Some(site))
            .collect();
        rows.extend(site_rows(base, site, &of));
    }
    for entry in entries {
        let known = entry.site.as_ref().is_some_and(|s| wanted.contains(s));
        if !known {
            let mut row = empty(entry.site.as_deref().unwrap_or("-"), &entry.id);
            let error = entry
                .error
                .as_deref()
                .unwrap_or("it names no site asked for");
            row.fails = Some(error.to_string());
            rows.push(row);
        }
    }
    rows
}

fn empty(site: &str, what: &str) -> ComparisonRow {
    ComparisonRow {
        site: site.into(),
        what: what.into(),
        plays: 0,
        figure: None,
        base: None,
        of: 0,
        change: None,
        fails: None,
        fell: false,
    }
}

fn site_rows(base: &Base, site: &str, entries: &[&Entry]) -> Vec<ComparisonRow> {
    let mut rows = Vec::new();
    if entries.is_empty() {
        let mut row = empty(site, "score");
        row.fails = Some("not played".into());
        return vec![row];
    }
    let known = base.sites.get(site);
    let scores: Vec<f64> = (entries.iter())
        .filter(|e| e.cmd == "score" && !e.quick())
        .filter_map(|e| e.score)
        .collect();
    let full = known.map_or(&[][..], |k| &k.score);
    if !scores.is_empty() {
        rows.push(compared(empty(site, "score"), &scores, full));
    }
    let mut days: BTreeMap<&str, Plays> = BTreeMap::new();
    for entry in entries {
        if !entry.ok || entry.edited_meanwhile {
            let why = entry.error.as_deref();
            let why = why.unwrap_or("it did not end well, or the sources changed meanwhile");
            days.entry("all").or_default().troubles.push(why.into());
        }
        for day in &entry.days {
            let name = match is_drawn(&day.name) {
                true => DRAWN,
                false => day.name.as_str(),
            };
            let plays = days.entry(name).or_default();
            plays.figures.extend(day.score);
            let troubles = troubles(day);
            match name {
                DRAWN => {
                    let named = troubles.iter().map(|what| format!("{}: {what}", day.name));
                    plays.troubles.extend(named);
                }
                _ => plays.troubles.extend(troubles),
            }
        }
    }
    for (name, plays) in days {
        let of = known.and_then(|k| k.days.get(name));
        let mut row = compared(empty(site, name), &plays.figures, of.map_or(&[], |v| v));
        if !plays.troubles.is_empty() {
            row.fails = Some(plays.troubles.join("; "));
            row.fell = false;
        }
        rows.push(row);
    }
    rows
}

/// All plays of a day.
#[derive(Default)]
struct Plays {
    figures: Vec<f64>,
    /// What makes the day fail whatever its figures are.
    troubles: Vec<String>,
}

/// What makes a day fail whatever its figure is.
fn troubles(day: &Day) -> Vec<String> {
    let mut found = Vec::new();
    if !day.rules.is_empty() {
        let broken = day
            .rules
            .iter()
            .map(|(rule, count)| format!("{count} {rule}"));
        let broken: Vec<String> = broken.collect();
        found.push(format!("rules broken: {}", broken.join(", ")));
    }
    if let Some(fault) = &day.fault {
        found.push(format!("not played to its end: {fault}"));
    }
    if day.restarts > 0.0 {
        found.push(format!("{} controllers ended by themselves", day.restarts));
    }
    for (of, _, share) in day.served.iter().filter(|s| s.2 < MIN_SERVED_SHARE) {
        found.push(format!("only {share:.2} of {of} was served"));
    }
    if day.score.is_none() {
        found.push("it has no figure".into());
    }
    found
}

fn compared(mut row: ComparisonRow, figures: &[f64], base: &[f64]) -> ComparisonRow {
    row.plays = figures.len();
    row.of = base.len();
    row.base = base.iter().copied().reduce(f64::min);
    if !figures.is_empty() {
        row.figure = Some(figures.iter().sum::<f64>() / figures.len() as f64);
    }
    if let (Some(now), Some(before)) = (row.figure, row.base) {
        row.change = Some(now - before);
        // Figures have four digits: what is 0.03 in them is no more than that.
        row.fell = now < before - MAX_FALL - FIGURE_TOLERANCE;
        if row.fell {
            row.fails = Some(format!("fell by more than {MAX_FALL}"));
        }
    }
    row
}

/// The table, from a template so that a report in another form needs no code.
///
/// # Errors
///
/// If the template makes no sense.
pub fn table(rows: &[ComparisonRow], template: &str) -> Result<String, TemplateError> {
    let mut env = minijinja::Environment::new();
    env.set_keep_trailing_newline(true);
    env.add_filter("fixed", |x: Option<f64>, digits: usize| {
        x.map_or("-".to_string(), |x| format!("{x:.digits$}"))
    });
    env.add_filter("signed", |x: Option<f64>| {
        x.map_or("-".to_string(), |x| format!("{x:+.3}"))
    });
    env.add_filter("wide", |s: String, n: usize| format!("{s:<n$}"));
    let failed = rows.iter().filter(|r| r.fails.is_some()).count();
    let context = minijinja::context! { rows => rows, failed => failed };
    Ok(env.render_str(template, context)?)
}

/// The usual template.
pub const TABLE: &str = include_str!("../templates/table.txt");
