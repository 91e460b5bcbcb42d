//! millethold: a cluster scheduler whose controllers share the work.
//!
//! The [`controller`] is pure: time and events go in, effects come out. The
//! [`runtime`] does all input and output around it. See `docs/architecture.md`.
//!
//! - [`runtime`]: sockets, timers and rate limits; turns input into events and carries out
//!   effects;
//! - [`controller`]: what a controller knows and decides, a component a concern;
//! - [`wire`]: the JSON of users, workers, the cloud and the key-value store;
//! - [`peer`]: messages between controllers;
//! - [`kv_store`]: requests to the key-value store, what their outcomes prove, its rates;
//! - [`cloud`]: requests to the cloud and their outcomes;
//! - [`http`]: HTTP messages;
//! - [`config`]: settings and options;
//! - [`logging`]: the form of log lines;
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
