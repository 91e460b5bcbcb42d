//! JSON types of the external protocols, and the only place that uses the protocols' own terms.
//!
//! Serde maps the names of fields and verbs that users, workers, the cloud and the key-value store
//! use; [`path`] maps their paths. The rest of the program uses job, task, machine, heartbeat,
//! incarnation, fencing token, lease and revision. Apart from the checks of submissions there is
//! no logic here.

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

/// Decodes the JSON body of a response from an external system; `system` names it in the log.
/// Returns `None` after a warning if the body cannot be decoded.
pub fn decode_response<T: DeserializeOwned>(system: &str, body: &[u8]) -> Option<T> {
    match serde_json::from_slice(body) {
        Ok(response) => Some(response),
        Err(error) => {
            log::warn!("{system}: cannot decode the response: {error}");
            None
        }
    }
}
