//! Handles requests from users, workers and the load balancer.

use super::Runtime;
use super::connection::{ConnectionId, Role, discard_consumed};
use super::pages::Page;
use crate::controller::{Event, Ticket};
use crate::http::{self, HttpError, OutgoingResponse};
use crate::wire;

/// Content type of the API's responses and of the status page.
pub(super) const JSON: &str = "application/json";
/// Content type of the queue page.
const TEXT: &str = "text/plain";

impl Runtime {
    /// Parses one request from a client's connection. Returns false if it has not arrived in full.
    pub(super) fn consume_request(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(id) else {
            return true;
        };
        match http::parse_request(&connection.inbound) {
            Ok(None) => false,
            Ok(Some(http::Received { message: request, length })) => {
                discard_consumed(&mut connection.inbound, length);
                connection.close_after_response |= request.close;
                let is_heartbeat = request.path == wire::path::HEARTBEAT;
                connection.role = Role::Client { busy: true, since: self.now, is_heartbeat };
                self.handle_request(id, request);
                true
            }
            Err(error) => {
                self.refuse_request(id, error);
                true
            }
        }
    }

    /// Serves a request for a page, or passes any other request to the controller.
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
        let response = OutgoingResponse {
            status: 200,
            retry_after: None,
            content_type,
            body: &body,
            close: false,
        };
        self.respond(id, response);
    }

    /// Responds to a request that cannot be parsed, and closes the connection.
    fn refuse_request(&mut self, id: ConnectionId, error: HttpError) {
        self.stats.bad_requests += 1;
        let status = if error == HttpError::TooLarge { 413 } else { 400 };
        let reason = error.to_string();
        let body = serde_json::to_vec(&wire::Refusal::new(&reason)).unwrap_or_default();
        if let Some(connection) = self.connections.get_mut(id) {
            connection.role = Role::Client { busy: true, since: self.now, is_heartbeat: false };
        }
        let response = OutgoingResponse {
            status,
            retry_after: None,
            content_type: JSON,
            body: &body,
            close: true,
        };
        self.respond(id, response);
    }

    /// Sends the response to the pending request of a connection; does nothing if there is none.
    pub(super) fn respond(&mut self, id: ConnectionId, response: OutgoingResponse<'_>) {
        let now = self.now;
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let Role::Client { busy: true, since, is_heartbeat } = connection.role else {
            return;
        };
        connection.close_after_response |= response.close;
        let response = OutgoingResponse { close: connection.close_after_response, ..response };
        response.write_to(&mut connection.outbound);
        connection.role = Role::Client { busy: false, since: now, is_heartbeat };
        self.stats.record_response(now.since(since), is_heartbeat);
        self.write(id);
        // The next request may have arrived before this response was sent.
        if self.connections.get(id).is_some_and(|c| !c.inbound.is_empty()) {
            self.consume(id);
        }
    }
}
