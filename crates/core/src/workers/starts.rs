//! Starts in flight: recorded claims, whoever made them, whose tasks no heartbeat has shown yet.
//! A peer that takes over from a failed controller has to see to these besides its workers.

use crate::constants::{
    COMMAND_TIMEOUT_MS, FAILOVER_START_CHECKS_MAX, FAILOVER_START_CHECK_DELAY_MS,
    PEER_HEARTBEAT_INTERVAL_MS, STARTS_TRACKED_MAX, START_CONFIRMATION_WINDOW_MS, START_MISSING_MS,
    UNCERTAIN_CLAIM_MARGIN_MS, UNCERTAIN_CLAIM_MS,
};
use crate::model::{Millis, TaskId};
use foldhash::HashMap;
use std::collections::{BTreeMap, BTreeSet};

/// An attempt of a task.
pub(crate) type Attempt = (TaskId, u64);

/// A start in flight.
#[derive(Debug)]
struct Start {
    /// The machine that it goes to.
    machine: String,
    /// When its claim became known here.
    at: Millis,
}

/// The starts in flight, and those that seem to be lost.
#[derive(Debug, Default)]
pub(crate) struct Starts {
    /// Claims that were seen in the records.
    followed: BTreeMap<Attempt, Start>,
    /// Since when a start by direct command has been missing from its machine's heartbeats.
    missing: HashMap<Attempt, Millis>,
    /// When machines are probed for starts that a failed peer may not have sent, and the earliest claim
    /// of these.
    ask: Option<(Millis, Millis)>,
    /// Machines that were probed for them.
    asked: BTreeSet<String>,
    /// Machines whose token this controller has asked to be raised.
    raising: BTreeSet<String>,
    /// Own claims whose transaction has no answer, and since when: they may have been committed, or may
    /// yet be, and nobody has sent their starts.
    uncertain: BTreeMap<Attempt, Start>,
}

impl Starts {
    /// The records show a claim.
    pub fn claimed(&mut self, now: Millis, task: &TaskId, attempt: u64, machine: &str) {
        if self.followed.len() < STARTS_TRACKED_MAX {
            let machine = machine.to_string();
            let start = Start { machine, at: now };
            self.followed.insert((task.clone(), attempt), start);
        }
    }

    /// A heartbeat shows it, in whatever phase.
    pub fn shown(&mut self, start: &Attempt) {
        self.followed.remove(start);
        self.missing.remove(start);
        self.uncertain.remove(start);
    }

    /// An own claim's transaction got no answer.
    pub fn doubt(&mut self, now: Millis, task: &TaskId, attempt: u64, machine: &str) {
        if self.uncertain.len() < STARTS_TRACKED_MAX {
            let start = (task.clone(), attempt);
            let machine = machine.to_string();
            self.uncertain
                .entry(start)
                .or_insert(Start { machine, at: now });
        }
    }

    /// The answer came after all: its start is sent.
    pub fn answered(&mut self, task: &TaskId, attempt: u64) {
        if !self.uncertain.is_empty() {
            self.uncertain.remove(&(task.clone(), attempt));
        }
    }

    /// Whether there are own claims without an answer.
    pub fn has_doubts(&self) -> bool {
        !self.uncertain.is_empty()
    }

    /// Machines of uncertain claims that the records show by now, with the tokens of their starts; each claim
    /// is returned once. `token`: that of a start's assignment on a machine, if there is one.
    pub fn found_assigned(
        &mut self,
        now: Millis,
        token: impl Fn(&Attempt, &str) -> Option<u64>,
    ) -> Vec<(String, u64)> {
        let mut found = Vec::new();
        self.uncertain.retain(|start, claim| {
            let is_due = now >= claim.at + UNCERTAIN_CLAIM_MARGIN_MS;
            match token(start, &claim.machine).filter(|_| is_due) {
                Some(token) => {
                    found.push((claim.machine.clone(), token));
                    false
                }
                None => now < claim.at + UNCERTAIN_CLAIM_MS,
            }
        });
        found
    }

    /// A heartbeat lacks a start that went by a direct command. Returns whether that has lasted for so long
    /// that it is to be fenced and sent anew: counted from its claim where that was seen, else from the first
    /// heartbeat that lacked it.
    pub fn is_missing(&mut self, now: Millis, start: &Attempt, machine: &str) -> bool {
        let since = *self.missing.entry(start.clone()).or_insert(now);
        let patience = match self.asked.contains(machine) {
            true => FAILOVER_START_CHECK_DELAY_MS,
            false => START_MISSING_MS + COMMAND_TIMEOUT_MS,
        };
        let claimed = self.followed.get(start).map(|s| s.at);
        now >= since + START_MISSING_MS || claimed.is_some_and(|at| now >= at + patience)
    }

    /// Whether a start is on its way to a machine: claimed after the last sign of life from there.
    pub fn unseen(&self, start: &Attempt, last_sign: Millis) -> bool {
        self.followed.get(start).is_some_and(|s| s.at >= last_sign)
    }

    /// A peer has failed whose last heartbeat came at `heard_at`: starts that it claimed last may never have
    /// been sent.
    pub fn peer_lost(&mut self, now: Millis, heard_at: Millis) {
        let from = heard_at.saturating_sub(PEER_HEARTBEAT_INTERVAL_MS);
        let from = self.ask.map_or(from, |(_, known)| known.min(from));
        self.ask = Some((now + FAILOVER_START_CHECK_DELAY_MS, from));
    }

    /// Machines to be probed now for starts of a failed peer.
    pub fn due_to_ask(&mut self, now: Millis) -> Vec<String> {
        let Some((_, from)) = self.ask.filter(|(at, _)| now >= *at) else {
            return Vec::new();
        };
        self.ask = None;
        let claimed = self.followed.values().filter(|s| s.at >= from);
        let machines: BTreeSet<String> = claimed.map(|s| s.machine.clone()).collect();
        self.asked = machines
            .into_iter()
            .take(FAILOVER_START_CHECKS_MAX)
            .collect();
        self.asked.iter().cloned().collect()
    }

    /// A machine's token is to be raised so that a start is fenced.
    pub fn raise(&mut self, machine: &str) {
        if self.raising.len() < STARTS_TRACKED_MAX {
            self.raising.insert(machine.to_string());
        }
    }

    /// A machine's record shows a higher token. Returns whether this controller asked for it.
    pub fn take_token_raise(&mut self, machine: &str) -> bool {
        self.raising.remove(machine)
    }

    /// Forgets starts that are no longer assigned, and those that a later heartbeat must have shown.
    pub fn forget(&mut self, assigned: impl Fn(&Attempt) -> bool, sign: impl Fn(&str) -> Millis) {
        self.followed.retain(|start, s| {
            assigned(start) && sign(&s.machine) < s.at + START_CONFIRMATION_WINDOW_MS
        });
        self.missing.retain(|start, _| assigned(start));
    }

    /// Forgets everything: after a pause of this process it is out of date.
    pub fn reset_after_pause(&mut self) {
        *self = Starts::default();
    }
}

#[cfg(test)]
mod tests;
