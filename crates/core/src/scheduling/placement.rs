//! The scheduling pass: waiting work grouped by capability set, machines matched to sets, and what
//! stays without a machine.
//!
//! As in the paper (section 5): each free machine names the set it serves best, per set the
//! machine idle longest wins, and one conditional transaction allocates it.

use crate::constants::{
    BEGIN_LATE_MS, BEGIN_PART, CHANGES_PER_TASK, FETCH_MAX_MS, FRESH_MS, NO_GOAL_MS,
    PASS_MAX_CHUNKS, PASS_MAX_JOBS, QUEUE_ORDER_CACHE_MS, RESERVE_PART, RESERVE_PATIENCE_MS,
    RESERVE_SERVICES,
};
use crate::jobs::dependencies::{self, InheritedPriority};
use crate::model::{JobKind, JobPriority, JobSpec, MachineType, Millis, Resources, TaskId, WallMs};
use crate::scheduling::claims::{self, within_limit, zone_room};
use crate::scheduling::queue_order;
use crate::settings::Settings;
use crate::state::{
    CasTransaction, JobRecord, MachineRecord, StateCache, TaskState, TeamRecord,
    TransactionBuilder, ZoneSpreadRecord,
};
use foldhash::{HashMap, HashMapExt};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What decides where a task fits. Jobs whose zones depend on their own other tasks form
/// sets of their own.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CapabilitySet {
    pub resources: Resources,
    pub machine_types: Option<Vec<String>>,
    pub zone: Option<String>,
    pub spot: bool,
    pub image: String,
    pub own: Option<String>,
}

/// Order in which work is served: services; then what is within its team's guarantee; then higher rank, what
/// is not put off, and what is due earliest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    pub priority: std::cmp::Reverse<JobPriority>,
    pub borrowed: bool,
    /// There is not room for all of its rank in time, and most would miss if it went first.
    pub put_off: bool,
    pub due: WallMs,
}

impl Urgency {
    /// What is within a guarantee goes before what is borrowed, whatever the ranks: the latter is stopped for
    /// it, and would else take the room again at once, and be stopped again.
    fn turn(&self) -> impl Ord {
        let later = self.priority.0 != JobPriority::Production;
        (later, self.borrowed, self.priority, self.put_off, self.due)
    }
}

