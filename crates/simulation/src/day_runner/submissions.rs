//! Submissions of jobs by the users of a day.

use super::{to_ms, DayRun};
use crate::day::{self, Class};
use glenmount_core::model::{JobKind, JobPriority, JobSpec, Resources};
use rand::Rng;
use rand_distr::{Distribution, LogNormal};

/// Standard deviation of the logarithms of sizes and run times: one in twenty is above 2.7 times the median.
const LOG_NORMAL_SIGMA: f64 = 0.6;
/// Number of images of a class that names none.
const DEFAULT_IMAGES: u32 = 8;

/// Returns the spec of a job of a class.
fn job_spec(class: &Class, id: &str, tasks: u32, estimate_s: f64) -> JobSpec {
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
            ..Resources::default()
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
    /// Submits the jobs that are due. The gaps between submissions of a class are exponentially distributed.
    pub(super) fn submit(&mut self) {
        let now_s = self.sim.now_ms as f64 / 1e3;
        for (index, class) in self.day.classes.iter().enumerate() {
            if self.sim.now_ms == 0 {
                for _ in 0..class.initial {
                    self.submit_job(index, class);
                }
            }
            let rate = class.rate * self.rate_factors[index];
            while rate > 0.0 && self.next_submission_s[index] <= now_s {
                if self.next_submission_s[index] > 0.0 {
                    self.submit_job(index, class);
                }
                let gap_s = -self.rng.gen_range(1e-9_f64..1.0).ln() / rate;
                self.next_submission_s[index] = now_s.max(self.next_submission_s[index]) + gap_s;
            }
        }
    }

    /// Draws from a log-normal distribution around a median.
    fn draw_around(&mut self, median: f64) -> f64 {
        let distribution = LogNormal::new(median.max(1e-3).ln(), LOG_NORMAL_SIGMA)
            .expect("a valid standard deviation");
        distribution.sample(&mut self.rng)
    }

    /// A user submits a job of a class.
    fn submit_job(&mut self, class_index: usize, class: &Class) {
        let id = format!("j-{:06}", self.next_job);
        self.next_job += 1;
        let max_tasks = f64::from(class.tasks_max.unwrap_or((class.tasks * 5.0) as u32).max(1));
        let tasks = self.draw_around(class.tasks).round().clamp(1.0, max_tasks) as u32;
        let run_s = self.draw_around(class.run_s).clamp(0.5, class.run_s * 4.0);
        let estimate_error = self.draw_around(1.0).clamp(0.4, 2.5);
        let team = class.teams[self.rng.gen_range(0..class.teams.len())].clone();
        let image = self
            .rng
            .gen_range(0..class.images.unwrap_or(DEFAULT_IMAGES));
        let estimate_s = if class.service {
            0.0
        } else {
            run_s * estimate_error
        };
        let is_cancelled = class.cancelled_share > 0.0 && self.rng.gen_bool(class.cancelled_share);
        // Users cancel each service after the drawn run time.
        let cancel_at_ms = match class.service {
            true => Some(self.sim.now_ms + to_ms(run_s)),
            false => is_cancelled.then(|| self.sim.now_ms + to_ms(run_s / 2.0)),
        };
        let spec = JobSpec {
            team,
            image: format!("{}-{image}", class.name),
            ..job_spec(class, &id, tasks, estimate_s)
        };
        self.sim.workload.job_run_ms.insert(id, to_ms(run_s));
        self.users
            .add_user(&mut self.sim, class_index, spec, cancel_at_ms);
    }
}
