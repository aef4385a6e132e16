//! Users and their surroundings: they submit jobs, poll them, cancel some, and check what they are answered.

pub mod arrivals;
mod connections;
pub mod load_balancer;
pub mod operator;
mod user;
