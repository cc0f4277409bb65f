//! Bounds the memory of answers, from their first byte until the client has taken the last one.
//!
//! A searcher may send a body without end. The size limit of one answer does not bound the memory of many such answers
//! at once, since a gather receives one answer per shard. Answers without end must not take the room of others either,
//! so that large ones may use a part of the memory only. A client that does not read its answer gives way to others.

use crate::clock;
use crate::forward::admission::connections;
use bytes::Bytes;
use std::sync;
use std::sync::atomic;

/// An answer of up to this size may use the whole buffer, a larger one only [`LARGE_SHARE`] of it.
pub const SMALL_ANSWER_BYTES: usize = 256 << 10;
/// The share of the buffer that is open to large answers.
const LARGE_SHARE: f64 = 0.5;

/// The bytes of all answers.
#[derive(Debug)]
pub struct AnswerBuffer {
    used_bytes: atomic::AtomicUsize,
    max_bytes: usize,
    /// The connections that answers are written to.
    clients: Option<sync::Arc<connections::Limit>>,
}

/// A complete answer and its memory.
struct Complete {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Complete {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The bytes of one answer, released on drop.
#[derive(Debug)]
pub struct Reservation {
    buffer: sync::Arc<AnswerBuffer>,
    byte_count: usize,
}

impl AnswerBuffer {
    /// Creates a buffer for `max_bytes` in all.
    pub fn new(max_bytes: usize) -> Self {
        Self { used_bytes: atomic::AtomicUsize::new(0), max_bytes, clients: None }
    }

    /// Makes connections of `clients` that do not take their answers give way.
    #[must_use]
    pub fn with_clients(self, clients: sync::Arc<connections::Limit>) -> Self {
        Self { clients: Some(clients), ..self }
    }

    /// Starts an answer without bytes.
    pub fn start_answer(self: &sync::Arc<Self>) -> Reservation {
        Reservation { buffer: self.clone(), byte_count: 0 }
    }
}

impl Reservation {
    /// Adds `byte_count` bytes to the answer. Returns `false`, and adds none, if there is no room for them.
    #[must_use]
    pub fn grow(&mut self, byte_count: usize) -> bool {
        let max_bytes = match self.byte_count + byte_count > SMALL_ANSWER_BYTES {
            true => (self.buffer.max_bytes as f64 * LARGE_SHARE) as usize,
            false => self.buffer.max_bytes,
        };
        let used_bytes = &self.buffer.used_bytes;
        let before = used_bytes.fetch_add(byte_count, atomic::Ordering::Relaxed);
        if before + byte_count > max_bytes {
            used_bytes.fetch_sub(byte_count, atomic::Ordering::Relaxed);
            return false;
        }
        self.byte_count += byte_count;
        true
    }

    /// The same as [`Reservation::grow`], but if there is no room, clients that do not take their answers give way.
    pub async fn grow_or_make_room(&mut self, byte_count: usize) -> bool {
        while !self.grow(byte_count) {
            let clients = self.buffer.clients.as_ref();
            if !clients.is_some_and(|clients| clients.close_longest_blocked(clock::now_us())) {
                return false;
            }
            // Lets the closed connection's task release its answer.
            tokio::task::yield_now().await;
        }
        true
    }

    /// Returns the complete answer. Its memory is released when the last copy is dropped.
    pub fn complete(self, bytes: Vec<u8>) -> Bytes {
        Bytes::from_owner(Complete { bytes, _reservation: self })
    }

    /// Releases `byte_count` bytes of the answer.
    pub fn shrink(&mut self, byte_count: usize) {
        let released = byte_count.min(self.byte_count);
        self.byte_count -= released;
        self.buffer.used_bytes.fetch_sub(released, atomic::Ordering::Relaxed);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.buffer.used_bytes.fetch_sub(self.byte_count, atomic::Ordering::Relaxed);
    }
}
