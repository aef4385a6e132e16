//! A controller: takes events, keeps the state cache, and emits effects.

mod lifecycle;
pub(crate) mod messages;
pub(crate) mod operations;
mod readiness;
mod upgrade;

pub use messages::*;
pub(crate) use operations::*;

use crate::configuration::Configuration;
use crate::constants::{
    FAILURE_DETECTION_INTERVAL_MS, FORGET_MS, INSTANCE_LIST_INTERVAL_MS, ISOLATED_MS,
    MACHINE_TYPES_INTERVAL_MS, PAUSE_MS, PAUSE_READY_MS, REFUSED_RECORDS_KEPT,
    REFUSED_RECORDS_RETRY_MS, STATE_LOST_MS, STATS_MS, THROTTLED_MS, TICK_MS, WATCH_LOST_MS,
    WATCH_TRAIL_MS,
};
use crate::controller::lifecycle::Lifecycle;
use crate::controller::upgrade::Upgrade;
use crate::jobs::cleanup_state::CleanupState;
use crate::jobs::request_table::RequestTable;
use crate::metrics::Stats;
use crate::model::{MachineType, Millis, WallMs};
use crate::peers::tracker::{Peer, PeerTracker};
use crate::provisioning::tracker::ProvisioningTracker;
use crate::run_times::Learned;
use crate::scheduling::schedule::Schedule;
use crate::settings::Settings;
use crate::state::formats::{self, FormatRecord};
use crate::state::list_watch::ListWatch;
use crate::state::reads::LinearizableReads;
use crate::state::write_control::WriteControl;
use crate::state::{CasTransaction, Key, Record, StateCache, TermRecord, TransactionBuilder};
use crate::workers::registry::WorkerRegistry;
use crate::workers::write_back::WriteBack;
use crate::zones::failures::Zones;
use foldhash::{HashMap, HashMapExt};
use rand::rngs::SmallRng;
use rand::SeedableRng;

/// A controller: every decision is made by its methods, by event.
pub struct Controller {
    /// What it was told at its start; teams and objectives follow the configuration on record.
    pub settings: Settings,
    /// The state cache.
    pub cache: StateCache,
    /// The cloud's machine types by name.
    pub machine_types: HashMap<String, MachineType>,
    pub(crate) rng: SmallRng,
    /// Steady time of the event that is handled.
    pub(crate) now: Millis,
    /// Time of day of the event that is handled.
    pub(crate) wall: WallMs,
    /// The cache has changed in this event.
    pub(crate) state_changed: bool,
    /// Effects of the event that is handled.
    pub(crate) out: Vec<Effect>,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) operations: OperationTracker,
    pub(crate) sync: ListWatch,
    pub(crate) reads: LinearizableReads,
    pub(crate) writes: WriteControl,
    pub(crate) requests: RequestTable,
    pub(crate) workers: WorkerRegistry,
    pub(crate) write_back: WriteBack,
    pub(crate) peers: PeerTracker,
    pub(crate) zones: Zones,
    pub(crate) provisioning: ProvisioningTracker,
    pub(crate) scheduling: Schedule,
    pub(crate) cleanup: CleanupState,
    pub(crate) upgrade: Upgrade,
    pub(crate) configuration: Configuration,
    pub(crate) run_times: Learned,
    pub(crate) metrics: Stats,
}

impl Controller {
    pub fn new(settings: Settings, seed: u64, now: Millis, wall: WallMs) -> Controller {
        let mut cache = StateCache::default();
        cache.members = match settings.checks.format {
            true => settings.controllers.clone(),
            false => vec![settings.controller.clone()],
        };
        Controller {
            cache,
            machine_types: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            now,
            wall,
            state_changed: false,
            out: Vec::new(),
            lifecycle: Lifecycle::new(now),
            operations: OperationTracker::new(),
            sync: ListWatch::new(now),
            reads: LinearizableReads::new(),
            writes: WriteControl::new(&settings, now),
            requests: RequestTable::new(&settings, now),
            workers: WorkerRegistry::new(now),
            write_back: WriteBack::new(),
            peers: PeerTracker::new(&settings, wall),
            zones: Zones::default(),
            provisioning: ProvisioningTracker::new(now),
            scheduling: Schedule::new(now),
            cleanup: CleanupState::new(),
            upgrade: Upgrade::default(),
            configuration: Configuration::new(settings.policy.clone()),
            run_times: Learned::default(),
            metrics: Stats::new(now),
            settings,
        }
    }

