//! Rescheduling: chooses the running tasks to migrate, for all reasons under one budget.
//!
//! A migration stops a task on its machine and lets it be placed again. Its gain and its cost are given in seconds
//! of a replica's time, and it is made only if the gain clearly exceeds the cost. A service never loses two tasks
//! at a time, nor one while another is missing, and no task migrates twice within `MIGRATION_REPEAT_DELAY_MS`. A
//! migration consists of a recorded stop and a claim, so it survives the end of any controller.

use crate::constants::{
    MIGRATION_MIN_GAIN_FACTOR, MIGRATION_REPEAT_DELAY_MS, SPREAD_GAIN_S, TRACKED_MIGRATIONS_MAX,
};
use crate::model::{Millis, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The reason why a task is migrated, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MigrationReason {
    /// Its machine is faulty, cut off from the controllers, about to be reclaimed, or to be returned.
    MachineLeaving,
    /// Its zone holds more of its service's tasks than the zone's share.
    ZoneSpread,
}

impl fmt::Display for MigrationReason {
    /// Formats the reason as it is stored with the stop.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            MigrationReason::MachineLeaving => "moved",
            MigrationReason::ZoneSpread => "spread",
        })
    }
}

/// A possible migration.
#[derive(Clone, Debug, PartialEq)]
pub struct MigrationCandidate {
    pub task: TaskId,
    pub attempt: u64,
    /// The machine that the task leaves.
    pub machine: String,
    pub reason: MigrationReason,
    /// The estimated seconds of a replica's time that it saves.
    pub gain_s: f64,
    /// The seconds of a replica's time that it costs.
    pub cost_s: f64,
}

impl MigrationCandidate {
    /// Returns whether it gains clearly more than it costs. A task on a machine that leaves has to migrate in any
    /// case.
    fn is_worthwhile(&self) -> bool {
        self.reason == MigrationReason::MachineLeaving
            || self.gain_s >= MIGRATION_MIN_GAIN_FACTOR * self.cost_s
    }

    fn net_gain_s(&self) -> f64 {
        self.gain_s - self.cost_s
    }

    /// Compares by the order in which migrations are made.
    fn compare(&self, other: &MigrationCandidate) -> std::cmp::Ordering {
        (self.reason.cmp(&other.reason))
            .then(other.net_gain_s().total_cmp(&self.net_gain_s()))
            .then(self.task.cmp(&other.task))
    }
}

/// Recent migrations and the time of the last migration round.
#[derive(Debug, Default)]
pub struct MigrationHistory {
    migrated_at: BTreeMap<TaskId, Millis>,
    /// When the last migration round ran.
    pub last_round_at: Millis,
}

impl MigrationHistory {
    pub fn new(now: Millis) -> MigrationHistory {
        MigrationHistory {
            last_round_at: now,
            ..MigrationHistory::default()
        }
    }

    /// Chooses at most `max` migrations to make now. `incomplete` holds the services of which a task is not running
    /// or is already migrating.
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

    /// Returns whether the task may migrate again. A task on a machine that leaves may, however recently it migrated.
    fn may_migrate_again(&self, candidate: &MigrationCandidate) -> bool {
        candidate.reason == MigrationReason::MachineLeaving
            || !self.migrated_at.contains_key(&candidate.task)
    }
}

/// Returns the seconds gained by one migration towards an even spread, for a service of `tasks` tasks of which
/// `tasks_in_fullest` are in its fullest zone. If these exceed the zone's share, then after the migration the loss
/// of that zone takes fewer of them.
pub fn spread_gain_s(tasks: u32, tasks_in_fullest: u32, zones: usize) -> f64 {
    let share = tasks.div_ceil(zones.max(1) as u32);
    f64::from(tasks_in_fullest.saturating_sub(share).min(1)) * SPREAD_GAIN_S
}

#[cfg(test)]
mod tests;
