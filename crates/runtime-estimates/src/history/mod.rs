//! The history of a class: its latest jobs, their packed form in the state store, and the distribution of run times
//! that follows from them.

mod distribution;
mod packed;
mod statistics;

pub use packed::Packed;

use crate::constants::{
    JOBS_PER_CLASS_MAX, RUNS_PER_JOB_MAX, WITHIN_JOB_MAX_TASKS, WITHIN_JOB_PRIOR_TASKS,
    WITHIN_JOB_SD,
};
use crate::{ln_owner_estimate, Run, RunOutcome};

/// The counted runs of one job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobSample {
    /// A hash of the job's id.
    pub id_hash: u32,
    /// A hash of the image's name.
    pub image_hash: u16,
    /// Logarithm of the owner's estimate.
    pub ln_estimate: Option<f64>,
    /// Mean logarithm of the run times of completed tasks. If none completed, the largest logarithm of the
    /// interrupted ones.
    pub mean: f64,
    /// Completed tasks that count; 0 if all runs were interrupted.
    pub runs: u8,
}

/// Runs of one job that are not recorded yet, summed up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunBatch {
    /// The runs counted so far.
    pub job: JobSample,
    /// Sum of the squared deviations from the mean.
    squared_deviations: f64,
}

impl RunBatch {
    /// Creates a batch of a single run.
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
        let (own_runs, other_runs) = (f64::from(self.job.runs), f64::from(other.job.runs));
        if own_runs + other_runs == 0.0 {
            self.job.mean = self.job.mean.max(other.job.mean);
        } else {
            let mean_difference = other.job.mean - self.job.mean;
            if own_runs > 0.0 && other_runs > 0.0 {
                self.squared_deviations +=
                    mean_difference * mean_difference * own_runs * other_runs
                        / (own_runs + other_runs);
            }
            self.squared_deviations += other.squared_deviations;
            self.job.mean += mean_difference * other_runs / (own_runs + other_runs);
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

/// Returns the hash of a job's id that records hold.
pub fn job_hash(id: &str) -> u32 {
    crate::stable_hash(&[id]) as u32
}

/// Returns the hash of an image's name that records hold.
pub fn image_hash(image: &str) -> u16 {
    crate::stable_hash(&[image]) as u16
}

/// The latest jobs of a class, latest last.
#[derive(Clone, Debug, PartialEq)]
pub struct History {
    jobs: Vec<JobSample>,
    /// Variance of tasks within a job, in squared logarithms.
    within_job_var: f64,
    /// Weight of that variance, in tasks.
    within_job_tasks: f64,
    /// Completed runs counted since the beginning.
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
    /// Returns the jobs, latest last.
    pub fn jobs(&self) -> &[JobSample] {
        &self.jobs
    }

    /// Returns the latest job whose id has this hash.
    pub fn job(&self, id_hash: u32) -> Option<&JobSample> {
        self.jobs.iter().rev().find(|j| j.id_hash == id_hash)
    }

    /// Adds the runs of a job. If the history holds the job already, they are added to its runs.
    pub fn add_batch(&mut self, batch: &RunBatch) {
        self.runs = self.runs.saturating_add(u64::from(batch.job.runs));
        let mut squared_deviations = batch.squared_deviations;
        let mut tasks = f64::from(batch.job.runs.saturating_sub(1));
        match self
            .jobs
            .iter_mut()
            .find(|j| j.id_hash == batch.job.id_hash)
        {
            Some(same_job) => {
                let mut sum = RunBatch {
                    job: *same_job,
                    squared_deviations: 0.0,
                };
                sum.add(batch);
                squared_deviations = sum.squared_deviations;
                tasks += f64::from(u8::from(same_job.runs > 0 && batch.job.runs > 0));
                *same_job = sum.job;
            }
            None => {
                self.jobs.push(batch.job);
                if self.jobs.len() > JOBS_PER_CLASS_MAX {
                    self.jobs.remove(0);
                }
            }
        }
        if tasks > 0.0 {
            let earlier_tasks = self.within_job_tasks.min(WITHIN_JOB_MAX_TASKS);
            self.within_job_var = (self.within_job_var * earlier_tasks + squared_deviations)
                / (earlier_tasks + tasks);
            self.within_job_tasks = (earlier_tasks + tasks).min(WITHIN_JOB_MAX_TASKS);
        }
    }

    /// Returns the logarithms by which the mean run times of jobs exceed their owner's estimates, latest last.
    pub fn ln_excesses(&self) -> impl DoubleEndedIterator<Item = f64> + '_ {
        let done = self.jobs.iter().filter(|j| j.runs > 0);
        done.filter_map(|j| Some(j.mean - j.ln_estimate?))
    }
}
