//! Safety checks: what a controller verifies before it decides anything after a start, after a pause,
//! or on a failover. The table in docs/design.md says which decision each check guards, what it
//! costs, and what is not held up by it. Each can be switched off, in the simulation only, to show
//! what it is for.

/// Which checks are on. All are in the service: no settings file has them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Checks {
    /// Answers about open jobs, refusals and 404 rest on a read begun after the request.
    pub proof: bool,
    /// What was held or known before a pause counts as outdated.
    pub gap: bool,
    /// Claims wait until the watch has reached the latest revision that the list read.
    pub caught_up: bool,
    /// Submissions wait for the machine types.
    pub machine_types: bool,
    /// Only formats are written that every controller has on record.
    pub format: bool,
    /// Heartbeats are held back until the cache is current.
    pub view: bool,
    /// A task in a heartbeat without an assignment is stopped, or forgotten, only if the cache has
    /// reached the revision of its attempt.
    pub fate: bool,
    /// Tasks are claimed only for machines with a heartbeat since the start.
    pub heard: bool,
    /// Instance requests, preemptions and deletions wait for a round of heartbeats.
    pub round: bool,
    /// Instance requests take into account the instances already requested.
    pub instance_requests: bool,
    /// Nothing is placed in unreachable zones.
    pub zones: bool,
    /// Nothing is claimed by a controller that workers do not reach.
    pub workers: bool,
    /// Repeated heartbeats, and those older than the latest, are no evidence.
    pub copies: bool,
    /// Nothing is placed on machines that send heartbeats and do not answer commands.
    pub heard_peers: bool,
    /// A controller that reaches neither the state service nor a peer sends users elsewhere.
    pub alone: bool,
    /// While cancellations are answered at their commit, leases are renewed for a bounded time only.
    pub bounded: bool,
    /// A transaction without a response holds up nothing.
    pub unanswered: bool,
    /// What a transaction without a response has changed, as the cache shows, is continued at once.
    pub doubt: bool,
    /// A newer incarnation in the answer to a direct command ends what was before.
    pub incarnation: bool,
    /// Machines whose heartbeats reach no controller get no tasks, and services are moved off them.
    pub mute: bool,
    /// Machines that nobody is known to have provisioned are recorded once they have answered.
    pub strangers: bool,
    /// A part of a batch of which nothing has begun for long goes first.
    pub begins: bool,
    /// The configuration on record is followed.
    pub configuration: bool,
    /// Claims and acceptances are conditional on the configuration that they rest on.
    pub configured: bool,
    /// What is above a limit that was lowered is stopped.
    pub eviction: bool,
}

impl Default for Checks {
    fn default() -> Checks {
        Checks {
            proof: true,
            gap: true,
            caught_up: true,
            machine_types: true,
            format: true,
            view: true,
            fate: true,
            heard: true,
            round: true,
            instance_requests: true,
            zones: true,
            workers: true,
            copies: true,
            heard_peers: true,
            alone: true,
            bounded: true,
            unanswered: true,
            doubt: true,
            incarnation: true,
            mute: true,
            strangers: true,
            begins: true,
            configuration: true,
            configured: true,
            eviction: true,
        }
    }
}
