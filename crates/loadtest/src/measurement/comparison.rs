//! Comparison of two results by the ratio of each figure.

use super::figures::Figures;
use std::fmt::Write;

/// Returns a table of all main figures with both values and their ratio, `-` if the earlier value is 0.
pub fn table(earlier: &Figures, current: &Figures) -> String {
    let mut text =
        String::from("figure                                      before          now   ratio\n");
    let figures = earlier
        .main_figures()
        .into_iter()
        .zip(current.main_figures());
    for (old, new) in figures {
        let ratio = match old.value.abs() > f64::EPSILON {
            true => format!("{:.3}", new.value / old.value),
            false => "-".to_string(),
        };
        let (name, old, new) = (old.name, old.value, new.value);
        // Writing to a string never fails.
        let _ = writeln!(text, "{name:38} {old:12.3} {new:12.3} {ratio:>7}");
    }
    text
}
