//! Tests of `tracker`.

use super::*;
use crate::constants::PEER_FAILURE_MIN_SILENCE_MS;
use crate::controller::HeardWorker;

const WALL: WallMs = 1_700_000_000_000;

fn heard_worker(machine: &str, incarnation: u64, sequence: u64, age_ms: Millis) -> HeardWorker {
    HeardWorker {
        machine: machine.into(),
        incarnation,
        sequence,
        age_ms,
    }
}

fn tracker() -> PeerTracker {
    let members = ["a", "b", "c"].map(String::from).to_vec();
    let membership = Membership {
        own_name: "a".into(),
        members,
        clock_off_ms: 1_000,
        worker_failover_ms: 11_250,
        tuning: Tuning::default(),
    };
    PeerTracker::of(membership, WALL)
}

fn heartbeat(controller: &str, at: Millis, count: u64, heard_peers: &[&str]) -> PeerHeartbeat {
    let heard = (0..20).map(|i| heard_worker(&format!("{controller}-{i}"), 1, 1 + at / 5_000, 100));
    PeerHeartbeat {
        controller: controller.into(),
        at: WALL + at,
        has_current_state: true,
        workers_reachable: true,
        workers: heard.collect(),
        status: Some(ControllerStatus {
            life: WALL,
            count,
            heard_peers: heard_peers.iter().map(|n| n.to_string()).collect(),
            ..ControllerStatus::default()
        }),
        ..PeerHeartbeat::default()
    }
}

/// Both peers heartbeat regularly for so long.
fn followed(s: &mut PeerTracker, until: Millis) {
    for i in 0..until / 500 {
        let at = i * 500;
        for (controller, other) in [("b", "c"), ("c", "b")] {
            let outcome = s.receive_heartbeat(
                at,
                WALL + at,
                heartbeat(controller, at, i, &[other, "a"]),
                &HashMap::new(),
            );
            assert!(outcome == HeartbeatOutcome::Accepted, "{outcome:?}");
        }
        s.judge(at);
    }
}

fn status(s: &mut PeerTracker, now: Millis, controller: &str) -> PeerStatus {
    s.judge(now);
    s.peer(controller).unwrap().status()
}

#[test]
fn an_end_shows_at_once_and_silence_only_when_beats_are_missed() {
    let mut s = tracker();
    followed(&mut s, 10_000);
    assert_eq!(status(&mut s, 10_300, "b"), PeerStatus::Healthy);
    s.link_ended("b");
    assert_eq!(status(&mut s, 10_301, "b"), PeerStatus::Exited);
    assert!(!s.fresh(10_301).any(|x| x.heartbeat.controller == "b"));
    // Its next life is heard: all is forgiven.
    let mut again = heartbeat("b", 10_400, 0, &[]);
    again.status.as_mut().unwrap().life += 10_400;
    s.receive_heartbeat(10_400, WALL + 10_400, again, &HashMap::new());
    assert_eq!(status(&mut s, 10_400, "b"), PeerStatus::Healthy);
    // c has been silent since 9,500.
    assert_eq!(status(&mut s, 10_500, "c"), PeerStatus::Healthy);
    assert_eq!(status(&mut s, 10_900, "c"), PeerStatus::Silent);
}

#[test]
fn what_its_workers_do_tells_a_frozen_node_from_a_broken_link() {
    let mut s = tracker();
    followed(&mut s, 10_000);
    let go_on = |s: &mut PeerTracker, at, heard_peers: &[&str]| {
        s.receive_heartbeat(
            at,
            WALL + at,
            heartbeat("c", at, at / 500, heard_peers),
            &HashMap::new(),
        );
    };
    go_on(&mut s, 11_500, &["a"]);
    assert_eq!(status(&mut s, 11_500, "b"), PeerStatus::Silent);
    // Its workers turn up here.
    for i in 0..6 {
        s.note_failover_of(&format!("b-{i}"));
    }
    assert_eq!(status(&mut s, 11_600, "b"), PeerStatus::WorkersFailingOver);
    // The other way round: they stay away for longer than they would need.
    let mut s = tracker();
    followed(&mut s, 10_000);
    go_on(&mut s, 21_000, &["a"]);
    assert_eq!(status(&mut s, 21_000, "b"), PeerStatus::CutOffWithWorkers);
    // Or a peer says that it hears it.
    let mut s = tracker();
    followed(&mut s, 10_000);
    go_on(&mut s, 12_000, &["a", "b"]);
    assert_eq!(status(&mut s, 12_000, "b"), PeerStatus::LinkLost);
    assert_eq!(s.serving(12_000), 2);
}