impl PartialOrd for Urgency {
    fn partial_cmp(&self, other: &Urgency) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Urgency {
    fn cmp(&self, other: &Urgency) -> std::cmp::Ordering {
        self.turn().cmp(&other.turn())
    }
}

/// One job's waiting tasks, as far as its team's limit lets them run.
#[derive(Clone, Debug)]
pub struct PendingWork {
    pub job: String,
    pub set: CapabilitySet,
    pub urgency: Urgency,
    /// Without that of jobs which need it.
    pub own_rank: JobPriority,
    pub indices: VecDeque<u32>,
    /// Machines on which tasks of it failed: others come first.
    pub avoid: Vec<String>,
    /// It has failed wherever it was tried: one task at a time, for which nothing is provisioned.
    pub suspect: bool,
    /// All of them fit into what is left of their team's guarantee.
    pub within: bool,
    /// For now only machines with its image will do: on such a one room is soon made.
    pub warm_only: bool,
    pub zones: ZoneSpreadRecord,
    /// When its tasks could have started.
    pub at: WallMs,
}

impl PendingWork {
    /// A job's without any task, by its own rank and without a goal.
    pub fn of(
        cache: &StateCache,
        settings: &Settings,
        id: &str,
        job: &JobRecord,
        spec: &JobSpec,
    ) -> PendingWork {
        let own = (spec.zone_affinity || spec.topology_spread) && job.tasks > 1;
        let zones = match own {
            true => claims::zones_of(&TransactionBuilder::new(cache), job, id, &settings.zones),
            false => ZoneSpreadRecord::default(),
        };
        let ready_at = cache.ready_at(job);
        PendingWork {
            job: id.to_string(),
            set: CapabilitySet {
                resources: spec.resources,
                machine_types: spec.machine_types.clone(),
                zone: spec.zone.clone(),
                spot: spec.spot,
                image: spec.image.clone(),
                own: own.then(|| id.to_string()),
            },
            urgency: Urgency {
                priority: std::cmp::Reverse(spec.priority),
                borrowed: false,
                put_off: false,
                due: ready_at + NO_GOAL_MS,
            },
            own_rank: spec.priority,
            indices: VecDeque::new(),
            avoid: Vec::new(),
            suspect: false,
            within: false,
            warm_only: false,
            zones,
            at: ready_at,
        }
    }
}

/// When a job should be complete, as times of day: by its deadline or that of a job which needs it,
/// or by what the objectives say of its class, counted from when it could start - those of these
/// that it can still meet, in that order.
fn goals(
    job: &JobRecord,
    spec: &JobSpec,
    ready_at: WallMs,
    pull: Option<&InheritedPriority>,
    run_ms: u64,
    settings: &Settings,
    wall: WallMs,
) -> Vec<WallMs> {
    let own = dependencies::deadline(job, spec).into_iter();
    let deadline = own.chain(pull.and_then(|p| p.due)).min();
    let goals = settings.policy.goals.get(&spec.class).into_iter().flatten();
    let goals = goals.map(|within| ready_at + within);
    let start = settings.policy.starts.get(&spec.class);
    let start = start.filter(|_| spec.kind == JobKind::Array);
    let start = start.map(|within| ready_at + within + run_ms);
    deadline
        .into_iter()
        .chain(goals)
        .chain(start)
        .filter(|due| wall + run_ms <= *due)
        .collect()
}

/// What is thought of run times, in milliseconds.
pub struct RunTimes<'a> {
    /// What a job still takes at the least.
    pub least: &'a dyn Fn(&str, &JobSpec) -> u64,
    /// By how much before it is due a job should start.
    pub before_due: &'a dyn Fn(&str) -> u64,
}

