//! The operators' own settings.

use super::checks::{check, seconds_as_ms, SettingsError};
use glenmount_core::constants::IDLE_TIMEOUT_MS;
use glenmount_core::settings::RuntimeEstimateUse;
use glenmount_core::tuning::Tuning;
use serde::Deserialize;

/// Operators' own settings. Every one has a default; see `deploy/operator-settings.xml`.
///
/// What is expected stands in texts of errors that operators see, as below.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename = "operator-settings", expecting = "struct Operator")]
pub struct OperatorSettings {
    /// Seconds after which a machine with nothing to do is returned.
    #[serde(rename = "idle-return-s")]
    idle_return_s: Option<f64>,
    /// Run times are learned where this stands.
    #[serde(rename = "learned-run-times")]
    learned_run_times: Option<LearnedRunTimes>,
    /// Whether machines of lost zones are terminated for what they hold.
    #[serde(rename = "end-machines-of-lost-zones")]
    evacuates_lost_zones: Option<bool>,
    /// Whether services are spread evenly over zones, and moved back to that after one was lost.
    #[serde(rename = "even-spread-over-zones")]
    spreads_evenly: Option<bool>,
    /// Whether the largest jobs are deferred when not all can be in time.
    #[serde(rename = "put-off-jobs")]
    defers_jobs: Option<bool>,
    /// The share of a service's tasks that one machine gets while others serve it as well.
    #[serde(rename = "service-share-per-machine")]
    service_share_per_machine: Option<f64>,
}

/// What learned run times are used for, by name.
#[derive(Debug, Default, Deserialize)]
#[serde(default, expecting = "struct LearnedXml")]
struct LearnedRunTimes {
    #[serde(rename = "for")]
    uses: Vec<String>,
}

/// Reads the operators' settings file.
///
/// # Errors
/// The text is not XML, or a value is of the wrong type.
pub fn read_operator_settings(xml: &str) -> Result<OperatorSettings, SettingsError> {
    Ok(quick_xml::de::from_str(xml)?)
}

impl OperatorSettings {
    /// Milliseconds after which a machine with nothing to do is returned.
    pub fn idle_return_ms(&self) -> Result<u64, SettingsError> {
        match self.idle_return_s {
            Some(seconds) => seconds_as_ms("operator-settings.idle-return-s", seconds, 1.0),
            None => Ok(IDLE_TIMEOUT_MS),
        }
    }

    /// Whether run times are learned, and what for.
    pub fn learned_use(&self) -> Result<RuntimeEstimateUse, SettingsError> {
        let mut learned = RuntimeEstimateUse::default();
        let Some(run_times) = &self.learned_run_times else {
            return Ok(learned);
        };
        learned.enabled = true;
        for name in &run_times.uses {
            match name.as_str() {
                "order" => learned.queue_order = true,
                "due" => learned.due_times = true,
                "stops" => learned.preemption = true,
                "notice" => learned.termination_notice = true,
                _ => {
                    return Err(SettingsError::Field {
                        field: "operator-settings.learned-run-times.for".into(),
                        rule: format!("must be order, due, stops or notice, not {name:?}"),
                    })
                }
            }
        }
        Ok(learned)
    }

    /// The newer parts' switches; the rest of what experiments vary stays as it is.
    pub fn tuning(&self) -> Result<Tuning, SettingsError> {
        let default = Tuning::default();
        let machine_share_of_service = self
            .service_share_per_machine
            .unwrap_or(default.machine_share_of_service);
        check(
            machine_share_of_service > 0.0 && machine_share_of_service <= 1.0,
            "operator-settings.service-share-per-machine",
            "must be above 0 and at most 1",
        )?;
        Ok(Tuning {
            evacuate_zones: self.evacuates_lost_zones.unwrap_or(default.evacuate_zones),
            defer_jobs: self.defers_jobs.unwrap_or(default.defer_jobs),
            even_zone_spread: self.spreads_evenly.unwrap_or(default.even_zone_spread),
            machine_share_of_service,
            ..default
        })
    }
}
