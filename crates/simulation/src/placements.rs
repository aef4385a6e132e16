//! Which task is on which machine, kept up to date at every change so that invariants can be checked at every step
//! of a large simulation.

use glenmount_core::model::{JobSpec, TaskId};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Tasks on machines, and what they use.
#[derive(Default)]
pub(crate) struct Placements {
    /// Thousandths of processors in use, by team.
    cpus_by_team: HashMap<String, u64>,
    /// Machines of tasks, by job and index.
    machines: HashMap<String, BTreeMap<u32, String>>,
    /// Times by which all tasks of cancelled jobs must have ended.
    deadlines: BTreeSet<(u64, String)>,
    cancelled_jobs: BTreeSet<String>,
}

impl Placements {
    /// The machine that a task is on.
    pub fn machine_of(&self, task: &TaskId) -> Option<&str> {
        let places = self.machines.get(&task.job)?;
        places.get(&task.index).map(String::as_str)
    }

    /// Index and machine of each task of a job that is on one.
    pub fn machines_of_job(&self, job: &str) -> impl Iterator<Item = (u32, &str)> {
        let places = self.machines.get(job).into_iter().flatten();
        places.map(|(index, machine)| (*index, machine.as_str()))
    }

    /// Thousandths of processors that a team uses.
    pub fn cpus_used(&self, team: &str) -> u64 {
        self.cpus_by_team.get(team).copied().unwrap_or(0)
    }

    /// A task is put on a machine.
    pub fn add(&mut self, machine: &str, task: &TaskId, spec: &JobSpec) {
        let places = self.machines.entry(task.job.clone()).or_default();
        places.insert(task.index, machine.to_string());
        *self.cpus_by_team.entry(spec.team.clone()).or_default() += spec.resources.cpus;
    }

    /// A task has ended on its machine.
    pub fn remove(&mut self, machine: &str, task: &TaskId, spec: &JobSpec) {
        let places = self.machines.get_mut(&task.job);
        let gone = places.and_then(|p| p.remove(&task.index));
        assert_eq!(gone.as_deref(), Some(machine), "{task} was not there");
        *self
            .cpus_by_team
            .get_mut(&spec.team)
            .expect("its team uses processors") -= spec.resources.cpus;
    }

    /// Users were told that a job is cancelled: its tasks must have ended by a time.
    pub fn add_cancelled_job(&mut self, job: &str, ends: u64) {
        self.deadlines.insert((ends, job.to_string()));
        self.cancelled_jobs.insert(job.to_string());
    }

    /// Whether users were told that a job is cancelled.
    pub fn is_cancelled(&self, job: &str) -> bool {
        self.cancelled_jobs.contains(job)
    }

    /// A task of a cancelled job that has not ended in time.
    pub fn overdue_task(&self, now: u64) -> Option<(TaskId, &str)> {
        let late = self.deadlines.iter().take_while(|(ends, _)| *ends < now);
        late.into_iter().find_map(|(_, job)| {
            let (index, machine) = self.machines_of_job(job).next()?;
            let job = job.clone();
            Some((TaskId { job, index }, machine))
        })
    }
}
