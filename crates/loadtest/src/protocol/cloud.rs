//! Interface of the cloud: catalog, list of instances, provisioning and deletion.

use serde::{Deserialize, Serialize};

/// Path of the catalog.
pub const CATALOG_PATH: &str = "/catalog";
/// Path to which deletions are posted.
pub const DELETE_PATH: &str = "/hosts/delete";
/// Error text for a request with a machine type that isn't in the catalog.
pub const UNKNOWN_MACHINE_TYPE: &str = "flavour";

/// A machine type of the catalog.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct MachineType<'a> {
    /// Name of the machine type.
    pub name: &'a str,
    /// Number of processors.
    pub vcpus: f64,
    /// Number of accelerators.
    pub accelerators: f64,
    /// Amount of memory.
    pub ram_gb: f64,
    /// Size of the local disk.
    pub local_gb: f64,
    /// Rate at which its workers pull images.
    pub pull_gb_per_s: f64,
    /// Price per hour on demand.
    #[serde(rename = "hourly")]
    pub hourly_price: f64,
    /// Price per hour as a spot instance.
    #[serde(rename = "marketPrice")]
    pub spot_hourly_price: f64,
    /// Time from a request to a ready worker.
    pub ready_s: f64,
    /// Zones that offer the machine type.
    #[serde(rename = "yards")]
    pub zones: Vec<&'a str>,
}

/// The catalog of all machine types.
#[derive(Debug, Serialize)]
pub struct Catalog<'a> {
    /// Machine types of the cloud.
    #[serde(rename = "flavours")]
    pub machine_types: Vec<MachineType<'a>>,
}

/// The state of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// The instance is requested and not up yet.
    Starting,
    /// The instance is up.
    Running,
    /// The instance has lost power.
    Failed,
}

/// An instance in the cloud's list.
#[derive(Debug, Clone, Serialize)]
pub struct ListedInstance {
    /// Name of the instance.
    #[serde(rename = "nameId")]
    pub name: String,
    /// Address of its worker.
    pub address: String,
    /// Machine type of the instance.
    #[serde(rename = "flavour")]
    pub machine_type: String,
    /// Zone of the instance.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the instance is a spot instance.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// State of the instance.
    #[serde(rename = "standing")]
    pub state: InstanceState,
    /// Time since the request for the instance.
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
    /// Idempotency key; the cloud answers a repeated request with the instances of the first one.
    #[serde(rename = "hire")]
    pub name: String,
    /// Requested machine type.
    #[serde(rename = "flavour")]
    pub machine_type: String,
    /// Requested zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot instances are requested.
    #[serde(rename = "reclaimable")]
    pub spot: bool,
    /// Number of requested instances.
    #[serde(rename = "number")]
    pub count: u32,
}

/// The instances provisioned for a request, which may be fewer than requested.
#[derive(Debug, Serialize)]
pub struct ProvisionAnswer {
    /// Names of the instances.
    #[serde(rename = "hosts")]
    pub names: Vec<String>,
}

/// A request to delete instances.
#[derive(Debug, Clone, Deserialize)]
pub struct DeleteRequest {
    /// Names of the instances.
    #[serde(rename = "hosts")]
    pub names: Vec<String>,
}

/// The answer to a deletion.
#[derive(Debug, Serialize)]
pub struct DeleteAnswer {}
