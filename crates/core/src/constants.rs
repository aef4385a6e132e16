//! Constants that are the same in every deployment. Values that depend on a deployment are in its settings.

pub mod messages;

/// Interval between two housekeeping steps, short enough for timeouts of a few seconds.
pub const HOUSEKEEPING_INTERVAL_MS: u64 = 200;

/// Gap between two events from which a controller concludes that its process was paused. Its clock ticks
/// every 50 ms, and workers and users wait at least 2 s for a response.
pub const PAUSE_DETECTION_MS: u64 = 2_000;
/// Time after a pause for which a controller may stay not ready while it waits for a current read. If no
/// other controller is ready either, users are routed to it again afterwards and get a `Retry-After`.
pub const PAUSE_RECOVERY_TIMEOUT_MS: u64 = 2_000;

/// Interval between two checks of all machines for silent, idle or stuck ones.
pub const FAILURE_DETECTION_INTERVAL_MS: u64 = 400;

/// Interval between two full scheduling passes that nothing else triggers. The watch normally triggers
/// them; the interval makes up for a lost message.
pub const SCHEDULING_INTERVAL_MS: u64 = 5_000;

/// Longest delay before a controller schedules jobs that a peer accepted. The accepting controller goes
/// first, so that the controllers do not claim the same tasks.
pub const PEER_JOB_SCHEDULING_DELAY_MS: u64 = 700;

/// Limit of tasks in a chunk record. A claim or a release writes the whole chunk.
pub const CHUNK_MAX_TASKS: u32 = 100;
/// Bytes reserved per task when the value limit sets the size of a chunk. An assignment takes about 60.
pub const CHUNK_TASK_BYTES: u64 = 76;
/// Size of an assignment without the name of its machine and without a stop reason.
pub const ASSIGNMENT_BYTES: usize = 60;
/// Size of a chunk record without its tasks and names.
pub const CHUNK_BASE_BYTES: usize = 120;
/// Bytes reserved per task when the value limit sets the size of a compact chunk. An assignment takes 8 to
/// 12, and 10 more once its start is delivered again under a new delivery and it gets a stop reason.
pub const COMPACT_TASK_BYTES: u64 = 20;
/// Size of a compact assignment without the name of its machine: its attempt and its start. A new name may
/// also shorten the common prefix; `VALUE_MARGIN_BYTES` covers the growth of the other names.
pub const COMPACT_ASSIGNMENT_BYTES: usize = 24;
/// Growth of an assignment, beyond its reserved bytes, when its start is delivered again under a new
/// delivery and it gets a stop reason.
pub const ASSIGNMENT_EDIT_BYTES: usize = 10;
/// Margin added to the length of a serialized value, in case the state store counts spaces.
pub const VALUE_MARGIN_BYTES: usize = 48;
/// Limit of remembered records that were too large for the state store.
pub const REFUSED_RECORDS_MAX: usize = 1_000;
/// Interval after which records that were too large are written again.
pub const REFUSED_RECORDS_RETRY_MS: u64 = 30_000;
/// Bytes reserved for a machine name in an instance request record. Known names take 8.
pub const MACHINE_NAME_BYTES: u64 = 24;
/// Bytes reserved in a transaction for any other record, including its key.
pub const SMALL_RECORD_BYTES: usize = 900;
/// Bytes reserved for a key in a transaction.
pub const KEY_BYTES: usize = 60;
/// Upper bound of the assumed duration of an image fetch.
pub const IMAGE_FETCH_MAX_MS: u64 = 120_000;
/// Limit of images remembered per machine. A cache of 70 GB holds about 50 images of 1.4 GB.
pub const MACHINE_IMAGES_MAX: usize = 64;
/// Limit of distinct images whose locations are tracked.
pub const TRACKED_IMAGES_MAX: usize = 20_000;
/// Limit of the total size of a transaction: 64 KiB by protocol, less a margin.
pub const TRANSACTION_MAX_BYTES: usize = 60_000;
/// Changes per transaction that the state store must allow. A claim writes the chunk, the team record and
/// the zone spread of the job.
pub const REQUIRED_TRANSACTION_CHANGES: u32 = 3;
/// Value size that the state store must allow. A job with the longest names takes about 1,100 bytes.
pub const REQUIRED_VALUE_KIB: f64 = 1.5;
/// Conditions allowed per change of a transaction, by protocol.
pub const CONDITIONS_PER_CHANGE: usize = 4;

