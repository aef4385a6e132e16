//! Every fixed number of the program, with its unit and the reason for it.
//! What depends on a deployment comes from its settings instead.

/// Milliseconds between two housekeeping passes: fine enough for second-sized waits.
pub const HOUSEKEEPING_INTERVAL_MS: u64 = 200;

/// Milliseconds between two events after which a controller takes it that it was paused: its clock
/// ticks every 50, and workers and users wait 2,000 and more for an answer.
pub const PAUSE_DETECTION_MS: u64 = 2_000;
/// Milliseconds after it that a controller waits for a proof of its view before users that find no
/// other controller are sent to it again, to be told when to come back.
pub const PAUSE_RECOVERY_TIMEOUT_MS: u64 = 2_000;

/// Milliseconds between two looks at all machines for those that are silent, idle or stuck.
pub const FAILURE_DETECTION_INTERVAL_MS: u64 = 400;

/// Milliseconds between two full scheduling passes when nothing else triggers one. The watch
/// normally triggers them; this backs up a lost message.
pub const SCHEDULING_INTERVAL_MS: u64 = 5_000;

/// Most a controller waits, in milliseconds, before it looks up work that a peer accepted.
/// The accepting controller looks first, so that three controllers do not claim the same work.
pub const PEER_JOB_SCHEDULING_DELAY_MS: u64 = 700;

/// Tasks per chunk record at most. A claim or a release writes the whole chunk.
pub const CHUNK_MAX_TASKS: u32 = 100;
/// Bytes reserved per task of a chunk when the value limit sets the chunk's size: an assignment
/// takes about 60.
pub const CHUNK_TASK_BYTES: u64 = 76;
/// Bytes of an assignment apart from its machine's name and a stop's reason.
pub const ASSIGNMENT_BYTES: usize = 60;
/// Bytes of a chunk's record apart from its tasks and names.
pub const CHUNK_BASE_BYTES: usize = 120;
/// Bytes reserved per task of a compact chunk when the value limit sets the chunk's size: a
/// assignment takes 8 to 12, and 10 more once it is armed anew and to be stopped.
pub const COMPACT_TASK_BYTES: u64 = 20;
/// Bytes of a compact assignment apart from its machine's name: its attempt, its start, and what
/// other names grow by when it shortens what all have in common is left to the spare bytes.
pub const COMPACT_ASSIGNMENT_BYTES: usize = 24;
/// Bytes by which an assignment grows when it is armed anew and gets a reason to stop, beyond what is
/// reserved for it otherwise.
pub const ASSIGNMENT_EDIT_BYTES: usize = 10;
/// Bytes added to a value's length as written here, should the state service count some spaces.
pub const VALUE_MARGIN_BYTES: usize = 48;
/// Records remembered as too large for the state service.
pub const REFUSED_RECORDS_MAX: usize = 1_000;
/// Milliseconds after which they are tried once more.
pub const REFUSED_RECORDS_RETRY_MS: u64 = 30_000;
/// Bytes of a machine's name, as far as an instance request's record allows for it: known ones take 8.
pub const MACHINE_NAME_BYTES: u64 = 24;
/// Bytes of any other record in a transaction, its key included.
pub const SMALL_RECORD_BYTES: usize = 900;
/// Bytes of a key in a transaction.
pub const KEY_BYTES: usize = 60;
/// Milliseconds that a fetch is taken to last at most.
pub const IMAGE_FETCH_MAX_MS: u64 = 120_000;
/// Images remembered per machine: caches of 70 GB hold some 50 of 1.4 GB.
pub const MACHINE_IMAGES_MAX: usize = 64;
/// Different images told apart; of any more it is not remembered where they are.
pub const TRACKED_IMAGES_MAX: usize = 20_000;
/// Bytes that a transaction may have in all (64 KiB by protocol), less some room.
pub const TRANSACTION_MAX_BYTES: usize = 60_000;
/// Changes per transaction that the state service must allow: a claim writes the chunk, the team's
/// record and the places of the job.
pub const REQUIRED_TRANSACTION_CHANGES: u32 = 3;
/// KiB per value that it must allow: a job with the longest names takes some 1,100 bytes.
pub const REQUIRED_VALUE_KIB: f64 = 1.5;
/// Conditions allowed per put of a transaction, by protocol.
pub const CONDITIONS_PER_CHANGE: usize = 4;

