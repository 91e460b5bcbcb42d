//! The protocol's JSON, and the only place that knows its odd words.
//!
//! Field names that users, workers, cloud and state service speak are mapped
//! here by serde; the rest of the program says job, task, machine, session.

mod cloud;
pub mod path;
mod state_service;
mod submission;
mod users;
mod workers;

pub use cloud::*;
pub use state_service::*;
pub use submission::*;
pub use users::*;
pub use workers::*;
