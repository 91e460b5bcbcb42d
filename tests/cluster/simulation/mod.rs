//! A simulation in one process: real controllers against stand-ins of the state
//! service, the cloud, the workers and the users, on a simulated clock.
//!
//! Messages are delayed, lost, held back and repeated, controllers crash; what
//! the protocol forbids is checked at every step. One seed, one run.
//!
//! - `world`: the clock, the queue of events and what each event does;
//! - `settings`: the controllers' settings;
//! - `earlier`: jobs that an earlier version had stored, and members replaced;
//! - `faults`: what goes wrong; `chance`: faults drawn by a seed;
//! - `network`: delays, and who reaches whom at present;
//! - `controllers`, `kv_store`, `machines`: the messages of each party;
//! - `store`, `cloud`, `worker`: the stand-ins themselves;
//! - `jobs`, `users`, `answers`, `invalid_requests`: what users hand in and are told;
//! - `checks`: the rules; `forge`: facts that must break them;
//! - `outcome`: what a run has shown; `row`: tables of runs; `digest`: of all effects.

mod answers;
pub mod chance;
mod checks;
#[path = "../../stand_ins/cloud.rs"]
mod cloud;
mod controllers;
#[path = "../../stand_ins/digest.rs"]
mod digest;
mod earlier;
mod event;
mod faults;
mod forge;
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
mod users;
#[path = "../../stand_ins/worker.rs"]
mod worker;
mod world;

pub use faults::{CancelNow, Faults, HeldCommands, LateWrites};
pub use jobs::Plan;
pub use outcome::{judge, until_done};
pub use settings::LEASE_S;
pub use world::World;
