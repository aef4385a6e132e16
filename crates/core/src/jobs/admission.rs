//! Admission control: which submissions and cancellations are accepted when more arrive than the
//! state store's rate of changes allows.
//!
//! Each acceptance costs a change. A flood of small jobs would use up the changes that start and
//! end the jobs accepted before, and one team's flood would starve all other teams. A token bucket
//! therefore limits acceptances to a share of this controller's changes, and while tokens are short
//! the teams that submit get equal shares. A refused user gets a retry time at once.

use crate::constants::{
    ADMISSION_BURST_S, ADMISSION_CHANGE_SHARE, ADMISSION_DECAY_MS, ADMISSION_MAX_RETRY_AFTER_S,
    ADMISSION_MIN_BURST, RETRY_AFTER_S,
};
use crate::model::Millis;
use std::collections::BTreeMap;

/// A token bucket that admits requests at a limited rate, with fair shares for teams.
#[derive(Debug)]
pub(crate) struct Admission {
    tokens_per_ms: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Millis,
    /// Tokens that each team got recently, with exponential decay.
    admitted: BTreeMap<String, f64>,
}

impl Admission {
    /// Returns a full bucket. `write_rps` is this controller's changes a second.
    pub fn new(write_rps: f64, now: Millis) -> Admission {
        let capacity = (write_rps * ADMISSION_BURST_S).max(ADMISSION_MIN_BURST);
        Admission {
            tokens_per_ms: write_rps * ADMISSION_CHANGE_SHARE / 1e3,
            capacity,
            tokens: capacity,
            refilled_at: now,
            admitted: BTreeMap::new(),
        }
    }

    /// Refills the bucket, and decays the teams' recent tokens.
    fn refill(&mut self, now: Millis) {
        let elapsed_ms = now.saturating_sub(self.refilled_at) as f64;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed_ms * self.tokens_per_ms).min(self.capacity);
        let decay = (-elapsed_ms / ADMISSION_DECAY_MS).exp();
        for admitted in self.admitted.values_mut() {
            *admitted *= decay;
        }
        self.admitted.retain(|_, admitted| *admitted > 0.05);
    }

    /// Admits a team's request, or returns the seconds after which to retry.
    pub fn try_admit(&mut self, now: Millis, team: &str) -> Result<(), u32> {
        self.refill(now);
        let team_tokens = self.admitted.get(team).copied().unwrap_or(0.0);
        let total: f64 = self.admitted.values().sum();
        let teams = self.admitted.len() + usize::from(!self.admitted.contains_key(team));
        // While at least half of the tokens remain, no team is limited. A team without recent
        // requests always gets the tokens that the other teams' shares leave.
        let is_ample = self.tokens >= self.capacity / 2.0;
        let is_fair = team_tokens <= total / teams as f64;
        if self.tokens >= 1.0 && (is_ample || is_fair) {
            self.tokens -= 1.0;
            *self.admitted.entry(team.to_string()).or_default() += 1.0;
            return Ok(());
        }
        let missing = (self.capacity / 2.0 - self.tokens).max(1.0);
        let wait_s = missing / self.tokens_per_ms.max(1e-6) / 1e3;
        Err((wait_s.ceil() as u32).clamp(RETRY_AFTER_S, ADMISSION_MAX_RETRY_AFTER_S))
    }
}

/// One bucket for each kind of request that costs a change. Otherwise a flood of cancellations
/// would leave no changes for the results by which cancellations are confirmed.
pub struct AdmissionControl {
    pub submissions: Admission,
    pub cancellations: Admission,
}

impl AdmissionControl {
    pub fn new(write_rps: f64, now: Millis) -> AdmissionControl {
        AdmissionControl {
            submissions: Admission::new(write_rps, now),
            cancellations: Admission::new(write_rps, now),
        }
    }
}

#[cfg(test)]
mod tests;
