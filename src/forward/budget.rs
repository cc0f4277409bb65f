//! The budget of second sends.
//!
//! For each service and any window of some seconds, all instances together may send a fixed share of the
//! clients' requests once more, and a fixed number besides. Each instance keeps to the share of the requests
//! that it has taken itself, and to its part of the fixed number, so that nobody has to be asked.

use crate::ids;

/// How many slices a window is counted in.
const SLICES: usize = 40;
/// How many slices are remembered: the window that ends now, the one before it, and one more for the slice
/// that has just begun.
const HISTORY_SLICES: usize = 2 * SLICES + 1;

/// What stays unused of the budget: the slices are coarse, and instances come and go.
const USED_SHARE: f64 = 0.85;

/// The share of the budget that requests of a priority may use, the most urgent first. What is left is
/// reserved for more urgent ones.
const PRIORITY_SHARES: [f64; 3] = [1.0, 0.8, 0.6];

/// How long a number of sharers counts that is no longer seen: those that are out of sight may be cut off
/// and still serve.
const SHARERS_KEEP_US: u64 = 60_000_000;

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

/// Counts of the last two windows, in slices.
#[derive(Clone, Debug)]
struct History {
    slice_us: u64,
    slices: [u32; HISTORY_SLICES],
    /// The slice that is counted in, numbered from the clock's start.
    current: u64,
}

impl History {
    fn new(window_us: u64) -> Self {
        let slice_us = (window_us / SLICES as u64).max(1);
        Self { slice_us, slices: [0; HISTORY_SLICES], current: 0 }
    }

    fn advance(&mut self, now_us: u64) {
        let now = now_us / self.slice_us;
        let steps = now.saturating_sub(self.current).min(HISTORY_SLICES as u64);
        for step in 0..steps {
            self.slices[((now - step) % HISTORY_SLICES as u64) as usize] = 0;
        }
        self.current = self.current.max(now);
    }

    fn add(&mut self, now_us: u64) {
        self.advance(now_us);
        self.slices[(self.current % HISTORY_SLICES as u64) as usize] += 1;
    }

    /// Sums over the slices, the oldest first: the difference of two of them is the count between.
    fn sums(&mut self, now_us: u64) -> [u32; HISTORY_SLICES + 1] {
        self.advance(now_us);
        let mut sums = [0; HISTORY_SLICES + 1];
        for at in 0..HISTORY_SLICES {
            let slice = (self.current as usize + 1 + at) % HISTORY_SLICES;
            sums[at + 1] = sums[at] + self.slices[slice];
        }
        sums
    }
}

#[derive(Clone, Debug)]
struct Account {
    requests: History,
    extras: History,
}

impl Account {
    /// The least that is left of the budget in any window that one more second send now would fall into.
    /// Of the requests, the rule counts those of that window, of the one before it, or of the one half a
    /// window before it, whichever has most. A window may begin anywhere in its first slice.
    fn left(&mut self, now_us: u64, ratio: f64, slack: f64) -> f64 {
        let requests = self.requests.sums(now_us);
        let extras = self.extras.sums(now_us);
        let between = |from: usize, to: usize| requests[to.max(from)] - requests[from];
        let mut left = f64::MAX;
        for start in SLICES..HISTORY_SLICES {
            let own = between(start + 1, HISTORY_SLICES);
            let before = between(start + 1 - SLICES, start);
            let half_end = (start + SLICES / 2).min(HISTORY_SLICES);
            let half_before = between(start + 1 - SLICES / 2, half_end);
            let most = own.max(before).max(half_before);
            let used = extras[HISTORY_SLICES] - extras[start];
            left = left.min(ratio * f64::from(most) + slack - f64::from(used));
        }
        left
    }
}

/// An instance's budgets, one for each service.
#[derive(Clone, Debug)]
pub struct Budgets {
    rule: Rule,
    /// Since when this instance is one of the sharers.
    sharing_since_us: Option<u64>,
    /// Among how many the fixed number was divided lately: when, and how many, the latest last. Only
    /// numbers that no later one exceeds are kept.
    sharers: Vec<(u64, u32)>,
    /// Sorted by service.
    accounts: Vec<(ids::ServiceName, Account)>,
}

impl Budgets {
    /// Budgets of an instance that has no part of the fixed number yet.
    pub fn new(rule: Rule) -> Self {
        Self { rule, sharing_since_us: None, sharers: Vec::new(), accounts: Vec::new() }
    }

    /// Sets among how many instances the fixed number is divided, and whether this one is among them. A
    /// smaller number than before takes effect later, and a new sharer has its part after a window: what the
    /// one before it has used is not known, and an instance that is cut off takes itself for a sharer.
    pub fn set_active_instances(&mut self, now_us: u64, sharers: u32, is_sharer: bool) {
        match is_sharer {
            true => {
                self.sharing_since_us.get_or_insert(now_us);
            }
            false => self.sharing_since_us = None,
        }
        self.sharers.retain(|(seen_us, known)| {
            *known > sharers && now_us.saturating_sub(*seen_us) < SHARERS_KEEP_US
        });
        self.sharers.push((now_us, sharers.max(1)));
    }

    /// This instance's part of the fixed number.
    fn slack(&self, now_us: u64) -> f64 {
        let is_settled = self
            .sharing_since_us
            .is_some_and(|since_us| now_us.saturating_sub(since_us) >= self.rule.window_us);
        if !is_settled {
            return 0.0;
        }
        let sharers = self.sharers.iter().map(|(_, sharers)| *sharers).max();
        sharers.map_or(0.0, |sharers| self.rule.slack / f64::from(sharers))
    }

    /// Counts a client's request that goes to a service.
    pub fn record_request(&mut self, now_us: u64, service: &ids::ServiceName) {
        self.account(service).requests.add(now_us);
    }

    /// Takes one second send to a service from the budget, if there is one left for this priority.
    pub fn spend(&mut self, now_us: u64, service: &ids::ServiceName, priority: u8) -> bool {
        let rule = self.rule;
        let share = PRIORITY_SHARES[usize::from(priority).min(PRIORITY_SHARES.len() - 1)];
        let share = share * USED_SHARE;
        let slack = self.slack(now_us) * share;
        let account = self.account(service);
        if account.left(now_us, rule.ratio * share, slack) < 1.0 {
            return false;
        }
        account.extras.add(now_us);
        true
    }

    fn account(&mut self, service: &ids::ServiceName) -> &mut Account {
        let at = match self.accounts.binary_search_by(|(known, _)| known.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let history = History::new(self.rule.window_us);
                let account = Account { requests: history.clone(), extras: history };
                self.accounts.insert(at, (service.clone(), account));
                at
            }
        };
        &mut self.accounts[at].1
    }
}