/// Milliseconds between two proofs of freshness: requests that arrive meanwhile share one.
/// Users wait 2 s for a status, and hundreds of services are asked about all the time.
pub const READ_INDEX_INTERVAL_MS: u64 = 120;
/// Seconds' worth of a controller's changes to the state service that may go at once; the service
/// allows one second's worth of all controllers'.
pub const WRITE_BURST_S: f64 = 0.9;
/// Changes that must be left to a controller for a flush or a claim to be drafted.
pub const MIN_AVAILABLE_CHANGES: usize = 4;
/// Results that wait to be recorded from which transactions are gathered until ...
pub const BACKLOG_MIN_RESULTS: usize = 40;
/// ... so many changes may go at once.
pub const BACKLOG_MIN_AVAILABLE_CHANGES: usize = 12;
/// Milliseconds after which a result is recorded before others that would share a change: users
/// expect `done` within 3 s.
pub const RESULT_MAX_DELAY_MS: u64 = 1_200;
/// Milliseconds between two transactions that record what heartbeats brought. Results that
/// fall together share the put of their chunk.
pub const RESULTS_WRITE_INTERVAL_MS: u64 = 250;
/// Milliseconds after which a user's request that could not be decided gets a 503.
/// Users give up on submissions after 5 s.
pub const SUBMIT_TIMEOUT_MS: u64 = 3_500;
/// The same for status requests, which users give up on after 2 s.
pub const STATUS_TIMEOUT_MS: u64 = 1_500;
/// Seconds told to a user whose job awaits others while a rolling upgrade is under way: a controller
/// takes some seconds to come back.
pub const UPGRADE_RETRY_AFTER_S: u32 = 5;
/// Milliseconds after which other controllers cancel what needs a cancelled job, should the one that
/// was asked not have done so.
pub const CASCADE_TAKEOVER_DELAY_MS: u64 = 1_500;
/// What the shared term is raised by once nothing is left of cancellations that were told at their
/// commit: terms start at 1, and a machine's token rises by 1 with a command that went missing, at
/// most once a second, so none comes near it otherwise.
pub const CONFIRMED_CANCELLATION_TERM: u64 = 1 << 24;
/// Milliseconds that a user waits for the tasks of a job to go that was just cancelled: their stops
/// take a few, their workers report the end within 500, which is recorded within 250.
pub const CANCEL_RESPONSE_TIMEOUT_MS: u64 = 1_500;
/// Seconds told to a user whose cancelled job has tasks on machines that can't be reached: until
/// they are heard again, or deleted.
pub const CANCEL_RETRY_AFTER_S: u32 = 5;
/// Milliseconds after which a machine that still holds a cancelled task is deleted so that its user
/// can be told: users repeat their request for 60 s in all, and a deletion takes some seconds.
pub const CANCEL_UNCONFIRMED_TIMEOUT_MS: u64 = 40_000;
/// Seconds told to a user in `Retry-After` when the service can't decide.
pub const RETRY_AFTER_S: u32 = 1;
/// The same while the state service does not answer: outages last longer than that.
pub const OUTAGE_RETRY_AFTER_S: u32 = 2;

/// Milliseconds at the least after which a transaction that was sent counts as unanswered: answers now
/// and then take a few hundred.
pub const STATE_TIMEOUT_MS: u64 = 400;
/// Milliseconds without the state service and without any peer after which a controller takes itself to be
/// cut off alone, and asks the balancer to send users elsewhere: within it peers are missed as well.
pub const ISOLATION_TIMEOUT_MS: u64 = 3_500;
/// Milliseconds between two questions to a machine that reports and may not hear: each that is not
/// answered holds a connection for more than a second.
pub const UNREACHABLE_PROBE_INTERVAL_MS: u64 = 3_000;
/// Such machines asked in one look.
pub const UNREACHABLE_PROBES_MAX: usize = 8;
/// Milliseconds without any good answer from the state service before it counts as lost.
pub const STATE_LOST_TIMEOUT_MS: u64 = 1_500;
/// Milliseconds between heartbeat reads of the state service when nothing else is read.
pub const STATE_PROBE_INTERVAL_MS: u64 = 500;
/// Most, in milliseconds, that a lost transaction waits for the watch before its next try.
pub const CONFLICT_RETRY_MAX_DELAY_MS: u64 = 400;
/// Milliseconds that the watch may trail a proven revision before it is opened anew.
pub const WATCH_LAG_REOPEN_MS: u64 = 1_000;
/// Milliseconds that it may trail in all, opened anew or not, until the controller counts as cut off.
pub const WATCH_LAG_LOST_MS: u64 = 4_000;
/// Milliseconds a watch is held open by the state service.
pub const WATCH_POLL_TIMEOUT_MS: u64 = 10_000;

