//! The routing by expected work: the estimates, the choices under load in a simulation without a network or a clock, and
//! that the default routing chooses as it did before.

mod forward_support;

use compact_str::CompactString;
use forward_support::NEAR;
use forward_support::SECOND_US;
use forward_support::record;
use forward_support::searcher;
use forward_support::service;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time;
use tarragondoor::expected_work::backlog;
use tarragondoor::expected_work::cost;
use tarragondoor::expected_work::load;
use tarragondoor::expected_work::routing::Routing;
use tarragondoor::forward::balancer;
use tarragondoor::forward::endpoint;
use tarragondoor::forward::latency;
use tarragondoor::forward::query;
use tarragondoor::placement::homes;

const REPLICAS: usize = 3;
const SLOTS: usize = 4;
/// The active instances of one region of three, of some 20 in all.
const INSTANCES: usize = 7;
const ROUND_TRIP_US: u64 = 300;
const WARM_UP_US: u64 = 5 * SECOND_US;
const DURATION_US: u64 = 60 * SECOND_US;
const SEED: u64 = 7;
const ROUTES: [&str; 2] = ["first", "second"];
/// Hedges per part of a request.
const HEDGE_BUDGET_RATIO: f64 = 0.1;

/// A load pattern: what arrives, and how fast the searchers are.
#[derive(Clone, Copy)]
struct Pattern {
    name: &'static str,
    shards: usize,
    /// The mean work of each kind of request, with its share of the requests.
    kinds: &'static [(u64, f64)],
    requests_per_s: f64,
    /// The standard deviation of the logarithm of the work.
    spread: f64,
    /// The share of requests that cost five times as much.
    expensive_share: f64,
    /// The speed of each replica.
    speeds: [f64; REPLICAS],
    /// The speed of a searcher during an episode; 0 is a pause.
    episode_speed: f64,
    /// The shortest and longest duration of an episode.
    episode_us: (u64, u64),
    /// The period of the episodes of one searcher, 0 if there are none.
    period_us: u64,
}

const STEADY: Pattern = Pattern {
    name: "steady",
    shards: 1,
    kinds: &[(15_000, 1.0)],
    // Uses 60 % of the slots.
    requests_per_s: 480.0,
    spread: 0.35,
    expensive_share: 0.0,
    speeds: [1.0; REPLICAS],
    episode_speed: 1.0,
    episode_us: (0, 0),
    period_us: 0,
};

const SPEEDS: Pattern = Pattern { name: "speeds", speeds: [0.8, 1.0, 1.3], ..STEADY };

/// A machine is 2.5 times slower for 0.6 s of every 4 s: 15 % of the time.
const SLOW_MACHINES: Pattern = Pattern {
    name: "slow machines",
    episode_speed: 0.4,
    episode_us: (600_000, 600_000),
    period_us: 4 * SECOND_US,
    ..STEADY
};

const EXPENSIVE: Pattern =
    Pattern { name: "expensive", spread: 0.5, expensive_share: 0.01, ..STEADY };

const PAUSES: Pattern = Pattern {
    name: "pauses",
    shards: 36,
    requests_per_s: 79.0,
    episode_speed: 0.0,
    episode_us: (200_000, 250_000),
    period_us: 4_500_000,
    ..STEADY
};

/// Uses 10 % of the slots, so that the speed of the machines decides.
const GATHERS: Pattern = Pattern { name: "gathers", speeds: SPEEDS.speeds, period_us: 0, ..PAUSES };

const SLOW_GATHERS: Pattern = Pattern {
    name: "slow gathers",
    episode_speed: SLOW_MACHINES.episode_speed,
    episode_us: SLOW_MACHINES.episode_us,
    period_us: SLOW_MACHINES.period_us,
    ..GATHERS
};

/// Uses 60 % of the slots.
const TWO_KINDS: Pattern = Pattern {
    name: "two kinds",
    kinds: &[(15_000, 0.8), (120_000, 0.2)],
    requests_per_s: 200.0,
    ..STEADY
};

/// The time within which a gather has to be answered.
const GATHER_TARGET_US: u64 = 200_000;
/// By how much a quantile with expected work may exceed that with latency: less than clients notice, and about what
/// differs between seeds.
const TOLERANCE: f64 = 1.05;

struct Request {
    at_us: u64,
    instance: usize,
    kind: usize,
    work_us: Vec<f64>,
}

/// One searcher: the times at which its slots become free, and its episodes.
#[derive(Clone)]
struct Searcher {
    free_us: [u64; SLOTS],
    /// The ends of all requests so far that are later than the last arrival.
    ends_us: Vec<u64>,
    speed: f64,
    episode_speed: f64,
    /// Starts and ends of the episodes.
    episodes: Vec<(u64, u64)>,
}

