//! Decides when an instance that is no reader reads the store because the readers can't.
//!
//! The store may turn the readers away while it serves the other instances and the operator. What an instance knows
//! then becomes old, and it can't tell whether the store is down. The next instances of each region in the order of
//! the readers try it one shortly after the other. The first one that gets an answer goes on reading until the reader
//! role has moved.

/// How many instances of each region may stand in. Each of them may be turned away as well.
pub const STAND_INS_MAX: usize = 4;
/// How much later than the one before it each of them tries.
const STEP_US: u64 = 150_000;
/// How long an instance goes on after its last answer to a stale view: until the readers have reported that they can't
/// reach the store.
const READ_FOR_US: u64 = 3_000_000;
/// How long an instance does not try again after a failed call, so that the calls stay few while the store is down.
const RETRY_AFTER_US: u64 = 3_000_000;

/// Whether this instance stands in for the readers.
#[derive(Clone, Copy, Debug)]
pub struct StandIn {
    /// Readers that reach the store know what is younger than this.
    stale_after_us: u64,
    until_us: u64,
    retry_at_us: u64,
}

impl StandIn {
    /// Creates the state of an instance that does not stand in.
    pub fn new(stale_after_us: u64) -> Self {
        Self { stale_after_us, until_us: 0, retry_at_us: 0 }
    }

    /// Whether the instance reads the store now. `rank` returns its position among those that may stand in, `None` if it
    /// may not; `age_us` is the age of what the readers know.
    pub fn should_read(
        &self,
        now_us: u64,
        rank: impl FnOnce() -> Option<usize>,
        age_us: u64,
    ) -> bool {
        if self.is_active(now_us) {
            return true;
        }
        if now_us < self.retry_at_us || age_us < self.stale_after_us {
            return false;
        }
        let Some(rank) = rank().filter(|rank| *rank < STAND_INS_MAX) else {
            return false;
        };
        age_us >= self.stale_after_us + rank as u64 * STEP_US
    }

    /// Whether the instance got an answer to a stale view and goes on reading.
    pub fn is_active(&self, now_us: u64) -> bool {
        now_us < self.until_us
    }

    /// Records that the store answered; before, what the readers knew had this age. Returns whether the instance begins to stand in.
    pub fn record_answer(&mut self, now_us: u64, age_us: u64) -> bool {
        if age_us < self.stale_after_us {
            return false;
        }
        let begins = !self.is_active(now_us);
        self.until_us = now_us + READ_FOR_US;
        begins
    }

    /// Records that a call to the store failed.
    pub fn record_failure(&mut self, now_us: u64) {
        self.until_us = 0;
        self.retry_at_us = now_us + RETRY_AFTER_US;
    }
}
