//! The table of open connections, their limits by kind of client, and the choice of those to close.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use tokio::sync::Notify;

/// Sockets reserved for outgoing connections: to workers, the state store, the cloud and peers.
const OUTGOING_SOCKETS: usize = 128;
/// One in this many sockets is kept free in addition, because closing a connection takes a moment.
const SPARE_SOCKETS_DIVISOR: usize = 20;
/// Largest share of the other sockets that users may hold, in tenths: neither users nor workers can take all.
const USER_SHARE_TENTHS: usize = 6;
/// The same for workers. When its peers are unavailable, all workers connect to this controller.
const WORKER_SHARE_TENTHS: usize = 8;
/// Time after which a connection without any request is closed.
const UNUSED_TIMEOUT_MS: u64 = 10_000;
/// Idle time after which a used connection is closed. Users poll every 5 s and workers send heartbeats as
/// often; clients that changed to another controller or died leave their connections open.
const IDLE_TIMEOUT_MS: u64 = 90_000;

/// The kind of client at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// A client that has sent no request yet.
    Unidentified = 0,
    HealthCheck = 1,
    User = 2,
    Worker = 3,
}

impl ClientKind {
    const ALL: [ClientKind; 4] = [
        ClientKind::Unidentified,
        ClientKind::HealthCheck,
        ClientKind::User,
        ClientKind::Worker,
    ];

    /// Returns the kind of client that requests this path.
    pub fn of_path(path: &str) -> ClientKind {
        match path {
            "/ready" => ClientKind::HealthCheck,
            "/checkin" => ClientKind::Worker,
            _ => ClientKind::User,
        }
    }
}

/// The limits of open connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    pub all: usize,
    pub users: usize,
    pub workers: usize,
}

impl ConnectionLimits {
    /// Returns the limits for a quota of sockets.
    pub fn for_sockets(sockets: usize) -> ConnectionLimits {
        let reserved = OUTGOING_SOCKETS.min(sockets / 4) + sockets / SPARE_SOCKETS_DIVISOR;
        let all = sockets.saturating_sub(reserved).max(4);
        ConnectionLimits {
            all,
            users: (all * USER_SHARE_TENTHS / 10).max(1),
            workers: (all * WORKER_SHARE_TENTHS / 10).max(1),
        }
    }

    /// Returns the limit for one kind of client.
    pub fn of_kind(&self, kind: ClientKind) -> usize {
        match kind {
            ClientKind::User => self.users,
            ClientKind::Worker => self.workers,
            ClientKind::Unidentified | ClientKind::HealthCheck => self.all,
        }
    }
}

/// The number of open connections by kind of client.
#[derive(Debug, Default)]
pub struct ConnectionCounts([AtomicUsize; ClientKind::ALL.len()]);

impl ConnectionCounts {
    fn get(&self, kind: ClientKind) -> usize {
        self.0[kind as usize].load(Relaxed)
    }

    fn add(&self, kind: ClientKind) {
        self.0[kind as usize].fetch_add(1, Relaxed);
    }

    fn remove(&self, kind: ClientKind) {
        self.0[kind as usize].fetch_sub(1, Relaxed);
    }
}

/// The state of a connection, shared by its task and the table.
#[derive(Debug, Default)]
pub struct ConnectionEntry {
    kind: AtomicU8,
    /// Whether a request is in progress.
    has_request: AtomicBool,
    /// Time of the last use in milliseconds since listening started.
    last_used_ms: AtomicU64,
    is_closing: AtomicBool,
    close_request: Notify,
}

impl ConnectionEntry {
    /// Returns the kind of client.
    pub fn kind(&self) -> ClientKind {
        ClientKind::ALL[usize::from(self.kind.load(Relaxed)).min(ClientKind::ALL.len() - 1)]
    }

    /// Records the kind of client, which the first request shows.
    pub fn set_kind(&self, kind: ClientKind, counts: &ConnectionCounts) {
        counts.remove(self.kind());
        counts.add(kind);
        self.kind.store(kind as u8, Relaxed);
    }

