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
mod tests {
    use super::*;
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};

    fn wish(job: &str, index: u32, reason: Reason, gain_s: f64, cost_s: f64) -> Wish {
        let job = job.to_string();
        Wish {
            task: TaskId { job, index },
            attempt: 1,
            machine: format!("n-{index}"),
            reason,
            gain_s,
            cost_s,
        }
    }

    fn names(chosen: &[Wish]) -> Vec<String> {
        chosen.iter().map(|w| w.task.to_string()).collect()
    }

    #[test]
    fn leaving_goes_first_and_little_gain_is_no_reason() {
        let mut moves = Moves::default();
        let wishes = vec![
            wish("a", 0, Reason::Spread, 20.0, 2.0),
            wish("b", 0, Reason::Spread, 20.0, 15.0),
            wish("c", 0, Reason::Leaving, 0.0, 5.0),
        ];
        let chosen = moves.chosen(1_000, wishes, 9, &BTreeSet::new());
        assert_eq!(names(&chosen), ["c/0", "a/0"]);
    }

    /// Whatever is wished, however often.
    #[test]
    fn a_service_never_loses_two_and_no_task_moves_twice_soon() {
        let mut rng = SmallRng::seed_from_u64(5);
        let mut moves = Moves::default();
        let mut last: BTreeMap<TaskId, Millis> = BTreeMap::new();
        for round in 0..400 {
            let now = round * 10_000;
            let wishes: Vec<Wish> = (0..30)
                .map(|_| {
                    let job = ["a", "b", "c", "d"][rng.gen_range(0..4)];
                    let gain = rng.gen_range(0.0..30.0);
                    wish(job, rng.gen_range(0..6), Reason::Spread, gain, 4.0)
                })
                .collect();
            let missing = BTreeSet::from(["d".to_string()]);
            let most = rng.gen_range(0..4);
            let chosen = moves.chosen(now, wishes, most, &missing);
            assert!(chosen.len() <= most);
            let services: BTreeSet<&str> = chosen.iter().map(|w| w.task.job.as_str()).collect();
            assert_eq!(services.len(), chosen.len(), "one of a service at a time");
            for w in chosen {
                assert!(w.task.job != "d" && w.gain_s >= MOVE_WORTH * w.cost_s);
                let before = last.insert(w.task.clone(), now);
                assert!(before.is_none_or(|at| now >= at + MOVE_AGAIN_MS));
            }
        }
    }

    #[test]
    fn evening_out_gains_only_beyond_a_zones_share() {
        assert_eq!(spread_gain_s(4, 2, 2), 0.0);
        assert_eq!(spread_gain_s(4, 3, 2), SPREAD_GAIN_S);
        assert_eq!(spread_gain_s(5, 3, 2), 0.0);
        assert_eq!(spread_gain_s(1, 1, 3), 0.0);
        assert_eq!(spread_gain_s(3, 3, 1), 0.0);
    }
}