/// Milliseconds between two messages to each peer.
pub const PEER_HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Milliseconds after its start for which a controller says that it has just started: its records
/// are read by then, and a few heartbeats sent.
pub const STARTUP_PERIOD_MS: u64 = 4_000;
/// Milliseconds after which a peer's last message says nothing about it any more.
pub const PEER_HEARTBEAT_EXPIRY_MS: u64 = 2_500;

/// Milliseconds of silence, at the least, from which a peer is taken to be away: two heartbeats of 600,
/// as ticks of 200 space them, and what a packet's resending takes.
pub const PEER_FAILURE_MIN_SILENCE_MS: u64 = 1_300;
/// Part of what is known of a peer's rhythm that a new heartbeat replaces: some dozen count.
pub const HEARTBEAT_INTERVAL_WEIGHT: f64 = 0.08;
/// Mean deviations of a peer's heartbeats after which its silence is no chance.
pub const HEARTBEAT_INTERVAL_DEVIATIONS: f64 = 6.0;
/// Its heartbeats come so many times as seldom as they should: it has too little processor time.
pub const HEARTBEAT_SLOW_FACTOR: f64 = 1.6;
/// Milliseconds by which a controller's clock ticks late, on the whole, from which it counts as slow:
/// users wait 800 for an acceptance.
pub const TICK_DELAY_SLOW_MS: u32 = 300;
/// A controller whose clock ticks late counts its workers as one in so many more when it hands over.
pub const SLOW_CONTROLLER_LOAD_DIVISOR: usize = 4;
/// Machines that a heartbeat may name: some 60 bytes each, twice a second. A site of 5,000 has room.
pub const HEARTBEAT_MAX_MACHINES: usize = 20_000;
/// Of a silent peer's machines so many must come here before that says anything, ...
pub const FAILOVER_WORKERS_MIN: usize = 3;
/// ... and one in so many.
pub const FAILOVER_WORKERS_DIVISOR: usize = 20;
/// Milliseconds that a peer's word on another may be behind what is known here.
pub const PEER_OPINION_MARGIN_MS: u64 = 400;
/// A failover is over when all but one in so many of the machines are heard, ...
pub const FAILOVER_MISSING_DIVISOR: usize = 100;
/// ... or after so many times what a worker needs to turn to another controller.
pub const FAILOVER_TIMEOUT_FACTOR: u64 = 3;
/// Starts followed until a report shows them, each some 150 bytes.
pub const STARTS_TRACKED_MAX: usize = 20_000;
/// Milliseconds between two scheduling passes while machines are heard for the first time after a start.
pub const STARTUP_SCHEDULING_INTERVAL_MS: u64 = 250;
/// Milliseconds after which a controller that is to end does so, whatever it still waits for, beyond the
/// time in which each worker reports once.
pub const SHUTDOWN_MARGIN_MS: u64 = 2_000;
/// Milliseconds after a peer is lost at which machines are asked for starts that it claimed last:
/// what it did send has arrived by then.
pub const FAILOVER_START_CHECK_DELAY_MS: u64 = 1_000;
/// Milliseconds, after a claim, of a later sign of its machine with which its start counts as shown:
/// the controller that got the report judges it.
pub const START_CONFIRMATION_WINDOW_MS: u64 = 3_000;
/// Milliseconds between two controllers' looks at what a lost peer left.
pub const FAILOVER_STAGGER_MS: u64 = 100;
/// Milliseconds between two ticks of a controller's clock.
pub const CLOCK_TICK_MS: u64 = 50;
/// Machines asked at most whether the starts arrived that a lost peer may have made last.
pub const FAILOVER_START_CHECKS_MAX: usize = 200;

