//! What was played, as files.

use super::plot::plot;
use super::{table, Played};
use glenmount_simulation::measure::{Outcome, Times};
use std::collections::BTreeMap;
use std::path::Path;

/// Writes the table, the figures as JSON, and one plot of each kind of time with a curve per variant.
pub fn write(played: &[Played], dir: &Path) -> Result<(), String> {
    let failed = |what: &Path, e: String| format!("{}: {e}", what.display());
    std::fs::create_dir_all(dir).map_err(|e| failed(dir, e.to_string()))?;
    let text = dir.join("table.txt");
    std::fs::write(&text, table(played)).map_err(|e| failed(&text, e.to_string()))?;
    let figures: Vec<_> = played
        .iter()
        .map(|p| {
            serde_json::json!({
                "day": p.day, "variant": p.variant, "broken": p.broken,
                "failed": p.outcome.failed(), "figures": p.outcome,
            })
        })
        .collect();
    let json = dir.join("figures.json");
    let body = serde_json::to_string_pretty(&figures).map_err(|e| e.to_string())?;
    std::fs::write(&json, body).map_err(|e| failed(&json, e.to_string()))?;
    let mut days: BTreeMap<&str, Vec<&Played>> = BTreeMap::new();
    for p in played {
        days.entry(&p.day).or_default().push(p);
    }
    type Pick = fn(&Outcome) -> &Times;
    let kinds: [(&str, Pick); 4] = [
        ("noticed", |o| &o.noticed),
        ("heard", |o| &o.heard),
        ("first-claim", |o| &o.first_claim),
        ("submitted", |o| &o.submitted),
    ];
    for (day, variants) in days {
        for (kind, pick) in &kinds {
            let curves: Vec<(String, Vec<(f64, f64)>)> = variants
                .iter()
                .map(|p| (p.variant.clone(), pick(&p.outcome).curve()))
                .filter(|(_, curve)| curve.len() > 1)
                .collect();
            if !curves.is_empty() {
                let path = dir.join(format!("{day}-{kind}.svg"));
                plot(&path, &format!("{day}: {kind}"), &curves).map_err(|e| failed(&path, e))?;
            }
        }
    }
    Ok(())
}
