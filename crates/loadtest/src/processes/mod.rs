//! Controller processes: ports, settings, start, end, and resource usage from the kernel.

pub mod controllers;
pub mod ports;
pub mod settings;
pub mod usage;
