//! Failover when a peer is lost, and the heartbeats between controllers.
//!
//! Workers of a lost peer switch to another controller by themselves. The remaining controllers continue the
//! claims, jobs, instance requests and deletions of the lost peer. Each step is a transaction on stored records,
//! so it does no harm if two controllers take it, or if the peer is still running.

use crate::constants::messages::{
    PEER_FRAME_MAX_BYTES, PEER_HEARTBEAT_BASE_BYTES, PEER_WORKER_BYTES,
};
use crate::constants::{FAILOVER_STAGGER_MS, STARTUP_PERIOD_MS, STATE_PROBE_INTERVAL_MS};
use crate::controller::{Controller, ControllerStatus, Effect, HeardWorker, PeerHeartbeat};
use crate::peers::status::{HeartbeatOutcome, PeerStatus, PeerStatusChange};
use crate::state::formats;
use crate::workers::starts::Attempt;

impl Controller {
    /// Handles a heartbeat of a peer.
    pub(crate) fn receive_peer_heartbeat(&mut self, heartbeat: PeerHeartbeat) {
        let images = heartbeat.cached_images.clone();
        let is_behind = self.is_behind(&heartbeat.controller);
        let (now, wall_time) = (self.now, self.wall_time);
        let own_heartbeats = &self.workers.last_heartbeats;
        let outcome = self
            .peers
            .receive_heartbeat(now, wall_time, heartbeat, own_heartbeats);
        if outcome != HeartbeatOutcome::Accepted {
            return;
        }
        self.cache.merge_image_hints(&images);
        if is_behind {
            // Makes the next linearizable read due, which shows whether the watch lags.
            let at = self.now.saturating_sub(STATE_PROBE_INTERVAL_MS);
            self.reads.last_requested_at = self.reads.last_requested_at.min(at);
        }
        self.assess_peers();
    }

    /// Returns whether this controller's cache lags behind the revision that a peer had reported with its previous
    /// heartbeat, one heartbeat interval ago.
    fn is_behind(&self, controller: &str) -> bool {
        let peer = self.peers.peer(controller);
        let status = peer.and_then(|peer| peer.heartbeat.status.as_ref());
        status.is_some_and(|status| status.revision > self.cache.revision)
    }

    /// Handles the end of the last connection over which a peer sent heartbeats.
    pub(crate) fn peer_link_ended(&mut self, controller: &str) {
        self.peers.link_ended(controller);
        self.assess_peers();
    }

    /// Reassesses the status of all peers and fails over from those that are newly lost.
    pub(crate) fn assess_peers(&mut self) {
        let (changes, completed) = self.peers.assess(self.now);
        for change in changes {
            tracing::info!(
                controller = change.controller,
                previous = %change.previous,
                status = %change.status,
                workers = change.workers,
                silent_ms = change.silent_ms,
                "peer status changed"
            );
            if change.status.is_inactive() && !change.previous.is_inactive() {
                self.fail_over_from(&change);
            }
        }
        for failover in completed {
            tracing::info!(
                controller = failover.controller,
                workers = failover.workers,
                missing = failover.missing,
                duration_ms = failover.duration_ms,
                "failover completed"
            );
        }
    }

    /// Schedules the tasks of a lost peer, and has its starts checked.
    fn fail_over_from(&mut self, lost: &PeerStatusChange) {
        // The peer may have accepted jobs without placing their tasks. The controllers run their scheduling passes
        // one after another, so that they do not claim the same tasks.
        let pass_at = self.now + self.settings.controller_index() * FAILOVER_STAGGER_MS;
        self.scheduling.next_pass_at = self.scheduling.next_pass_at.min(pass_at);
        if self.settings.tuning.recover_starts {
            let last_heartbeat_at = self.now - lost.silent_ms;
            self.workers
                .starts
                .schedule_failover_check(self.now, last_heartbeat_at);
        }
    }

