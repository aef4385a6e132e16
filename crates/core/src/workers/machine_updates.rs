//! Changes to machine records that heartbeats give evidence of.

use crate::controller::{Controller, Effect};
use crate::model::WorkerHeartbeat;
use crate::state::{InstanceRequestRecord, MachinePhase, MachineRecord};

/// A machine's data from its heartbeat, where its record differs.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct MachineUpdate {
    pub address: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub has_reclaim_notice: bool,
    /// Fences a direct command: the machine's token must be raised above this one.
    pub fence_above: Option<u64>,
}

impl Controller {
    /// Queues the record changes that a heartbeat gives evidence of.
    pub(super) fn queue_machine_update(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        fence_above: Option<u64>,
    ) {
        if !self.is_known_machine(heartbeat) {
            return;
        }
        let (address, has_reclaim_notice) = (&heartbeat.address, heartbeat.notice_s.is_some());
        let known = self.cache.machine(&heartbeat.machine);
        if known.is_some_and(|m| {
            self.record_changes(m, address, has_reclaim_notice, fence_above)
                .is_none()
        }) {
            return;
        }
        let update = MachineUpdate {
            address: heartbeat.address.clone(),
            type_name: heartbeat.type_name.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
            has_reclaim_notice: heartbeat.notice_s.is_some(),
            fence_above,
        };
        if self.updated_record(&heartbeat.machine, &update).is_some() {
            if fence_above.is_some() {
                self.workers.starts.request_token_raise(&heartbeat.machine);
            }
            self.write_back
                .machine_updates
                .insert(heartbeat.machine.clone(), update);
        }
    }

    /// Returns whether a machine is on record, or known to have been provisioned. Any other machine
    /// must respond to a probe before it is recorded: its heartbeat may be old and the machine long
    /// deleted, which a controller that has just started does not know.
    fn is_known_machine(&mut self, heartbeat: &WorkerHeartbeat) -> bool {
        let id = &heartbeat.machine;
        let is_requested = |request: &InstanceRequestRecord| {
            request
                .instances
                .iter()
                .flatten()
                .any(|instance| instance == id)
        };
        if !self.settings.checks.unmanaged_instances
            || self.cache.machine(id).is_some()
            || self
                .cache
                .instance_requests()
                .any(|(_, request, _)| is_requested(request))
        {
            return true;
        }
        let observation = self.workers.observations.get(id);
        if observation.answered_at.is_some() {
            return true;
        }
        if let (Some(token), true) = (self.fencing_token(id), observation.may_be_probed(self.now)) {
            self.workers.observations.entry(id).probed_at = Some(self.now);
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

    /// Queues a raise of a machine's token above the given one, so that commands sent under it can
    /// no longer arrive.
    pub(crate) fn fence_start(&mut self, id: &str, token: u64) {
        let Some(machine) = self.cache.machine(id) else {
            return;
        };
        let update = self
            .write_back
            .machine_updates
            .entry(id.to_string())
            .or_insert(MachineUpdate {
                address: machine.address.clone(),
                type_name: machine.type_name.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
                has_reclaim_notice: false,
                fence_above: None,
            });
        update.fence_above = update.fence_above.max(Some(token));
        self.workers.starts.request_token_raise(id);
    }

    /// Returns a machine's record with the data of a heartbeat, if they change it.
    pub(crate) fn updated_record(&self, id: &str, update: &MachineUpdate) -> Option<MachineRecord> {
        let Some(record) = self.cache.machine(id) else {
            return (!self.workers.recently_deleted.contains(id)).then(|| MachineRecord {
                address: update.address.clone(),
                ..MachineRecord::new(
                    &update.type_name,
                    &update.zone,
                    update.spot,
                    MachinePhase::Up,
                    self.wall_time,
                )
            });
        };
        let (phase, raises_token) = self.record_changes(
            record,
            &update.address,
            update.has_reclaim_notice,
            update.fence_above,
        )?;
        Some(MachineRecord {
            phase,
            token_offset: record.token_offset + u64::from(raises_token),
            address: update.address.clone(),
            ..record.clone()
        })
    }

    /// Returns the new phase of a machine's record, and whether its token is raised, if a heartbeat
    /// changes the record.
    fn record_changes(
        &self,
        record: &MachineRecord,
        address: &str,
        has_reclaim_notice: bool,
        fence_above: Option<u64>,
    ) -> Option<(MachinePhase, bool)> {
        let term = self.cache.term().unwrap_or(0);
        let phase = match (record.phase, has_reclaim_notice) {
            (MachinePhase::Booting | MachinePhase::Up, true) => MachinePhase::Draining,
            (MachinePhase::Booting, false) => MachinePhase::Up,
            (phase, _) => phase,
        };
        let raises_token = fence_above.is_some_and(|token| token >= term + record.token_offset);
        let is_changed = phase != record.phase || raises_token || record.address != address;
        is_changed.then_some((phase, raises_token))
    }

    /// Returns the token under which a machine is commanded, the same for all controllers.
    pub(crate) fn fencing_token(&self, id: &str) -> Option<u64> {
        let token_offset = self
            .cache
            .machine(id)
            .map_or(0, |machine| machine.token_offset);
        Some(self.cache.term()? + token_offset)
    }
}
