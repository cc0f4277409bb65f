//! The status that a backend server reports, which faults can delay or falsify.

use super::config;
use std::collections;
use tarragondoor::searcher_api;

/// How many past statuses are kept.
const SAMPLES_MAX: usize = 1024;

/// The actual statuses of the recent past, oldest first, each with its time in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct History(collections::VecDeque<(u64, searcher_api::StatusReply)>);

impl History {
    /// Records the actual status at `now_ms`.
    pub fn record(&mut self, now_ms: u64, actual: searcher_api::StatusReply) {
        if self.0.len() >= SAMPLES_MAX {
            self.0.pop_front();
        }
        self.0.push_back((now_ms, actual));
    }

    /// Returns the newest status that is at least `lag_ms` old, or else the oldest one; `None` if
    /// nothing was recorded. Drops older ones.
    pub fn lagged(&mut self, now_ms: u64, lag_ms: u64) -> Option<searcher_api::StatusReply> {
        let old_count = self.0.partition_point(|(at_ms, _)| at_ms.saturating_add(lag_ms) <= now_ms);
        self.0.drain(..old_count.saturating_sub(1));
        self.0.front().map(|(_, status)| status.clone())
    }
}

/// Replaces the parts of `status` that `faults` falsifies.
pub fn apply_claims(status: &mut searcher_api::StatusReply, faults: &config::Faults) {
    if faults.claim_ready {
        status.state = searcher_api::SearcherState::Ready;
    }
    if faults.claim_idle {
        status.load = searcher_api::Load::default();
    }
    if let Some(holdings) = &faults.claim_holdings {
        status.holdings = holdings.clone();
    }
}