impl Searcher {
    /// Processes a request, first come first served, and returns when it ends.
    fn process(&mut self, now_us: u64, work_us: f64) -> u64 {
        self.ends_us.retain(|end_us| *end_us > now_us);
        let slot = (0..SLOTS).min_by_key(|slot| self.free_us[*slot]).unwrap();
        let mut at_us = self.free_us[slot].max(now_us) as f64;
        let mut remaining_us = work_us / self.speed;
        let first = self.episodes.partition_point(|(_, end_us)| (*end_us as f64) <= at_us);
        for (start_us, end_us) in self.episodes[first..].iter().copied() {
            let before_us = (start_us as f64 - at_us).max(0.0);
            if remaining_us <= before_us {
                break;
            }
            remaining_us -= before_us;
            at_us += before_us;
            let during_us = (end_us as f64 - at_us) * self.episode_speed;
            if remaining_us <= during_us {
                at_us += remaining_us / self.episode_speed;
                remaining_us = 0.0;
                break;
            }
            remaining_us -= during_us;
            at_us = end_us as f64;
        }
        let end_us = (at_us + remaining_us) as u64;
        self.free_us[slot] = end_us;
        self.ends_us.push(end_us);
        end_us
    }

    fn load(&self, now_us: u64) -> load::Load {
        let present = self.ends_us.iter().filter(|end_us| **end_us > now_us).count();
        let running = present.min(SLOTS);
        let is_episode =
            self.episodes.iter().any(|(start_us, end_us)| (*start_us..*end_us).contains(&now_us));
        let percent = match is_episode && self.episode_speed > 0.0 {
            true => (100.0 / self.episode_speed) as u32,
            false => 100,
        };
        load::Load {
            running: running as u32,
            waiting: (present - running) as u32,
            slots: SLOTS as u32,
            percent: Some(percent),
        }
    }
}

/// An instance: its balancer and its statistics of each kind.
struct Instance {
    balancer: balancer::Balancer,
    latencies: latency::Latencies,
}

struct InFlight {
    request: usize,
    shard: usize,
    sent_us: u64,
    expected_us: u64,
    choice: balancer::Choice,
}

/// What is compared under the same load.
#[derive(Clone, Copy)]
struct Variant {
    name: &'static str,
    routing: Routing,
    /// Whether the searchers state their load in answers.
    tells_load: bool,
    /// Whether a choice is made between two random searchers, not among all.
    is_of_two: bool,
    /// Whether kinds of requests differ in their routes, so that their work can be told apart.
    knows_kinds: bool,
    /// With one instance, each choice is made with all observations: a bound for what sharing them may gain.
    instances: usize,
}

const LATENCY: Variant = Variant {
    name: "latency",
    routing: Routing::Latency,
    tells_load: false,
    is_of_two: false,
    knows_kinds: true,
    instances: INSTANCES,
};
const EXPECTED_WORK: Variant =
    Variant { name: "expected-work", routing: Routing::ExpectedWork, ..LATENCY };
const STATED_LOAD: Variant =
    Variant { name: "with stated load", tells_load: true, ..EXPECTED_WORK };
/// Only printed, for docs/design/expected-work.md.
const OTHERS: [Variant; 3] = [
    Variant { name: "of two", is_of_two: true, ..EXPECTED_WORK },
    Variant { name: "kinds unknown", knows_kinds: false, ..EXPECTED_WORK },
    Variant { name: "all shared", instances: 1, ..EXPECTED_WORK },
];

/// What happens at a time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The request with this index arrives.
    Arrival(usize),
    /// The send with this index is answered.
    Answer(usize),
    /// The send with this index takes so long that its part is sent again.
    Hedge(usize),
}

/// The latencies of all requests after the warm-up, by kind, sorted.
struct Latencies {
    kinds: Vec<Vec<u64>>,
    hedges: usize,
}

impl Latencies {
    fn quantile_us(&self, kind: Option<usize>, share: f64) -> u64 {
        let mut all: Vec<u64> = match kind {
            Some(kind) => self.kinds[kind].clone(),
            None => self.kinds.iter().flatten().copied().collect(),
        };
        all.sort_unstable();
        all[((all.len() - 1) as f64 * share) as usize]
    }
}

/// A sample of the standard normal distribution, by the sum of uniform ones.
fn normal(rng: &mut rngs::StdRng) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

