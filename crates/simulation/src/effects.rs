//! Effects of controllers: how each gets to its receiver, or does not.

use crate::network::no_answer;
use crate::state_store::{Fate, StateRequest};
use crate::workers::{Command, HeartbeatReply};
use crate::{sent_by_old, Act, CloudRequest, ProcessId, World};
use glenmount_core::constants::STATE_TIMEOUT_MS;
use glenmount_core::controller::{
    CloudOperation, CloudResponse, CommandOutcome, Effect, Event, OperationId, PeerHeartbeat,
    RequestId, StateOperation, StateResponse, UserReply, WorkerReply,
};
use glenmount_core::model::WorkerCommand;
use rand::Rng;

/// Milliseconds after which a controller gives up on a request to the state service.
const STATE_TIMEOUT_MS: u64 = 1_200;
/// Milliseconds after which a controller gives up on a call to the cloud.
const CLOUD_TIMEOUT_MS: u64 = 1_500;
/// Milliseconds after which a controller gives up on a command that does not get through.
const COMMAND_TIMEOUT_MS: u64 = 2_000;
/// The same across the border of a zone that is cut off.
const CUT_COMMAND_TIMEOUT_MS: u64 = 1_200;

fn has_start(commands: &[WorkerCommand]) -> bool {
    commands
        .iter()
        .any(|o| matches!(o, WorkerCommand::Start { .. }))
}

impl World {
    /// Carries out what a controller wants done.
    pub(crate) fn carry_out(&mut self, process: ProcessId, effect: Effect) {
        let n = process.controller;
        match effect {
            Effect::User { request, reply } => {
                if matches!(reply, UserReply::Accepted { .. }) {
                    self.controllers[n].first_accepted.get_or_insert(self.now);
                }
                self.user_told(request, reply);
            }
            Effect::Worker { request, reply } => self.send_reply(process, request, reply),
            Effect::State { token, op, .. } => self.send_state_op(process, token, op),
            Effect::Cloud { token, op } => self.send_cloud_op(process, token, op),
            Effect::Watch { since } => {
                self.controllers[n].watching = Some(since);
                self.at(3, Act::Watch(process));
            }
            Effect::Command {
                machine,
                incarnation,
                token,
                commands,
                ..
            } => self.send_command(Command {
                process,
                machine,
                incarnation,
                token,
                commands,
                late: false,
            }),
            Effect::Exit => {
                let back_after = self.controllers[n].back_after;
                let end = Act::End {
                    process,
                    back_after,
                };
                self.at(2, end);
            }
            Effect::PeerHeartbeat(heartbeat) => self.send_beat(n, &heartbeat),
        }
    }

    /// The answer to a worker's report.
    fn send_reply(&mut self, process: ProcessId, request: RequestId, reply: WorkerReply) {
        let Some(checkin) = self.checkins.remove(&(process, request)) else {
            return;
        };
        if self.is_cut_from(process.controller, &checkin.worker)
            || self.chance(self.mishaps.reply_lost)
        {
            if matches!(&reply, WorkerReply::Commands { commands, .. } if has_start(commands)) {
                self.lost_starts += 1;
            }
            return;
        }
        let delay = self.rng.gen_range(1..6) + self.link_ms();
        self.at(delay, Act::Reply(HeartbeatReply { checkin, reply }));
    }

    /// Whether nothing of what a controller sends gets to a worker.
    fn is_cut_from(&self, n: usize, worker: &str) -> bool {
        let slot = &self.controllers[n];
        let deaf = self.workers.get(worker).is_some_and(|w| w.deaf);
        slot.cut_from_workers || slot.mute || deaf || !self.reaches(n, worker)
    }

