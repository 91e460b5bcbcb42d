//! All open connections, and how many there may be of each kind.

use super::connection::{Connection, ConnectionId, Role};
use super::limits::{command_fits, sender_fits};
use crate::time::Micros;
use std::collections::{BTreeSet, HashMap};

/// A connection with commands that awaits no answer; they are ordered by age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct IdleCommand {
    since: Micros,
    connection: ConnectionId,
}

/// The open connections and their counts.
pub(super) struct Connections {
    by_id: HashMap<ConnectionId, Connection>,
    next_id: ConnectionId,
    /// Sockets that the process may have open.
    socket_limit: usize,
    /// Connections of users, workers and the load balancer.
    senders: usize,
    /// Connections for commands to workers.
    commands: usize,
    /// Those of them that await no answer, the one idle for longest first.
    idle_commands: BTreeSet<IdleCommand>,
}

impl Connections {
    /// None is open.
    pub(super) fn new(socket_limit: usize) -> Connections {
        Connections {
            by_id: HashMap::new(),
            next_id: 1,
            socket_limit,
            senders: 0,
            commands: 0,
            idle_commands: BTreeSet::new(),
        }
    }

    /// An id for a new connection.
    pub(super) fn take_id(&mut self) -> ConnectionId {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// Adds a connection under an id of its own.
    pub(super) fn insert(&mut self, id: ConnectionId, connection: Connection) {
        match connection.role {
            Role::Sender { .. } => self.senders += 1,
            role if role.is_command() => self.commands += 1,
            _ => {}
        }
        self.by_id.insert(id, connection);
    }

    /// Removes a connection; the caller ends what depends on it.
    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.by_id.remove(&id)?;
        match connection.role {
            Role::Sender { .. } => self.senders -= 1,
            role if role.is_command() => self.commands -= 1,
            _ => {}
        }
        if let Some(since) = connection.idle_since {
            self.idle_commands.remove(&IdleCommand { since, connection: id });
        }
        Some(connection)
    }

    /// An open connection.
    pub(super) fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.by_id.get(&id)
    }

    /// An open connection, to be changed; its kind of role stays.
    pub(super) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.by_id.get_mut(&id)
    }

    /// Connections for which `condition` holds.
    pub(super) fn matching(
        &self,
        condition: impl Fn(ConnectionId, &Connection) -> bool,
    ) -> Vec<ConnectionId> {
        let matching = self.by_id.iter().filter(|(id, connection)| condition(**id, connection));
        matching.map(|(id, _)| *id).collect()
    }

    /// A connection with commands awaits no answer any more.
    pub(super) fn mark_idle_command(&mut self, id: ConnectionId, now: Micros) {
        if let Some(connection) = self.by_id.get_mut(&id) {
            connection.idle_since = Some(now);
            self.idle_commands.insert(IdleCommand { since: now, connection: id });
        }
    }

    /// A connection awaits an answer again.
    pub(super) fn mark_busy(&mut self, id: ConnectionId) {
        if let Some(connection) = self.by_id.get_mut(&id)
            && let Some(since) = connection.idle_since.take()
        {
            self.idle_commands.remove(&IdleCommand { since, connection: id });
        }
    }

    /// The connection with commands that has been idle for longest.
    pub(super) fn longest_idle_command(&self) -> Option<ConnectionId> {
        Some(self.idle_commands.first()?.connection)
    }

    /// Whether one more user, worker or prober may connect.
    pub(super) fn sender_fits(&self) -> bool {
        sender_fits(self.socket_limit, self.senders, self.commands)
    }

    /// Whether one more connection for commands may be made.
    pub(super) fn command_fits(&self) -> bool {
        command_fits(self.socket_limit, self.senders, self.commands)
    }

    /// Open connections.
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Connections of users, workers and the load balancer.
    pub(super) fn senders(&self) -> usize {
        self.senders
    }

    /// Connections for commands to workers.
    pub(super) fn commands(&self) -> usize {
        self.commands
    }
}
