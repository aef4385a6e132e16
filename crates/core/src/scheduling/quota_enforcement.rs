//! Evictions for limits that were lowered: what a team runs above its limit is stopped, the least
//! important first, until what stays fits. Claims keep to the new limit from its commit on, so this only
//! ends what was claimed before.

use crate::configuration::Policy;
use crate::controller::{Controller, PendingOperation, RequestClass};
use crate::model::{JobKind, JobPriority, Resources, TaskId, Team};
use crate::state::{Key, StateCache, TransactionBuilder};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The reason on record of tasks that are stopped for a limit.
pub const OVER_LIMIT: &str = "limit";

/// A task that may be stopped for its team's limit.
struct Candidate {
    task: TaskId,
    machine: String,
    attempt: u64,
    resources: Resources,
    service: bool,
    priority: JobPriority,
}

impl Candidate {
    /// Batches before services, lower ranks before higher ones, the youngest first.
    fn turn(&self) -> impl Ord {
        (self.service, self.priority, Reverse(self.attempt))
    }
}

/// What stays of a team's use, and what may be stopped of it.
#[derive(Default)]
struct TeamUse {
    cpus: u64,
    gpus: u64,
    candidates: Vec<Candidate>,
}

fn exceeds(used: u64, limit: u64) -> bool {
    limit > 0 && used > limit
}

fn is_over(team: &Team, cpus: u64, gpus: u64) -> bool {
    exceeds(cpus, team.cpus_max) || exceeds(gpus, team.gpus_max)
}

/// Teams whose assignments take more than their limits, by what is counted anyway.
fn teams_over<'a>(cache: &StateCache, policy: &'a Policy) -> BTreeMap<&'a str, &'a Team> {
    let over = policy.teams.values().filter(|team| {
        let used = cache.usage(&team.name);
        is_over(team, used.cpus, used.gpus)
    });
    over.map(|team| (team.name.as_str(), team)).collect()
}

/// Tasks to stop so that each team's use fits its limit, with the machine and attempt of each. What is
/// being stopped already, or belongs to a cancelled job, is counted as gone.
pub fn over_limits(cache: &StateCache, policy: &Policy) -> Vec<(String, TaskId, u64)> {
    let over = teams_over(cache, policy);
    if over.is_empty() {
        return Vec::new();
    }
    let mut uses: BTreeMap<&str, TeamUse> = BTreeMap::new();
    for (id, _, spec) in cache.open_jobs() {
        let Some((team, _)) = over.get_key_value(spec.team.as_str()) else {
            continue;
        };
        let used = uses.entry(*team).or_default();
        let assigned = cache.chunks_of(id).flat_map(|(_, chunk)| chunk.assigned());
        for (index, assignment) in assigned.filter(|(_, b)| b.stop.is_none()) {
            used.cpus += spec.resources.cpus;
            used.gpus += spec.resources.gpus;
            used.candidates.push(Candidate {
                task: TaskId {
                    job: id.to_string(),
                    index,
                },
                machine: assignment.machine.clone(),
                attempt: assignment.attempt,
                resources: spec.resources,
                service: spec.kind == JobKind::Service,
                priority: spec.priority,
            });
        }
    }
    let mut stops = Vec::new();
    for (name, mut used) in uses {
        let Some(team) = over.get(name) else { continue };
        used.candidates.sort_by_key(Candidate::turn);
        for candidate in used.candidates {
            let helps = exceeds(used.cpus, team.cpus_max) && candidate.resources.cpus > 0
                || exceeds(used.gpus, team.gpus_max) && candidate.resources.gpus > 0;
            if !is_over(team, used.cpus, used.gpus) {
                break;
            }
            if helps {
                used.cpus -= candidate.resources.cpus;
                used.gpus -= candidate.resources.gpus;
                stops.push((candidate.machine, candidate.task, candidate.attempt));
            }
        }
    }
    stops
}

impl Controller {
    /// Stops what is above limits that were lowered. Only where a configuration is on record: limits from
    /// the settings file don't change while controllers run.
    pub(crate) fn evict_over_limits(&mut self) {
        let configured = self.settings.policy.version > 0 && self.configuration.is_readable();
        if !configured || !self.settings.checks.eviction || !self.may_write() {
            return;
        }
        let stops = over_limits(&self.cache, &self.settings.policy);
        if stops.is_empty() || self.changes_left() < self.min_changes() {
            return;
        }
        let mut draft = TransactionBuilder::new(&self.cache);
        let mut chosen = Vec::new();
        for (machine, task, attempt) in stops {
            if !draft.has_room(&self.settings, 1, 2, self.settings.max_value_bytes as usize) {
                break;
            }
            self.edit_assignment(&mut draft, &task, attempt, |assignment| {
                assignment.stop = Some(OVER_LIMIT.into());
            });
            chosen.push((machine, task));
        }
        // Raised meanwhile, nothing has to go.
        draft.rests_on_revision(Key::Configuration, self.settings.policy.mod_revision);
        let large = draft.drop_oversized(self.settings.max_value_bytes);
        if !draft.is_empty() {
            tracing::info!(tasks = chosen.len(), "stopped: above their teams' limits");
            let transaction = draft.finish();
            self.commit_assignments(
                transaction,
                PendingOperation::Stop(chosen),
                RequestClass::Claim,
            );
        }
        self.log_oversized(large);
    }
}
