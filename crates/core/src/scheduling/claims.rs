//! Claims: adds assignments to a transaction. `releases` ends them.
//!
//! Assignments are stored in the task's chunk, so one put claims or releases any number of a chunk's tasks. A
//! claim is conditional on the job, which refuses it if cancelled meanwhile, on the chunk, and on the machine's
//! record. If the team has a limit, the claim is also conditional on the team's record and writes it, so that no
//! other claim can come in between and the usage is exact. A claim for a machine with many tasks writes the
//! machine's record in the same way, so that concurrent claims do not exceed what its heartbeats can list.

use crate::constants::messages::HEARTBEAT_ASSIGNED_BYTES;
use crate::constants::{ASSIGNMENT_BYTES, CHUNK_BASE_BYTES, SMALL_RECORD_BYTES};
use crate::model::{DirectStart, JobSpec, Resources, TaskId, Team, WallMs};
use crate::settings::Settings;
use crate::state::formats;
use crate::state::{
    Assignment, ChunkRecord, JobRecord, Key, MachinePhase, Record, TaskState, TeamRecord,
    TransactionBuilder, ZoneSpreadRecord,
};
/// The reason why a claim can't be added to a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The job is done, cancelled or unknown, or its team is unknown.
    JobClosed,
    /// A job that it depends on is not done.
    Blocked,
    /// The task is not pending.
    TaskNotPending,
    /// The machine is not up, lacks resources or space in its heartbeats for the task, or still holds an attempt
    /// of it.
    MachineUnavailable,
    /// The job's zone or machine type rules exclude the machine.
    MachineExcluded,
    /// The claim would take the team above its limit.
    TeamLimit,
    /// The chunk is paused after a failure or refusal.
    ChunkPaused,
    /// The chunk's value has no space for another assignment.
    ChunkFull,
    /// The transaction has no space for the claim.
    TransactionFull,
}

/// The channel by which a start command is delivered to the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartChannel {
    /// The reply to its next heartbeat, whichever controller receives that.
    HeartbeatReply,
    /// A single direct command to one incarnation of the worker.
    DirectCommand {
        incarnation: u64,
        /// The machine's fencing token.
        token: u64,
    },
}

/// Returns whether claims of different chunks of a job must be counted together to apply its zone rules.
fn records_zone_spread(spec: &JobSpec, job: &JobRecord) -> bool {
    (spec.zone_affinity || spec.topology_spread) && job.chunk_count() > 1
}

/// Returns the number of a job's assigned tasks per zone, including the claims of the draft. A task on a machine
/// without a record counts for every zone, which can only refuse too many claims, never too few.
pub fn zone_spread_of(
    draft: &TransactionBuilder,
    job: &JobRecord,
    id: &str,
    zones: &[String],
) -> ZoneSpreadRecord {
    let mut zone_spread = ZoneSpreadRecord::default();
    for chunk_number in 0..job.chunk_count() {
        let Some(chunk) = draft.chunk(id, chunk_number) else {
            continue;
        };
        for (_, assignment) in chunk.assigned() {
            match draft.cache.machine(&assignment.machine) {
                Some(machine) => *zone_spread.zones.entry(machine.zone.clone()).or_default() += 1,
                None => {
                    for zone in zones {
                        *zone_spread.zones.entry(zone.clone()).or_default() += 1;
                    }
                }
            }
        }
    }
    zone_spread
}

/// Returns how many more tasks of a job its zone rules allow in a zone.
pub fn remaining_zone_tasks(spec: &JobSpec, zone_spread: &ZoneSpreadRecord, zone: &str) -> u32 {
    if !spec.zone_affinity && !spec.topology_spread {
        return spec.tasks;
    }
    if spec.zone_affinity && zone_spread.zones.iter().any(|(z, n)| *n > 0 && z != zone) {
        return 0;
    }
    let tasks_in_zone = zone_spread.count(zone);
    spec.max_tasks_per_zone().saturating_sub(tasks_in_zone)
}

/// Returns whether usage plus a request stays within the team's limit. A limit of 0 means no limit.
pub fn within_limit(team: &Team, usage: &TeamRecord, resources: &Resources) -> bool {
    (team.cpus_max == 0 || usage.cpus.saturating_add(resources.cpus) <= team.cpus_max)
        && (team.gpus_max == 0 || usage.gpus.saturating_add(resources.gpus) <= team.gpus_max)
}

/// A task to claim for a machine.
pub struct ClaimRequest<'a> {
    pub task: &'a TaskId,
    /// The machine's name.
    pub machine: &'a str,
    /// The free resources of the machine, less those of earlier claims in the draft.
    pub free: Resources,
    pub start_channel: StartChannel,
}

