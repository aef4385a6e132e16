//! Heartbeats of workers as they arrive: dropped, answered, held or redirected.

use crate::constants::{HEARTBEAT_HOLD_MS, WORKER_FAILOVER_MS, WORKER_HANDOFF_MS};
use crate::controller::{Controller, Effect, RequestId, WorkerReply};
use crate::model::{HeartbeatPosition, Millis, WorkerHeartbeat};
use crate::workers::registry::ReceivedHeartbeat;

/// A heartbeat that waits for its answer: for the records to be read after a start, or for a
/// start to be recorded that its answer shall carry.
pub(crate) struct HeldHeartbeat {
    pub request: RequestId,
    pub heartbeat: WorkerHeartbeat,
    pub since: Millis,
    /// Nothing has been made of it yet.
    pub early: bool,
}

impl HeldHeartbeat {
    pub fn position(&self) -> HeartbeatPosition {
        self.heartbeat.position()
    }
    /// Whether its answer can still carry a start.
    pub fn carries(&self, now: Millis) -> bool {
        now < self.since + HEARTBEAT_HOLD_MS - 400
    }
}

impl Controller {
    pub(crate) fn receive_worker_heartbeat(
        &mut self,
        request: RequestId,
        heartbeat: WorkerHeartbeat,
    ) {
        self.metrics.check_ins += 1;
        let position = heartbeat.position();
        let at = self.now;
        if self.settings.checks.copies && self.liveness(&heartbeat.machine).knows(position) {
            // A copy, or one that a newer overtook: its worker waits for no answer, and it is no sign of
            // life. What it shows the newer one showed as well.
            self.worker(request, WorkerReply::Unavailable);
            return;
        }
        self.note_reachability(&heartbeat);
        match self.workers.last_heartbeats.get_mut(&heartbeat.machine) {
            Some(heard) => (heard.at, heard.position) = (at, position),
            None => {
                let heard = ReceivedHeartbeat { at, position };
                self.workers
                    .last_heartbeats
                    .insert(heartbeat.machine.clone(), heard);
            }
        }
        self.peers.record_worker_failover(&heartbeat.machine);
        self.heard_worker();
        match self.workers.zones_heard_at.get_mut(&heartbeat.zone) {
            Some(at) => *at = self.now,
            None if self.settings.zones.contains(&heartbeat.zone) => {
                self.workers
                    .zones_heard_at
                    .insert(heartbeat.zone.clone(), self.now);
            }
            None => {}
        }
        self.process_worker_heartbeat(request, heartbeat);
    }

    /// Answers a heartbeat, or holds it.
    fn process_worker_heartbeat(&mut self, request: RequestId, heartbeat: WorkerHeartbeat) {
        if self.awaits_current_view() {
            // Just started, or awake again: the view will be current in a moment, while another
            // controller would be a second away.
            self.hold_heartbeat(request, heartbeat, true);
            return;
        }
        if !self.has_current_state() {
            let reply = self.reply_without_state(&heartbeat);
            self.worker(request, reply);
            return;
        }
        let Some(token) = self.fencing_token(&heartbeat.machine) else {
            self.worker(request, WorkerReply::Unavailable);
            return;
        };
        if heartbeat.token > token {
            // Commands of a newer term than this controller knows: not entitled to answer.
            self.worker(request, WorkerReply::Unavailable);
            return;
        }
        if let Some(controller) = self.shutdown_redirect() {
            self.worker(
                request,
                WorkerReply::Redirect {
                    controller: Some(controller),
                },
            );
        } else if self.reconcile(&heartbeat) {
            self.hold_heartbeat(request, heartbeat, false);
        } else if let Some(controller) = self.handoff_target(&heartbeat) {
            self.worker(
                request,
                WorkerReply::Redirect {
                    controller: Some(controller),
                },
            );
        } else {
            let commands = self.commands(&heartbeat);
            self.reply_orders(&heartbeat.machine, request, token, commands);
        }
    }

    /// Notes what a heartbeat says of whether its machine hears any controller. One that does not goes on
    /// reporting, and once its lease has ended it looks free: its heartbeats alone are no reason to place
    /// work there. It counts as unreached until it answers a question (`ask_unreached`).
    fn note_reachability(&mut self, heartbeat: &WorkerHeartbeat) {
        let id = &heartbeat.machine;
        let liveness = self.liveness(id);
        let half = self.settings.lease_ms / 2;
        let lately = liveness
            .last_heartbeat_at()
            .is_some_and(|at| self.now < at + half);
        if !lately {
            return;
        }
        // Its lease ended though controllers received its heartbeats.
        if liveness
            .incarnation()
            .is_some_and(|known| known < heartbeat.incarnation)
        {
            self.workers.observations.note(id).unanswered_at = Some(self.now);
            return;
        }
        // It waited in vain for a controller that is well; one that was handed over comes at once.
        let waited = |at: Millis| self.now + WORKER_HANDOFF_MS >= at + WORKER_FAILOVER_MS;
        let by = liveness
            .from_peers
            .filter(|t| !liveness.reports_here() && waited(t.received_at));
        let left = by.is_some_and(|t| self.peers.is_healthy(self.now, t.peer()));
        if left && liveness.observation.may_be_probed(self.now) {
            self.workers.observations.note(id).probed_at = Some(self.now);
            self.send_command(id.clone(), Vec::new());
        }
    }

    /// Whether the records, or a proof that they are current, are about to come.
    pub(super) fn awaits_current_view(&self) -> bool {
        if !self.settings.checks.view {
            return false;
        }
        !self.list_watch.has_listed && self.state_age_ms() < HEARTBEAT_HOLD_MS
            || self.lifecycle.cache_predates_resume
                && self.now < self.lifecycle.resumed_at + HEARTBEAT_HOLD_MS
    }

    fn hold_heartbeat(&mut self, request: RequestId, heartbeat: WorkerHeartbeat, early: bool) {
        let id = heartbeat.machine.clone();
        if let Some(old) = self.workers.held_heartbeats.remove(&id) {
            if old.position() > heartbeat.position() {
                self.workers.held_heartbeats.insert(id, old);
                self.worker(request, WorkerReply::Unavailable);
                return;
            }
            // The worker has given up the earlier one, so its answer carries nothing.
            self.worker(old.request, WorkerReply::Unavailable);
        }
        let since = self.now;
        self.workers.held_heartbeats.insert(
            id,
            HeldHeartbeat {
                request,
                heartbeat,
                since,
                early,
            },
        );
    }

    /// Goes on with heartbeats that came before the records were read.
    pub(crate) fn process_early_heartbeats(&mut self) {
        if self.awaits_current_view() {
            return;
        }
        let early: Vec<String> = self
            .workers
            .held_heartbeats
            .iter()
            .filter(|(_, h)| h.early)
            .map(|(id, _)| id.clone())
            .collect();
        for id in early {
            if let Some(held) = self.workers.held_heartbeats.remove(&id) {
                self.process_worker_heartbeat(held.request, held.heartbeat);
            }
        }
    }

    pub(crate) fn worker(&mut self, request: RequestId, reply: WorkerReply) {
        self.emit(Effect::Worker { request, reply });
    }
}
