//! Connections to and from the other controllers, and the frames on them.

use super::Runtime;
use super::connection::{Connection, ConnectionId, Role};
use super::error::RuntimeError;
use super::limits::PEER_RETRY_INTERVAL;
use super::socket::begin_connect;
use crate::config::Config;
use crate::controller::Event;
use crate::peer::{self, Frame};
use crate::time::Micros;
use log::{debug, warn};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// Another controller, with the connection that carries frames to it.
pub(super) struct PeerLink {
    address: SocketAddrV4,
    pub(super) connection: Option<ConnectionId>,
    /// Earliest time of the next attempt to connect, while there is no connection.
    pub(super) connect_at: Micros,
    /// The peer's incarnation in its last frame; 0 until one has arrived.
    incarnation: u64,
}

impl PeerLink {
    /// Creates a link that is not connected yet.
    fn new(address: SocketAddrV4) -> PeerLink {
        PeerLink { address, connection: None, connect_at: Micros::ZERO, incarnation: 0 }
    }
}

/// The last encoded frame, cached because the same frame often goes to several peers.
#[derive(Default)]
pub(super) struct EncodedFrameCache(Option<(Rc<Frame>, Vec<u8>)>);

impl EncodedFrameCache {
    /// Appends the bytes of `frame` to `out`; encodes it unless it is the cached one.
    fn append_to(&mut self, out: &mut Vec<u8>, frame: &Rc<Frame>) {
        match &self.0 {
            Some((last, bytes)) if Rc::ptr_eq(last, frame) => out.extend_from_slice(bytes),
            _ => {
                let mut bytes = Vec::new();
                peer::write_frame(&mut bytes, frame);
                out.extend_from_slice(&bytes);
                self.0 = Some((Rc::clone(frame), bytes));
            }
        }
    }
}

/// Creates the links to the other controllers, by member number.
pub(super) fn peer_links(config: &Config) -> BTreeMap<usize, PeerLink> {
    let members = config.members();
    config
        .peers
        .iter()
        .filter_map(|peer| {
            let number = members.iter().position(|member| *member == peer.member)?;
            Some((number, PeerLink::new(peer.address)))
        })
        .collect()
}

impl Runtime {
    /// Parses all complete frames from a peer's connection. Returns true if the connection is
    /// closed, false if the next frame has not arrived in full.
    pub(super) fn consume_frames(&mut self, id: ConnectionId) -> bool {
        loop {
            let Some(connection) = self.connections.get_mut(id) else {
                return true;
            };
            let Role::PeerIn { member } = connection.role else {
                return true;
            };
            match peer::read_frame(&connection.inbound) {
                Ok(None) => return false,
                Ok(Some(peer::ReadFrame { frame, used })) => {
                    connection.inbound.drain(..used);
                    if !self.accept_frame(id, member, frame) {
                        return true;
                    }
                }
                Err(error) => {
                    warn!("inbound peer connection closed (member {member:?}): {error}");
                    self.close(id);
                    return true;
                }
            }
        }
    }

    /// Passes a frame to the controller. `member` is the peer that sent the earlier frames on this
    /// connection. If the frame comes from another member or from an unknown one, closes the
    /// connection and returns false.
    fn accept_frame(&mut self, id: ConnectionId, member: Option<usize>, frame: Frame) -> bool {
        let number = self.controller.member_number(&frame.member);
        let peer = number.filter(|number| self.peers.contains_key(number));
        let Some(from) = peer.filter(|number| member.is_none_or(|m| m == *number)) else {
            warn!(
                "inbound peer connection closed: frame from unexpected member {:?}",
                frame.member
            );
            self.close(id);
            return false;
        };
        if member.is_none() {
            self.identify_peer(id, from);
        }
        self.update_incarnation(from, frame.incarnation);
        self.dispatch(Event::Peer { from, frame: Box::new(frame) });
        true
    }

    /// Records which peer a connection comes from, after its first frame, and closes older
    /// connections from that peer: frames delayed on them would arrive after newer ones.
    fn identify_peer(&mut self, id: ConnectionId, from: usize) {
        let role = Role::PeerIn { member: Some(from) };
        if let Some(connection) = self.connections.get_mut(id) {
            connection.role = role;
        }
        let is_older = |other, connection: &Connection| other != id && connection.role == role;
        for other in self.connections.matching(is_older) {
            self.close(other);
        }
    }

    /// Records a peer's incarnation. If the peer has restarted, closes the connection to it: frames
    /// sent to its earlier incarnation are lost.
    fn update_incarnation(&mut self, from: usize, incarnation: u64) {
        let Some(link) = self.peers.get_mut(&from) else {
            return;
        };
        let previous = std::mem::replace(&mut link.incarnation, incarnation);
        if previous != 0
            && previous != incarnation
            && let Some(connection) = link.connection
        {
            self.close(connection);
        }
    }

    /// Sends a frame, or drops it while the peer is not connected. Closes the connection if too
    /// many bytes wait on it.
    pub(super) fn send_frame(
        &mut self,
        to: usize,
        frame: &Rc<Frame>,
        encoded: &mut EncodedFrameCache,
    ) {
        let Some(id) = self.peers.get(&to).and_then(|link| link.connection) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        if !connection.connected {
            return;
        }
        if connection.unwritten() > self.max_peer_backlog_bytes {
            debug!(
                "connection to peer {to} closed: {} bytes wait to be written, the maximum is {}",
                connection.unwritten(),
                self.max_peer_backlog_bytes
            );
            self.close(id);
            return;
        }
        encoded.append_to(&mut connection.outbound, frame);
        self.write(id);
    }

    /// Connects to a peer that is not connected, and closes a connection attempt that has timed
    /// out.
    pub(super) fn maintain_peer(&mut self, member: usize) {
        let now = self.now;
        let Some(link) = self.peers.get(&member) else {
            return;
        };
        match link.connection {
            Some(id) if self.connections.get(id).is_some_and(|c| c.connect_timed_out(now)) => {
                self.close(id);
            }
            None if now >= link.connect_at => {
                let opened =
                    begin_connect(link.address).map_err(RuntimeError::from).and_then(|stream| {
                        self.add_connection(stream, Role::PeerOut { member }, false)
                    });
                if let Some(link) = self.peers.get_mut(&member) {
                    link.connection = opened.ok();
                    link.connect_at = now + PEER_RETRY_INTERVAL;
                }
            }
            _ => {}
        }
    }
}
