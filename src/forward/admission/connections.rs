//! Bounds the number of clients' connections.
//!
//! At the limit, a new connection takes the place of one that waits for its client: of those that never carried a whole
//! request the one that has waited longest, and if there is none, of the others. A client that connects has something to
//! ask now; one that has been silent longest is the least likely to. To turn new connections away instead would let a
//! crowd of idle ones keep everybody else out.

use crate::clock;
use crate::forward::admission::memory;
use crate::locks;
use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::sync::Notify;

/// Descriptors that are kept for files.
const RESERVED_DESCRIPTORS: usize = 200;
/// One in so many of the other descriptors is for other instances and the store.
const INSTANCES_DIVISOR: usize = 8;
/// Clients that send requests may have one in so many.
const CLIENTS_DIVISOR: usize = 2;
/// Connections to searchers leave one in so many to all others.
const SEARCHERS_KEPT_DIVISOR: usize = 4;
/// Clients that ask for addresses may have one in so many.
const DIRECTORY_DIVISOR: usize = 8;
/// The memory of a connection: its read buffer, which holds a whole request head, and its task.
const CONNECTION_BYTES: usize = 24 << 10;
const CONNECTION: memory::Usage = memory::Usage { bytes: CONNECTION_BYTES, connections: 1 };

/// The most connections of clients that send requests. `None` for descriptors that are not stated: any number.
pub fn clients_max(descriptors_max: Option<usize>, memory_bytes: usize) -> usize {
    connections_max(descriptors_max, CLIENTS_DIVISOR, memory_bytes)
}

/// The most connections of clients that ask for addresses.
pub fn directory_max(descriptors_max: Option<usize>, memory_bytes: usize) -> usize {
    connections_max(descriptors_max, DIRECTORY_DIVISOR, memory_bytes)
}

fn connections_max(descriptors_max: Option<usize>, divisor: usize, memory_bytes: usize) -> usize {
    let Some(descriptors_max) = descriptors_max else {
        return usize::MAX;
    };
    let by_descriptors = descriptors_max.saturating_sub(RESERVED_DESCRIPTORS) / divisor;
    by_descriptors.min(memory_bytes / CONNECTION_BYTES).max(1)
}

/// The most connections to searchers.
pub fn searchers_max(descriptors_max: Option<usize>) -> usize {
    all_but(descriptors_max, SEARCHERS_KEPT_DIVISOR)
}

/// The most connections of clients and to searchers together.
pub fn all_max(descriptors_max: Option<usize>) -> usize {
    all_but(descriptors_max, INSTANCES_DIVISOR)
}

