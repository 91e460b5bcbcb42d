//! Table-driven tests of components without I/O, one file per subject.

#![allow(clippy::too_many_lines, reason = "a table of cases is one function")]

mod autoscaler;
mod http;
mod jobs;
mod kv_store;
mod leadership;
mod machines;
mod peer_frames;
mod quota;
mod scheduler;
mod settings;
mod sockets;
mod stored_formats;
mod submissions;

use serde_json::{Value, json};

/// A valid submission.
fn submission() -> Value {
    json!({
        "ref": "j-000412", "grade": "train", "crew": "red", "cut": "batch", "urgency": "high",
        "planks": 16, "cpus": 8.0, "gpus": 1.0, "ramGb": 64.0, "pattern": "img-07",
        "pullGb": 6.2, "benches": ["g8"], "yard": null, "together": true, "apart": false,
        "loaners": true, "expectedS": 240.0, "notchS": 30.0, "stackS": 4.0, "dueS": 900.0,
    })
}
