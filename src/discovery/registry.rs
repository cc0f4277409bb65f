//! The searchers listed in the platform's store.
//!
//! Several readers report the same searchers at different times. Each report carries the store revision of
//! the change, and the highest revision wins, so reports may arrive in any order and more than once.

use crate::discovery::config;
use crate::placement::cold;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::hash::Hash;
use std::hash::Hasher as _;
use std::net;
use xxhash_rust::xxh3;

/// How many times the platform's store has been restored from an older copy.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl std::fmt::Display for StoreEra {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl std::str::FromStr for StoreEra {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A revision of the platform's store. A restored store issues numbers again that it had issued before, so revisions
/// are ordered by era first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// The era in which the number was issued.
    pub era: StoreEra,
    /// The number.
    pub number: u64,
}

impl StoreRevision {
    /// Creates a revision.
    pub fn new(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }
}

impl std::fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}", self.era, self.number)
    }
}

/// Why a text is not a [`StoreRevision`].
#[derive(Debug, thiserror::Error)]
#[error("expected ERA:NUMBER, found {0:?}")]
pub struct StoreRevisionError(CompactString);

impl std::str::FromStr for StoreRevision {
    type Err = StoreRevisionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || StoreRevisionError(text.into());
        let (era, number) = text.split_once(':').ok_or_else(error)?;
        let era = era.parse().map_err(|_| error())?;
        Ok(Self { era, number: number.parse().map_err(|_| error())? })
    }
}

/// Whether a searcher accepts new requests.
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
    /// It accepts requests.
    Ready,
    /// It is shutting down and accepts no new requests.
    Draining,
}

/// A searcher's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Searcher {
    /// The service it belongs to.
    pub service: config::ServiceName,
    /// The address it listens on.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: CompactString,
    /// How many requests it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: SearcherState,
    /// Unix time of its start in milliseconds, 0 if unknown; distinguishes two processes with the same id.
    pub boot_ms: u64,
    /// Unix time in milliseconds until which it is cold, 0 if it is not. It is an estimate of the instance that read the
    /// entry.
    pub cold_until_ms: u64,
}

impl Searcher {
    /// Whether nothing has changed but the estimate of the end of the cold time.
    fn is_same(&self, other: &Self) -> bool {
        let same_end = Self { cold_until_ms: other.cold_until_ms, ..self.clone() };
        same_end == *other && cold::is_same_end(self.cold_until_ms, other.cold_until_ms)
    }
}

/// The state of a searcher id at a store revision: a report, or a record of the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearcherChange {
    /// The searcher's id.
    pub id: CompactString,
    /// The store revision at which it got this state.
    pub revision: StoreRevision,
    /// The searcher; `None` if it was removed or its entry can't be decoded.
    pub searcher: Option<Searcher>,
}

/// A hash of the searchers in a registry, for finding out whether two registries differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub u64);

/// All known searchers.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// Sorted by id. Removed ids stay, so that an older report can't bring them back.
    records: Vec<SearcherChange>,
}

