//! Checks estimates on histories that are drawn from known distributions.

use glenmount_runtime_estimates::constants::CLASSES_MAX;
use glenmount_runtime_estimates::estimator::{JobDescription, RunTimeEstimator};
use glenmount_runtime_estimates::{Run, RunOutcome};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Normal};

/// Draws jobs from known distributions.
struct RunSource {
    rng: SmallRng,
    next_job: u64,
}

impl RunSource {
    fn new(seed: u64) -> RunSource {
        RunSource {
            rng: SmallRng::seed_from_u64(seed),
            next_job: 0,
        }
    }
    fn normal(&mut self, sd: f64) -> f64 {
        Normal::new(0.0, sd).unwrap().sample(&mut self.rng)
    }
    /// Returns the runs of a job whose tasks take about `run_time_s`.
    fn job(
        &mut self,
        class: &str,
        run_time_s: f64,
        owner_estimate_s: f64,
        tasks: u32,
        within_job_sd: f64,
    ) -> Vec<Run> {
        self.next_job += 1;
        let job = format!("j-{}", self.next_job);
        (0..tasks)
            .map(|_| Run {
                team: "red".into(),
                class: class.into(),
                image: "img".into(),
                job: job.clone(),
                owner_estimate_s,
                run_time_s: run_time_s * self.normal(within_job_sd).exp(),
                outcome: RunOutcome::Completed,
            })
            .collect()
    }
}

/// Errors of estimates in logarithms, and the number of runs within their intervals.
#[derive(Default)]
struct Score {
    errors: Vec<f64>,
    owner_errors: Vec<f64>,
    covered: usize,
}

impl Score {
    fn record(&mut self, estimator: &mut RunTimeEstimator, run: &Run) {
        let estimate = estimator
            .distribution(&JobDescription::from(run))
            .estimate();
        assert!(estimate.low_s <= estimate.median_s && estimate.median_s <= estimate.high_s);
        self.errors
            .push((run.run_time_s / estimate.median_s).ln().abs());
        self.owner_errors
            .push((run.run_time_s / run.owner_estimate_s).ln().abs());
        self.covered += usize::from((estimate.low_s..=estimate.high_s).contains(&run.run_time_s));
    }
    fn coverage(&self) -> f64 {
        self.covered as f64 / self.errors.len() as f64
    }
    fn median(values: &[f64]) -> f64 {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        sorted[sorted.len() / 2]
    }
}

fn median_s(estimator: &mut RunTimeEstimator, run: &Run) -> f64 {
    estimator
        .distribution(&JobDescription::from(run))
        .estimate()
        .median_s
}

#[test]
fn intervals_cover_about_ninety_percent_for_several_kinds_of_work() {
    // Deviation between jobs, error of the owner's estimates, deviation within jobs, tasks.
    let kinds = [
        (0.7, 0.5, 0.2, 20),
        (0.3, 0.5, 0.1, 1),
        (1.0, 0.3, 0.4, 5),
        (0.1, 0.8, 0.05, 2),
    ];
    for (i, (spread, error, within, tasks)) in kinds.into_iter().enumerate() {
        let mut score = Score::default();
        for seed in 0..12 {
            let (mut source, mut estimator) = (RunSource::new(seed), RunTimeEstimator::default());
            for n in 0..60 {
                let secs = 40.0 * source.normal(spread).exp();
                let owner_estimate_s = secs * source.normal(error).exp();
                let runs = source.job("redraw", secs, owner_estimate_s, tasks, within);
                for (t, run) in runs.iter().enumerate() {
                    if n >= 10 && t < 3 {
                        score.record(&mut estimator, run);
                    }
                    estimator.add_run(run);
                }
            }
        }
        let coverage = score.coverage();
        assert!((0.85..=0.96).contains(&coverage), "kind {i}: {coverage}");
        let (own, owner) = (
            Score::median(&score.errors),
            Score::median(&score.owner_errors),
        );
        assert!(own < owner, "kind {i}: {own} against the owner's {owner}");
    }
}

