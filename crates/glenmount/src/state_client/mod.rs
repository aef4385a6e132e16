//! The client of the state store. One task sends requests by priority within this controller's share of
//! the store's rate limits; another follows the watch.

mod exchange;
pub mod watch;

use crate::http_client::{HttpClient, Resend};
use crate::token_bucket::TokenBucket;
use exchange::{Exchange, Outcome};
use glenmount_core::controller::{Event, OperationId, RequestClass, StateOperation, StateResponse};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tokio::sync::mpsc;
use tokio::time::{sleep, Duration, Instant};

/// Timeout of connecting, for a network with a latency of a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Most requests in flight at once, which bounds the number of connections.
const MAX_IN_FLIGHT: usize = 12;
/// Longest time that a request may wait in a queue. A request that waited longer, because the process was
/// paused or at its rate limit for long, is not sent: it was decided on outdated records.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(1_500);
/// Number of requests that may wait per request class. Further requests fail as `Unavailable` at once.
pub const QUEUE_CAPACITY: usize = 4_000;
/// Number of request classes, each of which has its own queue.
const REQUEST_CLASSES: usize = 4;
/// Size of a burst of requests or changes, in seconds at the rate limit.
const BURST_S: f64 = 0.9;
/// Weight of a new latency in the moving average of latencies.
const LATENCY_SMOOTHING_WEIGHT: f64 = 0.05;
/// Shortest wait for the rate limits to allow the next request.
const MIN_RATE_LIMIT_PAUSE: Duration = Duration::from_millis(1);

/// An operation that the core asked for.
pub struct StateRequest {
    /// Identifies the operation in the event that reports its outcome.
    pub operation_id: OperationId,
    pub operation: StateOperation,
    pub request_class: RequestClass,
    /// Time at which the core asked for the operation.
    pub queued_at: Instant,
}

impl StateRequest {
    /// Returns the number of changes, which the store counts against its write rate limit.
    fn changes(&self) -> f64 {
        match &self.operation {
            StateOperation::Transaction(transaction) => transaction.changes.len() as f64,
            StateOperation::ReadIndex | StateOperation::List { .. } => 0.0,
        }
    }

    /// Returns the event for a request that was never sent and hence had no effect.
    fn unavailable(&self) -> Event {
        Event::State {
            operation_id: self.operation_id,
            response: StateResponse::Unavailable,
        }
    }
}

/// The rate limits of the state store that this client keeps.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Requests per second.
    pub requests_per_s: f64,
    /// Changes per second.
    pub changes_per_s: f64,
}

/// Creates a client for the state store at this address.
pub fn connection(address: SocketAddr) -> HttpClient {
    HttpClient::new(address, CONNECT_TIMEOUT, Resend::OnClosedConnection)
}

/// Sends requests by priority as the rate limits allow, and the outcomes to the core, until the sender of
/// `requests` is dropped.
pub async fn run(
    http: HttpClient,
    rates: Rates,
    requests: mpsc::Receiver<StateRequest>,
    core: mpsc::Sender<Event>,
) {
    // Each request in flight reports one outcome, so the channel is never full.
    let (outcome_sender, outcomes) = mpsc::channel(MAX_IN_FLIGHT);
    let dispatcher = Dispatcher {
        exchange: Exchange {
            http,
            core: core.clone(),
            outcomes: outcome_sender,
        },
        core,
        request_rate: TokenBucket::new(rates.requests_per_s, BURST_S),
        change_rate: TokenBucket::new(rates.changes_per_s, BURST_S),
        queues: Default::default(),
        in_flight: 0,
        mean_latency_ms: 0.0,
    };
    dispatcher.run(requests, outcomes).await;
}

/// Decides which request is sent next, and when.
struct Dispatcher {
    exchange: Exchange,
    core: mpsc::Sender<Event>,
    request_rate: TokenBucket,
    change_rate: TokenBucket,
    /// Waiting requests by request class, in descending order of priority.
    queues: [VecDeque<StateRequest>; REQUEST_CLASSES],
    in_flight: usize,
    /// Moving average of the time until the store responds.
    mean_latency_ms: f64,
}

