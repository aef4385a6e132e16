//! What this process's time goes into: counted by kind of event, logged every so often.
//!
//! Three looks at the clock an event. What runs between two events - HTTP, the runtime, the kernel -
//! is not in here: it is the difference to what the platform counts.

use glenmount_core::controller::Event;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// Period at which it is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(30);

/// What the core is told, as far as it is counted apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EventKind {
    Tick,
    WorkerHeartbeat,
    Status,
    Submit,
    Cancel,
    StateResponse,
    Watch,
    PeerHeartbeat,
    Command,
    Other,
}

impl EventKind {
    const ALL: [EventKind; 10] = [
        EventKind::Tick,
        EventKind::WorkerHeartbeat,
        EventKind::Status,
        EventKind::Submit,
        EventKind::Cancel,
        EventKind::StateResponse,
        EventKind::Watch,
        EventKind::PeerHeartbeat,
        EventKind::Command,
        EventKind::Other,
    ];

    fn of(event: &Event) -> EventKind {
        match event {
            Event::Tick => EventKind::Tick,
            Event::WorkerHeartbeat { .. } => EventKind::WorkerHeartbeat,
            Event::Status { .. } => EventKind::Status,
            Event::Submit { .. } => EventKind::Submit,
            Event::Cancel { .. } => EventKind::Cancel,
            Event::State { .. } => EventKind::StateResponse,
            Event::WatchUpdate { .. } => EventKind::Watch,
            Event::PeerHeartbeat(_) => EventKind::PeerHeartbeat,
            Event::CommandResult { .. } => EventKind::Command,
            Event::Throttled
            | Event::StateTimeout { .. }
            | Event::WatchGap
            | Event::Cloud { .. }
            | Event::LinkEnded { .. }
            | Event::Shutdown => EventKind::Other,
        }
    }

    /// As it is logged.
    fn label(self) -> &'static str {
        match self {
            EventKind::Tick => "tick",
            EventKind::WorkerHeartbeat => "check_in",
            EventKind::Status => "poll",
            EventKind::Submit => "submit",
            EventKind::Cancel => "cancel",
            EventKind::StateResponse => "state",
            EventKind::Watch => "watch",
            EventKind::PeerHeartbeat => "beat",
            EventKind::Command => "command",
            EventKind::Other => "other",
        }
    }
}

/// Counts work that is done in other tasks than the core's.
pub struct WorkTimer {
    count: AtomicU64,
    ns: AtomicU64,
}

impl WorkTimer {
    const fn new() -> WorkTimer {
        WorkTimer {
            count: AtomicU64::new(0),
            ns: AtomicU64::new(0),
        }
    }

    /// Does the work, and counts the time.
    pub fn time<T>(&self, work: impl FnOnce() -> T) -> T {
        let began = Instant::now();
        let done = work();
        self.count.fetch_add(1, Relaxed);
        self.ns
            .fetch_add(began.elapsed().as_nanos() as u64, Relaxed);
        done
    }

    fn take(&self) -> Timing {
        Timing {
            count: self.count.swap(0, Relaxed),
            ns: self.ns.swap(0, Relaxed),
        }
    }
}

/// Heartbeats of workers and submissions read from JSON.
pub static MESSAGES_READ: WorkTimer = WorkTimer::new();
/// Answers to users and workers written as JSON.
pub static REPLIES_WRITTEN: WorkTimer = WorkTimer::new();
/// Answers of the state store read into records, and the watch's changes.
pub static RECORDS_READ: WorkTimer = WorkTimer::new();
/// Heartbeats between controllers read and written.
pub static PEER_FRAMES: WorkTimer = WorkTimer::new();

/// How often something was done, and how long it took in all.
#[derive(Clone, Copy, Default)]
struct Timing {
    count: u64,
    ns: u64,
}

impl Timing {
    fn add(&mut self, count: usize, time: Duration) {
        self.count += count as u64;
        self.ns += time.as_nanos() as u64;
    }

    /// How many, microseconds of each in the mean, and thousandths of a core.
    fn summary(self, period: Duration) -> String {
        let mean_us = self.ns as f64 / 1e3 / self.count.max(1) as f64;
        let core_thousandths = self.ns as f64 / 1e6 / period.as_secs_f64().max(0.001);
        format!("{}/{mean_us:.1}us/{core_thousandths:.2}m", self.count)
    }
}

/// An event that the core is handling.
#[derive(Clone, Copy)]
pub struct EventTimer {
    kind: EventKind,
    began: Instant,
}

/// What the core's events take. Owned by the event loop.
pub struct EventTimings {
    since: Instant,
    by_kind: [Timing; EventKind::ALL.len()],
    /// What was told to be done, handed to the tasks that do it.
    effects: Timing,
}

impl EventTimings {
    /// Nothing is counted yet.
    pub fn new() -> EventTimings {
        EventTimings {
            since: Instant::now(),
            by_kind: Default::default(),
            effects: Timing::default(),
        }
    }

    /// Starts counting an event.
    pub fn begin(&self, event: &Event) -> EventTimer {
        EventTimer {
            kind: EventKind::of(event),
            began: Instant::now(),
        }
    }

    /// The core has handled an event at `handled`, and by now its effects were handed on.
    pub fn end(&mut self, event: EventTimer, handled: Instant, effects: usize) {
        let now = Instant::now();
        self.by_kind[event.kind as usize].add(1, handled.duration_since(event.began));
        self.effects.add(effects, now.duration_since(handled));
        let period = now.duration_since(self.since);
        if period >= LOG_INTERVAL {
            self.log(period);
            *self = EventTimings::new();
        }
    }

    /// Each part is how many, microseconds of each, and thousandths of a core.
    fn log(&self, period: Duration) {
        let summaries = |timings: &[(&str, Timing)]| {
            let counted = timings.iter().filter(|(_, timing)| timing.count > 0);
            let parts = counted.map(|(name, timing)| format!("{name}:{}", timing.summary(period)));
            parts.collect::<Vec<String>>().join(" ")
        };
        let events = EventKind::ALL.map(|kind| (kind.label(), self.by_kind[kind as usize]));
        let outside = [
            ("read", MESSAGES_READ.take()),
            ("written", REPLIES_WRITTEN.take()),
            ("records", RECORDS_READ.take()),
            ("frames", PEER_FRAMES.take()),
        ];
        tracing::info!(
            seconds = period.as_secs(),
            core = summaries(&events),
            effects = self.effects.summary(period),
            outside = summaries(&outside),
            "costs"
        );
    }
}

#[cfg(test)]
mod tests;
