//! Plays described days in the project's own world: days by seeds by variants, several at once, and
//! writes down what was served and how long failovers took. All figures are simulated.

use glenmount_simulation::day::{Day, Experiment, Variant};
use glenmount_simulation::measure::{Outcome, Times};
use glenmount_simulation::play;
use indicatif::{ProgressBar, ProgressStyle};
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// How much is played.
pub struct Plan {
    pub seeds: u32,
    pub from: u64,
    pub jobs: usize,
}

/// A day with a variant, all its seeds together.
pub struct Played {
    pub day: String,
    pub variant: String,
    pub outcome: Outcome,
    /// Seeds that broke a rule, and which.
    pub broken: Vec<String>,
}

struct Job {
    at: usize,
    day: Day,
    variant: Variant,
    seed: u64,
}

/// Reads files of described days.
pub fn read(files: &[PathBuf]) -> Result<Vec<Experiment>, String> {
    let one = |file: &PathBuf| {
        let name = file.display();
        let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
        Experiment::read(&text).map_err(|e| format!("{name}: {e}"))
    };
    files.iter().map(one).collect()
}

pub fn play(files: &[PathBuf], plan: &Plan) -> Result<Vec<Played>, String> {
    let mut played: Vec<Played> = Vec::new();
    let mut jobs: Vec<Job> = Vec::new();
    for read in read(files)? {
        for day in &read.days {
            for variant in &read.variants {
                let at = played.len();
                played.push(Played {
                    day: day.name.clone(),
                    variant: variant.name.clone(),
                    outcome: Outcome::default(),
                    broken: Vec::new(),
                });
                for seed in 0..u64::from(plan.seeds) {
                    let seed = plan.from + seed;
                    let (day, variant) = (day.clone(), variant.clone());
                    jobs.push(Job {
                        at,
                        day,
                        variant,
                        seed,
                    });
                }
            }
        }
    }
    let style = ProgressStyle::with_template("{elapsed_precise} {bar:30} {pos}/{len} {msg}")
        .map_err(|e| e.to_string())?;
    let bar = ProgressBar::new(jobs.len() as u64).with_style(style);
    let next = AtomicUsize::new(0);
    let results = Mutex::new((played, None));
    std::thread::scope(|scope| {
        for _ in 0..plan.jobs.clamp(1, 64) {
            scope.spawn(|| loop {
                let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) else {
                    return;
                };
                // A broken rule is an assertion of the world's.
                let once = || play::play(&job.day, &job.variant, job.seed);
                let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(once));
                let mut results = results.lock().expect("no panic holds it");
                match outcome {
                    Ok(Ok(outcome)) => results.0[job.at].outcome.add(&outcome),
                    Ok(Err(why)) => results.1 = Some(why),
                    Err(panic) => {
                        let text = panic.downcast_ref::<String>().map(String::as_str);
                        let text = text.or(panic.downcast_ref::<&str>().copied());
                        let why = text.unwrap_or("it panicked");
                        let broken = format!("seed {}: {why}", job.seed);
                        results.0[job.at].broken.push(broken);
                    }
                }
                bar.inc(1);
                bar.set_message(format!("{} ({})", job.day.name, job.variant.name));
            });
        }
    });
    bar.finish_and_clear();
    match results.into_inner().expect("no panic held it") {
        (_, Some(why)) => Err(why),
        (played, None) => Ok(played),
    }
}

