//! The memory of the process: its shares, the account of what requests hold, and the pool of memory for request bodies.

use crate::locks;
use std::sync;
use std::sync::atomic;
use tokio::sync::Notify;

/// The most memory for answers of searchers that are being received. Machines with 160 MB and more have this much.
const ANSWERS_MAX_BYTES: u64 = 48 << 20;
/// The shares of the machine's memory; the rest is for the process itself.
const ANSWERS_SHARE: f64 = 0.3;
const BODIES_SHARE: f64 = 0.15;
const CONNECTIONS_SHARE: f64 = 0.2;
const DIRECTORY_SHARE: f64 = 0.05;
const SENDS_SHARE: f64 = 0.4;
/// The share of all but the answers together: less than the sum of theirs, since they are seldom used up at a time.
const ACCOUNT_SHARE: f64 = 0.55;
/// The memory that is assumed if the settings don't state it: that of the largest machines.
const MEMORY_DEFAULT_BYTES: u64 = 512 << 20;
/// Bodies of up to this size may use the whole pool, larger ones [`LARGE_SHARE`] of it.
pub const SMALL_BODY_BYTES: usize = 16 << 10;
/// The share of the pool that is open to large bodies.
const LARGE_SHARE: f64 = 0.75;
/// A body that made no progress, or a client that took nothing of its answer, for this long gives way to others when the
/// memory is used up. Packets that are lost on mobile links are repeated after 0.2 s and more.
pub const GIVE_WAY_US: u64 = 300_000;
/// A body makes progress with each further part of this size, so that single bytes now and then are none.
const PROGRESS_BYTES: usize = 1 << 10;

/// What a process may use; `None` for what the settings don't state.
#[derive(Clone, Copy, Debug, Default)]
pub struct Machine {
    /// The memory of its machine.
    pub memory_bytes: Option<u64>,
    /// The descriptors that it may open.
    pub descriptors_max: Option<usize>,
}

/// The shares of the memory of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// For answers of searchers that are being received.
    pub answers_bytes: usize,
    /// For bodies of clients' requests.
    pub bodies_bytes: usize,
    /// For clients' connections: their read buffers and tasks.
    pub connections_bytes: usize,
    /// For connections of clients that ask for addresses.
    pub directory_bytes: usize,
    /// For sends to searchers: their connections and the copies of requests' heads.
    pub sends_bytes: usize,
    /// For all of these but the answers.
    pub account_bytes: usize,
}

impl Budget {
    /// Divides the memory of a machine.
    pub fn new(memory_bytes: Option<u64>) -> Self {
        let total = memory_bytes.unwrap_or(MEMORY_DEFAULT_BYTES) as f64;
        let answers = (total * ANSWERS_SHARE).min(ANSWERS_MAX_BYTES as f64);
        Self {
            answers_bytes: answers as usize,
            bodies_bytes: (total * BODIES_SHARE) as usize,
            connections_bytes: (total * CONNECTIONS_SHARE) as usize,
            directory_bytes: (total * DIRECTORY_SHARE) as usize,
            sends_bytes: (total * SENDS_SHARE) as usize,
            account_bytes: (total * ACCOUNT_SHARE) as usize,
        }
    }
}

/// Memory and connections that are held together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The memory.
    pub bytes: usize,
    /// The number of connections, each of which has a descriptor.
    pub connections: usize,
}

/// A [`Usage`] that changes.
#[derive(Debug, Default)]
struct Counter {
    bytes: atomic::AtomicUsize,
    connections: atomic::AtomicUsize,
}

impl Counter {
    fn add(&self, usage: Usage) {
        self.bytes.fetch_add(usage.bytes, atomic::Ordering::Relaxed);
        self.connections.fetch_add(usage.connections, atomic::Ordering::Relaxed);
    }

    fn subtract(&self, usage: Usage) {
        self.bytes.fetch_sub(usage.bytes, atomic::Ordering::Relaxed);
        self.connections.fetch_sub(usage.connections, atomic::Ordering::Relaxed);
    }

    fn get(&self) -> Usage {
        Usage {
            bytes: self.bytes.load(atomic::Ordering::Relaxed),
            connections: self.connections.load(atomic::Ordering::Relaxed),
        }
    }
}

