//! Stand-ins of the services that controllers use: the state store, the cloud and the workers.

pub(crate) mod cloud;
pub mod hollow_worker;
pub mod state_store;
pub mod token_bucket;
pub(crate) mod worker_fleet;
