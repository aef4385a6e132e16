//! All classes, and what stands in for those that are new: their team's bias, that of all teams,
//! then nothing but the owner's word.

use crate::bias::Biases;
use crate::constants::{
    CLASSES_KEPT, JOBS_PER_CLASS, MIN_SD, PARENT_JOBS_PER_CLASS, PARENT_WEIGHT_JOBS, UNKNOWN_S,
    UNKNOWN_SD,
};
use crate::history::{image_tag, job_tag, Batch, History};
use crate::mixture::{Mixture, Part};
use crate::{ln_expect, Run};
use std::collections::HashMap;

/// Names a class of a team, the same everywhere.
pub type ClassId = u64;

/// The id of a class, from its whole names.
pub fn class_id(team: &str, class: &str) -> ClassId {
    crate::hash(&[team, class])
}

/// What is asked about.
#[derive(Clone, Copy, Debug)]
pub struct About<'a> {
    /// The team that owns the job.
    pub team: &'a str,
    /// The job's class.
    pub class: &'a str,
    /// The job's image.
    pub image: &'a str,
    /// The job's id.
    pub job: &'a str,
    /// Seconds; 0 if the owner gave no estimate.
    pub expect_s: f64,
}

impl<'a> From<&'a Run> for About<'a> {
    fn from(run: &'a Run) -> About<'a> {
        About {
            team: &run.team,
            class: &run.class,
            image: &run.image,
            job: &run.job,
            expect_s: run.expect_s,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Class {
    team: String,
    name: String,
    history: History,
    /// Runs not recorded yet, by job, in the order in which these were first heard of.
    unrecorded: Vec<Batch>,
    /// What is recorded and what is not, together.
    combined: History,
    /// When it was last used, counted in runs.
    last_used: u64,
}

impl Class {
    fn combine(&mut self) {
        self.combined = self.history.clone();
        for batch in &self.unrecorded {
            self.combined.take(batch);
        }
    }

    fn unrecorded_job(&mut self, tag: u32) -> Option<&mut Batch> {
        self.unrecorded.iter_mut().find(|b| b.job.tag == tag)
    }
}

/// What is learned, bounded.
#[derive(Debug, Default)]
pub struct Book {
    classes: HashMap<ClassId, Class>,
    /// Biases of teams and of all, until something changes.
    biases: Option<Biases>,
    clock: u64,
}

impl Book {
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
        if !self.classes.contains_key(&id) && self.classes.len() >= CLASSES_KEPT {
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
    pub fn ran(&mut self, run: &Run) {
        let class = self.class(class_id(&run.team, &run.class), &run.team, &run.class);
        let batch = Batch::of(run);
        match class.unrecorded_job(batch.job.tag) {
            Some(known) => known.add(&batch),
            None => {
                // Unrecorded for long: what is oldest would fall out of the record anyway.
                if class.unrecorded.len() >= JOBS_PER_CLASS {
                    class.unrecorded.remove(0);
                }
                class.unrecorded.push(batch);
            }
        }
        class.combine();
    }

    /// Takes up what is on record of a class, whose names may be shortened there.
    pub fn recorded(&mut self, id: ClassId, team: &str, class: &str, history: History) {
        let known = self.class(id, team, class);
        known.history = history;
        known.combine();
    }

    /// What was on record is no more.
    pub fn removed(&mut self, id: ClassId) {
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
    pub fn unrecorded(&self) -> Vec<ClassId> {
        let mut waiting: Vec<(usize, ClassId)> = (self.classes.iter())
            .filter(|(_, c)| !c.unrecorded.is_empty())
            .map(|(id, c)| (c.unrecorded.len(), *id))
            .collect();
        waiting.sort_by(|a, b| b.cmp(a));
        waiting.into_iter().map(|(_, id)| id).collect()
    }

    /// What a class's record becomes with what is to be recorded: team, class, the history, and the batches
    /// that are new in it.
    pub fn to_record(&self, id: ClassId) -> Option<(&str, &str, History, Vec<Batch>)> {
        let class = self.classes.get(&id)?;
        let unrecorded = class.unrecorded.clone();
        Some((&class.team, &class.name, class.combined.clone(), unrecorded))
    }

    /// These have been recorded, or may have been: they are not recorded again. Runs that came
    /// meanwhile stay.
    pub fn sent(&mut self, id: ClassId, batches: &[Batch]) {
        if let Some(class) = self.classes.get_mut(&id) {
            let sent = |b: &Batch| batches.iter().any(|s| s.job.tag == b.job.tag);
            class.unrecorded.retain(|b| !sent(b));
        }
    }

    /// These were certainly not recorded.
    pub fn unsent(&mut self, id: ClassId, batches: &[Batch]) {
        if let Some(class) = self.classes.get_mut(&id) {
            let later = std::mem::take(&mut class.unrecorded);
            class.unrecorded = batches.to_vec();
            for batch in later {
                match class.unrecorded_job(batch.job.tag) {
                    Some(known) => known.add(&batch),
                    None => class.unrecorded.push(batch),
                }
            }
            let over = class.unrecorded.len().saturating_sub(JOBS_PER_CLASS);
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
    fn prior(&mut self, about: &About) -> Mixture {
        let Some(expect) = ln_expect(about.expect_s) else {
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
            done.take(PARENT_JOBS_PER_CLASS).map(|j| Part {
                weight: 1.0,
                mean: j.mean,
                var: 0.25,
            })
        });
        let unknown = Part {
            weight: PARENT_WEIGHT_JOBS,
            mean: UNKNOWN_S.ln(),
            var: UNKNOWN_SD * UNKNOWN_SD,
        };
        Mixture::new(parts.chain([unknown]).collect())
    }

    /// The distribution of the run time of a task of this job.
    pub fn distribution(&mut self, about: &About) -> Mixture {
        let prior = self.prior(about);
        let id = class_id(about.team, about.class);
        let none = History::default();
        let history = self.classes.get(&id).map_or(&none, |c| &c.combined);
        let expect = ln_expect(about.expect_s);
        let (job, within) = history.mixture(expect, image_tag(about.image), &prior);
        let known = history.job(job_tag(about.job)).filter(|j| j.runs > 0);
        let job = match known {
            Some(own) => job.given(own.mean, f64::from(own.runs), within),
            None => job,
        };
        job.wider(within)
    }
}
