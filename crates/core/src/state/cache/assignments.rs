//! Indexes that the cache derives from chunks: tasks and used resources per machine, resource usage
//! per team, and task counts per job.

use super::StateCache;
use crate::model::{Resources, TaskId};
use crate::state::{Assignment, ChunkRecord, TeamRecord};
use std::collections::BTreeMap;

/// The tasks assigned to a machine, and the resources that they use.
#[derive(Debug, Default)]
pub(super) struct MachineAssignments {
    tasks: BTreeMap<TaskId, AssignedTask>,
    used: Resources,
}

/// A task's assignment, and the resources that it uses.
#[derive(Clone, Debug, PartialEq)]
pub struct AssignedTask {
    /// The assignment on record.
    pub assignment: Assignment,
    /// What the task takes of its machine, its entry in heartbeats included.
    pub resources: Resources,
}

/// The numbers of assigned and of done tasks of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TaskCounts {
    /// Number of tasks that are assigned to a machine.
    pub assigned: u32,
    /// Number of tasks that are done.
    pub done: u32,
}

/// Returns the assignments of `chunk` that are absent or different in `other`, an earlier or later
/// version of the same chunk.
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
    /// Returns the jobs with chunks on record, in any phase, and their task counts.
    pub fn task_counts_by_job(&self) -> impl Iterator<Item = (&str, TaskCounts)> {
        let counts = self.counts.iter();
        counts.map(|(job, counts)| (job.as_str(), *counts))
    }

    /// Returns the task counts of a job.
    pub fn task_counts(&self, job: &str) -> TaskCounts {
        self.counts.get(job).copied().unwrap_or_default()
    }

    /// Returns the tasks assigned to a machine.
    pub fn assignments(&self, machine: &str) -> impl Iterator<Item = (&TaskId, &AssignedTask)> {
        let assigned = self.assigned.get(machine).into_iter();
        assigned.flat_map(|assigned| &assigned.tasks)
    }

    /// Returns the machines that have assigned tasks but no record.
    pub fn unrecorded_machines(&self) -> impl Iterator<Item = &str> {
        let machines = self.assigned.keys().map(String::as_str);
        machines.filter(|machine| !self.machines.contains_key(*machine))
    }

    /// Returns the assignment of a task to this machine, if there is one.
    pub fn assignment(&self, machine: &str, task: &TaskId) -> Option<&AssignedTask> {
        self.assigned.get(machine)?.tasks.get(task)
    }

    /// Returns the assignment of an attempt of a task, on any machine.
    pub fn assignment_of_attempt(&self, task: &TaskId, attempt: u64) -> Option<&Assignment> {
        let chunk_number = self.job(&task.job)?.chunk_of(task.index);
        let assignment = self.chunk(&task.job, chunk_number)?.assignment(task.index);
        assignment.filter(|assignment| assignment.attempt == attempt)
    }

    /// Returns the number of tasks assigned to a machine.
    pub fn assigned_task_count(&self, machine: &str) -> usize {
        let assigned = self.assigned.get(machine);
        assigned.map_or(0, |assigned| assigned.tasks.len())
    }

    /// Returns the resources that the tasks assigned to a machine use.
    pub fn used_resources(&self, machine: &str) -> Resources {
        let assigned = self.assigned.get(machine);
        assigned.map_or(Resources::default(), |assigned| assigned.used)
    }

    /// Returns the resources that the assigned tasks of a team use.
    pub fn usage(&self, team: &str) -> TeamRecord {
        self.usage.get(team).cloned().unwrap_or_default()
    }

    /// Updates the indexes after a change of a chunk. `old` and `new` are the chunk before and
    /// after the change; none means that there was, or is, no record.
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
        let resources = chunk.resources.with_task_entry(job);
        let job = job.to_string();
        let task = TaskId { job, index };
        if let Some(assigned) = self.assigned.get_mut(&assignment.machine) {
            assigned.tasks.remove(&task);
            assigned.used = assigned.used.saturating_sub(&resources);
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
        let resources = chunk.resources.with_task_entry(job);
        let task = TaskId {
            job: job.to_string(),
            index,
        };
        let placed = AssignedTask {
            assignment: assignment.clone(),
            resources,
        };
        let assigned = self.assigned.entry(assignment.machine.clone()).or_default();
        assigned.used = assigned.used.saturating_add(&resources);
        assigned.tasks.insert(task, placed);
        let usage = self.usage.entry(chunk.team.clone()).or_default();
        usage.cpus = usage.cpus.saturating_add(resources.cpus);
        usage.gpus = usage.gpus.saturating_add(resources.gpus);
        self.record_image(&assignment.machine, job);
    }
}