/// The dispatcher's next step.
enum NextStep {
    /// Sends the request at the head of this queue.
    Send(usize),
    /// Drops the request at the head of this queue, which has waited too long.
    Expire(usize),
    /// Waits for this time until the rate limits allow the next request.
    Wait(Duration),
    /// Waits for a request or an outcome: the queues are empty, or `MAX_IN_FLIGHT` requests are in flight.
    Idle,
}

impl Dispatcher {
    async fn run(
        mut self,
        mut requests: mpsc::Receiver<StateRequest>,
        mut outcomes: mpsc::Receiver<Outcome>,
    ) {
        loop {
            let pause = self.send_waiting().await;
            tokio::select! {
                // Outcomes come first because each of them allows another request in flight.
                biased;
                Some(outcome) = outcomes.recv() => self.finish(outcome).await,
                request = requests.recv() => match request {
                    Some(request) => self.enqueue(request).await,
                    None => return,
                },
                () = sleep(pause.unwrap_or_default()), if pause.is_some() => {}
            }
        }
    }

    async fn enqueue(&mut self, request: StateRequest) {
        let queue = &mut self.queues[request.request_class as usize];
        if queue.len() >= QUEUE_CAPACITY {
            let _ = self.core.send(request.unavailable()).await;
        } else {
            queue.push_back(request);
        }
    }

    async fn finish(&mut self, outcome: Outcome) {
        self.in_flight -= 1;
        match outcome {
            Outcome::Responded { latency_ms } => {
                self.mean_latency_ms +=
                    LATENCY_SMOOTHING_WEIGHT * (latency_ms - self.mean_latency_ms);
            }
            Outcome::NoResponse => {}
            Outcome::Throttled(request) => {
                self.request_rate.drain();
                self.change_rate.drain();
                let _ = self.core.send(Event::Throttled).await;
                self.queues[request.request_class as usize].push_front(request);
            }
        }
    }

    /// Sends all requests that may be sent now. Returns the time until the rate limits allow the next one,
    /// if they are what holds it back.
    async fn send_waiting(&mut self) -> Option<Duration> {
        loop {
            match self.next_step() {
                NextStep::Send(queue) => self.send_head(queue),
                NextStep::Expire(queue) => self.expire_head(queue).await,
                NextStep::Wait(pause) => return Some(pause),
                NextStep::Idle => return None,
            }
        }
    }

    fn next_step(&mut self) -> NextStep {
        if self.in_flight >= MAX_IN_FLIGHT {
            return NextStep::Idle;
        }
        let heads = self.queues.iter().map(VecDeque::front).enumerate();
        let mut heads = heads.filter_map(|(queue, head)| Some((queue, head?)));
        let Some((queue, request)) = heads.next() else {
            return NextStep::Idle;
        };
        if request.queued_at.elapsed() > MAX_QUEUE_TIME {
            return NextStep::Expire(queue);
        }
        let request_pause = self.request_rate.time_until(1.0);
        let change_pause = self.change_rate.time_until(request.changes());
        let pause = request_pause.max(change_pause);
        if pause.is_zero() {
            NextStep::Send(queue)
        } else {
            NextStep::Wait(pause.max(MIN_RATE_LIMIT_PAUSE))
        }
    }

    fn send_head(&mut self, queue: usize) {
        let Some(request) = self.queues[queue].pop_front() else {
            return;
        };
        self.request_rate.take(1.0);
        self.change_rate.take(request.changes());
        self.in_flight += 1;
        self.exchange.spawn(request, self.mean_latency_ms);
    }

    async fn expire_head(&mut self, queue: usize) {
        if let Some(expired) = self.queues[queue].pop_front() {
            let _ = self.core.send(expired.unavailable()).await;
        }
    }
}