    /// Takes one event at a steady time and a time of day; returns what is to be done.
    pub fn handle(&mut self, now: Millis, wall: WallMs, event: Event) -> Vec<Effect> {
        let gap = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        self.wall = wall;
        if gap >= PAUSE_MS && self.settings.checks.gap {
            self.reset_after_pause(gap);
        }
        match event {
            Event::Tick => self.tick(),
            Event::Submit { request, spec } => self.handle_submit(request, *spec),
            Event::Status { request, job } => self.handle_status(request, job),
            Event::Cancel { request, job } => self.handle_cancel(request, job),
            Event::WorkerHeartbeat { request, report } => {
                self.receive_worker_heartbeat(request, *report)
            }
            Event::State { token, answer } => self.handle_state_response(token, answer),
            Event::StateTimeout { token } => self.handle_state_timeout(token),
            Event::WatchUpdate { revision, changes } => self.watched(revision, changes),
            Event::WatchGap => self.start_list(),
            Event::Throttled => self.throttled(),
            Event::Cloud { token, answer } => self.handle_cloud_response(token, answer),
            Event::CommandResult {
                machine,
                reach,
                report,
            } => {
                self.handle_command_result(machine, reach);
                if let Some(report) = report {
                    self.process_command_response(&report);
                }
            }
            Event::PeerHeartbeat(heartbeat) => self.receive_heartbeat(heartbeat),
            Event::LinkEnded { controller } => self.link_ended(&controller),
            Event::Shutdown => self.begin_shutdown(),
        }
        self.issue_read_index();
        if std::mem::take(&mut self.state_changed) {
            self.process_early_heartbeats();
            self.confirm_cancellations();
        }
        self.write_results();
        self.run_scheduling_pass();
        std::mem::take(&mut self.out)
    }

    /// After a pause: what was held before is old, and nothing is done on the strength
    /// of it. The view counts again once a proof asked for from now on has been reached;
    /// machines are judged and placed on after a round of reports, as after a start.
    fn reset_after_pause(&mut self, gap: Millis) {
        tracing::info!(ms = gap, asks = self.requests.open.len(), "stood still");
        self.lifecycle.resumed_at = self.now;
        self.lifecycle.first_operation_since_resume = self.operations.next_id;
        self.lifecycle.view_predates_resume = true;
        self.sync.last_response_at = None;
        self.reads.last_requested_at = 0;
        // Those who asked have given up, or are about to: they are told to come back.
        for request in self.requests.open.keys().copied().collect::<Vec<_>>() {
            let reply = self.later();
            self.answer(request, reply);
        }
        self.reads.unissued.clear();
        for (_, held) in std::mem::take(&mut self.workers.held_heartbeats) {
            self.worker(held.request, WorkerReply::Unavailable);
        }
        // Proofs of what ended stay true. What gave reason to act on machines does not.
        self.workers.marked_for_termination.clear();
        self.write_back.machine_updates.clear();
        self.write_back.checkpoints_due.clear();
        self.workers.observations.reset_after_pause();
        self.workers.starts.reset_after_pause();
        self.provisioning.unmanaged.clear();
        self.zones.reset_after_pause();
        self.peers.reset_after_pause(self.now);
        self.workers.reachability.reset_after_pause();
    }

    /// The state service was asked too much. Once all controllers are upgraded its announced limits may
    /// be in force any time: from the first such answer on this controller keeps to them.
    fn throttled(&mut self) {
        self.writes.throttled_at = Some(self.now);
        if self.cache.format() == formats::LATEST {
            self.writes.budget.slow_down(self.settings.next_write_rps);
        }
    }

