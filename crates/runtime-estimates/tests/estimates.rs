//! Stories of estimates: histories with known truth go in, and what is said of the next run is
//! held against it.

use glenmount_runtime_estimates::constants::CLASSES_MAX;
use glenmount_runtime_estimates::estimator::{JobDescription, RunTimeEstimator};
use glenmount_runtime_estimates::{Run, RunOutcome};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Normal};

struct Source {
    rng: SmallRng,
    next: u64,
}

impl Source {
    fn new(seed: u64) -> Source {
        Source {
            rng: SmallRng::seed_from_u64(seed),
            next: 0,
        }
    }
    fn normal(&mut self, sd: f64) -> f64 {
        Normal::new(0.0, sd).unwrap().sample(&mut self.rng)
    }
    /// A job whose tasks take about `secs`, by its owner's word `owner_estimate_s`.
    fn job(
        &mut self,
        class: &str,
        secs: f64,
        owner_estimate_s: f64,
        tasks: u32,
        within: f64,
    ) -> Vec<Run> {
        self.next += 1;
        let job = format!("j-{}", self.next);
        (0..tasks)
            .map(|_| Run {
                team: "red".into(),
                class: class.into(),
                image: "img".into(),
                job: job.clone(),
                owner_estimate_s,
                run_time_s: secs * self.normal(within).exp(),
                outcome: RunOutcome::Completed,
            })
            .collect()
    }
}

/// Errors of estimates in logarithms, and whether the runs lay within their intervals.
#[derive(Default)]
struct Score {
    errors: Vec<f64>,
    owner: Vec<f64>,
    within: usize,
}

impl Score {
    fn note(&mut self, book: &mut RunTimeEstimator, run: &Run) {
        let e = book.distribution(&JobDescription::from(run)).estimate();
        assert!(e.low_s <= e.median_s && e.median_s <= e.high_s);
        self.errors.push((run.run_time_s / e.median_s).ln().abs());
        self.owner
            .push((run.run_time_s / run.owner_estimate_s).ln().abs());
        self.within += usize::from((e.low_s..=e.high_s).contains(&run.run_time_s));
    }
    fn covered(&self) -> f64 {
        self.within as f64 / self.errors.len() as f64
    }
    fn median(values: &[f64]) -> f64 {
        let mut v = values.to_vec();
        v.sort_by(f64::total_cmp);
        v[v.len() / 2]
    }
}

fn median_s(book: &mut RunTimeEstimator, run: &Run) -> f64 {
    book.distribution(&JobDescription::from(run))
        .estimate()
        .median_s
}

#[test]
fn intervals_hold_what_they_say_on_work_of_many_kinds() {
    // Spread of jobs, error of owners, spread within jobs, tasks.
    let kinds = [
        (0.7, 0.5, 0.2, 20),
        (0.3, 0.5, 0.1, 1),
        (1.0, 0.3, 0.4, 5),
        (0.1, 0.8, 0.05, 2),
    ];
    for (i, (spread, error, within, tasks)) in kinds.into_iter().enumerate() {
        let mut score = Score::default();
        for seed in 0..12 {
            let (mut s, mut book) = (Source::new(seed), RunTimeEstimator::default());
            for n in 0..60 {
                let secs = 40.0 * s.normal(spread).exp();
                let expect = secs * s.normal(error).exp();
                let runs = s.job("redraw", secs, expect, tasks, within);
                for (t, run) in runs.iter().enumerate() {
                    if n >= 10 && t < 3 {
                        score.note(&mut book, run);
                    }
                    book.add_run(run);
                }
            }
        }
        let covered = score.covered();
        assert!((0.85..=0.96).contains(&covered), "kind {i}: {covered}");
        let (own, owner) = (Score::median(&score.errors), Score::median(&score.owner));
        assert!(own < owner, "kind {i}: {own} against the owner's {owner}");
    }
}

#[test]
fn a_job_known_by_its_own_runs_is_estimated_far_better_than_by_its_owner() {
    let mut score = Score::default();
    let (mut s, mut book) = (Source::new(5), RunTimeEstimator::default());
    for n in 0..80 {
        let secs = 40.0 * s.normal(0.2).exp();
        let expect = secs * s.normal(0.6).exp();
        for run in s.job("report", secs, expect, 1, 0.1) {
            if n >= 10 {
                score.note(&mut book, &run);
            }
            book.add_run(&run);
        }
    }
    let (own, owner) = (Score::median(&score.errors), Score::median(&score.owner));
    assert!(own <= owner / 2.0, "{own} against {owner}");
}

