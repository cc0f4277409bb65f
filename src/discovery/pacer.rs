//! Limits the rate at which an instance sends updates to its subscribers.
//!
//! A configuration for all instances of a region can be megabytes. Written at once, it would fill the queue of the
//! instance's link, and requests to searchers and answers to clients would wait behind it. Small updates have a lane of
//! their own, so that a searcher that leaves does not wait behind the configuration either.

use crate::locks;
use std::fmt;
use std::num;
use std::str;
use std::sync;
use std::time;
use tokio::time::Instant;

/// The share of the link that large updates may use.
const BULK_SHARE: f64 = 0.5;
/// The share of the link that small updates may use. The rest is left for requests and answers.
const URGENT_SHARE: f64 = 0.2;
/// The largest frame that counts as small.
const URGENT_MAX_BYTES: usize = 8 << 10;

/// A rate in bytes per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ByteRate(pub u64);

impl ByteRate {
    /// Converts a rate in megabits per second.
    pub fn from_mbps(mbps: f64) -> Self {
        Self((mbps * 1e6 / 8.0) as u64)
    }
}

impl fmt::Display for ByteRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl str::FromStr for ByteRate {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Schedules the frames to all subscribers one after the other, small and large ones apart.
#[derive(Debug)]
pub struct Pacer {
    urgent: Lane,
    bulk: Lane,
}

/// The frames of one kind.
#[derive(Debug)]
struct Lane {
    /// Their rate; `None` if it is not limited.
    rate: Option<ByteRate>,
    /// When the last reserved slot ends.
    free_at: sync::Mutex<Instant>,
}

/// The time reserved for one frame.
#[derive(Clone, Copy, Debug)]
pub struct Slot {
    start: Instant,
    rate: Option<ByteRate>,
}

impl Pacer {
    /// Creates a pacer for updates over `link`, the rate of this instance's link; `None` if that is not known.
    pub fn new(link: Option<ByteRate>) -> Self {
        Self { urgent: Lane::new(link, URGENT_SHARE), bulk: Lane::new(link, BULK_SHARE) }
    }

    /// Whether a frame of `byte_count` bytes is sent ahead of large ones.
    pub fn is_urgent(byte_count: usize) -> bool {
        byte_count <= URGENT_MAX_BYTES
    }

    /// Reserves the next free slot for a frame of `byte_count` bytes, ahead of large frames if `is_urgent`.
    pub fn reserve(&self, byte_count: usize, is_urgent: bool) -> Slot {
        let lane = if is_urgent { &self.urgent } else { &self.bulk };
        lane.reserve(byte_count)
    }
}

impl Lane {
    fn new(link: Option<ByteRate>, share: f64) -> Self {
        let rate = link.map(|link| ByteRate(((link.0 as f64 * share) as u64).max(1)));
        Self { rate, free_at: sync::Mutex::new(Instant::now()) }
    }

    fn reserve(&self, byte_count: usize) -> Slot {
        let mut free_at = locks::lock(&self.free_at);
        let slot = Slot { start: Instant::now().max(*free_at), rate: self.rate };
        *free_at = slot.send_at(byte_count);
        slot
    }
}

impl Slot {
    /// When the byte at `offset` of the frame may be sent.
    pub fn send_at(&self, offset: usize) -> Instant {
        let Some(rate) = self.rate else {
            return self.start;
        };
        self.start + time::Duration::from_secs_f64(offset as f64 / rate.0 as f64)
    }
}
