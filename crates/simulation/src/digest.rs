//! A digest of all that controllers do: equal digests of two builds mean equal behaviour, to the last bit.
//!
//! Each effect is hashed in the order in which it is emitted and by what leaves the process (keys, record
//! values, names of the wire), never by names of types or fields, so that renaming changes nothing. What
//! comes from a hash map, whose order differs between processes, is sorted first: the workers and images that
//! a heartbeat names.

use glenmount_core::controller::*;
use glenmount_core::model::*;

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
                token,
                op,
                priority,
            } => {
                self.number(3);
                self.number(*token);
                self.number(*priority as u64);
                self.state_operation(op);
            }
            Effect::Cloud { token, op } => {
                self.number(4);
                self.number(*token);
                self.cloud_operation(op);
            }
            Effect::Watch { since } => {
                self.number(5);
                self.number(*since);
            }
            Effect::Heartbeat(beat) => {
                self.number(6);
                self.heartbeat(beat);
            }
            Effect::Command {
                machine,
                address,
                session,
                token,
                orders,
            } => {
                self.number(7);
                self.text(machine);
                self.text(address);
                self.number(*session);
                self.number(*token);
                self.orders(orders);
            }
            Effect::End => self.number(8),
        }
    }

    fn job_state(&mut self, state: JobState) {
        self.number(match state {
            JobState::Queued => 1,
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
            UserReply::State {
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
            UserReply::Never(why) => {
                self.number(5);
                self.text(&why.to_string());
            }
            UserReply::Later { after_s } => {
                self.number(6);
                self.number(u64::from(*after_s));
            }
        }
    }

    fn worker_reply(&mut self, reply: &WorkerReply) {
        match reply {
            WorkerReply::Orders { token, orders } => {
                self.number(1);
                self.number(*token);
                self.orders(orders);
            }
            WorkerReply::Elsewhere { node } => {
                self.number(2);
                self.optional(node.as_deref());
            }
            WorkerReply::NotNow => self.number(3),
        }
    }

    fn orders(&mut self, orders: &[Order]) {
        self.number(orders.len() as u64);
        for order in orders {
            let (kind, task, attempt, grace_s) = match order {
                Order::Start { task, attempt } => (1, task, attempt, 0.0),
                Order::Stop {
                    task,
                    attempt,
                    grace_s,
                } => (2, task, attempt, *grace_s),
                Order::Forget { task, attempt } => (3, task, attempt, 0.0),
            };
            self.number(kind);
            self.text(&task.to_string());
            self.number(*attempt);
            self.real(grace_s);
        }
    }

    fn state_operation(&mut self, operation: &StateOp) {
        match operation {
            StateOp::Txn(transaction) => {
                self.number(1);
                self.number(u64::from(transaction.format));
                self.text(&transaction.text());
            }
            StateOp::Proof => self.number(2),
            StateOp::List { after } => {
                self.number(3);
                self.optional(after.as_deref());
            }
        }
    }

    fn cloud_operation(&mut self, operation: &CloudOp) {
        match operation {
            CloudOp::Types => self.number(1),
            CloudOp::Hire {
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
            CloudOp::Delete { machines } => {
                self.number(3);
                for machine in machines {
                    self.text(machine);
                }
            }
            CloudOp::List { after } => {
                self.number(4);
                self.optional(after.as_deref());
            }
        }
    }

    fn heartbeat(&mut self, beat: &Heartbeat) {
        self.text(&beat.node);
        self.number(beat.at);
        self.number(u64::from(beat.state_ok));
        self.number(u64::from(beat.workers_ok));
        self.number(u64::from(beat.young));
        let mut heard = beat.heard.clone();
        heard.sort();
        for (machine, session, tally, age_ms) in &heard {
            self.text(machine);
            self.number(*session);
            self.number(*tally);
            self.number(*age_ms);
        }
        let mut images = beat.images.clone();
        images.sort_by(|a, b| a.0.cmp(&b.0));
        for (machine, images) in &images {
            self.text(machine);
            for (image, gigabytes) in images {
                self.text(image);
                self.real(*gigabytes);
            }
        }
        self.number(u64::from(beat.said.is_some()));
        if let Some(said) = &beat.said {
            self.number(said.life);
            self.number(said.count);
            self.number(said.revision);
            self.number(said.term);
            self.number(u64::from(said.under_way));
            self.number(u64::from(said.late_ms));
            self.number(u64::from(said.reports));
            self.number(said.configuration);
            for node in &said.hears {
                self.text(node);
            }
        }
    }
}
