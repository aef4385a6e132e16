//! An index of the tasks on machines, updated at every change so that invariants can be checked at every step of a
//! large simulation.

use glenmount_core::model::{JobSpec, TaskId};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Tasks on machines, and the processors that they use.
#[derive(Default)]
pub(crate) struct Placements {
    /// Thousandths of processors in use, by team.
    cpus_by_team: HashMap<String, u64>,
    /// Machines of tasks, by job and index.
    machines: HashMap<String, BTreeMap<u32, String>>,
    /// Cancelled jobs with the times by which all their tasks must have ended.
    deadlines: BTreeSet<(u64, String)>,
    cancelled_jobs: BTreeSet<String>,
}

impl Placements {
    /// Returns the machine that a task is on.
    pub fn machine_of(&self, task: &TaskId) -> Option<&str> {
        let machines = self.machines.get(&task.job)?;
        machines.get(&task.index).map(String::as_str)
    }

    /// Returns the index and the machine of each task of a job that is on a machine.
    pub fn machines_of_job(&self, job: &str) -> impl Iterator<Item = (u32, &str)> {
        let machines = self.machines.get(job).into_iter().flatten();
        machines.map(|(index, machine)| (*index, machine.as_str()))
    }

    /// Returns the thousandths of processors that a team uses.
    pub fn cpus_used(&self, team: &str) -> u64 {
        self.cpus_by_team.get(team).copied().unwrap_or(0)
    }

    /// Adds a task on a machine.
    pub fn add(&mut self, machine: &str, task: &TaskId, spec: &JobSpec) {
        let machines = self.machines.entry(task.job.clone()).or_default();
        machines.insert(task.index, machine.to_string());
        *self.cpus_by_team.entry(spec.team.clone()).or_default() += spec.resources.cpus;
    }

    /// Removes a task that has ended on its machine.
    pub fn remove(&mut self, machine: &str, task: &TaskId, spec: &JobSpec) {
        let machines = self.machines.get_mut(&task.job);
        let removed = machines.and_then(|machines| machines.remove(&task.index));
        assert_eq!(removed.as_deref(), Some(machine), "machine of {task}");
        *self
            .cpus_by_team
            .get_mut(&spec.team)
            .expect("a team with a placed task") -= spec.resources.cpus;
    }

    /// Adds a job that users were told to be cancelled, with the time by which its tasks must have ended.
    pub fn add_cancelled_job(&mut self, job: &str, deadline_ms: u64) {
        self.deadlines.insert((deadline_ms, job.to_string()));
        self.cancelled_jobs.insert(job.to_string());
    }

    /// Returns whether users were told that a job is cancelled.
    pub fn is_cancelled(&self, job: &str) -> bool {
        self.cancelled_jobs.contains(job)
    }

    /// Returns a task of a cancelled job that has not ended in time, if there is one.
    pub fn overdue_task(&self, now_ms: u64) -> Option<(TaskId, &str)> {
        let overdue = self
            .deadlines
            .iter()
            .take_while(|(deadline_ms, _)| *deadline_ms < now_ms);
        overdue.into_iter().find_map(|(_, job)| {
            let (index, machine) = self.machines_of_job(job).next()?;
            let job = job.clone();
            Some((TaskId { job, index }, machine))
        })
    }
}
