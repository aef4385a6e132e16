//! What a variant of a site is to be, from the command line.

use super::SiteVariantError;
use std::ops::RangeInclusive;

/// Factors that make sense: a tenth to ten times.
const FACTOR_RANGE: RangeInclusive<f64> = 0.1..=10.0;
/// Seconds to a restart at most.
pub(super) const MAX_BACK_S: f64 = 600.0;

/// What a variant of a site is to be.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct Sizes {
    /// Times as many machines, jobs and teams' processors
    #[arg(long, default_value_t = 1.5)]
    pub factor: f64,
    /// Seconds after which a process that ended is back, instead of the file's
    #[arg(long)]
    pub back_s: Option<f64>,
    /// So many zones, over which machines are spread evenly
    #[arg(long)]
    pub zones: Option<usize>,
    /// So many teams, which share the processors of the file's
    #[arg(long)]
    pub teams: Option<usize>,
    /// So many controllers
    #[arg(long)]
    pub nodes: Option<i64>,
    /// Times as many tasks in each array
    #[arg(long)]
    pub tasks: Option<f64>,
    /// Times as long run times of arrays
    #[arg(long)]
    pub run: Option<f64>,
}

impl Sizes {
    /// Half as many again of everything, or another factor.
    pub fn scaled(factor: f64, back_s: Option<f64>) -> Sizes {
        Sizes {
            factor,
            back_s,
            zones: None,
            teams: None,
            nodes: None,
            tasks: None,
            run: None,
        }
    }

    pub(super) fn check(&self) -> Result<(), SiteVariantError> {
        let factors = [
            ("--factor", Some(self.factor)),
            ("--tasks", self.tasks),
            ("--run", self.run),
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
            ("--nodes", self.nodes.map(|n| n.max(0) as usize), 64),
        ];
        for (flag, count, max) in counts {
            let count = count.unwrap_or(1);
            if !(1..=max).contains(&count) {
                return Err(SiteVariantError::Count { flag, count, max });
            }
        }
        match self.back_s {
            Some(back_s) if !(0.0..=MAX_BACK_S).contains(&back_s) => {
                Err(SiteVariantError::BackSeconds(back_s))
            }
            _ => Ok(()),
        }
    }

    /// What the variant's name ends with.
    pub(super) fn suffix(&self) -> String {
        let part = |name: &str, value: Option<String>| {
            value.map_or(String::new(), |value| format!("-{name}{value}"))
        };
        let text = |value: Option<f64>| value.map(|value| value.to_string());
        let count = |value: Option<usize>| value.map(|value| value.to_string());
        format!("-x{}", self.factor)
            + &part("back", text(self.back_s))
            + &part("zones", count(self.zones))
            + &part("teams", count(self.teams))
            + &part("nodes", self.nodes.map(|nodes| nodes.to_string()))
            + &part("tasks", text(self.tasks))
            + &part("run", text(self.run))
    }
}
