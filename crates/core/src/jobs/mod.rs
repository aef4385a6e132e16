//! Jobs as users know them: requests, admission, dependencies, cancellation, and what is left to clean up.

pub(crate) mod admission;
mod cancellation;
mod cleanup;
pub mod dependencies;
pub(crate) mod requests;
