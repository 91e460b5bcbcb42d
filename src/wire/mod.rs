//! The protocol's JSON, and the only place with the protocol's own words.
//!
//! Names of fields, verbs and paths that users, workers, the cloud and the key-value
//! store use are mapped here by serde; the rest of the program says job, task, machine,
//! heartbeat, incarnation, fencing token, lease, revision. It has no logic.

mod cloud;
mod kv_store;
pub mod path;
mod submission;
mod users;
mod workers;

pub use cloud::*;
pub use kv_store::*;
pub use submission::*;
pub use users::*;
pub use workers::*;

use serde::de::DeserializeOwned;

/// Reads an answer of an outside system; one that cannot be read is logged.
pub fn read_answer<T: DeserializeOwned>(system: &str, body: &[u8]) -> Option<T> {
    match serde_json::from_slice(body) {
        Ok(answer) => Some(answer),
        Err(error) => {
            log::warn!("{system}: unreadable answer: {error}");
            None
        }
    }
}