/// Interval between two reads that prove the cache current. Requests that arrive meanwhile share a read:
/// users wait 2 s for a status, and poll the status of hundreds of services all the time.
pub const READ_INDEX_INTERVAL_MS: u64 = 120;
/// Burst of a controller's changes to the state store, in seconds of its rate. The state store allows
/// a burst of one second for all controllers.
pub const WRITE_BURST_S: f64 = 0.9;
/// Changes that must be available before a flush or a claim is drafted.
pub const MIN_AVAILABLE_CHANGES: usize = 4;
/// Unrecorded results above which results are written in larger transactions.
pub const BACKLOG_MIN_RESULTS: usize = 40;
/// Changes that must be available before results are written from a backlog.
pub const BACKLOG_MIN_AVAILABLE_CHANGES: usize = 12;
/// Delay after which a result is written before other results that would share a change. Users expect
/// `done` within 3 s.
pub const RESULT_MAX_DELAY_MS: u64 = 1_200;
/// Interval between two transactions that record the results of heartbeats. Results that arrive together
/// share the write of their chunk.
pub const RESULTS_WRITE_INTERVAL_MS: u64 = 250;
/// Timeout after which an undecided submission is answered with 503. Users give up after 5 s.
pub const SUBMIT_TIMEOUT_MS: u64 = 3_500;
/// Timeout after which an undecided status request is answered with 503. Users give up after 2 s.
pub const STATUS_TIMEOUT_MS: u64 = 1_500;
/// `Retry-After` for a job with dependencies during a rolling upgrade. A controller takes a few seconds to
/// restart.
pub const UPGRADE_RETRY_AFTER_S: u32 = 5;
/// Delay after which other controllers cancel the dependents of a cancelled job, in case the controller
/// that received the cancellation has not done so.
pub const CASCADE_TAKEOVER_DELAY_MS: u64 = 1_500;
/// Amount by which the shared term is raised once no task remains of cancellations that were answered at
/// their commit. Terms start at 1, and rise by 1 at most twice a second while attempts wait to be forgotten; a
/// machine's token rises by 1 with each lost command, at most once a second. A rolling upgrade, before whose end
/// the term is raised by this amount, takes less than the months until it would be reached that way.
pub const CONFIRMED_CANCELLATION_TERM: u64 = 1 << 24;
/// Time that a cancellation waits for the tasks of its job to end. A stop takes a few milliseconds, its
/// worker reports the end within 500 ms, and the result is recorded within 250 ms.
pub const CANCEL_RESPONSE_TIMEOUT_MS: u64 = 1_500;
/// `Retry-After` for a cancelled job with tasks on unreachable machines. The job stays unconfirmed until
/// these machines send heartbeats again or are deleted.
pub const CANCEL_RETRY_AFTER_S: u32 = 5;
/// Timeout after which a machine that still holds a cancelled task is deleted, so that its user gets a
/// confirmation. Users retry for 60 s, and a deletion takes a few seconds.
pub const CANCEL_UNCONFIRMED_TIMEOUT_MS: u64 = 40_000;
/// `Retry-After` for a request that could not be decided.
pub const RETRY_AFTER_S: u32 = 1;
/// `Retry-After` during an outage of the state store, which lasts longer than `RETRY_AFTER_S`.
pub const OUTAGE_RETRY_AFTER_S: u32 = 2;

/// Shortest timeout of a transaction. Some responses take a few hundred milliseconds.
pub const STATE_TIMEOUT_MS: u64 = 400;
/// Time without the state store and without any peer after which a controller considers itself isolated
/// and asks the load balancer to route users elsewhere. Lost peers are detected within this time too.
pub const ISOLATION_TIMEOUT_MS: u64 = 3_500;
/// Interval between two probes of a machine that sends heartbeats and may not receive commands. Each probe
/// without a response holds a connection for more than a second.
pub const UNREACHABLE_PROBE_INTERVAL_MS: u64 = 3_000;
/// Limit of machines with heartbeats, but possibly without commands, that are probed in one check.
pub const UNREACHABLE_PROBES_MAX: usize = 8;
/// Time without a successful response after which the state store counts as lost.
pub const STATE_LOST_TIMEOUT_MS: u64 = 1_500;
/// Interval between probe reads of the state store when nothing else is read.
pub const STATE_PROBE_INTERVAL_MS: u64 = 500;
/// Longest time that a transaction with a conflict waits for the watch before its retry.
pub const CONFLICT_RETRY_MAX_DELAY_MS: u64 = 400;
/// Lag of the watch behind a revision that was read after which it is reopened.
pub const WATCH_LAG_REOPEN_MS: u64 = 1_000;
/// Lag of the watch, reopened or not, after which the controller counts as cut off from the state store.
pub const WATCH_LAG_LOST_MS: u64 = 4_000;
/// Time for which the state store holds a watch request open.
pub const WATCH_POLL_TIMEOUT_MS: u64 = 10_000;