/// Jobs are put off once more than so many times what there is would be needed to have all in time:
/// below that serving the earliest due first loses less than a wrong estimate would.
pub const DEFER_OVERLOAD_FACTOR: f64 = 1.25;
/// Share of the processors and changes that is planned with then: estimates are off by half, and what
/// comes next takes its part (experiments/hot-classes.toml).
pub const DEFER_CAPACITY_SHARE: f64 = 0.5;
/// Changes of the state service that a task takes, claims, results and machines together, when many
/// share the puts of their chunks (docs/design.md, Budget).
pub const CHANGES_PER_TASK: f64 = 0.7;
/// Share of a controller's changes that acceptances may take for long: each accepted task takes some 0.7 more,
/// and jobs have several.
pub const ADMISSION_CHANGE_SHARE: f64 = 0.5;
/// Seconds' worth of all its changes that acceptances save up: after an outage of 20 s all that was asked
/// meanwhile is taken at once.
pub const ADMISSION_BURST_S: f64 = 4.0;
/// Acceptances saved up at the least.
pub const ADMISSION_MIN_BURST: f64 = 20.0;
/// Milliseconds in which what a team was given fades to a third.
pub const ADMISSION_DECAY_MS: f64 = 4_000.0;
/// Seconds told at most to a user whose submission is one too many: users give up after 60.
pub const ADMISSION_MAX_RETRY_AFTER_S: u32 = 8;
/// Milliseconds for which migrations rest after a disruption: disrupted work is placed first.
pub const MIGRATION_COOLDOWN_MS: u64 = 10_000;
/// Of a service's tasks one machine gets this share, as long as others serve it as well.
pub const MACHINE_SHARE_OF_SERVICE: f64 = 0.5;
/// Milliseconds for which the queue order, that is which jobs are deferred, is cached.
pub const QUEUE_ORDER_CACHE_MS: u64 = 1_000;
/// Milliseconds after which the first part of a batch of which nothing has begun becomes urgent: users
/// expect the largest to begin within four minutes, and capacity takes a minute or two to come free.
pub const BATCH_START_LATE_MS: u64 = 120_000;
/// That first part is one in so many of its tasks.
pub const BATCH_START_DIVISOR: u32 = 16;
/// Milliseconds for which a job within its team's guarantee counts as just arrived: such work is to start
/// within some 10 s.
pub const NEW_JOB_MS: u64 = 12_000;

/// Milliseconds of a heartbeat's age, by times of day that may be off, from which it is dropped: held
/// by a cut or by this controller's a pause, it says nothing of now.
pub const HEARTBEAT_MAX_AGE_MS: u64 = 1_500;
/// Direct commands in a row without an answer, and no heartbeat meanwhile, after which a controller
/// whose peers hear from workers takes itself to be cut off from them.
pub const PARTITION_UNANSWERED_COMMANDS: u32 = 3;
/// Milliseconds without a worker's word, at the least, after which a controller was cut off from them, if
/// as many reports should have come meanwhile as of a zone that falls silent.
pub const INBOUND_GAP_MIN_MS: u64 = 600;
/// Milliseconds after the state service refused something for being asked too much for which a
/// controller keeps to its own share of it.
pub const THROTTLE_PERIOD_MS: u64 = 20_000;
/// Milliseconds between two machines that such a controller asks whether they hear it again.
pub const PARTITION_PROBE_INTERVAL_MS: u64 = 1_000;
/// A controller hands workers over when more report to it than this share of the mean ...
pub const HANDOFF_LOAD_FACTOR: f64 = 1.15;
/// ... and this many: below, an even load is not worth a worker's detour.
pub const HANDOFF_MIN_EXCESS_WORKERS: usize = 3;
/// Most workers handed over between two heartbeats.
pub const HANDOFF_MAX_WORKERS: usize = 24;
/// Milliseconds between two workers sent to a peer that hears from none: were it cut off from
/// them, each would lose some seconds.
pub const HANDOFF_PROBE_INTERVAL_MS: u64 = 6_000;

