//! Stand-ins for searchers: many of them on a few threads, each with slots, a queue and a time per request.

use crate::http;
use std::collections::VecDeque;
use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::os::fd::AsRawFd as _;
use std::sync;
use std::thread;
use std::time;

/// What all searchers of a case have in common.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    pub slots: usize,
    pub queue: usize,
    pub connections_max: usize,
    pub work: time::Duration,
    /// The idle timeout that is stated in answers, in whole seconds; `None` if none is stated.
    pub keep_alive_s: Option<u64>,
}

/// A request that reached a searcher.
#[derive(Clone, Debug)]
pub struct Received {
    pub searcher: String,
    pub id: String,
    pub first_line: String,
    pub tenant: String,
    pub key: String,
    pub has_run: bool,
}

/// What all searchers received.
pub type Record = sync::Arc<sync::Mutex<Vec<Received>>>;

/// A searcher's place in the deployment.
#[derive(Clone, Debug)]
pub struct Searcher {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: net::SocketAddr,
}

impl Searcher {
    /// Its entry in the store.
    pub fn entry(&self, slots: usize) -> String {
        format!(
            concat!(
                r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"#,
                r#""state":"ready","coldRemainingMs":0,"sequence":1,"born":1790000000000}}"#
            ),
            self.service, self.address, self.zone, slots
        )
    }
}

struct Connection {
    stream: net::TcpStream,
    input: Vec<u8>,
    output: Vec<u8>,
    is_closed: bool,
}

/// A request that is being worked on or waits.
struct Work {
    connection: usize,
    id: String,
    due: time::Instant,
}

struct Process {
    place: Searcher,
    listener: net::TcpListener,
    /// Closed ones stay as `None`, so that indexes don't change.
    connections: Vec<Option<Connection>>,
    running: Vec<Work>,
    waiting: VecDeque<(usize, String)>,
}

/// Starts searchers with the given ids, services and zones, `per_thread` on each thread.
pub fn start(
    places: &[(String, String, String)],
    per_thread: usize,
    profile: Profile,
    record: &Record,
) -> Vec<Searcher> {
    let mut searchers = Vec::new();
    for group in places.chunks(per_thread) {
        let mut processes = Vec::new();
        for (id, service, zone) in group {
            let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port for a searcher");
            listener.set_nonblocking(true).expect("a listener that does not block");
            let address = listener.local_addr().expect("a searcher's address");
            let (id, service, zone) = (id.clone(), service.clone(), zone.clone());
            let place = Searcher { id, service, zone, address };
            searchers.push(place.clone());
            processes.push(Process {
                place,
                listener,
                connections: Vec::new(),
                running: Vec::new(),
                waiting: VecDeque::new(),
            });
        }
        let record = record.clone();
        thread::spawn(move || {
            loop {
                wait(&processes);
                for process in &mut processes {
                    process.step(profile, &record);
                }
            }
        });
    }
    searchers
}

/// `struct pollfd` of poll(2).
#[repr(C)]
struct PollFd {
    fd: i32,
    events: i16,
    revents: i16,
}

const POLLIN: i16 = 1;

unsafe extern "C" {
    fn poll(fds: *mut PollFd, count: std::ffi::c_ulong, timeout_ms: i32) -> i32;
}

/// Waits until there is something to read or an answer is due.
fn wait(processes: &[Process]) {
    let mut fds = Vec::new();
    let mut timeout_ms = 200;
    let now = time::Instant::now();
    for process in processes {
        fds.push(PollFd { fd: process.listener.as_raw_fd(), events: POLLIN, revents: 0 });
        for connection in process.connections.iter().flatten() {
            fds.push(PollFd { fd: connection.stream.as_raw_fd(), events: POLLIN, revents: 0 });
        }
        for work in &process.running {
            let left = work.due.saturating_duration_since(now).as_millis() as i32;
            timeout_ms = timeout_ms.min(left);
        }
    }
    // SAFETY: `fds` is valid for reads and writes of its length.
    unsafe { poll(fds.as_mut_ptr(), fds.len() as std::ffi::c_ulong, timeout_ms) };
}