/// One row a day and variant, then what was served.
pub fn table(played: &[Played]) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:28} {:20} {:>5} {:>7} {:>7} {:>16} {:>16} {:>16} {:>14} {:>12} {:>6} {:>6} {:>7}",
        "day",
        "variant",
        "plays",
        "up",
        "worst",
        "noticed 50/99",
        "heard 50/99",
        "claim 50/99",
        "duty 50/99",
        "submit p99",
        "noans",
        "killed",
        "us/ev"
    );
    for p in played {
        let o = &p.outcome;
        let two = |t: &Times| {
            let s = t.spread();
            format!("{}/{} ({})", s.p50, s.p99, s.count)
        };
        let _ = writeln!(
            text,
            "{:28} {:20} {:>5} {:>7.4} {:>7.4} {:>16} {:>16} {:>16} {:>14} {:>12} {:>6} {:>6} {:>7.1}",
            p.day, p.variant, o.plays, o.up, o.up_worst, two(&o.noticed), two(&o.heard),
            two(&o.first_claim), two(&o.duty), o.submitted.spread().p99, o.unanswered,
            o.killed_by_lease, o.us_per_event
        );
    }
    for p in played {
        let _ = writeln!(text, "\n{} ({})", p.day, p.variant);
        let o = &p.outcome;
        let start = |t: &Times| t.spread();
        let (ready, accepted, claimed) = (start(&o.ready), start(&o.accepted), start(&o.claimed));
        let _ = writeln!(
            text,
            "  starts of a process: ready {}/{}, first acceptance {}/{}, first start {}/{} ms (p50/p99 of {})",
            ready.p50, ready.p99, accepted.p50, accepted.p99, claimed.p50, claimed.p99, ready.count
        );
        let _ = writeln!(
            text,
            "  submissions: {} ({} told to come back, {} unanswered, balancer blind {} ms), most workers at one node {:.2}",
            o.submissions, o.told_later, o.unanswered, o.blind_ms, o.crowded
        );
        let _ = writeln!(
            text,
            "  tasks: {} started, {} done, {} ended with a lease; {} machines deleted; {} changes, {} conflicts, {} refused; no socket {}",
            o.starts, o.tasks_done, o.killed_by_lease, o.deleted, o.changes, o.conflicts, o.throttled, o.no_socket
        );
        for (why, (count, ms)) in &o.stops {
            let _ = writeln!(
                text,
                "  stopped, {why}: {count}, after {} s in all",
                ms / 1_000
            );
        }
        for (name, (service, s)) in &o.classes {
            let waits = o.waits.get(name).map(Times::spread).unwrap_or_default();
            let share = s.share(*service);
            let in_time = match s.with_goal {
                0 => String::new(),
                n => format!(", in time {:.3}", f64::from(s.in_time) / f64::from(n)),
            };
            let _ = writeln!(
                text,
                "  class {name}: {} jobs, {} started, {} done, {share:.3} of its tasks served{in_time}; first task after {}/{}/{} ms (p50/p90/p99)",
                s.jobs, s.started, s.done, waits.p50, waits.p90, waits.p99
            );
        }
        for (name, s) in &o.teams {
            let _ = writeln!(
                text,
                "  team {name}: {} jobs, {} started, {} done",
                s.jobs, s.started, s.done
            );
        }
        for failed in o.failed() {
            let _ = writeln!(text, "  FAILED: less than half of {failed} was served");
        }
        for broken in &p.broken {
            let _ = writeln!(text, "  BROKEN: {broken}");
        }
    }
    text
}

/// Writes the table, the figures as JSON, and one plot of each kind of time with a curve per variant.
pub fn write(played: &[Played], dir: &Path) -> Result<(), String> {
    let failed = |what: &Path, e: String| format!("{}: {e}", what.display());
    std::fs::create_dir_all(dir).map_err(|e| failed(dir, e.to_string()))?;
    let text = dir.join("table.txt");
    std::fs::write(&text, table(played)).map_err(|e| failed(&text, e.to_string()))?;
    let figures: Vec<_> = played
        .iter()
        .map(|p| {
            serde_json::json!({
                "day": p.day, "variant": p.variant, "broken": p.broken,
                "failed": p.outcome.failed(), "figures": p.outcome,
            })
        })
        .collect();
    let json = dir.join("figures.json");
    let body = serde_json::to_string_pretty(&figures).map_err(|e| e.to_string())?;
    std::fs::write(&json, body).map_err(|e| failed(&json, e.to_string()))?;
    let mut days: BTreeMap<&str, Vec<&Played>> = BTreeMap::new();
    for p in played {
        days.entry(&p.day).or_default().push(p);
    }
    type Pick = fn(&Outcome) -> &Times;
    let kinds: [(&str, Pick); 4] = [
        ("noticed", |o| &o.noticed),
        ("heard", |o| &o.heard),
        ("first-claim", |o| &o.first_claim),
        ("submitted", |o| &o.submitted),
    ];
    for (day, variants) in days {
        for (kind, pick) in &kinds {
            let curves: Vec<(String, Vec<(f64, f64)>)> = variants
                .iter()
                .map(|p| (p.variant.clone(), pick(&p.outcome).curve()))
                .filter(|(_, curve)| curve.len() > 1)
                .collect();
            if !curves.is_empty() {
                let path = dir.join(format!("{day}-{kind}.svg"));
                plot(&path, &format!("{day}: {kind}"), &curves).map_err(|e| failed(&path, e))?;
            }
        }
    }
    Ok(())
}

fn plot(path: &Path, title: &str, curves: &[(String, Vec<(f64, f64)>)]) -> Result<(), String> {
    let last = curves.iter().flat_map(|(_, c)| c.last()).map(|p| p.0);
    let most = last.fold(1.0, f64::max);
    let area = SVGBackend::new(path, (720, 420)).into_drawing_area();
    let drawn = || -> Result<(), Box<dyn std::error::Error>> {
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..most, 0.0..1.0)?;
        chart
            .configure_mesh()
            .x_desc("milliseconds (simulated)")
            .y_desc("share that took no longer")
            .draw()?;
        for (at, (name, curve)) in curves.iter().enumerate() {
            let colour = Palette99::pick(at).to_rgba();
            chart
                .draw_series(LineSeries::new(curve.iter().copied(), &colour))?
                .label(name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    };
    drawn().map_err(|e| e.to_string())
}
