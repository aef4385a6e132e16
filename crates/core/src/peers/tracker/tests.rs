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

fn new_tracker() -> PeerTracker {
    let members = ["a", "b", "c"].map(String::from).to_vec();
    let membership = Membership {
        own_name: "a".into(),
        members,
        clock_skew_ms: 1_000,
        worker_failover_ms: 11_250,
        tuning: Tuning::default(),
    };
    PeerTracker::with_membership(membership, WALL)
}

fn heartbeat(controller: &str, at: Millis, sequence: u64, heard_peers: &[&str]) -> PeerHeartbeat {
    let heard = (0..20).map(|i| heard_worker(&format!("{controller}-{i}"), 1, 1 + at / 5_000, 100));
    PeerHeartbeat {
        controller: controller.into(),
        sent_at: WALL + at,
        has_current_state: true,
        workers_reachable: true,
        workers: heard.collect(),
        status: Some(ControllerStatus {
            process_started_at: WALL,
            sequence,
            heard_peers: heard_peers.iter().map(|n| n.to_string()).collect(),
            ..ControllerStatus::default()
        }),
        ..PeerHeartbeat::default()
    }
}

/// Has both peers send regular heartbeats until a time.
fn receive_regular_heartbeats(tracker: &mut PeerTracker, until_ms: Millis) {
    for count in 0..until_ms / 500 {
        let at = count * 500;
        for (controller, other) in [("b", "c"), ("c", "b")] {
            let outcome = tracker.receive_heartbeat(
                at,
                WALL + at,
                heartbeat(controller, at, count, &[other, "a"]),
                &HashMap::new(),
            );
            assert!(outcome == HeartbeatOutcome::Accepted, "{outcome:?}");
        }
        tracker.assess(at);
    }
}

fn status(tracker: &mut PeerTracker, now: Millis, controller: &str) -> PeerStatus {
    tracker.assess(now);
    tracker.peer(controller).unwrap().status()
}

#[test]
fn link_end_is_detected_at_once_and_silence_after_missed_heartbeats() {
    let mut tracker = new_tracker();
    receive_regular_heartbeats(&mut tracker, 10_000);
    assert_eq!(status(&mut tracker, 10_300, "b"), PeerStatus::Healthy);
    tracker.link_ended("b");
    assert_eq!(status(&mut tracker, 10_301, "b"), PeerStatus::Exited);
    assert!(!tracker
        .live(10_301)
        .any(|peer| peer.heartbeat.controller == "b"));
    // A heartbeat of its next process makes it healthy again.
    let mut after_restart = heartbeat("b", 10_400, 0, &[]);
    after_restart.status.as_mut().unwrap().process_started_at += 10_400;
    tracker.receive_heartbeat(10_400, WALL + 10_400, after_restart, &HashMap::new());
    assert_eq!(status(&mut tracker, 10_400, "b"), PeerStatus::Healthy);
    // The last heartbeat of c came at 9,500 ms.
    assert_eq!(status(&mut tracker, 10_500, "c"), PeerStatus::Healthy);
    assert_eq!(status(&mut tracker, 10_900, "c"), PeerStatus::Silent);
}

#[test]
fn workers_and_other_peers_distinguish_paused_peer_from_lost_link() {
    let mut tracker = new_tracker();
    receive_regular_heartbeats(&mut tracker, 10_000);
    let receive_from_c = |tracker: &mut PeerTracker, at, heard_peers: &[&str]| {
        tracker.receive_heartbeat(
            at,
            WALL + at,
            heartbeat("c", at, at / 500, heard_peers),
            &HashMap::new(),
        );
    };
    receive_from_c(&mut tracker, 11_500, &["a"]);
    assert_eq!(status(&mut tracker, 11_500, "b"), PeerStatus::Silent);
    // Its workers switch to this controller.
    for i in 0..6 {
        tracker.record_worker_failover(&format!("b-{i}"));
    }
    assert_eq!(
        status(&mut tracker, 11_600, "b"),
        PeerStatus::WorkersFailingOver
    );
    // Its workers do not switch, although they have had the time to.
    let mut tracker = new_tracker();
    receive_regular_heartbeats(&mut tracker, 10_000);
    receive_from_c(&mut tracker, 21_000, &["a"]);
    assert_eq!(
        status(&mut tracker, 21_000, "b"),
        PeerStatus::CutOffWithWorkers
    );
    // Another peer reports that it receives its heartbeats.
    let mut tracker = new_tracker();
    receive_regular_heartbeats(&mut tracker, 10_000);
    receive_from_c(&mut tracker, 12_000, &["a", "b"]);
    assert_eq!(status(&mut tracker, 12_000, "b"), PeerStatus::LinkLost);
    assert_eq!(tracker.heard_count(12_000), 2);
}

