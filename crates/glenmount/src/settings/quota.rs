//! The quota that the platform grants to this process.

use super::checks::{check, SettingsError};
use serde::Deserialize;

/// Limit of cores and MB in a quota; a larger value is a mistake.
const MAX_QUOTA: f64 = 1e6;
/// Fewest sockets with which a controller can work.
const MIN_SOCKETS: u32 = 32;
/// Memory that a controller needs for its records with some hundred machines. With less, it works as far as
/// it can and logs the shortage.
const REQUIRED_RAM_MB: f64 = 16.0;
/// Share of a core that a controller needs for some hundred machines. With less, the same applies.
const REQUIRED_CPU_SHARE: f64 = 0.01;

/// Paths of the settings.
const CPU_SHARE_SETTING: &str = "settings.quota.cpu_share";
const RAM_MB_SETTING: &str = "settings.quota.ram_mb";

/// The quota section of the settings file. An absent resource is not limited.
#[derive(Debug, Deserialize)]
pub struct Quota {
    pub sockets: u32,
    /// Share of a core, or number of cores.
    pub cpu_share: Option<f64>,
    pub ram_mb: Option<f64>,
}

/// A resource of which the quota grants less than a controller needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScarceResource {
    /// Path of the setting.
    pub field: &'static str,
    pub value: f64,
    pub required: f64,
}

impl Quota {
    /// Rejects values that can only be mistakes.
    pub fn check(&self) -> Result<(), SettingsError> {
        check(
            self.sockets >= MIN_SOCKETS,
            "settings.quota.sockets",
            "must be at least 32",
        )?;
        for (field, value) in [
            (CPU_SHARE_SETTING, self.cpu_share),
            (RAM_MB_SETTING, self.ram_mb),
        ] {
            let is_in_range = value.is_none_or(|value| value > 0.0 && value <= MAX_QUOTA);
            check(is_in_range, field, "must be above 0 and at most a million")?;
        }
        Ok(())
    }

    /// Returns the resources of which the quota grants less than a controller needs.
    pub fn scarce_resources(&self) -> Vec<ScarceResource> {
        let resources = [
            (CPU_SHARE_SETTING, self.cpu_share, REQUIRED_CPU_SHARE),
            (RAM_MB_SETTING, self.ram_mb, REQUIRED_RAM_MB),
        ];
        let scarce = resources
            .into_iter()
            .filter_map(|(field, value, required)| {
                let value = value.filter(|value| *value < required)?;
                Some(ScarceResource {
                    field,
                    value,
                    required,
                })
            });
        scarce.collect()
    }
}
