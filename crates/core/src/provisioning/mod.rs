//! Provisioning: decides which machines to provision and return, and tracks the requests to the cloud.

mod cloud;
pub mod demand;
mod scale_in;
mod scale_out;
pub(crate) mod tracker;