/// Waiting tasks in the order in which they should be served.
pub fn waiting(
    cache: &StateCache,
    settings: &Settings,
    pulls: &HashMap<String, InheritedPriority>,
    runs: &RunTimes,
    cpus: &dyn Fn() -> u64,
    kept_turns: &mut CachedQueueOrder,
    wall: WallMs,
) -> Vec<PendingWork> {
    let mut found: Vec<PendingWork> = Vec::new();
    let mut next_goals: HashMap<String, Option<WallMs>> = HashMap::new();
    let new_turns = kept_turns.old(wall);
    for (id, job, spec) in cache.waiting_jobs() {
        let ready_at = cache.ready_at(job);
        let pull = pulls.get(id);
        let mut indices = Vec::new();
        let mut avoid: Vec<String> = Vec::new();
        let mut looked = 0;
        for n in 0..job.chunks() {
            if looked >= PASS_MAX_CHUNKS {
                break;
            }
            match cache.chunk(id, n) {
                Some(chunk) => {
                    if chunk.pause_until > wall {
                        continue;
                    }
                    avoid.extend(chunk.failed_on.iter().cloned());
                    let before = indices.len();
                    indices.extend(
                        chunk
                            .tasks
                            .iter()
                            .enumerate()
                            .filter(|(_, t)| **t == TaskState::Pending)
                            .map(|(i, _)| chunk.first + i as u32),
                    );
                    looked += u32::from(indices.len() > before);
                }
                None => {
                    let end = job.tasks.min((n + 1).saturating_mul(job.chunk));
                    indices.extend(n * job.chunk..end);
                    looked += 1;
                }
            }
        }
        let suspect = cache.suspect(id);
        if suspect {
            indices.truncate(usize::from(cache.counts(id).assigned == 0));
        }
        if indices.is_empty() {
            continue;
        }
        let least_ms = (runs.least)(id, spec);
        let goals = goals(job, spec, ready_at, pull, least_ms, settings, wall);
        let before_due = (runs.before_due)(id);
        if let Some(due) = goals.first().filter(|_| new_turns) {
            let next = goals.iter().find(|g| *g > due);
            let next = next.map(|g| g.saturating_sub(before_due));
            next_goals.insert(id.to_string(), next);
        }
        // What can meet none comes after everything that can, since it is late in any case.
        let due = goals.first().copied().unwrap_or(ready_at + NO_GOAL_MS);
        let plain = PendingWork::of(cache, settings, id, job, spec);
        found.push(PendingWork {
            urgency: Urgency {
                priority: std::cmp::Reverse(dependencies::priority(pulls, id, spec)),
                due: due.saturating_sub(before_due),
                ..plain.urgency
            },
            indices: indices.into(),
            avoid,
            suspect,
            ..plain
        });
    }
    if settings.tuning.put_off {
        if new_turns {
            take_turns(&mut found, &next_goals, cache, settings, cpus(), wall);
            kept_turns.keep(&found, wall);
        } else {
            kept_turns.take(&mut found);
        }
    }
    for w in found.iter_mut().filter(|w| !w.suspect) {
        let Some(spec) = cache.open_job(&w.job) else {
            continue;
        };
        if begins_late(cache, settings, &w.job, w.at, wall) == Some(0) {
            // Not even the largest waits for ever, nor what urgent work never leaves room for: a part of it
            // begins, and the rest has its turn.
            (w.urgency.put_off, w.urgency.due) = (false, w.at);
            w.urgency.priority.0 = w.urgency.priority.0.max(JobPriority::High);
            w.indices.truncate(begin_part(spec) as usize);
        }
    }
    // Guarantees are handed out in order of rank and due time, then limits are applied.
    found.sort_by(|a, b| a.urgency.cmp(&b.urgency).then(a.job.cmp(&b.job)));
    let mut usage: BTreeMap<String, TeamRecord> = BTreeMap::new();
    let mut kept = Vec::new();
    for mut w in found {
        let Some(spec) = cache.open_job(&w.job) else {
            continue;
        };
        let Some(team) = settings.policy.teams.get(&spec.team) else {
            continue;
        };
        let used = usage
            .entry(spec.team.clone())
            .or_insert_with(|| cache.usage(&spec.team));
        let mut allowed = 0;
        while allowed < w.indices.len() && within_limit(team, used, &spec.resources) {
            if allowed == 0 {
                w.urgency.borrowed = used.cpus + spec.resources.cpus > team.cpus
                    || used.gpus + spec.resources.gpus > team.gpus;
            }
            used.cpus += spec.resources.cpus;
            used.gpus += spec.resources.gpus;
            allowed += 1;
        }
        w.within = allowed == w.indices.len() && used.cpus <= team.cpus && used.gpus <= team.gpus;
        w.indices.truncate(allowed);
        if !w.indices.is_empty() {
            kept.push(w);
        }
    }
    kept.sort_by(|a, b| a.urgency.cmp(&b.urgency).then(a.job.cmp(&b.job)));
    kept.truncate(PASS_MAX_JOBS);
    kept
}

/// Tasks of a batch that begin first when it has waited for long.
fn begin_part(spec: &JobSpec) -> u32 {
    (spec.tasks / BEGIN_PART).max(1)
}

/// Of a batch that has waited for long, and of which no more than its first part has begun: how many tasks
/// have. That part counts as urgent, or work that is would stop it again and again.
pub fn begins_late(
    cache: &StateCache,
    settings: &Settings,
    id: &str,
    at: WallMs,
    wall: WallMs,
) -> Option<u32> {
    if !settings.checks.begins || wall <= at + BEGIN_LATE_MS {
        return None;
    }
    let spec = cache.open_job(id).filter(|s| s.kind == JobKind::Array)?;
    let counts = cache.counts(id);
    let begun = counts.assigned + counts.done;
    (begun <= begin_part(spec)).then_some(begun)
}

/// Whose turn it is, worked out now and then: hundreds of jobs wait in a burst, and scheduling passes are many.
#[derive(Default)]
pub struct CachedQueueOrder {
    until: WallMs,
    /// Jobs that are put off, and when others are due if not by their first goal.
    places: HashMap<String, (bool, WallMs)>,
}

