//! The scheduling pass: decides when a pass is due and runs its steps, which are to collect pending work, find
//! candidate machines, place tasks, preempt, and scale out.

use crate::constants::{
    SCHEDULING_INTERVAL_MS, STARTUP_SCHEDULING_INTERVAL_MS, WARM_IMAGE_MIN_FETCH_MS,
    WARM_IMAGE_WAIT_MS,
};
use crate::controller::{ClaimedTask, Controller, PendingOperation, RequestClass};
use crate::jobs::dependencies::{self, InheritedPriority};
use crate::model::{JobPriority, JobSpec, Millis};
use crate::scheduling::candidates::{self, Candidate};
use crate::scheduling::cluster_view::ClusterView;
use crate::scheduling::pending_work::{PendingWork, PendingWorkQueue, RunTimeEstimates};
use crate::scheduling::placement::{self, Plan, PlannedClaim};
use crate::scheduling::preemption;
use crate::state::MachinePhase;
use foldhash::HashMap;
use rand::Rng;

/// Priorities and due times that jobs inherit from the jobs that depend on them, by job.
pub(super) type InheritedPriorities = HashMap<String, InheritedPriority>;

impl Controller {
    /// Returns whether a scheduling pass is due and every precondition other than write capacity is met.
    pub(crate) fn is_pass_due(&self) -> bool {
        (self.scheduling.pass_requested || self.now >= self.scheduling.next_pass_at)
            && self.has_synced()
            && self.has_current_state()
            && self.workers_reachable()
            && self.lifecycle.shutting_down_since.is_none()
            && self.configuration.is_readable()
            && !self.machine_types.is_empty()
    }

    /// Runs a scheduling pass if one is due.
    pub(crate) fn run_scheduling_pass(&mut self) {
        if !self.is_pass_due() || !self.may_write() {
            return;
        }
        let max_changes = self.changes_left();
        if max_changes < self.min_changes() {
            return;
        }
        self.begin_pass();
        let inherited = dependencies::inherited_priorities(&self.cache, &|job, spec| {
            self.min_run_ms(job, spec)
        });
        let mut work = self.collect_pending_work(&inherited);
        self.scheduling.has_pending_work = !work.is_empty();
        if work.is_empty() {
            return;
        }
        let is_round_complete = self.has_completed_heartbeat_round();
        if is_round_complete {
            self.hold_for_cached_images(&mut work, &inherited);
        } else {
            // Further machines are still sending their first heartbeats: early passes use each of them soon.
            let pass_at = self.now + STARTUP_SCHEDULING_INTERVAL_MS;
            self.scheduling.schedule_pass_by(pass_at);
        }
        let mut machines = self.candidates(&work);
        let view = self.cluster_view();
        let plan = placement::plan(view, &mut work, &mut machines, max_changes);
        let is_transaction_full = plan.is_transaction_full;
        self.commit_plan(plan);
        // A machine that has not sent a heartbeat yet is not necessarily lost, so the pass neither preempts nor
        // provisions before a full round of heartbeats.
        if !is_transaction_full && is_round_complete {
            work.retain(|work| !work.indices.is_empty() && !work.is_suspect);
            self.preempt(&work, &inherited);
            work.retain(|work| !work.requires_cached_image);
            self.scale_out(&work);
        }
    }

    fn begin_pass(&mut self) {
        self.writes.pass_has_priority = false;
        self.metrics.scheduling_passes += 1;
        self.scheduling.pass_requested = false;
        // Without jitter, controllers would run their passes at the same time and make conflicting claims.
        let jitter = self.rng.gen_range(0..SCHEDULING_INTERVAL_MS / 4);
        self.scheduling.next_pass_at = self.now + SCHEDULING_INTERVAL_MS + jitter;
        self.refresh_estimates();
    }

    fn collect_pending_work(&mut self, inherited: &InheritedPriorities) -> Vec<PendingWork> {
        let mut order = std::mem::take(&mut self.scheduling.queue_order);
        let queue = PendingWorkQueue {
            cache: &self.cache,
            settings: &self.settings,
            inherited,
            estimates: &RunTimeEstimates {
                min_remaining_ms: &|job, spec| self.min_run_ms(job, spec),
                start_lead_ms: &|job| self.start_lead_time_ms(job),
            },
            usable_cpus: &|| self.usable_cpus(),
            wall_time: self.wall_time,
        };
        let work = queue.collect(&mut order);
        self.scheduling.queue_order = order;
        work
    }

