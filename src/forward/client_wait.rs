//! How long a client has waited before its request came in.
//!
//! A client states how long it will go on waiting. The first request of a route's clients on an open
//! connection states the whole time, and one that first had to ask where to connect, and to open a
//! connection, states less. The difference to the longest time stated lately is what has passed already,
//! and an answer has to leave sooner by that much to be in time.

use compact_str::CompactString;
use std::mem;

/// How long a stated time counts as recent: at least this long, and at most twice. Long enough to see a
/// request on an open connection at an instance that gets few, short enough to follow other clients.
const RECENT_US: u64 = 10_000_000;
/// The largest share of the target latency that is taken for time waited. Who states even less asks again
/// after a failure, or has less patience than others: its time begins with this request.
const WAITED_SHARE_MAX: u64 = 2;

/// The longest time stated in the current and in the previous period.
#[derive(Clone, Copy, Debug)]
struct Longest {
    since_us: u64,
    current_us: u64,
    previous_us: u64,
}

/// The times that clients state, by route.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    /// Sorted by route name.
    routes: Vec<(CompactString, Longest)>,
}

impl Estimator {
    /// Takes in a request whose client will wait `stated_us` more. Returns how long it has waited before.
    pub fn waited_us(&mut self, now_us: u64, route: &str, stated_us: u64, target_us: u64) -> u64 {
        let longest_us = self.record(now_us, route, stated_us);
        let waited_us = longest_us - stated_us;
        if waited_us > target_us / WAITED_SHARE_MAX { 0 } else { waited_us }
    }

    /// Forgets routes that are not among `names`, which are sorted.
    pub fn retain_routes(&mut self, names: &[&str]) {
        self.routes.retain(|(name, _)| names.binary_search(&name.as_str()).is_ok());
    }

    /// Returns the longest time stated lately, `stated_us` included.
    fn record(&mut self, now_us: u64, route: &str, stated_us: u64) -> u64 {
        let at = match self.routes.binary_search_by(|(name, _)| name.as_str().cmp(route)) {
            Ok(at) => at,
            Err(at) => {
                let longest = Longest { since_us: now_us, current_us: 0, previous_us: 0 };
                self.routes.insert(at, (route.into(), longest));
                at
            }
        };
        let longest = &mut self.routes[at].1;
        if now_us.saturating_sub(longest.since_us) >= RECENT_US {
            longest.since_us = now_us;
            longest.previous_us = mem::take(&mut longest.current_us);
        }
        longest.current_us = longest.current_us.max(stated_us);
        longest.current_us.max(longest.previous_us)
    }
}
