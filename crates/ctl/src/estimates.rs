//! What the state service holds of run times.

use crate::run_record::RunRecord;
use crate::state_client::StateClient;
use crate::Failure;
use glenmount_core::state::{Record, RunTimesRecord};
use glenmount_runtime_estimates::history::History;
use glenmount_runtime_estimates::mixture::Mixture;
use serde::Serialize;

/// Records read at most: many times what controllers keep.
const MAX_RECORDS: usize = 100_000;

/// All records, and how many were damaged.
pub fn read_histories(address: &str) -> Result<(Vec<(RunTimesRecord, History)>, usize), Failure> {
    let stored = StateClient::new(address).list("g/runs/", MAX_RECORDS)?;
    let (mut found, mut damaged) = (Vec::new(), 0);
    for item in stored {
        let history = |r: &RunTimesRecord| History::unpack(&r.packed);
        match item.record() {
            Some((_, Record::RunTimes(r))) => match history(&r) {
                Some(h) => found.push((r, h)),
                None => damaged += 1,
            },
            _ => damaged += 1,
        }
    }
    Ok((found, damaged))
}

/// What is learned of a class, for a job whose owner says what owners said on the whole.
#[derive(Debug, Serialize)]
pub struct ClassSummary {
    pub team: String,
    pub class: String,
    /// Runs counted in all, and jobs remembered of them.
    pub runs: u64,
    pub jobs: usize,
    /// Seconds: 90 in 100 runs should lie between low and high.
    pub low_s: f64,
    pub median_s: f64,
    pub high_s: f64,
    /// Mean logarithm by which run times exceed the owner's estimates, of the latest six jobs.
    pub owner_bias: Option<f64>,
    /// Milliseconds since 1970 of the latest change.
    pub at: u64,
}

pub fn summarize(record: &RunTimesRecord, history: &History) -> ClassSummary {
    let prior = Mixture::new(Vec::new());
    let (jobs, within) = history.mixture(None, 0, &prior);
    let e = jobs.wider(within).estimate();
    let latest: Vec<f64> = history.excess().rev().take(6).collect();
    let bias = latest.iter().sum::<f64>() / latest.len().max(1) as f64;
    ClassSummary {
        team: record.team.clone(),
        class: record.class.clone(),
        runs: history.runs,
        jobs: history.jobs().len(),
        low_s: e.low_s,
        median_s: e.median_s,
        high_s: e.high_s,
        owner_bias: (!latest.is_empty()).then_some(bias),
        at: record.at,
    }
}

/// The jobs that a record remembers, as rows: of their starts only the order is known.
pub fn run_records(record: &RunTimesRecord, history: &History) -> Vec<RunRecord> {
    let count = history.jobs().len() as i64;
    let jobs = history.jobs().iter().enumerate();
    jobs.map(|(i, j)| RunRecord {
        start_ms: (record.at as i64).saturating_sub(count - i as i64).max(0),
        secs: j.mean.exp(),
        team: record.team.clone(),
        class: record.class.clone(),
        image: format!("#{:04x}", j.image),
        job: format!("#{:08x}", j.tag),
        task: None,
        expect_s: j.expect.map_or(0.0, f64::exp),
        done: j.runs > 0,
        runs: i32::from(j.runs.max(1)),
        machine: None,
    })
    .collect()
}
