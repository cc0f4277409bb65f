//! The schedule of a run: a seeded Poisson process for each rank.

use crate::load;
use crate::rank;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;

/// A scheduled search.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// The scheduled start, in seconds after the start of the warm-up.
    pub at_s: f64,
    /// The urgency.
    pub rank: rank::Rank,
    /// The index of the service in the plan.
    pub service: usize,
}

/// An iterator over the searches of a plan, ordered by start time.
#[derive(Debug)]
pub struct Arrivals<'a> {
    plan: &'a load::Plan,
    rng: rngs::StdRng,
    next_s: [f64; rank::RANK_COUNT],
}

impl<'a> Arrivals<'a> {
    /// Creates the arrivals of `plan`. They are the same each time for the same plan and seed.
    pub fn new(plan: &'a load::Plan) -> Self {
        let rng = rngs::StdRng::seed_from_u64(plan.seed);
        let mut arrivals = Self { plan, rng, next_s: [0.0; rank::RANK_COUNT] };
        for rank in rank::Rank::ALL {
            arrivals.next_s[rank.index()] = arrivals.draw_next_s(0.0, rank);
        }
        arrivals
    }

    /// Draws the next arrival time of `rank` after `at_s`; infinity if there is none. A Poisson
    /// process is memoryless, so a new interval is drawn from each point where the rate changes.
    fn draw_next_s(&mut self, mut at_s: f64, rank: rank::Rank) -> f64 {
        loop {
            let (rate_per_s, until_s) = self.rate_at(at_s, rank);
            if rate_per_s > 0.0 {
                let uniform: f64 = self.rng.random();
                let next_s = at_s - (1.0 - uniform).ln() / rate_per_s;
                if next_s < until_s {
                    return next_s;
                }
            }
            if until_s == f64::INFINITY {
                return f64::INFINITY;
            }
            at_s = until_s;
        }
    }

    /// The rate of `rank` at `at_s` per second, and the time in seconds at which it changes.
    fn rate_at(&self, at_s: f64, rank: rank::Rank) -> (f64, f64) {
        let base_per_s = self.plan.rate_per_s * self.plan.mix.share(rank);
        let Some(flood) = self.plan.flood.filter(|flood| flood.rank == rank) else {
            return (base_per_s, f64::INFINITY);
        };
        let start_s = (self.plan.warm_up + flood.start).as_secs_f64();
        let end_s = (self.plan.warm_up + flood.end()).as_secs_f64();
        if at_s < start_s {
            (base_per_s, start_s)
        } else if at_s < end_s {
            (base_per_s * flood.factor, end_s)
        } else {
            (base_per_s, f64::INFINITY)
        }
    }
}

impl Iterator for Arrivals<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let mut rank = rank::Rank::Urgent;
        for other in rank::Rank::ALL {
            if self.next_s[other.index()] < self.next_s[rank.index()] {
                rank = other;
            }
        }
        let at_s = self.next_s[rank.index()];
        if at_s >= self.plan.total_duration().as_secs_f64() {
            return None;
        }
        self.next_s[rank.index()] = self.draw_next_s(at_s, rank);
        let service = self.rng.random_range(0..self.plan.services.len().max(1));
        Some(Arrival { at_s, rank, service })
    }
}
