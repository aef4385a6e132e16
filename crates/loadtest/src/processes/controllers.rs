//! The real controller processes: their settings, their starts and ends.

use crate::environment::Environment;
use crate::network::partitions::lock;
use crate::network::peer_links::PeerLinks;
use crate::plan::{Plan, ZoneIndex};
use crate::processes::usage;
use std::fmt::Write;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio::process::{Child, Command};

/// How controllers are started.
#[derive(Debug, Clone)]
pub struct LaunchOptions {
    pub binary: PathBuf,
    /// Where settings and logs go.
    pub folder: PathBuf,
    pub log_level: String,
}

/// Addresses of one controller.
#[derive(Debug, Clone, Copy)]
pub struct ControllerAddresses {
    pub clients: SocketAddr,
    pub peers: SocketAddr,
    pub state: SocketAddr,
    pub cloud: SocketAddr,
}

enum Process {
    Runs(Child),
    /// Ended by a trouble.
    Away,
}

/// All controllers of a run.
pub struct Controllers {
    launch: LaunchOptions,
    settings: Vec<PathBuf>,
    pub zones: Vec<ZoneIndex>,
    pub clients: Vec<SocketAddr>,
    processes: Mutex<Vec<Process>>,
}

/// The name that a controller has in the settings.
pub fn controller_name(n: usize) -> String {
    format!("controller-{n}")
}

/// Number of the controller with a name.
pub fn controller_index(controller_name: &str) -> Option<usize> {
    controller_name.strip_prefix("controller-")?.parse().ok()
}

/// Ports that are tried lie between this one and those that the kernel gives to outgoing connections: one of
/// these might be taken while a controller is away.
const FIRST_PORT: u16 = 12_000;
const PORT_RANGE: &str = "/proc/sys/net/ipv4/ip_local_port_range";
/// What is taken for the end of the range where the kernel does not tell.
const USUAL_END: u16 = 32_768;
/// Processes side by side begin their search this far apart, by their ids.
const PORTS_APART: u32 = 1_009;
/// Ports looked at so far: runs of one process never take the same, also when they are played side by side.
static PORTS_SEEN: AtomicU32 = AtomicU32::new(0);

fn last_port() -> u16 {
    let text = std::fs::read_to_string(PORT_RANGE).unwrap_or_default();
    let first = text.split_whitespace().next().and_then(|n| n.parse().ok());
    let first: u16 = first.unwrap_or(USUAL_END);
    match first > FIRST_PORT {
        true => first,
        false => USUAL_END,
    }
}

/// Two free ports for each controller, clients' and siblings'.
pub async fn free_addresses(count: u32) -> std::io::Result<Vec<(SocketAddr, SocketAddr)>> {
    let span = u32::from(last_port() - FIRST_PORT);
    let begin = std::process::id().wrapping_mul(PORTS_APART);
    let mut addresses = Vec::new();
    for _ in 0..span {
        let n = PORTS_SEEN.fetch_add(1, Relaxed);
        let port = FIRST_PORT + (begin.wrapping_add(n) % span) as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).await.is_ok() {
            addresses.push(address);
        }
        if addresses.len() == 2 * count as usize {
            return Ok(addresses.chunks(2).map(|pair| (pair[0], pair[1])).collect());
        }
    }
    Err(std::io::Error::other("there are not enough free ports"))
}

fn settings(plan: &Plan, n: usize, own: ControllerAddresses, links: &PeerLinks) -> String {
    let zones = plan.zones();
    let zone = |n: u32| zones[plan.controller_zone(n).0].0;
    let mut text = String::new();
    let ControllerAddresses {
        clients,
        peers,
        state,
        cloud,
    } = own;
    let _ = write!(
        text,
        "member = \"{}\"\nlocation = \"{}\"\nclient_listen = \"{clients}\"\n\
         cluster_listen = \"{peers}\"\n",
        controller_name(n),
        zone(n as u32)
    );
    for other in (0..plan.controllers.count as usize).filter(|other| *other != n) {
        let _ = write!(
            text,
            "[[siblings]]\nmember = \"{}\"\nlocation = \"{}\"\npeer_addr = \"{}\"\n",
            controller_name(other),
            zone(other as u32),
            links.address(n, other)
        );
    }
    let names: Vec<String> = zones.iter().map(|(z, _)| format!("\"{z}\"")).collect();
    let _ = write!(
        text,
        "[outside]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n\
         [settings]\ncount = {}\nzones = [{}]\nclock_off_ms = 1000.0\n",
        plan.controllers.count,
        names.join(", ")
    );
    for team in 0..plan.teams.count {
        let _ = write!(
            text,
            "[[settings.teams]]\nname = \"{}\"\ncpus = {:?}\ncpus_max = {:?}\ngpus = 0.0\n\
             gpus_max = 0.0\n",
            team_name(team),
            plan.teams.cpus,
            plan.teams.cpus_max
        );
    }
    let (workers, limits, cloud) = (&plan.workers, &plan.state, &plan.cloud);
    let _ = write!(
        text,
        "[settings.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = 50.0\n\
         gang_peer_s = 6.0\ncancel_s = {:?}\n\
         [settings.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n\
         [settings.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n\
         [settings.quota]\ncpu_share = {:?}\nram_mb = {:?}\nsockets = {}\n",
        workers.report_s,
        workers.lease_s,
        workers.cancel_s,
        limits.rps,
        limits.write_rps,
        limits.value_kb,
        limits.txn_ops,
        cloud.rps,
        cloud.list_lag_s,
        plan.controllers.cpu_share,
        plan.controllers.ram_mb,
        plan.controllers.sockets
    );
    text
}

