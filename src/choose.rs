//! Replica selection: chooses a searcher for each shard of a query. An entry instance has one
//! [`Chooser`] per service.
//!
//! Searchers are identified by their index in the service's [`Layout`].

mod layout;

pub use layout::{Call, Layout, Plan};

use crate::estimate;
use crate::policy;

/// The time constant of the mean of latencies measured here.
const LATENCY_TIME_CONSTANT_US: u64 = 1_000_000;
/// The latency measured here is ignored this long after its last update.
const LATENCY_EXPIRES_US: u64 = 10_000_000;
/// Searchers are near-equal if they cost at most this many times what the best one costs.
const NEAR_EQUAL_FACTOR: f64 = 2.0;
/// Costs that differ by at most this are near-equal, whatever their ratio.
const NEAR_EQUAL_MARGIN_US: f64 = 1_000.0;

/// A searcher is suspect after this many overdue calls since its last load report. A call counts
/// each time its hedge is due, and once more if it is lost.
const SUSPECT_OVERDUE_CALLS: u16 = 3;
/// A searcher is suspect only if its last load report is at least this old.
const SUSPECT_SILENCE_US: u64 = 500_000;

/// How far a searcher is from this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same failure domain.
    SameDomain,
    /// In the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

impl Distance {
    /// The network round trip assumed for this distance.
    pub fn round_trip_us(self) -> u64 {
        match self {
            Distance::SameDomain => 300,
            Distance::SameRegion => 1_000,
            Distance::OtherRegion => 30_000,
        }
    }
}

/// The load of a searcher, reported by its owner with each reply.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The number of slots that may be used.
    pub slots: u16,
    /// The number of slots in use.
    pub in_use: u16,
    /// The number of calls that wait for a slot.
    pub queued: u16,
    /// The recent mean service time, assumed by the owner until one is measured; 0 before the first
    /// report.
    pub service_us: u32,
}

/// Whether a searcher may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Availability {
    /// May be chosen.
    Usable,
    /// Chosen only if no usable searcher holds the shard.
    Suspect,
    /// Never chosen, since it is shutting down.
    Draining,
}

#[derive(Clone, Debug)]
struct Searcher {
    distance: Distance,
    availability: Availability,
    latency: estimate::DecayingMean,
    report: LoadReport,
    in_flight: u16,
    overdue_since_report: u16,
    last_report_us: u64,
    probed_us: u64,
}

impl Searcher {
    fn availability(&self, now_us: u64) -> Availability {
        let is_silent = now_us.saturating_sub(self.last_report_us) >= SUSPECT_SILENCE_US;
        if self.overdue_since_report >= SUSPECT_OVERDUE_CALLS && is_silent {
            return self.availability.max(Availability::Suspect);
        }
        self.availability
    }

    /// Whether this searcher costs more than `other` and is not near-equal to it. Network round trips
    /// are excluded.
    fn is_slow(&self, now_us: u64, other: &Searcher) -> bool {
        let self_us = self.cost_us(now_us) - self.distance.round_trip_us() as f64;
        let other_us = other.cost_us(now_us) - other.distance.round_trip_us() as f64;
        self_us > (NEAR_EQUAL_FACTOR * other_us).max(other_us + NEAR_EQUAL_MARGIN_US)
    }

    /// The expected wait for a slot, computed from the owner's load report.
    fn wait_us(&self) -> f64 {
        let slots = f64::from(self.report.slots.max(1));
        f64::from(self.report.queued) * f64::from(self.report.service_us) / slots
    }

    /// The number of calls per slot: those that the owner reported, or those sent from here if they
    /// are more.
    fn load(&self) -> f64 {
        let reported_calls = f64::from(self.report.in_use + self.report.queued);
        reported_calls.max(f64::from(self.in_flight)) / f64::from(self.report.slots.max(1))
    }

    /// The expected latency: the larger of the latency measured here and the one computed from the
    /// owner's load report.
    fn cost_us(&self, now_us: u64) -> f64 {
        let round_trip_us = self.distance.round_trip_us() as f64;
        let reported_latency_us =
            round_trip_us + f64::from(self.report.service_us) + self.wait_us();
        let age_us = now_us.saturating_sub(self.latency.updated_us());
        match self.latency.mean() {
            Some(measured_us) if age_us < LATENCY_EXPIRES_US => {
                measured_us.max(reported_latency_us)
            }
            _ => reported_latency_us,
        }
    }
}

/// Tracks the latency, load and availability of a service's searchers and chooses among them.
#[derive(Clone, Debug)]
pub struct Chooser {
    policy: policy::Policy,
    searchers: Vec<Searcher>,
    probe_interval_us: u64,
    round_robin_next: usize,
}

