//! Which connections are held, how many of each kind may be, and which are closed first.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use tokio::sync::Notify;

/// Sockets left to what this controller opens itself: commands, the state store, the cloud, peers.
const OUTGOING: usize = 128;
/// Sockets left free beside these, one in so many: closing takes a moment.
const SPARE_PART: usize = 20;
/// Shares that users and workers may have of the rest, in tenths: neither can take all of it.
const USERS_TENTHS: usize = 6;
/// The same for workers. When peers are away all workers turn to this controller.
const WORKERS_TENTHS: usize = 8;
/// Milliseconds after which a connection is closed on which nothing was ever asked.
const UNUSED_MS: u64 = 10_000;
/// The same for one that has been used: users poll every 5 s, workers report as often, and those
/// that went elsewhere, or are dead, leave theirs open.
const IDLE_MS: u64 = 90_000;

/// Who is at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Nothing was asked yet.
    New = 0,
    /// Health checks.
    Probe = 1,
    User = 2,
    Worker = 3,
}

impl Kind {
    const ALL: [Kind; 4] = [Kind::New, Kind::Probe, Kind::User, Kind::Worker];

    /// Who asks for this path.
    pub fn of(path: &str) -> Kind {
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
    pub users: usize,
    pub workers: usize,
}

impl Limits {
    /// What may be held of so many sockets.
    pub fn of(sockets: usize) -> Limits {
        let reserved = OUTGOING.min(sockets / 4) + sockets / SPARE_PART;
        let all = sockets.saturating_sub(reserved).max(4);
        Limits {
            all,
            users: (all * USERS_TENTHS / 10).max(1),
            workers: (all * WORKERS_TENTHS / 10).max(1),
        }
    }

    /// What may be held of one kind.
    pub fn of_kind(&self, kind: Kind) -> usize {
        match kind {
            Kind::User => self.users,
            Kind::Worker => self.workers,
            Kind::New | Kind::Probe => self.all,
        }
    }
}

/// Connections of each kind.
#[derive(Debug, Default)]
pub struct Counts([AtomicUsize; Kind::ALL.len()]);

impl Counts {
    fn get(&self, kind: Kind) -> usize {
        self.0[kind as usize].load(Relaxed)
    }

    fn add(&self, kind: Kind) {
        self.0[kind as usize].fetch_add(1, Relaxed);
    }

    fn remove(&self, kind: Kind) {
        self.0[kind as usize].fetch_sub(1, Relaxed);
    }
}

/// One connection, as its own task and the table see it.
#[derive(Debug, Default)]
pub struct Entry {
    kind: AtomicU8,
    is_busy: AtomicBool,
    /// Milliseconds, since listening began, at which it was last used.
    used_at_ms: AtomicU64,
    is_closing: AtomicBool,
    close: Notify,
}

impl Entry {
    /// Who is at the other end.
    pub fn kind(&self) -> Kind {
        Kind::ALL[usize::from(self.kind.load(Relaxed)).min(Kind::ALL.len() - 1)]
    }

    /// The first request told who is at the other end.
    pub fn set_kind(&self, kind: Kind, counts: &Counts) {
        counts.remove(self.kind());
        counts.add(kind);
        self.kind.store(kind as u8, Relaxed);
    }

    /// A request is being answered: the connection is not closed meanwhile.
    pub fn begin_request(&self) {
        self.is_busy.store(true, Relaxed);
    }

    /// The request was answered.
    pub fn end_request(&self, now_ms: u64) {
        self.used_at_ms.store(now_ms, Relaxed);
        self.is_busy.store(false, Relaxed);
    }

    /// Waits until the connection is to be closed.
    pub async fn closing(&self) {
        self.close.notified().await;
    }

    fn is_idle(&self) -> bool {
        !self.is_busy.load(Relaxed) && !self.is_closing.load(Relaxed)
    }

    fn shut(&self) {
        self.is_closing.store(true, Relaxed);
        self.close.notify_one();
    }
}

/// What is held now. Owned by the task that accepts connections.
#[derive(Default)]
pub struct Table {
    entries: HashMap<u64, Arc<Entry>>,
    counts: Arc<Counts>,
    next_id: u64,
    /// Connections held at most since the last look.
    peak: usize,
    /// Connections closed since the last look.
    closed: u64,
}

/// What is logged of a table.
pub struct Summary {
    pub users: usize,
    pub workers: usize,
    pub held: usize,
    pub peak: usize,
    pub closed: u64,
}

impl Table {
    /// Connections of all kinds.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Connections of one kind.
    pub fn count(&self, kind: Kind) -> usize {
        self.counts.get(kind)
    }

    /// The counts, for the connections' own tasks.
    pub fn counts(&self) -> Arc<Counts> {
        self.counts.clone()
    }

    /// Adds a connection, under a number of its own.
    pub fn add(&mut self, now_ms: u64) -> (u64, Arc<Entry>) {
        let entry = Arc::new(Entry::default());
        entry.used_at_ms.store(now_ms, Relaxed);
        self.counts.add(Kind::New);
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

    /// Closes the connection that has been idle longest, of one kind or of any. Health checks are
    /// left alone: a controller that they can't reach gets no users at all.
    pub fn close_idlest(&mut self, kind: Option<Kind>) {
        let fits = |entry: &Entry| match kind {
            Some(kind) => entry.kind() == kind,
            None => entry.kind() != Kind::Probe,
        };
        let idle = self.entries.values().filter(|e| e.is_idle() && fits(e));
        if let Some(entry) = idle.min_by_key(|entry| entry.used_at_ms.load(Relaxed)) {
            entry.shut();
            self.closed += 1;
        }
    }

    /// Closes all connections that have been idle for too long.
    pub fn close_idle(&mut self, now_ms: u64) {
        for entry in self.entries.values().filter(|entry| entry.is_idle()) {
            let idle_most_ms = match entry.kind() {
                Kind::New => UNUSED_MS,
                Kind::Probe | Kind::User | Kind::Worker => IDLE_MS,
            };
            if now_ms > entry.used_at_ms.load(Relaxed) + idle_most_ms {
                entry.shut();
                self.closed += 1;
            }
        }
    }

    /// Sums up what happened since the last call.
    pub fn summarize(&mut self) -> Summary {
        let held = self.entries.len();
        Summary {
            users: self.count(Kind::User),
            workers: self.count(Kind::Worker),
            held,
            peak: std::mem::replace(&mut self.peak, held),
            closed: std::mem::take(&mut self.closed),
        }
    }
}