#[test]
fn failover_completes_when_its_workers_are_heard() {
    let mut tracker = new_tracker();
    receive_regular_heartbeats(&mut tracker, 10_000);
    tracker.link_ended("b");
    let (changes, completed) = tracker.assess(10_100);
    assert_eq!(
        (changes.len(), changes[0].workers, completed.len()),
        (1, 20, 0)
    );
    for i in 0..12 {
        tracker.record_worker_failover(&format!("b-{i}"));
    }
    // The other workers have switched to c.
    let mut from_c = heartbeat("c", 13_000, 30, &["a"]);
    from_c
        .workers
        .extend((12..20).map(|i| heard_worker(&format!("b-{i}"), 1, 9, 50)));
    tracker.receive_heartbeat(13_000, WALL + 13_000, from_c, &HashMap::new());
    let (_, completed) = tracker.assess(13_000);
    let failover = &completed[0];
    assert_eq!(
        (failover.workers, failover.missing, failover.duration_ms),
        (20, 0, 3_500)
    );
    assert_eq!(tracker.peer("c").unwrap().workers.len(), 28);
}

#[test]
fn invalid_heartbeats_are_rejected_and_change_no_observation() {
    let mut tracker = new_tracker();
    receive_regular_heartbeats(&mut tracker, 10_000);
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
    cases[6].0.status.as_mut().unwrap().process_started_at -= 1;
    cases[7].0.workers = (0..=HEARTBEAT_MAX_MACHINES)
        .map(|i| heard_worker(&format!("z-{i}"), 1, 1, 1))
        .collect();
    for (mut invalid, reason) in cases {
        invalid.workers.push(heard_worker("forged", 9, 9, 0));
        let outcome = tracker.receive_heartbeat(now, WALL + now, invalid, &HashMap::new());
        assert_eq!(outcome, HeartbeatOutcome::Rejected(reason));
        assert!(tracker.observation("forged").is_none());
    }
    assert_eq!(
        tracker
            .take_rejected(METRICS_INTERVAL_MS)
            .iter()
            .map(|(_, count)| count)
            .sum::<u64>(),
        8
    );
    assert!(tracker.take_rejected(METRICS_INTERVAL_MS).is_empty());
}

/// A controller that restarts after its wall clock was set back seems to be an earlier process of itself. Without
/// the rule its heartbeats would be rejected until its wall clock has caught up.
#[test]
fn process_with_earlier_start_is_accepted_after_link_end() {
    let mut tracker = new_tracker();
    receive_regular_heartbeats(&mut tracker, 10_000);
    let mut after_restart = heartbeat("b", 10_200, 0, &[]);
    after_restart.status.as_mut().unwrap().process_started_at -= 300;
    let receive = |tracker: &mut PeerTracker, at, heartbeat: &PeerHeartbeat| {
        tracker.receive_heartbeat(at, WALL + at, heartbeat.clone(), &HashMap::new())
    };
    let rejected = HeartbeatOutcome::Rejected(RejectedHeartbeat::EarlierProcess);
    assert_eq!(receive(&mut tracker, 10_200, &after_restart), rejected);
    tracker.link_ended("b");
    assert_eq!(
        receive(&mut tracker, 10_300, &after_restart),
        HeartbeatOutcome::Accepted
    );
    assert_eq!(status(&mut tracker, 10_300, "b"), PeerStatus::Healthy);
    let later_process = heartbeat("b", 10_400, 90, &[]);
    assert_eq!(
        receive(&mut tracker, 10_400, &later_process),
        HeartbeatOutcome::Accepted,
        "a later process is accepted as its successor"
    );
}

#[test]
fn irregular_heartbeats_get_longer_timeout() {
    let mut regular = HeartbeatIntervals::new();
    let mut irregular = HeartbeatIntervals::new();
    for i in 0..40 {
        regular.observe(500 + i % 3 * 20);
        irregular.observe([300, 1_100][i as usize % 2]);
    }
    assert_eq!(
        regular.timeout_ms(PEER_FAILURE_MIN_SILENCE_MS),
        PEER_FAILURE_MIN_SILENCE_MS
    );
    let timeout_ms = irregular.timeout_ms(PEER_FAILURE_MIN_SILENCE_MS);
    assert!(timeout_ms > 2_000 && timeout_ms <= PEER_HEARTBEAT_EXPIRY_MS);
    assert!(!regular.is_slow());
    for _ in 0..40 {
        irregular.observe(1_400);
    }
    assert!(irregular.is_slow());
}
