//! Provisioning: which machines are rented and returned, and the requests to the cloud under way.

mod cloud;
pub mod demand;
