//! The run-time histories in the state store.

use crate::run_record::RunRecord;
use crate::state_client::{StateClient, StateClientError};
use glenmount_core::state::{Record, RunTimesRecord};
use glenmount_runtime_estimates::history::History;
use glenmount_runtime_estimates::mixture::Mixture;
use serde::Serialize;

/// Largest number of records that are read, many times the number that controllers keep.
const MAX_RECORDS: usize = 100_000;
/// Number of latest jobs of a class that determine the bias of the owner's estimates.
const OWNER_BIAS_JOBS: usize = 6;

/// The record of a class, with its history.
#[derive(Debug)]
pub struct StoredHistory {
    /// The record as it is stored.
    pub record: RunTimesRecord,
    /// The history unpacked from the record.
    pub history: History,
}

/// All histories in the state store.
#[derive(Debug)]
pub struct StoredHistories {
    /// The readable histories.
    pub readable: Vec<StoredHistory>,
    /// Number of unreadable records.
    pub damaged: usize,
}

impl StoredHistories {
    /// Reads the histories from the state store at an address.
    ///
    /// # Errors
    ///
    /// If the state store cannot be read.
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

/// The estimate of a class, for a job without an owner's estimate.
#[derive(Debug, Serialize)]
pub struct ClassSummary {
    /// The team's name.
    pub team: String,
    /// The class's name.
    pub class: String,
    /// Completed runs counted since the beginning.
    pub runs: u64,
    /// Jobs in the history.
    pub jobs: usize,
    /// Lower end of the interval that should hold 90 of 100 runs, in seconds.
    pub low_s: f64,
    /// Seconds within which half of the runs should end.
    pub median_s: f64,
    /// Upper end of the interval, in seconds.
    pub high_s: f64,
    /// Mean logarithm by which the run times of the latest six jobs exceed the owner's estimates.
    pub owner_bias: Option<f64>,
    /// Time of the latest change, in milliseconds since 1970.
    #[serde(rename = "at")]
    pub updated_at_ms: u64,
}

impl StoredHistory {
    fn unpack(record: RunTimesRecord) -> Option<StoredHistory> {
        let history = History::unpack(&record.packed)?;
        Some(StoredHistory { record, history })
    }

    /// Computes the estimate of the class.
    pub fn summary(&self) -> ClassSummary {
        let StoredHistory { record, history } = self;
        let prior = Mixture::new(Vec::new());
        let (job_mean, within_job_var) = history.mixture(None, 0, &prior);
        let estimate = job_mean.with_added_variance(within_job_var).estimate();
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
            updated_at_ms: record.updated_at,
        }
    }

    /// Returns one record per job of the history. Of the start times only the order is known, so they are made up in
    /// this order just before the latest change.
    pub fn run_records(&self) -> Vec<RunRecord> {
        let StoredHistory { record, history } = self;
        let count = history.jobs().len() as i64;
        let jobs = history.jobs().iter().enumerate();
        jobs.map(|(i, job)| RunRecord {
            start_ms: (record.updated_at as i64)
                .saturating_sub(count - i as i64)
                .max(0),
            run_time_s: job.mean.exp(),
            team: record.team.clone(),
            class: record.class.clone(),
            image: format!("#{:04x}", job.image_hash),
            job: format!("#{:08x}", job.id_hash),
            task: None,
            owner_estimate_s: job.ln_estimate.map_or(0.0, f64::exp),
            done: job.runs > 0,
            runs: i32::from(job.runs.max(1)),
            machine: None,
        })
        .collect()
    }
}
