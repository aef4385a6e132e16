//! This controller's observations of each machine besides its heartbeats. They are kept in one
//! entry per machine, because failure detection and scheduling read them several times a second for
//! every machine.

use crate::constants::UNREACHABLE_PROBE_INTERVAL_MS;
use crate::controller::Controller;
use crate::model::{HeartbeatPosition, Millis};
use crate::peers::PeerObservation;
use crate::workers::registry::ReceivedHeartbeat;
use foldhash::{HashMap, HashMapExt};

/// When this controller last observed each kind of event of a machine, `None` if never.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MachineObservation {
    /// When its record first appeared in this controller's cache.
    pub first_seen_at: Option<Millis>,
    /// When its record first had phase up in this controller's cache.
    pub up_since: Option<Millis>,
    /// Since when no task has been assigned to it.
    pub idle_since: Option<Millis>,
    /// When it responded to a direct command, if only by refusing it.
    pub answered_at: Option<Millis>,
    /// When a direct command to it was refused, got no response or could not be sent.
    pub command_failed_at: Option<Millis>,
    /// When a direct command to it got no response.
    pub unanswered_at: Option<Millis>,
    /// When it was last sent an empty direct command to see whether it responds.
    pub probed_at: Option<Millis>,
}

impl MachineObservation {
    /// Returns when its last direct command went unanswered, if it has responded to none since.
    pub fn silent_since(&self) -> Option<Millis> {
        self.unanswered_at.filter(|at| self.answered_at < Some(*at))
    }

    /// Returns whether its last probe is long enough ago for another.
    pub fn may_be_probed(&self, now: Millis) -> bool {
        self.probed_at
            .is_none_or(|at| now >= at + UNREACHABLE_PROBE_INTERVAL_MS)
    }
}

/// All evidence of whether a machine is alive, looked up once: scheduling passes and failure
/// detection use every part of it for every machine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Liveness<'a> {
    /// Its latest heartbeat that this controller received.
    pub received: Option<&'a ReceivedHeartbeat>,
    /// Its latest heartbeat that a peer reported.
    pub from_peers: Option<&'a PeerObservation>,
    /// Other observations of this controller.
    pub observation: MachineObservation,
}

impl Liveness<'_> {
    /// Returns when any controller last received a heartbeat of it, if ever.
    pub fn last_heartbeat_at(&self) -> Option<Millis> {
        let received_at = self.received.map(|heartbeat| heartbeat.at);
        received_at.max(self.from_peers.map(|heartbeat| heartbeat.received_at))
    }

    /// Returns the time of the latest contact that any controller is known to have had, if any: a
    /// heartbeat or a response to a direct command.
    pub fn last_contact_at(&self) -> Option<Millis> {
        self.last_heartbeat_at().max(self.observation.answered_at)
    }

    /// Returns its latest incarnation.
    pub fn incarnation(&self) -> Option<u64> {
        let position = self.last_position();
        position.map(|position| position.incarnation)
    }

    /// Returns whether some controller has received this heartbeat already, or a later one.
    pub fn has_received(&self, position: HeartbeatPosition) -> bool {
        self.last_position().is_some_and(|known| position <= known)
    }

    /// Returns whether its latest heartbeat, as far as is known, arrived at this controller.
    pub fn reports_here(&self) -> bool {
        self.received
            .is_some_and(|heartbeat| !heartbeat.is_older_than(self.from_peers))
    }

    /// Returns the position of its latest heartbeat; positions are ordered by incarnation first.
    fn last_position(&self) -> Option<HeartbeatPosition> {
        let received = self.received.map(|heartbeat| heartbeat.position);
        received.max(self.from_peers.map(|heartbeat| heartbeat.position))
    }
}

impl Controller {
    /// Returns the evidence known here of whether a machine is alive.
    pub(crate) fn liveness(&self, id: &str) -> Liveness<'_> {
        Liveness {
            received: self.workers.last_heartbeats.get(id),
            from_peers: self.peers.observation(id),
            observation: self.workers.observations.get(id),
        }
    }
}

/// This controller's observations of each machine.
#[derive(Debug)]
pub(crate) struct MachineObservations {
    machines: HashMap<String, MachineObservation>,
}

impl MachineObservations {
    pub fn new() -> MachineObservations {
        MachineObservations {
            machines: HashMap::new(),
        }
    }

    /// Returns the observations of a machine, or empty ones if there is no entry.
    pub fn get(&self, id: &str) -> MachineObservation {
        self.machines.get(id).copied().unwrap_or_default()
    }

    /// Returns the entry of a machine, which is created if absent. `retain_recorded` soon drops the
    /// entries of machines without a record.
    pub fn entry(&mut self, id: &str) -> &mut MachineObservation {
        // Names are only copied for machines that are new.
        if !self.machines.contains_key(id) {
            self.machines
                .insert(id.to_string(), MachineObservation::default());
        }
        self.machines
            .get_mut(id)
            .expect("the entry was inserted above")
    }

    /// Resets the observations that lead to action on machines: after a pause of this process they
    /// are out of date.
    pub fn reset_after_pause(&mut self) {
        for observation in self.machines.values_mut() {
            observation.up_since = None;
            observation.idle_since = None;
            observation.probed_at = None;
            observation.unanswered_at = None;
        }
    }

    /// Drops the entries of machines that no longer have a record.
    pub fn retain_recorded(&mut self, has_record: impl Fn(&str) -> bool) {
        self.machines.retain(|id, _| has_record(id));
        // Returns the memory that a burst of machines needed.
        if self.machines.capacity() > 4 * self.machines.len() + 64 {
            self.machines.shrink_to_fit();
        }
    }
}

#[cfg(test)]
mod tests;
