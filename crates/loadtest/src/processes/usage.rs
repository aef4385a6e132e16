//! Resource usage of processes and owners of sockets, read from `/proc`.

use std::fs;
use std::net::SocketAddr;

const KB_PER_MB: f64 = 1_024.0;
const NANOSECONDS_PER_S: f64 = 1e9;

/// The processor time, memory and sockets of a process at one moment.
#[derive(Debug, Clone, Copy, Default)]
pub struct UsageSample {
    /// Processor time of all threads since the process started.
    pub cpu_s: f64,
    /// Resident memory at the time of the sample.
    pub resident_mb: f64,
    /// Highest resident memory since the process started.
    pub peak_mb: f64,
    /// Number of open sockets.
    pub sockets: usize,
}

fn status_mb(status: &str, field: &str) -> f64 {
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kb.unwrap_or(0.0) / KB_PER_MB
}

/// Returns the processor time of all threads, from the statistics of the kernel's scheduler.
fn cpu_s(pid: u32) -> f64 {
    let threads = fs::read_dir(format!("/proc/{pid}/task"));
    let thread_ns = threads
        .into_iter()
        .flatten()
        .flatten()
        .filter_map(|thread| {
            let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
            text.split(' ').next()?.parse::<f64>().ok()
        });
    thread_ns.sum::<f64>() / NANOSECONDS_PER_S
}

/// Samples the usage of a process; all values are 0 if there is no such process.
pub fn sample_usage(pid: u32) -> UsageSample {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    UsageSample {
        cpu_s: cpu_s(pid),
        resident_mb: status_mb(&status, "VmRSS:"),
        peak_mb: status_mb(&status, "VmHWM:"),
        sockets: sockets(pid).count(),
    }
}

/// Returns the inodes of the sockets that a process holds.
fn sockets(pid: u32) -> impl Iterator<Item = u64> {
    let files = fs::read_dir(format!("/proc/{pid}/fd"));
    files.into_iter().flatten().flatten().filter_map(|file| {
        let target = fs::read_link(file.path()).ok()?;
        let name = target.to_str()?.strip_prefix("socket:[")?;
        name.strip_suffix(']')?.parse().ok()
    })
}

/// Returns the machine's memory in MB.
pub fn machine_memory_mb() -> f64 {
    let text = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    status_mb(&text, "MemTotal:")
}

/// Returns which of the given processes holds the socket bound to a loopback address.
pub fn socket_owner(address: SocketAddr, pids: &[u32]) -> Option<u32> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_le_bytes(address.ip().octets());
    let wanted = format!("{ip:08X}:{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let inode = table.lines().find_map(|line| {
        let mut columns = line.split_whitespace();
        let local_address = columns.nth(1)?;
        let inode = columns.nth(7)?;
        (local_address == wanted)
            .then(|| inode.parse::<u64>().ok())
            .flatten()
    })?;
    let holds_socket = |pid: &&u32| sockets(**pid).any(|socket| socket == inode);
    pids.iter().find(holds_socket).copied()
}
