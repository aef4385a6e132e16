//! Claims and releases: assigning tasks to machines and ending assignments, as steps of one transaction.
//!
//! The assignment is part of the task's chunk, so that one put claims, or releases, as many tasks of a chunk
//! as there are. A claim is conditional on the job (one cancelled meanwhile refuses it), the chunk, the
//! machine's record, and for teams with a limit on the team's record, which every such claim writes: usage is
//! then known exactly, since no other claim came between.

use crate::constants::{
    ASSIGNMENT_BYTES, CHUNK_BASE_BYTES, FAIL_PAUSE_MAX_MS, FAIL_PAUSE_MS, FAULTS_KEPT,
    FAULTY_MACHINES, SICK_JOBS, SMALL_RECORD_BYTES,
};
use crate::model::{DirectStart, JobKind, JobSpec, Resources, TaskId, Team, WallMs};
use crate::settings::Settings;
use crate::state::formats;
use crate::state::{
    Assignment, ChunkRecord, JobPhase, JobRecord, Key, MachinePhase, MachineRecord, Record,
    TaskState, TeamRecord, TransactionBuilder, ZoneSpreadRecord,
};

/// The pause after failures is doubled so many times at most.
const FAIL_PAUSE_MAX_DOUBLINGS: u32 = 8;

/// Why a claim can't be added to a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The job is done, cancelled or unknown, or its team is.
    JobOver,
    /// A job that it depends on is not done.
    Blocked,
    /// The task is not pending.
    TaskTaken,
    /// The machine is not up, or has no resources for the task.
    MachineBusy,
    /// The job's zone or machine type rules exclude the machine.
    WrongPlace,
    /// The team would be above its limit.
    TeamLimit,
    /// The chunk pauses after a failure or refusal.
    Paused,
    /// The chunk's value holds no more assignments.
    ChunkFull,
    /// The transaction holds no more.
    Full,
}

/// How the start is delivered to the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Carrier {
    /// In the answer to its next heartbeat, whichever controller receives that.
    Answer,
    /// By one direct command to an incarnation of the worker.
    Command {
        incarnation: u64,
        /// The machine's fencing token.
        token: u64,
    },
}

/// Why an assignment ends, once it is proven that its attempt is gone (or never began).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It completed.
    Done,
    /// It ended with an error.
    Failed,
    /// Refused by the worker, which lacks resources for it or does not know the job yet.
    Refused,
    /// Stopped, ended with its machine, or never started.
    Terminated,
}

/// Whether claims of a job's chunks must know of one another.
fn counts_zones(spec: &JobSpec, job: &JobRecord) -> bool {
    (spec.zone_affinity || spec.topology_spread) && job.chunk_count() > 1
}

/// Assigned tasks of a job by zone, as the draft sees them. A machine without a record counts for every zone:
/// that can only refuse too much.
pub fn zones_of(
    draft: &TransactionBuilder,
    job: &JobRecord,
    id: &str,
    zones: &[String],
) -> ZoneSpreadRecord {
    let mut places = ZoneSpreadRecord::default();
    for n in 0..job.chunk_count() {
        let Some(chunk) = draft.chunk(id, n) else {
            continue;
        };
        for (_, b) in chunk.assigned() {
            match draft.cache.machine(&b.machine) {
                Some(m) => *places.zones.entry(m.zone.clone()).or_default() += 1,
                None => {
                    for zone in zones {
                        *places.zones.entry(zone.clone()).or_default() += 1;
                    }
                }
            }
        }
    }
    places
}

/// How many more tasks of the job the zone may take.
pub fn zone_room(spec: &JobSpec, zones: &ZoneSpreadRecord, zone: &str) -> u32 {
    if !spec.zone_affinity && !spec.topology_spread {
        return spec.tasks;
    }
    if spec.zone_affinity && zones.zones.iter().any(|(z, n)| *n > 0 && z != zone) {
        return 0;
    }
    let here = zones.count(zone);
    spec.zone_cap().saturating_sub(here)
}

/// Whether usage plus a need stays within the team's limit. A limit of 0 is none.
pub fn within_limit(team: &Team, usage: &TeamRecord, resources: &Resources) -> bool {
    (team.cpus_max == 0 || usage.cpus.saturating_add(resources.cpus) <= team.cpus_max)
        && (team.gpus_max == 0 || usage.gpus.saturating_add(resources.gpus) <= team.gpus_max)
}

