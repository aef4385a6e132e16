//! The event loop: the one task that owns the core. It passes events in, one at a time, and hands the
//! effects that come out to the tasks that perform them.

use crate::cloud_client::CloudRequest;
use crate::http_server::{CoreReply, PendingRequest};
use crate::state_client::StateRequest;
use crate::timings::EventTimings;
use crate::wire;
use crate::worker_client::{Command, CommandKind, WorkerClient};
use glenmount_core::controller::{
    CloudResponse, Controller, Effect, Event, PeerHeartbeat, RequestId, StateResponse,
};
use glenmount_core::settings::Settings;
use std::collections::hash_map::RandomState;
use std::collections::HashMap;
use std::hash::{BuildHasher, Hasher};
use std::ops::ControlFlow;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Instant as StdInstant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, Duration, Instant, MissedTickBehavior};

/// Period of the core's clock: heartbeats of workers that are held are answered with this precision.
const TICK: Duration = Duration::from_millis(50);
/// Time in which the last answers get out before the process ends.
const LAST_ANSWERS: Duration = TICK;

/// Where events come from.
pub struct Channels {
    pub events: mpsc::Receiver<Event>,
    /// The other end of `events`, for outcomes of what could not be handed on.
    pub event_sender: mpsc::Sender<Event>,
    /// Events that are to be answered.
    pub requests: mpsc::Receiver<PendingRequest>,
}

/// Where effects go.
pub struct Outputs {
    pub state: mpsc::Sender<StateRequest>,
    /// Revisions from which the watch is to be opened.
    pub watch: mpsc::Sender<u64>,
    pub cloud: mpsc::Sender<CloudRequest>,
    pub workers: WorkerClient,
    /// The latest heartbeat for all peers.
    pub heartbeats: watch::Sender<PeerHeartbeat>,
    /// What health checks are told.
    pub is_ready: Arc<AtomicBool>,
}

/// The core, and what connects it to the outside.
pub struct EventLoop {
    core: Controller,
    /// The core's clock counts from here.
    began: Instant,
    channels: Channels,
    outputs: Outputs,
    /// Where the answers to requests go that wait for one.
    replies: HashMap<RequestId, oneshot::Sender<CoreReply>>,
    timings: EventTimings,
    /// All other tasks. They end with the loop.
    _tasks: JoinSet<()>,
}

impl EventLoop {
    /// A loop that has handled nothing yet.
    pub fn new(
        settings: Settings,
        channels: Channels,
        outputs: Outputs,
        tasks: JoinSet<()>,
    ) -> EventLoop {
        let began = Instant::now();
        let seed = RandomState::new().build_hasher().finish();
        let controller = settings.controller.clone();
        let core = Controller::new(settings, seed, 0, wall_ms());
        tracing::info!(controller, version = env!("CARGO_PKG_VERSION"), "started");
        EventLoop {
            core,
            began,
            channels,
            outputs,
            replies: HashMap::new(),
            timings: EventTimings::new(),
            _tasks: tasks,
        }
    }

    /// Runs until the core has nothing left to do after it was told to end.
    pub async fn run(mut self) {
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                _ = tick.tick() => Event::Tick,
                Some(event) = self.channels.events.recv() => event,
                Some(request) = self.channels.requests.recv() => {
                    self.replies.insert(request.id, request.reply);
                    request.event
                }
            };
            if self.handle(event).is_break() {
                sleep(LAST_ANSWERS).await;
                return;
            }
        }
    }

    fn handle(&mut self, event: Event) -> ControlFlow<()> {
        let now_ms = self.began.elapsed().as_millis() as u64;
        let timer = self.timings.begin(&event);
        let effects = self.core.handle(now_ms, wall_ms(), event);
        let (handled, count) = (StdInstant::now(), effects.len());
        for effect in effects {
            self.perform(effect)?;
        }
        let is_ready = self.core.ready();
        self.outputs.is_ready.store(is_ready, Ordering::Relaxed);
        self.timings.end(timer, handled, count);
        ControlFlow::Continue(())
    }

    /// Hands an effect on, without waiting. Breaks when nothing is left to do.
    fn perform(&mut self, effect: Effect) -> ControlFlow<()> {
        match effect {
            Effect::User { request, reply } => self.answer(request, CoreReply::User(reply)),
            Effect::Worker { request, reply } => self.answer(request, CoreReply::Worker(reply)),
            Effect::State {
                operation_id: token,
                operation: op,
                request_class,
            } => self.send_to_state_store(StateRequest {
                token,
                operation: op,
                request_class,
                queued_at: Instant::now(),
            }),
            Effect::Cloud {
                operation_id: token,
                operation: op,
            } => self.send_to_cloud(CloudRequest {
                token,
                operation: op,
            }),
            Effect::Watch { since } => {
                let _ = self.outputs.watch.try_send(since);
            }
            Effect::Command {
                machine,
                address,
                incarnation,
                token,
                commands,
            } => self.outputs.workers.send(Command {
                machine,
                address,
                body: wire::write_command(incarnation, token, &commands),
                kind: CommandKind::of(&commands),
            }),
            Effect::PeerHeartbeat(heartbeat) => {
                let _ = self.outputs.heartbeats.send(heartbeat);
            }
            Effect::Exit => return ControlFlow::Break(()),
        }
        ControlFlow::Continue(())
    }

    /// The request may have gone meanwhile, as its connection did.
    fn answer(&mut self, request: RequestId, reply: CoreReply) {
        if let Some(sender) = self.replies.remove(&request) {
            let _ = sender.send(reply);
        }
    }

    fn send_to_state_store(&self, request: StateRequest) {
        let token = request.token;
        if self.outputs.state.try_send(request).is_err() {
            let answer = StateResponse::Unavailable;
            self.note(Event::State {
                operation_id: token,
                response: answer,
            });
        }
    }

    fn send_to_cloud(&self, request: CloudRequest) {
        let token = request.token;
        if self.outputs.cloud.try_send(request).is_err() {
            let answer = CloudResponse::Failed;
            self.note(Event::Cloud {
                operation_id: token,
                response: answer,
            });
        }
    }

    /// Queues an event for the core; dropped where the queue is full, for which this task can't wait.
    fn note(&self, event: Event) {
        let _ = self.channels.event_sender.try_send(event);
    }
}

/// Milliseconds of the time of day.
fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}
