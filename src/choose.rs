//! The choice of a searcher for each shard of a query: one [`Chooser`] for each service at each entry.
//!
//! Searchers are indexed as in the service's [`Layout`].

use crate::estimate;
use crate::policy;

/// How long latencies seen here are remembered.
const LATENCY_TIME_CONSTANT_US: u64 = 1_000_000;
/// After this long without an answer, the latency seen here says nothing.
const LATENCY_EXPIRES_US: u64 = 10_000_000;
/// Searchers are near-equal up to this many times the best one's cost.
const NEAR_FACTOR: f64 = 2.0;
/// Costs that differ by less than this are near-equal.
const NEAR_US: f64 = 1_000.0;
/// A searcher is slow above this many times the best one's cost, the network left out.
const SLOW_FACTOR: f64 = 3.0;

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
    /// The round trip assumed.
    pub fn round_trip_us(self) -> u64 {
        match self {
            Distance::SameDomain => 300,
            Distance::SameRegion => 1_000,
            Distance::OtherRegion => 30_000,
        }
    }
}

/// What an owner says of its searcher with each reply.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Slots that may be used.
    pub slots: u16,
    /// Slots in use.
    pub in_use: u16,
    /// Calls that wait for a slot.
    pub queued: u16,
    /// The service time lately, 0 if none was seen.
    pub service_us: u32,
}

/// Whether a searcher may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// As any other.
    Usable,
    /// Only if no other holds the shard.
    Suspect,
    /// Never: it is leaving.
    Draining,
}

#[derive(Clone, Debug)]
struct Searcher {
    distance: Distance,
    standing: Standing,
    latency: estimate::DecayingMean,
    report: Report,
    in_flight: u16,
    probed_us: u64,
}

impl Searcher {
    fn wait_us(&self) -> f64 {
        let slots = f64::from(self.report.slots.max(1));
        f64::from(self.report.queued) * f64::from(self.report.service_us) / slots
    }

    fn load(&self) -> f64 {
        let told = f64::from(self.report.in_use + self.report.queued);
        told.max(f64::from(self.in_flight)) / f64::from(self.report.slots.max(1))
    }

    /// The latency expected: the worse of what was seen here and of what the owner says.
    fn cost_us(&self, now_us: u64) -> f64 {
        let round_trip_us = self.distance.round_trip_us() as f64;
        let told_us = round_trip_us + f64::from(self.report.service_us) + self.wait_us();
        let age_us = now_us.saturating_sub(self.latency.updated_us());
        match self.latency.mean() {
            Some(seen_us) if age_us < LATENCY_EXPIRES_US => seen_us.max(told_us),
            _ => told_us,
        }
    }
}

/// Which searchers hold which shards of one snapshot.
#[derive(Clone, Debug)]
pub struct Layout {
    holders: Vec<Vec<u16>>,
    held: Vec<Vec<u64>>,
}

impl Layout {
    /// A layout from the holders of each shard.
    pub fn new(searcher_count: usize, holders: Vec<Vec<u16>>) -> Self {
        let words = holders.len().div_ceil(64);
        let mut held = vec![vec![0_u64; words]; searcher_count];
        for (shard, searchers) in holders.iter().enumerate() {
            for searcher in searchers {
                let Some(bits) = held.get_mut(usize::from(*searcher)) else {
                    continue;
                };
                bits[shard / 64] |= 1 << (shard % 64);
            }
        }
        Self { holders, held }
    }

    /// The holders of the first of the call's shards.
    pub fn holders_of(&self, call: &Call) -> &[u16] {
        match call.shards.first() {
            Some(shard) => &self.holders[*shard as usize],
            None => &[],
        }
    }

    fn gain(&self, searcher: u16, open: &[u64]) -> u32 {
        let mut gain = 0;
        for (held, open) in self.held[usize::from(searcher)].iter().zip(open) {
            gain += (held & open).count_ones();
        }
        gain
    }

    /// Closes the open shards that `searcher` holds, and returns them.
    fn close(&self, searcher: u16, open: &mut [u64]) -> Vec<u32> {
        let mut shards = Vec::new();
        for (word, held) in self.held[usize::from(searcher)].iter().enumerate() {
            let mut taken = held & open[word];
            open[word] &= !taken;
            while taken != 0 {
                shards.push(word as u32 * 64 + taken.trailing_zeros());
                taken &= taken - 1;
            }
        }
        shards
    }

