//! The links between controllers: each pair's connections pass through here, where they are counted and
//! where a partition holds them up.

use super::http::bind_loopback;
use super::partitions::Site;
use crate::environment::Environment;
use crate::measurement::traffic::ExchangeKind;
use crate::plan::ZoneIndex;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

const BUFFER_BYTES: usize = 64 * 1024;

/// Addresses by which each controller reaches each other.
pub struct PeerLinks {
    /// By the controller that connects, then by the one that it connects to.
    addresses: Vec<Vec<SocketAddr>>,
}

impl PeerLinks {
    /// Opens a link for each ordered pair of controllers, to the addresses at which these listen.
    pub async fn open(
        environment: &Arc<Environment>,
        targets: &[SocketAddr],
        zones: &[ZoneIndex],
    ) -> io::Result<PeerLinks> {
        let mut addresses = Vec::new();
        for from in 0..targets.len() {
            let mut row = Vec::new();
            for to in 0..targets.len() {
                let (listener, address) = bind_loopback().await?;
                row.push(address);
                let link = PeerLink {
                    environment: environment.clone(),
                    target: targets[to],
                    from: Site::Zone(zones[from]),
                    to: Site::Zone(zones[to]),
                };
                if from != to {
                    tokio::spawn(link.serve(listener));
                }
            }
            addresses.push(row);
        }
        Ok(PeerLinks { addresses })
    }

    /// The address at which a controller reaches another; both by index.
    pub fn address(&self, from: usize, to: usize) -> SocketAddr {
        self.addresses[from][to]
    }
}

#[derive(Clone)]
struct PeerLink {
    environment: Arc<Environment>,
    target: SocketAddr,
    from: Site,
    to: Site,
}

/// Whether bytes go with the direction in which the connection was opened.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forward,
    Backward,
}

impl PeerLink {
    async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(self.clone().connect(stream));
        }
    }

    async fn connect(self, stream: TcpStream) {
        let network = &self.environment.network;
        network.until_reachable(self.from, self.to).await;
        // A refused connection ends the caller's as well.
        let Ok(target) = TcpStream::connect(self.target).await else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let _ = target.set_nodelay(true);
        let (from_read, from_write) = stream.into_split();
        let (to_read, to_write) = target.into_split();
        let forward = self.copy(from_read, to_write, Direction::Forward);
        let backward = self.copy(to_read, from_write, Direction::Backward);
        tokio::join!(forward, backward);
    }

    async fn copy(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, direction: Direction) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = from.read(&mut buffer).await.unwrap_or(0);
            let network = &self.environment.network;
            network.until_reachable(self.from, self.to).await;
            if read == 0 {
                let _ = to.shutdown().await;
                return;
            }
            let bytes = read as u64;
            let traffic = &self.environment.traffic;
            match direction {
                Direction::Forward => traffic.count(ExchangeKind::Peer, bytes, 0),
                Direction::Backward => traffic.count(ExchangeKind::Peer, 0, bytes),
            }
            if to.write_all(&buffer[..read]).await.is_err() {
                return;
            }
        }
    }
}
