//! The histories of all classes, the priors of new classes (the owner's estimate, corrected by the bias of the team's
//! or of all owners), and the runs that are not recorded yet.

use crate::bias::Biases;
use crate::constants::{
    BIAS_JOBS_PER_CLASS, BIAS_SHRINKAGE_JOBS, CLASSES_MAX, DEFAULT_MEDIAN_S, DEFAULT_SD,
    JOBS_PER_CLASS_MAX, MIN_SD,
};
use crate::history::{image_hash, job_hash, History, RunBatch};
use crate::mixture::{Component, Mixture};
use crate::{ln_owner_estimate, Run};
use std::collections::HashMap;

/// Identifies a class of a team, with the same value on every controller.
pub type ClassId = u64;

/// Returns the id of a class, a hash of its whole names.
pub fn class_id(team: &str, class: &str) -> ClassId {
    crate::stable_hash(&[team, class])
}

/// The job that an estimate is for.
#[derive(Clone, Copy, Debug)]
pub struct JobDescription<'a> {
    /// The team that owns the job.
    pub team: &'a str,
    /// The job's class.
    pub class: &'a str,
    /// The job's image.
    pub image: &'a str,
    /// The job's id.
    pub job: &'a str,
    /// The owner's estimate in seconds, or 0 if there is none.
    pub owner_estimate_s: f64,
}

