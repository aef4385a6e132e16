//! Resource usage of a process over time, across its restarts.

use crate::measurement::figures::ProcessUsage;
use crate::processes::usage::{sample_usage, UsageSample};

/// Records the resource usage of a process, which is sampled once a second.
#[derive(Default)]
pub struct UsageRecorder {
    latest: UsageSample,
    process_id: Option<u32>,
    /// Processor time since the last reset.
    cpu_s: f64,
    /// Highest processor time within one second since the last reset.
    peak_cpu_s: f64,
    peak_mb: f64,
    max_sockets: usize,
}

impl UsageRecorder {
    /// Samples the process if it runs.
    pub fn sample(&mut self, process_id: Option<u32>) {
        let Some(id) = process_id else {
            self.process_id = None;
            return;
        };
        let sample = sample_usage(id);
        let previous_cpu_s = match self.process_id == process_id {
            true => self.latest.cpu_s,
            false => 0.0,
        };
        let used_cpu_s = (sample.cpu_s - previous_cpu_s).max(0.0);
        self.cpu_s += used_cpu_s;
        self.peak_cpu_s = self.peak_cpu_s.max(used_cpu_s);
        self.peak_mb = self.peak_mb.max(sample.peak_mb);
        self.max_sockets = self.max_sockets.max(sample.sockets);
        self.latest = sample;
        self.process_id = process_id;
    }

    /// Resets the recorded processor times.
    pub fn reset_cpu(&mut self) {
        self.cpu_s = 0.0;
        self.peak_cpu_s = 0.0;
    }

    /// Returns the resident memory at the latest sample.
    pub fn resident_mb(&self) -> f64 {
        self.latest.resident_mb
    }

    /// Returns the usage over the `seconds` since the last reset.
    pub fn usage(&self, seconds: f64) -> ProcessUsage {
        ProcessUsage {
            mean_cpu: self.cpu_s / seconds,
            peak_cpu: self.peak_cpu_s,
            resident_mb: self.latest.resident_mb,
            peak_mb: self.peak_mb,
            max_sockets: self.max_sockets,
        }
    }
}
