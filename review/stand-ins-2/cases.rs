//! The cases. Each returns what was broken, or none if the rule held, or why it couldn't run.

use crate::services::MachineType;
use crate::{Deployment, Job, Stage};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

type Verdict = Result<Option<String>, String>;
type Play = fn(&Arc<Stage>) -> Verdict;

pub fn find(name: &str) -> Option<(Deployment, Play)> {
    match name {
        "limit" => Some((rutazona(), limit)),
        "mistake" => Some((melekt(2, 0), mistake)),
        "queue" => Some((melekt(4, 1), queue)),
        _ => None,
    }
}

/// The deployment of the franchise office, one zone of it.
fn rutazona() -> Deployment {
    let kind = |name, vcpus, ram_gb, ready_s, pull_gb_per_s, hourly, capacity| MachineType {
        name,
        vcpus,
        ram_gb,
        ready_s,
        pull_gb_per_s,
        hourly,
        zone: "xela",
        capacity,
    };
    Deployment {
        zone: "xela",
        teams: vec![
            ("mapas", 32.0, 64.0),
            ("despacho", 64.0, 176.0),
            ("franquicias", 56.0, 136.0),
            ("cocinas", 32.0, 104.0),
            ("atencion", 32.0, 136.0),
        ],
        types: vec![
            kind("chiltepe", 4.0, 16.0, 20.0, 0.8, 0.2, 8),
            kind("jocon", 64.0, 512.0, 20.0, 0.6, 3.42, 1),
        ],
        report_s: 1.5,
        lease_s: 10.0,
        cancel_s: 35.0,
        value_kb: 16.0,
        txn_ops: 40,
        cloud_rps: 6.0,
        list_lag_s: 6.0,
        cpu_share: 0.16,
        ram_mb: 56.0,
    }
}

/// The deployment of the shared platform.
fn melekt(bunna: usize, shemma: usize) -> Deployment {
    let kind = |name, vcpus, ram_gb, ready_s, pull_gb_per_s, hourly, capacity| MachineType {
        name,
        vcpus,
        ram_gb,
        ready_s,
        pull_gb_per_s,
        hourly,
        zone: "addis",
        capacity,
    };
    Deployment {
        zone: "addis",
        teams: vec![("hub-ops", 0.0, 0.0)],
        types: vec![
            kind("bunna", 8.0, 32.0, 15.0, 0.5, 0.55, bunna),
            kind("injera", 32.0, 128.0, 25.0, 0.5, 2.02, 1),
            kind("shemma", 64.0, 128.0, 35.0, 0.5, 3.77, shemma),
        ],
        report_s: 3.0,
        lease_s: 14.0,
        cancel_s: 44.0,
        value_kb: 8.0,
        txn_ops: 16,
        cloud_rps: 4.0,
        list_lag_s: 4.0,
        cpu_share: 0.12,
        ram_mb: 104.0,
    }
}

fn job(id: u32, class: &'static str, owner: &'static str, rank: &'static str, drops: u32, vcpus: f64, run_s: Option<f64>) -> Job {
    Job {
        id: format!("j-{id:06}"),
        class,
        owner,
        rank,
        drops,
        vcpus,
        ram_gb: vcpus,
        bundle: format!("img-{class}"),
        pull_gb: 0.1,
        flavours: None,
        run_s,
        has_mistake: false,
    }
}

fn rent(stage: &Stage, kind: &str, count: usize) -> Vec<String> {
    let kind = stage.cloud.types.iter().find(|t| t.name == kind).expect("a type of the catalog").clone();
    let names = (0..count).map(|_| stage.cloud.rent(&stage.world, &kind, Duration::from_millis(100)));
    names.collect()
}

