//! What the state service holds of run times.

use crate::run_record::RunRecord;
use crate::state_client::{StateClient, StateClientError};
use glenmount_core::state::{Record, RunTimesRecord};
use glenmount_runtime_estimates::history::History;
use glenmount_runtime_estimates::mixture::Mixture;
use serde::Serialize;

/// Records read at most: many times what controllers keep.
const MAX_RECORDS: usize = 100_000;
/// Latest jobs of a class from which the owner's bias is shown.
const OWNER_BIAS_JOBS: usize = 6;

/// A class's record, and the history that it holds.
#[derive(Debug)]
pub struct StoredHistory {
    /// As it is stored.
    pub record: RunTimesRecord,
    /// Unpacked from the record.
    pub history: History,
}

/// All histories that the state service holds.
#[derive(Debug)]
pub struct StoredHistories {
    /// Those that can be read.
    pub readable: Vec<StoredHistory>,
    /// How many can't.
    pub damaged: usize,
}

impl StoredHistories {
    /// Reads them from the state service at an address.
    ///
    /// # Errors
    ///
    /// If the state service can't be used.
    pub fn read(address: &str) -> Result<StoredHistories, StateClientError> {
        let stored = StateClient::new(address).list("g/runs/", MAX_RECORDS)?;
        let (mut readable, mut damaged) = (Vec::new(), 0);
        for item in stored {
            let record = match item.record() {
                Some((_, Record::RunTimes(record))) => Some(record),
                _ => None,
            };
            match record.and_then(StoredHistory::unpack) {
                Some(stored) => readable.push(stored),
                None => damaged += 1,
            }
        }
        Ok(StoredHistories { readable, damaged })
    }
}

/// What is learned of a class, for a job whose owner says what owners said on the whole.
#[derive(Debug, Serialize)]
pub struct ClassSummary {
    /// The team's name.
    pub team: String,
    /// The class's name.
    pub class: String,
    /// Runs counted in all.
    pub runs: u64,
    /// Jobs remembered of them.
    pub jobs: usize,
    /// Seconds: 90 in 100 runs should lie between low and high.
    pub low_s: f64,
    /// Seconds that half of the runs should take at most.
    pub median_s: f64,
    /// Seconds, see `low_s`.
    pub high_s: f64,
    /// Mean logarithm by which run times exceed the owner's estimates, of the latest six jobs.
    pub owner_bias: Option<f64>,
    /// Milliseconds since 1970 of the latest change.
    pub at: u64,
}

impl StoredHistory {
    fn unpack(record: RunTimesRecord) -> Option<StoredHistory> {
        let history = History::unpack(&record.packed)?;
        Some(StoredHistory { record, history })
    }

    /// What is learned of the class.
    pub fn summary(&self) -> ClassSummary {
        let StoredHistory { record, history } = self;
        let prior = Mixture::new(Vec::new());
        let (jobs, within) = history.mixture(None, 0, &prior);
        let estimate = jobs.with_added_variance(within).estimate();
        let latest: Vec<f64> = history.ln_excesses().rev().take(OWNER_BIAS_JOBS).collect();
        let bias = latest.iter().sum::<f64>() / latest.len().max(1) as f64;
        ClassSummary {
            team: record.team.clone(),
            class: record.class.clone(),
            runs: history.runs,
            jobs: history.jobs().len(),
            low_s: estimate.low_s,
            median_s: estimate.median_s,
            high_s: estimate.high_s,
            owner_bias: (!latest.is_empty()).then_some(bias),
            at: record.updated_at,
        }
    }

    /// The jobs that the record remembers, one run each: of their starts only the order is known.
    pub fn run_records(&self) -> Vec<RunRecord> {
        let StoredHistory { record, history } = self;
        let count = history.jobs().len() as i64;
        let jobs = history.jobs().iter().enumerate();
        jobs.map(|(i, job)| RunRecord {
            start_ms: (record.updated_at as i64)
                .saturating_sub(count - i as i64)
                .max(0),
            secs: job.mean.exp(),
            team: record.team.clone(),
            class: record.class.clone(),
            image: format!("#{:04x}", job.image_hash),
            job: format!("#{:08x}", job.id_hash),
            task: None,
            expect_s: job.ln_estimate.map_or(0.0, f64::exp),
            done: job.runs > 0,
            runs: i32::from(job.runs.max(1)),
            machine: None,
        })
        .collect()
    }
}
