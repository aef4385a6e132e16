//! Periodic work of a controller, several times a second and in a fixed order.

use crate::constants::{
    CLEANUP_INTERVAL_MS, FAILURE_DETECTION_INTERVAL_MS, HOUSEKEEPING_INTERVAL_MS,
    INSTANCE_LIST_INTERVAL_MS, MACHINE_TYPES_INTERVAL_MS, METRICS_INTERVAL_MS,
    REFUSED_RECORDS_RETRY_MS, WATCH_LAG_REOPEN_MS,
};
use crate::controller::{CloudOperation, Controller, Effect, PendingOperation};

impl Controller {
    /// Handles a tick of the clock. Every tick answers waiting users and replies to waiting workers; the remaining
    /// work is done every `HOUSEKEEPING_INTERVAL_MS`.
    pub(super) fn tick(&mut self) {
        self.peers
            .record_tick(self.now - self.lifecycle.last_tick_at);
        self.lifecycle.last_tick_at = self.now;
        self.expire_user_requests();
        self.reply_to_held_heartbeats();
        // The first tick does all work: users wait until the records have been listed.
        let last = self.lifecycle.last_housekeeping_at;
        if last.is_some_and(|at| self.now < at + HOUSEKEEPING_INTERVAL_MS) {
            return;
        }
        self.lifecycle.last_housekeeping_at = Some(self.now);
        self.maintain_connections();
        // Pages of a list are of different ages: until the watch has caught up with the latest one, a
        // machine may lack a claim and look idle.
        if !self.has_current_state() || !self.has_synced() {
            return;
        }
        self.record_first_term();
        self.record_format();
        self.record_cancellation_confirmation();
        self.record_observed_version();
        self.retry_refused_records();
        self.clean_up();
        self.detect_failures();
        self.check_starts_of_lost_peers();
        self.fence_uncertain_claims();
        self.raise_term_for_forgets();
        self.record_run_times();
        self.retry_instance_requests();
        self.remove_completed_requests();
        if self.is_coordinator() {
            self.run_coordinator_tasks();
        }
    }

    /// Does the periodic work that needs no current state cache.
    fn maintain_connections(&mut self) {
        self.log_problems();
        self.probe_during_partition();
        self.assess_peers();
        self.send_heartbeat();
        self.exit_if_drained();
        if !self.list_watch.has_listed && !self.list_watch.list.in_flight {
            self.start_list();
        }
        self.read_machine_types();
        self.reopen_lagging_watch();
    }

    /// Reads the cloud's machine types when they are due. The cloud client delays its response to a failed request,
    /// so retries need no backoff here.
    fn read_machine_types(&mut self) {
        let last = self.provisioning.machine_types_read_at;
        let is_due = last.is_none_or(|at| self.now >= at + MACHINE_TYPES_INTERVAL_MS);
        if is_due && !self.provisioning.machine_types_in_flight {
            self.provisioning.machine_types_in_flight = true;
            self.send_to_cloud(CloudOperation::Types, PendingOperation::MachineTypes);
        }
    }

    /// Reopens a watch that has lagged behind a known revision for `WATCH_LAG_REOPEN_MS`.
    fn reopen_lagging_watch(&mut self) {
        let Some(lagging_since) = self.list_watch.watch_lag_since else {
            return;
        };
        let since = lagging_since.max(self.list_watch.watch_opened_at);
        if !self.list_watch.has_listed || self.now < since + WATCH_LAG_REOPEN_MS {
            return;
        }
        let revision = self.cache.revision;
        tracing::info!(revision, "watch lagging, reopened");
        self.list_watch.watch_opened_at = self.now;
        self.emit(Effect::Watch { since: revision });
    }

    fn retry_refused_records(&mut self) {
        if self.now >= self.writes.refused_records_retried_at + REFUSED_RECORDS_RETRY_MS {
            self.writes.refused_records_retried_at = self.now;
            self.cache.retry_refused();
        }
    }

    /// Removes the data of deleted machines and old run times, and logs the counters.
    fn clean_up(&mut self) {
        if self.now < self.cleanup.last_cleanup_at + CLEANUP_INTERVAL_MS {
            return;
        }
        self.cleanup.last_cleanup_at = self.now;
        if self.now >= self.lifecycle.started_at + METRICS_INTERVAL_MS {
            let (records, held_heartbeats) = (self.cache.len(), self.workers.held_heartbeats.len());
            self.metrics.log_if_due(self.now, records, held_heartbeats);
        }
        self.forget_deleted_machines();
        self.clean_up_run_times();
        for (reason, count) in self.peers.take_rejected(self.now) {
            tracing::info!(?reason, count, "peer heartbeats rejected");
        }
    }

    fn detect_failures(&mut self) {
        if self.now < self.workers.failures_detected_at + FAILURE_DETECTION_INTERVAL_MS {
            return;
        }
        self.workers.failures_detected_at = self.now;
        self.detect_machine_failures();
        self.finish_jobs();
        self.cancel_overdue_dependents();
        if self.is_coordinator() {
            self.remove_obsolete_records();
        }
    }

    /// Does the work that only the coordinator does.
    fn run_coordinator_tasks(&mut self) {
        self.evict_over_limits();
        self.send_deletions();
        self.list_instances();
        self.migrate_services();
    }

    fn list_instances(&mut self) {
        let is_due = self.now >= self.provisioning.next_instance_list_at;
        if is_due && !self.provisioning.instance_list_in_flight {
            self.provisioning.next_instance_list_at = self.now + INSTANCE_LIST_INTERVAL_MS;
            self.provisioning.instance_list_in_flight = true;
            let list = CloudOperation::List { after: None };
            self.send_to_cloud(list, PendingOperation::Instances);
        }
    }
}
