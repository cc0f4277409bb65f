//! The urgency ranks of requests.

use serde::{Deserialize, Serialize};

/// The number of ranks.
pub const RANK_COUNT: usize = 3;

/// The urgency of a request, most urgent first. More urgent ranks are served first.
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
    /// Requests whose delay costs the most.
    Urgent,
    /// Ordinary requests.
    Standard,
    /// Requests that may be delayed.
    Background,
}

impl Rank {
    /// All ranks, most urgent first.
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
