//! The limits of cold searchers: those that have just started, or say that they are slow for some time.
//!
//! All instances together may exceed a limit in any second by [`Tolerance`]. An instance that may send at a rate sends at
//! most one request more than that in a second, so not all instances can have a part of a small limit. Only a few, the
//! *holders*, send to a cold searcher. They are chosen for each searcher by rendezvous hashing among the active instances
//! of its region of the last minute.

use crate::discovery::config;
use crate::discovery::registry;
use crate::forward::limit;
use std::time;
use xxhash_rust::xxh3;

/// How many groups of instances in the searcher's region that do not know of each other may have holders of their own: one
/// in each of two failure domains that are partitioned from their start on.
const GROUPS: f64 = 2.0;
/// The requests in a second that are left to instances at the probe rate: one in each of two other regions.
const RESERVED: f64 = 2.0;
/// The part of a group's requests in a second that pays for the one request of each holder beyond its rate.
const HOLDERS_SHARE: f64 = 1.0 / 3.0;
/// The probe rate is the holders' total rate divided by this, at most [`PROBE_MAX_PER_S`]. It is that of an instance that
/// has lost sight of all others for [`RETENTION_US`], and of a single holder that knows of no instance in the searcher's
/// region.
const PROBE_DIVISOR: f64 = 8.0;
/// The highest probe rate.
const PROBE_MAX_PER_S: f64 = 1.0;
/// The smallest rate of all holders together, for limits close to zero.
const RATE_MIN_PER_S: f64 = 0.05;
/// How long an instance that is no longer visible keeps its part: it may be partitioned off and still serve.
const RETENTION_US: u64 = 60_000_000;
/// Two estimates of the end of the cold time are the same up to this difference. A renewal of an entry is read up to
/// this much later than it was written.
const END_TOLERANCE_MS: u64 = 2_500;

/// By how much the limit of a cold searcher may be exceeded in any second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The factor.
    pub overage: f64,
    /// A number of requests on top.
    pub slack: f64,
}

impl Default for Tolerance {
    fn default() -> Self {
        Self { overage: 1.5, slack: 5.0 }
    }
}

/// How a service's searchers are limited while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Requests per second that a cold searcher bears from all instances together; greater than 0.
    pub per_s: f64,
    /// For how long a searcher is cold after its start, in milliseconds.
    pub start_ms: u64,
}

impl Rule {
    /// Returns the rule of a service; `None` if its cold searchers have no limit.
    pub fn of(service: &config::Service) -> Option<Self> {
        let (per_s, start_ms) = (service.cold_per_s, service.cold_start_ms);
        (per_s > 0.0).then_some(Self { per_s, start_ms })
    }

    /// Returns until when, by the clock of `now_us`, a searcher is cold by its entry. `unix_ms` is the Unix time at
    /// `now_us`.
    pub fn cold_until_us(&self, now_us: u64, unix_ms: u64, entry: Entry) -> u64 {
        // The start is unknown if it is 0.
        let started_until_ms = match entry.boot_ms {
            0 => 0,
            boot_ms => boot_ms.saturating_add(self.start_ms),
        };
        let until_ms = entry.cold_until_ms.max(started_until_ms);
        now_us.saturating_add(until_ms.saturating_sub(unix_ms).saturating_mul(1_000))
    }
}

/// What a searcher's entry says of its cold time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Entry {
    /// Unix time of its start in milliseconds, 0 if unknown.
    pub boot_ms: u64,
    /// Unix time in milliseconds until which it is cold, 0 if it is not.
    pub cold_until_ms: u64,
}

/// The requests that a group of instances sends to one cold searcher.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Division {
    /// The largest number of holders.
    holder_count: usize,
    /// The rate of all holders together.
    per_s: f64,
}

impl Division {
    fn new(limit_per_s: f64, tolerance: Tolerance) -> Self {
        let most_in_a_second = limit_per_s * tolerance.overage + tolerance.slack - RESERVED;
        let most_in_a_second = (most_in_a_second / GROUPS).max(1.0);
        let holder_count = (most_in_a_second * HOLDERS_SHARE).floor().max(1.0);
        let per_s = (most_in_a_second - holder_count).min(limit_per_s).max(RATE_MIN_PER_S);
        Self { holder_count: holder_count as usize, per_s }
    }

