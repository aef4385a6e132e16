//! What this controller itself has noted of each machine besides its heartbeats, in one entry a machine:
//! failure detection and scheduling read it several times a second for every machine.

use crate::constants::UNREACHABLE_PROBE_INTERVAL_MS;
use crate::controller::Controller;
use crate::model::{HeartbeatPosition, Millis};
use crate::peers::PeerObservation;
use crate::workers::registry::ReceivedHeartbeat;
use foldhash::{HashMap, HashMapExt};

/// When something was last noted of a machine, `None` if it was not.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MachineObservation {
    /// Its record was first seen.
    pub first_seen_at: Option<Millis>,
    /// Its record was first seen in phase up by this controller.
    pub up_since: Option<Millis>,
    /// No task has been assigned to it since.
    pub idle_since: Option<Millis>,
    /// It answered a direct command, if only by refusing it.
    pub answered_at: Option<Millis>,
    /// A direct command to it was refused, got no answer or could not be sent.
    pub command_failed_at: Option<Millis>,
    /// A direct command to it got no answer.
    pub unanswered_at: Option<Millis>,
    /// It was last sent an empty direct command to see whether it answers.
    pub probed_at: Option<Millis>,
}

impl MachineObservation {
    /// When its last direct command went unanswered, if it has answered none since.
    pub fn silent_since(&self) -> Option<Millis> {
        self.unanswered_at.filter(|at| self.answered_at < Some(*at))
    }

    /// Whether its last probe is long enough ago for another.
    pub fn may_be_probed(&self, now: Millis) -> bool {
        self.probed_at
            .is_none_or(|at| now >= at + UNREACHABLE_PROBE_INTERVAL_MS)
    }
}

/// All that is known of whether a machine is alive, looked up once: scheduling passes and failure
/// detection ask for every part of it, of every machine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Liveness<'a> {
    /// Its latest heartbeat that came to this controller.
    pub received: Option<&'a ReceivedHeartbeat>,
    /// Its latest heartbeat that a peer reported.
    pub from_peers: Option<&'a PeerObservation>,
    /// What this controller noted of it besides.
    pub observation: MachineObservation,
}

impl Liveness<'_> {
    /// When any controller last received a heartbeat of it, if ever.
    pub fn last_heartbeat_at(&self) -> Option<Millis> {
        let received_at = self.received.map(|heartbeat| heartbeat.at);
        received_at.max(self.from_peers.map(|heartbeat| heartbeat.received_at))
    }

    /// The latest sign of life that any controller is known to have had, if any: a heartbeat or an
    /// answer to a direct command.
    pub fn latest(&self) -> Option<Millis> {
        self.last_heartbeat_at().max(self.observation.answered_at)
    }

    /// Its latest incarnation.
    pub fn incarnation(&self) -> Option<u64> {
        let position = self.last_position();
        position.map(|position| position.incarnation)
    }

    /// Whether some controller has received this heartbeat of it already, or a later one.
    pub fn knows(&self, position: HeartbeatPosition) -> bool {
        self.last_position().is_some_and(|known| position <= known)
    }

    /// Whether its latest heartbeat, as far as is known, came to this controller.
    pub fn reports_here(&self) -> bool {
        self.received
            .is_some_and(|heartbeat| !heartbeat.is_older_than(self.from_peers))
    }

    /// Position of its latest heartbeat; positions are ordered by incarnation first.
    fn last_position(&self) -> Option<HeartbeatPosition> {
        let received = self.received.map(|heartbeat| heartbeat.position);
        received.max(self.from_peers.map(|heartbeat| heartbeat.position))
    }
}

impl Controller {
    /// What is known here of whether a machine is alive.
    pub(crate) fn liveness(&self, id: &str) -> Liveness<'_> {
        Liveness {
            received: self.workers.last_heartbeats.get(id),
            from_peers: self.peers.observation(id),
            observation: self.workers.observations.of(id),
        }
    }
}

/// What this controller noted of each machine.
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

    /// What was noted of a machine; nothing, if there is no entry.
    pub fn of(&self, id: &str) -> MachineObservation {
        self.machines.get(id).copied().unwrap_or_default()
    }

    /// The entry of a machine, to note something in it. Entries of machines without a record are soon
    /// dropped by `forget`.
    pub fn note(&mut self, id: &str) -> &mut MachineObservation {
        // Names are only copied for machines that are new.
        if !self.machines.contains_key(id) {
            self.machines
                .insert(id.to_string(), MachineObservation::default());
        }
        self.machines
            .get_mut(id)
            .expect("the entry was inserted above")
    }

    /// Forgets what gave reason to act on machines: after a pause of this process it is out of date.
    pub fn reset_after_pause(&mut self) {
        for observation in self.machines.values_mut() {
            observation.up_since = None;
            observation.idle_since = None;
            observation.probed_at = None;
            observation.unanswered_at = None;
        }
    }

    /// Drops the entries of machines that have no record any more.
    pub fn forget(&mut self, has_record: impl Fn(&str) -> bool) {
        self.machines.retain(|id, _| has_record(id));
        // Memory that a burst of machines needed is given back.
        if self.machines.capacity() > 4 * self.machines.len() + 64 {
            self.machines.shrink_to_fit();
        }
    }
}

#[cfg(test)]
mod tests;
