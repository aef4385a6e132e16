//! Ratios of two results, figure by figure.

use super::figures::Figures;
use std::fmt::Write;

/// A table of all main figures: before, now, and the ratio where there is one.
pub fn table(before: &Figures, now: &Figures) -> String {
    let mut text =
        String::from("figure                                      before          now   ratio\n");
    let figures = before.main_figures().into_iter().zip(now.main_figures());
    for (old, new) in figures {
        let ratio = match old.value.abs() > f64::EPSILON {
            true => format!("{:.3}", new.value / old.value),
            false => "-".to_string(),
        };
        let (name, old, new) = (old.name, old.value, new.value);
        // Writing to a string can't fail.
        let _ = writeln!(text, "{name:38} {old:12.3} {new:12.3} {ratio:>7}");
    }
    text
}
