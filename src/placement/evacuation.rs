//! The evacuated zones: failure domains to whose searchers the operator wants nothing to be sent.

use crate::discovery::registry;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::hash::Hash as _;
use std::hash::Hasher as _;
use xxhash_rust::xxh3;

/// A change of one zone in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The failure domain.
    pub zone: CompactString,
    /// Whether it is evacuated from this change on.
    pub is_evacuated: bool,
}

/// What a call to the store returned about the evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Read {
    /// Nothing: evacuations are not watched.
    #[default]
    Unwatched,
    /// All evacuated zones.
    Complete(Vec<CompactString>),
    /// The changes since the revision from which the store was watched, in order.
    Changes(Vec<Change>),
}

/// The evacuated zones as another instance knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The store revision as of which [`Snapshot::zones`] are complete.
    pub as_of: registry::StoreRevision,
    /// The zones in the store.
    pub zones: Vec<CompactString>,
    /// Zones that are missing since the store was restored, and for how much longer they are kept, in microseconds.
    pub held: Vec<(CompactString, u64)>,
}

/// A hash of the zones in the store, for finding out whether two instances know the same ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(u64);

/// What an instance states in each heartbeat: the revision as of which its zones are complete, and their digest.
pub type Summary = (registry::StoreRevision, Digest);

/// The evacuated zones as of a store revision. The newest revision wins.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Zones {
    as_of: registry::StoreRevision,
    /// Those in the store, sorted.
    stored: Vec<CompactString>,
    /// Those that are missing since the store was restored, and when they count as removed.
    held: Vec<(CompactString, u64)>,
}

impl Zones {
    /// Returns the zones after `read`, which is complete as of `as_of`; `self` if that is not newer. `is_restored` is
    /// whether the store was restored from an older copy since [`Zones::as_of`]: zones that are missing may have been lost
    /// with it, so they are kept for [`registry::REMOVAL_HOLD_US`].
    pub fn apply(
        &self,
        now_us: u64,
        as_of: registry::StoreRevision,
        read: &Read,
        is_restored: bool,
    ) -> Self {
        if as_of <= self.as_of {
            return self.clone();
        }
        let mut stored = match read {
            Read::Unwatched => return self.clone(),
            Read::Complete(zones) => zones.clone(),
            Read::Changes(_) => self.stored.clone(),
        };
        let mut held = self.held.clone();
        if let Read::Changes(changes) = read {
            for change in changes {
                stored.retain(|zone| *zone != change.zone);
                // A removal that the store reports is one by the operator.
                held.retain(|(zone, _)| *zone != change.zone);
                if change.is_evacuated {
                    stored.push(change.zone.clone());
                }
            }
        }
        stored.sort();
        stored.dedup();
        if is_restored {
            held.retain(|(_, until_us)| now_us < *until_us);
            for zone in self.effective(now_us) {
                hold(&mut held, zone, now_us + registry::REMOVAL_HOLD_US);
            }
        }
        held.retain(|(zone, until_us)| now_us < *until_us && !stored.contains(zone));
        Self { as_of, stored, held }
    }

    /// Returns the zones after those of another instance are received, `self` if these are not newer.
    pub fn receive(&self, now_us: u64, snapshot: &Snapshot, is_restored: bool) -> Self {
        if snapshot.as_of <= self.as_of {
            return self.clone();
        }
        let read = Read::Complete(snapshot.zones.clone());
        let mut zones = self.apply(now_us, snapshot.as_of, &read, is_restored);
        for (zone, left_us) in &snapshot.held {
            if !zones.stored.contains(zone) {
                let left_us = (*left_us).min(registry::REMOVAL_HOLD_US);
                hold(&mut zones.held, zone.clone(), now_us.saturating_add(left_us));
            }
        }
        zones
    }

    /// The store revision as of which the zones are complete.
    pub fn as_of(&self) -> registry::StoreRevision {
        self.as_of
    }

    /// Returns the zones that get no requests, sorted.
    pub fn effective(&self, now_us: u64) -> Vec<CompactString> {
        let mut zones = self.stored.clone();
        for (zone, until_us) in &self.held {
            if now_us < *until_us {
                zones.push(zone.clone());
            }
        }
        zones.sort();
        zones.dedup();
        zones
    }

    /// Returns what to send to other instances.
    pub fn snapshot(&self, now_us: u64) -> Snapshot {
        let mut held = Vec::new();
        for (zone, until_us) in &self.held {
            if now_us < *until_us {
                held.push((zone.clone(), until_us - now_us));
            }
        }
        Snapshot { as_of: self.as_of, zones: self.stored.clone(), held }
    }

    /// Returns what to state in heartbeats.
    pub fn summary(&self) -> Summary {
        let mut hasher = xxh3::Xxh3::new();
        self.stored.hash(&mut hasher);
        (self.as_of, Digest(hasher.finish()))
    }

    /// Handles another instance's summary. Returns whether its zones are to be requested: they are newer and differ.
    pub fn compare(&mut self, theirs: Summary) -> bool {
        let (as_of, digest) = theirs;
        if as_of <= self.as_of {
            return false;
        }
        if digest == self.summary().1 {
            self.as_of = as_of;
            return false;
        }
        true
    }
}

/// Keeps a zone until `until_us` at least.
fn hold(held: &mut Vec<(CompactString, u64)>, zone: CompactString, until_us: u64) {
    match held.iter_mut().find(|(known, _)| *known == zone) {
        Some((_, known_us)) => *known_us = until_us.max(*known_us),
        None => held.push((zone, until_us)),
    }
}
