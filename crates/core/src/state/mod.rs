//! Shared records: their keys, their values, a controller's copy of them, and conditional transactions.
//!
//! Values know keys, the cache knows both, and transactions are built over the cache: none of them knows
//! what stands after it here.

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
