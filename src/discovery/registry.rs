//! The searchers, as the platform's store lists them.
//!
//! Several readers report what they have seen at different moments. Each report of a searcher bears the
//! store's revision of that change, and the newest revision wins, so reports may arrive in any order and
//! more than once.

use crate::ids;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::hash::Hash;
use std::hash::Hasher as _;
use std::net;
use xxhash_rust::xxh3;

/// A revision of the platform's store.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreRevision(pub u64);

impl std::fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl std::str::FromStr for StoreRevision {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Whether a searcher takes new work.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum SearcherState {
    /// It takes work.
    Ready,
    /// It is leaving and takes no new work.
    Draining,
}

/// What a searcher says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Searcher {
    /// The service it belongs to.
    pub service: ids::ServiceName,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: CompactString,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: SearcherState,
    /// Unix time of its start; tells two lives under one id apart.
    pub boot_ms: u64,
}

/// The state of an id at a revision: what a report says of it, and what the registry holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearcherChange {
    /// The searcher's id.
    pub id: CompactString,
    /// The store's revision of this state.
    pub revision: StoreRevision,
    /// The searcher, or `None` if the id is gone or its entry can't be used.
    pub searcher: Option<Searcher>,
}

/// Tells two registries apart that do not hold the same searchers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub u64);

/// All searchers known.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// Sorted by id.
    records: Vec<SearcherChange>,
}

impl Registry {
    /// Takes in a report. Returns whether what is known of the searcher changed, revisions aside.
    pub fn apply(&mut self, change: &SearcherChange) -> bool {
        let found = self.records.binary_search_by(|record| record.id.cmp(&change.id));
        match found {
            Ok(at) => {
                let record = &mut self.records[at];
                if change.revision <= record.revision {
                    return false;
                }
                record.revision = change.revision;
                if record.searcher == change.searcher {
                    return false;
                }
                record.searcher = change.searcher.clone();
                true
            }
            Err(at) => {
                let changed = change.searcher.is_some();
                self.records.insert(at, change.clone());
                changed
            }
        }
    }

    /// The record of an id.
    pub fn get(&self, id: &str) -> Option<&SearcherChange> {
        let at = self.records.binary_search_by(|record| record.id.as_str().cmp(id)).ok()?;
        self.records.get(at)
    }

    /// All records, sorted by id.
    pub fn records(&self) -> &[SearcherChange] {
        &self.records
    }

    /// The digest of the searchers, without revisions: they differ between readers with each heartbeat.
    pub fn digest(&self) -> Digest {
        let mut hasher = xxh3::Xxh3::new();
        for record in &self.records {
            if record.searcher.is_some() {
                record.id.hash(&mut hasher);
                record.searcher.hash(&mut hasher);
            }
        }
        Digest(hasher.finish())
    }

    /// How many searchers are there.
    pub fn live_count(&self) -> usize {
        self.records.iter().filter(|record| record.searcher.is_some()).count()
    }
}

/// How long after the end of a store outage an entry that lapsed in it counts as present: the platform
/// promises that entries of living searchers are back within about two seconds.
pub const REMOVAL_HOLD_US: u64 = 2_200_000;

/// From this time of failing calls on there may have been an outage in which entries lapsed.
const OUTAGE_FAILING_US: u64 = 1_000_000;

/// Holds back removals that a store outage may have caused.
///
/// Leases may lapse while the store is down, though the searchers live. Removals seen right after an outage
/// are told on only when the searchers have had time to register again.
#[derive(Clone, Debug)]
pub struct RemovalHold {
    /// From this age of the view on there may have been an outage.
    outage_age_us: u64,
    held: Vec<SearcherChange>,
    until_us: Option<u64>,
}

impl RemovalHold {
    /// Holds nothing back. A view that is older than `outage_age_us` tells of an outage.
    pub fn new(outage_age_us: u64) -> Self {
        Self { outage_age_us, held: Vec::new(), until_us: None }
    }

    /// The store has answered. `view_age_us` is how old the view was until then, and `failing_us` for how
    /// long this instance's own calls had failed. Either may tell of an outage: an instance that began to
    /// read at its end has seen little of it.
    pub fn record_answer(&mut self, now_us: u64, view_age_us: Option<u64>, failing_us: u64) {
        let is_old = view_age_us.is_some_and(|age_us| age_us >= self.outage_age_us);
        if is_old || failing_us >= OUTAGE_FAILING_US {
            self.until_us = Some(now_us + REMOVAL_HOLD_US);
        }
    }

    /// Passes changes on, but for removals that are held back.
    pub fn filter(&mut self, now_us: u64, changes: Vec<SearcherChange>) -> Vec<SearcherChange> {
        if self.until_us.is_none_or(|until_us| now_us >= until_us) {
            let mut released = std::mem::take(&mut self.held);
            self.until_us = None;
            released.extend(changes);
            return released;
        }
        let mut passed = Vec::new();
        for change in changes {
            self.held.retain(|held| held.id != change.id);
            match change.searcher {
                Some(_) => passed.push(change),
                None => self.held.push(change),
            }
        }
        passed
    }
}
