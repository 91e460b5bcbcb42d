//! Simulation of a cluster in one process: real controllers against stand-ins for the key-value
//! store, the cloud, the workers and the users, on a simulated clock.
//!
//! Messages are delayed, lost, held and repeated, and controllers crash. The protocol's rules are
//! checked at every step. A seed determines a run completely.
//!
//! - `world`: the clock, the event queue and the dispatch of events; `event`: the events;
//! - `settings`: settings of the controllers and limits of the stand-ins;
//! - `upgrade`: jobs stored by an earlier version, and members that are replaced;
//! - `faults`: the faults of a run; `fault_builders`: common and random sets of faults;
//! - `network`: message delays and current reachability;
//! - `controllers`, `kv_store`, `machines`: the messages of each party;
//! - `store`, `cloud`, `worker`: the stand-ins;
//! - `jobs`, `users`, `answers`, `invalid_requests`: submissions, requests and answers of users;
//! - `checks`: the rules; `injection`: facts that break them, to test the checks;
//! - `outcome`: the results of a run; `row`: table-driven runs; `digest`: a digest of all effects.

mod answers;
mod checks;
#[path = "../../stand_ins/cloud.rs"]
mod cloud;
mod controllers;
#[path = "../../stand_ins/digest.rs"]
mod digest;
mod event;
pub mod fault_builders;
mod faults;
mod injection;
mod invalid_requests;
mod jobs;
mod kv_store;
mod machines;
mod network;
mod outcome;
pub mod row;
mod settings;
#[path = "../../stand_ins/store.rs"]
mod store;
mod upgrade;
mod users;
#[path = "../../stand_ins/worker.rs"]
mod worker;
mod world;

pub use faults::{CancelRunning, Faults, HangAfterFailover, HeldCommands, UnansweredTxns};
pub use jobs::Plan;
pub use outcome::{check_outcome, run_until_done};
pub use settings::LEASE_S;
pub use world::World;