#[test]
fn a_takeover_is_over_when_its_machines_are_heard() {
    let mut s = tracker();
    followed(&mut s, 10_000);
    s.link_ended("b");
    let (judged, over) = s.judge(10_100);
    assert_eq!((judged.len(), judged[0].workers, over.len()), (1, 20, 0));
    for i in 0..12 {
        s.note_failover_of(&format!("b-{i}"));
    }
    // The others have turned to c.
    let mut both = heartbeat("c", 13_000, 30, &["a"]);
    both.workers
        .extend((12..20).map(|i| heard_worker(&format!("b-{i}"), 1, 9, 50)));
    s.receive_heartbeat(13_000, WALL + 13_000, both, &HashMap::new());
    let (_, over) = s.judge(13_000);
    let over = &over[0];
    assert_eq!(
        (over.workers, over.missing, over.duration_ms),
        (20, 0, 3_500)
    );
    assert_eq!(s.peer("c").unwrap().workers.len(), 28);
}

#[test]
fn bad_beats_teach_nothing() {
    let mut s = tracker();
    followed(&mut s, 10_000);
    let now = 10_100;
    let mut cases = vec![
        (
            heartbeat("x", now, 99, &[]),
            RejectedHeartbeat::UnknownController,
        ),
        (
            heartbeat("a", now, 99, &[]),
            RejectedHeartbeat::UnknownController,
        ),
        (heartbeat("b", now, 19, &[]), RejectedHeartbeat::Duplicate),
        (heartbeat("b", now, 3, &[]), RejectedHeartbeat::Duplicate),
        (
            heartbeat("b", now + 60_000, 99, &[]),
            RejectedHeartbeat::FromTheFuture,
        ),
        (heartbeat("b", 0, 99, &[]), RejectedHeartbeat::TooOld),
        (
            heartbeat("b", now, 99, &[]),
            RejectedHeartbeat::EarlierProcess,
        ),
        (heartbeat("b", now, 99, &[]), RejectedHeartbeat::TooLarge),
    ];
    cases[6].0.status.as_mut().unwrap().life -= 1;
    cases[7].0.workers = (0..=HEARTBEAT_MAX_MACHINES)
        .map(|i| heard_worker(&format!("z-{i}"), 1, 1, 1))
        .collect();
    for (mut bad, why) in cases {
        bad.workers.push(heard_worker("forged", 9, 9, 0));
        let outcome = s.receive_heartbeat(now, WALL + now, bad, &HashMap::new());
        assert_eq!(outcome, HeartbeatOutcome::Rejected(why));
        assert!(s.observation("forged").is_none());
    }
    assert_eq!(
        s.take_rejected(METRICS_INTERVAL_MS)
            .iter()
            .map(|(_, n)| n)
            .sum::<u64>(),
        8
    );
    assert!(s.take_rejected(METRICS_INTERVAL_MS).is_empty());
}

/// It would never have been heard again.
#[test]
fn a_life_that_seems_earlier_counts_once_the_other_has_ended() {
    let mut s = tracker();
    followed(&mut s, 10_000);
    let mut next = heartbeat("b", 10_200, 0, &[]);
    next.status.as_mut().unwrap().life -= 300;
    let heed = |s: &mut PeerTracker, at, heartbeat: &PeerHeartbeat| {
        s.receive_heartbeat(at, WALL + at, heartbeat.clone(), &HashMap::new())
    };
    let dropped = HeartbeatOutcome::Rejected(RejectedHeartbeat::EarlierProcess);
    assert_eq!(heed(&mut s, 10_200, &next), dropped);
    s.link_ended("b");
    assert_eq!(heed(&mut s, 10_300, &next), HeartbeatOutcome::Accepted);
    assert_eq!(status(&mut s, 10_300, "b"), PeerStatus::Healthy);
    let late = heartbeat("b", 10_400, 90, &[]);
    assert_eq!(
        heed(&mut s, 10_400, &late),
        HeartbeatOutcome::Accepted,
        "a later one is its next"
    );
}

#[test]
fn irregular_beats_are_given_more_time() {
    let mut regular = HeartbeatIntervals::new();
    let mut wild = HeartbeatIntervals::new();
    for i in 0..40 {
        regular.observe(500 + i % 3 * 20);
        wild.observe([300, 1_100][i as usize % 2]);
    }
    assert_eq!(
        regular.timeout_ms(PEER_FAILURE_MIN_SILENCE_MS),
        PEER_FAILURE_MIN_SILENCE_MS
    );
    let patience = wild.timeout_ms(PEER_FAILURE_MIN_SILENCE_MS);
    assert!(patience > 2_000 && patience <= PEER_HEARTBEAT_EXPIRY_MS);
    assert!(!regular.is_slow());
    for _ in 0..40 {
        wild.observe(1_400);
    }
    assert!(wild.is_slow());
}
