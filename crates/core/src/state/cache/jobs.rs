//! Queries of the cache for jobs: open jobs, jobs that wait for machines, and dependencies.

use super::StateCache;
use crate::constants::FAULTY_JOB_MIN_MACHINES;
use crate::model::{JobSpec, WallMs};
use crate::state::{ChunkRecord, Dependents, JobPhase, JobRecord, Key};
use std::collections::BTreeSet;

impl StateCache {
    /// Returns the specification of an open job.
    pub fn open_job(&self, id: &str) -> Option<&JobSpec> {
        self.job(id).and_then(|job| job.open_spec())
    }

    /// Returns the open jobs in order of their ids.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&str, &JobRecord, &JobSpec)> {
        self.with_specs(&self.open)
    }

    /// Returns the open jobs that have pending tasks and no unfinished dependency, in order of
    /// their ids.
    pub fn waiting_jobs(&self) -> impl Iterator<Item = (&str, &JobRecord, &JobSpec)> {
        self.with_specs(&self.waiting)
    }

    fn with_specs<'a>(
        &'a self,
        ids: &'a BTreeSet<String>,
    ) -> impl Iterator<Item = (&'a str, &'a JobRecord, &'a JobSpec)> {
        ids.iter().filter_map(|id| {
            let job = self.job(id)?;
            Some((id.as_str(), job, job.open_spec()?))
        })
    }

    /// Adds a job to the index of jobs that wait for machines, or removes it.
    pub(super) fn update_waiting(&mut self, id: &str) {
        let counts = self.task_counts(id);
        let job = self.job(id).filter(|job| job.open_spec().is_some());
        let has_pending = job.is_some_and(|job| counts.assigned + counts.done < job.tasks);
        if has_pending && !self.is_blocked(id) {
            if !self.waiting.contains(id) {
                self.waiting.insert(id.to_string());
            }
        } else {
            self.waiting.remove(id);
        }
    }

    /// Returns whether an open job has a dependency that isn't done on record. `Done` is final, so
    /// an unblocked job never becomes blocked again.
    pub fn is_blocked(&self, id: &str) -> bool {
        let is_done = |id: &String| self.job(id).is_some_and(|job| job.phase == JobPhase::Done);
        let spec = self.open_job(id);
        spec.is_some_and(|spec| !spec.dependencies.iter().all(is_done))
    }

    /// Returns whether an open job depends, directly or transitively, on a job whose cancellation
    /// is confirmed. No task of such a job has run or will run, so it counts as cancelled before
    /// its own record is.
    pub fn depends_on_cancelled(&self, id: &str) -> bool {
        self.dependents.with_cancelled_dependency().contains(id)
            && self.depends_on_confirmed_cancellation(id)
    }

    fn depends_on_confirmed_cancellation(&self, id: &str) -> bool {
        let mut unvisited: Vec<&str> = vec![id];
        let mut visited: BTreeSet<&str> = BTreeSet::new();
        while let Some(id) = unvisited.pop() {
            for dependency in self.open_job(id).iter().flat_map(|s| &s.dependencies) {
                match self.job(dependency).map(|job| job.phase) {
                    Some(JobPhase::Cancelled) if !self.is_cancellation_pending(dependency) => {
                        return true
                    }
                    Some(JobPhase::Open) if visited.insert(dependency) => {
                        unvisited.push(dependency)
                    }
                    _ => {}
                }
            }
        }
        false
    }

    /// Returns whether a job is cancelled on record, but must not be called cancelled yet: a task of
    /// the job may still run, or the cache does not show whether one does.
    ///
    /// The cache shows it once it has reached the revision of the cancellation. Before that it may
    /// lack a claim or the marker `Key::CancellationConfirmation`, as while it is filled from a list,
    /// and a record that is absent says nothing. No claim follows a cancellation, so once this
    /// returns false it stays false.
    pub fn is_cancellation_pending(&self, id: &str) -> bool {
        let job = self.job(id);
        let is_cancelled = job.is_some_and(|job| job.phase == JobPhase::Cancelled);
        let is_known = self.revision >= self.job_revision(id);
        let is_confirmed =
            is_known && (self.is_confirmed_at_commit(id) || self.task_counts(id).assigned == 0);
        is_cancelled && !is_confirmed
    }

    /// Returns whether a cancelled job's cancellation precedes the marker from which on cancellations
    /// are confirmed only when all tasks have ended: its user gets the answer at its commit. The
    /// caller knows that the cache has every marker older than the cancellation.
    pub fn is_confirmed_at_commit(&self, id: &str) -> bool {
        let confirmed_from = self.mod_revision(&Key::CancellationConfirmation);
        confirmed_from == 0 || self.job_revision(id) < confirmed_from
    }

    /// Returns the index of open jobs by their dependencies.
    pub fn dependents(&self) -> &Dependents {
        &self.dependents
    }

    /// Returns the wall-clock time from which a job's tasks could start: the acceptance of the job
    /// or the end of its last dependency, whichever is later. All controllers compute the same
    /// value.
    pub fn ready_at(&self, job: &JobRecord) -> WallMs {
        let dependencies = job.spec.iter().flat_map(|spec| &spec.dependencies);
        let ends = dependencies.filter_map(|id| self.job(id).map(|job| job.ended_at));
        ends.fold(job.accepted_at, WallMs::max)
    }

    /// Updates the indexes after a change of a job's record. `old_dependencies` are the
    /// dependencies before the change.
    pub(super) fn job_changed(&mut self, id: &str, old_dependencies: Vec<String>) {
        let spec = self.open_job(id);
        let dependencies = spec.map_or(Vec::new(), |spec| spec.dependencies.clone());
        let phase = self.job(id).map(|job| job.phase);
        let is_cancelled = |id: &String| {
            let phase = self.jobs.get(id).map(|(job, _)| job.phase);
            phase == Some(JobPhase::Cancelled)
                || self.dependents.with_cancelled_dependency().contains(id)
        };
        let has_cancelled_dependency = dependencies.iter().any(is_cancelled);
        self.dependents
            .set_dependencies(id, &old_dependencies, &dependencies);
        self.update_waiting(id);
        match phase {
            Some(JobPhase::Cancelled) => self.dependents.mark_dependents_of_cancelled(id),
            _ if has_cancelled_dependency => self.dependents.mark_cancelled_dependency(id),
            _ => {}
        }
        for dependent in self.dependents.of(id) {
            self.update_waiting(&dependent);
        }
    }

    /// Returns whether a job itself appears to be faulty: its tasks have failed on several
    /// machines, and none has ever succeeded.
    pub fn is_suspect_job(&self, job: &str) -> bool {
        let has_failed = |chunk: &ChunkRecord| chunk.failed_on.len() >= FAULTY_JOB_MIN_MACHINES;
        let mut chunks = self.chunks_of(job);
        self.task_counts(job).done == 0 && chunks.any(|(_, chunk)| has_failed(chunk))
    }
}
