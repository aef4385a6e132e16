//! Ratios of two results, figure by figure.

use crate::measurement::result::Figures;
use std::fmt::Write;

/// A table of all main figures: before, now, and the ratio where there is one.
pub fn table(before: &Figures, now: &Figures) -> String {
    let mut text =
        String::from("figure                                      before          now   ratio\n");
    for ((name, old), (_, new)) in before.main().into_iter().zip(now.main()) {
        let ratio = match old.abs() > f64::EPSILON {
            true => format!("{:.3}", new / old),
            false => "-".to_string(),
        };
        let _ = writeln!(text, "{name:38} {old:12.3} {new:12.3} {ratio:>7}");
    }
    text
}
