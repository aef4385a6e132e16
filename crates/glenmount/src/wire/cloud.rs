//! Messages between the controller and the cloud: the catalog of machine types, provisioning, deletion and
//! lists of instances.

use super::to_json;
use glenmount_core::constants::INSTANCE_LIST_PAGE;
use glenmount_core::controller::CloudResponse;
use glenmount_core::model::{
    floor_milli, CloudInstance, CloudInstanceState, MachineType, Resources,
};
use serde::{Deserialize, Serialize};

/// Path of the catalog of machine types.
pub const CATALOG_PATH: &str = "/catalog";
/// Path of provisioning requests and of the list of instances.
pub const INSTANCES_PATH: &str = "/hosts";
/// Path of requests to delete instances.
pub const DELETE_PATH: &str = "/hosts/delete";
/// Text in a refused provisioning request when the cloud currently has no capacity for it.
pub const NO_CAPACITY: &str = "no capacity";

#[derive(Deserialize)]
struct Catalog {
    #[serde(rename = "flavours")]
    machine_types: Vec<CatalogEntry>,
}

#[derive(Deserialize)]
struct CatalogEntry {
    name: String,
    #[serde(rename = "vcpus")]
    cpus: f64,
    #[serde(rename = "accelerators", default)]
    gpus: f64,
    #[serde(rename = "ramGb")]
    ram_gb: f64,
    #[serde(rename = "localGb", default)]
    image_cache_gb: f64,
    #[serde(rename = "pullGbPerS", default)]
    image_pull_gb_per_s: f64,
    #[serde(rename = "hourly", default)]
    price_per_hour: f64,
    #[serde(rename = "marketPrice", default)]
    spot_price_per_hour: Option<f64>,
    #[serde(rename = "readyS", default)]
    boot_s: f64,
    #[serde(rename = "yards", default)]
    zones: Vec<String>,
}

impl CatalogEntry {
    fn into_machine_type(self) -> MachineType {
        MachineType {
            name: self.name,
            capacity: Resources {
                cpus: floor_milli(self.cpus),
                gpus: floor_milli(self.gpus),
                ram: floor_milli(self.ram_gb),
                ..Resources::default()
            },
            cache_gb: self.image_cache_gb,
            fetch_gb_per_s: self.image_pull_gb_per_s,
            price: self.price_per_hour,
            spot_price: self.spot_price_per_hour.unwrap_or(0.0),
            boot_s: self.boot_s,
            zones: self.zones,
        }
    }
}

/// Parses the catalog of machine types. Returns `None` if it is malformed.
pub fn read_catalog(body: &[u8]) -> Option<Vec<MachineType>> {
    let catalog: Catalog = serde_json::from_slice(body).ok()?;
    let entries = catalog.machine_types.into_iter();
    Some(entries.map(CatalogEntry::into_machine_type).collect())
}

/// A request to provision instances. The cloud executes requests with the same idempotency key only once.
#[derive(Serialize)]
pub struct ProvisioningRequest<'a> {
    #[serde(rename = "hire")]
    pub idempotency_key: &'a str,
    #[serde(rename = "flavour")]
    pub machine_type: &'a str,
    #[serde(rename = "yard")]
    pub zone: &'a str,
    #[serde(rename = "reclaimable")]
    pub is_spot: bool,
    #[serde(rename = "number")]
    pub count: u32,
}

impl ProvisioningRequest<'_> {
    /// Serializes the request.
    pub fn to_json(&self) -> String {
        to_json(self)
    }
}

#[derive(Deserialize)]
struct ProvisionedInstances {
    #[serde(rename = "hosts")]
    names: Vec<String>,
}

/// Parses the names of the provisioned instances. Returns `None` if the response is malformed.
pub fn read_provisioned(body: &[u8]) -> Option<Vec<String>> {
    let instances: ProvisionedInstances = serde_json::from_slice(body).ok()?;
    Some(instances.names)
}

#[derive(Serialize)]
struct DeletionRequest<'a> {
    #[serde(rename = "hosts")]
    names: &'a [String],
}

/// Serializes a request to delete instances.
pub fn deletion_request(names: &[String]) -> String {
    to_json(&DeletionRequest { names })
}

/// Returns the path of a page of the list of instances: the first page, or the page after an instance.
pub fn instances_page_path(after: Option<&str>) -> String {
    let cursor = after.map_or(String::new(), |name| format!("since={name}&"));
    format!("{INSTANCES_PATH}?{cursor}most={INSTANCE_LIST_PAGE}")
}

#[derive(Deserialize)]
struct InstancePage {
    #[serde(rename = "hosts")]
    instances: Vec<Instance>,
    #[serde(rename = "more", default)]
    has_more: bool,
}

#[derive(Deserialize)]
struct Instance {
    #[serde(rename = "nameId")]
    name: String,
    #[serde(default)]
    address: Option<String>,
    #[serde(rename = "flavour")]
    machine_type: String,
    #[serde(rename = "yard")]
    zone: String,
    #[serde(rename = "reclaimable")]
    is_spot: bool,
    #[serde(rename = "standing")]
    state: String,
    #[serde(rename = "ageS", default)]
    age_s: f64,
}

impl Instance {
    fn into_cloud_instance(self) -> CloudInstance {
        CloudInstance {
            name: self.name,
            address: self.address.unwrap_or_default(),
            type_name: self.machine_type,
            zone: self.zone,
            spot: self.is_spot,
            state: match self.state.as_str() {
                "starting" => CloudInstanceState::Booting,
                "failed" => CloudInstanceState::Failed,
                _ => CloudInstanceState::Running,
            },
            age_s: self.age_s,
        }
    }
}

/// Parses a page of the list of instances. Returns `None` if it is malformed.
pub fn read_instances(body: &[u8]) -> Option<CloudResponse> {
    let page: InstancePage = serde_json::from_slice(body).ok()?;
    let instances = page
        .instances
        .into_iter()
        .map(Instance::into_cloud_instance);
    Some(CloudResponse::Instances {
        instances: instances.collect(),
        more: page.has_more,
    })
}
