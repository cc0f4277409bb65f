//! The three ranks of work.

use serde::{Deserialize, Serialize};

/// How many ranks there are.
pub const RANK_COUNT: usize = 3;

/// The urgency of a request. The order is the order of service: `Urgent` is first.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Rank {
    /// Work whose delay costs the most.
    Urgent,
    /// Ordinary work.
    Standard,
    /// Work that may wait.
    Background,
}

impl Rank {
    /// All ranks, in the order of service.
    pub const ALL: [Rank; RANK_COUNT] = [Rank::Urgent, Rank::Standard, Rank::Background];

    /// The position in [`Rank::ALL`].
    pub fn index(self) -> usize {
        match self {
            Rank::Urgent => 0,
            Rank::Standard => 1,
            Rank::Background => 2,
        }
    }
}
