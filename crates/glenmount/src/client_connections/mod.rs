//! Connections from users, workers and health checks: how many of each are held, and which are
//! closed when there are too many.
//!
//! A controller has so many sockets (`settings.quota.sockets`), and one that finds none free refuses
//! everybody alike. So users and workers have bounds of their own, and what has been idle longest
//! is closed before anything is refused: whoever it was connects again with the next request.

use hyper::service::Service;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::time::{interval, Duration, Instant, MissedTickBehavior};
use warp::http::{Request, Response};
use warp::hyper::Body;

/// Sockets left to what this controller opens itself: commands, the state service, the cloud, peers.
const OUTGOING: usize = 128;
/// Sockets left free beside these, one in so many: closing takes a moment.
const SPARE_PART: usize = 20;
/// Shares that users and workers may have of the rest, in tenths: neither can take all of it.
const USERS_TENTHS: usize = 6;
/// See there. When peers are away all workers turn to this controller.
const WORKERS_TENTHS: usize = 8;
/// Milliseconds after which a connection is closed on which nothing was ever asked.
const SILENT_MS: u64 = 10_000;
/// The same for one that has been used: users poll every 5 s, workers report as often, and those
/// that went elsewhere, or are dead, leave theirs open.
const IDLE_MS: u64 = 90_000;
/// Period at which those are looked for.
const IDLE_CHECK: Duration = Duration::from_secs(5);
/// Period at which the numbers are logged.
const LOG: Duration = Duration::from_secs(30);
/// Time to wait for a connection to end when all are held and none is idle.
const FULL_PAUSE: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Nothing was asked yet.
    New = 0,
    /// Health checks.
    Probe = 1,
    User = 2,
    Worker = 3,
}

const KINDS: [Kind; 4] = [Kind::New, Kind::Probe, Kind::User, Kind::Worker];

impl Kind {
    fn of(path: &str) -> Kind {
        match path {
            "/ready" => Kind::Probe,
            "/checkin" => Kind::Worker,
            _ => Kind::User,
        }
    }
}

/// Connections held at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub all: usize,
    users: usize,
    workers: usize,
}

impl Limits {
    pub fn of(sockets: usize) -> Limits {
        let own = OUTGOING.min(sockets / 4) + sockets / SPARE_PART;
        let all = sockets.saturating_sub(own).max(4);
        Limits {
            all,
            users: (all * USERS_TENTHS / 10).max(1),
            workers: (all * WORKERS_TENTHS / 10).max(1),
        }
    }

    fn most(&self, kind: Kind) -> usize {
        match kind {
            Kind::User => self.users,
            Kind::Worker => self.workers,
            Kind::New | Kind::Probe => self.all,
        }
    }
}

/// One connection, as its own task and the actor see it.
#[derive(Debug, Default)]
struct Entry {
    kind: AtomicU8,
    busy: AtomicBool,
    /// Milliseconds, since the actor began, at which it was last used.
    used: AtomicU64,
    closing: AtomicBool,
    close: Notify,
}

impl Entry {
    fn kind(&self) -> Kind {
        KINDS[usize::from(self.kind.load(Relaxed)).min(KINDS.len() - 1)]
    }
    fn idle(&self) -> bool {
        !self.busy.load(Relaxed) && !self.closing.load(Relaxed)
    }
    fn shut(&self) {
        self.closing.store(true, Relaxed);
        self.close.notify_one();
    }
}

/// What the connections' tasks tell the actor.
enum ConnectionEvent {
    /// The first request told what it is.
    Identified(Kind),
    Ended(u64),
}

/// What is held now. Owned by one actor.
#[derive(Default)]
struct Table {
    entries: HashMap<u64, Arc<Entry>>,
    counts: Arc<[AtomicUsize; 4]>,
    closed: u64,
}

impl Table {
    fn count(&self, kind: Kind) -> usize {
        self.counts[kind as usize].load(Relaxed)
    }

    /// Closes the connection that has been idle longest, of one kind or of any. Health checks are
    /// left alone: a controller that they can't reach gets no users at all.
    fn close_idlest(&mut self, kind: Option<Kind>) -> bool {
        let fits = |e: &Entry| match kind {
            Some(kind) => e.kind() == kind,
            None => e.kind() != Kind::Probe,
        };
        let idle = self.entries.values().filter(|e| e.idle() && fits(e));
        let Some(entry) = idle.min_by_key(|e| e.used.load(Relaxed)) else {
            return false;
        };
        entry.shut();
        self.closed += 1;
        true
    }

    fn close_idle(&mut self, now_ms: u64) {
        for entry in self.entries.values().filter(|e| e.idle()) {
            let most = match entry.kind() {
                Kind::New => SILENT_MS,
                _ => IDLE_MS,
            };
            if now_ms > entry.used.load(Relaxed) + most {
                entry.shut();
                self.closed += 1;
            }
        }
    }

