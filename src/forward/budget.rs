//! The budget of second sends.
//!
//! For each service and any window of some seconds, all instances together may send a fixed share of the
//! clients' requests once more, and a fixed number besides. Each instance keeps to the share of the requests
//! that it has taken itself, and to its part of the fixed number, so that nobody has to be asked.

use crate::ids;

/// How many buckets a window is counted in.
const WINDOW_BUCKETS: usize = 40;
/// How many buckets are remembered: the window that ends now, the one before it, and one more for the slice
/// that has just begun.
const HISTORY_BUCKETS: usize = 2 * WINDOW_BUCKETS + 1;

/// What stays unused of the budget: the buckets are coarse, and instances come and go.
const USABLE_SHARE: f64 = 0.85;

/// The share of the budget that requests of a priority may use, the most urgent first. What is left is
/// reserved for more urgent ones.
const PRIORITY_SHARES: [f64; 3] = [1.0, 0.8, 0.6];

/// How long a number of sharers counts that is no longer seen: those that are out of sight may be cut off
/// and still serve.
const ACTIVE_COUNT_RETENTION_US: u64 = 60_000_000;

/// The rule that all instances keep together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Second sends for each request of a client.
    pub ratio: f64,
    /// Second sends beside those, in a window, of all instances together.
    pub slack: f64,
    /// The window's length.
    pub window_us: u64,
}

/// Counts of the last two windows, in buckets.
#[derive(Clone, Debug)]
struct BucketCounter {
    bucket_us: u64,
    buckets: [u32; HISTORY_BUCKETS],
    /// The slice that is counted in, numbered from the clock's start.
    current: u64,
}

impl BucketCounter {
    fn new(window_us: u64) -> Self {
        let bucket_us = (window_us / WINDOW_BUCKETS as u64).max(1);
        Self { bucket_us, buckets: [0; HISTORY_BUCKETS], current: 0 }
    }

    fn advance(&mut self, now_us: u64) {
        let now = now_us / self.bucket_us;
        let steps = now.saturating_sub(self.current).min(HISTORY_BUCKETS as u64);
        for step in 0..steps {
            self.buckets[((now - step) % HISTORY_BUCKETS as u64) as usize] = 0;
        }
        self.current = self.current.max(now);
    }

    fn add(&mut self, now_us: u64) {
        self.advance(now_us);
        self.buckets[(self.current % HISTORY_BUCKETS as u64) as usize] += 1;
    }

    /// Sums over the buckets, the oldest first: the difference of two of them is the count between.
    fn sums(&mut self, now_us: u64) -> [u32; HISTORY_BUCKETS + 1] {
        self.advance(now_us);
        let mut sums = [0; HISTORY_BUCKETS + 1];
        for index in 0..HISTORY_BUCKETS {
            let bucket = (self.current as usize + 1 + index) % HISTORY_BUCKETS;
            sums[index + 1] = sums[index] + self.buckets[bucket];
        }
        sums
    }
}

#[derive(Clone, Debug)]
struct ServiceBudget {
    requests: BucketCounter,
    extra_sends: BucketCounter,
}

impl ServiceBudget {
    /// The least that is left of the budget in any window that one more second send now would fall into.
    /// Of the requests, the rule counts those of that window, of the one before it, or of the one half a
    /// window before it, whichever has most. A window may begin anywhere in its first slice.
    fn remaining(&mut self, now_us: u64, ratio: f64, slack: f64) -> f64 {
        let requests = self.requests.sums(now_us);
        let extra_sends = self.extra_sends.sums(now_us);
        let between = |from: usize, to: usize| requests[to.max(from)] - requests[from];
        let mut remaining = f64::MAX;
        for start in WINDOW_BUCKETS..HISTORY_BUCKETS {
            let own = between(start + 1, HISTORY_BUCKETS);
            let before = between(start + 1 - WINDOW_BUCKETS, start);
            let half_end = (start + WINDOW_BUCKETS / 2).min(HISTORY_BUCKETS);
            let half_before = between(start + 1 - WINDOW_BUCKETS / 2, half_end);
            let most = own.max(before).max(half_before);
            let used = extra_sends[HISTORY_BUCKETS] - extra_sends[start];
            remaining = remaining.min(ratio * f64::from(most) + slack - f64::from(used));
        }
        remaining
    }
}

/// An instance's budgets, one for each service.
#[derive(Clone, Debug)]
pub struct Budgets {
    rule: Rule,
    /// Since when this instance is one of the sharers.
    active_since_us: Option<u64>,
    /// Among how many the fixed number was divided lately: when, and how many, the latest last. Only
    /// numbers that no later one exceeds are kept.
    recent_active_counts: Vec<(u64, u32)>,
    /// Sorted by service.
    service_budgets: Vec<(ids::ServiceName, ServiceBudget)>,
}

impl Budgets {
    /// Budgets of an instance that has no part of the fixed number yet.
    pub fn new(rule: Rule) -> Self {
        Self {
            rule,
            active_since_us: None,
            recent_active_counts: Vec::new(),
            service_budgets: Vec::new(),
        }
    }

    /// Sets among how many instances the fixed number is divided, and whether this one is among them. A
    /// smaller number than before takes effect later, and a new sharer has its part after a window: what the
    /// one before it has used is not known, and an instance that is cut off takes itself for a sharer.
    pub fn set_active_instances(&mut self, now_us: u64, active_count: u32, is_active: bool) {
        match is_active {
            true => {
                self.active_since_us.get_or_insert(now_us);
            }
            false => self.active_since_us = None,
        }
        self.recent_active_counts.retain(|(seen_us, count)| {
            *count > active_count && now_us.saturating_sub(*seen_us) < ACTIVE_COUNT_RETENTION_US
        });
        self.recent_active_counts.push((now_us, active_count.max(1)));
    }

    /// This instance's part of the fixed number.
    fn slack(&self, now_us: u64) -> f64 {
        let is_settled = self
            .active_since_us
            .is_some_and(|since_us| now_us.saturating_sub(since_us) >= self.rule.window_us);
        if !is_settled {
            return 0.0;
        }
        let active_count = self.recent_active_counts.iter().map(|(_, count)| *count).max();
        active_count.map_or(0.0, |active_count| self.rule.slack / f64::from(active_count))
    }

    /// Counts a client's request that goes to a service.
    pub fn record_request(&mut self, now_us: u64, service: &ids::ServiceName) {
        self.service_budget(service).requests.add(now_us);
    }

    /// Takes one second send to a service from the budget, if there is one left for this priority.
    pub fn spend(&mut self, now_us: u64, service: &ids::ServiceName, priority: u8) -> bool {
        let rule = self.rule;
        let share = PRIORITY_SHARES[usize::from(priority).min(PRIORITY_SHARES.len() - 1)];
        let share = share * USABLE_SHARE;
        let slack = self.slack(now_us) * share;
        let service_budget = self.service_budget(service);
        if service_budget.remaining(now_us, rule.ratio * share, slack) < 1.0 {
            return false;
        }
        service_budget.extra_sends.add(now_us);
        true
    }

    fn service_budget(&mut self, service: &ids::ServiceName) -> &mut ServiceBudget {
        let index = match self.service_budgets.binary_search_by(|(known, _)| known.cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                let counter = BucketCounter::new(self.rule.window_us);
                let service_budget =
                    ServiceBudget { requests: counter.clone(), extra_sends: counter };
                self.service_budgets.insert(index, (service.clone(), service_budget));
                index
            }
        };
        &mut self.service_budgets[index].1
    }
}
