//! The state machine with which an owner tracks the health of a searcher. It does no I/O and reads
//! no clock.
//!
//! Status answers can be late or wrong. A reply or refusal that says the searcher is draining takes
//! precedence over them.

use crate::peer_api;
use crate::peers;
use crate::searcher_api;
use crate::snapshot;

/// The number of consecutive failed probes after which a searcher is unreachable.
const PROBE_FAILURES_MAX: u32 = 2;

/// How long a searcher that announced its drain in a reply or refusal gets no work although its
/// status says ready. A failed probe, which is a sign of a restart, or a status other than ready ends
/// this sooner.
pub const DRAINING_HOLD_MS: u64 = 600_000;

/// The health and holdings of a searcher.
#[derive(Debug)]
pub struct Tracker {
    health: peer_api::Health,
    holdings: Vec<snapshot::Holding>,
    failed_probes: u32,
    draining_until_ms: u64,
    last_report: Option<peer_api::SearcherReport>,
}

impl Default for Tracker {
    fn default() -> Self {
        Self {
            health: peer_api::Health::Starting,
            holdings: Vec::new(),
            failed_probes: 0,
            draining_until_ms: 0,
            last_report: None,
        }
    }
}

impl Tracker {
    /// The searcher's current health.
    pub fn health(&self) -> peer_api::Health {
        self.health
    }

    /// The last report returned by [`Tracker::observe`].
    pub fn last_report(&self) -> Option<&peer_api::SearcherReport> {
        self.last_report.as_ref()
    }

    /// Records that a reply or refusal of the searcher said that it is draining.
    pub fn record_draining(&mut self, now_ms: u64) {
        self.health = peer_api::Health::Draining;
        self.draining_until_ms = now_ms + DRAINING_HOLD_MS;
    }

    /// Processes the result of a status probe; `None` is a failed probe. Returns a report if
    /// something has changed, or if another owner's observation is newer than the last report.
    pub fn observe(
        &mut self,
        now_ms: u64,
        listed: &peers::ListedSearcher,
        status: Option<searcher_api::StatusReply>,
        known_observation: u64,
    ) -> Option<peer_api::SearcherReport> {
        match status {
            None => self.record_probe_failure(),
            Some(status) => self.record_status(now_ms, listed.leaving, status),
        }
        let unchanged = self.last_report.as_ref().is_some_and(|last_report| {
            last_report.observation >= known_observation
                && last_report.health == self.health
                && last_report.holdings == self.holdings
        });
        if unchanged {
            return None;
        }
        let report = peer_api::SearcherReport {
            searcher: listed.searcher.clone(),
            service: listed.service.clone(),
            observation: known_observation + 1,
            health: self.health,
            holdings: self.holdings.clone(),
        };
        self.last_report = Some(report.clone());
        Some(report)
    }

    fn record_probe_failure(&mut self) {
        self.failed_probes += 1;
        self.draining_until_ms = 0;
        if self.failed_probes >= PROBE_FAILURES_MAX {
            self.health = peer_api::Health::Unreachable;
        }
    }

    fn record_status(&mut self, now_ms: u64, leaving: bool, status: searcher_api::StatusReply) {
        let hold_active = now_ms < self.draining_until_ms;
        self.failed_probes = 0;
        self.holdings = status.holdings;
        if status.state != searcher_api::SearcherState::Ready {
            // A status other than ready is no older than the drain, so the hold ends.
            self.draining_until_ms = 0;
        }
        self.health = match status.state {
            _ if hold_active || leaving => peer_api::Health::Draining,
            searcher_api::SearcherState::Draining => peer_api::Health::Draining,
            searcher_api::SearcherState::Starting => peer_api::Health::Starting,
            searcher_api::SearcherState::Ready => peer_api::Health::Ready,
        };
    }
}
