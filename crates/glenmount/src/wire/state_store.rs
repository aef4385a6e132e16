//! Messages between the controller and the state store: lists of records, and the watch.
//!
//! Transactions are written by the core, which keeps them within the store's limits.

use glenmount_core::constants::WATCH_POLL_TIMEOUT_MS;
use glenmount_core::controller::StateResponse;
use glenmount_core::state::{Key, Record, PREFIX};
use serde::Deserialize;
use serde_json::value::RawValue;

/// Path at which transactions are sent.
pub const TRANSACTION_PATH: &str = "/txn";
/// Path of a key that never exists: reading it is the cheapest linearizable read.
pub const BARRIER_PATH: &str = "/keys/g/none";
/// Items per page of a list at most, by protocol. Each page is a turn of the service; one that would
/// be larger than 512 KiB comes shorter.
const PAGE_ITEMS: u32 = 1_000;

/// One changed record: its key, the revision that changed it, and what it is now unless it was removed.
pub type Change = (Key, u64, Option<Record>);

/// The path of a page of all records: the first, or that after a key.
pub fn list_path(after: Option<&str>) -> String {
    let since = after.map_or(String::new(), |key| format!("&since={key}"));
    format!("/keys?under={PREFIX}{since}&most={PAGE_ITEMS}")
}

/// The path at which changes after a revision are waited for.
pub fn watch_path(revision: u64) -> String {
    format!("/watch?under={PREFIX}&since={revision}&holdMs={WATCH_POLL_TIMEOUT_MS}")
}

#[derive(Deserialize)]
struct RevisionBody {
    #[serde(rename = "epoch")]
    revision: u64,
}

/// Reads the revision that an answer tells; nothing where it is malformed.
pub fn read_revision(body: &[u8]) -> Option<u64> {
    let body: RevisionBody = serde_json::from_slice(body).ok()?;
    Some(body.revision)
}

#[derive(Deserialize)]
struct ListBody<'a> {
    #[serde(borrow)]
    items: Vec<Item<'a>>,
    #[serde(rename = "more", default)]
    has_more: bool,
    #[serde(rename = "epoch")]
    revision: u64,
}

#[derive(Deserialize)]
struct Item<'a> {
    #[serde(rename = "k")]
    key: String,
    #[serde(rename = "v", borrow)]
    value: &'a RawValue,
    #[serde(rename = "stamp")]
    mod_revision: u64,
}

impl Item<'_> {
    /// Nothing for a key or a record of a later version of this program.
    fn record(&self) -> Option<(Key, u64, Record)> {
        let key = Key::parse(&self.key)?;
        let record = Record::parse(&key, self.value.get())?;
        Some((key, self.mod_revision, record))
    }
}

/// Reads a page of records; nothing where it is malformed.
pub fn read_list_page(body: &[u8]) -> Option<StateResponse> {
    let page: ListBody = serde_json::from_slice(body).ok()?;
    Some(StateResponse::Listed {
        items: page.items.iter().filter_map(Item::record).collect(),
        last: page.items.last().map(|item| item.key.clone()),
        more: page.has_more,
        revision: page.revision,
    })
}

#[derive(Deserialize)]
struct WatchBody<'a> {
    #[serde(rename = "epoch")]
    revision: u64,
    #[serde(rename = "news", default, borrow)]
    changes: Vec<News<'a>>,
}

/// A change as the protocol tells it: the path of the record that was put, or of one removed.
#[derive(Deserialize)]
struct News<'a> {
    put: Option<String>,
    remove: Option<String>,
    #[serde(rename = "v", borrow)]
    value: Option<&'a RawValue>,
    #[serde(rename = "stamp")]
    mod_revision: u64,
}

impl News<'_> {
    /// Nothing for a key or a record of a later version of this program.
    fn change(&self) -> Option<Change> {
        let Some(path) = &self.put else {
            let key = Key::parse(self.remove.as_ref()?)?;
            return Some((key, self.mod_revision, None));
        };
        let key = Key::parse(path)?;
        let record = Record::parse(&key, self.value?.get())?;
        Some((key, self.mod_revision, Some(record)))
    }
}

/// Reads the changes that the watch tells, in order, and the revision up to which these are all.
///
/// # Errors
/// The body is not of the published form.
pub fn read_changes(body: &[u8]) -> serde_json::Result<(u64, Vec<Change>)> {
    let body: WatchBody = serde_json::from_slice(body)?;
    let changes = body.changes.iter().filter_map(News::change);
    Ok((body.revision, changes.collect()))
}
