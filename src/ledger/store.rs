//! The records of the ledger, indexed by the hash of the key and dropped in the order of insertion.

use crate::key;
use crate::ledger;
use std::collections;

/// The number of sorted vectors that the records are spread over.
const BUCKET_COUNT: usize = 256;

/// Shifts a 128-bit hash right so that its top byte remains.
const BUCKET_SHIFT: u32 = 120;

/// The record of one key.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// The hash of the key.
    pub(super) hash: u128,
    /// The issue time that the key contains.
    pub(super) issued_s: u64,
    /// The request body; `None` if the key was rejected before a request was recorded.
    pub(super) body: Option<key::BodyHash>,
    /// When the request must no longer be sent, in milliseconds since the Unix epoch.
    pub(super) deadline_ms: u64,
    /// The progress of the request.
    pub(super) state: State,
}

/// The progress of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// No attempt is in flight, and this many were refused, so nothing can have run.
    Waiting(u32),
    /// The attempt with this number is in flight.
    Sent(u32),
    /// The attempt with this number was lost after bytes had been sent.
    Lost(u32),
    /// The request has run or never will.
    Settled(ledger::RequestStatus),
}

/// When a record was inserted.
#[derive(Clone, Copy, Debug)]
struct Inserted {
    first_seen_ms: u64,
    hash: u128,
}

/// All records of a ledger.
#[derive(Debug)]
pub(super) struct Store {
    buckets: Vec<Vec<Record>>,
    order: collections::VecDeque<Inserted>,
}

impl Store {
    pub(super) fn new() -> Self {
        Self { buckets: vec![Vec::new(); BUCKET_COUNT], order: collections::VecDeque::new() }
    }

    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    pub(super) fn get_mut(&mut self, hash: u128) -> Option<&mut Record> {
        let bucket = self.buckets.get_mut(bucket_index(hash))?;
        let index = bucket.binary_search_by(|record| record.hash.cmp(&hash)).ok()?;
        bucket.get_mut(index)
    }

    /// Inserts a record unless there is one with the same hash.
    pub(super) fn insert(&mut self, now_ms: u64, record: Record) {
        let hash = record.hash;
        let bucket = &mut self.buckets[bucket_index(hash)];
        let Err(index) = bucket.binary_search_by(|other| other.hash.cmp(&hash)) else { return };
        bucket.insert(index, record);
        self.order.push_back(Inserted { first_seen_ms: now_ms, hash });
    }

    /// Removes and returns the oldest record if it was inserted at or before `until_ms`.
    pub(super) fn pop_oldest(&mut self, until_ms: u64) -> Option<Record> {
        let oldest = *self.order.front()?;
        if oldest.first_seen_ms > until_ms {
            return None;
        }
        self.order.pop_front();
        let bucket = &mut self.buckets[bucket_index(oldest.hash)];
        let index = bucket.binary_search_by(|record| record.hash.cmp(&oldest.hash)).ok()?;
        Some(bucket.remove(index))
    }
}

fn bucket_index(hash: u128) -> usize {
    (hash >> BUCKET_SHIFT) as usize
}