impl CachedQueueOrder {
    /// Whether they are to be worked out anew; also when the time of day was set back.
    fn old(&self, wall: WallMs) -> bool {
        wall >= self.until || wall + QUEUE_ORDER_CACHE_MS < self.until
    }

    fn keep(&mut self, found: &[PendingWork], wall: WallMs) {
        self.until = wall + QUEUE_ORDER_CACHE_MS;
        let place = |w: &PendingWork| (w.job.clone(), (w.urgency.put_off, w.urgency.due));
        self.places = found.iter().map(place).collect();
    }

    fn take(&self, found: &mut [PendingWork]) {
        for w in found {
            if let Some((put_off, due)) = self.places.get(&w.job) {
                (w.urgency.put_off, w.urgency.due) = (*put_off, *due);
            }
        }
    }
}

/// Puts off, rank by rank, what there is no room for in time. `cpus`: thousandths of processors that
/// there are in all.
fn take_turns(
    found: &mut [PendingWork],
    next_goals: &HashMap<String, Option<WallMs>>,
    cache: &StateCache,
    settings: &Settings,
    cpus: u64,
    wall: WallMs,
) {
    found.sort_by(|a, b| a.urgency.cmp(&b.urgency).then(a.job.cmp(&b.job)));
    // Services stay; what else runs is half done, on the whole.
    let mut services = 0;
    let mut running: BTreeMap<JobPriority, (u128, u64)> = BTreeMap::new();
    let mut held: BTreeMap<&str, u64> = BTreeMap::new();
    for (id, _, spec) in cache.open_jobs() {
        let cpus = u64::from(cache.counts(id).assigned) * spec.resources.cpus;
        match spec.kind {
            JobKind::Service => {
                services += cpus;
                *held.entry(&spec.team).or_default() += cpus;
            }
            JobKind::Array => {
                let (work, tasks) = running.entry(spec.priority).or_default();
                *work += queue_order::work(1, cpus, dependencies::run_ms(spec) / 2);
                // They have been started: what is left are their results.
                *tasks += u64::from(cache.counts(id).assigned / 2);
            }
        }
    }
    let (from, share) = (settings.tuning.put_off_from, settings.tuning.put_off_share);
    let names: Vec<&String> = settings.policy.teams.keys().collect();
    let limits = settings
        .policy
        .teams
        .iter()
        .map(|(name, team)| match team.cpus_max {
            0 => 0,
            most => (most.saturating_sub(held.get(name.as_str()).copied().unwrap_or(0))).max(1),
        });
    let mut means = queue_order::Means {
        cpus: cpus.saturating_sub(services),
        tasks_per_s: settings.write_rps * settings.controllers.len() as f64 / CHANGES_PER_TASK,
        before: 0,
        tasks_before: 0,
        teams: limits.collect(),
    };
    let arrived = within_on_arrival(found, cache, settings, wall);
    for class in found.chunk_by_mut(|a, b| a.urgency.priority == b.urgency.priority) {
        // What runs of lower rank is stopped for it.
        let priority = class
            .first()
            .map_or(JobPriority::Low, |w| w.urgency.priority.0);
        let above: Vec<JobPriority> = running.range(priority..).map(|(r, _)| *r).collect();
        for (work, tasks) in above.iter().filter_map(|r| running.remove(r)) {
            means.before += work;
            means.tasks_before += tasks;
        }
        let jobs: Vec<queue_order::Turn> = (class.iter())
            .map(|w| {
                let spec = cache.open_job(&w.job);
                let team = spec.and_then(|s| names.iter().position(|n| **n == s.team));
                let run_ms = spec.map_or(0, dependencies::run_ms);
                let goals = next_goals.get(&w.job);
                queue_order::Turn {
                    work: queue_order::work(w.indices.len() as u64, w.set.resources.cpus, run_ms),
                    tasks: w.indices.len() as u64,
                    team: team.unwrap_or(0),
                    due: goals.map(|_| w.urgency.due),
                    next_due: goals.copied().flatten(),
                    firm: arrived.contains(&w.job),
                }
            })
            .collect();
        let places = queue_order::places_if_short(&jobs, &means, from, share, wall);
        for (w, place) in class.iter_mut().zip(places) {
            match place {
                queue_order::Place::Due(due) => w.urgency.due = due,
                // What has been overdue for long comes first: nothing is put off for ever.
                queue_order::Place::PutOff => {
                    w.urgency.put_off = w.urgency.due > wall && !arrived.contains(&w.job);
                }
            }
        }
        means.before += jobs.iter().map(|j| j.work).sum::<u128>();
        means.tasks_before += jobs.iter().map(|j| j.tasks).sum::<u64>();
    }
}

