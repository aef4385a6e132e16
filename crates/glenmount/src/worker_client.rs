//! Direct commands to workers. Each is sent once; what becomes of it shows in heartbeats.

use crate::http_client::HttpClient;
use crate::wire;
use glenmount_core::constants::COMMAND_LIMIT_MS;
use glenmount_core::controller::{CommandOutcome, Event};
use glenmount_core::model::WorkerCommand;
use hyper::Method;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use tokio::sync::{mpsc, Semaphore};
use tokio::time::{timeout, Duration, Instant};

const TIMEOUT: Duration = Duration::from_millis(COMMAND_LIMIT_MS);
/// Bytes of an answer at most: a report of many tasks.
const ANSWER_BYTES: usize = 1 << 20;
/// Commands on their way at once, so that unreachable workers do not use up the sockets.
const IN_FLIGHT: usize = 64;
/// The same for commands without orders, which only ask whether a machine answers: mostly silent
/// ones, and starts must not wait behind them.
const PROBES: usize = 24;

/// What a command is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandKind {
    /// It has no orders: its answer shows what is there.
    Probe,
    Starts,
    /// Its answer shows at once what has ended.
    Stops,
}

impl CommandKind {
    pub fn of(commands: &[WorkerCommand]) -> CommandKind {
        let stop = |o: &WorkerCommand| matches!(o, WorkerCommand::Stop { .. });
        match commands.iter().any(stop) {
            true => CommandKind::Stops,
            false if commands.is_empty() => CommandKind::Probe,
            false => CommandKind::Starts,
        }
    }
}

pub struct WorkerClient {
    http: HttpClient,
    core: mpsc::Sender<Event>,
    slots: Arc<Semaphore>,
    probes: Arc<Semaphore>,
}

impl WorkerClient {
    pub fn new(core: mpsc::Sender<Event>) -> WorkerClient {
        WorkerClient {
            http: HttpClient::new(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), TIMEOUT, true),
            core,
            slots: Arc::new(Semaphore::new(IN_FLIGHT)),
            probes: Arc::new(Semaphore::new(PROBES)),
        }
    }

    pub fn send(&self, machine: String, address: &str, body: String, kind: CommandKind) {
        let core = self.core.clone();
        let target = address.parse::<SocketAddr>().ok();
        let slots = match kind {
            CommandKind::Probe => self.probes.clone(),
            CommandKind::Starts | CommandKind::Stops => self.slots.clone(),
        };
        let http = self.http.clone();
        let since = Instant::now();
        tokio::spawn(async move {
            // Machines that don't answer hold their slots for a while; a command that finds
            // none free says nothing of its own machine.
            let slot = timeout(TIMEOUT, slots.acquire_owned()).await;
            // Nor is one sent that this process was paused over: it would arrive late.
            let late = since.elapsed() > TIMEOUT;
            let mut report = None;
            let reach = match (target, slot) {
                (Some(addr), Ok(Ok(_slot))) if !late => {
                    let http = http.for_address(addr);
                    let answer = http
                        .call(Method::POST, "/do", Some(body), TIMEOUT, ANSWER_BYTES)
                        .await;
                    match answer {
                        Some((200, body)) => {
                            if kind != CommandKind::Starts {
                                report = wire::report(&body).ok().map(Box::new);
                            }
                            CommandOutcome::Accepted
                        }
                        Some((409, body)) => {
                            // Its incarnation may be a newer one, which ends all that was before.
                            report = wire::report(&body).ok().map(Box::new);
                            CommandOutcome::Refused
                        }
                        Some(_) => CommandOutcome::Refused,
                        None => CommandOutcome::NoAnswer,
                    }
                }
                _ => CommandOutcome::NotSent,
            };
            let event = Event::CommandResult {
                machine,
                reach,
                report,
            };
            let _ = core.send(event).await;
        });
    }
}