impl<'a> From<&'a Run> for JobDescription<'a> {
    fn from(run: &'a Run) -> JobDescription<'a> {
        JobDescription {
            team: &run.team,
            class: &run.class,
            image: &run.image,
            job: &run.job,
            owner_estimate_s: run.owner_estimate_s,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Class {
    team: String,
    name: String,
    /// The recorded history.
    history: History,
    /// Runs that are not recorded yet, by job, in the order in which the jobs were first observed.
    unrecorded: Vec<RunBatch>,
    /// The recorded history with the unrecorded runs added.
    combined: History,
    /// Value of the use counter at the latest use.
    last_used: u64,
}

impl Class {
    fn update_combined(&mut self) {
        self.combined = self.history.clone();
        for batch in &self.unrecorded {
            self.combined.add_batch(batch);
        }
    }

    fn unrecorded_job(&mut self, id_hash: u32) -> Option<&mut RunBatch> {
        self.unrecorded
            .iter_mut()
            .find(|b| b.job.id_hash == id_hash)
    }
}

/// The histories of at most `CLASSES_MAX` classes.
#[derive(Debug, Default)]
pub struct RunTimeEstimator {
    classes: HashMap<ClassId, Class>,
    /// Cached biases, until a history changes.
    biases: Option<Biases>,
    /// Counts the uses of classes, to find the least recently used one.
    uses: u64,
}

impl RunTimeEstimator {
    /// Returns the number of classes.
    pub fn len(&self) -> usize {
        self.classes.len()
    }

    /// Returns whether there is no class.
    pub fn is_empty(&self) -> bool {
        self.classes.is_empty()
    }

    /// Returns the class with this id and marks it as used. A new class evicts the least recently used one if
    /// necessary.
    fn class(&mut self, id: ClassId, team: &str, class: &str) -> &mut Class {
        if !self.classes.contains_key(&id) && self.classes.len() >= CLASSES_MAX {
            // Classes with unrecorded runs are evicted last.
            let classes = self.classes.iter();
            let least_used = classes.min_by_key(|(_, c)| (!c.unrecorded.is_empty(), c.last_used));
            if let Some(id) = least_used.map(|(id, _)| *id) {
                self.classes.remove(&id);
            }
        }
        self.uses += 1;
        self.biases = None;
        let entry = self.classes.entry(id).or_default();
        entry.last_used = self.uses;
        if entry.team.is_empty() {
            entry.team = team.to_string();
            entry.name = class.to_string();
        }
        entry
    }

    /// Adds a run that this controller observed and has yet to record.
    pub fn add_run(&mut self, run: &Run) {
        let class = self.class(class_id(&run.team, &run.class), &run.team, &run.class);
        let batch = RunBatch::from_run(run);
        match class.unrecorded_job(batch.job.id_hash) {
            Some(same_job) => same_job.add(&batch),
            None => {
                // The record would drop the oldest job anyway.
                if class.unrecorded.len() >= JOBS_PER_CLASS_MAX {
                    class.unrecorded.remove(0);
                }
                class.unrecorded.push(batch);
            }
        }
        class.update_combined();
    }

    /// Replaces the recorded history of a class. The names may be truncated, as they are in records.
    pub fn set_record(&mut self, id: ClassId, team: &str, class: &str, history: History) {
        let entry = self.class(id, team, class);
        entry.history = history;
        entry.update_combined();
    }

    /// Removes the recorded history of a class. Unrecorded runs stay.
    pub fn remove_record(&mut self, id: ClassId) {
        self.biases = None;
        if let Some(class) = self.classes.get_mut(&id) {
            class.history = History::default();
            class.update_combined();
            if class.unrecorded.is_empty() {
                self.classes.remove(&id);
            }
        }
    }

    /// Returns the classes with unrecorded runs, those with the most jobs first.
    pub fn classes_to_record(&self) -> Vec<ClassId> {
        let mut unrecorded: Vec<(usize, ClassId)> = (self.classes.iter())
            .filter(|(_, c)| !c.unrecorded.is_empty())
            .map(|(id, c)| (c.unrecorded.len(), *id))
            .collect();
        unrecorded.sort_by(|a, b| b.cmp(a));
        unrecorded.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the record that a class should have: team, class, the history with all runs, and the batches in it that
    /// are not recorded yet.
    pub fn updated_record(&self, id: ClassId) -> Option<(&str, &str, History, Vec<RunBatch>)> {
        let class = self.classes.get(&id)?;
        let unrecorded = class.unrecorded.clone();
        Some((&class.team, &class.name, class.combined.clone(), unrecorded))
    }

    /// Removes these batches from the unrecorded runs, because they have been recorded or may have been. Runs of other
    /// jobs stay.
    pub fn mark_recorded(&mut self, id: ClassId, batches: &[RunBatch]) {
        if let Some(class) = self.classes.get_mut(&id) {
            let is_recorded = |b: &RunBatch| batches.iter().any(|r| r.job.id_hash == b.job.id_hash);
            class.unrecorded.retain(|b| !is_recorded(b));
        }
    }

    /// Adds these batches to the unrecorded runs again, because the write certainly did not take effect.
    pub fn restore_unrecorded(&mut self, id: ClassId, batches: &[RunBatch]) {
        if let Some(class) = self.classes.get_mut(&id) {
            let later = std::mem::take(&mut class.unrecorded);
            class.unrecorded = batches.to_vec();
            for batch in later {
                match class.unrecorded_job(batch.job.id_hash) {
                    Some(same_job) => same_job.add(&batch),
                    None => class.unrecorded.push(batch),
                }
            }
            let excess = class.unrecorded.len().saturating_sub(JOBS_PER_CLASS_MAX);
            class.unrecorded.drain(..excess);
            class.update_combined();
            self.biases = None;
        }
    }

    /// Returns the history of a class, with its unrecorded runs.
    pub fn history(&self, id: ClassId) -> Option<&History> {
        self.classes.get(&id).map(|c| &c.combined)
    }

    /// Returns team, class and history of all classes, with their unrecorded runs.
    pub fn classes(&self) -> impl Iterator<Item = (&str, &str, &History)> {
        (self.classes.values()).map(|c| (c.team.as_str(), c.name.as_str(), &c.combined))
    }

    fn biases(&mut self) -> &Biases {
        let classes = self.classes.values();
        let classes = classes.map(|class| (class.team.as_str(), &class.combined));
        self.biases
            .get_or_insert_with(|| Biases::from_classes(classes))
    }

    /// Returns the prior distribution of a job: the owner's estimate, corrected by the team's bias.
    fn prior(&mut self, job: &JobDescription) -> Mixture {
        let Some(ln_estimate) = ln_owner_estimate(job.owner_estimate_s) else {
            return self.prior_without_estimate(job.team);
        };
        let (mean, var) = self.biases().of_team(job.team);
        Mixture::normal(ln_estimate + mean, var.max(MIN_SD * MIN_SD))
    }

    /// Returns the prior without an owner's estimate: a wide distribution around the run times of the team's latest
    /// jobs.
    fn prior_without_estimate(&self, team: &str) -> Mixture {
        let of_team = self.classes.values().filter(|c| c.team == team);
        let components = of_team.flat_map(|c| {
            let done = c.combined.jobs().iter().rev().filter(|j| j.runs > 0);
            done.take(BIAS_JOBS_PER_CLASS).map(|j| Component {
                weight: 1.0,
                mean: j.mean,
                var: 0.25,
            })
        });
        let default = Component {
            weight: BIAS_SHRINKAGE_JOBS,
            mean: DEFAULT_MEDIAN_S.ln(),
            var: DEFAULT_SD * DEFAULT_SD,
        };
        Mixture::new(components.chain([default]).collect())
    }

    /// Returns the distribution of the run time of a task of this job.
    pub fn distribution(&mut self, job: &JobDescription) -> Mixture {
        let prior = self.prior(job);
        let id = class_id(job.team, job.class);
        let empty = History::default();
        let history = self.classes.get(&id).map_or(&empty, |c| &c.combined);
        let ln_estimate = ln_owner_estimate(job.owner_estimate_s);
        let (job_mean, within_job_var) =
            history.mixture(ln_estimate, image_hash(job.image), &prior);
        let own = history.job(job_hash(job.job)).filter(|j| j.runs > 0);
        let job_mean = match own {
            Some(own) => job_mean.posterior(own.mean, f64::from(own.runs), within_job_var),
            None => job_mean,
        };
        job_mean.with_added_variance(within_job_var)
    }
}
