//! A client of the state service, by its published protocol.

use crate::Failure;
use glenmount_core::state::{CasTransaction, Key, Record};
use serde::Deserialize;
use std::io::Read;
use std::time::Duration;

/// Records per page; the state service holds a page under 512 KiB.
const PAGE: usize = 200;
/// Bytes of an answer at most.
const ANSWER_BYTES: u64 = 4 << 20;
/// Time for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Tries of what the service refuses or does not answer, and the pause between them.
const TRIES: u32 = 5;
const PAUSE: Duration = Duration::from_millis(400);

/// The state service at an address like `10.2.0.1:2379`.
pub struct StateService {
    address: String,
}

/// A stored value, of whatever kind.
#[derive(Debug, Deserialize)]
pub struct Stored {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: serde_json::Value,
    #[serde(default)]
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

impl Stored {
    /// The record that it holds, if it is one of glenmount's that is not damaged.
    pub fn record(self) -> Option<(Key, Record)> {
        let key = Key::parse(&self.key)?;
        let record = Record::read(&key, self.value)?;
        Some((key, record))
    }
}

#[derive(Deserialize)]
struct Page {
    items: Vec<Stored>,
    #[serde(default)]
    more: bool,
}

/// How a transaction ended.
#[derive(Debug, PartialEq, Eq)]
pub enum Committed {
    Yes,
    /// A condition does not hold.
    Conflict,
    /// There was no answer: it may have taken effect, or may yet.
    Unknown,
}

impl StateService {
    pub fn new(address: &str) -> StateService {
        StateService {
            address: address.to_string(),
        }
    }

    /// All values under a prefix, in order of their keys; so many at most.
    pub fn list(&self, under: &str, most: usize) -> Result<Vec<Stored>, Failure> {
        let (mut found, mut since) = (Vec::new(), None);
        loop {
            let page = self.page(under, since.as_deref())?;
            let last = page.items.last().map(|item| item.key.clone());
            found.extend(page.items);
            if !page.more || last.is_none() || found.len() >= most {
                return Ok(found);
            }
            since = last;
        }
    }

    fn page(&self, under: &str, since: Option<&str>) -> Result<Page, Failure> {
        let since = since.map_or(String::new(), |since| format!("&since={since}"));
        let path = format!("/keys?under={under}{since}&most={PAGE}");
        let (_, text) = self.get(&path)?;
        self.parse(&text)
    }

    /// One value, if the key is there.
    pub fn value(&self, key: &Key) -> Result<Option<Stored>, Failure> {
        let (status, text) = self.get(&format!("/keys/{}", key.path()))?;
        match status {
            404 => Ok(None),
            _ => self.parse(&text).map(Some),
        }
    }

    /// Sends a transaction; what is certainly not executed is sent again.
    pub fn commit(&self, transaction: &CasTransaction) -> Result<Committed, Failure> {
        let (address, text) = (&self.address, transaction.text());
        let mut refused = String::new();
        for n in 0..TRIES {
            if n > 0 {
                std::thread::sleep(PAUSE);
            }
            let request = ureq::post(&format!("http://{address}/txn")).timeout(TIMEOUT);
            match request.send_string(&text) {
                Ok(_) => return Ok(Committed::Yes),
                Err(ureq::Error::Status(409, _)) => return Ok(Committed::Conflict),
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
                Err(ureq::Error::Transport(_)) => return Ok(Committed::Unknown),
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
        for n in 0..TRIES {
            if n > 0 {
                std::thread::sleep(PAUSE);
            }
            match ureq::get(&url).timeout(TIMEOUT).call() {
                Ok(answer) => {
                    let mut text = String::new();
                    let body = answer.into_reader().take(ANSWER_BYTES);
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