impl Registry {
    /// Applies a report. Returns whether the searcher changed; a newer revision alone does not count.
    pub fn apply(&mut self, change: &SearcherChange) -> bool {
        let found = self.records.binary_search_by(|record| record.id.cmp(&change.id));
        match found {
            Ok(at) => {
                let record = &mut self.records[at];
                if change.revision <= record.revision {
                    return false;
                }
                record.revision = change.revision;
                let is_same = match (&record.searcher, &change.searcher) {
                    (Some(known), Some(searcher)) => known.is_same(searcher),
                    (known, searcher) => known == searcher,
                };
                if is_same {
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

    /// Returns a removal for each searcher that is missing in `all`, the records of another registry or the store, sorted
    /// by id, which are complete as of a store revision.
    pub fn removals_missing_in(
        &self,
        all: &[SearcherChange],
        as_of: StoreRevision,
    ) -> Vec<SearcherChange> {
        let mut removals = Vec::new();
        for record in &self.records {
            let is_present = all.binary_search_by(|change| change.id.cmp(&record.id)).is_ok();
            if is_present || record.searcher.is_none() || record.revision >= as_of {
                continue;
            }
            removals.push(SearcherChange {
                id: record.id.clone(),
                revision: as_of,
                searcher: None,
            });
        }
        removals
    }

    /// Whether `change`, from a complete read of the store, is older than what was known before the store was restored:
    /// it lists a searcher as ready that was draining or gone, or an earlier process of one that has restarted. A searcher
    /// that is alive renews its entry, which is seen as a change after the read.
    pub fn is_superseded(&self, change: &SearcherChange) -> bool {
        let Some(record) = self.get(&change.id) else {
            return false;
        };
        let Some(new) = change.searcher.as_ref() else {
            return false;
        };
        if record.revision.era >= change.revision.era {
            return false;
        }
        match &record.searcher {
            None => new.state == SearcherState::Ready,
            Some(known) if known.boot_ms == new.boot_ms => {
                known.state == SearcherState::Draining && new.state == SearcherState::Ready
            }
            Some(known) => new.boot_ms < known.boot_ms,
        }
    }

    /// Whether `change` removes a searcher that was last seen in an earlier era of the store: the restored copy may lack
    /// it although it is alive.
    pub fn is_removal_by_restore(&self, change: &SearcherChange) -> bool {
        let known = self.get(&change.id).filter(|record| record.searcher.is_some());
        change.searcher.is_none()
            && known.is_some_and(|record| record.revision.era < change.revision.era)
    }

    /// The record of a searcher id.
    pub fn get(&self, id: &str) -> Option<&SearcherChange> {
        let at = self.records.binary_search_by(|record| record.id.as_str().cmp(id)).ok()?;
        self.records.get(at)
    }

    /// All records, sorted by id.
    pub fn records(&self) -> &[SearcherChange] {
        &self.records
    }

    /// Hashes the searchers without their revisions and the ends of their cold times: these change whenever a searcher
    /// renews its entry, so they differ between readers.
    pub fn digest(&self) -> Digest {
        let mut hasher = xxh3::Xxh3::new();
        for record in &self.records {
            if let Some(searcher) = &record.searcher {
                let cold_until_ms = u64::from(searcher.cold_until_ms > 0);
                record.id.hash(&mut hasher);
                Searcher { cold_until_ms, ..searcher.clone() }.hash(&mut hasher);
            }
        }
        Digest(hasher.finish())
    }

    /// The number of searchers that have not been removed.
    pub fn live_count(&self) -> usize {
        self.records.iter().filter(|record| record.searcher.is_some()).count()
    }
}

/// What the store accepted since all searchers were last known.
#[derive(Clone, Copy, Debug)]
pub struct StoreProgress {
    /// The time since then.
    pub elapsed_us: u64,
    /// How much the store's revision has increased.
    pub revision_count: u64,
    /// How many removals were among the changes.
    pub removal_count: usize,
    /// How many searchers there were.
    pub searcher_count: usize,
    /// How often a searcher renews its entry.
    pub renewal_period_us: u64,
}

impl StoreProgress {
    /// Whether no entry of a live searcher can have lapsed: an entry lapses after three periods without a renewal, and
    /// the store was not down for more than two.
    ///
    /// Right after an outage each searcher may have renewed its entry at once, so one renewal of each may be missing
    /// when the store was up all the time, and no more.
    pub fn rules_out_lapses(&self) -> bool {
        let periods = self.elapsed_us as f64 / self.renewal_period_us.max(1) as f64;
        let renewals = self.revision_count.saturating_sub(self.removal_count as u64);
        periods <= 2.0 || renewals as f64 >= (periods - 1.0) * self.searcher_count as f64
    }
}

/// How long after a store outage removals are held back. The platform promises that the entries of live
/// searchers are back within about two seconds.
pub const REMOVAL_HOLD_US: u64 = 2_200_000;

/// Calls that failed for at least this long indicate an outage in which entries may have expired.
const OUTAGE_FAILING_US: u64 = 1_000_000;

/// Holds back removals that may have been caused by a store outage.
///
/// Leases of live searchers may expire while the store is down. Removals seen right after an outage are
/// passed on only once the searchers have had time to register again.
#[derive(Clone, Debug)]
pub struct RemovalHold {
    /// A view of at least this age indicates an outage.
    outage_age_us: u64,
    held: Vec<SearcherChange>,
    until_us: Option<u64>,
    /// The last era whose start began a hold.
    restored_era: StoreEra,
}

impl RemovalHold {
    /// Creates an inactive hold. A view of at least `outage_age_us` indicates an outage.
    pub fn new(outage_age_us: u64) -> Self {
        Self { outage_age_us, held: Vec::new(), until_us: None, restored_era: StoreEra::default() }
    }

    /// Records that the store has answered. `view_age_us` is the age of the view before the answer,
    /// `failing_us` the time for which this instance's own calls had failed. Either may indicate an outage:
    /// an instance that became a reader near the end of one has seen few failed calls.
    pub fn record_answer(&mut self, now_us: u64, view_age_us: Option<u64>, failing_us: u64) {
        let is_view_stale = view_age_us.is_some_and(|age_us| age_us >= self.outage_age_us);
        if is_view_stale || failing_us >= OUTAGE_FAILING_US {
            self.until_us = Some(now_us + REMOVAL_HOLD_US);
        }
    }

    /// Records that the store lacks searchers since it was restored to begin `era`. They have had an outage's time to
    /// register again, counted from the first such read.
    pub fn record_restore(&mut self, now_us: u64, era: StoreEra) {
        if self.restored_era >= era {
            return;
        }
        self.restored_era = era;
        self.until_us = Some(now_us + REMOVAL_HOLD_US);
    }

    /// Returns the changes to apply now: `changes` without the removals to hold back or, once the hold is
    /// over, the held removals followed by `changes`.
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