fn requests(pattern: Pattern, rng: &mut rngs::StdRng) -> Vec<Request> {
    let mut requests = Vec::new();
    let mut at_us = SECOND_US as f64;
    loop {
        at_us += -(1.0 - rng.random::<f64>()).ln() * 1e6 / pattern.requests_per_s;
        if at_us >= (WARM_UP_US + DURATION_US) as f64 {
            return requests;
        }
        let mut pick = rng.random::<f64>();
        let mut kind = 0;
        while kind + 1 < pattern.kinds.len() && pick >= pattern.kinds[kind].1 {
            pick -= pattern.kinds[kind].1;
            kind += 1;
        }
        let mut work_us = Vec::new();
        for _ in 0..pattern.shards {
            let mean_us = pattern.kinds[kind].0 as f64;
            let is_expensive = rng.random::<f64>() < pattern.expensive_share;
            let factor = if is_expensive { 5.0 } else { 1.0 };
            // The mean of the factor is 1.
            let spread = (normal(rng) * pattern.spread - pattern.spread.powi(2) / 2.0).exp();
            work_us.push(mean_us * factor * spread);
        }
        let instance = rng.random_range(0..INSTANCES);
        requests.push(Request { at_us: at_us as u64, instance, kind, work_us });
    }
}

fn searchers(pattern: Pattern, rng: &mut rngs::StdRng) -> Vec<Searcher> {
    let mut searchers = Vec::new();
    for _ in 0..pattern.shards {
        for replica in 0..REPLICAS {
            let mut episodes = Vec::new();
            if pattern.period_us > 0 {
                let mut start_us = rng.random_range(0..pattern.period_us);
                while start_us < 2 * DURATION_US {
                    let (min_us, max_us) = pattern.episode_us;
                    episodes.push((start_us, start_us + rng.random_range(min_us..=max_us)));
                    start_us += pattern.period_us;
                }
            }
            searchers.push(Searcher {
                free_us: [0; SLOTS],
                ends_us: Vec::new(),
                speed: pattern.speeds[replica],
                episode_speed: pattern.episode_speed,
                episodes,
            });
        }
    }
    searchers
}

fn shard_name(shard: usize) -> String {
    format!("shard{shard:02}")
}

fn instance(pattern: Pattern, variant: Variant, number: usize) -> Instance {
    let mut records = Vec::new();
    for shard in 0..pattern.shards {
        for replica in 0..REPLICAS {
            let name = shard_name(shard);
            let number = (shard * REPLICAS + replica + 1) as u16;
            records.push(record(&format!("{name}-{replica}"), searcher(&name, NEAR, number)));
        }
    }
    let mut balancer = balancer::Balancer::default();
    balancer.set_routing(variant.routing);
    balancer.set_seed(SEED + number as u64);
    balancer.set_instance_counts(balancer::InstanceCounts {
        active: 3 * variant.instances as u32,
        active_in_region: variant.instances as u32,
        is_active: true,
    });
    balancer.sync(0, &records, |_| endpoint::Distance::SameDomain, |_| 1_000);
    Instance { balancer, latencies: latency::Latencies::default() }
}

/// The simulated instances and searchers.
struct Simulation {
    pattern: Pattern,
    variant: Variant,
    rng: rngs::StdRng,
    requests: Vec<Request>,
    searchers: Vec<Searcher>,
    instances: Vec<Instance>,
    sends: Vec<InFlight>,
    hedge_count: usize,
    events: BinaryHeap<Reverse<(u64, Event)>>,
}

impl Variant {
    fn route(&self, kind: usize) -> &'static str {
        if self.knows_kinds { ROUTES[kind] } else { ROUTES[0] }
    }
}

impl Simulation {
    fn new(pattern: Pattern, variant: Variant) -> Self {
        let mut rng = rngs::StdRng::seed_from_u64(SEED);
        let searchers = searchers(pattern, &mut rng);
        let mut requests = requests(pattern, &mut rng);
        for request in &mut requests {
            request.instance %= variant.instances;
        }
        let arrivals = requests.iter().enumerate();
        let events =
            arrivals.map(|(index, request)| Reverse((request.at_us, Event::Arrival(index))));
        Self {
            pattern,
            variant,
            rng,
            searchers,
            instances: (0..variant.instances)
                .map(|number| instance(pattern, variant, number))
                .collect(),
            sends: Vec::new(),
            hedge_count: 0,
            events: events.collect(),
            requests,
        }
    }

