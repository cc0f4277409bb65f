//! Extra shard calls: hedges against stragglers and retries after refusals, each within a budget.

use crate::estimate;
use crate::rank;

/// The most extra calls that a budget saves up.
const BALANCE_MAX_CALLS: f64 = 20.0;
/// What a rank leaves in the budget for the more urgent ones, in the order of [`rank::Rank::ALL`].
const RESERVED_CALLS: [f64; rank::RANK_COUNT] = [0.0, 5.0, 10.0];
/// Retries allowed, in percent of the shard calls that queries need.
const RETRY_PERCENT: u8 = 10;
/// The quantile of latencies after which a call is hedged.
const DELAY_QUANTILE: f64 = 0.97;
/// The samples that the quantile needs.
const SAMPLES_MIN: u32 = 50;
/// The shortest delay of a hedge.
const DELAY_MIN_US: u64 = 2_000;

/// A budget of extra calls: each needed call earns a fraction of one.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    earned_per_call: f64,
    balance: f64,
}

impl Budget {
    /// An empty budget that allows `percent` extra calls for each hundred needed.
    pub fn new(percent: u8) -> Self {
        Self { earned_per_call: f64::from(percent) / 100.0, balance: 0.0 }
    }

    /// Earns for `calls` that a query needs.
    pub fn deposit(&mut self, calls: u32) {
        let earned = f64::from(calls) * self.earned_per_call;
        self.balance = (self.balance + earned).min(BALANCE_MAX_CALLS);
    }

    /// Takes `calls` extra calls that were made already; the budget may go below nothing.
    pub fn charge(&mut self, calls: u32) {
        self.balance -= f64::from(calls);
    }

    /// Takes one extra call from the budget, if there is one beside what is reserved.
    pub fn try_spend(&mut self, rank: rank::Rank) -> bool {
        if self.balance < 1.0 + RESERVED_CALLS[rank.index()] {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// Decides on extra calls: one for each service at each entry.
#[derive(Clone, Debug)]
pub struct Hedger {
    latencies: [estimate::Quantiles; rank::RANK_COUNT],
    hedges: Budget,
    retries: Budget,
}

impl Hedger {
    /// A hedger that has seen no latency; until it has, it does not hedge.
    pub fn new(hedge_percent: u8) -> Self {
        Self {
            latencies: Default::default(),
            hedges: Budget::new(hedge_percent),
            retries: Budget::new(RETRY_PERCENT),
        }
    }

    /// Counts the `calls` that an admitted query needs.
    pub fn record_needed(&mut self, calls: u32) {
        self.hedges.deposit(calls);
        self.retries.deposit(calls);
    }

    /// Counts an answer that came `latency_us` after its call was sent.
    pub fn record_answer(&mut self, rank: rank::Rank, latency_us: u64) {
        self.latencies[rank.index()].record(latency_us);
    }

    /// How long to wait for an answer before a hedge, or `None` while too little is known. A call that
    /// could not be hedged then, for want of budget, is looked at again after the same time.
    pub fn delay_us(&self, rank: rank::Rank) -> Option<u64> {
        let own = &self.latencies[rank.index()];
        let known = |latencies: &&estimate::Quantiles| latencies.sample_count() >= SAMPLES_MIN;
        let latencies = Some(own).filter(known).or_else(|| self.latencies.iter().find(known))?;
        let quantile_us = latencies.quantile_us(DELAY_QUANTILE)?;
        Some(quantile_us.max(DELAY_MIN_US))
    }

    /// Whether to hedge now; a hedge that is allowed is counted. `saturated` tells whether the owner
    /// of the hedge's target admits less than all of the rank.
    pub fn try_hedge(&mut self, rank: rank::Rank, saturated: bool) -> bool {
        !saturated && self.hedges.try_spend(rank)
    }

    /// Counts `calls` more that an allowed hedge took.
    pub fn charge_hedges(&mut self, calls: u32) {
        self.hedges.charge(calls);
    }

    /// Whether to retry a refused call elsewhere now; a retry that is allowed is counted.
    pub fn try_retry(&mut self, rank: rank::Rank, saturated: bool) -> bool {
        !saturated && self.retries.try_spend(rank)
    }
}
