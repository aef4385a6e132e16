//! Accepts connections from users, workers and health checks, and limits how many are open.
//!
//! The quota limits the sockets of a controller (`settings.quota.sockets`). A controller without a free
//! socket would refuse users and workers alike, so each of the two has a limit of its own. The connection
//! that has been idle longest is closed before one is refused; its client reconnects with its next request.

mod table;

pub use table::ConnectionLimits;

use hyper::server::conn::Http;
use hyper::service::{service_fn, Service};
use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use table::{ClientKind, ConnectionCounts, ConnectionEntry, ConnectionTable};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{interval, sleep, Duration, Instant, Interval, MissedTickBehavior};
use warp::http::{Request, Response};
use warp::hyper::Body;

/// Interval between searches for connections that have been idle for too long.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which the numbers of connections are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(30);
/// Pause before the next search for an idle connection while no more connections can be accepted.
const AT_LIMIT_PAUSE: Duration = Duration::from_millis(20);

/// A service that responds to requests. Each connection has its own clone.
pub trait HttpService:
    Service<Request<Body>, Response = Response<Body>, Error = Infallible, Future: Send + 'static>
    + Clone
    + Send
    + 'static
{
}

impl<S> HttpService for S where
    S: Service<
            Request<Body>,
            Response = Response<Body>,
            Error = Infallible,
            Future: Send + 'static,
        > + Clone
        + Send
        + 'static
{
}

/// A message from a connection's task to the task that accepts connections.
enum ConnectionEvent {
    /// The first request showed the kind of client.
    Identified(ClientKind),
    /// The connection with this identifier ended.
    Ended(u64),
}

/// Accepts connections and serves them until the future is dropped.
pub async fn accept<S: HttpService>(listener: TcpListener, limits: ConnectionLimits, service: S) {
    // Each connection is identified once and ends once, and counts as open until its end is received.
    // Hence two messages per open connection are the most that can wait, and none is lost.
    let (event_sender, mut events) = mpsc::channel(2 * limits.all);
    let mut acceptor = Acceptor {
        limits,
        service,
        table: ConnectionTable::default(),
        started_at: Instant::now(),
        events: event_sender,
    };
    let mut idle_check = ticker(IDLE_CHECK_INTERVAL);
    let mut log = ticker(LOG_INTERVAL);
    loop {
        let is_at_limit = acceptor.table.len() >= limits.all;
        if is_at_limit {
            acceptor.table.close_longest_idle(None);
        }
        tokio::select! {
            Some(event) = events.recv() => acceptor.handle(event),
            _ = idle_check.tick() => acceptor.table.close_expired(elapsed_ms(acceptor.started_at)),
            _ = log.tick() => acceptor.log(),
            () = sleep(AT_LIMIT_PAUSE), if is_at_limit => {}
            accepted = listener.accept(), if !is_at_limit => match accepted {
                Ok((stream, _)) => acceptor.admit(stream),
                Err(_) => {
                    // Most likely no socket is free: closing an idle connection frees one.
                    acceptor.table.close_longest_idle(None);
                    sleep(AT_LIMIT_PAUSE).await;
                }
            },
        }
    }
}

/// Returns a timer that delays its ticks when the task is late.
fn ticker(period: Duration) -> Interval {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

fn elapsed_ms(since: Instant) -> u64 {
    since.elapsed().as_millis() as u64
}

/// The owner of the connection table.
struct Acceptor<S> {
    limits: ConnectionLimits,
    service: S,
    table: ConnectionTable,
    /// Time at which listening started, the origin of the times in entries.
    started_at: Instant,
    /// Cloned for each connection's task.
    events: mpsc::Sender<ConnectionEvent>,
}

impl<S: HttpService> Acceptor<S> {
    fn handle(&mut self, event: ConnectionEvent) {
        match event {
            ConnectionEvent::Identified(kind) => {
                if self.table.count(kind) > self.limits.of_kind(kind) {
                    self.table.close_longest_idle(Some(kind));
                }
            }
            ConnectionEvent::Ended(id) => self.table.remove(id),
        }
    }

    fn log(&mut self) {
        let summary = self.table.summarize();
        tracing::info!(
            users = summary.users,
            workers = summary.workers,
            held = summary.open,
            peak = summary.peak,
            closed = summary.closed,
            most = self.limits.all,
            "connections"
        );
    }

    /// Serves a connection in its own task, which ends with the connection.
    fn admit(&mut self, stream: TcpStream) {
        let (id, entry) = self.table.add(elapsed_ms(self.started_at));
        let connection = Connection {
            id,
            entry,
            started_at: self.started_at,
            counts: self.table.counts(),
            events: self.events.clone(),
        };
        tokio::spawn(connection.serve(stream, self.service.clone()));
    }
}

/// A connection being served.
#[derive(Clone)]
struct Connection {
    id: u64,
    entry: Arc<ConnectionEntry>,
    /// Time at which listening started, the origin of the entry's times.
    started_at: Instant,
    counts: Arc<ConnectionCounts>,
    events: mpsc::Sender<ConnectionEvent>,
}

impl Connection {
    async fn serve<S: HttpService>(self, stream: TcpStream, service: S) {
        let _ = stream.set_nodelay(true);
        let connection = self.clone();
        let tracked_service = service_fn(move |request: Request<Body>| {
            connection.begin_request(&request);
            let response = service.clone().call(request);
            let (entry, started_at) = (connection.entry.clone(), connection.started_at);
            async move {
                let response = response.await;
                entry.end_request(elapsed_ms(started_at));
                response
            }
        });
        let mut http = Http::new();
        http.http1_only(true).http1_keep_alive(true);
        let mut serving = pin!(http.serve_connection(stream, tracked_service));
        tokio::select! {
            _ = serving.as_mut() => {}
            () = self.entry.close_requested() => {
                // A request in progress is answered first, with `Connection: close`. A connection
                // without any request is closed at once.
                if self.entry.kind() != ClientKind::Unidentified {
                    serving.as_mut().graceful_shutdown();
                    let _ = serving.await;
                }
            }
        }
        let _ = self.events.send(ConnectionEvent::Ended(self.id)).await;
    }

    fn begin_request(&self, request: &Request<Body>) {
        if self.entry.kind() == ClientKind::Unidentified {
            let kind = ClientKind::of_path(request.uri().path());
            self.entry.set_kind(kind, &self.counts);
            let _ = self.events.try_send(ConnectionEvent::Identified(kind));
        }
        self.entry.begin_request();
    }
}

#[cfg(test)]
mod tests;
