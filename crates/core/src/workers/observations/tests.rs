//! Tests of `observations`.

use super::*;

#[test]
fn reset_after_pause_keeps_first_seen_and_answered() {
    let mut observations = MachineObservations::new();
    let entry = observations.entry("n-1");
    (entry.first_seen_at, entry.up_since, entry.probed_at) = (Some(1), Some(2), Some(3));
    (entry.answered_at, entry.unanswered_at) = (Some(4), Some(5));
    observations.reset_after_pause();
    let observation = observations.get("n-1");
    assert_eq!(
        (observation.first_seen_at, observation.answered_at),
        (Some(1), Some(4))
    );
    assert_eq!(
        (
            observation.up_since,
            observation.probed_at,
            observation.unanswered_at
        ),
        (None, None, None)
    );
}

#[test]
fn entries_of_deleted_machines_release_their_memory() {
    let mut observations = MachineObservations::new();
    for n in 0..4_000 {
        observations.entry(&format!("n-{n}")).first_seen_at = Some(n);
    }
    observations.retain_recorded(|id| id == "n-7");
    assert_eq!(observations.get("n-7").first_seen_at, Some(7));
    assert_eq!(observations.get("n-8").first_seen_at, None);
    assert!(
        observations.machines.capacity() < 200,
        "{}",
        observations.machines.capacity()
    );
}
