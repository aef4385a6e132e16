//! A client of the state store's HTTP protocol.

use glenmount_core::state::{CasTransaction, Key, Record};
use serde::Deserialize;
use std::io::Read;
use std::time::Duration;
use thiserror::Error;
use ureq::{ErrorKind, Transport};

/// Items per page. The state store limits a page to 512 KiB.
const PAGE_ITEMS: usize = 200;
/// Largest response.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;
/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Attempts at a request that the state store throttles or that cannot connect.
const ATTEMPTS: u32 = 5;
/// Delay between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// The reason why a request failed. Each message begins with the state store's address.
#[derive(Debug, Error)]
pub enum StateClientError {
    /// The state store throttled every attempt.
    #[error("{address}: answers {status}; try again later")]
    Busy {
        /// Host and port.
        address: String,
        /// The HTTP status: 429 or 503.
        status: u16,
    },
    /// The state store rejected a transaction.
    #[error("{address}: answers {status}: {reason}")]
    Rejected {
        /// Host and port.
        address: String,
        /// The HTTP status.
        status: u16,
        /// The body of the response.
        reason: String,
    },
    /// A read returned a status that the state store never uses.
    #[error("{address}: answers {status}: is it the state service?")]
    UnexpectedStatus {
        /// Host and port.
        address: String,
        /// The HTTP status.
        status: u16,
    },
    /// The connection failed, or the response timed out.
    #[error("{address}: not reached: {source}")]
    Unreachable {
        /// Host and port.
        address: String,
        /// The error of the HTTP client.
        source: Box<Transport>,
    },
    /// The connection was closed during a response.
    #[error("{address}: the response was cut off: {source}")]
    Interrupted {
        /// Host and port.
        address: String,
        /// The error of the read.
        source: std::io::Error,
    },
    /// The response does not follow the protocol.
    #[error("{address}: not the state service's answer: {source}")]
    Malformed {
        /// Host and port.
        address: String,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
}

/// A client of the state store at an address like `10.2.0.1:2379`.
pub struct StateClient {
    address: String,
}

/// A stored key and value.
#[derive(Debug, Deserialize)]
pub struct StoredItem {
    /// The full key.
    #[serde(rename = "k")]
    pub key: String,
    /// The value as it is stored.
    #[serde(rename = "v")]
    pub value: serde_json::Value,
    /// The revision of the key's latest change, or 0 if the response has none.
    #[serde(rename = "stamp", default)]
    pub revision: u64,
}

impl StoredItem {
    /// Returns the record in the item, or `None` if it is damaged or not one of glenmount's.
    pub fn record(self) -> Option<(Key, Record)> {
        let key = Key::parse(&self.key)?;
        let record = Record::from_value(&key, self.value)?;
        Some((key, record))
    }
}

#[derive(Deserialize)]
struct Page {
    items: Vec<StoredItem>,
    #[serde(default)]
    more: bool,
}

/// The outcome of a transaction.
#[derive(Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The transaction took effect.
    Committed,
    /// A condition does not hold, and nothing changed.
    Conflict,
    /// There was no response. The transaction may have taken effect, or may still do so.
    Unknown,
}

/// The outcome of one attempt at a request, unless the error is permanent.
enum Attempt<T> {
    Done(T),
    /// The request was certainly not executed and can be retried.
    Retry(StateClientError),
}

