//! Start, restart and end of the controller processes.

use super::settings::{controller_name, ControllerAddresses, ControllerSettings};
use super::usage::socket_owner;
use crate::network::peer_links::PeerLinks;
use crate::plan::{Plan, ZoneIndex};
use crate::sync::lock;
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use tokio::process::{Child, Command};

/// The options for starting controllers.
#[derive(Debug, Clone)]
pub struct LaunchOptions {
    /// Path of the controller's executable.
    pub binary: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Value of `LOG_LEVEL` for the controllers.
    pub log_level: String,
}

enum Process {
    Running(Child),
    /// The process was killed by a fault or at the end of the run.
    Killed,
}

/// The controllers of a run.
pub struct Controllers {
    launch: LaunchOptions,
    settings: Vec<PathBuf>,
    /// Zone of each controller.
    pub zones: Vec<ZoneIndex>,
    /// Address of each controller for users and workers.
    pub client_addresses: Vec<SocketAddr>,
    processes: Mutex<Vec<Process>>,
}

impl Controllers {
    /// Writes the settings files of all controllers and starts the processes.
    pub fn start(
        plan: &Plan,
        launch: LaunchOptions,
        addresses: &[ControllerAddresses],
        links: &PeerLinks,
    ) -> io::Result<Arc<Controllers>> {
        fs::create_dir_all(&launch.folder)?;
        let mut settings = Vec::new();
        for (controller, addresses) in addresses.iter().enumerate() {
            let path = launch
                .folder
                .join(format!("{}.toml", controller_name(controller)));
            let text = ControllerSettings {
                plan,
                controller,
                addresses: *addresses,
                links,
            };
            fs::write(&path, text.to_toml())?;
            settings.push(path);
        }
        let clients = addresses.iter().map(|addresses| addresses.listen.clients);
        let controllers = Controllers {
            settings,
            zones: plan.controller_zones(),
            client_addresses: clients.collect(),
            processes: Mutex::default(),
            launch,
        };
        for controller in 0..addresses.len() {
            let child = controllers.spawn(controller)?;
            lock(&controllers.processes).push(Process::Running(child));
        }
        Ok(Arc::new(controllers))
    }

    fn spawn(&self, controller: usize) -> io::Result<Child> {
        let name = format!("{}.log", controller_name(controller));
        let log = self.launch.folder.join(name);
        let log = File::options().create(true).append(true).open(log)?;
        Command::new(&self.launch.binary)
            .arg("--config")
            .arg(&self.settings[controller])
            .env("LOG_LEVEL", &self.launch.log_level)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
    }

    /// Returns the number of controllers, including killed ones.
    pub fn count(&self) -> usize {
        self.settings.len()
    }

    /// Returns the process id of each running controller, by index; `None` for a killed one.
    pub fn process_ids(&self) -> Vec<Option<u32>> {
        let processes = lock(&self.processes);
        let ids = processes.iter().map(|process| match process {
            Process::Running(child) => child.id(),
            Process::Killed => None,
        });
        ids.collect()
    }

    /// Returns the index of the controller that holds the socket with this peer address.
    pub fn owner_of(&self, peer: SocketAddr) -> Option<usize> {
        let process_ids = self.process_ids();
        let running: Vec<u32> = process_ids.iter().flatten().copied().collect();
        let owner = socket_owner(peer, &running)?;
        process_ids.iter().position(|id| *id == Some(owner))
    }

    /// Kills a controller with SIGKILL.
    pub fn kill(&self, controller: usize) {
        let mut processes = lock(&self.processes);
        if let Some(process) = processes.get_mut(controller) {
            if let Process::Running(child) = process {
                // Killing fails only for a process that has already exited.
                let _ = child.start_kill();
            }
            *process = Process::Killed;
        }
    }

    /// Starts a killed controller again.
    pub fn restart(&self, controller: usize) -> io::Result<()> {
        let child = self.spawn(controller)?;
        if let Some(process) = lock(&self.processes).get_mut(controller) {
            *process = Process::Running(child);
        }
        Ok(())
    }

    /// Returns the controllers that exited although the run did not kill them.
    pub fn unexpected_exits(&self) -> Vec<usize> {
        let mut processes = lock(&self.processes);
        let mut exited = Vec::new();
        for (controller, process) in processes.iter_mut().enumerate() {
            if let Process::Running(child) = process {
                if matches!(child.try_wait(), Ok(Some(_))) {
                    exited.push(controller);
                }
            }
        }
        exited
    }

    /// Kills all controllers.
    pub fn kill_all(&self) {
        for controller in 0..self.count() {
            self.kill(controller);
        }
    }
}
