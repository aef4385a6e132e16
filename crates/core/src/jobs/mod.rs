//! User-facing jobs: requests, admission, dependencies, cancellation and cleanup.

pub(crate) mod admission;
mod cancellation;
mod cleanup;
pub(crate) mod cleanup_state;
pub mod dependencies;
pub(crate) mod request_table;
pub(crate) mod requests;
