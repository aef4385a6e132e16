//! A class's latest jobs: what is remembered, how it is stored, and the distribution it makes.

use crate::constants::*;
use crate::mixture::{Mixture, Part};
use crate::{ln_expect, End, Run};
use base64::engine::general_purpose::STANDARD_NO_PAD as BASE64;
use base64::Engine;
use serde::{Deserialize, Serialize};

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
    pub job: Job,
    /// Squared deviations from the mean.
    squares: f64,
}

impl Batch {
    pub fn of(run: &Run) -> Batch {
        Batch {
            job: Job {
                tag: job_tag(&run.job),
                image: image_tag(&run.image),
                expect: ln_expect(run.expect_s),
                mean: run.ln_secs(),
                runs: u8::from(run.end == End::Done),
            },
            squares: 0.0,
        }
    }

    /// Adds runs of the same job. Returns what they add to the squared deviations, and tasks.
    pub fn add(&mut self, other: &Batch) {
        let (a, b) = (f64::from(self.job.runs), f64::from(other.job.runs));
        if a + b == 0.0 {
            self.job.mean = self.job.mean.max(other.job.mean);
        } else {
            let apart = other.job.mean - self.job.mean;
            if a > 0.0 && b > 0.0 {
                self.squares += apart * apart * a * b / (a + b);
            }
            self.squares += other.squares;
            self.job.mean += apart * b / (a + b);
            self.job.runs = self
                .job
                .runs
                .saturating_add(other.job.runs)
                .min(RUNS_COUNTED);
        }
        if self.job.expect.is_none() {
            self.job.expect = other.job.expect;
        }
    }
}

pub fn job_tag(id: &str) -> u32 {
    crate::hash(&[id]) as u32
}

pub fn image_tag(image: &str) -> u16 {
    crate::hash(&[image]) as u16
}

/// Latest jobs last.
#[derive(Clone, Debug, PartialEq)]
pub struct History {
    jobs: Vec<Job>,
    /// Variance of tasks within a job, in squared logarithms, and the tasks that it rests on.
    within: f64,
    within_tasks: f64,
    /// Completed runs counted in all.
    pub runs: u64,
}

impl Default for History {
    fn default() -> History {
        History {
            jobs: Vec::new(),
            within: WITHIN_SD * WITHIN_SD,
            within_tasks: WITHIN_TASKS,
            runs: 0,
        }
    }
}

/// As it is stored: bytes of the jobs in base64, with a check sum.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Packed {
    #[serde(rename = "j")]
    jobs: String,
    /// Thousandths.
    #[serde(rename = "w")]
    within: u32,
    #[serde(rename = "k")]
    within_tasks: u32,
    #[serde(rename = "n")]
    runs: u64,
    #[serde(rename = "s")]
    sum: u32,
}

/// Bytes of a stored job: tag 4, image 2, estimate 2, mean 2, runs 1.
const JOB_BYTES: usize = 11;
/// Logarithms are stored in thousandths, from here up.
const LN_FROM: f64 = -3.0;
/// Stands for no estimate.
const NO_LN: u16 = u16::MAX;

fn pack_ln(ln: f64) -> u16 {
    ((ln - LN_FROM) * 1_000.0).round().clamp(0.0, 65_000.0) as u16
}

fn unpack_ln(n: u16) -> f64 {
    f64::from(n) / 1_000.0 + LN_FROM
}

impl Packed {
    fn sum_of(&self) -> u32 {
        let numbers = format!("{} {} {}", self.within, self.within_tasks, self.runs);
        crate::hash(&[&self.jobs, &numbers]) as u32
    }
}

