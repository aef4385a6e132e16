//! Which running tasks are moved, for whatever reason: one planner, one budget.
//!
//! A move stops a task where it runs and lets it be placed anew. Each says what it gains and what it
//! costs, in seconds of a replica's time; it is made only if the gain is clearly more. A service never
//! loses two tasks at a time, nor one while another is missing, and no task moves twice within a
//! stated time. What a move is made of, a stop on record and a claim, survives the end of any controller.

use crate::constants::{MOVES_REMEMBERED, MOVE_AGAIN_MS, MOVE_WORTH, SPREAD_GAIN_S};
use crate::model::{Millis, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Why a task is moved, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Its machine is sick, under notice, or to be returned.
    Leaving,
    /// Its zone holds more of its service than its share.
    Spread,
}

impl Reason {
    /// As it stands on record with the stop.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Leaving => "moved",
            Reason::Spread => "spread",
        }
    }
}

/// A move that could be made.
#[derive(Clone, Debug, PartialEq)]
pub struct Wish {
    pub task: TaskId,
    pub attempt: u64,
    pub machine: String,
    pub reason: Reason,
    /// Seconds of a replica's time that it saves, as far as can be told, and that it takes.
    pub gain_s: f64,
    pub cost_s: f64,
}

/// What has been moved, and how much may be at a time.
#[derive(Debug, Default)]
pub struct Moves {
    moved: BTreeMap<TaskId, Millis>,
    pub at: Millis,
}

impl Moves {
    pub fn new(now: Millis) -> Moves {
        Moves {
            at: now,
            ..Moves::default()
        }
    }

    /// The moves to be made now, at most so many. `missing`: services of which a task is not running
    /// or being moved already.
    pub fn chosen(
        &mut self,
        now: Millis,
        mut wishes: Vec<Wish>,
        most: usize,
        missing: &BTreeSet<String>,
    ) -> Vec<Wish> {
        self.moved.retain(|_, at| now < *at + MOVE_AGAIN_MS);
        let worth = |w: &Wish| w.reason == Reason::Leaving || w.gain_s >= MOVE_WORTH * w.cost_s;
        // What leaves a machine that is to go has no choice.
        let rested = |w: &Wish| w.reason == Reason::Leaving || !self.moved.contains_key(&w.task);
        wishes.retain(|w| worth(w) && rested(w) && !missing.contains(&w.task.job));
        let net = |w: &Wish| w.gain_s - w.cost_s;
        wishes.sort_by(|a, b| {
            (a.reason.cmp(&b.reason))
                .then(net(b).total_cmp(&net(a)))
                .then(a.task.cmp(&b.task))
        });
        let mut services = BTreeSet::new();
        wishes.retain(|w| services.insert(w.task.job.clone()));
        wishes.truncate(most);
        for w in &wishes {
            if self.moved.len() < MOVES_REMEMBERED {
                self.moved.insert(w.task.clone(), now);
            }
        }
        wishes
    }
}

/// What evening out gains, for a service of so many tasks of which so many are in its fullest zone,
/// where its share would be less: the loss of that zone takes fewer of them.
pub fn spread_gain_s(tasks: u32, fullest: u32, zones: usize) -> f64 {
    let share = tasks.div_ceil(zones.max(1) as u32);
    f64::from(fullest.saturating_sub(share).min(1)) * SPREAD_GAIN_S
}

#[cfg(test)]
mod tests;
