//! The event loop: what is due when, in simulated time, and which part carries it out.

use crate::workers::{Command, HeartbeatReply, TaskChange};
use crate::{CloudRequest, Look, ProcessId, StateRequest, World};
use glenmount_core::controller::Event;
use glenmount_core::model::WorkerHeartbeat;
use rand::Rng;
use std::collections::BTreeMap;

/// Something that is due at a time.
#[derive(Clone, Debug)]
pub(crate) enum Act {
    /// A controller's process starts.
    Restart(usize),
    Tick(ProcessId),
    /// An event reaches a controller.
    Controller {
        process: ProcessId,
        event: Event,
    },
    /// A controller that was paused goes on.
    Thaw(ProcessId),
    /// A controller that was asked to end has nothing left to do.
    End {
        process: ProcessId,
        back_after: u64,
    },
    /// A request reaches the state service.
    State(StateRequest),
    /// A controller's watch is told what has changed.
    Watch(ProcessId),
    /// A call reaches the cloud.
    Cloud(CloudRequest),
    /// A machine is up.
    Boot(String),
    /// A worker sends a report.
    Report(String),
    /// A worker's report reaches a controller.
    Arrive {
        controller: usize,
        report: WorkerHeartbeat,
        serial: u64,
    },
    /// The answer to a report reaches its worker.
    Reply(HeartbeatReply),
    /// A worker waits no longer for the answer to a report.
    GaveUp {
        worker: String,
        serial: u64,
    },
    /// A worker's lease may have ended.
    Lease(String),
    /// A task on a worker goes from one phase to the next.
    Phase(TaskChange),
    /// Orders reach a worker directly.
    Command(Command),
    /// A machine that hung goes on.
    GoesOn(String),
    /// Users look at a job that was just accepted, cancelled or done.
    Look {
        controller: usize,
        job: String,
        look: Look,
    },
}

/// What is due, by time; of what is due at the same time, what was scheduled first.
#[derive(Default)]
pub(crate) struct EventQueue {
    acts: BTreeMap<(u64, u64), Act>,
    scheduled: u64,
}

impl EventQueue {
    fn push(&mut self, due: u64, act: Act) {
        self.scheduled += 1;
        self.acts.insert((due, self.scheduled), act);
    }

    /// The next that is due by a time, and when it is.
    fn pop_due(&mut self, by: u64) -> Option<(u64, Act)> {
        let first = self.acts.first_entry()?;
        let (due, _) = *first.key();
        (due <= by).then(|| (due, first.remove()))
    }
}

impl World {
    pub(crate) fn at(&mut self, delay: u64, act: Act) {
        self.queue.push(self.now + delay, act);
    }

    /// Lets an event reach a controller's process, if that still runs then.
    pub(crate) fn deliver(&mut self, delay: u64, process: ProcessId, event: Event) {
        self.at(delay, Act::Controller { process, event });
    }

    pub(crate) fn chance(&mut self, p: f64) -> bool {
        p > 0.0 && self.rng.gen_bool(p)
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some((due, act)) = self.queue.pop_due(end) {
            self.now = due;
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

    fn act(&mut self, act: Act) {
        let Some(act) = self.unless_hung(act) else {
            return;
        };
        match act {
            Act::Restart(n) => self.start_controller(n),
            Act::Tick(process) => self.tick(process),
            Act::Controller { process, event } => {
                if self.runs(process) {
                    self.controller(process.controller, event);
                }
            }
            Act::Thaw(process) => self.thaw(process),
            Act::End {
                process,
                back_after,
            } => {
                if self.runs(process) {
                    self.crash(process.controller, back_after);
                }
            }
            Act::State(request) => self.execute_request(request),
            Act::Watch(process) => self.tell_watch(process),
            Act::Cloud(request) => self.execute_cloud_request(request),
            Act::Boot(worker) => self.machine_is_up(worker),
            Act::Report(worker) => self.send_report(&worker),
            Act::Arrive {
                controller,
                report,
                serial,
            } => self.receive_report(controller, report, serial),
            Act::Reply(reply) => self.receive_reply(reply),
            Act::GaveUp { worker, serial } => self.give_up_report(worker, serial),
            Act::Lease(worker) => self.check_lease(worker),
            Act::Phase(change) => self.change_task(change),
            Act::Command(command) => self.receive_command(command),
            Act::GoesOn(worker) => self.goes_on_after_hang(&worker),
            Act::Look {
                controller,
                job,
                look,
            } => self.look(controller, &job, look),
        }
    }
}
