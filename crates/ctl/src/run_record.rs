//! Runs as exports hold them, and the parser of controllers' log lines.

use glenmount_runtime_estimates::{Run, RunOutcome};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest name, as for submissions.
const MAX_NAME_BYTES: usize = 200;
/// Latest start in milliseconds since 1970, in the year 2286.
const MAX_START_MS: i64 = 9_999_999_999_999;

/// The reason why a run is rejected, with the field.
#[derive(Debug, Error)]
pub enum RunRecordError {
    /// A time outside the valid range.
    #[error("{field}: must be between 0 and 1e9 seconds, not {seconds}")]
    Seconds {
        /// The field's name.
        field: &'static str,
        /// Its value.
        seconds: f64,
    },
    /// A start before 1970, or far in the future, in milliseconds.
    #[error("start_ms: {0} is not a valid time")]
    Start(i64),
    /// A record of no run.
    #[error("runs: must be at least 1, not {0}")]
    Runs(i32),
    /// A name that is too long.
    #[error("{field}: longer than {MAX_NAME_BYTES} bytes")]
    Name {
        /// The field's name.
        field: &'static str,
    },
    /// A log line that is truncated or has other fields.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// One run of a task, or several runs of a job of which only the mean is known.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Start in milliseconds since 1970, by the clock of the controller that observed the run.
    pub start_ms: i64,
    /// Run time in seconds, without the fetch of the image.
    #[serde(rename = "secs")]
    pub run_time_s: f64,
    /// The team that owns the job.
    pub team: String,
    /// The job's class.
    pub class: String,
    /// The job's image.
    pub image: String,
    /// The job's id, or `#` and its hash if the state store holds only the hash.
    pub job: String,
    /// The task's index, or `None` if the record represents several tasks of a job.
    pub task: Option<i32>,
    /// The owner's estimate in seconds, or 0 if there is none.
    #[serde(rename = "expect_s")]
    pub owner_estimate_s: f64,
    /// Whether the task completed. If not, the elapsed time is a lower bound of its run time.
    pub done: bool,
    /// Number of tasks that the record represents. The run time is the geometric mean of theirs.
    pub runs: i32,
    /// The machine, if it is known.
    pub machine: Option<String>,
}

impl RunRecord {
    /// Converts the record to a run that estimates are computed from.
    pub fn run(&self) -> Run {
        Run {
            team: self.team.clone(),
            class: self.class.clone(),
            image: self.image.clone(),
            job: self.job.clone(),
            owner_estimate_s: self.owner_estimate_s,
            run_time_s: self.run_time_s,
            outcome: match self.done {
                true => RunOutcome::Completed,
                false => RunOutcome::LowerBound,
            },
        }
    }

    /// Returns the end of the run in milliseconds since 1970.
    pub fn end_ms(&self) -> i64 {
        self.start_ms.saturating_add((self.run_time_s * 1e3) as i64)
    }

    /// Checks that every field has a valid value.
    ///
    /// # Errors
    ///
    /// Names the first field with an invalid value.
    pub fn check(&self) -> Result<(), RunRecordError> {
        for (field, seconds) in [
            ("secs", self.run_time_s),
            ("expect_s", self.owner_estimate_s),
        ] {
            if !seconds.is_finite() || !(0.0..=1e9).contains(&seconds) {
                return Err(RunRecordError::Seconds { field, seconds });
            }
        }
        if !(0..=MAX_START_MS).contains(&self.start_ms) {
            return Err(RunRecordError::Start(self.start_ms));
        }
        if self.runs < 1 {
            return Err(RunRecordError::Runs(self.runs));
        }
        let names = [
            ("team", &self.team),
            ("class", &self.class),
            ("image", &self.image),
            ("job", &self.job),
        ];
        match names.iter().find(|(_, name)| name.len() > MAX_NAME_BYTES) {
            Some((field, _)) => Err(RunRecordError::Name { field }),
            None => Ok(()),
        }
    }
}

/// The JSON fields of a log line with a run.
#[derive(Deserialize)]
struct LogEntry {
    /// End of the run in milliseconds since 1970.
    #[serde(rename = "at")]
    ended_at_ms: i64,
    job: String,
    task: i32,
    team: String,
    class: String,
    image: String,
    #[serde(rename = "expect_s")]
    owner_estimate_s: f64,
    #[serde(rename = "secs")]
    run_time_s: f64,
    done: bool,
    machine: String,
}

impl From<LogEntry> for RunRecord {
    fn from(entry: LogEntry) -> RunRecord {
        let run_time_ms = (entry.run_time_s.clamp(0.0, 1e9) * 1e3) as i64;
        RunRecord {
            start_ms: entry.ended_at_ms.saturating_sub(run_time_ms),
            run_time_s: entry.run_time_s,
            team: entry.team,
            class: entry.class,
            image: entry.image,
            job: entry.job,
            task: Some(entry.task),
            owner_estimate_s: entry.owner_estimate_s,
            done: entry.done,
            runs: 1,
            machine: Some(entry.machine),
        }
    }
}

/// The text that identifies a log line with a run. Any prefix may precede it.
const LOG_LINE_MARKER: &str = "ran run={";

/// Returns the run in a line of a controller's log, or `None` for other lines.
pub fn parse_log_line(line: &str) -> Option<Result<RunRecord, RunRecordError>> {
    let json_start = line.find(LOG_LINE_MARKER)? + LOG_LINE_MARKER.len() - 1;
    let mut entries =
        serde_json::Deserializer::from_str(&line[json_start..]).into_iter::<LogEntry>();
    let entry = entries.next()?;
    Some(entry.map_err(RunRecordError::from).and_then(|entry| {
        let record = RunRecord::from(entry);
        record.check().map(|()| record)
    }))
}
