//! The published JSON messages between the controller and users, workers, the cloud and the state store.
//!
//! Each submodule covers one of these protocols. Only these modules use the protocols' field names; `serde(rename)`
//! maps them to the names that the rest of the program uses.

pub mod cloud;
pub mod state_store;
mod users;
mod workers;

pub use users::{is_job_id, read_submission, write_user_reply};
pub use workers::{read_heartbeat, write_command, write_worker_reply};

use serde::Serialize;

/// Size limit of a name or other text in a message. Stored records contain these texts.
const MAX_TEXT_BYTES: usize = 200;

/// The serialized reply to a request.
#[derive(Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: String,
    /// Value of `Retry-After`.
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

/// The body of a reply that refuses a request.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Serializes a message. This can't fail because all messages are structs of strings and numbers.
fn to_json(message: &impl Serialize) -> String {
    serde_json::to_string(message).unwrap_or_else(|_| "{}".into())
}

/// Returns whether a text is neither empty nor too long to be stored.
fn has_valid_length(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_TEXT_BYTES
}

#[cfg(test)]
mod tests;
