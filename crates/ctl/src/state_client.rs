//! A client of the state service, by its published protocol.

use crate::Failure;
use glenmount_core::state::{CasTransaction, Key, Record};
use serde::Deserialize;
use std::io::Read;
use std::time::Duration;

/// Records per page; the state service holds a page under 512 KiB.
const PAGE_ITEMS: usize = 200;
/// Bytes of an answer at most.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;
/// Time for an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Tries of what the service refuses or does not answer, and the pause between them.
const ATTEMPTS: u32 = 5;
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// The state service at an address like `10.2.0.1:2379`.
pub struct StateClient {
    address: String,
}

/// A stored value, of whatever kind.
#[derive(Debug, Deserialize)]
pub struct StoredItem {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: serde_json::Value,
    #[serde(rename = "stamp", default)]
    pub revision: u64,
}

impl StoredItem {
    /// The record that it holds, if it is one of glenmount's that is not damaged.
    pub fn record(self) -> Option<(Key, Record)> {
        let key = Key::parse(&self.key)?;
        let record = Record::read(&key, self.value)?;
        Some((key, record))
    }
}

#[derive(Deserialize)]
struct Page {
    items: Vec<StoredItem>,
    #[serde(default)]
    more: bool,
}

/// How a transaction ended.
#[derive(Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    Committed,
    /// A condition does not hold.
    Conflict,
    /// There was no answer: it may have taken effect, or may yet.
    Unknown,
}

impl StateClient {
    pub fn new(address: &str) -> StateClient {
        StateClient {
            address: address.to_string(),
        }
    }

    /// All values under a prefix, in order of their keys; so many at most.
    pub fn list(&self, prefix: &str, limit: usize) -> Result<Vec<StoredItem>, Failure> {
        let (mut items, mut since) = (Vec::new(), None);
        loop {
            let page = self.page(prefix, since.as_deref())?;
            let last = page.items.last().map(|item| item.key.clone());
            items.extend(page.items);
            if !page.more || last.is_none() || items.len() >= limit {
                return Ok(items);
            }
            since = last;
        }
    }

    fn page(&self, prefix: &str, since: Option<&str>) -> Result<Page, Failure> {
        let since = since.map_or(String::new(), |since| format!("&since={since}"));
        let path = format!("/keys?under={prefix}{since}&most={PAGE_ITEMS}");
        let (_, text) = self.get(&path)?;
        self.parse(&text)
    }

    /// One value, if the key is there.
    pub fn value(&self, key: &Key) -> Result<Option<StoredItem>, Failure> {
        let (status, text) = self.get(&format!("/keys/{}", key.path()))?;
        match status {
            404 => Ok(None),
            _ => self.parse(&text).map(Some),
        }
    }

    /// Sends a transaction; what is certainly not executed is sent again.
    pub fn commit(&self, transaction: &CasTransaction) -> Result<CommitOutcome, Failure> {
        let (address, text) = (&self.address, transaction.text());
        let mut refused = String::new();
        for attempt in 0..ATTEMPTS {
            if attempt > 0 {
                std::thread::sleep(RETRY_INTERVAL);
            }
            let request = ureq::post(&format!("http://{address}/txn")).timeout(REQUEST_TIMEOUT);
            match request.send_string(&text) {
                Ok(_) => return Ok(CommitOutcome::Committed),
                Err(ureq::Error::Status(409, _)) => return Ok(CommitOutcome::Conflict),
                Err(ureq::Error::Status(status @ (429 | 503), _)) => {
                    refused = format!("{address}: answers {status}; try again later");
                }
                Err(ureq::Error::Status(status, answer)) => {
                    let why = answer.into_string().unwrap_or_default();
                    return Err(format!("{address}: answers {status}: {}", why.trim()));
                }
                Err(ureq::Error::Transport(e)) if e.kind() == ureq::ErrorKind::ConnectionFailed => {
                    refused = format!("{address}: not reached: {e}");
                }
                Err(ureq::Error::Transport(_)) => return Ok(CommitOutcome::Unknown),
            }
        }
        Err(refused)
    }

    /// Status (200 or 404) and text of an answer.
    fn get(&self, path: &str) -> Result<(u16, String), Failure> {
        let address = &self.address;
        let url = format!("http://{address}{path}");
        let listing = path.starts_with("/keys?");
        let mut last = String::new();
        for attempt in 0..ATTEMPTS {
            if attempt > 0 {
                std::thread::sleep(RETRY_INTERVAL);
            }
            match ureq::get(&url).timeout(REQUEST_TIMEOUT).call() {
                Ok(answer) => {
                    let mut text = String::new();
                    let body = answer.into_reader().take(MAX_RESPONSE_BYTES);
                    let read = { body }.read_to_string(&mut text);
                    read.map_err(|e| format!("{address}: the answer broke off: {e}"))?;
                    return Ok((200, text));
                }
                Err(ureq::Error::Status(404, _)) if !listing => return Ok((404, String::new())),
                Err(ureq::Error::Status(status @ (429 | 503), _)) => {
                    last = format!("{address}: answers {status}; try again later");
                }
                Err(ureq::Error::Status(status, _)) => {
                    return Err(format!(
                        "{address}: answers {status}: is it the state service?"
                    ));
                }
                Err(e) => last = format!("{address}: not reached: {e}"),
            }
        }
        Err(last)
    }

    fn parse<'a, T: Deserialize<'a>>(&self, text: &'a str) -> Result<T, Failure> {
        serde_json::from_str(text)
            .map_err(|e| format!("{}: not the state service's answer: {e}", self.address))
    }
}
