//! The member table: all records, sorted by name, with local state for each.

use crate::ids;
use crate::member;
use crate::member::message;

/// How long old records of a forgotten member are rejected, as a multiple of the time after which it is forgotten.
const TOMBSTONE_FACTOR: u64 = 3;
/// The seed of the hash that assigns members to buckets; the same on all instances.
const BUCKET_HASH_SEED: u64 = 0;

/// A member's record and this instance's local state for it.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) record: member::Record,
    /// The hash of the record for digests. Suspect counts as Alive, because members learn of a suspicion at different
    /// times.
    hash: u64,
    /// When the record last changed.
    pub(super) since_ms: u64,
    /// The running suspicion; `None` if there is none.
    pub(super) suspicion: Option<Suspicion>,
    /// The smoothed round-trip time of direct probes; 0 if unknown.
    pub(super) rtt_ms: u32,
    /// Since when the member is missing from the platform's list; `None` if it is listed.
    unlisted_since_ms: Option<u64>,
    /// Whether the member was ever Alive, Suspect or Leaving in this table.
    seen: bool,
}

/// A running suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Suspicion {
    pub(super) start_ms: u64,
    pub(super) end_ms: u64,
    /// When to ping the suspect next, so that it can refute; `None` if only other members do that.
    pub(super) ping_ms: Option<u64>,
}

impl Suspicion {
    /// When the suspicion expires or the suspect is to be pinged, whichever comes first.
    pub(super) fn due_ms(self) -> u64 {
        self.ping_ms.map_or(self.end_ms, |ping_ms| ping_ms.min(self.end_ms))
    }
}

/// A forgotten member whose old records are still rejected.
#[derive(Debug)]
struct Tombstone {
    name: ids::InstanceName,
    boot: ids::BootId,
    forgotten_ms: u64,
}

/// The members, sorted by name.
#[derive(Debug, Default)]
pub(super) struct Table {
    entries: Vec<Entry>,
    /// Sorted by name.
    tombstones: Vec<Tombstone>,
}

impl Table {
    pub(super) fn entries(&self) -> &[Entry] {
        &self.entries
    }

    pub(super) fn entries_mut(&mut self) -> &mut [Entry] {
        &mut self.entries
    }

    pub(super) fn memory_bytes(&self) -> usize {
        self.entries.capacity() * size_of::<Entry>()
            + self.tombstones.capacity() * size_of::<Tombstone>()
    }

    pub(super) fn find(&self, name: &ids::InstanceName) -> Option<&Entry> {
        self.entries.get(self.index(name).ok()?)
    }

    pub(super) fn find_mut(&mut self, name: &ids::InstanceName) -> Option<&mut Entry> {
        let index = self.index(name).ok()?;
        self.entries.get_mut(index)
    }

