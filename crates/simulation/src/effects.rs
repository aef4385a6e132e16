//! Effects of controllers: delivery of each to its receiver, with delays and losses.

use crate::message_sizes::{commands_bytes, is_oversized};
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

/// Timeout of a request to the state store. For a transaction it follows [`STATE_TIMEOUT_MS`].
const STATE_REQUEST_TIMEOUT_MS: u64 = 1_200;
/// Timeout of a call to the cloud.
const CLOUD_TIMEOUT_MS: u64 = 1_500;
/// Timeout of a command that is lost.
const COMMAND_TIMEOUT_MS: u64 = 2_000;
/// Latency of a worker's refusal of a command that is too large.
const REFUSAL_LATENCY_MS: u64 = 2;
/// Timeout of a command into or out of a partitioned zone.
const PARTITION_COMMAND_TIMEOUT_MS: u64 = 1_200;

/// Returns whether one of the commands is a start.
pub(crate) fn has_start(commands: &[WorkerCommand]) -> bool {
    commands
        .iter()
        .any(|command| matches!(command, WorkerCommand::Start { .. }))
}

impl Simulation {
    /// Applies an effect of a controller.
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
                operation_id,
                operation,
                ..
            } => self.send_state_operation(process, operation_id, operation),
            Effect::Cloud {
                operation_id,
                operation,
            } => self.send_cloud_operation(process, operation_id, operation),
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
                is_copy: false,
            }),
            Effect::Exit => {
                let restart_after_ms = self.controllers[controller].restart_after_ms;
                let stop = Action::StopController {
                    process,
                    restart_after_ms,
                };
                self.schedule(2, stop);
            }
            Effect::PeerHeartbeat(heartbeat) => self.send_peer_heartbeat(controller, &heartbeat),
        }
    }

    /// Sends the reply to a worker's heartbeat.
    fn send_heartbeat_reply(&mut self, process: ProcessId, request: RequestId, reply: WorkerReply) {
        let Some(heartbeat) = self.pending_heartbeats.remove(&(process, request)) else {
            return;
        };
        // A worker can't read a line above the limit, as if the reply were lost.
        let is_unreadable = matches!(&reply, WorkerReply::Commands { commands, .. }
            if is_oversized(commands_bytes(commands)));
        self.metrics.oversized_commands += u32::from(is_unreadable);
        if is_unreadable
            || self.is_disconnected_from(process.controller, &heartbeat.worker)
            || self.chance(self.network.faults.reply_lost)
        {
            if matches!(&reply, WorkerReply::Commands { commands, .. } if has_start(commands)) {
                self.metrics.lost_starts += 1;
            }
            return;
        }
        let delay_ms = self.rng.gen_range(1..6) + self.extra_latency_ms();
        self.schedule(
            delay_ms,
            Action::DeliverHeartbeatReply(HeartbeatReply { heartbeat, reply }),
        );
    }

    /// Returns whether messages of a controller cannot reach a worker.
    fn is_disconnected_from(&self, controller: usize, worker: &str) -> bool {
        let slot = &self.controllers[controller];
        let is_inbound_lost = self
            .workers
            .get(worker)
            .is_some_and(|worker| worker.inbound_lost);
        slot.cut_from_workers
            || slot.outbound_lost
            || is_inbound_lost
            || !self.controller_reaches(controller, worker)
    }

    /// Sends an operation to the state store, which executes it, refuses it or, with a fault, answers it late or not
    /// at all.
    fn send_state_operation(
        &mut self,
        process: ProcessId,
        operation_id: OperationId,
        operation: StateOperation,
    ) {
        let controller = process.controller;
        let operation = match self.is_previous_version(process) {
            true => operation_as_written(operation),
            false => Some(operation),
        };
        let Some(operation) = operation.filter(|_| !self.controllers[controller].refused_by_state)
        else {
            let response = StateResponse::Unavailable;
            self.deliver(
                5,
                process,
                Event::State {
                    operation_id,
                    response,
                },
            );
            return;
        };
        let is_transaction = matches!(operation, StateOperation::Transaction(_));
        self.controllers[controller].messages_sent += u32::from(is_transaction);
        let mut request = StateRequest {
            process,
            operation_id,
            operation,
            fate: RequestFate::Normal,
        };
        if self.controllers[controller].cut_from_state || self.is_partitioned(controller) {
            self.hold_back_request(request);
            return;
        }
        if is_transaction {
            let (answer_lost, late) = (
                self.network.faults.transaction_answer_lost,
                self.network.faults.transaction_late,
            );
            if self.chance(answer_lost) {
                request.fate = RequestFate::AnswerLost;
            } else if self.chance(late) {
                request.fate = RequestFate::Late(self.rng.gen_range(1_300..20_000));
            }
        }
        self.send_state_request(request);
    }

    /// Lets a request time out that cannot reach the state store. A transaction from a partitioned zone is executed
    /// once the partition heals.
    fn hold_back_request(&mut self, request: StateRequest) {
        let (process, operation_id) = (request.process, request.operation_id);
        let is_transaction = matches!(request.operation, StateOperation::Transaction(_));
        if self.is_partitioned(process.controller) && is_transaction {
            let fate = RequestFate::Late(0);
            let late_request = StateRequest { fate, ..request };
            self.network
                .held_back
                .push(Action::ExecuteStateRequest(late_request));
        }
        self.time_out_state_request(process, operation_id, is_transaction);
    }

    /// Delivers the timeout of a request to the state store. A transaction gets two events: its outcome is uncertain
    /// first, and has no answer later.
    fn time_out_state_request(
        &mut self,
        process: ProcessId,
        operation_id: OperationId,
        is_transaction: bool,
    ) {
        if is_transaction {
            self.deliver(
                STATE_TIMEOUT_MS,
                process,
                Event::StateTimeout { operation_id },
            );
        }
        let response = StateResponse::NoAnswer;
        let event = Event::State {
            operation_id,
            response,
        };
        self.deliver(STATE_REQUEST_TIMEOUT_MS, process, event);
    }

    /// Sends a request to the state store. The sender of a late or unanswered one gets a timeout.
    fn send_state_request(&mut self, request: StateRequest) {
        let delay_ms = match request.fate {
            RequestFate::Late(ms) => ms,
            _ => self.rng.gen_range(2..10),
        };
        if request.fate != RequestFate::Normal {
            self.time_out_state_request(request.process, request.operation_id, true);
        }
        self.schedule(delay_ms, Action::ExecuteStateRequest(request));
    }

    /// Sends a call to the cloud. It fails if the controller is partitioned.
    fn send_cloud_operation(
        &mut self,
        process: ProcessId,
        operation_id: OperationId,
        operation: CloudOperation,
    ) {
        let answer_lost = self.chance(self.network.faults.cloud_answer_lost);
        if self.is_partitioned(process.controller) {
            let response = CloudResponse::Failed;
            let event = Event::Cloud {
                operation_id,
                response,
            };
            self.deliver(CLOUD_TIMEOUT_MS, process, event);
            return;
        }
        let delay_ms = self.rng.gen_range(30..200);
        let request = CloudRequest {
            process,
            operation_id,
            operation,
            answer_lost,
        };
        self.schedule(delay_ms, Action::ExecuteCloudRequest(request));
    }

    /// Sends commands from a controller directly to a worker.
    fn send_command(&mut self, mut command: Command) {
        let (process, controller) = (command.process, command.process.controller);
        let timeout = command_unanswered(command.worker.clone(), CommandOutcome::NoAnswer);
        let slot = &mut self.controllers[controller];
        slot.messages_sent += u32::from(!command.commands.is_empty());
        if has_start(&command.commands) {
            slot.first_start_ms.get_or_insert(self.now_ms);
        }
        if !self.controller_reaches(controller, &command.worker) {
            command.answer_expired = true;
            self.network.held_back.push(Action::DeliverCommand(command));
            self.deliver(PARTITION_COMMAND_TIMEOUT_MS, process, timeout);
            return;
        }
        if self.is_disconnected_from(controller, &command.worker)
            || self.chance(self.network.faults.command_lost)
        {
            self.deliver(COMMAND_TIMEOUT_MS, process, timeout);
            return;
        }
        if is_oversized(commands_bytes(&command.commands)) {
            self.metrics.oversized_commands += 1;
            let refused = command_unanswered(command.worker, CommandOutcome::Refused);
            self.deliver(REFUSAL_LATENCY_MS, process, refused);
            return;
        }
        command.answer_expired = self.chance(self.network.faults.command_late);
        let delay_ms = match command.answer_expired {
            true => self.rng.gen_range(2_000..60_000),
            false => self.rng.gen_range(1..5) + self.extra_latency_ms(),
        };
        if command.answer_expired {
            self.deliver(COMMAND_TIMEOUT_MS, process, timeout);
        }
        self.schedule(delay_ms, Action::DeliverCommand(command));
    }

    /// Sends a controller's heartbeat to the peers that it can reach.
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
