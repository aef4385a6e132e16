//! Heartbeats of workers to controllers, and the replies.

use super::{HeartbeatReceipt, Worker};
use crate::message_sizes::{heartbeat_bytes, is_oversized};
use crate::{Action, Simulation};
use glenmount_core::controller::{Event, WorkerReply};
use glenmount_core::model::{TaskStatus, WorkerHeartbeat};
use rand::Rng;

/// Time that a worker waits for the reply to a heartbeat.
const HEARTBEAT_TIMEOUT_MS: u64 = 4_000;
/// Delay after which a worker tries the next controller.
const RETRY_MS: u64 = 1_000;
/// Delay after which a worker follows a redirect.
const REDIRECT_MS: u64 = 100;
/// Time after a controller's start within which the kept heartbeats arrive.
const KEPT_HEARTBEATS_WINDOW_MS: u64 = 3_000;
/// Maximum number of kept heartbeats that are delivered, the latest ones.
const KEPT_HEARTBEATS_MAX: usize = 400;

/// A heartbeat that a controller has received and not yet answered.
#[derive(Clone, Debug)]
pub(crate) struct PendingHeartbeat {
    pub worker: String,
    pub incarnation: u64,
    pub serial: u64,
}

/// The reply to a heartbeat.
#[derive(Clone, Debug)]
pub(crate) struct HeartbeatReply {
    pub heartbeat: PendingHeartbeat,
    pub reply: WorkerReply,
}

impl Simulation {
    /// Returns the heartbeat that a machine would send now.
    pub fn heartbeat_of(&self, machine: &str) -> WorkerHeartbeat {
        let worker = &self.workers[machine];
        WorkerHeartbeat {
            machine: worker.name.clone(),
            address: "10.0.0.9:9000".into(),
            type_name: worker.type_name.clone(),
            zone: worker.zone.clone(),
            spot: worker.spot,
            incarnation: worker.incarnation,
            sequence: worker.sequence,
            token: worker.fencing_token,
            notice_s: worker.termination_notice_s,
            tasks: worker
                .tasks
                .iter()
                .map(|((id, attempt), task)| TaskStatus {
                    task: id.clone(),
                    attempt: *attempt,
                    phase: task.phase,
                })
                .collect(),
        }
    }

    /// Delivers an old heartbeat of a machine, without tasks, to a controller.
    pub fn inject_stale_heartbeat(&mut self, controller: usize, machine: &str, sequence: u64) {
        let heartbeat = WorkerHeartbeat {
            sequence,
            notice_s: None,
            tasks: Vec::new(),
            ..self.heartbeat_of(machine)
        };
        self.inject_heartbeat(controller, &heartbeat);
    }

    /// Delivers a copy of a heartbeat to a controller.
    pub fn inject_heartbeat(&mut self, controller: usize, heartbeat: &WorkerHeartbeat) {
        self.schedule(
            1,
            Action::DeliverHeartbeat {
                controller,
                heartbeat: heartbeat.clone(),
                serial: 0,
            },
        );
    }

