//! Jobs as users know them: requests, admission, dependencies, cancellation, and what is left to clean up.

pub(crate) mod admission;
mod cancellation;
mod cleanup;
pub(crate) mod cleanup_state;
pub mod dependencies;
pub(crate) mod request_table;
pub(crate) mod requests;
