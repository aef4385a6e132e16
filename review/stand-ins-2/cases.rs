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
        "reports" => Some((rutazona(), reports)),
        "service" => Some((melekt(100, 1), service)),
        "mistake" => Some((melekt(2, 0), mistake)),
        "queue" => Some((melekt(4, 1), queue)),
        _ => None,
    }
}

/// The deployment of the franchise office: one zone of it, with its largest machine.
fn rutazona() -> Deployment {
    let jocon = MachineType {
        name: "jocon",
        vcpus: 64.0,
        ram_gb: 512.0,
        ready_s: 20.0,
        pull_gb_per_s: 0.6,
        hourly: 3.42,
        zone: "xela",
        capacity: 1,
    };
    Deployment {
        zone: "xela",
        teams: vec![("despacho", 64.0, 176.0), ("atencion", 32.0, 136.0)],
        types: vec![jocon],
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
    }
}

fn rent(stage: &Stage, kind: &str, count: usize) -> Vec<String> {
    let kind = stage.cloud.types.iter().find(|t| t.name == kind).expect("a type of the catalog").clone();
    let names = (0..count).map(|_| stage.cloud.rent(&stage.world, &kind, Duration::from_millis(100)));
    names.collect()
}

/// Three arrays of 350 small tasks, which one machine has room for, and a service. With the
/// trouble the three come at once, three times as often; without it one after the other.
fn reports(stage: &Arc<Stage>) -> Verdict {
    let world = &stage.world;
    rent(stage, "jocon", 1);
    let service = job(1, "rider-router", "atencion", "critical", 1, 1.0, None);
    if !world.submit(&service) || !stage.wait_for(15.0, || world.starts(&service.id) > 0) {
        return Err("the service doesn't start".into());
    }
    let arrays: Vec<Job> = (0..3).map(|n| job(10 + n, "listing-check", "despacho", "standard", 350, 0.05, Some(20.0))).collect();
    let from = Instant::now();
    let mut undone = Vec::new();
    if stage.trouble {
        world.record.line("TROUBLE: jobs of a class come three times as often");
        if !world.submit_all(arrays.clone(), 3) {
            return Err("an array isn't accepted".into());
        }
        // A task runs 20 s, and all of them fit on the machine at once.
        let until = Instant::now() + Duration::from_secs(90);
        for array in &arrays {
            if !world.await_done(&array.id, until) {
                undone.push(array.id.clone());
            }
        }
    } else {
        for array in &arrays {
            if !world.submit(array) {
                return Err("an array isn't accepted".into());
            }
            if !world.await_done(&array.id, from + Duration::from_secs(95)) {
                undone.push(array.id.clone());
            }
        }
    }
    let (refused, restarts) = (world.checkins_refused_with(400), world.starts(&service.id));
    let results: usize = arrays.iter().map(|a| world.results_of(&a.id)).sum();
    let summary = format!(
        "{} of 3 accepted arrays not done after {:.0} s ({results} of 1050 tasks completed, {} starts of them), {refused} check-ins answered 400, the service was started {restarts} times",
        undone.len(), from.elapsed().as_secs_f64(), arrays.iter().map(|a| world.starts(&a.id)).sum::<usize>()
    );
    world.record.line(&summary);
    Ok((!undone.is_empty()).then_some(summary))
}

