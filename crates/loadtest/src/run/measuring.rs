//! The main loop of a run: samples all processes once a second and computes the figures of the measured
//! phase.

use super::setup::LoadTest;
use super::snapshot::{max_window_mean, mean, Snapshot};
use super::usage_recorder::UsageRecorder;
use super::RunError;
use crate::measurement::figures::{Figures, StartRates};
use crate::measurement::result::RunResult;
use crate::plan::Plan;
use crate::processes::usage::machine_memory_mb;
use crate::sync::lock;
use std::collections::BTreeMap;
use std::process;
use std::sync::atomic::Ordering::Relaxed;
use tokio::time::sleep_until;

/// Share of the machine's memory that a run may use.
const MAX_MEMORY_SHARE: f64 = 0.5;

/// The seconds of a run at which its phases begin and end.
#[derive(Clone, Copy)]
struct Phases {
    measured_from_s: u64,
    measured_until_s: u64,
    ends_s: u64,
}

impl Phases {
    fn of(plan: &Plan) -> Phases {
        let measured_from_s = plan.warm_up_s.ceil() as u64;
        let measured_until_s = measured_from_s + plan.seconds.ceil() as u64;
        Phases {
            measured_from_s,
            measured_until_s,
            ends_s: measured_until_s + plan.settle_s.ceil() as u64,
        }
    }

    fn is_measured(self, second: u64) -> bool {
        (self.measured_from_s..=self.measured_until_s).contains(&second)
    }
}

/// The samples taken once a second.
struct Recording {
    controllers: Vec<UsageRecorder>,
    stand_ins: UsageRecorder,
    /// The counters at the start of the measured phase.
    begin: Option<Snapshot>,
    /// Number of running tasks in each second of the measured phase.
    running_tasks: Vec<usize>,
}

impl Recording {
    fn new(controllers: usize) -> Recording {
        Recording {
            controllers: (0..controllers).map(|_| UsageRecorder::default()).collect(),
            stand_ins: UsageRecorder::default(),
            begin: None,
            running_tasks: Vec::new(),
        }
    }

    fn sample(&mut self, process_ids: Vec<Option<u32>>) {
        for (recorder, process_id) in self.controllers.iter_mut().zip(process_ids) {
            recorder.sample(process_id);
        }
        self.stand_ins.sample(Some(process::id()));
    }

    fn resident_mb(&self) -> f64 {
        let recorders = self.controllers.iter().chain([&self.stand_ins]);
        recorders.map(UsageRecorder::resident_mb).sum()
    }

    fn max_controller_mb(&self) -> f64 {
        let resident_mb = self.controllers.iter().map(UsageRecorder::resident_mb);
        resident_mb.fold(0.0, f64::max)
    }

    /// Resets latencies and processor times and takes the first snapshot of the measured phase.
    fn begin(&mut self, load_test: &LoadTest) {
        load_test.environment.latencies.clear();
        let recorders = self.controllers.iter_mut();
        recorders
            .chain([&mut self.stand_ins])
            .for_each(UsageRecorder::reset_cpu);
        self.begin = Some(Snapshot::take(load_test));
    }
}

impl LoadTest {
    /// Executes the run to its end and returns its result.
    pub async fn measure(&self, progress: bool) -> Result<RunResult, RunError> {
        let environment = &self.environment;
        let phases = Phases::of(&environment.plan);
        let allowed_mb = machine_memory_mb() * MAX_MEMORY_SHARE;
        let mut recording = Recording::new(self.controllers.count());
        let mut figures = Figures::default();
        for second in 0..=phases.ends_s {
            sleep_until(environment.instant_at(second * 1_000)).await;
            let now_ms = environment.now_ms();
            lock(&environment.invariants).check_cancelled_jobs(now_ms);
            recording.sample(self.controllers.process_ids());
            let used_mb = recording.resident_mb();
            if used_mb > allowed_mb {
                return Err(RunError::Memory {
                    used_mb,
                    allowed_mb,
                });
            }
            let running_tasks = lock(&environment.invariants).running_tasks();
            if progress {
                let measured_s = second as i64 - phases.measured_from_s as i64;
                self.print_progress(second, measured_s, running_tasks, &recording);
            }
            if second == phases.measured_from_s {
                recording.begin(self);
            }
            if phases.is_measured(second) {
                recording.running_tasks.push(running_tasks);
            }
            if second == phases.measured_until_s {
                figures = self.figures(&recording, phases);
            }
        }
        figures.latencies = environment.latencies.quantiles();
        Ok(RunResult {
            plan: environment.plan.clone(),
            figures,
            violations: lock(&environment.invariants).violations().to_vec(),
            exited_controllers: self.controllers.unexpected_exits(),
            finished: true,
        })
    }

    fn print_progress(
        &self,
        second: u64,
        measured_s: i64,
        running_tasks: usize,
        recording: &Recording,
    ) {
        let count_in_last_second = |counts: Vec<u64>| {
            let last_second = (second as usize).checked_sub(1);
            last_second
                .and_then(|last_second| counts.get(last_second).copied())
                .unwrap_or(0)
        };
        let environment = &self.environment;
        eprintln!(
            "{measured_s:>4} s  workers {:5}  running {running_tasks:6}  asked {:5}/s  \
             started {:5}/s  controller memory {:.0} MB  breaches {}",
            self.fleet.powered_count(),
            count_in_last_second(environment.tasks_submitted.totals()),
            count_in_last_second(environment.tasks_started.totals()),
            recording.max_controller_mb(),
            lock(&environment.invariants).violations().len(),
        );
    }

    /// Computes the figures of the measured phase at its end, except for the latencies, which
    /// [`LoadTest::measure`] adds after the run.
    fn figures(&self, recording: &Recording, phases: Phases) -> Figures {
        let Some(begin) = &recording.begin else {
            return Figures::default();
        };
        let environment = &self.environment;
        let rates = Snapshot::take(self).rates_since(begin);
        let seconds = rates.seconds;
        let measured_span = phases.measured_from_s as usize..phases.measured_until_s as usize;
        let submitted = &environment.tasks_submitted.totals()[measured_span.clone()];
        let started = &environment.tasks_started.totals()[measured_span];
        let running = &recording.running_tasks;
        let controllers = recording.controllers.iter();
        Figures {
            seconds,
            workers: self.fleet.powered_count(),
            mean_running_tasks: running.iter().sum::<usize>() as f64 / running.len().max(1) as f64,
            max_running_tasks: running.iter().copied().max().unwrap_or(0),
            controllers: controllers.map(|usage| usage.usage(seconds)).collect(),
            stand_ins: recording.stand_ins.usage(seconds),
            traffic: rates.traffic,
            record_changes: rates.record_changes,
            transactions: rates.transactions,
            records: self.state_store.read(|store| store.usage_by_kind()),
            starts: StartRates {
                requested: mean(submitted),
                requested_best_10s: max_window_mean(submitted),
                started: mean(started),
                started_best_10s: max_window_mean(started),
            },
            latencies: BTreeMap::new(),
            worker_bandwidth: rates.worker_bandwidth,
            unexpected_answers: environment.unexpected_answers.totals(),
            worker_messages: environment.worker_messages.totals(),
            largest_heartbeat_bytes: Some(environment.largest_heartbeat_bytes.load(Relaxed)),
        }
    }
}