    /// Sends one part of a request to a searcher that is not in `tried`.
    fn send(&mut self, now_us: u64, request_index: usize, shard: usize, tried: &[CompactString]) {
        let request = &self.requests[request_index];
        let Instance { balancer, latencies } = &mut self.instances[request.instance];
        let route = self.variant.route(request.kind);
        let median_us = latencies.median_us(route);
        let size = cost::RequestSize::default();
        let expected_us = balancer.expected_work_us(now_us, route, size, median_us);
        let profile = balancer::RequestProfile {
            homes: &homes::Homes::Any,
            median_processing_us: expected_us,
            priority: 0,
            cross_region_penalty_us: 0,
        };
        let name = shard_name(shard);
        let mut excluded = tried.to_vec();
        if self.variant.is_of_two && tried.is_empty() {
            excluded.push(format!("{name}-{}", self.rng.random_range(0..REPLICAS)).into());
        }
        let candidate = balancer.find(now_us, &service(&name), &excluded, profile).unwrap();
        let choice = balancer.start_send(now_us, candidate);
        let searcher = &mut self.searchers[replica_index(&choice.endpoint, shard)];
        let end_us = searcher.process(now_us + ROUND_TRIP_US / 2, request.work_us[shard]);
        let index = self.sends.len();
        self.events.push(Reverse((end_us + ROUND_TRIP_US / 2, Event::Answer(index))));
        // As in `forward::query`. Only parts of gathers are hedged here, so that the load of the other patterns is the
        // same with both routings.
        if self.pattern.shards > 1 && tried.is_empty() {
            let due_us = now_us + (ROUND_TRIP_US + 2 * expected_us).max(8_000);
            self.events.push(Reverse((due_us, Event::Hedge(index))));
        }
        let sent_us = now_us;
        self.sends.push(InFlight { request: request_index, shard, sent_us, expected_us, choice });
    }

    /// Reports an answer to the instance that has sent the request.
    fn finish(&mut self, now_us: u64, index: usize) {
        let send = &self.sends[index];
        let request = &self.requests[send.request];
        let endpoint = &send.choice.endpoint;
        if self.variant.tells_load {
            let searcher = &self.searchers[replica_index(endpoint, send.shard)];
            endpoint.set_load(searcher.load(now_us - ROUND_TRIP_US / 2));
        }
        let Instance { balancer, latencies } = &mut self.instances[request.instance];
        let latency_us = now_us - send.sent_us;
        let report = balancer::Report::Answered { latency_us };
        let sample =
            balancer.finish_send(now_us, endpoint, &send.choice.send_id, send.expected_us, report);
        let route = self.variant.route(request.kind);
        if let Some(sample) = sample {
            balancer.record_work(now_us, route, cost::RequestSize::default(), sample);
        }
        latencies.record(route, latency_us - ROUND_TRIP_US);
    }
}

fn simulate(pattern: Pattern, variant: Variant) -> Latencies {
    let mut simulation = Simulation::new(pattern, variant);
    let mut is_answered = vec![vec![false; pattern.shards]; simulation.requests.len()];
    let mut latencies = vec![Vec::new(); pattern.kinds.len()];
    while let Some(Reverse((now_us, event))) = simulation.events.pop() {
        match event {
            Event::Arrival(index) => {
                for shard in 0..pattern.shards {
                    simulation.send(now_us, index, shard, &[]);
                }
            }
            Event::Hedge(index) => {
                let send = &simulation.sends[index];
                let (request, shard) = (send.request, send.shard);
                let first_count = simulation.sends.len() - simulation.hedge_count;
                let is_allowed =
                    simulation.hedge_count as f64 <= first_count as f64 * HEDGE_BUDGET_RATIO;
                if is_answered[request][shard] || !is_allowed {
                    continue;
                }
                let tried = [send.choice.endpoint.id.clone()];
                simulation.hedge_count += 1;
                simulation.send(now_us, request, shard, &tried);
            }
            Event::Answer(index) => {
                simulation.finish(now_us, index);
                let send = &simulation.sends[index];
                let parts = &mut is_answered[send.request];
                if std::mem::replace(&mut parts[send.shard], true) || parts.contains(&false) {
                    continue;
                }
                let request = &simulation.requests[send.request];
                if request.at_us >= WARM_UP_US {
                    latencies[request.kind].push(now_us - request.at_us);
                }
            }
        }
    }
    Latencies { kinds: latencies, hedges: simulation.hedge_count }
}

fn replica_index(endpoint: &endpoint::Endpoint, shard: usize) -> usize {
    let (_, replica) = endpoint.id.rsplit_once('-').unwrap();
    shard * REPLICAS + replica.parse::<usize>().unwrap()
}

const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// Simulates a pattern and prints the quantiles of the latencies.
fn print_result(pattern: Pattern, variant: Variant) -> Latencies {
    let result = simulate(pattern, variant);
    let ms = |kind, share| result.quantile_us(kind, share) as f64 / 1_000.0;
    let [p50, p95, p99] = QUANTILES.map(|share| ms(None, share));
    let mut line = format!("{:14} {:17} {p50:6.1} {p95:6.1} {p99:6.1}", pattern.name, variant.name);
    if pattern.kinds.len() > 1 {
        for kind in 0..pattern.kinds.len() {
            line +=
                &format!("  kind {kind}: {:6.1} {:6.1}", ms(Some(kind), 0.5), ms(Some(kind), 0.95));
        }
    }
    println!("{line}  hedges {}", result.hedges);
    result
}

