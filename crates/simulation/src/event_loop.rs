//! The event loop: what is due when, in simulated time, and which part carries it out.

use crate::workers::{Command, HeartbeatReply, PhaseChange};
use crate::{CloudRequest, FollowUp, ProcessId, Simulation, StateRequest};
use glenmount_core::controller::Event;
use glenmount_core::model::WorkerHeartbeat;
use rand::Rng;
use std::collections::BTreeMap;

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// A controller's process starts.
    StartController(usize),
    Tick(ProcessId),
    /// An event reaches a controller.
    DeliverEvent {
        process: ProcessId,
        event: Event,
    },
    /// A paused controller resumes.
    ResumeController(ProcessId),
    /// A controller that was asked to end has nothing left to do.
    StopController {
        process: ProcessId,
        restart_after_ms: u64,
    },
    /// A request reaches the state service.
    ExecuteStateRequest(StateRequest),
    /// A controller's watch is told what has changed.
    NotifyWatch(ProcessId),
    /// A call reaches the cloud.
    ExecuteCloudRequest(CloudRequest),
    /// A machine is up.
    StartWorker(String),
    /// A worker sends a report.
    SendHeartbeat(String),
    /// A worker's report reaches a controller.
    DeliverHeartbeat {
        controller: usize,
        report: WorkerHeartbeat,
        serial: u64,
    },
    /// The answer to a report reaches its worker.
    DeliverHeartbeatReply(HeartbeatReply),
    /// A worker waits no longer for the answer to a report.
    TimeOutHeartbeat {
        worker: String,
        serial: u64,
    },
    /// A worker's lease may have ended.
    CheckLease(String),
    /// A task on a worker goes from one phase to the next.
    ChangePhase(PhaseChange),
    /// Orders reach a worker directly.
    DeliverCommand(Command),
    /// A machine that were stalled goes on.
    ResumeWorker(String),
    /// Users look at a job that was just accepted, cancelled or done.
    FollowUp {
        controller: usize,
        job: String,
        kind: FollowUp,
    },
}

/// What is due, by time; of what is due at the same time, what was scheduled first.
#[derive(Default)]
pub(crate) struct EventQueue {
    actions: BTreeMap<(u64, u64), Action>,
    sequence: u64,
}

impl EventQueue {
    fn push(&mut self, due: u64, action: Action) {
        self.sequence += 1;
        self.actions.insert((due, self.sequence), action);
    }

    /// The next that is due by a time, and when it is.
    fn pop_due(&mut self, by: u64) -> Option<(u64, Action)> {
        let first = self.actions.first_entry()?;
        let (due, _) = *first.key();
        (due <= by).then(|| (due, first.remove()))
    }
}

impl Simulation {
    /// Schedules an action in so many milliseconds.
    pub(crate) fn schedule(&mut self, delay: u64, act: Action) {
        self.queue.push(self.now_ms + delay, act);
    }

    /// Lets an event reach a controller's process, if that still runs then.
    pub(crate) fn deliver(&mut self, delay: u64, process: ProcessId, event: Event) {
        self.schedule(delay, Action::DeliverEvent { process, event });
    }

    /// Draws whether something of a probability happens; draws nothing at a probability of zero.
    pub(crate) fn chance(&mut self, p: f64) -> bool {
        p > 0.0 && self.rng.gen_bool(p)
    }

    /// Runs for so many milliseconds.
    pub fn run(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while let Some((due, act)) = self.queue.pop_due(end) {
            self.now_ms = due;
            self.perform(act);
            if !self.skip_invariants {
                self.check_invariants();
            }
        }
        self.now_ms = end;
    }

    /// Runs until something holds, or fails after so many milliseconds.
    pub fn run_until(&mut self, ms: u64, what: &str, mut holds: impl FnMut(&Simulation) -> bool) {
        let end = self.now_ms + ms;
        while !holds(self) {
            assert!(self.now_ms < end, "in vain at {}: {what}", self.now_ms);
            self.run(10);
        }
    }

    fn perform(&mut self, act: Action) {
        let Some(act) = self.unless_stalled(act) else {
            return;
        };
        match act {
            Action::StartController(n) => self.start_controller(n),
            Action::Tick(process) => self.tick(process),
            Action::DeliverEvent { process, event } => {
                if self.is_current(process) {
                    self.handle(process.controller, event);
                }
            }
            Action::ResumeController(process) => self.resume_controller(process),
            Action::StopController {
                process,
                restart_after_ms,
            } => {
                if self.is_current(process) {
                    self.crash(process.controller, restart_after_ms);
                }
            }
            Action::ExecuteStateRequest(request) => self.execute_state_request(request),
            Action::NotifyWatch(process) => self.notify_watch(process),
            Action::ExecuteCloudRequest(request) => self.execute_cloud_request(request),
            Action::StartWorker(worker) => self.start_worker(worker),
            Action::SendHeartbeat(worker) => self.send_heartbeat(&worker),
            Action::DeliverHeartbeat {
                controller,
                report,
                serial,
            } => self.receive_heartbeat(controller, report, serial),
            Action::DeliverHeartbeatReply(reply) => self.receive_heartbeat_reply(reply),
            Action::TimeOutHeartbeat { worker, serial } => self.time_out_heartbeat(worker, serial),
            Action::CheckLease(worker) => self.check_lease(worker),
            Action::ChangePhase(change) => self.change_phase(change),
            Action::DeliverCommand(command) => self.receive_command(command),
            Action::ResumeWorker(worker) => self.resume_worker(&worker),
            Action::FollowUp {
                controller,
                job,
                kind,
            } => self.send_follow_up(controller, &job, kind),
        }
    }
}