#[test]
fn without_history_the_owner_is_believed_and_their_bias_learned_from_other_work() {
    let (mut s, mut book) = (Source::new(1), RunTimeEstimator::default());
    let run = s.job("new", 100.0, 100.0, 1, 0.0).remove(0);
    let first = book.distribution(&JobDescription::from(&run)).estimate();
    assert!((first.median_s / 100.0).ln().abs() < 0.02);
    assert!(
        first.high_s > 200.0 && first.low_s < 50.0,
        "not at all sure"
    );
    // Today everything takes twice what owners say.
    for class in ["a", "b", "c"] {
        for _ in 0..6 {
            let secs = 60.0 * s.normal(0.3).exp();
            let expect = secs / 2.0 * s.normal(0.1).exp();
            for run in s.job(class, secs, expect, 1, 0.05) {
                book.add_run(&run);
            }
        }
    }
    let then = median_s(&mut book, &run);
    assert!((150.0..230.0).contains(&then), "{then}");
    // Nothing is known at all, and no owner's word either.
    let silent = Run {
        owner_estimate_s: 0.0,
        team: "other".into(),
        ..run
    };
    let e = book.distribution(&JobDescription::from(&silent)).estimate();
    assert!(e.high_s / e.low_s > 20.0);
}

#[test]
fn a_doubled_class_is_followed_within_five_runs_and_a_freak_is_not() {
    let mut followed = Vec::new();
    for seed in 0..20 {
        let (mut s, mut book) = (Source::new(seed), RunTimeEstimator::default());
        let night = |s: &mut Source, book: &mut RunTimeEstimator, secs: f64| {
            let secs = secs * s.normal(0.12).exp();
            let run = s.job("report", secs, 120.0, 1, 0.05).remove(0);
            let before = median_s(book, &run);
            book.add_run(&run);
            before
        };
        for _ in 0..20 {
            night(&mut s, &mut book, 120.0);
        }
        // One that takes ten times as long.
        night(&mut s, &mut book, 1_200.0);
        let after = night(&mut s, &mut book, 120.0);
        assert!((after / 120.0).ln().abs() < 0.15, "seed {seed}: {after}");
        for _ in 0..8 {
            night(&mut s, &mut book, 120.0);
        }
        let mut runs = 0;
        while (night(&mut s, &mut book, 240.0) / 240.0).ln().abs() > 0.25 {
            runs += 1;
            assert!(runs < 40);
        }
        followed.push(runs);
    }
    followed.sort();
    assert!(followed[17] <= 5, "{followed:?}");
}

#[test]
fn estimates_off_by_half_for_a_day_are_corrected() {
    let (mut s, mut book) = (Source::new(9), RunTimeEstimator::default());
    let mut day = |book: &mut RunTimeEstimator, off: f64, jobs: usize| {
        let mut errors = Vec::new();
        for _ in 0..jobs {
            let secs = 50.0 * s.normal(0.8).exp();
            let expect = secs * off * s.normal(0.1).exp();
            for run in s.job("map", secs, expect, 1, 0.05) {
                errors.push((run.run_time_s / median_s(book, &run)).ln().abs());
                book.add_run(&run);
            }
        }
        errors
    };
    day(&mut book, 1.0, 30);
    let low = day(&mut book, 0.5, 20);
    assert!(Score::median(&low[6..]) < 0.2, "{low:?}");
    let high = day(&mut book, 1.5, 20);
    assert!(Score::median(&high[6..]) < 0.2, "{high:?}");
}

#[test]
fn two_kinds_of_work_in_one_class() {
    let (mut s, mut book) = (Source::new(3), RunTimeEstimator::default());
    let kind = |s: &mut Source, long: bool| {
        let secs = if long { 3_600.0 } else { 120.0 } * s.normal(0.15).exp();
        // The owner says the same of both.
        s.job("nightly", secs, 600.0, 4, 0.05)
    };
    for i in 0..24 {
        for run in kind(&mut s, i % 2 == 0) {
            book.add_run(&run);
        }
    }
    let runs = kind(&mut s, true);
    let first = book
        .distribution(&JobDescription::from(&runs[0]))
        .estimate();
    assert!(first.low_s < 200.0 && first.high_s > 2_500.0, "{first:?}");
    // The first task tells which it is.
    book.add_run(&runs[0]);
    let known = book
        .distribution(&JobDescription::from(&runs[1]))
        .estimate();
    assert!(known.low_s > 2_000.0 && known.high_s < 6_500.0, "{known:?}");
    // One that has run for ten minutes is of the long kind as well.
    let other = kind(&mut s, true).remove(0);
    let left = book
        .distribution(&JobDescription::from(&other))
        .remaining_s(600.0, 0.5);
    assert!((2_000.0..4_000.0).contains(&left), "{left}");
}

#[test]
fn images_tell_kinds_apart() {
    let (mut s, mut book) = (Source::new(4), RunTimeEstimator::default());
    let run = |s: &mut Source, image: &str, secs: f64| Run {
        image: image.into(),
        ..s.job("nightly", secs, 0.0, 1, 0.1).remove(0)
    };
    for _ in 0..8 {
        let r = run(&mut s, "short", 100.0);
        book.add_run(&r);
        let r = run(&mut s, "long", 1_000.0);
        book.add_run(&r);
    }
    let long = run(&mut s, "long", 1_000.0);
    let e = median_s(&mut book, &long);
    assert!((700.0..1_300.0).contains(&e), "{e}");
}