/// Jobs that have just come and that fit into their team's guarantee with all that the team had
/// before: they need not wait for anybody.
fn within_on_arrival(
    found: &[PendingWork],
    cache: &StateCache,
    settings: &Settings,
    wall: WallMs,
) -> BTreeSet<String> {
    let fresh = |at: WallMs| wall < at + FRESH_MS;
    if !found.iter().any(|w| fresh(w.at)) {
        return BTreeSet::new();
    }
    let mut open: Vec<(WallMs, &str, &JobSpec)> = cache
        .open_jobs()
        .map(|(id, job, spec)| (cache.ready_at(job), id, spec))
        .collect();
    open.sort_by_key(|(at, id, _)| (*at, *id));
    let mut sums: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut within = BTreeSet::new();
    for (at, id, spec) in open {
        let Some(team) = settings.policy.teams.get(&spec.team) else {
            continue;
        };
        let left = u64::from(spec.tasks.saturating_sub(cache.counts(id).done));
        let (cpus, gpus) = sums.entry(&spec.team).or_default();
        *cpus += left * spec.resources.cpus;
        *gpus += left * spec.resources.gpus;
        if fresh(at) && *cpus <= team.cpus && *gpus <= team.gpus {
            within.insert(id.to_string());
        }
    }
    within
}

/// A machine with room, as the scheduling pass sees it.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    pub id: &'a str,
    pub record: &'a MachineRecord,
    /// Images it has had, by their numbers.
    pub images: &'a [(u32, f64)],
    pub room: Resources,
    /// When a task was last placed there, as far as this controller knows: the one left alone
    /// longest comes first.
    pub used_at: Millis,
    /// It reports to this controller. Controllers that prefer different machines seldom give one
    /// machine's room away twice.
    pub own: bool,
    pub busy: bool,
    /// Milliseconds of fetches still under way there: images share a machine's rate.
    pub fetch_ms: Millis,
    /// How a start would get there from this controller.
    pub carrier: claims::Carrier,
}

impl<'a> Candidate<'a> {
    /// One that has no room for anything that waits: it only counts for its zone.
    pub fn full(id: &'a str, record: &'a MachineRecord, room: Resources) -> Candidate<'a> {
        Candidate {
            id,
            record,
            images: &[],
            room,
            used_at: 0,
            own: false,
            busy: true,
            fetch_ms: 0,
            carrier: claims::Carrier::Answer,
        }
    }
}

/// The least that any of the waiting tasks takes, of each kind of room: a machine with less serves
/// none of them.
pub fn least_need(work: &[PendingWork]) -> Resources {
    let needs = work.iter().map(|w| w.set.resources);
    let least = needs.reduce(|a, b| Resources {
        cpus: a.cpus.min(b.cpus),
        gpus: a.gpus.min(b.gpus),
        ram: a.ram.min(b.ram),
    });
    least.unwrap_or_default()
}

#[derive(Debug, Default)]
pub struct Plan {
    pub transaction: CasTransaction,
    pub claimed: Vec<(TaskId, String)>,
    /// Machines that will fetch images for it, and how long they will be fetching then.
    pub fetches: Vec<(String, Millis)>,
    /// Whether the plan ended for lack of space in the transaction rather than of work.
    pub full: bool,
}

/// Room on ordinary machines, per zone, that work of lower rank leaves to services: enough
/// for the largest service there is. Services start at once or late; a batch can wait.
struct ServiceReserve {
    per_zone: u64,
    /// Free and whole room per zone.
    free: BTreeMap<String, (u64, u64)>,
    wall: WallMs,
    /// It is open to this rank and those above.
    open: Option<JobPriority>,
}

