//! The budget of extra sends: retries and hedges.
//!
//! For each service and any window of [`Rule::window_us`], all instances together may make extra sends for a
//! fixed ratio of the clients' requests, plus a fixed number, the slack. Each instance applies the ratio to
//! the requests that it received itself and takes an equal part of the slack, so no coordination is needed.

use crate::discovery::config;

/// The number of counter buckets per window.
const WINDOW_BUCKETS: usize = 40;
/// The number of buckets kept: the window that ends now, the one before it, and the bucket that has just
/// begun.
const HISTORY_BUCKETS: usize = 2 * WINDOW_BUCKETS + 1;

/// How much each window counts in the number of requests. The weights add up to one.
const WINDOW_WEIGHTS: WindowWeights =
    WindowWeights { current: 1.0 / 3.0, half_earlier: 1.0 / 3.0, previous: 1.0 / 3.0 };

struct WindowWeights {
    /// The window itself, as far as it has passed.
    current: f64,
    /// The window that starts half a window earlier.
    half_earlier: f64,
    /// The window before.
    previous: f64,
}

/// The share of the budget that is used. The rest is a margin, since buckets are coarse and the number of
/// active instances changes.
const USABLE_SHARE: f64 = 0.85;

/// The share of a budget that requests of each priority may use, most urgent first. The rest is reserved
/// for more urgent requests.
const PRIORITY_SHARES: [f64; 3] = [1.0, 0.8, 0.6];

/// Nothing is reserved for a more urgent priority that has less than this share of a service's requests.
const RESERVING_SHARE_MIN: f64 = 0.02;

/// How long a larger number of active instances stays in effect after the number has dropped: instances that
/// are no longer visible may be partitioned off and still serve.
const ACTIVE_COUNT_RETENTION_US: u64 = 60_000_000;

/// Returns the share of a budget that requests of `priority` may use.
pub fn priority_share(priority: u8) -> f64 {
    PRIORITY_SHARES[usize::from(priority).min(PRIORITY_SHARES.len() - 1)]
}

/// The limit on the extra sends of all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Extra sends allowed per client request.
    pub ratio: f64,
    /// Further extra sends allowed in a window, for all instances together.
    pub slack: f64,
    /// The length of the window.
    pub window_us: u64,
}

/// Counts events in buckets over the last two windows.
#[derive(Clone, Debug)]
struct BucketCounter {
    bucket_us: u64,
    buckets: [u32; HISTORY_BUCKETS],
    /// The number of the current bucket, counted from the clock's origin.
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

    /// Returns the count over both windows.
    fn total(&mut self, now_us: u64) -> u32 {
        self.advance(now_us);
        self.buckets.iter().sum()
    }

    /// Returns prefix sums over the buckets, oldest first: the difference of two is the count between them.
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
    /// The requests of each of [`PRIORITY_SHARES`], for finding out which priorities are in use.
    requests_by_priority: [BucketCounter; PRIORITY_SHARES.len()],
}

impl ServiceBudget {
    fn new(window_us: u64) -> Self {
        let counter = BucketCounter::new(window_us);
        Self {
            requests: counter.clone(),
            extra_sends: counter.clone(),
            requests_by_priority: std::array::from_fn(|_| counter.clone()),
        }
    }

    /// Returns the share of the budget that requests of `priority` may use: the rest is reserved for the more urgent
    /// priorities that are in use.
    fn priority_share(&mut self, now_us: u64, priority: u8) -> f64 {
        let counts = self.requests_by_priority.each_mut().map(|counter| counter.total(now_us));
        let count_min = f64::from(counts.iter().sum::<u32>()) * RESERVING_SHARE_MIN;
        let more_urgent = &counts[..usize::from(priority).min(counts.len() - 1)];
        let reserving = more_urgent.iter().filter(|count| f64::from(**count) > count_min);
        PRIORITY_SHARES[reserving.count()]
    }

