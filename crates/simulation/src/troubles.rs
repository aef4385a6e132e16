//! Troubles that the users named beyond cuts, ends and lost messages: machines that hang, close looks at
//! jobs that have just changed, old reports for the next controller, cancellations at the moment of an end.

use crate::{no_answer, Act, Overlaps, World};
use glenmount_core::controller::CommandOutcome;
use glenmount_core::model::*;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// What a user asks who looks closely.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Look {
    Ask,
    SubmitAgain,
    Cancel,
}

/// Milliseconds within which users look again at what has just changed.
const LOOKS_WITHIN_MS: u64 = 12;
/// Milliseconds for which an answer may be on its way: controllers give up on polls after as many.
const OVERLAP_MOST_MS: u64 = 1_500;
/// Looks at each controller.
const LOOKS: usize = 4;
/// One job in so many is called off at once after its acceptance.
const CALLED_OFF_PART: u32 = 8;
/// Milliseconds within which old reports come once a controller begins.
const KEPT_WITHIN_MS: u64 = 3_000;
/// Reports that are kept.
const KEPT_MOST: usize = 400;

/// Since when jobs have waited though a machine that fits has room and their team is under its limit: by the
/// world's own sum of what runs, not by the records.
#[derive(Debug, Default)]
pub struct Waits {
    since: BTreeMap<String, u64>,
    /// Milliseconds, and the job that waited so long.
    pub longest: u64,
    pub job: String,
}

impl Overlaps {
    /// An answer says less than one that was given before. It may only if it was asked for before that:
    /// the two were on their way together, and no controller can know what another is just about to say.
    pub(crate) fn older(&mut self, asked_at: u64, told_at: u64, now: u64, why: &str) {
        assert!(
            asked_at < told_at,
            "{why}, asked at {asked_at}, told at {told_at}"
        );
        assert!(
            now - told_at <= OVERLAP_MOST_MS,
            "{why}, {} ms later",
            now - told_at
        );
        self.answers += 1;
        self.longest = self.longest.max(now - told_at);
    }
}

impl Waits {
    pub fn look(&mut self, w: &World) {
        let waiting = w.waiting_beside_room();
        self.since.retain(|id, _| waiting.contains(id));
        for id in waiting {
            let since = *self.since.entry(id.clone()).or_insert(w.now);
            if w.now - since > self.longest {
                (self.longest, self.job) = (w.now - since, id);
            }
        }
    }
}

impl World {
    /// Jobs of which a task waits although a machine that it may use has room for it, and its team is under
    /// its limit.
    pub fn waiting_beside_room(&self) -> BTreeSet<String> {
        let mut waiting = BTreeSet::new();
        let open = |id: &str| match self.told.get(id) {
            Some(t) => t.accepted && !t.asked_cancel && !t.done,
            None => false,
        };
        for (id, spec) in self.specs.iter().filter(|(id, _)| open(id)) {
            let (on, done) = (self.rules.places(id).count(), self.done_of(id));
            let used = self.rules.used(&spec.team) + spec.resources.cpus;
            let under = self
                .limit(&spec.team)
                .is_some_and(|limit| limit == 0 || used <= limit);
            let ready = spec.dependencies.iter().all(|a| self.all_done(a));
            let plain = !spec.zone_affinity && !spec.topology_spread;
            if on + done >= spec.tasks as usize || !under || !ready || !plain {
                continue;
            }
            if self.workers.values().any(|m| self.has_room(m, spec)) {
                waiting.insert(id.clone());
            }
        }
        waiting
    }

    fn done_of(&self, id: &str) -> usize {
        let job = id.to_string();
        let from = TaskId { job, index: 0 };
        let of = self.done_tasks.range(from..);
        of.take_while(|t| t.job == id).count()
    }

    fn has_room(&self, m: &crate::Worker, spec: &JobSpec) -> bool {
        let well = m.alive && !m.cut && !m.deaf && !m.mute && m.hangs_until == 0 && !m.fails_all;
        let kind = self.machine_types.iter().find(|t| t.name == m.type_name);
        let used = m.live().fold(Resources::default(), |sum, (t, _)| {
            sum.plus(&self.specs[&t.job].resources)
        });
        well && m.notice_s.is_none()
            && spec.allows(&m.type_name, &m.zone, m.spot)
            && kind.is_some_and(|k| k.room.less(&used).fits(&spec.resources))
    }

    /// Lets a machine hang: it executes nothing, reports nothing, and goes on later. What comes to it
    /// meanwhile waits.
    pub fn hang(&mut self, machine: &str, ms: u64) {
        let until = self.now + ms;
        if let Some(w) = self.workers.get_mut(machine).filter(|w| w.alive) {
            w.hangs_until = w.hangs_until.max(until);
            self.at(ms, Act::GoesOn(machine.to_string()));
        }
    }

