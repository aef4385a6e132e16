//! Connections of users to controllers, by way of the load balancer.

use super::load_balancer::{ConnectionSlot, LoadBalancer};
use crate::environment::Environment;
use crate::network::http::Client;
use crate::network::partitions::Site;
use crate::processes::controllers::Controllers;
use std::sync::Arc;
use tokio::time::{sleep, Duration};

/// A connection that is not taken up in this time is tried at another controller, by protocol.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_CONTROLLERS_TRIED: usize = 3;

/// A user's connection, and its slot at the load balancer.
pub struct UserConnection {
    /// The connection.
    pub client: Client,
    /// The controller at its other end.
    pub slot: ConnectionSlot,
}

/// Opens connections for users.
pub struct Connector {
    environment: Arc<Environment>,
    balancer: Arc<LoadBalancer>,
    controllers: Arc<Controllers>,
}

impl Connector {
    /// A connector to controllers as a load balancer picks them.
    pub fn new(
        environment: Arc<Environment>,
        balancer: Arc<LoadBalancer>,
        controllers: Arc<Controllers>,
    ) -> Connector {
        Connector {
            environment,
            balancer,
            controllers,
        }
    }

    /// A connection that a controller has taken up; another is tried when one refuses.
    pub async fn connect(&self) -> Option<UserConnection> {
        let mut tried = Vec::new();
        for _ in 0..MAX_CONTROLLERS_TRIED {
            let slot = self.balancer.pick(&tried)?;
            tried.push(slot.controller);
            let mut client = Client::new(slot.address());
            let is_connected = match self.is_reachable(slot.controller) {
                true => client.connect(CONNECT_TIMEOUT).await,
                false => {
                    sleep(CONNECT_TIMEOUT).await;
                    false
                }
            };
            if is_connected {
                return Some(UserConnection { client, slot });
            }
        }
        None
    }

    /// Whether users reach a controller.
    pub fn is_reachable(&self, controller: usize) -> bool {
        let site = Site::Zone(self.controllers.zones[controller]);
        let network = &self.environment.network;
        network.is_reachable(Site::Outside, site)
    }
}
