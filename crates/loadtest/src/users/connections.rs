//! Connections of users to the controllers that the load balancer picks.

use super::load_balancer::{ConnectionSlot, LoadBalancer};
use crate::environment::Environment;
use crate::network::http::Client;
use crate::network::partitions::Site;
use crate::processes::controllers::Controllers;
use std::sync::Arc;
use tokio::time::{sleep, Duration};

/// Time after which a user tries another controller if the connection isn't established, by protocol.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_CONTROLLERS_TRIED: usize = 3;

/// A user's connection and its slot at the load balancer.
pub struct UserConnection {
    /// Client of the connection.
    pub client: Client,
    /// Slot of the connection at its controller.
    pub slot: ConnectionSlot,
}

/// Opens connections for users.
pub struct Connector {
    environment: Arc<Environment>,
    balancer: Arc<LoadBalancer>,
    controllers: Arc<Controllers>,
}

impl Connector {
    /// Creates a connector to the controllers that a load balancer picks.
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

    /// Connects to a controller; tries another one when a connection fails, and returns `None` when all fail.
    pub async fn connect(&self) -> Option<UserConnection> {
        let mut tried_controllers = Vec::new();
        for _ in 0..MAX_CONTROLLERS_TRIED {
            let slot = self.balancer.pick(&tried_controllers)?;
            tried_controllers.push(slot.controller);
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

    /// Returns whether no partition separates users from a controller.
    pub fn is_reachable(&self, controller: usize) -> bool {
        let site = Site::Zone(self.controllers.zones[controller]);
        let network = &self.environment.network;
        network.is_reachable(Site::Outside, site)
    }
}
