//! Addresses of a run: each has a block of the loopback range of its own, so that several
//! run beside each other.

use std::net::{Ipv4Addr, SocketAddrV4};

/// Ports of the controllers.
const USERS_PORT: u16 = 8080;
const PEERS_PORT: u16 = 8081;
/// Ports of the stand-ins.
const STATE_PORT: u16 = 2379;
const CLOUD_PORT: u16 = 8443;
/// First port of the links to peers; the number of the peer is added.
const RELAY_PORT: u16 = 8100;
/// First port of the workers; the number of the worker is added.
const WORKER_PORT: u16 = 10_000;
/// Blocks of the loopback range, beside its first, which everybody uses.
const BLOCKS: u32 = 200;
/// Number of the first block.
const FIRST_BLOCK: u32 = 32;
/// Runs that a block has addresses for; the first ones are free again by then.
const RUNS: usize = 250;
/// Last byte of the address that is controller 0's own side of its links.
const FIRST_HOST: usize = 1;

/// The addresses of one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    block: u8,
    run: u8,
}

impl Addresses {
    /// Those of a run by its place among the runs of this process; in a block that is given,
    /// or in one by the number of the process.
    pub fn new(block: Option<u8>, run: usize) -> Addresses {
        let by_process = || (FIRST_BLOCK + std::process::id() % BLOCKS) as u8;
        let run = (run % RUNS) as u8 + 1;
        Addresses { block: block.unwrap_or_else(by_process), run }
    }

    /// A host that belongs to a controller: its own, or a stand-in as that one sees it.
    fn host(self, network: u8, controller: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block, self.run, network + (FIRST_HOST + controller) as u8)
    }

    /// Where users and workers reach a controller.
    pub fn users(self, controller: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.host(0, controller), USERS_PORT)
    }

    /// Where a controller listens for its peers.
    pub fn peers(self, controller: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.host(0, controller), PEERS_PORT)
    }

    /// Where a controller believes a peer to be.
    pub fn relay(self, from: usize, to: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.host(64, from), RELAY_PORT + to as u16)
    }

    /// The key-value store, as a controller sees it.
    pub fn state(self, controller: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.host(64, controller), STATE_PORT)
    }

    /// The cloud, as a controller sees it.
    pub fn cloud(self, controller: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.host(64, controller), CLOUD_PORT)
    }

    /// A worker, as a controller sees it.
    pub fn worker(self, controller: usize, worker: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.host(128, controller), WORKER_PORT + worker as u16)
    }
}
