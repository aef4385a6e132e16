//! The cloud's interface: catalog, list of instances, provisioning and deletion.

use serde::{Deserialize, Serialize};

/// Path of the catalog.
pub const CATALOG_PATH: &str = "/catalog";
/// Path to which deletions are posted.
pub const DELETE_PATH: &str = "/hosts/delete";
/// The error of a request for a machine type that the catalog has not.
pub const UNKNOWN_MACHINE_TYPE: &str = "flavour";

/// A type of machine that can be provisioned.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct MachineType<'a> {
    /// Its name.
    pub name: &'a str,
    /// Processors.
    pub vcpus: f64,
    /// Accelerators.
    pub accelerators: f64,
    /// Memory.
    pub ram_gb: f64,
    /// Local disk.
    pub local_gb: f64,
    /// Rate at which it pulls images.
    pub pull_gb_per_s: f64,
    /// Price of an hour on demand.
    #[serde(rename = "hourly")]
    pub hourly_price: f64,
    /// Price of an hour as a spot instance.
    #[serde(rename = "marketPrice")]
    pub spot_hourly_price: f64,
    /// Seconds from a request to a worker that is ready.
    pub ready_s: f64,
    /// Zones that have it.
    #[serde(rename = "yards")]
    pub zones: Vec<&'a str>,
}

/// All machine types.
#[derive(Debug, Serialize)]
pub struct Catalog<'a> {
    /// The types.
    #[serde(rename = "flavours")]
    pub machine_types: Vec<MachineType<'a>>,
}

/// Where an instance stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// Requested, not up yet.
    Starting,
    /// Up.
    Running,
    /// It has lost its power.
    Failed,
}

/// An instance in the cloud's list.
#[derive(Debug, Clone, Serialize)]
pub struct ListedInstance {
    /// Its name.
    #[serde(rename = "nameId")]
    pub name: String,
    /// Its worker's address.
    pub address: String,
    /// Its machine type.
    #[serde(rename = "flavour")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot instance.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// Where it stands.
    #[serde(rename = "standing")]
    pub state: InstanceState,
    /// Seconds since it was requested.
    #[serde(rename = "ageS")]
    pub age_s: f64,
}

/// One page of the list of instances.
#[derive(Debug, Serialize)]
pub struct InstancePage {
    /// Instances in the order of their names.
    #[serde(rename = "hosts")]
    pub instances: Vec<ListedInstance>,
    /// Whether another page follows.
    pub more: bool,
}

/// A request for new instances.
#[derive(Debug, Clone, Deserialize)]
pub struct ProvisionRequest {
    /// Idempotency key: a repeated request gets the first one's answer.
    #[serde(rename = "hire")]
    pub name: String,
    /// The machine type that is wanted.
    #[serde(rename = "flavour")]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot instances are wanted.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// How many are wanted.
    #[serde(rename = "number")]
    pub count: u32,
}

/// The instances that a request got, which may be fewer than it wanted.
#[derive(Debug, Serialize)]
pub struct ProvisionAnswer {
    /// Their names.
    #[serde(rename = "hosts")]
    pub names: Vec<String>,
}

/// A request to delete instances.
#[derive(Debug, Clone, Deserialize)]
pub struct DeleteRequest {
    /// Their names.
    #[serde(rename = "hosts")]
    pub names: Vec<String>,
}

/// The answer to a deletion.
#[derive(Debug, Serialize)]
pub struct DeleteAnswer {}