impl Chooser {
    /// Creates a chooser for searchers at these distances. A slow searcher is probed at most once
    /// per `probe_interval_us`.
    pub fn new(
        policy: policy::Policy,
        distances: impl IntoIterator<Item = Distance>,
        probe_interval_us: u64,
    ) -> Self {
        let mut searchers = Vec::new();
        for distance in distances {
            searchers.push(Searcher {
                distance,
                availability: Availability::Usable,
                latency: estimate::DecayingMean::new(LATENCY_TIME_CONSTANT_US),
                report: LoadReport::default(),
                in_flight: 0,
                overdue_since_report: 0,
                last_report_us: 0,
                probed_us: 0,
            });
        }
        Self { policy, searchers, probe_interval_us, round_robin_next: 0 }
    }

    /// Sets whether a searcher may be chosen.
    pub fn set_availability(&mut self, searcher: u16, availability: Availability) {
        self.searchers[usize::from(searcher)].availability = availability;
    }

    /// Records that a call was sent.
    pub fn record_sent(&mut self, searcher: u16) {
        self.searchers[usize::from(searcher)].in_flight += 1;
    }

    /// Records that a call was answered, failed or abandoned.
    pub fn record_end(&mut self, searcher: u16) {
        let searcher = &mut self.searchers[usize::from(searcher)];
        searcher.in_flight = searcher.in_flight.saturating_sub(1);
    }

    /// Records the latency of an answer.
    pub fn record_answer(&mut self, now_us: u64, searcher: u16, latency_us: u64) {
        let latency = &mut self.searchers[usize::from(searcher)].latency;
        latency.record(now_us, latency_us as f64);
    }

    /// Records the age of a call that is still unanswered when its hedge is due, or that was lost.
    /// The age is a latency sample unless the mean is at least as large; then the mean only counts
    /// as updated.
    pub fn record_overdue(&mut self, now_us: u64, searcher: u16, age_us: u64) {
        let searcher = &mut self.searchers[usize::from(searcher)];
        searcher.overdue_since_report = searcher.overdue_since_report.saturating_add(1);
        let latency = &mut searcher.latency;
        if latency.mean().is_some_and(|mean_us| mean_us >= age_us as f64) {
            latency.touch(now_us);
            return;
        }
        latency.record(now_us, age_us as f64);
    }

    /// Records an owner's load report, which comes with each reply, also with a refusal.
    pub fn record_report(&mut self, now_us: u64, searcher: u16, report: LoadReport) {
        let searcher = &mut self.searchers[usize::from(searcher)];
        searcher.report = report;
        searcher.overdue_since_report = 0;
        searcher.last_report_us = now_us;
    }

    /// Chooses the calls that cover all shards. `seed` must be random for each query.
    pub fn choose(&mut self, now_us: u64, layout: &Layout, seed: u64) -> Plan {
        let shard_count = layout.holders.len();
        let mut plan = Plan::default();
        let mut unassigned = vec![0_u64; shard_count.div_ceil(64)];
        for shard in 0..shard_count {
            unassigned[shard / 64] |= 1 << (shard % 64);
        }
        let rate = |searcher: &Searcher| (searcher.availability(now_us), searcher.cost_us(now_us));
        let ratings: Vec<(Availability, f64)> = self.searchers.iter().map(rate).collect();
        let mut rng = SeededRng(seed);
        self.round_robin_next = self.round_robin_next.wrapping_add(1);
        let first = rng.below(shard_count.max(1));
        for step in 0..shard_count {
            let shard = (first + step) % shard_count;
            if unassigned[shard / 64] >> (shard % 64) & 1 == 0 {
                continue;
            }
            let holders = &layout.holders[shard];
            let chosen = match self.policy {
                policy::Policy::Plain => self.round_robin(holders),
                policy::Policy::Full => {
                    let candidates =
                        Candidates { layout, holders, ratings: &ratings, unassigned: &unassigned };
                    self.best(&candidates, &mut rng)
                }
            };
            let Some(searcher) = chosen else {
                unassigned[shard / 64] &= !(1 << (shard % 64));
                plan.missing.push(shard as u32);
                continue;
            };
            let shards = layout.assign(searcher, &mut unassigned);
            plan.calls.push(Call { searcher, shards });
        }
        plan.missing.sort_unstable();
        plan
    }