/// Milliseconds a heartbeat may wait for a transaction of its own before it is answered:
/// workers give up after 4 s.
pub const HEARTBEAT_REPLY_MAX_DELAY_MS: u64 = 3_200;

/// Milliseconds that workers take to turn to another controller (4 s limit and 1 s pause).
pub const WORKER_FAILOVER_MS: u64 = 5_000;
/// Milliseconds within which a worker that was handed over is at its new controller: half a second, and a heartbeat.
pub const WORKER_HANDOFF_MS: u64 = 1_000;
/// Milliseconds of spare time added to a worker's move before its silence counts.
pub const SILENCE_MARGIN_MS: u64 = 1_000;
/// Milliseconds after an overdue heartbeat at which its machine is asked directly.
pub const PROBE_DELAY_MS: u64 = 500;
/// Milliseconds within which a failed direct command still speaks against a silent machine.
pub const PROBE_VALIDITY_MS: u64 = 4_000;
/// By how much longer silence must last before it counts while it is the silence of many:
/// then the network or the controllers are at fault rather than the machines.
pub const MASS_SILENCE_FACTOR: u64 = 3;
/// Machines of a zone from which on its silence as a whole is told from theirs one by one: fewer
/// may well die together.
pub const ZONE_MIN_MACHINES: u64 = 8;
/// Reports that would have come from a zone while it is found to be silent: that none does by
/// chance is one in e to the power of so many.
pub const ZONE_MISSED_HEARTBEATS: u64 = 12;
/// Of its machines one in so many must be overdue for it ...
pub const ZONE_OVERDUE_DIVISOR: u64 = 50;
/// ... and so many at the least: single ones die at any time.
pub const ZONE_OVERDUE_MIN_MACHINES: u64 = 3;
/// Milliseconds after which machines of a zone that stays silent as a whole are given up of which
/// nothing is to be had: empty ones, and those of a zone that is dead rather than cut off.
pub const ZONE_EVACUATION_MAX_WAIT_MS: u64 = 240_000;
/// Milliseconds of a zone's silence after which starts that were on the way into it are taken for
/// lost: those few that did arrive are started anew elsewhere.
pub const ZONE_UNCONFIRMED_START_MS: u64 = 6_000;
/// Milliseconds for which a zone must have been found silent before machines of it are ended: several
/// heartbeats of peers that may hear it.
pub const ZONE_CONFIRM_MS: u64 = 3_000;
/// Milliseconds beyond a lease after which all has ended in a zone without a controller: a report may have
/// been sent a while before it was last heard, but not after.
pub const ZONE_LEASE_MARGIN_MS: u64 = 1_000;
/// Milliseconds after which machines count as gone none of which is heard, though all controllers of their
/// zone are: the cloud lists what died as failed after some 30 s, what hangs mostly goes on sooner.
pub const ZONE_DEAD_MS: u64 = 40_000;
/// Milliseconds after which what may run on inside is given up all the same.
pub const ZONE_ABANDON_MS: u64 = 1_800_000;
/// Milliseconds of silence from which work that is late in any case is run anew elsewhere.
pub const ZONE_OVERDUE_WORK_MS: u64 = 60_000;
/// Milliseconds from a zone's return until the results from inside are on record: thousands at the
/// state service's changes a second.
pub const ZONE_RECOVERY_MARGIN_MS: u64 = 5_000;
/// Machines of lost zones ended in one look, so that others' changes are not starved: ...
pub const ZONE_TERMINATIONS_MAX: usize = 40;
/// ... and milliseconds between two such looks.
pub const ZONE_EVACUATION_INTERVAL_MS: u64 = 1_000;
/// Milliseconds ahead of its need for which room is provisioned outside a lost zone: a boot takes 15 to 35 s.
pub const ZONE_PROVISION_AHEAD_MS: u64 = 20_000;
/// Machines of a silent zone that are asked in one look whether they answer: each unanswered
/// command holds a connection for more than a second, and starts elsewhere need them.
pub const ZONE_PROBES_MAX: usize = 2;
/// Milliseconds between the same step of two controllers, so that one of them goes first.
pub const CONTROLLER_STAGGER_MS: u64 = 600;
/// Milliseconds spared before `cancel_s` runs out, for a halt or a deletion to work.
pub const CANCEL_MARGIN_MS: u64 = 5_000;
/// Share of `cancel_s` after which a machine that still holds a cancelled task is deleted.
pub const CANCEL_DELETE_SHARE: f64 = 0.6;
/// Milliseconds a directly commanded start may be missing from heartbeats before its token is
/// raised: commands usually take a few milliseconds, and a claim's news a few more.
pub const START_MISSING_MS: u64 = 1_000;
/// Milliseconds for which a claim whose transaction got no answer is looked for in the cache: those that
/// are carried out late are so within some twelve seconds.
pub const UNCERTAIN_CLAIM_MS: u64 = 30_000;
/// Milliseconds, beyond those after which a transaction counts as unanswered, after which the start of such
/// a claim is barred and sent anew: an answer that is merely slow comes sooner.
pub const UNCERTAIN_CLAIM_MARGIN_MS: u64 = 200;
/// An incarnation that no worker has, since they count from 1: a command for it is refused, which is an
/// answer.
pub const NO_INCARNATION: u64 = 0;
/// Milliseconds that starts go by heartbeats after a direct command failed.
pub const COMMAND_BACKOFF_MS: u64 = 8_000;
/// Milliseconds that the answer to a direct command is waited for.
pub const COMMAND_TIMEOUT_MS: u64 = 1_200;

