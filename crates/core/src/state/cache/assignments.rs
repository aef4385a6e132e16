//! Indexes derived from chunks: tasks per machine, their resources, usage per team, counts per job.

use super::StateCache;
use crate::model::{Resources, TaskId};
use crate::state::{Assignment, ChunkRecord, TeamRecord};
use std::collections::BTreeMap;

/// A machine's assignments, and the resources that they use.
#[derive(Debug, Default)]
pub(super) struct MachineAssignments {
    tasks: BTreeMap<TaskId, Placed>,
    used: Resources,
}

/// A task's assignment, and the resources that it uses.
#[derive(Clone, Debug, PartialEq)]
pub struct Placed {
    /// The assignment on record.
    pub assignment: Assignment,
    /// What one task of the job uses.
    pub resources: Resources,
}

/// How many tasks of a job are assigned, and how many done.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Tasks that are assigned to a machine.
    pub assigned: u32,
    /// Tasks that are done.
    pub done: u32,
}

/// The assignments of `chunk` that `other`, an earlier or later state of it, lacks or has otherwise.
fn assignments_missing_in<'a>(
    chunk: Option<&'a ChunkRecord>,
    other: Option<&'a ChunkRecord>,
) -> impl Iterator<Item = (u32, &'a Assignment)> {
    let assigned = chunk.into_iter().flat_map(|chunk| chunk.assigned());
    assigned.filter(move |(index, assignment)| {
        other.and_then(|other| other.assignment(*index)) != Some(*assignment)
    })
}

impl StateCache {
    /// Jobs with chunks on record, open or not, and their counts.
    pub fn counted(&self) -> impl Iterator<Item = (&str, Counts)> {
        let counts = self.counts.iter();
        counts.map(|(job, counts)| (job.as_str(), *counts))
    }

    /// A job's counts.
    pub fn counts(&self, job: &str) -> Counts {
        self.counts.get(job).copied().unwrap_or_default()
    }

    /// Tasks assigned to a machine.
    pub fn assignments(&self, machine: &str) -> impl Iterator<Item = (&TaskId, &Placed)> {
        let assigned = self.assigned.get(machine).into_iter();
        assigned.flat_map(|assigned| &assigned.tasks)
    }

    /// A task's assignment, if it is to this machine.
    pub fn assignment(&self, machine: &str, task: &TaskId) -> Option<&Placed> {
        self.assigned.get(machine)?.tasks.get(task)
    }

    /// The assignment of one attempt of a task, to whatever machine.
    pub fn attempt(&self, task: &TaskId, attempt: u64) -> Option<&Assignment> {
        let n = self.job(&task.job)?.chunk_of(task.index);
        let assignment = self.chunk(&task.job, n)?.assignment(task.index);
        assignment.filter(|assignment| assignment.attempt == attempt)
    }

    /// How many tasks are assigned to a machine.
    pub fn assigned_tasks(&self, machine: &str) -> usize {
        let assigned = self.assigned.get(machine);
        assigned.map_or(0, |assigned| assigned.tasks.len())
    }

    /// Resources that the tasks assigned to a machine use.
    pub fn used(&self, machine: &str) -> Resources {
        let assigned = self.assigned.get(machine);
        assigned.map_or(Resources::default(), |assigned| assigned.used)
    }

    /// What a team's assigned tasks use.
    pub fn usage(&self, team: &str) -> TeamRecord {
        self.usage.get(team).cloned().unwrap_or_default()
    }

    /// Updates what is derived from chunks when one changes: `old` and `new` are its states before
    /// and after, none without a record.
    pub(super) fn update_assignments(
        &mut self,
        job: &str,
        old: Option<&ChunkRecord>,
        new: Option<&ChunkRecord>,
    ) {
        self.update_counts(job, old, new);
        if let Some(chunk) = old {
            for (index, assignment) in assignments_missing_in(old, new) {
                self.remove_assignment(job, index, assignment, chunk);
            }
        }
        if let Some(chunk) = new {
            for (index, assignment) in assignments_missing_in(new, old) {
                self.add_assignment(job, index, assignment, chunk);
            }
        }
    }

    fn update_counts(&mut self, job: &str, old: Option<&ChunkRecord>, new: Option<&ChunkRecord>) {
        if !self.chunks.contains_key(job) {
            self.counts.remove(job);
            return;
        }
        let counts = self.counts.entry(job.to_string()).or_default();
        if let Some(old) = old {
            let assigned = old.assigned().count() as u32;
            counts.assigned = counts.assigned.saturating_sub(assigned);
            counts.done = counts.done.saturating_sub(old.done());
        }
        if let Some(new) = new {
            counts.assigned += new.assigned().count() as u32;
            counts.done += new.done();
        }
    }

    fn remove_assignment(
        &mut self,
        job: &str,
        index: u32,
        assignment: &Assignment,
        chunk: &ChunkRecord,
    ) {
        let job = job.to_string();
        let task = TaskId { job, index };
        if let Some(assigned) = self.assigned.get_mut(&assignment.machine) {
            assigned.tasks.remove(&task);
            assigned.used = assigned.used.saturating_sub(&chunk.resources);
            if assigned.tasks.is_empty() {
                self.assigned.remove(&assignment.machine);
            }
        }
        if let Some(usage) = self.usage.get_mut(&chunk.team) {
            usage.cpus = usage.cpus.saturating_sub(chunk.resources.cpus);
            usage.gpus = usage.gpus.saturating_sub(chunk.resources.gpus);
        }
    }

    fn add_assignment(
        &mut self,
        job: &str,
        index: u32,
        assignment: &Assignment,
        chunk: &ChunkRecord,
    ) {
        let resources = chunk.resources;
        let task = TaskId {
            job: job.to_string(),
            index,
        };
        let placed = Placed {
            assignment: assignment.clone(),
            resources,
        };
        let assigned = self.assigned.entry(assignment.machine.clone()).or_default();
        assigned.used = assigned.used.saturating_add(&resources);
        assigned.tasks.insert(task, placed);
        let usage = self.usage.entry(chunk.team.clone()).or_default();
        usage.cpus = usage.cpus.saturating_add(resources.cpus);
        usage.gpus = usage.gpus.saturating_add(resources.gpus);
        self.note_image(&assignment.machine, job);
    }
}
