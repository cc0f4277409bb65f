//! Decides whether this instance's settings in force are current.
//!
//! They are once it has announced itself by querying the other instances, has read the root after that,
//! and has the newest known revision in force. From the announcement on, the other instances list it in
//! their replies to every instance that collects confirmations, which then waits for it. A commit before
//! the read is seen by the read.
//!
//! [`Readiness::is_sufficient`] lists what may replace the read of the root.

use super::api;
use super::survey;

/// A longer time between two steps means that the process was paused.
pub(super) const PAUSE_THRESHOLD_MS: u64 = 3_000;

/// A revision may have been missed after this time without contact to the platform or any other instance.
const CONTACT_TIMEOUT_MS: u64 = 5_000;

/// How long to wait for replies of a majority of the other instances if some have replied, and for the
/// platform's list.
const ANNOUNCE_WAIT_MS: u64 = 2_000;

/// How long to wait if no instance replies.
const ISOLATED_WAIT_MS: u64 = 10_000;

/// The first interval between two reads of the root; it doubles up to 8 times this value.
const READ_INTERVAL_MIN_MS: u64 = 500;

/// Counts of the other instances that the decision depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerEvidence {
    /// How many may serve, at least the configured minimum.
    pub(super) expected: usize,
    /// How many have replied to the survey.
    pub(super) replied: usize,
    /// How many of those that have replied have been ready in their present boot.
    pub(super) previously_ready: usize,
    /// Whether the platform's list is known.
    pub(super) list_known: bool,
}

impl PeerEvidence {
    fn has_majority(self) -> bool {
        self.replied * 2 > self.expected
    }
}

/// The current standing and the evidence gathered for becoming ready.
#[derive(Clone, Debug)]
pub(super) struct Readiness {
    pub(super) standing: api::Standing,
    pub(super) survey: survey::Survey,
    started_ms: u64,
    announced_at_ms: Option<u64>,
    root_read: bool,
    root_failed: bool,
    fresh_peer_seen: bool,
    read_attempts: u32,
    next_read_ms: u64,
}

impl Readiness {
    pub(super) fn new(now_ms: u64, nonce: u64) -> Self {
        Self {
            standing: api::Standing::Starting,
            survey: survey::Survey::new(nonce),
            started_ms: now_ms,
            announced_at_ms: None,
            root_read: false,
            root_failed: false,
            fresh_peer_seen: false,
            read_attempts: 0,
            next_read_ms: now_ms,
        }
    }

    /// Discards the evidence and starts to gather it again.
    pub(super) fn revalidate(&mut self, now_ms: u64, nonce: u64) {
        let standing = match self.standing {
            api::Standing::Starting => api::Standing::Starting,
            api::Standing::Revalidating | api::Standing::Fresh => api::Standing::Revalidating,
        };
        *self = Self { standing, ..Self::new(now_ms, nonce) };
    }

    /// Whether a revision may have been missed, judging by the time since the last step and the last contact.
    pub(super) fn must_revalidate(&self, pause_ms: u64, silence_ms: u64, has_peers: bool) -> bool {
        if pause_ms > PAUSE_THRESHOLD_MS {
            return true;
        }
        self.standing == api::Standing::Fresh && has_peers && silence_ms > CONTACT_TIMEOUT_MS
    }

    /// Records the standing of an instance that replied to the survey.
    pub(super) fn record_standing(&mut self, standing: api::Standing) {
        self.fresh_peer_seen |= standing == api::Standing::Fresh;
    }

    /// Records a successful read of the root; it counts only if it began after the announcement.
    pub(super) fn record_root_read(&mut self, begun_ms: u64) {
        self.root_failed = false;
        if self.announced_at_ms.is_some_and(|announced| begun_ms >= announced) {
            self.root_read = true;
        }
    }

    /// Records a failed read of the root.
    pub(super) fn record_root_failure(&mut self) {
        self.root_failed = true;
    }

    /// Whether a read of the root is due; if so, schedules the next one.
    pub(super) fn try_start_read(&mut self, now_ms: u64) -> bool {
        if self.standing == api::Standing::Fresh || now_ms < self.next_read_ms {
            return false;
        }
        self.next_read_ms = now_ms + (READ_INTERVAL_MIN_MS << self.read_attempts.min(3));
        self.read_attempts += 1;
        true
    }

    /// Marks this instance as announced once enough instances have replied or the wait is over, and
    /// schedules a read of the root.
    pub(super) fn update_announced(&mut self, now_ms: u64, evidence: PeerEvidence) {
        if self.announced_at_ms.is_some() || !self.is_announced(now_ms, evidence) {
            return;
        }
        self.announced_at_ms = Some(now_ms);
        self.read_attempts = 0;
        self.next_read_ms = now_ms;
    }

    /// Whether the evidence suffices to be ready. The caller also requires that the newest known revision
    /// is in force.
    ///
    /// One of these suffices: a read of the root that began after the announcement; a reply of a fresh
    /// instance, if this one was ready before in this boot; or, if the last read of the root failed, replies
    /// of a majority and at least one fresh instance, or replies of a majority of instances each of which
    /// has been ready in its present boot.
    pub(super) fn is_sufficient(&self, evidence: PeerEvidence) -> bool {
        if self.root_read {
            return true;
        }
        let was_ready = self.standing == api::Standing::Revalidating;
        if was_ready && self.fresh_peer_seen {
            return true;
        }
        if !self.root_failed {
            return false;
        }
        (self.fresh_peer_seen && evidence.has_majority())
            || evidence.previously_ready * 2 > evidence.expected
    }

    fn is_announced(&self, now_ms: u64, evidence: PeerEvidence) -> bool {
        let waited_ms = now_ms.saturating_sub(self.started_ms);
        // The few instances known at first may all be starting too. An instance that collects confirmations
        // may know none of them, and would then not learn of this one.
        if !evidence.list_known && waited_ms < ANNOUNCE_WAIT_MS {
            return false;
        }
        if evidence.expected == 0 {
            return true;
        }
        let some_after_wait = evidence.replied > 0 && waited_ms >= ANNOUNCE_WAIT_MS;
        evidence.has_majority() || some_after_wait || waited_ms >= ISOLATED_WAIT_MS
    }
}
