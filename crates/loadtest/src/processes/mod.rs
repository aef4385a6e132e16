//! The real controller processes, and what the kernel tells about processes.

pub mod controllers;
pub mod ports;
pub mod settings;
pub mod usage;
