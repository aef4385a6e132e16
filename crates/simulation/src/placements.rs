//! What is where, kept as it changes, so that the rules are checked at each step of a large world.

use glenmount_core::model::{JobSpec, TaskId};
use std::collections::{BTreeMap, BTreeSet, HashMap};

#[derive(Default)]
pub(crate) struct Placements {
    /// Thousandths of processors that a team's tasks take.
    cpus_by_team: HashMap<String, u64>,
    /// Tasks that are on machines, by their jobs.
    machines: HashMap<String, BTreeMap<u32, String>>,
    /// When nothing may be left of a job that was told to be cancelled.
    deadlines: BTreeSet<(u64, String)>,
    cancelled_jobs: BTreeSet<String>,
}

impl Placements {
    pub fn machine_of(&self, task: &TaskId) -> Option<&str> {
        let places = self.machines.get(&task.job)?;
        places.get(&task.index).map(String::as_str)
    }
    pub fn machines_of_job(&self, job: &str) -> impl Iterator<Item = (u32, &str)> {
        let places = self.machines.get(job).into_iter().flatten();
        places.map(|(index, machine)| (*index, machine.as_str()))
    }
    pub fn cpus_used(&self, team: &str) -> u64 {
        self.cpus_by_team.get(team).copied().unwrap_or(0)
    }
    pub fn add(&mut self, machine: &str, task: &TaskId, spec: &JobSpec) {
        let places = self.machines.entry(task.job.clone()).or_default();
        places.insert(task.index, machine.to_string());
        *self.cpus_by_team.entry(spec.team.clone()).or_default() += spec.resources.cpus;
    }
    pub fn remove(&mut self, machine: &str, task: &TaskId, spec: &JobSpec) {
        let places = self.machines.get_mut(&task.job);
        let gone = places.and_then(|p| p.remove(&task.index));
        assert_eq!(gone.as_deref(), Some(machine), "{task} was not there");
        *self.cpus_by_team.get_mut(&spec.team).expect("it ran") -= spec.resources.cpus;
    }
    pub fn add_cancelled_job(&mut self, job: &str, ends: u64) {
        self.deadlines.insert((ends, job.to_string()));
        self.cancelled_jobs.insert(job.to_string());
    }
    pub fn is_cancelled(&self, job: &str) -> bool {
        self.cancelled_jobs.contains(job)
    }
    /// A task that is left of a cancelled job after its time.
    pub fn overdue_task(&self, now: u64) -> Option<(TaskId, &str)> {
        let late = self.deadlines.iter().take_while(|(ends, _)| *ends < now);
        late.into_iter().find_map(|(_, job)| {
            let (index, machine) = self.machines_of_job(job).next()?;
            let job = job.clone();
            Some((TaskId { job, index }, machine))
        })
    }
}
