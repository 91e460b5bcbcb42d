//! HTTP/1.1 messages over `httparse`: bounded, no pipelining, no chunked bodies.
//!
//! Reads and writes bytes only; it knows no path and no connection.

use serde::Serialize;
use std::net::SocketAddrV4;
use thiserror::Error;

/// Largest body of a request, in bytes.
pub const MAX_BODY: usize = 64 * 1024;
/// Largest head of a message, in bytes.
pub const MAX_HEAD: usize = 16 * 1024;
/// Headers that a message may have.
const MAX_HEADERS: usize = 64;
/// Largest body of an answer of an outside system, in bytes. Answers to watches have
/// no limit in the protocol: this one guards the memory.
pub const MAX_ANSWER: usize = 8 * 1024 * 1024;

/// Why a message cannot be read. Each ends its connection; the texts go to the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HttpError {
    /// Not HTTP, or a part of it that this service does not speak.
    #[error("malformed HTTP")]
    Malformed,
    /// The body is larger than allowed.
    #[error("body too large")]
    TooLarge,
}

/// A request that has arrived in full.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// The sender requests that the connection is closed.
    pub close: bool,
}

/// A message that was read from the front of a buffer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received<M> {
    /// The message.
    pub message: M,
    /// Bytes of the buffer that it took.
    pub length: usize,
}

/// An answer that has arrived in full.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    /// The sender will close.
    pub close: bool,
}

/// A request to an outside system or a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingRequest {
    /// Method.
    pub method: &'static str,
    /// Path with its query.
    pub path: String,
    /// Body, in JSON.
    pub body: Option<Vec<u8>>,
}

/// An answer to a sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutgoingAnswer<'a> {
    /// Status.
    pub status: u16,
    /// Seconds after which the sender should repeat its request.
    pub retry_after: Option<u64>,
    /// Media type of the body.
    pub content_type: &'a str,
    /// Body.
    pub body: &'a [u8],
    /// The connection is closed afterwards.
    pub close: bool,
}

/// What a message's headers say of its body and its connection.
struct Framing {
    /// Bytes of the body.
    length: usize,
    close: bool,
    chunked: bool,
}

fn framing(headers: &[httparse::Header<'_>]) -> Result<Framing, HttpError> {
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

/// Length of the head in `buffer`, or `None` while it has not arrived in full.
fn head_length(parsed: httparse::Result<usize>, buffer: &[u8]) -> Result<Option<usize>, HttpError> {
    match parsed.map_err(|_| HttpError::Malformed)? {
        httparse::Status::Complete(length) => Ok(Some(length)),
        httparse::Status::Partial if buffer.len() > MAX_HEAD => Err(HttpError::Malformed),
        httparse::Status::Partial => Ok(None),
    }
}

/// The body behind a head of this length, or `None` while it has not arrived in full.
fn body<'a>(
    buffer: &'a [u8],
    head: usize,
    framing: &Framing,
    max_bytes: usize,
) -> Result<Option<&'a [u8]>, HttpError> {
    if framing.chunked {
        return Err(HttpError::Malformed);
    }
    if framing.length > max_bytes {
        return Err(HttpError::TooLarge);
    }
    Ok(buffer.get(head..head + framing.length))
}

/// Reads a request from the front of `buffer`; `None` while it has not arrived in full.
///
/// # Errors
///
/// If it cannot be read, however it goes on.
pub fn parse_request(buffer: &[u8]) -> Result<Option<Received<Request>>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let Some(head_length) = head_length(head.parse(buffer), buffer)? else {
        return Ok(None);
    };
    let framing = framing(head.headers)?;
    let Some(body) = body(buffer, head_length, &framing, MAX_BODY)? else {
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

/// Reads an answer from the front of `buffer`, as [`parse_request`] reads a request.
///
/// # Errors
///
/// If it cannot be read, however it goes on.
pub fn parse_answer(buffer: &[u8]) -> Result<Option<Received<Answer>>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let Some(head_length) = head_length(head.parse(buffer), buffer)? else {
        return Ok(None);
    };
    let framing = framing(head.headers)?;
    let Some(body) = body(buffer, head_length, &framing, MAX_ANSWER)? else {
        return Ok(None);
    };
    let status = head.code.ok_or(HttpError::Malformed)?;
    let answer = Answer { status, body: body.to_vec(), close: framing.close };
    Ok(Some(Received { message: answer, length: head_length + body.len() }))
}

fn reason(status: u16) -> &'static str {
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

impl OutgoingAnswer<'_> {
    /// Appends its bytes to `out`.
    pub fn write_to(&self, out: &mut Vec<u8>) {
        let reason = reason(self.status);
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
    /// A request to read.
    pub fn get(path: String) -> OutgoingRequest {
        OutgoingRequest { method: "GET", path, body: None }
    }

    /// A request with a body, encoded as JSON.
    pub fn post<T: Serialize>(path: String, body: &T) -> OutgoingRequest {
        let body = serde_json::to_vec(body).unwrap_or_default();
        OutgoingRequest { method: "POST", path, body: Some(body) }
    }

    /// A request to remove.
    pub fn delete(path: String) -> OutgoingRequest {
        OutgoingRequest { method: "DELETE", path, body: None }
    }

    /// Its bytes, as sent to `host`.
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

/// Whether a body contains a text.
pub fn contains(body: &[u8], text: &[u8]) -> bool {
    body.windows(text.len()).any(|window| window == text)
}
