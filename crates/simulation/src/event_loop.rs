//! The queue of events in simulated time, and what each of them does.

use crate::{no_answer, Fate, Look, Worker, World, TOO_MANY_PAUSE_MS, WALL0};
use glenmount_core::constants::STATE_TIMEOUT_MS;
use glenmount_core::controller::{
    CloudOperation, CloudResponse, CommandOutcome, Controller, Event, OperationId, StateOperation,
    StateResponse, WorkerReply,
};
use glenmount_core::model::{
    ExitCause, JobKind, TaskId, TaskPhase, WorkerCommand, WorkerHeartbeat,
};
use glenmount_core::settings::LearnedUse;
use rand::Rng;

#[derive(Clone, Debug)]
pub(crate) enum Act {
    Tick(usize, u32),
    Controller(usize, u32, Event),
    State(usize, u32, OperationId, StateOperation, Fate),
    Watch(usize, u32),
    Report(String),
    Arrive(usize, WorkerHeartbeat, u64),
    Reply(String, u64, u64, WorkerReply),
    GaveUp(String, u64),
    Lease(String),
    Phase(String, TaskId, u64, TaskPhase),
    Cloud(usize, u32, OperationId, CloudOperation, bool),
    Boot(String),
    Command(usize, u32, String, u64, u64, Vec<WorkerCommand>, bool),
    Restart(usize),
    Thaw(usize, u32),
    /// A controller that was asked to end has nothing left to do.
    End(usize, u32, u64),
    /// A machine that hung goes on.
    GoesOn(String),
    /// Users look at a job that was just accepted, cancelled or done.
    Look(usize, String, Look),
}