/// Interval between two heartbeats to each peer.
pub const PEER_HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Time after its start for which a controller reports that it has just started. It has read its records
/// and sent a few heartbeats by then.
pub const STARTUP_PERIOD_MS: u64 = 4_000;
/// Age from which the last heartbeat of a peer is no evidence of its state.
pub const PEER_HEARTBEAT_EXPIRY_MS: u64 = 2_500;

/// Shortest silence after which a peer counts as failed: two heartbeat intervals, which take 600 ms each in
/// steps of 200 ms, and the time to retransmit a packet.
pub const PEER_FAILURE_MIN_SILENCE_MS: u64 = 1_300;
/// Weight of a new heartbeat in the moving average of a peer's intervals: about a dozen of them count.
pub const HEARTBEAT_INTERVAL_WEIGHT: f64 = 0.08;
/// Mean deviations from the mean interval after which the silence of a peer is not due to chance.
pub const HEARTBEAT_INTERVAL_DEVIATIONS: f64 = 6.0;
/// Ratio of a peer's mean interval to the nominal interval from which it counts as short of processor time.
pub const HEARTBEAT_SLOW_FACTOR: f64 = 1.6;
/// Mean delay of clock ticks from which a controller counts as slow. Users wait 800 ms for an acceptance.
pub const TICK_DELAY_SLOW_MS: u32 = 300;
/// A slow controller counts its workers as more by one in this many when it decides on a handoff.
pub const SLOW_CONTROLLER_LOAD_DIVISOR: usize = 4;
/// Number of a silent peer's workers that must fail over to this controller before they count as evidence.
pub const FAILOVER_WORKERS_MIN: usize = 3;
/// One in this many of a silent peer's workers must fail over before they count as evidence.
pub const FAILOVER_WORKERS_DIVISOR: usize = 20;
/// Margin by which a peer's report about another peer may lag behind the local observation.
pub const PEER_OPINION_MARGIN_MS: u64 = 400;
/// A failover is complete when at most one in this many of the workers has not reported.
pub const FAILOVER_MISSING_DIVISOR: usize = 100;
/// A failover ends at the latest after this many times the duration of a worker's failover.
pub const FAILOVER_TIMEOUT_FACTOR: u64 = 3;
/// Limit of starts tracked until a heartbeat shows them, about 150 bytes each.
pub const STARTS_TRACKED_MAX: usize = 20_000;
/// Interval between two scheduling passes while the first heartbeats of machines arrive after a start.
pub const STARTUP_SCHEDULING_INTERVAL_MS: u64 = 250;
/// Time after which a controller shuts down whatever it still waits for, in addition to one heartbeat
/// interval of all workers.
pub const SHUTDOWN_MARGIN_MS: u64 = 2_000;
/// Delay after the loss of a peer before machines are probed for the starts that it claimed last. Starts
/// that the peer did send have arrived by then.
pub const FAILOVER_START_CHECK_DELAY_MS: u64 = 1_000;
/// Age of a start from which any later heartbeat of its machine ends its tracking here. The controller
/// that receives the heartbeat checks whether it shows the start.
pub const START_CONFIRMATION_WINDOW_MS: u64 = 3_000;
/// Interval between the takeover steps of two controllers after the loss of a peer.
pub const FAILOVER_STAGGER_MS: u64 = 100;
/// Interval between two ticks of a controller's clock.
pub const CLOCK_TICK_MS: u64 = 50;
/// Limit of machines probed for the last starts of a lost peer.
pub const FAILOVER_START_CHECKS_MAX: usize = 200;

