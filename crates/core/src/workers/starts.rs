//! Starts in flight: claims on record, made by any controller, whose tasks no heartbeat has
//! reported yet. A peer that takes over from a failed controller checks these starts as well as its
//! workers.

use crate::constants::{
    COMMAND_TIMEOUT_MS, FAILOVER_START_CHECKS_MAX, FAILOVER_START_CHECK_DELAY_MS,
    PEER_HEARTBEAT_INTERVAL_MS, STARTS_TRACKED_MAX, START_CONFIRMATION_WINDOW_MS, START_MISSING_MS,
    UNCERTAIN_CLAIM_MARGIN_MS, UNCERTAIN_CLAIM_MS,
};
use crate::model::{Millis, TaskId};
use foldhash::HashMap;
use std::collections::{BTreeMap, BTreeSet};

/// Identifies an attempt of a task: the task and the number of the attempt.
pub(crate) type Attempt = (TaskId, u64);

/// A start in flight.
#[derive(Debug)]
struct InFlightStart {
    /// The machine on which the task is to start.
    machine: String,
    /// When this controller learned of its claim, or for an uncertain claim, when the response was
    /// missed.
    known_at: Millis,
}

/// The starts in flight, and those that seem to be lost.
#[derive(Debug, Default)]
pub(crate) struct StartTracker {
    /// Starts whose claims are on record.
    tracked: BTreeMap<Attempt, InFlightStart>,
    /// Since when a start by direct command has been missing from its machine's heartbeats.
    missing_since: HashMap<Attempt, Millis>,
    /// When machines are to be probed for starts that a failed peer may not have sent, and the
    /// earliest claim to check.
    failover_check: Option<(Millis, Millis)>,
    /// Machines that were probed for starts that a failed peer may not have sent.
    failover_checked: BTreeSet<String>,
    /// Machines whose token this controller has requested to be raised.
    raise_requested: BTreeSet<String>,
    /// This controller's claims whose transaction got no response, and since when. Such a
    /// transaction may have been committed, or may still be, and no controller has sent the starts.
    uncertain_claims: BTreeMap<Attempt, InFlightStart>,
}

impl StartTracker {
    /// Records that a claim is on record.
    pub fn record_claim(&mut self, now: Millis, task: &TaskId, attempt: u64, machine: &str) {
        if self.tracked.len() < STARTS_TRACKED_MAX {
            let machine = machine.to_string();
            let start = InFlightStart {
                machine,
                known_at: now,
            };
            self.tracked.insert((task.clone(), attempt), start);
        }
    }

    /// Records that a heartbeat or command response has reported the start, in whatever phase.
    pub fn record_reported(&mut self, start: &Attempt) {
        self.tracked.remove(start);
        self.missing_since.remove(start);
        self.uncertain_claims.remove(start);
    }

    /// Records that the transaction of an own claim got no response.
    pub fn record_uncertain_claim(
        &mut self,
        now: Millis,
        task: &TaskId,
        attempt: u64,
        machine: &str,
    ) {
        if self.uncertain_claims.len() < STARTS_TRACKED_MAX {
            let start = (task.clone(), attempt);
            let machine = machine.to_string();
            self.uncertain_claims.entry(start).or_insert(InFlightStart {
                machine,
                known_at: now,
            });
        }
    }

    /// Records that the transaction of an uncertain claim got its response after all; its start is
    /// sent then.
    pub fn record_claim_response(&mut self, task: &TaskId, attempt: u64) {
        if !self.uncertain_claims.is_empty() {
            self.uncertain_claims.remove(&(task.clone(), attempt));
        }
    }

    /// Returns whether own claims are without a response.
    pub fn has_uncertain_claims(&self) -> bool {
        !self.uncertain_claims.is_empty()
    }

