//! Whether an instance may trust the settings that it has in force.
//!
//! It may once it has announced itself to other instances and has then read the root. From the
//! announcement on they name it to every instance that asks for an acceptance, which then waits for
//! it; and a commit before the read is seen by the read.

use super::api;
use super::survey;

/// A longer time between two steps means that the process was paused.
pub(super) const PAUSE_THRESHOLD_MS: u64 = 3_000;

/// After this time without any contact a revision may have been missed.
const CONTACT_TIMEOUT_MS: u64 = 5_000;

/// How long to wait for the answers of half of the other instances, if some have answered.
const ANNOUNCE_WAIT_MS: u64 = 2_000;

/// How long to wait for any answer at all.
const ISOLATED_WAIT_MS: u64 = 10_000;

/// The first pause between two reads of the root; it doubles up to 8 times this.
const READ_PAUSE_MS: u64 = 500;

/// What is known of the other instances.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerEvidence {
    /// How many may serve.
    pub(super) expected: usize,
    /// How many of them have answered the survey.
    pub(super) answered: usize,
    /// How many of these were ready before.
    pub(super) previously_ready: usize,
    /// Whether the platform's list was read.
    pub(super) list_known: bool,
}

impl PeerEvidence {
    fn has_majority(self) -> bool {
        self.answered * 2 > self.expected
    }
}

/// The standing and the evidence for the next one.
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

    /// Starts gathering evidence again.
    pub(super) fn revalidate(&mut self, now_ms: u64, nonce: u64) {
        let standing = match self.standing {
            api::Standing::Starting => api::Standing::Starting,
            api::Standing::Revalidating | api::Standing::Fresh => api::Standing::Revalidating,
        };
        *self = Self { standing, ..Self::new(now_ms, nonce) };
    }

    /// Whether the time since the last step, or since the last contact, calls for a doubt.
    pub(super) fn must_revalidate(&self, pause_ms: u64, silence_ms: u64, has_peers: bool) -> bool {
        if pause_ms > PAUSE_THRESHOLD_MS {
            return true;
        }
        self.standing == api::Standing::Fresh && has_peers && silence_ms > CONTACT_TIMEOUT_MS
    }

    /// Notes the standing of an instance that answered the survey.
    pub(super) fn record_standing(&mut self, standing: api::Standing) {
        self.fresh_peer_seen |= standing == api::Standing::Fresh;
    }

    /// Notes that a read of the root succeeded.
    pub(super) fn record_root_read(&mut self, begun_ms: u64) {
        self.root_failed = false;
        if self.announced_at_ms.is_some_and(|announced| begun_ms >= announced) {
            self.root_read = true;
        }
    }

    /// Notes that a read of the root failed.
    pub(super) fn record_root_failure(&mut self) {
        self.root_failed = true;
    }

    /// Whether it is time to read the root.
    pub(super) fn try_start_read(&mut self, now_ms: u64) -> bool {
        if self.standing == api::Standing::Fresh || now_ms < self.next_read_ms {
            return false;
        }
        self.next_read_ms = now_ms + (READ_PAUSE_MS << self.read_attempts.min(3));
        self.read_attempts += 1;
        true
    }

    /// Notes who has answered; the first time that it is enough, the root is to be read again.
    pub(super) fn update_announced(&mut self, now_ms: u64, evidence: PeerEvidence) {
        if self.announced_at_ms.is_some() || !self.is_announced(now_ms, evidence) {
            return;
        }
        self.announced_at_ms = Some(now_ms);
        self.read_attempts = 0;
        self.next_read_ms = now_ms;
    }

    /// Whether the evidence is enough. The newest revision heard of must be in force besides.
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
        // The first few others known may all be starting too, unknown to those who collect answers.
        if !evidence.list_known && waited_ms < ANNOUNCE_WAIT_MS {
            return false;
        }
        if evidence.expected == 0 {
            return true;
        }
        let some = evidence.answered > 0 && waited_ms >= ANNOUNCE_WAIT_MS;
        evidence.has_majority() || some || waited_ms >= ISOLATED_WAIT_MS
    }
}
