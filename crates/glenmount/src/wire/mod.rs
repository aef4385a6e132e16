//! The published messages. Names of the wire end here; inside, the standard ones are used.

mod cloud;
mod users;
mod workers;

pub use cloud::{catalog, hired, instances, Hire};
pub use users::{job_id, submission, user_reply};
pub use workers::{command, report, worker_reply};

use serde::Serialize;

/// What users are told. Written as it is, without a tree of values between: polls are many.
#[derive(Serialize)]
#[serde(untagged)]
pub(super) enum Told<'a> {
    Job {
        #[serde(rename = "nameId")]
        id: &'a str,
        standing: &'static str,
        #[serde(skip_serializing_if = "Option::is_none")]
        done: Option<u32>,
        #[serde(skip_serializing_if = "Option::is_none")]
        running: Option<u32>,
    },
    Error {
        error: &'a str,
    },
}

pub(super) fn text(message: &impl Serialize) -> String {
    // Plain structs of strings and numbers can't fail to be written.
    serde_json::to_string(message).unwrap_or_else(|_| "{}".into())
}

#[cfg(test)]
mod tests;