/// The lowest rank of which something has waited for so long that the room kept for services is open
/// to it. It is open to all above as well: else what is made for them by stops goes to what has
/// waited longer, is stopped for them again, and so on.
pub fn reserve_open(work: &[PendingWork], wall: WallMs) -> Option<JobPriority> {
    let long = work.iter().filter(|w| wall > w.at + RESERVE_PATIENCE_MS);
    long.map(|w| w.urgency.priority.0).min()
}

impl ServiceReserve {
    fn new(
        cache: &StateCache,
        settings: &Settings,
        machine_types: &HashMap<String, MachineType>,
        work: &[PendingWork],
        machines: &[Candidate],
        wall: WallMs,
    ) -> ServiceReserve {
        let largest = cache
            .open_jobs()
            .filter(|(_, _, s)| s.kind == JobKind::Service && s.priority == JobPriority::Production)
            .map(|(_, _, s)| s.resources.cpus.saturating_mul(s.tasks as u64))
            .max()
            .unwrap_or(0);
        let mut free: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        for c in machines.iter().filter(|c| !c.record.spot) {
            free.entry(c.record.zone.clone()).or_default().0 += c.room.cpus;
        }
        for (_, m, _) in cache.machines().filter(|(_, m, _)| m.is_up() && !m.spot) {
            let whole = machine_types.get(&m.type_name).map_or(0, |t| t.room.cpus);
            free.entry(m.zone.clone()).or_default().1 += whole;
        }
        ServiceReserve {
            per_zone: largest * RESERVE_SERVICES / settings.zones.len().max(1) as u64,
            free,
            wall,
            open: reserve_open(work, wall),
        }
    }
    fn allows(&self, waiting: &PendingWork, machine: &MachineRecord) -> bool {
        let (free, whole) = self.free.get(&machine.zone).copied().unwrap_or_default();
        // A small site keeps nothing back: part of a service's room helps nobody.
        let kept = match self.per_zone <= whole / RESERVE_PART {
            true => self.per_zone,
            false => 0,
        };
        machine.spot
            || waiting.urgency.priority.0 == JobPriority::Production
            || free >= kept + waiting.set.resources.cpus
            || self
                .open
                .is_some_and(|priority| waiting.urgency.priority.0 >= priority)
                && (self.wall > waiting.at + RESERVE_PATIENCE_MS
                    || self.open < Some(waiting.urgency.priority.0))
    }
    fn take(&mut self, machine: &MachineRecord, cpus: u64) {
        if !machine.spot {
            let (free, _) = self.free.entry(machine.zone.clone()).or_default();
            *free = free.saturating_sub(cpus);
        }
    }
}

/// The paper's scheduling pass, packed into one transaction. Sets are served in order of urgency; in
/// a class of equal urgency a machine first serves the sets whose image it has. Per set the
/// best machine wins, and is filled. The transaction makes `most` changes.
pub fn plan(
    cache: &StateCache,
    settings: &Settings,
    machine_types: &HashMap<String, MachineType>,
    work: &mut [PendingWork],
    machines: &mut Vec<Candidate>,
    most: usize,
    wall: WallMs,
) -> Plan {
    let round = PlacementPass {
        cache,
        settings,
        machine_types,
        wall,
    };
    let mut draft = TransactionBuilder::limited(cache, most);
    let mut result = Plan::default();
    let mut reserve = ServiceReserve::new(cache, settings, machine_types, work, machines, wall);
    // Claims only take room: what fits none of the work now never will in this scheduling pass.
    let least = least_need(work);
    machines.retain(|m| m.room.fits(&least));
    let classes = work.chunk_by_mut(|a, b| same_class(&a.urgency, &b.urgency));
    'all: for class in classes {
        for warm in [true, false] {
            for waiting in class.iter_mut() {
                let placed = round.serve(&mut draft, &mut reserve, waiting, machines, warm);
                result.claimed.extend(placed.claimed);
                result.fetches.extend(placed.fetches);
                if placed.full {
                    result.full = true;
                    break 'all;
                }
            }
        }
    }
    result.transaction = draft.finish();
    result
}