    fn remove(&mut self, id: u64) {
        if let Some(entry) = self.entries.remove(&id) {
            self.counts[entry.kind() as usize].fetch_sub(1, Relaxed);
        }
    }
}

/// Listens, and serves what comes in until the process ends.
pub async fn listen<S>(addr: SocketAddr, limits: Limits, service: S) -> std::io::Result<()>
where
    S: Service<Request<Body>, Response = Response<Body>, Error = std::convert::Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    tokio::spawn(accept(listener, limits, service));
    Ok(())
}

async fn accept<S>(listener: TcpListener, limits: Limits, service: S)
where
    S: Service<Request<Body>, Response = Response<Body>, Error = std::convert::Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send + 'static,
{
    let begun = Instant::now();
    let (event_sender, mut events) = mpsc::unbounded_channel();
    let mut table = Table::default();
    let mut next = 0;
    let every = |period| {
        let mut ticks = interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        ticks
    };
    let (mut reap, mut log) = (every(IDLE_CHECK), every(LOG));
    let mut peak = 0;
    loop {
        let full = table.entries.len() >= limits.all;
        if full {
            table.close_idlest(None);
        }
        tokio::select! {
            some = events.recv() => match some {
                Some(ConnectionEvent::Identified(kind)) => {
                    if table.count(kind) > limits.most(kind) {
                        table.close_idlest(Some(kind));
                    }
                }
                Some(ConnectionEvent::Ended(id)) => table.remove(id),
                None => return,
            },
            _ = reap.tick() => table.close_idle(begun.elapsed().as_millis() as u64),
            _ = log.tick() => {
                let (users, workers) = (table.count(Kind::User), table.count(Kind::Worker));
                let (held, closed) = (table.entries.len(), std::mem::take(&mut table.closed));
                tracing::info!(users, workers, held, peak, closed, most = limits.all, "connections");
                peak = held;
            }
            _ = tokio::time::sleep(FULL_PAUSE), if full => {}
            accepted = listener.accept(), if !full => {
                let Ok((stream, _)) = accepted else {
                    // No socket is free, most likely: what is idle makes room.
                    table.close_idlest(None);
                    tokio::time::sleep(FULL_PAUSE).await;
                    continue;
                };
                let entry = Arc::new(Entry::default());
                entry.used.store(begun.elapsed().as_millis() as u64, Relaxed);
                table.counts[Kind::New as usize].fetch_add(1, Relaxed);
                table.entries.insert(next, entry.clone());
                peak = peak.max(table.entries.len());
                let served = Connection {
                    id: next,
                    entry,
                    begun,
                    counts: table.counts.clone(),
                    events: event_sender.clone(),
                };
                tokio::spawn(served.serve(stream, service.clone()));
                next += 1;
            }
        }
    }
}

/// A connection being served.
struct Connection {
    id: u64,
    entry: Arc<Entry>,
    begun: Instant,
    counts: Arc<[AtomicUsize; 4]>,
    events: mpsc::UnboundedSender<ConnectionEvent>,
}

impl Connection {
    async fn serve<S>(self, stream: TcpStream, service: S)
    where
        S: Service<Request<Body>, Response = Response<Body>, Error = std::convert::Infallible>
            + Clone
            + Send
            + 'static,
        S::Future: Send + 'static,
    {
        let _ = stream.set_nodelay(true);
        let (entry, counts, events, begun) = (
            self.entry.clone(),
            self.counts,
            self.events.clone(),
            self.begun,
        );
        let each = hyper::service::service_fn(move |request: Request<Body>| {
            let kind = Kind::of(request.uri().path());
            if entry.kind() == Kind::New {
                counts[Kind::New as usize].fetch_sub(1, Relaxed);
                counts[kind as usize].fetch_add(1, Relaxed);
                entry.kind.store(kind as u8, Relaxed);
                let _ = events.send(ConnectionEvent::Identified(kind));
            }
            entry.busy.store(true, Relaxed);
            let entry = entry.clone();
            let answer = service.clone().call(request);
            async move {
                let answer = answer.await;
                entry
                    .used
                    .store(begun.elapsed().as_millis() as u64, Relaxed);
                entry.busy.store(false, Relaxed);
                answer
            }
        });
        let mut http = hyper::server::conn::Http::new();
        http.http1_only(true).http1_keep_alive(true);
        let mut connection = std::pin::pin!(http.serve_connection(stream, each));
        tokio::select! {
            _ = connection.as_mut() => {}
            () = self.entry.close.notified() => {
                // What is under way is answered first, with `Connection: close`. One that never
                // asked anything has nothing to wait for.
                if self.entry.kind() != Kind::New {
                    connection.as_mut().graceful_shutdown();
                    let _ = connection.await;
                }
            }
        }
        let _ = self.events.send(ConnectionEvent::Ended(self.id));
    }
}

#[cfg(test)]
mod tests;
