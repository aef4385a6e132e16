//! Tests of `observations`.

use super::*;

#[test]
fn a_wake_forgets_reasons_to_act_and_nothing_else() {
    let mut signs = MachineObservations::new();
    let of = signs.note("n-1");
    (of.first_seen_at, of.up_since, of.probed_at) = (Some(1), Some(2), Some(3));
    (of.answered_at, of.unanswered_at) = (Some(4), Some(5));
    signs.reset_after_pause();
    let of = signs.of("n-1");
    assert_eq!((of.first_seen_at, of.answered_at), (Some(1), Some(4)));
    assert_eq!(
        (of.up_since, of.probed_at, of.unanswered_at),
        (None, None, None)
    );
}

#[test]
fn machines_that_are_gone_leave_no_room_behind() {
    let mut signs = MachineObservations::new();
    for n in 0..4_000 {
        signs.note(&format!("n-{n}")).first_seen_at = Some(n);
    }
    signs.forget(|id| id == "n-7");
    assert_eq!(signs.of("n-7").first_seen_at, Some(7));
    assert_eq!(signs.of("n-8").first_seen_at, None);
    assert!(
        signs.machines.capacity() < 200,
        "{}",
        signs.machines.capacity()
    );
}
