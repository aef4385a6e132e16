//! Which submissions are taken when more come than the state service's changes allow.
//!
//! Each acceptance is a change. A flood of small jobs would take the changes by which what was accepted
//! before is started and ended, and one team's flood would take those of all others. So acceptances
//! have a share of this controller's changes, saved up over some seconds; while that is short, teams that
//! ask get equal parts of it. Whoever is told to come back is told at once.

use crate::constants::{
    ADMIT_BURST_S, ADMIT_FADES_MS, ADMIT_LEAST, ADMIT_RETRY_MOST_S, ADMIT_SHARE, RETRY_AFTER_S,
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
        let most = (write_rps * ADMIT_BURST_S).max(ADMIT_LEAST);
        Admission {
            per_ms: write_rps * ADMIT_SHARE / 1e3,
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
        let fades = (-passed / ADMIT_FADES_MS).exp();
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
        Err((wait_s.ceil() as u32).clamp(RETRY_AFTER_S, ADMIT_RETRY_MOST_S))
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
mod tests {
    use super::*;

    /// Submissions a second that each team gets, of so many that it asks for.
    fn served(rps: f64, asks: &[(&str, u64)], seconds: u64) -> Vec<f64> {
        let mut admission = Admission::new(rps, 0);
        let mut given = vec![0_u64; asks.len()];
        // What is saved up is used first.
        for ms in 0..(seconds + 20) * 1_000 {
            for (i, (team, per_s)) in asks.iter().enumerate() {
                for k in 0..*per_s {
                    if (k * 1_000 / per_s + i as u64) % 1_000 == ms % 1_000
                        && admission.takes(ms, team).is_ok()
                        && ms >= 20_000
                    {
                        given[i] += 1;
                    }
                }
            }
        }
        given.iter().map(|n| *n as f64 / seconds as f64).collect()
    }

    #[test]
    fn what_fits_is_taken_whoever_asks() {
        assert_eq!(served(30.0, &[("a", 10), ("b", 2)], 30), [10.0, 2.0]);
    }

    /// A burst after an outage is no flood.
    #[test]
    fn a_burst_is_taken_at_once() {
        let mut admission = Admission::new(30.0, 0);
        assert!((0..60).all(|_| admission.takes(0, "a").is_ok()));
        let refused = (0..120).filter_map(|_| admission.takes(0, "a").err());
        let refused: Vec<u32> = refused.collect();
        assert!(!refused.is_empty() && refused.iter().all(|s| *s <= ADMIT_RETRY_MOST_S));
        assert!(admission.takes(10_000, "a").is_ok());
    }

    #[test]
    fn a_flood_takes_no_more_than_its_share_while_others_ask() {
        let served = served(30.0, &[("flood", 200), ("b", 4), ("c", 3)], 60);
        assert!(served[1] > 3.7 && served[2] > 2.7, "{served:?}");
        let all: f64 = served.iter().sum();
        assert!(all <= 30.0 * ADMIT_SHARE + 0.5, "{served:?}");
        assert!(served[0] > 5.0, "what is unused is lent: {served:?}");
    }

    #[test]
    fn two_floods_share_alike() {
        let served = served(30.0, &[("a", 300), ("b", 100)], 60);
        assert!((served[0] / served[1] - 1.0).abs() < 0.15, "{served:?}");
    }
}
