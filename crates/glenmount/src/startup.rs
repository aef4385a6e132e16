//! Starts a controller: its listeners, its clients of other services and the event loop.

use crate::client_connections::{accept, ConnectionLimits};
use crate::cloud_client::{self, CloudRequest};
use crate::event_loop::{Channels, EventLoop, Outputs};
use crate::http_server::{routes, Api, PendingRequest};
use crate::peer_link;
use crate::settings::{Config, ScarceResource};
use crate::shutdown::watch_for_termination;
use crate::state_client::{self, StateRequest};
use crate::worker_client::WorkerClient;
use glenmount_core::controller::{Event, PeerHeartbeat};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// Number of events that may wait for the core.
const EVENT_QUEUE_CAPACITY: usize = 4_096;

/// The reason why a controller can't start.
#[derive(Debug, Error)]
pub enum StartError {
    #[error("{field}: can't listen on {address}: {error}")]
    Listen {
        /// Name of the setting that holds the address.
        field: &'static str,
        address: SocketAddr,
        error: io::Error,
    },
}

/// Starts all tasks of a controller. The event loop owns them; they end with it.
///
/// # Errors
/// A listener can't be bound to its address.
pub async fn start(config: Config) -> Result<EventLoop, StartError> {
    let (event_sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let mut startup = Startup {
        tasks: JoinSet::new(),
        event_sender,
    };
    let is_ready = Arc::new(AtomicBool::new(false));
    let heartbeats = startup.link_peers(&config).await?;
    let requests = startup.serve_clients(&config, is_ready.clone()).await?;
    let outputs = Outputs {
        state: startup.connect_state_store(&config),
        watch: startup.watch_state_store(&config),
        cloud: startup.connect_cloud(&config),
        workers: WorkerClient::new(startup.event_sender.clone()),
        heartbeats,
        is_ready,
    };
    log_scarce_resources(&config.scarce_resources);
    startup.spawn(watch_for_termination(startup.event_sender.clone()));
    let channels = Channels {
        events,
        event_sender: startup.event_sender,
        requests,
    };
    Ok(EventLoop::new(
        config.core,
        channels,
        outputs,
        startup.tasks,
    ))
}

/// The tasks started so far, and the channel to the core.
struct Startup {
    tasks: JoinSet<()>,
    event_sender: mpsc::Sender<Event>,
}

impl Startup {
    fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(task);
    }

    /// Receives the heartbeats of peers and sends them the heartbeats put into the returned channel.
    async fn link_peers(
        &mut self,
        config: &Config,
    ) -> Result<watch::Sender<PeerHeartbeat>, StartError> {
        let listener = listen("cluster_listen", config.cluster_listen).await?;
        self.spawn(peer_link::receive_heartbeats(
            listener,
            self.event_sender.clone(),
        ));
        let (sender, heartbeats) = watch::channel(PeerHeartbeat::default());
        for (_, address) in &config.peers {
            self.spawn(peer_link::send_heartbeats(*address, heartbeats.clone()));
        }
        Ok(sender)
    }

    /// Serves users, workers and health checks. The returned channel delivers their requests to the core.
    async fn serve_clients(
        &mut self,
        config: &Config,
        is_ready: Arc<AtomicBool>,
    ) -> Result<mpsc::Receiver<PendingRequest>, StartError> {
        let listener = listen("client_listen", config.client_listen).await?;
        let max_sockets = config.max_sockets as usize;
        let (sender, requests) = mpsc::channel(max_sockets);
        let service = warp::service(routes(Api::new(sender, is_ready)));
        let limits = ConnectionLimits::for_sockets(max_sockets);
        self.spawn(accept(listener, limits, service));
        Ok(requests)
    }

    fn connect_state_store(&mut self, config: &Config) -> mpsc::Sender<StateRequest> {
        let (sender, requests) = mpsc::channel(state_client::QUEUE_CAPACITY);
        self.spawn(state_client::run(
            state_client::connection(config.state_store_address),
            config.state_rates,
            requests,
            self.event_sender.clone(),
        ));
        sender
    }

    fn watch_state_store(&mut self, config: &Config) -> mpsc::Sender<u64> {
        let (sender, restarts) = mpsc::channel(state_client::watch::RESTART_QUEUE_CAPACITY);
        self.spawn(state_client::watch::run(
            state_client::connection(config.state_store_address),
            restarts,
            self.event_sender.clone(),
        ));
        sender
    }

    fn connect_cloud(&mut self, config: &Config) -> mpsc::Sender<CloudRequest> {
        let (sender, requests) = mpsc::channel(cloud_client::QUEUE_CAPACITY);
        self.spawn(cloud_client::run(
            cloud_client::connection(config.cloud_address),
            config.cloud_requests_per_s,
            requests,
            self.event_sender.clone(),
        ));
        sender
    }
}

async fn listen(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| StartError::Listen {
        field,
        address,
        error,
    })
}

fn log_scarce_resources(resources: &[ScarceResource]) {
    for resource in resources {
        tracing::info!(
            field = resource.field,
            value = resource.value,
            needs = resource.required,
            "quota below controller requirements"
        );
    }
}
