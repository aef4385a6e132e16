//! A run as exports have it, and how it is read from a controller's log.

use crate::Failure;
use glenmount_runtime_estimates::{End, Run};
use serde::{Deserialize, Serialize};

/// Bytes of a name at most, as submissions allow.
const MAX_NAME_BYTES: usize = 200;
/// Milliseconds since 1970 that a start may have: until the year 2286.
const MAX_START_MS: i64 = 9_999_999_999_999;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Milliseconds since 1970 at which the run began, by the time of day of the controller that heard it.
    pub start_ms: i64,
    /// Run time in seconds, without the fetch of the image.
    pub secs: f64,
    pub team: String,
    pub class: String,
    pub image: String,
    pub job: String,
    /// The task's number; none where a row stands for several tasks of a job.
    pub task: Option<i32>,
    /// The owner's estimate in seconds; 0 for none.
    pub expect_s: f64,
    /// Whether it completed. If not, it takes at least so long.
    pub done: bool,
    /// Tasks that the row stands for, with the geometric mean of their run times.
    pub runs: i32,
    pub machine: Option<String>,
}

impl RunRecord {
    pub fn run(&self) -> Run {
        Run {
            team: self.team.clone(),
            class: self.class.clone(),
            image: self.image.clone(),
            job: self.job.clone(),
            expect_s: self.expect_s,
            secs: self.secs,
            end: match self.done {
                true => End::Done,
                false => End::AtLeast,
            },
        }
    }

    pub fn end_ms(&self) -> i64 {
        self.start_ms.saturating_add((self.secs * 1e3) as i64)
    }

    /// Says which field can't be.
    pub fn check(&self) -> Result<(), Failure> {
        let time = |field: &str, x: f64| match x.is_finite() && (0.0..=1e9).contains(&x) {
            true => Ok(()),
            false => Err(format!(
                "{field}: must be between 0 and 1e9 seconds, not {x}"
            )),
        };
        time("secs", self.secs)?;
        time("expect_s", self.expect_s)?;
        if !(0..=MAX_START_MS).contains(&self.start_ms) {
            return Err(format!("start_ms: {} is no time of day", self.start_ms));
        }
        if self.runs < 1 {
            return Err(format!("runs: must be at least 1, not {}", self.runs));
        }
        let names = [
            ("team", &self.team),
            ("class", &self.class),
            ("image", &self.image),
            ("job", &self.job),
        ];
        for (field, name) in names {
            if name.len() > MAX_NAME_BYTES {
                return Err(format!("{field}: longer than {MAX_NAME_BYTES} bytes"));
            }
        }
        Ok(())
    }
}

/// As the controllers log it.
#[derive(Deserialize)]
struct LogEntry {
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

/// What marks such a line, whatever stands before it.
const LOG_LINE_MARK: &str = "ran run={";

/// The run that a line of a controller's log tells of, if it does.
pub fn parse_log_line(line: &str) -> Option<Result<RunRecord, Failure>> {
    let at = line.find(LOG_LINE_MARK)? + LOG_LINE_MARK.len() - 1;
    let mut values = serde_json::Deserializer::from_str(&line[at..]).into_iter::<LogEntry>();
    let row = match values.next()? {
        Err(e) => Err(e.to_string()),
        Ok(entry) => {
            let row = RunRecord {
                start_ms: entry
                    .at
                    .saturating_sub((entry.secs.clamp(0.0, 1e9) * 1e3) as i64),
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
            };
            row.check().map(|()| row)
        }
    };
    Some(row)
}