    /// Says once of each record that it does not fit into a value any more.
    pub(crate) fn log_oversized(&mut self, records: Vec<(Key, usize)>) {
        for (key, bytes) in records {
            if self.writes.oversized_logged.len() < REFUSED_RECORDS_KEPT
                && self.writes.oversized_logged.insert(key.clone())
            {
                let (key, limit) = (key.path(), self.settings.max_value_bytes);
                tracing::error!(key, bytes, limit, "a record is too large to be written");
            }
        }
    }

    /// Records which format this controller reads, and logs how far a rolling upgrade is.
    fn record_format(&mut self) {
        let format = self.cache.format();
        let old = |controller: &&String| self.cache.format_of(controller) < formats::LATEST;
        let old: Vec<&str> = (self.settings.controllers.iter().filter(old))
            .map(String::as_str)
            .collect();
        if self.upgrade.format_logged != Some((format, old.len())) {
            match old.is_empty() {
                true => tracing::info!(format, "every node has the latest format"),
                false => {
                    let waits_for = old.join(" ");
                    tracing::info!(format, waits_for, "rolling upgrade: old format in use");
                }
            }
            self.upgrade.format_logged = Some((format, old.len()));
        }
        let known = self.cache.format_of(&self.settings.controller);
        if known < formats::LATEST && !self.upgrade.format_busy {
            let mut draft = TransactionBuilder::new(&self.cache);
            let version = formats::LATEST;
            let key = Key::Format(self.settings.controller.clone());
            draft.put(key, Record::Format(FormatRecord { version }));
            let transaction = draft.finish();
            self.upgrade.format_busy = true;
            self.commit(
                transaction,
                PendingOperation::RecordFormat,
                RequestClass::User,
            );
        }
    }

    pub(crate) fn emit(&mut self, effect: Effect) {
        self.out.push(effect);
    }

    pub(crate) fn token(
        &mut self,
        purpose: PendingOperation,
        transaction: Option<CasTransaction>,
    ) -> OperationId {
        let token = self.operations.next_id;
        self.operations.next_id += 1;
        self.operations
            .outstanding
            .insert(token, (purpose, transaction));
        token
    }

    /// Commits changes of assignments, one transaction after another.
    pub(crate) fn commit_assignments(
        &mut self,
        transaction: CasTransaction,
        purpose: PendingOperation,
        request_class: RequestClass,
    ) {
        self.writes.assignment_write = Some(self.commit(transaction, purpose, request_class));
    }

    pub(crate) fn commit(
        &mut self,
        transaction: CasTransaction,
        purpose: PendingOperation,
        request_class: RequestClass,
    ) -> OperationId {
        self.writes.budget.take(transaction.changes.len());
        self.metrics.sent(&purpose, &transaction);
        let token = self.token(purpose, Some(transaction.clone()));
        self.emit(Effect::State {
            token,
            op: StateOperation::Transaction(transaction),
            request_class,
        });
        token
    }

    pub(crate) fn cloud(&mut self, op: CloudOperation, purpose: PendingOperation) {
        self.metrics.cloud += 1;
        let token = self.token(purpose, None);
        self.emit(Effect::Cloud { token, op });
    }

    /// Whether the records are known and current, and the state service answered lately.
    pub fn has_current_state(&self) -> bool {
        let trails = |at| self.now >= at + WATCH_LOST_MS;
        self.sync.has_listed
            && !self.lifecycle.view_predates_resume
            && !self.sync.watch_lag_since.is_some_and(trails)
            && self
                .sync
                .last_response_at
                .is_some_and(|at| self.now.saturating_sub(at) <= STATE_LOST_MS)
    }

    pub(crate) fn state_age(&self) -> Millis {
        self.now
            - self
                .sync
                .last_response_at
                .unwrap_or(self.lifecycle.started_at)
    }

    /// Whether sending users here helps them.
    pub fn ready(&self) -> bool {
        self.not_ready().is_none()
    }

