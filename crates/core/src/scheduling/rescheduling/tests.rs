//! Tests of `rescheduling`.

use super::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn candidate(
    job: &str,
    index: u32,
    reason: MigrationReason,
    gain_s: f64,
    cost_s: f64,
) -> MigrationCandidate {
    let job = job.to_string();
    MigrationCandidate {
        task: TaskId { job, index },
        attempt: 1,
        machine: format!("n-{index}"),
        reason,
        gain_s,
        cost_s,
    }
}

fn names(chosen: &[MigrationCandidate]) -> Vec<String> {
    chosen.iter().map(|w| w.task.to_string()).collect()
}

#[test]
fn leaving_goes_first_and_little_gain_is_no_reason() {
    let mut history = MigrationHistory::default();
    let candidates = vec![
        candidate("a", 0, MigrationReason::Spread, 20.0, 2.0),
        candidate("b", 0, MigrationReason::Spread, 20.0, 15.0),
        candidate("c", 0, MigrationReason::Leaving, 0.0, 5.0),
    ];
    let chosen = history.choose(1_000, candidates, 9, &BTreeSet::new());
    assert_eq!(names(&chosen), ["c/0", "a/0"]);
}

/// Whatever the candidates are, however often.
#[test]
fn a_service_never_loses_two_and_no_task_moves_twice_soon() {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut history = MigrationHistory::default();
    let mut last: BTreeMap<TaskId, Millis> = BTreeMap::new();
    for round in 0..400 {
        let now = round * 10_000;
        let candidates: Vec<MigrationCandidate> = (0..30)
            .map(|_| {
                let job = ["a", "b", "c", "d"][rng.gen_range(0..4)];
                let gain = rng.gen_range(0.0..30.0);
                candidate(job, rng.gen_range(0..6), MigrationReason::Spread, gain, 4.0)
            })
            .collect();
        let missing = BTreeSet::from(["d".to_string()]);
        let most = rng.gen_range(0..4);
        let chosen = history.choose(now, candidates, most, &missing);
        assert!(chosen.len() <= most);
        let services: BTreeSet<&str> = chosen.iter().map(|w| w.task.job.as_str()).collect();
        assert_eq!(services.len(), chosen.len(), "one of a service at a time");
        for w in chosen {
            assert!(w.task.job != "d" && w.gain_s >= MIGRATION_MIN_GAIN_FACTOR * w.cost_s);
            let before = last.insert(w.task.clone(), now);
            assert!(before.is_none_or(|at| now >= at + MIGRATION_REPEAT_DELAY_MS));
        }
    }
}

#[test]
fn evening_out_gains_only_beyond_a_zones_share() {
    assert_eq!(spread_gain_s(4, 2, 2), 0.0);
    assert_eq!(spread_gain_s(4, 3, 2), SPREAD_GAIN_S);
    assert_eq!(spread_gain_s(5, 3, 2), 0.0);
    assert_eq!(spread_gain_s(1, 1, 3), 0.0);
    assert_eq!(spread_gain_s(3, 3, 1), 0.0);
}
