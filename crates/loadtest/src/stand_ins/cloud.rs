//! Stand-in of the cloud with one machine type, idempotent provisioning requests, stale instance lists and
//! a rate limit.

use super::token_bucket::TokenBucket;
use super::worker_fleet::{Reservation, WorkerFleet, MACHINE_TYPE};
use crate::environment::Environment;
use crate::measurement::traffic::ExchangeKind;
use crate::network::http::{bind_loopback, serve, Answer, IncomingRequest};
use crate::network::partitions::Site;
use crate::plan::ZoneIndex;
use crate::protocol::cloud::{
    Catalog, DeleteAnswer, DeleteRequest, InstancePage, InstanceState, ListedInstance, MachineType,
    ProvisionAnswer, ProvisionRequest, CATALOG_PATH, DELETE_PATH, UNKNOWN_MACHINE_TYPE,
};
use crate::sync::lock;
use hyper::Method;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::ops::{Bound, Range};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use tokio::time::{sleep, Duration};

/// Burst of the rate limit, in seconds' worth of requests, by protocol.
const BURST_S: f64 = 2.0;
/// Upper bounds by protocol: instances of one provisioning request, names of one deletion, entries of one
/// page.
const MAX_PROVISIONED_INSTANCES: u32 = 50;
const MAX_DELETED_NAMES: usize = 100;
const MAX_PAGE_INSTANCES: usize = 500;
/// Time for which an instance without power is still listed as running.
const FAILURE_LAG_MS: i64 = 30_000;
/// Range of boot times, relative to the plan's boot time.
const BOOT_TIME_FACTORS: Range<f64> = 0.6..1.5;
/// Age of the instances that are up when the run begins.
const INITIAL_AGE_MS: i64 = 600_000;
const HOURLY_PRICE: f64 = 0.8;
const SPOT_HOURLY_PRICE: f64 = 0.3;
const LOCAL_DISK_GB: f64 = 60.0;

/// An instance with the times of its state changes, since lists show an earlier state. Times are milliseconds
/// since the start of the run, negative before it.
struct Instance {
    reservation: Reservation,
    zone: ZoneIndex,
    spot: bool,
    requested_ms: i64,
    up_ms: Option<i64>,
    failed_ms: Option<i64>,
    deleted_ms: Option<i64>,
}

impl Instance {
    fn new(reservation: Reservation, zone: ZoneIndex, spot: bool, requested_ms: i64) -> Instance {
        Instance {
            reservation,
            zone,
            spot,
            requested_ms,
            up_ms: None,
            failed_ms: None,
            deleted_ms: None,
        }
    }

    /// Returns whether the instance counts against the capacity of a zone.
    fn uses_capacity_of(&self, zone: ZoneIndex) -> bool {
        self.zone == zone && self.deleted_ms.is_none() && self.failed_ms.is_none()
    }

    /// Returns the state at an earlier time; `None` if the instance did not exist then.
    fn state_at(&self, at_ms: i64) -> Option<InstanceState> {
        let had_happened = |event_ms: Option<i64>| event_ms.is_some_and(|ms| ms <= at_ms);
        if self.requested_ms > at_ms || had_happened(self.deleted_ms) {
            return None;
        }
        Some(
            match (had_happened(self.failed_ms), had_happened(self.up_ms)) {
                (true, _) => InstanceState::Failed,
                (false, true) => InstanceState::Running,
                (false, false) => InstanceState::Starting,
            },
        )
    }
}

#[derive(Default)]
struct Instances {
    by_name: BTreeMap<String, Instance>,
    /// Names of the instances provisioned for each request, by idempotency key.
    by_request: HashMap<String, Vec<String>>,
}

/// The cloud with its injected faults.
pub struct Cloud {
    environment: Arc<Environment>,
    fleet: Arc<WorkerFleet>,
    instances: Mutex<Instances>,
    rate_limit: Mutex<TokenBucket>,
    is_down: AtomicBool,
}

impl Cloud {
    /// Creates a cloud without instances.
    pub fn new(environment: Arc<Environment>, fleet: Arc<WorkerFleet>) -> Arc<Cloud> {
        let rate_limit = TokenBucket::new(environment.plan.cloud.requests_per_s, BURST_S);
        Arc::new(Cloud {
            fleet,
            instances: Mutex::default(),
            rate_limit: Mutex::new(rate_limit),
            is_down: AtomicBool::new(false),
            environment,
        })
    }

