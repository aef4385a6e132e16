//! What users submit, class by class.

use super::{to_ms, DayRun};
use crate::day::{self, Class};
use glenmount_core::model::{JobKind, JobPriority, JobSpec, Resources};
use rand::Rng;
use rand_distr::{Distribution, LogNormal};

/// Spread of sizes and run times: one in twenty is 2.7 times the median.
const SIGMA: f64 = 0.6;
/// Images of a class that does not say how many it has.
const IMAGES: u32 = 8;

/// A job as its class describes it, of a size drawn by chance.
fn spec_of(class: &Class, id: &str, tasks: u32, estimate_s: f64) -> JobSpec {
    JobSpec {
        id: id.to_string(),
        class: class.name.clone(),
        team: String::new(),
        kind: match class.service {
            true => JobKind::Service,
            false => JobKind::Array,
        },
        priority: day::parse_priority(&class.priority).unwrap_or(JobPriority::Normal),
        tasks,
        resources: Resources {
            cpus: (class.cpus * 1e3) as u64,
            gpus: 0,
            ram: (class.cpus * 2e3) as u64,
        },
        image: String::new(),
        image_gb: 1.2,
        machine_types: None,
        zone: None,
        zone_affinity: false,
        topology_spread: class.topology_spread,
        spot: class.spot,
        estimate_s,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: class.deadline_factor.map(|f| f * estimate_s + 10.0),
        dependencies: Vec::new(),
    }
}

impl DayRun<'_> {
    pub(super) fn submit(&mut self) {
        let now_s = self.sim.now_ms as f64 / 1e3;
        for (at, class) in self.day.classes.iter().enumerate() {
            if self.sim.now_ms == 0 {
                for _ in 0..class.initial {
                    self.submit_job(at, class);
                }
            }
            let rate = class.rate * self.rate_factors[at];
            while rate > 0.0 && self.next_submission_s[at] <= now_s {
                if self.next_submission_s[at] > 0.0 {
                    self.submit_job(at, class);
                }
                let gap = -self.rng.gen_range(1e-9_f64..1.0).ln() / rate;
                self.next_submission_s[at] = now_s.max(self.next_submission_s[at]) + gap;
            }
        }
    }

    fn draw_around(&mut self, median: f64) -> f64 {
        let spread = LogNormal::new(median.max(1e-3).ln(), SIGMA).expect("a fixed spread");
        spread.sample(&mut self.rng)
    }

    /// A user submits a job of a class.
    fn submit_job(&mut self, at: usize, class: &Class) {
        let id = format!("j-{:06}", self.next_job);
        self.next_job += 1;
        let most = f64::from(class.tasks_max.unwrap_or((class.tasks * 5.0) as u32).max(1));
        let tasks = self.draw_around(class.tasks).round().clamp(1.0, most) as u32;
        let run_s = self.draw_around(class.run_s).clamp(0.5, class.run_s * 4.0);
        let wrong = self.draw_around(1.0).clamp(0.4, 2.5);
        let team = class.teams[self.rng.gen_range(0..class.teams.len())].clone();
        let image = self.rng.gen_range(0..class.images.unwrap_or(IMAGES));
        let estimate_s = if class.service { 0.0 } else { run_s * wrong };
        let cancelled = class.cancelled_share > 0.0 && self.rng.gen_bool(class.cancelled_share);
        // Services stay for a while, then their users cancel them.
        let cancel_at = match class.service {
            true => Some(self.sim.now_ms + to_ms(run_s)),
            false => cancelled.then(|| self.sim.now_ms + to_ms(run_s / 2.0)),
        };
        let spec = JobSpec {
            team,
            image: format!("{}-{image}", class.name),
            ..spec_of(class, &id, tasks, estimate_s)
        };
        self.sim.workload.job_run_ms.insert(id, to_ms(run_s));
        self.users.add_user(&mut self.sim, at, spec, cancel_at);
    }
}
