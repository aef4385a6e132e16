//! Measures the time that this process spends per kind of event, and logs it at an interval.
//!
//! Each event costs three clock reads. The work between two events (HTTP, the runtime, the kernel) is not
//! measured: it is the difference to the CPU time that the platform measures.

use glenmount_core::controller::Event;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// Interval at which the timings are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(30);

/// The kinds of events that are counted separately.
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

    /// Returns the label in the log.
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

/// A timer of work outside of the core.
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

    /// Runs the work and counts it with its duration.
    pub fn time<T>(&self, work: impl FnOnce() -> T) -> T {
        let started_at = Instant::now();
        let result = work();
        self.count.fetch_add(1, Relaxed);
        self.ns
            .fetch_add(started_at.elapsed().as_nanos() as u64, Relaxed);
        result
    }

    /// Returns the counts and resets them.
    fn take(&self) -> Timing {
        Timing {
            count: self.count.swap(0, Relaxed),
            ns: self.ns.swap(0, Relaxed),
        }
    }
}

/// Parsing of worker heartbeats and submissions from JSON.
pub static MESSAGES_READ: WorkTimer = WorkTimer::new();
/// Serialization of replies to users and workers as JSON.
pub static REPLIES_WRITTEN: WorkTimer = WorkTimer::new();
/// Parsing of lists and watch responses of the state store into records.
pub static RECORDS_READ: WorkTimer = WorkTimer::new();
/// Parsing and serialization of heartbeats between controllers.
pub static PEER_FRAMES: WorkTimer = WorkTimer::new();

/// The count and the total duration of a kind of work.
#[derive(Clone, Copy, Default)]
struct Timing {
    count: u64,
    ns: u64,
}

impl Timing {
    fn add(&mut self, count: usize, duration: Duration) {
        self.count += count as u64;
        self.ns += duration.as_nanos() as u64;
    }

    /// Returns the count, the mean duration in microseconds and the load in thousandths of a core.
    fn summary(self, period: Duration) -> String {
        let mean_us = self.ns as f64 / 1e3 / self.count.max(1) as f64;
        let core_thousandths = self.ns as f64 / 1e6 / period.as_secs_f64().max(0.001);
        format!("{}/{mean_us:.1}us/{core_thousandths:.2}m", self.count)
    }
}

/// The timer of an event that the core is handling.
#[derive(Clone, Copy)]
pub struct EventTimer {
    kind: EventKind,
    started_at: Instant,
}

/// The timings of the core's events. The event loop owns them.
pub struct EventTimings {
    period_start: Instant,
    by_kind: [Timing; EventKind::ALL.len()],
    /// Handing effects to the tasks that perform them.
    effects: Timing,
}

impl EventTimings {
    /// Creates timings without any count.
    pub fn new() -> EventTimings {
        EventTimings {
            period_start: Instant::now(),
            by_kind: Default::default(),
            effects: Timing::default(),
        }
    }

    /// Starts the timer of an event.
    pub fn begin(&self, event: &Event) -> EventTimer {
        EventTimer {
            kind: EventKind::of(event),
            started_at: Instant::now(),
        }
    }

    /// Counts an event that the core had handled at `handled_at` and whose effects have now been handed to their
    /// tasks. Logs and resets all timings once per interval.
    pub fn end(&mut self, timer: EventTimer, handled_at: Instant, effect_count: usize) {
        let now = Instant::now();
        let handling_time = handled_at.duration_since(timer.started_at);
        self.by_kind[timer.kind as usize].add(1, handling_time);
        self.effects
            .add(effect_count, now.duration_since(handled_at));
        let period = now.duration_since(self.period_start);
        if period >= LOG_INTERVAL {
            self.log(period);
            *self = EventTimings::new();
        }
    }

    /// Logs each part as its count, mean duration in microseconds and load in thousandths of a core.
    fn log(&self, period: Duration) {
        let summaries = |timings: &[(&str, Timing)]| {
            let counted = timings.iter().filter(|(_, timing)| timing.count > 0);
            let parts =
                counted.map(|(label, timing)| format!("{label}:{}", timing.summary(period)));
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
