//! Messages between the controller and the cloud.

use glenmount_core::model::{
    have_milli, CloudInstance, CloudInstanceState, MachineType, Resources,
};
use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
struct Catalog {
    flavours: Vec<Flavour>,
}

#[derive(Deserialize)]
struct Flavour {
    name: String,
    vcpus: f64,
    #[serde(default)]
    accelerators: f64,
    #[serde(rename = "ramGb")]
    ram_gb: f64,
    #[serde(rename = "localGb", default)]
    local_gb: f64,
    #[serde(rename = "pullGbPerS", default)]
    pull_gb_per_s: f64,
    #[serde(default)]
    hourly: f64,
    #[serde(rename = "marketPrice", default)]
    market_price: Option<f64>,
    #[serde(rename = "readyS", default)]
    ready_s: f64,
    #[serde(default)]
    yards: Vec<String>,
}

pub fn catalog(body: &[u8]) -> Option<Vec<MachineType>> {
    let c: Catalog = serde_json::from_slice(body).ok()?;
    Some(
        c.flavours
            .into_iter()
            .map(|f| MachineType {
                name: f.name,
                room: Resources {
                    cpus: have_milli(f.vcpus),
                    gpus: have_milli(f.accelerators),
                    ram: have_milli(f.ram_gb),
                },
                cache_gb: f.local_gb,
                fetch_gb_per_s: f.pull_gb_per_s,
                price: f.hourly,
                spot_price: f.market_price.unwrap_or(0.0),
                boot_s: f.ready_s,
                zones: f.yards,
            })
            .collect(),
    )
}

#[derive(Serialize)]
pub struct ProvisioningRequest<'a> {
    #[serde(rename = "hire")]
    pub instance_request: &'a str,
    pub flavour: &'a str,
    pub yard: &'a str,
    pub reclaimable: bool,
    pub number: u32,
}

#[derive(Deserialize)]
struct Names {
    #[serde(rename = "hosts")]
    instances: Vec<String>,
}

pub fn hired(body: &[u8]) -> Option<Vec<String>> {
    serde_json::from_slice::<Names>(body)
        .ok()
        .map(|n| n.instances)
}

#[derive(Deserialize)]
struct HostList {
    #[serde(rename = "hosts")]
    instances: Vec<HostItem>,
    #[serde(default)]
    more: bool,
}

#[derive(Deserialize)]
struct HostItem {
    #[serde(rename = "nameId")]
    name: String,
    #[serde(default)]
    address: Option<String>,
    flavour: String,
    yard: String,
    reclaimable: bool,
    standing: String,
    #[serde(rename = "ageS", default)]
    age_s: f64,
}

pub fn instances(body: &[u8]) -> Option<(Vec<CloudInstance>, bool)> {
    let list: HostList = serde_json::from_slice(body).ok()?;
    let instances = list
        .instances
        .into_iter()
        .map(|h| CloudInstance {
            name: h.name,
            address: h.address.unwrap_or_default(),
            type_name: h.flavour,
            zone: h.yard,
            spot: h.reclaimable,
            state: match h.standing.as_str() {
                "starting" => CloudInstanceState::Booting,
                "failed" => CloudInstanceState::Failed,
                _ => CloudInstanceState::Running,
            },
            age_s: h.age_s,
        })
        .collect();
    Some((instances, list.more))
}
