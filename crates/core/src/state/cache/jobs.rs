//! Jobs of the cache: which are open, which wait for machines, and which depend on which.

use super::StateCache;
use crate::constants::FAULTY_JOB_MIN_MACHINES;
use crate::model::{JobSpec, WallMs};
use crate::state::{ChunkRecord, Dependents, JobPhase, JobRecord, Key};
use std::collections::BTreeSet;

impl StateCache {
    /// What an open job asks for.
    pub fn open_job(&self, id: &str) -> Option<&JobSpec> {
        self.job(id).and_then(|job| job.open())
    }

    /// Open jobs, in order of their names.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&str, &JobRecord, &JobSpec)> {
        self.with_specs(&self.open)
    }

    /// Open jobs with tasks that wait for a machine, and for no other job, in order of their names.
    pub fn waiting_jobs(&self) -> impl Iterator<Item = (&str, &JobRecord, &JobSpec)> {
        self.with_specs(&self.waiting)
    }

    fn with_specs<'a>(
        &'a self,
        ids: &'a BTreeSet<String>,
    ) -> impl Iterator<Item = (&'a str, &'a JobRecord, &'a JobSpec)> {
        ids.iter().filter_map(|id| {
            let job = self.job(id)?;
            Some((id.as_str(), job, job.open()?))
        })
    }

    /// Updates whether a job is among those that wait for a machine.
    pub(super) fn update_waiting(&mut self, id: &str) {
        let counts = self.counts(id);
        let job = self.job(id).filter(|job| job.open().is_some());
        let has_pending = job.is_some_and(|job| counts.assigned + counts.done < job.tasks);
        if has_pending && !self.blocked(id) {
            if !self.waiting.contains(id) {
                self.waiting.insert(id.to_string());
            }
        } else {
            self.waiting.remove(id);
        }
    }

    /// Whether an open job has a dependency that is not done on record. `Done` is final, so a job
    /// that is not blocked never is again.
    pub fn blocked(&self, id: &str) -> bool {
        let is_done = |id: &String| self.job(id).is_some_and(|job| job.phase == JobPhase::Done);
        let spec = self.open_job(id);
        spec.is_some_and(|spec| !spec.dependencies.iter().all(is_done))
    }

    /// Whether an open job depends, directly or through others, on one whose cancellation is
    /// confirmed. Nothing of it has run or ever will, so it counts as cancelled before its own
    /// record says so.
    pub fn doomed(&self, id: &str) -> bool {
        self.dependents.doomed().contains(id) && self.depends_on_confirmed_cancellation(id)
    }

    fn depends_on_confirmed_cancellation(&self, id: &str) -> bool {
        let mut unvisited: Vec<&str> = vec![id];
        let mut seen: BTreeSet<&str> = BTreeSet::new();
        while let Some(id) = unvisited.pop() {
            for dependency in self.open_job(id).iter().flat_map(|s| &s.dependencies) {
                match self.job(dependency).map(|job| job.phase) {
                    Some(JobPhase::Cancelled) if !self.ending(dependency) => return true,
                    Some(JobPhase::Open) if seen.insert(dependency) => unvisited.push(dependency),
                    _ => {}
                }
            }
        }
        false
    }

    /// Whether a job is cancelled on record, but its cancellation not to be confirmed yet: tasks of
    /// it may still run somewhere. The cache must have reached the cancellation, or it may lack a
    /// claim that came before. No claim comes after, so once this is false it remains so.
    pub fn ending(&self, id: &str) -> bool {
        let cancelled_at = self.job_revision(id);
        let confirmed_from = self.mod_revision(&Key::CancellationConfirmation);
        let job = self.job(id);
        job.is_some_and(|job| job.phase == JobPhase::Cancelled)
            && confirmed_from > 0
            && cancelled_at > confirmed_from
            && (self.revision < cancelled_at || self.counts(id).assigned > 0)
    }

    /// Which open jobs depend on which.
    pub fn dependents(&self) -> &Dependents {
        &self.dependents
    }

    /// From which time of day on a job's tasks could start: its acceptance, or the end of the last
    /// of its dependencies. The same for every controller.
    pub fn ready_at(&self, job: &JobRecord) -> WallMs {
        let dependencies = job.spec.iter().flat_map(|spec| &spec.dependencies);
        let ends = dependencies.filter_map(|id| self.job(id).map(|job| job.ended));
        ends.fold(job.at, WallMs::max)
    }

    /// Updates what is derived from a job's record when it changed. `old_dependencies`: those that
    /// it had before.
    pub(super) fn job_changed(&mut self, id: &str, old_dependencies: Vec<String>) {
        let spec = self.open_job(id);
        let dependencies = spec.map_or(Vec::new(), |spec| spec.dependencies.clone());
        let phase = self.job(id).map(|job| job.phase);
        let is_cancelled = |id: &String| {
            let phase = self.jobs.get(id).map(|(job, _)| job.phase);
            phase == Some(JobPhase::Cancelled) || self.dependents.doomed().contains(id)
        };
        let has_cancelled_dependency = dependencies.iter().any(is_cancelled);
        self.dependents.link(id, &old_dependencies, &dependencies);
        self.update_waiting(id);
        match phase {
            Some(JobPhase::Cancelled) => self.dependents.cancelled(id),
            _ if has_cancelled_dependency => self.dependents.doom(id),
            _ => {}
        }
        for dependent in self.dependents.of(id) {
            self.update_waiting(&dependent);
        }
    }

    /// Whether a job seems to have been submitted with a mistake: it has failed on several machines
    /// and nothing of it has ever succeeded.
    pub fn suspect(&self, job: &str) -> bool {
        let has_failed = |chunk: &ChunkRecord| chunk.failed_on.len() >= FAULTY_JOB_MIN_MACHINES;
        let mut chunks = self.chunks_of(job);
        self.counts(job).done == 0 && chunks.any(|(_, chunk)| has_failed(chunk))
    }
}
