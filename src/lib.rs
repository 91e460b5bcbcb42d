//! millethold: a cluster scheduler whose controllers share the work.
//!
//! The [`controller`] is pure: time and events go in, effects come out. The
//! [`runtime`] does all input and output around it. See `docs/design.md`.

pub mod cloud;
pub mod config;
pub mod controller;
pub mod http;
pub mod kv_store;
pub mod logging;
pub mod peer;
pub mod resources;
pub mod runtime;
pub mod time;
pub mod wire;
