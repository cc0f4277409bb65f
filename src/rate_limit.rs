//! Limits how many lines of a kind are logged in a second, and counts those that are left out.

use crate::locks;
use std::sync;

/// A limit for one kind of line.
#[derive(Debug)]
pub struct RateLimit {
    per_s_max: u32,
    state: sync::Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    second: u64,
    count: u32,
    left_out: u64,
}

impl RateLimit {
    /// Allows so many lines in each second.
    pub fn new(per_s_max: u32) -> Self {
        Self { per_s_max, state: sync::Mutex::default() }
    }

    /// Whether there is room for a line. If so, tells how many were left out since the last one.
    pub fn allow(&self, now_us: u64) -> Option<u64> {
        let second = now_us / 1_000_000;
        let mut state = locks::lock(&self.state);
        if state.second != second {
            state.second = second;
            state.count = 0;
        }
        if state.count >= self.per_s_max {
            state.left_out += 1;
            return None;
        }
        state.count += 1;
        Some(std::mem::take(&mut state.left_out))
    }
}