    /// What keeps users from being sent here. While every controller has lost the state service none
    /// is better than another: leaving the balancer would only prolong the outage, and here
    /// they are at least told when to come back.
    fn not_ready(&self) -> Option<&'static str> {
        if self.lifecycle.shutting_down_since.is_some() {
            Some("it is about to end")
        } else if !self.sync.has_listed {
            Some("records are not read")
        } else if self.machine_types.is_empty() {
            Some("machine types are not known")
        } else if self.cache.term().is_none() {
            Some("there is no term")
        } else if self.has_current_state() {
            let better = |s: &Peer| s.heartbeat.has_current_state && s.heartbeat.workers_reachable;
            let elsewhere = self.fresh_peers().any(better);
            (!self.workers_reachable() && elsewhere).then_some("workers do not reach it")
        } else if self.peer_with_state().is_some() {
            Some("the state service is not reached")
        } else if self.is_alone() {
            Some("neither the state service nor a sibling is reached")
        } else {
            let waking = self.lifecycle.view_predates_resume
                && self.now < self.lifecycle.resumed_at + PAUSE_READY_MS;
            waking.then_some("it stood still")
        }
    }

    /// Cut off from the state service and from all peers, and for longer than both may hesitate:
    /// most likely others serve users, who would poll here in vain for as long as the cut lasts.
    fn is_alone(&self) -> bool {
        self.settings.checks.alone
            && self.settings.controllers.len() > 1
            && self.fresh_peers().next().is_none()
            && self.state_age() >= ISOLATED_MS
    }

    /// Logs when a trouble that operators ask about begins and ends.
    fn log_problems(&mut self) {
        let not_ready = self.not_ready();
        let cut = self.sync.has_listed && !self.has_current_state();
        let reasons = [
            Some("the state service is not reached").filter(|_| cut),
            Some("workers do not reach it").filter(|_| !self.workers_reachable()),
            not_ready,
        ];
        for what in reasons.into_iter().flatten() {
            if !self.lifecycle.ongoing_problems.contains_key(what) {
                let ready = not_ready.is_none();
                tracing::info!(what, ready, "trouble begins");
                self.lifecycle.ongoing_problems.insert(what, self.now);
            }
        }
        let now = self.now;
        self.lifecycle.ongoing_problems.retain(|what, since| {
            let lasts = reasons.contains(&Some(*what));
            if !lasts {
                tracing::info!(what, ms = now - *since, "trouble ends");
            }
            lasts
        });
    }

    pub(crate) fn fresh_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.fresh(self.now)
    }

    pub(crate) fn peer_with_state(&self) -> Option<String> {
        self.fresh_peers()
            .find(|s| s.heartbeat.has_current_state)
            .map(|s| s.heartbeat.controller.clone())
    }

    /// The first controller, in order of names, that reaches the state service does the
    /// housekeeping. Two doing it at once is wasteful, not wrong.
    pub(crate) fn on_duty(&self) -> bool {
        let before = self.settings.controllers.iter();
        let mut before = before.take_while(|n| **n != self.settings.controller);
        self.has_current_state() && !before.any(|n| self.peers.is_on_duty(self.now, n))
    }

    /// Changes that may be sent to the state service now. The share of peers that do not
    /// reach it goes to the others.
    pub(crate) fn changes_left(&mut self) -> usize {
        let all = self.settings.controllers.len();
        // A silent peer most likely is paused or is down. Should it only be the link that
        // is cut, the service says that too much is asked, and its share is its own again.
        let silent = match self.writes.throttled_at {
            Some(at) if self.now < at + THROTTLED_MS => 0,
            _ => all - 1 - self.peers.serving(self.now).min(all - 1),
        };
        let cut = self
            .fresh_peers()
            .filter(|s| !s.heartbeat.has_current_state)
            .count();
        let idle = cut + silent;
        let times = all as f64 / all.saturating_sub(idle).max(1) as f64;
        self.writes.budget.left(self.now, times)
    }

    // ---- Time ----------------------------------------------------------------------

    fn tick(&mut self) {
        self.peers.ticked(self.now - self.lifecycle.last_tick_at);
        self.lifecycle.last_tick_at = self.now;
        self.expire_user_requests();
        self.reply_to_held_heartbeats();
        // The first tick does all: users wait for the records to be read.
        if self
            .lifecycle
            .last_housekeeping_at
            .is_some_and(|at| self.now < at + TICK_MS)
        {
            return;
        }
        self.lifecycle.last_housekeeping_at = Some(self.now);
        self.log_problems();
        self.probe_partition();
        self.judge_peers();
        self.send_heartbeat();
        self.exit_if_drained();
        if !self.sync.has_listed && !self.sync.list.busy {
            self.start_list();
        }
        if !self.provisioning.machine_types_in_flight {
            let due = match self.provisioning.machine_types_read_at {
                Some(at) => self.now >= at + MACHINE_TYPES_INTERVAL_MS,
                None => true,
            };
            if due
                && (self.provisioning.machine_types_read_at.is_some()
                    || self.now >= self.last_machine_types_attempt())
            {
                self.provisioning.machine_types_in_flight = true;
                self.cloud(CloudOperation::Types, PendingOperation::MachineTypes);
            }
        }
        let trails = self
            .sync
            .watch_lag_since
            .map(|at| at.max(self.sync.watch_opened_at));
        if self.sync.has_listed && trails.is_some_and(|at| self.now >= at + WATCH_TRAIL_MS) {
            tracing::info!(
                revision = self.cache.revision,
                "the watch trails: opened anew"
            );
            self.sync.watch_opened_at = self.now;
            self.emit(Effect::Watch {
                since: self.cache.revision,
            });
        }
        if !self.has_current_state() {
            return;
        }
        if self.cache.term().is_none() && !self.upgrade.term_in_flight {
            let mut draft = TransactionBuilder::new(&self.cache);
            draft.put(Key::Term, Record::Term(TermRecord { term: 1 }));
            let transaction = draft.finish();
            self.upgrade.term_in_flight = true;
            self.commit(transaction, PendingOperation::Term, RequestClass::User);
        }
        self.record_format();
        self.record_cancellation_confirmation();
        self.record_observed_version();
        if self.now >= self.writes.refused_records_retried_at + REFUSED_RECORDS_RETRY_MS {
            self.writes.refused_records_retried_at = self.now;
            self.cache.retry_refused();
        }
        if self.now >= self.cleanup.last_cleanup_at + FORGET_MS {
            self.cleanup.last_cleanup_at = self.now;
            if self.now >= self.lifecycle.started_at + STATS_MS {
                let (records, held) = (self.cache.len(), self.workers.held_heartbeats.len());
                self.metrics.report(self.now, records, held);
            }
            self.forget_deleted_machines();
            self.forget_old_runs();
            for (why, heartbeats) in self.peers.dropped(self.now) {
                tracing::info!(?why, heartbeats, "beats dropped");
            }
        }
        if self.now >= self.workers.failures_detected_at + FAILURE_DETECTION_INTERVAL_MS {
            self.workers.failures_detected_at = self.now;
            self.detect_machine_failures();
            self.finish_jobs();
            self.cancel_overdue_dependents();
            if self.on_duty() {
                self.remove_obsolete_records();
            }
        }
        self.check_starts_of_lost_peers();
        self.fence_uncertain_claims();
        self.record_run_times();
        self.retry_instance_requests();
        self.remove_completed_requests();
        if self.on_duty() {
            self.evict_over_limits();
            self.send_deletions();
            if self.now >= self.provisioning.next_instance_list_at
                && !self.provisioning.instance_list_in_flight
            {
                self.provisioning.next_instance_list_at = self.now + INSTANCE_LIST_INTERVAL_MS;
                self.provisioning.instance_list_in_flight = true;
                self.cloud(
                    CloudOperation::List { after: None },
                    PendingOperation::Instances,
                );
            }
            self.move_services();
        }
    }

    fn last_machine_types_attempt(&self) -> Millis {
        // The client answers `Failed` after its own pause, so tries are spaced there.
        self.lifecycle.started_at
    }
}