impl History {
    pub fn pack(&self) -> Packed {
        let mut bytes = Vec::with_capacity(self.jobs.len() * JOB_BYTES);
        for j in &self.jobs {
            bytes.extend_from_slice(&j.tag.to_le_bytes());
            bytes.extend_from_slice(&j.image.to_le_bytes());
            bytes.extend_from_slice(&j.expect.map_or(NO_LN, pack_ln).to_le_bytes());
            bytes.extend_from_slice(&pack_ln(j.mean).to_le_bytes());
            bytes.push(j.runs);
        }
        let mut packed = Packed {
            jobs: BASE64.encode(bytes),
            within: (self.within * 1_000.0).round().clamp(0.0, 1e6) as u32,
            within_tasks: (self.within_tasks * 1_000.0).round().clamp(0.0, 1e6) as u32,
            runs: self.runs,
            sum: 0,
        };
        packed.sum = packed.sum_of();
        packed
    }

    /// None for what was damaged, or written by nobody.
    pub fn unpack(packed: &Packed) -> Option<History> {
        let most = (JOBS_KEPT * JOB_BYTES).div_ceil(3) * 4;
        if packed.jobs.len() > most || packed.sum != packed.sum_of() {
            return None;
        }
        let bytes = BASE64.decode(&packed.jobs).ok()?;
        if bytes.len() % JOB_BYTES != 0 || bytes.len() > JOBS_KEPT * JOB_BYTES {
            return None;
        }
        let jobs = bytes.chunks_exact(JOB_BYTES).map(|b| {
            let two = |at: usize| u16::from_le_bytes([b[at], b[at + 1]]);
            let expect = two(6);
            Job {
                tag: u32::from_le_bytes([b[0], b[1], b[2], b[3]]),
                image: two(4),
                expect: (expect != NO_LN).then(|| unpack_ln(expect)),
                mean: unpack_ln(two(8)),
                runs: b[10],
            }
        });
        Some(History {
            jobs: jobs.collect(),
            within: f64::from(packed.within.min(1_000_000)) / 1_000.0,
            within_tasks: f64::from(packed.within_tasks.min(1_000_000)) / 1_000.0,
            runs: packed.runs,
        })
    }

    pub fn jobs(&self) -> &[Job] {
        &self.jobs
    }

    pub fn job(&self, tag: u32) -> Option<&Job> {
        self.jobs.iter().rev().find(|j| j.tag == tag)
    }

    /// Counts a job's runs, once. More runs of one that it holds are added to that.
    pub fn take(&mut self, batch: &Batch) {
        self.runs = self.runs.saturating_add(u64::from(batch.job.runs));
        let mut squares = batch.squares;
        let mut tasks = f64::from(batch.job.runs.saturating_sub(1));
        match self.jobs.iter_mut().find(|j| j.tag == batch.job.tag) {
            Some(known) => {
                let mut sum = Batch {
                    job: *known,
                    squares: 0.0,
                };
                sum.add(batch);
                squares = sum.squares;
                tasks += f64::from(u8::from(known.runs > 0 && batch.job.runs > 0));
                *known = sum.job;
            }
            None => {
                self.jobs.push(batch.job);
                if self.jobs.len() > JOBS_KEPT {
                    self.jobs.remove(0);
                }
            }
        }
        if tasks > 0.0 {
            let known = self.within_tasks.min(WITHIN_MOST);
            self.within = (self.within * known + squares) / (known + tasks);
            self.within_tasks = (known + tasks).min(WITHIN_MOST);
        }
    }

