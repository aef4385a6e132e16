//! Quota enforcement: evictions for limits that were lowered. What a team runs above its limit is stopped, the
//! least important first, until the rest fits. Claims keep to the new limit from its commit on, so this only
//! ends what was claimed before.

use crate::configuration::Policy;
use crate::controller::Controller;
use crate::model::{JobKind, JobPriority, JobSpec, Resources, TaskId, Team};
use crate::scheduling::stops::{RevisionCondition, Stop, StopReason};
use crate::state::{Assignment, Key, StateCache};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// A task that may be evicted for its team's limit.
struct EvictionCandidate {
    task: TaskId,
    machine: String,
    attempt: u64,
    resources: Resources,
    is_service: bool,
    priority: JobPriority,
}

impl EvictionCandidate {
    fn of(job: &str, spec: &JobSpec, index: u32, assignment: &Assignment) -> EvictionCandidate {
        EvictionCandidate {
            task: TaskId {
                job: job.to_string(),
                index,
            },
            machine: assignment.machine.clone(),
            attempt: assignment.attempt,
            resources: spec.resources,
            is_service: spec.kind == JobKind::Service,
            priority: spec.priority,
        }
    }

    /// Batches before services, lower priorities before higher ones, the youngest first.
    fn sort_key(&self) -> impl Ord {
        (self.is_service, self.priority, Reverse(self.attempt))
    }
}

/// What a team uses, and what may be evicted of it.
#[derive(Default)]
struct TeamUsage {
    /// Thousandths of processors.
    cpus: u64,
    /// Thousandths of GPUs.
    gpus: u64,
    candidates: Vec<EvictionCandidate>,
}

impl TeamUsage {
    /// Stops, the least important first, until the rest fits the team's limit.
    fn stops(mut self, team: &Team) -> Vec<Stop> {
        self.candidates.sort_by_key(EvictionCandidate::sort_key);
        let mut stops = Vec::new();
        for candidate in self.candidates {
            if !is_over(team, self.cpus, self.gpus) {
                break;
            }
            let resources = candidate.resources;
            let helps = exceeds(self.cpus, team.cpus_max) && resources.cpus > 0
                || exceeds(self.gpus, team.gpus_max) && resources.gpus > 0;
            if helps {
                self.cpus -= resources.cpus;
                self.gpus -= resources.gpus;
                stops.push(Stop {
                    machine: candidate.machine,
                    task: candidate.task,
                    attempt: candidate.attempt,
                    reason: StopReason::OverLimit,
                });
            }
        }
        stops
    }
}

/// Whether usage is above a limit; a limit of 0 is none.
fn exceeds(used: u64, limit: u64) -> bool {
    limit > 0 && used > limit
}

fn is_over(team: &Team, cpus: u64, gpus: u64) -> bool {
    exceeds(cpus, team.cpus_max) || exceeds(gpus, team.gpus_max)
}

/// Teams whose assignments use more than their limits.
fn teams_over<'a>(cache: &StateCache, policy: &'a Policy) -> BTreeMap<&'a str, &'a Team> {
    let over = policy.teams.values().filter(|team| {
        let used = cache.usage(&team.name);
        is_over(team, used.cpus, used.gpus)
    });
    over.map(|team| (team.name.as_str(), team)).collect()
}

/// Stops by which each team's usage fits its limit. What is being stopped already, or belongs to a cancelled
/// job, is counted as gone.
pub fn stops_over_limits(cache: &StateCache, policy: &Policy) -> Vec<Stop> {
    let over = teams_over(cache, policy);
    if over.is_empty() {
        return Vec::new();
    }
    let mut usage: BTreeMap<&str, TeamUsage> = BTreeMap::new();
    for (id, _, spec) in cache.open_jobs() {
        let Some((team, _)) = over.get_key_value(spec.team.as_str()) else {
            continue;
        };
        let used = usage.entry(*team).or_default();
        let assigned = cache.chunks_of(id).flat_map(|(_, chunk)| chunk.assigned());
        for (index, assignment) in
            assigned.filter(|(_, assignment)| assignment.stop_reason.is_none())
        {
            used.cpus += spec.resources.cpus;
            used.gpus += spec.resources.gpus;
            let candidate = EvictionCandidate::of(id, spec, index, assignment);
            used.candidates.push(candidate);
        }
    }
    let stops = usage
        .into_iter()
        .filter_map(|(name, used)| Some(used.stops(over.get(name)?)));
    stops.flatten().collect()
}

impl Controller {
    /// Stops what is above limits that were lowered. Only where a configuration is on record: limits from
    /// the settings file don't change while controllers run.
    pub(crate) fn evict_over_limits(&mut self) {
        let configured = self.settings.policy.version > 0 && self.configuration.is_readable();
        if !configured || !self.settings.checks.eviction || !self.may_write() {
            return;
        }
        let stops = stops_over_limits(&self.cache, &self.settings.policy);
        if stops.is_empty() || self.changes_left() < self.min_changes() {
            return;
        }
        // If a newer configuration raises the limits meanwhile, nothing has to go.
        let condition = RevisionCondition {
            key: Key::Configuration,
            mod_revision: self.settings.policy.mod_revision,
        };
        let outcome = self.commit_stops(stops, Some(condition));
        if outcome.is_sent {
            tracing::info!(tasks = outcome.stops, "tasks above team limits stopped");
        }
    }
}
