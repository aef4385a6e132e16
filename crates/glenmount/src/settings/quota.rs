//! What the platform grants this process.

use super::checks::{check, SettingsError};
use serde::Deserialize;

/// Cores and MB beyond which a quota is a mistake.
const QUOTA_MOST: f64 = 1e6;
/// Sockets with which a controller can do anything at all.
const SOCKETS_LEAST: u32 = 32;
/// MB that a controller takes with its records and some hundred machines, and share of a core that so
/// few take: with less it serves what it can, and says so.
const RAM_NEEDED_MB: f64 = 16.0;
const CPU_SHARE_NEEDED: f64 = 0.01;

/// Names of the settings.
const CPU_SHARE: &str = "settings.quota.cpu_share";
const RAM_MB: &str = "settings.quota.ram_mb";

/// The section of the settings file. What is not set is not limited.
#[derive(Debug, Deserialize)]
pub struct Quota {
    pub sockets: u32,
    /// Cores.
    pub cpu_share: Option<f64>,
    pub ram_mb: Option<f64>,
}

/// A resource of which there is less than a controller needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScarceResource {
    /// The setting.
    pub field: &'static str,
    pub value: f64,
    pub needs: f64,
}

impl Quota {
    /// Refuses absurd values.
    pub fn check(&self) -> Result<(), SettingsError> {
        check(
            self.sockets >= SOCKETS_LEAST,
            "settings.quota.sockets",
            "must be at least 32",
        )?;
        for (field, value) in [(CPU_SHARE, self.cpu_share), (RAM_MB, self.ram_mb)] {
            let is_sane = value.is_none_or(|value| value > 0.0 && value <= QUOTA_MOST);
            check(is_sane, field, "must be above 0 and at most a million")?;
        }
        Ok(())
    }

    /// What there is less of than needed.
    pub fn scarce(&self) -> Vec<ScarceResource> {
        let resources = [
            (CPU_SHARE, self.cpu_share, CPU_SHARE_NEEDED),
            (RAM_MB, self.ram_mb, RAM_NEEDED_MB),
        ];
        let scarce = resources.into_iter().filter_map(|(field, value, needs)| {
            let value = value.filter(|value| *value < needs)?;
            Some(ScarceResource {
                field,
                value,
                needs,
            })
        });
        scarce.collect()
    }
}
