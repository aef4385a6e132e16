//! Looks at the machines of lost zones: which of them are ended so that their work is placed
//! elsewhere, in which order. The decision for each is `failures::verdict`.

use crate::constants::{
    ZONE_EVACUATION_INTERVAL_MS, ZONE_GIVE_UP_MS, ZONE_LATE_MS, ZONE_PROVISION_AHEAD_MS,
};
use crate::controller::Controller;
use crate::jobs::dependencies;
use crate::model::{JobKind, JobPriority, JobSpec, Resources, TaskId, WallMs};
use crate::scheduling::claims;
use crate::scheduling::pending_work::PendingWork;
use crate::state::{
    Assignment, MachinePhase, MachineRecord, Placed, TransactionBuilder, ZoneSpreadRecord,
};
use crate::zones::failures::{self, Holding, Kind, Lost, Why};
use foldhash::{HashMap, HashMapExt};
use std::collections::{BTreeMap, BTreeSet};

/// Machines alike in what jobs ask of them.
struct Place {
    kind: String,
    zone: String,
    spot: bool,
}

impl Place {
    fn takes(&self, spec: &JobSpec, zone_room: &impl Fn(&str) -> u32) -> bool {
        spec.allows(&self.kind, &self.zone, self.spot) && zone_room(&self.zone) > 0
    }
}

/// Room outside the lost zones, as far as it is not spoken for.
struct Outside {
    /// What is free on machines that can be reached.
    free: Vec<(Place, Resources)>,
    /// Jobs whose tasks find none.
    none: BTreeSet<String>,
}

impl Outside {
    /// Takes room for a task, if there is any where its job allows it: which.
    fn take(&mut self, spec: &JobSpec, zone_room: impl Fn(&str) -> u32) -> Option<usize> {
        if self.none.contains(&spec.id) {
            return None;
        }
        for (at, (place, room)) in self.free.iter_mut().enumerate() {
            if room.fits(&spec.resources) && place.takes(spec, &zone_room) {
                *room = room.less(&spec.resources);
                return Some(at);
            }
        }
        self.none.insert(spec.id.clone());
        None
    }

    fn give_back(&mut self, at: usize, resources: &Resources) {
        if let Some((_, room)) = self.free.get_mut(at) {
            *room = room.plus(resources);
        }
    }
}

/// A machine that is to be ended, and what decides its turn: the first goes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    priority: std::cmp::Reverse<JobPriority>,
    borrowed: bool,
    due: WallMs,
    machine: String,
    why: Why,
}

impl Controller {
    /// Ends machines of lost zones whose work is better off elsewhere, so many at a time.
    pub(crate) fn evacuate_failed_zones(&mut self) {
        let off = !self.settings.tuning.lost_zones;
        if off
            || !self.zones.has_unreachable()
            || self.now < self.zones.judged_at + ZONE_EVACUATION_INTERVAL_MS
        {
            return;
        }
        self.zones.judged_at = self.now;
        if !self.has_heard_full_round() || !self.workers_reachable() {
            return;
        }
        let (lease_ms, tuning) = (self.settings.lease_ms, self.settings.tuning);
        let mut outside = self.outside();
        let lost: BTreeMap<String, Lost> = (self.zones.signs.keys())
            .filter_map(|zone| {
                let ms = self.now - self.zones.lost_since(self.now, zone)?;
                let kind = self.failure_kind(zone);
                Some((zone.clone(), Lost { kind, ms }))
            })
            .collect();
        let mut places: HashMap<String, ZoneSpreadRecord> = HashMap::new();
        let mut turns: Vec<Turn> = Vec::new();
        let mut foreseen: Vec<String> = Vec::new();
        let mut waiting = 0;
        for (id, m, _) in self.cache.machines() {
            let Some(lost) = lost.get(&m.zone).filter(|_| m.is_up()) else {
                continue;
            };
            if self.workers.marked_for_termination.contains_key(id) {
                waiting += 1;
                continue;
            }
            // What serves inside is left alone: nothing is to be worked out.
            let serves = |(task, p): (&TaskId, &Placed)| {
                let spec = self.cache.open_job(&task.job);
                let service = spec.is_some_and(|s| s.kind == JobKind::Service);
                service && !self.unseen(id, task, &p.assignment)
            };
            let left = lost.kind == Kind::Inside && lost.ms <= ZONE_GIVE_UP_MS;
            if left && self.cache.assignments(id).any(serves) {
                continue;
            }
            let (holds, taken, turn) = self.holdings(id, m, lost, &mut outside, &mut places);
            match failures::evacuation_reason(lost, &holds, lease_ms, &tuning, self.wall) {
                Some(why) => turns.push(Turn { why, ..turn }),
                None => {
                    // What only lacks room elsewhere, now or by the time that room is there.
                    let ahead = Lost {
                        ms: lost.ms + ZONE_PROVISION_AHEAD_MS,
                        ..*lost
                    };
                    let roomy: Vec<Holding> = (holds.iter())
                        .map(|h| Holding {
                            elsewhere: true,
                            ..h.clone()
                        })
                        .collect();
                    let wall = self.wall + ZONE_PROVISION_AHEAD_MS;
                    if foreseen.len() < tuning.zone_ends
                        && failures::evacuation_reason(&ahead, &roomy, lease_ms, &tuning, wall)
                            .is_some()
                    {
                        foreseen.push(id.to_string());
                    }
                    for (job, at, resources) in taken {
                        outside.give_back(at, &resources);
                        if let Some(places) = places.get_mut(&job) {
                            let zone = outside.free[at].0.zone.clone();
                            let n = places.zones.entry(zone).or_default();
                            *n = n.saturating_sub(1);
                        }
                    }
                }
            }
        }
        turns.sort();
        for turn in turns
            .into_iter()
            .take(tuning.zone_ends.saturating_sub(waiting))
        {
            self.mark_for_termination(&turn.machine, turn.why.name());
        }
        let work = self.foreseen(&foreseen);
        self.scale_out(&work);
    }

