//! When and for what a controller looks up work: claims, stops for what waits, instance requests, moves.

use crate::constants::{
    FIRST_PASS_MS, MACHINE_NAME_BYTES, MOVES_MOST, MOVES_PART, MOVES_REST_MS, MOVE_COST_S,
    MOVE_GAP_MS, PASS_INTERVAL_MS, PREEMPT_AFTER_MS, PREEMPT_GAP_MS, PREEMPT_LATER_MS,
    PROVISION_MAX_INSTANCES, PROVISION_REQUESTS_AT_ONCE, SCALE_IN_AFTER_MS, SMALL_RECORD_BYTES,
    SPARED_CHANCE, SPARED_MS, TICK_MS, WARM_IMAGE_MIN_FETCH_MS, WARM_IMAGE_WAIT_MS,
};
use crate::controller::{ClaimedTask, Controller, PendingOperation, RequestClass};
use crate::jobs::dependencies::{self, InheritedPriority};
use crate::model::{JobKind, JobPriority, JobSpec, Millis, Resources, TaskId};
use crate::provisioning::demand;
use crate::scheduling::candidates::{self, Candidate};
use crate::scheduling::claims;
use crate::scheduling::pending_work::{self, PendingWork, RunTimes};
use crate::scheduling::placement;
use crate::scheduling::preemption;
use crate::scheduling::rescheduling::{self, Reason, Wish};
use crate::scheduling::service_reserve;
use crate::state::{
    Assignment, InstanceRequestRecord, Key, MachinePhase, MachineRecord, Placed, Record,
    TransactionBuilder,
};
use foldhash::HashMap;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

impl Controller {
    /// Whether a scheduling pass is wanted and nothing but a turn to write is lacking for it.
    pub(crate) fn is_pass_due(&self) -> bool {
        (self.scheduling.pass_requested || self.now >= self.scheduling.next_pass_at)
            && self.has_synced()
            && self.has_current_state()
            && self.workers_reachable()
            && self.lifecycle.shutting_down_since.is_none()
            && self.configuration.is_readable()
            && !self.machine_types.is_empty()
    }

    pub(crate) fn run_scheduling_pass(&mut self) {
        if !self.is_pass_due() || !self.may_write() {
            return;
        }
        let left = self.changes_left();
        if left < self.min_changes() {
            return;
        }
        self.writes.pass_goes_first = false;
        self.metrics.lookups += 1;
        self.scheduling.pass_requested = false;
        let jitter = self.rng.gen_range(0..PASS_INTERVAL_MS / 4);
        self.scheduling.next_pass_at = self.now + PASS_INTERVAL_MS + jitter;
        self.look_at_run_times();
        let mut turns = std::mem::take(&mut self.scheduling.queue_order);
        let least = |job: &str, spec: &JobSpec| self.least_run_ms(job, spec);
        let pulls = dependencies::pulls(&self.cache, &least);
        let runs = RunTimes {
            least: &least,
            before_due: &|job| self.start_before_ms(job),
        };
        let mut work = pending_work::waiting(
            &self.cache,
            &self.settings,
            &pulls,
            &runs,
            &|| self.cpus_up(),
            &mut turns,
            self.wall,
        );
        self.scheduling.queue_order = turns;
        self.scheduling.has_pending_work = !work.is_empty();
        if work.is_empty() {
            return;
        }
        let least = candidates::least_need(&work);
        let mut machines: Vec<Candidate> = Vec::new();
        for (id, m, _) in self.cache.machines() {
            let Some(kind) = self.machine_types.get(&m.type_name) else {
                continue;
            };
            let room = kind.room.less(&self.cache.used(id));
            if room.cpus == 0
                || room.ram == 0
                || m.phase != MachinePhase::Up
                || self.workers.marked_for_termination.contains_key(id)
            {
                continue;
            }
            // What is full for all that waits only counts as room of its zone, and as that only if it
            // is an ordinary machine: in a burst that is most of them.
            let fits = room.fits(&least);
            if !fits && m.spot {
                continue;
            }
            let sight = self.liveness(id);
            if !self.reachable_by(&sight, &m.zone) || !self.has_reported_since_resume(&sight) {
                continue;
            }
            if !fits {
                machines.push(Candidate::full(id, m, room));
                continue;
            }
            machines.push(Candidate {
                id,
                record: m,
                images: self.cache.images_of(id),
                room,
                used_at: self.workers.last_assigned_at.get(id).copied().unwrap_or(0),
                own: sight.reports_here(),
                busy: self.cache.assigned_tasks(id) > 0,
                fetch_ms: self
                    .workers
                    .fetching_until
                    .get(id)
                    .map_or(0, |until| until.saturating_sub(self.now)),
                carrier: self.delivery_for(&sight, m),
            });
        }
        let settled = self.has_heard_full_round();
        if !settled {
            // Machines go on being heard for the first time: they are filled as they come.
            self.scheduling.next_pass_at =
                self.scheduling.next_pass_at.min(self.now + FIRST_PASS_MS);
        }
        let hold = match settled {
            true => self.hold_for_images(&mut work, &pulls),
            false => Millis::MAX,
        };
        self.scheduling.next_pass_at = self
            .scheduling
            .next_pass_at
            .min(self.now.saturating_add(hold));
        let plan = placement::plan(
            &self.cache,
            &self.settings,
            &self.machine_types,
            &mut work,
            &mut machines,
            left,
            self.wall,
        );
        let full = plan.full;
        for (id, ms) in plan.fetches {
            self.workers.fetching_until.insert(id, self.now + ms);
        }
        if !plan.claimed.is_empty() {
            let claimed = plan.claimed.into_iter().map(|(task, machine)| {
                let n = self
                    .cache
                    .job(&task.job)
                    .map_or(0, |j| j.chunk_of(task.index));
                ClaimedTask {
                    attempt: self.cache.claim_revision(&task.job, n),
                    task,
                    machine,
                }
            });
            let purpose = PendingOperation::Claim(claimed.collect());
            self.commit_assignments(plan.transaction, purpose, RequestClass::Claim);
        }
        // What is not heard yet is not missing: nothing is stopped or provisioned before a round of reports.
        if !full && settled {
            work.retain(|w| !w.indices.is_empty() && !w.suspect);
            self.preempt(&work, &pulls);
            work.retain(|w| !w.warm_only);
            self.scale_out(&work);
        }
    }

