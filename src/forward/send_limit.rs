//! Bounds what the sends to searchers hold: connections, their buffers, and the heads that are copied for each send.
//!
//! A request of a few KiB may become a send to each shard of a gather. Its cost is therefore counted when the sends are
//! made. A request starts only if there is room for all of its first sends, since parts that are sent one at a time
//! would be wasted when the rest finds no room in time.

use crate::forward::admission::memory;
use std::sync;
use std::sync::atomic;

/// The memory of a connection to a searcher besides the request's head: its buffers, its task, and that of the send that
/// uses it.
pub const CONNECTION_BYTES: usize = 24 << 10;
/// One request alone may use up to one in so many of the connections and of the memory before it waits for its own sends.
const REQUEST_DIVISOR: usize = 2;
/// Each step of priority below the most urgent leaves one in so many of the connections and of the memory free.
const PRIORITY_DIVISOR: usize = 16;
/// The most steps of priority that count.
const PRIORITY_STEPS_MAX: u8 = 3;

/// The sends of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// The number of sends.
    pub count: usize,
    /// The length of the request's head.
    pub head_bytes: usize,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
}

impl Need {
    fn byte_count(self) -> usize {
        self.count * send_usage(self.head_bytes).bytes
    }
}

fn send_usage(head_bytes: usize) -> memory::Usage {
    memory::Usage { bytes: CONNECTION_BYTES + head_bytes, connections: 1 }
}

/// The sends in progress and the idle connections of a process, and how many there may be.
#[derive(Debug)]
pub struct SendLimit {
    account: sync::Arc<memory::Account>,
    connections_max: usize,
    bytes_max: usize,
    send_count: atomic::AtomicUsize,
    send_bytes: atomic::AtomicUsize,
    idle_count: atomic::AtomicUsize,
    waiting_bytes: atomic::AtomicUsize,
}

impl Default for SendLimit {
    /// No limit.
    fn default() -> Self {
        Self::new(usize::MAX, usize::MAX)
    }
}

impl SendLimit {
    /// Creates a limit of `connections_max` connections and `bytes_max` of memory.
    pub fn new(connections_max: usize, bytes_max: usize) -> Self {
        Self::within(sync::Arc::default(), connections_max, bytes_max)
    }

    /// Creates a limit of `connections_max` connections and `bytes_max` of memory, which also counts in `account`.
    pub fn within(
        account: sync::Arc<memory::Account>,
        connections_max: usize,
        bytes_max: usize,
    ) -> Self {
        Self {
            account,
            connections_max,
            bytes_max,
            send_count: atomic::AtomicUsize::new(0),
            send_bytes: atomic::AtomicUsize::new(0),
            idle_count: atomic::AtomicUsize::new(0),
            waiting_bytes: atomic::AtomicUsize::new(0),
        }
    }

    /// Whether these sends may be made now.
    pub fn has_room(&self, need: Need) -> bool {
        let count = need.count.min(self.connections_max / REQUEST_DIVISOR).max(1);
        let byte_count = need.byte_count().min(self.bytes_max / REQUEST_DIVISOR);
        let used_count = self.send_count.load(atomic::Ordering::Relaxed);
        let used_bytes = self.send_bytes.load(atomic::Ordering::Relaxed);
        let steps = usize::from(need.priority.min(PRIORITY_STEPS_MAX));
        let allowed = |max: usize| max - max / PRIORITY_DIVISOR * steps;
        // A request alone may always start, so that none waits for ever.
        used_count == 0
            || (used_count + count <= allowed(self.connections_max)
                && used_bytes + byte_count <= allowed(self.bytes_max)
                && self.account.has_room(memory::Usage { bytes: byte_count, connections: count }))
    }

    /// Returns how long these sends are expected to wait for room: 0 if there is room, and otherwise until the sends in
    /// progress and those that wait already have been made, each of which takes `processing_us`.
    pub fn expected_wait_us(&self, need: Need, processing_us: u64) -> u64 {
        if self.has_room(need) {
            return 0;
        }
        let waiting_bytes = self.waiting_bytes.load(atomic::Ordering::Relaxed);
        let rounds = (waiting_bytes + need.byte_count()) as f64 / self.bytes_max as f64;
        (processing_us as f64 * rounds) as u64
    }

    /// Counts a send until the guard is dropped.
    pub fn start_send(self: &sync::Arc<Self>, head_bytes: usize) -> SendGuard {
        let usage = send_usage(head_bytes);
        self.send_count.fetch_add(1, atomic::Ordering::Relaxed);
        self.send_bytes.fetch_add(usage.bytes, atomic::Ordering::Relaxed);
        self.account.add(usage);
        SendGuard { limit: self.clone(), usage }
    }

    /// Counts sends that wait for room until the guard is dropped.
    pub fn wait(self: &sync::Arc<Self>, need: Need) -> WaitGuard {
        let byte_count = need.byte_count();
        self.waiting_bytes.fetch_add(byte_count, atomic::Ordering::Relaxed);
        WaitGuard { limit: self.clone(), byte_count }
    }

    /// Counts an idle connection until the guard is dropped.
    pub fn hold_idle(self: &sync::Arc<Self>) -> IdleGuard {
        self.idle_count.fetch_add(1, atomic::Ordering::Relaxed);
        self.account.add_idle(send_usage(0));
        IdleGuard(self.clone())
    }

    /// Returns how many idle connections have to be closed, for the sends in progress or for something else that counts
    /// in the account.
    pub fn excess_idle_count(&self) -> usize {
        let idle_count = self.idle_count.load(atomic::Ordering::Relaxed);
        let send_count = self.send_count.load(atomic::Ordering::Relaxed);
        let send_bytes = self.send_bytes.load(atomic::Ordering::Relaxed);
        let by_count = self.connections_max.saturating_sub(send_count);
        let by_bytes = self.bytes_max.saturating_sub(send_bytes) / CONNECTION_BYTES;
        let excess = self.account.excess_idle();
        idle_count
            .saturating_sub(by_count.min(by_bytes))
            .max(excess.bytes.div_ceil(CONNECTION_BYTES))
            .max(excess.connections)
    }

    /// Waits until idle connections have to be closed for something else than sends.
    pub async fn wait_for_shortage(&self) {
        self.account.wait_for_shortage().await;
    }
}

/// A send in progress.
#[derive(Debug)]
pub struct SendGuard {
    limit: sync::Arc<SendLimit>,
    usage: memory::Usage,
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        self.limit.send_count.fetch_sub(1, atomic::Ordering::Relaxed);
        self.limit.send_bytes.fetch_sub(self.usage.bytes, atomic::Ordering::Relaxed);
        self.limit.account.release(self.usage);
    }
}

/// Sends that wait for room.
#[derive(Debug)]
pub struct WaitGuard {
    limit: sync::Arc<SendLimit>,
    byte_count: usize,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.limit.waiting_bytes.fetch_sub(self.byte_count, atomic::Ordering::Relaxed);
    }
}

/// An idle connection.
#[derive(Debug)]
pub struct IdleGuard(sync::Arc<SendLimit>);

impl Drop for IdleGuard {
    fn drop(&mut self) {
        self.0.idle_count.fetch_sub(1, atomic::Ordering::Relaxed);
        self.0.account.release_idle(send_usage(0));
    }
}
