//! Packed histories are read back as written, and damaged ones are rejected.

use glenmount_runtime_estimates::estimator::{JobDescription, RunTimeEstimator};
use glenmount_runtime_estimates::history::{History, Packed, RunBatch};
use glenmount_runtime_estimates::{Run, RunOutcome};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn runs() -> impl Strategy<Value = Vec<Run>> {
    let run = (0..40u8, 0..3u8, -1.0..5e6f64, -1.0..5e6f64, any::<bool>());
    let run = run.prop_map(|(job, image, owner_estimate_s, run_time_s, done)| Run {
        team: "t".into(),
        class: "c".into(),
        image: format!("i{image}"),
        job: format!("j-{job}"),
        owner_estimate_s,
        run_time_s,
        outcome: if done {
            RunOutcome::Completed
        } else {
            RunOutcome::LowerBound
        },
    });
    prop::collection::vec(run, 0..200)
}

fn history(runs: &[Run]) -> History {
    let mut history = History::default();
    runs.iter()
        .for_each(|r| history.add_batch(&RunBatch::from_run(r)));
    history
}

fn check_estimates(estimator: &mut RunTimeEstimator, run: &Run) {
    let distribution = estimator.distribution(&JobDescription::from(run));
    let estimate = distribution.estimate();
    assert!(
        estimate.low_s > 0.0
            && estimate.low_s <= estimate.median_s
            && estimate.median_s <= estimate.high_s
    );
    assert!(estimate.high_s.is_finite());
    for elapsed in [0.0, 1.0, 1e3, 1e9] {
        let (soon, late) = (
            distribution.remaining_s(elapsed, 0.1),
            distribution.remaining_s(elapsed, 0.9),
        );
        assert!(soon >= 0.0 && soon <= late + 0.01 * late && late.is_finite());
    }
}

proptest! {
    // A fixed seed draws the same cases in each run.
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn packed_histories_are_read_as_written(runs in runs()) {
        let history = history(&runs);
        let packed = history.pack();
        let text = serde_json::to_string(&packed).unwrap();
        prop_assert!(text.len() < 460, "{}", text.len());
        let read = History::unpack(&serde_json::from_str::<Packed>(&text).unwrap()).unwrap();
        prop_assert_eq!(read.runs, history.runs);
        prop_assert_eq!(read.jobs().len(), history.jobs().len());
        for (a, b) in read.jobs().iter().zip(history.jobs()) {
            prop_assert_eq!((a.id_hash, a.image_hash, a.runs), (b.id_hash, b.image_hash, b.runs));
            prop_assert!((a.mean - b.mean).abs() < 1e-3);
        }
        // Packing again yields the same bytes, so that values do not drift over restarts.
        prop_assert_eq!(read.pack(), packed);
    }

    /// Estimates are finite and in order for arbitrary runs.
    #[test]
    fn estimates_are_finite_and_in_order(runs in runs(), queried in runs()) {
        let mut estimator = RunTimeEstimator::default();
        runs.iter().for_each(|r| estimator.add_run(r));
        queried.iter().take(5).for_each(|r| check_estimates(&mut estimator, r));
    }

    /// A packed history with one changed bit is rejected.
    #[test]
    fn damage_is_detected(runs in runs(), at in any::<prop::sample::Index>(), bit in 0..7u8) {
        let text = serde_json::to_string(&history(&runs).pack()).unwrap();
        let mut bytes = text.clone().into_bytes();
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        if let Ok(packed) = serde_json::from_slice::<Packed>(&bytes) {
            let same = serde_json::from_str::<Packed>(&text).unwrap() == packed;
            prop_assert!(same || History::unpack(&packed).is_none());
        }
    }

    /// Arbitrary packed histories are rejected.
    #[test]
    fn arbitrary_packed_histories_are_rejected(jobs in "[A-Za-z0-9+/]{0,400}", numbers in any::<[u32; 4]>()) {
        let text = format!(
            r#"{{"j":"{jobs}","w":{},"k":{},"n":{},"s":{}}}"#,
            numbers[0], numbers[1], numbers[2], numbers[3]
        );
        if let Ok(packed) = serde_json::from_str::<Packed>(&text) {
            prop_assert!(History::unpack(&packed).is_none());
        }
    }

    /// The split of runs over controllers and records makes no difference beyond rounding.
    #[test]
    fn runs_in_two_batches_count_as_in_one(runs in runs(), cut in any::<prop::sample::Index>()) {
        let done: Vec<Run> = (runs.into_iter())
            .filter(|r| r.outcome == RunOutcome::Completed)
            .map(|r| Run { job: "j-1".into(), ..r })
            .take(200)
            .collect();
        prop_assume!(done.len() > 1);
        let cut = cut.index(done.len());
        let sum = |runs: &[Run]| {
            let mut all = RunBatch::from_run(&runs[0]);
            runs[1..].iter().for_each(|r| all.add(&RunBatch::from_run(r)));
            all
        };
        let mut in_two_batches = History::default();
        for part in [&done[..cut], &done[cut..]] {
            if !part.is_empty() {
                in_two_batches.add_batch(&sum(part));
            }
        }
        let mut whole = History::default();
        whole.add_batch(&sum(&done));
        prop_assert!((in_two_batches.jobs()[0].mean - whole.jobs()[0].mean).abs() < 1e-6);
        // Equal to the thousandths that are stored.
        prop_assert_eq!(in_two_batches.pack(), whole.pack());
    }
}
