//! Probes that run, and how far this instance trusts its own judgement of others.

use crate::ids;
use std::net;

/// The highest [`Health`] score.
const SCORE_MAX: u64 = 4;

/// A probe of a member, for this instance's own sake.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Probe {
    pub(super) target: ids::InstanceName,
    pub(super) sequence: u32,
    pub(super) start_ms: u64,
    /// When others are asked.
    pub(super) indirect_ms: u64,
    /// When the member becomes suspect.
    pub(super) end_ms: u64,
    /// How many others were asked.
    pub(super) ping_requests: usize,
    /// How many of them said that they had no answer either.
    pub(super) nacks: usize,
}

/// A probe that another member asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Relay {
    pub(super) target: ids::InstanceName,
    pub(super) sequence: u32,
    /// Who asked, and its sequence.
    pub(super) origin: net::SocketAddr,
    pub(super) origin_sequence: u32,
    /// When the origin is told that there was no answer.
    pub(super) nack_ms: u64,
}

/// Doubt in this instance's own judgement: 0 is none. Probes and suspicions last longer with doubt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct LocalHealth {
    score: u64,
}

impl LocalHealth {
    pub(super) fn degrade(&mut self) {
        self.score = (self.score + 1).min(SCORE_MAX);
    }

    pub(super) fn set_worst(&mut self) {
        self.score = SCORE_MAX;
    }

    pub(super) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// What to multiply periods with.
    pub(super) fn multiplier(self) -> u64 {
        1 + self.score
    }
}