/// What clients' connections, bodies and sends hold together. Each kind has a bound of its own as well; the sum of these is
/// more than the machine has, since they are seldom used up at a time.
#[derive(Debug)]
pub struct Account {
    max: Usage,
    used: Counter,
    /// What idle connections to searchers hold. They are closed when it is needed.
    idle: Counter,
    shortage: Notify,
}

impl Default for Account {
    /// No bound.
    fn default() -> Self {
        Self::new(Usage { bytes: usize::MAX, connections: usize::MAX })
    }
}

impl Account {
    /// Creates an account of `max`.
    pub fn new(max: Usage) -> Self {
        Self { max, used: Counter::default(), idle: Counter::default(), shortage: Notify::new() }
    }

    /// Whether `usage` may be added.
    pub fn has_room(&self, usage: Usage) -> bool {
        let used = self.used.get();
        used.bytes + usage.bytes <= self.max.bytes
            && used.connections + usage.connections <= self.max.connections
    }

    /// Adds `usage`. Returns `false`, and adds none, if there is no room for it.
    #[must_use]
    pub fn take(&self, usage: Usage) -> bool {
        self.add(usage);
        let has_room = self.has_room(Usage::default());
        if !has_room {
            self.release(usage);
        }
        has_room
    }

    /// Adds `usage`, whether or not there is room for it.
    pub fn add(&self, usage: Usage) {
        self.used.add(usage);
        if self.excess_idle() != Usage::default() {
            self.shortage.notify_one();
        }
    }

    /// Gives back `usage`.
    pub fn release(&self, usage: Usage) {
        self.used.subtract(usage);
    }

    /// Counts what a connection that became idle holds.
    pub fn add_idle(&self, usage: Usage) {
        self.idle.add(usage);
    }

    /// Stops counting what an idle connection held.
    pub fn release_idle(&self, usage: Usage) {
        self.idle.subtract(usage);
    }

    /// How much of what idle connections hold is needed for something else.
    pub fn excess_idle(&self) -> Usage {
        let used = self.used.get();
        let idle = self.idle.get();
        let free_bytes = self.max.bytes.saturating_sub(used.bytes);
        let free_connections = self.max.connections.saturating_sub(used.connections);
        Usage {
            bytes: idle.bytes.saturating_sub(free_bytes),
            connections: idle.connections.saturating_sub(free_connections),
        }
    }

    /// Waits until something of what idle connections hold is needed.
    pub async fn wait_for_shortage(&self) {
        self.shortage.notified().await;
    }
}

/// The memory for request bodies.
#[derive(Debug)]
pub struct Pool {
    account: sync::Arc<Account>,
    used_bytes: atomic::AtomicUsize,
    max_bytes: usize,
    /// The bodies that wait for further bytes. Those that arrive at once are never in it.
    waiting: sync::Mutex<Vec<sync::Arc<Entry>>>,
}

/// A body's memory, as the pool sees it.
#[derive(Debug)]
struct Entry {
    held_bytes: atomic::AtomicUsize,
    progress_us: atomic::AtomicU64,
    gave_way: Notify,
}

/// The memory of one body, released on drop.
#[derive(Debug)]
pub struct Held {
    pool: sync::Arc<Pool>,
    entry: sync::Arc<Entry>,
    arrived_bytes: usize,
    is_waiting: bool,
}

