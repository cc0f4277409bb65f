//! Estimates how long a client had waited before its request arrived.
//!
//! Each request states the time that its client will still wait. On a connection that is already open this is
//! the client's whole timeout; a client that first had to look up an address and to open a connection states
//! less. The difference from the longest recently stated timeout is the time that has already passed, and the
//! answer has to be sent earlier by that much to be in time.
//!
//! An instance with little traffic rarely gets a request on an open connection, so instances tell each other the longest
//! timeouts. A told one counts as one that the instance has seen itself at that time.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// How long the longest timeout stays in effect after it was last stated: short enough to adapt to clients with
/// another timeout.
const KEEP_US: u64 = 20_000_000;
/// How often instances tell each other timeouts that have not changed.
pub const TELL_PERIOD_US: u64 = 8_000_000;
/// A difference above the target latency divided by this does not count as time waited: the client is
/// retrying after a failure or has a shorter timeout than others, so its time starts with this request.
const WAITED_MAX_DIVISOR: u64 = 2;

/// The longest timeout that clients have stated on a route, as one instance tells it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LongestTimeout {
    /// The route's name.
    pub route: CompactString,
    /// The timeout.
    pub timeout_us: u64,
    /// How long ago a client last stated it.
    pub age_us: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    timeout_us: u64,
    /// When a client last stated it to any instance.
    stated_us: u64,
    /// When a client last stated it to this instance.
    own_stated_us: Option<u64>,
}

/// Estimates waiting times from the longest recently stated timeout of each route.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    /// Sorted by route name.
    routes: Vec<(CompactString, Entry)>,
    raised_count: u64,
}

impl Estimator {
    /// Records a request whose client will wait for another `timeout_us`. `target_us` is the target latency
    /// of `route`. Returns how long the client had already waited, in microseconds.
    pub fn waited_us(&mut self, now_us: u64, route: &str, timeout_us: u64, target_us: u64) -> u64 {
        let longest_us = self.record(now_us, route, timeout_us, now_us, true);
        let waited_us = longest_us.saturating_sub(timeout_us);
        if waited_us > target_us / WAITED_MAX_DIVISOR { 0 } else { waited_us }
    }

    /// Records what another instance tells.
    pub fn tell(&mut self, now_us: u64, told: &LongestTimeout) {
        if told.age_us < KEEP_US {
            let stated_us = now_us.saturating_sub(told.age_us);
            self.record(now_us, &told.route, told.timeout_us, stated_us, false);
        }
    }

    /// Returns the longest timeouts that are in effect, for telling them to other instances.
    pub fn longest(&self, now_us: u64) -> Vec<LongestTimeout> {
        self.collect(now_us, |entry| Some(entry.stated_us))
    }

    /// Returns those of them that clients have stated to this instance.
    pub fn own_longest(&self, now_us: u64) -> Vec<LongestTimeout> {
        self.collect(now_us, |entry| entry.own_stated_us)
    }

    /// Returns how many times a timeout became longer, or was stated first, so far.
    pub fn raised_count(&self) -> u64 {
        self.raised_count
    }

    /// Drops routes that are not in `names`, which must be sorted.
    pub fn retain_routes(&mut self, names: &[&str]) {
        self.routes.retain(|(name, _)| names.binary_search(&name.as_str()).is_ok());
    }

    fn collect(
        &self,
        now_us: u64,
        stated_us: impl Fn(&Entry) -> Option<u64>,
    ) -> Vec<LongestTimeout> {
        let mut longest = Vec::new();
        for (route, entry) in &self.routes {
            let Some(stated_us) = stated_us(entry) else {
                continue;
            };
            let age_us = now_us.saturating_sub(stated_us);
            if age_us >= KEEP_US {
                continue;
            }
            let timeout_us = entry.timeout_us;
            longest.push(LongestTimeout { route: route.clone(), timeout_us, age_us });
        }
        longest
    }

    /// Records a timeout that was stated at `stated_us`. Returns the longest one that is in effect.
    fn record(
        &mut self,
        now_us: u64,
        route: &str,
        timeout_us: u64,
        stated_us: u64,
        is_own: bool,
    ) -> u64 {
        let own_stated_us = is_own.then_some(stated_us);
        let entry = Entry { timeout_us, stated_us, own_stated_us };
        let index = match self.routes.binary_search_by(|(name, _)| name.as_str().cmp(route)) {
            Ok(index) => index,
            Err(index) => {
                self.routes.insert(index, (route.into(), entry));
                self.raised_count += 1;
                return timeout_us;
            }
        };
        let known = &mut self.routes[index].1;
        if timeout_us == known.timeout_us {
            known.stated_us = known.stated_us.max(stated_us);
            known.own_stated_us = known.own_stated_us.max(own_stated_us);
        } else if timeout_us > known.timeout_us || now_us.saturating_sub(known.stated_us) >= KEEP_US
        {
            *known = entry;
            self.raised_count += 1;
        }
        known.timeout_us
    }
}