#[test]
fn estimates_of_a_class_with_history_have_half_the_error_of_the_owners() {
    let mut score = Score::default();
    let (mut source, mut estimator) = (RunSource::new(5), RunTimeEstimator::default());
    for n in 0..80 {
        let secs = 40.0 * source.normal(0.2).exp();
        let owner_estimate_s = secs * source.normal(0.6).exp();
        for run in source.job("report", secs, owner_estimate_s, 1, 0.1) {
            if n >= 10 {
                score.record(&mut estimator, &run);
            }
            estimator.add_run(&run);
        }
    }
    let (own, owner) = (
        Score::median(&score.errors),
        Score::median(&score.owner_errors),
    );
    assert!(own <= owner / 2.0, "{own} against {owner}");
}

#[test]
fn without_history_the_owners_estimate_is_corrected_by_the_bias_of_other_classes() {
    let (mut source, mut estimator) = (RunSource::new(1), RunTimeEstimator::default());
    let run = source.job("new", 100.0, 100.0, 1, 0.0).remove(0);
    let first = estimator
        .distribution(&JobDescription::from(&run))
        .estimate();
    assert!((first.median_s / 100.0).ln().abs() < 0.02);
    assert!(
        first.high_s > 200.0 && first.low_s < 50.0,
        "the interval is too narrow"
    );
    // All runs take twice the owners' estimates.
    for class in ["a", "b", "c"] {
        for _ in 0..6 {
            let secs = 60.0 * source.normal(0.3).exp();
            let owner_estimate_s = secs / 2.0 * source.normal(0.1).exp();
            for run in source.job(class, secs, owner_estimate_s, 1, 0.05) {
                estimator.add_run(&run);
            }
        }
    }
    let corrected = median_s(&mut estimator, &run);
    assert!((150.0..230.0).contains(&corrected), "{corrected}");
    // A team without history, and no owner's estimate.
    let without_estimate = Run {
        owner_estimate_s: 0.0,
        team: "other".into(),
        ..run
    };
    let estimate = estimator
        .distribution(&JobDescription::from(&without_estimate))
        .estimate();
    assert!(estimate.high_s / estimate.low_s > 20.0);
}

#[test]
fn a_change_of_level_is_followed_within_five_runs_and_an_outlier_is_ignored() {
    let mut delays_runs = Vec::new();
    for seed in 0..20 {
        let (mut source, mut estimator) = (RunSource::new(seed), RunTimeEstimator::default());
        let run_once = |source: &mut RunSource, estimator: &mut RunTimeEstimator, secs: f64| {
            let secs = secs * source.normal(0.12).exp();
            let run = source.job("report", secs, 120.0, 1, 0.05).remove(0);
            let before = median_s(estimator, &run);
            estimator.add_run(&run);
            before
        };
        for _ in 0..20 {
            run_once(&mut source, &mut estimator, 120.0);
        }
        // An outlier: ten times as long.
        run_once(&mut source, &mut estimator, 1_200.0);
        let after = run_once(&mut source, &mut estimator, 120.0);
        assert!((after / 120.0).ln().abs() < 0.15, "seed {seed}: {after}");
        for _ in 0..8 {
            run_once(&mut source, &mut estimator, 120.0);
        }
        let mut runs = 0;
        while (run_once(&mut source, &mut estimator, 240.0) / 240.0)
            .ln()
            .abs()
            > 0.25
        {
            runs += 1;
            assert!(runs < 40);
        }
        delays_runs.push(runs);
    }
    delays_runs.sort();
    assert!(delays_runs[17] <= 5, "{delays_runs:?}");
}

