//! Estimates how long a client had waited before its request arrived.
//!
//! Each request states the time that its client will still wait. On a connection that is already open this is
//! the client's whole timeout; a client that first had to look up an address and to open a connection states
//! less. The difference from the longest recently stated timeout is the time that has already passed, and the
//! answer has to be sent earlier by that much to be in time.

use compact_str::CompactString;
use std::mem;

/// A stated timeout counts as recent for at least this long and at most twice as long: long enough that an
/// instance with little traffic sees a request on an open connection, short enough to adapt to clients with
/// another timeout.
const PERIOD_US: u64 = 10_000_000;
/// A difference above the target latency divided by this does not count as time waited: the client is
/// retrying after a failure or has a shorter timeout than others, so its time starts with this request.
const WAITED_MAX_DIVISOR: u64 = 2;

/// The longest timeouts stated in the current and in the previous period.
#[derive(Clone, Copy, Debug)]
struct MaxTimeout {
    since_us: u64,
    current_us: u64,
    previous_us: u64,
}

/// Estimates waiting times from the longest recently stated timeout of each route.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    /// Sorted by route name.
    routes: Vec<(CompactString, MaxTimeout)>,
}

impl Estimator {
    /// Records a request whose client will wait for another `timeout_us`. `target_us` is the target latency
    /// of `route`. Returns how long the client had already waited, in microseconds.
    pub fn waited_us(&mut self, now_us: u64, route: &str, timeout_us: u64, target_us: u64) -> u64 {
        let max_timeout_us = self.record(now_us, route, timeout_us);
        let waited_us = max_timeout_us - timeout_us;
        if waited_us > target_us / WAITED_MAX_DIVISOR { 0 } else { waited_us }
    }

    /// Drops routes that are not in `names`, which must be sorted.
    pub fn retain_routes(&mut self, names: &[&str]) {
        self.routes.retain(|(name, _)| names.binary_search(&name.as_str()).is_ok());
    }

    /// Records a stated timeout. Returns the longest recent one, this one included.
    fn record(&mut self, now_us: u64, route: &str, timeout_us: u64) -> u64 {
        let index = match self.routes.binary_search_by(|(name, _)| name.as_str().cmp(route)) {
            Ok(index) => index,
            Err(index) => {
                let max_timeout = MaxTimeout { since_us: now_us, current_us: 0, previous_us: 0 };
                self.routes.insert(index, (route.into(), max_timeout));
                index
            }
        };
        let max_timeout = &mut self.routes[index].1;
        if now_us.saturating_sub(max_timeout.since_us) >= PERIOD_US {
            max_timeout.since_us = now_us;
            max_timeout.previous_us = mem::take(&mut max_timeout.current_us);
        }
        max_timeout.current_us = max_timeout.current_us.max(timeout_us);
        max_timeout.current_us.max(max_timeout.previous_us)
    }
}