#[derive(Default)]
struct Placement {
    claimed: Vec<(TaskId, String)>,
    fetches: Vec<(String, Millis)>,
    full: bool,
}

/// What one scheduling pass rests on.
struct PlacementPass<'a> {
    cache: &'a StateCache,
    settings: &'a Settings,
    machine_types: &'a HashMap<String, MachineType>,
    wall: WallMs,
}

/// How well a machine serves a set, best first: image there soon, not an ordinary machine for
/// work that may use spot ones, of the right size, in use already, reporting here, left alone
/// longest.
type Grade = (Millis, bool, u64, bool, bool, Millis);

impl PlacementPass<'_> {
    /// Places a job's waiting tasks on the machines that suit it best, until there are no more
    /// or the transaction is full.
    fn serve(
        &self,
        draft: &mut TransactionBuilder,
        reserve: &mut ServiceReserve,
        waiting: &mut PendingWork,
        machines: &mut [Candidate],
        warm: bool,
    ) -> Placement {
        let mut placement = Placement::default();
        let Some(spec) = self.cache.open_job(&waiting.job) else {
            return placement;
        };
        if waiting.indices.is_empty() || waiting.warm_only && !warm {
            return placement;
        }
        let image = self.cache.image_id(&waiting.set.image);
        let has_image = |machine: &Candidate| {
            image.is_some_and(|image| machine.images.iter().any(|(i, _)| *i == image))
        };
        let urgent = waiting.urgency.priority.0 >= JobPriority::High;
        let mut best: Vec<(bool, Grade, usize)> = Vec::new();
        for (m, machine) in machines.iter().enumerate() {
            let record = machine.record;
            if machine.room.fits(&waiting.set.resources)
                && (!warm || has_image(machine) && !waiting.avoid.iter().any(|id| id == machine.id))
                && spec.allows(&record.type_name, &record.zone, record.spot)
            {
                // A machine at fault is soon free again, and would draw all that waits.
                let avoided = waiting.avoid.iter().any(|id| id == machine.id);
                best.push((
                    avoided,
                    self.grade(machine, record, spec, warm || !urgent),
                    m,
                ));
            }
        }
        best.sort();
        // What one machine's loss takes of a service is bounded where others serve it as well: first
        // each gets its part at most, then what is left goes to the best.
        let part =
            (f64::from(spec.tasks) * self.settings.tuning.machine_share_of_service).ceil() as usize;
        let service = spec.kind == JobKind::Service;
        let spreads = service && part < spec.tasks as usize;
        // The same of zones, also where only one has the image: a fetch is short, a zone's loss is not.
        let zones = self.settings.zones.len() as u32;
        let even = self.settings.tuning.even_spread
            && service
            && zones > 1
            && !spec.zone_affinity
            && spec.zone.is_none();
        let mut in_zones = match even && spreads {
            true => self
                .cache
                .job(&waiting.job)
                .map_or(ZoneSpreadRecord::default(), |job| {
                    claims::zones_of(draft, job, &waiting.job, &self.settings.zones)
                }),
            false => ZoneSpreadRecord::default(),
        };
        let zone_part = spec.tasks.div_ceil(zones.max(1));
        let best: Vec<(usize, usize)> = match spreads {
            true => {
                let first = best.iter().map(|(_, _, m)| (*m, part));
                let then = best.iter().map(|(_, _, m)| (*m, usize::MAX));
                first.chain(then).collect()
            }
            false => best.iter().map(|(_, _, m)| (*m, usize::MAX)).collect(),
        };
        for (m, most) in best {
            let machine = &mut machines[m];
            let record = machine.record;
            let mut there = match most {
                usize::MAX => 0,
                _ => self.of_job(machine.id, &waiting.job),
            };
            let before = placement.claimed.len();
            while let Some(&index) = waiting.indices.front() {
                if !machine.room.fits(&waiting.set.resources)
                    || there >= most
                    || even
                        && (warm || most != usize::MAX)
                        && in_zones.count(&record.zone) >= zone_part
                    || !reserve.allows(waiting, record)
                    || zone_room(spec, &waiting.zones, &record.zone) == 0
                {
                    break;
                }
                let task = TaskId {
                    job: waiting.job.clone(),
                    index,
                };
                let (room, carrier) = (machine.room, machine.carrier);
                match claims::claim(
                    draft,
                    self.settings,
                    machine.id,
                    &room,
                    &task,
                    carrier,
                    self.wall,
                ) {
                    Ok(()) => {
                        machine.room = machine.room.less(&waiting.set.resources);
                        machine.busy = true;
                        reserve.take(record, waiting.set.resources.cpus);
                        *waiting.zones.zones.entry(record.zone.clone()).or_default() += 1;
                        waiting.indices.pop_front();
                        there += 1;
                        *in_zones.zones.entry(record.zone.clone()).or_default() += 1;
                        placement.claimed.push((task, machine.id.to_string()));
                    }
                    Err(claims::Refusal::TaskTaken) => {
                        waiting.indices.pop_front();
                    }
                    // The rest of that chunk has to wait for tasks of it to end; others go on.
                    Err(claims::Refusal::ChunkFull) => {
                        let size = self.cache.job(&waiting.job).map_or(1, |j| j.chunk.max(1));
                        waiting.indices.retain(|i| i / size != index / size);
                    }
                    Err(claims::Refusal::Full) => {
                        placement.full = true;
                        return placement;
                    }
                    Err(_) => break,
                }
            }
            if !has_image(machine) && placement.claimed.len() > before {
                machine.fetch_ms += self.fetch_ms(record, spec);
                placement
                    .fetches
                    .push((machine.id.to_string(), machine.fetch_ms));
            }
            if waiting.indices.is_empty() {
                break;
            }
        }
        placement
    }

    /// Tasks of a job that are assigned to a machine.
    fn of_job(&self, id: &str, job: &str) -> usize {
        let assignments = self.cache.assignments(id);
        assignments.filter(|(task, _)| task.job == job).count()
    }

    fn fetch_ms(&self, record: &MachineRecord, spec: &JobSpec) -> Millis {
        fetch_ms(self.machine_types, record, spec)
    }

    fn grade(
        &self,
        machine: &Candidate,
        record: &MachineRecord,
        spec: &JobSpec,
        no_fetch_matters: bool,
    ) -> Grade {
        // Services gather on the largest ordinary machines, whose caches come to hold all their
        // images, and other work leaves these for last: what room is kept for the next service
        // is then where it starts without a fetch.
        let cpus = self
            .machine_types
            .get(&record.type_name)
            .map_or(0, |t| t.room.cpus);
        let size = match spec.kind {
            JobKind::Service => u64::MAX - cpus,
            JobKind::Array if record.spot => 0,
            JobKind::Array => cpus,
        };
        // Work of high rank has to start at once: a machine that fetches its image sooner
        // comes before others. The rest can wait for it.
        let fetch_s = match no_fetch_matters {
            true => 0,
            false => (machine.fetch_ms + self.fetch_ms(record, spec)) / 1000,
        };
        (
            fetch_s,
            spec.spot && !record.spot,
            size,
            !machine.busy,
            !machine.own,
            machine.used_at,
        )
    }
}

/// Milliseconds that a machine takes to fetch a job's image.
pub fn fetch_ms(
    machine_types: &HashMap<String, MachineType>,
    record: &MachineRecord,
    spec: &JobSpec,
) -> Millis {
    let kind = machine_types.get(&record.type_name);
    let rate = kind.map_or(1.0, |t| t.fetch_gb_per_s.max(0.001));
    (spec.image_gb / rate * 1000.0).min(FETCH_MAX_MS as f64) as Millis
}

fn same_class(a: &Urgency, b: &Urgency) -> bool {
    (a.priority, a.borrowed, a.put_off) == (b.priority, b.borrowed, b.put_off)
}
