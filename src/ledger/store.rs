//! The ledger's records: sorted by the hash of the key, dropped in the order of their first sight.

use crate::key;
use crate::ledger;
use std::collections;

/// How many sorted vectors the records are spread over.
const BUCKET_COUNT: usize = 256;

/// The shift that leaves a hash's top byte.
const BUCKET_SHIFT: u32 = 120;

/// What is known of one key.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// The hash of the key.
    pub(super) hash: u128,
    /// When the key was issued, by the key.
    pub(super) issued_s: u64,
    /// What was asked for; none if the key was sealed before any request came.
    pub(super) body: Option<key::BodyHash>,
    /// Until when the request may be sent.
    pub(super) deadline_ms: u64,
    /// How far it is.
    pub(super) state: State,
}

/// How far a request is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Nothing can have run; so many attempts were made and refused.
    Waiting(u32),
    /// The attempt of this number is out.
    Sent(u32),
    /// The attempt of this number was lost after bytes had left.
    Lost(u32),
    /// It ran or never will.
    Settled(ledger::RequestStatus),
}

/// When a record was made.
#[derive(Clone, Copy, Debug)]
struct Inserted {
    first_seen_ms: u64,
    hash: u128,
}

/// All records.
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

    /// Adds a record whose hash is not there yet.
    pub(super) fn insert(&mut self, now_ms: u64, record: Record) {
        let hash = record.hash;
        let bucket = &mut self.buckets[bucket_index(hash)];
        let Err(index) = bucket.binary_search_by(|other| other.hash.cmp(&hash)) else { return };
        bucket.insert(index, record);
        self.order.push_back(Inserted { first_seen_ms: now_ms, hash });
    }

    /// Takes out the oldest record if it was made at or before `until_ms`.
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
