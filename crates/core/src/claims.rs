//! Claiming tasks for machines and giving them up again, as steps of one transaction.
//!
//! A claim writes the machine's booking, the chunk and the team's usage, all conditional on
//! what was read, the job's record included: a job cancelled meanwhile refuses the claim.

use crate::constants::*;
use crate::model::*;
use crate::records::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    JobOver,
    TaskTaken,
    MachineBusy,
    WrongPlace,
    TeamLimit,
    Paused,
    TooLarge,
}

/// What will carry the start to the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Carrier {
    /// The answer to this check-in, or to the next one that any node gets.
    Answer(Option<(u64, u64)>),
    /// One direct command for a session, under the machine's token.
    Command { session: u64, token: u64 },
}

/// Why a booking ends, once it is proven that its attempt is gone (or never began).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Done,
    Failed,
    /// Refused by the worker, which has no room or does not know the job yet.
    Refused,
    /// Stopped, lost with its machine, or never started.
    Gone,
}

/// Whether a job's zones must be counted in a record of their own.
fn counts_places(spec: &JobSpec, job: &JobRecord) -> bool {
    (spec.together || spec.scatter) && job.chunks() > 1
}

/// Live tasks per zone of a job, as the draft sees them.
fn zones_of(draft: &mut Draft, spec: &JobSpec, job: &JobRecord) -> PlaceRecord {
    if counts_places(spec, job) {
        return draft.place(&spec.id).unwrap_or_default();
    }
    let mut places = PlaceRecord::default();
    let chunk = draft.chunk(job, &spec.id, 0);
    for (_, _, zone) in chunk.booked() {
        *places.zones.entry(zone.clone()).or_default() += 1;
    }
    places
}

/// How many more tasks of the job the zone may take.
pub fn zone_room(spec: &JobSpec, zones: &PlaceRecord, zone: &str) -> u32 {
    if spec.together && zones.zones.iter().any(|(z, n)| *n > 0 && z != zone) {
        return 0;
    }
    let here = zones.zones.get(zone).copied().unwrap_or(0);
    spec.zone_cap().saturating_sub(here)
}

/// Whether usage plus a need stays within the team's limit. A limit of 0 is none.
pub fn within_limit(team: &Team, usage: &TeamRecord, need: &Room) -> bool {
    (team.cpus_max == 0 || usage.cpus + need.cpus <= team.cpus_max)
        && (team.gpus_max == 0 || usage.gpus + need.gpus <= team.gpus_max)
}

/// Books one task on a machine. The draft is left as it was when the claim is refused.
pub fn claim(
    draft: &mut Draft,
    settings: &Settings,
    machine_type: &MachineType,
    machine_id: &str,
    task: &TaskId,
    carrier: Carrier,
    wall: WallMs,
) -> Result<(), Refusal> {
    let job = draft.job(&task.job).ok_or(Refusal::JobOver)?;
    let spec = job.open().cloned().ok_or(Refusal::JobOver)?;
    let n = task.index / job.chunk.max(1);
    let mut chunk = draft.chunk(&job, &task.job, n);
    let slot = (task.index % job.chunk.max(1)) as usize;
    if chunk.tasks.get(slot) != Some(&TaskState::Waiting) {
        return Err(Refusal::TaskTaken);
    }
    if chunk.pause_until > wall {
        return Err(Refusal::Paused);
    }
    let mut machine = draft.machine(machine_id).ok_or(Refusal::MachineBusy)?;
    // The attempt is the stamp that this claim is conditional on: no two claims that
    // take effect on a machine share one, whatever arrives late or twice.
    let attempt = draft.cache.stamp(&Key::Machine(machine_id.to_string()));
    if machine.phase != MachinePhase::Up || attempt == 0 {
        return Err(Refusal::MachineBusy);
    }
    if !spec.allows(&machine.type_name, &machine.zone, machine.spot)
        || machine.type_name != machine_type.name
    {
        return Err(Refusal::WrongPlace);
    }
    if !machine_type.room.less(&machine.used()).fits(&spec.need) {
        return Err(Refusal::MachineBusy);
    }
    if machine.bookings.len() as u64 >= max_bookings(settings) {
        return Err(Refusal::TooLarge);
    }
    // One attempt of a task may be refused as `in_use` while an older one is still known.
    if machine
        .bookings
        .iter()
        .any(|b| b.job == task.job && b.index == task.index)
    {
        return Err(Refusal::MachineBusy);
    }
    let mut zones = zones_of(draft, &spec, &job);
    if zone_room(&spec, &zones, &machine.zone) == 0 {
        return Err(Refusal::WrongPlace);
    }
    let team = settings.teams.get(&spec.team).ok_or(Refusal::JobOver)?;
    let mut usage = draft.team(&spec.team).unwrap_or_default();
    if !within_limit(team, &usage, &spec.need) {
        return Err(Refusal::TeamLimit);
    }
    usage.cpus += spec.need.cpus;
    usage.gpus += spec.need.gpus;
    chunk.tasks[slot] = TaskState::Booked(machine_id.to_string(), attempt, machine.zone.clone());
    machine.note_image(&spec.image, spec.image_gb, machine_type.cache_gb);
    machine.bookings.push(Booking {
        job: task.job.clone(),
        index: task.index,
        attempt,
        team: spec.team.clone(),
        need: spec.need,
        armed: match carrier {
            Carrier::Answer(mark) => mark,
            Carrier::Command { .. } => None,
        },
        direct: match carrier {
            Carrier::Answer(_) => None,
            Carrier::Command { session, token } => Some((session, token)),
        },
        stop: None,
    });
    if counts_places(&spec, &job) {
        *zones.zones.entry(machine.zone.clone()).or_default() += 1;
        draft.put(Key::Place(task.job.clone()), Record::Place(zones));
    }
    draft.put(Key::Chunk(task.job.clone(), n), Record::Chunk(chunk));
    draft.put(
        Key::Machine(machine_id.to_string()),
        Record::Machine(machine),
    );
    draft.put(Key::Team(spec.team), Record::Team(usage));
    Ok(())
}

