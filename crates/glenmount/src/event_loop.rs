//! The event loop: the single task that owns the core. It passes events to the core one at a time and
//! hands the resulting effects to the tasks that perform them.

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

/// Interval of the core's ticks: the precision with which the core answers worker heartbeats that it held
/// back.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the last replies to be sent before the process ends.
const FINAL_REPLY_DELAY: Duration = TICK_INTERVAL;

/// The channels that deliver events to the loop.
pub struct Channels {
    pub events: mpsc::Receiver<Event>,
    /// The sender of `events`, through which the loop reports operations that it could not queue.
    pub event_sender: mpsc::Sender<Event>,
    /// Requests of clients, each of which expects a reply.
    pub requests: mpsc::Receiver<PendingRequest>,
}

/// The tasks and channels that effects are handed to.
pub struct Outputs {
    pub state: mpsc::Sender<StateRequest>,
    /// Revisions after which the watch is to be opened.
    pub watch: mpsc::Sender<u64>,
    pub cloud: mpsc::Sender<CloudRequest>,
    pub workers: WorkerClient,
    /// The latest heartbeat of this controller, for all peers.
    pub heartbeats: watch::Sender<PeerHeartbeat>,
    /// Whether the controller is ready, as reported to health checks.
    pub is_ready: Arc<AtomicBool>,
}

/// The core and its connections to all other tasks.
pub struct EventLoop {
    core: Controller,
    /// The origin of the core's monotonic clock.
    started_at: Instant,
    channels: Channels,
    outputs: Outputs,
    /// The senders of the replies that clients wait for.
    replies: HashMap<RequestId, oneshot::Sender<CoreReply>>,
    timings: EventTimings,
    /// All other tasks, which are aborted when the loop is dropped.
    _tasks: JoinSet<()>,
}

impl EventLoop {
    /// Creates a loop that has handled no event yet.
    pub fn new(
        settings: Settings,
        channels: Channels,
        outputs: Outputs,
        tasks: JoinSet<()>,
    ) -> EventLoop {
        let started_at = Instant::now();
        let seed = RandomState::new().build_hasher().finish();
        let controller = settings.controller.clone();
        let core = Controller::new(settings, seed, 0, wall_clock_ms());
        tracing::info!(controller, version = env!("CARGO_PKG_VERSION"), "started");
        EventLoop {
            core,
            started_at,
            channels,
            outputs,
            replies: HashMap::new(),
            timings: EventTimings::new(),
            _tasks: tasks,
        }
    }

    /// Runs until the core has completed its shutdown.
    pub async fn run(mut self) {
        let mut tick = interval(TICK_INTERVAL);
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
                sleep(FINAL_REPLY_DELAY).await;
                return;
            }
        }
    }

    fn handle(&mut self, event: Event) -> ControlFlow<()> {
        let now_ms = self.started_at.elapsed().as_millis() as u64;
        let timer = self.timings.begin(&event);
        let effects = self.core.handle(now_ms, wall_clock_ms(), event);
        let (handled_at, effect_count) = (StdInstant::now(), effects.len());
        for effect in effects {
            self.perform(effect)?;
        }
        let is_ready = self.core.ready();
        self.outputs.is_ready.store(is_ready, Ordering::Relaxed);
        self.timings.end(timer, handled_at, effect_count);
        ControlFlow::Continue(())
    }

    /// Hands an effect to the task that performs it, without waiting. Breaks the loop on `Effect::Exit`.
    fn perform(&mut self, effect: Effect) -> ControlFlow<()> {
        match effect {
            Effect::User { request, reply } => self.reply(request, CoreReply::User(reply)),
            Effect::Worker { request, reply } => self.reply(request, CoreReply::Worker(reply)),
            Effect::State {
                operation_id,
                operation,
                request_class,
            } => self.send_to_state_store(StateRequest {
                operation_id,
                operation,
                request_class,
                queued_at: Instant::now(),
            }),
            Effect::Cloud {
                operation_id,
                operation,
            } => self.send_to_cloud(CloudRequest {
                operation_id,
                operation,
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

    /// Sends the reply to a request. The receiver may be gone because the client closed its connection.
    fn reply(&mut self, request: RequestId, reply: CoreReply) {
        if let Some(sender) = self.replies.remove(&request) {
            let _ = sender.send(reply);
        }
    }

    fn send_to_state_store(&self, request: StateRequest) {
        let operation_id = request.operation_id;
        if self.outputs.state.try_send(request).is_err() {
            let response = StateResponse::Unavailable;
            self.queue_event(Event::State {
                operation_id,
                response,
            });
        }
    }

    fn send_to_cloud(&self, request: CloudRequest) {
        let operation_id = request.operation_id;
        if self.outputs.cloud.try_send(request).is_err() {
            let response = CloudResponse::Failed;
            self.queue_event(Event::Cloud {
                operation_id,
                response,
            });
        }
    }

    /// Queues an event for the core, or drops it when the queue is full: this task empties the queue, so
    /// it can't wait for a free place.
    fn queue_event(&self, event: Event) {
        let _ = self.channels.event_sender.try_send(event);
    }
}

/// Returns the time of day in milliseconds since the Unix epoch.
fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}
