//! Loopback addresses of workers. No two workers of a run ever share an address.

use std::net::Ipv4Addr;

/// Workers whose addresses share the first two bytes, and the first three bytes.
const WORKERS_PER_SECOND_BYTE: u64 = 62_500;
const WORKERS_PER_THIRD_BYTE: u64 = 250;

/// Returns the address of the worker with an index.
pub fn worker_ip(index: u64) -> Ipv4Addr {
    let second = 1 + index / WORKERS_PER_SECOND_BYTE;
    let third = index / WORKERS_PER_THIRD_BYTE % WORKERS_PER_THIRD_BYTE;
    let fourth = 1 + index % WORKERS_PER_THIRD_BYTE;
    Ipv4Addr::new(127, second as u8, third as u8, fourth as u8)
}