    fn send_state_op(&mut self, process: ProcessId, token: OperationId, op: StateOperation) {
        let n = process.controller;
        let op = match self.is_old(process) {
            true => sent_by_old(op),
            false => Some(op),
        };
        let Some(op) = op.filter(|_| !self.controllers[n].refused) else {
            let answer = StateResponse::Unavailable;
            self.deliver(5, process, Event::State { token, answer });
            return;
        };
        let transaction = matches!(op, StateOperation::Transaction(_));
        self.controllers[n].sent += u32::from(transaction);
        let mut request = StateRequest {
            process,
            token,
            op,
            fate: Fate::Normal,
        };
        if self.controllers[n].cut_from_state || self.inside(n) {
            self.hold_back_request(request);
            return;
        }
        if transaction {
            let (lost, late) = (self.mishaps.txn_answer_lost, self.mishaps.txn_late);
            if self.chance(lost) {
                request.fate = Fate::AnswerLost;
            } else if self.chance(late) {
                request.fate = Fate::Late(self.rng.gen_range(1_300..20_000));
            }
        }
        self.state_request(request);
    }

    /// A request that does not get through: a transaction from a zone that is cut off does once that is over.
    fn hold_back_request(&mut self, request: StateRequest) {
        let (process, token) = (request.process, request.token);
        let transaction = matches!(request.op, StateOperation::Transaction(_));
        if self.inside(process.controller) && transaction {
            let fate = Fate::Late(0);
            let late = StateRequest { fate, ..request };
            self.held_back.push(Act::State(late));
        }
        self.state_times_out(process, token, transaction);
    }

    /// A controller gets no answer from the state service, of which it learns in two steps if it waits for a
    /// transaction.
    fn state_times_out(&mut self, process: ProcessId, token: OperationId, transaction: bool) {
        if transaction {
            self.deliver(STATE_TIMEOUT_MS, process, Event::StateTimeout { token });
        }
        let answer = StateResponse::NoAnswer;
        let event = Event::State { token, answer };
        self.deliver(STATE_TIMEOUT_MS, process, event);
    }

    /// Sends a request to the state service.
    pub(crate) fn state_request(&mut self, request: StateRequest) {
        let delay = match request.fate {
            Fate::Late(ms) => ms,
            _ => self.rng.gen_range(2..10),
        };
        if request.fate != Fate::Normal {
            self.state_times_out(request.process, request.token, true);
        }
        self.at(delay, Act::State(request));
    }

    fn send_cloud_op(&mut self, process: ProcessId, token: OperationId, op: CloudOperation) {
        let answer_lost = self.chance(self.mishaps.cloud_lost);
        if self.inside(process.controller) {
            let answer = CloudResponse::Failed;
            let event = Event::Cloud { token, answer };
            self.deliver(CLOUD_TIMEOUT_MS, process, event);
            return;
        }
        let delay = self.rng.gen_range(30..200);
        let request = CloudRequest {
            process,
            token,
            op,
            answer_lost,
        };
        self.at(delay, Act::Cloud(request));
    }

    /// Orders that a controller sends to a worker directly.
    fn send_command(&mut self, mut command: Command) {
        let (process, n) = (command.process, command.process.controller);
        let silent = no_answer(command.machine.clone(), CommandOutcome::NoAnswer);
        let slot = &mut self.controllers[n];
        slot.sent += u32::from(!command.commands.is_empty());
        if has_start(&command.commands) {
            slot.first_start.get_or_insert(self.now);
        }
        if !self.reaches(n, &command.machine) {
            command.late = true;
            self.held_back.push(Act::Command(command));
            self.deliver(CUT_COMMAND_TIMEOUT_MS, process, silent);
            return;
        }
        if self.is_cut_from(n, &command.machine) || self.chance(self.mishaps.command_lost) {
            self.deliver(COMMAND_TIMEOUT_MS, process, silent);
            return;
        }
        command.late = self.chance(self.mishaps.command_late);
        let delay = match command.late {
            true => self.rng.gen_range(2_000..60_000),
            false => self.rng.gen_range(1..5) + self.link_ms(),
        };
        if command.late {
            self.deliver(COMMAND_TIMEOUT_MS, process, silent);
        }
        self.at(delay, Act::Command(command));
    }

    /// A controller's heartbeat to its peers.
    fn send_beat(&mut self, n: usize, heartbeat: &PeerHeartbeat) {
        self.beat_bytes = heartbeat.heard.iter().map(|h| h.0.len() + 12).sum();
        for m in 0..self.controllers.len() {
            if self.linked(n, m) {
                self.deliver(3, self.process(m), Event::PeerHeartbeat(heartbeat.clone()));
            }
        }
    }
}
