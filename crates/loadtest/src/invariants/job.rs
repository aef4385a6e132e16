//! The state of one job as users and workers observe it.

use super::Placement;
use crate::plan::JobShape;
use crate::protocol::jobs::{JobStatus, Submission};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The worker and the zone in which a task runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskLocation {
    /// Name of the worker.
    pub worker: String,
    /// Name of the zone.
    pub zone: String,
}

/// A final status that a controller answered to a user.
#[derive(Debug, Clone, Copy)]
pub struct FinalAnswer {
    /// Answered status.
    pub status: JobStatus,
    /// Time of the answer, in milliseconds of the run.
    pub at_ms: u64,
}

/// A job and its tasks, as its user and the workers observe them.
pub struct TrackedJob {
    /// Submission as its user sends it.
    pub submission: Arc<Submission>,
    /// Time of the first answer that accepted the job.
    pub accepted_ms: Option<u64>,
    /// Whether its user has begun to cancel it.
    pub is_cancellation_requested: bool,
    /// First final status that was answered to its user.
    pub final_answer: Option<FinalAnswer>,
    /// Time of the last answer to its user.
    pub last_answer_ms: u64,
    /// Indices of tasks that have completed.
    pub completed: BTreeSet<u32>,
    /// Locations of the running tasks, by index.
    pub running: BTreeMap<u32, TaskLocation>,
}

impl TrackedJob {
    /// Creates the state of a job that its user is about to submit.
    pub fn new(submission: Arc<Submission>, now_ms: u64) -> TrackedJob {
        TrackedJob {
            accepted_ms: None,
            is_cancellation_requested: false,
            final_answer: None,
            last_answer_ms: now_ms,
            completed: BTreeSet::new(),
            running: BTreeMap::new(),
            submission,
        }
    }

    /// Returns whether all tasks have completed; the tasks of a service never complete.
    pub fn is_complete(&self) -> bool {
        let task_count = self.submission.task_count as usize;
        self.submission.shape == JobShape::Array && self.completed.len() == task_count
    }

    /// Returns whether the job was cancelled so long ago that none of its tasks may run any more.
    pub fn is_cancellation_overdue(&self, now_ms: u64, cancel_within_ms: u64) -> bool {
        self.final_answer.is_some_and(|answer| {
            answer.status == JobStatus::Aborted && answer.at_ms + cancel_within_ms < now_ms
        })
    }

    /// Returns whether a task has started at a placement that its job doesn't allow.
    pub fn is_misplaced(&self, index: u32, placement: &Placement) -> bool {
        let submission = &self.submission;
        let other_zones = || {
            let others = self.running.iter().filter(|(other, _)| **other != index);
            others.map(|(_, location)| &location.zone)
        };
        let is_wrong_type = submission
            .machine_types
            .as_ref()
            .is_some_and(|types| !types.contains(&placement.machine_type));
        let is_wrong_zone = submission
            .zone
            .as_ref()
            .is_some_and(|zone| *zone != placement.zone);
        let is_wrong_pricing = placement.spot && !submission.spot;
        let is_split =
            submission.zone_affinity && other_zones().any(|zone| *zone != placement.zone);
        let tasks_in_zone = other_zones()
            .filter(|zone| **zone == placement.zone)
            .count()
            + 1;
        let half = submission.task_count.div_ceil(2) as usize;
        let exceeds_zone_share = submission.topology_spread && tasks_in_zone > half;
        is_wrong_type || is_wrong_zone || is_wrong_pricing || is_split || exceeds_zone_share
    }
}
