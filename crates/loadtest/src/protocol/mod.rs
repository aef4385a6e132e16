//! The published protocol as the stand-ins speak it.
//!
//! Fields have the names of the field here; the names on the wire are mapped by serde in these modules
//! and nowhere else.

pub mod cloud;
pub mod jobs;
pub mod state_store;
pub mod workers;

use serde::Serialize;

/// The body of an answer that refuses a request.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ErrorAnswer<'a> {
    /// What is wrong with the request.
    pub error: &'a str,
}
