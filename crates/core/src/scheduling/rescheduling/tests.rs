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

fn task_names(chosen: &[MigrationCandidate]) -> Vec<String> {
    chosen.iter().map(|c| c.task.to_string()).collect()
}

#[test]
fn leaving_machine_comes_first_and_a_small_gain_is_rejected() {
    let mut history = MigrationHistory::default();
    let candidates = vec![
        candidate("a", 0, MigrationReason::ZoneSpread, 20.0, 2.0),
        candidate("b", 0, MigrationReason::ZoneSpread, 20.0, 15.0),
        candidate("c", 0, MigrationReason::MachineLeaving, 0.0, 5.0),
    ];
    let chosen = history.choose(1_000, candidates, 9, &BTreeSet::new());
    assert_eq!(task_names(&chosen), ["c/0", "a/0"]);
}

/// Holds for random candidates over many rounds.
#[test]
fn no_service_loses_two_tasks_and_no_task_migrates_twice_soon() {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut history = MigrationHistory::default();
    let mut migrated_at: BTreeMap<TaskId, Millis> = BTreeMap::new();
    for round in 0..400 {
        let now = round * 10_000;
        let candidates: Vec<MigrationCandidate> = (0..30)
            .map(|_| {
                let job = ["a", "b", "c", "d"][rng.gen_range(0..4)];
                let gain_s = rng.gen_range(0.0..30.0);
                candidate(
                    job,
                    rng.gen_range(0..6),
                    MigrationReason::ZoneSpread,
                    gain_s,
                    4.0,
                )
            })
            .collect();
        let incomplete = BTreeSet::from(["d".to_string()]);
        let max = rng.gen_range(0..4);
        let chosen = history.choose(now, candidates, max, &incomplete);
        assert!(chosen.len() <= max);
        let services: BTreeSet<&str> = chosen.iter().map(|c| c.task.job.as_str()).collect();
        assert_eq!(
            services.len(),
            chosen.len(),
            "one task of a service at a time"
        );
        for migration in chosen {
            assert!(
                migration.task.job != "d"
                    && migration.gain_s >= MIGRATION_MIN_GAIN_FACTOR * migration.cost_s
            );
            let previous_at = migrated_at.insert(migration.task.clone(), now);
            assert!(previous_at.is_none_or(|at| now >= at + MIGRATION_REPEAT_DELAY_MS));
        }
    }
}

#[test]
fn spread_gains_only_above_the_zone_share() {
    assert_eq!(spread_gain_s(4, 2, 2), 0.0);
    assert_eq!(spread_gain_s(4, 3, 2), SPREAD_GAIN_S);
    assert_eq!(spread_gain_s(5, 3, 2), 0.0);
    assert_eq!(spread_gain_s(1, 1, 3), 0.0);
    assert_eq!(spread_gain_s(3, 3, 1), 0.0);
}
