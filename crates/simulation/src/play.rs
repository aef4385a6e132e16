//! Plays a described day: users, troubles, and what is measured meanwhile.

use crate::day::{self, Class, Day, Variant, What};
use crate::digest::EffectDigest;
use crate::measure::{Outcome, Times};
use crate::service::Rate;
use crate::users::{Users, STEP_MS};
use crate::World;
use glenmount_core::model::{JobKind, JobPriority, JobSpec, Resources, TaskPhase, Team};
use glenmount_core::peers::tracker::PeerStatus;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Spread of sizes and run times: one in twenty is 2.7 times the median.
const SIGMA: f64 = 0.6;
/// Milliseconds after which a service's replica should run.
const UP_AFTER_MS: u64 = 15_000;
/// Seconds after a day's last submission in which what is left may end.
const DRAIN_S: u64 = 240;

/// Something that ends at a time.
enum Ends {
    Freeze,
    CutState(usize),
    CutWorkers(usize),
    CutPeers(usize),
    Outage,
    Zone,
    Alone(usize),
    Refused(usize),
    Machines(Vec<String>),
    Deaf(Vec<String>),
    LateWrites,
    LateReports,
    Burst(usize, f64),
}

/// A controller's end that is followed until its work is taken over.
struct Followed {
    controller: usize,
    at: u64,
    machines: BTreeSet<String>,
    all: usize,
    noticed: bool,
    claimed: bool,
    duty: bool,
}

struct Play<'a> {
    day: &'a Day,
    w: World,
    users: Users,
    rng: SmallRng,
    next_job: u32,
    next_at: Vec<f64>,
    factor: Vec<f64>,
    followed: Vec<Followed>,
    out: Outcome,
    ends: Vec<(u64, Ends)>,
    up: Vec<(u64, u64)>,
    began: Vec<u64>,
}

/// Plays a day once.
pub fn play(day: &Day, variant: &Variant, seed: u64) -> Result<Outcome, String> {
    Ok(play_digested(day, variant, seed, None)?.0)
}

/// The same; hashes what the controllers do, if given a digest.
pub fn play_digested(
    day: &Day,
    variant: &Variant,
    seed: u64,
    digest: Option<EffectDigest>,
) -> Result<(Outcome, Option<EffectDigest>), String> {
    let mut day = day.clone();
    day.machines = variant.machines.unwrap_or(day.machines);
    day.controllers = variant.controllers.unwrap_or(day.controllers);
    let mut play = Play::new(&day, variant, seed)?;
    play.w.digest = digest;
    play.run();
    Ok((play.out, play.w.digest))
}

fn ms(s: f64) -> u64 {
    (s * 1e3) as u64
}