/// Jobs are deferred once finishing all in time needs this many times the capacity. Below that, serving the
/// earliest due job first loses less than a wrong estimate would.
pub const DEFER_OVERLOAD_FACTOR: f64 = 1.25;
/// Share of the processors and changes that deferral plans with. Estimates are off by half, and later jobs
/// need their part (experiments/hot-classes.toml).
pub const DEFER_CAPACITY_SHARE: f64 = 0.5;
/// Changes of the state store per task, for claims, results and machines together, when many tasks share
/// the writes of their chunks (docs/design.md, Budget).
pub const CHANGES_PER_TASK: f64 = 0.7;
/// Sustained share of a controller's changes for acceptances. Each accepted task takes about 0.7 changes
/// more, and jobs have several tasks.
pub const ADMISSION_CHANGE_SHARE: f64 = 0.5;
/// Burst of acceptances, in seconds of all the controller's changes. It admits at once everything that was
/// submitted during an outage of 20 s.
pub const ADMISSION_BURST_S: f64 = 4.0;
/// Smallest burst of acceptances.
pub const ADMISSION_MIN_BURST: f64 = 20.0;
/// Time in which the recent acceptances of a team decay to a third (a factor of e).
pub const ADMISSION_DECAY_MS: f64 = 4_000.0;
/// Longest `Retry-After` of a submission that was not admitted. Users give up after 60 s.
pub const ADMISSION_MAX_RETRY_AFTER_S: u32 = 8;
/// Time after a disruption in which no task migrates, so that disrupted tasks are placed first.
pub const MIGRATION_COOLDOWN_MS: u64 = 10_000;
/// Largest share of a service's tasks on one machine, as long as other machines serve it as well.
pub const MACHINE_SHARE_OF_SERVICE: f64 = 0.5;
/// Time for which the queue order is cached, that is, which jobs are deferred.
pub const QUEUE_ORDER_CACHE_MS: u64 = 1_000;
/// Time after which the first part of a batch without started tasks becomes urgent. Users expect the
/// largest batches to start within four minutes, and freeing capacity takes one or two.
pub const BATCH_START_LATE_MS: u64 = 120_000;
/// The first part of a batch is one in this many of its tasks.
pub const BATCH_START_DIVISOR: u32 = 16;
/// Time for which a job within its team's guaranteed share counts as just arrived. It is to start within about
/// 10 s.
pub const NEW_JOB_MS: u64 = 12_000;

/// Age from which a peer heartbeat is dropped, by times of day that may differ. A network partition or a
/// pause of this controller delayed it, so that it does not describe the present.
pub const HEARTBEAT_MAX_AGE_MS: u64 = 1_500;
/// Consecutive direct commands without a response, and without a heartbeat meanwhile, after which a
/// controller considers itself partitioned from the workers whose heartbeats its peers still receive.
pub const PARTITION_UNANSWERED_COMMANDS: u32 = 3;
/// Shortest gap without any heartbeat after which a controller concludes that it was partitioned from its
/// workers. The gap must also cover as many missed heartbeats as `ZONE_MISSED_HEARTBEATS`.
pub const INBOUND_GAP_MIN_MS: u64 = 600;
/// Time after a rate limit error of the state store for which a controller keeps to its own share of
/// the rate.
pub const THROTTLE_PERIOD_MS: u64 = 20_000;
/// Interval between the probes with which a partitioned controller tests whether workers reach it again.
pub const PARTITION_PROBE_INTERVAL_MS: u64 = 1_000;
/// A controller hands off workers when it has more than this factor times the mean.
pub const HANDOFF_LOAD_FACTOR: f64 = 1.15;
/// Workers above the mean that a controller keeps. An even load is not worth moving so few.
pub const HANDOFF_MIN_EXCESS_WORKERS: usize = 3;
/// Limit of workers handed off between two heartbeats.
pub const HANDOFF_MAX_WORKERS: usize = 24;
/// Interval between two workers handed off to a peer without workers. If the peer is partitioned from the
/// workers, each of them loses a few seconds.
pub const HANDOFF_PROBE_INTERVAL_MS: u64 = 6_000;

/// Longest delay of a heartbeat's reply for a transaction that it caused. Workers time out after 4 s.
pub const HEARTBEAT_REPLY_MAX_DELAY_MS: u64 = 3_200;

