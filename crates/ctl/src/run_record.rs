//! A run as exports have it, and how it is read from a controller's log.

use glenmount_runtime_estimates::{Run, RunOutcome};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Bytes of a name at most, as submissions allow.
const MAX_NAME_BYTES: usize = 200;
/// Milliseconds since 1970 that a start may have: until the year 2286.
const MAX_START_MS: i64 = 9_999_999_999_999;

/// Why a run is refused: it names the field.
#[derive(Debug, Error)]
pub enum RunRecordError {
    /// A time that no run can take.
    #[error("{field}: must be between 0 and 1e9 seconds, not {seconds}")]
    Seconds {
        /// The field's name.
        field: &'static str,
        /// Its value.
        seconds: f64,
    },
    /// A start before 1970, or far in the future, in milliseconds.
    #[error("start_ms: {0} is no time of day")]
    Start(i64),
    /// A record that stands for no run.
    #[error("runs: must be at least 1, not {0}")]
    Runs(i32),
    /// A name longer than submissions allow.
    #[error("{field}: longer than {MAX_NAME_BYTES} bytes")]
    Name {
        /// The field's name.
        field: &'static str,
    },
    /// A line of a log that is cut off, or has other fields.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// One run of a task, or several of a job's where no more is known than their mean.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Milliseconds since 1970 at which the run began, by the clock of the controller that heard of it.
    pub start_ms: i64,
    /// Run time in seconds, without the fetch of the image.
    pub secs: f64,
    /// The team that owns the job.
    pub team: String,
    /// The job's class.
    pub class: String,
    /// The job's image.
    pub image: String,
    /// The job's id; `#` and a hash where the state service keeps no more.
    pub job: String,
    /// The task's number; none where a row stands for several tasks of a job.
    pub task: Option<i32>,
    /// The owner's estimate in seconds; 0 for none.
    pub expect_s: f64,
    /// Whether it completed. If not, it takes at least so long.
    pub done: bool,
    /// Tasks that the row stands for, with the geometric mean of their run times.
    pub runs: i32,
    /// The machine, where it is known.
    pub machine: Option<String>,
}

impl RunRecord {
    /// As estimates are learned from it.
    pub fn run(&self) -> Run {
        Run {
            team: self.team.clone(),
            class: self.class.clone(),
            image: self.image.clone(),
            job: self.job.clone(),
            owner_estimate_s: self.expect_s,
            run_time_s: self.secs,
            outcome: match self.done {
                true => RunOutcome::Completed,
                false => RunOutcome::LowerBound,
            },
        }
    }

    /// Milliseconds since 1970 at which it ended.
    pub fn end_ms(&self) -> i64 {
        self.start_ms.saturating_add((self.secs * 1e3) as i64)
    }

    /// Whether every field has a value that a run can have.
    ///
    /// # Errors
    ///
    /// Names the first field that has none.
    pub fn check(&self) -> Result<(), RunRecordError> {
        for (field, seconds) in [("secs", self.secs), ("expect_s", self.expect_s)] {
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

/// The fields of a line by which controllers log a run.
#[derive(Deserialize)]
struct LogEntry {
    /// Milliseconds since 1970 at which it ended.
    at: i64,
    job: String,
    task: i32,
    team: String,
    class: String,
    image: String,
    expect_s: f64,
    secs: f64,
    done: bool,
    machine: String,
}

impl From<LogEntry> for RunRecord {
    fn from(entry: LogEntry) -> RunRecord {
        let lasted_ms = (entry.secs.clamp(0.0, 1e9) * 1e3) as i64;
        RunRecord {
            start_ms: entry.at.saturating_sub(lasted_ms),
            secs: entry.secs,
            team: entry.team,
            class: entry.class,
            image: entry.image,
            job: entry.job,
            task: Some(entry.task),
            expect_s: entry.expect_s,
            done: entry.done,
            runs: 1,
            machine: Some(entry.machine),
        }
    }
}

/// What marks such a line, whatever stands before it.
const LOG_LINE_MARK: &str = "ran run={";

/// The run that a line of a controller's log tells of; none for other lines.
pub fn parse_log_line(line: &str) -> Option<Result<RunRecord, RunRecordError>> {
    let at = line.find(LOG_LINE_MARK)? + LOG_LINE_MARK.len() - 1;
    let mut entries = serde_json::Deserializer::from_str(&line[at..]).into_iter::<LogEntry>();
    let entry = entries.next()?;
    Some(entry.map_err(RunRecordError::from).and_then(|entry| {
        let record = RunRecord::from(entry);
        record.check().map(|()| record)
    }))
}
