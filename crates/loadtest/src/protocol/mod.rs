//! Messages of the published protocol between controllers and the stand-ins. Only the serde attributes in these
//! modules map the names in the code to the names on the wire.

pub mod cloud;
pub mod jobs;
pub mod state_store;
pub mod workers;

use serde::Serialize;

/// The body of an error answer.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ErrorAnswer<'a> {
    /// Problem with the request, or the state of the service.
    pub error: &'a str,
}
