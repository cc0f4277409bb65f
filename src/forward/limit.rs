//! The limits that searchers name: how many requests a second they take from all instances together.
//!
//! Each active instance takes a part of the limit, without coordination: instances in the searcher's region divide
//! most of it equally, those in other regions the rest. Within its part an instance sends at a steady rate with
//! small bursts.

use crate::forward::budget;
use compact_str::CompactString;
use std::fmt;
use std::str;
use xxhash_rust::xxh3;

/// The part of a limit that the active instances of the searcher's own region divide.
const HOME_SHARE: f64 = 0.8;
/// The smallest rate of an instance. A limit that is too low for all instances is divided among fewer of them.
const PART_MIN: RequestRate = RequestRate(0.5);
/// The smallest rate of an instance that has a part of a limit close to zero, to notice that it is lifted.
const PROBE_RATE: RequestRate = RequestRate(0.05);
/// The part of a limit that all instances without a part of their own divide.
const REMAINDER_SHARE: f64 = 0.05;
/// How many seconds of its rate an instance may send at once.
const BURST_S: f64 = 0.25;

/// A number of requests per second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

/// Why a text is not a [`RequestRate`].
#[derive(Debug, thiserror::Error)]
#[error("not a number of requests per second: {0}")]
pub struct RequestRateError(CompactString);

impl RequestRate {
    /// Requests per second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl str::FromStr for RequestRate {
    type Err = RequestRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.trim().parse::<f64>() {
            Ok(per_s) if per_s.is_finite() && per_s >= 0.0 => Ok(Self(per_s)),
            _ => Err(RequestRateError(text.into())),
        }
    }
}

/// An active instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sharer {
    /// A hash of its name.
    pub name_hash: u64,
    /// Its region.
    pub region: CompactString,
}

/// The instances that divide the limits of searchers.
#[derive(Clone, Debug, Default)]
pub struct Sharers {
    /// This instance; `None` if clients are not sent to it, so that it has no part.
    me: Option<Sharer>,
    /// All active instances.
    active: Vec<Sharer>,
    /// The part that remains because instances may be active that are not visible, from 0 to 1.
    visible_share: f64,
}

impl Sharers {
    /// Creates the sharers. `counted` is the number of active instances that have to be reckoned with, visible or
    /// not; `me` is this instance, if it is active or draining.
    pub fn new(me: Option<Sharer>, active: Vec<Sharer>, counted: u32) -> Self {
        let visible_share = (active.len() as f64 / f64::from(counted.max(1))).min(1.0);
        Self { me, active, visible_share }
    }

    /// Returns this instance's part of the limit of a searcher in `region`.
    pub fn part(&self, searcher: &str, region: &str, limit: RequestRate) -> RequestRate {
        let remainder_per_s = limit.per_s() * REMAINDER_SHARE / self.active.len().max(1) as f64;
        let Some(me) = &self.me else {
            return RequestRate(remainder_per_s);
        };
        let is_home = |sharer: &Sharer| sharer.region == region;
        let (mut home_count, mut other_count) = (0_usize, 0_usize);
        for sharer in &self.active {
            match is_home(sharer) {
                true => home_count += 1,
                false => other_count += 1,
            }
        }
        // A draining instance is not among the active ones, but still has a part.
        let (own_count, foreign_count, own_share) = match is_home(me) {
            true => (home_count.max(1), other_count, HOME_SHARE),
            false => (other_count.max(1), home_count, 1.0 - HOME_SHARE),
        };
        let own_share = if foreign_count == 0 { 1.0 } else { own_share };
        let pool_per_s = limit.per_s() * own_share * self.visible_share;
        let holder_count = ((pool_per_s / PART_MIN.per_s()) as usize).clamp(1, own_count);
        if holder_count < own_count {
            let rank =
                |sharer: &Sharer| xxh3::xxh3_64_with_seed(searcher.as_bytes(), sharer.name_hash);
            let my_rank = rank(me);
            let mut before_count = 0;
            for sharer in &self.active {
                let is_in_pool = is_home(sharer) == is_home(me) && sharer.name_hash != me.name_hash;
                before_count += usize::from(is_in_pool && rank(sharer) < my_rank);
            }
            if before_count >= holder_count {
                return RequestRate(remainder_per_s);
            }
        }
        RequestRate((pool_per_s / holder_count as f64).max(PROBE_RATE.per_s()))
    }
}

/// What an instance may send to one searcher at a rate.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    updated_us: u64,
}

impl TokenBucket {
    /// Creates a bucket that fills from now on.
    pub fn new(now_us: u64) -> Self {
        Self { tokens: 0.0, updated_us: now_us }
    }

    /// Returns from when a request of `priority` may be sent, [`u64::MAX`] if never. Less urgent requests leave a
    /// part of each burst to urgent ones.
    pub fn allows_from_us(&self, now_us: u64, rate: RequestRate, priority: u8) -> u64 {
        let needed = 1.0 + (burst(rate) - 1.0) * (1.0 - budget::priority_share(priority));
        let missing = needed - self.tokens(now_us, rate);
        if missing <= 0.0 {
            return now_us;
        }
        // A division by zero gives infinity, which the conversion saturates.
        now_us.saturating_add((missing / rate.per_s() * 1e6).ceil() as u64)
    }

    /// Takes the token of a request that is sent now.
    pub fn take(&mut self, now_us: u64, rate: RequestRate) {
        self.tokens = (self.tokens(now_us, rate) - 1.0).max(0.0);
        self.updated_us = now_us;
    }

    fn tokens(&self, now_us: u64, rate: RequestRate) -> f64 {
        let elapsed_s = now_us.saturating_sub(self.updated_us) as f64 / 1e6;
        (self.tokens + elapsed_s * rate.per_s()).min(burst(rate))
    }
}

/// How many requests may be sent at once.
fn burst(rate: RequestRate) -> f64 {
    (rate.per_s() * BURST_S).max(1.0)
}
