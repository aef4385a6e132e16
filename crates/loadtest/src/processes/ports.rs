//! Choice of free ports for controllers, whose settings name the ports before the processes start.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::process;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use tokio::net::TcpListener;

/// Start of the range of candidate ports. It ends before the kernel's range for outgoing connections, since an
/// outgoing connection could occupy a controller's port while the controller is down.
const FIRST_PORT: u16 = 12_000;
const OUTGOING_PORTS_FILE: &str = "/proc/sys/net/ipv4/ip_local_port_range";
/// Start of the kernel's range for outgoing connections if the file can't be read.
const DEFAULT_FIRST_OUTGOING_PORT: u16 = 32_768;
/// Distance between the first candidate ports of processes with consecutive ids, for concurrent processes.
const PORT_STRIDE: u32 = 1_009;
/// Number of candidate ports checked so far, so that runs of one process never choose the same port, also when
/// they run concurrently.
static CHECKED_PORTS: AtomicU32 = AtomicU32::new(0);

/// The addresses at which one controller listens.
#[derive(Debug, Clone, Copy)]
pub struct ListenAddresses {
    /// Address for users and workers.
    pub clients: SocketAddr,
    /// Address for peers.
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

/// Returns free addresses for a number of controllers.
pub async fn free_addresses(controllers: u32) -> io::Result<Vec<ListenAddresses>> {
    let candidate_count = u32::from(first_outgoing_port() - FIRST_PORT);
    let offset = process::id().wrapping_mul(PORT_STRIDE);
    let mut free = Vec::new();
    for _ in 0..candidate_count {
        let checked = CHECKED_PORTS.fetch_add(1, Relaxed);
        let port = FIRST_PORT + (offset.wrapping_add(checked) % candidate_count) as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).await.is_ok() {
            free.push(address);
        }
        if free.len() == 2 * controllers as usize {
            return Ok(pair_addresses(&free));
        }
    }
    Err(io::Error::other("not enough free ports"))
}

fn pair_addresses(addresses: &[SocketAddr]) -> Vec<ListenAddresses> {
    let pairs = addresses.chunks_exact(2);
    pairs
        .map(|pair| ListenAddresses {
            clients: pair[0],
            peers: pair[1],
        })
        .collect()
}
