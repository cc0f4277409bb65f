//! Small helpers: base64, random numbers, free ports, HTTP/1.1 messages and the record of a run.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Encodes bytes in standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(ALPHABET[(word >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

static RANDOM_STATE: AtomicU64 = AtomicU64::new(0);

/// Sets the state of the random number generator.
pub fn seed_random(seed: u64) {
    RANDOM_STATE.store(seed, Ordering::Relaxed);
}

/// A random number from 0 up to, not including, 1.
pub fn random() -> f64 {
    // SplitMix64
    let state = RANDOM_STATE.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
    let mut z = state.wrapping_add(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((z ^ (z >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
}

/// A seed from the time of day.
pub fn time_seed() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since| since.as_nanos() as u64)
}

/// Returns ports that are free now and that this process has not returned before. They lie below the range that
/// outgoing connections use.
pub fn free_ports<const N: usize>() -> [u16; N] {
    static USED: Mutex<Vec<u16>> = Mutex::new(Vec::new());
    let mut used = USED.lock().unwrap();
    let mut ports = [0; N];
    for port in &mut ports {
        *port = loop {
            let candidate = 10_000 + (random() * 20_000.0) as u16;
            if !used.contains(&candidate) && TcpListener::bind(("127.0.0.1", candidate)).is_ok() {
                break candidate;
            }
        };
        used.push(*port);
    }
    ports
}

/// The head and the body of an HTTP message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    /// The headers, with names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// A header's value; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// The path and the query of a request.
    pub fn target(&self) -> (&str, &str) {
        let target = self.first.split(' ').nth(1).unwrap_or("");
        target.split_once('?').unwrap_or((target, ""))
    }
}

/// Reads the head of a message. `None` at the end of the stream.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads a message whose body has a length. `None` at the end of the stream.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// A client's connection.
pub struct Connection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects to a port of this machine.
    pub fn open(port: u16, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&([127, 0, 0, 1], port).into(), timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Sends a request without reading the answer.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u64,
        body: &[u8],
    ) -> io::Result<()> {
        let mut request = format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Request-Deadline: {deadline_ms}\r\n"
        );
        if !body.is_empty() {
            request.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        request.push_str("\r\n");
        let mut bytes = request.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Reads an answer.
    pub fn receive(&mut self) -> io::Result<Message> {
        read_message(&mut self.reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// What was sent, answered and run, in order.
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    /// Starts a record.
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Mutex::default() }
    }

    /// Adds a line with the time.
    pub fn add(&self, text: impl AsRef<str>) {
        let seconds = self.started.elapsed().as_secs_f64();
        self.lines.lock().unwrap().push(format!("{seconds:9.4} {}", text.as_ref()));
    }

    /// Writes the record to a file, in the order of time.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        fs::write(path, text)
    }
}
