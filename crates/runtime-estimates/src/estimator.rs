//! All classes, and what stands in for those that are new: their team's bias, that of all teams,
//! then nothing but the owner's word.

use crate::bias::Biases;
use crate::constants::{
    BIAS_JOBS_PER_CLASS, BIAS_SHRINKAGE_JOBS, CLASSES_MAX, DEFAULT_MEDIAN_S, DEFAULT_SD,
    JOBS_PER_CLASS_MAX, MIN_SD,
};
use crate::history::{image_hash, job_hash, History, RunBatch};
use crate::mixture::{Component, Mixture};
use crate::{ln_owner_estimate, Run};
use std::collections::HashMap;

/// Names a class of a team, the same everywhere.
pub type ClassId = u64;

/// The id of a class, from its whole names.
pub fn class_id(team: &str, class: &str) -> ClassId {
    crate::stable_hash(&[team, class])
}

/// What is asked about.
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
    /// Seconds; 0 if the owner gave no estimate.
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
    history: History,
    /// Runs not recorded yet, by job, in the order in which these were first heard of.
    unrecorded: Vec<RunBatch>,
    /// What is recorded and what is not, together.
    combined: History,
    /// When it was last used, counted in runs.
    last_used: u64,
}

impl Class {
    fn combine(&mut self) {
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

/// What is learned, bounded.
#[derive(Debug, Default)]
pub struct RunTimeEstimator {
    classes: HashMap<ClassId, Class>,
    /// Biases of teams and of all, until something changes.
    biases: Option<Biases>,
    clock: u64,
}

impl RunTimeEstimator {
    /// Classes that are remembered.
    pub fn len(&self) -> usize {
        self.classes.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.classes.is_empty()
    }

    /// The class with this id, which makes it the latest used; the least used makes way for a new one.
    fn class(&mut self, id: ClassId, team: &str, class: &str) -> &mut Class {
        if !self.classes.contains_key(&id) && self.classes.len() >= CLASSES_MAX {
            // Those with something to record go last.
            let least_used = self.classes.iter();
            let least_used =
                least_used.min_by_key(|(_, c)| (!c.unrecorded.is_empty(), c.last_used));
            if let Some(id) = least_used.map(|(id, _)| *id) {
                self.classes.remove(&id);
            }
        }
        self.clock += 1;
        self.biases = None;
        let known = self.classes.entry(id).or_default();
        known.last_used = self.clock;
        if known.team.is_empty() {
            known.team = team.to_string();
            known.name = class.to_string();
        }
        known
    }

    /// Counts a run that was heard here; it is to be recorded.
    pub fn add_run(&mut self, run: &Run) {
        let class = self.class(class_id(&run.team, &run.class), &run.team, &run.class);
        let batch = RunBatch::from_run(run);
        match class.unrecorded_job(batch.job.id_hash) {
            Some(known) => known.add(&batch),
            None => {
                // Unrecorded for long: what is oldest would fall out of the record anyway.
                if class.unrecorded.len() >= JOBS_PER_CLASS_MAX {
                    class.unrecorded.remove(0);
                }
                class.unrecorded.push(batch);
            }
        }
        class.combine();
    }

    /// Takes up what is on record of a class, whose names may be shortened there.
    pub fn set_record(&mut self, id: ClassId, team: &str, class: &str, history: History) {
        let known = self.class(id, team, class);
        known.history = history;
        known.combine();
    }

    /// What was on record is no more.
    pub fn remove_record(&mut self, id: ClassId) {
        self.biases = None;
        if let Some(class) = self.classes.get_mut(&id) {
            class.history = History::default();
            class.combine();
            if class.unrecorded.is_empty() {
                self.classes.remove(&id);
            }
        }
    }

    /// Classes with something to record: those with most first.
    pub fn classes_to_record(&self) -> Vec<ClassId> {
        let mut waiting: Vec<(usize, ClassId)> = (self.classes.iter())
            .filter(|(_, c)| !c.unrecorded.is_empty())
            .map(|(id, c)| (c.unrecorded.len(), *id))
            .collect();
        waiting.sort_by(|a, b| b.cmp(a));
        waiting.into_iter().map(|(_, id)| id).collect()
    }

    /// What a class's record becomes with what is to be recorded: team, class, the history, and the batches
    /// that are new in it.
    pub fn updated_record(&self, id: ClassId) -> Option<(&str, &str, History, Vec<RunBatch>)> {
        let class = self.classes.get(&id)?;
        let unrecorded = class.unrecorded.clone();
        Some((&class.team, &class.name, class.combined.clone(), unrecorded))
    }

    /// These have been recorded, or may have been: they are not recorded again. Runs that came
    /// meanwhile stay.
    pub fn mark_recorded(&mut self, id: ClassId, batches: &[RunBatch]) {
        if let Some(class) = self.classes.get_mut(&id) {
            let sent = |b: &RunBatch| batches.iter().any(|s| s.job.id_hash == b.job.id_hash);
            class.unrecorded.retain(|b| !sent(b));
        }
    }

    /// These were certainly not recorded.
    pub fn restore_unrecorded(&mut self, id: ClassId, batches: &[RunBatch]) {
        if let Some(class) = self.classes.get_mut(&id) {
            let later = std::mem::take(&mut class.unrecorded);
            class.unrecorded = batches.to_vec();
            for batch in later {
                match class.unrecorded_job(batch.job.id_hash) {
                    Some(known) => known.add(&batch),
                    None => class.unrecorded.push(batch),
                }
            }
            let over = class.unrecorded.len().saturating_sub(JOBS_PER_CLASS_MAX);
            class.unrecorded.drain(..over);
            class.combine();
            self.biases = None;
        }
    }

    /// What is learned of a class, recorded or not.
    pub fn history(&self, id: ClassId) -> Option<&History> {
        self.classes.get(&id).map(|c| &c.combined)
    }

    /// Team, class and history of all, recorded or not.
    pub fn classes(&self) -> impl Iterator<Item = (&str, &str, &History)> {
        (self.classes.values()).map(|c| (c.team.as_str(), c.name.as_str(), &c.combined))
    }

    fn biases(&mut self) -> &Biases {
        let classes = self.classes.values();
        let classes = classes.map(|class| (class.team.as_str(), &class.combined));
        self.biases.get_or_insert_with(|| Biases::of(classes))
    }

    /// What stands in for a class without a history.
    fn prior(&mut self, about: &JobDescription) -> Mixture {
        let Some(expect) = ln_owner_estimate(about.owner_estimate_s) else {
            return self.prior_without_estimate(about.team);
        };
        let (mean, var) = self.biases().of_team(about.team);
        Mixture::normal(expect + mean, var.max(MIN_SD * MIN_SD))
    }

    /// Without an estimate: what its team's work takes, widely.
    fn prior_without_estimate(&self, team: &str) -> Mixture {
        let of_team = self.classes.values().filter(|c| c.team == team);
        let parts = of_team.flat_map(|c| {
            let done = c.combined.jobs().iter().rev().filter(|j| j.runs > 0);
            done.take(BIAS_JOBS_PER_CLASS).map(|j| Component {
                weight: 1.0,
                mean: j.mean,
                var: 0.25,
            })
        });
        let unknown = Component {
            weight: BIAS_SHRINKAGE_JOBS,
            mean: DEFAULT_MEDIAN_S.ln(),
            var: DEFAULT_SD * DEFAULT_SD,
        };
        Mixture::new(parts.chain([unknown]).collect())
    }

    /// The distribution of the run time of a task of this job.
    pub fn distribution(&mut self, about: &JobDescription) -> Mixture {
        let prior = self.prior(about);
        let id = class_id(about.team, about.class);
        let none = History::default();
        let history = self.classes.get(&id).map_or(&none, |c| &c.combined);
        let expect = ln_owner_estimate(about.owner_estimate_s);
        let (job, within) = history.mixture(expect, image_hash(about.image), &prior);
        let known = history.job(job_hash(about.job)).filter(|j| j.runs > 0);
        let job = match known {
            Some(own) => job.posterior(own.mean, f64::from(own.runs), within),
            None => job,
        };
        job.with_added_variance(within)
    }
}
