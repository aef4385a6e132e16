//! The event loop: the queue of scheduled actions in simulated time, and their execution.

use crate::workers::{Command, HeartbeatReply, PhaseChange};
use crate::{CloudRequest, FollowUp, ProcessId, Simulation, StateRequest};
use glenmount_core::controller::Event;
use glenmount_core::model::WorkerHeartbeat;
use rand::Rng;
use std::collections::BTreeMap;

/// A scheduled action.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// Starts a controller's process.
    StartController(usize),
    /// Delivers a tick to a controller.
    Tick(ProcessId),
    /// Delivers an event to a controller's process.
    DeliverEvent { process: ProcessId, event: Event },
    /// Resumes a paused controller.
    ResumeController(ProcessId),
    /// Ends a controller's process after its graceful shutdown.
    StopController {
        process: ProcessId,
        restart_after_ms: u64,
    },
    /// Executes a request in the state store.
    ExecuteStateRequest(StateRequest),
    /// Delivers changes to a controller's watch.
    NotifyWatch(ProcessId),
    /// Executes a call in the cloud.
    ExecuteCloudRequest(CloudRequest),
    /// Starts the worker of a machine that is up.
    StartWorker(String),
    /// Lets a worker send a heartbeat.
    SendHeartbeat(String),
    /// Delivers a worker's heartbeat to a controller.
    DeliverHeartbeat {
        controller: usize,
        heartbeat: WorkerHeartbeat,
        serial: u64,
    },
    /// Delivers the reply to a heartbeat to its worker.
    DeliverHeartbeatReply(HeartbeatReply),
    /// Ends a worker's wait for the reply to a heartbeat.
    TimeOutHeartbeat { worker: String, serial: u64 },
    /// Checks whether a worker's lease has expired.
    CheckLease(String),
    /// Moves a task on a worker to its next phase.
    ChangePhase(PhaseChange),
    /// Delivers commands to a worker.
    DeliverCommand(Command),
    /// Resumes a stalled machine.
    ResumeWorker(String),
    /// Sends a user's follow-up request.
    FollowUp {
        controller: usize,
        job: String,
        kind: FollowUp,
    },
}

/// Scheduled actions, ordered by time and, at the same time, by the order in which they were scheduled.
#[derive(Default)]
pub(crate) struct EventQueue {
    actions: BTreeMap<(u64, u64), Action>,
    sequence: u64,
}

impl EventQueue {
    fn push(&mut self, due_ms: u64, action: Action) {
        self.sequence += 1;
        self.actions.insert((due_ms, self.sequence), action);
    }

    /// Removes and returns the next action that is due by a time, with its own time.
    fn pop_due(&mut self, until_ms: u64) -> Option<(u64, Action)> {
        let first = self.actions.first_entry()?;
        let (due_ms, _) = *first.key();
        (due_ms <= until_ms).then(|| (due_ms, first.remove()))
    }
}

impl Simulation {
    /// Schedules an action after a delay.
    pub(crate) fn schedule(&mut self, delay_ms: u64, action: Action) {
        self.queue.push(self.now_ms + delay_ms, action);
    }

    /// Delivers an event to a controller's process after a delay, if that process still runs then.
    pub(crate) fn deliver(&mut self, delay_ms: u64, process: ProcessId, event: Event) {
        self.schedule(delay_ms, Action::DeliverEvent { process, event });
    }

    /// Draws whether an event of a probability happens. Takes no random number if the probability is zero.
    pub(crate) fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.gen_bool(probability)
    }

    /// Runs the simulation for a time.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while let Some((due_ms, action)) = self.queue.pop_due(end_ms) {
            self.now_ms = due_ms;
            self.perform(action);
            if !self.skip_invariants {
                self.check_invariants();
            }
        }
        self.now_ms = end_ms;
    }

    /// Runs until a condition holds.
    ///
    /// # Panics
    /// If it does not hold within the timeout.
    pub fn run_until(
        &mut self,
        timeout_ms: u64,
        description: &str,
        mut condition: impl FnMut(&Simulation) -> bool,
    ) {
        let end_ms = self.now_ms + timeout_ms;
        while !condition(self) {
            assert!(
                self.now_ms < end_ms,
                "timed out at {} ms: {description}",
                self.now_ms
            );
            self.run(10);
        }
    }

    /// Performs an action, unless it is deferred by a stalled machine.
    fn perform(&mut self, action: Action) {
        let Some(action) = self.unless_stalled(action) else {
            return;
        };
        match action {
            Action::StartController(controller) => self.start_controller(controller),
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
                heartbeat,
                serial,
            } => self.receive_heartbeat(controller, heartbeat, serial),
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