/// Simulates a pattern with both routings, prints the quantiles, and checks that expected work is within the tolerance.
/// Returns the latencies for latency, for expected work, and for expected work with stated load.
fn compare(pattern: Pattern) -> [Latencies; 3] {
    let [latency, expected, told] =
        [LATENCY, EXPECTED_WORK, STATED_LOAD].map(|variant| print_result(pattern, variant));
    for variant in OTHERS {
        print_result(pattern, variant);
    }
    for share in QUANTILES {
        let limit_us = latency.quantile_us(None, share) as f64 * TOLERANCE;
        for result in [&expected, &told] {
            let actual_us = result.quantile_us(None, share) as f64;
            assert!(actual_us <= limit_us, "{} p{share}: {actual_us} us", pattern.name);
        }
    }
    [latency, expected, told]
}

/// Machines of different hardware: the fast ones have to get more.
#[test]
fn fast_searchers_get_more_requests() {
    let [latency, expected, _] = compare(SPEEDS);
    assert!(expected.quantile_us(None, 0.95) < latency.quantile_us(None, 0.95));
}

/// A machine that is slow for a moment has to be left at once and used again at once.
#[test]
fn machines_that_are_slow_for_a_moment_are_avoided() {
    let [latency, expected, _] = compare(SLOW_MACHINES);
    assert!(expected.quantile_us(None, 0.95) < latency.quantile_us(None, 0.95));
}

/// The same for gathers, which wait for the slowest of 36 parts.
#[test]
fn gathers_use_fast_searchers() {
    let [latency, expected, _] = compare(GATHERS);
    assert!(expected.quantile_us(None, 0.5) < latency.quantile_us(None, 0.5));
    assert!(expected.quantile_us(None, 0.95) < latency.quantile_us(None, 0.95));
    assert!(expected.hedges < latency.hedges);
}

/// With few answers from each searcher, only what the searchers state can tell of a slow machine in time.
#[test]
fn gathers_avoid_searchers_that_state_that_they_are_slow() {
    let [latency, _, told] = compare(SLOW_GATHERS);
    assert!(told.quantile_us(None, 0.95) < latency.quantile_us(None, 0.95));
    assert!(told.quantile_us(None, 0.99) < latency.quantile_us(None, 0.99));
}

/// A request that happens to be expensive must not make its searcher count as slow.
#[test]
fn expensive_requests_do_not_spoil_the_estimates() {
    compare(EXPENSIVE);
}

/// A gather is as slow as its slowest part, so one paused searcher delays it.
#[test]
fn gathers_avoid_paused_searchers() {
    let [latency, expected, _] = compare(PAUSES);
    assert!(expected.quantile_us(None, 0.99) <= latency.quantile_us(None, 0.99));
    assert!(expected.quantile_us(None, 0.95) <= GATHER_TARGET_US);
}

/// A searcher with a few long requests has more to do than one with as many short ones.
#[test]
fn short_requests_avoid_searchers_with_long_ones() {
    let [latency, expected, _] = compare(TWO_KINDS);
    assert!(expected.quantile_us(Some(0), 0.95) < latency.quantile_us(Some(0), 0.95));
}

/// The default routing as it was before expected work, for comparison.
mod previous {
    use super::balancer::Report;

    pub const MEDIAN_US: f64 = 30_000.0;

    #[derive(Clone)]
    pub struct Stats {
        slowness: f64,
        failure_rate: f64,
        updated_us: u64,
        loss_rate: f64,
        loss_updated_us: u64,
        pub backoff_until_us: u64,
        backoff_us: u64,
        pub in_flight: Vec<(u64, u64)>,
    }

    impl Stats {
        pub fn new() -> Self {
            Self {
                slowness: 1.3,
                failure_rate: 0.0,
                updated_us: 0,
                loss_rate: 0.0,
                loss_updated_us: 0,
                backoff_until_us: 0,
                backoff_us: 150_000,
                in_flight: Vec::new(),
            }
        }

        fn decay(&self, now_us: u64) -> f64 {
            (-(now_us.saturating_sub(self.updated_us) as f64) / 700_000.0).exp2()
        }

        fn loss_rate(&self, now_us: u64) -> f64 {
            let age_us = now_us.saturating_sub(self.loss_updated_us) as f64;
            self.loss_rate * (-age_us / 3_000_000.0).exp2()
        }

        fn slowness(&self, now_us: u64) -> f64 {
            1.0 + (self.slowness - 1.0) * self.decay(now_us)
        }

