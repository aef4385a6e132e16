//! What is known of one job from the outside.

use super::Placement;
use crate::plan::JobShape;
use crate::protocol::jobs::{JobStatus, Submission};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The worker and zone that a task runs in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskLocation {
    /// Name of the worker.
    pub worker: String,
    /// Name of the zone.
    pub zone: String,
}

/// A final status that a user was answered, and when.
#[derive(Debug, Clone, Copy)]
pub struct FinalAnswer {
    /// The status.
    pub status: JobStatus,
    /// When it was answered.
    pub at_ms: u64,
}

/// A job and its tasks, as its user and the workers see them.
pub struct TrackedJob {
    /// As its user submits it.
    pub submission: Arc<Submission>,
    /// When its user was first answered that it is accepted.
    pub accepted_ms: Option<u64>,
    /// Whether its user has begun to cancel it.
    pub is_cancellation_requested: bool,
    /// The first final status that a user was answered.
    pub final_answer: Option<FinalAnswer>,
    /// When its user last got an answer.
    pub last_answer_ms: u64,
    /// Tasks that have completed.
    pub completed: BTreeSet<u32>,
    /// Tasks on workers now.
    pub running: BTreeMap<u32, TaskLocation>,
}

impl TrackedJob {
    /// A job that its user is about to submit.
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

    /// Whether all its tasks have completed; a service's never do.
    pub fn is_complete(&self) -> bool {
        let task_count = self.submission.task_count as usize;
        self.submission.shape == JobShape::Array && self.completed.len() == task_count
    }

    /// Whether all its tasks had to be gone before now, since it was cancelled.
    pub fn had_to_end_before(&self, now_ms: u64, cancel_within_ms: u64) -> bool {
        self.final_answer.is_some_and(|answer| {
            answer.status == JobStatus::Aborted && answer.at_ms + cancel_within_ms < now_ms
        })
    }

    /// Whether a task may not run where it has started.
    pub fn is_misplaced(&self, index: u32, placement: &Placement) -> bool {
        let submission = &self.submission;
        let others = || {
            let others = self.running.iter().filter(|(other, _)| **other != index);
            others.map(|(_, location)| &location.zone)
        };
        let wrong_type = submission
            .machine_types
            .as_ref()
            .is_some_and(|types| !types.contains(&placement.machine_type));
        let wrong_zone = submission
            .zone
            .as_ref()
            .is_some_and(|zone| *zone != placement.zone);
        let wrong_price = placement.spot && !submission.spot;
        let is_split = submission.zone_affinity && others().any(|zone| *zone != placement.zone);
        let in_zone = others().filter(|zone| **zone == placement.zone).count() + 1;
        let half = submission.task_count.div_ceil(2) as usize;
        let is_crowded = submission.topology_spread && in_zone > half;
        wrong_type || wrong_zone || wrong_price || is_split || is_crowded
    }
}