    pub fn hangs(&self, machine: &str) -> bool {
        self.workers.get(machine).is_some_and(|w| w.hangs_until > 0)
    }

    /// Machines on which a job's tasks are.
    pub fn machines_of(&self, job: &str) -> Vec<String> {
        let holds = |w: &&crate::Worker| w.live().any(|(t, _)| t.job == job);
        let those = self.workers.values().filter(holds);
        those.map(|w| w.name.clone()).collect()
    }

    pub(crate) fn all_done(&self, id: &str) -> bool {
        self.specs.get(id).is_some_and(|s| {
            (0..s.tasks).all(|index| {
                let job = id.to_string();
                self.done_tasks.contains(&TaskId { job, index })
            })
        })
    }

    /// What a machine that hangs would do or get waits until it goes on.
    pub(crate) fn unless_hung(&mut self, act: Act) -> Option<Act> {
        let name = match &act {
            Act::Lease(_) if self.hung_leases_end => return Some(act),
            Act::Reply(name, ..) | Act::GaveUp(name, _) | Act::Lease(name) => name,
            Act::Phase(name, ..) | Act::Command(_, _, name, ..) => name,
            _ => return Some(act),
        };
        let name = name.clone();
        if !self.hangs(&name) {
            return Some(act);
        }
        let mut act = act;
        if let Act::Command(n, life, _, _, _, _, late) = &mut act {
            if !std::mem::replace(late, true) {
                let event = no_answer(name.clone(), CommandOutcome::NoAnswer);
                self.at(1_200, Act::Controller(*n, *life, event));
            }
        }
        if let Some(w) = self.workers.get_mut(&name) {
            w.hung.push(act);
        }
        None
    }

    /// Its lease may have ended meanwhile: then nothing that came is carried out.
    pub(crate) fn goes_on_after_hang(&mut self, name: &str) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        if w.hangs_until == 0 || now < w.hangs_until {
            return;
        }
        w.hangs_until = 0;
        let mut hung = std::mem::take(&mut w.hung);
        // It gave up by its own clock what it waited for in vain.
        hung.sort_by_key(|act| match act {
            Act::Lease(_) => 0,
            Act::GaveUp(..) => 1,
            _ => 2,
        });
        for (i, act) in hung.into_iter().enumerate() {
            self.at(i as u64 / 4, act);
        }
        self.at(1, Act::Report(name.to_string()));
    }

    pub(crate) fn link_ms(&mut self) -> u64 {
        match self.slow_links_ms {
            0 => 0,
            most => self.rng.gen_range(0..most),
        }
    }

    /// Users ask at all controllers, repeat the submission, and some call the job off.
    pub(crate) fn look_closely(&mut self, id: &str, accepted: bool) {
        for n in 0..self.controllers.len() {
            for _ in 0..LOOKS {
                let delay = self.rng.gen_range(0..LOOKS_WITHIN_MS);
                self.at(delay, Act::Look(n, id.to_string(), Look::Ask));
            }
            let delay = self.rng.gen_range(0..LOOKS_WITHIN_MS);
            self.at(delay, Act::Look(n, id.to_string(), Look::SubmitAgain));
        }
        let over = self.told.get(id).is_some_and(|t| t.done);
        if over || accepted && self.rng.gen_ratio(1, CALLED_OFF_PART) {
            let n = self.rng.gen_range(0..self.controllers.len());
            let delay = self.rng.gen_range(0..LOOKS_WITHIN_MS);
            self.at(delay, Act::Look(n, id.to_string(), Look::Cancel));
        }
    }

    pub(crate) fn look(&mut self, n: usize, id: &str, look: Look) {
        match look {
            Look::Ask => {
                self.status(n, id);
            }
            Look::SubmitAgain => {
                if let Some(spec) = self.specs.get(id).cloned() {
                    self.submit(n, spec);
                }
            }
            Look::Cancel => {
                self.cancel(n, id);
            }
        }
    }

    /// A task has ended: some call the job off at the moment at which the last one does.
    pub(crate) fn ends(&mut self, job: &str) {
        let share = self.cancelled_at_end;
        if share > 0.0 && self.all_done(job) && self.chance(share) {
            for n in 0..self.controllers.len() {
                let delay = self.rng.gen_range(0..600);
                self.at(delay, Act::Look(n, job.to_string(), Look::Cancel));
            }
        }
    }

    /// Old reports reach every controller just as one begins.
    pub(crate) fn send_kept_reports(&mut self) {
        let kept = std::mem::take(&mut self.kept_reports);
        for report in kept.into_iter().rev().take(KEPT_MOST) {
            for n in 0..self.controllers.len() {
                let delay = self.rng.gen_range(0..KEPT_WITHIN_MS);
                self.at(delay, Act::Arrive(n, report.clone(), 0));
            }
        }
    }
}
