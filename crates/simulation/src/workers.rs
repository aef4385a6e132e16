//! Workers: their machines come up, restart and die, and their leases end.

mod commands;
mod heartbeats;
mod tasks;

pub(crate) use commands::Command;
pub(crate) use heartbeats::{HeartbeatReply, PendingHeartbeat};
pub(crate) use tasks::PhaseChange;

use crate::{Action, Simulation};
use glenmount_core::model::{TaskId, TaskPhase};
use rand::Rng;
use std::collections::BTreeMap;

/// An attempt of a task on a worker.
pub struct Task {
    /// Its phase.
    pub phase: TaskPhase,
}

/// When a controller last got a heartbeat of a worker, and which controller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// When.
    pub at_ms: u64,
    /// The controller.
    pub by: usize,
}

/// A worker and its machine.
#[derive(Default)]
pub struct Worker {
    /// Name of the machine.
    pub name: String,
    /// Type of the machine.
    pub type_name: String,
    /// Zone of the machine.
    pub zone: String,
    /// It is a spot machine.
    pub spot: bool,
    /// Number of the worker's process.
    pub incarnation: u64,
    /// Sequence number of its last heartbeat.
    pub sequence: u64,
    /// Highest fencing token that it has seen.
    pub fencing_token: u64,
    /// When it last told a higher token.
    pub(crate) token_reported_ms: Option<u64>,
    /// Since when its lease runs.
    pub lease_renewed_ms: u64,
    /// Attempts of tasks that it has not forgotten.
    pub tasks: BTreeMap<(TaskId, u64), Task>,
    pub(crate) pending_heartbeat: Option<u64>,
    pub(crate) heartbeat_sent_ms: u64,
    pub(crate) last_heartbeat: u64,
    /// The controller that it sends heartbeats to.
    pub controller: usize,
    /// Its machine is up.
    pub alive: bool,
    /// When a controller last got a heartbeat of it, and which.
    pub last_heard: Heard,
    /// When it was last told to start something.
    pub last_start_ms: u64,
    /// It has no connection to any controller.
    pub disconnected: bool,
    /// Its reports arrive; answers and commands to it are lost.
    pub inbound_lost: bool,
    /// Its reports reach no controller; commands to it arrive, and so do their answers.
    pub outbound_lost: bool,
    /// Until when it is stalled, and what comes to it meanwhile.
    pub(crate) stalled_until_ms: u64,
    pub(crate) deferred: Vec<Action>,
    /// Every task fails on it.
    pub fails_tasks: bool,
    /// Seconds until the cloud takes the machine away, if it has said so.
    pub termination_notice_s: Option<f64>,
}

impl Worker {
    /// Attempts that have not ended.
    pub fn live_tasks(&self) -> impl Iterator<Item = &(TaskId, u64)> {
        self.tasks
            .iter()
            .filter(|(_, t)| !matches!(t.phase, TaskPhase::Exited(_)))
            .map(|(k, _)| k)
    }
}

impl Simulation {
    /// A machine of a type comes up after so many milliseconds. Returns its name.
    pub fn boot_machine(&mut self, type_name: &str, zone: &str, spot: bool, delay: u64) -> String {
        let name = format!("n-{:06}", self.cloud.provisioned);
        self.cloud.provisioned += 1;
        let worker = Worker {
            name: name.clone(),
            type_name: type_name.into(),
            zone: zone.into(),
            spot,
            incarnation: 1,
            lease_renewed_ms: self.now_ms + delay,
            controller: self.rng.gen_range(0..self.settings.controllers.len()),
            ..Worker::default()
        };
        self.workers.insert(name.clone(), worker);
        self.schedule(delay, Action::StartWorker(name.clone()));
        name
    }

    /// A machine is up: its worker begins to report.
    pub(crate) fn start_worker(&mut self, name: String) {
        let now = self.now_ms;
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.alive = true;
            worker.lease_renewed_ms = now;
            self.schedule(1, Action::SendHeartbeat(name.clone()));
            self.schedule(self.settings.lease_ms + 1, Action::CheckLease(name));
        }
    }

    /// A machine's process ends, with all its tasks, and is back so long after, as a newer incarnation.
    pub fn restart_machine(&mut self, name: &str, back_after: u64) {
        self.remove_all_placements(name);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.incarnation += 1;
            worker.tasks.clear();
            worker.pending_heartbeat = None;
            worker.lease_renewed_ms = self.now_ms + back_after;
            self.schedule(back_after, Action::SendHeartbeat(name.to_string()));
        }
    }

    /// A machine dies.
    pub fn kill_machine(&mut self, name: &str) {
        self.remove_all_placements(name);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.alive = false;
            worker.tasks.clear();
        }
    }

    /// Ends a worker's tasks if its lease has ended.
    pub(crate) fn check_lease(&mut self, name: String) {
        let (now, lease) = (self.now_ms, self.settings.lease_ms);
        let Some(worker) = self.workers.get(&name).filter(|worker| worker.alive) else {
            return;
        };
        let ends = worker.lease_renewed_ms + lease;
        if now <= ends {
            self.schedule(ends + 1 - now, Action::CheckLease(name));
            return;
        }
        self.metrics.killed_by_lease += worker.live_tasks().count() as u32;
        self.remove_all_placements(&name);
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.incarnation += 1;
            worker.tasks.clear();
            worker.lease_renewed_ms = now;
            worker.pending_heartbeat = None;
        }
        self.schedule(1, Action::SendHeartbeat(name.clone()));
        self.schedule(lease + 1, Action::CheckLease(name));
    }

    /// How many tasks of a job run.
    pub fn running(&self, job: &str) -> usize {
        self.workers
            .values()
            .flat_map(|worker| worker.tasks.iter())
            .filter(|((t, _), s)| t.job == job && s.phase == TaskPhase::Running)
            .count()
    }

    /// A machine on which a task of a job is.
    pub fn machine_of(&self, job: &str) -> Option<String> {
        self.workers
            .values()
            .find(|worker| worker.live_tasks().any(|(t, _)| t.job == job))
            .map(|worker| worker.name.clone())
    }

    /// Machines on which a job's tasks are.
    pub fn machines_of(&self, job: &str) -> Vec<String> {
        let holds = |worker: &&Worker| worker.live_tasks().any(|(t, _)| t.job == job);
        let those = self.workers.values().filter(holds);
        those.map(|worker| worker.name.clone()).collect()
    }
}
