//! The other controllers: what is known of them, and failover when one is lost.

mod failover;
pub mod tracker;