    /// Returns the machines that the work may be placed on, and the full on-demand machines, which count
    /// towards the capacity of their zones.
    fn candidates(&self, work: &[PendingWork]) -> Vec<Candidate<'_>> {
        let min = candidates::min_request(work);
        let mut machines: Vec<Candidate> = Vec::new();
        for (id, record, _) in self.cache.machines() {
            let Some(machine_type) = self.machine_types.get(&record.type_name) else {
                continue;
            };
            let mut free = machine_type
                .task_capacity()
                .saturating_sub(&self.cache.used_resources(id));
            if free.cpus == 0
                || free.ram == 0
                || record.phase != MachinePhase::Up
                || self.workers.marked_for_termination.contains_key(id)
            {
                continue;
            }
            // During a burst most machines have too little free for any of the work.
            if record.spot && !free.fits(&min) {
                continue;
            }
            let liveness = self.liveness(id);
            if !self.is_reachable_with(&liveness, &record.zone)
                || !self.has_reported_since_resume(&liveness)
            {
                continue;
            }
            if liveness.reports_here() {
                free.heartbeat_bytes = free.heartbeat_bytes.min(self.heartbeat_space(id));
            }
            if !free.fits(&min) {
                machines.push(Candidate::full(id, record, free));
                continue;
            }
            let last_assigned_at = self.workers.last_assigned_at.get(id);
            let fetching_until = self.workers.fetching_until.get(id);
            machines.push(Candidate {
                id,
                record,
                images: self.cache.images_of(id),
                free,
                last_assigned_at: last_assigned_at.copied().unwrap_or(0),
                reports_here: liveness.reports_here(),
                is_busy: self.cache.assigned_task_count(id) > 0,
                pending_fetch_ms: fetching_until.map_or(0, |until| until.saturating_sub(self.now)),
                start_channel: self.delivery_for(&liveness, record),
            });
        }
        machines
    }

    /// Commits the claims of a placement plan and records its image fetches.
    fn commit_plan(&mut self, plan: Plan) {
        for fetch in plan.fetches {
            let fetching_until = self.now + fetch.pending_fetch_ms;
            self.workers
                .fetching_until
                .insert(fetch.machine, fetching_until);
        }
        if plan.claims.is_empty() {
            return;
        }
        let claimed_tasks = plan
            .claims
            .into_iter()
            .map(|claim| self.claimed_task(claim));
        let purpose = PendingOperation::Claim(claimed_tasks.collect());
        self.commit_assignments(plan.transaction, purpose, RequestClass::Claim);
    }

    fn claimed_task(&self, claim: PlannedClaim) -> ClaimedTask {
        let PlannedClaim { task, machine } = claim;
        let job = self.cache.job(&task.job);
        let chunk_number = job.map_or(0, |job| job.chunk_of(task.index));
        ClaimedTask {
            attempt: self.cache.claim_revision(&task.job, chunk_number),
            task,
            machine,
        }
    }

    /// Returns the processors, in thousandths, of all machines that work can be placed on.
    fn usable_cpus(&self) -> u64 {
        let machines = self.cache.machines().filter(|(id, record, _)| {
            record.phase == MachinePhase::Up && self.is_reachable(id, &record.zone)
        });
        machines
            .filter_map(|(_, record, _)| self.machine_types.get(&record.type_name))
            .map(|machine_type| machine_type.capacity.cpus)
            .sum()
    }

    /// Delays services of production priority briefly to wait for capacity on machines that cache their image, if
    /// preempting batch tasks there lets them start sooner than fetching the image would. Schedules the next
    /// pass for the end of the first such wait.
    fn hold_for_cached_images(
        &mut self,
        work: &mut [PendingWork],
        inherited: &InheritedPriorities,
    ) {
        let mut shortest_wait_ms = Millis::MAX;
        for work in work
            .iter_mut()
            .filter(|work| work.own_priority == JobPriority::Production)
        {
            let remaining_wait_ms =
                (work.ready_at + WARM_IMAGE_WAIT_MS).saturating_sub(self.wall_time);
            if remaining_wait_ms > 0 && self.starts_sooner_by_preemption(work, inherited) {
                work.requires_cached_image = true;
                shortest_wait_ms = shortest_wait_ms.min(remaining_wait_ms);
            }
        }
        let pass_at = self.now.saturating_add(shortest_wait_ms);
        self.scheduling.schedule_pass_by(pass_at);
    }

    /// Returns whether the work's image takes long to fetch and preemption frees enough capacity for all its
    /// tasks on machines that cache the image.
    fn starts_sooner_by_preemption(
        &self,
        work: &PendingWork,
        inherited: &InheritedPriorities,
    ) -> bool {
        let fetch_rates = self.machine_types.values().map(|t| t.fetch_gb_per_s);
        let max_gb_per_s = fetch_rates.fold(0.001, f64::max);
        let spec = self.cache.open_job(&work.job);
        let fetch_s = spec.map_or(0.0, |spec| spec.image_gb / max_gb_per_s);
        let preemptible_tasks = || {
            preemption::preemptible_capacity_with_image(
                &self.cluster_view(),
                work,
                |id| self.is_usable(id),
                |job: &str, spec: &JobSpec| dependencies::effective_priority(inherited, job, spec),
            )
        };
        fetch_s * 1_000.0 > WARM_IMAGE_MIN_FETCH_MS as f64
            && preemptible_tasks() >= work.indices.len() as u64
    }

    /// Returns the view of the cluster that the steps of a pass work from.
    pub(super) fn cluster_view(&self) -> ClusterView<'_> {
        ClusterView {
            cache: &self.cache,
            settings: &self.settings,
            machine_types: &self.machine_types,
            wall_time: self.wall_time,
        }
    }

    /// Returns whether a machine is reachable and not marked for termination, so that pending work may use it.
    pub(super) fn is_usable(&self, id: &str) -> bool {
        let zone = self.cache.machine(id).map(|record| &record.zone);
        zone.is_some_and(|zone| self.is_reachable(id, zone))
            && !self.workers.marked_for_termination.contains_key(id)
    }
}