    /// Mean logarithms by which run times exceed the owner's estimates, latest last.
    pub fn excess(&self) -> impl DoubleEndedIterator<Item = f64> + '_ {
        let done = self.jobs.iter().filter(|j| j.runs > 0);
        done.filter_map(|j| Some(j.mean - j.expect?))
    }

    /// The distribution of a job's mean, given what would stand in were there no history, and the
    /// variance of tasks within a job.
    pub fn mixture(&self, expect: Option<f64>, image: u16, prior: &Mixture) -> (Mixture, f64) {
        let done: Vec<&Job> = self.jobs.iter().filter(|j| j.runs > 0).collect();
        let within = self.within.max(1e-4);
        if done.is_empty() {
            return (self.censor(prior.parts().to_vec(), expect, 0.0), within);
        }
        let slope = self.slope(&done, expect);
        // As they would be were the owner's estimate this one.
        let at = |j: &Job| match (expect, j.expect) {
            (Some(x), Some(own)) => j.mean + slope * (x - own),
            _ => j.mean,
        };
        let points: Vec<f64> = done.iter().map(|j| at(j)).collect();
        let changed = last_change(&points);
        let apart = images_tell(&done, &points, changed);
        let mut weights: Vec<f64> = Vec::new();
        for (i, j) in done.iter().enumerate() {
            let age = (done.len() - 1 - i) as i32;
            let mut weight = FADE.powi(age);
            if i < changed {
                weight *= CHANGE_FADE;
            }
            if apart && j.image != image {
                weight *= IMAGE_FADE;
            }
            weights.push(weight);
        }
        let sum: f64 = weights.iter().sum();
        let squares: f64 = weights.iter().map(|w| w * w).sum();
        let count = sum * sum / squares;
        let mean = dot(&weights, &points) / sum;
        let var = (weights.iter().zip(&points))
            .map(|(w, p)| w * (p - mean).powi(2))
            .sum::<f64>()
            / sum;
        // Kernel density: each job spread out by a width that falls with their number, the points
        // drawn together so that the whole keeps the variance of a new job's.
        let unbiased = var * (count / (count - 1.0).max(0.5)).min(2.0);
        // Jobs of one task each do not tell what is within them: part of what is seen, then.
        let within = match self.within_tasks > WITHIN_TASKS {
            true => within,
            false => within.min(unbiased / 2.0).max(1e-4),
        };
        // Means of few tasks are apart by what these are apart, too.
        let noise = weights
            .iter()
            .zip(&done)
            .map(|(w, j)| w / f64::from(j.runs));
        let noise = within * noise.sum::<f64>() / sum;
        let least = LEAST_SD * LEAST_SD;
        let wanted = (unbiased * (1.0 + 1.0 / count) - noise).max(least);
        let robust = spread(&weights, &points).min(unbiased.sqrt()).max(LEAST_SD);
        let width = (robust * count.powf(-0.2)).min(wanted.sqrt());
        let draw = match var > 1e-9 {
            true => ((wanted - width * width).max(0.0) / var).sqrt().min(1.2),
            false => 1.0,
        };
        let mut parts: Vec<Part> = (weights.iter().zip(&points))
            .map(|(weight, p)| Part {
                weight: *weight,
                mean: mean + (p - mean) * draw,
                var: width * width,
            })
            .collect();
        let stand_in = PRIOR_JOBS / (1.0 + count / PRIOR_HALF);
        parts.extend(prior.parts().iter().map(|p| Part {
            weight: p.weight * stand_in,
            ..*p
        }));
        (self.censor(parts, expect, slope), within)
    }

    /// How run times go with the owner's estimates: 1 if they are proportional, 0 if these say
    /// nothing.
    fn slope(&self, done: &[&Job], expect: Option<f64>) -> f64 {
        if expect.is_none() {
            return 0.0;
        }
        let pairs: Vec<(f64, f64, f64)> = (done.iter().rev().enumerate())
            .filter_map(|(age, j)| Some((FADE.powi(age as i32), j.expect?, j.mean)))
            .collect();
        let sum: f64 = pairs.iter().map(|p| p.0).sum();
        if sum <= 0.0 {
            return 0.0;
        }
        let x = pairs.iter().map(|p| p.0 * p.1).sum::<f64>() / sum;
        let y = pairs.iter().map(|p| p.0 * p.2).sum::<f64>() / sum;
        let xx: f64 = pairs.iter().map(|p| p.0 * (p.1 - x).powi(2)).sum();
        let xy: f64 = pairs.iter().map(|p| p.0 * (p.1 - x) * (p.2 - y)).sum();
        ((xy + SLOPE_RIDGE) / (xx + SLOPE_RIDGE)).clamp(0.0, 1.3)
    }

    /// Runs that were cut short take at least as long as they lasted: the weight of each goes to
    /// what is longer (Efron's redistribution to the right).
    fn censor(&self, mut parts: Vec<Part>, expect: Option<f64>, slope: f64) -> Mixture {
        for (age, j) in self.jobs.iter().rev().enumerate() {
            if j.runs > 0 {
                continue;
            }
            let least = match (expect, j.expect) {
                (Some(x), Some(own)) => j.mean + slope * (x - own),
                _ => j.mean,
            };
            let weight = FADE.powi(age as i32);
            let right: f64 = (parts.iter().filter(|p| p.mean > least))
                .map(|p| p.weight)
                .sum();
            if right > 0.05 * weight {
                for p in parts.iter_mut().filter(|p| p.mean > least) {
                    p.weight *= 1.0 + weight / right;
                }
            } else {
                parts.push(Part {
                    weight,
                    mean: least + BEYOND.ln(),
                    var: (BEYOND.ln()).powi(2),
                });
            }
        }
        Mixture::new(parts)
    }
}

