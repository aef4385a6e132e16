//! Safety checks: what a controller verifies before it decides anything after a start, after a pause,
//! or on a failover. The table in docs/design.md says which decision each check guards, what it
//! costs, and what is not held up by it. Each can be switched off, in the simulation only, to show
//! what it is for.

/// Which checks are on. All are in the service: no settings file has them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Checks {
    /// Answers about open jobs, refusals and 404 rest on a read begun after the request.
    pub linearizable_reads: bool,
    /// What was held or known before a pause counts as outdated.
    pub pause_detection: bool,
    /// Claims wait until the watch has reached the latest revision that the list read.
    pub watch_caught_up: bool,
    /// Submissions wait for the machine types.
    pub machine_types: bool,
    /// Only formats are written that every controller has on record.
    pub storage_format: bool,
    /// Heartbeats are held back until the cache is current.
    pub current_cache: bool,
    /// A task in a heartbeat without an assignment is stopped, or forgotten, only if the cache has
    /// reached the revision of its attempt.
    pub attempt_revision: bool,
    /// Tasks are claimed only for machines with a heartbeat since the start.
    pub heartbeat_since_start: bool,
    /// Instance requests, preemptions and deletions wait for a round of heartbeats.
    pub heartbeat_round: bool,
    /// Instance requests take into account the instances already requested.
    pub outstanding_instances: bool,
    /// Nothing is placed in unreachable zones.
    pub zone_reachability: bool,
    /// Nothing is claimed by a controller that workers do not reach.
    pub worker_reachability: bool,
    /// Repeated heartbeats, and those older than the latest, are no evidence.
    pub duplicate_heartbeats: bool,
    /// Nothing is placed on machines that send heartbeats and do not answer commands.
    pub command_reachability: bool,
    /// A controller that reaches neither the state service nor a peer sends users elsewhere.
    pub isolation: bool,
    /// While cancellations are answered at their commit, leases are renewed for a bounded time only.
    pub bounded_leases: bool,
    /// A transaction without a response holds up nothing.
    pub unanswered_transactions: bool,
    /// What a transaction without a response has changed, as the cache shows, is continued at once.
    pub uncertain_outcomes: bool,
    /// A newer incarnation in the answer to a direct command ends what was before.
    pub incarnation: bool,
    /// Machines whose heartbeats reach no controller get no tasks, and services are moved off them.
    pub heartbeat_reachability: bool,
    /// Machines that nobody is known to have provisioned are recorded once they have answered.
    pub unmanaged_instances: bool,
    /// A part of a batch of which nothing has begun for long goes first.
    pub batch_start_delay: bool,
    /// The configuration on record is followed.
    pub stored_configuration: bool,
    /// Claims and acceptances are conditional on the configuration that they rest on.
    pub configuration_conditions: bool,
    /// What is above a limit that was lowered is stopped.
    pub quota_eviction: bool,
}

impl Default for Checks {
    fn default() -> Checks {
        Checks {
            linearizable_reads: true,
            pause_detection: true,
            watch_caught_up: true,
            machine_types: true,
            storage_format: true,
            current_cache: true,
            attempt_revision: true,
            heartbeat_since_start: true,
            heartbeat_round: true,
            outstanding_instances: true,
            zone_reachability: true,
            worker_reachability: true,
            duplicate_heartbeats: true,
            command_reachability: true,
            isolation: true,
            bounded_leases: true,
            unanswered_transactions: true,
            uncertain_outcomes: true,
            incarnation: true,
            heartbeat_reachability: true,
            unmanaged_instances: true,
            batch_start_delay: true,
            stored_configuration: true,
            configuration_conditions: true,
            quota_eviction: true,
        }
    }
}