/// A service of four replicas meets three machines that fail every task that they start.
fn service(stage: &Arc<Stage>) -> Verdict {
    let world = &stage.world;
    rent(stage, "bunna", 97);
    let filler = job(1, "pusher", "hub-ops", "critical", 97, 8.0, None);
    if !stage.wait_for(10.0, || stage.workers().len() == 97) || !world.submit(&filler) {
        return Err("the first service isn't accepted".into());
    }
    if !stage.wait_for(20.0, || world.starts(&filler.id) >= 97) {
        return Err("the first service doesn't fill its machines".into());
    }
    let late: Vec<String> = (98..101).map(|n| format!("n-{n:06}")).collect();
    if stage.trouble {
        world.record.line("TROUBLE: 3 of 100 machines fail every task that they start");
        world.set_sick(&stage.cloud, &late);
    }
    if rent(stage, "bunna", 3) != late {
        return Err("the machines have other names".into());
    }
    thread::sleep(Duration::from_secs(3));
    let service = job(2, "pusher", "hub-ops", "critical", 4, 1.0, None);
    if !world.submit(&service) {
        return Err("the service isn't accepted".into());
    }
    let running = || stage.workers().iter().map(|w| w.running(&service.id)).sum::<usize>();
    thread::sleep(Duration::from_secs(10));
    if stage.trouble {
        world.set_sick(&stage.cloud, &[]);
        world.record.line("the trouble is over: no machine fails tasks any more");
    }
    if !world.withdraw(&filler.id) {
        return Err("the first service can't be cancelled".into());
    }
    let over = Instant::now();
    let mut most_free = u64::MAX;
    // For 90 s from now on, whether another replica had room on some machine all the time.
    while over.elapsed() < Duration::from_secs(5) && running() < 4 {
        thread::sleep(Duration::from_millis(500));
    }
    let mut least_running = usize::MAX;
    let mut most_running = 0;
    while most_running < 4 && over.elapsed() < Duration::from_secs_f64(91.0) {
        let now = running();
        least_running = least_running.min(now);
        most_running = most_running.max(now);
        let free = stage.workers().iter().map(|w| w.free().0).max().unwrap_or(0);
        most_free = most_free.min(free);
        thread::sleep(Duration::from_secs(1));
    }
    world.poll(&service.id);
    let waited = over.elapsed().as_secs_f64();
    let summary = format!(
        "{most_running} of 4 replicas run at most, {waited:.0} s after the trouble; all that time a machine had {} of 8 vcpus free, and a replica takes 1",
        most_free as f64 / 1e3
    );
    world.record.line(&summary);
    Ok((most_running < 4 && waited >= 90.0 && most_free >= 1_000).then_some(summary))
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

/// Two jobs that were submitted with a mistake, a service, and a sound job after them, all bound to a
/// type of which the site has one machine.
fn mistake(stage: &Arc<Stage>) -> Verdict {
    let world = &stage.world;
    let bound = |mut job: Job| {
        job.flavours = Some(vec!["injera"]);
        job
    };
    rent(stage, "injera", 1);
    let service = bound(job(1, "pusher", "hub-ops", "critical", 4, 4.0, None));
    if !stage.wait_for(10.0, || stage.workers().len() == 1) || !world.submit(&service) {
        return Err("the service isn't accepted".into());
    }
    if !stage.wait_for(10.0, || world.starts(&service.id) == 4) {
        return Err("the service doesn't start".into());
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
        let broken: Vec<Job> = (0..2).map(|n| bound(job(200 + n, "broken", "hub-ops", "standard", 1, 4.0, Some(30.0)))).collect();
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
    let from = Instant::now();
    let mut least_free = u64::MAX;
    while world.starts(&next.id) == 0 && from.elapsed() < Duration::from_secs(91) {
        least_free = least_free.min(stage.workers().iter().map(|w| w.free().0.min(w.free().1)).max().unwrap_or(0));
        thread::sleep(Duration::from_millis(500));
    }
    world.poll(&next.id);
    world.poll(&service.id);
    let waited = from.elapsed().as_secs_f64();
    let started = world.starts(&next.id) > 0;
    let running: usize = stage.workers().iter().map(|w| w.running(&service.id)).sum();
    let summary = format!(
        "{} after {waited:.0} s; all that time the machine had {} vcpus free, and it takes 4; {running} of 4 replicas of the service run there",
        if started { "the next job started" } else { "the next job has not started" }, least_free as f64 / 1e3
    );
    world.record.line(&summary);
    Ok((!started && waited >= 90.0 && least_free >= 4_000).then_some(summary))
}
