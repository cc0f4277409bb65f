//! How much work this instance gives to the searchers of one service at the same time, once all of them have rejected
//! requests because they were full. What exceeds it waits here, where urgent requests go first.

/// The factor of the window after a rejection.
const CUT: f64 = 0.8;
/// The shortest time between two cuts: the rejections of one moment count once.
const CUT_PERIOD_US: u64 = 100_000;
/// How long after the last rejection the window ends.
const RETENTION_US: u64 = 3_000_000;

/// The limit on sends in flight to the searchers of a service.
#[derive(Clone, Debug, Default)]
pub struct Window {
    limit: Option<f64>,
    cut_us: u64,
    rejected_us: u64,
}

impl Window {
    /// Returns the limit; `None` if there is none.
    pub fn limit(&mut self, now_us: u64) -> Option<usize> {
        if now_us.saturating_sub(self.rejected_us) > RETENTION_US {
            self.limit = None;
        }
        self.limit.map(|limit| limit as usize)
    }

    /// Records that a searcher was full when `in_flight` others were in flight. Returns whether a limit begins.
    pub fn record_full(&mut self, now_us: u64, in_flight: usize, are_all_full: bool) -> bool {
        if !are_all_full {
            return false;
        }
        let before = self.limit(now_us);
        self.rejected_us = now_us;
        if before.is_some() && now_us.saturating_sub(self.cut_us) < CUT_PERIOD_US {
            return false;
        }
        self.cut_us = now_us;
        let in_use = self.limit.map_or(in_flight as f64, |limit| limit.min(in_flight as f64));
        self.limit = Some((in_use * CUT).max(1.0));
        before.is_none()
    }

    /// Records an answer. The window grows by one while it is used once.
    pub fn record_answer(&mut self, in_flight: usize) {
        let Some(limit) = &mut self.limit else {
            return;
        };
        if in_flight as f64 + 1.0 >= *limit * CUT {
            *limit += 1.0 / limit.max(1.0);
        }
    }
}