    /// Lets a worker send a heartbeat, unless it waits for the reply to another or is stalled.
    pub(crate) fn send_heartbeat(&mut self, name: &str) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if !worker.alive || worker.pending_heartbeat.is_some() {
            return;
        }
        if worker.stalled_until_ms > 0 {
            worker
                .deferred
                .push(Action::SendHeartbeat(name.to_string()));
            return;
        }
        worker.sequence += 1;
        worker.last_heartbeat_serial += 1;
        let serial = worker.last_heartbeat_serial;
        worker.pending_heartbeat = Some(serial);
        worker.heartbeat_sent_ms = self.now_ms;
        let worker = name.to_string();
        self.schedule(
            HEARTBEAT_TIMEOUT_MS,
            Action::TimeOutHeartbeat { worker, serial },
        );
        self.transmit_heartbeat(name, serial);
    }

    /// Transmits a worker's heartbeat, which faults may lose, delay or duplicate.
    fn transmit_heartbeat(&mut self, name: &str, serial: u64) {
        let faults = self.network.faults.clone();
        let worker = &self.workers[name];
        let (controller, is_cut) = (
            worker.controller,
            worker.disconnected || worker.outbound_lost,
        );
        let heartbeat = self.heartbeat_of(name);
        let bytes = heartbeat_bytes(&heartbeat);
        self.metrics.largest_worker_heartbeat_bytes =
            self.metrics.largest_worker_heartbeat_bytes.max(bytes);
        if is_oversized(bytes) {
            self.metrics.oversized_heartbeats += 1;
            let worker = name.to_string();
            self.schedule(1, Action::TimeOutHeartbeat { worker, serial });
            return;
        }
        let delivery = |heartbeat: WorkerHeartbeat| Action::DeliverHeartbeat {
            controller,
            heartbeat,
            serial,
        };
        if !self.controller_reaches(controller, name) {
            self.network.held_back.push(delivery(heartbeat));
            return;
        }
        if is_cut || self.chance(faults.heartbeat_lost) {
            return;
        }
        if self.chance(faults.heartbeat_kept) {
            self.network.kept_heartbeats.push(heartbeat.clone());
        }
        if self.chance(faults.heartbeat_duplicated) {
            let copy_delay_ms = self.rng.gen_range(500..30_000);
            self.schedule(copy_delay_ms, delivery(heartbeat.clone()));
        }
        let delay_ms = match self.chance(faults.heartbeat_late) {
            true => self.rng.gen_range(3_000..40_000),
            false => self.rng.gen_range(1..5) + self.extra_latency_ms(),
        };
        self.schedule(delay_ms, delivery(heartbeat));
    }

    /// Delivers the kept heartbeats to every controller when one starts.
    pub(crate) fn send_kept_heartbeats(&mut self) {
        let kept = std::mem::take(&mut self.network.kept_heartbeats);
        for heartbeat in kept.into_iter().rev().take(KEPT_HEARTBEATS_MAX) {
            for controller in 0..self.controllers.len() {
                let delay_ms = self.rng.gen_range(0..KEPT_HEARTBEATS_WINDOW_MS);
                let delivery = Action::DeliverHeartbeat {
                    controller,
                    heartbeat: heartbeat.clone(),
                    serial: 0,
                };
                self.schedule(delay_ms, delivery);
            }
        }
    }

    /// Delivers a heartbeat to a controller. Its host refuses the connection if the controller is not running or has
    /// no free connection.
    pub(crate) fn receive_heartbeat(
        &mut self,
        controller: usize,
        heartbeat: WorkerHeartbeat,
        serial: u64,
    ) {
        if self.controllers[controller].cut_from_workers {
            return;
        }
        let is_connected = |worker: &&Worker| worker.alive && worker.controller == controller;
        let is_full = (self.service_limits.worker_connections)
            .is_some_and(|max| self.workers.values().filter(is_connected).count() > max);
        self.service_limits.connections_refused += u32::from(is_full);
        if self.controllers[controller].controller.is_none() || is_full {
            let worker = heartbeat.machine;
            self.schedule(1, Action::TimeOutHeartbeat { worker, serial });
            return;
        }
        let (now_ms, is_paused) = (self.now_ms, self.is_paused(controller));
        if let Some(worker) = self
            .workers
            .get_mut(&heartbeat.machine)
            .filter(|_| !is_paused)
        {
            worker.last_heard = HeartbeatReceipt {
                at_ms: now_ms,
                controller,
            };
        }
        let request = self.next_request;
        self.next_request += 1;
        let pending = PendingHeartbeat {
            worker: heartbeat.machine.clone(),
            incarnation: heartbeat.incarnation,
            serial,
        };
        self.pending_heartbeats
            .insert((self.process(controller), request), pending);
        let heartbeat = Box::new(heartbeat);
        self.handle(controller, Event::WorkerHeartbeat { request, heartbeat });
    }

    /// Handles the reply to a heartbeat at its worker.
    pub(crate) fn receive_heartbeat_reply(
        &mut self,
        HeartbeatReply {
            heartbeat: pending,
            reply,
        }: HeartbeatReply,
    ) {
        let name = pending.worker;
        let Some(worker) = self.workers.get_mut(&name) else {
            return;
        };
        // The worker ignores a reply after its timeout, or to an earlier incarnation.
        let is_expected = worker.pending_heartbeat == Some(pending.serial)
            && worker.incarnation == pending.incarnation;
        if !worker.alive || worker.disconnected || !is_expected {
            return;
        }
        worker.pending_heartbeat = None;
        match reply {
            WorkerReply::Commands { token, commands } => {
                if token < worker.fencing_token {
                    return;
                }
                worker.fencing_token = token;
                // The lease runs from the time at which the worker sent the answered heartbeat.
                worker.lease_renewed_ms = worker.heartbeat_sent_ms;
                for command in commands {
                    self.execute_command(&name, command);
                }
                let interval_ms = self.settings.heartbeat_interval_ms;
                let delay_ms = self.rng.gen_range(interval_ms * 3 / 4..interval_ms * 5 / 4);
                self.schedule(delay_ms, Action::SendHeartbeat(name));
            }
            WorkerReply::Redirect {
                controller: Some(target),
            } => {
                if let Some(index) = self
                    .settings
                    .controllers
                    .iter()
                    .position(|controller| *controller == target)
                {
                    worker.controller = index;
                }
                self.schedule(REDIRECT_MS, Action::SendHeartbeat(name));
            }
            _ => {
                worker.controller = (worker.controller + 1) % self.settings.controllers.len();
                self.schedule(RETRY_MS, Action::SendHeartbeat(name));
            }
        }
    }

    /// Handles the timeout of a heartbeat: its worker tries the next controller.
    pub(crate) fn time_out_heartbeat(&mut self, name: String, serial: u64) {
        let count = self.controllers.len();
        let Some(worker) = self.workers.get_mut(&name) else {
            return;
        };
        if worker.pending_heartbeat == Some(serial) {
            worker.pending_heartbeat = None;
            worker.controller = (worker.controller + 1) % count;
            self.schedule(RETRY_MS, Action::SendHeartbeat(name));
        }
    }
}