/// Time that a worker needs to fail over to another controller: a timeout of 4 s and a pause of 1 s.
pub const WORKER_FAILOVER_MS: u64 = 5_000;
/// Time within which a worker that was handed off reaches its new controller: half a second and a heartbeat.
pub const WORKER_HANDOFF_MS: u64 = 1_000;
/// Margin added to a worker's failover before its silence counts.
pub const SILENCE_MARGIN_MS: u64 = 1_000;
/// Time after which a machine that has assigned tasks but no record is deleted.
pub const UNRECORDED_MACHINE_TIMEOUT_MS: u64 = 10_000;
/// Delay after an overdue heartbeat before its machine is probed with a direct command.
pub const PROBE_DELAY_MS: u64 = 500;
/// Time for which a failed direct command is evidence against a silent machine.
pub const PROBE_VALIDITY_MS: u64 = 4_000;
/// Factor by which the silence limit is longer while many machines are silent: then the network or the
/// controllers are a more likely cause than the machines.
pub const MASS_SILENCE_FACTOR: u64 = 3;
/// Machines of a zone from which the zone as a whole can count as silent. Fewer may well fail together.
pub const ZONE_MIN_MACHINES: u64 = 8;
/// Heartbeats expected from a zone during the silence after which it counts as unreachable. The
/// probability that none arrives by chance is e to the power of minus this number.
pub const ZONE_MISSED_HEARTBEATS: u64 = 12;
/// One in this many machines of a zone must be overdue before it counts as unreachable.
pub const ZONE_OVERDUE_DIVISOR: u64 = 50;
/// Machines of a zone that must be overdue at least, since single machines fail at any time.
pub const ZONE_OVERDUE_MIN_MACHINES: u64 = 3;
/// Silence of a zone after which machines that hold no running tasks are deleted: empty ones, and those of
/// a zone that failed rather than was partitioned.
pub const ZONE_EVACUATION_MAX_WAIT_MS: u64 = 240_000;
/// Silence of a zone after which starts in flight to it count as lost. The few that did arrive are started
/// again elsewhere.
pub const ZONE_UNCONFIRMED_START_MS: u64 = 6_000;
/// Time for which a zone must count as silent before its machines are deleted: several heartbeats of
/// peers that may still receive its heartbeats.
pub const ZONE_CONFIRM_MS: u64 = 3_000;
/// Margin after the lease until all tasks have ended in a zone without a controller. A heartbeat may have
/// been sent a while before it arrived, but not after.
pub const ZONE_LEASE_MARGIN_MS: u64 = 1_000;
/// Silence after which the machines of a zone count as failed while heartbeats of all its controllers
/// arrive.
/// The cloud lists failed machines after about 30 s, and most hung machines resume sooner.
pub const ZONE_DEAD_MS: u64 = 40_000;
/// Silence of a zone after which its machines are deleted although their tasks may still run.
pub const ZONE_ABANDON_MS: u64 = 1_800_000;
/// Silence of a zone from which tasks that miss their deadline in any case restart elsewhere.
pub const ZONE_OVERDUE_WORK_MS: u64 = 60_000;
/// Time from the recovery of a zone until its results are on record: thousands of results at the state
/// store's rate of changes.
pub const ZONE_RECOVERY_MARGIN_MS: u64 = 5_000;
/// Limit of machines of failed zones deleted in one evaluation, so that other changes are not starved.
pub const ZONE_TERMINATIONS_MAX: usize = 40;
/// Interval between two evaluations of failed zones.
pub const ZONE_EVACUATION_INTERVAL_MS: u64 = 1_000;
/// Lead time for provisioning capacity outside a failed zone. A boot takes 15 to 35 s.
pub const ZONE_PROVISION_AHEAD_MS: u64 = 20_000;
/// Limit of machines of a silent zone that are probed in one check. Each probe without a response holds
/// a connection for more than a second, and starts elsewhere need these connections.
pub const ZONE_PROBES_MAX: usize = 2;
/// Interval between the executions of one step by two controllers, so that they do not run it at once.
pub const CONTROLLER_STAGGER_MS: u64 = 600;
/// Margin before `cancel_s` expires in which a halt or a deletion takes effect.
pub const CANCEL_MARGIN_MS: u64 = 5_000;
/// Share of `cancel_s` after which a machine that still holds a cancelled task is deleted.
pub const CANCEL_DELETE_SHARE: f64 = 0.6;
/// Time for which heartbeats may lack a start that was sent by a direct command before the machine's token
/// is raised. A command and the watch event of its claim take a few milliseconds each.
pub const START_MISSING_MS: u64 = 1_000;
/// Time for which the controller looks in the cache for a claim whose transaction got no response. The state store
/// applies late transactions within about 12 s.
pub const UNCERTAIN_CLAIM_MS: u64 = 30_000;
/// Margin after the timeout of a claim's transaction before its start is fenced and sent again. A response
/// that is merely slow arrives sooner.
pub const UNCERTAIN_CLAIM_MARGIN_MS: u64 = 200;
/// An incarnation that no worker has, since they count from 1. A worker rejects a command for it, and the
/// rejection shows that it is alive.
pub const NO_INCARNATION: u64 = 0;
/// Interval between two raises of the term while ended attempts wait to be forgotten.
pub const FORGET_RAISE_INTERVAL_MS: u64 = 5_000;
/// The same while they take up much of a machine's heartbeats.
pub const FORGET_MIN_RAISE_INTERVAL_MS: u64 = 500;
/// Time by which each controller leaves a raise of the term to those before it.
pub const FORGET_RAISE_STAGGER_MS: u64 = 300;
/// Time after a raise of the term within which starts under the previous one arrive at their workers.
pub const FORGET_TERM_SETTLE_MS: u64 = 1_000;
/// Time for which starts are sent with heartbeat replies after a direct command failed.
pub const COMMAND_BACKOFF_MS: u64 = 8_000;
/// Timeout of a direct command.
pub const COMMAND_TIMEOUT_MS: u64 = 1_200;

