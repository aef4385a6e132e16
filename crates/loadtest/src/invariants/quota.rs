//! Processors in use by each team, and the teams' limits.

use std::collections::HashMap;

/// Time after the lowering of a limit in which the previous limit still holds: a task that was claimed before
/// either starts within this time or never.
const LOWERED_LIMIT_GRACE_MS: u64 = 10_000;

/// Converts processors to thousandths of a processor, whose sums are exact.
pub fn millicpus(cpus: f64) -> u64 {
    (cpus * 1_000.0).round() as u64
}

/// A changed limit and the limit before it.
struct ChangedLimit {
    millicpus: u64,
    previous_millicpus: u64,
    changed_ms: u64,
}

/// The processors in use by each team, and its limit.
pub struct TeamQuotas {
    /// Limit of teams whose limit was never changed; 0 for none.
    default_limit_millicpus: u64,
    changed_limits: HashMap<String, ChangedLimit>,
    used_millicpus: HashMap<String, u64>,
}

/// The usage of a team that exceeds its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaExcess {
    /// Processors that the team uses.
    pub used_millicpus: u64,
    /// Processors that the team may use.
    pub limit_millicpus: u64,
}

impl TeamQuotas {
    /// Creates the quotas of teams that use nothing yet.
    pub fn new(default_limit_cpus: f64) -> TeamQuotas {
        TeamQuotas {
            default_limit_millicpus: millicpus(default_limit_cpus),
            changed_limits: HashMap::new(),
            used_millicpus: HashMap::new(),
        }
    }

    /// Records that a changed limit is in force.
    pub fn change_limit(&mut self, team: &str, limit_cpus: f64, now_ms: u64) {
        let current = self.changed_limits.get(team);
        let previous = current.map_or(self.default_limit_millicpus, |limit| limit.millicpus);
        let changed = ChangedLimit {
            millicpus: millicpus(limit_cpus),
            previous_millicpus: previous,
            changed_ms: now_ms,
        };
        self.changed_limits.insert(team.to_string(), changed);
    }

    /// Records the start of a task; returns the excess if its team now exceeds its limit.
    pub fn acquire(&mut self, team: &str, millicpus: u64, now_ms: u64) -> Option<QuotaExcess> {
        let used = self.used_millicpus.entry(team.to_string()).or_default();
        *used += millicpus;
        let used_millicpus = *used;
        let limit_millicpus = self.limit(team, now_ms);
        let is_exceeded = limit_millicpus > 0 && used_millicpus > limit_millicpus;
        is_exceeded.then_some(QuotaExcess {
            used_millicpus,
            limit_millicpus,
        })
    }

    /// Records the end of a task.
    pub fn release(&mut self, team: &str, millicpus: u64) {
        if let Some(used) = self.used_millicpus.get_mut(team) {
            *used = used.saturating_sub(millicpus);
        }
    }

    fn limit(&self, team: &str, now_ms: u64) -> u64 {
        let Some(limit) = self.changed_limits.get(team) else {
            return self.default_limit_millicpus;
        };
        match now_ms < limit.changed_ms + LOWERED_LIMIT_GRACE_MS {
            true => limit.millicpus.max(limit.previous_millicpus),
            false => limit.millicpus,
        }
    }
}
