//! The sizes of a site variant, from the command line.

use super::SiteVariantError;
use std::ops::RangeInclusive;

/// Valid factors.
const FACTOR_RANGE: RangeInclusive<f64> = 0.1..=10.0;
/// Longest restart delay.
pub(super) const MAX_RESTART_DELAY_S: f64 = 600.0;

/// The sizes of a site variant.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct Sizes {
    /// Factor for the numbers of machines and jobs and the teams' quotas
    #[arg(long, default_value_t = 1.5)]
    pub factor: f64,
    /// Restart delay of a process in seconds, instead of the file's
    #[arg(long = "back-s", value_name = "BACK_S")]
    pub restart_delay_s: Option<f64>,
    /// Number of zones, over which machines are spread evenly
    #[arg(long)]
    pub zones: Option<usize>,
    /// Number of teams, which share the processors of the file's teams
    #[arg(long)]
    pub teams: Option<usize>,
    /// Number of controllers
    #[arg(long = "nodes", value_name = "NODES")]
    pub controllers: Option<i64>,
    /// Factor for the number of tasks of each array job
    #[arg(long = "tasks", value_name = "TASKS")]
    pub tasks_factor: Option<f64>,
    /// Factor for the run times of array jobs
    #[arg(long = "run", value_name = "RUN")]
    pub run_time_factor: Option<f64>,
}

impl Sizes {
    /// Returns sizes with only a factor and an optional restart delay.
    pub fn scaled(factor: f64, restart_delay_s: Option<f64>) -> Sizes {
        Sizes {
            factor,
            restart_delay_s,
            zones: None,
            teams: None,
            controllers: None,
            tasks_factor: None,
            run_time_factor: None,
        }
    }

    pub(super) fn check(&self) -> Result<(), SiteVariantError> {
        let factors = [
            ("--factor", Some(self.factor)),
            ("--tasks", self.tasks_factor),
            ("--run", self.run_time_factor),
        ];
        for (flag, factor) in factors {
            let factor = factor.unwrap_or(1.0);
            if !FACTOR_RANGE.contains(&factor) {
                return Err(SiteVariantError::Factor { flag, factor });
            }
        }
        let counts = [
            ("--zones", self.zones, 64),
            ("--teams", self.teams, 2_000),
            ("--nodes", self.controllers.map(|n| n.max(0) as usize), 64),
        ];
        for (flag, count, max) in counts {
            let count = count.unwrap_or(1);
            if !(1..=max).contains(&count) {
                return Err(SiteVariantError::Count { flag, count, max });
            }
        }
        match self.restart_delay_s {
            Some(delay_s) if !(0.0..=MAX_RESTART_DELAY_S).contains(&delay_s) => {
                Err(SiteVariantError::RestartDelay(delay_s))
            }
            _ => Ok(()),
        }
    }

    /// Returns the suffix of the variant's name.
    pub(super) fn suffix(&self) -> String {
        let part = |name: &str, value: Option<String>| {
            value.map_or(String::new(), |value| format!("-{name}{value}"))
        };
        let text = |value: Option<f64>| value.map(|value| value.to_string());
        let count = |value: Option<usize>| value.map(|value| value.to_string());
        format!("-x{}", self.factor)
            + &part("back", text(self.restart_delay_s))
            + &part("zones", count(self.zones))
            + &part("teams", count(self.teams))
            + &part("nodes", self.controllers.map(|nodes| nodes.to_string()))
            + &part("tasks", text(self.tasks_factor))
            + &part("run", text(self.run_time_factor))
    }
}