        fn observe(&mut self, now_us: u64, sample: Option<f64>, failed: bool) {
            let slowness = self.slowness(now_us);
            let rate = self.failure_rate * self.decay(now_us);
            self.slowness = sample
                .map_or(slowness, |sample| slowness + (sample.clamp(0.2, 30.0) - slowness) * 0.25);
            let sample = if failed { 1.0 } else { 0.0 };
            self.failure_rate = rate + (sample - rate) * 0.25;
            self.updated_us = now_us;
        }

        fn observe_loss(&mut self, now_us: u64, sample: f64) {
            let rate = self.loss_rate(now_us);
            self.loss_rate = rate + (sample - rate) * 0.25;
            self.loss_updated_us = now_us;
        }

        fn back_off(&mut self, now_us: u64) {
            self.backoff_until_us = now_us + self.backoff_us;
            self.backoff_us = (self.backoff_us * 2).min(2_400_000);
        }

        pub fn finish(&mut self, now_us: u64, round_trip_us: u64, report: Report) {
            let slowness = |us: u64| us.saturating_sub(round_trip_us) as f64 / MEDIAN_US;
            match report {
                Report::Answered { latency_us } => {
                    self.observe(now_us, Some(slowness(latency_us)), false);
                    self.observe_loss(now_us, 0.0);
                    self.backoff_us = 150_000;
                    self.backoff_until_us = 0;
                }
                Report::Failed => self.observe_loss(now_us, 1.0),
                Report::Full => {
                    self.observe(now_us, None, true);
                    self.backoff_until_us = self.backoff_until_us.max(now_us + 60_000);
                }
                Report::Unreachable => {
                    self.observe(now_us, None, true);
                    self.back_off(now_us);
                }
                Report::Silent { waited_us } => {
                    self.observe(now_us, Some(slowness(waited_us)), true);
                    self.back_off(now_us);
                }
                Report::ConnectionReset | Report::Cancelled => {}
            }
        }

        pub fn expected_us(&self, now_us: u64, round_trip_us: f64, sharing_count: f64) -> f64 {
            let processing_us = MEDIAN_US * self.slowness(now_us);
            let waiting = (self.in_flight.len() as f64 * sharing_count - 4.0 + 1.0).max(0.0);
            let mut expected_us = round_trip_us + processing_us * (1.0 + waiting / 4.0);
            let oldest_us = self.in_flight.iter().map(|(_, sent_us)| *sent_us).min();
            if let Some(oldest_us) = oldest_us {
                let age_us = now_us.saturating_sub(oldest_us) as f64;
                if age_us > (round_trip_us + processing_us) * 2.5 + 12_000.0 {
                    expected_us += age_us.clamp(200_000.0, 600_000.0);
                }
            }
            expected_us
                + self.failure_rate * self.decay(now_us) * (80_000.0 + MEDIAN_US)
                + self.loss_rate(now_us) * (200_000.0 + MEDIAN_US)
        }
    }
}

