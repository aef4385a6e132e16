//! The scheduling pass: when it is due, and its steps - collect pending work, find candidate machines, place,
//! preempt, scale out.

use crate::constants::{
    FIRST_PASS_MS, PASS_INTERVAL_MS, WARM_IMAGE_MIN_FETCH_MS, WARM_IMAGE_WAIT_MS,
};
use crate::controller::{ClaimedTask, Controller, PendingOperation, RequestClass};
use crate::jobs::dependencies::{self, InheritedPriority};
use crate::model::{JobPriority, JobSpec, Millis};
use crate::scheduling::candidates::{self, Candidate};
use crate::scheduling::cluster_view::ClusterView;
use crate::scheduling::pending_work::{PendingWork, PendingWorkQueue, RunTimes};
use crate::scheduling::placement::{self, Plan, PlannedClaim};
use crate::scheduling::preemption;
use crate::state::MachinePhase;
use foldhash::HashMap;
use rand::Rng;

/// Priorities and due times that jobs inherit from those which depend on them.
pub(super) type InheritedPriorities = HashMap<String, InheritedPriority>;

impl Controller {
    /// Whether a scheduling pass is due and nothing but capacity to write is lacking for it.
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
        let inherited = dependencies::pulls(&self.cache, &|job, spec| self.least_run_ms(job, spec));
        let mut work = self.collect_pending_work(&inherited);
        self.scheduling.has_pending_work = !work.is_empty();
        if work.is_empty() {
            return;
        }
        let has_heard_all = self.has_completed_heartbeat_round();
        if has_heard_all {
            self.hold_for_cached_images(&mut work, &inherited);
        } else {
            // More machines send their first heartbeats: they are filled as they do.
            let at = self.now + FIRST_PASS_MS;
            self.scheduling.pass_no_later_than(at);
        }
        let mut machines = self.candidates(&work);
        let view = self.cluster_view();
        let plan = placement::plan(view, &mut work, &mut machines, max_changes);
        let is_transaction_full = plan.is_transaction_full;
        self.commit_plan(plan);
        // Machines that are not heard yet are not missing: nothing is stopped or provisioned before a full
        // round of heartbeats.
        if !is_transaction_full && has_heard_all {
            work.retain(|work| !work.indices.is_empty() && !work.is_suspect);
            self.preempt(&work, &inherited);
            work.retain(|work| !work.requires_cached_image);
            self.scale_out(&work);
        }
    }

    fn begin_pass(&mut self) {
        self.writes.pass_goes_first = false;
        self.metrics.lookups += 1;
        self.scheduling.pass_requested = false;
        // Without the jitter controllers would make their passes, and conflicting claims, at the same time.
        let jitter = self.rng.gen_range(0..PASS_INTERVAL_MS / 4);
        self.scheduling.next_pass_at = self.now + PASS_INTERVAL_MS + jitter;
        self.look_at_run_times();
    }

    fn collect_pending_work(&mut self, inherited: &InheritedPriorities) -> Vec<PendingWork> {
        let mut order = std::mem::take(&mut self.scheduling.queue_order);
        let queue = PendingWorkQueue {
            cache: &self.cache,
            settings: &self.settings,
            inherited,
            run_times: &RunTimes {
                min_remaining: &|job, spec| self.least_run_ms(job, spec),
                start_before_due: &|job| self.start_before_ms(job),
            },
            usable_cpus: &|| self.usable_cpus(),
            wall: self.wall,
        };
        let work = queue.collect(&mut order);
        self.scheduling.queue_order = order;
        work
    }

    /// Machines that the work may be placed on, and full ordinary ones, which count for the capacity of their
    /// zones.
    fn candidates(&self, work: &[PendingWork]) -> Vec<Candidate<'_>> {
        let min = candidates::min_request(work);
        let mut machines: Vec<Candidate> = Vec::new();
        for (id, record, _) in self.cache.machines() {
            let Some(machine_type) = self.machine_types.get(&record.type_name) else {
                continue;
            };
            let free = machine_type.room.less(&self.cache.used(id));
            if free.cpus == 0
                || free.ram == 0
                || record.phase != MachinePhase::Up
                || self.workers.marked_for_termination.contains_key(id)
            {
                continue;
            }
            // In a burst most machines are too full for any of the work.
            let fits = free.fits(&min);
            if !fits && record.spot {
                continue;
            }
            let sight = self.liveness(id);
            if !self.is_reachable_with(&sight, &record.zone)
                || !self.has_reported_since_resume(&sight)
            {
                continue;
            }
            if !fits {
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
                reports_here: sight.reports_here(),
                is_busy: self.cache.assigned_tasks(id) > 0,
                fetch_ms: fetching_until.map_or(0, |until| until.saturating_sub(self.now)),
                carrier: self.delivery_for(&sight, record),
            });
        }
        machines
    }

    /// Commits what a pass has placed.
    fn commit_plan(&mut self, plan: Plan) {
        for fetch in plan.fetches {
            let until = self.now + fetch.fetch_ms;
            self.workers.fetching_until.insert(fetch.machine, until);
        }
        if plan.claims.is_empty() {
            return;
        }
        let claimed = plan
            .claims
            .into_iter()
            .map(|claim| self.claimed_task(claim));
        let purpose = PendingOperation::Claim(claimed.collect());
        self.commit_assignments(plan.transaction, purpose, RequestClass::Claim);
    }

    fn claimed_task(&self, claim: PlannedClaim) -> ClaimedTask {
        let PlannedClaim { task, machine } = claim;
        let job = self.cache.job(&task.job);
        let chunk = job.map_or(0, |job| job.chunk_of(task.index));
        ClaimedTask {
            attempt: self.cache.claim_revision(&task.job, chunk),
            task,
            machine,
        }
    }

    /// Thousandths of processors of all machines that work can be placed on.
    fn usable_cpus(&self) -> u64 {
        let machines = self.cache.machines().filter(|(id, record, _)| {
            record.phase == MachinePhase::Up && self.is_reachable(id, &record.zone)
        });
        machines
            .filter_map(|(_, record, _)| self.machine_types.get(&record.type_name))
            .map(|machine_type| machine_type.room.cpus)
            .sum()
    }

    /// A service whose image would have to be fetched waits a moment where stopping a batch's task on
    /// a machine that has it lets it start sooner. The next pass comes when the first of these has waited
    /// for long enough.
    fn hold_for_cached_images(
        &mut self,
        work: &mut [PendingWork],
        inherited: &InheritedPriorities,
    ) {
        let mut next_ms = Millis::MAX;
        for work in work
            .iter_mut()
            .filter(|work| work.own_priority == JobPriority::Production)
        {
            let left_ms = (work.ready_at + WARM_IMAGE_WAIT_MS).saturating_sub(self.wall);
            if left_ms > 0 && self.starts_sooner_by_preemption(work, inherited) {
                work.requires_cached_image = true;
                next_ms = next_ms.min(left_ms);
            }
        }
        let at = self.now.saturating_add(next_ms);
        self.scheduling.pass_no_later_than(at);
    }

    /// Whether fetching the work's image takes long, and preemption frees enough on machines that have it.
    fn starts_sooner_by_preemption(
        &self,
        work: &PendingWork,
        inherited: &InheritedPriorities,
    ) -> bool {
        let rates = self.machine_types.values().map(|t| t.fetch_gb_per_s);
        let max_gb_per_s = rates.fold(0.001, f64::max);
        let spec = self.cache.open_job(&work.job);
        let fetch_s = spec.map_or(0.0, |spec| spec.image_gb / max_gb_per_s);
        let preemptible_tasks = || {
            preemption::preemptible_capacity_with_image(
                &self.cluster_view(),
                work,
                |id| self.is_usable(id),
                |job: &str, spec: &JobSpec| dependencies::priority(inherited, job, spec),
            )
        };
        fetch_s * 1_000.0 > WARM_IMAGE_MIN_FETCH_MS as f64
            && preemptible_tasks() >= work.indices.len() as u64
    }

    /// The cluster as the steps of a pass see it.
    pub(super) fn cluster_view(&self) -> ClusterView<'_> {
        ClusterView {
            cache: &self.cache,
            settings: &self.settings,
            machine_types: &self.machine_types,
            wall: self.wall,
        }
    }

    /// Whether a machine may be counted on for pending work.
    pub(super) fn is_usable(&self, id: &str) -> bool {
        let zone = self.cache.machine(id).map(|record| &record.zone);
        zone.is_some_and(|zone| self.is_reachable(id, zone))
            && !self.workers.marked_for_termination.contains_key(id)
    }
}
