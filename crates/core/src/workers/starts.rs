//! Starts on their way: claims on record, whoever made them, whose tasks no report has shown yet.
//! These are what the standby of a lost controller has to carry on besides its workers.

use crate::constants::{
    COMMAND_LIMIT_MS, FAILOVER_START_CHECKS_MAX, FAILOVER_START_CHECK_MS, PEER_HEARTBEAT_MS,
    STARTS_REPORTED_WITHIN_MS, STARTS_TRACKED_MAX, START_MISSING_MS, UNCERTAIN_CLAIM_MARGIN_MS,
    UNCERTAIN_CLAIM_MS,
};
use crate::model::{Millis, TaskId};
use foldhash::HashMap;
use std::collections::{BTreeMap, BTreeSet};

/// An attempt of a task.
pub(crate) type Attempt = (TaskId, u64);

#[derive(Debug)]
struct Start {
    machine: String,
    /// When its claim became known here.
    at: Millis,
}

#[derive(Debug, Default)]
pub(crate) struct Starts {
    followed: BTreeMap<Attempt, Start>,
    /// Since when a directly commanded start has been missing from its machine's reports.
    missing: HashMap<Attempt, Millis>,
    /// When machines are asked for starts that a lost peer may not have sent, and from when on
    /// these were claimed.
    ask: Option<(Millis, Millis)>,
    /// Machines that were asked.
    asked: BTreeSet<String>,
    /// Machines whose token this controller has asked to be raised.
    raising: BTreeSet<String>,
    /// Own claims whose transaction has no answer, and since when: they may have been carried out, or
    /// may yet be, and nobody has sent their starts.
    doubtful: BTreeMap<Attempt, Start>,
}

impl Starts {
    pub fn claimed(&mut self, now: Millis, task: &TaskId, attempt: u64, machine: &str) {
        if self.followed.len() < STARTS_TRACKED_MAX {
            let machine = machine.to_string();
            let start = Start { machine, at: now };
            self.followed.insert((task.clone(), attempt), start);
        }
    }

    /// A report shows it, in whatever phase.
    pub fn shown(&mut self, start: &Attempt) {
        self.followed.remove(start);
        self.missing.remove(start);
        self.doubtful.remove(start);
    }

    /// An own claim's transaction got no answer.
    pub fn doubt(&mut self, now: Millis, task: &TaskId, attempt: u64, machine: &str) {
        if self.doubtful.len() < STARTS_TRACKED_MAX {
            let start = (task.clone(), attempt);
            let machine = machine.to_string();
            self.doubtful
                .entry(start)
                .or_insert(Start { machine, at: now });
        }
    }

    /// The answer came after all: its start is sent.
    pub fn answered(&mut self, task: &TaskId, attempt: u64) {
        if !self.doubtful.is_empty() {
            self.doubtful.remove(&(task.clone(), attempt));
        }
    }

    pub fn has_doubts(&self) -> bool {
        !self.doubtful.is_empty()
    }

    /// Machines of doubtful starts that are assigned by now, each start told once, with the tokens under which
    /// these would go. `token`: that of a start's assignment on a machine, if there is one.
    pub fn found_assigned(
        &mut self,
        now: Millis,
        token: impl Fn(&Attempt, &str) -> Option<u64>,
    ) -> Vec<(String, u64)> {
        let mut found = Vec::new();
        self.doubtful.retain(|start, s| {
            let ripe = now >= s.at + UNCERTAIN_CLAIM_MARGIN_MS;
            match token(start, &s.machine).filter(|_| ripe) {
                Some(token) => {
                    found.push((s.machine.clone(), token));
                    false
                }
                None => now < s.at + UNCERTAIN_CLAIM_MS,
            }
        });
        found
    }

    /// A report lacks a start that went by a direct command. Whether that has lasted for so long
    /// that it is barred and sent anew: from its claim on where that was seen, else from the first
    /// report that lacked it.
    pub fn is_missing(&mut self, now: Millis, start: &Attempt, machine: &str) -> bool {
        let since = *self.missing.entry(start.clone()).or_insert(now);
        let patience = match self.asked.contains(machine) {
            true => FAILOVER_START_CHECK_MS,
            false => START_MISSING_MS + COMMAND_LIMIT_MS,
        };
        let claimed = self.followed.get(start).map(|s| s.at);
        now >= since + START_MISSING_MS || claimed.is_some_and(|at| now >= at + patience)
    }

    /// Whether a start is on its way to a machine: claimed after that was last heard.
    pub fn unseen(&self, start: &Attempt, last_sign: Millis) -> bool {
        self.followed.get(start).is_some_and(|s| s.at >= last_sign)
    }

    /// A peer is lost that was last heard at some time: what it claimed last may never have been
    /// sent.
    pub fn peer_lost(&mut self, now: Millis, heard_at: Millis) {
        let from = heard_at.saturating_sub(PEER_HEARTBEAT_MS);
        let from = self.ask.map_or(from, |(_, known)| known.min(from));
        self.ask = Some((now + FAILOVER_START_CHECK_MS, from));
    }

    /// Machines to be asked now whether such starts have arrived.
    pub fn due_to_ask(&mut self, now: Millis) -> Vec<String> {
        let Some((_, from)) = self.ask.filter(|(at, _)| now >= *at) else {
            return Vec::new();
        };
        self.ask = None;
        let those = self.followed.values().filter(|s| s.at >= from);
        let machines: BTreeSet<String> = those.map(|s| s.machine.clone()).collect();
        self.asked = machines
            .into_iter()
            .take(FAILOVER_START_CHECKS_MAX)
            .collect();
        self.asked.iter().cloned().collect()
    }

    /// A machine's token is to be raised so that a start is barred.
    pub fn raise(&mut self, machine: &str) {
        if self.raising.len() < STARTS_TRACKED_MAX {
            self.raising.insert(machine.to_string());
        }
    }

    /// Its record shows the higher token: whether this controller asked for it.
    pub fn token_offset(&mut self, machine: &str) -> bool {
        self.raising.remove(machine)
    }

    /// Forgets what is over, and what a report that came since must have shown.
    pub fn forget(&mut self, assigned: impl Fn(&Attempt) -> bool, sign: impl Fn(&str) -> Millis) {
        self.followed.retain(|start, s| {
            assigned(start) && sign(&s.machine) < s.at + STARTS_REPORTED_WITHIN_MS
        });
        self.missing.retain(|start, _| assigned(start));
    }

    /// After a pause nothing that was noted says anything of now.
    pub fn reset_after_pause(&mut self) {
        *self = Starts::default();
    }
}

#[cfg(test)]
mod tests;