/// Guards against a change of the default routing: the same searchers are chosen with the same expected latency as
/// before, whatever was reported of them.
#[test]
fn the_default_routing_chooses_as_before() {
    fn property(seed: u64, steps: Vec<(u8, u16, u32)>) -> bool {
        let mut balancer = forward_support::balancer(&["a"]);
        balancer.set_seed(seed);
        let mut rng = rngs::SmallRng::seed_from_u64(seed);
        let mut stats = vec![previous::Stats::new(); REPLICAS];
        let mut sends: Vec<(usize, u64, balancer::Choice)> = Vec::new();
        let mut now_us = 0;
        let mut next_send = 0;
        let round_trip_us = |replica: usize| if replica == 0 { 300 } else { 32_000 };
        for (step, delay, figure) in steps {
            now_us += u64::from(delay) * 16;
            if step % 2 == 1 && !sends.is_empty() {
                let (replica, send, choice) = sends.swap_remove(figure as usize % sends.len());
                let waited_us = u64::from(figure) % 500_000;
                let report = match step / 2 % 7 {
                    0 => balancer::Report::Failed,
                    1 => balancer::Report::Full,
                    2 => balancer::Report::Silent { waited_us },
                    3 => balancer::Report::Cancelled,
                    4 => balancer::Report::Unreachable,
                    _ => balancer::Report::Answered { latency_us: waited_us },
                };
                let median_us = previous::MEDIAN_US as u64;
                let sample = balancer.finish_send(
                    now_us,
                    &choice.endpoint,
                    &choice.send_id,
                    median_us,
                    report,
                );
                assert!(sample.is_none());
                stats[replica].in_flight.retain(|(known, _)| *known != send);
                stats[replica].finish(now_us, round_trip_us(replica), report);
                continue;
            }
            let penalty_us = u64::from(figure) % 50_000;
            let profile = balancer::RequestProfile {
                homes: &homes::Homes::Any,
                median_processing_us: previous::MEDIAN_US as u64,
                priority: 0,
                cross_region_penalty_us: penalty_us,
            };
            let mut best: Option<(bool, f64, usize, u64)> = None;
            for (replica, stats) in stats.iter().enumerate() {
                if stats.in_flight.len() >= if replica == 0 { 18 } else { 8 } {
                    continue;
                }
                let expected_us = stats.expected_us(now_us, round_trip_us(replica) as f64, 1.0);
                let penalty_us = if replica == 0 { 0.0 } else { penalty_us as f64 };
                let cost = (expected_us + penalty_us) * (1.0 + 0.08 * rng.random::<f64>());
                let is_backed_off = now_us < stats.backoff_until_us;
                let is_better =
                    best.is_none_or(|(backed, known, ..)| (is_backed_off, cost) < (backed, known));
                if is_better {
                    best = Some((is_backed_off, cost, replica, expected_us as u64));
                }
            }
            let found = balancer.find(now_us, &service("a"), &[], profile);
            let Some((_, _, replica, expected_us)) = best else {
                if found.is_some() {
                    return false;
                }
                continue;
            };
            let Some(candidate) = found else {
                return false;
            };
            let choice = balancer.start_send(now_us, candidate);
            if *choice.endpoint.id != format!("a-{replica}") || choice.expected_us != expected_us {
                return false;
            }
            stats[replica].in_flight.push((next_send, now_us));
            sends.push((replica, next_send, choice));
            next_send += 1;
        }
        true
    }
    quickcheck::QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(u64, Vec<(u8, u16, u32)>) -> bool);
}

/// Operators write these names on the command line.
#[test]
fn routings_have_names() {
    assert_eq!("latency".parse(), Ok(Routing::Latency));
    assert_eq!("expected-work".parse(), Ok(Routing::ExpectedWork));
    assert!("expected_work".parse::<Routing>().is_err());
    assert_eq!(Routing::default(), Routing::Latency);
}

/// An unreadable load must not replace the last one, or count as none.
#[test]
fn loads_are_read_or_rejected() {
    let cases = [
        ("1,2,4", Some((1, 2, 4, None))),
        (" 1, 2, 4, 250 ", Some((1, 2, 4, Some(250)))),
        ("1,2,4,4000000000", Some((1, 2, 4, Some(10_000)))),
        ("", None),
        ("1,2", None),
        ("1,2,0", None),
        ("1,2,4,0", None),
        ("1,2,4,100,5", None),
        ("1,-2,4", None),
        ("1,2,4,99999999999999", None),
        ("a,b,c", None),
    ];
    for (text, expected) in cases {
        let load = text.parse::<load::Load>().ok();
        let figures = load.map(|load| (load.running, load.waiting, load.slots, load.percent));
        assert_eq!(figures, expected, "{text:?}");
    }
}

/// Guards against estimates from a few samples of another size, and against those of the distant past.
#[test]
fn costs_are_learned_by_class_and_fall_back() {
    let mut model = cost::Model::default();
    let small = cost::RequestSize { bytes: 100, records: 1 };
    let large = cost::RequestSize { bytes: 100_000, records: 500 };
    assert_eq!(model.expected_us(0, "r", small, 30_000.0), 30_000.0);
    for at_us in 0..200 {
        model.record(at_us, "r", small, 10_000.0);
        model.record(at_us, "r", large, 50_000.0);
    }
    let near = |actual: f64, expected: f64| (actual / expected - 1.0).abs() < 0.15;
    assert!(near(model.expected_us(200, "r", small, 30_000.0), 10_000.0));
    assert!(near(model.expected_us(200, "r", large, 30_000.0), 50_000.0));
    // A class without samples takes the geometric mean of the route.
    let medium = cost::RequestSize { bytes: 5_000, records: 20 };
    assert!(near(model.expected_us(200, "r", medium, 30_000.0), 22_361.0));
    assert!(near(model.expected_us(3_600 * SECOND_US, "r", large, 20_000.0), 20_000.0));
    // One request that costs a hundred times as much moves the estimate little.
    model.record(201, "r", small, 1_000_000.0);
    assert!(near(model.expected_us(202, "r", small, 30_000.0), 10_300.0));
    assert_eq!(cost::RequestSize::of(b"a\nb\nc").records, 3);
    assert_eq!(cost::RequestSize::of(b"a\nb\n").records, 2);
    assert_eq!(cost::RequestSize::of(b"").records, 0);
}

