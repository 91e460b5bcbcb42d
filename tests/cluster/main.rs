//! Simulation tests: three controllers on a simulated clock, stand-ins for all their peers and
//! services, and faults drawn from a seed. The protocol's rules are checked after every step.

#![allow(clippy::too_many_lines, reason = "each table of cases is one function")]

mod delayed_commands;
mod fault_combinations;
mod job_dependencies;
mod rolling_upgrade;
mod scenarios;
mod simulation;
