//! What is gathered from chunks: tasks per machine, their resources, usage per team, counts per job.

use super::StateCache;
use crate::model::{Resources, TaskId};
use crate::state::{Assignment, ChunkRecord, TeamRecord};
use std::collections::BTreeMap;

/// What a machine holds, gathered from the chunks.
#[derive(Debug, Default)]
pub(super) struct Holding {
    pub(super) tasks: BTreeMap<TaskId, Placed>,
    used: Resources,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Placed {
    pub assignment: Assignment,
    pub resources: Resources,
}

/// Tasks of a job by state, gathered from its chunks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub assigned: u32,
    pub done: u32,
}

impl StateCache {
    /// Jobs with chunks on record, open or not, and how far they are.
    pub fn counted(&self) -> impl Iterator<Item = (&str, Counts)> {
        self.counts.iter().map(|(id, c)| (id.as_str(), *c))
    }

    pub fn counts(&self, job: &str) -> Counts {
        self.counts.get(job).copied().unwrap_or_default()
    }

    /// Tasks assigned to a machine.
    pub fn assignments(&self, machine: &str) -> impl Iterator<Item = (&TaskId, &Placed)> {
        self.held.get(machine).into_iter().flat_map(|h| &h.tasks)
    }

    pub fn assignment(&self, machine: &str, task: &TaskId) -> Option<&Placed> {
        self.held.get(machine)?.tasks.get(task)
    }

    /// The assignment of one attempt of a task, wherever it stands.
    pub fn attempt(&self, task: &TaskId, attempt: u64) -> Option<&Assignment> {
        let n = self.job(&task.job)?.chunk_of(task.index);
        let assignment = self.chunk(&task.job, n)?.assignment(task.index);
        assignment.filter(|b| b.attempt == attempt)
    }

    pub fn assigned_tasks(&self, machine: &str) -> usize {
        self.held.get(machine).map_or(0, |h| h.tasks.len())
    }

    /// Room taken on a machine.
    pub fn used(&self, machine: &str) -> Resources {
        self.held
            .get(machine)
            .map_or(Resources::default(), |h| h.used)
    }

    pub fn usage(&self, team: &str) -> TeamRecord {
        self.usage.get(team).cloned().unwrap_or_default()
    }

    /// Keeps what is gathered from chunks in step with one that changed.
    pub(super) fn gather(&mut self, job: &str, old: Option<ChunkRecord>, new: Option<ChunkRecord>) {
        let counts = self.counts.entry(job.to_string()).or_default();
        for (chunk, add) in [(&old, false), (&new, true)] {
            let Some(chunk) = chunk else { continue };
            let assigned = chunk.assigned().count() as u32;
            let done = chunk.done();
            if add {
                counts.assigned += assigned;
                counts.done += done;
            } else {
                counts.assigned = counts.assigned.saturating_sub(assigned);
                counts.done = counts.done.saturating_sub(done);
            }
        }
        if !self.chunks.contains_key(job) {
            self.counts.remove(job);
        }
        let assignment = |chunk: &Option<ChunkRecord>, index| {
            chunk.as_ref().and_then(|c| c.assignment(index)).cloned()
        };
        for (index, b) in old.iter().flat_map(|c| c.assigned()) {
            if assignment(&new, index).as_ref() != Some(b) {
                let resources = old.as_ref().map_or(Resources::default(), |c| c.resources);
                let task = TaskId {
                    job: job.to_string(),
                    index,
                };
                if let Some(holding) = self.held.get_mut(&b.machine) {
                    holding.tasks.remove(&task);
                    holding.used = holding.used.less(&resources);
                    if holding.tasks.is_empty() {
                        self.held.remove(&b.machine);
                    }
                }
                let team = old.as_ref().map_or("", |c| c.team.as_str());
                if let Some(usage) = self.usage.get_mut(team) {
                    usage.cpus = usage.cpus.saturating_sub(resources.cpus);
                    usage.gpus = usage.gpus.saturating_sub(resources.gpus);
                }
            }
        }
        let Some(chunk) = &new else { return };
        for (index, b) in chunk.assigned() {
            if assignment(&old, index).as_ref() != Some(b) {
                let task = TaskId {
                    job: job.to_string(),
                    index,
                };
                let resources = chunk.resources;
                let holding = self.held.entry(b.machine.clone()).or_default();
                holding.used = holding.used.plus(&resources);
                holding.tasks.insert(
                    task,
                    Placed {
                        assignment: b.clone(),
                        resources,
                    },
                );
                let usage = self.usage.entry(chunk.team.clone()).or_default();
                usage.cpus = usage.cpus.saturating_add(resources.cpus);
                usage.gpus = usage.gpus.saturating_add(resources.gpus);
                self.note_image(&b.machine, job);
            }
        }
    }
}