    /// The work of machines that are to be ended once there is room for it, as if it waited: what is
    /// provisioned for it now is up by then.
    fn foreseen(&self, machines: &[String]) -> Vec<PendingWork> {
        let mut jobs: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
        for id in machines {
            for (task, _) in self.cache.assignments(id) {
                jobs.entry(&task.job).or_default().push(task.index);
            }
        }
        let work = jobs.into_iter().filter_map(|(id, indices)| {
            let job = self.cache.job(id)?;
            let spec = job.open()?;
            let mut w = PendingWork::of(&self.cache, &self.settings, id, job, spec);
            w.indices = indices.into();
            Some(w)
        });
        let mut work: Vec<PendingWork> = work.collect();
        work.sort_by(|a, b| a.urgency.cmp(&b.urgency).then(a.job.cmp(&b.job)));
        work
    }

    /// What a machine holds, and the turn that its most urgent task gives it.
    fn holdings(
        &self,
        id: &str,
        m: &MachineRecord,
        lost: &Lost,
        outside: &mut Outside,
        places: &mut HashMap<String, ZoneSpreadRecord>,
    ) -> (Vec<Holding>, Vec<(String, usize, Resources)>, Turn) {
        let mut taken = Vec::new();
        let mut turn = Turn {
            priority: std::cmp::Reverse(JobPriority::Low),
            borrowed: true,
            due: WallMs::MAX,
            machine: id.to_string(),
            why: Why::Late,
        };
        let mut holds = Vec::new();
        for (task, placed) in self.cache.assignments(id) {
            let (Some(job), Some(spec)) =
                (self.cache.job(&task.job), self.cache.open_job(&task.job))
            else {
                continue;
            };
            let unseen = self.unseen(id, task, &placed.assignment);
            let run_ms = dependencies::run_ms(spec);
            let ready_at = self.cache.ready_at(job);
            let deadline = dependencies::deadline(job, spec);
            let within = self
                .settings
                .policy
                .goals
                .get(&spec.class)
                .into_iter()
                .flatten();
            let goals = within.map(|ms| ready_at + ms).chain(deadline);
            let mut goals: Vec<WallMs> = goals.collect();
            goals.sort();
            let limited = spec.zone_affinity || spec.topology_spread;
            let places = places.entry(task.job.clone()).or_insert_with(|| {
                let draft = TransactionBuilder::new(&self.cache);
                // A job that is to stay together moves as a whole: its other tasks are lost as well.
                match spec.topology_spread && job.tasks > 1 {
                    true => claims::zones_of(&draft, job, &task.job, &self.settings.zones),
                    false => ZoneSpreadRecord::default(),
                }
            });
            let room = |zone: &str| match zone == m.zone {
                true => 0,
                false => claims::zone_room(spec, places, zone),
            };
            let found = outside.take(spec, room);
            if let Some(at) = found {
                taken.push((task.job.clone(), at, spec.resources));
                let zone = outside.free[at].0.zone.clone();
                *places.zones.entry(zone).or_default() += 1;
            }
            // Work of high rank finds room by stopping what is lower.
            let elsewhere = found.is_some()
                || !limited
                    && spec.priority >= JobPriority::High
                    && lost.ms > ZONE_LATE_MS
                    && spec.zone.is_none();
            let usage = self.cache.usage(&spec.team);
            let team = self.settings.policy.teams.get(&spec.team);
            let borrowed = team.is_none_or(|t| usage.cpus > t.cpus);
            turn.priority = turn.priority.min(std::cmp::Reverse(spec.priority));
            turn.borrowed &= borrowed;
            turn.due = turn.due.min(goals.first().copied().unwrap_or(WallMs::MAX));
            holds.push(Holding {
                priority: spec.priority,
                service: spec.kind == JobKind::Service,
                unseen,
                elsewhere,
                goals,
                run_ms,
            });
        }
        (holds, taken, turn)
    }

    /// Whether a task's start was on its way when its machine was last heard.
    fn unseen(&self, id: &str, task: &TaskId, b: &Assignment) -> bool {
        let last_sign = self.last_sign(id).unwrap_or(0);
        self.workers
            .starts
            .unseen(&(task.clone(), b.attempt), last_sign)
    }

    fn outside(&self) -> Outside {
        let mut free = Vec::new();
        for (id, m, _) in self.cache.machines() {
            let up = m.phase == MachinePhase::Up && self.reachable(id, &m.zone);
            let Some(kind) = self.machine_types.get(&m.type_name).filter(|_| up) else {
                continue;
            };
            let room = kind.room.less(&self.cache.used(id));
            if room.cpus > 0 && !self.workers.marked_for_termination.contains_key(id) {
                let place = Place {
                    kind: m.type_name.clone(),
                    zone: m.zone.clone(),
                    spot: m.spot,
                };
                free.push((place, room));
            }
        }
        Outside {
            free,
            none: BTreeSet::new(),
        }
    }
}