#[test]
fn owners_estimates_with_a_bias_of_half_for_a_day_are_corrected() {
    let (mut source, mut estimator) = (RunSource::new(9), RunTimeEstimator::default());
    let mut day = |estimator: &mut RunTimeEstimator, bias: f64, jobs: usize| {
        let mut errors = Vec::new();
        for _ in 0..jobs {
            let secs = 50.0 * source.normal(0.8).exp();
            let owner_estimate_s = secs * bias * source.normal(0.1).exp();
            for run in source.job("map", secs, owner_estimate_s, 1, 0.05) {
                errors.push((run.run_time_s / median_s(estimator, &run)).ln().abs());
                estimator.add_run(&run);
            }
        }
        errors
    };
    day(&mut estimator, 1.0, 30);
    let low = day(&mut estimator, 0.5, 20);
    assert!(Score::median(&low[6..]) < 0.2, "{low:?}");
    let high = day(&mut estimator, 1.5, 20);
    assert!(Score::median(&high[6..]) < 0.2, "{high:?}");
}

#[test]
fn a_class_with_two_kinds_of_work_has_two_modes() {
    let (mut source, mut estimator) = (RunSource::new(3), RunTimeEstimator::default());
    let kind = |source: &mut RunSource, long: bool| {
        let secs = if long { 3_600.0 } else { 120.0 } * source.normal(0.15).exp();
        // The owner gives the same estimate for both.
        source.job("nightly", secs, 600.0, 4, 0.05)
    };
    for i in 0..24 {
        for run in kind(&mut source, i % 2 == 0) {
            estimator.add_run(&run);
        }
    }
    let runs = kind(&mut source, true);
    let first = estimator
        .distribution(&JobDescription::from(&runs[0]))
        .estimate();
    assert!(first.low_s < 200.0 && first.high_s > 2_500.0, "{first:?}");
    // The first completed task determines the kind.
    estimator.add_run(&runs[0]);
    let known = estimator
        .distribution(&JobDescription::from(&runs[1]))
        .estimate();
    assert!(known.low_s > 2_000.0 && known.high_s < 6_500.0, "{known:?}");
    // A run that has lasted ten minutes is of the long kind, too.
    let other = kind(&mut source, true).remove(0);
    let left = estimator
        .distribution(&JobDescription::from(&other))
        .remaining_s(600.0, 0.5);
    assert!((2_000.0..4_000.0).contains(&left), "{left}");
}

#[test]
fn images_distinguish_kinds_of_work() {
    let (mut source, mut estimator) = (RunSource::new(4), RunTimeEstimator::default());
    let run = |source: &mut RunSource, image: &str, secs: f64| Run {
        image: image.into(),
        ..source.job("nightly", secs, 0.0, 1, 0.1).remove(0)
    };
    for _ in 0..8 {
        let r = run(&mut source, "short", 100.0);
        estimator.add_run(&r);
        let r = run(&mut source, "long", 1_000.0);
        estimator.add_run(&r);
    }
    let long = run(&mut source, "long", 1_000.0);
    let estimate = median_s(&mut estimator, &long);
    assert!((700.0..1_300.0).contains(&estimate), "{estimate}");
}

#[test]
fn interrupted_runs_are_lower_bounds_and_never_shorten_estimates() {
    let (mut source, mut estimator) = (RunSource::new(6), RunTimeEstimator::default());
    let interrupted = |source: &mut RunSource, secs: f64| Run {
        outcome: RunOutcome::LowerBound,
        ..source.job("long", secs, 100.0, 1, 0.0).remove(0)
    };
    let before = median_s(&mut estimator, &interrupted(&mut RunSource::new(0), 1.0));
    for _ in 0..10 {
        let r = interrupted(&mut source, 20.0);
        estimator.add_run(&r);
    }
    let short = median_s(&mut estimator, &interrupted(&mut RunSource::new(0), 1.0));
    assert!((short / before).ln().abs() < 0.2, "{before} {short}");
    // All runs lasted longer than the estimate.
    for _ in 0..10 {
        let r = interrupted(&mut source, 2_000.0);
        estimator.add_run(&r);
    }
    let long = median_s(&mut estimator, &interrupted(&mut RunSource::new(0), 1.0));
    assert!(long > 2_000.0, "{long}");
    // The completed tasks of a job determine its estimate although one task was lost.
    let runs = source.job("long", 3_000.0, 100.0, 6, 0.05);
    let lost = Run {
        outcome: RunOutcome::LowerBound,
        run_time_s: 4_000.0,
        ..runs[0].clone()
    };
    for run in runs.iter().chain([&lost]) {
        estimator.add_run(run);
    }
    let estimate = median_s(&mut estimator, &runs[0]);
    assert!((2_600.0..3_500.0).contains(&estimate), "{estimate}");
}

