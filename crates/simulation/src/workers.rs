//! Workers: reports, orders, tasks and leases.

use crate::{Act, World};
use glenmount_core::controller::WorkerReply;
use glenmount_core::model::{
    ExitCause, Resources, TaskId, TaskPhase, TaskStatus, WorkerCommand, WorkerHeartbeat,
};
use glenmount_core::state::{JobPhase, Key, Record};
use rand::Rng;
use std::collections::BTreeMap;

pub struct Task {
    pub phase: TaskPhase,
}

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

/// Milliseconds within which old reports come once a controller begins.
pub(crate) const KEPT_WITHIN_MS: u64 = 3_000;

/// Reports that are kept.
pub(crate) const KEPT_MOST: usize = 400;

impl World {
    pub fn boot_machine(&mut self, type_name: &str, zone: &str, spot: bool, delay: u64) -> String {
        let name = format!("n-{:06}", self.rented);
        self.rented += 1;
        let controller = self.rng.gen_range(0..self.settings.controllers.len());
        self.workers.insert(
            name.clone(),
            Worker {
                name: name.clone(),
                type_name: type_name.into(),
                zone: zone.into(),
                spot,
                incarnation: 1,
                sequence: 0,
                token: 0,
                token_said: None,
                lease_from: self.now + delay,
                tasks: BTreeMap::new(),
                in_flight: None,
                sent_at: 0,
                serial: 0,
                controller,
                alive: false,
                heard: (0, 0),
                told_start: 0,
                cut: false,
                deaf: false,
                mute: false,
                hangs_until: 0,
                hung: Vec::new(),
                fails_all: false,
                notice_s: None,
            },
        );
        self.at(delay, Act::Boot(name.clone()));
        name
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
        self.at(1, Act::Arrive(n, report.clone(), 0));
    }

    pub(crate) fn send_report(&mut self, name: &str) {
        let mishaps = self.mishaps.clone();
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
        let (n, cut) = (w.controller, w.cut || w.mute);
        let report = self.report_of(name);
        self.at(4_000, Act::GaveUp(name.to_string(), serial));
        if !self.reaches(n, name) {
            self.held_back.push(Act::Arrive(n, report, serial));
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
            self.at(late, Act::Arrive(n, report.clone(), serial));
        }
        let delay = match self.chance(mishaps.report_late) {
            true => self.rng.gen_range(3_000..40_000),
            false => self.rng.gen_range(1..5) + self.link_ms(),
        };
        self.at(delay, Act::Arrive(n, report, serial));
    }

