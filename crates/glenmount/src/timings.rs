//! What this process's time goes into: counted by kind of event, logged every so often.
//!
//! Three looks at the clock an event. What runs between two events - HTTP, the runtime, the kernel -
//! is not in here: it is the difference to what the platform counts.

use glenmount_core::controller::Event;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// Period at which it is logged.
const LOG: Duration = Duration::from_secs(30);

/// What the core is told.
const KINDS: [&str; 10] = [
    "tick", "check_in", "poll", "submit", "cancel", "state", "watch", "beat", "command", "other",
];

fn kind(event: &Event) -> usize {
    match event {
        Event::Tick => 0,
        Event::WorkerHeartbeat { .. } => 1,
        Event::Status { .. } => 2,
        Event::Submit { .. } => 3,
        Event::Cancel { .. } => 4,
        Event::State { .. } => 5,
        Event::WatchUpdate { .. } => 6,
        Event::PeerHeartbeat(_) => 7,
        Event::CommandResult { .. } => 8,
        Event::Throttled
        | Event::StateTimeout { .. }
        | Event::WatchGap
        | Event::Cloud { .. }
        | Event::LinkEnded { .. }
        | Event::Shutdown => 9,
    }
}

/// Work done in other tasks than the core's, told by these themselves.
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
    /// Does it, and counts the time.
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

/// Reports and submissions read from JSON.
pub static MESSAGES_READ: WorkTimer = WorkTimer::new();
/// Answers written as JSON.
pub static REPLIES_WRITTEN: WorkTimer = WorkTimer::new();
/// Answers of the state service read into records, and the watch's changes.
pub static RECORDS_READ: WorkTimer = WorkTimer::new();
/// Heartbeats read and written.
pub static PEER_FRAMES: WorkTimer = WorkTimer::new();

#[derive(Clone, Copy, Default)]
struct Timing {
    count: u64,
    ns: u64,
}

/// Owned by the core's actor.
pub struct EventTimings {
    since: Instant,
    kinds: [Timing; KINDS.len()],
    /// What was told to be done, handed to the tasks that do it.
    effects: Timing,
}

/// How many, microseconds of each in the mean, and thousandths of a core.
fn summary(cost: Timing, over: Duration) -> String {
    let each = cost.ns as f64 / 1e3 / cost.count.max(1) as f64;
    let share = cost.ns as f64 / 1e6 / over.as_secs_f64().max(0.001);
    format!("{}/{each:.1}us/{share:.2}m", cost.count)
}

impl EventTimings {
    pub fn new() -> EventTimings {
        EventTimings {
            since: Instant::now(),
            kinds: Default::default(),
            effects: Timing::default(),
        }
    }

    /// Starts counting an event.
    pub fn begin(&self, event: &Event) -> (usize, Instant) {
        (kind(event), Instant::now())
    }

    /// The core has handled it, and what it wanted was handed on.
    pub fn end(&mut self, (kind, began): (usize, Instant), handled: Instant, effects: usize) {
        let now = Instant::now();
        let cost = &mut self.kinds[kind];
        cost.count += 1;
        cost.ns += handled.duration_since(began).as_nanos() as u64;
        self.effects.count += effects as u64;
        self.effects.ns += now.duration_since(handled).as_nanos() as u64;
        let over = now.duration_since(self.since);
        if over >= LOG {
            self.log(over);
            *self = EventTimings::new();
        }
    }

    fn log(&self, over: Duration) {
        let outside = [
            &MESSAGES_READ,
            &REPLIES_WRITTEN,
            &RECORDS_READ,
            &PEER_FRAMES,
        ]
        .map(WorkTimer::take);
        let names = ["read", "written", "records", "frames"];
        let core = KINDS.iter().zip(self.kinds).filter(|(_, c)| c.count > 0);
        let core: Vec<String> = core
            .map(|(name, c)| format!("{name}:{}", summary(c, over)))
            .collect();
        let outside: Vec<String> = (names.iter().zip(outside))
            .filter(|(_, c)| c.count > 0)
            .map(|(name, c)| format!("{name}:{}", summary(c, over)))
            .collect();
        // each: how many / microseconds of each / thousandths of a core
        tracing::info!(
            seconds = over.as_secs(),
            core = core.join(" "),
            effects = summary(self.effects, over),
            outside = outside.join(" "),
            "costs"
        );
    }
}

#[cfg(test)]
mod tests;
