//! Safety checks: the conditions that a controller verifies before it makes a decision after a start,
//! a pause or a failover. The table in docs/design.md lists the decision that each check guards, its cost,
//! and the decisions that it does not delay. Only the simulation disables checks, to show which faults
//! each of them prevents.

/// The enabled checks. A deployed controller enables all of them; no settings file contains them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Checks {
    /// Answers about open jobs, rejections and 404 depend on a read that began after the request.
    pub linearizable_reads: bool,
    /// Held requests and cached state from before a pause of the process count as outdated.
    pub pause_detection: bool,
    /// Claims wait until the watch has reached the latest revision that the initial list read.
    pub watch_caught_up: bool,
    /// Submissions wait until the machine types are known.
    pub machine_types: bool,
    /// Records are written only in formats that every controller has recorded as readable.
    pub storage_format: bool,
    /// Heartbeats are held until the cache is current.
    pub current_cache: bool,
    /// A task in a heartbeat without an assignment is stopped or forgotten only once the cache has
    /// reached the revision of its attempt.
    pub attempt_revision: bool,
    /// Tasks are claimed only for machines with a heartbeat since the start of this controller.
    pub heartbeat_since_start: bool,
    /// Instance requests, preemptions and deletions wait for one heartbeat interval of all workers.
    pub heartbeat_round: bool,
    /// Instance requests take the instances into account that are already requested.
    pub outstanding_instances: bool,
    /// No task is placed in an unreachable zone.
    pub zone_reachability: bool,
    /// A controller that workers do not reach claims no tasks.
    pub worker_reachability: bool,
    /// Duplicate heartbeats, and those older than the latest, are ignored as evidence.
    pub duplicate_heartbeats: bool,
    /// No task is placed on a machine that sends heartbeats but does not respond to commands.
    pub command_reachability: bool,
    /// A controller that reaches neither the state store nor a peer reports that it is not ready.
    pub isolation: bool,
    /// While cancellations are answered at their commit, leases are renewed only for a bounded time.
    pub bounded_leases: bool,
    /// A transaction without a response blocks no later transaction.
    pub unanswered_transactions: bool,
    /// If the cache shows that a transaction without a response has committed, its effects follow at once.
    pub uncertain_outcomes: bool,
    /// A newer incarnation in the response to a direct command ends the attempts of earlier ones.
    pub incarnation: bool,
    /// A worker is told to forget an attempt only under a token that fences every copy of its start.
    pub fenced_forget: bool,
    /// Machines whose heartbeats reach no controller get no tasks, and services migrate off them.
    pub heartbeat_reachability: bool,
    /// Machines without an instance request are recorded only once they have responded to a probe.
    pub unmanaged_instances: bool,
    /// The first part of a batch that has waited long without a start becomes urgent.
    pub batch_start_delay: bool,
    /// Controllers follow the configuration on record.
    pub stored_configuration: bool,
    /// Claims and acceptances are conditional on the configuration that they depend on.
    pub configuration_conditions: bool,
    /// Tasks of a team above its limit, once that was lowered, are stopped.
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
            fenced_forget: true,
            heartbeat_reachability: true,
            unmanaged_instances: true,
            batch_start_delay: true,
            stored_configuration: true,
            configuration_conditions: true,
            quota_eviction: true,
        }
    }
}
