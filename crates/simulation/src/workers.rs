//! Workers and their machines: boots, restarts, failures and lease expiry.

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

/// A task attempt on a worker.
pub struct Task {
    /// Phase of the attempt.
    pub phase: TaskPhase,
}

/// The latest receipt of a worker's heartbeat by a controller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatReceipt {
    /// Time of the receipt.
    pub at_ms: u64,
    /// Index of the controller.
    pub controller: usize,
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
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// Incarnation of the worker, which each restart increments.
    pub incarnation: u64,
    /// Sequence number of its last heartbeat.
    pub sequence: u64,
    /// Highest fencing token that it has seen.
    pub fencing_token: u64,
    /// Time at which it last reported a higher token.
    pub(crate) token_reported_ms: Option<u64>,
    /// Start of its current lease.
    pub lease_renewed_ms: u64,
    /// Task attempts that no controller has told it to forget.
    pub tasks: BTreeMap<(TaskId, u64), Task>,
    /// Serial number of the heartbeat that awaits its reply.
    pub(crate) pending_heartbeat: Option<u64>,
    pub(crate) heartbeat_sent_ms: u64,
    /// Serial number of its last heartbeat.
    pub(crate) last_heartbeat_serial: u64,
    /// Index of the controller that it sends heartbeats to.
    pub controller: usize,
    /// Whether its machine is up.
    pub alive: bool,
    /// Latest receipt of its heartbeat by a controller.
    pub last_heard: HeartbeatReceipt,
    /// Time of the last start command that it executed.
    pub last_start_ms: u64,
    /// Whether it has no connection to any controller.
    pub disconnected: bool,
    /// Whether replies and commands to it are lost, while its heartbeats arrive.
    pub inbound_lost: bool,
    /// Whether its heartbeats are lost, while commands to it and their answers arrive.
    pub outbound_lost: bool,
    /// Time until which it is stalled; 0 if it is not.
    pub(crate) stalled_until_ms: u64,
    /// Actions that were due during the stall.
    pub(crate) deferred: Vec<Action>,
    /// Whether every task fails on it.
    pub fails_tasks: bool,
    /// Seconds until the cloud terminates the machine, if it has announced that.
    pub termination_notice_s: Option<f64>,
}

impl Worker {
    /// Returns the task attempts that have not exited.
    pub fn live_tasks(&self) -> impl Iterator<Item = &(TaskId, u64)> {
        self.tasks
            .iter()
            .filter(|(_, t)| !matches!(t.phase, TaskPhase::Exited(_)))
            .map(|(key, _)| key)
    }
}

impl Simulation {
    /// Boots a machine, which is up after a delay. Returns its name.
    pub fn boot_machine(
        &mut self,
        type_name: &str,
        zone: &str,
        spot: bool,
        delay_ms: u64,
    ) -> String {
        let name = format!("n-{:06}", self.cloud.provisioned);
        self.cloud.provisioned += 1;
        let worker = Worker {
            name: name.clone(),
            type_name: type_name.into(),
            zone: zone.into(),
            spot,
            incarnation: 1,
            lease_renewed_ms: self.now_ms + delay_ms,
            controller: self.rng.gen_range(0..self.settings.controllers.len()),
            ..Worker::default()
        };
        self.workers.insert(name.clone(), worker);
        self.schedule(delay_ms, Action::StartWorker(name.clone()));
        name
    }

    /// Starts the worker of a machine that is up: it sends its first heartbeat.
    pub(crate) fn start_worker(&mut self, name: String) {
        let now_ms = self.now_ms;
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.alive = true;
            worker.lease_renewed_ms = now_ms;
            self.schedule(1, Action::SendHeartbeat(name.clone()));
            self.schedule(self.settings.lease_ms + 1, Action::CheckLease(name));
        }
    }

    /// Restarts the worker of a machine, which ends all its tasks. The next incarnation starts after a delay.
    pub fn restart_machine(&mut self, name: &str, restart_after_ms: u64) {
        self.remove_all_placements(name);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.incarnation += 1;
            worker.tasks.clear();
            worker.pending_heartbeat = None;
            worker.lease_renewed_ms = self.now_ms + restart_after_ms;
            self.schedule(restart_after_ms, Action::SendHeartbeat(name.to_string()));
        }
    }

    /// Ends a machine for good, with all its tasks.
    pub fn kill_machine(&mut self, name: &str) {
        self.remove_all_placements(name);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.alive = false;
            worker.tasks.clear();
        }
    }

    /// Ends a worker's tasks and starts its next incarnation if its lease has expired.
    pub(crate) fn check_lease(&mut self, name: String) {
        let (now_ms, lease_ms) = (self.now_ms, self.settings.lease_ms);
        let Some(worker) = self.workers.get(&name).filter(|worker| worker.alive) else {
            return;
        };
        let expires_ms = worker.lease_renewed_ms + lease_ms;
        if now_ms <= expires_ms {
            self.schedule(expires_ms + 1 - now_ms, Action::CheckLease(name));
            return;
        }
        self.metrics.killed_by_lease += worker.live_tasks().count() as u32;
        self.remove_all_placements(&name);
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.incarnation += 1;
            worker.tasks.clear();
            worker.lease_renewed_ms = now_ms;
            worker.pending_heartbeat = None;
        }
        self.schedule(1, Action::SendHeartbeat(name.clone()));
        self.schedule(lease_ms + 1, Action::CheckLease(name));
    }

    /// Returns the number of running tasks of a job.
    pub fn running(&self, job: &str) -> usize {
        self.workers
            .values()
            .flat_map(|worker| worker.tasks.iter())
            .filter(|((id, _), task)| id.job == job && task.phase == TaskPhase::Running)
            .count()
    }

    /// Returns the first machine that has a task of a job.
    pub fn machine_of(&self, job: &str) -> Option<String> {
        self.workers
            .values()
            .find(|worker| worker.live_tasks().any(|(t, _)| t.job == job))
            .map(|worker| worker.name.clone())
    }

    /// Returns all machines that have tasks of a job.
    pub fn machines_of(&self, job: &str) -> Vec<String> {
        let has_task = |worker: &&Worker| worker.live_tasks().any(|(t, _)| t.job == job);
        let machines = self.workers.values().filter(has_task);
        machines.map(|worker| worker.name.clone()).collect()
    }
}