    /// Removes the uncertain claims that are on record by now; returns their machines and the
    /// tokens of their starts. `token` returns the token of a start's assignment on a machine, if
    /// there is one.
    pub fn take_recorded_uncertain_claims(
        &mut self,
        now: Millis,
        token: impl Fn(&Attempt, &str) -> Option<u64>,
    ) -> Vec<(String, u64)> {
        let mut found = Vec::new();
        self.uncertain_claims.retain(|start, claim| {
            let is_due = now >= claim.known_at + UNCERTAIN_CLAIM_MARGIN_MS;
            match token(start, &claim.machine).filter(|_| is_due) {
                Some(token) => {
                    found.push((claim.machine.clone(), token));
                    false
                }
                None => now < claim.known_at + UNCERTAIN_CLAIM_MS,
            }
        });
        found
    }

    /// Records that a heartbeat lacks a start sent by direct command. Returns whether the start has
    /// been missing for so long that it is to be fenced and sent again. The time counts from the
    /// claim if it is tracked, else from the first heartbeat that lacked the start.
    pub fn is_missing(&mut self, now: Millis, start: &Attempt, machine: &str) -> bool {
        let since = *self.missing_since.entry(start.clone()).or_insert(now);
        let missing_limit_ms = match self.failover_checked.contains(machine) {
            true => FAILOVER_START_CHECK_DELAY_MS,
            false => START_MISSING_MS + COMMAND_TIMEOUT_MS,
        };
        let claimed_at = self.tracked.get(start).map(|s| s.known_at);
        now >= since + START_MISSING_MS || claimed_at.is_some_and(|at| now >= at + missing_limit_ms)
    }

    /// Returns whether a start is in flight to a machine: claimed since the last contact with the
    /// machine.
    pub fn is_in_flight(&self, start: &Attempt, last_contact_at: Millis) -> bool {
        self.tracked
            .get(start)
            .is_some_and(|s| s.known_at >= last_contact_at)
    }

    /// Schedules a check of the machines to which a failed peer may not have sent its last starts.
    /// The peer's last heartbeat arrived at `last_heartbeat_at`.
    pub fn schedule_failover_check(&mut self, now: Millis, last_heartbeat_at: Millis) {
        let from = last_heartbeat_at.saturating_sub(PEER_HEARTBEAT_INTERVAL_MS);
        let from = self
            .failover_check
            .map_or(from, |(_, earliest)| earliest.min(from));
        self.failover_check = Some((now + FAILOVER_START_CHECK_DELAY_MS, from));
    }

    /// Returns the machines to be probed now for starts of a failed peer.
    pub fn take_machines_to_check(&mut self, now: Millis) -> Vec<String> {
        let Some((_, claimed_from)) = self.failover_check.filter(|(due_at, _)| now >= *due_at)
        else {
            return Vec::new();
        };
        self.failover_check = None;
        let claimed = self.tracked.values().filter(|s| s.known_at >= claimed_from);
        let machines: BTreeSet<String> = claimed.map(|s| s.machine.clone()).collect();
        self.failover_checked = machines
            .into_iter()
            .take(FAILOVER_START_CHECKS_MAX)
            .collect();
        self.failover_checked.iter().cloned().collect()
    }

    /// Records that this controller requests a higher token for a machine, so that a start is
    /// fenced.
    pub fn request_token_raise(&mut self, machine: &str) {
        if self.raise_requested.len() < STARTS_TRACKED_MAX {
            self.raise_requested.insert(machine.to_string());
        }
    }

    /// Records that a machine's record has a higher token. Returns whether this controller
    /// requested that.
    pub fn take_token_raise(&mut self, machine: &str) -> bool {
        self.raise_requested.remove(machine)
    }

    /// Drops starts that are no longer assigned, and those that a later heartbeat must have
    /// reported.
    pub fn prune(
        &mut self,
        is_assigned: impl Fn(&Attempt) -> bool,
        last_contact_at: impl Fn(&str) -> Millis,
    ) {
        self.tracked.retain(|start, in_flight| {
            is_assigned(start)
                && last_contact_at(&in_flight.machine)
                    < in_flight.known_at + START_CONFIRMATION_WINDOW_MS
        });
        self.missing_since.retain(|start, _| is_assigned(start));
    }

    /// Drops all state, which is out of date after a pause of this process.
    pub fn reset_after_pause(&mut self) {
        *self = StartTracker::default();
    }
}

#[cfg(test)]
mod tests;
