//! Which submissions are taken when more come than the state service's changes allow.
//!
//! Each acceptance is a change. A flood of small jobs would take the changes by which what was accepted
//! before is started and ended, and one team's flood would take those of all others. So acceptances
//! have a share of this controller's changes, saved up over some seconds; while that is short, teams that
//! ask get equal parts of it. Whoever is told to come back is told at once.

use crate::constants::{
    ADMISSION_BURST_S, ADMISSION_CHANGE_SHARE, ADMISSION_DECAY_MS, ADMISSION_MAX_RETRY_AFTER_S,
    ADMISSION_MIN_BURST, RETRY_AFTER_S,
};
use crate::model::Millis;
use std::collections::BTreeMap;

#[derive(Debug)]
pub(crate) struct Admission {
    per_ms: f64,
    most: f64,
    level: f64,
    at: Millis,
    /// What each team was given lately, fading.
    given: BTreeMap<String, f64>,
}

impl Admission {
    /// `write_rps`: this controller's changes a second.
    pub fn new(write_rps: f64, now: Millis) -> Admission {
        let most = (write_rps * ADMISSION_BURST_S).max(ADMISSION_MIN_BURST);
        Admission {
            per_ms: write_rps * ADMISSION_CHANGE_SHARE / 1e3,
            most,
            level: most,
            at: now,
            given: BTreeMap::new(),
        }
    }

    fn pass(&mut self, now: Millis) {
        let passed = now.saturating_sub(self.at) as f64;
        self.at = self.at.max(now);
        self.level = (self.level + passed * self.per_ms).min(self.most);
        let fades = (-passed / ADMISSION_DECAY_MS).exp();
        for given in self.given.values_mut() {
            *given *= fades;
        }
        self.given.retain(|_, given| *given > 0.05);
    }

    /// Whether a team's submission is taken now; if not, after how many seconds it may come back.
    pub fn takes(&mut self, now: Millis, team: &str) -> Result<(), u32> {
        self.pass(now);
        let given = self.given.get(team).copied().unwrap_or(0.0);
        let sum: f64 = self.given.values().sum();
        let teams = self.given.len() + usize::from(!self.given.contains_key(team));
        // While there is plenty nobody is held back; a team that asks for the first time lately always
        // finds what the others' shares leave.
        let plenty = self.level >= self.most / 2.0;
        let fair = given <= sum / teams as f64;
        if self.level >= 1.0 && (plenty || fair) {
            self.level -= 1.0;
            *self.given.entry(team.to_string()).or_default() += 1.0;
            return Ok(());
        }
        let short = (self.most / 2.0 - self.level).max(1.0);
        let wait_s = short / self.per_ms.max(1e-6) / 1e3;
        Err((wait_s.ceil() as u32).clamp(RETRY_AFTER_S, ADMISSION_MAX_RETRY_AFTER_S))
    }
}

/// One for each kind of request that costs a change. A flood of cancellations would else leave none for
/// results, by which they are told.
pub struct AdmissionControl {
    pub submissions: Admission,
    pub cancellations: Admission,
}

impl AdmissionControl {
    pub fn new(rps: f64, now: Millis) -> AdmissionControl {
        AdmissionControl {
            submissions: Admission::new(rps, now),
            cancellations: Admission::new(rps, now),
        }
    }
}

#[cfg(test)]
mod tests;