/// Milliseconds between two log lines that say what was spent.
pub const METRICS_INTERVAL_MS: u64 = 30_000;
/// Longest time told apart there, in milliseconds.
pub const METRICS_MAX_DURATION_MS: u64 = 600_000;
/// Starts followed there until they run.
pub const METRICS_MAX_TRACKED_STARTS: usize = 4_000;
/// Milliseconds between two readings of the cloud's catalogue.
pub const MACHINE_TYPES_INTERVAL_MS: u64 = 45_000;
/// Milliseconds between two tries for the first catalogue.
pub const MACHINE_TYPES_RETRY_MS: u64 = 1_000;
/// Milliseconds between two readings of the cloud's machine list.
pub const INSTANCE_LIST_INTERVAL_MS: u64 = 8_000;
/// Machines asked for per page of the list, by protocol.
pub const INSTANCE_LIST_PAGE: u32 = 500;
/// Machines per instance request request at most, by protocol.
pub const PROVISION_MAX_INSTANCES: u32 = 50;
/// Milliseconds that a type, zone and kind is passed over after a refusal.
pub const OFFER_UNAVAILABLE_MS: u64 = 15_000;
/// Share of the cloud's rate that a controller may use at least.
pub const CLOUD_MIN_RATE_SHARE: f64 = 0.5;
/// Milliseconds after which an instance request without an outcome is asked again by any controller.
pub const PROVISION_RETRY_MS: u64 = 4_000;
/// Milliseconds after which an instance request whose outcome could not be recorded is asked again.
pub const PROVISION_FAST_RETRY_MS: u64 = 300;
/// Instance requests made in one step: a burst may need several types and zones.
pub const PROVISION_MAX_REQUESTS_PER_STEP: usize = 4;
/// Boot times (multiples of the catalogue's) after which a machine is given up.
pub const BOOT_TIMEOUT_FACTOR: f64 = 4.0;
/// Boot times after which a machine on its way is late: most need 0.6 to 1.5.
pub const BOOT_LATE_FACTOR: f64 = 1.8;
/// Milliseconds added to that, for clock differences and the time of a first heartbeat.
pub const BOOT_LATE_MARGIN_MS: u64 = 5_000;
/// Late machines that are not waited for: so many, or one in `LATE_BOOTS_DIVISOR` of all on their way.
pub const LATE_BOOTS_MIN: u32 = 3;
/// See `LATE_BOOTS_MIN`.
pub const LATE_BOOTS_DIVISOR: u32 = 5;
/// Milliseconds added to the time after which it is given up, for lists and reports to come in.
pub const BOOT_TIMEOUT_MARGIN_MS: u64 = 20_000;
/// Milliseconds a machine stays idle before it is returned: the minimum charge is 60 s and
/// the next work of the same kind usually comes within it.
pub const IDLE_TIMEOUT_MS: u64 = 45_000;
/// A machine is drained for scale-in when it costs so many times the cheapest ordinary price for each
/// processor in use: below that, migrating its services saves too little.
pub const SCALE_IN_PRICE_FACTOR: f64 = 2.0;
/// Milliseconds that a machine must have been up, and no work have been pending, before that: after
/// 30 s machines were returned that the next burst could not get back.
pub const SCALE_IN_AFTER_MS: u64 = 75_000;
/// Milliseconds of work that preempting a task for a batch may waste; with 12 s hardly any task qualified
/// when it mattered. Preemption for services may waste more: until one is up it serves nobody.
pub const PREEMPT_MAX_WASTE_MS: u64 = 45_000;
/// Milliseconds that a service waits for capacity on machines with its image: a stop, its proof and the
/// claim take some 500.
pub const WARM_IMAGE_WAIT_MS: u64 = 1_000;
/// Milliseconds that its image takes to fetch, at the fastest type's rate, from which that wait is worth it.
pub const WARM_IMAGE_MIN_FETCH_MS: u64 = 1_000;
/// Milliseconds that urgent work is pending before it preempts: capacity often comes free by itself.
pub const PREEMPT_URGENT_DELAY_MS: u64 = 250;
/// The same for work that is not urgent: what is within a guarantee is to start in some 10 s, and a
/// stop, a start and a fetch take several.
pub const PREEMPT_DELAY_MS: u64 = 1_500;
/// Milliseconds between two rounds of preemption.
pub const PREEMPT_INTERVAL_MS: u64 = 500;
/// Tasks preempted in one round: urgent jobs have up to some 60.
pub const PREEMPT_MAX_TASKS: usize = 32;
/// Proofs that wait for the watch to reach them, kept apart; more share the latest revision.
pub const PENDING_READS_MAX: usize = 64;
/// Revisions whose times are remembered, to tell how old an attempt is.
pub const REVISION_TIMES_KEPT: usize = 4_000;
/// Services' tasks migrate, and machines are drained for scale-in, one at a time for so many machines that
/// are up, so that it takes a large fleet no longer than a small one ...
pub const MIGRATION_MACHINES_DIVISOR: usize = 20;
/// ... and at most so many: each costs some three changes and a start.
pub const MIGRATIONS_MAX: usize = 32;
/// Milliseconds between two rounds of migrations: each costs its service half a second.
pub const MIGRATION_INTERVAL_MS: u64 = 2_000;
/// Milliseconds within which a task does not migrate twice, except off a machine that is to go.
pub const MIGRATION_REPEAT_DELAY_MS: u64 = 300_000;
/// Tasks remembered as migrated.
pub const TRACKED_MIGRATIONS_MAX: usize = 20_000;
/// A migration must gain so many times what it costs.
pub const MIGRATION_MIN_GAIN_FACTOR: f64 = 2.0;
/// Seconds of a replica's time that one task less in a zone that holds more than its share is worth: a
/// zone that is lost once in some days for some minutes, and what a restart without room takes.
pub const SPREAD_GAIN_S: f64 = 20.0;
/// Seconds of a replica's time that a migration costs beside fetching its image: stop, proof, claim and start.
pub const MIGRATION_COST_S: f64 = 1.5;
/// Milliseconds between two deletion requests for the same machine.
pub const DELETE_RETRY_MS: u64 = 3_000;
/// Machines per deletion request at most, by protocol.
pub const DELETE_MAX_MACHINES: usize = 100;