    /// Returns the smallest remaining budget of all windows that contain an extra send made now.
    ///
    /// The rule counts the largest of three numbers of requests: that of the window, that of the window before
    /// it, and that of the window that starts half a window earlier. An instance can't tell which of them is the
    /// largest for all instances together, so each counts a weighted mean of its own three. The sum of these means
    /// is the mean of the three sums, which is at most the largest of them.
    ///
    /// A window may start anywhere in its first bucket, so a bucket that it covers only in part counts with its
    /// extra sends but not with its requests.
    fn remaining(&mut self, now_us: u64, ratio: f64, slack: f64) -> f64 {
        let requests = self.requests.sums(now_us);
        let extra_sends = self.extra_sends.sums(now_us);
        let between = |from: usize, to: usize| requests[to.max(from)] - requests[from];
        let mut remaining = f64::MAX;
        for start in WINDOW_BUCKETS..HISTORY_BUCKETS {
            let in_window = between(start + 1, HISTORY_BUCKETS);
            let in_previous = between(start + 1 - WINDOW_BUCKETS, start);
            let half_end = (start + WINDOW_BUCKETS / 2).min(HISTORY_BUCKETS);
            let in_half_earlier = between(start + 1 - WINDOW_BUCKETS / 2, half_end);
            let mean = WINDOW_WEIGHTS.current * f64::from(in_window)
                + WINDOW_WEIGHTS.half_earlier * f64::from(in_half_earlier)
                + WINDOW_WEIGHTS.previous * f64::from(in_previous);
            let used = extra_sends[HISTORY_BUCKETS] - extra_sends[start];
            remaining = remaining.min(ratio * mean + slack - f64::from(used));
        }
        remaining
    }
}

/// An instance's budgets, one per service.
#[derive(Clone, Debug)]
pub struct Budgets {
    rule: Rule,
    /// The time since which this instance is active, `None` if it is not.
    active_since_us: Option<u64>,
    /// Recent numbers of active instances with the time they were set, oldest first. Numbers that are not
    /// larger than a later one are dropped.
    recent_active_counts: Vec<(u64, u32)>,
    /// Sorted by service.
    service_budgets: Vec<(config::ServiceName, ServiceBudget)>,
}

impl Budgets {
    /// Creates the budgets of an instance that has no part of the slack yet.
    pub fn new(rule: Rule) -> Self {
        Self {
            rule,
            active_since_us: None,
            recent_active_counts: Vec::new(),
            service_budgets: Vec::new(),
        }
    }

    /// Sets the number of active instances, among which the slack is divided, and whether this one is active.
    /// A smaller number than before takes effect with a delay, and an instance that becomes active gets its
    /// part of the slack after one window: it does not know what its predecessor has used, and an instance
    /// that is partitioned off considers itself active.
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

    /// Returns the largest recent number of active instances, 0 if none was set.
    pub fn retained_active_count(&self) -> u32 {
        self.recent_active_counts.iter().map(|(_, count)| *count).max().unwrap_or(0)
    }

    /// Returns this instance's part of the slack.
    fn slack(&self, now_us: u64) -> f64 {
        let is_settled = self
            .active_since_us
            .is_some_and(|since_us| now_us.saturating_sub(since_us) >= self.rule.window_us);
        if !is_settled {
            return 0.0;
        }
        match self.retained_active_count() {
            0 => 0.0,
            active_count => self.rule.slack / f64::from(active_count),
        }
    }

    /// Counts a client's request to a service.
    pub fn record_request(&mut self, now_us: u64, service: &config::ServiceName, priority: u8) {
        let service_budget = self.service_budget(service);
        service_budget.requests.add(now_us);
        let index = usize::from(priority).min(PRIORITY_SHARES.len() - 1);
        service_budget.requests_by_priority[index].add(now_us);
    }

    /// Takes one extra send to a service from the budget. Returns `false` if none is left for this priority.
    pub fn spend(&mut self, now_us: u64, service: &config::ServiceName, priority: u8) -> bool {
        let rule = self.rule;
        let slack = self.slack(now_us);
        let service_budget = self.service_budget(service);
        let share = service_budget.priority_share(now_us, priority) * USABLE_SHARE;
        let slack = slack * share;
        if service_budget.remaining(now_us, rule.ratio * share, slack) < 1.0 {
            return false;
        }
        service_budget.extra_sends.add(now_us);
        true
    }

    fn service_budget(&mut self, service: &config::ServiceName) -> &mut ServiceBudget {
        let index = match self.service_budgets.binary_search_by(|(known, _)| known.cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                let service_budget = ServiceBudget::new(self.rule.window_us);
                self.service_budgets.insert(index, (service.clone(), service_budget));
                index
            }
        };
        &mut self.service_budgets[index].1
    }
}
