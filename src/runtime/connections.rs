//! All open connections, and whether one more client or command connection is allowed.

use super::connection::{Connection, ConnectionId, Role};
use super::limits::{client_fits, command_fits};
use crate::time::Micros;
use std::collections::{BTreeSet, HashMap};

/// An idle command connection; ordered by the time at which it became idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct IdleCommandConnection {
    since: Micros,
    connection: ConnectionId,
}

/// All open connections, with counts by role.
pub(super) struct Connections {
    by_id: HashMap<ConnectionId, Connection>,
    next_id: ConnectionId,
    /// Maximum number of sockets that the process may have open.
    socket_limit: usize,
    /// Number of connections from users, workers and the load balancer.
    clients: usize,
    /// Number of connections that carry commands to workers.
    commands: usize,
    /// Idle command connections, the one idle for longest first.
    idle_commands: BTreeSet<IdleCommandConnection>,
}

impl Connections {
    /// Creates an empty set of connections.
    pub(super) fn new(socket_limit: usize) -> Connections {
        Connections {
            by_id: HashMap::new(),
            next_id: 1,
            socket_limit,
            clients: 0,
            commands: 0,
            idle_commands: BTreeSet::new(),
        }
    }

    /// Reserves an id for a new connection.
    pub(super) fn take_id(&mut self) -> ConnectionId {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// Adds a connection under an id from [`Connections::take_id`].
    pub(super) fn insert(&mut self, id: ConnectionId, connection: Connection) {
        match connection.role {
            Role::Client { .. } => self.clients += 1,
            role if role.is_command() => self.commands += 1,
            _ => {}
        }
        self.by_id.insert(id, connection);
    }

    /// Removes a connection. The caller must end the call and the peer link that use it.
    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.by_id.remove(&id)?;
        match connection.role {
            Role::Client { .. } => self.clients -= 1,
            role if role.is_command() => self.commands -= 1,
            _ => {}
        }
        if let Some(since) = connection.idle_since {
            self.idle_commands.remove(&IdleCommandConnection { since, connection: id });
        }
        Some(connection)
    }

    /// Returns an open connection.
    pub(super) fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.by_id.get(&id)
    }

    /// Returns an open connection for changes. The variant of its role must stay the same, since
    /// the counts depend on it.
    pub(super) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.by_id.get_mut(&id)
    }

    /// Returns the ids of the connections for which `condition` holds, in no particular order.
    pub(super) fn matching(
        &self,
        condition: impl Fn(ConnectionId, &Connection) -> bool,
    ) -> Vec<ConnectionId> {
        let matching = self.by_id.iter().filter(|(id, connection)| condition(**id, connection));
        matching.map(|(id, _)| *id).collect()
    }

    /// Records that a command connection has become idle.
    pub(super) fn mark_idle_command(&mut self, id: ConnectionId, now: Micros) {
        if let Some(connection) = self.by_id.get_mut(&id) {
            connection.idle_since = Some(now);
            self.idle_commands.insert(IdleCommandConnection { since: now, connection: id });
        }
    }

    /// Records that a connection is no longer idle.
    pub(super) fn mark_busy(&mut self, id: ConnectionId) {
        if let Some(connection) = self.by_id.get_mut(&id)
            && let Some(since) = connection.idle_since.take()
        {
            self.idle_commands.remove(&IdleCommandConnection { since, connection: id });
        }
    }

    /// Returns the command connection that has been idle for longest.
    pub(super) fn longest_idle_command(&self) -> Option<ConnectionId> {
        Some(self.idle_commands.first()?.connection)
    }

    /// Whether one more user, worker or load balancer may connect.
    pub(super) fn client_fits(&self) -> bool {
        client_fits(self.socket_limit, self.clients, self.commands)
    }

    /// Whether one more command connection may be opened.
    pub(super) fn command_fits(&self) -> bool {
        command_fits(self.socket_limit, self.clients, self.commands)
    }

    /// Number of open connections.
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Number of connections from users, workers and the load balancer.
    pub(super) fn clients(&self) -> usize {
        self.clients
    }

    /// Number of connections that carry commands to workers.
    pub(super) fn commands(&self) -> usize {
        self.commands
    }
}
