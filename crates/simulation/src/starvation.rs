//! Jobs that wait although there is capacity for them.

use crate::Simulation;
use glenmount_core::model::{JobSpec, Resources, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Since when jobs have waited although a machine has capacity for them and their team is under its limit, by what
/// really runs and not by the records.
#[derive(Debug, Default)]
pub struct StarvationTracker {
    pub(crate) since_ms: BTreeMap<String, u64>,
    /// Longest wait in milliseconds.
    pub longest_ms: u64,
    /// The job that waited longest.
    pub job: String,
}

impl StarvationTracker {
    /// Looks at what waits now.
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
    /// Jobs of which a task waits although a machine that it may use has capacity for it, and its team is under
    /// its limit.
    pub fn jobs_waiting_despite_capacity(&self) -> BTreeSet<String> {
        let mut waiting = BTreeSet::new();
        let open = |id: &str| match self.user_views.get(id) {
            Some(view) => view.accepted && !view.cancel_requested && !view.completed,
            None => false,
        };
        for (id, spec) in self.job_specs.iter().filter(|(id, _)| open(id)) {
            let (running, completed) = (
                self.placements.machines_of_job(id).count(),
                self.completed_tasks_of(id),
            );
            let used = self.placements.cpus_used(&spec.team) + spec.resources.cpus;
            let is_under_limit = self
                .team_limit(&spec.team)
                .is_some_and(|limit| limit == 0 || used <= limit);
            let is_ready = spec.dependencies.iter().all(|a| self.is_complete(a));
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
                .any(|m| self.has_capacity_for(m, spec))
            {
                waiting.insert(id.clone());
            }
        }
        waiting
    }

    /// Number of completed tasks of a job.
    fn completed_tasks_of(&self, id: &str) -> usize {
        let job = id.to_string();
        let from = TaskId { job, index: 0 };
        let of = self.completed_tasks.range(from..);
        of.take_while(|t| t.job == id).count()
    }

    /// Whether a task of a job could start on a worker now.
    fn has_capacity_for(&self, m: &crate::Worker, spec: &JobSpec) -> bool {
        let is_healthy = m.alive
            && !m.disconnected
            && !m.inbound_lost
            && !m.outbound_lost
            && m.stalled_until_ms == 0
            && !m.fails_tasks;
        let kind = self
            .cloud
            .machine_types
            .iter()
            .find(|t| t.name == m.type_name);
        let used = m.live_tasks().fold(Resources::default(), |sum, (t, _)| {
            sum.saturating_add(&self.job_specs[&t.job].resources)
        });
        is_healthy
            && m.termination_notice_s.is_none()
            && spec.allows(&m.type_name, &m.zone, m.spot)
            && kind.is_some_and(|k| k.capacity.saturating_sub(&used).fits(&spec.resources))
    }
}
