//! Targets of outgoing calls, and the connection limit of each.

use super::limits::{
    MAX_CLOUD_CONNECTIONS, MAX_KV_STORE_CONNECTIONS, MAX_LEASE_CONNECTIONS, MAX_WATCH_CONNECTIONS,
    MAX_WORKER_CONNECTIONS,
};
use crate::config::Endpoints;
use crate::kv_store::KvRequest;
use std::net::SocketAddrV4;

/// The target of a call; each destination has its own connection pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Destination {
    /// The key-value store, for requests that it answers at once.
    KvStore,
    /// The key-value store, for watches, which wait for changes.
    Watch,
    /// The key-value store, for requests about leases.
    Lease,
    /// The cloud.
    Cloud,
    /// A worker, for commands and status requests.
    Worker(SocketAddrV4),
}

impl Destination {
    /// The destination of a request to the key-value store. Watches and lease requests have their
    /// own connections: a watch occupies its connection while it waits, and a lease renewal must
    /// not wait behind other requests.
    pub(super) fn for_kv_request(request: &KvRequest) -> Destination {
        if request.is_watch() {
            Destination::Watch
        } else if request.is_urgent() {
            Destination::Lease
        } else {
            Destination::KvStore
        }
    }

    /// Maximum number of connections that may be open at once.
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

    /// Whether the destination is a worker. The command connections to all workers share one limit.
    pub(super) fn is_worker(self) -> bool {
        matches!(self, Destination::Worker(_))
    }
}
