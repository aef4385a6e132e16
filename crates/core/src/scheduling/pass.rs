//! When and for what a node looks up work: claims, stops for what waits, rentals, moves.

use crate::constants::*;
use crate::controller::*;
use crate::jobs::dependencies::{self, Pull};
use crate::model::*;
use crate::provisioning::demand;
use crate::scheduling::claims;
use crate::scheduling::placement::{self, Candidate, RunTimes};
use crate::scheduling::preemption;
use crate::scheduling::rescheduling::{self, Reason, Wish};
use crate::state::*;
use foldhash::HashMap;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

impl Node {
    /// Whether a lookup is wanted and nothing but a turn to write is lacking for it.
    pub(crate) fn lookup_due(&self) -> bool {
        (self.lookup_wanted || self.now >= self.lookup_at)
            && self.caught_up_since_reading()
            && self.state_ok()
            && self.workers_ok()
            && self.leaving.is_none()
            && self.configuration.is_readable()
            && !self.types.is_empty()
    }

    pub(crate) fn look_up(&mut self) {
        if !self.lookup_due() || !self.may_write() {
            return;
        }
        let left = self.writes_left();
        if left < self.writes_least() {
            return;
        }
        self.lookup_next = false;
        self.stats.lookups += 1;
        self.lookup_wanted = false;
        let jitter = self.rng.gen_range(0..POLL_MS / 4);
        self.lookup_at = self.now + POLL_MS + jitter;
        self.look_at_run_times();
        let mut turns = std::mem::take(&mut self.turns);
        let least = |job: &str, spec: &JobSpec| self.least_run_ms(job, spec);
        let pulls = dependencies::pulls(&self.cache, &least);
        let runs = RunTimes {
            least: &least,
            before_due: &|job| self.start_before_ms(job),
        };
        let mut work = placement::waiting(
            &self.cache,
            &self.settings,
            &pulls,
            &runs,
            &|| self.cpus_up(),
            &mut turns,
            self.wall,
        );
        self.turns = turns;
        self.waiting_work = !work.is_empty();
        if work.is_empty() {
            return;
        }
        let least = placement::least_need(&work);
        let mut machines: Vec<Candidate> = Vec::new();
        for (id, m, _) in self.cache.machines() {
            let Some(kind) = self.types.get(&m.type_name) else {
                continue;
            };
            let room = kind.room.less(&self.cache.used(id));
            if room.cpus == 0
                || room.ram == 0
                || m.phase != MachinePhase::Up
                || self.condemned.contains_key(id)
            {
                continue;
            }
            // What is full for all that waits only counts as room of its zone, and as that only if it
            // is an ordinary machine: in a burst that is most of them.
            let fits = room.fits(&least);
            if !fits && m.spot {
                continue;
            }
            let sight = self.sight(id);
            if !self.reachable_by(&sight, &m.zone) || !self.reported(&sight) {
                continue;
            }
            if !fits {
                machines.push(Candidate::full(id, m, room));
                continue;
            }
            machines.push(Candidate {
                id,
                record: m,
                images: self.cache.images_of(id),
                room,
                used_at: self.used_at.get(id).copied().unwrap_or(0),
                own: sight.reports_here(),
                busy: self.cache.booked_tasks(id) > 0,
                fetch_ms: self
                    .fetching
                    .get(id)
                    .map_or(0, |until| until.saturating_sub(self.now)),
                carrier: self.carrier(&sight, m),
            });
        }
        let settled = self.settled();
        if !settled {
            // Machines go on being heard for the first time: they are filled as they come.
            self.lookup_at = self.lookup_at.min(self.now + FIRST_LOOKUP_MS);
        }
        let hold = match settled {
            true => self.hold_for_images(&mut work, &pulls),
            false => Millis::MAX,
        };
        self.lookup_at = self.lookup_at.min(self.now.saturating_add(hold));
        let plan = placement::plan(
            &self.cache,
            &self.settings,
            &self.types,
            &mut work,
            &mut machines,
            left,
            self.wall,
        );
        let full = plan.full;
        for (id, ms) in plan.fetches {
            self.fetching.insert(id, self.now + ms);
        }
        if !plan.claimed.is_empty() {
            let claimed = plan.claimed.into_iter().map(|(task, machine)| {
                let n = self
                    .cache
                    .job(&task.job)
                    .map_or(0, |j| j.chunk_of(task.index));
                Claimed {
                    attempt: self.cache.claim_stamp(&task.job, n),
                    task,
                    machine,
                }
            });
            let purpose = Purpose::Lookup(claimed.collect());
            self.commit_bookings(plan.txn, purpose, Priority::Claim);
        }
        // What is not heard yet is not missing: nothing is stopped or rented before a round of reports.
        if !full && settled {
            work.retain(|w| !w.indices.is_empty() && !w.suspect);
            self.preempt(&work, &pulls);
            work.retain(|w| !w.warm_only);
            self.rent(&work);
        }
    }

