//! Reports of workers: how they get to controllers, and their answers back.

use super::{Heard, Worker};
use crate::{Action, Simulation};
use glenmount_core::controller::{Event, WorkerReply};
use glenmount_core::model::{TaskStatus, WorkerHeartbeat};
use rand::Rng;

/// Milliseconds after which a worker waits no longer for the answer to a report.
const REPORT_TIMEOUT_MS: u64 = 4_000;
/// Milliseconds after which a worker turns to another controller.
const RETRY_MS: u64 = 1_000;
/// Milliseconds after which it turns to one that it was sent to.
const REDIRECT_MS: u64 = 100;
/// Milliseconds within which old reports come once a controller begins.
const KEPT_WITHIN_MS: u64 = 3_000;
/// Reports that are kept.
const KEPT_MOST: usize = 400;

/// A report that a controller has got and not answered.
#[derive(Clone, Debug)]
pub(crate) struct PendingHeartbeat {
    pub worker: String,
    pub incarnation: u64,
    pub serial: u64,
}

/// The answer to a report.
#[derive(Clone, Debug)]
pub(crate) struct HeartbeatReply {
    pub heartbeat: PendingHeartbeat,
    pub reply: WorkerReply,
}

impl Simulation {
    /// What a machine would report now.
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
                .map(|((task, attempt), t)| TaskStatus {
                    task: task.clone(),
                    attempt: *attempt,
                    phase: t.phase,
                })
                .collect(),
        }
    }

    /// Lets an old report of a machine, without tasks, arrive at a controller now.
    pub fn inject_stale_heartbeat(&mut self, controller: usize, machine: &str, sequence: u64) {
        let report = WorkerHeartbeat {
            sequence,
            notice_s: None,
            tasks: Vec::new(),
            ..self.heartbeat_of(machine)
        };
        self.inject_heartbeat(controller, &report);
    }

    /// Lets a report arrive at a controller once more, as it was.
    pub fn inject_heartbeat(&mut self, controller: usize, report: &WorkerHeartbeat) {
        self.schedule(
            1,
            Action::DeliverHeartbeat {
                controller,
                report: report.clone(),
                serial: 0,
            },
        );
    }

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
            REPORT_TIMEOUT_MS,
            Action::TimeOutHeartbeat { worker, serial },
        );
        self.transmit_heartbeat(name, serial);
    }

    /// A worker's report is on its way, if it gets through.
    fn transmit_heartbeat(&mut self, name: &str, serial: u64) {
        let mishaps = self.network.faults.clone();
        let worker = &self.workers[name];
        let (controller, cut) = (
            worker.controller,
            worker.disconnected || worker.outbound_lost,
        );
        let report = self.heartbeat_of(name);
        let arrive = |report: WorkerHeartbeat| Action::DeliverHeartbeat {
            controller,
            report,
            serial,
        };
        if !self.controller_reaches(controller, name) {
            self.network.held_back.push(arrive(report));
            return;
        }
        if cut || self.chance(mishaps.heartbeat_lost) {
            return;
        }
        if self.chance(mishaps.heartbeat_kept) {
            self.network.kept_heartbeats.push(report.clone());
        }
        if self.chance(mishaps.heartbeat_duplicated) {
            let late = self.rng.gen_range(500..30_000);
            self.schedule(late, arrive(report.clone()));
        }
        let delay = match self.chance(mishaps.heartbeat_late) {
            true => self.rng.gen_range(3_000..40_000),
            false => self.rng.gen_range(1..5) + self.extra_latency_ms(),
        };
        self.schedule(delay, arrive(report));
    }

    /// Old reports reach every controller just as one begins.
    pub(crate) fn send_kept_heartbeats(&mut self) {
        let kept = std::mem::take(&mut self.network.kept_heartbeats);
        for report in kept.into_iter().rev().take(KEPT_MOST) {
            for controller in 0..self.controllers.len() {
                let delay = self.rng.gen_range(0..KEPT_WITHIN_MS);
                let arrive = Action::DeliverHeartbeat {
                    controller,
                    report: report.clone(),
                    serial: 0,
                };
                self.schedule(delay, arrive);
            }
        }
    }

    /// A report arrives at a controller.
    pub(crate) fn receive_heartbeat(
        &mut self,
        controller: usize,
        report: WorkerHeartbeat,
        serial: u64,
    ) {
        if self.controllers[controller].cut_from_workers {
            return;
        }
        let here = |worker: &&Worker| worker.alive && worker.controller == controller;
        let full = (self.service_limits.worker_connections)
            .is_some_and(|most| self.workers.values().filter(here).count() > most);
        self.service_limits.connections_refused += u32::from(full);
        if self.controllers[controller].controller.is_none() || full {
            // Its host refuses the connection.
            let worker = report.machine;
            self.schedule(1, Action::TimeOutHeartbeat { worker, serial });
            return;
        }
        let (now, frozen) = (self.now_ms, self.is_paused(controller));
        if let Some(worker) = self.workers.get_mut(&report.machine).filter(|_| !frozen) {
            worker.last_heard = Heard {
                at_ms: now,
                by: controller,
            };
        }
        let request = self.next_request;
        self.next_request += 1;
        let checkin = PendingHeartbeat {
            worker: report.machine.clone(),
            incarnation: report.incarnation,
            serial,
        };
        self.pending_heartbeats
            .insert((self.process(controller), request), checkin);
        let report = Box::new(report);
        self.handle(
            controller,
            Event::WorkerHeartbeat {
                request,
                heartbeat: report,
            },
        );
    }

    /// The answer to a report arrives at its worker.
    pub(crate) fn receive_heartbeat_reply(
        &mut self,
        HeartbeatReply {
            heartbeat: checkin,
            reply,
        }: HeartbeatReply,
    ) {
        let name = checkin.worker;
        let Some(worker) = self.workers.get_mut(&name) else {
            return;
        };
        // The worker drops what comes after it gave up, or from an earlier incarnation.
        let expected = worker.pending_heartbeat == Some(checkin.serial)
            && worker.incarnation == checkin.incarnation;
        if !worker.alive || worker.disconnected || !expected {
            return;
        }
        worker.pending_heartbeat = None;
        match reply {
            WorkerReply::Commands { token, commands } => {
                if token < worker.fencing_token {
                    return;
                }
                worker.fencing_token = token;
                // The lease counts from when the answered report was sent.
                worker.lease_renewed_ms = worker.heartbeat_sent_ms;
                for order in commands {
                    self.execute_order(&name, order);
                }
                let report_ms = self.settings.heartbeat_interval_ms;
                let wait = self.rng.gen_range(report_ms * 3 / 4..report_ms * 5 / 4);
                self.schedule(wait, Action::SendHeartbeat(name));
            }
            WorkerReply::Redirect {
                controller: Some(target),
            } => {
                if let Some(i) = self
                    .settings
                    .controllers
                    .iter()
                    .position(|controller| *controller == target)
                {
                    worker.controller = i;
                }
                self.schedule(REDIRECT_MS, Action::SendHeartbeat(name));
            }
            _ => {
                worker.controller = (worker.controller + 1) % self.settings.controllers.len();
                self.schedule(RETRY_MS, Action::SendHeartbeat(name));
            }
        }
    }

    /// A worker got no answer to a report, and turns to the next controller.
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
