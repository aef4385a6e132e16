//! Every fixed number of the estimates, with its unit and the reason for it.

/// Shortest run time told apart, in seconds. The longest is thirty days.
pub const MIN_RUN_S: f64 = 0.1;
/// The longest, see [`MIN_RUN_S`].
pub const MAX_RUN_S: f64 = 2_592_000.0;
/// Jobs remembered per class. Twice the weight that the latest of them have in all (1 / (1 - JOB_DECAY)
/// is 12), so that what falls out weighs little, in some 300 bytes.
pub const JOBS_PER_CLASS_MAX: usize = 24;
/// What a job weighs for each later one of its class: the latest dozen decide.
pub const JOB_DECAY: f64 = 0.92;
/// Tasks of one job that count: more say nothing new of it.
pub const RUNS_PER_JOB_MAX: u8 = 250;
/// Weight, in jobs, of what stands in for a class that has no history, ...
pub const PRIOR_JOBS: f64 = 2.0;
/// ... halved by so many jobs of its own.
pub const PRIOR_HALVING_JOBS: f64 = 4.0;
/// Standard deviation, in logarithms, of owners' estimates about which nothing is known: they are
/// "often wrong by half, sometimes by more".
pub const OWNER_ESTIMATE_SD: f64 = 0.6;
/// Median run time, in seconds, of work about which nothing at all is known, and ...
pub const DEFAULT_MEDIAN_S: f64 = 60.0;
/// ... its standard deviation in logarithms: a factor of 12 either way.
pub const DEFAULT_SD: f64 = 1.5;
/// Jobs by which a team's bias counts for less than that of all teams, and theirs for less than none.
pub const BIAS_SHRINKAGE_JOBS: f64 = 4.0;
/// Latest jobs of each class that tell of its team's bias: they are the day's.
pub const BIAS_JOBS_PER_CLASS: usize = 6;
/// Strength of the assumption that run times are proportional to the owner's estimates, in squared
/// logarithms: that of a few jobs.
pub const SLOPE_RIDGE: f64 = 1.0;
/// Slope of run times over the owner's estimates at most.
pub const MAX_SLOPE: f64 = 1.3;
/// Standard deviation, in logarithms, of tasks within a job, of which nothing is known yet, ...
pub const WITHIN_JOB_SD: f64 = 0.3;
/// ... with the weight of so many tasks; ...
pub const WITHIN_JOB_PRIOR_TASKS: f64 = 4.0;
/// ... of later ones so many count, so that it follows changes.
pub const WITHIN_JOB_MAX_TASKS: f64 = 100.0;
/// Least variance of tasks within a job, in squared logarithms.
pub const WITHIN_JOB_MIN_VAR: f64 = 1e-4;
/// Factor at most by which jobs are drawn apart so that a mixture has the variance of a new job's.
pub const MAX_KERNEL_STRETCH: f64 = 1.2;
/// Least standard deviation of a job's run time about its estimate: machines of a type differ by a
/// tenth.
pub const MIN_SD: f64 = 0.08;
/// Latest jobs from which on a change of level is seen; fewer may be freaks.
pub const CHANGE_MIN_JOBS: usize = 3;
/// A change of level is one by so many standard errors of the median of the jobs since. By chance
/// a class without changes shows one in some thousand jobs.
pub const CHANGE_MIN_ERRORS: f64 = 3.4;
/// Standard error of a median relative to that of a mean, for normal values.
pub const MEDIAN_ERROR_FACTOR: f64 = 1.25;
/// Least standard deviation taken for that.
pub const CHANGE_MIN_SD: f64 = 0.12;
/// What jobs before a change of level still weigh.
pub const CHANGE_DECAY: f64 = 0.03;
/// Images tell run times apart in a class when they explain this part of its variance, ...
pub const IMAGE_MIN_EXPLAINED_SHARE: f64 = 0.5;
/// ... seen on so many jobs with an image that has at least two of them.
pub const IMAGE_MIN_JOBS: usize = 6;
/// What a job with another image weighs then.
pub const OTHER_IMAGE_WEIGHT: f64 = 0.1;
/// Least deviation from the level before that a change takes, in standard deviations of it.
pub const CHANGE_MIN_DEVIATIONS: f64 = 0.5;
/// Factor by which a run that was cut short, and outlasted all that is known, is taken to go on.
pub const CENSORED_EXTENSION_FACTOR: f64 = 1.4;
/// The lower quantile of the interval that says how sure an estimate is: 90 in 100 runs lie within.
pub const LOW_QUANTILE: f64 = 0.05;
/// The upper one, see [`LOW_QUANTILE`].
pub const HIGH_QUANTILE: f64 = 0.95;
/// Classes remembered; the least used go first.
pub const CLASSES_MAX: usize = 400;
/// Bytes of a team's or class's name that a record shows; the whole names are in its key's hash.
pub const RECORD_NAME_MAX_BYTES: usize = 60;
/// Machines whose speed is followed.
pub const MACHINES_MAX: usize = 8_000;
/// Runs on a machine from which on it can count as slow, ...
pub const SLOW_MIN_RUNS: f64 = 3.0;
/// ... when they took so much longer than estimated, in logarithms (a factor of 1.6); sound
/// machines differ by a tenth.
pub const SLOW_MIN_EXCESS: f64 = 0.47;
/// Share of the latest run in what is known of a machine's speed.
pub const SPEED_LATEST_SHARE: f64 = 0.25;
