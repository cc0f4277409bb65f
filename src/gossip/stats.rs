//! What went over the socket, counted for the metrics.

use crate::seal;
use std::sync::atomic;
use strum::EnumCount as _;

/// Counters that only grow.
#[derive(Debug, Default)]
pub struct Stats {
    /// Datagrams received, good or not.
    pub received: atomic::AtomicU64,
    /// Their bytes.
    pub received_bytes: atomic::AtomicU64,
    /// Datagrams sent.
    pub sent: atomic::AtomicU64,
    /// Their bytes.
    pub sent_bytes: atomic::AtomicU64,
    /// Datagrams that were not sent: the queue was full, they were too long, or the socket refused them.
    pub unsent: atomic::AtomicU64,
    /// Datagrams with a good MAC that are no messages.
    pub malformed: atomic::AtomicU64,
    /// Events that found a subscriber's channel full.
    pub events_dropped: atomic::AtomicU64,
    rejected: [atomic::AtomicU64; seal::SealError::COUNT],
}

impl Stats {
    /// Datagrams that were dropped for the given reason.
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
