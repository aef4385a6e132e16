//! A class's latest jobs: what is remembered, how it is stored, and the distribution it makes.

mod distribution;
mod packed;
mod statistics;

pub use packed::Packed;

use crate::constants::{
    JOBS_PER_CLASS, MAX_RUNS_PER_JOB, WITHIN_MAX_TASKS, WITHIN_SD, WITHIN_TASKS,
};
use crate::{ln_expect, End, Run};

/// One job's runs, as far as they were counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// A hash of its id.
    pub tag: u32,
    /// A hash of its image's name.
    pub image: u16,
    /// Logarithm of the owner's estimate.
    pub expect: Option<f64>,
    /// Mean logarithm of its tasks' run times; the longest of those cut short, if none completed.
    pub mean: f64,
    /// Tasks counted: 0 if all were cut short.
    pub runs: u8,
}

/// Sums over runs of one job until they are recorded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Batch {
    /// What is counted so far.
    pub job: Job,
    /// Squared deviations from the mean.
    squared_deviations: f64,
}

impl Batch {
    /// Of a single run.
    pub fn of(run: &Run) -> Batch {
        Batch {
            job: Job {
                tag: job_tag(&run.job),
                image: image_tag(&run.image),
                expect: ln_expect(run.expect_s),
                mean: run.ln_secs(),
                runs: u8::from(run.end == End::Done),
            },
            squared_deviations: 0.0,
        }
    }

    /// Adds runs of the same job.
    pub fn add(&mut self, other: &Batch) {
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
                .min(MAX_RUNS_PER_JOB);
        }
        if self.job.expect.is_none() {
            self.job.expect = other.job.expect;
        }
    }
}

/// The hash of a job's id that is stored.
pub fn job_tag(id: &str) -> u32 {
    crate::hash(&[id]) as u32
}

/// The hash of an image's name that is stored.
pub fn image_tag(image: &str) -> u16 {
    crate::hash(&[image]) as u16
}

/// The latest jobs of a class of a team, latest last.
#[derive(Clone, Debug, PartialEq)]
pub struct History {
    jobs: Vec<Job>,
    /// Variance of tasks within a job, in squared logarithms.
    within_var: f64,
    /// Tasks that it rests on.
    within_tasks: f64,
    /// Completed runs counted in all.
    pub runs: u64,
}

impl Default for History {
    fn default() -> History {
        History {
            jobs: Vec::new(),
            within_var: WITHIN_SD * WITHIN_SD,
            within_tasks: WITHIN_TASKS,
            runs: 0,
        }
    }
}

impl History {
    /// The jobs that are remembered, latest last.
    pub fn jobs(&self) -> &[Job] {
        &self.jobs
    }

    /// The latest job with this tag.
    pub fn job(&self, tag: u32) -> Option<&Job> {
        self.jobs.iter().rev().find(|j| j.tag == tag)
    }

    /// Counts a job's runs, once. More runs of one that it holds are added to that.
    pub fn take(&mut self, batch: &Batch) {
        self.runs = self.runs.saturating_add(u64::from(batch.job.runs));
        let mut squares = batch.squared_deviations;
        let mut tasks = f64::from(batch.job.runs.saturating_sub(1));
        match self.jobs.iter_mut().find(|j| j.tag == batch.job.tag) {
            Some(known) => {
                let mut sum = Batch {
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
                if self.jobs.len() > JOBS_PER_CLASS {
                    self.jobs.remove(0);
                }
            }
        }
        if tasks > 0.0 {
            let known = self.within_tasks.min(WITHIN_MAX_TASKS);
            self.within_var = (self.within_var * known + squares) / (known + tasks);
            self.within_tasks = (known + tasks).min(WITHIN_MAX_TASKS);
        }
    }

    /// Mean logarithms by which run times exceed the owner's estimates, latest last.
    pub fn excess(&self) -> impl DoubleEndedIterator<Item = f64> + '_ {
        let done = self.jobs.iter().filter(|j| j.runs > 0);
        done.filter_map(|j| Some(j.mean - j.expect?))
    }
}
