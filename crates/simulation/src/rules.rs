//! What is where, kept as it changes, so that the rules are checked at each step of a large world.

use glenmount_core::model::{JobSpec, TaskId};
use std::collections::{BTreeMap, BTreeSet, HashMap};

#[derive(Default)]
pub(crate) struct Rules {
    /// Thousandths of processors that a team's tasks take.
    used: HashMap<String, u64>,
    /// Tasks that are on machines, by their jobs.
    live: HashMap<String, BTreeMap<u32, String>>,
    /// When nothing may be left of a job that was told to be cancelled.
    ends: BTreeSet<(u64, String)>,
    cancelled: BTreeSet<String>,
}

impl Rules {
    pub fn place(&self, task: &TaskId) -> Option<&str> {
        let places = self.live.get(&task.job)?;
        places.get(&task.index).map(String::as_str)
    }
    pub fn places(&self, job: &str) -> impl Iterator<Item = (u32, &str)> {
        let places = self.live.get(job).into_iter().flatten();
        places.map(|(index, machine)| (*index, machine.as_str()))
    }
    pub fn used(&self, team: &str) -> u64 {
        self.used.get(team).copied().unwrap_or(0)
    }
    pub fn goes_on(&mut self, machine: &str, task: &TaskId, spec: &JobSpec) {
        let places = self.live.entry(task.job.clone()).or_default();
        places.insert(task.index, machine.to_string());
        *self.used.entry(spec.team.clone()).or_default() += spec.resources.cpus;
    }
    pub fn goes_off(&mut self, machine: &str, task: &TaskId, spec: &JobSpec) {
        let places = self.live.get_mut(&task.job);
        let gone = places.and_then(|p| p.remove(&task.index));
        assert_eq!(gone.as_deref(), Some(machine), "{task} was not there");
        *self.used.get_mut(&spec.team).expect("it ran") -= spec.resources.cpus;
    }
    pub fn is_cancelled(&mut self, job: &str, ends: u64) {
        self.ends.insert((ends, job.to_string()));
        self.cancelled.insert(job.to_string());
    }
    pub fn cancelled(&self, job: &str) -> bool {
        self.cancelled.contains(job)
    }
    /// A task that is left of a cancelled job after its time.
    pub fn outlives(&self, now: u64) -> Option<(TaskId, &str)> {
        let late = self.ends.iter().take_while(|(ends, _)| *ends < now);
        late.into_iter().find_map(|(_, job)| {
            let (index, machine) = self.places(job).next()?;
            let job = job.clone();
            Some((TaskId { job, index }, machine))
        })
    }
}