/// Interval between two log lines of metrics.
pub const METRICS_INTERVAL_MS: u64 = 30_000;
/// Longest duration that the metrics distinguish.
pub const METRICS_MAX_DURATION_MS: u64 = 600_000;
/// Limit of starts that the metrics track until they run.
pub const METRICS_MAX_TRACKED_STARTS: usize = 4_000;
/// Interval between two reads of the cloud's catalog.
pub const MACHINE_TYPES_INTERVAL_MS: u64 = 45_000;
/// Interval between two attempts to read the first catalog.
pub const MACHINE_TYPES_RETRY_MS: u64 = 1_000;
/// Interval between two reads of the cloud's instance list.
pub const INSTANCE_LIST_INTERVAL_MS: u64 = 8_000;
/// Instances per page of the list, by protocol.
pub const INSTANCE_LIST_PAGE: u32 = 500;
/// Limit of instances per instance request, by protocol.
pub const PROVISION_MAX_INSTANCES: u32 = 50;
/// Time for which an offer (type, zone and pricing) is not requested after the cloud refused it.
pub const OFFER_UNAVAILABLE_MS: u64 = 15_000;
/// Smallest share of the cloud's rate limit that a controller may use.
pub const CLOUD_MIN_RATE_SHARE: f64 = 0.5;
/// Interval after which any controller retries an instance request without an outcome.
pub const PROVISION_RETRY_MS: u64 = 4_000;
/// Interval after which an instance request is retried whose outcome could not be recorded.
pub const PROVISION_FAST_RETRY_MS: u64 = 300;
/// Limit of instance requests per step. A burst may need several types and zones.
pub const PROVISION_MAX_REQUESTS_PER_STEP: usize = 4;
/// Multiple of the catalog's boot time after which a booting machine is deleted.
pub const BOOT_TIMEOUT_FACTOR: f64 = 4.0;
/// Multiple of the catalog's boot time after which a booting machine is late. Most need 0.6 to 1.5.
pub const BOOT_LATE_FACTOR: f64 = 1.8;
/// Margin added to the time after which a booting machine is late, for clock differences and the first heartbeat.
pub const BOOT_LATE_MARGIN_MS: u64 = 5_000;
/// Late machines that are replaced without waiting for them, whatever their share.
pub const LATE_BOOTS_MIN: u32 = 3;
/// Late machines are also replaced while they are at most one in this many of all booting machines.
pub const LATE_BOOTS_DIVISOR: u32 = 5;
/// Margin added to the boot timeout, for lists and heartbeats to arrive.
pub const BOOT_TIMEOUT_MARGIN_MS: u64 = 20_000;
/// Time for which a machine stays idle before it is returned. The minimum charge is 60 s, and the next
/// work of the same kind usually arrives within this time.
pub const IDLE_TIMEOUT_MS: u64 = 45_000;
/// Ratio of a machine's price per used processor to the cheapest on-demand one from which the machine is
/// drained for scale-in. Below that, the migration of its services saves too little.
pub const SCALE_IN_PRICE_FACTOR: f64 = 2.0;
/// Time that a machine must have been up, without pending work, before scale-in. After only 30 s, machines
/// were returned that the next burst could not get back.
pub const SCALE_IN_AFTER_MS: u64 = 75_000;
/// Limit of the work that the preemption of a task for a batch may waste. With 12 s hardly any task
/// qualified when it mattered. Services may waste more, since a service that is not up serves nobody.
pub const PREEMPT_MAX_WASTE_MS: u64 = 45_000;
/// Time that a service waits for capacity on machines that hold its image. A stop, its confirmation and
/// the claim take about 500 ms.
pub const WARM_IMAGE_WAIT_MS: u64 = 1_000;
/// Fetch time of an image, at the rate of the fastest type, from which a service waits for a machine that
/// holds it.
pub const WARM_IMAGE_MIN_FETCH_MS: u64 = 1_000;
/// Time for which urgent work is pending before it preempts. Capacity often becomes free by itself.
pub const PREEMPT_URGENT_DELAY_MS: u64 = 250;
/// Time for which work that is not urgent is pending before it preempts. Work within a guaranteed share is
/// to start in about
/// 10 s, and a stop, a start and a fetch take several seconds.
pub const PREEMPT_DELAY_MS: u64 = 1_500;
/// Interval between two rounds of preemption.
pub const PREEMPT_INTERVAL_MS: u64 = 500;
/// Limit of tasks preempted in one round. Urgent jobs have up to about 60 tasks.
pub const PREEMPT_MAX_TASKS: usize = 32;
/// Limit of reads tracked separately until the watch reaches them. Further reads share the latest revision.
pub const PENDING_READS_MAX: usize = 64;
/// Limit of revisions whose times are kept, from which the age of an attempt follows.
pub const REVISION_TIMES_KEPT: usize = 4_000;
/// One task of a service migrates, and one machine is drained for scale-in, at a time for each this many
/// machines that are up, so that a large fleet takes no longer than a small one.
pub const MIGRATION_MACHINES_DIVISOR: usize = 20;
/// Limit of concurrent migrations and drains. Each costs about three changes and a start.
pub const MIGRATIONS_MAX: usize = 32;
/// Interval between two rounds of migrations. Each migration costs its service half a second.
pub const MIGRATION_INTERVAL_MS: u64 = 2_000;
/// Time after a migration in which a task does not migrate again, except off a machine that is to be removed.
pub const MIGRATION_REPEAT_DELAY_MS: u64 = 300_000;
/// Limit of migrated tasks that are remembered.
pub const TRACKED_MIGRATIONS_MAX: usize = 20_000;
/// Ratio of gain to cost that a migration needs.
pub const MIGRATION_MIN_GAIN_FACTOR: f64 = 2.0;
/// Gain, in seconds of a replica's time, of one task less in a zone with more than its share. A zone fails
/// for some minutes every few days, and a restart without free capacity takes long.
pub const SPREAD_GAIN_S: f64 = 20.0;
/// Cost of a migration besides the image fetch, in seconds of a replica's time: stop, confirmation, claim
/// and start.
pub const MIGRATION_COST_S: f64 = 1.5;
/// Interval between two deletion requests for the same machine.
pub const DELETE_RETRY_MS: u64 = 3_000;
/// Limit of machines per deletion request, by protocol.
pub const DELETE_MAX_MACHINES: usize = 100;

