//! TODO

pub mod admission;
pub mod routing;
pub mod status;
pub mod status_queries;
pub mod terminal_states;
