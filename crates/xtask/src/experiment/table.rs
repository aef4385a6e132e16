//! Formats the results of experiments as text.

use super::DayResult;
use glenmount_simulation::outcome::{Durations, Outcome};
use std::fmt::Write as _;

/// Formats one row per day and variant, followed by totals and served shares.
pub fn table(results: &[DayResult]) -> String {
    let mut text = String::new();
    write_header(&mut text);
    for result in results {
        write_row(&mut text, result);
    }
    for result in results {
        let _ = writeln!(text, "\n{} ({})", result.day, result.variant);
        write_totals(&mut text, &result.outcome);
        write_shares(&mut text, &result.outcome);
        for failed in result.outcome.failed() {
            let _ = writeln!(text, "  FAILED: less than half of {failed} was served");
        }
        for broken in &result.broken_rules {
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

fn write_row(text: &mut String, result: &DayResult) {
    let outcome = &result.outcome;
    let percentiles = |durations: &Durations| {
        let summary = durations.summary();
        format!("{}/{} ({})", summary.p50, summary.p99, summary.count)
    };
    let _ = writeln!(
        text,
        "{:28} {:20} {:>5} {:>7.4} {:>7.4} {:>16} {:>16} {:>16} {:>14} {:>12} {:>6} {:>6} {:>7.1}",
        result.day,
        result.variant,
        outcome.runs,
        outcome.replica_availability,
        outcome.worst_replica_availability,
        percentiles(&outcome.failure_detection),
        percentiles(&outcome.worker_reconnection),
        percentiles(&outcome.first_start_after_failure),
        percentiles(&outcome.duty_takeover),
        outcome.time_to_acceptance.summary().p99,
        outcome.unanswered,
        outcome.killed_by_lease,
        outcome.us_per_event
    );
}

/// Writes the totals of process starts, submissions and tasks.
fn write_totals(text: &mut String, outcome: &Outcome) {
    let summary = |durations: &Durations| durations.summary();
    let (ready, accepted, claimed) = (
        summary(&outcome.time_to_ready),
        summary(&outcome.time_to_first_acceptance),
        summary(&outcome.time_to_first_start),
    );
    let _ = writeln!(
            text,
            "  starts of a process: ready {}/{}, first acceptance {}/{}, first start {}/{} ms (p50/p99 of {})",
            ready.p50, ready.p99, accepted.p50, accepted.p99, claimed.p50, claimed.p99, ready.count
        );
    let _ = writeln!(
            text,
            "  submissions: {} ({} told to come back, {} unanswered, balancer blind {} ms), most workers at one node {:.2}",
            outcome.submissions, outcome.retry_replies, outcome.unanswered, outcome.no_healthy_controller_ms, outcome.max_worker_share
        );
    let _ = writeln!(
            text,
            "  tasks: {} started, {} done, {} ended with a lease; {} machines deleted; {} changes, {} conflicts, {} refused; no socket {}",
            outcome.starts, outcome.tasks_done, outcome.killed_by_lease, outcome.deleted, outcome.changes, outcome.conflicts, outcome.throttled, outcome.connections_refused
        );
}

/// Writes the stopped tasks by cause, and the served share of each class and team.
fn write_shares(text: &mut String, outcome: &Outcome) {
    for (cause, (count, ms)) in &outcome.stops {
        let _ = writeln!(
            text,
            "  stopped, {cause}: {count}, after {} s in all",
            ms / 1_000
        );
    }
    for (name, (service, served)) in &outcome.classes {
        let waits = outcome
            .time_to_first_task
            .get(name)
            .map(Durations::summary)
            .unwrap_or_default();
        let share = served.share(*service);
        let in_time = match served.with_objective {
            0 => String::new(),
            n => format!(", in time {:.3}", f64::from(served.in_time) / f64::from(n)),
        };
        let _ = writeln!(
                text,
                "  class {name}: {} jobs, {} started, {} done, {share:.3} of its tasks served{in_time}; first task after {}/{}/{} ms (p50/p90/p99)",
                served.jobs, served.started, served.done, waits.p50, waits.p90, waits.p99
            );
    }
    for (name, served) in &outcome.teams {
        let _ = writeln!(
            text,
            "  team {name}: {} jobs, {} started, {} done",
            served.jobs, served.started, served.done
        );
    }
}
