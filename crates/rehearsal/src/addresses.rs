//! Loopback addresses of a run. Each try to execute a run takes a range of its own, called a slot,
//! so that several runs can be executed at the same time.

use std::net::{Ipv4Addr, SocketAddrV4};

/// Ports of the controllers.
const API_PORT: u16 = 8080;
const PEER_PORT: u16 = 8081;
/// Ports of the simulated key-value store and cloud.
const KV_STORE_PORT: u16 = 2379;
const CLOUD_PORT: u16 = 8443;
/// First port of the relays between controllers; the target controller's number is added.
const FIRST_RELAY_PORT: u16 = 8100;
/// First port of the workers; the worker's number is added.
const FIRST_WORKER_PORT: u16 = 10_000;
/// Number of blocks to choose from; a block is the second byte of the addresses. 127.0.x.y is not
/// among them, since other programs use it.
const BLOCK_COUNT: u32 = 200;
/// Second byte of the first of these blocks.
const FIRST_BLOCK: u32 = 32;
/// Slots of a block. Later runs reuse the slots of the first ones, which have ended by then.
const SLOTS_PER_BLOCK: usize = 250;
/// Last byte of controller 0's own address; each further controller adds one.
const FIRST_HOST: usize = 1;

/// The addresses of one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    block: u8,
    slot: u8,
}

impl Addresses {
    /// The addresses of a slot; `slot` counts up in this process, and is reduced to the slots of a
    /// block. Without a given block, the process id selects one.
    pub fn new(block: Option<u8>, slot: usize) -> Addresses {
        let from_process_id = || (FIRST_BLOCK + std::process::id() % BLOCK_COUNT) as u8;
        let slot = (slot % SLOTS_PER_BLOCK) as u8 + 1;
        Addresses { block: block.unwrap_or_else(from_process_id), slot }
    }

    /// An address for one controller. `offset` is added to the last byte: 0 for the controller
    /// itself, 64 for the relays, key-value store and cloud that it connects to, and 128 for the
    /// workers. With an address per controller, a stand-in knows which controller connects.
    fn host(self, offset: u8, controller: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block, self.slot, offset + (FIRST_HOST + controller) as u8)
    }

    /// The address where users and workers reach a controller.
    pub fn api(self, controller: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.host(0, controller), API_PORT)
    }

    /// The address where a controller listens for its peers.
    pub fn peer_listener(self, controller: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.host(0, controller), PEER_PORT)
    }

    /// The address that controller `from` has in its settings for its peer `to`.
    pub fn relay(self, from: usize, to: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.host(64, from), FIRST_RELAY_PORT + to as u16)
    }

    /// The key-value store's address in a controller's settings.
    pub fn kv_store(self, controller: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.host(64, controller), KV_STORE_PORT)
    }

    /// The cloud's address in a controller's settings.
    pub fn cloud(self, controller: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.host(64, controller), CLOUD_PORT)
    }

    /// The address that a worker reports to a controller, for direct commands.
    pub fn worker(self, controller: usize, worker: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.host(128, controller), FIRST_WORKER_PORT + worker as u16)
    }
}
