//! Parses and writes HTTP/1.1 messages, with `httparse`.
//!
//! Messages are bounded, there is no pipelining, and chunked bodies are rejected. The module works
//! on byte buffers only and is independent of paths and connections.

use serde::Serialize;
use std::net::SocketAddrV4;
use thiserror::Error;

/// Maximum size of a request's body, in bytes.
pub const MAX_REQUEST_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a message's head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of headers in a message.
const MAX_HEADERS: usize = 64;
/// Maximum size of a response's body, in bytes. The protocol does not limit responses to watches;
/// this limit bounds the memory that they use.
pub const MAX_RESPONSE_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Reasons for which a message is rejected. Each closes the connection; for requests, the text is
/// sent to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HttpError {
    /// Not HTTP, a feature of HTTP that is not supported, or a head that is too large.
    #[error("malformed HTTP")]
    Malformed,
    /// The body exceeds its maximum size.
    #[error("body too large")]
    TooLarge,
}

/// A complete request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Body; empty if absent.
    pub body: Vec<u8>,
    /// The client expects the connection to be closed after the response.
    pub close: bool,
}

/// A message that was parsed from the front of a buffer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received<M> {
    /// The parsed message.
    pub message: M,
    /// Size of the message with its head, in bytes; the caller removes them from the buffer.
    pub length: usize,
}

/// A complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Body; empty if absent.
    pub body: Vec<u8>,
    /// The server closes the connection after this response.
    pub close: bool,
}

/// A request to an outside system or a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Path with its query.
    pub path: String,
    /// JSON body, if any.
    pub body: Option<Vec<u8>>,
}

/// A response to a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutgoingResponse<'a> {
    /// HTTP status code.
    pub status: u16,
    /// Seconds after which the client should retry, sent as `Retry-After`.
    pub retry_after: Option<u64>,
    /// Media type of the body, sent as `Content-Type`.
    pub content_type: &'a str,
    /// Body, which may be empty.
    pub body: &'a [u8],
    /// The connection is closed after this response.
    pub close: bool,
}

/// The headers that determine a message's length and the lifetime of its connection.
struct Framing {
    /// Size of the body in bytes; 0 without a `Content-Length` header.
    length: usize,
    close: bool,
    chunked: bool,
}

fn parse_framing(headers: &[httparse::Header<'_>]) -> Result<Framing, HttpError> {
    let mut length = None;
    let mut close = false;
    let mut chunked = false;
    for header in headers {
        if header.name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(header.value).map_err(|_| HttpError::Malformed)?;
            let value: usize = text.trim().parse().map_err(|_| HttpError::Malformed)?;
            if length.is_some_and(|other| other != value) {
                return Err(HttpError::Malformed);
            }
            length = Some(value);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            chunked = true;
        } else if header.name.eq_ignore_ascii_case("connection") {
            close |= header.value.eq_ignore_ascii_case(b"close");
        }
    }
    Ok(Framing { length: length.unwrap_or(0), close, chunked })
}

/// Length of the head in `buffer`; `None` if it has not arrived in full.
fn head_length(parsed: httparse::Result<usize>, buffer: &[u8]) -> Result<Option<usize>, HttpError> {
    match parsed.map_err(|_| HttpError::Malformed)? {
        httparse::Status::Complete(length) => Ok(Some(length)),
        httparse::Status::Partial if buffer.len() > MAX_HEAD_BYTES => Err(HttpError::Malformed),
        httparse::Status::Partial => Ok(None),
    }
}

/// The body after a head of this length; `None` if it has not arrived in full.
fn body<'a>(
    buffer: &'a [u8],
    head_length: usize,
    framing: &Framing,
    max_bytes: usize,
) -> Result<Option<&'a [u8]>, HttpError> {
    if framing.chunked {
        return Err(HttpError::Malformed);
    }
    if framing.length > max_bytes {
        return Err(HttpError::TooLarge);
    }
    Ok(buffer.get(head_length..head_length + framing.length))
}

/// Parses a request from the front of `buffer`; `None` if it has not arrived in full.
///
/// # Errors
///
/// Returns an error if the request is malformed or too large, whatever bytes follow.
pub fn parse_request(buffer: &[u8]) -> Result<Option<Received<Request>>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let Some(head_length) = head_length(head.parse(buffer), buffer)? else {
        return Ok(None);
    };
    let framing = parse_framing(head.headers)?;
    let Some(body) = body(buffer, head_length, &framing, MAX_REQUEST_BODY_BYTES)? else {
        return Ok(None);
    };
    let request = Request {
        method: head.method.unwrap_or("").to_string(),
        path: head.path.unwrap_or("").to_string(),
        body: body.to_vec(),
        close: framing.close || head.version == Some(0),
    };
    Ok(Some(Received { message: request, length: head_length + body.len() }))
}

/// Parses a response from the front of `buffer`; `None` if it has not arrived in full.
///
/// # Errors
///
/// Returns an error if the response is malformed or too large, whatever bytes follow.
pub fn parse_response(buffer: &[u8]) -> Result<Option<Received<Response>>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let Some(head_length) = head_length(head.parse(buffer), buffer)? else {
        return Ok(None);
    };
    let framing = parse_framing(head.headers)?;
    let Some(body) = body(buffer, head_length, &framing, MAX_RESPONSE_BODY_BYTES)? else {
        return Ok(None);
    };
    let status = head.code.ok_or(HttpError::Malformed)?;
    let response = Response { status, body: body.to_vec(), close: framing.close };
    Ok(Some(Received { message: response, length: head_length + body.len() }))
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

impl OutgoingResponse<'_> {
    /// Appends the encoded response to `out`.
    pub fn write_to(&self, out: &mut Vec<u8>) {
        let reason = reason_phrase(self.status);
        let mut head = format!(
            "HTTP/1.1 {} {reason}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
            self.status,
            self.content_type,
            self.body.len()
        );
        if let Some(seconds) = self.retry_after {
            head.push_str(&format!("Retry-After: {seconds}\r\n"));
        }
        if self.close {
            head.push_str("Connection: close\r\n");
        }
        head.push_str("\r\n");
        out.extend_from_slice(head.as_bytes());
        out.extend_from_slice(self.body);
    }
}

impl OutgoingRequest {
    /// Creates a `GET` request.
    pub fn get(path: String) -> OutgoingRequest {
        OutgoingRequest { method: "GET", path, body: None }
    }

    /// Creates a `POST` request with `body` encoded as JSON.
    pub fn post<T: Serialize>(path: String, body: &T) -> OutgoingRequest {
        let body = serde_json::to_vec(body).unwrap_or_default();
        OutgoingRequest { method: "POST", path, body: Some(body) }
    }

    /// Creates a `DELETE` request.
    pub fn delete(path: String) -> OutgoingRequest {
        OutgoingRequest { method: "DELETE", path, body: None }
    }

    /// Encodes the request with `host` as its `Host` header.
    pub fn to_bytes(&self, host: SocketAddrV4) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\nHost: {host}\r\n", self.method, self.path);
        if let Some(body) = &self.body {
            head.push_str("Content-Type: application/json\r\n");
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(self.body.as_deref().unwrap_or_default());
        bytes
    }
}

/// Whether `body` contains `text`, which must not be empty.
pub fn contains(body: &[u8], text: &[u8]) -> bool {
    body.windows(text.len()).any(|window| window == text)
}