    /// Thousandths of processors of all machines that work can be placed on.
    fn cpus_up(&self) -> u64 {
        let up = self.cache.machines();
        let up = up.filter(|(id, m, _)| m.phase == MachinePhase::Up && self.reachable(id, &m.zone));
        let cpus = up.filter_map(|(_, m, _)| Some(self.machine_types.get(&m.type_name)?.room.cpus));
        cpus.sum()
    }

    /// A service whose image would have to be fetched waits a moment where stopping a batch's task on
    /// a machine that has it lets it start sooner. Milliseconds until the first of these goes where
    /// there is room after all.
    fn hold_for_images(
        &self,
        work: &mut [PendingWork],
        pulls: &HashMap<String, InheritedPriority>,
    ) -> Millis {
        let usable = |id: &str| self.usable(id);
        let priority = |job: &str, spec: &JobSpec| dependencies::priority(pulls, job, spec);
        let site = self.site();
        let rates = self.machine_types.values().map(|t| t.fetch_gb_per_s);
        let rate = rates.fold(0.001, f64::max);
        let mut next = Millis::MAX;
        for w in work
            .iter_mut()
            .filter(|w| w.own_rank == JobPriority::Production)
        {
            let left = (w.at + WARM_IMAGE_WAIT_MS).saturating_sub(self.wall);
            let spec = self.cache.open_job(&w.job);
            let fetch_s = spec.map_or(0.0, |s| s.image_gb / rate);
            if left > 0
                && fetch_s * 1_000.0 > WARM_IMAGE_MIN_FETCH_MS as f64
                && preemption::warm_room(&site, w, usable, priority) >= w.indices.len() as u64
            {
                w.warm_only = true;
                next = next.min(left);
            }
        }
        next
    }