/// Adds the claim of one task for a machine to the draft. A refused claim is not added.
pub fn claim(
    draft: &mut TransactionBuilder,
    settings: &Settings,
    request: &ClaimRequest,
    wall_time: WallMs,
) -> Result<(), Refusal> {
    let cache = draft.cache;
    let task = request.task;
    let job = cache.job(&task.job).ok_or(Refusal::JobClosed)?;
    let spec = job.open_spec().ok_or(Refusal::JobClosed)?;
    if cache.is_blocked(&task.job) {
        return Err(Refusal::Blocked);
    }
    let claim = Claim {
        request,
        job,
        spec,
        chunk_number: job.chunk_of(task.index),
        is_exclusive: is_exclusive(settings, request, spec),
    };
    claim.check_chunk(draft, settings, wall_time)?;
    claim.check_machine(draft, settings)?;
    let team = settings
        .policy
        .teams
        .get(&spec.team)
        .ok_or(Refusal::JobClosed)?;
    if !within_limit(team, &draft.usage(&spec.team), &spec.resources) {
        return Err(Refusal::TeamLimit);
    }
    if claim.is_exclusive && claim.max_changes(team) > settings.max_transaction_changes {
        return Err(Refusal::MachineUnavailable);
    }
    if !claim.fits_transaction(draft, settings, team) {
        return Err(Refusal::TransactionFull);
    }
    claim.write(draft, settings, team)
}

/// A claim under construction: the request with the records that it concerns.
struct Claim<'a> {
    request: &'a ClaimRequest<'a>,
    job: &'a JobRecord,
    spec: &'a JobSpec,
    /// The number of the task's chunk.
    chunk_number: u32,
    /// Whether it must conflict with concurrent claims of other controllers for the same machine.
    is_exclusive: bool,
}

/// Returns whether a claim must conflict with concurrent claims of other controllers for the same machine.
/// Below this number of tasks, claims of all controllers together cannot exceed what heartbeats may list.
fn is_exclusive(settings: &Settings, request: &ClaimRequest, spec: &JobSpec) -> bool {
    let free_bytes = request.free.heartbeat_bytes;
    let used_bytes =
        HEARTBEAT_ASSIGNED_BYTES.saturating_sub(free_bytes) + spec.task_request().heartbeat_bytes;
    let controllers = settings.controllers.len().max(1) as u64;
    used_bytes > HEARTBEAT_ASSIGNED_BYTES / controllers
}

