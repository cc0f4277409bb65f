//! Traffic counters of the gossip socket, read by the metrics.

use crate::seal;
use std::sync::atomic;
use strum::EnumCount as _;

/// Monotonic counters.
#[derive(Debug, Default)]
pub struct Stats {
    /// Datagrams received, including rejected and malformed ones.
    pub received: atomic::AtomicU64,
    /// Bytes of all datagrams received.
    pub received_bytes: atomic::AtomicU64,
    /// Datagrams sent.
    pub sent: atomic::AtomicU64,
    /// Bytes of all datagrams sent.
    pub sent_bytes: atomic::AtomicU64,
    /// Datagrams not sent: the queue was full, the datagram was too long, or the socket returned an error.
    pub unsent: atomic::AtomicU64,
    /// Datagrams with a valid MAC that could not be decoded as a message or carry another boot than the header.
    pub malformed: atomic::AtomicU64,
    /// Events dropped because a subscriber's channel was full.
    pub events_dropped: atomic::AtomicU64,
    rejected: [atomic::AtomicU64; seal::SealError::COUNT],
}

impl Stats {
    /// The number of datagrams rejected for the given reason.
    pub fn rejected(&self, reason: seal::SealError) -> u64 {
        self.rejected[reason as usize].load(atomic::Ordering::Relaxed)
    }

    pub(super) fn record_rejected(&self, reason: seal::SealError) {
        add(&self.rejected[reason as usize], 1);
    }
}

pub(super) fn add(counter: &atomic::AtomicU64, amount: usize) {
    counter.fetch_add(amount as u64, atomic::Ordering::Relaxed);
}
