//! Rescheduling: which running tasks are migrated, for whatever reason: one planner, one budget.
//!
//! A migration stops a task where it runs and lets it be placed anew. Each states what it gains and what it
//! costs, in seconds of a replica's time; it is made only if the gain is clearly more. A service never
//! loses two tasks at a time, nor one while another is missing, and no task migrates twice within
//! `MIGRATION_REPEAT_DELAY_MS`. A migration consists of a stop on record and a claim, which survive the end of any
//! controller.

use crate::constants::{
    MIGRATION_MIN_GAIN_FACTOR, MIGRATION_REPEAT_DELAY_MS, SPREAD_GAIN_S, TRACKED_MIGRATIONS_MAX,
};
use crate::model::{Millis, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Why a task is migrated, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MigrationReason {
    /// Its machine is faulty, about to be reclaimed, or to be returned.
    Leaving,
    /// Its zone holds more of its service than its share.
    Spread,
}

impl fmt::Display for MigrationReason {
    /// As it is stored with the stop.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            MigrationReason::Leaving => "moved",
            MigrationReason::Spread => "spread",
        })
    }
}

/// A migration that could be made.
#[derive(Clone, Debug, PartialEq)]
pub struct MigrationCandidate {
    pub task: TaskId,
    pub attempt: u64,
    /// The machine that it leaves.
    pub machine: String,
    pub reason: MigrationReason,
    /// Seconds of a replica's time that it saves, as far as can be told.
    pub gain_s: f64,
    /// Seconds of a replica's time that it takes.
    pub cost_s: f64,
}

impl MigrationCandidate {
    /// Whether it gains clearly more than it costs. A task on a machine that is to go has no choice.
    fn is_worthwhile(&self) -> bool {
        self.reason == MigrationReason::Leaving
            || self.gain_s >= MIGRATION_MIN_GAIN_FACTOR * self.cost_s
    }

    fn net_gain_s(&self) -> f64 {
        self.gain_s - self.cost_s
    }

    /// The order in which migrations are made.
    fn compare(&self, other: &MigrationCandidate) -> std::cmp::Ordering {
        (self.reason.cmp(&other.reason))
            .then(other.net_gain_s().total_cmp(&self.net_gain_s()))
            .then(self.task.cmp(&other.task))
    }
}

/// Migrations made lately, and when the next may be made.
#[derive(Debug, Default)]
pub struct MigrationHistory {
    migrated_at: BTreeMap<TaskId, Millis>,
    /// When migrations were last considered.
    pub last_round_at: Millis,
}

impl MigrationHistory {
    pub fn new(now: Millis) -> MigrationHistory {
        MigrationHistory {
            last_round_at: now,
            ..MigrationHistory::default()
        }
    }

    /// The migrations to be made now, at most `max`. `incomplete`: services of which a task is not running
    /// or is being migrated already.
    pub fn choose(
        &mut self,
        now: Millis,
        mut candidates: Vec<MigrationCandidate>,
        max: usize,
        incomplete: &BTreeSet<String>,
    ) -> Vec<MigrationCandidate> {
        self.migrated_at
            .retain(|_, at| now < *at + MIGRATION_REPEAT_DELAY_MS);
        candidates.retain(|candidate| {
            candidate.is_worthwhile()
                && self.may_migrate_again(candidate)
                && !incomplete.contains(&candidate.task.job)
        });
        candidates.sort_by(MigrationCandidate::compare);
        let mut services = BTreeSet::new();
        candidates.retain(|candidate| services.insert(candidate.task.job.clone()));
        candidates.truncate(max);
        for candidate in &candidates {
            if self.migrated_at.len() < TRACKED_MIGRATIONS_MAX {
                self.migrated_at.insert(candidate.task.clone(), now);
            }
        }
        candidates
    }

    /// A task on a machine that is to go has no choice, however lately it migrated.
    fn may_migrate_again(&self, candidate: &MigrationCandidate) -> bool {
        candidate.reason == MigrationReason::Leaving
            || !self.migrated_at.contains_key(&candidate.task)
    }
}

/// Seconds that one migration to an even spread gains, for a service of so many tasks of which `fullest` are in
/// its fullest zone: where that is more than the zone's share, the loss of the zone takes fewer of them.
pub fn spread_gain_s(tasks: u32, fullest: u32, zones: usize) -> f64 {
    let share = tasks.div_ceil(zones.max(1) as u32);
    f64::from(fullest.saturating_sub(share).min(1)) * SPREAD_GAIN_S
}

#[cfg(test)]
mod tests;