/// A task to claim for a machine.
pub struct ClaimRequest<'a> {
    pub task: &'a TaskId,
    /// The machine's name.
    pub machine: &'a str,
    /// What is free on the machine, earlier claims of the draft counted.
    pub free: Resources,
    pub carrier: Carrier,
}

/// Claims one task for a machine. A refusal leaves the draft without the claim.
pub fn claim(
    draft: &mut TransactionBuilder,
    settings: &Settings,
    request: &ClaimRequest,
    wall: WallMs,
) -> Result<(), Refusal> {
    let cache = draft.cache;
    let task = request.task;
    let job = cache.job(&task.job).ok_or(Refusal::JobOver)?;
    let spec = job.open_spec().ok_or(Refusal::JobOver)?;
    if cache.is_blocked(&task.job) {
        return Err(Refusal::Blocked);
    }
    let claim = Claim {
        request,
        job,
        spec,
        chunk: job.chunk_of(task.index),
    };
    claim.check_chunk(draft, settings, wall)?;
    claim.check_machine(draft, settings)?;
    let team = settings
        .policy
        .teams
        .get(&spec.team)
        .ok_or(Refusal::JobOver)?;
    if !within_limit(team, &draft.usage(&spec.team), &spec.resources) {
        return Err(Refusal::TeamLimit);
    }
    if !claim.fits_transaction(draft, settings, team) {
        return Err(Refusal::Full);
    }
    claim.write(draft, settings, team)
}

/// A claim in the making: the request with the records it is about.
struct Claim<'a> {
    request: &'a ClaimRequest<'a>,
    job: &'a JobRecord,
    spec: &'a JobSpec,
    /// The number of the task's chunk.
    chunk: u32,
}

impl Claim<'_> {
    fn chunk_key(&self) -> Key {
        Key::Chunk(self.request.task.job.clone(), self.chunk)
    }

    /// What the assignment adds to its chunk's value.
    fn assignment_bytes(&self) -> usize {
        ASSIGNMENT_BYTES + self.request.machine.len()
    }

    /// Whether the task is pending, and its chunk's value holds one more assignment.
    fn check_chunk(
        &self,
        draft: &TransactionBuilder,
        settings: &Settings,
        wall: WallMs,
    ) -> Result<(), Refusal> {
        let (cache, task) = (draft.cache, self.request.task);
        if cache.is_refused(&self.chunk_key()) {
            return Err(Refusal::ChunkFull);
        }
        let Some(chunk) = draft.chunk(&task.job, self.chunk) else {
            return Ok(());
        };
        let slot = (task.index % self.job.tasks_per_chunk.max(1)) as usize;
        if chunk.tasks.get(slot) != Some(&TaskState::Pending) {
            return Err(Refusal::TaskTaken);
        }
        if chunk.pause_until > wall {
            return Err(Refusal::Paused);
        }
        let (format, max_bytes) = (cache.common_format(), settings.max_value_bytes);
        match formats::fits_another_assignment(chunk, self.request.machine, format, max_bytes) {
            true => Ok(()),
            false => Err(Refusal::ChunkFull),
        }
    }

    /// Whether the machine may run the task, and has the resources for it.
    fn check_machine(
        &self,
        draft: &TransactionBuilder,
        settings: &Settings,
    ) -> Result<(), Refusal> {
        let (cache, task, spec) = (draft.cache, self.request.task, self.spec);
        let machine = cache
            .machine(self.request.machine)
            .ok_or(Refusal::MachineBusy)?;
        if machine.phase != MachinePhase::Up {
            return Err(Refusal::MachineBusy);
        }
        if !spec.allows(&machine.type_name, &machine.zone, machine.spot) {
            return Err(Refusal::WrongPlace);
        }
        // One attempt of a task may be refused as `in_use` while an older one is still known.
        let is_assigned_there = cache.assignment(self.request.machine, task).is_some();
        if !self.request.free.fits(&spec.resources) || is_assigned_there {
            return Err(Refusal::MachineBusy);
        }
        if spec.zone_affinity || spec.topology_spread {
            let zones = zones_of(draft, self.job, &task.job, &settings.zones);
            if zone_room(spec, &zones, &machine.zone) == 0 {
                return Err(Refusal::WrongPlace);
            }
        }
        Ok(())
    }

    /// Whether the transaction holds the claim.
    fn fits_transaction(
        &self,
        draft: &TransactionBuilder,
        settings: &Settings,
        team: &Team,
    ) -> bool {
        let (job_id, bytes) = (&self.request.task.job, self.assignment_bytes());
        if draft.has_change(&self.chunk_key()) {
            return draft.has_room(settings, 0, 1, bytes);
        }
        // With the records of its team and places, which may be new to the draft as well.
        let adds_team = is_limited(team) && !draft.has_change(&Key::Team(self.spec.team.clone()));
        let adds_zones = counts_zones(self.spec, self.job)
            && !draft.has_change(&Key::ZoneSpread(job_id.clone()));
        let known_chunk = draft
            .chunk(job_id, self.chunk)
            .map_or(0, |chunk| chunk.max_json_bytes());
        let new_chunk = CHUNK_BASE_BYTES + self.job.tasks_per_chunk as usize * 4;
        draft.has_room(
            settings,
            1 + usize::from(adds_team) + usize::from(adds_zones),
            6,
            known_chunk.max(new_chunk) + 2 * SMALL_RECORD_BYTES + bytes,
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
        // No two claims of a task that take effect share their attempt, whatever arrives late or
        // twice: each changes the revision that it was conditional on.
        let attempt = draft.cache.claim_revision(&task.job, self.chunk);
        draft.add_condition(Key::Job(task.job.clone()));
        draft.add_condition(Key::Machine(machine.clone()));
        if settings.checks.configured {
            draft.add_condition_at_revision(Key::Configuration, settings.policy.mod_revision);
        }
        let chunk = draft
            .chunk_mut(&task.job, self.chunk, || {
                Some(ChunkRecord::new(job, spec, self.chunk))
            })
            .ok_or(Refusal::JobOver)?;
        let slot = task.index.saturating_sub(chunk.first) as usize;
        let state = chunk.tasks.get_mut(slot).ok_or(Refusal::TaskTaken)?;
        *state = TaskState::Assigned(Assignment {
            machine,
            attempt,
            reply_start: None,
            direct_start: match self.request.carrier {
                Carrier::Answer => None,
                Carrier::Command { incarnation, token } => Some(DirectStart { incarnation, token }),
            },
            stop_reason: None,
        });
        draft.add_bytes(self.assignment_bytes());
        draft.add_usage(&spec.team, &spec.resources);
        if is_limited(team) {
            let usage = draft.usage(&spec.team);
            draft.put(Key::Team(spec.team.clone()), Record::Team(usage));
        }
        if counts_zones(spec, job) {
            let zones = zones_of(draft, job, &task.job, &settings.zones);
            draft.put(Key::ZoneSpread(task.job.clone()), Record::ZoneSpread(zones));
        }
        Ok(())
    }
}