/// Urgent one-task jobs that wait for a machine type that is full, and one job of lower rank that
/// an idle part of another machine has room for.
fn queue(stage: &Arc<Stage>) -> Verdict {
    let world = &stage.world;
    rent(stage, "shemma", 1);
    rent(stage, "bunna", 4);
    if !stage.wait_for(10.0, || stage.workers().len() == 5) {
        return Err("the machines don't come up".into());
    }
    // Services that fill the one large machine, and keep small ones in use.
    let mut large = job(1, "pusher", "hub-ops", "critical", 16, 4.0, None);
    large.flavours = Some(vec!["shemma"]);
    let mut small = job(2, "pusher", "hub-ops", "critical", 4, 1.0, None);
    small.flavours = Some(vec!["bunna"]);
    if !world.submit(&large) || !world.submit(&small) {
        return Err("a service isn't accepted".into());
    }
    if !stage.wait_for(10.0, || world.starts(&large.id) >= 16 && world.starts(&small.id) >= 4) {
        return Err("a service doesn't start".into());
    }
    let waiting = |n: u32| {
        let mut waiting = job(1_000 + n, "word-probe", "hub-ops", "high", 1, 4.0, Some(20.0));
        waiting.flavours = Some(vec!["shemma"]);
        waiting
    };
    if !world.submit_all((0..200).map(waiting).collect(), 30) {
        return Err("a job isn't accepted".into());
    }
    let per_s = if stage.trouble { 12.5 } else { 12.5 / 3.0 };
    if stage.trouble {
        world.record.line("TROUBLE: jobs of a class come three times as often");
    }
    let from = Instant::now();
    let mut users = Vec::new();
    for n in 0..(17.6 * per_s) as u32 {
        let due = from + Duration::from_secs_f64(f64::from(n) / per_s);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let (world, job) = (world.clone(), waiting(200 + n));
        users.push(thread::spawn(move || world.submit(&job)));
    }
    let count = 200 + users.len();
    if !users.into_iter().all(|user| user.join().unwrap_or(false)) {
        return Err("a job isn't accepted".into());
    }
    world.record.line(&format!("the trouble is over: {count} jobs wait for shemma"));
    let victim = job(5_000, "reach-sort", "hub-ops", "standard", 1, 4.0, Some(20.0));
    if !world.submit(&victim) {
        return Err("the job isn't accepted".into());
    }
    let from = Instant::now();
    let mut least_free = u64::MAX;
    while world.starts(&victim.id) == 0 && from.elapsed() < Duration::from_secs(91) {
        let small = stage.workers().into_iter().filter(|w| w.kind.name == "bunna");
        least_free = least_free.min(small.map(|w| w.free().0.min(w.free().1)).max().unwrap_or(0));
        thread::sleep(Duration::from_millis(500));
    }
    world.poll(&victim.id);
    let waited = from.elapsed().as_secs_f64();
    let started = world.starts(&victim.id) > 0;
    let summary = format!(
        "{} after {waited:.0} s, with {count} jobs waiting for another type; all that time a machine that it may use had {} vcpus free, and it takes 4",
        if started { "the job started" } else { "the job has not started" }, least_free as f64 / 1e3
    );
    world.record.line(&summary);
    Ok((!started && waited >= 90.0 && least_free >= 4_000).then_some(summary))
}

/// Two jobs that were submitted with a mistake, among services and sound jobs, all bound to a type of
/// which the site has one machine.
fn mistake(stage: &Arc<Stage>) -> Verdict {
    let world = &stage.world;
    let bound = |mut job: Job| {
        job.flavours = Some(vec!["injera"]);
        job
    };
    rent(stage, "injera", 1);
    if !stage.wait_for(10.0, || stage.workers().len() == 1) {
        return Err("the machine doesn't come up".into());
    }
    let services: Vec<Job> = (1..5).map(|n| bound(job(n, "pusher", "hub-ops", "critical", 1, 4.0, None))).collect();
    if !world.submit_all(services.clone(), 4) || !stage.wait_for(10.0, || services.iter().all(|s| world.starts(&s.id) == 1)) {
        return Err("a service doesn't start".into());
    }
    let sound: Vec<Job> = (0..48).map(|n| bound(job(100 + n, "reach-sort", "hub-ops", "standard", 1, 0.5, Some(0.5)))).collect();
    if !world.submit_all(sound.clone(), 24) {
        return Err("a job isn't accepted".into());
    }
    let until = Instant::now() + Duration::from_secs(25);
    if !sound.iter().all(|job| world.await_done(&job.id, until)) {
        return Err("the sound jobs aren't done".into());
    }
    if stage.trouble {
        world.record.line("TROUBLE: 2 of 50 jobs are submitted with a mistake and fail on every machine");
        let broken: Vec<Job> = (0..2)
            .map(|n| Job { has_mistake: true, ..bound(job(200 + n, "reach-sort", "hub-ops", "standard", 1, 4.0, Some(30.0))) })
            .collect();
        if !world.submit_all(broken.clone(), 2) {
            return Err("a job isn't accepted".into());
        }
        if !stage.wait_for(15.0, || broken.iter().all(|b| world.starts(&b.id) > 0)) {
            return Err("a job doesn't start".into());
        }
        thread::sleep(Duration::from_secs(3));
        if !broken.iter().all(|b| world.withdraw(&b.id)) {
            return Err("a job can't be cancelled".into());
        }
        world.record.line("the trouble is over: the two jobs are cancelled");
    }
    let next = bound(job(300, "reach-sort", "hub-ops", "standard", 1, 4.0, Some(5.0)));
    if !world.submit(&next) {
        return Err("the job isn't accepted".into());
    }
    // Jobs of which no task has run since then; each takes 4 vcpus.
    let from = Instant::now();
    let mut waiting: Vec<&Job> = services.iter().chain([&next]).collect();
    let mut least_free = u64::MAX;
    while !waiting.is_empty() && from.elapsed() < Duration::from_secs(91) {
        thread::sleep(Duration::from_millis(200));
        waiting.retain(|job| stage.workers().iter().all(|w| w.running(&job.id) == 0) && (job.run_s.is_none() || world.starts(&job.id) == 0));
        least_free = least_free.min(stage.workers().iter().map(|w| w.free().0.min(w.free().1)).max().unwrap_or(0));
    }
    let waited = from.elapsed().as_secs_f64();
    for job in services.iter().chain([&next]) {
        world.poll(&job.id);
    }
    let (stopped, unstarted) = (waiting.iter().filter(|job| job.run_s.is_none()).count(), waiting.iter().filter(|job| job.run_s.is_some()).count());
    let summary = format!(
        "for {waited:.0} s {stopped} of 4 services were down and {unstarted} of 1 new jobs did not start; all that time the machine had at least {} vcpus free, and each takes 4",
        least_free as f64 / 1e3
    );
    world.record.line(&summary);
    Ok((!waiting.is_empty() && waited >= 90.0 && least_free >= 4_000).then_some(summary))
}

