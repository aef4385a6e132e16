//! Provisioning: which machines are provisioned and returned, and the requests to the cloud under way.

mod cloud;
pub mod demand;
pub(crate) mod tracker;
