//! Releases: ends assignments in a transaction. `claims` adds them.
//!
//! The task is pending again or done, and the failure of an attempt counts against its chunk and its machine.

use crate::constants::{
    FAULTY_JOB_MIN_MACHINES, FAULTY_MACHINE_MIN_JOBS, MACHINE_FAULTS_MAX, TASK_BACKOFF_MAX_MS,
    TASK_BACKOFF_MS,
};
use crate::model::{JobKind, TaskId, WallMs};
use crate::state::{
    ChunkRecord, JobPhase, Key, MachinePhase, MachineRecord, Record, TaskState, TransactionBuilder,
};

/// The most doublings of the pause after failures.
const FAIL_PAUSE_MAX_DOUBLINGS: u32 = 8;

/// The reason why an assignment ends, once it is proven that its attempt has ended or never started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The attempt completed.
    Done,
    /// The attempt ended with an error.
    Failed,
    /// The worker refused the attempt because it lacks resources or does not know the job yet.
    Refused,
    /// The attempt was stopped, ended with its machine, or never started.
    Terminated,
}

/// Returns the most changes that a release adds to a draft.
pub fn max_release_changes(
    draft: &TransactionBuilder,
    task: &TaskId,
    outcome: AttemptOutcome,
) -> usize {
    let Some(job) = draft.cache.job(&task.job) else {
        return 0;
    };
    let chunk_number = job.chunk_of(task.index);
    let assignment = draft.assignment(task);
    let Some(machine) = assignment.map(|assignment| assignment.machine.clone()) else {
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
    adds(Key::Chunk(task.job.clone(), chunk_number))
        + usize::from(may_finish_job) * adds(Key::Job(task.job.clone()))
        + usize::from(may_change_machine) * adds(Key::Machine(machine))
}

/// Ends the assignment of an attempt. The caller must have proof that the attempt has ended or never started.
/// `max_release_changes` returns the most records that this changes.
pub fn release(
    draft: &mut TransactionBuilder,
    task: &TaskId,
    attempt: u64,
    outcome: AttemptOutcome,
    wall_time: WallMs,
) {
    let Some(job) = draft.cache.job(&task.job) else {
        return;
    };
    let chunk_number = job.chunk_of(task.index);
    let assignment = draft.assignment(task);
    let Some(assignment) = assignment.filter(|assignment| assignment.attempt == attempt) else {
        return;
    };
    let machine_id = assignment.machine.clone();
    let is_array = job
        .open_spec()
        .is_none_or(|spec| spec.kind == JobKind::Array);
    let Some(chunk) = draft.chunk_mut(&task.job, chunk_number, || None) else {
        return;
    };
    let slot = task.index.saturating_sub(chunk.first) as usize;
    chunk.tasks[slot] = match outcome {
        AttemptOutcome::Done if is_array => TaskState::Done,
        // A replica that completes is started again: only cancellation ends a service.
        AttemptOutcome::Done
        | AttemptOutcome::Failed
        | AttemptOutcome::Refused
        | AttemptOutcome::Terminated => TaskState::Pending,
    };
    match outcome {
        AttemptOutcome::Refused => chunk.pause_until = wall_time + TASK_BACKOFF_MS,
        AttemptOutcome::Failed => pause_after_failure(chunk, &machine_id, wall_time),
        AttemptOutcome::Done | AttemptOutcome::Terminated => {}
    }
    let has_assigned = chunk.assigned().next().is_some();
    let is_complete = chunk.done() == job.tasks;
    if job.open_spec().is_none() && !has_assigned {
        // A closed job is never reopened, so no task of the chunk can be claimed any more.
        draft.remove(Key::Chunk(task.job.clone(), chunk_number));
    } else if job.open_spec().is_some() && job.chunk_count() == 1 && is_complete {
        draft.remove(Key::Chunk(task.job.clone(), 0));
        let done = job.with_final_phase(JobPhase::Done, wall_time);
        draft.put(Key::Job(task.job.clone()), Record::Job(done));
    }
    update_machine_faults(draft, &machine_id, &task.job, outcome);
}

/// Counts a failure of a chunk's task and pauses the chunk. The pause grows only once tasks have failed on several
/// machines: failures on one faulty machine must not slow the job, but a faulty job must not be restarted in a
/// tight loop.
fn pause_after_failure(chunk: &mut ChunkRecord, machine_id: &str, wall_time: WallMs) {
    chunk.failure_count = chunk.failure_count.saturating_add(1);
    let is_machine_known = chunk.failed_on.iter().any(|id| id == machine_id);
    if !is_machine_known && chunk.failed_on.len() < FAULTY_JOB_MIN_MACHINES {
        chunk.failed_on.push(machine_id.to_string());
    }
    let doublings = match chunk.failed_on.len() >= FAULTY_JOB_MIN_MACHINES {
        true => chunk.failure_count.min(FAIL_PAUSE_MAX_DOUBLINGS),
        false => 0,
    };
    chunk.pause_until = wall_time + (TASK_BACKOFF_MS << doublings).min(TASK_BACKOFF_MAX_MS);
}

/// Updates the faults on a machine's record after an attempt. A machine on which tasks of several jobs fail with
/// no success in between is drained; a success clears its faults.
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

/// Records on a machine that a job's task failed there, and drains the machine if that makes it faulty. Returns
/// whether the record changes.
fn add_fault(draft: &TransactionBuilder, machine: &mut MachineRecord, job: &str) -> bool {
    let is_job_known = machine.faults.iter().any(|known| known == job);
    if !is_job_known {
        if machine.faults.len() >= MACHINE_FAULTS_MAX {
            machine.faults.remove(0);
        }
        machine.faults.push(job.to_string());
    }
    // A job submitted with a mistake fails on every machine, so failures of suspect jobs, however many, are no
    // evidence against this machine.
    let counted_jobs = machine
        .faults
        .iter()
        .filter(|job| !draft.is_suspect_job(job));
    let is_faulty = counted_jobs.count() >= FAULTY_MACHINE_MIN_JOBS;
    if is_faulty && machine.phase == MachinePhase::Up {
        machine.phase = MachinePhase::Draining;
    }
    !is_job_known || is_faulty
}