    /// Thousandths of processors of all machines that work can be placed on.
    fn cpus_up(&self) -> u64 {
        let up = self.cache.machines();
        let up = up.filter(|(id, m, _)| m.phase == MachinePhase::Up && self.reachable(id, &m.zone));
        let cpus = up.filter_map(|(_, m, _)| Some(self.types.get(&m.type_name)?.room.cpus));
        cpus.sum()
    }

    /// A service whose image would have to be fetched waits a moment where stopping a batch's task on
    /// a machine that has it lets it start sooner. Milliseconds until the first of these goes where
    /// there is room after all.
    fn hold_for_images(
        &self,
        work: &mut [placement::Waiting],
        pulls: &HashMap<String, Pull>,
    ) -> Millis {
        let usable = |id: &str| self.usable(id);
        let rank = |job: &str, spec: &JobSpec| dependencies::rank(pulls, job, spec);
        let site = self.site();
        let rates = self.types.values().map(|t| t.fetch_gb_per_s);
        let rate = rates.fold(0.001, f64::max);
        let mut next = Millis::MAX;
        for w in work.iter_mut().filter(|w| w.own_rank == Rank::Production) {
            let left = (w.at + WARM_PATIENCE_MS).saturating_sub(self.wall);
            let spec = self.cache.open_job(&w.job);
            let fetch_s = spec.map_or(0.0, |s| s.image_gb / rate);
            if left > 0
                && fetch_s * 1_000.0 > WARM_WORTH_MS as f64
                && preemption::warm_room(&site, w, usable, rank) >= w.indices.len() as u64
            {
                w.warm_only = true;
                next = next.min(left);
            }
        }
        next
    }

