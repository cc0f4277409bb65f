//! Whether an instance may trust the settings that it has in force.
//!
//! It may once it has announced itself to other instances and has then read the root. From the
//! announcement on they name it to every instance that asks for an acceptance, which then waits for
//! it; and a commit before the read is seen by the read.

use super::api;
use super::survey;

/// A longer time between two steps means that the process was paused.
pub(super) const PAUSE_MS: u64 = 3_000;

/// After this time without any contact a revision may have been missed.
const SILENCE_MS: u64 = 5_000;

/// How long to wait for the answers of half of the other instances, if some have answered.
const ANNOUNCE_WAIT_MS: u64 = 2_000;

/// How long to wait for any answer at all.
const ISOLATED_WAIT_MS: u64 = 10_000;

/// The first pause between two reads of the root; it doubles up to 8 times this.
const READ_PAUSE_MS: u64 = 500;

/// What is known of the other instances.
#[derive(Clone, Copy, Debug)]
pub(super) struct Others {
    /// How many may serve.
    pub(super) known: usize,
    /// How many of them have answered the survey.
    pub(super) answered: usize,
    /// How many of these were ready before.
    pub(super) veterans: usize,
    /// Whether the platform's list was read.
    pub(super) list_known: bool,
}

impl Others {
    fn majority(self) -> bool {
        self.answered * 2 > self.known
    }
}

/// The standing and the evidence for the next one.
#[derive(Clone, Debug)]
pub(super) struct Readiness {
    pub(super) standing: api::Standing,
    pub(super) survey: survey::Survey,
    since_ms: u64,
    announced_at_ms: Option<u64>,
    root_read: bool,
    root_failed: bool,
    fresh_heard: bool,
    reads: u32,
    read_at_ms: u64,
}

impl Readiness {
    pub(super) fn new(now_ms: u64, nonce: u64) -> Self {
        Self {
            standing: api::Standing::Starting,
            survey: survey::Survey::new(nonce),
            since_ms: now_ms,
            announced_at_ms: None,
            root_read: false,
            root_failed: false,
            fresh_heard: false,
            reads: 0,
            read_at_ms: now_ms,
        }
    }

    /// Starts gathering evidence again.
    pub(super) fn doubt(&mut self, now_ms: u64, nonce: u64) {
        let standing = match self.standing {
            api::Standing::Starting => api::Standing::Starting,
            api::Standing::Doubting | api::Standing::Fresh => api::Standing::Doubting,
        };
        *self = Self { standing, ..Self::new(now_ms, nonce) };
    }

    /// Whether the time since the last step, or since the last contact, calls for a doubt.
    pub(super) fn must_doubt(&self, pause_ms: u64, silence_ms: u64, others: bool) -> bool {
        if pause_ms > PAUSE_MS {
            return true;
        }
        self.standing == api::Standing::Fresh && others && silence_ms > SILENCE_MS
    }

    /// Notes the standing of an instance that answered the survey.
    pub(super) fn heard(&mut self, standing: api::Standing) {
        self.fresh_heard |= standing == api::Standing::Fresh;
    }

    /// Notes that a read of the root succeeded.
    pub(super) fn root_read(&mut self, begun_ms: u64) {
        self.root_failed = false;
        if self.announced_at_ms.is_some_and(|announced| begun_ms >= announced) {
            self.root_read = true;
        }
    }

    /// Notes that a read of the root failed.
    pub(super) fn root_failed(&mut self) {
        self.root_failed = true;
    }

    /// Whether it is time to read the root.
    pub(super) fn read_due(&mut self, now_ms: u64) -> bool {
        if self.standing == api::Standing::Fresh || now_ms < self.read_at_ms {
            return false;
        }
        self.read_at_ms = now_ms + (READ_PAUSE_MS << self.reads.min(3));
        self.reads += 1;
        true
    }

    /// Notes who has answered; the first time that it is enough, the root is to be read again.
    pub(super) fn announce(&mut self, now_ms: u64, others: Others) {
        if self.announced_at_ms.is_some() || !self.is_announced(now_ms, others) {
            return;
        }
        self.announced_at_ms = Some(now_ms);
        self.reads = 0;
        self.read_at_ms = now_ms;
    }

    /// Whether the evidence is enough. The newest revision heard of must be in force besides.
    pub(super) fn is_enough(&self, others: Others) -> bool {
        if self.root_read {
            return true;
        }
        let veteran = self.standing == api::Standing::Doubting;
        if veteran && self.fresh_heard {
            return true;
        }
        if !self.root_failed {
            return false;
        }
        (self.fresh_heard && others.majority()) || others.veterans * 2 > others.known
    }

    fn is_announced(&self, now_ms: u64, others: Others) -> bool {
        let waited_ms = now_ms.saturating_sub(self.since_ms);
        // The first few others known may all be starting too, unknown to those who collect answers.
        if !others.list_known && waited_ms < ANNOUNCE_WAIT_MS {
            return false;
        }
        if others.known == 0 {
            return true;
        }
        let some = others.answered > 0 && waited_ms >= ANNOUNCE_WAIT_MS;
        others.majority() || some || waited_ms >= ISOLATED_WAIT_MS
    }
}
