//! Worker heartbeats: the controller drops, replies to, holds or redirects each one.

use crate::constants::messages::HEARTBEAT_ASSIGNED_BYTES;
use crate::constants::{HEARTBEAT_REPLY_MAX_DELAY_MS, WORKER_FAILOVER_MS, WORKER_HANDOFF_MS};
use crate::controller::{Controller, Effect, RequestId, WorkerReply};
use crate::model::{HeartbeatPosition, Millis, WorkerHeartbeat};
use crate::workers::registry::ReceivedHeartbeat;

/// A heartbeat whose reply is held back, either until the state cache is current, or until a start
/// that the reply carries is recorded.
pub(crate) struct HeldHeartbeat {
    pub request: RequestId,
    pub heartbeat: WorkerHeartbeat,
    pub held_since: Millis,
    /// Whether the heartbeat is still to be processed, because the state cache was not current when
    /// it arrived.
    pub needs_processing: bool,
}

impl HeldHeartbeat {
    pub fn position(&self) -> HeartbeatPosition {
        self.heartbeat.position()
    }
    /// Returns whether its reply can still carry a start: the transaction that records the start
    /// needs some 400 ms before the hold ends.
    pub fn can_carry_start(&self, now: Millis) -> bool {
        now < self.held_since + HEARTBEAT_REPLY_MAX_DELAY_MS - 400
    }
}

impl Controller {
    /// Receives a worker's heartbeat: drops duplicates, records the time of the last heartbeat of the
    /// machine and of its zone, and processes the heartbeat.
    pub(crate) fn receive_worker_heartbeat(
        &mut self,
        request: RequestId,
        heartbeat: WorkerHeartbeat,
    ) {
        self.metrics.heartbeats += 1;
        let position = heartbeat.position();
        let now = self.now;
        if self.settings.checks.duplicate_heartbeats
            && self.liveness(&heartbeat.machine).has_received(position)
        {
            // A duplicate, or overtaken by a newer heartbeat: the worker no longer waits for the
            // reply, the heartbeat is no evidence that the machine is alive now, and the newer one
            // contained all that this one reports.
            self.reply_to_worker(request, WorkerReply::Unavailable);
            return;
        }
        self.detect_unreachable_worker(&heartbeat);
        let received = ReceivedHeartbeat {
            at: now,
            position,
            task_bytes: heartbeat.task_bytes(),
        };
        match self.workers.last_heartbeats.get_mut(&heartbeat.machine) {
            Some(last) => *last = received,
            None => {
                self.workers
                    .last_heartbeats
                    .insert(heartbeat.machine.clone(), received);
            }
        }
        self.peers.record_worker_failover(&heartbeat.machine);
        self.record_worker_contact();
        match self.workers.zone_heartbeat_at.get_mut(&heartbeat.zone) {
            Some(heard_at) => *heard_at = self.now,
            None if self.settings.zones.contains(&heartbeat.zone) => {
                self.workers
                    .zone_heartbeat_at
                    .insert(heartbeat.zone.clone(), self.now);
            }
            None => {}
        }
        self.process_worker_heartbeat(request, heartbeat);
    }

    /// Replies to a heartbeat, redirects its worker, or holds it.
    fn process_worker_heartbeat(&mut self, request: RequestId, heartbeat: WorkerHeartbeat) {
        if self.awaits_current_view() {
            // After a start or a resume the cache becomes current within moments, while the worker
            // would need a second to reach another controller.
            self.hold_heartbeat(request, heartbeat, true);
            return;
        }
        if !self.has_current_state() {
            let reply = self.reply_without_state(&heartbeat);
            self.reply_to_worker(request, reply);
            return;
        }
        let Some(token) = self.fencing_token(&heartbeat.machine) else {
            self.reply_to_worker(request, WorkerReply::Unavailable);
            return;
        };
        if heartbeat.token > token {
            let (machine, worker_token) = (&heartbeat.machine, heartbeat.token);
            tracing::debug!(
                machine,
                token,
                worker_token,
                "heartbeat refused: its worker has a newer token"
            );
            // The worker has a token of a newer term than the one in this controller's cache, so
            // this controller must not send commands to it.
            self.reply_to_worker(request, WorkerReply::Unavailable);
            return;
        }
        if let Some(controller) = self.shutdown_redirect() {
            self.reply_to_worker(
                request,
                WorkerReply::Redirect {
                    controller: Some(controller),
                },
            );
            return;
        }
        let reconciled = self.reconcile(&heartbeat);
        if reconciled.needs_start {
            self.hold_heartbeat(request, heartbeat, false);
        } else if let Some(controller) = self.handoff_target(&heartbeat) {
            self.reply_to_worker(
                request,
                WorkerReply::Redirect {
                    controller: Some(controller),
                },
            );
        } else {
            self.record_deferred_forgets(&heartbeat, token);
            let token = self.reply_token(&heartbeat, token, reconciled.fences_start);
            let commands = self.commands_for_reply(&heartbeat, token);
            self.reply_with_commands(&heartbeat, request, token, commands);
        }
    }

