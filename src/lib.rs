//! millethold: a cluster scheduler whose controllers share the work.
//!
//! The [`controller`] is pure: it takes the current time and an event, and returns effects. The
//! [`runtime`] does all I/O. See `docs/architecture.md`.
//!
//! - [`runtime`]: event loop with sockets, timers and rate limits; turns input into events and
//!   carries out effects;
//! - [`controller`]: state and decisions of a controller, with one component per concern;
//! - [`wire`]: JSON formats of users, workers, the cloud and the key-value store;
//! - [`peer`]: messages between controllers;
//! - [`kv_store`]: requests to the key-value store, their outcomes, and the client-side rate limit;
//! - [`cloud`]: calls to the cloud and their outcomes;
//! - [`http`]: parsing and writing of HTTP messages;
//! - [`config`]: settings and options;
//! - [`logging`]: format of log lines;
//! - [`resources`]: amounts of CPUs, GPUs and memory;
//! - [`time`]: points in time and durations.

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