    fn probe_per_s(&self) -> f64 {
        (self.per_s / PROBE_DIVISOR).min(PROBE_MAX_PER_S)
    }
}

#[derive(Clone, Debug)]
struct Known {
    sharer: limit::Sharer,
    /// Since when it is not visible; `None` if it is.
    missing_since_us: Option<u64>,
}

/// The instances among which the limits of cold searchers are divided.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    /// This instance; `None` if clients are not sent to it, so that it has no part.
    me: Option<limit::Sharer>,
    known: Vec<Known>,
    /// Whether another instance was ever active.
    has_known_others: bool,
}

impl Shares {
    /// Records the active instances. `me` is this instance, if it is active or draining.
    ///
    /// While one that was active within the last minute is not visible, new ones get no part: in a partition, all sides
    /// go on with the same instances. One that has never known of another gets none: any number of instances may start
    /// apart from each other.
    pub fn observe(&mut self, now_us: u64, me: Option<limit::Sharer>, active: &[limit::Sharer]) {
        let is_me =
            |sharer: &limit::Sharer| me.as_ref().is_some_and(|me| me.name_hash == sharer.name_hash);
        self.has_known_others |= active.iter().any(|sharer| !is_me(sharer));
        self.me = me;
        for known in &mut self.known {
            let is_visible = active.iter().any(|sharer| sharer.name_hash == known.sharer.name_hash);
            known.missing_since_us = match is_visible {
                true => None,
                false => Some(known.missing_since_us.unwrap_or(now_us)),
            };
        }
        self.known.retain(|known| {
            known.missing_since_us.is_none_or(|since_us| now_us - since_us < RETENTION_US)
        });
        if self.known.iter().any(|known| known.missing_since_us.is_some()) {
            return;
        }
        self.known.clear();
        for sharer in active {
            self.known.push(Known { sharer: sharer.clone(), missing_since_us: None });
        }
    }

    /// Returns how many requests a second this instance may send to a cold searcher in `region`; `None` if none.
    pub fn part_per_s(
        &self,
        searcher: &str,
        region: &str,
        limit_per_s: f64,
        tolerance: Tolerance,
    ) -> Option<f64> {
        let me = self.me.as_ref()?;
        let division = Division::new(limit_per_s, tolerance);
        let has_others = self.known.iter().any(|known| known.sharer.name_hash != me.name_hash);
        if !has_others {
            return self.has_known_others.then_some(division.probe_per_s());
        }
        let is_home = |known: &&Known| known.sharer.region == region;
        let home_count = self.known.iter().filter(is_home).count();
        let rank = |sharer: &limit::Sharer| {
            let hash = xxh3::xxh3_64_with_seed(searcher.as_bytes(), sharer.name_hash);
            (sharer.region != region, hash, sharer.name_hash)
        };
        let my_rank = rank(me);
        let is_known = self.known.iter().any(|known| known.sharer.name_hash == me.name_hash);
        let before_count = self.known.iter().filter(|known| rank(&known.sharer) < my_rank).count();
        let (holder_count, per_s) = match home_count {
            0 => (1, division.probe_per_s()),
            _ => (division.holder_count.min(home_count), division.per_s),
        };
        let is_holder = is_known && before_count < holder_count;
        is_holder.then_some(per_s / holder_count as f64)
    }
}

/// Returns the earliest time of the next request at a rate, after one at `last_us`.
pub fn next_us(last_us: u64, per_s: f64) -> u64 {
    last_us.saturating_add((1e6 / per_s).ceil() as u64)
}

/// Whether two entries of a searcher, each with the end of its cold time, are the same: the end is estimated again with
/// each renewal.
pub fn is_same_end(a_ms: u64, b_ms: u64) -> bool {
    (a_ms == 0) == (b_ms == 0) && a_ms.abs_diff(b_ms) <= END_TOLERANCE_MS
}

/// Removes the end of the cold time from searchers of services whose cold searchers have no limit, so that its changes
/// are not published.
pub fn strip(config: Option<&config::Config>, changes: &mut [registry::SearcherChange]) {
    for change in changes {
        let Some(searcher) = &mut change.searcher else {
            continue;
        };
        let service = config.and_then(|config| config.service(&searcher.service));
        if service.and_then(Rule::of).is_none() {
            searcher.cold_until_ms = 0;
        }
    }
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let since = time::SystemTime::now().duration_since(time::SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
