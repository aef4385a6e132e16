//! What the platform grants this process.

use super::checks::check;
use serde::Deserialize;

#[derive(Debug, Deserialize)]
pub(super) struct Quota {
    pub(super) sockets: u32,
    pub(super) cpu_share: Option<f64>,
    pub(super) ram_mb: Option<f64>,
}

/// Cores and MB beyond which a quota is a mistake.
const QUOTA_MOST: f64 = 1e6;
/// MB that a controller takes with its records and some hundred machines, and share of a core that so few
/// take: with less it serves what it can, and says so.
const RAM_SCARCE_MB: f64 = 16.0;
const CPU_SCARCE: f64 = 0.01;

impl Quota {
    pub(super) fn check(&self) -> Result<(), String> {
        check(
            self.sockets >= 32,
            "settings.quota.sockets",
            "must be at least 32",
        )?;
        let parts = [
            ("settings.quota.cpu_share", self.cpu_share),
            ("settings.quota.ram_mb", self.ram_mb),
        ];
        for (field, value) in parts {
            let sane = value.is_none_or(|v| v > 0.0 && v <= QUOTA_MOST);
            check(sane, field, "must be above 0 and at most a million")?;
        }
        Ok(())
    }

    /// Fields by which this controller is smaller than it needs to be, each with what it needs.
    pub(super) fn scarce(&self) -> Vec<(&'static str, f64, f64)> {
        let parts = [
            ("settings.quota.cpu_share", self.cpu_share, CPU_SCARCE),
            ("settings.quota.ram_mb", self.ram_mb, RAM_SCARCE_MB),
        ];
        let less = |(field, value, least): (&'static str, Option<f64>, f64)| {
            let value = value.filter(|v| *v < least)?;
            Some((field, value, least))
        };
        parts.into_iter().filter_map(less).collect()
    }
}
