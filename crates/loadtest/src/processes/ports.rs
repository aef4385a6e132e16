//! Free ports for controllers, which must be known before these start.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::process;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use tokio::net::TcpListener;

/// Ports that are tried lie between this one and those that the kernel gives to outgoing connections: one of
/// these might be taken while a controller is away.
const FIRST_PORT: u16 = 12_000;
const OUTGOING_PORTS_FILE: &str = "/proc/sys/net/ipv4/ip_local_port_range";
/// Begin of the kernel's range where it does not tell.
const DEFAULT_FIRST_OUTGOING_PORT: u16 = 32_768;
/// Processes side by side begin their search this far apart, by their ids.
const PORTS_APART: u32 = 1_009;
/// Ports looked at so far: runs of one process never take the same, also when they are played side by side.
static PORTS_SEEN: AtomicU32 = AtomicU32::new(0);

/// Addresses at which one controller listens.
#[derive(Debug, Clone, Copy)]
pub struct ListenAddresses {
    /// For users and workers.
    pub clients: SocketAddr,
    /// For its peers.
    pub peers: SocketAddr,
}

fn first_outgoing_port() -> u16 {
    let text = fs::read_to_string(OUTGOING_PORTS_FILE).unwrap_or_default();
    let first = text
        .split_whitespace()
        .next()
        .and_then(|port| port.parse().ok());
    first
        .filter(|port| *port > FIRST_PORT)
        .unwrap_or(DEFAULT_FIRST_OUTGOING_PORT)
}

/// Free addresses for so many controllers.
pub async fn free_addresses(controllers: u32) -> io::Result<Vec<ListenAddresses>> {
    let span = u32::from(first_outgoing_port() - FIRST_PORT);
    let offset = process::id().wrapping_mul(PORTS_APART);
    let mut free = Vec::new();
    for _ in 0..span {
        let seen = PORTS_SEEN.fetch_add(1, Relaxed);
        let port = FIRST_PORT + (offset.wrapping_add(seen) % span) as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).await.is_ok() {
            free.push(address);
        }
        if free.len() == 2 * controllers as usize {
            return Ok(in_pairs(&free));
        }
    }
    Err(io::Error::other("there are not enough free ports"))
}

fn in_pairs(addresses: &[SocketAddr]) -> Vec<ListenAddresses> {
    let pairs = addresses.chunks_exact(2);
    pairs
        .map(|pair| ListenAddresses {
            clients: pair[0],
            peers: pair[1],
        })
        .collect()
}
