//! What a node's process spends, from outside: real processes on loopback, with stand-ins of the
//! state service, the cloud, workers and users. Two builds are measured in turn, since machines
//! are noisy; what counts is the ratio of pairs.

mod cloud;
mod http;
mod state;
mod workers;

use clap::Parser;
use hyper::Client;
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::Ordering::Relaxed;
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::time::{sleep, Duration, Instant};

/// Seconds before what is measured: records are read, machines taken up, services started.
const WARM_S: u64 = 12;
/// Seconds between two polls of a user, by protocol.
const POLL_S: u64 = 5;

#[derive(Parser)]
#[command(
    version,
    about = "Measures what controller processes spend on loopback"
)]
struct Args {
    /// The build to measure
    #[arg(long, default_value = "target/release/glenmount")]
    binary: PathBuf,
    /// Another build, measured in turn with the first
    #[arg(long)]
    against: Option<PathBuf>,
    #[arg(long, default_value_t = 740, value_parser = clap::value_parser!(u64).range(1..=5000))]
    machines: u64,
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=7))]
    nodes: u64,
    /// Seconds between two reports of a worker
    #[arg(long, default_value_t = 3.0)]
    report_s: f64,
    /// Services that run throughout, of three tasks
    #[arg(long, default_value_t = 170, value_parser = clap::value_parser!(u64).range(0..=2000))]
    services: u64,
    /// Arrays of fifty tasks a minute
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(1..=600))]
    arrays_a_minute: u64,
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: u64,
    /// Pairs of runs
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=50))]
    pairs: u64,
}

/// What all nodes together spent.
#[derive(Clone, Copy, Default)]
struct Spent {
    seconds: f64,
    reports: f64,
    refused: f64,
    /// Processor seconds.
    cpu: f64,
    /// Of the busiest node.
    busiest: f64,
    /// MB at the peak, of the largest node.
    peak_mb: f64,
    tasks: f64,
    records: f64,
}

impl Spent {
    fn us_a_report(&self) -> f64 {
        self.cpu * 1e6 / self.reports.max(1.0)
    }
}

fn settings(n: u64, ports: &[u16], outside: (SocketAddr, SocketAddr), report_s: f64) -> String {
    let nodes = ports.len() / 2;
    let siblings: String = (0..nodes)
        .filter(|i| *i as u64 != n)
        .map(|i| {
            format!(
                "[[siblings]]\nmember = \"a-{i}\"\nlocation = \"z1\"\npeer_addr = \"127.0.0.1:{}\"\n",
                ports[2 * i + 1]
            )
        })
        .collect();
    let (client, cluster) = (ports[2 * n as usize], ports[2 * n as usize + 1]);
    let (cloud, state) = outside;
    format!(
        "member = \"a-{n}\"\nlocation = \"z1\"\nclient_listen = \"127.0.0.1:{client}\"\n\
         cluster_listen = \"127.0.0.1:{cluster}\"\n{siblings}\
         [outside]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n\
         [settings]\ncount = {nodes}\nzones = [\"z1\"]\nclock_off_ms = 1000.0\n\
         [[settings.teams]]\nname = \"t\"\ncpus = 20000.0\ncpus_max = 40000.0\ngpus = 0.0\n\
         gpus_max = 0.0\n\
         [settings.workers]\nreport_s = {report_s:?}\nlease_s = 14.0\ngang_wait_s = 50.0\n\
         gang_peer_s = 6.0\ncancel_s = 44.0\n\
         [settings.state]\nrps = 150.0\nwrite_rps = 50.0\nvalue_kb = 8.0\ntxn_ops = 16\n\
         [settings.cloud]\nrps = 4.0\nlist_lag_s = 4.0\n\
         [settings.quota]\ncpu_share = 0.12\nram_mb = 104.0\nsockets = 1200\n"
    )
}

fn job(id: u64, shape: &str, rank: &str, drops: u64, expect_s: f64) -> serde_json::Value {
    json!({"nameId": format!("j-{id:06}"), "jobclass": shape, "owner": "t", "shape": shape,
        "rank": rank, "drops": drops, "vcpus": 4.0, "accelerators": 0.0, "ramGb": 7.2,
        "bundle": format!("img-{}", id % 20), "pullGb": 1.0, "flavours": null, "yard": null,
        "together": false, "scatter": false, "reclaimable": shape == "array",
        "expectS": expect_s, "snapshotS": 0.0, "flushS": 0.0, "dueS": null})
}

/// Processor seconds and peak memory in MB of a process, as the kernel counts them.
fn counted(pid: u32) -> (f64, f64) {
    let read =
        |name: &str| std::fs::read_to_string(format!("/proc/{pid}/{name}")).unwrap_or_default();
    let sched = read("schedstat");
    let ns: f64 = sched
        .split(' ')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0.0);
    let status = read("status");
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let kb = peak.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok());
    (ns / 1e9, kb.unwrap_or(0.0) / 1024.0)
}

async fn user(nodes: Vec<SocketAddr>, at: usize, job: serde_json::Value) {
    let client = Client::builder().pool_max_idle_per_host(1).build_http();
    let node = |n: usize| format!("http://{}/v2/runs", nodes[n % nodes.len()]);
    let mut n = at;
    loop {
        match http::call(&client, true, node(n), Some(job.clone())).await {
            Some((200 | 201, _)) => break,
            _ => n += 1,
        }
        sleep(Duration::from_secs(1)).await;
    }
    let id = job["nameId"].as_str().unwrap_or("").to_string();
    loop {
        sleep(Duration::from_secs(POLL_S)).await;
        let told = http::call(&client, false, format!("{}/{id}", node(n)), None).await;
        if told.is_some_and(|(_, told)| told["standing"] == "done") {
            return;
        }
    }
}

