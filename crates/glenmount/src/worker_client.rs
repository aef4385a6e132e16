//! Sends direct commands to workers, each of them once. Heartbeats show their effect.

use crate::http_client::{HttpClient, Resend, ResponseLimits};
use crate::wire;
use glenmount_core::constants::COMMAND_TIMEOUT_MS;
use glenmount_core::controller::{CommandOutcome, Event};
use glenmount_core::model::{WorkerCommand, WorkerHeartbeat};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use tokio::sync::{mpsc, Semaphore};
use tokio::time::{timeout, Duration, Instant};

/// Timeout of waiting for a free slot, and of the response after that.
const TIMEOUT: Duration = Duration::from_millis(COMMAND_TIMEOUT_MS);
/// Limits of a response, which is a heartbeat and may have many tasks.
const LIMITS: ResponseLimits = ResponseLimits {
    timeout: TIMEOUT,
    max_body_bytes: 1 << 20,
};
/// Path of commands on the HTTP server of a worker.
const COMMAND_PATH: &str = "/do";
/// Most commands in flight at once, so that unreachable workers don't use up the sockets.
const MAX_COMMANDS_IN_FLIGHT: usize = 64;
/// Most probes in flight at once. Probes go mostly to machines that don't respond, so they have slots of their
/// own and starts don't wait behind them.
const MAX_PROBES_IN_FLIGHT: usize = 24;

/// The purpose of a command request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandKind {
    /// Has no commands and only asks the worker for a heartbeat.
    Probe,
    /// Stops no task.
    Starts,
    /// Stops a task; the heartbeat in the response shows at once which tasks have ended.
    Stops,
}

impl CommandKind {
    /// Returns the kind of a request with these commands.
    pub fn of(commands: &[WorkerCommand]) -> CommandKind {
        let is_stop = |command: &WorkerCommand| matches!(command, WorkerCommand::Stop { .. });
        if commands.is_empty() {
            CommandKind::Probe
        } else if commands.iter().any(is_stop) {
            CommandKind::Stops
        } else {
            CommandKind::Starts
        }
    }
}

/// A request with commands for a worker.
pub struct Command {
    pub machine: String,
    /// Address of the worker as stated in its heartbeats.
    pub address: String,
    pub body: String,
    pub kind: CommandKind,
}

/// The client of all workers. It reports the outcome of each command to the core.
pub struct WorkerClient {
    http: HttpClient,
    core: mpsc::Sender<Event>,
    command_slots: Arc<Semaphore>,
    probe_slots: Arc<Semaphore>,
}

impl WorkerClient {
    /// Creates a client, which doesn't keep idle connections open.
    pub fn new(core: mpsc::Sender<Event>) -> WorkerClient {
        let no_address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        WorkerClient {
            http: HttpClient::new(no_address, TIMEOUT, Resend::Never),
            core,
            command_slots: Arc::new(Semaphore::new(MAX_COMMANDS_IN_FLIGHT)),
            probe_slots: Arc::new(Semaphore::new(MAX_PROBES_IN_FLIGHT)),
        }
    }

    /// Spawns a task that sends a command. Timeouts of waiting and of the response bound the life of the task.
    pub fn send(&self, command: Command) {
        let slots = match command.kind {
            CommandKind::Probe => self.probe_slots.clone(),
            CommandKind::Starts | CommandKind::Stops => self.command_slots.clone(),
        };
        let (http, core) = (self.http.clone(), self.core.clone());
        let queued_at = Instant::now();
        tokio::spawn(async move {
            let delivery = deliver(&http, &command, slots, queued_at).await;
            let event = Event::CommandResult {
                machine: command.machine,
                outcome: delivery.outcome,
                heartbeat: delivery.heartbeat,
            };
            let _ = core.send(event).await;
        });
    }
}

/// The outcome of a command, and the heartbeat in the response if one was read.
struct Delivery {
    outcome: CommandOutcome,
    heartbeat: Option<Box<WorkerHeartbeat>>,
}

impl Delivery {
    fn without_heartbeat(outcome: CommandOutcome) -> Delivery {
        Delivery {
            outcome,
            heartbeat: None,
        }
    }
}

async fn deliver(
    http: &HttpClient,
    command: &Command,
    slots: Arc<Semaphore>,
    queued_at: Instant,
) -> Delivery {
    // Commands to unresponsive machines hold their slots until the timeout. A command without a free slot
    // tells nothing about its own machine.
    let slot = timeout(TIMEOUT, slots.acquire_owned()).await;
    let (Ok(address), Ok(Ok(_slot))) = (command.address.parse(), slot) else {
        return Delivery::without_heartbeat(CommandOutcome::NotSent);
    };
    // A command is not sent late, for example after this process was paused.
    if queued_at.elapsed() > TIMEOUT {
        return Delivery::without_heartbeat(CommandOutcome::NotSent);
    }
    let http = http.for_address(address);
    let response = http.post(COMMAND_PATH, command.body.clone(), LIMITS).await;
    let Ok(response) = response else {
        return Delivery::without_heartbeat(CommandOutcome::NoAnswer);
    };
    let heartbeat = || wire::read_heartbeat(&response.body).ok().map(Box::new);
    match response.status {
        200 if command.kind == CommandKind::Starts => {
            Delivery::without_heartbeat(CommandOutcome::Accepted)
        }
        200 => Delivery {
            outcome: CommandOutcome::Accepted,
            heartbeat: heartbeat(),
        },
        // The worker may have a newer incarnation, which has ended all tasks of earlier ones.
        409 => Delivery {
            outcome: CommandOutcome::Refused,
            heartbeat: heartbeat(),
        },
        _ => Delivery::without_heartbeat(CommandOutcome::Refused),
    }
}
