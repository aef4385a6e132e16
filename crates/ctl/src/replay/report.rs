//! What a replay found, as JSON and as a table.

use serde::Serialize;

/// Quantiles of |ln(actual / estimate)|.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ErrorReport {
    /// Half of the errors are no larger.
    pub median: f64,
    /// 90 in 100 are no larger.
    pub p90: f64,
}

/// How far estimates of a class were off. Errors are none where nothing was scored.
#[derive(Debug, PartialEq, Serialize)]
pub struct ClassReport {
    /// The team's name; empty for the sum over all.
    pub team: String,
    /// The class's name; `all` for the sum.
    pub class: String,
    /// Jobs of which a task completed.
    pub jobs: u64,
    /// Runs scored: those that completed and began when enough jobs of the class had.
    pub runs: u64,
    /// Share of them within the interval that should hold 90 in 100.
    pub covered: f64,
    /// Of the medians estimated.
    pub learned: Option<ErrorReport>,
    /// The same for runs that began before any of their job's had ended.
    pub first_of_job: Option<ErrorReport>,
    /// How many these were.
    pub first_runs: u64,
    /// Of the owner's estimates, where there were any.
    pub owner: Option<ErrorReport>,
    /// Of the mean of the class's runs so far.
    pub plain_mean: Option<ErrorReport>,
}

/// What a replay found.
#[derive(Debug, PartialEq, Serialize)]
pub struct WorkerHeartbeat {
    /// Runs taken.
    pub rows: u64,
    /// Of these, runs that did not complete: learned from, not scored.
    pub cut_short: u64,
    /// Class by class, in order of team and name; so many at most.
    pub classes: Vec<ClassReport>,
    /// Over all classes.
    pub all: ClassReport,
}

impl WorkerHeartbeat {
    /// As a table: errors as median/p90 of |ln(actual / estimate)|.
    pub fn table(&self) -> String {
        let pair = |e: &Option<ErrorReport>| {
            e.map_or("-".into(), |e| format!("{:.3}/{:.3}", e.median, e.p90))
        };
        let line = |c: &ClassReport| {
            let name = match c.team.is_empty() {
                true => c.class.clone(),
                false => format!("{}/{}", c.team, c.class),
            };
            format!(
                "{name:32} {:>6} {:>8} {:>9.3} {:>13} {:>13} {:>13} {:>13}\n",
                c.jobs,
                c.runs,
                c.covered,
                pair(&c.learned),
                pair(&c.first_of_job),
                pair(&c.owner),
                pair(&c.plain_mean)
            )
        };
        let mut out = format!(
            "{:32} {:>6} {:>8} {:>9} {:>13} {:>13} {:>13} {:>13}\n",
            "class",
            "jobs",
            "scored",
            "within 90",
            "learned",
            "first of job",
            "owner",
            "plain mean"
        );
        self.classes.iter().for_each(|c| out += &line(c));
        out += &line(&self.all);
        out += &format!(
            "{} runs, {} of them cut short. Errors: median/p90 of |ln(actual / estimate)|.\n",
            self.rows, self.cut_short
        );
        out
    }
}