/// Most bookings whose record still fits a value.
pub fn max_bookings(settings: &Settings) -> u64 {
    (settings.value_bytes.saturating_sub(MACHINE_BASE_BYTES) / BOOKING_BYTES).max(1)
}

/// Ends the booking of an attempt that is proven gone. The caller holds the proof.
pub fn release(
    draft: &mut Draft,
    machine_id: &str,
    task: &TaskId,
    attempt: u64,
    outcome: Outcome,
    wall: WallMs,
) {
    let Some(mut machine) = draft.machine(machine_id) else {
        return;
    };
    let Some(at) = machine
        .bookings
        .iter()
        .position(|b| b.attempt == attempt && b.job == task.job && b.index == task.index)
    else {
        return;
    };
    let booking = machine.bookings.remove(at);
    match outcome {
        Outcome::Done => machine.faults.clear(),
        Outcome::Failed => {
            if !machine.faults.contains(&task.job) && machine.faults.len() < SICK_JOBS {
                machine.faults.push(task.job.clone());
            }
            if machine.faults.len() >= SICK_JOBS && machine.phase == MachinePhase::Up {
                machine.phase = MachinePhase::Draining;
            }
        }
        Outcome::Refused | Outcome::Gone => {}
    }
    let zone = machine.zone.clone();
    draft.put(
        Key::Machine(machine_id.to_string()),
        Record::Machine(machine),
    );
    let mut usage = draft.team(&booking.team).unwrap_or_default();
    usage.cpus = usage.cpus.saturating_sub(booking.need.cpus);
    usage.gpus = usage.gpus.saturating_sub(booking.need.gpus);
    draft.put(Key::Team(booking.team), Record::Team(usage));

    let Some(job) = draft.job(&task.job) else {
        return;
    };
    let Some(spec) = job.open().cloned() else {
        return;
    };
    let n = task.index / job.chunk.max(1);
    let slot = (task.index % job.chunk.max(1)) as usize;
    let mut chunk = draft.chunk(&job, &task.job, n);
    let ours = matches!(chunk.tasks.get(slot),
        Some(TaskState::Booked(m, a, _)) if m == machine_id && *a == attempt);
    if !ours {
        return;
    }
    if counts_places(&spec, &job) {
        let mut places = draft.place(&task.job).unwrap_or_default();
        if let Some(n) = places.zones.get_mut(&zone) {
            *n = n.saturating_sub(1);
        }
        draft.put(Key::Place(task.job.clone()), Record::Place(places));
    }
    chunk.tasks[slot] = match outcome {
        // A replica that completes is put up again: services end by cancellation only.
        Outcome::Done if spec.shape == Shape::Array => TaskState::Done,
        _ => TaskState::Waiting,
    };
    if outcome == Outcome::Refused {
        chunk.pause_until = wall + FAIL_PAUSE_MS;
    }
    if outcome == Outcome::Failed {
        chunk.fails += 1;
        if !chunk.failed_on.iter().any(|m| m == machine_id)
            && chunk.failed_on.len() < FAULTY_MACHINES
        {
            chunk.failed_on.push(machine_id.to_string());
        }
        // A sick machine's failures must not slow the job; a faulty job must not loop.
        let doublings = match chunk.failed_on.len() >= FAULTY_MACHINES {
            true => chunk.fails.min(8),
            false => 0,
        };
        chunk.pause_until = wall + (FAIL_PAUSE_MS << doublings).min(FAIL_PAUSE_MAX_MS);
    }
    if job.chunks() == 1 && chunk.done() == job.tasks {
        draft.remove(Key::Chunk(task.job.clone(), 0));
        draft.put(
            Key::Job(task.job.clone()),
            Record::Job(job.over(Phase::Done, wall)),
        );
    } else {
        draft.put(Key::Chunk(task.job.clone(), n), Record::Chunk(chunk));
    }
}
