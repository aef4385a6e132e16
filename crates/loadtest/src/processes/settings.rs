//! Settings file of a controller, in the form that an operator writes.

use super::ports::ListenAddresses;
use crate::network::peer_links::PeerLinks;
use crate::plan::Plan;
use std::fmt::{self, Write};
use std::net::SocketAddr;

/// The addresses in a controller's settings, except those of its peers.
#[derive(Debug, Clone, Copy)]
pub struct ControllerAddresses {
    /// Addresses at which the controller listens.
    pub listen: ListenAddresses,
    /// Address of the state store for this controller.
    pub state_store: SocketAddr,
    /// Address of the cloud for this controller.
    pub cloud: SocketAddr,
}

/// Returns the name of a controller in the settings.
pub fn controller_name(index: usize) -> String {
    format!("controller-{index}")
}

/// Returns the index of the controller with a name.
pub fn controller_index(name: &str) -> Option<usize> {
    name.strip_prefix("controller-")?.parse().ok()
}

/// Returns the name of a team.
pub fn team_name(index: u32) -> String {
    format!("team-{index:04}")
}

/// The inputs of one controller's settings file.
pub struct ControllerSettings<'a> {
    /// Plan of the run.
    pub plan: &'a Plan,
    /// Index of the controller.
    pub controller: usize,
    /// Addresses of the controller.
    pub addresses: ControllerAddresses,
    /// Links to its peers.
    pub links: &'a PeerLinks,
}

impl ControllerSettings<'_> {
    /// Returns the text of the settings file.
    pub fn to_toml(&self) -> String {
        let mut text = String::new();
        let written = self
            .write_controller(&mut text)
            .and_then(|()| self.write_peers(&mut text))
            .and_then(|()| self.write_cluster(&mut text))
            .and_then(|()| self.write_teams(&mut text))
            .and_then(|()| self.write_limits(&mut text));
        written.expect("writing to a string can't fail");
        text
    }

    fn zone_of(&self, controller: usize) -> &str {
        let zone = self.plan.controller_zone(controller as u32);
        self.plan.zone_name(zone)
    }

    fn write_controller(&self, text: &mut String) -> fmt::Result {
        let ListenAddresses { clients, peers } = self.addresses.listen;
        write!(
            text,
            "member = \"{}\"\nlocation = \"{}\"\nclient_listen = \"{clients}\"\n\
             cluster_listen = \"{peers}\"\n",
            controller_name(self.controller),
            self.zone_of(self.controller)
        )
    }

    fn write_peers(&self, text: &mut String) -> fmt::Result {
        let count = self.plan.controllers.count as usize;
        for peer in (0..count).filter(|peer| *peer != self.controller) {
            write!(
                text,
                "[[siblings]]\nmember = \"{}\"\nlocation = \"{}\"\npeer_addr = \"{}\"\n",
                controller_name(peer),
                self.zone_of(peer),
                self.links.address(self.controller, peer)
            )?;
        }
        Ok(())
    }

    fn write_cluster(&self, text: &mut String) -> fmt::Result {
        let zones = self.plan.zones().into_iter();
        let zones: Vec<String> = zones.map(|zone| format!("\"{}\"", zone.name)).collect();
        write!(
            text,
            "[outside]\ncloud = \"{}\"\nstate = \"{}\"\n\
             [settings]\ncount = {}\nzones = [{}]\nclock_off_ms = 1000.0\n",
            self.addresses.cloud,
            self.addresses.state_store,
            self.plan.controllers.count,
            zones.join(", ")
        )
    }

    fn write_teams(&self, text: &mut String) -> fmt::Result {
        for team in 0..self.plan.teams.count {
            write!(
                text,
                "[[settings.teams]]\nname = \"{}\"\ncpus = {:?}\ncpus_max = {:?}\ngpus = 0.0\n\
                 gpus_max = 0.0\n",
                team_name(team),
                self.plan.teams.guaranteed_cpus,
                self.plan.teams.cpu_limit
            )?;
        }
        Ok(())
    }

    fn write_limits(&self, text: &mut String) -> fmt::Result {
        let Plan {
            workers,
            state,
            cloud,
            controllers,
            ..
        } = self.plan;
        write!(
            text,
            "[settings.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = 50.0\n\
             gang_peer_s = 6.0\ncancel_s = {:?}\n\
             [settings.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n\
             [settings.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n\
             [settings.quota]\ncpu_share = {:?}\nram_mb = {:?}\nsockets = {}\n",
            workers.heartbeat_interval_s,
            workers.lease_s,
            workers.cancel_within_s,
            state.requests_per_s,
            state.changes_per_s,
            state.max_value_kb,
            state.max_changes,
            cloud.requests_per_s,
            cloud.list_lag_s,
            controllers.cpu_share,
            controllers.ram_mb,
            controllers.sockets
        )
    }
}
