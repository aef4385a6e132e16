//! Loopback network of a run: HTTP, links between controllers, and partitions.

pub mod http;
pub mod partitions;
pub mod peer_links;
