//! Clients: connections that carry one request at a time.

use crate::http;
use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::sync::atomic;
use std::time;

pub struct Connection {
    stream: net::TcpStream,
    buffer: Vec<u8>,
    /// Whether the other side has closed the connection.
    pub is_closed: bool,
}

impl Connection {
    pub fn open(address: net::SocketAddr, timeout: time::Duration) -> io::Result<Self> {
        let stream = net::TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, buffer: Vec::new(), is_closed: false })
    }

    pub fn send(&mut self, request: &[u8]) -> io::Result<()> {
        self.stream.write_all(request)
    }

    /// Waits for a complete answer; `None` if there is none within `timeout` or the connection ends.
    pub fn receive(&mut self, timeout: time::Duration) -> Option<http::Message> {
        let end = time::Instant::now() + timeout;
        let mut chunk = [0; 16_384];
        loop {
            if let Some(answer) = http::take_message(&mut self.buffer) {
                return Some(answer);
            }
            let left = end.saturating_duration_since(time::Instant::now());
            if left.is_zero() || self.stream.set_read_timeout(Some(left)).is_err() {
                return None;
            }
            match self.stream.read(&mut chunk) {
                Ok(0) => {
                    self.is_closed = true;
                    return None;
                }
                Ok(count) => self.buffer.extend_from_slice(&chunk[..count]),
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock
                            | io::ErrorKind::TimedOut
                            | io::ErrorKind::Interrupted
                    ) => {}
                Err(_) => {
                    self.is_closed = true;
                    return None;
                }
            }
        }
    }
}

/// A new request id.
pub fn next_id() -> String {
    static NEXT: atomic::AtomicU64 = atomic::AtomicU64::new(1);
    format!("{:016x}", 0x9c41_d07b_0000_0000 + NEXT.fetch_add(1, atomic::Ordering::Relaxed))
}

/// Encodes a request with the headers that a client sends, and `headers`.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Request-Deadline: {deadline_ms}\r\n"
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
