//! Scenarios: jobs run while controllers, workers and connections fail. The simulation checks the invariants of
//! the protocol at every step; each test asserts the final outcome.

mod cancellations;
mod cancellations_under_faults;
mod common;
mod configuration_changes;
mod configuration_records;
mod controller_failures;
mod dependencies;
mod failover;
mod failover_under_load;
mod guard_harness;
mod heartbeat_limits;
mod incomplete_lists;
mod message_faults;
mod one_way_partitions;
mod placement;
mod priorities;
mod provisioning;
mod quick_restarts;
mod quotas;
mod random_faults;
mod repeated_commands;
mod requests;
mod rescheduling;
mod rolling_upgrade;
mod runtime_estimates;
mod safety_guards;
mod starvation;
mod state_outages;
mod storage_formats;
mod worker_failures;
mod worker_guards;
mod write_budget;
mod zone_evacuation;
mod zone_partitions;