impl Process {
    fn step(&mut self, profile: Profile, record: &Record) {
        while let Ok((stream, _)) = self.listener.accept() {
            let open_count = self.connections.iter().flatten().count();
            if open_count >= profile.connections_max || stream.set_nonblocking(true).is_err() {
                continue;
            }
            // The stand-in must not add delays of its own.
            let _ = stream.set_nodelay(true);
            self.connections.push(Some(Connection {
                stream,
                input: Vec::new(),
                output: Vec::new(),
                is_closed: false,
            }));
        }
        for index in 0..self.connections.len() {
            self.read(index, profile, record);
        }
        let now = time::Instant::now();
        while let Some(at) = self.running.iter().position(|work| work.due <= now) {
            let work = self.running.swap_remove(at);
            self.answer(&work, profile);
            if let Some((connection, id)) = self.waiting.pop_front() {
                self.running.push(Work { connection, id, due: now + profile.work });
            }
        }
        for connection in &mut self.connections {
            let is_over = connection.as_mut().is_some_and(|open| {
                flush(open);
                open.is_closed
            });
            if is_over {
                *connection = None;
            }
        }
    }

    fn read(&mut self, index: usize, profile: Profile, record: &Record) {
        let Some(connection) = &mut self.connections[index] else {
            return;
        };
        let mut chunk = [0; 16_384];
        loop {
            match connection.stream.read(&mut chunk) {
                Ok(0) => {
                    connection.is_closed = true;
                    return;
                }
                Ok(count) => connection.input.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => {
                    connection.is_closed = true;
                    return;
                }
            }
        }
        while let Some(request) = http::take_message(&mut connection.input) {
            let text = |name: &str| request.header(name).unwrap_or_default().to_owned();
            let is_addressed =
                request.header("x-expected-instance").is_none_or(|id| id == self.place.id);
            let has_room = self.running.len() + self.waiting.len() < profile.slots + profile.queue;
            record.lock().unwrap().push(Received {
                searcher: self.place.id.clone(),
                id: text("x-request-id"),
                first_line: request.first_line.clone(),
                tenant: text("x-tenant-id"),
                key: text("x-credential"),
                has_run: is_addressed && has_room,
            });
            let id = text("x-request-id");
            if !is_addressed {
                let headers = [("X-Instance-Id", self.place.id.as_str())];
                connection.output.extend(http::answer(421, &headers, b""));
            } else if !has_room {
                let headers = [("X-Request-Id", id.as_str()), ("X-Not-Executed", "1")];
                connection.output.extend(http::answer(503, &headers, b""));
            } else if self.running.len() < profile.slots {
                let due = time::Instant::now() + profile.work;
                self.running.push(Work { connection: index, id, due });
            } else {
                self.waiting.push_back((index, id));
            }
        }
    }

    fn answer(&mut self, work: &Work, profile: Profile) {
        let Some(connection) = &mut self.connections[work.connection] else {
            return;
        };
        let stamp = format!("{}.{}", self.place.id, work.id);
        let keep_alive = profile.keep_alive_s.map(|seconds| format!("timeout={seconds}"));
        let mut headers = vec![("X-Request-Id", work.id.as_str()), ("X-Server-Stamp", &stamp)];
        if let Some(keep_alive) = &keep_alive {
            headers.push(("Keep-Alive", keep_alive));
        }
        let mut body = stamp.clone().into_bytes();
        body.resize(64, b'.');
        connection.output.extend(http::answer(200, &headers, &body));
    }
}

fn flush(connection: &mut Connection) {
    while !connection.output.is_empty() {
        match connection.stream.write(&connection.output) {
            Ok(count) => {
                connection.output.drain(..count);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(_) => {
                connection.is_closed = true;
                return;
            }
        }
    }
}

/// The ids of the requests that a server of [`start_other_server`] has answered.
pub type OtherRecord = sync::Arc<sync::Mutex<Vec<String>>>;

/// Starts an HTTP server that is no searcher: it knows none of the paths that it is asked for.
pub fn start_other_server() -> (net::SocketAddr, OtherRecord) {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port for the other server");
    let address = listener.local_addr().expect("the other server's address");
    let record = OtherRecord::default();
    let answered = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answered = answered.clone();
            thread::spawn(move || answer_not_found(stream, &answered));
        }
    });
    (address, record)
}

fn answer_not_found(mut stream: net::TcpStream, answered: &OtherRecord) {
    let mut buffer = Vec::new();
    let mut chunk = [0; 4_096];
    loop {
        while let Some(request) = http::take_message(&mut buffer) {
            let id = request.header("x-request-id").unwrap_or_default();
            answered.lock().unwrap().push(id.to_owned());
            let headers = [("Content-Type", "text/plain")];
            let answer = http::answer(404, &headers, b"no such page on this server\n");
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => buffer.extend_from_slice(&chunk[..count]),
            _ => return,
        }
    }
}
