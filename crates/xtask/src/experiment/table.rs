//! What was played, as text.

use super::Played;
use glenmount_simulation::outcome::{Durations, Outcome};
use std::fmt::Write as _;

/// One row a day and variant, then what was served.
pub fn table(played: &[Played]) -> String {
    let mut text = String::new();
    write_header(&mut text);
    for p in played {
        write_row(&mut text, p);
    }
    for p in played {
        let _ = writeln!(text, "\n{} ({})", p.day, p.variant);
        write_totals(&mut text, &p.outcome);
        write_shares(&mut text, &p.outcome);
        for failed in p.outcome.failed() {
            let _ = writeln!(text, "  FAILED: less than half of {failed} was served");
        }
        for broken in &p.broken {
            let _ = writeln!(text, "  BROKEN: {broken}");
        }
    }
    text
}

fn write_header(text: &mut String) {
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
}

fn write_row(text: &mut String, p: &Played) {
    let o = &p.outcome;
    let two = |t: &Durations| {
        let s = t.summary();
        format!("{}/{} ({})", s.p50, s.p99, s.count)
    };
    let _ = writeln!(
        text,
        "{:28} {:20} {:>5} {:>7.4} {:>7.4} {:>16} {:>16} {:>16} {:>14} {:>12} {:>6} {:>6} {:>7.1}",
        p.day,
        p.variant,
        o.runs,
        o.replica_availability,
        o.worst_replica_availability,
        two(&o.failure_detection),
        two(&o.worker_reconnection),
        two(&o.first_start_after_failure),
        two(&o.duty_takeover),
        o.time_to_acceptance.summary().p99,
        o.unanswered,
        o.killed_by_lease,
        o.us_per_event
    );
}

/// Starts of processes, submissions and tasks.
fn write_totals(text: &mut String, o: &Outcome) {
    let start = |t: &Durations| t.summary();
    let (ready, accepted, claimed) = (
        start(&o.time_to_ready),
        start(&o.time_to_first_acceptance),
        start(&o.time_to_first_start),
    );
    let _ = writeln!(
            text,
            "  starts of a process: ready {}/{}, first acceptance {}/{}, first start {}/{} ms (p50/p99 of {})",
            ready.p50, ready.p99, accepted.p50, accepted.p99, claimed.p50, claimed.p99, ready.count
        );
    let _ = writeln!(
            text,
            "  submissions: {} ({} told to come back, {} unanswered, balancer blind {} ms), most workers at one node {:.2}",
            o.submissions, o.retry_replies, o.unanswered, o.no_healthy_controller_ms, o.max_worker_share
        );
    let _ = writeln!(
            text,
            "  tasks: {} started, {} done, {} ended with a lease; {} machines deleted; {} changes, {} conflicts, {} refused; no socket {}",
            o.starts, o.tasks_done, o.killed_by_lease, o.deleted, o.changes, o.conflicts, o.throttled, o.connections_refused
        );
}

/// Stopped tasks by cause, and what was served of each class and team.
fn write_shares(text: &mut String, o: &Outcome) {
    for (why, (count, ms)) in &o.stops {
        let _ = writeln!(
            text,
            "  stopped, {why}: {count}, after {} s in all",
            ms / 1_000
        );
    }
    for (name, (service, s)) in &o.classes {
        let waits = o
            .time_to_first_task
            .get(name)
            .map(Durations::summary)
            .unwrap_or_default();
        let share = s.share(*service);
        let in_time = match s.with_objective {
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
}
