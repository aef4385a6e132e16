//! Scheduling: pending work, queue order, placement, claims, preemption, rescheduling, enforcement of quotas.

pub mod claims;
mod pass;
pub mod placement;
pub mod preemption;
pub mod queue_order;
pub mod quota_enforcement;
pub mod rescheduling;
pub(crate) mod schedule;