/// Guards against a backlog that forgets or keeps what was sent, and against a pause that is not noticed.
#[test]
fn a_backlog_shrinks_with_time_and_a_pause_raises_it() {
    let profile = backlog::Profile { round_trip_us: 300.0, slots: 4.0, sharing_count: 1.0 };
    let mut backlog = backlog::Backlog::new(0);
    // The searcher has just started; its initial deviation has faded by then.
    let now_us = 60 * SECOND_US;
    let idle = backlog.estimate(now_us, 20_000.0, profile);
    for id in 0..8 {
        let estimate = backlog.estimate(now_us, 20_000.0, profile);
        backlog.start(now_us, id, 20_000.0, estimate);
    }
    let busy = backlog.estimate(now_us, 20_000.0, profile);
    assert!(busy.waiting_us > idle.waiting_us + 20_000.0, "{idle:?} {busy:?}");
    let later = backlog.estimate(now_us + 15_000, 20_000.0, profile);
    assert!(later.waiting_us < busy.waiting_us, "{later:?}");
    let paused = backlog.estimate(now_us + 200_000, 20_000.0, profile);
    assert!(paused.stall_us >= 200_000.0, "{paused:?}");
    for id in 0..8 {
        backlog.finish(now_us + 200_000, id, None, false, profile);
    }
    assert_eq!(backlog.outstanding_us(now_us + 200_000), 0.0);
    // What the searcher states counts at once and fades.
    let load = load::Load { running: 4, waiting: 8, slots: 4, percent: Some(250) };
    backlog.observe_load(now_us + 200_000, load);
    let told = backlog.estimate(now_us + 200_000, 20_000.0, profile);
    assert!(told.processing_us >= 35_000.0 && told.waiting_us > 10_000.0, "{told:?}");
    let faded = backlog.estimate(now_us + 3 * SECOND_US, 20_000.0, profile);
    assert!(faded.processing_us < 22_000.0 && faded.waiting_us < 1.0, "{faded:?}");
}

/// Guards against hedges of each request that is known to be expensive.
#[test]
fn expensive_requests_are_hedged_later() {
    let start_us = forward_support::START_US;
    let sizes = [(100, 10_000.0), (100_000, 120_000.0)];
    let mut fixture = forward_support::Fixture::new(&["a"]);
    fixture.balancer.set_routing(Routing::ExpectedWork);
    for _ in 0..100 {
        fixture.latencies.record("browse", 10_000);
        for (bytes, actual_us) in sizes {
            let sample = backlog::WorkSample { expected_us: actual_us, actual_us };
            let size = cost::RequestSize { bytes, records: 1 };
            fixture.balancer.record_work(start_us, "browse", size, sample);
        }
    }
    for (bytes, work_us) in sizes {
        let mut query = query::Query::new(forward_support::gather(&["a"], 1));
        query.set_size(cost::RequestSize { bytes, records: 1 });
        assert_eq!(query.start(start_us, &mut fixture.context()).len(), 1);
        let delay_us = (query.wake_at_us(start_us) - start_us) as f64;
        assert!((1.8..2.5).contains(&(delay_us / work_us)), "{bytes} bytes: {delay_us} us");
    }
}

/// Prints the time of one choice among three searchers, with its start and end.
#[test]
fn print_the_time_of_a_choice() {
    const ROUNDS: u64 = 100_000;
    for variant in [LATENCY, EXPECTED_WORK] {
        let mut fixture = instance(STEADY, variant, 0);
        let service = service(&shard_name(0));
        let profile = balancer::RequestProfile {
            homes: &homes::Homes::Any,
            median_processing_us: 15_000,
            priority: 0,
            cross_region_penalty_us: 0,
        };
        let mut elapsed = [time::Duration::ZERO; 2];
        let mut open = std::collections::VecDeque::new();
        for round in 0..ROUNDS {
            let now_us = SECOND_US + round * 1_000;
            let started = time::Instant::now();
            let candidate = fixture.balancer.find(now_us, &service, &[], profile).unwrap();
            elapsed[0] += started.elapsed();
            open.push_back(fixture.balancer.start_send(now_us, candidate));
            if open.len() > 9 {
                let choice = open.pop_front().unwrap();
                let report = balancer::Report::Answered { latency_us: 9_000 };
                let balancer = &mut fixture.balancer;
                balancer.finish_send(now_us, &choice.endpoint, &choice.send_id, 15_000, report);
            }
            elapsed[1] += started.elapsed();
        }
        let [find_ns, all_ns] = elapsed.map(|time| time.as_nanos() as u64 / ROUNDS);
        println!("{}: find {find_ns} ns, with start and end {all_ns} ns", variant.routing);
    }
}
