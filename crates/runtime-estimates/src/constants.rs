//! The constants of the estimates. Values in logarithms are natural logarithms of seconds.

/// Shortest run time that estimates distinguish.
pub const MIN_RUN_S: f64 = 0.1;
/// Longest run time that estimates distinguish: thirty days.
pub const MAX_RUN_S: f64 = 2_592_000.0;
/// Jobs kept per class, in some 300 bytes. The latest jobs weigh 12 jobs in all (1 / (1 - JOB_DECAY)). Twice as many
/// are kept, so that a job that is dropped weighs little.
pub const JOBS_PER_CLASS_MAX: usize = 24;
/// Factor by which the weight of a job falls with each later job of its class: the latest dozen jobs decide.
pub const JOB_DECAY: f64 = 0.92;
/// Tasks of one job that count. Further ones add no information about the job.
pub const RUNS_PER_JOB_MAX: u8 = 250;
/// Weight of the prior in a class without history, in jobs.
pub const PRIOR_JOBS: f64 = 2.0;
/// Number of the class's own jobs that halves the weight of the prior.
pub const PRIOR_HALVING_JOBS: f64 = 4.0;
/// Standard deviation of an unknown owner's estimates, in logarithms: owners' estimates are "often wrong by half,
/// sometimes by more".
pub const OWNER_ESTIMATE_SD: f64 = 0.6;
/// Median run time of work without any history or estimate.
pub const DEFAULT_MEDIAN_S: f64 = 60.0;
/// Standard deviation of the run time of such work, in logarithms: a 90% interval of a factor of 12 either way.
pub const DEFAULT_SD: f64 = 1.5;
/// Weight of the parent distribution in jobs: that of all teams for a team's bias, and that of an unknown owner for
/// the bias of all teams.
pub const BIAS_SHRINKAGE_JOBS: f64 = 4.0;
/// Latest jobs of each class that determine its team's bias. Few, so that the bias is that of the current day.
pub const BIAS_JOBS_PER_CLASS: usize = 6;
/// Strength of the assumption that run times are proportional to the owner's estimates, in squared logarithms: as
/// strong as the evidence of a few jobs.
pub const SLOPE_RIDGE: f64 = 1.0;
/// Largest slope of run times over the owner's estimates.
pub const MAX_SLOPE: f64 = 1.3;
/// Standard deviation of the tasks within a job before any is known, in logarithms.
pub const WITHIN_JOB_SD: f64 = 0.3;
/// Weight of `WITHIN_JOB_SD`, in tasks.
pub const WITHIN_JOB_PRIOR_TASKS: f64 = 4.0;
/// Largest weight of the earlier tasks, in tasks, so that the variance within jobs follows changes.
pub const WITHIN_JOB_MAX_TASKS: f64 = 100.0;
/// Smallest variance of the tasks within a job, in squared logarithms.
pub const WITHIN_JOB_MIN_VAR: f64 = 1e-4;
/// Largest factor by which jobs are moved away from their mean so that the mixture has the variance of a new job.
pub const MAX_KERNEL_STRETCH: f64 = 1.2;
/// Smallest standard deviation of a job's run time about its estimate, in logarithms: machines of one type differ by
/// a tenth.
pub const MIN_SD: f64 = 0.08;
/// Jobs after a change of level that are needed to detect it. Fewer may be outliers.
pub const CHANGE_MIN_JOBS: usize = 3;
/// Standard errors of the median of the later jobs that make a difference a change of level. By chance, a class
/// without changes shows one in some thousand jobs.
pub const CHANGE_MIN_ERRORS: f64 = 3.4;
/// Standard error of a median relative to that of a mean, for normally distributed values.
pub const MEDIAN_ERROR_FACTOR: f64 = 1.25;
/// Smallest standard deviation that the detection of a change assumes, in logarithms.
pub const CHANGE_MIN_SD: f64 = 0.12;
/// Factor on the weight of jobs before a change of level.
pub const CHANGE_DECAY: f64 = 0.03;
/// Smallest part of a class's variance that images must explain to distinguish run times.
pub const IMAGE_MIN_EXPLAINED_SHARE: f64 = 0.5;
/// Jobs that are needed to tell whether images distinguish run times. Only jobs whose image has at least two jobs
/// count.
pub const IMAGE_MIN_JOBS: usize = 6;
/// Factor on the weight of jobs with another image, if images distinguish run times.
pub const OTHER_IMAGE_WEIGHT: f64 = 0.1;
/// Smallest deviation of each later job from the earlier level in a change of level, in standard deviations of the
/// earlier jobs.
pub const CHANGE_MIN_DEVIATIONS: f64 = 0.5;
/// Factor by which the run time of an interrupted run is assumed to exceed its elapsed time, if that is longer than
/// all known run times.
pub const CENSORED_EXTENSION_FACTOR: f64 = 1.4;
/// Lower quantile of the interval of an estimate, which holds 90 of 100 runs.
pub const LOW_QUANTILE: f64 = 0.05;
/// Upper quantile of the interval of an estimate.
pub const HIGH_QUANTILE: f64 = 0.95;
/// Classes kept. The least recently used ones are evicted first.
pub const CLASSES_MAX: usize = 400;
/// Bytes of a team's or class's name in a record. The record's key holds a hash of the whole names.
pub const RECORD_NAME_MAX_BYTES: usize = 60;
/// Machines whose speed is tracked.
pub const MACHINES_MAX: usize = 8_000;
/// Runs on a machine before it can count as slow.
pub const SLOW_MIN_RUNS: f64 = 3.0;
/// Mean logarithm by which runs on a slow machine exceed their estimates (a factor of 1.6). Sound machines differ by
/// a tenth.
pub const SLOW_MIN_EXCESS: f64 = 0.47;
/// Weight of the latest run in a machine's mean excess.
pub const SPEED_LATEST_SHARE: f64 = 0.25;
