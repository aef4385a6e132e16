//! Direct commands to workers. Each is sent once; what becomes of it shows in heartbeats.

use crate::http_client::{AnswerLimits, HttpClient, Resend};
use crate::wire;
use glenmount_core::constants::COMMAND_TIMEOUT_MS;
use glenmount_core::controller::{CommandOutcome, Event};
use glenmount_core::model::{WorkerCommand, WorkerHeartbeat};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use tokio::sync::{mpsc, Semaphore};
use tokio::time::{timeout, Duration, Instant};

/// Time that a command may wait for a free slot, and then for its answer.
const TIMEOUT: Duration = Duration::from_millis(COMMAND_TIMEOUT_MS);
/// An answer is a heartbeat, perhaps of many tasks.
const LIMITS: AnswerLimits = AnswerLimits {
    timeout: TIMEOUT,
    body_bytes: 1 << 20,
};
/// Path at which workers take commands.
const COMMAND_PATH: &str = "/do";
/// Commands on their way at once, so that unreachable workers do not use up the sockets.
const COMMANDS_IN_FLIGHT: usize = 64;
/// The same for commands without orders, which only ask whether a machine answers: mostly silent
/// ones, and starts must not wait behind them.
const PROBES_IN_FLIGHT: usize = 24;

/// What a command is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandKind {
    /// It has no orders: its answer shows what is there.
    Probe,
    /// It has no orders to stop anything.
    Starts,
    /// Its answer shows at once what has ended.
    Stops,
}

impl CommandKind {
    /// The kind of a command with these orders.
    pub fn of(commands: &[WorkerCommand]) -> CommandKind {
        let is_stop = |order: &WorkerCommand| matches!(order, WorkerCommand::Stop { .. });
        if commands.is_empty() {
            CommandKind::Probe
        } else if commands.iter().any(is_stop) {
            CommandKind::Stops
        } else {
            CommandKind::Starts
        }
    }
}

/// A command, written, and the worker that it is for.
pub struct Command {
    pub machine: String,
    /// Where the worker listens, as it said itself.
    pub address: String,
    pub body: String,
    pub kind: CommandKind,
}

/// Sends commands; the outcome of each goes to the core.
pub struct WorkerClient {
    http: HttpClient,
    core: mpsc::Sender<Event>,
    command_slots: Arc<Semaphore>,
    probe_slots: Arc<Semaphore>,
}

impl WorkerClient {
    /// A client without connections; it never keeps any open.
    pub fn new(core: mpsc::Sender<Event>) -> WorkerClient {
        let no_address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        WorkerClient {
            http: HttpClient::new(no_address, TIMEOUT, Resend::Never),
            core,
            command_slots: Arc::new(Semaphore::new(COMMANDS_IN_FLIGHT)),
            probe_slots: Arc::new(Semaphore::new(PROBES_IN_FLIGHT)),
        }
    }

    /// Starts to send a command. Its task ends by itself: waiting and answer have time limits.
    pub fn send(&self, command: Command) {
        let slots = match command.kind {
            CommandKind::Probe => self.probe_slots.clone(),
            CommandKind::Starts | CommandKind::Stops => self.command_slots.clone(),
        };
        let (http, core) = (self.http.clone(), self.core.clone());
        let queued_at = Instant::now();
        tokio::spawn(async move {
            let outcome = deliver(&http, &command, slots, queued_at).await;
            let event = Event::CommandResult {
                machine: command.machine,
                outcome: outcome.reach,
                heartbeat: outcome.report,
            };
            let _ = core.send(event).await;
        });
    }
}

/// What became of a command, and the heartbeat in its answer where one was read.
struct Outcome {
    reach: CommandOutcome,
    report: Option<Box<WorkerHeartbeat>>,
}

impl Outcome {
    fn without_report(reach: CommandOutcome) -> Outcome {
        Outcome {
            reach,
            report: None,
        }
    }
}

async fn deliver(
    http: &HttpClient,
    command: &Command,
    slots: Arc<Semaphore>,
    queued_at: Instant,
) -> Outcome {
    // Machines that don't answer hold their slots for a while; a command that finds none free says
    // nothing of its own machine.
    let slot = timeout(TIMEOUT, slots.acquire_owned()).await;
    let (Ok(address), Ok(Ok(_slot))) = (command.address.parse(), slot) else {
        return Outcome::without_report(CommandOutcome::NotSent);
    };
    // Nor is one sent that this process was paused over: it would arrive late.
    if queued_at.elapsed() > TIMEOUT {
        return Outcome::without_report(CommandOutcome::NotSent);
    }
    let http = http.for_address(address);
    let answer = http.post(COMMAND_PATH, command.body.clone(), LIMITS).await;
    let Some(answer) = answer else {
        return Outcome::without_report(CommandOutcome::NoAnswer);
    };
    let report = || wire::read_heartbeat(&answer.body).ok().map(Box::new);
    match answer.status {
        200 if command.kind == CommandKind::Starts => {
            Outcome::without_report(CommandOutcome::Accepted)
        }
        200 => Outcome {
            reach: CommandOutcome::Accepted,
            report: report(),
        },
        // The worker's incarnation may be a newer one, which ends all that was before.
        409 => Outcome {
            reach: CommandOutcome::Refused,
            report: report(),
        },
        _ => Outcome::without_report(CommandOutcome::Refused),
    }
}