/// Whether claims for a team must count its usage exactly.
fn is_limited(team: &Team) -> bool {
    team.cpus_max > 0 || team.gpus_max > 0
}

/// Most changes that a release adds to a draft.
pub fn release_changes(
    draft: &TransactionBuilder,
    task: &TaskId,
    outcome: AttemptOutcome,
) -> usize {
    let Some(job) = draft.cache.job(&task.job) else {
        return 0;
    };
    let chunk = job.chunk_of(task.index);
    let Some(machine) = draft.assignment(task).map(|b| b.machine.clone()) else {
        return 0;
    };
    let record = draft.cache.machine(&machine);
    let has_faults = record.is_some_and(|record| !record.faults.is_empty());
    let may_change_machine = match outcome {
        AttemptOutcome::Failed => true,
        AttemptOutcome::Done => has_faults,
        AttemptOutcome::Refused | AttemptOutcome::Terminated => false,
    };
    let may_finish_job = outcome == AttemptOutcome::Done && job.chunk_count() == 1;
    let adds = |key: Key| usize::from(!draft.has_change(&key));
    adds(Key::Chunk(task.job.clone(), chunk))
        + usize::from(may_finish_job) * adds(Key::Job(task.job.clone()))
        + usize::from(may_change_machine) * adds(Key::Machine(machine))
}

