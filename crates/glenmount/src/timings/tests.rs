//! Tests of counting timings.

use super::{EventKind, EventTimings, Timing, WorkTimer};
use glenmount_core::controller::Event;
use std::time::{Duration, Instant};

#[test]
fn each_event_is_counted_by_its_kind() {
    let mut timings = EventTimings::new();
    for event in [Event::Tick, Event::Tick, Event::Throttled] {
        let timer = timings.begin(&event);
        timings.end(timer, Instant::now(), 2);
    }
    let count = |kind: EventKind| timings.by_kind[kind as usize].count;
    assert_eq!((count(EventKind::Tick), count(EventKind::Other)), (2, 1));
    assert_eq!(timings.effects.count, 6);
    let timing = Timing {
        count: 4,
        ns: 8_000_000,
    };
    assert_eq!(timing.summary(Duration::from_secs(2)), "4/2000.0us/4.00m");
}

#[test]
fn event_kinds_are_listed_in_order_of_their_discriminants() {
    for (index, kind) in EventKind::ALL.into_iter().enumerate() {
        assert_eq!(kind as usize, index, "{}", kind.label());
    }
}

#[test]
fn taking_a_work_timer_resets_it() {
    let timer = WorkTimer::new();
    assert_eq!(timer.time(|| 7), 7);
    assert_eq!(timer.take().count, 1);
    assert_eq!(timer.take().count, 0);
}
