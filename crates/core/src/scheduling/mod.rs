//! Scheduling: pending work, queue order, placement, claims, releases, preemption, rescheduling and quota enforcement.
//!
//! `pass` runs the steps of a scheduling pass in order; `migration_step` runs independently of it. The other
//! modules make decisions from a view of the cluster and have no access to the controller's effects.

pub mod candidates;
pub mod claims;
pub mod cluster_view;
pub mod deferral;
mod migration_step;
mod pass;
pub mod pending_work;
pub mod placement;
pub mod preemption;
mod preemption_step;
pub mod queue_order;
pub mod quota_enforcement;
pub mod releases;
pub mod rescheduling;
pub(crate) mod schedule;
pub mod service_reserve;
pub mod stops;
pub mod urgency;
