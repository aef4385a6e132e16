//! A class's latest jobs: what is remembered, how it is stored, and the distribution it makes.

mod distribution;
mod packed;
mod statistics;

pub use packed::Packed;

use crate::constants::{
    JOBS_PER_CLASS_MAX, RUNS_PER_JOB_MAX, WITHIN_JOB_MAX_TASKS, WITHIN_JOB_PRIOR_TASKS,
    WITHIN_JOB_SD,
};
use crate::{ln_owner_estimate, Run, RunOutcome};

/// One job's runs, as far as they were counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobSample {
    /// A hash of its id.
    pub id_hash: u32,
    /// A hash of its image's name.
    pub image_hash: u16,
    /// Logarithm of the owner's estimate.
    pub ln_estimate: Option<f64>,
    /// Mean logarithm of its tasks' run times; the longest of those cut short, if none completed.
    pub mean: f64,
    /// Tasks counted: 0 if all were cut short.
    pub runs: u8,
}

/// Sums over runs of one job until they are recorded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunBatch {
    /// What is counted so far.
    pub job: JobSample,
    /// Squared deviations from the mean.
    squared_deviations: f64,
}

impl RunBatch {
    /// Of a single run.
    pub fn from_run(run: &Run) -> RunBatch {
        RunBatch {
            job: JobSample {
                id_hash: job_hash(&run.job),
                image_hash: image_hash(&run.image),
                ln_estimate: ln_owner_estimate(run.owner_estimate_s),
                mean: run.ln_run_time(),
                runs: u8::from(run.outcome == RunOutcome::Completed),
            },
            squared_deviations: 0.0,
        }
    }

    /// Adds runs of the same job.
    pub fn add(&mut self, other: &RunBatch) {
        let (a, b) = (f64::from(self.job.runs), f64::from(other.job.runs));
        if a + b == 0.0 {
            self.job.mean = self.job.mean.max(other.job.mean);
        } else {
            let apart = other.job.mean - self.job.mean;
            if a > 0.0 && b > 0.0 {
                self.squared_deviations += apart * apart * a * b / (a + b);
            }
            self.squared_deviations += other.squared_deviations;
            self.job.mean += apart * b / (a + b);
            self.job.runs = self
                .job
                .runs
                .saturating_add(other.job.runs)
                .min(RUNS_PER_JOB_MAX);
        }
        if self.job.ln_estimate.is_none() {
            self.job.ln_estimate = other.job.ln_estimate;
        }
    }
}

/// The hash of a job's id that is stored.
pub fn job_hash(id: &str) -> u32 {
    crate::stable_hash(&[id]) as u32
}

/// The hash of an image's name that is stored.
pub fn image_hash(image: &str) -> u16 {
    crate::stable_hash(&[image]) as u16
}

/// The latest jobs of a class of a team, latest last.
#[derive(Clone, Debug, PartialEq)]
pub struct History {
    jobs: Vec<JobSample>,
    /// Variance of tasks within a job, in squared logarithms.
    within_job_var: f64,
    /// Tasks that it rests on.
    within_job_tasks: f64,
    /// Completed runs counted in all.
    pub runs: u64,
}

impl Default for History {
    fn default() -> History {
        History {
            jobs: Vec::new(),
            within_job_var: WITHIN_JOB_SD * WITHIN_JOB_SD,
            within_job_tasks: WITHIN_JOB_PRIOR_TASKS,
            runs: 0,
        }
    }
}

impl History {
    /// The jobs that are remembered, latest last.
    pub fn jobs(&self) -> &[JobSample] {
        &self.jobs
    }

    /// The latest job with this tag.
    pub fn job(&self, id_hash: u32) -> Option<&JobSample> {
        self.jobs.iter().rev().find(|j| j.id_hash == id_hash)
    }

    /// Counts a job's runs, once. More runs of one that it holds are added to that.
    pub fn add_batch(&mut self, batch: &RunBatch) {
        self.runs = self.runs.saturating_add(u64::from(batch.job.runs));
        let mut squares = batch.squared_deviations;
        let mut tasks = f64::from(batch.job.runs.saturating_sub(1));
        match self
            .jobs
            .iter_mut()
            .find(|j| j.id_hash == batch.job.id_hash)
        {
            Some(known) => {
                let mut sum = RunBatch {
                    job: *known,
                    squared_deviations: 0.0,
                };
                sum.add(batch);
                squares = sum.squared_deviations;
                tasks += f64::from(u8::from(known.runs > 0 && batch.job.runs > 0));
                *known = sum.job;
            }
            None => {
                self.jobs.push(batch.job);
                if self.jobs.len() > JOBS_PER_CLASS_MAX {
                    self.jobs.remove(0);
                }
            }
        }
        if tasks > 0.0 {
            let known = self.within_job_tasks.min(WITHIN_JOB_MAX_TASKS);
            self.within_job_var = (self.within_job_var * known + squares) / (known + tasks);
            self.within_job_tasks = (known + tasks).min(WITHIN_JOB_MAX_TASKS);
        }
    }

    /// Mean logarithms by which run times exceed the owner's estimates, latest last.
    pub fn ln_excesses(&self) -> impl DoubleEndedIterator<Item = f64> + '_ {
        let done = self.jobs.iter().filter(|j| j.runs > 0);
        done.filter_map(|j| Some(j.mean - j.ln_estimate?))
    }
}
