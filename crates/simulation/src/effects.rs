//! Effects of controllers: how each gets to its receiver, or does not.

use crate::network::command_unanswered;
use crate::state_store::{RequestFate, StateRequest};
use crate::workers::{Command, HeartbeatReply};
use crate::{operation_as_written, Action, CloudRequest, ProcessId, Simulation};
use glenmount_core::constants::STATE_TIMEOUT_MS;
use glenmount_core::controller::{
    CloudOperation, CloudResponse, CommandOutcome, Effect, Event, OperationId, PeerHeartbeat,
    RequestId, StateOperation, StateResponse, UserReply, WorkerReply,
};
use glenmount_core::model::WorkerCommand;
use rand::Rng;

/// Milliseconds after which a controller gives up on a request to the state service.
const STATE_REQUEST_GIVE_UP_MS: u64 = 1_200;
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

impl Simulation {
    /// Carries out what a controller wants done.
    pub(crate) fn apply_effect(&mut self, process: ProcessId, effect: Effect) {
        let controller = process.controller;
        match effect {
            Effect::User { request, reply } => {
                if matches!(reply, UserReply::Accepted { .. }) {
                    self.controllers[controller]
                        .first_accepted_ms
                        .get_or_insert(self.now_ms);
                }
                self.record_answer(request, reply);
            }
            Effect::Worker { request, reply } => self.send_heartbeat_reply(process, request, reply),
            Effect::State {
                operation_id: token,
                operation: op,
                ..
            } => self.send_state_operation(process, token, op),
            Effect::Cloud {
                operation_id: token,
                operation: op,
            } => self.send_cloud_operation(process, token, op),
            Effect::Watch { since } => {
                self.controllers[controller].watched_revision = Some(since);
                self.schedule(3, Action::NotifyWatch(process));
            }
            Effect::Command {
                machine,
                incarnation,
                token,
                commands,
                ..
            } => self.send_command(Command {
                process,
                worker: machine,
                incarnation,
                fencing_token: token,
                commands,
                answer_expired: false,
            }),
            Effect::Exit => {
                let restart_after_ms = self.controllers[controller].restart_after_ms;
                let end = Action::StopController {
                    process,
                    restart_after_ms,
                };
                self.schedule(2, end);
            }
            Effect::PeerHeartbeat(heartbeat) => self.send_peer_heartbeat(controller, &heartbeat),
        }
    }

    /// The answer to a worker's report.
    fn send_heartbeat_reply(&mut self, process: ProcessId, request: RequestId, reply: WorkerReply) {
        let Some(heartbeat) = self.pending_heartbeats.remove(&(process, request)) else {
            return;
        };
        if self.is_disconnected_from(process.controller, &heartbeat.worker)
            || self.chance(self.network.faults.reply_lost)
        {
            if matches!(&reply, WorkerReply::Commands { commands, .. } if has_start(commands)) {
                self.metrics.lost_starts += 1;
            }
            return;
        }
        let delay = self.rng.gen_range(1..6) + self.extra_latency_ms();
        self.schedule(
            delay,
            Action::DeliverHeartbeatReply(HeartbeatReply { heartbeat, reply }),
        );
    }

    /// Whether nothing of what a controller sends gets to a worker.
    fn is_disconnected_from(&self, controller: usize, worker: &str) -> bool {
        let slot = &self.controllers[controller];
        let deaf = self
            .workers
            .get(worker)
            .is_some_and(|worker| worker.inbound_lost);
        slot.cut_from_workers
            || slot.outbound_lost
            || deaf
            || !self.controller_reaches(controller, worker)
    }

    fn send_state_operation(&mut self, process: ProcessId, token: OperationId, op: StateOperation) {
        let controller = process.controller;
        let op = match self.is_previous_version(process) {
            true => operation_as_written(op),
            false => Some(op),
        };
        let Some(op) = op.filter(|_| !self.controllers[controller].refused_by_state) else {
            let answer = StateResponse::Unavailable;
            self.deliver(
                5,
                process,
                Event::State {
                    operation_id: token,
                    response: answer,
                },
            );
            return;
        };
        let transaction = matches!(op, StateOperation::Transaction(_));
        self.controllers[controller].messages_sent += u32::from(transaction);
        let mut request = StateRequest {
            process,
            token,
            op,
            fate: RequestFate::Normal,
        };
        if self.controllers[controller].cut_from_state || self.is_partitioned(controller) {
            self.hold_back_request(request);
            return;
        }
        if transaction {
            let (lost, late) = (
                self.network.faults.transaction_answer_lost,
                self.network.faults.transaction_late,
            );
            if self.chance(lost) {
                request.fate = RequestFate::AnswerLost;
            } else if self.chance(late) {
                request.fate = RequestFate::Late(self.rng.gen_range(1_300..20_000));
            }
        }
        self.send_state_request(request);
    }

