//! The client of the state store: one task that owns this controller's share of the store's rates and
//! ranks its requests, and one that follows the watch.

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

/// Time to set up a connection on a network of a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Requests on their way at once: keeps connections few.
const IN_FLIGHT: usize = 12;
/// What has waited in line for longer is not sent: after this process was paused, or a long
/// time at the limit of the rate, it rests on what has changed since.
const QUEUED_MOST: Duration = Duration::from_millis(1_500);
/// Requests that may wait in line, of each priority; more get `Unavailable` at once.
pub const QUEUE: usize = 4_000;
/// Priorities of requests, each with a line of its own.
const PRIORITIES: usize = 4;
/// Seconds' worth of requests, and of changes, that may go at once.
const BURST_S: f64 = 0.9;
/// Part of the usual time of answers that a new one replaces.
const ANSWER_TIME_WEIGHT: f64 = 0.05;
/// Time at least until the rates are looked at again.
const PAUSE_LEAST: Duration = Duration::from_millis(1);

/// An operation of the core, and by which token its outcome is known.
pub struct StateRequest {
    pub token: OperationId,
    pub operation: StateOperation,
    pub request_class: RequestClass,
    /// When the core asked for it.
    pub queued_at: Instant,
}

impl StateRequest {
    /// Changes that it makes, which the store counts against the rate of writes.
    fn changes(&self) -> f64 {
        match &self.operation {
            StateOperation::Transaction(transaction) => transaction.changes.len() as f64,
            StateOperation::ReadIndex | StateOperation::List { .. } => 0.0,
        }
    }

    /// It was never sent, so it certainly had no effect.
    fn unavailable(&self) -> Event {
        Event::State {
            operation_id: self.token,
            response: StateResponse::Unavailable,
        }
    }
}

/// This controller's share of the store's rates.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Changes a second.
    pub changes_per_s: f64,
}

/// A client for the state store at this address.
pub fn connection(address: SocketAddr) -> HttpClient {
    HttpClient::new(address, CONNECT_TIMEOUT, Resend::OnClosedConnection)
}

/// Sends requests by priority as the rates allow, and the outcomes to the core, until nobody holds
/// the other end of `requests`.
pub async fn run(
    http: HttpClient,
    rates: Rates,
    requests: mpsc::Receiver<StateRequest>,
    core: mpsc::Sender<Event>,
) {
    // Each request in flight tells its outcome once, so none ever waits to do so.
    let (outcome_sender, outcomes) = mpsc::channel(IN_FLIGHT);
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
        answer_ms: 0.0,
    };
    dispatcher.run(requests, outcomes).await;
}

/// Decides which request goes next, and when.
struct Dispatcher {
    exchange: Exchange,
    core: mpsc::Sender<Event>,
    request_rate: TokenBucket,
    change_rate: TokenBucket,
    /// Waiting requests by priority, the most urgent first.
    queues: [VecDeque<StateRequest>; PRIORITIES],
    in_flight: usize,
    /// Milliseconds that answers take on the whole.
    answer_ms: f64,
}

/// What follows from a look at the queues.
enum Next {
    /// The request at the head of this queue may go.
    Send(usize),
    /// The request at the head of this queue has waited too long.
    Expire(usize),
    /// The rates allow nothing for so long.
    Wait(Duration),
    /// Nothing waits, or as much is in flight as may be.
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
                // Outcomes first: each frees a place for a request.
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
        if queue.len() >= QUEUE {
            let _ = self.core.send(request.unavailable()).await;
        } else {
            queue.push_back(request);
        }
    }

    async fn finish(&mut self, outcome: Outcome) {
        self.in_flight -= 1;
        match outcome {
            Outcome::Answered { took_ms } => {
                self.answer_ms += ANSWER_TIME_WEIGHT * (took_ms - self.answer_ms);
            }
            Outcome::NoAnswer => {}
            Outcome::Throttled(request) => {
                self.request_rate.drain();
                self.change_rate.drain();
                let _ = self.core.send(Event::Throttled).await;
                self.queues[request.request_class as usize].push_front(request);
            }
        }
    }

    /// Sends what may go now. The time until more may, where that is what hinders.
    async fn send_waiting(&mut self) -> Option<Duration> {
        loop {
            match self.next() {
                Next::Send(queue) => self.send_head(queue),
                Next::Expire(queue) => self.expire_head(queue).await,
                Next::Wait(pause) => return Some(pause),
                Next::Idle => return None,
            }
        }
    }

    fn next(&mut self) -> Next {
        if self.in_flight >= IN_FLIGHT {
            return Next::Idle;
        }
        let heads = self.queues.iter().map(VecDeque::front).enumerate();
        let mut heads = heads.filter_map(|(queue, head)| Some((queue, head?)));
        let Some((queue, request)) = heads.next() else {
            return Next::Idle;
        };
        if request.queued_at.elapsed() > QUEUED_MOST {
            return Next::Expire(queue);
        }
        let request_pause = self.request_rate.time_until(1.0);
        let change_pause = self.change_rate.time_until(request.changes());
        let pause = request_pause.max(change_pause);
        if pause.is_zero() {
            Next::Send(queue)
        } else {
            Next::Wait(pause.max(PAUSE_LEAST))
        }
    }

    fn send_head(&mut self, queue: usize) {
        let Some(request) = self.queues[queue].pop_front() else {
            return;
        };
        self.request_rate.take(1.0);
        self.change_rate.take(request.changes());
        self.in_flight += 1;
        self.exchange.spawn(request, self.answer_ms);
    }

    async fn expire_head(&mut self, queue: usize) {
        if let Some(expired) = self.queues[queue].pop_front() {
            let _ = self.core.send(expired.unavailable()).await;
        }
    }
}
