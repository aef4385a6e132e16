//! The world outside of the controllers, played on loopback against real controller processes: state
//! service, cloud, workers, users and networks between zones. Rules are checked from the outside, and
//! what everybody spends and sends is measured.

pub mod balancer;
pub mod cloud;
pub mod compare;
pub mod controllers;
pub mod counters;
pub mod fleet;
pub mod http;
pub mod jobs;
pub mod limits;
pub mod link;
pub mod machine;
pub mod network;
pub mod operator;
pub mod plan;
pub mod processes;
pub mod protocol;
pub mod result;
pub mod rules;
pub mod run;
pub mod slopes;
pub mod state_service;
pub mod store;
pub mod troubles;
pub mod users;
pub mod world;
