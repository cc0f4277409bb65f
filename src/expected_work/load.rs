//! The load that a searcher states in its answers.

use compact_str::CompactString;
use std::str;

/// The largest stated duration of work, in percent of the usual one, that is believed. A searcher that states more is
/// avoided as much as one that states this.
const PERCENT_MAX: u32 = 10_000;

/// The load of a searcher as stated in an answer: `RUNNING,WAITING,SLOTS[,PERCENT]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// The number of requests that are being processed.
    pub running: u32,
    /// The number of requests that wait for a slot.
    pub waiting: u32,
    /// The number of requests that are processed concurrently, at least 1.
    pub slots: u32,
    /// How long work takes on the searcher's machine now, in percent of the usual time, at least 1; `None` if it is not
    /// stated.
    pub percent: Option<u32>,
}

/// Why a text is not a [`Load`].
#[derive(Debug, thiserror::Error)]
#[error("not a load: {0}")]
pub struct LoadError(CompactString);

impl str::FromStr for Load {
    type Err = LoadError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or_else(|| LoadError(text.into()))
    }
}

fn parse(text: &str) -> Option<Load> {
    let mut figures = text.split(',').map(|figure| figure.trim().parse::<u32>().ok());
    let running = figures.next()??;
    let waiting = figures.next()??;
    let slots = figures.next()??;
    let percent = match figures.next() {
        None => None,
        Some(percent) => Some(percent?.min(PERCENT_MAX)),
    };
    if figures.next().is_some() || slots == 0 || percent == Some(0) {
        return None;
    }
    Some(Load { running, waiting, slots, percent })
}