    fn holds_all(&self, searcher: u16, shards: &[u32]) -> bool {
        let held = &self.held[usize::from(searcher)];
        shards.iter().all(|shard| held[*shard as usize / 64] >> (shard % 64) & 1 == 1)
    }
}

/// One call to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The searcher to call.
    pub searcher: u16,
    /// The shards to ask it for, sorted.
    pub shards: Vec<u32>,
}

/// The calls that a query needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// The calls; no shard is in two of them.
    pub calls: Vec<Call>,
    /// The shards that no searcher can be asked for.
    pub missing: Vec<u32>,
}

/// What is known of a service's searchers, and the choice among them.
#[derive(Clone, Debug)]
pub struct Chooser {
    policy: policy::Policy,
    searchers: Vec<Searcher>,
    probe_interval_us: u64,
    next: usize,
}

impl Chooser {
    /// A chooser that knows the distances. A slow searcher is probed once in `probe_interval_us`.
    pub fn new(
        policy: policy::Policy,
        distances: impl IntoIterator<Item = Distance>,
        probe_interval_us: u64,
    ) -> Self {
        let mut searchers = Vec::new();
        for distance in distances {
            searchers.push(Searcher {
                distance,
                standing: Standing::Usable,
                latency: estimate::DecayingMean::new(LATENCY_TIME_CONSTANT_US),
                report: Report::default(),
                in_flight: 0,
                probed_us: 0,
            });
        }
        Self { policy, searchers, probe_interval_us, next: 0 }
    }

    /// Sets whether a searcher may be chosen.
    pub fn set_standing(&mut self, searcher: u16, standing: Standing) {
        self.searchers[usize::from(searcher)].standing = standing;
    }

    /// Counts a call that was sent.
    pub fn sent(&mut self, searcher: u16) {
        self.searchers[usize::from(searcher)].in_flight += 1;
    }

    /// Counts a call that was answered, refused or given up.
    pub fn ended(&mut self, searcher: u16) {
        let searcher = &mut self.searchers[usize::from(searcher)];
        searcher.in_flight = searcher.in_flight.saturating_sub(1);
    }

    /// Takes the latency of an answer.
    pub fn answered(&mut self, now_us: u64, searcher: u16, latency_us: u64) {
        let latency = &mut self.searchers[usize::from(searcher)].latency;
        latency.record(now_us, latency_us as f64);
    }

    /// Takes the age of a call that is not answered yet, if it is worse than what was expected.
    pub fn overdue(&mut self, now_us: u64, searcher: u16, age_us: u64) {
        let latency = &mut self.searchers[usize::from(searcher)].latency;
        if latency.mean().is_some_and(|mean_us| mean_us >= age_us as f64) {
            return;
        }
        latency.record(now_us, age_us as f64);
    }

    /// Takes an owner's word.
    pub fn reported(&mut self, searcher: u16, report: Report) {
        self.searchers[usize::from(searcher)].report = report;
    }

    /// Chooses the calls for all shards. `seed` is drawn anew for each query.
    pub fn choose(&mut self, now_us: u64, layout: &Layout, seed: u64) -> Plan {
        let shard_count = layout.holders.len();
        let mut plan = Plan::default();
        let mut open = vec![0_u64; shard_count.div_ceil(64)];
        for shard in 0..shard_count {
            open[shard / 64] |= 1 << (shard % 64);
        }
        let costs: Vec<f64> = self.searchers.iter().map(|known| known.cost_us(now_us)).collect();
        let mut draw = Draw(seed);
        self.next = self.next.wrapping_add(1);
        let first = draw.below(shard_count.max(1));
        for step in 0..shard_count {
            let shard = (first + step) % shard_count;
            if open[shard / 64] >> (shard % 64) & 1 == 0 {
                continue;
            }
            let holders = &layout.holders[shard];
            let chosen = match self.policy {
                policy::Policy::Plain => self.round_robin(holders),
                policy::Policy::Full => self.best(layout, holders, &costs, &open, &mut draw),
            };
            let Some(searcher) = chosen else {
                open[shard / 64] &= !(1 << (shard % 64));
                plan.missing.push(shard as u32);
                continue;
            };
            let shards = layout.close(searcher, &mut open);
            plan.calls.push(Call { searcher, shards });
        }
        plan.missing.sort_unstable();
        plan
    }