    /// Opens an address for the controller in a zone.
    pub async fn listen(self: &Arc<Self>, zone: ZoneIndex) -> io::Result<SocketAddr> {
        let (listener, address) = bind_loopback().await?;
        let cloud = self.clone();
        serve(listener, move |request| {
            let cloud = cloud.clone();
            async move { cloud.serve(request, zone).await }
        });
        Ok(address)
    }

    /// Begins or ends an outage.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Relaxed);
    }

    /// Boots the instances that are up when the run begins, evenly over the zones.
    pub fn boot_initial(&self, count: u32) {
        let zones = self.environment.plan.zones().len();
        for index in 0..count as usize {
            let zone = ZoneIndex(index % zones);
            let reservation = self.fleet.reserve();
            let name = reservation.name.clone();
            let mut instance = Instance::new(reservation.clone(), zone, false, -INITIAL_AGE_MS);
            instance.up_ms = Some(-INITIAL_AGE_MS);
            lock(&self.instances).by_name.insert(name, instance);
            self.fleet.boot(&reservation, zone, false);
        }
    }

    /// Records that an instance lost power; it is listed as failed after [`FAILURE_LAG_MS`].
    pub fn mark_failed(&self, name: &str) {
        let listed_ms = self.now_ms() + FAILURE_LAG_MS;
        if let Some(instance) = lock(&self.instances).by_name.get_mut(name) {
            instance.failed_ms.get_or_insert(listed_ms);
        }
    }

    /// Deletes an instance and powers its worker off.
    pub fn delete(&self, name: &str) {
        self.fleet.remove(name);
        let now_ms = self.now_ms();
        if let Some(instance) = lock(&self.instances).by_name.get_mut(name) {
            instance.deleted_ms.get_or_insert(now_ms);
        }
    }

    fn now_ms(&self) -> i64 {
        self.environment.now_ms() as i64
    }

    async fn serve(self: Arc<Self>, request: IncomingRequest, zone: ZoneIndex) -> Answer {
        let site = Site::Zone(zone);
        let network = &self.environment.network;
        network.wait_until_reachable(site, Site::Outside).await;
        let latency_ms = self.environment.plan.cloud.latency_ms;
        sleep(Duration::from_secs_f64(latency_ms / 1_000.0)).await;
        let kind = exchange_kind(&request);
        let answer = self.answer(kind, &request);
        network.wait_until_reachable(Site::Outside, site).await;
        let traffic = &self.environment.traffic;
        traffic.count(kind, request.bytes, answer.bytes());
        answer
    }

    fn answer(self: &Arc<Self>, kind: ExchangeKind, request: &IncomingRequest) -> Answer {
        if self.is_down.load(Relaxed) {
            return Answer::error(503, "trouble");
        }
        if !lock(&self.rate_limit).take(1.0, self.environment.now_ms()) {
            return Answer::error(429, "too many calls");
        }
        match kind {
            ExchangeKind::CloudCatalog => self.answer_catalog(),
            ExchangeKind::CloudList => self.answer_list(request),
            ExchangeKind::CloudDelete => self.answer_delete(request),
            _ => self.answer_provision(request),
        }
    }

    fn answer_catalog(&self) -> Answer {
        let plan = &self.environment.plan;
        let zones = plan.zones().into_iter();
        let machine_type = MachineType {
            name: MACHINE_TYPE,
            vcpus: plan.workers.cpus,
            accelerators: 0.0,
            ram_gb: plan.workers.ram_gb,
            local_gb: LOCAL_DISK_GB,
            pull_gb_per_s: plan.workers.image_gb_per_s,
            hourly_price: HOURLY_PRICE,
            spot_hourly_price: SPOT_HOURLY_PRICE,
            ready_s: plan.cloud.boot_s,
            zones: zones.map(|zone| zone.name).collect(),
        };
        let machine_types = vec![machine_type];
        Answer::json(200, &Catalog { machine_types })
    }

    fn answer_list(&self, request: &IncomingRequest) -> Answer {
        let max_lag_ms = self.environment.plan.cloud.list_lag_s * 1_000.0;
        let lag_ms = self.environment.draw(0.0..=max_lag_ms.max(1.0)) as i64;
        let observed_ms = self.now_ms() - lag_ms;
        let after_name = request.query_value("since").to_string();
        let requested = request.query_number("most").map(|most| most as usize);
        let page_size = requested
            .unwrap_or(MAX_PAGE_INSTANCES)
            .min(MAX_PAGE_INSTANCES);
        let instances = lock(&self.instances);
        let following = instances
            .by_name
            .range((Bound::Excluded(after_name), Bound::Unbounded));
        let mut listed =
            following.filter_map(|(name, instance)| self.listed(name, instance, observed_ms));
        let page: Vec<ListedInstance> = listed.by_ref().take(page_size).collect();
        let page = InstancePage {
            instances: page,
            more: listed.next().is_some(),
        };
        Answer::json(200, &page)
    }

    fn listed(&self, name: &str, instance: &Instance, observed_ms: i64) -> Option<ListedInstance> {
        let state = instance.state_at(observed_ms)?;
        let zone = self.environment.plan.zone_name(instance.zone);
        Some(ListedInstance {
            name: name.to_string(),
            address: instance.reservation.address.to_string(),
            machine_type: MACHINE_TYPE.to_string(),
            zone: zone.to_string(),
            spot: instance.spot,
            state,
            age_s: (observed_ms - instance.requested_ms) as f64 / 1_000.0,
        })
    }

    fn answer_provision(self: &Arc<Self>, request: &IncomingRequest) -> Answer {
        let provision = serde_json::from_slice::<ProvisionRequest>(&request.body).ok();
        let provision =
            provision.filter(|wanted| (1..=MAX_PROVISIONED_INSTANCES).contains(&wanted.count));
        let Some(provision) = provision else {
            return Answer::error(400, "malformed");
        };
        let Some(zone) = self.environment.plan.zone(&provision.zone) else {
            return Answer::error(400, "malformed");
        };
        if provision.machine_type != MACHINE_TYPE {
            return Answer::error(400, UNKNOWN_MACHINE_TYPE);
        }
        let mut instances = lock(&self.instances);
        if let Some(names) = instances.by_request.get(&provision.name).cloned() {
            return Answer::json(200, &ProvisionAnswer { names });
        }
        let count = self
            .free_capacity(&instances, zone)
            .min(provision.count as usize);
        if count == 0 {
            return Answer::error(503, "no capacity");
        }
        let names: Vec<String> = (0..count)
            .map(|_| self.provision(&mut instances, zone, provision.spot))
            .collect();
        instances.by_request.insert(provision.name, names.clone());
        Answer::json(200, &ProvisionAnswer { names })
    }

    /// Returns the number of instances that a zone can still provision.
    fn free_capacity(&self, instances: &Instances, zone: ZoneIndex) -> usize {
        let plan = &self.environment.plan;
        let total = (plan.workers.count + plan.cloud.spare_instances) as usize;
        let capacity = total.div_ceil(plan.zones().len());
        let existing = instances.by_name.values();
        let used = existing.filter(|instance| instance.uses_capacity_of(zone));
        capacity.saturating_sub(used.count())
    }

    /// Adds an instance that boots after a random delay, and returns its name.
    fn provision(
        self: &Arc<Self>,
        instances: &mut Instances,
        zone: ZoneIndex,
        spot: bool,
    ) -> String {
        let reservation = self.fleet.reserve();
        let name = reservation.name.clone();
        let instance = Instance::new(reservation, zone, spot, self.now_ms());
        instances.by_name.insert(name.clone(), instance);
        let boot_s = self.environment.plan.cloud.boot_s * self.environment.draw(BOOT_TIME_FACTORS);
        let (cloud, booting_name) = (self.clone(), name.clone());
        tokio::spawn(async move {
            sleep(Duration::from_secs_f64(boot_s)).await;
            cloud.finish_boot(&booting_name);
        });
        name
    }

    fn finish_boot(&self, name: &str) {
        let now_ms = self.now_ms();
        let mut instances = lock(&self.instances);
        let instance = instances.by_name.get_mut(name);
        let Some(instance) = instance.filter(|instance| instance.deleted_ms.is_none()) else {
            return;
        };
        instance.up_ms = Some(now_ms);
        self.fleet
            .boot(&instance.reservation, instance.zone, instance.spot);
    }

    fn answer_delete(&self, request: &IncomingRequest) -> Answer {
        let deletion = serde_json::from_slice::<DeleteRequest>(&request.body).ok();
        let Some(deletion) = deletion.filter(|wanted| wanted.names.len() <= MAX_DELETED_NAMES)
        else {
            return Answer::error(400, "malformed");
        };
        for name in &deletion.names {
            self.delete(name);
        }
        Answer::json(200, &DeleteAnswer {})
    }
}

fn exchange_kind(request: &IncomingRequest) -> ExchangeKind {
    match (&request.method, request.path.as_str()) {
        (&Method::GET, CATALOG_PATH) => ExchangeKind::CloudCatalog,
        (&Method::GET, _) => ExchangeKind::CloudList,
        (_, DELETE_PATH) => ExchangeKind::CloudDelete,
        _ => ExchangeKind::CloudProvision,
    }
}
