//! A stand-in of the state store: an in-memory key-value store, and the HTTP server in front of it.

pub mod key_value_store;
pub mod server;