    fn index(&self, name: &ids::InstanceName) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.record.name.cmp(name))
    }

    /// Stores a record, replacing any record with the same name.
    pub(super) fn put(&mut self, record: member::Record, now_ms: u64) {
        let hash = record_hash(&record);
        let seen = record.state.is_probed();
        match self.index(&record.name) {
            Ok(index) => {
                let entry = &mut self.entries[index];
                entry.record = record;
                entry.hash = hash;
                entry.since_ms = now_ms;
                entry.suspicion = None;
                entry.seen |= seen;
            }
            Err(index) => {
                let entry = Entry {
                    record,
                    hash,
                    since_ms: now_ms,
                    suspicion: None,
                    rtt_ms: 0,
                    unlisted_since_ms: None,
                    seen,
                };
                self.entries.insert(index, entry);
            }
        }
    }

    /// Whether a record of an unknown member is to be rejected: the member has left, or this boot or a newer one was
    /// forgotten.
    pub(super) fn rejects(&self, record: &member::Record) -> bool {
        if record.state == member::State::Left {
            return true;
        }
        let Ok(index) =
            self.tombstones.binary_search_by(|tombstone| tombstone.name.cmp(&record.name))
        else {
            return false;
        };
        record.boot <= self.tombstones[index].boot
    }

    /// Accepts records of a forgotten member again, since it has sent one itself.
    pub(super) fn remove_tombstone(&mut self, name: &ids::InstanceName) {
        self.tombstones.retain(|tombstone| tombstone.name != *name);
    }

    /// Records which members are on the platform's list. `names` must be sorted.
    pub(super) fn mark_listed(&mut self, names: &[ids::InstanceName], now_ms: u64) {
        for entry in &mut self.entries {
            if names.binary_search(&entry.record.name).is_ok() {
                entry.unlisted_since_ms = None;
                continue;
            }
            entry.unlisted_since_ms.get_or_insert(now_ms);
        }
    }

    /// Removes the members whose time to forget has passed and returns their names.
    pub(super) fn forget(
        &mut self,
        config: &member::Config,
        now_ms: u64,
    ) -> Vec<ids::InstanceName> {
        let keep_ms = config.forget_ms * TOMBSTONE_FACTOR;
        self.tombstones.retain(|tombstone| now_ms.saturating_sub(tombstone.forgotten_ms) < keep_ms);
        let mut names = Vec::new();
        for entry in &self.entries {
            if is_expired(entry, config, now_ms) {
                names.push(entry.record.name.clone());
            }
        }
        for name in &names {
            self.remove(name, now_ms);
        }
        names
    }

    fn remove(&mut self, name: &ids::InstanceName, now_ms: u64) {
        let Ok(index) = self.index(name) else {
            return;
        };
        let entry = self.entries.remove(index);
        let boot = entry.record.boot;
        let tombstone = Tombstone { name: name.clone(), boot, forgotten_ms: now_ms };
        match self.tombstones.binary_search_by(|tombstone| tombstone.name.cmp(name)) {
            Ok(index) => self.tombstones[index] = tombstone,
            Err(index) => self.tombstones.insert(index, tombstone),
        }
    }

    /// The number of live members, including this instance.
    pub(super) fn live_count(&self) -> usize {
        self.entries.iter().filter(|entry| entry.record.state.is_live()).count()
    }

    /// The hash of each bucket, excluding members that have Left.
    pub(super) fn bucket_hashes(&self) -> [u64; message::BUCKETS] {
        let mut hashes = [0_u64; message::BUCKETS];
        for entry in &self.entries {
            if entry.record.state == member::State::Left {
                continue;
            }
            let bucket = bucket_of(&entry.record.name);
            hashes[bucket] = hashes[bucket].wrapping_add(entry.hash);
        }
        hashes
    }

    /// The hash of all buckets.
    pub(super) fn root_hash(&self) -> u64 {
        let mut root = 0_u64;
        for hash in self.bucket_hashes() {
            root = root.rotate_left(1).wrapping_add(hash);
        }
        root
    }

    /// The records in `buckets`, a bit set.
    pub(super) fn records_in(&self, buckets: u32) -> Vec<member::Record> {
        let mut records = Vec::new();
        for entry in &self.entries {
            if buckets >> bucket_of(&entry.record.name) & 1 == 1 {
                records.push(entry.record.clone());
            }
        }
        records
    }
}

fn is_expired(entry: &Entry, config: &member::Config, now_ms: u64) -> bool {
    let age_ms = now_ms.saturating_sub(entry.since_ms);
    if entry.record.state == member::State::Left {
        return age_ms >= config.forget_ms;
    }
    if entry.record.state != member::State::Unreachable {
        return false;
    }
    let Some(unlisted_since_ms) = entry.unlisted_since_ms else {
        return false;
    };
    let limit_ms = if entry.seen { config.forget_ms } else { config.forget_unseen_ms };
    age_ms >= limit_ms && now_ms.saturating_sub(unlisted_since_ms) >= limit_ms
}

fn bucket_of(name: &ids::InstanceName) -> usize {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), BUCKET_HASH_SEED);
    (hash % message::BUCKETS as u64) as usize
}

fn record_hash(record: &member::Record) -> u64 {
    let mut record = record.clone();
    if record.state == member::State::Suspect {
        record.state = member::State::Alive;
    }
    let bytes = postcard::to_stdvec(&record).unwrap_or_default();
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
