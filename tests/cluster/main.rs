//! Three controllers on a simulated clock, with stand-ins of everything that they talk to and
//! faults drawn by a seed. The protocol's rules are checked after every step.

#![allow(clippy::too_many_lines, reason = "a table of cases is one function")]

mod delayed_commands;
mod fault_combinations;
mod job_dependencies;
mod rolling_upgrade;
mod scenarios;
mod simulation;
