//! A discrete-event simulator of the policy: open-loop queries, entry instances, owners, searchers
//! and link delays.

mod entry;
mod owner;

use std::cmp;
use std::collections;
use tarragondoor::{admit, choose, hedge, policy, rank, slots};

const LINK_DELAY_US: u64 = 500;
const TICK_PERIOD_US: u64 = 5_000;
const QUEUE_MAX: u16 = 64;
/// The number of calls that a searcher queues itself before it refuses.
const SEARCHER_QUEUE_MAX: usize = 5;
pub const ENTRY_COUNT: usize = 7;
pub const SECOND_US: u64 = 1_000_000;

/// The query rates by rank, in queries/s, which apply from `from_us` until the next phase.
#[derive(Clone, Debug)]
pub struct Phase {
    pub from_us: u64,
    pub rates: [f64; 3],
}

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Setup {
    pub policy: policy::Policy,
    pub seed: u64,
    pub shards: usize,
    pub replicas: usize,
    pub slots: u16,
    pub floors_percent: [u8; 3],
    pub deadlines_us: [u64; 3],
    pub service_us: f64,
    /// The share of calls whose mean service time is ten times as long.
    pub long_share: f64,
    pub phases: Vec<Phase>,
    pub end_us: u64,
    /// Slow searchers: index, factor on the service time, and start in microseconds.
    pub slow: Vec<(usize, f64, u64)>,
    /// A searcher that stops answering: index and start in microseconds.
    pub silent: Option<(usize, u64)>,
    /// The interval in microseconds in which every second entry uses another owner. After it all
    /// entries use that one.
    pub two_owners: Option<(u64, u64)>,
    /// The share of queries that the first entry receives; the others share the remainder equally.
    pub first_entry_share: f64,
}

impl Setup {
    /// 20 shards on 60 searchers with 5 slots, calls of 10 ms, queries of 20 calls, and no load.
    pub fn new(policy: policy::Policy) -> Self {
        Self {
            policy,
            seed: 1,
            shards: 20,
            replicas: 3,
            slots: 5,
            floors_percent: [20, 20, 10],
            deadlines_us: [300_000, 500_000, 1_000_000],
            service_us: 10_000.0,
            long_share: 0.0,
            phases: Vec::new(),
            end_us: 0,
            slow: Vec::new(),
            silent: None,
            two_owners: None,
            first_entry_share: 1.0 / ENTRY_COUNT as f64,
        }
    }

    /// The query rate that keeps all slots busy, in queries/s.
    pub fn capacity(&self) -> f64 {
        let mean_us = self.service_us * (1.0 + 9.0 * self.long_share);
        self.replicas as f64 * f64::from(self.slots) * 1e6 / mean_us
    }

    /// Adds a phase with rates as shares of the capacity, by rank.
    pub fn phase(mut self, seconds: f64, load: [f64; 3]) -> Self {
        let rates = load.map(|share| share * self.capacity());
        self.phases.push(Phase { from_us: self.end_us, rates });
        self.end_us += (seconds * 1e6) as u64;
        self
    }
}

/// The results of the queries of one rank that arrived in a time span.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub arrived: usize,
    pub refused_at_entry: usize,
    pub refused_by_owner: usize,
    pub late: usize,
    pub latencies_us: Vec<u64>,
}

