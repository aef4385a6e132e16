//! Stand-in of the state store: an in-memory key-value store and an HTTP server in front of it.

mod configuration_versions;
pub mod key_value_store;
mod preload;
pub(crate) mod server;