    /// Another searcher for the shards of a call, for a hedge or a retry.
    pub fn alternative(
        &self,
        now_us: u64,
        layout: &Layout,
        call: &Call,
        tried: &[u16],
    ) -> Option<u16> {
        let shard = *call.shards.first()?;
        let mut best: Option<(Standing, f64, u16)> = None;
        for holder in &layout.holders[shard as usize] {
            let known = &self.searchers[usize::from(*holder)];
            if known.standing == Standing::Draining || tried.contains(holder) {
                continue;
            }
            if !layout.holds_all(*holder, &call.shards) {
                continue;
            }
            let rated = (known.standing, known.cost_us(now_us) * (1.0 + known.load()), *holder);
            if best.is_none_or(|best| rated < best) {
                best = Some(rated);
            }
        }
        best.map(|(_, _, holder)| holder)
    }

    /// A slow searcher that holds the call's shards and is due for a probe: an extra call beside the
    /// one that the query needs, so that the query does not wait for it.
    pub fn probe(&mut self, now_us: u64, layout: &Layout, call: &Call) -> Option<u16> {
        if self.policy == policy::Policy::Plain {
            return None;
        }
        let shard = *call.shards.first()?;
        let chosen = &self.searchers[usize::from(call.searcher)];
        let chosen_us = chosen.cost_us(now_us) - chosen.distance.round_trip_us() as f64;
        for holder in &layout.holders[shard as usize] {
            let known = &mut self.searchers[usize::from(*holder)];
            let slow_us = known.cost_us(now_us) - known.distance.round_trip_us() as f64;
            if known.standing != Standing::Usable || known.in_flight > 0 {
                continue;
            }
            if slow_us <= SLOW_FACTOR * chosen_us.max(NEAR_US) {
                continue;
            }
            if now_us < known.probed_us + self.probe_interval_us {
                continue;
            }
            if !layout.holds_all(*holder, &call.shards) {
                continue;
            }
            known.probed_us = now_us;
            return Some(*holder);
        }
        None
    }

    fn round_robin(&self, holders: &[u16]) -> Option<u16> {
        for step in 0..holders.len() {
            let holder = holders[(self.next + step) % holders.len()];
            if self.searchers[usize::from(holder)].standing != Standing::Draining {
                return Some(holder);
            }
        }
        None
    }

    /// The less loaded of two among the near-equal holders that close the most shards.
    fn best(
        &self,
        layout: &Layout,
        holders: &[u16],
        costs: &[f64],
        open: &[u64],
        draw: &mut Draw,
    ) -> Option<u16> {
        let standing = |holder: &u16| self.searchers[usize::from(*holder)].standing;
        let least_standing = holders.iter().map(standing).min()?;
        if least_standing == Standing::Draining {
            return None;
        }
        let mut least_us = f64::INFINITY;
        for holder in holders {
            if standing(holder) == least_standing {
                least_us = least_us.min(costs[usize::from(*holder)]);
            }
        }
        let limit_us = (least_us * NEAR_FACTOR).max(least_us + NEAR_US);
        let mut most_gain = 0;
        let mut near: Vec<u16> = Vec::with_capacity(holders.len());
        for holder in holders {
            if standing(holder) != least_standing || costs[usize::from(*holder)] > limit_us {
                continue;
            }
            let gain = layout.gain(*holder, open);
            if gain > most_gain {
                near.clear();
                most_gain = gain;
            }
            if gain == most_gain {
                near.push(*holder);
            }
        }
        self.less_loaded(&near, draw)
    }

    fn less_loaded(&self, near: &[u16], draw: &mut Draw) -> Option<u16> {
        if near.len() < 2 {
            return near.first().copied();
        }
        let first = draw.below(near.len());
        let second = (first + 1 + draw.below(near.len() - 1)) % near.len();
        let (first, second) = (near[first], near[second]);
        let first_load = self.searchers[usize::from(first)].load();
        if self.searchers[usize::from(second)].load() < first_load {
            return Some(second);
        }
        Some(first)
    }
}

/// Draws numbers from a seed.
struct Draw(u64);

impl Draw {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let hash = xxhash_rust::xxh3::xxh3_64(&self.0.to_le_bytes());
        ((u128::from(hash) * bound as u128) >> 64) as usize
    }
}