/// The name of a team.
pub fn team_name(n: u32) -> String {
    format!("team-{n:04}")
}

impl Controllers {
    /// Writes the settings of all controllers and starts these.
    pub fn start(
        environment: &Environment,
        launch: LaunchOptions,
        addresses: &[ControllerAddresses],
        links: &PeerLinks,
    ) -> std::io::Result<Arc<Controllers>> {
        let plan = &environment.plan;
        std::fs::create_dir_all(&launch.folder)?;
        let mut paths = Vec::new();
        for (n, own) in addresses.iter().enumerate() {
            let path = launch.folder.join(format!("{}.toml", controller_name(n)));
            std::fs::write(&path, settings(plan, n, *own, links))?;
            paths.push(path);
        }
        let all = 0..plan.controllers.count;
        let controllers = Controllers {
            settings: paths,
            zones: all.map(|n| plan.controller_zone(n)).collect(),
            clients: addresses.iter().map(|own| own.clients).collect(),
            processes: Mutex::default(),
            launch,
        };
        for n in 0..addresses.len() {
            let child = controllers.spawn(n)?;
            lock(&controllers.processes).push(Process::Runs(child));
        }
        Ok(Arc::new(controllers))
    }

    fn spawn(&self, n: usize) -> std::io::Result<Child> {
        let log = self
            .launch
            .folder
            .join(format!("{}.log", controller_name(n)));
        let log = File::options().create(true).append(true).open(log)?;
        Command::new(&self.launch.binary)
            .arg("--config")
            .arg(&self.settings[n])
            .env("LOG_LEVEL", &self.launch.log_level)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
    }

    pub fn count(&self) -> usize {
        self.settings.len()
    }

    /// Process ids of those that run, by controller.
    pub fn pids(&self) -> Vec<Option<u32>> {
        let processes = lock(&self.processes);
        let each = processes.iter().map(|process| match process {
            Process::Runs(child) => child.id(),
            Process::Away => None,
        });
        each.collect()
    }

    /// Which controller is at the other end of a connection from this address.
    pub fn at(&self, peer: SocketAddr) -> Option<usize> {
        let pids = self.pids();
        let running: Vec<u32> = pids.iter().flatten().copied().collect();
        let owner = usage::owner(peer, &running)?;
        pids.iter().position(|pid| *pid == Some(owner))
    }

    /// Kills a controller without notice.
    pub fn kill(&self, n: usize) {
        let mut processes = lock(&self.processes);
        if let Some(process) = processes.get_mut(n) {
            if let Process::Runs(child) = process {
                let _ = child.start_kill();
            }
            *process = Process::Away;
        }
    }

    /// Starts a controller that was killed.
    pub fn restart(&self, n: usize) -> std::io::Result<()> {
        let child = self.spawn(n)?;
        if let Some(process) = lock(&self.processes).get_mut(n) {
            *process = Process::Runs(child);
        }
        Ok(())
    }

    /// Controllers that ended although nothing ended them.
    pub fn ended_by_themselves(&self) -> Vec<usize> {
        let mut processes = lock(&self.processes);
        let mut ended = Vec::new();
        for (n, process) in processes.iter_mut().enumerate() {
            if let Process::Runs(child) = process {
                if matches!(child.try_wait(), Ok(Some(_))) {
                    ended.push(n);
                }
            }
        }
        ended
    }

    /// Ends all of them.
    pub fn end(&self) {
        for n in 0..self.count() {
            self.kill(n);
        }
    }
}
