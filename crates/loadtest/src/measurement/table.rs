//! Printed table of a run's figures.

use super::figures::Figures;
use std::fmt;

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (workers, seconds) = (self.workers, self.seconds);
        writeln!(f, "{workers} workers, {seconds:.0} s measured")?;
        self.write_controllers(f)?;
        self.write_traffic(f)?;
        self.write_state_store(f)?;
        for (name, count) in &self.unexpected_answers {
            writeln!(f, "users, {name}: {count}")?;
        }
        for (name, count) in &self.worker_messages {
            writeln!(f, "workers, {name}: {count}")?;
        }
        if let Some(bytes) = self.largest_heartbeat_bytes {
            writeln!(f, "largest heartbeat: {bytes} bytes")?;
        }
        self.write_latencies(f)?;
        self.write_starts(f)?;
        let bytes = self.worker_bandwidth;
        writeln!(
            f,
            "bytes/s a worker: {:.0} mean, {:.0} p99, {:.0} most",
            bytes.mean, bytes.p99, bytes.max
        )
    }
}

impl Figures {
    fn write_controllers(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (index, usage) in self.controllers.iter().enumerate() {
            writeln!(
                f,
                "controller {index}: {:.1}% of a core (most {:.1}%), {:.0} MB (most {:.0}), \
                 {} sockets",
                usage.mean_cpu * 100.0,
                usage.peak_cpu * 100.0,
                usage.resident_mb,
                usage.peak_mb,
                usage.max_sockets
            )?;
        }
        Ok(())
    }

    fn write_traffic(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (kind, traffic) in &self.traffic {
            writeln!(
                f,
                "{:18} {:9.1}/s {:11.0} B/s asked {:11.0} B/s answered",
                kind.to_string(),
                traffic.exchanges,
                traffic.request_bytes,
                traffic.answer_bytes
            )?;
        }
        Ok(())
    }

    fn write_state_store(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (name, rate) in &self.transactions {
            writeln!(f, "transactions {name}: {rate:.1}/s")?;
        }
        for (name, rate) in &self.record_changes {
            writeln!(f, "changes {name}: {rate:.1}/s")?;
        }
        for (name, usage) in &self.records {
            writeln!(f, "records {name}: {}, {} bytes", usage.count, usage.bytes)?;
        }
        Ok(())
    }

    fn write_latencies(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (kind, quantiles) in &self.latencies {
            writeln!(
                f,
                "{:18} p50 {:7} ms  p99 {:7} ms  max {:7} ms  of {}",
                kind.to_string(),
                quantiles.p50_ms,
                quantiles.p99_ms,
                quantiles.max_ms,
                quantiles.count
            )?;
        }
        Ok(())
    }

    fn write_starts(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let starts = self.starts;
        writeln!(
            f,
            "starts/s: asked {:.0} (best 10 s {:.0}), reached {:.0} (best 10 s {:.0}); \
             running {:.0} (most {})",
            starts.requested,
            starts.requested_best_10s,
            starts.started,
            starts.started_best_10s,
            self.mean_running_tasks,
            self.max_running_tasks
        )
    }
}
