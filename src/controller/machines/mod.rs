//! TODO

pub mod cancellation;
pub mod commands;
pub mod desired_state;
pub mod desired_tracking;
pub mod direct_commands;
pub mod heartbeats;
pub mod machine;
pub mod probes;
pub mod reconciler;
pub mod start_gate;
pub mod views;
