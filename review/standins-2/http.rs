//! HTTP/1.1 over TCP: a server with a thread for each connection, and a client.
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub body: String,
}

/// Reads a message; returns its first line and its body. `None` at the end of the stream.
fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Result<Option<(String, String, bool)>> {
    let mut chunk = [0u8; 16384];
    loop {
        if let Some(end) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..end]).to_string();
            let mut length = 0;
            let mut close = false;
            for line in head.lines().skip(1) {
                let (name, value) = line.split_once(':').unwrap_or((line, ""));
                match name.to_ascii_lowercase().as_str() {
                    "content-length" => length = value.trim().parse().unwrap_or(0),
                    "connection" => close = value.trim().eq_ignore_ascii_case("close"),
                    _ => {}
                }
            }
            if rest.len() >= end + 4 + length {
                let body = String::from_utf8_lossy(&rest[end + 4..end + 4 + length]).to_string();
                rest.drain(..end + 4 + length);
                let first = head.lines().next().unwrap_or("").to_string();
                return Ok(Some((first, body, close)));
            }
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            got => rest.extend_from_slice(&chunk[..got]),
        }
    }
}

/// What a handler answers; `None` closes the connection without an answer.
pub type Answer = Option<(u16, String)>;

/// Serves requests until the process ends.
pub fn serve(listener: TcpListener, handler: impl Fn(Request) -> Answer + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::Builder::new().stack_size(256 * 1024).spawn(move || {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                let mut rest = Vec::new();
                while let Ok(Some((first, body, close))) = read_message(&mut stream, &mut rest) {
                    let mut words = first.split(' ');
                    let method = words.next().unwrap_or("").to_string();
                    let path = words.next().unwrap_or("").to_string();
                    let Some((status, body)) = handler(Request { method, path, body }) else {
                        return;
                    };
                    let text = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if stream.write_all(text.as_bytes()).is_err() || close {
                        return;
                    }
                }
            }).ok();
        }
    });
}

/// A client's connection, kept open between requests.
pub struct Client {
    address: SocketAddr,
    stream: Option<TcpStream>,
    rest: Vec<u8>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client { address, stream: None, rest: Vec::new() }
    }

    /// Sends a request and waits for its answer. An error closes the connection.
    pub fn call(&mut self, method: &str, path: &str, body: &str, wait: Duration) -> Result<(u16, String)> {
        let answer = self.try_call(method, path, body, wait);
        if answer.is_err() {
            self.stream = None;
            self.rest.clear();
        }
        answer
    }

    fn try_call(&mut self, method: &str, path: &str, body: &str, wait: Duration) -> Result<(u16, String)> {
        let until = Instant::now() + wait;
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, wait.min(Duration::from_millis(500)))?;
            stream.set_nodelay(true)?;
            self.stream = Some(stream);
        }
        let Some(stream) = &mut self.stream else { return Err(Error::other("no stream")) };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.address,
            body.len()
        );
        stream.write_all(text.as_bytes())?;
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left))?;
        match read_message(stream, &mut self.rest)? {
            None => Err(Error::new(ErrorKind::UnexpectedEof, "closed")),
            Some((first, body, close)) => {
                if close {
                    self.stream = None;
                    self.rest.clear();
                }
                let status = first.split(' ').nth(1).and_then(|t| t.parse().ok()).unwrap_or(0);
                Ok((status, body))
            }
        }
    }
}
