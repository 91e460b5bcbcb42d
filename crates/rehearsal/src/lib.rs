//! The rehearsal kit: real processes of the service over loopback, stand-ins of everything
//! that they talk to, and faults drawn by a seed.
//!
//! Nothing is taken from the service's own word: what the protocol forbids is found in the
//! [`history`] of what workers and users saw, by the [`rules`].
//!
//! - [`options`], [`settings`], [`addresses`]: what is to be played, and the settings of the processes;
//! - [`net`], [`relay`]: sockets on one event loop, and the links between controllers;
//! - [`faults`], [`links`]: what goes wrong when, and what it does to a message;
//! - [`kv_store`], [`kv_store_http`], [`cloud`], [`worker`], [`jobs`]: the stand-ins, which know no sockets;
//! - [`world`] and what belongs to it: one run, in which all of these meet;
//! - [`process`]: the controllers' processes;
//! - [`history`], [`rules`], [`report`], [`soak`]: what was seen, what it breaks, what is answered of it.

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
pub mod settings;
pub mod soak;
pub mod worker;
mod world;
