//! How many connections a searcher accepts from this instance, learned from those that it resets.
//!
//! A searcher accepts a number of connections from all instances together, and resets further ones. It also counts
//! connections whose instance is gone until it notices that, so that after a restart of many instances it accepts few.
//! Opening more of them then only loses requests: until connections become free, requests share the open ones.

/// How long the limit holds after the first reset; doubles with each further one.
const HOLD_MIN_US: u64 = 250_000;
/// The upper bound of that time.
const HOLD_MAX_US: u64 = 1_000_000;
/// How long a searcher is suspected after a connection that a request was sent on was reset at once: that may also have
/// been the loss of an answer.
const SUSPECT_US: u64 = 1_000_000;
/// A searcher that has not reset a connection for this long is taken to accept any number.
const FORGET_US: u64 = 8_000_000;

/// The limit of one searcher.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionLimit {
    learned: Option<Learned>,
    suspected_until_us: u64,
}

#[derive(Clone, Copy, Debug)]
struct Learned {
    /// How many connections were open when the last one was reset.
    open_count: usize,
    reset_us: u64,
    hold_us: u64,
}

impl ConnectionLimit {
    /// Records that the searcher reset a new connection that was not used yet while `open_count` others were open.
    pub fn record_reset(&mut self, now_us: u64, open_count: usize) {
        let hold_us = match self.current(now_us) {
            // Connections that were opened at the same time are reset together.
            Some(learned) if now_us < learned.reset_us + learned.hold_us => learned.hold_us,
            Some(learned) => (learned.hold_us * 2).min(HOLD_MAX_US),
            None => HOLD_MIN_US,
        };
        self.learned = Some(Learned { open_count, reset_us: now_us, hold_us });
    }

    /// Records that a new connection was reset after a request was sent on it.
    pub fn suspect(&mut self, now_us: u64) {
        self.suspected_until_us = now_us + SUSPECT_US;
    }

    /// Returns how many connections may be open: after each hold one more than before.
    pub fn allowed(&self, now_us: u64) -> usize {
        let Some(learned) = self.current(now_us) else {
            return usize::MAX;
        };
        let holds = now_us.saturating_sub(learned.reset_us) / learned.hold_us;
        learned.open_count + holds as usize
    }

    /// Whether the searcher may reset a new connection.
    pub fn is_suspected(&self, now_us: u64) -> bool {
        now_us < self.suspected_until_us || self.current(now_us).is_some()
    }

    fn current(&self, now_us: u64) -> Option<Learned> {
        self.learned.filter(|learned| now_us.saturating_sub(learned.reset_us) < FORGET_US)
    }
}
