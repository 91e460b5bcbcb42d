//! HTTP/1.1 messages over `httparse`: bounded, no pipelining, no chunks.

use std::fmt;

/// Largest body that a sender may hand in.
pub const MAX_BODY: usize = 64 * 1024;
/// Largest head of a message.
pub const MAX_HEAD: usize = 16 * 1024;
/// Largest answer taken from an outside system; watches have no limit of
/// their own, so memory is what bounds them here.
pub const MAX_ANSWER: usize = 8 * 1024 * 1024;

/// Why a message cannot be read. Each ends its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpError {
    /// Not HTTP, or a part of it that this service does not speak.
    Malformed,
    /// The body is larger than allowed.
    TooLarge,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HttpError::Malformed => "malformed HTTP",
            HttpError::TooLarge => "body too large",
        })
    }
}

impl std::error::Error for HttpError {}

/// A request that has arrived in full.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// The sender asked to close.
    pub close: bool,
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

fn framing(headers: &[httparse::Header<'_>]) -> Result<(Option<usize>, bool, bool), HttpError> {
    let (mut length, mut close, mut chunked) = (None, false, false);
    for h in headers {
        if h.name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(h.value).map_err(|_| HttpError::Malformed)?.trim();
            let n: usize = text.parse().map_err(|_| HttpError::Malformed)?;
            if length.is_some_and(|l| l != n) {
                return Err(HttpError::Malformed);
            }
            length = Some(n);
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            chunked = true;
        } else if h.name.eq_ignore_ascii_case("connection") {
            close |= h.value.eq_ignore_ascii_case(b"close");
        }
    }
    Ok((length, close, chunked))
}

/// Reads a request from the front of `buf`: the request and its length, or
/// `None` while it has not arrived in full.
pub fn parse_request(buf: &[u8]) -> Result<Option<(Request, usize)>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Request::new(&mut headers);
    let used = match head.parse(buf).map_err(|_| HttpError::Malformed)? {
        httparse::Status::Complete(n) => n,
        httparse::Status::Partial if buf.len() > MAX_HEAD => return Err(HttpError::Malformed),
        httparse::Status::Partial => return Ok(None),
    };
    let (length, close, chunked) = framing(head.headers)?;
    if chunked {
        return Err(HttpError::Malformed);
    }
    let length = length.unwrap_or(0);
    if length > MAX_BODY {
        return Err(HttpError::TooLarge);
    }
    if buf.len() < used + length {
        return Ok(None);
    }
    let request = Request {
        method: head.method.unwrap_or("").to_string(),
        path: head.path.unwrap_or("").to_string(),
        body: buf[used..used + length].to_vec(),
        close: close || head.version == Some(0),
    };
    Ok(Some((request, used + length)))
}

/// Reads an answer from the front of `buf`.
pub fn parse_answer(buf: &[u8]) -> Result<Option<(Answer, usize)>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut headers);
    let used = match head.parse(buf).map_err(|_| HttpError::Malformed)? {
        httparse::Status::Complete(n) => n,
        httparse::Status::Partial if buf.len() > MAX_HEAD => return Err(HttpError::Malformed),
        httparse::Status::Partial => return Ok(None),
    };
    let (length, close, chunked) = framing(head.headers)?;
    if chunked {
        return Err(HttpError::Malformed);
    }
    let length = length.unwrap_or(0);
    if length > MAX_ANSWER {
        return Err(HttpError::TooLarge);
    }
    if buf.len() < used + length {
        return Ok(None);
    }
    let status = head.code.ok_or(HttpError::Malformed)?;
    Ok(Some((Answer { status, body: buf[used..used + length].to_vec(), close }, used + length)))
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

/// Writes an answer to the end of `out`.
pub fn write_answer(
    out: &mut Vec<u8>,
    status: u16,
    retry_after: Option<u64>,
    content_type: &str,
    body: &[u8],
    close: bool,
) {
    use std::io::Write;
    // Writing into a Vec cannot fail.
    let _ = write!(
        out,
        "HTTP/1.1 {status} {}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n",
        reason(status),
        body.len()
    );
    if let Some(s) = retry_after {
        let _ = write!(out, "Retry-After: {s}\r\n");
    }
    out.extend_from_slice(if close { b"Connection: close\r\n\r\n" } else { b"\r\n" });
    out.extend_from_slice(body);
}

/// Writes a request.
pub fn write_request(method: &str, host: &str, path: &str, body: Option<&[u8]>) -> Vec<u8> {
    let mut out = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n").into_bytes();
    if let Some(body) = body {
        out.extend_from_slice(
            format!("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len())
                .as_bytes(),
        );
        out.extend_from_slice(body);
    } else {
        out.extend_from_slice(b"\r\n");
    }
    out
}
