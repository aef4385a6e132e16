//! Changes of machines' records that heartbeats give reason for.

use crate::controller::{Controller, Effect};
use crate::model::WorkerHeartbeat;
use crate::state::{InstanceRequestRecord, MachinePhase, MachineRecord};

/// What a heartbeat says of the machine itself, as far as its record lacks it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct MachineUpdate {
    pub address: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub notice: bool,
    /// A direct command is to be barred: the token must be above this one.
    pub above: Option<u64>,
}
impl Controller {
    /// Notes what a heartbeat gives reason to record of its machine.
    pub(super) fn note_machine_update(&mut self, heartbeat: &WorkerHeartbeat, above: Option<u64>) {
        if !self.is_known_machine(heartbeat) {
            return;
        }
        let (address, notice) = (&heartbeat.address, heartbeat.notice_s.is_some());
        let known = self.cache.machine(&heartbeat.machine);
        if known.is_some_and(|m| self.record_changes(m, address, notice, above).is_none()) {
            return;
        }
        let seen = MachineUpdate {
            address: heartbeat.address.clone(),
            type_name: heartbeat.type_name.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
            notice: heartbeat.notice_s.is_some(),
            above,
        };
        if self.updated_record(&heartbeat.machine, &seen).is_some() {
            if above.is_some() {
                self.workers.starts.raise(&heartbeat.machine);
            }
            self.write_back
                .machine_updates
                .insert(heartbeat.machine.clone(), seen);
        }
    }

    /// Whether a machine is on record, or known to have been provisioned. Any other must answer a question before it
    /// is recorded: its heartbeat may be old, and the machine gone long since, which a controller that has just
    /// started does not know.
    fn is_known_machine(&mut self, heartbeat: &WorkerHeartbeat) -> bool {
        let id = &heartbeat.machine;
        let rented =
            |h: &InstanceRequestRecord| h.instances.iter().flatten().any(|instance| instance == id);
        if !self.settings.checks.unmanaged_instances
            || self.cache.machine(id).is_some()
            || self.cache.instance_requests().any(|(_, h, _)| rented(h))
        {
            return true;
        }
        let of = self.workers.observations.of(id);
        if of.answered_at.is_some() {
            return true;
        }
        if let (Some(token), true) = (self.fencing_token(id), of.may_be_probed(self.now)) {
            self.workers.observations.note(id).probed_at = Some(self.now);
            tracing::info!(machine = id, "unmanaged instance, probed first");
            self.emit(Effect::Command {
                machine: id.clone(),
                address: heartbeat.address.clone(),
                incarnation: heartbeat.incarnation,
                token,
                commands: Vec::new(),
            });
        }
        false
    }

    /// A machine's token is to be raised above this one, so that what went under it can't arrive any more.
    pub(crate) fn fence_start(&mut self, id: &str, token: u64) {
        let Some(m) = self.cache.machine(id) else {
            return;
        };
        let seen = self
            .write_back
            .machine_updates
            .entry(id.to_string())
            .or_insert(MachineUpdate {
                address: m.address.clone(),
                type_name: m.type_name.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                notice: false,
                above: None,
            });
        seen.above = seen.above.max(Some(token));
        self.workers.starts.raise(id);
    }

    /// A machine's record with what a heartbeat says of it, if that changes it.
    pub(crate) fn updated_record(&self, id: &str, seen: &MachineUpdate) -> Option<MachineRecord> {
        let Some(record) = self.cache.machine(id) else {
            return (!self.workers.recently_deleted.contains(id)).then(|| MachineRecord {
                address: seen.address.clone(),
                ..MachineRecord::new(
                    &seen.type_name,
                    &seen.zone,
                    seen.spot,
                    MachinePhase::Up,
                    self.wall,
                )
            });
        };
        let (phase, raise) = self.record_changes(record, &seen.address, seen.notice, seen.above)?;
        Some(MachineRecord {
            phase,
            token_offset: record.token_offset + u64::from(raise),
            address: seen.address.clone(),
            ..record.clone()
        })
    }

    /// What a heartbeat changes in a machine's record, if anything: its phase, and whether its token is
    /// raised.
    fn record_changes(
        &self,
        record: &MachineRecord,
        address: &str,
        notice: bool,
        above: Option<u64>,
    ) -> Option<(MachinePhase, bool)> {
        let term = self.cache.term().unwrap_or(0);
        let phase = match (record.phase, notice) {
            (MachinePhase::Booting | MachinePhase::Up, true) => MachinePhase::Draining,
            (MachinePhase::Booting, false) => MachinePhase::Up,
            (phase, _) => phase,
        };
        let raise = above.is_some_and(|t| t >= term + record.token_offset);
        let news = phase != record.phase || raise || record.address != address;
        news.then_some((phase, raise))
    }

    /// The token under which a machine is commanded, the same for all controllers.
    pub(crate) fn fencing_token(&self, id: &str) -> Option<u64> {
        let token_offset = self.cache.machine(id).map_or(0, |m| m.token_offset);
        Some(self.cache.term()? + token_offset)
    }
}