/// Different jobs that fail on a machine, with no success between, before it counts as sick.
pub const FAULTY_MACHINE_MIN_JOBS: usize = 2;
/// Jobs that failed on a machine which its record names: some may turn out to be at fault.
pub const MACHINE_FAULTS_MAX: usize = 6;
/// Different machines on which a job's tasks fail before the job itself counts as faulty.
pub const FAULTY_JOB_MIN_MACHINES: usize = 3;
/// First pause, in milliseconds, of a task that failed; doubled with each further failure.
pub const TASK_BACKOFF_MS: u64 = 1_000;
/// Longest such pause in milliseconds: a job that failed everywhere is tried with one task only.
pub const TASK_BACKOFF_MAX_MS: u64 = 20_000;

/// Milliseconds between two rounds of forgetting what is known of machines that are gone.
pub const CLEANUP_INTERVAL_MS: u64 = 10_000;
/// Names of deleted machines that are remembered, so that a late report is not taken up.
pub const DELETED_MACHINES_MAX: usize = 2_000;
/// Requests of users waiting at once; more are answered 503.
pub const PENDING_REQUESTS_MAX: usize = 2_000;
/// Sessions of a machine at most: one a second for more than a century.
pub const MAX_INCARNATION: u64 = 1 << 32;
/// Messages that a machine counts at most: a million a second for some years.
pub const MAX_SEQUENCE: u64 = 1 << 48;
/// Tasks that one heartbeat may list.
pub const HEARTBEAT_MAX_TASKS: usize = 1_000;
/// Orders in one answer to a heartbeat: some 90 bytes each, and a line may have 64 KiB.
pub const REPLY_MAX_COMMANDS: usize = 600;
/// Bytes of a request body at most, by protocol.
pub const REQUEST_BODY_MAX_BYTES: u64 = 64 * 1024;
/// Tasks of a job at most, by protocol.
pub const JOB_MAX_TASKS: u64 = 100_000;
/// Services, as large as the largest, for which capacity is kept free of lower priorities.
pub const RESERVE_SERVICES: u64 = 2;
/// That capacity is at most one part in so many of a zone's ordinary machines.
pub const RESERVE_DIVISOR: u64 = 8;
/// Milliseconds that a job is pending before that capacity is open to it as well: users count a job as
/// left waiting that is pending for 90 s beside free capacity for it.
pub const RESERVE_ACCESS_DELAY_MS: u64 = 60_000;
/// Share of a job's estimated run time that must still fit for a goal to be in reach:
/// estimates are often wrong by half.
pub const FEASIBLE_ESTIMATE_SHARE: f64 = 0.6;
/// Milliseconds after it could start at which a job is due that has no goal in reach.
pub const NO_GOAL_DUE_MS: u64 = 900_000;
/// Share of this controller's changes that what is learned of run times may take.
pub const RUN_TIME_WRITE_SHARE: f64 = 0.01;
/// Attempts whose beginnings, ends or progress are remembered for that, each some 150 bytes.
pub const TRACKED_ATTEMPTS_MAX: usize = 40_000;
/// Milliseconds after which an estimate is worked out anew: some 40 microseconds each, ...
pub const ESTIMATE_TTL_MS: u64 = 8_000;
/// ... so many in one scheduling pass, ...
pub const ESTIMATES_PER_PASS_MAX: usize = 24;
/// ... of so many jobs, some 1 KiB each.
pub const ESTIMATES_MAX: usize = 4_000;
/// The quantile of a job's run time that must still fit for a goal to be in reach: owners' estimates
/// are above the run time by `FEASIBLE_ESTIMATE_SHARE` as often.
pub const FEASIBLE_RUN_TIME_QUANTILE: f64 = 0.15;
/// Of a run that ends with less than this chance it is not worked out how likely that is: thousands
/// run at once, some microseconds each.
pub const EARLY_END_QUANTILE: f64 = 0.2;
/// The quantile of a job's run time by which its latest start lies before it is due.
pub const LATEST_START_QUANTILE: f64 = 0.7;
/// A run's end is counted on when it is so likely.
pub const LIKELY_END_PROBABILITY: f64 = 0.7;
/// A task is not preempted when it more likely ends by itself.
pub const PREEMPT_EXEMPT_PROBABILITY: f64 = 0.5;
/// Milliseconds that a start and a usual fetch take.
pub const START_DURATION_MS: u64 = 2_500;
/// Milliseconds within which a task that ends is not preempted: a stop, its proof and the next start take
/// as long.
pub const PREEMPT_EXEMPT_MS: u64 = 3_000;
/// Milliseconds of a notice not counted on: the machine may be taken a little early, and the result
/// must be heard.
pub const NOTICE_MARGIN_MS: u64 = 2_500;
/// Jobs looked at per scheduling pass, best first: bounds the work of one pass.
pub const PASS_MAX_JOBS: usize = 400;
/// Chunks looked at per job and scheduling pass.
pub const PASS_MAX_CHUNKS: u32 = 4;
