//! Connections from users, workers and health checks: how many of each are held, and which are
//! closed when there are too many.
//!
//! A controller has so many sockets (`settings.quota.sockets`), and one that finds none free refuses
//! everybody alike. So users and workers have bounds of their own, and what has been idle longest
//! is closed before anything is refused: whoever it was connects again with the next request.

mod table;

pub use table::Limits;

use hyper::server::conn::Http;
use hyper::service::{service_fn, Service};
use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use table::{Counts, Entry, Kind, Table};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{interval, sleep, Duration, Instant, Interval, MissedTickBehavior};
use warp::http::{Request, Response};
use warp::hyper::Body;

/// Period at which connections that have been idle for too long are looked for.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Period at which the numbers are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(30);
/// Time to wait for a connection to end when all are held and none is idle.
const FULL_PAUSE: Duration = Duration::from_millis(20);

/// What answers requests; each connection has a clone of its own.
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

/// What a connection's task tells the one that accepts connections.
enum ConnectionEvent {
    /// The first request told who is at the other end.
    Identified(Kind),
    Ended(u64),
}

/// Accepts connections and serves them, until it is dropped.
pub async fn accept<S: HttpService>(listener: TcpListener, limits: Limits, service: S) {
    // A connection is identified once and ends once, and is held until its end was read: so many
    // messages never fill the channel, and none is lost.
    let (event_sender, mut events) = mpsc::channel(2 * limits.all);
    let mut acceptor = Acceptor {
        limits,
        service,
        table: Table::default(),
        began: Instant::now(),
        events: event_sender,
    };
    let mut idle_check = every(IDLE_CHECK_INTERVAL);
    let mut log = every(LOG_INTERVAL);
    loop {
        let is_full = acceptor.table.len() >= limits.all;
        if is_full {
            acceptor.table.close_idlest(None);
        }
        tokio::select! {
            Some(event) = events.recv() => acceptor.note(event),
            _ = idle_check.tick() => acceptor.table.close_idle(elapsed_ms(acceptor.began)),
            _ = log.tick() => acceptor.log(),
            () = sleep(FULL_PAUSE), if is_full => {}
            accepted = listener.accept(), if !is_full => match accepted {
                Ok((stream, _)) => acceptor.admit(stream),
                Err(_) => {
                    // No socket is free, most likely: what is idle makes room.
                    acceptor.table.close_idlest(None);
                    sleep(FULL_PAUSE).await;
                }
            },
        }
    }
}

fn every(period: Duration) -> Interval {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

fn elapsed_ms(since: Instant) -> u64 {
    since.elapsed().as_millis() as u64
}

/// Owns the table of connections.
struct Acceptor<S> {
    limits: Limits,
    service: S,
    table: Table,
    began: Instant,
    /// Given to each connection's task.
    events: mpsc::Sender<ConnectionEvent>,
}

impl<S: HttpService> Acceptor<S> {
    fn note(&mut self, event: ConnectionEvent) {
        match event {
            ConnectionEvent::Identified(kind) => {
                if self.table.count(kind) > self.limits.of_kind(kind) {
                    self.table.close_idlest(Some(kind));
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
            held = summary.held,
            peak = summary.peak,
            closed = summary.closed,
            most = self.limits.all,
            "connections"
        );
    }

    /// Serves a connection in a task of its own, which ends with the connection.
    fn admit(&mut self, stream: TcpStream) {
        let (id, entry) = self.table.add(elapsed_ms(self.began));
        let connection = Connection {
            id,
            entry,
            began: self.began,
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
    entry: Arc<Entry>,
    /// When listening began: the entry counts from there.
    began: Instant,
    counts: Arc<Counts>,
    events: mpsc::Sender<ConnectionEvent>,
}

impl Connection {
    async fn serve<S: HttpService>(self, stream: TcpStream, service: S) {
        let _ = stream.set_nodelay(true);
        let connection = self.clone();
        let each = service_fn(move |request: Request<Body>| {
            connection.begin_request(&request);
            let answer = service.clone().call(request);
            let (entry, began) = (connection.entry.clone(), connection.began);
            async move {
                let answer = answer.await;
                entry.end_request(elapsed_ms(began));
                answer
            }
        });
        let mut http = Http::new();
        http.http1_only(true).http1_keep_alive(true);
        let mut served = pin!(http.serve_connection(stream, each));
        tokio::select! {
            _ = served.as_mut() => {}
            () = self.entry.closing() => {
                // What is under way is answered first, with `Connection: close`. One that never
                // asked anything has nothing to wait for.
                if self.entry.kind() != Kind::New {
                    served.as_mut().graceful_shutdown();
                    let _ = served.await;
                }
            }
        }
        let _ = self.events.send(ConnectionEvent::Ended(self.id)).await;
    }

    fn begin_request(&self, request: &Request<Body>) {
        if self.entry.kind() == Kind::New {
            let kind = Kind::of(request.uri().path());
            self.entry.set_kind(kind, &self.counts);
            let _ = self.events.try_send(ConnectionEvent::Identified(kind));
        }
        self.entry.begin_request();
    }
}

#[cfg(test)]
mod tests;