#[test]
fn ten_thousand_classes_do_not_evict_the_most_used_class() {
    let (mut source, mut estimator) = (RunSource::new(8), RunTimeEstimator::default());
    for i in 0..10_000 {
        for run in source.job(&format!("c{i}"), 10.0, 10.0, 1, 0.1) {
            estimator.add_run(&run);
        }
        if i % 50 == 0 {
            for run in source.job("busy", 77.0, 10.0, 1, 0.01) {
                estimator.add_run(&run);
            }
        }
    }
    assert_eq!(estimator.len(), CLASSES_MAX);
    let run = source.job("busy", 77.0, 10.0, 1, 0.01).remove(0);
    let estimate = median_s(&mut estimator, &run);
    assert!((70.0..85.0).contains(&estimate), "{estimate}");
}

#[test]
fn each_run_is_recorded_once() {
    let (mut source, mut estimator) = (RunSource::new(2), RunTimeEstimator::default());
    let runs = source.job("report", 60.0, 60.0, 5, 0.1);
    runs[..3].iter().for_each(|r| estimator.add_run(r));
    let id = estimator.classes_to_record()[0];
    let (_, _, whole, batches) = estimator.updated_record(id).unwrap();
    assert_eq!(whole.runs, 3);
    // Further runs end during the first write, which certainly fails. The second write succeeds.
    estimator.mark_recorded(id, &batches);
    runs[3..].iter().for_each(|r| estimator.add_run(r));
    estimator.restore_unrecorded(id, &batches);
    let (_, _, whole, batches) = estimator.updated_record(id).unwrap();
    assert_eq!((whole.runs, whole.jobs().len()), (5, 1));
    estimator.mark_recorded(id, &batches);
    estimator.set_record(id, "red", "report", whole);
    assert!(estimator.classes_to_record().is_empty());
    assert_eq!(estimator.classes().next().unwrap().2.runs, 5);
}

/// Prints processor time per added run and per estimate, and the size of a record. Run by hand with
/// `--ignored --nocapture`.
#[test]
#[ignore]
fn processor_time_and_record_size() {
    let (mut source, mut estimator) = (RunSource::new(2), RunTimeEstimator::default());
    let runs: Vec<Run> = (0..400)
        .flat_map(|i| {
            let secs = 40.0 * source.normal(0.7).exp();
            let owner_estimate_s = secs * source.normal(0.5).exp();
            source.job(&format!("c{}", i % 8), secs, owner_estimate_s, 25, 0.3)
        })
        .collect();
    let started = std::time::Instant::now();
    runs.iter().for_each(|r| estimator.add_run(r));
    println!("count: {:?}", started.elapsed() / runs.len() as u32);
    let started = std::time::Instant::now();
    let queried = runs.iter().take(2_000);
    let sum: f64 = queried.map(|r| median_s(&mut estimator, r)).sum();
    println!("estimate: {:?} ({sum:.0})", started.elapsed() / 2_000);
    let id = estimator.classes_to_record()[0];
    let (.., whole, _) = estimator.updated_record(id).unwrap();
    let bytes = serde_json::to_string(&whole.pack()).unwrap().len();
    println!(
        "record: {bytes} bytes, of random {}",
        source.rng.gen::<u8>()
    );
}
