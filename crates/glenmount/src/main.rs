//! glenmount: a cluster scheduler. One process per controller; see README.md.

mod client_connections;
mod cloud_client;
mod http_client;
mod http_server;
mod peer_link;
mod settings;
mod state_client;
#[cfg(test)]
mod tests;
mod timings;
mod token_bucket;
mod wire;
mod worker_client;

use clap::Parser;
use glenmount_core::controller::{Controller, Effect, Event, PeerHeartbeat};
use http_server::{Api, CoreReply, PendingRequest};
use settings::Config;
use std::collections::hash_map::RandomState;
use std::collections::HashMap;
use std::hash::{BuildHasher, Hasher};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{interval, Duration, Instant, MissedTickBehavior};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Period of the core's clock: held heartbeats are answered with this precision.
const TICK: Duration = Duration::from_millis(50);
/// Messages that may wait for the core's actor.
const MAILBOX: usize = 4_096;

/// A cluster scheduler without disks: every controller places work from shared records.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// The platform's settings file (TOML)
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (XML); every one of them has a default
    #[arg(long, value_name = "FILE")]
    operator_settings: Option<PathBuf>,
}

fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

fn read(path: &PathBuf) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

fn load(args: &Args) -> Result<Config, String> {
    let operator = match &args.operator_settings {
        Some(path) => settings::operator(&read(path)?).map_err(|e| e.to_string())?,
        None => settings::OperatorSettings::default(),
    };
    settings::config(&read(&args.config)?, &operator)
        .map_err(|e| format!("{}: {e}", args.config.display()))
}

fn log_level() -> Result<tracing::level_filters::LevelFilter, String> {
    use tracing::level_filters::LevelFilter;
    match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => Ok(LevelFilter::ERROR),
        Ok("info") | Err(_) => Ok(LevelFilter::INFO),
        Ok("debug") => Ok(LevelFilter::DEBUG),
        Ok(other) => Err(format!(
            "LOG_LEVEL: must be error, info or debug, not {other:?}"
        )),
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    let started = log_level().and_then(|level| Ok((level, load(&args)?)));
    let (level, config) = match started {
        Ok(started) => started,
        Err(error) => {
            eprintln!("glenmount: {error}");
            return ExitCode::from(2);
        }
    };
    // Libraries' own chatter is not for operators; their warnings are.
    let own = tracing_subscriber::filter::Targets::new()
        .with_default(level.min(tracing::level_filters::LevelFilter::WARN))
        .with_target("glenmount", level)
        .with_target("glenmount_core", level);
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .without_time();
    tracing_subscriber::registry().with(lines).with(own).init();
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("glenmount: can't start: {error}");
            return ExitCode::FAILURE;
        }
    };
    // As a task, and not as what the runtime blocks on: that one is woken from outside the run, which
    // cost a look at the sockets more for every event.
    let ended = runtime.block_on(async { tokio::spawn(run(config)).await });
    match ended.unwrap_or_else(|error| Err(error.to_string())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(error, "ended");
            ExitCode::FAILURE
        }
    }
}

/// The request to end: a signal, where the platform has them.
struct Ending(Option<tokio::signal::unix::Signal>);

impl Ending {
    fn new() -> Ending {
        let signal = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate());
        if let Err(error) = &signal {
            tracing::info!(%error, "signals are not heard: this process ends when it is killed");
        }
        Ending(signal.ok())
    }
    async fn asked(&mut self) {
        match &mut self.0 {
            Some(signal) => {
                signal.recv().await;
            }
            None => std::future::pending().await,
        }
    }
}

