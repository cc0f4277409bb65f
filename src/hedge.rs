//! Extra shard calls: hedges against stragglers and retries after refusals, each within a budget.

use crate::estimate;
use crate::rank;

/// The maximum balance of a budget.
const BALANCE_MAX_CALLS: f64 = 20.0;
/// The balance that a rank leaves for the more urgent ones, in the order of [`rank::Rank::ALL`].
const RESERVED_CALLS: [f64; rank::RANK_COUNT] = [0.0, 5.0, 10.0];
/// The retry budget, in percent of the shard calls that queries need.
const RETRY_PERCENT: u8 = 10;
/// The quantile of latencies after which a call is hedged.
const DELAY_QUANTILE: f64 = 0.97;
/// The number of samples needed to use the quantile.
const SAMPLES_MIN: u32 = 50;
/// The minimum delay before a hedge.
const DELAY_MIN_US: u64 = 2_000;

/// A budget of extra calls, filled by a fraction of a call for each needed call.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    earned_per_call: f64,
    balance: f64,
}

impl Budget {
    /// Creates an empty budget that allows `percent` extra calls per hundred needed calls.
    pub fn new(percent: u8) -> Self {
        Self { earned_per_call: f64::from(percent) / 100.0, balance: 0.0 }
    }

    /// Adds the allowance for `calls` that a query needs.
    pub fn deposit(&mut self, calls: u32) {
        let earned = f64::from(calls) * self.earned_per_call;
        self.balance = (self.balance + earned).min(BALANCE_MAX_CALLS);
    }

    /// Subtracts `calls` extra calls that were already made. The balance may become negative.
    pub fn charge(&mut self, calls: u32) {
        self.balance -= f64::from(calls);
    }

    /// Takes one extra call from the budget. Returns false, and takes none, if the balance beyond
    /// the calls reserved for more urgent ranks is below one.
    pub fn try_spend(&mut self, rank: rank::Rank) -> bool {
        if self.balance < 1.0 + RESERVED_CALLS[rank.index()] {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// Decides on hedges and retries. An entry instance has one per service.
#[derive(Clone, Debug)]
pub struct Hedger {
    latencies: [estimate::Quantiles; rank::RANK_COUNT],
    hedges: Budget,
    retries: Budget,
}

impl Hedger {
    /// Creates a hedger. It does not hedge before it has enough latency samples.
    pub fn new(hedge_percent: u8) -> Self {
        Self {
            latencies: Default::default(),
            hedges: Budget::new(hedge_percent),
            retries: Budget::new(RETRY_PERCENT),
        }
    }

    /// Records the number of `calls` that an admitted query needs.
    pub fn record_needed(&mut self, calls: u32) {
        self.hedges.deposit(calls);
        self.retries.deposit(calls);
    }

    /// Records an answer that came `latency_us` after its call was sent.
    pub fn record_answer(&mut self, rank: rank::Rank, latency_us: u64) {
        self.latencies[rank.index()].record(latency_us);
    }

    /// How long to wait for an answer before a hedge, in microseconds. A rank with too few samples
    /// uses those of another rank; `None` while no rank has enough. A call that could not be hedged
    /// because the budget was empty is considered again after the same time.
    pub fn delay_us(&self, rank: rank::Rank) -> Option<u64> {
        let own = &self.latencies[rank.index()];
        let has_enough_samples =
            |latencies: &&estimate::Quantiles| latencies.sample_count() >= SAMPLES_MIN;
        let latencies = Some(own)
            .filter(has_enough_samples)
            .or_else(|| self.latencies.iter().find(has_enough_samples))?;
        let quantile_us = latencies.quantile_us(DELAY_QUANTILE)?;
        Some(quantile_us.max(DELAY_MIN_US))
    }

    /// Takes a hedge from the budget and returns whether it is allowed. `saturated` means that
    /// owners admit less than all queries of the rank; no hedge is allowed then.
    pub fn try_hedge(&mut self, rank: rank::Rank, saturated: bool) -> bool {
        !saturated && self.hedges.try_spend(rank)
    }

    /// Charges `calls` that an allowed hedge made beyond its first.
    pub fn charge_hedges(&mut self, calls: u32) {
        self.hedges.charge(calls);
    }

    /// Takes a retry of a refused call from the budget and returns whether it is allowed.
    /// `saturated` is as in [`Hedger::try_hedge`].
    pub fn try_retry(&mut self, rank: rank::Rank, saturated: bool) -> bool {
        !saturated && self.retries.try_spend(rank)
    }
}
