//! The published messages: JSON between the controller and users, workers, the cloud and the state store.
//!
//! Each submodule holds one side. The protocol's own field names are met only here and mapped by
//! `serde(rename)` to the names that the rest of the program uses.

pub mod cloud;
pub mod state_store;
mod users;
mod workers;

pub use users::{is_job_id, read_submission, write_user_reply};
pub use workers::{read_heartbeat, write_command, write_worker_reply};

use serde::Serialize;

/// Bytes of a name or other text in a message at most: these stand in stored records.
const TEXT_BYTES: usize = 200;

/// An answer to a request, as it goes out.
#[derive(Debug, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// JSON.
    pub body: String,
    /// Seconds after which the request is worth another try.
    pub retry_after_s: Option<u32>,
}

impl Reply {
    fn new(status: u16, message: &impl Serialize) -> Reply {
        Reply {
            status,
            body: to_json(message),
            retry_after_s: None,
        }
    }
}

/// The body of an answer that refuses a request.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Writes a message. Structs of strings and numbers, as all messages are, can't fail to be written.
fn to_json(message: &impl Serialize) -> String {
    serde_json::to_string(message).unwrap_or_else(|_| "{}".into())
}

/// Whether a text is neither empty nor too long to be stored.
fn has_text_length(text: &str) -> bool {
    !text.is_empty() && text.len() <= TEXT_BYTES
}

#[cfg(test)]
mod tests;
