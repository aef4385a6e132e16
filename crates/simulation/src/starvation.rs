//! Detection of jobs that wait although there is capacity for them.

use crate::Simulation;
use glenmount_core::model::{JobSpec, Resources, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// The times since when jobs have waited although a machine has capacity for them and their team is under its limit.
/// The running tasks on workers decide, not the records.
#[derive(Debug, Default)]
pub struct StarvationTracker {
    pub(crate) since_ms: BTreeMap<String, u64>,
    /// Longest wait in milliseconds.
    pub longest_ms: u64,
    /// Job that waited longest.
    pub job: String,
}

impl StarvationTracker {
    /// Updates the waits with the jobs that wait now.
    pub fn observe(&mut self, sim: &Simulation) {
        let waiting = sim.jobs_waiting_despite_capacity();
        self.since_ms.retain(|id, _| waiting.contains(id));
        for id in waiting {
            let since = *self.since_ms.entry(id.clone()).or_insert(sim.now_ms);
            if sim.now_ms - since > self.longest_ms {
                (self.longest_ms, self.job) = (sim.now_ms - since, id);
            }
        }
    }
}

impl Simulation {
    /// Returns the jobs of which a task waits although a machine that it may use has capacity for it, and its team is
    /// under its limit. Excludes jobs with a zone constraint.
    pub fn jobs_waiting_despite_capacity(&self) -> BTreeSet<String> {
        let mut waiting = BTreeSet::new();
        let is_open = |id: &str| match self.user_views.get(id) {
            Some(view) => view.accepted && !view.cancel_requested && !view.completed,
            None => false,
        };
        for (id, spec) in self.job_specs.iter().filter(|(id, _)| is_open(id)) {
            let (running, completed) = (
                self.placements.machines_of_job(id).count(),
                self.completed_tasks_of(id),
            );
            let used = self.placements.cpus_used(&spec.team) + spec.resources.cpus;
            let is_under_limit = self
                .team_limit(&spec.team)
                .is_some_and(|limit| limit == 0 || used <= limit);
            let is_ready = spec
                .dependencies
                .iter()
                .all(|dependency| self.is_complete(dependency));
            let is_unconstrained = !spec.zone_affinity && !spec.topology_spread;
            if running + completed >= spec.tasks as usize
                || !is_under_limit
                || !is_ready
                || !is_unconstrained
            {
                continue;
            }
            if self
                .workers
                .values()
                .any(|worker| self.has_capacity_for(worker, spec))
            {
                waiting.insert(id.clone());
            }
        }
        waiting
    }

    /// Returns the number of completed tasks of a job.
    fn completed_tasks_of(&self, id: &str) -> usize {
        let job = id.to_string();
        let first = TaskId { job, index: 0 };
        let tasks = self.completed_tasks.range(first..);
        tasks.take_while(|task| task.job == id).count()
    }

    /// Returns whether a task of a job could start on a worker now.
    fn has_capacity_for(&self, worker: &crate::Worker, spec: &JobSpec) -> bool {
        let is_healthy = worker.alive
            && !worker.disconnected
            && !worker.inbound_lost
            && !worker.outbound_lost
            && worker.stalled_until_ms == 0
            && !worker.fails_tasks;
        let machine_type = self
            .cloud
            .machine_types
            .iter()
            .find(|offered| offered.name == worker.type_name);
        let used = worker
            .live_tasks()
            .fold(Resources::default(), |sum, (id, _)| {
                sum.saturating_add(&self.job_specs[&id.job].resources)
            });
        is_healthy
            && worker.termination_notice_s.is_none()
            && spec.allows(&worker.type_name, &worker.zone, worker.spot)
            && machine_type
                .is_some_and(|offered| offered.capacity.saturating_sub(&used).fits(&spec.resources))
    }
}