fn with_retries<T>(
    attempt: impl Fn() -> Result<Attempt<T>, StateClientError>,
) -> Result<T, StateClientError> {
    let mut attempts = 1;
    loop {
        match attempt()? {
            Attempt::Done(value) => return Ok(value),
            Attempt::Retry(error) if attempts >= ATTEMPTS => return Err(error),
            Attempt::Retry(_) => attempts += 1,
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
}

impl StateClient {
    /// Creates a client without sending a request.
    pub fn new(address: &str) -> StateClient {
        StateClient {
            address: address.to_string(),
        }
    }

    /// Returns the items with a key prefix in order of their keys. Reads page by page until at least `limit` items are
    /// read.
    ///
    /// # Errors
    ///
    /// If the state store is unreachable, throttles all attempts, or responds in another form.
    pub fn list(&self, prefix: &str, limit: usize) -> Result<Vec<StoredItem>, StateClientError> {
        let (mut items, mut last_key) = (Vec::new(), None);
        loop {
            let page = self.page(prefix, last_key.as_deref())?;
            let page_last_key = page.items.last().map(|item| item.key.clone());
            items.extend(page.items);
            if !page.more || page_last_key.is_none() || items.len() >= limit {
                return Ok(items);
            }
            last_key = page_last_key;
        }
    }

    fn page(&self, prefix: &str, last_key: Option<&str>) -> Result<Page, StateClientError> {
        let since = last_key.map_or(String::new(), |key| format!("&since={key}"));
        let path = format!("/keys?under={prefix}{since}&most={PAGE_ITEMS}");
        match self.get(&path)? {
            Some(text) => self.parse(&text),
            None => Err(self.unexpected_status(404)),
        }
    }

    /// Returns the item of a key, or `None` if the key does not exist.
    ///
    /// # Errors
    ///
    /// As [`list`](StateClient::list).
    pub fn value(&self, key: &Key) -> Result<Option<StoredItem>, StateClientError> {
        let text = self.get(&format!("/keys/{}", key.path()))?;
        text.map(|text| self.parse(&text)).transpose()
    }

    /// Commits a transaction. Retries it only if it was certainly not executed.
    ///
    /// # Errors
    ///
    /// If the state store is unreachable, throttles all attempts, or rejects the transaction.
    pub fn commit(&self, transaction: &CasTransaction) -> Result<CommitOutcome, StateClientError> {
        let (url, text) = (
            format!("http://{}/txn", self.address),
            transaction.request_body(),
        );
        with_retries(|| self.try_commit(&url, &text))
    }

    fn try_commit(
        &self,
        url: &str,
        text: &str,
    ) -> Result<Attempt<CommitOutcome>, StateClientError> {
        match ureq::post(url).timeout(REQUEST_TIMEOUT).send_string(text) {
            Ok(_) => Ok(Attempt::Done(CommitOutcome::Committed)),
            Err(ureq::Error::Status(409, _)) => Ok(Attempt::Done(CommitOutcome::Conflict)),
            Err(ureq::Error::Status(status @ (429 | 503), _)) => {
                Ok(Attempt::Retry(self.busy(status)))
            }
            Err(ureq::Error::Status(status, response)) => {
                let reason = response.into_string().unwrap_or_default();
                Err(StateClientError::Rejected {
                    address: self.address.clone(),
                    status,
                    reason: reason.trim().to_string(),
                })
            }
            Err(ureq::Error::Transport(e)) if e.kind() == ErrorKind::ConnectionFailed => {
                Ok(Attempt::Retry(self.unreachable(e)))
            }
            // The state store may have received the request.
            Err(ureq::Error::Transport(_)) => Ok(Attempt::Done(CommitOutcome::Unknown)),
        }
    }

    /// Returns the body of a response, or `None` if the key does not exist.
    fn get(&self, path: &str) -> Result<Option<String>, StateClientError> {
        let url = format!("http://{}{path}", self.address);
        with_retries(|| self.try_get(&url))
    }

    fn try_get(&self, url: &str) -> Result<Attempt<Option<String>>, StateClientError> {
        match ureq::get(url).timeout(REQUEST_TIMEOUT).call() {
            Ok(response) => {
                let mut text = String::new();
                let mut body = response.into_reader().take(MAX_RESPONSE_BYTES);
                body.read_to_string(&mut text)
                    .map_err(|source| StateClientError::Interrupted {
                        address: self.address.clone(),
                        source,
                    })?;
                Ok(Attempt::Done(Some(text)))
            }
            Err(ureq::Error::Status(404, _)) => Ok(Attempt::Done(None)),
            Err(ureq::Error::Status(status @ (429 | 503), _)) => {
                Ok(Attempt::Retry(self.busy(status)))
            }
            Err(ureq::Error::Status(status, _)) => Err(self.unexpected_status(status)),
            Err(ureq::Error::Transport(e)) => Ok(Attempt::Retry(self.unreachable(e))),
        }
    }

    fn parse<'a, T: Deserialize<'a>>(&self, text: &'a str) -> Result<T, StateClientError> {
        serde_json::from_str(text).map_err(|source| StateClientError::Malformed {
            address: self.address.clone(),
            source,
        })
    }

    fn busy(&self, status: u16) -> StateClientError {
        let address = self.address.clone();
        StateClientError::Busy { address, status }
    }

    fn unexpected_status(&self, status: u16) -> StateClientError {
        let address = self.address.clone();
        StateClientError::UnexpectedStatus { address, status }
    }

    fn unreachable(&self, source: Transport) -> StateClientError {
        StateClientError::Unreachable {
            address: self.address.clone(),
            source: Box::new(source),
        }
    }
}