impl World {
    pub(crate) fn at(&mut self, delay: u64, act: Act) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), act);
    }

    pub(crate) fn chance(&mut self, p: f64) -> bool {
        p > 0.0 && self.rng.gen_bool(p)
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some((&(at, n), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            let act = self.queue.remove(&(at, n)).unwrap();
            self.now = at;
            self.act(act);
            if !self.unchecked {
                self.check_rules();
            }
        }
        self.now = end;
    }

    /// Runs until something holds, or fails after so many milliseconds.
    pub fn until(&mut self, ms: u64, what: &str, mut holds: impl FnMut(&World) -> bool) {
        let end = self.now + ms;
        while !holds(self) {
            assert!(self.now < end, "in vain at {}: {what}", self.now);
            self.run(10);
        }
    }

    pub(crate) fn act(&mut self, act: Act) {
        let Some(act) = self.unless_hung(act) else {
            return;
        };
        match act {
            Act::GoesOn(name) => self.goes_on_after_hang(&name),
            Act::Look(n, id, look) => self.look(n, &id, look),
            Act::Restart(n) => {
                self.send_kept_reports();
                let mut settings = self.settings.clone();
                settings.controller = self.settings.controllers[n].clone();
                settings.zone = self.zone_of_controller(n);
                let zone = |n: usize| {
                    (
                        self.settings.controllers[n].clone(),
                        self.zone_of_controller(n),
                    )
                };
                settings.controller_zones = (0..self.controllers.len()).map(zone).collect();
                if self.is_old(n, self.controllers[n].life) {
                    (settings.max_value_bytes, settings.max_transaction_changes) = self.old_limits;
                    settings.learned = LearnedUse::default();
                }
                let seed = self.rng.gen();
                let controller = Controller::new(
                    settings,
                    seed,
                    self.now,
                    WALL0 + self.now + self.clock_ahead[n],
                );
                let slot = &mut self.controllers[n];
                slot.controller = Some(controller);
                slot.began = self.now;
                (slot.first_ready, slot.first_accepted, slot.first_start) = (None, None, None);
                let life = slot.life;
                self.at(1, Act::Tick(n, life));
            }
            Act::Tick(n, life) => {
                if self.controllers[n].life == life && self.controllers[n].controller.is_some() {
                    // A clock that was paused ticks once for all it missed.
                    if !self.frozen(n) {
                        self.controller(n, Event::Tick);
                    }
                    self.at(50, Act::Tick(n, life));
                }
            }
            Act::End(n, life, back_after) => {
                if self.controllers[n].life == life {
                    self.crash(n, back_after);
                }
            }
            Act::Thaw(n, life) => {
                if self.controllers[n].life == life && !self.frozen(n) {
                    // Each of its connections is read in order, but any of them first.
                    let mut backlog = std::mem::take(&mut self.controllers[n].backlog);
                    let start = self.rng.gen_range(0..8);
                    let turn = |e: &Event| match e {
                        Event::WatchUpdate { .. } | Event::WatchGap => 0,
                        Event::State { .. } => 3,
                        Event::PeerHeartbeat(_) => 5,
                        Event::WorkerHeartbeat { .. } => 6,
                        _ => 7,
                    };
                    backlog.sort_by_key(|e| (turn(e) + start) % 8);
                    for event in backlog {
                        self.controller(n, event);
                    }
                }
            }
            Act::Controller(n, life, event) => {
                if self.controllers[n].life == life {
                    self.controller(n, event);
                }
            }
            Act::State(n, life, token, op, fate) => {
                let down = self.state_down;
                let changes = match &op {
                    StateOperation::Transaction(transaction) => transaction.changes.len(),
                    _ => 0,
                };
                if !down && !self.limited.state_takes(self.now, changes) {
                    self.at(3, Act::Controller(n, life, Event::Throttled));
                    self.at(TOO_MANY_PAUSE_MS, Act::State(n, life, token, op, fate));
                    return;
                }
                let answer = match down {
                    true => StateResponse::Unavailable,
                    false => self.execute(op, self.is_old(n, life)),
                };
                if fate == Fate::Normal {
                    let event = Event::State { token, answer };
                    let slow = self.mishaps.answer_slow;
                    let delay = match self.chance(slow) {
                        true => self.rng.gen_range(3..1_000),
                        false => 3,
                    };
                    if delay > STATE_TIMEOUT_MS && changes > 0 {
                        let event = Event::StateTimeout { token };
                        self.at(STATE_TIMEOUT_MS, Act::Controller(n, life, event));
                    }
                    self.at(delay, Act::Controller(n, life, event));
                }
            }
            Act::Watch(n, life) => {
                let slot = &self.controllers[n];
                let Some(since) = slot.watching.filter(|_| slot.life == life) else {
                    return;
                };
                let lags = self.now < slot.watch_lags_until;
                if slot.cut_from_state || slot.refused || self.state_down || self.inside(n) || lags
                {
                    self.at(200, Act::Watch(n, life));
                    return;
                }
                let from = self.log.partition_point(|(e, ..)| *e <= since);
                let changes: Vec<_> = self.log[from..]
                    .iter()
                    .map(|(e, k, r)| (k.clone(), *e, r.clone()))
                    .collect();
                if !changes.is_empty() {
                    let revision = self.revision;
                    self.controllers[n].watching = Some(revision);
                    self.controller(n, Event::WatchUpdate { revision, changes });
                }
            }
            Act::Boot(name) => {
                let now = self.now;
                if let Some(w) = self.workers.get_mut(&name) {
                    w.alive = true;
                    w.lease_from = now;
                    self.at(1, Act::Report(name.clone()));
                    let lease = self.settings.lease_ms;
                    self.at(lease + 1, Act::Lease(name));
                }
            }
            Act::Lease(name) => {
                let (now, lease) = (self.now, self.settings.lease_ms);
                let Some(w) = self.workers.get(&name).filter(|w| w.alive) else {
                    return;
                };
                let ends = w.lease_from + lease;
                if now > ends {
                    self.killed += w.live().count() as u32;
                    self.all_off(&name);
                    let w = self.workers.get_mut(&name).unwrap();
                    w.incarnation += 1;
                    w.tasks.clear();
                    w.lease_from = now;
                    w.in_flight = None;
                    self.at(1, Act::Report(name.clone()));
                    self.at(lease + 1, Act::Lease(name));
                } else {
                    self.at(ends + 1 - now, Act::Lease(name));
                }
            }
            Act::Report(name) => self.send_report(&name),
            Act::Arrive(n, report, serial) => {
                let slot = &self.controllers[n];
                if slot.cut_from_workers {
                    return;
                }
                let here = |w: &&Worker| w.alive && w.controller == n;
                let full = (self.limited.sockets)
                    .is_some_and(|most| self.workers.values().filter(here).count() > most);
                self.limited.no_socket += u32::from(full);
                if slot.controller.is_none() || full {
                    // Its host refuses the connection.
                    self.at(1, Act::GaveUp(report.machine, serial));
                    return;
                }
                let (now, frozen) = (self.now, self.frozen(n));
                if let Some(w) = self.workers.get_mut(&report.machine).filter(|_| !frozen) {
                    w.heard = (now, n);
                }
                let request = self.next_request;
                self.next_request += 1;
                let mark = (report.machine.clone(), report.incarnation, serial);
                self.checkins.insert((n, slot.life, request), mark);
                let report = Box::new(report);
                self.controller(n, Event::WorkerHeartbeat { request, report });
            }
            Act::Reply(name, incarnation, serial, reply) => {
                self.reply(&name, incarnation, serial, reply);
            }
            Act::GaveUp(name, serial) => {
                let count = self.controllers.len();
                let Some(w) = self.workers.get_mut(&name) else {
                    return;
                };
                if w.in_flight == Some(serial) {
                    w.in_flight = None;
                    w.controller = (w.controller + 1) % count;
                    self.at(1_000, Act::Report(name));
                }
            }
            Act::Phase(name, task, attempt, phase) => {
                let Some(w) = self.workers.get_mut(&name) else {
                    return;
                };
                let class = &self.specs[&task.job].class;
                let known = self.job_ms.get(&task.job).or(self.class_ms.get(class));
                let mut run_ms = known.copied().unwrap_or(self.run_ms);
                if self.slow.contains(&name) {
                    run_ms *= 3;
                }
                let fails = w.fails_all || self.mistaken.contains(&task.job);
                if !w.alive {
                    return;
                }
                let Some(t) = w.tasks.get_mut(&(task.clone(), attempt)) else {
                    return;
                };
                if matches!(t.phase, TaskPhase::Exited(_)) {
                    return;
                }
                t.phase = phase;
                if matches!(phase, TaskPhase::Exited(_)) {
                    self.goes_off(&name, &task);
                }
                if phase == TaskPhase::Exited(ExitCause::Done) {
                    self.done_tasks.insert(task.clone());
                    self.ends(&task.job);
                }
                if phase == TaskPhase::Running {
                    let now = self.now;
                    self.ran_at.entry(task.job.clone()).or_insert(now);
                    self.ran_since.insert((task.clone(), attempt), now);
                    let spec = &self.specs[&task.job];
                    if fails {
                        let exit = TaskPhase::Exited(ExitCause::Error);
                        self.at(300, Act::Phase(name.clone(), task, attempt, exit));
                    } else if spec.kind == JobKind::Array {
                        if spec.checkpoint_interval_s > 0.0 {
                            let now = self.now;
                            let done = self.progress.entry(task.clone()).or_insert((0, now));
                            done.1 = now;
                            run_ms = run_ms.saturating_sub(done.0);
                        }
                        let exit = TaskPhase::Exited(ExitCause::Done);
                        self.at(run_ms, Act::Phase(name.clone(), task, attempt, exit));
                    }
                }
                self.at(5, Act::Report(name));
            }
            Act::Command(n, life, machine, incarnation, token, commands, late) => {
                let w = self.workers.get_mut(&machine);
                let Some(w) = w.filter(|w| w.alive && (late || !w.cut)) else {
                    let event = no_answer(machine, CommandOutcome::NoAnswer);
                    self.at(2_000, Act::Controller(n, life, event));
                    return;
                };
                if token < w.token || incarnation != w.incarnation {
                    if late {
                        return; // nobody waits for its answer any more
                    }
                    w.sequence += 1;
                    let event = Event::CommandResult {
                        report: Some(Box::new(self.report_of(&machine))),
                        machine,
                        reach: CommandOutcome::Refused,
                    };
                    self.at(2, Act::Controller(n, life, event));
                    return;
                }
                let pause = self.settings.lease_ms / 2;
                let may = w.token_said.is_none_or(|at| self.now >= at + pause);
                if token > w.token && may {
                    // It tells a higher token, now and then.
                    w.token_said = Some(self.now);
                    self.at(500, Act::Report(machine.clone()));
                }
                let w = self.workers.get_mut(&machine).unwrap();
                w.token = token;
                let probe = commands.is_empty();
                let stops = commands
                    .iter()
                    .any(|o| matches!(o, WorkerCommand::Stop { .. }));
                for order in commands {
                    self.order(&machine, order);
                }
                if !late {
                    self.workers.get_mut(&machine).unwrap().sequence += 1;
                    let report = (stops || probe).then(|| Box::new(self.report_of(&machine)));
                    let event = Event::CommandResult {
                        machine,
                        reach: CommandOutcome::Accepted,
                        report,
                    };
                    self.at(2, Act::Controller(n, life, event));
                }
            }
            Act::Cloud(n, life, token, op, lost) => {
                let answer = match self.limited.cloud_takes(self.now) {
                    true => self.cloud(op),
                    false => CloudResponse::Failed,
                };
                let event = Event::Cloud {
                    token,
                    answer: if lost { CloudResponse::Failed } else { answer },
                };
                self.at(20, Act::Controller(n, life, event));
            }
        }
    }
}