/// Arrays of a team that wait for a machine type that is full, and a job of the same team that another
/// machine has room for.
fn limit(stage: &Arc<Stage>) -> Verdict {
    let world = &stage.world;
    rent(stage, "jocon", 1);
    rent(stage, "chiltepe", 2);
    if !stage.wait_for(10.0, || stage.workers().len() == 3) {
        return Err("the machines don't come up".into());
    }
    // Services of other teams fill the large machine, and keep the small ones in use.
    let mut large = job(1, "rider-router", "despacho", "critical", 16, 4.0, None);
    large.flavours = Some(vec!["jocon"]);
    let mut small = job(2, "rider-router", "atencion", "critical", 2, 1.0, None);
    small.flavours = Some(vec!["chiltepe"]);
    if !world.submit(&large) || !world.submit(&small) {
        return Err("a service isn't accepted".into());
    }
    if !stage.wait_for(10.0, || world.starts(&large.id) >= 16 && world.starts(&small.id) >= 2) {
        return Err("a service doesn't start".into());
    }
    let count = if stage.trouble { 3 } else { 1 };
    if stage.trouble {
        world.record.line("TROUBLE: jobs of a class come three times as often");
    }
    let arrays = (0..count).map(|n| {
        let mut array = job(10 + n, "peak-rebalance", "mapas", "high", 16, 2.0, Some(25.0));
        array.flavours = Some(vec!["jocon"]);
        array
    });
    if !world.submit_all(arrays.collect(), 3) {
        return Err("an array isn't accepted".into());
    }
    thread::sleep(Duration::from_secs(2));
    world.record.line(&format!("the trouble is over: {count} arrays wait for jocon"));
    let next = job(20, "area-redraw", "mapas", "standard", 1, 2.0, Some(20.0));
    if !world.submit(&next) {
        return Err("the job isn't accepted".into());
    }
    let from = Instant::now();
    let mut least_free = u64::MAX;
    while world.starts(&next.id) == 0 && from.elapsed() < Duration::from_secs(91) {
        let small = stage.workers().into_iter().filter(|w| w.kind.name == "chiltepe");
        least_free = least_free.min(small.map(|w| w.free().0.min(w.free().1)).max().unwrap_or(0));
        thread::sleep(Duration::from_millis(500));
    }
    world.poll(&next.id);
    let waited = from.elapsed().as_secs_f64();
    let started = world.starts(&next.id) > 0;
    let used: usize = (0..count).map(|n| world.starts(&format!("j-{:06}", 10 + n))).sum();
    let summary = format!(
        "{} after {waited:.0} s; all that time a machine that it may use had {} vcpus free, and it takes 2; {used} other tasks of its team have started, and its limit is 64 vcpus",
        if started { "the job started" } else { "the job has not started" }, least_free as f64 / 1e3
    );
    world.record.line(&summary);
    Ok((!started && used == 0 && waited >= 90.0 && least_free >= 2_000).then_some(summary))
}
