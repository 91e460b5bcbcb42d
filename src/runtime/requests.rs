//! Requests from users, workers and the load balancer, and the answers to them.

use super::Runtime;
use super::connection::{ConnectionId, Role, take_front};
use super::pages::Page;
use crate::controller::{Event, Ticket};
use crate::http::{self, HttpError, OutgoingAnswer};
use crate::wire;

/// Content type of what programs read.
pub(super) const JSON: &str = "application/json";
/// Content type of the page for people.
const TEXT: &str = "text/plain";

impl Runtime {
    /// Takes a request from a sender's connection; true if there was one.
    pub(super) fn consume_request(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(id) else {
            return true;
        };
        match http::parse_request(&connection.inbound) {
            Ok(None) => false,
            Ok(Some(http::Received { message: request, length })) => {
                take_front(&mut connection.inbound, length);
                connection.close_after |= request.close;
                let heartbeats = request.path == wire::path::HEARTBEAT;
                connection.role = Role::Sender { busy: true, since: self.now, heartbeats };
                self.handle_request(id, request);
                true
            }
            Err(error) => {
                self.refuse_request(id, error);
                true
            }
        }
    }

    /// Answers a request for a page, or passes it to the controller.
    fn handle_request(&mut self, id: ConnectionId, request: http::Request) {
        let (page, content_type) = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/status") => (Page::Status, JSON),
            ("GET", "/queue") => (Page::Queue, TEXT),
            _ => {
                self.dispatch(Event::Http {
                    ticket: Ticket(id),
                    method: request.method,
                    path: request.path,
                    body: request.body,
                });
                return;
            }
        };
        let body = self.page(page);
        let answer = OutgoingAnswer {
            status: 200,
            retry_after: None,
            content_type,
            body: &body,
            close: false,
        };
        self.answer(id, answer);
    }

    /// Answers what is no request that can be read, and closes the connection.
    fn refuse_request(&mut self, id: ConnectionId, error: HttpError) {
        self.stats.bad_requests += 1;
        let status = if error == HttpError::TooLarge { 413 } else { 400 };
        let reason = error.to_string();
        let body = serde_json::to_vec(&wire::Refusal::new(&reason)).unwrap_or_default();
        if let Some(connection) = self.connections.get_mut(id) {
            connection.role = Role::Sender { busy: true, since: self.now, heartbeats: false };
        }
        let answer = OutgoingAnswer {
            status,
            retry_after: None,
            content_type: JSON,
            body: &body,
            close: true,
        };
        self.answer(id, answer);
    }

    /// Answers the request that awaits its answer on this connection.
    pub(super) fn answer(&mut self, id: ConnectionId, answer: OutgoingAnswer<'_>) {
        let now = self.now;
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let Role::Sender { busy: true, since, heartbeats } = connection.role else {
            return;
        };
        connection.close_after |= answer.close;
        let answer = OutgoingAnswer { close: connection.close_after, ..answer };
        answer.write_to(&mut connection.outbound);
        connection.role = Role::Sender { busy: false, since: now, heartbeats };
        self.stats.record_answer(now.since(since), heartbeats);
        self.write(id);
        // A further request may have arrived before this answer.
        if self.connections.get(id).is_some_and(|c| !c.inbound.is_empty()) {
            self.consume(id);
        }
    }
}
