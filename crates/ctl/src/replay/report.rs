//! The report of a replay, as JSON and as a table.

use serde::Serialize;

/// Quantiles of |ln(actual / estimate)|.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ErrorQuantiles {
    /// The median error.
    pub median: f64,
    /// The 90th percentile.
    pub p90: f64,
}

/// The errors of the estimates of a class. They are `None` if no run was scored.
#[derive(Debug, PartialEq, Serialize)]
pub struct ClassReport {
    /// The team's name; empty for the sum over all classes.
    pub team: String,
    /// The class's name; `all` for the sum.
    pub class: String,
    /// Jobs with a completed task.
    pub jobs: u64,
    /// Scored runs: completed ones that started after enough jobs of the class had completed a task.
    pub runs: u64,
    /// Share of the scored runs within the interval that should hold 90 of 100.
    #[serde(rename = "covered")]
    pub coverage: f64,
    /// Errors of the estimated medians.
    pub learned: Option<ErrorQuantiles>,
    /// Errors of the estimated medians of runs that started before a task of their job had completed.
    pub first_of_job: Option<ErrorQuantiles>,
    /// Number of those runs.
    pub first_runs: u64,
    /// Errors of the owner's estimates, where given.
    pub owner: Option<ErrorQuantiles>,
    /// Errors of the mean of the class's earlier runs as an estimate.
    pub plain_mean: Option<ErrorQuantiles>,
}

/// The report of a replay.
#[derive(Debug, PartialEq, Serialize)]
pub struct ReplayReport {
    /// Rows of the history.
    pub rows: u64,
    /// Runs that did not complete. They count for estimates and are not scored.
    #[serde(rename = "cut_short")]
    pub interrupted: u64,
    /// The classes in order of team and name, limited in number.
    pub classes: Vec<ClassReport>,
    /// The sum over all classes.
    #[serde(rename = "all")]
    pub total: ClassReport,
}

impl ReplayReport {
    /// Formats the report as a table, with errors as median/p90 of |ln(actual / estimate)|.
    pub fn table(&self) -> String {
        let pair = |e: &Option<ErrorQuantiles>| {
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
                c.coverage,
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
        out += &line(&self.total);
        out += &format!(
            "{} runs, {} of them cut short. Errors: median/p90 of |ln(actual / estimate)|.\n",
            self.rows, self.interrupted
        );
        out
    }
}