fn dot(a: &[f64], b: &[f64]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    match sorted.len() {
        0 => 0.0,
        n if n % 2 == 1 => sorted[n / 2],
        n => (sorted[n / 2 - 1] + sorted[n / 2]) / 2.0,
    }
}

/// Standard deviation by the weighted quartiles: one freak does not move it.
fn spread(weights: &[f64], points: &[f64]) -> f64 {
    let mut sorted: Vec<(f64, f64)> = points
        .iter()
        .copied()
        .zip(weights.iter().copied())
        .collect();
    sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
    let sum: f64 = weights.iter().sum();
    let quantile = |share: f64| {
        let mut below = 0.0;
        for (p, w) in &sorted {
            below += w;
            if below >= share * sum {
                return *p;
            }
        }
        sorted.last().map_or(0.0, |(p, _)| *p)
    };
    (quantile(0.75) - quantile(0.25)) / 1.349
}

/// The first job of the latest level: that since which the median differs most, by more than
/// chance, from what was before. 0 if there was no change.
fn last_change(points: &[f64]) -> usize {
    let mut best = (CHANGE_ERRORS, 0);
    for since in CHANGE_LEAST..points.len().saturating_sub(CHANGE_LEAST - 1) {
        let (before, after) = points.split_at(since);
        if after.len() < CHANGE_LEAST {
            break;
        }
        let level = median(before);
        let off: Vec<f64> = before.iter().map(|p| (p - level).abs()).collect();
        let sd = (median(&off) * 1.4826).max(CHANGE_SD);
        let change = median(after) - level;
        // All on one side: a class of two kinds of work changes back and forth.
        if !after
            .iter()
            .all(|p| (p - level) * change.signum() > 0.5 * sd)
        {
            continue;
        }
        let parts = 1.0 / after.len() as f64 + 1.0 / before.len() as f64;
        let errors = change.abs() / (sd * MEDIAN_ERROR * parts.sqrt());
        if errors > best.0 {
            best = (errors, since);
        }
    }
    best.1
}

/// Whether jobs with the same image are alike and those with different ones are not.
fn images_tell(done: &[&Job], points: &[f64], changed: usize) -> bool {
    let mut groups: std::collections::BTreeMap<u16, Vec<f64>> = Default::default();
    for (j, p) in done.iter().zip(points).skip(changed) {
        groups.entry(j.image).or_default().push(*p);
    }
    groups.retain(|_, points| points.len() >= 2);
    let all: Vec<f64> = groups.values().flatten().copied().collect();
    if groups.len() < 2 || all.len() < IMAGE_JOBS {
        return false;
    }
    let mean_of = |v: &[f64]| v.iter().sum::<f64>() / v.len() as f64;
    let mean = mean_of(&all);
    let total: f64 = all.iter().map(|p| (p - mean).powi(2)).sum();
    let inside: f64 = (groups.values())
        .map(|g| {
            let own = mean_of(g);
            g.iter().map(|p| (p - own).powi(2)).sum::<f64>()
        })
        .sum();
    // Per degree of freedom, so that many small groups do not explain by their number alone.
    let free = (all.len() - groups.len()).max(1) as f64;
    let share = 1.0 - (inside / free) / (total / (all.len() - 1) as f64).max(1e-9);
    all.len() > groups.len() && share > IMAGE_SHARE
}