/// All descriptors but one in `divisor`; any number if they are not stated.
fn all_but(descriptors_max: Option<usize>, divisor: usize) -> usize {
    descriptors_max.map_or(usize::MAX, |descriptors_max| {
        let descriptors = descriptors_max.saturating_sub(RESERVED_DESCRIPTORS);
        (descriptors - descriptors / divisor).max(1)
    })
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum Activity {
    /// It waits for the first byte of a request.
    Idle,
    /// A part of a request's head has arrived.
    Head,
    /// It waits for further bytes of a request's body.
    Body,
    /// A request is being handled.
    Busy,
    /// A request was answered before its body was read. What arrives next may be the rest of that body.
    Unread,
}

#[derive(Debug)]
struct Connection {
    id: u64,
    activity: atomic::AtomicU8,
    since_us: atomic::AtomicU64,
    has_served: atomic::AtomicBool,
    /// Whether the request that is being handled has a body that was not read yet.
    is_body_unread: atomic::AtomicBool,
    /// Since when the client has taken nothing of its answer, 0 if it takes what is written.
    blocked_since_us: atomic::AtomicU64,
    closing: Notify,
}

impl Connection {
    fn is(&self, activity: Activity) -> bool {
        self.activity.load(atomic::Ordering::Relaxed) == activity as u8
    }

    fn set(&self, activity: Activity, since_us: u64) {
        self.activity.store(activity as u8, atomic::Ordering::Relaxed);
        self.since_us.store(since_us, atomic::Ordering::Relaxed);
    }
}

#[derive(Debug, Default)]
struct Connections {
    next_id: u64,
    /// Sorted by id.
    open: Vec<sync::Arc<Connection>>,
}

/// The open connections of one port, and how many there may be.
#[derive(Debug)]
pub struct Limit {
    max: usize,
    account: sync::Arc<memory::Account>,
    connections: sync::Mutex<Connections>,
}

/// Whether a new connection was admitted.
#[derive(Debug)]
pub enum Admitted {
    /// There was room.
    Free(Open),
    /// Another connection is closed for it.
    InPlaceOfAnother(Open),
    /// All others are in use.
    Refused,
}

/// An open connection; counted until the last copy is dropped.
#[derive(Clone, Debug)]
pub struct Open(sync::Arc<Guard>);

#[derive(Debug)]
struct Guard {
    limit: sync::Arc<Limit>,
    connection: sync::Arc<Connection>,
}

impl Limit {
    /// Creates a limit of `max` connections.
    pub fn new(max: usize) -> Self {
        Self::within(sync::Arc::default(), max)
    }

    /// Creates a limit of `max` connections whose memory counts in `account`.
    pub fn within(account: sync::Arc<memory::Account>, max: usize) -> Self {
        Self { max, account, connections: sync::Mutex::default() }
    }

    /// The number of open connections, without those that are being closed at the limit.
    pub fn count(&self) -> usize {
        locks::lock(&self.connections).open.len()
    }

    /// Admits a new connection if there is room or another one gives way.
    pub fn admit(self: &sync::Arc<Self>, now_us: u64) -> Admitted {
        let mut connections = locks::lock(&self.connections);
        let is_full = connections.open.len() >= self.max || !self.account.has_room(CONNECTION);
        if is_full {
            let candidates = connections.open.iter().enumerate();
            let longest = candidates
                .filter(|(_, connection)| !connection.is(Activity::Busy))
                .min_by_key(|(_, connection)| {
                    let has_served = connection.has_served.load(atomic::Ordering::Relaxed);
                    (has_served, connection.since_us.load(atomic::Ordering::Relaxed))
                });
            let Some((index, _)) = longest else {
                return Admitted::Refused;
            };
            connections.open.remove(index).closing.notify_one();
        }
        let connection = sync::Arc::new(Connection {
            id: connections.next_id,
            activity: atomic::AtomicU8::new(Activity::Idle as u8),
            since_us: atomic::AtomicU64::new(now_us),
            has_served: atomic::AtomicBool::new(false),
            is_body_unread: atomic::AtomicBool::new(false),
            blocked_since_us: atomic::AtomicU64::new(0),
            closing: Notify::new(),
        });
        connections.next_id += 1;
        connections.open.push(connection.clone());
        self.account.add(CONNECTION);
        let open = Open(sync::Arc::new(Guard { limit: self.clone(), connection }));
        match is_full {
            true => Admitted::InPlaceOfAnother(open),
            false => Admitted::Free(open),
        }
    }

    /// Closes the connection whose client has taken nothing of its answer for longest. Returns whether there is one.
    pub fn close_longest_blocked(&self, now_us: u64) -> bool {
        let mut connections = locks::lock(&self.connections);
        let blocked = connections.open.iter().enumerate().filter_map(|(index, connection)| {
            let since_us = connection.blocked_since_us.load(atomic::Ordering::Relaxed);
            let is_blocked = since_us > 0 && now_us.saturating_sub(since_us) >= memory::GIVE_WAY_US;
            (is_blocked && !connection.is(Activity::Busy)).then_some((since_us, index))
        });
        let Some((since_us, index)) = blocked.min() else {
            return false;
        };
        let blocked_ms = now_us.saturating_sub(since_us) / 1_000;
        tracing::debug!(blocked_ms, "closing a connection whose client does not take its answer");
        connections.open.remove(index).closing.notify_one();
        true
    }

    /// Closes connections on which a request's head began to arrive before `timeout_us`. Returns how many.
    pub fn close_stalled_heads(&self, now_us: u64, timeout_us: u64) -> usize {
        let mut count = 0;
        locks::lock(&self.connections).open.retain(|connection| {
            let age_us = now_us.saturating_sub(connection.since_us.load(atomic::Ordering::Relaxed));
            let is_stalled = connection.is(Activity::Head) && age_us > timeout_us;
            if is_stalled {
                connection.closing.notify_one();
                count += 1;
            }
            !is_stalled
        });
        count
    }
}

impl Open {
    /// Says that a request is being handled until the guard is dropped.
    pub fn start_request(&self, has_body: bool) -> RequestGuard {
        self.0.connection.is_body_unread.store(has_body, atomic::Ordering::Relaxed);
        self.0.connection.set(Activity::Busy, 0);
        RequestGuard(self.clone())
    }

    /// Says that the body of the request has been read.
    pub fn finish_body(&self) {
        self.0.connection.is_body_unread.store(false, atomic::Ordering::Relaxed);
        self.0.connection.set(Activity::Busy, 0);
    }

    /// Says that the body of a request has been waited for since `since_us`.
    pub fn set_waiting_for_body(&self, since_us: u64) {
        self.0.connection.set(Activity::Body, since_us);
    }

    /// Waits until the connection has to be closed. A request that began to be handled meanwhile is finished first.
    pub async fn wait_for_closing(&self) {
        self.0.connection.closing.notified().await;
        while self.0.connection.is(Activity::Busy) {
            tokio::time::sleep(super::SWEEP_PERIOD).await;
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.limit.account.release(CONNECTION);
        let mut connections = locks::lock(&self.limit.connections);
        // Not there if it was closed at the limit.
        let found = connections.open.binary_search_by_key(&self.connection.id, |open| open.id);
        if let Ok(index) = found {
            connections.open.remove(index);
        }
    }
}

/// A request that is being handled.
#[derive(Debug)]
pub struct RequestGuard(Open);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let connection = &self.0.0.connection;
        connection.has_served.store(true, atomic::Ordering::Relaxed);
        let activity = match connection.is_body_unread.load(atomic::Ordering::Relaxed) {
            true => Activity::Unread,
            false => Activity::Idle,
        };
        connection.set(activity, clock::now_us());
    }
}

/// A client's stream that records when a request's head begins to arrive, and since when an answer is not taken.
#[derive(Debug)]
pub struct Watched<T> {
    stream: T,
    open: Open,
}

impl<T> Watched<T> {
    /// Records what arrives on `stream` in `open`.
    pub fn new(stream: T, open: Open) -> Self {
        Self { stream, open }
    }
}

impl<T> Watched<T> {
    fn record_write(&self, written: &task::Poll<io::Result<usize>>) {
        let blocked_since_us = &self.open.0.connection.blocked_since_us;
        if written.is_ready() {
            blocked_since_us.store(0, atomic::Ordering::Relaxed);
        } else if blocked_since_us.load(atomic::Ordering::Relaxed) == 0 {
            blocked_since_us.store(clock::now_us(), atomic::Ordering::Relaxed);
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Watched<T> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        task::ready!(pin::Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let connection = &self.open.0.connection;
        if buffer.filled().len() > before {
            if connection.is(Activity::Idle) {
                connection.set(Activity::Head, clock::now_us());
            } else if connection.is(Activity::Unread) {
                connection.set(Activity::Idle, clock::now_us());
            }
        }
        task::Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Watched<T> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.stream).poll_write(context, buffer);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
