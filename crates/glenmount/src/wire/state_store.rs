//! Messages between the controller and the state store: lists of records and the watch.
//!
//! The core serializes transactions because it keeps them within the store's size limits.

use glenmount_core::constants::WATCH_POLL_TIMEOUT_MS;
use glenmount_core::controller::StateResponse;
use glenmount_core::state::{Key, Record, PREFIX};
use serde::Deserialize;
use serde_json::value::RawValue;

/// Path of transactions.
pub const TRANSACTION_PATH: &str = "/txn";
/// Path of a key that never exists. Reading it is the cheapest linearizable read of the current revision.
pub const READ_INDEX_PATH: &str = "/keys/g/none";
/// Most items per page of a list that the protocol allows. Each page counts as one request to the store, which
/// returns fewer items if the page would exceed 512 KiB.
const MAX_PAGE_ITEMS: u32 = 1_000;

/// A changed record: its key, the revision of the change, and the new record unless it was deleted.
pub type Change = (Key, u64, Option<Record>);

/// Returns the path of a page of the list of all records: the first page, or the page after a key.
pub fn list_path(after: Option<&str>) -> String {
    let cursor = after.map_or(String::new(), |key| format!("&since={key}"));
    format!("/keys?under={PREFIX}{cursor}&most={MAX_PAGE_ITEMS}")
}

/// Returns the path of the long poll for changes after a revision.
pub fn watch_path(revision: u64) -> String {
    format!("/watch?under={PREFIX}&since={revision}&holdMs={WATCH_POLL_TIMEOUT_MS}")
}

#[derive(Deserialize)]
struct RevisionBody {
    #[serde(rename = "epoch")]
    revision: u64,
}

/// Parses the revision in a response. Returns `None` if the response is malformed.
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
    /// Returns `None` for a key or a record of a later version of this program.
    fn record(&self) -> Option<(Key, u64, Record)> {
        let key = Key::parse(&self.key)?;
        let record = Record::parse(&key, self.value.get())?;
        Some((key, self.mod_revision, record))
    }
}

/// Parses a page of records. Returns `None` if the response is malformed.
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
    changes: Vec<WatchedChange<'a>>,
}

/// A change in a watch response: either the key of a written record or that of a deleted one.
#[derive(Deserialize)]
struct WatchedChange<'a> {
    #[serde(rename = "put")]
    written_key: Option<String>,
    #[serde(rename = "remove")]
    deleted_key: Option<String>,
    #[serde(rename = "v", borrow)]
    value: Option<&'a RawValue>,
    #[serde(rename = "stamp")]
    mod_revision: u64,
}

impl WatchedChange<'_> {
    /// Returns `None` for a key or a record of a later version of this program.
    fn change(&self) -> Option<Change> {
        let Some(path) = &self.written_key else {
            let key = Key::parse(self.deleted_key.as_ref()?)?;
            return Some((key, self.mod_revision, None));
        };
        let key = Key::parse(path)?;
        let record = Record::parse(&key, self.value?.get())?;
        Some((key, self.mod_revision, Some(record)))
    }
}

/// Parses a watch response. Returns the changes in order and the revision up to which they are complete.
///
/// # Errors
/// The response doesn't have the published form.
pub fn read_changes(body: &[u8]) -> serde_json::Result<(u64, Vec<Change>)> {
    let body: WatchBody = serde_json::from_slice(body)?;
    let changes = body.changes.iter().filter_map(WatchedChange::change);
    Ok((body.revision, changes.collect()))
}
