//! Where outgoing calls go, and how many connections each destination may have.

use super::limits::{
    MAX_CLOUD_CONNECTIONS, MAX_KV_STORE_CONNECTIONS, MAX_LEASE_CONNECTIONS, MAX_WATCH_CONNECTIONS,
    MAX_WORKER_CONNECTIONS,
};
use crate::config::Endpoints;
use crate::kv_store::KvRequest;
use std::net::SocketAddrV4;

/// Where a call goes; each destination has its own connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Destination {
    /// The key-value store, for calls that are answered at once.
    KvStore,
    /// The key-value store, for calls that wait for changes.
    Watch,
    /// The key-value store, for leases.
    Lease,
    /// The cloud.
    Cloud,
    /// A worker, for commands.
    Worker(SocketAddrV4),
}

impl Destination {
    /// The destination of a call to the key-value store: a watch occupies its connection,
    /// and a renewal must not wait behind other calls.
    pub(super) fn of_store_call(call: &KvRequest) -> Destination {
        if call.is_watch() {
            Destination::Watch
        } else if call.is_urgent() {
            Destination::Lease
        } else {
            Destination::KvStore
        }
    }

    /// Connections that may be open at once.
    pub(super) fn max_connections(self) -> usize {
        match self {
            Destination::KvStore => MAX_KV_STORE_CONNECTIONS,
            Destination::Watch => MAX_WATCH_CONNECTIONS,
            Destination::Lease => MAX_LEASE_CONNECTIONS,
            Destination::Cloud => MAX_CLOUD_CONNECTIONS,
            Destination::Worker(_) => MAX_WORKER_CONNECTIONS,
        }
    }

    /// The address to connect to.
    pub(super) fn address(self, endpoints: &Endpoints) -> SocketAddrV4 {
        match self {
            Destination::KvStore | Destination::Watch | Destination::Lease => endpoints.kv_store,
            Destination::Cloud => endpoints.cloud,
            Destination::Worker(address) => address,
        }
    }

    /// Whether its connections are for commands to a worker, which are bounded together.
    pub(super) fn is_worker(self) -> bool {
        matches!(self, Destination::Worker(_))
    }
}