    pub(crate) fn reply(&mut self, name: &str, incarnation: u64, serial: u64, reply: WorkerReply) {
        let names = self.settings.controllers.clone();
        let report_ms = self.settings.report_ms;
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        // The worker drops what comes after it gave up, or from an earlier incarnation.
        if !w.alive || w.cut || w.in_flight != Some(serial) || w.incarnation != incarnation {
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
                    self.order(name, order);
                }
                let wait = self.rng.gen_range(report_ms * 3 / 4..report_ms * 5 / 4);
                self.at(wait, Act::Report(name.to_string()));
            }
            WorkerReply::Redirect {
                controller: Some(controller),
            } => {
                if let Some(i) = names.iter().position(|n| *n == controller) {
                    w.controller = i;
                }
                self.at(100, Act::Report(name.to_string()));
            }
            _ => {
                w.controller = (w.controller + 1) % names.len();
                self.at(1_000, Act::Report(name.to_string()));
            }
        }
    }

    pub(crate) fn order(&mut self, name: &str, order: WorkerCommand) {
        match order {
            WorkerCommand::Start { task, attempt } => {
                let key = (task.clone(), attempt);
                if self.workers[name].tasks.contains_key(&key) {
                    return;
                }
                let spec = self.specs[&task.job].clone();
                if let Some(told) = self.told.get(&task.job) {
                    let over = self.settings.cancel_ms;
                    assert!(
                        told.cancelled_at.is_none_or(|at| self.now <= at + over),
                        "ran_cancelled: {task} starts"
                    );
                }
                let w = &self.workers[name];
                let kind = self
                    .machine_types
                    .iter()
                    .find(|t| t.name == w.type_name)
                    .unwrap();
                let used = w.live().fold(Resources::default(), |sum, (t, _)| {
                    sum.plus(&self.specs[&t.job].resources)
                });
                let phase = if w.tasks.keys().any(|(t, _)| *t == task) {
                    TaskPhase::Exited(ExitCause::Busy)
                } else if !kind.room.less(&used).fits(&spec.resources) {
                    TaskPhase::Exited(ExitCause::NoResources)
                } else {
                    self.check_start(name, &task);
                    self.starts += 1;
                    TaskPhase::Fetching
                };
                let now = self.now;
                let w = self.workers.get_mut(name).unwrap();
                w.tasks.insert(key, Task { phase });
                w.told_start = now;
                if phase == TaskPhase::Fetching {
                    self.goes_on(name, &task);
                    let fetch = self.rng.gen_range(50..900);
                    let run = TaskPhase::Running;
                    self.at(fetch, Act::Phase(name.to_string(), task, attempt, run));
                }
                self.at(500, Act::Report(name.to_string()));
            }
            WorkerCommand::Stop { task, attempt, .. } => {
                let now = self.now;
                let w = self.workers.get_mut(name).unwrap();
                let key = (task.clone(), attempt);
                if let Some(t) = w.tasks.get_mut(&key) {
                    if t.phase == TaskPhase::Running {
                        if let Some(done) = self.progress.get_mut(&task) {
                            done.0 += now - done.1;
                        }
                    }
                    if !matches!(t.phase, TaskPhase::Exited(_)) {
                        t.phase = TaskPhase::Exited(ExitCause::Stopped);
                        self.goes_off(name, &task);
                        self.stopped(&task, attempt);
                    }
                }
                self.at(500, Act::Report(name.to_string()));
            }
            WorkerCommand::Forget { task, attempt } => {
                let w = self.workers.get_mut(name).unwrap();
                let key = (task, attempt);
                if let Some(t) = w.tasks.get(&key) {
                    assert!(matches!(t.phase, TaskPhase::Exited(_)));
                    w.tasks.remove(&key);
                }
            }
        }
    }

    /// Notes why a task was stopped.
    pub(crate) fn stopped(&mut self, task: &TaskId, attempt: u64) {
        let ran = self.ran_since.remove(&(task.clone(), attempt));
        let ran = ran.map_or(0, |at| self.now - at);
        let job = match self.store.get(&Key::Job(task.job.clone())) {
            Some((Record::Job(job), _)) => job,
            _ => return,
        };
        let why = match self
            .store
            .get(&Key::Chunk(task.job.clone(), job.chunk_of(task.index)))
        {
            _ if job.phase == JobPhase::Cancelled => Some("cancelled"),
            Some((Record::Chunk(c), _)) => c.assignment(task.index).and_then(|b| b.stop.as_deref()),
            _ => None,
        };
        let (count, ms) = self
            .stops
            .entry(why.unwrap_or("other").to_string())
            .or_default();
        (*count, *ms) = (*count + 1, *ms + ran);
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
        let holds = |w: &&crate::Worker| w.live().any(|(t, _)| t.job == job);
        let those = self.workers.values().filter(holds);
        those.map(|w| w.name.clone()).collect()
    }

    /// Old reports reach every controller just as one begins.
    pub(crate) fn send_kept_reports(&mut self) {
        let kept = std::mem::take(&mut self.kept_reports);
        for report in kept.into_iter().rev().take(KEPT_MOST) {
            for n in 0..self.controllers.len() {
                let delay = self.rng.gen_range(0..KEPT_WITHIN_MS);
                self.at(delay, Act::Arrive(n, report.clone(), 0));
            }
        }
    }
}