impl Play<'_> {
    fn new<'a>(day: &'a Day, variant: &Variant, seed: u64) -> Result<Play<'a>, String> {
        let mut w = World::new(seed, day.controllers, 0);
        let s = &mut w.settings;
        for name in &variant.without {
            day::leave_out(&mut s.checks, name)?;
        }
        s.tuning = variant.tuning;
        s.zones = day.zones.clone();
        s.report_ms = ms(day.workers.report_s);
        s.lease_ms = ms(day.workers.lease_s);
        s.cancel_ms = ms(day.workers.cancel_s);
        s.max_value_bytes = ms(day.limits.value_kb * 1.024);
        s.max_transaction_changes = day.limits.max_transaction_changes;
        s.write_rps = day.limits.write_rps / day.controllers as f64;
        s.next_write_rps = s.write_rps;
        s.list_lag_ms = ms(day.limits.list_lag_s);
        s.idle_return_ms = 45_000;
        let milli = |cpus: f64| (cpus * 1e3) as u64;
        let team = |t: &day::Team| Team {
            name: t.name.clone(),
            cpus: milli(t.cpus),
            cpus_max: milli(t.cpus_max),
            gpus: 0,
            gpus_max: 0,
        };
        s.policy.teams = day
            .teams
            .iter()
            .map(|t| (t.name.clone(), team(t)))
            .collect();
        let goals = day.classes.iter().filter(|c| !c.within_s.is_empty());
        let goals = goals.map(|c| (c.name.clone(), c.within_s.iter().map(|s| ms(*s)).collect()));
        s.policy.goals = goals.collect();
        w.controllers_in = day.controllers_in.clone();
        w.capacity = day.capacity;
        w.page = 1_000;
        w.limited.requests = Some(Rate::new(day.limits.state_rps, 1.0));
        w.limited.changes = Some(Rate::new(day.limits.write_rps, 1.0));
        w.limited.cloud = Some(Rate::new(day.limits.cloud_rps, 2.0));
        w.limited.sockets = Some(day.limits.sockets);
        w.limited.list_lag_ms = ms(day.limits.list_lag_s);
        for kind in &mut w.machine_types {
            kind.zones = day.zones.clone();
        }
        for i in 0..day.machines {
            let zone = day.zones[i % day.zones.len()].clone();
            let kind = if i % 4 == 0 { "large" } else { "small" };
            w.boot_machine(
                kind,
                &zone,
                false,
                10 + (i as u64 * 7) % ms(day.workers.report_s),
            );
        }
        Ok(Play {
            users: Users::new(day.controllers),
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            next_job: 0,
            next_at: vec![0.0; day.classes.len()],
            factor: vec![1.0; day.classes.len()],
            followed: Vec::new(),
            out: Outcome {
                plays: 1,
                ..Outcome::default()
            },
            ends: Vec::new(),
            up: Vec::new(),
            began: vec![0; day.controllers],
            day,
            w,
        })
    }

    fn run(&mut self) {
        let begun = std::time::Instant::now();
        let mut troubles: Vec<(u64, What)> = Vec::new();
        for t in &self.day.troubles {
            for i in 0..t.times.max(1) {
                troubles.push((ms(t.at_s + f64::from(i) * t.every_s), t.what.clone()));
            }
        }
        troubles.sort_by_key(|(at, _)| *at);
        let mut troubles = troubles.into_iter().peekable();
        let end = self.day.seconds * 1_000;
        while self.w.now < end + DRAIN_S * 1_000 {
            while let Some((_, what)) = troubles.next_if(|(at, _)| *at <= self.w.now) {
                self.begin(what);
            }
            self.end_troubles();
            if self.w.now < end {
                self.submit();
            }
            self.users.step(&mut self.w);
            self.w.run(STEP_MS);
            self.follow();
            if self.w.now % 1_000 < STEP_MS {
                self.sample(self.w.now < end);
            }
            if self.w.now > end && self.all_ended() {
                break;
            }
        }
        self.w.check_records();
        self.count(begun.elapsed());
    }

    fn all_ended(&self) -> bool {
        let open = |(id, u): (&String, &crate::users::User)| {
            let service = self.w.specs[id].kind == JobKind::Service;
            !(service || u.gave_up || u.cancelled || u.done_at.is_some())
        };
        !self.users.users.iter().any(open)
    }

    // ---- What is asked ------------------------------------------------------------------

    fn submit(&mut self) {
        let now_s = self.w.now as f64 / 1e3;
        for at in 0..self.day.classes.len() {
            let class = &self.day.classes[at];
            if self.w.now == 0 {
                for _ in 0..class.initial {
                    self.ask(at);
                }
            }
            let rate = class.rate * self.factor[at];
            while rate > 0.0 && self.next_at[at] <= now_s {
                if self.next_at[at] > 0.0 {
                    self.ask(at);
                }
                let gap = -self.rng.gen_range(1e-9_f64..1.0).ln() / rate;
                self.next_at[at] = now_s.max(self.next_at[at]) + gap;
            }
        }
    }

    fn around(&mut self, median: f64) -> f64 {
        let spread = LogNormal::new(median.max(1e-3).ln(), SIGMA).expect("a fixed spread");
        spread.sample(&mut self.rng)
    }

    fn ask(&mut self, at: usize) {
        let class: &Class = &self.day.classes[at];
        let id = format!("j-{:06}", self.next_job);
        self.next_job += 1;
        let most = f64::from(class.tasks_max.unwrap_or((class.tasks * 5.0) as u32).max(1));
        let tasks = self.around(class.tasks).round().clamp(1.0, most) as u32;
        let run_s = self.around(class.run_s).clamp(0.5, class.run_s * 4.0);
        let wrong = self.around(1.0).clamp(0.4, 2.5);
        let team = class.teams[self.rng.gen_range(0..class.teams.len())].clone();
        let image = format!(
            "{}-{}",
            class.name,
            self.rng.gen_range(0..class.images.unwrap_or(8))
        );
        let estimate_s = if class.service { 0.0 } else { run_s * wrong };
        let cancelled = class.cancelled > 0.0 && self.rng.gen_bool(class.cancelled);
        // Services stay for a while, then their users cancel them.
        let cancel_at = match class.service {
            true => Some(self.w.now + ms(run_s)),
            false => cancelled.then(|| self.w.now + ms(run_s / 2.0)),
        };
        let spec = JobSpec {
            id: id.clone(),
            class: class.name.clone(),
            team,
            kind: if class.service {
                JobKind::Service
            } else {
                JobKind::Array
            },
            priority: day::priority(&class.priority).unwrap_or(JobPriority::Normal),
            tasks,
            resources: Resources {
                cpus: (class.cpus * 1e3) as u64,
                gpus: 0,
                ram: (class.cpus * 2e3) as u64,
            },
            image,
            image_gb: 1.2,
            machine_types: None,
            zone: None,
            zone_affinity: false,
            topology_spread: class.topology_spread,
            spot: class.spot,
            estimate_s,
            checkpoint_interval_s: 0.0,
            checkpoint_duration_s: 0.0,
            deadline_s: class.deadline.map(|f| f * estimate_s + 10.0),
            dependencies: Vec::new(),
        };
        self.w.job_ms.insert(id, ms(run_s));
        self.users.wants(&mut self.w, at, spec, cancel_at);
    }

    // ---- Troubles -----------------------------------------------------------------------

    /// Controllers that live, the one with the most workers first.
    fn busiest(&self) -> Vec<usize> {
        let mut load: BTreeMap<usize, usize> = BTreeMap::new();
        for worker in self.w.workers.values().filter(|w| w.alive) {
            *load.entry(worker.controller).or_default() += 1;
        }
        let lives = |n: &usize| self.w.controllers[*n].controller.is_some() && !self.w.frozen(*n);
        let mut controllers: Vec<usize> = (0..self.day.controllers).filter(lives).collect();
        controllers.sort_by_key(|n| std::cmp::Reverse(load.get(n).copied().unwrap_or(0)));
        controllers
    }

    fn some_machines(&mut self, count: usize) -> Vec<String> {
        use rand::seq::SliceRandom;
        let alive = self.w.workers.values().filter(|w| w.alive);
        let mut names: Vec<String> = alive.map(|w| w.name.clone()).collect();
        names.shuffle(&mut self.rng);
        names.truncate(count);
        names
    }

    fn begin(&mut self, what: What) {
        let now = self.w.now;
        let first = self.busiest().first().copied();
        let mut until = |for_s: f64, ends: Ends| self.ends.push((now + ms(for_s), ends));
        match (what, first) {
            (What::End { count, back_s }, _) => {
                for n in self.busiest().into_iter().take(count) {
                    self.follow_end(n);
                    self.w.crash(n, ms(back_s));
                }
            }
            (What::Leave { back_s }, Some(n)) => self.w.leave(n, ms(back_s)),
            (What::Freeze { count, for_s }, _) => {
                until(for_s, Ends::Freeze);
                for n in self.busiest().into_iter().take(count) {
                    self.w.freeze(n, ms(for_s));
                }
            }
            (What::CutState { for_s }, Some(n)) => {
                self.w.controllers[n].cut_from_state = true;
                until(for_s, Ends::CutState(n));
            }
            (What::CutWorkers { for_s }, Some(n)) => {
                self.w.controllers[n].cut_from_workers = true;
                until(for_s, Ends::CutWorkers(n));
            }
            (What::CutPeers { for_s }, Some(n)) => {
                self.w.controllers[n].cut_from_peers = true;
                until(for_s, Ends::CutPeers(n));
            }
            (What::StateOutage { for_s }, _) => {
                self.w.state_down = true;
                until(for_s, Ends::Outage);
            }
            (What::ZoneCut { zone, for_s }, _) => {
                until(for_s, Ends::Zone);
                let there = |n: &usize| self.w.zone_of_controller(*n) == zone;
                let inside: Vec<usize> = (0..self.day.controllers).filter(there).collect();
                self.w.cut_zone(&zone, &inside);
            }
            (What::MachinesDie { count }, _) => {
                for name in self.some_machines(count) {
                    self.w.kill_machine(&name);
                }
            }
            (What::MachinesCut { count, for_s }, _) => {
                let names = self.some_machines(count);
                for name in &names {
                    self.w.workers.get_mut(name).expect("it lives").cut = true;
                }
                self.ends.push((now + ms(for_s), Ends::Machines(names)));
            }
            (What::CutAlone { for_s }, Some(n)) => {
                let slot = &mut self.w.controllers[n];
                (slot.cut_from_state, slot.cut_from_peers) = (true, true);
                until(for_s, Ends::Alone(n));
            }
            (What::RefuseState { for_s }, Some(n)) => {
                self.w.controllers[n].refused = true;
                until(for_s, Ends::Refused(n));
            }
            (What::Deaf { count, for_s }, _) => {
                let names = self.some_machines(count);
                for name in &names {
                    self.w.workers.get_mut(name).expect("it lives").deaf = true;
                }
                self.ends.push((now + ms(for_s), Ends::Deaf(names)));
            }
            (What::LateWrites { share, for_s }, _) => {
                self.w.mishaps.txn_late = share;
                until(for_s, Ends::LateWrites);
            }
            (What::LateReports { share, for_s }, _) => {
                self.w.mishaps.report_twice = share;
                until(for_s, Ends::LateReports);
            }
            (
                What::Burst {
                    class,
                    factor,
                    for_s,
                },
                _,
            ) => {
                if let Some(at) = self.day.classes.iter().position(|c| c.name == class) {
                    self.factor[at] *= factor;
                    self.next_at[at] = now as f64 / 1e3;
                    until(for_s, Ends::Burst(at, factor));
                }
            }
            (_, None) => {}
        }
    }

    fn end_troubles(&mut self) {
        let now = self.w.now;
        let (over, last): (Vec<_>, Vec<_>) = std::mem::take(&mut self.ends)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.ends = last;
        for (_, ends) in over {
            match ends {
                Ends::Freeze => {}
                Ends::CutState(n) => self.w.controllers[n].cut_from_state = false,
                Ends::CutWorkers(n) => self.w.controllers[n].cut_from_workers = false,
                Ends::CutPeers(n) => self.w.controllers[n].cut_from_peers = false,
                Ends::Outage => self.w.state_down = false,
                Ends::Zone => self.w.join_zone(),
                Ends::Alone(n) => {
                    let slot = &mut self.w.controllers[n];
                    (slot.cut_from_state, slot.cut_from_peers) = (false, false);
                }
                Ends::Refused(n) => self.w.controllers[n].refused = false,
                Ends::LateWrites => self.w.mishaps.txn_late = 0.0,
                Ends::LateReports => self.w.mishaps.report_twice = 0.0,
                Ends::Machines(names) => {
                    for name in names {
                        if let Some(worker) = self.w.workers.get_mut(&name) {
                            worker.cut = false;
                        }
                    }
                }
                Ends::Deaf(names) => {
                    for name in names {
                        if let Some(worker) = self.w.workers.get_mut(&name) {
                            worker.deaf = false;
                        }
                    }
                }
                Ends::Burst(at, factor) => self.factor[at] /= factor,
            }
        }
    }

    // ---- What is measured ---------------------------------------------------------------

    fn counted(&self) -> bool {
        self.w.now >= self.day.warm_s * 1_000
    }

    fn follow_end(&mut self, n: usize) {
        let there = self
            .w
            .workers
            .values()
            .filter(|w| w.alive && w.controller == n);
        let machines: BTreeSet<String> = there.map(|w| w.name.clone()).collect();
        self.followed.push(Followed {
            controller: n,
            at: self.w.now,
            all: machines.len(),
            machines,
            noticed: false,
            claimed: false,
            duty: false,
        });
    }

    fn follow(&mut self) {
        let (w, out) = (&self.w, &mut self.out);
        let lives = |n: usize| {
            w.controllers[n]
                .controller
                .as_ref()
                .filter(|_| !w.frozen(n))
        };
        for f in &mut self.followed {
            let took = w.now - f.at;
            let name = &w.settings.controllers[f.controller];
            let others: Vec<_> = (0..w.controllers.len())
                .filter(|n| *n != f.controller)
                .filter_map(lives)
                .collect();
            if !f.noticed && !others.is_empty() {
                let away = |s: PeerStatus| s.is_away();
                if others.iter().any(|o| o.status_of(name).is_some_and(away)) {
                    f.noticed = true;
                    out.noticed.note(took);
                }
            }
            if !f.duty && f.noticed && others.iter().any(|o| o.is_on_duty()) {
                f.duty = true;
                out.duty.note(took);
            }
            let mut came = Vec::new();
            for id in &f.machines {
                match w.workers.get(id) {
                    Some(worker) if worker.heard.0 > f.at => {
                        out.heard.note(worker.heard.0 - f.at);
                        came.push(id.clone());
                        if !f.claimed && worker.told_start > f.at {
                            f.claimed = true;
                            out.first_claim.note(worker.told_start - f.at);
                        }
                    }
                    Some(worker) if worker.alive && !worker.cut => {}
                    _ => came.push(id.clone()),
                }
            }
            // Followed on for a claim on one that was heard already.
            if !f.claimed {
                let heard = |w: &crate::Worker| w.heard.0 > f.at && w.told_start > f.at;
                let told = w
                    .workers
                    .values()
                    .filter(|w| heard(w))
                    .map(|w| w.told_start);
                if let Some(at) = told.min().filter(|_| f.all > 0) {
                    f.claimed = true;
                    out.first_claim.note(at - f.at);
                }
            }
            for id in came {
                f.machines.remove(&id);
            }
        }
        let now = w.now;
        self.followed.retain(|f| {
            now < f.at + 60_000 && !(f.machines.is_empty() && f.noticed && f.claimed && f.duty)
        });
        for n in 0..w.controllers.len() {
            let slot = &w.controllers[n];
            if slot.began > self.began[n] && now >= slot.began + 20_000 {
                self.began[n] = slot.began;
                for (at, times) in [
                    (slot.first_ready, &mut self.out.ready),
                    (slot.first_accepted, &mut self.out.accepted),
                    (slot.first_start, &mut self.out.claimed),
                ] {
                    if let Some(at) = at {
                        times.note(at - slot.began);
                    }
                }
            }
        }
    }

    /// Once a second: replicas that run, of those that should.
    fn sample(&mut self, day: bool) {
        let mut running: HashMap<&str, u64> = HashMap::new();
        let mut load = vec![0usize; self.day.controllers];
        for worker in self.w.workers.values() {
            load[worker.controller] += usize::from(worker.alive);
            for ((task, _), state) in &worker.tasks {
                if state.phase == TaskPhase::Running {
                    *running.entry(task.job.as_str()).or_default() += 1;
                }
            }
        }
        if !self.counted() || !day {
            return;
        }
        let all: usize = load.iter().sum();
        let most = load.iter().max().copied().unwrap_or(0) as f64 / all.max(1) as f64;
        self.out.crowded = self.out.crowded.max(most);
        let (mut up, mut wanted) = (0, 0);
        for (id, user) in &self.users.users {
            let spec = &self.w.specs[id];
            let due = user
                .accepted_at
                .is_some_and(|at| self.w.now > at + UP_AFTER_MS);
            let asked = self.w.told.get(id).is_some_and(|t| t.asked_cancel);
            if spec.kind == JobKind::Service && due && !asked && !user.cancelled {
                wanted += u64::from(spec.tasks);
                up += running.get(id.as_str()).copied().unwrap_or(0);
            }
        }
        self.up.push((up, wanted));
    }

    fn count(&mut self, spent: std::time::Duration) {
        let warm = self.day.warm_s * 1_000;
        let mut tasks_done: HashMap<&str, u64> = HashMap::new();
        for task in &self.w.done_tasks {
            *tasks_done.entry(task.job.as_str()).or_default() += 1;
        }
        let out = &mut self.out;
        for (id, user) in &self.users.users {
            if user.asked_at < warm || user.cancel_at_early(&self.w.specs[id]) {
                continue;
            }
            let spec = &self.w.specs[id];
            let service = spec.kind == JobKind::Service;
            let class = &self.day.classes[user.class];
            out.submissions += 1;
            out.unanswered += user.unanswered;
            out.told_later += user.told_later;
            if let Some(at) = user.accepted_at {
                out.submitted.note(at - user.asked_at);
            }
            let ran = self.w.ran_at.get(id);
            if let Some(at) = ran {
                let times: &mut Times = out.waits.entry(class.name.clone()).or_default();
                times.note(at.saturating_sub(user.asked_at));
            }
            let done = tasks_done.get(id.as_str()).copied().unwrap_or(0);
            let first_goal = class.within_s.first().map(|s| ms(*s));
            let goal = first_goal.or(spec.deadline_s.map(ms));
            let of_class = out.classes.entry(class.name.clone());
            let of_class = &mut of_class.or_insert((service, Default::default())).1;
            let of_team = out.teams.entry(user.team.clone()).or_default();
            for served in [of_class, of_team] {
                served.jobs += 1;
                served.accepted += u32::from(user.accepted_at.is_some());
                served.started += u32::from(ran.is_some());
                served.done += u32::from(user.done_at.is_some());
                served.tasks += u64::from(spec.tasks);
                served.tasks_done += done;
                let all = if ran.is_some() {
                    u64::from(spec.tasks)
                } else {
                    0
                };
                served.tasks_started += if service {
                    all
                } else {
                    done.max(u64::from(ran.is_some()))
                };
                if let Some(goal) = goal.filter(|_| !service) {
                    served.with_goal += 1;
                    let in_time = user
                        .done_at
                        .is_some_and(|at| at <= user.asked_at + goal + 5_000);
                    served.in_time += u32::from(in_time);
                }
            }
        }
        let sum = |of: &[(u64, u64)]| {
            let (up, wanted) = of.iter().fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
            up as f64 / wanted.max(1) as f64
        };
        let worst = self.up.windows(30).map(sum).fold(1.0, f64::min);
        (out.up, out.up_worst) = match self.up.iter().any(|(_, wanted)| *wanted > 0) {
            true => (sum(&self.up), worst),
            false => (1.0, 1.0),
        };
        out.blind_ms = self.users.blind_ms;
        out.killed_by_lease = self.w.killed;
        out.starts = self.w.starts;
        out.tasks_done = self.w.done_tasks.len() as u64;
        out.stops = self.w.stops.clone();
        out.deleted = self.w.deleted.len() as u32;
        out.changes = self.w.changes;
        out.conflicts = self.w.conflicts;
        out.throttled = self.w.limited.refused;
        out.no_socket = self.w.limited.no_socket;
        out.us_per_event = self.w.spent.as_secs_f64() * 1e6 / self.w.events.max(1) as f64;
        out.beat_kb = self.w.beat_bytes as f64 / 1024.0;
        out.seconds = spent.as_secs();
    }
}

impl crate::users::User {
    /// Cancelled before it could be done: counts for nothing.
    fn cancel_at_early(&self, spec: &JobSpec) -> bool {
        spec.kind == JobKind::Array && self.cancels()
    }
}