/// Ends the assignment of an attempt that is proven gone. The caller holds the proof.
/// `release_changes` says how many records are changed by it.
pub fn release(
    draft: &mut TransactionBuilder,
    task: &TaskId,
    attempt: u64,
    outcome: AttemptOutcome,
    wall: WallMs,
) {
    let Some(job) = draft.cache.job(&task.job) else {
        return;
    };
    let n = job.chunk_of(task.index);
    let assignment = draft.assignment(task);
    let Some(assignment) = assignment.filter(|assignment| assignment.attempt == attempt) else {
        return;
    };
    let machine_id = assignment.machine.clone();
    let is_array = job
        .open_spec()
        .is_none_or(|spec| spec.kind == JobKind::Array);
    let Some(chunk) = draft.chunk_mut(&task.job, n, || None) else {
        return;
    };
    let slot = task.index.saturating_sub(chunk.first) as usize;
    chunk.tasks[slot] = match outcome {
        AttemptOutcome::Done if is_array => TaskState::Done,
        // A replica that completes is placed again: services end by cancellation only.
        AttemptOutcome::Done
        | AttemptOutcome::Failed
        | AttemptOutcome::Refused
        | AttemptOutcome::Terminated => TaskState::Pending,
    };
    match outcome {
        AttemptOutcome::Refused => chunk.pause_until = wall + FAIL_PAUSE_MS,
        AttemptOutcome::Failed => pause_after_failure(chunk, &machine_id, wall),
        AttemptOutcome::Done | AttemptOutcome::Terminated => {}
    }
    let has_assigned = chunk.assigned().next().is_some();
    let is_complete = chunk.done() == job.tasks;
    if job.open_spec().is_none() && !has_assigned {
        // A job that is over stays so, and nothing of it is claimed any more.
        draft.remove(Key::Chunk(task.job.clone(), n));
    } else if job.open_spec().is_some() && job.chunk_count() == 1 && is_complete {
        draft.remove(Key::Chunk(task.job.clone(), 0));
        let done = job.with_final_phase(JobPhase::Done, wall);
        draft.put(Key::Job(task.job.clone()), Record::Job(done));
    }
    update_machine_faults(draft, &machine_id, &task.job, outcome);
}

/// Counts a failure of a chunk's task. Failures on one faulty machine must not slow the job; a faulty job,
/// which fails on several, must not be restarted in a loop.
fn pause_after_failure(chunk: &mut ChunkRecord, machine_id: &str, wall: WallMs) {
    chunk.failure_count = chunk.failure_count.saturating_add(1);
    let is_known = chunk.failed_on.iter().any(|id| id == machine_id);
    if !is_known && chunk.failed_on.len() < FAULTY_MACHINES {
        chunk.failed_on.push(machine_id.to_string());
    }
    let doublings = match chunk.failed_on.len() >= FAULTY_MACHINES {
        true => chunk.failure_count.min(FAIL_PAUSE_MAX_DOUBLINGS),
        false => 0,
    };
    chunk.pause_until = wall + (FAIL_PAUSE_MS << doublings).min(FAIL_PAUSE_MAX_MS);
}

/// Cordons a machine on which tasks of several jobs fail without a success in between; a success clears its
/// faults.
fn update_machine_faults(
    draft: &mut TransactionBuilder,
    machine_id: &str,
    job: &str,
    outcome: AttemptOutcome,
) {
    let Some(record) = draft.cache.machine(machine_id) else {
        return;
    };
    let clears_faults = outcome == AttemptOutcome::Done && !record.faults.is_empty();
    if !clears_faults && outcome != AttemptOutcome::Failed {
        return;
    }
    let Some(mut machine) = draft.machine(machine_id) else {
        return;
    };
    if clears_faults {
        machine.faults.clear();
    } else if !add_fault(draft, &mut machine, job) {
        return;
    }
    draft.put(
        Key::Machine(machine_id.to_string()),
        Record::Machine(machine),
    );
}

/// Notes that a job's task failed on a machine, and cordons it if that makes it faulty. Whether the record
/// changes.
fn add_fault(draft: &TransactionBuilder, machine: &mut MachineRecord, job: &str) -> bool {
    let is_known = machine.faults.iter().any(|known| known == job);
    if !is_known {
        if machine.faults.len() >= FAULTS_KEPT {
            machine.faults.remove(0);
        }
        machine.faults.push(job.to_string());
    }
    // Jobs submitted with a mistake fail everywhere: two of them say nothing about a machine.
    let telling = machine
        .faults
        .iter()
        .filter(|job| !draft.is_suspect_job(job));
    let is_faulty = telling.count() >= SICK_JOBS;
    if is_faulty && machine.phase == MachinePhase::Up {
        machine.phase = MachinePhase::Draining;
    }
    !is_known || is_faulty
}
