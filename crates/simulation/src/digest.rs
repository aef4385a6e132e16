//! A digest of all effects of controllers: equal digests of two builds mean equal behaviour, to the last bit.
//!
//! The digest hashes the effects in the order in which controllers emit them, by the data that leaves the process
//! (keys, record values, names on the wire) and never by names of types or fields, so that renames don't change
//! it. The workers and images in a heartbeat come from hash maps, whose order differs between processes, and are
//! sorted first.

use glenmount_core::controller::{
    CloudOperation, Effect, PeerHeartbeat, StateOperation, UserReply, WorkerReply,
};
use glenmount_core::model::{JobState, WorkerCommand};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// An FNV-1a hash of effects, equal in every process and on every platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EffectDigest {
    hash: u64,
    /// Number of hashed effects.
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
    /// Returns the hash of all effects so far.
    pub fn value(&self) -> u64 {
        self.hash
    }

    fn add_bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }

    fn add_number(&mut self, number: u64) {
        self.add_bytes(&number.to_le_bytes());
    }

    fn add_text(&mut self, text: &str) {
        self.add_number(text.len() as u64);
        self.add_bytes(text.as_bytes());
    }

    fn add_real(&mut self, number: f64) {
        self.add_number(number.to_bits());
    }

    fn add_optional(&mut self, text: Option<&str>) {
        self.add_number(u64::from(text.is_some()));
        self.add_text(text.unwrap_or_default());
    }

    /// Adds an effect that a controller emitted at a time, and whether the controller reported itself ready.
    pub fn add(&mut self, controller: usize, now_ms: u64, effect: &Effect, ready: bool) {
        self.effects += 1;
        self.add_number(controller as u64);
        self.add_number(now_ms);
        self.add_number(u64::from(ready));
        match effect {
            Effect::User { request, reply } => {
                self.add_number(1);
                self.add_number(*request);
                self.add_user_reply(reply);
            }
            Effect::Worker { request, reply } => {
                self.add_number(2);
                self.add_number(*request);
                self.add_worker_reply(reply);
            }
            Effect::State {
                operation_id,
                operation,
                request_class,
            } => {
                self.add_number(3);
                self.add_number(*operation_id);
                self.add_number(*request_class as u64);
                self.add_state_operation(operation);
            }
            Effect::Cloud {
                operation_id,
                operation,
            } => {
                self.add_number(4);
                self.add_number(*operation_id);
                self.add_cloud_operation(operation);
            }
            Effect::Watch { since } => {
                self.add_number(5);
                self.add_number(*since);
            }
            Effect::PeerHeartbeat(heartbeat) => {
                self.add_number(6);
                self.add_heartbeat(heartbeat);
            }
            Effect::Command {
                machine,
                address,
                incarnation,
                token,
                commands,
            } => {
                self.add_number(7);
                self.add_text(machine);
                self.add_text(address);
                self.add_number(*incarnation);
                self.add_number(*token);
                self.add_commands(commands);
            }
            Effect::Exit => self.add_number(8),
        }
    }

    fn add_job_state(&mut self, state: JobState) {
        self.add_number(match state {
            JobState::Pending => 1,
            JobState::Running => 2,
            JobState::Done => 3,
            JobState::Cancelled => 4,
        });
    }

    fn add_user_reply(&mut self, reply: &UserReply) {
        match reply {
            UserReply::Accepted { job } => {
                self.add_number(1);
                self.add_text(job);
            }
            UserReply::Status {
                job,
                state,
                done,
                running,
            } => {
                self.add_number(2);
                self.add_text(job);
                self.add_job_state(*state);
                self.add_number(u64::from(*done));
                self.add_number(u64::from(*running));
            }
            UserReply::Cancelled { job, state } => {
                self.add_number(3);
                self.add_text(job);
                self.add_job_state(*state);
            }
            UserReply::NotFound => self.add_number(4),
            UserReply::Rejected(reason) => {
                self.add_number(5);
                self.add_text(&reason.to_string());
            }
            UserReply::RetryAfter { after_s } => {
                self.add_number(6);
                self.add_number(u64::from(*after_s));
            }
        }
    }

    fn add_worker_reply(&mut self, reply: &WorkerReply) {
        match reply {
            WorkerReply::Commands { token, commands } => {
                self.add_number(1);
                self.add_number(*token);
                self.add_commands(commands);
            }
            WorkerReply::Redirect { controller } => {
                self.add_number(2);
                self.add_optional(controller.as_deref());
            }
            WorkerReply::Unavailable => self.add_number(3),
        }
    }

    fn add_commands(&mut self, commands: &[WorkerCommand]) {
        self.add_number(commands.len() as u64);
        for command in commands {
            let (kind, task, attempt, grace_s) = match command {
                WorkerCommand::Start { task, attempt } => (1, task, attempt, 0.0),
                WorkerCommand::Stop {
                    task,
                    attempt,
                    grace_s,
                } => (2, task, attempt, *grace_s),
                WorkerCommand::Forget { task, attempt } => (3, task, attempt, 0.0),
            };
            self.add_number(kind);
            self.add_text(&task.to_string());
            self.add_number(*attempt);
            self.add_real(grace_s);
        }
    }

    fn add_state_operation(&mut self, operation: &StateOperation) {
        match operation {
            StateOperation::Transaction(transaction) => {
                self.add_number(1);
                self.add_number(u64::from(transaction.format));
                self.add_text(&transaction.request_body());
            }
            StateOperation::ReadIndex => self.add_number(2),
            StateOperation::List { after } => {
                self.add_number(3);
                self.add_optional(after.as_deref());
            }
        }
    }

    fn add_cloud_operation(&mut self, operation: &CloudOperation) {
        match operation {
            CloudOperation::Types => self.add_number(1),
            CloudOperation::Provision {
                name,
                type_name,
                zone,
                spot,
                count,
            } => {
                self.add_number(2);
                self.add_text(name);
                self.add_text(type_name);
                self.add_text(zone);
                self.add_number(u64::from(*spot));
                self.add_number(u64::from(*count));
            }
            CloudOperation::Delete { machines } => {
                self.add_number(3);
                for machine in machines {
                    self.add_text(machine);
                }
            }
            CloudOperation::List { after } => {
                self.add_number(4);
                self.add_optional(after.as_deref());
            }
        }
    }

    fn add_heartbeat(&mut self, heartbeat: &PeerHeartbeat) {
        self.add_text(&heartbeat.controller);
        self.add_number(heartbeat.sent_at);
        self.add_number(u64::from(heartbeat.has_current_state));
        self.add_number(u64::from(heartbeat.workers_reachable));
        self.add_number(u64::from(heartbeat.just_started));
        let mut workers = heartbeat.workers.clone();
        workers.sort();
        for worker in &workers {
            self.add_text(&worker.machine);
            self.add_number(worker.incarnation);
            self.add_number(worker.sequence);
            self.add_number(worker.age_ms);
        }
        let mut images = heartbeat.cached_images.clone();
        images.sort_by(|a, b| a.0.cmp(&b.0));
        for (machine, images) in &images {
            self.add_text(machine);
            for (image, gigabytes) in images {
                self.add_text(image);
                self.add_real(*gigabytes);
            }
        }
        self.add_number(u64::from(heartbeat.status.is_some()));
        if let Some(status) = &heartbeat.status {
            self.add_number(status.process_started_at);
            self.add_number(status.sequence);
            self.add_number(status.revision);
            self.add_number(status.term);
            self.add_number(u64::from(status.outstanding_operations));
            self.add_number(u64::from(status.tick_delay_ms));
            self.add_number(u64::from(status.reporting_workers));
            self.add_number(status.configuration);
            for controller in &status.heard_peers {
                self.add_text(controller);
            }
        }
    }
}
