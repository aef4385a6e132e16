//! Startup of all parts of a run.

use crate::environment::Environment;
use crate::faults::FaultInjector;
use crate::network::partitions::Site;
use crate::network::peer_links::PeerLinks;
use crate::plan::{Plan, ZoneIndex};
use crate::processes::controllers::{Controllers, LaunchOptions};
use crate::processes::ports::{free_addresses, ListenAddresses};
use crate::processes::settings::ControllerAddresses;
use crate::stand_ins::cloud::Cloud;
use crate::stand_ins::state_store::server::{StateStoreServer, StoreClient};
use crate::stand_ins::worker_fleet::WorkerFleet;
use crate::users::arrivals::JobArrivals;
use crate::users::load_balancer::LoadBalancer;
use crate::users::operator::Operator;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// The started parts of a run that the measurement reads.
pub struct LoadTest {
    /// Environment that all parts share.
    pub environment: Arc<Environment>,
    /// Stand-in of the state store.
    pub state_store: Arc<StateStoreServer>,
    /// Stand-ins of the workers.
    pub fleet: Arc<WorkerFleet>,
    /// Controller processes.
    pub controllers: Arc<Controllers>,
}

impl LoadTest {
    /// Starts the stand-ins, the controllers, the users and the faults of a plan, in this order.
    pub async fn start(plan: Plan, launch: LaunchOptions) -> io::Result<LoadTest> {
        let environment = Arc::new(Environment::new(plan));
        let plan = &environment.plan;
        let state_store = StateStoreServer::new(environment.clone());
        let fleet = WorkerFleet::new(environment.clone()).await?;
        let cloud = Cloud::new(environment.clone(), fleet.clone());
        let zones = plan.controller_zones();
        let listen = free_addresses(plan.controllers.count).await?;
        let peers: Vec<SocketAddr> = listen.iter().map(|addresses| addresses.peers).collect();
        let links = PeerLinks::open(&environment, &peers, &zones).await?;
        let addresses = service_addresses(&state_store, &cloud, listen, &zones).await?;
        let controllers = Controllers::start(plan, launch, &addresses, &links)?;
        fleet.set_controllers(controllers.clone());
        cloud.boot_initial(plan.workers.count);
        let balancer = LoadBalancer::start(&environment, &controllers);
        JobArrivals::start(environment.clone(), balancer, controllers.clone());
        if plan.configuration_changes_per_minute > 0.0 {
            let client = StoreClient::Operator;
            let address = state_store.listen(client, Site::Outside).await?;
            tokio::spawn(Operator::new(environment.clone(), address).run());
        }
        let injector = FaultInjector {
            environment: environment.clone(),
            fleet: fleet.clone(),
            cloud,
            state_store: state_store.clone(),
            controllers: controllers.clone(),
        };
        injector.start();
        Ok(LoadTest {
            environment,
            state_store,
            fleet,
            controllers,
        })
    }
}

/// Opens an address of the state store and one of the cloud for each controller.
async fn service_addresses(
    state_store: &Arc<StateStoreServer>,
    cloud: &Arc<Cloud>,
    listen: Vec<ListenAddresses>,
    zones: &[ZoneIndex],
) -> io::Result<Vec<ControllerAddresses>> {
    let mut addresses = Vec::new();
    for (index, (listen, zone)) in listen.into_iter().zip(zones).enumerate() {
        let client = StoreClient::Controller(index as u32);
        addresses.push(ControllerAddresses {
            listen,
            state_store: state_store.listen(client, Site::Zone(*zone)).await?,
            cloud: cloud.listen(*zone).await?,
        });
    }
    Ok(addresses)
}
