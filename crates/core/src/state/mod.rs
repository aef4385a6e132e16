//! The shared records in the state store: their keys and values, a controller's cache of them, and
//! compare-and-swap transactions.
//!
//! Dependencies point one way: keys depend on none of the others, values on keys, the cache on keys
//! and values, and transactions on all three.

mod cache;
mod dependents;
pub mod formats;
mod key;
pub(crate) mod list_watch;
pub(crate) mod reads;
mod records;
mod responses;
mod transaction;
pub(crate) mod write_control;

pub use cache::*;
pub use dependents::Dependents;
pub use key::*;
pub use records::*;
pub use transaction::*;
