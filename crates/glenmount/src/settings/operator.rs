//! The operators' settings file.

use super::checks::{check, seconds_as_ms, SettingsError};
use glenmount_core::constants::IDLE_TIMEOUT_MS;
use glenmount_core::settings::RuntimeEstimateUse;
use glenmount_core::tuning::Tuning;
use serde::Deserialize;

/// The operators' settings. Each has a default; see `deploy/operator-settings.xml`.
///
/// Error texts that operators see contain the value of `expecting`, here and in the other structs.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename = "operator-settings", expecting = "struct Operator")]
pub struct OperatorSettings {
    /// Time after which an idle machine is deleted.
    #[serde(rename = "idle-return-s")]
    idle_timeout_s: Option<f64>,
    /// Uses of runtime estimates. Run times are estimated if the element is present.
    #[serde(rename = "learned-run-times")]
    runtime_estimates: Option<RuntimeEstimateSettings>,
    /// Whether machines of failed zones are deleted depending on their tasks.
    #[serde(rename = "end-machines-of-lost-zones")]
    evacuates_lost_zones: Option<bool>,
    /// Whether services are spread evenly over zones, and migrate back after a zone failure.
    #[serde(rename = "even-spread-over-zones")]
    spreads_evenly: Option<bool>,
    /// Whether the largest jobs are deferred when not all jobs can meet their goals.
    #[serde(rename = "put-off-jobs")]
    defers_jobs: Option<bool>,
    /// Largest share of a service's tasks that one machine gets while others can run them.
    #[serde(rename = "service-share-per-machine")]
    service_share_per_machine: Option<f64>,
}

/// The uses of runtime estimates by name.
#[derive(Debug, Default, Deserialize)]
#[serde(default, expecting = "struct LearnedXml")]
struct RuntimeEstimateSettings {
    #[serde(rename = "for")]
    uses: Vec<String>,
}

/// Parses the operators' settings file.
///
/// # Errors
/// The text is not XML, or a value is of the wrong type.
pub fn read_operator_settings(xml: &str) -> Result<OperatorSettings, SettingsError> {
    Ok(quick_xml::de::from_str(xml)?)
}

impl OperatorSettings {
    /// Returns the time after which an idle machine is deleted.
    pub fn idle_timeout_ms(&self) -> Result<u64, SettingsError> {
        match self.idle_timeout_s {
            Some(seconds) => seconds_as_ms("operator-settings.idle-return-s", seconds, 1.0),
            None => Ok(IDLE_TIMEOUT_MS),
        }
    }

    /// Returns whether run times are estimated, and the uses of the estimates.
    pub fn runtime_estimate_use(&self) -> Result<RuntimeEstimateUse, SettingsError> {
        let mut estimate_use = RuntimeEstimateUse::default();
        let Some(estimates) = &self.runtime_estimates else {
            return Ok(estimate_use);
        };
        estimate_use.enabled = true;
        for name in &estimates.uses {
            match name.as_str() {
                "order" => estimate_use.queue_order = true,
                "due" => estimate_use.due_times = true,
                "stops" => estimate_use.preemption = true,
                "notice" => estimate_use.termination_notice = true,
                _ => {
                    return Err(SettingsError::Field {
                        field: "operator-settings.learned-run-times.for".into(),
                        rule: format!("must be order, due, stops or notice, not {name:?}"),
                    })
                }
            }
        }
        Ok(estimate_use)
    }

    /// Returns the tuning with the operators' values; all other constants keep their defaults.
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
