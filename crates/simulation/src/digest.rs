//! A digest of all that controllers do: equal digests of two builds mean equal behaviour, to the last bit.
//!
//! Each effect is hashed in the order in which it is emitted and by what leaves the process (keys, record
//! values, names of the wire), never by names of types or fields, so that renaming changes nothing. FaultKind
//! comes from a hash map, whose order differs between processes, is sorted first: the workers and images that
//! a heartbeat names.

use glenmount_core::controller::{
    CloudOperation, Effect, PeerHeartbeat, StateOperation, UserReply, WorkerReply,
};
use glenmount_core::model::{JobState, WorkerCommand};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// An FNV-1a hash of effects: the same in every process and on every platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EffectDigest {
    hash: u64,
    /// Effects hashed so far.
    pub effects: u64,
}

impl Default for EffectDigest {
    fn default() -> EffectDigest {
        EffectDigest {
            hash: FNV_OFFSET,
            effects: 0,
        }
    }
}

impl EffectDigest {
    /// The hash of all effects so far.
    pub fn value(&self) -> u64 {
        self.hash
    }

    fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }

    fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        self.bytes(text.as_bytes());
    }

    fn real(&mut self, real: f64) {
        self.number(real.to_bits());
    }

    fn optional(&mut self, text: Option<&str>) {
        self.number(u64::from(text.is_some()));
        self.text(text.unwrap_or_default());
    }

    /// Adds what a controller emitted at a time, and whether it says that users may be sent to it.
    pub fn add(&mut self, controller: usize, now: u64, effect: &Effect, ready: bool) {
        self.effects += 1;
        self.number(controller as u64);
        self.number(now);
        self.number(u64::from(ready));
        match effect {
            Effect::User { request, reply } => {
                self.number(1);
                self.number(*request);
                self.user_reply(reply);
            }
            Effect::Worker { request, reply } => {
                self.number(2);
                self.number(*request);
                self.worker_reply(reply);
            }
            Effect::State {
                operation_id: token,
                operation: op,
                request_class,
            } => {
                self.number(3);
                self.number(*token);
                self.number(*request_class as u64);
                self.state_operation(op);
            }
            Effect::Cloud {
                operation_id: token,
                operation: op,
            } => {
                self.number(4);
                self.number(*token);
                self.cloud_operation(op);
            }
            Effect::Watch { since } => {
                self.number(5);
                self.number(*since);
            }
            Effect::PeerHeartbeat(heartbeat) => {
                self.number(6);
                self.heartbeat(heartbeat);
            }
            Effect::Command {
                machine,
                address,
                incarnation,
                token,
                commands,
            } => {
                self.number(7);
                self.text(machine);
                self.text(address);
                self.number(*incarnation);
                self.number(*token);
                self.commands(commands);
            }
            Effect::Exit => self.number(8),
        }
    }

    fn job_state(&mut self, state: JobState) {
        self.number(match state {
            JobState::Pending => 1,
            JobState::Running => 2,
            JobState::Done => 3,
            JobState::Cancelled => 4,
        });
    }

    fn user_reply(&mut self, reply: &UserReply) {
        match reply {
            UserReply::Accepted { job } => {
                self.number(1);
                self.text(job);
            }
            UserReply::Status {
                job,
                state,
                done,
                running,
            } => {
                self.number(2);
                self.text(job);
                self.job_state(*state);
                self.number(u64::from(*done));
                self.number(u64::from(*running));
            }
            UserReply::Cancelled { job, state } => {
                self.number(3);
                self.text(job);
                self.job_state(*state);
            }
            UserReply::NotFound => self.number(4),
            UserReply::Rejected(why) => {
                self.number(5);
                self.text(&why.to_string());
            }
            UserReply::RetryAfter { after_s } => {
                self.number(6);
                self.number(u64::from(*after_s));
            }
        }
    }

    fn worker_reply(&mut self, reply: &WorkerReply) {
        match reply {
            WorkerReply::Commands { token, commands } => {
                self.number(1);
                self.number(*token);
                self.commands(commands);
            }
            WorkerReply::Redirect { controller } => {
                self.number(2);
                self.optional(controller.as_deref());
            }
            WorkerReply::Unavailable => self.number(3),
        }
    }

    fn commands(&mut self, commands: &[WorkerCommand]) {
        self.number(commands.len() as u64);
        for order in commands {
            let (kind, task, attempt, grace_s) = match order {
                WorkerCommand::Start { task, attempt } => (1, task, attempt, 0.0),
                WorkerCommand::Stop {
                    task,
                    attempt,
                    grace_s,
                } => (2, task, attempt, *grace_s),
                WorkerCommand::Forget { task, attempt } => (3, task, attempt, 0.0),
            };
            self.number(kind);
            self.text(&task.to_string());
            self.number(*attempt);
            self.real(grace_s);
        }
    }

    fn state_operation(&mut self, operation: &StateOperation) {
        match operation {
            StateOperation::Transaction(transaction) => {
                self.number(1);
                self.number(u64::from(transaction.format));
                self.text(&transaction.request_body());
            }
            StateOperation::ReadIndex => self.number(2),
            StateOperation::List { after } => {
                self.number(3);
                self.optional(after.as_deref());
            }
        }
    }

    fn cloud_operation(&mut self, operation: &CloudOperation) {
        match operation {
            CloudOperation::Types => self.number(1),
            CloudOperation::Provision {
                name,
                type_name,
                zone,
                spot,
                count,
            } => {
                self.number(2);
                self.text(name);
                self.text(type_name);
                self.text(zone);
                self.number(u64::from(*spot));
                self.number(u64::from(*count));
            }
            CloudOperation::Delete { machines } => {
                self.number(3);
                for machine in machines {
                    self.text(machine);
                }
            }
            CloudOperation::List { after } => {
                self.number(4);
                self.optional(after.as_deref());
            }
        }
    }

    fn heartbeat(&mut self, heartbeat: &PeerHeartbeat) {
        self.text(&heartbeat.controller);
        self.number(heartbeat.sent_at);
        self.number(u64::from(heartbeat.has_current_state));
        self.number(u64::from(heartbeat.workers_reachable));
        self.number(u64::from(heartbeat.just_started));
        let mut heard = heartbeat.workers.clone();
        heard.sort();
        for worker in &heard {
            self.text(&worker.machine);
            self.number(worker.incarnation);
            self.number(worker.sequence);
            self.number(worker.age_ms);
        }
        let mut images = heartbeat.cached_images.clone();
        images.sort_by(|a, b| a.0.cmp(&b.0));
        for (machine, images) in &images {
            self.text(machine);
            for (image, gigabytes) in images {
                self.text(image);
                self.real(*gigabytes);
            }
        }
        self.number(u64::from(heartbeat.status.is_some()));
        if let Some(said) = &heartbeat.status {
            self.number(said.process_started_at);
            self.number(said.sequence);
            self.number(said.revision);
            self.number(said.term);
            self.number(u64::from(said.outstanding_operations));
            self.number(u64::from(said.tick_delay_ms));
            self.number(u64::from(said.reporting_workers));
            self.number(said.configuration);
            for controller in &said.heard_peers {
                self.text(controller);
            }
        }
    }
}
