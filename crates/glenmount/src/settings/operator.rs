//! The operators' own settings.

use super::checks::check;
use glenmount_core::settings::LearnedUse;
use glenmount_core::tuning::Tuning;
use serde::Deserialize;

/// Operators' own settings. Every one has a default; see `deploy/operator-settings.xml`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename = "operator-settings")]
pub struct Operator {
    #[serde(rename = "idle-return-s")]
    pub(super) idle_return_s: Option<f64>,
    #[serde(rename = "learned-run-times")]
    pub(super) learned_run_times: Option<LearnedXml>,
    /// Whether machines of lost zones are ended for what they hold.
    #[serde(rename = "end-machines-of-lost-zones")]
    lost_zones: Option<bool>,
    /// Whether services are spread evenly over zones, and moved back to that after one was lost.
    #[serde(rename = "even-spread-over-zones")]
    even_spread: Option<bool>,
    /// Whether the largest jobs are put off when not all can be in time.
    #[serde(rename = "put-off-jobs")]
    put_off: Option<bool>,
    /// The share of a service's tasks that one machine gets while others serve it as well.
    #[serde(rename = "service-share-per-machine")]
    machine_share_of_service: Option<f64>,
}

/// The newer parts' switches; the rest of what experiments vary stays as it is.
pub(super) fn tuning(operator: &Operator) -> Result<Tuning, String> {
    let usual = Tuning::default();
    let machine_share_of_service = operator
        .machine_share_of_service
        .unwrap_or(usual.machine_share_of_service);
    check(
        machine_share_of_service > 0.0 && machine_share_of_service <= 1.0,
        "operator-settings.service-share-per-machine",
        "must be above 0 and at most 1",
    )?;
    Ok(Tuning {
        lost_zones: operator.lost_zones.unwrap_or(usual.lost_zones),
        put_off: operator.put_off.unwrap_or(usual.put_off),
        even_spread: operator.even_spread.unwrap_or(usual.even_spread),
        machine_share_of_service,
        ..usual
    })
}

/// Run times are learned where this stands, and used for what it names.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct LearnedXml {
    #[serde(rename = "for")]
    uses: Vec<String>,
}

pub(super) fn learned(xml: &LearnedXml) -> Result<LearnedUse, String> {
    let mut learned = LearnedUse {
        learn: true,
        ..LearnedUse::default()
    };
    for what in &xml.uses {
        match what.as_str() {
            "order" => learned.order = true,
            "due" => learned.due = true,
            "stops" => learned.stops = true,
            "notice" => learned.notice = true,
            _ => {
                return Err(format!(
                    "operator-settings.learned-run-times.for: must be order, due, stops or notice, not {what:?}"
                ))
            }
        }
    }
    Ok(learned)
}

pub fn operator(xml: &str) -> Result<Operator, String> {
    quick_xml::de::from_str(xml).map_err(|e| format!("operator settings: {e}"))
}
