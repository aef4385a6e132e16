//! The packed form of a history in the state store.

use super::{History, JobSample};
use crate::constants::JOBS_PER_CLASS_MAX;
use base64::engine::general_purpose::STANDARD_NO_PAD as BASE64;
use base64::Engine;
use serde::{Deserialize, Serialize};

/// A packed history: the bytes of the jobs in base64, and a checksum.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Packed {
    #[serde(rename = "j")]
    jobs: String,
    /// In thousandths of a squared logarithm.
    #[serde(rename = "w")]
    within_job_var: u32,
    /// In thousandths.
    #[serde(rename = "k")]
    within_job_tasks: u32,
    #[serde(rename = "n")]
    runs: u64,
    #[serde(rename = "s")]
    checksum: u32,
}

/// Size of a packed job: hash of the id 4, hash of the image 2, estimate 2, mean 2, runs 1.
const JOB_BYTES: usize = 11;
/// Logarithms are packed as thousandths above this value.
const MIN_LN: f64 = -3.0;
/// The packed value of a missing estimate.
const NO_LN: u16 = u16::MAX;

fn pack_ln(ln: f64) -> u16 {
    ((ln - MIN_LN) * 1_000.0).round().clamp(0.0, 65_000.0) as u16
}

fn unpack_ln(packed: u16) -> f64 {
    f64::from(packed) / 1_000.0 + MIN_LN
}

impl Packed {
    fn computed_checksum(&self) -> u32 {
        let numbers = format!(
            "{} {} {}",
            self.within_job_var, self.within_job_tasks, self.runs
        );
        crate::stable_hash(&[&self.jobs, &numbers]) as u32
    }
}

impl History {
    /// Packs the history, with logarithms rounded to thousandths.
    pub fn pack(&self) -> Packed {
        let mut bytes = Vec::with_capacity(self.jobs.len() * JOB_BYTES);
        for job in &self.jobs {
            bytes.extend_from_slice(&job.id_hash.to_le_bytes());
            bytes.extend_from_slice(&job.image_hash.to_le_bytes());
            bytes.extend_from_slice(&job.ln_estimate.map_or(NO_LN, pack_ln).to_le_bytes());
            bytes.extend_from_slice(&pack_ln(job.mean).to_le_bytes());
            bytes.push(job.runs);
        }
        let mut packed = Packed {
            jobs: BASE64.encode(bytes),
            within_job_var: (self.within_job_var * 1_000.0).round().clamp(0.0, 1e6) as u32,
            within_job_tasks: (self.within_job_tasks * 1_000.0).round().clamp(0.0, 1e6) as u32,
            runs: self.runs,
            checksum: 0,
        };
        packed.checksum = packed.computed_checksum();
        packed
    }

    /// Unpacks a history. Returns `None` if it is damaged or too long.
    pub fn unpack(packed: &Packed) -> Option<History> {
        let max_chars = (JOBS_PER_CLASS_MAX * JOB_BYTES).div_ceil(3) * 4;
        if packed.jobs.len() > max_chars || packed.checksum != packed.computed_checksum() {
            return None;
        }
        let bytes = BASE64.decode(&packed.jobs).ok()?;
        if bytes.len() % JOB_BYTES != 0 || bytes.len() > JOBS_PER_CLASS_MAX * JOB_BYTES {
            return None;
        }
        let jobs = bytes.chunks_exact(JOB_BYTES).map(|b| {
            let u16_at = |at: usize| u16::from_le_bytes([b[at], b[at + 1]]);
            let packed_estimate = u16_at(6);
            JobSample {
                id_hash: u32::from_le_bytes([b[0], b[1], b[2], b[3]]),
                image_hash: u16_at(4),
                ln_estimate: (packed_estimate != NO_LN).then(|| unpack_ln(packed_estimate)),
                mean: unpack_ln(u16_at(8)),
                runs: b[10],
            }
        });
        Some(History {
            jobs: jobs.collect(),
            within_job_var: f64::from(packed.within_job_var.min(1_000_000)) / 1_000.0,
            within_job_tasks: f64::from(packed.within_job_tasks.min(1_000_000)) / 1_000.0,
            runs: packed.runs,
        })
    }
}
