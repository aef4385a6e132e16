//! Provisioning: which machines are provisioned and returned, and the requests to the cloud under way.

mod cloud;
pub mod demand;
mod scale_in;
mod scale_out;
pub(crate) mod tracker;