    /// Marks a request as in progress, which keeps the connection from being closed.
    pub fn begin_request(&self) {
        self.has_request.store(true, Relaxed);
    }

    /// Marks the request as answered.
    pub fn end_request(&self, now_ms: u64) {
        self.last_used_ms.store(now_ms, Relaxed);
        self.has_request.store(false, Relaxed);
    }

    /// Waits until the table requests that the connection be closed.
    pub async fn close_requested(&self) {
        self.close_request.notified().await;
    }

    fn is_idle(&self) -> bool {
        !self.has_request.load(Relaxed) && !self.is_closing.load(Relaxed)
    }

    fn request_close(&self) {
        self.is_closing.store(true, Relaxed);
        self.close_request.notify_one();
    }
}

/// The open connections. The task that accepts connections owns the table.
#[derive(Default)]
pub struct ConnectionTable {
    entries: HashMap<u64, Arc<ConnectionEntry>>,
    counts: Arc<ConnectionCounts>,
    next_id: u64,
    /// Most connections open at once since the last summary.
    peak: usize,
    /// Connections closed by the table since the last summary.
    closed: u64,
}

/// The figures of a table that are logged.
pub struct ConnectionSummary {
    pub users: usize,
    pub workers: usize,
    pub open: usize,
    pub peak: usize,
    pub closed: u64,
}

impl ConnectionTable {
    /// Returns the number of all connections.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of connections of one kind of client.
    pub fn count(&self, kind: ClientKind) -> usize {
        self.counts.get(kind)
    }

    /// Returns the counts, which the connections' tasks share.
    pub fn counts(&self) -> Arc<ConnectionCounts> {
        self.counts.clone()
    }

    /// Adds a connection and returns its identifier and entry.
    pub fn add(&mut self, now_ms: u64) -> (u64, Arc<ConnectionEntry>) {
        let entry = Arc::new(ConnectionEntry::default());
        entry.last_used_ms.store(now_ms, Relaxed);
        self.counts.add(ClientKind::Unidentified);
        let id = self.next_id;
        self.next_id += 1;
        self.entries.insert(id, entry.clone());
        self.peak = self.peak.max(self.entries.len());
        (id, entry)
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: u64) {
        if let Some(entry) = self.entries.remove(&id) {
            self.counts.remove(entry.kind());
        }
    }

    /// Closes the connection that has been idle longest, of one kind of client or of any kind except health
    /// checks: a controller that health checks can't reach gets no users.
    pub fn close_longest_idle(&mut self, kind: Option<ClientKind>) {
        let matches = |entry: &ConnectionEntry| match kind {
            Some(kind) => entry.kind() == kind,
            None => entry.kind() != ClientKind::HealthCheck,
        };
        let idle = self.entries.values().filter(|e| e.is_idle() && matches(e));
        if let Some(entry) = idle.min_by_key(|entry| entry.last_used_ms.load(Relaxed)) {
            entry.request_close();
            self.closed += 1;
        }
    }

    /// Closes all connections that have been idle for too long.
    pub fn close_expired(&mut self, now_ms: u64) {
        for entry in self.entries.values().filter(|entry| entry.is_idle()) {
            let timeout_ms = match entry.kind() {
                ClientKind::Unidentified => UNUSED_TIMEOUT_MS,
                ClientKind::HealthCheck | ClientKind::User | ClientKind::Worker => IDLE_TIMEOUT_MS,
            };
            if now_ms > entry.last_used_ms.load(Relaxed) + timeout_ms {
                entry.request_close();
                self.closed += 1;
            }
        }
    }

    /// Returns the figures since the last call and resets them.
    pub fn summarize(&mut self) -> ConnectionSummary {
        let open = self.entries.len();
        ConnectionSummary {
            users: self.count(ClientKind::User),
            workers: self.count(ClientKind::Worker),
            open,
            peak: std::mem::replace(&mut self.peak, open),
            closed: std::mem::take(&mut self.closed),
        }
    }
}
