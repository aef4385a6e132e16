//! Tests of `failures`.

use super::*;

const WALL: WallMs = 1_700_000_000_000;
const LEASE: Millis = 26_500;

fn batch(goals_s: &[u64]) -> Holding {
    Holding {
        priority: JobPriority::Normal,
        service: false,
        unseen: false,
        elsewhere: true,
        goals: goals_s.iter().map(|s| WALL + s * 1_000).collect(),
        run_ms: 40_000,
    }
}

fn service() -> Holding {
    Holding {
        service: true,
        goals: Vec::new(),
        priority: JobPriority::Production,
        ..batch(&[])
    }
}

fn lost(kind: Kind, s: u64) -> Lost {
    Lost {
        kind,
        ms: s * 1_000,
    }
}

fn end(l: Lost, holds: &[Holding]) -> Option<Why> {
    evacuation_reason(&l, holds, LEASE, &Tuning::default(), WALL)
}

#[test]
fn a_node_that_was_cut_off_itself_does_not_act_on_what_it_finds_silent() {
    let mut zones = Zones::default();
    let signs = ZoneObservation {
        latest: 1_000,
        ..ZoneObservation::default()
    };
    assert_eq!(zones.judged(20_000, "a", &signs, true), Some(Turn::Lost));
    assert_eq!(zones.unreachable_since("a"), Some(1_000));
    assert_eq!(zones.lost_since(20_500, "a"), None);
    assert_eq!(zones.lost_since(20_000 + ZONE_CONFIRM_MS, "a"), Some(1_000));
    let back = Some(Turn::Back { ms: 29_000 });
    assert_eq!(zones.judged(30_000, "a", &signs, false), back);
    assert_eq!(zones.lost_since(40_000, "a"), None);
}

#[test]
fn starts_that_never_arrived_are_not_waited_for() {
    let unseen = Holding {
        unseen: true,
        ..service()
    };
    assert_eq!(
        end(lost(Kind::Inside, 3), std::slice::from_ref(&unseen)),
        None
    );
    assert_eq!(
        end(lost(Kind::Inside, 8), std::slice::from_ref(&unseen)),
        Some(Why::Unseen)
    );
    assert_eq!(end(lost(Kind::Inside, 8), &[unseen, service()]), None);
}

#[test]
fn what_serves_inside_is_left_for_as_long_as_it_may() {
    let late = [batch(&[10]), service()];
    assert_eq!(end(lost(Kind::Inside, 300), &late), None);
    assert_eq!(end(lost(Kind::Alone, 20), &late), None);
    assert_eq!(end(lost(Kind::Alone, 40), &late), Some(Why::Dead));
    assert_eq!(end(lost(Kind::Dead, 41), &[service()]), Some(Why::Dead));
    let nowhere = [Holding {
        elsewhere: false,
        ..service()
    }];
    assert_eq!(end(lost(Kind::Alone, 400), &nowhere), None, "as well there");
    assert_eq!(end(lost(Kind::Dead, 200), &nowhere), None);
    assert_eq!(end(lost(Kind::Dead, 300), &nowhere), Some(Why::Given));
    assert_eq!(end(lost(Kind::Inside, 300), &[]), Some(Why::Given));
}

#[test]
fn a_batch_goes_elsewhere_when_waiting_would_miss_what_that_can_meet() {
    // Done in 42.5 s elsewhere.
    assert_eq!(end(lost(Kind::Inside, 30), &[batch(&[100])]), None);
    assert_eq!(
        end(lost(Kind::Inside, 97), &[batch(&[100])]),
        Some(Why::Due)
    );
    // The first goal is out of reach either way: the next one counts.
    assert_eq!(end(lost(Kind::Inside, 90), &[batch(&[20, 200])]), None);
    assert_eq!(
        end(lost(Kind::Inside, 196), &[batch(&[20, 200])]),
        Some(Why::Due)
    );
    // It can meet none.
    assert_eq!(end(lost(Kind::Inside, 40), &[batch(&[])]), None);
    assert_eq!(end(lost(Kind::Inside, 120), &[batch(&[])]), Some(Why::Late));
}