    fn site(&self) -> preemption::Site<'_> {
        preemption::Site {
            cache: &self.cache,
            settings: &self.settings,
            types: &self.types,
        }
    }

    /// Whether a machine may be counted on for what waits.
    fn usable(&self, id: &str) -> bool {
        let zone = self.cache.machine(id).map(|m| &m.zone);
        zone.is_some_and(|z| self.reachable(id, z)) && !self.condemned.contains_key(id)
    }

    /// Stops work of lower rank for what found no room.
    fn preempt(&mut self, work: &[placement::Waiting], pulls: &HashMap<String, Pull>) {
        if work.is_empty() || !self.may_write() || self.now < self.preempted_at + PREEMPT_GAP_MS {
            return;
        }
        // Urgent work is not kept waiting; other work waits a little for room to come by itself.
        let after = |w: &placement::Waiting| match w.own_rank {
            _ if w.warm_only => Some(0),
            Rank::High | Rank::Production => Some(PREEMPT_AFTER_MS),
            Rank::Normal => Some(PREEMPT_LATER_MS),
            Rank::Low => Some(PREEMPT_LATER_MS).filter(|_| w.within),
        };
        let mut next = Millis::MAX;
        let mut ripe: Vec<placement::Waiting> = Vec::new();
        for w in work {
            let Some(at) = after(w).map(|ms| w.at + ms) else {
                continue;
            };
            match at.checked_sub(self.wall).filter(|ms| *ms > 0) {
                Some(ms) => next = next.min(ms),
                None => ripe.push(w.clone()),
            }
        }
        if ripe.is_empty() {
            // What is too fresh is looked at again soon.
            self.lookup_at = self.lookup_at.min(self.now.saturating_add(next));
            return;
        }
        let now = self.now;
        let age = |attempt: u64| {
            let at = self.epochs.partition_point(|(e, _)| *e <= attempt);
            match self.epochs.get(at) {
                _ if at == 0 => Millis::MAX,
                Some((_, t)) => now - t,
                None => 0,
            }
        };
        let usable = |id: &str| self.usable(id);
        let rank = |id: &str, spec: &JobSpec| {
            let rank = dependencies::rank(pulls, id, spec);
            if rank >= Rank::High {
                return rank;
            }
            let at = self.cache.job(id).map_or(0, |j| self.cache.ready_at(j));
            match placement::begins_late(&self.cache, &self.settings, id, at, self.wall) {
                Some(_) => Rank::High,
                None => rank,
            }
        };
        let site = self.site();
        let spares = self.settings.learned.stops;
        let spared = |task: &TaskId, attempt: u64| {
            spares && self.about_to_end(task, attempt, SPARED_MS, SPARED_CHANCE)
        };
        let open = placement::reserve_open(work, self.wall);
        let stops = preemption::victims(site, &ripe, usable, age, rank, spared, open);
        let mut draft = TransactionBuilder::new(&self.cache);
        let mut chosen = Vec::new();
        for (id, task) in stops {
            let Some(attempt) = self.cache.booking(&id, &task).map(|p| p.booking.attempt) else {
                continue;
            };
            if !draft.has_room(&self.settings, 1, 1, self.settings.value_bytes as usize) {
                break;
            }
            self.edit_booking(&mut draft, &task, attempt, |b| {
                b.stop = Some("preempted".into());
            });
            chosen.push((id, task));
        }
        if chosen.is_empty() {
            return;
        }
        self.preempted_at = self.now;
        let large = draft.drop_oversized(self.settings.value_bytes);
        if !draft.is_empty() {
            let txn = draft.finish();
            self.commit_bookings(txn, Purpose::Stop(chosen), Priority::Claim);
        }
        self.too_large(large);
    }

    pub(crate) fn rent(&mut self, work: &[placement::Waiting]) {
        // What is wanted while requests are under way goes into the next ones together: the
        // cloud takes few calls, and a call brings up to 50 machines.
        if work.is_empty() || self.hire_busy || !self.hires_asked.is_empty() {
            return;
        }
        let wishes = demand::wishes(
            &self.cache,
            &self.types,
            work,
            |id| self.settings.checks.hires && self.on_its_way(id),
            |zone| self.zone_quiet(zone),
            self.wall,
        );
        if wishes.is_empty() {
            for w in work.iter().take(3) {
                tracing::debug!(job = w.job, tasks = w.indices.len(), "waits for a machine");
            }
            return;
        }
        let mut draft = TransactionBuilder::new(&self.cache);
        let mut fleet = draft.fleet();
        let mut hires = Vec::new();
        // The machines that it brings are named in its record.
        let names = self
            .settings
            .value_bytes
            .saturating_sub(SMALL_RECORD_BYTES as u64);
        let most = (names / MACHINE_NAME_BYTES).clamp(1, HIRE_MAX as u64) as u32;
        // With the number of the next one, in one transaction.
        let at_once = HIRES_AT_ONCE.min(self.settings.txn_ops - 1);
        for wish in wishes.into_iter().take(at_once) {
            let n = fleet.next;
            fleet.next += 1;
            hires.push(n);
            draft.put(
                Key::Hire(n),
                Record::Hire(HireRecord {
                    type_name: wish.type_name,
                    zone: wish.zone,
                    spot: wish.spot,
                    count: wish.count.min(most),
                    node: self.settings.node.clone(),
                    at: self.wall,
                    hosts: None,
                }),
            );
        }
        draft.put(Key::Fleet, Record::Fleet(fleet));
        let txn = draft.finish();
        self.hire_busy = true;
        self.commit(txn, Purpose::NewHires(hires), Priority::Claim);
    }

    /// Empties dear machines whose services fit elsewhere, one task at a time, and takes the
    /// services off machines that are being drained.
    pub(crate) fn move_services(&mut self) {
        if self.waiting_work || self.cache.hires().next().is_some() {
            self.quiet_since = self.now;
        }
        if self.in_trouble() {
            // What it upset is placed first: moves rest, and pick up after.
            self.moves.at = self.now + MOVES_REST_MS - MOVE_GAP_MS;
        }
        if !self.may_write() || self.now < self.moves.at + MOVE_GAP_MS {
            return;
        }
        // These can't wait until nothing else does. As often as machines are judged, which finds them.
        let mute = match self.judged_at == self.now {
            true => self.mute_services(),
            false => Vec::new(),
        };
        if self.waiting_work && mute.is_empty() {
            return;
        }
        // As many at a time as the site is large: one by one a fleet of hundreds would stay for as
        // long as its services run.
        let up = self.cache.machines().filter(|(_, m, _)| m.is_up()).count();
        let most = (up / MOVES_PART).clamp(1, MOVES_MOST.min(self.settings.txn_ops));
        let most = most.max(mute.len().min(MOVES_MOST).min(self.settings.txn_ops));
        let mut moving: BTreeSet<String> = BTreeSet::new();
        let mut under_way = 0;
        for (id, _, _) in self.cache.machines() {
            let stopped = self.cache.bookings(id);
            for (task, _) in stopped.filter(|(_, p)| p.booking.stop.is_some()) {
                under_way += 1;
                moving.insert(task.job.clone());
            }
        }
        let left = most.saturating_sub(under_way);
        if left == 0 {
            return;
        }
        self.moves.at = self.now;
        let wishes = match mute.is_empty() {
            true => self.wished_moves(),
            false => {
                let tasks = mute.len();
                tracing::info!(
                    tasks,
                    "machines answer and reach no node: services move off"
                );
                mute
            }
        };
        let leaving = self.moves.chosen(self.now, wishes, left, &moving);
        let mut draft = TransactionBuilder::new(&self.cache);
        if !leaving.is_empty() {
            let mut stops = Vec::new();
            for w in leaving {
                if !draft.has_room(&self.settings, 1, 1, self.settings.value_bytes as usize) {
                    break;
                }
                self.edit_booking(&mut draft, &w.task, w.attempt, |b| {
                    b.stop = Some(w.reason.name().into());
                });
                stops.push((w.machine, w.task));
            }
            let large = draft.drop_oversized(self.settings.value_bytes);
            if !draft.is_empty() {
                let txn = draft.finish();
                self.commit_bookings(txn, Purpose::Stop(stops), Priority::Claim);
            }
            self.too_large(large);
        } else if under_way == 0 && self.now >= self.quiet_since + DISPENSABLE_AFTER_MS {
            let now = self.now;
            let old = |id: &str| {
                let up = self.signs.of(id).up;
                up.is_some_and(|at| now >= at + DISPENSABLE_AFTER_MS)
            };
            for id in demand::dispensable(&self.cache, &self.types, old, most) {
                let Some(mut machine) = draft.machine(&id) else {
                    continue;
                };
                let bookings = self.cache.booked_tasks(&id);
                tracing::info!(machine = id, bookings, "emptying");
                machine.phase = MachinePhase::Draining;
                draft.put(Key::Machine(id), Record::Machine(machine));
            }
            if !draft.is_empty() {
                let txn = draft.finish();
                self.commit(txn, Purpose::Sweep, Priority::Housekeeping);
            }
        }
    }

    /// Moves that would help, whatever the reason.
    fn wished_moves(&self) -> Vec<Wish> {
        let mut wishes = Vec::new();
        let draining = self.cache.machines();
        for (id, _, _) in draining.filter(|(_, m, _)| m.phase == MachinePhase::Draining) {
            wishes.extend(self.moves_off(id));
        }
        let even = self.settings.tuning.even_spread && self.settings.zones.len() > 1;
        if even && wishes.is_empty() {
            self.wish_spread(&mut wishes);
        }
        wishes
    }

    /// All services' tasks off a machine.
    pub(crate) fn moves_off<'a>(&'a self, id: &'a str) -> impl Iterator<Item = Wish> + 'a {
        let movable = move |(task, p): &(&TaskId, &Placed)| self.movable(task, &p.booking);
        let wish = move |(task, p): (&TaskId, &Placed)| Wish {
            task: task.clone(),
            attempt: p.booking.attempt,
            machine: id.to_string(),
            reason: Reason::Leaving,
            gain_s: 0.0,
            cost_s: MOVE_COST_S,
        };
        self.cache.bookings(id).filter(movable).map(wish)
    }

    /// Services back to an even spread over zones, as after one was lost: a task of the fullest zone
    /// where another has room for it.
    fn wish_spread(&self, wishes: &mut Vec<Wish>) {
        let up = |(id, m, _): &(&str, &MachineRecord, u64)| {
            m.phase == MachinePhase::Up && self.reachable(id, &m.zone)
        };
        let mut free: BTreeMap<&str, Vec<(&str, &MachineRecord, Room)>> = BTreeMap::new();
        for (id, m, _) in self.cache.machines().filter(up) {
            if let Some(kind) = self.types.get(&m.type_name) {
                let room = kind.room.less(&self.cache.used(id));
                free.entry(&m.zone).or_default().push((id, m, room));
            }
        }
        for (id, job, spec) in self.cache.open_jobs() {
            let even = spec.shape == Shape::Service && !spec.together && spec.zone.is_none();
            let whole = self.cache.counts(id).booked == job.tasks;
            if !even || job.tasks < 2 || !whole {
                continue;
            }
            let draft = TransactionBuilder::new(&self.cache);
            let zones = claims::zones_of(&draft, job, id, &self.settings.zones);
            let Some((fullest, n)) = zones.zones.iter().max_by_key(|(_, n)| **n) else {
                continue;
            };
            let gain_s = rescheduling::spread_gain_s(job.tasks, *n, free.len());
            if gain_s <= 0.0 {
                continue;
            }
            let share = job.tasks.div_ceil(free.len().max(1) as u32);
            let below = |zone: &str| zones.count(zone) < share;
            let places = free
                .iter()
                .filter(|(zone, _)| *zone != fullest && below(zone));
            let fetch_s = places
                .flat_map(|(_, machines)| machines)
                .filter(|(_, m, room)| {
                    room.fits(&spec.need) && spec.allows(&m.type_name, &m.zone, m.spot)
                })
                .map(|(at, m, _)| match self.cache.has_image(at, &spec.image) {
                    true => 0.0,
                    false => placement::fetch_ms(&self.types, m, spec) as f64 / 1e3,
                })
                .min_by(f64::total_cmp);
            let Some(fetch_s) = fetch_s else { continue };
            let chunks = self.cache.chunks_of(id).flat_map(|(_, c)| c.booked());
            let there = |b: &Booking| self.cache.machine(&b.machine).map(|m| &m.zone);
            let mut chunks = chunks.filter(|(_, b)| there(b) == Some(fullest) && b.stop.is_none());
            if let Some((index, b)) = chunks.next() {
                wishes.push(Wish {
                    task: TaskId {
                        job: id.to_string(),
                        index,
                    },
                    attempt: b.attempt,
                    machine: b.machine.clone(),
                    reason: Reason::Spread,
                    gain_s,
                    cost_s: MOVE_COST_S + fetch_s,
                });
            }
        }
    }

    /// Whether something is upset just now: a zone is lost, a node is taken over from, or the state
    /// service says that too much is asked.
    fn in_trouble(&self) -> bool {
        let throttled = self.throttled_at.is_some_and(|at| self.now < at + TICK_MS);
        self.zones.any_quiet() || self.standby.takes_over() || throttled
    }

    fn movable(&self, task: &TaskId, b: &Booking) -> bool {
        b.stop.is_none()
            && self
                .cache
                .open_job(&task.job)
                .is_some_and(|s| s.shape == Shape::Service)
    }
}