    fn site(&self) -> preemption::ClusterView<'_> {
        preemption::ClusterView {
            cache: &self.cache,
            settings: &self.settings,
            machine_types: &self.machine_types,
        }
    }

    /// Whether a machine may be counted on for what waits.
    fn usable(&self, id: &str) -> bool {
        let zone = self.cache.machine(id).map(|m| &m.zone);
        zone.is_some_and(|z| self.reachable(id, z))
            && !self.workers.marked_for_termination.contains_key(id)
    }

    /// Stops work of lower rank for what found no room.
    fn preempt(&mut self, work: &[PendingWork], pulls: &HashMap<String, InheritedPriority>) {
        if work.is_empty()
            || !self.may_write()
            || self.now < self.scheduling.last_preemption_at + PREEMPT_GAP_MS
        {
            return;
        }
        // Urgent work is not kept waiting; other work waits a little for room to come by itself.
        let after = |w: &PendingWork| match w.own_rank {
            _ if w.warm_only => Some(0),
            JobPriority::High | JobPriority::Production => Some(PREEMPT_AFTER_MS),
            JobPriority::Normal => Some(PREEMPT_LATER_MS),
            JobPriority::Low => Some(PREEMPT_LATER_MS).filter(|_| w.within),
        };
        let mut next = Millis::MAX;
        let mut ripe: Vec<PendingWork> = Vec::new();
        for w in work {
            let Some(at) = after(w).map(|ms| w.at + ms) else {
                continue;
            };
            match at.checked_sub(self.wall).filter(|ms| *ms > 0) {
                Some(ms) => next = next.min(ms),
                None => ripe.push(w.clone()),
            }
        }
        if ripe.is_empty() {
            // What is too fresh is looked at again soon.
            self.scheduling.next_pass_at = self
                .scheduling
                .next_pass_at
                .min(self.now.saturating_add(next));
            return;
        }
        let now = self.now;
        let age = |attempt: u64| {
            let at = self
                .sync
                .revision_times
                .partition_point(|(e, _)| *e <= attempt);
            match self.sync.revision_times.get(at) {
                _ if at == 0 => Millis::MAX,
                Some((_, t)) => now - t,
                None => 0,
            }
        };
        let usable = |id: &str| self.usable(id);
        let priority = |id: &str, spec: &JobSpec| {
            let priority = dependencies::priority(pulls, id, spec);
            if priority >= JobPriority::High {
                return priority;
            }
            let at = self.cache.job(id).map_or(0, |j| self.cache.ready_at(j));
            match pending_work::begins_late(&self.cache, &self.settings, id, at, self.wall) {
                Some(_) => JobPriority::High,
                None => priority,
            }
        };
        let site = self.site();
        let spares = self.settings.learned.stops;
        let spared = |task: &TaskId, attempt: u64| {
            spares && self.about_to_end(task, attempt, SPARED_MS, SPARED_CHANCE)
        };
        let open = service_reserve::reserve_open(work, self.wall);
        let stops = preemption::victims(site, &ripe, usable, age, priority, spared, open);
        let mut draft = TransactionBuilder::new(&self.cache);
        let mut chosen = Vec::new();
        for (id, task) in stops {
            let Some(attempt) = self
                .cache
                .assignment(&id, &task)
                .map(|p| p.assignment.attempt)
            else {
                continue;
            };
            if !draft.has_room(&self.settings, 1, 1, self.settings.max_value_bytes as usize) {
                break;
            }
            self.edit_assignment(&mut draft, &task, attempt, |b| {
                b.stop = Some("preempted".into());
            });
            chosen.push((id, task));
        }
        if chosen.is_empty() {
            return;
        }
        self.scheduling.last_preemption_at = self.now;
        let large = draft.drop_oversized(self.settings.max_value_bytes);
        if !draft.is_empty() {
            let transaction = draft.finish();
            self.commit_assignments(
                transaction,
                PendingOperation::Stop(chosen),
                RequestClass::Claim,
            );
        }
        self.log_oversized(large);
    }

    pub(crate) fn scale_out(&mut self, work: &[PendingWork]) {
        // What is wanted while requests are under way goes into the next ones together: the
        // cloud takes few calls, and a call brings up to 50 machines.
        if work.is_empty()
            || self.provisioning.request_creation_in_flight
            || !self.provisioning.requests_in_flight.is_empty()
        {
            return;
        }
        let wishes = demand::provisioning_demand(
            &self.cache,
            &self.machine_types,
            work,
            |id| self.settings.checks.instance_requests && self.on_its_way(id),
            |zone| self.is_zone_unreachable(zone),
            self.wall,
        );
        if wishes.is_empty() {
            for w in work.iter().take(3) {
                tracing::debug!(job = w.job, tasks = w.indices.len(), "waits for a machine");
            }
            return;
        }
        let mut draft = TransactionBuilder::new(&self.cache);
        let mut fleet = draft.fleet();
        let mut instance_requests = Vec::new();
        // The machines that it brings are named in its record.
        let names = self
            .settings
            .max_value_bytes
            .saturating_sub(SMALL_RECORD_BYTES as u64);
        let most = (names / MACHINE_NAME_BYTES).clamp(1, PROVISION_MAX_INSTANCES as u64) as u32;
        // With the number of the next one, in one transaction.
        let at_once = PROVISION_REQUESTS_AT_ONCE.min(self.settings.max_transaction_changes - 1);
        for wish in wishes.into_iter().take(at_once) {
            let n = fleet.next;
            fleet.next += 1;
            instance_requests.push(n);
            draft.put(
                Key::InstanceRequest(n),
                Record::InstanceRequest(InstanceRequestRecord {
                    type_name: wish.type_name,
                    zone: wish.zone,
                    spot: wish.spot,
                    count: wish.count.min(most),
                    controller: self.settings.controller.clone(),
                    at: self.wall,
                    instances: None,
                }),
            );
        }
        draft.put(Key::Provisioning, Record::Provisioning(fleet));
        let transaction = draft.finish();
        self.provisioning.request_creation_in_flight = true;
        self.commit(
            transaction,
            PendingOperation::CreateInstanceRequests(instance_requests),
            RequestClass::Claim,
        );
    }

    /// Empties dear machines whose services fit elsewhere, one task at a time, and takes the
    /// services off machines that are being drained.
    pub(crate) fn move_services(&mut self) {
        if self.scheduling.has_pending_work || self.cache.instance_requests().next().is_some() {
            self.scheduling.idle_since = self.now;
        }
        if self.in_trouble() {
            // What it upset is placed first: moves rest, and pick up after.
            self.scheduling.moves.at = self.now + MOVES_REST_MS - MOVE_GAP_MS;
        }
        if !self.may_write() || self.now < self.scheduling.moves.at + MOVE_GAP_MS {
            return;
        }
        // These can't wait until nothing else does. As often as machines are judged, which finds them.
        let mute = match self.workers.failures_detected_at == self.now {
            true => self.services_on_mute_workers(),
            false => Vec::new(),
        };
        if self.scheduling.has_pending_work && mute.is_empty() {
            return;
        }
        // As many at a time as the site is large: one by one a fleet of hundreds would stay for as
        // long as its services run.
        let up = self.cache.machines().filter(|(_, m, _)| m.is_up()).count();
        let most =
            (up / MOVES_PART).clamp(1, MOVES_MOST.min(self.settings.max_transaction_changes));
        let most = most.max(
            mute.len()
                .min(MOVES_MOST)
                .min(self.settings.max_transaction_changes),
        );
        let mut moving: BTreeSet<String> = BTreeSet::new();
        let mut under_way = 0;
        for (id, _, _) in self.cache.machines() {
            let stopped = self.cache.assignments(id);
            for (task, _) in stopped.filter(|(_, p)| p.assignment.stop.is_some()) {
                under_way += 1;
                moving.insert(task.job.clone());
            }
        }
        let left = most.saturating_sub(under_way);
        if left == 0 {
            return;
        }
        self.scheduling.moves.at = self.now;
        let wishes = match mute.is_empty() {
            true => self.wished_moves(),
            false => {
                let tasks = mute.len();
                tracing::info!(
                    tasks,
                    "machines answer and reach no node: services move off"
                );
                mute
            }
        };
        let leaving = self
            .scheduling
            .moves
            .chosen(self.now, wishes, left, &moving);
        let mut draft = TransactionBuilder::new(&self.cache);
        if !leaving.is_empty() {
            let mut stops = Vec::new();
            for w in leaving {
                if !draft.has_room(&self.settings, 1, 1, self.settings.max_value_bytes as usize) {
                    break;
                }
                self.edit_assignment(&mut draft, &w.task, w.attempt, |b| {
                    b.stop = Some(w.reason.name().into());
                });
                stops.push((w.machine, w.task));
            }
            let large = draft.drop_oversized(self.settings.max_value_bytes);
            if !draft.is_empty() {
                let transaction = draft.finish();
                self.commit_assignments(
                    transaction,
                    PendingOperation::Stop(stops),
                    RequestClass::Claim,
                );
            }
            self.log_oversized(large);
        } else if under_way == 0 && self.now >= self.scheduling.idle_since + SCALE_IN_AFTER_MS {
            let now = self.now;
            let old = |id: &str| {
                let up = self.workers.observations.of(id).up;
                up.is_some_and(|at| now >= at + SCALE_IN_AFTER_MS)
            };
            for id in demand::scale_in_candidates(&self.cache, &self.machine_types, old, most) {
                let Some(mut machine) = draft.machine(&id) else {
                    continue;
                };
                let assignments = self.cache.assigned_tasks(&id);
                tracing::info!(machine = id, assignments, "emptying");
                machine.phase = MachinePhase::Draining;
                draft.put(Key::Machine(id), Record::Machine(machine));
            }
            if !draft.is_empty() {
                let transaction = draft.finish();
                self.commit(
                    transaction,
                    PendingOperation::RemoveObsolete,
                    RequestClass::Housekeeping,
                );
            }
        }
    }

    /// Moves that would help, whatever the reason.
    fn wished_moves(&self) -> Vec<Wish> {
        let mut wishes = Vec::new();
        let draining = self.cache.machines();
        for (id, _, _) in draining.filter(|(_, m, _)| m.phase == MachinePhase::Draining) {
            wishes.extend(self.moves_off(id));
        }
        let even = self.settings.tuning.even_spread && self.settings.zones.len() > 1;
        if even && wishes.is_empty() {
            self.wish_spread(&mut wishes);
        }
        wishes
    }

    /// All services' tasks off a machine.
    pub(crate) fn moves_off<'a>(&'a self, id: &'a str) -> impl Iterator<Item = Wish> + 'a {
        let movable = move |(task, p): &(&TaskId, &Placed)| self.movable(task, &p.assignment);
        let wish = move |(task, p): (&TaskId, &Placed)| Wish {
            task: task.clone(),
            attempt: p.assignment.attempt,
            machine: id.to_string(),
            reason: Reason::Leaving,
            gain_s: 0.0,
            cost_s: MOVE_COST_S,
        };
        self.cache.assignments(id).filter(movable).map(wish)
    }

    /// Services back to an even spread over zones, as after one was lost: a task of the fullest zone
    /// where another has room for it.
    fn wish_spread(&self, wishes: &mut Vec<Wish>) {
        let up = |(id, m, _): &(&str, &MachineRecord, u64)| {
            m.phase == MachinePhase::Up && self.reachable(id, &m.zone)
        };
        let mut free: BTreeMap<&str, Vec<(&str, &MachineRecord, Resources)>> = BTreeMap::new();
        for (id, m, _) in self.cache.machines().filter(up) {
            if let Some(kind) = self.machine_types.get(&m.type_name) {
                let room = kind.room.less(&self.cache.used(id));
                free.entry(&m.zone).or_default().push((id, m, room));
            }
        }
        for (id, job, spec) in self.cache.open_jobs() {
            let even = spec.kind == JobKind::Service && !spec.zone_affinity && spec.zone.is_none();
            let whole = self.cache.counts(id).assigned == job.tasks;
            if !even || job.tasks < 2 || !whole {
                continue;
            }
            let draft = TransactionBuilder::new(&self.cache);
            let zones = claims::zones_of(&draft, job, id, &self.settings.zones);
            let Some((fullest, n)) = zones.zones.iter().max_by_key(|(_, n)| **n) else {
                continue;
            };
            let gain_s = rescheduling::spread_gain_s(job.tasks, *n, free.len());
            if gain_s <= 0.0 {
                continue;
            }
            let share = job.tasks.div_ceil(free.len().max(1) as u32);
            let below = |zone: &str| zones.count(zone) < share;
            let places = free
                .iter()
                .filter(|(zone, _)| *zone != fullest && below(zone));
            let fetch_s = places
                .flat_map(|(_, machines)| machines)
                .filter(|(_, m, room)| {
                    room.fits(&spec.resources) && spec.allows(&m.type_name, &m.zone, m.spot)
                })
                .map(|(at, m, _)| match self.cache.has_image(at, &spec.image) {
                    true => 0.0,
                    false => candidates::fetch_ms(&self.machine_types, m, spec) as f64 / 1e3,
                })
                .min_by(f64::total_cmp);
            let Some(fetch_s) = fetch_s else { continue };
            let chunks = self.cache.chunks_of(id).flat_map(|(_, c)| c.assigned());
            let there = |b: &Assignment| self.cache.machine(&b.machine).map(|m| &m.zone);
            let mut chunks = chunks.filter(|(_, b)| there(b) == Some(fullest) && b.stop.is_none());
            if let Some((index, b)) = chunks.next() {
                wishes.push(Wish {
                    task: TaskId {
                        job: id.to_string(),
                        index,
                    },
                    attempt: b.attempt,
                    machine: b.machine.clone(),
                    reason: Reason::Spread,
                    gain_s,
                    cost_s: MOVE_COST_S + fetch_s,
                });
            }
        }
    }

    /// Whether something is upset just now: a zone is lost, a controller is taken over from, or the state
    /// service says that too much is asked.
    fn in_trouble(&self) -> bool {
        let throttled = self
            .writes
            .throttled_at
            .is_some_and(|at| self.now < at + TICK_MS);
        self.zones.has_unreachable() || self.peers.has_failover_in_progress() || throttled
    }

    fn movable(&self, task: &TaskId, b: &Assignment) -> bool {
        b.stop.is_none()
            && self
                .cache
                .open_job(&task.job)
                .is_some_and(|s| s.kind == JobKind::Service)
    }
}