#[test]
fn runs_cut_short_say_at_least_and_never_short() {
    let (mut s, mut book) = (Source::new(6), RunTimeEstimator::default());
    let cut = |s: &mut Source, secs: f64| Run {
        outcome: RunOutcome::LowerBound,
        ..s.job("long", secs, 100.0, 1, 0.0).remove(0)
    };
    let before = median_s(&mut book, &cut(&mut Source::new(0), 1.0));
    for _ in 0..10 {
        let r = cut(&mut s, 20.0);
        book.add_run(&r);
    }
    let short = median_s(&mut book, &cut(&mut Source::new(0), 1.0));
    assert!((short / before).ln().abs() < 0.2, "{before} {short}");
    // All lasted longer than anybody said.
    for _ in 0..10 {
        let r = cut(&mut s, 2_000.0);
        book.add_run(&r);
    }
    let long = median_s(&mut book, &cut(&mut Source::new(0), 1.0));
    assert!(long > 2_000.0, "{long}");
    // A job of which one task was lost and the others completed is known by these.
    let runs = s.job("long", 3_000.0, 100.0, 6, 0.05);
    let lost = Run {
        outcome: RunOutcome::LowerBound,
        run_time_s: 4_000.0,
        ..runs[0].clone()
    };
    for run in runs.iter().chain([&lost]) {
        book.add_run(run);
    }
    let e = median_s(&mut book, &runs[0]);
    assert!((2_600.0..3_500.0).contains(&e), "{e}");
}

#[test]
fn ten_thousand_classes_leave_the_most_used() {
    let (mut s, mut book) = (Source::new(8), RunTimeEstimator::default());
    for i in 0..10_000 {
        for run in s.job(&format!("c{i}"), 10.0, 10.0, 1, 0.1) {
            book.add_run(&run);
        }
        if i % 50 == 0 {
            for run in s.job("busy", 77.0, 10.0, 1, 0.01) {
                book.add_run(&run);
            }
        }
    }
    assert_eq!(book.len(), CLASSES_MAX);
    let run = s.job("busy", 77.0, 10.0, 1, 0.01).remove(0);
    let e = median_s(&mut book, &run);
    assert!((70.0..85.0).contains(&e), "{e}");
}

#[test]
fn what_is_recorded_once_counts_once() {
    let (mut s, mut book) = (Source::new(2), RunTimeEstimator::default());
    let runs = s.job("report", 60.0, 60.0, 5, 0.1);
    runs[..3].iter().for_each(|r| book.add_run(r));
    let id = book.classes_to_record()[0];
    let (_, _, whole, batches) = book.updated_record(id).unwrap();
    assert_eq!(whole.runs, 3);
    // More come while the record is under way, which then fails for certain, and then succeeds.
    book.mark_recorded(id, &batches);
    runs[3..].iter().for_each(|r| book.add_run(r));
    book.restore_unrecorded(id, &batches);
    let (_, _, whole, batches) = book.updated_record(id).unwrap();
    assert_eq!((whole.runs, whole.jobs().len()), (5, 1));
    book.mark_recorded(id, &batches);
    book.set_record(id, "red", "report", whole);
    assert!(book.classes_to_record().is_empty());
    assert_eq!(book.classes().next().unwrap().2.runs, 5);
}

/// By hand, with `--ignored --nocapture`: processor time per run counted and per estimate, and
/// bytes of a record.
#[test]
#[ignore]
fn cost() {
    let (mut s, mut book) = (Source::new(2), RunTimeEstimator::default());
    let runs: Vec<Run> = (0..400)
        .flat_map(|i| {
            let secs = 40.0 * s.normal(0.7).exp();
            let expect = secs * s.normal(0.5).exp();
            s.job(&format!("c{}", i % 8), secs, expect, 25, 0.3)
        })
        .collect();
    let begun = std::time::Instant::now();
    runs.iter().for_each(|r| book.add_run(r));
    println!("count: {:?}", begun.elapsed() / runs.len() as u32);
    let begun = std::time::Instant::now();
    let ask = runs.iter().take(2_000);
    let sum: f64 = ask.map(|r| median_s(&mut book, r)).sum();
    println!("estimate: {:?} ({sum:.0})", begun.elapsed() / 2_000);
    let id = book.classes_to_record()[0];
    let (.., whole, _) = book.updated_record(id).unwrap();
    let bytes = serde_json::to_string(&whole.pack()).unwrap().len();
    println!("record: {bytes} bytes, of random {}", s.rng.gen::<u8>());
}
