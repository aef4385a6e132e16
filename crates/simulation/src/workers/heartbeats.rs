//! Reports of workers: how they get to controllers, and their answers back.

use super::Worker;
use crate::{Act, World};
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
pub(crate) struct SentReport {
    pub worker: String,
    pub incarnation: u64,
    pub serial: u64,
}

/// The answer to a report.
#[derive(Clone, Debug)]
pub(crate) struct HeartbeatReply {
    pub checkin: SentReport,
    pub reply: WorkerReply,
}

impl World {
    /// What a machine would report now.
    pub fn report_of(&self, machine: &str) -> WorkerHeartbeat {
        let w = &self.workers[machine];
        WorkerHeartbeat {
            machine: w.name.clone(),
            address: "10.0.0.9:9000".into(),
            type_name: w.type_name.clone(),
            zone: w.zone.clone(),
            spot: w.spot,
            incarnation: w.incarnation,
            sequence: w.sequence,
            token: w.token,
            notice_s: w.notice_s,
            tasks: w
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
    pub fn old_report(&mut self, n: usize, machine: &str, sequence: u64) {
        let report = WorkerHeartbeat {
            sequence,
            notice_s: None,
            tasks: Vec::new(),
            ..self.report_of(machine)
        };
        self.report_again(n, &report);
    }

    /// Lets a report arrive at a controller once more, as it was.
    pub fn report_again(&mut self, n: usize, report: &WorkerHeartbeat) {
        self.at(
            1,
            Act::Arrive {
                controller: n,
                report: report.clone(),
                serial: 0,
            },
        );
    }

    pub(crate) fn send_report(&mut self, name: &str) {
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        if !w.alive || w.in_flight.is_some() {
            return;
        }
        if w.hangs_until > 0 {
            w.hung.push(Act::Report(name.to_string()));
            return;
        }
        w.sequence += 1;
        w.serial += 1;
        let serial = w.serial;
        w.in_flight = Some(serial);
        w.sent_at = self.now;
        let worker = name.to_string();
        self.at(REPORT_TIMEOUT_MS, Act::GaveUp { worker, serial });
        self.carry_report(name, serial);
    }

    /// A worker's report is on its way, if it gets through.
    fn carry_report(&mut self, name: &str, serial: u64) {
        let mishaps = self.mishaps.clone();
        let w = &self.workers[name];
        let (controller, cut) = (w.controller, w.cut || w.mute);
        let report = self.report_of(name);
        let arrive = |report: Report| Act::Arrive {
            controller,
            report,
            serial,
        };
        if !self.reaches(controller, name) {
            self.held_back.push(arrive(report));
            return;
        }
        if cut || self.chance(mishaps.report_lost) {
            return;
        }
        if self.chance(mishaps.report_kept) {
            self.kept_reports.push(report.clone());
        }
        if self.chance(mishaps.report_twice) {
            let late = self.rng.gen_range(500..30_000);
            self.at(late, arrive(report.clone()));
        }
        let delay = match self.chance(mishaps.report_late) {
            true => self.rng.gen_range(3_000..40_000),
            false => self.rng.gen_range(1..5) + self.link_ms(),
        };
        self.at(delay, arrive(report));
    }

    /// Old reports reach every controller just as one begins.
    pub(crate) fn send_kept_reports(&mut self) {
        let kept = std::mem::take(&mut self.kept_reports);
        for report in kept.into_iter().rev().take(KEPT_MOST) {
            for controller in 0..self.controllers.len() {
                let delay = self.rng.gen_range(0..KEPT_WITHIN_MS);
                let arrive = Act::Arrive {
                    controller,
                    report: report.clone(),
                    serial: 0,
                };
                self.at(delay, arrive);
            }
        }
    }

    /// A report arrives at a controller.
    pub(crate) fn receive_report(&mut self, n: usize, report: WorkerHeartbeat, serial: u64) {
        if self.controllers[n].cut_from_workers {
            return;
        }
        let here = |w: &&Worker| w.alive && w.controller == n;
        let full = (self.limited.sockets)
            .is_some_and(|most| self.workers.values().filter(here).count() > most);
        self.limited.no_socket += u32::from(full);
        if self.controllers[n].controller.is_none() || full {
            // Its host refuses the connection.
            let worker = report.machine;
            self.at(1, Act::GaveUp { worker, serial });
            return;
        }
        let (now, frozen) = (self.now, self.frozen(n));
        if let Some(w) = self.workers.get_mut(&report.machine).filter(|_| !frozen) {
            w.heard = (now, n);
        }
        let request = self.next_request;
        self.next_request += 1;
        let checkin = SentReport {
            worker: report.machine.clone(),
            incarnation: report.incarnation,
            serial,
        };
        self.checkins.insert((self.process(n), request), checkin);
        let report = Box::new(report);
        self.controller(n, Event::WorkerHeartbeat { request, report });
    }

    /// The answer to a report arrives at its worker.
    pub(crate) fn receive_reply(&mut self, HeartbeatReply { checkin, reply }: HeartbeatReply) {
        let name = checkin.worker;
        let Some(w) = self.workers.get_mut(&name) else {
            return;
        };
        // The worker drops what comes after it gave up, or from an earlier incarnation.
        let expected = w.in_flight == Some(checkin.serial) && w.incarnation == checkin.incarnation;
        if !w.alive || w.cut || !expected {
            return;
        }
        w.in_flight = None;
        match reply {
            WorkerReply::Commands { token, commands } => {
                if token < w.token {
                    return;
                }
                w.token = token;
                // The lease counts from when the answered report was sent.
                w.lease_from = w.sent_at;
                for order in commands {
                    self.order(&name, order);
                }
                let report_ms = self.settings.report_ms;
                let wait = self.rng.gen_range(report_ms * 3 / 4..report_ms * 5 / 4);
                self.at(wait, Act::Report(name));
            }
            WorkerReply::Redirect {
                controller: Some(controller),
            } => {
                if let Some(i) = self
                    .settings
                    .controllers
                    .iter()
                    .position(|n| *n == controller)
                {
                    w.controller = i;
                }
                self.at(REDIRECT_MS, Act::Report(name));
            }
            _ => {
                w.controller = (w.controller + 1) % self.settings.controllers.len();
                self.at(RETRY_MS, Act::Report(name));
            }
        }
    }

    /// A worker got no answer to a report, and turns to the next controller.
    pub(crate) fn give_up_report(&mut self, name: String, serial: u64) {
        let count = self.controllers.len();
        let Some(w) = self.workers.get_mut(&name) else {
            return;
        };
        if w.in_flight == Some(serial) {
            w.in_flight = None;
            w.controller = (w.controller + 1) % count;
            self.at(RETRY_MS, Act::Report(name));
        }
    }
}
