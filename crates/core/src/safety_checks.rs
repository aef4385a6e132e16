//! What a controller must check before it decides anything after a start, after a pause, or when
//! it takes over. docs/design.md has the table: which decision each check guards, what it costs, and
//! what goes ahead without it. Each can be left out, in the world of the scenarios only, to show what
//! it is for.

/// All hold in the service: no settings file has them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Checks {
    /// Answers about open jobs, refusals and 404 rest on a read begun after the request.
    pub proof: bool,
    /// What was held or known before it was paused is old.
    pub gap: bool,
    /// Claims wait until the watch has reached what the reading met.
    pub caught_up: bool,
    /// Submissions wait for the machine types.
    pub machine_types: bool,
    /// Formats are written that every member has on record.
    pub format: bool,
    /// Heartbeats wait for records that are current.
    pub view: bool,
    /// What a report shows without an assignment is stopped, or forgotten, only if the cache has reached
    /// what its attempt rests on.
    pub fate: bool,
    /// Claims go to machines that were heard since the start.
    pub heard: bool,
    /// Instance requests, stops for others and deletions wait for a round of reports.
    pub round: bool,
    /// Instance requests count what is on its way.
    pub instance_requests: bool,
    /// Nothing is placed in zones that are silent.
    pub zones: bool,
    /// Nothing is claimed by a controller that workers do not reach.
    pub workers: bool,
    /// Copies of reports, and such as newer ones have overtaken, say nothing.
    pub copies: bool,
    /// Nothing is placed on machines that report and do not answer.
    pub heard_peers: bool,
    /// A controller that reaches neither the state service nor a peer sends users elsewhere.
    pub alone: bool,
    /// While cancellations are told at their commit leases are renewed for a bounded time only.
    pub bounded: bool,
    /// What waits does not wait for a transaction without an answer.
    pub unanswered: bool,
    /// What a transaction without an answer has done, as the cache shows, is carried on at once.
    pub doubt: bool,
    /// A newer incarnation in the answer to a direct command ends what was before.
    pub incarnation: bool,
    /// Machines whose reports reach nobody get no work, and services move off them.
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