async fn measure(binary: &Path, args: &Args) -> std::io::Result<Spent> {
    let dir = std::env::temp_dir().join(format!("glenmount-edge-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    let mut ports = Vec::new();
    for _ in 0..2 * args.nodes {
        let free = TcpListener::bind("127.0.0.1:0").await?;
        ports.push(free.local_addr()?.port());
    }
    let clients = ports.iter().step_by(2);
    let nodes: Vec<SocketAddr> = clients
        .map(|p| SocketAddr::from((Ipv4Addr::LOCALHOST, *p)))
        .collect();

    let state = state::State::new();
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let state_addr = listener.local_addr()?;
    let served = state.clone();
    http::serve(listener, move |_, method, path, body| {
        served.clone().serve(method, path, body)
    });

    let report = Duration::from_secs_f64(args.report_s);
    let runs = Duration::from_secs(40);
    let workers = workers::Workers::start(nodes.clone(), report, runs, args.services).await?;
    let cloud = cloud::Cloud::new(args.machines as usize);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let cloud_addr = listener.local_addr()?;
    let (served, with) = (cloud.clone(), workers.clone());
    http::serve(listener, move |_, _, path, body| {
        served.clone().serve(with.clone(), path, body)
    });

    let mut children: Vec<Child> = Vec::new();
    for n in 0..args.nodes {
        let path = dir.join(format!("{n}.toml"));
        std::fs::write(
            &path,
            settings(n, &ports, (cloud_addr, state_addr), args.report_s),
        )?;
        let child = Command::new(binary)
            .arg("--config")
            .arg(&path)
            .env("LOG_LEVEL", "error")
            .stderr(Stdio::inherit())
            .kill_on_drop(true)
            .spawn()?;
        children.push(child);
    }
    sleep(Duration::from_millis(500)).await;
    for n in 0..args.machines {
        cloud.boot(&workers, n % 3 == 0);
    }
    let mut users = Vec::new();
    for n in 0..args.services {
        let job = job(n, "daemon", "critical", 3, 0.0);
        users.push(tokio::spawn(user(nodes.clone(), n as usize, job)));
    }
    let (arrivals, every) = (
        nodes.clone(),
        Duration::from_secs(60) / args.arrays_a_minute as u32,
    );
    let first = args.services;
    users.push(tokio::spawn(async move {
        for n in first.. {
            let job = job(n, "array", "standard", 50, 40.0);
            tokio::spawn(user(arrivals.clone(), n as usize, job));
            sleep(every).await;
        }
    }));
    sleep(Duration::from_secs(WARM_S)).await;

    let pids: Vec<u32> = children.iter().filter_map(Child::id).collect();
    let begun = (
        Instant::now(),
        workers.reports.load(Relaxed),
        workers.refused.load(Relaxed),
    );
    let before: Vec<f64> = pids.iter().map(|p| counted(*p).0).collect();
    sleep(Duration::from_secs(args.seconds)).await;
    let after: Vec<(f64, f64)> = pids.iter().map(|p| counted(*p)).collect();
    let each: Vec<f64> = after.iter().zip(&before).map(|((a, _), b)| a - b).collect();
    let seconds = begun.0.elapsed().as_secs_f64();
    let spent = Spent {
        seconds,
        reports: (workers.reports.load(Relaxed) - begun.1) as f64,
        refused: (workers.refused.load(Relaxed) - begun.2) as f64,
        cpu: each.iter().sum(),
        busiest: each.iter().cloned().fold(0.0, f64::max) / seconds,
        peak_mb: after.iter().map(|(_, mb)| *mb).fold(0.0, f64::max),
        tasks: workers.running() as f64,
        records: state.records() as f64,
    };
    for user in users {
        user.abort();
    }
    for mut child in children {
        child.kill().await?;
    }
    let _ = std::fs::remove_dir_all(&dir);
    Ok(spent)
}

fn row(name: &str, s: &Spent) {
    println!(
        "{name:8} reports/s {:6.1} (refused {:.0})  us/report {:7.1}  busiest {:6.2}%  peak {:5.1} MB  \
         tasks {:.0}  records {:.0}",
        s.reports / s.seconds,
        s.refused,
        s.us_a_report(),
        s.busiest * 100.0,
        s.peak_mb,
        s.tasks,
        s.records
    );
}

fn median(mut of: Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    of[of.len() / 2]
}

fn main() -> std::io::Result<()> {
    let args = Args::parse();
    // A runtime of its own for each run: what is left of one ends with it.
    let run = |binary: &Path| {
        let runtime = tokio::runtime::Runtime::new()?;
        let spent = runtime.block_on(measure(binary, &args));
        runtime.shutdown_background();
        spent
    };
    let mut ratios = Vec::new();
    for pair in 0..args.pairs {
        // Whichever runs first after a pause spends more: they take turns at that.
        let first = pair % 2 == 0;
        let other = match &args.against {
            Some(other) if !first => Some(run(other)?),
            _ => None,
        };
        let this = run(&args.binary)?;
        row("this", &this);
        let other = match (&args.against, other) {
            (Some(other), None) => Some(run(other)?),
            (_, other) => other,
        };
        if let Some(other) = other {
            row("against", &other);
            ratios.push((
                this.us_a_report() / other.us_a_report(),
                this.peak_mb / other.peak_mb,
            ));
        }
    }
    if !ratios.is_empty() {
        let (cpu, memory): (Vec<f64>, Vec<f64>) = ratios.into_iter().unzip();
        println!(
            "this / against, median: processor {:.3}, peak memory {:.3}",
            median(cpu),
            median(memory)
        );
    }
    Ok(())
}