/// Distinct jobs that fail on a machine, without a success in between, before it counts as faulty.
pub const FAULTY_MACHINE_MIN_JOBS: usize = 2;
/// Limit of failed jobs listed in a machine's record. Some of them may turn out to be at fault themselves.
pub const MACHINE_FAULTS_MAX: usize = 6;
/// Distinct machines on which tasks of a job fail before the job itself counts as faulty.
pub const FAULTY_JOB_MIN_MACHINES: usize = 3;
/// First backoff of a failed task. It doubles with each further failure of a faulty job.
pub const TASK_BACKOFF_MS: u64 = 1_000;
/// Longest backoff of a failed task. A job that failed everywhere is retried with one task only.
pub const TASK_BACKOFF_MAX_MS: u64 = 20_000;

/// Interval between two cleanups of the state kept for deleted machines.
pub const CLEANUP_INTERVAL_MS: u64 = 10_000;
/// Limit of names of deleted machines that are kept, so that a late heartbeat does not add them again.
pub const DELETED_MACHINES_MAX: usize = 2_000;
/// Limit of pending user requests. Further requests are answered with 503.
pub const PENDING_REQUESTS_MAX: usize = 2_000;
/// Limit of a worker's incarnation: one restart a second for more than a century.
pub const MAX_INCARNATION: u64 = 1 << 32;
/// Limit of a worker's sequence number: a million messages a second for some years.
pub const MAX_SEQUENCE: u64 = 1 << 48;
/// Limit of tasks in a job, by protocol.
pub const JOB_MAX_TASKS: u64 = 100_000;
/// Services of the largest size for which capacity is reserved against lower priorities.
pub const RESERVE_SERVICES: u64 = 2;
/// The reserve takes at most one in this many of the processors of a zone's on-demand machines.
pub const RESERVE_DIVISOR: u64 = 8;
/// Time for which a job is pending before it may use the reserve. Users count a job as starved that is
/// pending for 90 s beside free capacity for it.
pub const RESERVE_ACCESS_DELAY_MS: u64 = 60_000;
/// Share of a job's estimated run time that must still fit for a goal to be in reach. Estimates are often
/// wrong by half.
pub const FEASIBLE_ESTIMATE_SHARE: f64 = 0.6;
/// Time after which a job without a goal in reach is due, counted from when it could start.
pub const NO_GOAL_DUE_MS: u64 = 900_000;
/// Share of this controller's changes for the records of run times.
pub const RUN_TIME_WRITE_SHARE: f64 = 0.01;
/// Limit of attempts whose start, end or progress is tracked for run times, about 150 bytes each.
pub const TRACKED_ATTEMPTS_MAX: usize = 40_000;
/// Time after which an estimate is computed again. Each takes about 40 microseconds.
pub const ESTIMATE_TTL_MS: u64 = 8_000;
/// Limit of estimates computed in one scheduling pass.
pub const ESTIMATES_PER_PASS_MAX: usize = 24;
/// Limit of jobs with estimates, about 1 KiB each.
pub const ESTIMATES_MAX: usize = 4_000;
/// Quantile of a job's run time that must still fit for a goal to be in reach. Owners' estimates times
/// `FEASIBLE_ESTIMATE_SHARE` are above the run time as often.
pub const FEASIBLE_RUN_TIME_QUANTILE: f64 = 0.15;
/// Quantile of the run time below which the probability of a task's end is not computed. Thousands of
/// tasks run at a time, and each computation takes a few microseconds.
pub const EARLY_END_QUANTILE: f64 = 0.2;
/// Quantile of a job's run time by which its latest start precedes its due time.
pub const LATEST_START_QUANTILE: f64 = 0.7;
/// Probability from which the scheduler relies on the end of a task.
pub const LIKELY_END_PROBABILITY: f64 = 0.7;
/// Probability of ending by itself from which a task is not preempted.
pub const PREEMPT_EXEMPT_PROBABILITY: f64 = 0.5;
/// Duration of a start with a usual image fetch.
pub const START_DURATION_MS: u64 = 2_500;
/// Time within which a task that is about to end is not preempted. A stop, its confirmation and the next
/// start take as long.
pub const PREEMPT_EXEMPT_MS: u64 = 3_000;
/// Part of a termination notice that is not relied on. The cloud may take the machine early, and the
/// result must still arrive.
pub const NOTICE_MARGIN_MS: u64 = 2_500;
/// Limit of jobs considered per scheduling pass, most urgent first. It bounds the duration of a pass.
pub const PASS_MAX_JOBS: usize = 400;
/// Limit of chunks considered per job and scheduling pass.
pub const PASS_MAX_CHUNKS: u32 = 4;
