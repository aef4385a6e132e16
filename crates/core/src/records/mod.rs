//! Shared records: their keys, their values, a node's copy of them, and conditional transactions.
//!
//! Values know keys, the copy knows both, and transactions are built over the copy: none of them knows
//! what stands after it here.

mod cache;
mod dependents;
mod key;
mod transaction;
mod values;

pub use cache::*;
pub use dependents::Dependents;
pub use key::*;
pub use transaction::*;
pub use values::*;
