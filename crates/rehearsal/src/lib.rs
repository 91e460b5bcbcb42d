//! Fault-injection soak tests: real controller processes over loopback, simulated services and
//! workers, and faults drawn from a seed.
//!
//! The controllers' own reports are not trusted: the [`rules`] of the protocol are checked against
//! the [`history`] of what workers and users observed.
//!
//! - [`options`], [`settings`], [`addresses`]: options of a soak, and settings and addresses of the
//!   controller processes;
//! - [`net`], [`relay`]: sockets on one event loop, and the links between controllers;
//! - [`faults`], [`links`]: which faults occur when, and their effect on a message;
//! - [`kv_store`], [`kv_store_http`], [`cloud`], [`worker`], [`jobs`]: stand-ins for the external
//!   systems and the users' jobs, without sockets;
//! - [`run`]: one run, which connects all of these;
//! - [`process`]: the controller processes;
//! - [`history`], [`rules`], [`report`], [`soak`]: observations, the rules that are checked against
//!   them, the report, and the runs of a soak.

mod addresses;
pub mod cloud;
pub mod faults;
pub mod history;
pub mod jobs;
pub mod kv_store;
pub mod kv_store_http;
pub mod links;
mod net;
pub mod options;
mod process;
mod relay;
pub mod report;
pub mod rules;
mod run;
pub mod settings;
pub mod soak;
pub mod worker;
