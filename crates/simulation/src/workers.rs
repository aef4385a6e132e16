//! Workers: their machines come up, restart and die, and their leases end.

mod commands;
mod heartbeats;
mod tasks;

pub(crate) use commands::Command;
pub(crate) use heartbeats::{HeartbeatReply, SentReport};
pub(crate) use tasks::TaskChange;

use crate::{Act, World};
use glenmount_core::model::{TaskId, TaskPhase};
use rand::Rng;
use std::collections::BTreeMap;

pub struct Task {
    pub phase: TaskPhase,
}

#[derive(Default)]
pub struct Worker {
    pub name: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub incarnation: u64,
    pub sequence: u64,
    pub token: u64,
    /// When it last told a higher token.
    pub(crate) token_said: Option<u64>,
    pub lease_from: u64,
    pub tasks: BTreeMap<(TaskId, u64), Task>,
    pub(crate) in_flight: Option<u64>,
    pub(crate) sent_at: u64,
    pub(crate) serial: u64,
    pub controller: usize,
    pub alive: bool,
    /// When a controller last got a heartbeat of it, and which.
    pub heard: (u64, usize),
    /// When it was last told to start something.
    pub told_start: u64,
    pub cut: bool,
    /// Its reports arrive; answers and commands to it are lost.
    pub deaf: bool,
    /// Its reports reach no controller; commands to it arrive, and so do their answers.
    pub mute: bool,
    /// Until when it hangs, and what comes to it meanwhile.
    pub(crate) hangs_until: u64,
    pub(crate) hung: Vec<Act>,
    pub fails_all: bool,
    pub notice_s: Option<f64>,
}

impl Worker {
    pub fn live(&self) -> impl Iterator<Item = &(TaskId, u64)> {
        self.tasks
            .iter()
            .filter(|(_, t)| !matches!(t.phase, TaskPhase::Exited(_)))
            .map(|(k, _)| k)
    }
}

impl World {
    pub fn boot_machine(&mut self, type_name: &str, zone: &str, spot: bool, delay: u64) -> String {
        let name = format!("n-{:06}", self.rented);
        self.rented += 1;
        let worker = Worker {
            name: name.clone(),
            type_name: type_name.into(),
            zone: zone.into(),
            spot,
            incarnation: 1,
            lease_from: self.now + delay,
            controller: self.rng.gen_range(0..self.settings.controllers.len()),
            ..Worker::default()
        };
        self.workers.insert(name.clone(), worker);
        self.at(delay, Act::Boot(name.clone()));
        name
    }

    /// A machine is up: its worker begins to report.
    pub(crate) fn machine_is_up(&mut self, name: String) {
        let now = self.now;
        if let Some(w) = self.workers.get_mut(&name) {
            w.alive = true;
            w.lease_from = now;
            self.at(1, Act::Report(name.clone()));
            self.at(self.settings.lease_ms + 1, Act::Lease(name));
        }
    }

    /// A machine's process ends, with all its tasks, and is back so long after, as a newer incarnation.
    pub fn restart_machine(&mut self, name: &str, back_after: u64) {
        self.all_off(name);
        if let Some(w) = self.workers.get_mut(name) {
            w.incarnation += 1;
            w.tasks.clear();
            w.in_flight = None;
            w.lease_from = self.now + back_after;
            self.at(back_after, Act::Report(name.to_string()));
        }
    }

    pub fn kill_machine(&mut self, name: &str) {
        self.all_off(name);
        if let Some(w) = self.workers.get_mut(name) {
            w.alive = false;
            w.tasks.clear();
        }
    }

    /// Ends a worker's tasks if its lease has ended.
    pub(crate) fn check_lease(&mut self, name: String) {
        let (now, lease) = (self.now, self.settings.lease_ms);
        let Some(w) = self.workers.get(&name).filter(|w| w.alive) else {
            return;
        };
        let ends = w.lease_from + lease;
        if now <= ends {
            self.at(ends + 1 - now, Act::Lease(name));
            return;
        }
        self.killed += w.live().count() as u32;
        self.all_off(&name);
        if let Some(w) = self.workers.get_mut(&name) {
            w.incarnation += 1;
            w.tasks.clear();
            w.lease_from = now;
            w.in_flight = None;
        }
        self.at(1, Act::Report(name.clone()));
        self.at(lease + 1, Act::Lease(name));
    }

    pub fn running(&self, job: &str) -> usize {
        self.workers
            .values()
            .flat_map(|w| w.tasks.iter())
            .filter(|((t, _), s)| t.job == job && s.phase == TaskPhase::Running)
            .count()
    }

    pub fn machine_of(&self, job: &str) -> Option<String> {
        self.workers
            .values()
            .find(|w| w.live().any(|(t, _)| t.job == job))
            .map(|w| w.name.clone())
    }

    /// Machines on which a job's tasks are.
    pub fn machines_of(&self, job: &str) -> Vec<String> {
        let holds = |w: &&Worker| w.live().any(|(t, _)| t.job == job);
        let those = self.workers.values().filter(holds);
        those.map(|w| w.name.clone()).collect()
    }
}