    /// Probes machines to find out whether they received the starts of claims that a lost peer may have made
    /// without sending the starts. Only the coordinator does so.
    pub(crate) fn check_starts_of_lost_peers(&mut self) {
        if !self.is_coordinator() {
            return;
        }
        for id in self.workers.starts.take_machines_to_check(self.now) {
            self.send_command(id, Vec::new());
        }
    }

    /// Fences the starts of this controller's claims whose transactions got no response but whose assignments are in
    /// the cache by now. Nobody has sent their starts. This controller may not send them as they are, since a
    /// peer may have made the same claim. Fenced at once, a start goes with the next reply to a heartbeat, and not
    /// only after a heartbeat that lacks the task.
    pub(crate) fn fence_uncertain_claims(&mut self) {
        if !self.workers.starts.has_uncertain_claims() {
            return;
        }
        let cache = &self.cache;
        let token = |(task, attempt): &Attempt, machine: &str| {
            let placed = cache.assignment(machine, task)?;
            let assignment = Some(&placed.assignment).filter(|a| a.attempt == *attempt)?;
            assignment.direct_start.map(|start| start.token)
        };
        for (machine, token) in self
            .workers
            .starts
            .take_recorded_uncertain_claims(self.now, token)
        {
            tracing::info!(
                machine,
                "uncertain claim found on record: start fenced, to be resent"
            );
            self.fence_start(&machine, token);
        }
    }

    /// Sends a heartbeat to all peers when one is due.
    pub(crate) fn send_heartbeat(&mut self) {
        let Some((includes_images, status)) = self.peers.heartbeat_due(self.now) else {
            return;
        };
        self.plan_handoff();
        let workers: Vec<HeardWorker> = self
            .workers
            .last_heartbeats
            .iter()
            .filter(|(_, h)| self.now - h.at < self.settings.lease_ms * 2)
            .map(|(id, h)| HeardWorker {
                machine: id.clone(),
                incarnation: h.position.incarnation,
                sequence: h.position.sequence,
                age_ms: self.now - h.at,
            })
            .collect();
        let cached_images = match includes_images {
            true => self.cache.image_hints(image_space(&workers)),
            false => Vec::new(),
        };
        let status = ControllerStatus {
            revision: self.cache.revision,
            term: self.cache.term().unwrap_or(0),
            outstanding_operations: self.operations.outstanding.len() as u32,
            reporting_workers: self.load() as u32,
            configuration: self.settings.policy.version,
            ..status
        };
        // Versions before format 2 reject a heartbeat with an additional element. Before the list is
        // complete, the revision, the term and the configuration in it are not those on record.
        let includes_status = self.list_watch.has_listed
            && self.cache.common_format() >= formats::COMPACT_CHUNKS_AND_DEPENDENCIES;
        self.emit(Effect::PeerHeartbeat(PeerHeartbeat {
            controller: self.settings.controller.clone(),
            sent_at: self.wall_time,
            has_current_state: self.has_current_state(),
            workers_reachable: self.workers_reachable()
                && self.lifecycle.shutting_down_since.is_none(),
            workers,
            just_started: self.now - self.lifecycle.started_at < STARTUP_PERIOD_MS,
            cached_images,
            status: includes_status.then_some(status),
        }));
    }

    /// Returns the status of a peer, if it has ever sent a heartbeat to this controller.
    pub fn status_of(&self, controller: &str) -> Option<PeerStatus> {
        Some(self.peers.peer(controller)?.status())
    }
}

/// Returns how many bytes of a peer heartbeat are left for images beside its workers.
fn image_space(workers: &[HeardWorker]) -> usize {
    let worker_bytes = workers.iter().map(|w| PEER_WORKER_BYTES + w.machine.len());
    let used_bytes = PEER_HEARTBEAT_BASE_BYTES + worker_bytes.sum::<usize>();
    PEER_FRAME_MAX_BYTES.saturating_sub(used_bytes)
}