    /// A request that does not get through: a transaction from a zone that is cut off does once that is over.
    fn hold_back_request(&mut self, request: StateRequest) {
        let (process, token) = (request.process, request.token);
        let transaction = matches!(request.op, StateOperation::Transaction(_));
        if self.is_partitioned(process.controller) && transaction {
            let fate = RequestFate::Late(0);
            let late = StateRequest { fate, ..request };
            self.network
                .held_back
                .push(Action::ExecuteStateRequest(late));
        }
        self.time_out_state_request(process, token, transaction);
    }

    /// A controller gets no answer from the state service, of which it learns in two steps if it waits for a
    /// transaction.
    fn time_out_state_request(
        &mut self,
        process: ProcessId,
        token: OperationId,
        transaction: bool,
    ) {
        if transaction {
            self.deliver(
                STATE_TIMEOUT_MS,
                process,
                Event::StateTimeout {
                    operation_id: token,
                },
            );
        }
        let answer = StateResponse::NoAnswer;
        let event = Event::State {
            operation_id: token,
            response: answer,
        };
        self.deliver(STATE_REQUEST_GIVE_UP_MS, process, event);
    }

    /// Sends a request to the state service.
    fn send_state_request(&mut self, request: StateRequest) {
        let delay = match request.fate {
            RequestFate::Late(ms) => ms,
            _ => self.rng.gen_range(2..10),
        };
        if request.fate != RequestFate::Normal {
            self.time_out_state_request(request.process, request.token, true);
        }
        self.schedule(delay, Action::ExecuteStateRequest(request));
    }

    fn send_cloud_operation(&mut self, process: ProcessId, token: OperationId, op: CloudOperation) {
        let answer_lost = self.chance(self.network.faults.cloud_answer_lost);
        if self.is_partitioned(process.controller) {
            let answer = CloudResponse::Failed;
            let event = Event::Cloud {
                operation_id: token,
                response: answer,
            };
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
        self.schedule(delay, Action::ExecuteCloudRequest(request));
    }

    /// Orders that a controller sends to a worker directly.
    fn send_command(&mut self, mut command: Command) {
        let (process, controller) = (command.process, command.process.controller);
        let silent = command_unanswered(command.worker.clone(), CommandOutcome::NoAnswer);
        let slot = &mut self.controllers[controller];
        slot.messages_sent += u32::from(!command.commands.is_empty());
        if has_start(&command.commands) {
            slot.first_start_ms.get_or_insert(self.now_ms);
        }
        if !self.controller_reaches(controller, &command.worker) {
            command.answer_expired = true;
            self.network.held_back.push(Action::DeliverCommand(command));
            self.deliver(CUT_COMMAND_TIMEOUT_MS, process, silent);
            return;
        }
        if self.is_disconnected_from(controller, &command.worker)
            || self.chance(self.network.faults.command_lost)
        {
            self.deliver(COMMAND_TIMEOUT_MS, process, silent);
            return;
        }
        command.answer_expired = self.chance(self.network.faults.command_late);
        let delay = match command.answer_expired {
            true => self.rng.gen_range(2_000..60_000),
            false => self.rng.gen_range(1..5) + self.extra_latency_ms(),
        };
        if command.answer_expired {
            self.deliver(COMMAND_TIMEOUT_MS, process, silent);
        }
        self.schedule(delay, Action::DeliverCommand(command));
    }

    /// A controller's heartbeat to its peers.
    fn send_peer_heartbeat(&mut self, controller: usize, heartbeat: &PeerHeartbeat) {
        self.metrics.heartbeat_bytes = heartbeat
            .workers
            .iter()
            .map(|worker| worker.machine.len() + 12)
            .sum();
        for peer in 0..self.controllers.len() {
            if self.peers_connected(controller, peer) {
                self.deliver(
                    3,
                    self.process(peer),
                    Event::PeerHeartbeat(heartbeat.clone()),
                );
            }
        }
    }
}
