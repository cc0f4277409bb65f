//! Limits how many log lines of a kind are written per second, and counts the suppressed ones.

use crate::locks;
use std::sync;

/// A limit for one kind of log line.
#[derive(Debug)]
pub struct RateLimit {
    per_s_max: u32,
    state: sync::Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    second: u64,
    count: u32,
    suppressed: u64,
}

impl RateLimit {
    /// Allows `per_s_max` lines in each second.
    pub fn new(per_s_max: u32) -> Self {
        Self { per_s_max, state: sync::Mutex::default() }
    }

    /// Returns `None` if the line has to be suppressed, or else how many lines were suppressed since the last
    /// one that was allowed. `now_us` is the time of a monotonic clock, in microseconds.
    pub fn allow(&self, now_us: u64) -> Option<u64> {
        let second = now_us / 1_000_000;
        let mut state = locks::lock(&self.state);
        if state.second != second {
            state.second = second;
            state.count = 0;
        }
        if state.count >= self.per_s_max {
            state.suppressed += 1;
            return None;
        }
        state.count += 1;
        Some(std::mem::take(&mut state.suppressed))
    }
}
