//! Proxied links between controllers, which count the traffic of each pair and delay it during a partition.

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

/// The addresses at which each controller reaches its peers.
pub struct PeerLinks {
    /// Addresses by the index of the connecting controller, then by that of its peer.
    addresses: Vec<Vec<SocketAddr>>,
}

impl PeerLinks {
    /// Opens a link for each ordered pair of controllers; `targets` are the addresses at which they listen.
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

    /// Returns the address at which controller `from` reaches controller `to`.
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

/// The direction of bytes, relative to the direction in which the connection was opened.
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
        network.wait_until_reachable(self.from, self.to).await;
        // Dropping `stream` closes the caller's connection when the target refuses.
        let Ok(target) = TcpStream::connect(self.target).await else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let _ = target.set_nodelay(true);
        let (source_read, source_write) = stream.into_split();
        let (target_read, target_write) = target.into_split();
        let forward = self.copy(source_read, target_write, Direction::Forward);
        let backward = self.copy(target_read, source_write, Direction::Backward);
        tokio::join!(forward, backward);
    }

    async fn copy(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, direction: Direction) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read_bytes = from.read(&mut buffer).await.unwrap_or(0);
            let network = &self.environment.network;
            network.wait_until_reachable(self.from, self.to).await;
            if read_bytes == 0 {
                let _ = to.shutdown().await;
                return;
            }
            let bytes = read_bytes as u64;
            let traffic = &self.environment.traffic;
            match direction {
                Direction::Forward => traffic.count(ExchangeKind::Peer, bytes, 0),
                Direction::Backward => traffic.count(ExchangeKind::Peer, 0, bytes),
            }
            if to.write_all(&buffer[..read_bytes]).await.is_err() {
                return;
            }
        }
    }
}
