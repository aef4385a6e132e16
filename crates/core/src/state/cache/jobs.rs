//! Jobs of the cache: which are open, which wait, and which depend on which.

use super::StateCache;
use crate::constants::FAULTY_MACHINES;
use crate::model::{JobSpec, WallMs};
use crate::state::{ChunkRecord, Dependents, JobPhase, JobRecord, Key};
use std::collections::BTreeSet;

impl StateCache {
    /// What an open job asks for.
    pub fn open_job(&self, id: &str) -> Option<&JobSpec> {
        self.job(id).and_then(|j| j.open())
    }

    /// Open jobs, in order of their names.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&str, &JobRecord, &JobSpec)> {
        self.with_specs(&self.open)
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

    /// Open jobs with tasks that wait for a machine, and for no other job, in order of their names.
    pub fn waiting_jobs(&self) -> impl Iterator<Item = (&str, &JobRecord, &JobSpec)> {
        self.with_specs(&self.waiting)
    }

    pub(super) fn note_waiting(&mut self, id: &str) {
        let counts = self.counts(id);
        let job = self.job(id).filter(|j| j.open().is_some());
        let waits = job.is_some_and(|j| counts.assigned + counts.done < j.tasks);
        if waits && !self.blocked(id) {
            if !self.waiting.contains(id) {
                self.waiting.insert(id.to_string());
            }
        } else {
            self.waiting.remove(id);
        }
    }

    /// Whether an open job awaits one that is not done on record. `Done` is final, so what is
    /// found not to be blocked never is again.
    pub fn blocked(&self, id: &str) -> bool {
        let done = |a: &String| self.job(a).is_some_and(|j| j.phase == JobPhase::Done);
        self.open_job(id)
            .is_some_and(|s| !s.dependencies.iter().all(done))
    }

    /// Whether an open job needs a cancelled one, directly or through others, that is told as such.
    /// Nothing of it has run or ever will, so it counts as cancelled before its own record says so.
    pub fn doomed(&self, id: &str) -> bool {
        self.dependents.doomed().contains(id) && self.needs_ended(id)
    }

    fn needs_ended(&self, id: &str) -> bool {
        let mut next: Vec<&str> = vec![id];
        let mut seen: BTreeSet<&str> = BTreeSet::new();
        while let Some(id) = next.pop() {
            for dependency in self.open_job(id).iter().flat_map(|s| &s.dependencies) {
                match self.job(dependency).map(|j| j.phase) {
                    Some(JobPhase::Cancelled) if !self.ending(dependency) => return true,
                    Some(JobPhase::Open) if seen.insert(dependency) => next.push(dependency),
                    _ => {}
                }
            }
        }
        false
    }

    /// Whether a job is cancelled on record, but not to be told as such yet: tasks of it may still
    /// be somewhere. The copy must have reached the cancellation, or it may lack a claim that came
    /// before. No claim comes after, so what is found to be over is so for good.
    pub fn ending(&self, id: &str) -> bool {
        let (mod_revision, settled) = (
            self.job_revision(id),
            self.mod_revision(&Key::CancellationConfirmation),
        );
        let cancelled = self.job(id).is_some_and(|j| j.phase == JobPhase::Cancelled);
        cancelled
            && settled > 0
            && mod_revision > settled
            && (self.revision < mod_revision || self.counts(id).assigned > 0)
    }

    pub fn dependents(&self) -> &Dependents {
        &self.dependents
    }

    /// From when on a job's tasks could start: its acceptance, or the end of the last job that it
    /// awaits. The same for every controller.
    pub fn ready_at(&self, job: &JobRecord) -> WallMs {
        let dependencies = job.spec.iter().flat_map(|s| &s.dependencies);
        let ends = dependencies.filter_map(|a| self.job(a).map(|j| j.ended));
        ends.fold(job.at, WallMs::max)
    }

    /// Keeps what depends on a job's phase in step with a record that changed.
    pub(super) fn job_changed(&mut self, id: &str, dependency: Vec<String>) {
        let spec = self.job(id).and_then(|j| j.open());
        let dependencies = spec.map_or(Vec::new(), |s| s.dependencies.clone());
        let phase = self.job(id).map(|j| j.phase);
        let cancelled = |a: &String| {
            let phase = self.jobs.get(a).map(|(j, _)| j.phase);
            phase == Some(JobPhase::Cancelled) || self.dependents.doomed().contains(a)
        };
        let dooms = dependencies.iter().any(cancelled);
        self.dependents.link(id, &dependency, &dependencies);
        self.note_waiting(id);
        match phase {
            Some(JobPhase::Cancelled) => self.dependents.cancelled(id),
            _ if dooms => self.dependents.doom(id),
            _ => {}
        }
        for dependent in self.dependents.of(id) {
            self.note_waiting(&dependent);
        }
    }

    /// Whether a job seems to have been submitted with a mistake: it has failed on several machines
    /// and nothing of it has ever succeeded.
    pub fn suspect(&self, job: &str) -> bool {
        let failed = |c: &ChunkRecord| c.failed_on.len() >= FAULTY_MACHINES;
        self.counts(job).done == 0 && self.chunks_of(job).any(|(_, c)| failed(c))
    }
}
