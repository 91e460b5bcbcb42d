//! Simulation tests: three controllers on a simulated clock, with stand-ins for users, workers, the
//! cloud and the key-value store, and with injected faults. A seed determines each run. The
//! protocol's rules are checked after every step.

#![allow(clippy::too_many_lines, reason = "each table of cases is one function")]

mod delayed_commands;
mod failover_series;
mod fault_combinations;
mod job_dependencies;
mod quick_restarts;
mod repeated_commands;
mod rolling_upgrade;
mod scenarios;
mod simulation;
