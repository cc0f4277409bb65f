//! How long a client has waited before its request came in.
//!
//! A client states how long it will go on waiting. The first request of a route's clients on an open
//! connection states the whole time, and one that first had to ask where to connect, and to open a
//! connection, states less. The difference to the max_timeout time stated lately is what has passed already,
//! and an answer has to leave sooner by that much to be in time.

use compact_str::CompactString;
use std::mem;

/// How long a stated time counts as recent: at least this long, and at most twice. Long enough to see a
/// request on an open connection at an instance that gets few, short enough to follow other clients.
const PERIOD_US: u64 = 10_000_000;
/// The largest share of the target latency that is taken for time waited. Who states even less asks again
/// after a failure, or has less patience than others: its time begins with this request.
const WAITED_MAX_DIVISOR: u64 = 2;

/// The max_timeout time stated in the current and in the previous period.
#[derive(Clone, Copy, Debug)]
struct MaxTimeout {
    since_us: u64,
    current_us: u64,
    previous_us: u64,
}

/// The times that clients state, by route.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    /// Sorted by route name.
    routes: Vec<(CompactString, MaxTimeout)>,
}

impl Estimator {
    /// Takes in a request whose client will wait `timeout_us` more. Returns how long it has waited before.
    pub fn waited_us(&mut self, now_us: u64, route: &str, timeout_us: u64, target_us: u64) -> u64 {
        let max_timeout_us = self.record(now_us, route, timeout_us);
        let waited_us = max_timeout_us - timeout_us;
        if waited_us > target_us / WAITED_MAX_DIVISOR { 0 } else { waited_us }
    }

    /// Forgets routes that are not among `names`, which are sorted.
    pub fn retain_routes(&mut self, names: &[&str]) {
        self.routes.retain(|(name, _)| names.binary_search(&name.as_str()).is_ok());
    }

    /// Returns the max_timeout time stated lately, `timeout_us` included.
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
