//! Scheduling: pending work, queue order, placement, claims, preemption, rescheduling, enforcement of quotas.

pub mod candidates;
pub mod claims;
pub mod deferral;
mod pass;
pub mod pending_work;
pub mod placement;
pub mod preemption;
pub mod queue_order;
pub mod quota_enforcement;
pub mod rescheduling;
pub(crate) mod schedule;
pub mod service_reserve;
pub mod urgency;
