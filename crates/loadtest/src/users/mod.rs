//! Simulated users, who submit, poll and cancel jobs and check the answers, with their load balancer and an
//! operator.

pub mod arrivals;
mod connections;
pub mod load_balancer;
pub mod operator;
mod user;
