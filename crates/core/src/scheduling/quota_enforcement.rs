//! Quota enforcement: evicts tasks of teams whose limit was lowered below their usage, the least important tasks
//! first, until the rest fits. Claims respect a new limit from its commit on, so only tasks claimed before that
//! are evicted.

use crate::configuration::Policy;
use crate::controller::Controller;
use crate::model::{JobKind, JobPriority, JobSpec, Resources, TaskId, Team};
use crate::scheduling::stops::{RevisionCondition, Stop, StopReason};
use crate::state::{Assignment, Key, StateCache};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// A task that may be evicted because its team is above its limit.
struct EvictionCandidate {
    task: TaskId,
    machine: String,
    attempt: u64,
    resources: Resources,
    is_service: bool,
    priority: JobPriority,
}

impl EvictionCandidate {
    fn new(job: &str, spec: &JobSpec, index: u32, assignment: &Assignment) -> EvictionCandidate {
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

    /// Returns the eviction order: batches before services, lower before higher priorities, latest claims first.
    fn sort_key(&self) -> impl Ord {
        (self.is_service, self.priority, Reverse(self.attempt))
    }
}

/// The usage of a team above its limit and the tasks that may be evicted.
#[derive(Default)]
struct TeamUsage {
    /// Thousandths of processors.
    cpus: u64,
    /// Thousandths of GPUs.
    gpus: u64,
    candidates: Vec<EvictionCandidate>,
}

impl TeamUsage {
    /// Chooses tasks to stop, the least important first, until the rest fits the team's limit.
    fn stops(mut self, team: &Team) -> Vec<Stop> {
        self.candidates.sort_by_key(EvictionCandidate::sort_key);
        let mut stops = Vec::new();
        for candidate in self.candidates {
            if !is_over_limit(team, self.cpus, self.gpus) {
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

/// Returns whether usage is above a limit. A limit of 0 means no limit.
fn exceeds(used: u64, limit: u64) -> bool {
    limit > 0 && used > limit
}

fn is_over_limit(team: &Team, cpus: u64, gpus: u64) -> bool {
    exceeds(cpus, team.cpus_max) || exceeds(gpus, team.gpus_max)
}

/// Returns the teams whose usage is above their limits, by name.
fn teams_over_limit<'a>(cache: &StateCache, policy: &'a Policy) -> BTreeMap<&'a str, &'a Team> {
    let teams = policy.teams.values().filter(|team| {
        let used = cache.usage(&team.name);
        is_over_limit(team, used.cpus, used.gpus)
    });
    teams.map(|team| (team.name.as_str(), team)).collect()
}

/// Returns the stops that bring each team's usage down to its limit. Tasks that are already being stopped or belong
/// to a cancelled job count as ended.
pub fn stops_over_limits(cache: &StateCache, policy: &Policy) -> Vec<Stop> {
    let teams = teams_over_limit(cache, policy);
    if teams.is_empty() {
        return Vec::new();
    }
    let mut usage: BTreeMap<&str, TeamUsage> = BTreeMap::new();
    for (id, _, spec) in cache.open_jobs() {
        let Some((team, _)) = teams.get_key_value(spec.team.as_str()) else {
            continue;
        };
        let used = usage.entry(*team).or_default();
        let assigned = cache.chunks_of(id).flat_map(|(_, chunk)| chunk.assigned());
        for (index, assignment) in
            assigned.filter(|(_, assignment)| assignment.stop_reason.is_none())
        {
            used.cpus += spec.resources.cpus;
            used.gpus += spec.resources.gpus;
            let candidate = EvictionCandidate::new(id, spec, index, assignment);
            used.candidates.push(candidate);
        }
    }
    let stops = usage
        .into_iter()
        .filter_map(|(name, used)| Some(used.stops(teams.get(name)?)));
    stops.flatten().collect()
}

impl Controller {
    /// Evicts tasks of teams that are above a lowered limit. Does nothing unless a configuration is stored: limits
    /// from the settings file don't change while controllers run.
    pub(crate) fn evict_over_limits(&mut self) {
        let has_configuration =
            self.settings.policy.version > 0 && self.configuration.is_readable();
        if !has_configuration || !self.settings.checks.quota_eviction || !self.may_write() {
            return;
        }
        let stops = stops_over_limits(&self.cache, &self.settings.policy);
        if stops.is_empty() || self.changes_left() < self.min_changes() {
            return;
        }
        // A newer configuration may raise the limits meanwhile, and then this transaction must fail.
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