impl Pool {
    /// Creates a pool of `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self::within(sync::Arc::default(), max_bytes)
    }

    /// Creates a pool of `max_bytes` whose bytes also count in `account`.
    pub fn within(account: sync::Arc<Account>, max_bytes: usize) -> Self {
        let used_bytes = atomic::AtomicUsize::new(0);
        Self { account, used_bytes, max_bytes, waiting: sync::Mutex::default() }
    }

    /// The bytes that are held by all bodies.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(atomic::Ordering::Relaxed)
    }

    /// Starts a body that holds nothing yet.
    pub fn start_body(self: &sync::Arc<Self>, now_us: u64) -> Held {
        let entry = Entry {
            held_bytes: atomic::AtomicUsize::new(0),
            progress_us: atomic::AtomicU64::new(now_us),
            gave_way: Notify::new(),
        };
        Held { pool: self.clone(), entry: entry.into(), arrived_bytes: 0, is_waiting: false }
    }

    fn take(&self, byte_count: usize, max_bytes: usize) -> bool {
        let before = self.used_bytes.fetch_add(byte_count, atomic::Ordering::Relaxed);
        let has_room = before + byte_count <= max_bytes;
        if !has_room || !self.account.take(Usage { bytes: byte_count, connections: 0 }) {
            self.used_bytes.fetch_sub(byte_count, atomic::Ordering::Relaxed);
            return false;
        }
        true
    }

    fn has_room(&self, byte_count: usize, max_bytes: usize) -> bool {
        self.used_bytes() + byte_count <= max_bytes
            && self.account.has_room(Usage { bytes: byte_count, connections: 0 })
    }

    fn release(&self, byte_count: usize) {
        self.used_bytes.fetch_sub(byte_count, atomic::Ordering::Relaxed);
        self.account.release(Usage { bytes: byte_count, connections: 0 });
    }

    /// Makes stalled bodies give way, those that have stalled longest first, until `byte_count` bytes fit.
    fn make_room(&self, now_us: u64, byte_count: usize, max_bytes: usize) {
        let mut waiting = locks::lock(&self.waiting);
        waiting.sort_by_key(|entry| entry.progress_us.load(atomic::Ordering::Relaxed));
        let mut count = 0;
        for entry in waiting.iter() {
            let progress_us = entry.progress_us.load(atomic::Ordering::Relaxed);
            if self.has_room(byte_count, max_bytes)
                || now_us.saturating_sub(progress_us) < GIVE_WAY_US
            {
                break;
            }
            let released = entry.held_bytes.swap(0, atomic::Ordering::Relaxed);
            self.release(released);
            entry.gave_way.notify_one();
            count += 1;
        }
        waiting.drain(..count);
    }
}

impl Held {
    /// Adds `byte_count` bytes. Returns `false`, and adds none, if there is no room for them, even after stalled bodies
    /// gave way.
    #[must_use]
    pub fn grow(&mut self, now_us: u64, byte_count: usize) -> bool {
        let held_bytes = self.entry.held_bytes.load(atomic::Ordering::Relaxed);
        let max_bytes = match held_bytes + byte_count > SMALL_BODY_BYTES {
            true => (self.pool.max_bytes as f64 * LARGE_SHARE) as usize,
            false => self.pool.max_bytes,
        };
        if !self.pool.take(byte_count, max_bytes) {
            self.pool.make_room(now_us, byte_count, max_bytes);
            if !self.pool.take(byte_count, max_bytes) {
                return false;
            }
        }
        self.entry.held_bytes.fetch_add(byte_count, atomic::Ordering::Relaxed);
        true
    }

    /// The bytes that are held; 0 after the body gave way.
    pub fn byte_count(&self) -> usize {
        self.entry.held_bytes.load(atomic::Ordering::Relaxed)
    }

    /// Releases `byte_count` bytes.
    pub fn shrink(&mut self, byte_count: usize) {
        let held_bytes = self.entry.held_bytes.load(atomic::Ordering::Relaxed);
        let released = byte_count.min(held_bytes);
        self.entry.held_bytes.fetch_sub(released, atomic::Ordering::Relaxed);
        self.pool.release(released);
    }

    /// Records that `byte_count` bytes of the body have arrived.
    pub fn record_arrival(&mut self, now_us: u64, byte_count: usize) {
        let parts = self.arrived_bytes / PROGRESS_BYTES;
        self.arrived_bytes += byte_count;
        if self.arrived_bytes / PROGRESS_BYTES > parts {
            self.entry.progress_us.store(now_us, atomic::Ordering::Relaxed);
        }
    }

    /// When the body last made progress.
    pub fn progress_us(&self) -> u64 {
        self.entry.progress_us.load(atomic::Ordering::Relaxed)
    }

    /// Says that the body waits for further bytes, so that it may have to give way.
    pub fn start_waiting(&mut self) {
        if !self.is_waiting {
            self.is_waiting = true;
            locks::lock(&self.pool.waiting).push(self.entry.clone());
        }
    }

    /// Waits until the body has to give way; its memory counts as released by then.
    pub async fn wait_to_give_way(&self) {
        self.entry.gave_way.notified().await;
    }

    /// Says that the body is complete and does not give way any more.
    pub fn stop_waiting(&mut self) {
        if self.is_waiting {
            self.is_waiting = false;
            let mut waiting = locks::lock(&self.pool.waiting);
            waiting.retain(|entry| !sync::Arc::ptr_eq(entry, &self.entry));
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.stop_waiting();
        self.shrink(usize::MAX);
    }
}