/// Starts the actors and runs the core's until the process is ended.
async fn run(config: Config) -> Result<(), String> {
    let (events_in, mut events) = mpsc::channel::<Event>(MAILBOX);
    let (calls_in, mut calls) = mpsc::channel::<PendingRequest>(config.sockets as usize);
    let ready = Arc::new(AtomicBool::new(false));

    let listen = |field: &'static str, addr| async move {
        tokio::net::TcpListener::bind(addr)
            .await
            .map_err(|e| format!("{field}: can't listen on {addr}: {e}"))
    };
    let cluster = listen("cluster_listen", config.cluster_listen).await?;
    tokio::spawn(peer_link::listen(cluster, events_in.clone()));
    let (beat_in, heartbeats) = watch::channel(PeerHeartbeat::default());
    for (_, addr) in &config.peers {
        tokio::spawn(peer_link::tell(*addr, heartbeats.clone()));
    }

    let api = Api {
        calls: calls_in,
        ready: ready.clone(),
    };
    let limits = client_connections::Limits::of(config.sockets as usize);
    let clients = listen("client_listen", config.client_listen).await?;
    let service = warp::service(http_server::routes(api));
    tokio::spawn(client_connections::accept(clients, limits, service));

    let state = state_client::client(
        state_client::connection(config.state),
        config.state_rates,
        events_in.clone(),
    );
    let changes = state_client::watch(state_client::connection(config.state), events_in.clone());
    let cloud = cloud_client::client(
        cloud_client::connection(config.cloud),
        config.cloud_requests_per_s,
        events_in.clone(),
    );

    let workers = worker_client::WorkerClient::new(events_in.clone());

    let begun = Instant::now();
    let seed = RandomState::new().build_hasher().finish();
    let node_name = config.core.controller.clone();
    for resource in &config.scarce {
        tracing::info!(
            field = resource.field,
            value = resource.value,
            needs = resource.needs,
            "scarce: what there is is served"
        );
    }
    let mut controller = Controller::new(config.core, seed, 0, wall_ms());
    let mut answers: HashMap<u64, oneshot::Sender<CoreReply>> = HashMap::new();
    let mut costs = timings::EventTimings::new();
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    tracing::info!(
        controller = node_name,
        version = env!("CARGO_PKG_VERSION"),
        "started"
    );
    // A task of its own: the loop below would look for the signal with every event.
    let leave = events_in.clone();
    tokio::spawn(async move {
        let mut ending = Ending::new();
        loop {
            ending.asked().await;
            if leave.send(Event::Shutdown).await.is_err() {
                return;
            }
        }
    });
    loop {
        let event = tokio::select! {
            _ = tick.tick() => Event::Tick,
            Some(event) = events.recv() => event,
            Some(call) = calls.recv() => {
                answers.insert(call.request, call.answer);
                call.event
            }
        };
        let now = begun.elapsed().as_millis() as u64;
        let cost = costs.begin(&event);
        let effects = controller.handle(now, wall_ms(), event);
        let (handled, count) = (std::time::Instant::now(), effects.len());
        for effect in effects {
            match effect {
                Effect::User { request, reply } => {
                    if let Some(answer) = answers.remove(&request) {
                        let _ = answer.send(CoreReply::User(reply));
                    }
                }
                Effect::Worker { request, reply } => {
                    if let Some(answer) = answers.remove(&request) {
                        let _ = answer.send(CoreReply::Worker(reply));
                    }
                }
                Effect::State {
                    token,
                    op,
                    request_class,
                } => {
                    let job = state_client::StateRequest {
                        token,
                        op,
                        request_class,
                        since: Instant::now(),
                    };
                    if state.try_send(job).is_err() {
                        let answer = glenmount_core::controller::StateResponse::Unavailable;
                        let _ = events_in.try_send(Event::State { token, answer });
                    }
                }
                Effect::Cloud { token, op } => {
                    if cloud.try_send((token, op)).is_err() {
                        let answer = glenmount_core::controller::CloudResponse::Failed;
                        let _ = events_in.try_send(Event::Cloud { token, answer });
                    }
                }
                Effect::Watch { since } => {
                    let _ = changes.try_send(since);
                }
                Effect::Command {
                    machine,
                    address,
                    incarnation,
                    token,
                    commands,
                } => {
                    let what = worker_client::CommandKind::of(&commands);
                    let body = wire::command(incarnation, token, &commands);
                    workers.send(machine, &address, body, what);
                }
                Effect::PeerHeartbeat(heartbeat) => {
                    let _ = beat_in.send(heartbeat);
                }
                Effect::Exit => {
                    // What was answered last gets out.
                    tokio::time::sleep(TICK).await;
                    return Ok(());
                }
            }
        }
        ready.store(controller.ready(), Ordering::Relaxed);
        costs.end(cost, handled, count);
    }
}
