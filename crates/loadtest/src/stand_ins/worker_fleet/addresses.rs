//! Addresses of workers in the loopback range, one for each that ever comes up.

use std::net::Ipv4Addr;

/// Workers whose addresses share their first two parts, and their first three.
const WORKERS_PER_BLOCK: u64 = 62_500;
const WORKERS_PER_ROW: u64 = 250;

/// The address of the worker with an index.
pub fn worker_ip(index: u64) -> Ipv4Addr {
    let block = 1 + index / WORKERS_PER_BLOCK;
    let row = index / WORKERS_PER_ROW % WORKERS_PER_ROW;
    let column = 1 + index % WORKERS_PER_ROW;
    Ipv4Addr::new(127, block as u8, row as u8, column as u8)
}
