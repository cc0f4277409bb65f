//! Bounds the memory of answers that are being received.
//!
//! A searcher may send a body without end. The size limit of one answer does not bound the memory of many such answers
//! at once, since a gather receives one answer per shard. Answers without end must not take the room of others either,
//! so that large ones may use a part of the memory only.

use std::sync;
use std::sync::atomic;

/// An answer of up to this size may use the whole buffer, a larger one only [`LARGE_SHARE`] of it.
pub const SMALL_ANSWER_BYTES: usize = 256 << 10;
/// The share of the buffer that is open to large answers.
const LARGE_SHARE: f64 = 0.5;

/// The bytes of all answers that are being received.
#[derive(Debug)]
pub struct AnswerBuffer {
    used_bytes: atomic::AtomicUsize,
    max_bytes: usize,
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
        Self { used_bytes: atomic::AtomicUsize::new(0), max_bytes }
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
