//! What the kernel counts of a process, and which process is at the other end of a connection.

use std::fs;
use std::net::SocketAddr;

const KB_PER_MB: f64 = 1_024.0;

const NANOSECONDS_PER_S: f64 = 1e9;

/// Processor time, memory and sockets of a process at one moment.
#[derive(Debug, Clone, Copy, Default)]
pub struct UsageSample {
    /// Processor time of all threads since the process started.
    pub cpu_s: f64,
    /// Resident memory.
    pub resident_mb: f64,
    /// Highest resident memory since the process started.
    pub peak_mb: f64,
    /// Open sockets.
    pub sockets: usize,
}

fn status_mb(status: &str, field: &str) -> f64 {
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kb.unwrap_or(0.0) / KB_PER_MB
}

/// Processor time of all threads, from the kernel scheduler's own accounts.
fn cpu_s(pid: u32) -> f64 {
    let threads = fs::read_dir(format!("/proc/{pid}/task"));
    let each = threads
        .into_iter()
        .flatten()
        .flatten()
        .filter_map(|thread| {
            let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
            text.split(' ').next()?.parse::<f64>().ok()
        });
    each.sum::<f64>() / NANOSECONDS_PER_S
}

/// Reads what a process uses; zeros if there is no such process.
pub fn sample_usage(pid: u32) -> UsageSample {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    UsageSample {
        cpu_s: cpu_s(pid),
        resident_mb: status_mb(&status, "VmRSS:"),
        peak_mb: status_mb(&status, "VmHWM:"),
        sockets: sockets(pid).count(),
    }
}

/// Inodes of the sockets that a process holds.
fn sockets(pid: u32) -> impl Iterator<Item = u64> {
    let files = fs::read_dir(format!("/proc/{pid}/fd"));
    files.into_iter().flatten().flatten().filter_map(|file| {
        let target = fs::read_link(file.path()).ok()?;
        let name = target.to_str()?.strip_prefix("socket:[")?;
        name.strip_suffix(']')?.parse().ok()
    })
}

/// MB of memory that the machine has.
pub fn machine_memory_mb() -> f64 {
    let text = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    status_mb(&text, "MemTotal:")
}

/// Which of some processes holds the socket that is bound to a loopback address.
pub fn socket_owner(address: SocketAddr, pids: &[u32]) -> Option<u32> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_le_bytes(address.ip().octets());
    let wanted = format!("{ip:08X}:{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let inode = table.lines().find_map(|line| {
        let mut words = line.split_whitespace();
        let local = words.nth(1)?;
        let inode = words.nth(7)?;
        (local == wanted)
            .then(|| inode.parse::<u64>().ok())
            .flatten()
    })?;
    let holds = |pid: &&u32| sockets(**pid).any(|socket| socket == inode);
    pids.iter().find(holds).copied()
}