    /// Returns the best searcher that holds all shards of a call and is not in `tried`, for a hedge
    /// or a retry. `None` if there is none.
    pub fn alternative(
        &self,
        now_us: u64,
        layout: &Layout,
        call: &Call,
        tried: &[u16],
    ) -> Option<u16> {
        let shard = *call.shards.first()?;
        let mut best: Option<(Availability, f64, u16)> = None;
        for holder in &layout.holders[shard as usize] {
            let searcher = &self.searchers[usize::from(*holder)];
            let availability = searcher.availability(now_us);
            if availability == Availability::Draining || tried.contains(holder) {
                continue;
            }
            if !layout.holds_all(*holder, &call.shards) {
                continue;
            }
            let rating =
                (availability, searcher.cost_us(now_us) * (1.0 + searcher.load()), *holder);
            if best.is_none_or(|best| rating < best) {
                best = Some(rating);
            }
        }
        best.map(|(_, _, holder)| holder)
    }

    /// Returns a slow or suspect searcher that holds the call's shards and is due for a probe. The
    /// probe is an extra call, so that the query does not wait for it. `None` if none is due.
    pub fn probe(&mut self, now_us: u64, layout: &Layout, call: &Call) -> Option<u16> {
        if self.policy == policy::Policy::Plain {
            return None;
        }
        let chosen = &self.searchers[usize::from(call.searcher)];
        let mut due = None;
        for holder in layout.holders_of(call) {
            let searcher = &self.searchers[usize::from(*holder)];
            if *holder == call.searcher || searcher.availability != Availability::Usable {
                continue;
            }
            if searcher.availability(now_us) == Availability::Usable
                && !searcher.is_slow(now_us, chosen)
            {
                continue;
            }
            if searcher.in_flight > 0 || now_us < searcher.probed_us + self.probe_interval_us {
                continue;
            }
            if layout.holds_all(*holder, &call.shards) {
                due = Some(*holder);
            }
        }
        self.searchers[usize::from(due?)].probed_us = now_us;
        due
    }

    fn round_robin(&self, holders: &[u16]) -> Option<u16> {
        for step in 0..holders.len() {
            let holder = holders[(self.round_robin_next + step) % holders.len()];
            if self.searchers[usize::from(holder)].availability != Availability::Draining {
                return Some(holder);
            }
        }
        None
    }

    /// Draws two at random of the near-equal holders with the most unassigned shards, and returns
    /// the less loaded one.
    fn best(&self, candidates: &Candidates<'_>, rng: &mut SeededRng) -> Option<u16> {
        let rating_of = |holder: &u16| candidates.ratings[usize::from(*holder)];
        let best_availability =
            candidates.holders.iter().map(|holder| rating_of(holder).0).min()?;
        if best_availability == Availability::Draining {
            return None;
        }
        let mut lowest_us = f64::INFINITY;
        for holder in candidates.holders {
            let (availability, cost_us) = rating_of(holder);
            if availability == best_availability {
                lowest_us = lowest_us.min(cost_us);
            }
        }
        let limit_us = (lowest_us * NEAR_EQUAL_FACTOR).max(lowest_us + NEAR_EQUAL_MARGIN_US);
        let mut most_shards = 0;
        let mut near_equal: Vec<u16> = Vec::with_capacity(candidates.holders.len());
        for holder in candidates.holders {
            let (availability, cost_us) = rating_of(holder);
            if availability != best_availability || cost_us > limit_us {
                continue;
            }
            let shard_count = candidates.layout.count_unassigned(*holder, candidates.unassigned);
            if shard_count > most_shards {
                near_equal.clear();
                most_shards = shard_count;
            }
            if shard_count == most_shards {
                near_equal.push(*holder);
            }
        }
        self.less_loaded(&near_equal, rng)
    }

    fn less_loaded(&self, near_equal: &[u16], rng: &mut SeededRng) -> Option<u16> {
        if near_equal.len() < 2 {
            return near_equal.first().copied();
        }
        let first = rng.below(near_equal.len());
        let second = (first + 1 + rng.below(near_equal.len() - 1)) % near_equal.len();
        let (first, second) = (near_equal[first], near_equal[second]);
        let first_load = self.searchers[usize::from(first)].load();
        if self.searchers[usize::from(second)].load() < first_load {
            return Some(second);
        }
        Some(first)
    }
}

/// The input for choosing a shard's searcher.
struct Candidates<'a> {
    layout: &'a Layout,
    holders: &'a [u16],
    /// The availability and the cost of each searcher.
    ratings: &'a [(Availability, f64)],
    unassigned: &'a [u64],
}

/// A pseudo-random generator that hashes a counter.
struct SeededRng(u64);

impl SeededRng {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let hash = xxhash_rust::xxh3::xxh3_64(&self.0.to_le_bytes());
        ((u128::from(hash) * bound as u128) >> 64) as usize
    }
}