impl Claim<'_> {
    fn chunk_key(&self) -> Key {
        Key::Chunk(self.request.task.job.clone(), self.chunk_number)
    }

    /// Returns the bytes that the assignment adds to its chunk's value.
    fn assignment_bytes(&self) -> usize {
        ASSIGNMENT_BYTES + self.request.machine.len()
    }

    /// Checks that the task is pending and that its chunk's value has space for one more assignment.
    fn check_chunk(
        &self,
        draft: &TransactionBuilder,
        settings: &Settings,
        wall_time: WallMs,
    ) -> Result<(), Refusal> {
        let (cache, task) = (draft.cache, self.request.task);
        if cache.is_refused(&self.chunk_key()) {
            return Err(Refusal::ChunkFull);
        }
        let Some(chunk) = draft.chunk(&task.job, self.chunk_number) else {
            return Ok(());
        };
        let slot = (task.index % self.job.tasks_per_chunk.max(1)) as usize;
        if chunk.tasks.get(slot) != Some(&TaskState::Pending) {
            return Err(Refusal::TaskNotPending);
        }
        if chunk.pause_until > wall_time {
            return Err(Refusal::ChunkPaused);
        }
        let (format, max_bytes) = (cache.common_format(), settings.max_value_bytes);
        match formats::fits_another_assignment(chunk, self.request.machine, format, max_bytes) {
            true => Ok(()),
            false => Err(Refusal::ChunkFull),
        }
    }

    /// Checks that the machine may run the task and has the resources for it.
    fn check_machine(
        &self,
        draft: &TransactionBuilder,
        settings: &Settings,
    ) -> Result<(), Refusal> {
        let (cache, task, spec) = (draft.cache, self.request.task, self.spec);
        let machine = cache
            .machine(self.request.machine)
            .ok_or(Refusal::MachineUnavailable)?;
        if machine.phase != MachinePhase::Up {
            return Err(Refusal::MachineUnavailable);
        }
        if !spec.allows(&machine.type_name, &machine.zone, machine.spot) {
            return Err(Refusal::MachineExcluded);
        }
        // The worker may refuse an attempt as `in_use` while it still lists an older attempt of the same task.
        let is_assigned_there = cache.assignment(self.request.machine, task).is_some();
        if !self.request.free.fits(&spec.task_request()) || is_assigned_there {
            return Err(Refusal::MachineUnavailable);
        }
        if spec.zone_affinity || spec.topology_spread {
            let zone_spread = zone_spread_of(draft, self.job, &task.job, &settings.zones);
            if remaining_zone_tasks(spec, &zone_spread, &machine.zone) == 0 {
                return Err(Refusal::MachineExcluded);
            }
        }
        Ok(())
    }

    fn machine_key(&self) -> Key {
        Key::Machine(self.request.machine.to_string())
    }

    /// Returns whether the claim adds a write of its machine's record to the draft.
    fn adds_machine(&self, draft: &TransactionBuilder) -> bool {
        self.is_exclusive && !draft.has_change(&self.machine_key())
    }

    /// Returns the number of changes of an exclusive claim in an empty transaction.
    fn max_changes(&self, team: &Team) -> usize {
        let (chunk, machine) = (1, 1);
        chunk
            + machine
            + usize::from(has_limit(team))
            + usize::from(records_zone_spread(self.spec, self.job))
    }

    /// Returns whether the transaction has space for the claim.
    fn fits_transaction(
        &self,
        draft: &TransactionBuilder,
        settings: &Settings,
        team: &Team,
    ) -> bool {
        let machine_changes = usize::from(self.adds_machine(draft));
        let bytes = self.assignment_bytes() + machine_changes * SMALL_RECORD_BYTES;
        if draft.has_change(&self.chunk_key()) {
            return draft.has_room(settings, machine_changes, 1, bytes);
        }
        let job_id = &self.request.task.job;
        // The records of its team and zone spread may be new to the draft as well.
        let adds_team = has_limit(team) && !draft.has_change(&Key::Team(self.spec.team.clone()));
        let adds_zone_spread = records_zone_spread(self.spec, self.job)
            && !draft.has_change(&Key::ZoneSpread(job_id.clone()));
        let known_chunk_bytes = draft
            .chunk(job_id, self.chunk_number)
            .map_or(0, |chunk| chunk.max_json_bytes());
        let new_chunk_bytes = CHUNK_BASE_BYTES + self.job.tasks_per_chunk as usize * 4;
        draft.has_room(
            settings,
            1 + machine_changes + usize::from(adds_team) + usize::from(adds_zone_spread),
            6,
            known_chunk_bytes.max(new_chunk_bytes) + 2 * SMALL_RECORD_BYTES + bytes,
        )
    }

    /// Adds the claim to the transaction.
    fn write(
        &self,
        draft: &mut TransactionBuilder,
        settings: &Settings,
        team: &Team,
    ) -> Result<(), Refusal> {
        let (job, spec, task) = (self.job, self.spec, self.request.task);
        let machine = self.request.machine.to_string();
        // Claims of a task that take effect never share an attempt, even if a transaction arrives late or twice:
        // each changes the revision that it was conditional on.
        let attempt = draft.cache.claim_revision(&task.job, self.chunk_number);
        draft.add_condition(Key::Job(task.job.clone()));
        draft.add_condition(Key::Machine(machine.clone()));
        if self.adds_machine(draft) {
            let record = draft.machine(&machine).ok_or(Refusal::MachineUnavailable)?;
            draft.put(self.machine_key(), Record::Machine(record));
        }
        if settings.checks.configuration_conditions {
            draft.add_condition_at_revision(Key::Configuration, settings.policy.mod_revision);
        }
        let chunk = draft
            .chunk_mut(&task.job, self.chunk_number, || {
                Some(ChunkRecord::new(job, spec, self.chunk_number))
            })
            .ok_or(Refusal::JobClosed)?;
        let slot = task.index.saturating_sub(chunk.first) as usize;
        let state = chunk.tasks.get_mut(slot).ok_or(Refusal::TaskNotPending)?;
        *state = TaskState::Assigned(Assignment {
            machine,
            attempt,
            reply_start: None,
            direct_start: match self.request.start_channel {
                StartChannel::HeartbeatReply => None,
                StartChannel::DirectCommand { incarnation, token } => {
                    Some(DirectStart { incarnation, token })
                }
            },
            stop_reason: None,
        });
        draft.add_bytes(self.assignment_bytes());
        draft.add_usage(&spec.team, &spec.resources);
        if has_limit(team) {
            let usage = draft.usage(&spec.team);
            draft.put(Key::Team(spec.team.clone()), Record::Team(usage));
        }
        if records_zone_spread(spec, job) {
            let zone_spread = zone_spread_of(draft, job, &task.job, &settings.zones);
            draft.put(
                Key::ZoneSpread(task.job.clone()),
                Record::ZoneSpread(zone_spread),
            );
        }
        Ok(())
    }
}

/// Returns whether a team has a limit, so that claims must count its usage exactly.
fn has_limit(team: &Team) -> bool {
    team.cpus_max > 0 || team.gpus_max > 0
}
