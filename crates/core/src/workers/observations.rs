//! What this controller itself has noted of each machine, beside its heartbeats: one entry a machine, since
//! it is looked at several times a second for every one of them.

use crate::constants::UNREACHABLE_PROBE_INTERVAL_MS;
use crate::controller::Controller;
use crate::model::{HeartbeatPosition, Millis};
use crate::peers::PeerObservation;
use crate::workers::registry::ReceivedHeartbeat;
use foldhash::{HashMap, HashMapExt};

/// Times at which something was noted of a machine, where it was.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MachineObservation {
    /// It was first seen on record.
    pub known: Option<Millis>,
    /// It was first seen up here.
    pub up: Option<Millis>,
    /// Nothing has been assigned to it since.
    pub idle: Option<Millis>,
    /// It answered a direct command.
    pub answered: Option<Millis>,
    /// It did not take a direct command.
    pub refused: Option<Millis>,
    /// It did not even answer one.
    pub unreached: Option<Millis>,
    /// Its heartbeat was overdue, and it was asked directly.
    pub asked: Option<Millis>,
}

impl MachineObservation {
    /// Since when it has answered no direct command, if the last one got no answer.
    pub fn silent_since(&self) -> Option<Millis> {
        self.unreached.filter(|at| self.answered < Some(*at))
    }
    /// Whether it was not asked just now.
    pub fn may_be_asked(&self, now: Millis) -> bool {
        self.asked
            .is_none_or(|at| now >= at + UNREACHABLE_PROBE_INTERVAL_MS)
    }
}

/// All that is known of a machine's life, looked up once: scheduling passes and judging ask for every part of
/// it, of every machine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Liveness<'a> {
    pub own: Option<&'a ReceivedHeartbeat>,
    pub told: Option<&'a PeerObservation>,
    pub of: MachineObservation,
}

impl Liveness<'_> {
    /// When any controller last got a heartbeat of it, if ever.
    pub fn last_heartbeat_at(&self) -> Option<Millis> {
        self.own.map(|h| h.at).max(self.told.map(|t| t.at))
    }
    /// The latest sign of life that any controller is known to have had, if any: a heartbeat or an answer to
    /// a direct command.
    pub fn latest(&self) -> Option<Millis> {
        self.last_heartbeat_at().max(self.of.answered)
    }
    /// Its latest incarnation.
    pub fn incarnation(&self) -> Option<u64> {
        let own = self.own.map(|h| h.position.incarnation);
        own.max(self.told.map(|t| t.position.incarnation))
    }
    /// Whether some controller has got this heartbeat of it already, or a later one.
    pub fn knows(&self, position: HeartbeatPosition) -> bool {
        let own = self.own.map(|h| h.position);
        let told = self.told.map(|t| t.position);
        own.max(told).is_some_and(|known| position <= known)
    }
    /// Whether its latest heartbeat, as far as is known, came to this controller.
    pub fn reports_here(&self) -> bool {
        self.own.is_some_and(|h| !h.older_than(self.told))
    }
}

impl Controller {
    pub(crate) fn liveness(&self, id: &str) -> Liveness<'_> {
        Liveness {
            own: self.workers.last_heartbeats.get(id),
            told: self.peers.observation(id),
            of: self.workers.observations.of(id),
        }
    }
}

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

    pub fn of(&self, id: &str) -> MachineObservation {
        self.machines.get(id).copied().unwrap_or_default()
    }

    /// To note something of a machine. What is not on record is forgotten soon (`forget`).
    pub fn note(&mut self, id: &str) -> &mut MachineObservation {
        // Names are only copied for machines that are new.
        if !self.machines.contains_key(id) {
            self.machines
                .insert(id.to_string(), MachineObservation::default());
        }
        self.machines.get_mut(id).expect("just put there")
    }

    /// After a pause: what gave reason to act on machines dates from before.
    pub fn reset_after_pause(&mut self) {
        for of in self.machines.values_mut() {
            (of.up, of.idle, of.asked, of.unreached) = (None, None, None, None);
        }
    }

    pub fn forget(&mut self, on_record: impl Fn(&str) -> bool) {
        self.machines.retain(|id, _| on_record(id));
        // A burst's entries are not held for ever.
        if self.machines.capacity() > 4 * self.machines.len() + 64 {
            self.machines.shrink_to_fit();
        }
    }
}

#[cfg(test)]
mod tests;
