//! The state of running probes, and the local health score of Lifeguard.

use crate::ids;
use std::net;

/// The highest [`LocalHealth`] score.
const SCORE_MAX: u64 = 4;

/// A probe that this instance started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Probe {
    pub(super) target: ids::InstanceName,
    pub(super) sequence: u32,
    pub(super) start_ms: u64,
    /// When other members are asked to probe the target.
    pub(super) indirect_ms: u64,
    /// When the target becomes suspect.
    pub(super) end_ms: u64,
    /// How many other members were asked to probe the target.
    pub(super) ping_requests: usize,
    /// How many of them answered that they had no ack either.
    pub(super) nacks: usize,
}

/// An indirect probe that another member requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Relay {
    pub(super) target: ids::InstanceName,
    pub(super) sequence: u32,
    /// The address of the requester.
    pub(super) origin: net::SocketAddr,
    pub(super) origin_sequence: u32,
    /// When the requester gets a nack.
    pub(super) nack_ms: u64,
}

/// The local health score; 0 is healthy. A higher score means that missing answers may be this instance's own
/// fault, so probes and suspicions last longer.
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

    /// The factor for the probe period, the probe timeout and the duration of suspicions.
    pub(super) fn multiplier(self) -> u64 {
        1 + self.score
    }
}
