//! How costs are counted.

use super::{summary, EventTimings, Timing, WorkTimer};
use glenmount_core::controller::Event;
use std::time::{Duration, Instant};

#[test]
fn each_event_is_counted_under_its_kind() {
    let mut costs = EventTimings::new();
    for event in [Event::Tick, Event::Tick, Event::Throttled] {
        let begun = costs.begin(&event);
        costs.end(begun, Instant::now(), 2);
    }
    assert_eq!((costs.kinds[0].count, costs.kinds[9].count), (2, 1));
    assert_eq!(costs.effects.count, 6);
    let cost = Timing {
        count: 4,
        ns: 8_000_000,
    };
    assert_eq!(summary(cost, Duration::from_secs(2)), "4/2000.0us/4.00m");
}

#[test]
fn work_outside_is_taken_once() {
    let outside = WorkTimer::new();
    assert_eq!(outside.time(|| 7), 7);
    assert_eq!(outside.take().count, 1);
    assert_eq!(outside.take().count, 0);
}