impl Tally {
    pub fn quantile_ms(&self, share: f64) -> f64 {
        let mut sorted = self.latencies_us.clone();
        sorted.sort_unstable();
        let index = (sorted.len() as f64 * share) as usize;
        sorted.get(index.min(sorted.len().saturating_sub(1))).map_or(0.0, |us| *us as f64 / 1e3)
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Ending {
    Open,
    /// All parts were answered before the deadline; the latency in microseconds.
    Served(u64),
    RefusedAtEntry,
    RefusedByOwner,
    Late,
}

struct Part {
    call: choose::Call,
    answered: bool,
    /// The indices of all calls for the part.
    calls: Vec<usize>,
}

struct Query {
    entry: usize,
    rank: rank::Rank,
    arrived_us: u64,
    weight: f32,
    parts: Vec<Part>,
    ending: Ending,
}

struct CallRecord {
    query: usize,
    part: usize,
    searcher: usize,
    owner: usize,
    sent_us: u64,
    started_us: u64,
    closed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Offer(usize),
    Done(usize),
    /// A call's reply: the call, whether it was answered, the admitted shares, and the load report.
    Reply(usize, bool, [u16; 3], [u32; 4]),
    Hedge(usize),
    Deadline(usize),
    Cancel(usize),
    Tick,
}

struct Owner {
    slots: slots::Slots,
    controller: admit::Controller,
}

struct Entry {
    gate: admit::Gate,
    chooser: choose::Chooser,
    hedger: hedge::Hedger,
}

#[derive(Default)]
struct Searcher {
    running: usize,
    queue: collections::VecDeque<usize>,
}

/// The state of a run, and its results after [`run`].
pub struct Run {
    setup: Setup,
    layout: choose::Layout,
    entries: Vec<Entry>,
    owners: Vec<[Owner; 2]>,
    searchers: Vec<Searcher>,
    queries: Vec<Query>,
    calls: Vec<CallRecord>,
    events: collections::BinaryHeap<cmp::Reverse<(u64, usize, Event)>>,
    sequence: usize,
    now_us: u64,
    random: u64,
    pub needed_calls: usize,
    pub extra_calls: usize,
    pub max_in_use: usize,
    /// The number of calls started while there were two owners.
    pub starts_with_two_owners: usize,
    /// The slots in use beyond the limit, summed over these starts.
    pub excess_slots: usize,
}

/// Runs a setup until no events are left.
pub fn run(setup: Setup) -> Run {
    let mut run = Run::new(setup);
    run.push(0, Event::Arrive);
    run.push(0, Event::Tick);
    while let Some(cmp::Reverse((now_us, _, event))) = run.events.pop() {
        run.now_us = now_us;
        run.handle(event);
    }
    run
}

impl Run {
    fn new(setup: Setup) -> Self {
        let count = setup.shards * setup.replicas;
        let holders = (0..setup.shards)
            .map(|shard| (0..setup.replicas).map(|r| (r * setup.shards + shard) as u16).collect());
        let layout = choose::Layout::new(count, holders.collect());
        let initial_service_us = setup.service_us as u64;
        let limits = slots::Limits {
            slots: setup.slots,
            queue_max: QUEUE_MAX,
            floors_percent: setup.floors_percent,
            service_us: initial_service_us,
        };
        let owner = || Owner {
            slots: slots::Slots::new(setup.policy, limits),
            controller: admit::Controller::new(0, setup.floors_percent, initial_service_us),
        };
        let distances = vec![choose::Distance::SameRegion; count];
        let entry = || Entry {
            gate: admit::Gate::new(count),
            chooser: choose::Chooser::new(setup.policy, distances.clone(), SECOND_US),
            hedger: hedge::Hedger::new(5),
        };
        Self {
            layout,
            entries: (0..ENTRY_COUNT).map(|_| entry()).collect(),
            owners: (0..count).map(|_| [owner(), owner()]).collect(),
            searchers: (0..count).map(|_| Searcher::default()).collect(),
            queries: Vec::new(),
            calls: Vec::new(),
            events: collections::BinaryHeap::new(),
            sequence: 0,
            now_us: 0,
            random: setup.seed,
            needed_calls: 0,
            extra_calls: 0,
            max_in_use: 0,
            starts_with_two_owners: 0,
            excess_slots: 0,
            setup,
        }
    }

    /// The results of the queries of `rank` that arrived from `from_us` until before `to_us`.
    pub fn tally(&self, rank: rank::Rank, from_us: u64, to_us: u64) -> Tally {
        let mut tally = Tally::default();
        for query in &self.queries {
            if query.rank != rank || query.arrived_us < from_us || query.arrived_us >= to_us {
                continue;
            }
            tally.arrived += 1;
            match query.ending {
                Ending::Served(latency_us) => tally.latencies_us.push(latency_us),
                Ending::RefusedAtEntry => tally.refused_at_entry += 1,
                Ending::RefusedByOwner => tally.refused_by_owner += 1,
                Ending::Late | Ending::Open => tally.late += 1,
            }
        }
        tally
    }

    /// The extra calls in percent of the needed ones.
    pub fn extra_percent(&self) -> f64 {
        self.extra_calls as f64 * 100.0 / self.needed_calls.max(1) as f64
    }

    fn push(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(cmp::Reverse((self.now_us + delay_us, self.sequence, event)));
    }

    fn uniform(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform()).ln()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.handle_arrival(),
            Event::Offer(call) => self.handle_offer(call),
            Event::Done(call) => self.handle_done(call),
            Event::Reply(call, answered, fractions, report) => {
                self.handle_reply(call, answered, fractions, report);
            }
            Event::Hedge(query) => self.hedge_query(query),
            Event::Deadline(query) => self.end_query(query, Ending::Late),
            Event::Cancel(call) => self.cancel(call),
            Event::Tick => self.tick(),
        }
    }
}
