//! Traffic of the controllers, counted by kind of exchange.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// The kind of an exchange. Controllers begin all exchanges except the last five kinds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExchangeKind {
    /// A transaction on the state store.
    StateTransaction,
    /// A read of one key.
    StateRead,
    /// A page of a list of keys.
    StateList,
    /// A watch.
    StateWatch,
    /// A grant, renewal or end of a lease.
    StateLease,
    /// A request for the cloud's machine types.
    CloudCatalog,
    /// A page of the cloud's list of instances.
    CloudList,
    /// A request for instances.
    #[serde(rename = "cloud_rent")]
    CloudProvision,
    /// A deletion of instances.
    CloudDelete,
    /// Commands sent to a worker's address.
    WorkerCommand,
    /// A request for a worker's status, sent to its address.
    WorkerStatus,
    /// Bytes between two controllers, counted at each read from the connection.
    #[serde(rename = "sibling")]
    Peer,
    /// A worker's heartbeat and its answer.
    #[serde(rename = "worker_report")]
    WorkerHeartbeat,
    /// A user's submission.
    UserSubmit,
    /// A user's poll.
    UserPoll,
    /// A user's cancellation.
    UserCancel,
    /// A readiness probe of the users' load balancer.
    UserReady,
}

impl ExchangeKind {
    /// All kinds, in the order of the enumeration.
    pub const ALL: [ExchangeKind; 17] = [
        ExchangeKind::StateTransaction,
        ExchangeKind::StateRead,
        ExchangeKind::StateList,
        ExchangeKind::StateWatch,
        ExchangeKind::StateLease,
        ExchangeKind::CloudCatalog,
        ExchangeKind::CloudList,
        ExchangeKind::CloudProvision,
        ExchangeKind::CloudDelete,
        ExchangeKind::WorkerCommand,
        ExchangeKind::WorkerStatus,
        ExchangeKind::Peer,
        ExchangeKind::WorkerHeartbeat,
        ExchangeKind::UserSubmit,
        ExchangeKind::UserPoll,
        ExchangeKind::UserCancel,
        ExchangeKind::UserReady,
    ];
}

/// Prints the name that tables use.
impl fmt::Display for ExchangeKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ExchangeKind::Peer => f.write_str("Sibling"),
            ExchangeKind::WorkerHeartbeat => f.write_str("WorkerReport"),
            ExchangeKind::CloudProvision => f.write_str("CloudRent"),
            kind => fmt::Debug::fmt(kind, f),
        }
    }
}

/// Exchanges of one kind, as totals or per second. Bytes are those of HTTP heads and bodies, or of the frames
/// between controllers, without the headers of the network layers below.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Number of exchanges.
    pub exchanges: f64,
    /// Bytes of requests.
    pub request_bytes: f64,
    /// Bytes of answers.
    pub answer_bytes: f64,
}

impl Traffic {
    /// Returns the difference to an earlier total.
    pub fn since(self, earlier: Traffic) -> Traffic {
        Traffic {
            exchanges: self.exchanges - earlier.exchanges,
            request_bytes: self.request_bytes - earlier.request_bytes,
            answer_bytes: self.answer_bytes - earlier.answer_bytes,
        }
    }

    /// Returns the rate of a total over a number of seconds.
    pub fn per_second(self, seconds: f64) -> Traffic {
        Traffic {
            exchanges: self.exchanges / seconds,
            request_bytes: self.request_bytes / seconds,
            answer_bytes: self.answer_bytes / seconds,
        }
    }

    /// Returns the bytes of requests and answers.
    pub fn bytes(self) -> f64 {
        self.request_bytes + self.answer_bytes
    }
}

#[derive(Default)]
struct TrafficCounter {
    exchanges: AtomicU64,
    request_bytes: AtomicU64,
    answer_bytes: AtomicU64,
}

/// The counters of exchanges of each kind since the start of the run.
#[derive(Default)]
pub struct TrafficCounters {
    /// Counters in the order of [`ExchangeKind::ALL`].
    counters: [TrafficCounter; ExchangeKind::ALL.len()],
}

impl TrafficCounters {
    /// Counts one exchange.
    pub fn count(&self, kind: ExchangeKind, request_bytes: u64, answer_bytes: u64) {
        let counter = &self.counters[kind as usize];
        counter.exchanges.fetch_add(1, Relaxed);
        counter.request_bytes.fetch_add(request_bytes, Relaxed);
        counter.answer_bytes.fetch_add(answer_bytes, Relaxed);
    }

    /// Returns the totals by kind.
    pub fn totals(&self) -> BTreeMap<ExchangeKind, Traffic> {
        let kinds = ExchangeKind::ALL.into_iter().zip(&self.counters);
        kinds
            .map(|(kind, counter)| {
                let traffic = Traffic {
                    exchanges: counter.exchanges.load(Relaxed) as f64,
                    request_bytes: counter.request_bytes.load(Relaxed) as f64,
                    answer_bytes: counter.answer_bytes.load(Relaxed) as f64,
                };
                (kind, traffic)
            })
            .collect()
    }
}