    /// Returns how many bytes of further task entries the heartbeats of a machine that reports here can take:
    /// they may list all tasks of the last one, in addition to all that are assigned.
    pub(crate) fn heartbeat_space(&self, id: &str) -> u64 {
        let last = self.workers.last_heartbeats.get(id);
        let listed_bytes = last.map_or(0, |last| last.task_bytes);
        let assigned_bytes = self.cache.used_resources(id).heartbeat_bytes;
        (2 * HEARTBEAT_ASSIGNED_BYTES).saturating_sub(listed_bytes + assigned_bytes)
    }

    /// Detects machines that send heartbeats but receive no replies. Such a machine keeps
    /// reporting, and seems to be free once its lease has ended, so its heartbeats alone are no reason to
    /// place work there. It counts as unreachable until it responds to a probe
    /// (`probe_unreachable_machines`).
    fn detect_unreachable_worker(&mut self, heartbeat: &WorkerHeartbeat) {
        let id = &heartbeat.machine;
        let liveness = self.liveness(id);
        let half_lease_ms = self.settings.lease_ms / 2;
        let is_recent = liveness
            .last_heartbeat_at()
            .is_some_and(|at| self.now < at + half_lease_ms);
        if !is_recent {
            return;
        }
        // Its lease ended although controllers received its heartbeats.
        if liveness
            .incarnation()
            .is_some_and(|known| known < heartbeat.incarnation)
        {
            self.workers.observations.entry(id).unanswered_at = Some(self.now);
            return;
        }
        // Its worker timed out waiting for a healthy controller's reply. A worker that was handed
        // off arrives within `WORKER_HANDOFF_MS` instead.
        let timed_out = |at: Millis| self.now + WORKER_HANDOFF_MS >= at + WORKER_FAILOVER_MS;
        let previous_peer = liveness
            .from_peers
            .filter(|peer| !liveness.reports_here() && timed_out(peer.received_at));
        let left_healthy_peer =
            previous_peer.is_some_and(|peer| self.peers.is_healthy(self.now, peer.peer()));
        if left_healthy_peer && liveness.observation.may_be_probed(self.now) {
            self.workers.observations.entry(id).probed_at = Some(self.now);
            self.send_command(id.clone(), Vec::new());
        }
    }

    /// Returns whether the records, or the proof that they are current, are expected shortly.
    pub(super) fn awaits_current_view(&self) -> bool {
        if !self.settings.checks.current_cache {
            return false;
        }
        !self.list_watch.has_listed && self.state_age_ms() < HEARTBEAT_REPLY_MAX_DELAY_MS
            || self.lifecycle.cache_predates_resume
                && self.now < self.lifecycle.resumed_at + HEARTBEAT_REPLY_MAX_DELAY_MS
    }

    /// Holds a heartbeat; of two from the same machine only the later one is held.
    fn hold_heartbeat(
        &mut self,
        request: RequestId,
        heartbeat: WorkerHeartbeat,
        needs_processing: bool,
    ) {
        let id = heartbeat.machine.clone();
        if let Some(earlier) = self.workers.held_heartbeats.remove(&id) {
            if earlier.position() > heartbeat.position() {
                self.workers.held_heartbeats.insert(id, earlier);
                self.reply_to_worker(request, WorkerReply::Unavailable);
                return;
            }
            // The worker no longer waits for the reply to the earlier heartbeat, so that reply
            // carries nothing.
            self.reply_to_worker(earlier.request, WorkerReply::Unavailable);
        }
        let held_since = self.now;
        self.workers.held_heartbeats.insert(
            id,
            HeldHeartbeat {
                request,
                heartbeat,
                held_since,
                needs_processing,
            },
        );
    }

    /// Processes the heartbeats that arrived before the state cache was current.
    pub(crate) fn process_deferred_heartbeats(&mut self) {
        if self.awaits_current_view() {
            return;
        }
        let machines: Vec<String> = self
            .workers
            .held_heartbeats
            .iter()
            .filter(|(_, held)| held.needs_processing)
            .map(|(id, _)| id.clone())
            .collect();
        for id in machines {
            if let Some(held) = self.workers.held_heartbeats.remove(&id) {
                self.process_worker_heartbeat(held.request, held.heartbeat);
            }
        }
    }

    /// Replies to a worker's heartbeat.
    pub(crate) fn reply_to_worker(&mut self, request: RequestId, reply: WorkerReply) {
        self.emit(Effect::Worker { request, reply });
    }
}
