//! A discrete-event driver of the policy: open-loop queries, entries, owners, searchers, link delays.

use std::cmp;
use std::collections;
use tarragondoor::{admit, choose, hedge, ids, policy, rank, slots};

const LINK_US: u64 = 500;
const TICK_US: u64 = 5_000;
const QUEUE_MAX: u16 = 64;
/// How many calls a searcher itself queues before it refuses.
const SEARCHER_QUEUE_MAX: usize = 5;
pub const ENTRIES: usize = 7;
pub const SECOND_US: u64 = 1_000_000;

/// Rates of queries in queries/s by rank, from a time on.
#[derive(Clone, Debug)]
pub struct Phase {
    pub from_us: u64,
    pub rates: [f64; 3],
}

/// One run.
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
    /// The share of calls that take ten times as long.
    pub long_share: f64,
    pub phases: Vec<Phase>,
    pub end_us: u64,
    /// Searchers that are slow by a factor, from a time on.
    pub slow: Vec<(usize, f64, u64)>,
    /// A searcher that goes silent at a time.
    pub silent: Option<(usize, u64)>,
    /// While this lasts, every second entry uses another owner.
    pub two_owners: Option<(u64, u64)>,
    /// The share of queries that the first entry gets; the others share the rest.
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
            first_entry_share: 1.0 / ENTRIES as f64,
        }
    }

    /// The queries/s that keep all slots busy.
    pub fn capacity(&self) -> f64 {
        let mean_us = self.service_us * (1.0 + 9.0 * self.long_share);
        self.replicas as f64 * f64::from(self.slots) * 1e6 / mean_us
    }

    /// Adds a phase of rates given as shares of the capacity.
    pub fn phase(mut self, seconds: f64, load: [f64; 3]) -> Self {
        let rates = load.map(|share| share * self.capacity());
        self.phases.push(Phase { from_us: self.end_us, rates });
        self.end_us += (seconds * 1e6) as u64;
        self
    }
}

/// What became of the queries of one rank that arrived in a span.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub arrived: usize,
    pub refused_early: usize,
    pub refused_later: usize,
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
    Served(u64),
    RefusedEarly,
    RefusedLater,
    Late,
}

struct Part {
    call: choose::Call,
    answered: bool,
    /// All calls for the part, as indices.
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
    over: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Offer(usize),
    Done(usize),
    /// A call's reply: whether it was answered.
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
    pub most_in_use: usize,
    /// Calls started while there were two owners, and the slots too many at each start, added up.
    pub starts_shared: usize,
    pub excess_slots: usize,
}

/// Runs a setup to its end.
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
        let guess_us = setup.service_us as u64;
        let limits = slots::Limits {
            slots: setup.slots,
            queue_max: QUEUE_MAX,
            floors_percent: setup.floors_percent,
            service_us: guess_us,
        };
        let owner = || Owner {
            slots: slots::Slots::new(setup.policy, limits),
            controller: admit::Controller::new(0, setup.floors_percent, guess_us),
        };
        let distances = vec![choose::Distance::SameRegion; count];
        let entry = || Entry {
            gate: admit::Gate::new(count),
            chooser: choose::Chooser::new(setup.policy, distances.clone(), SECOND_US),
            hedger: hedge::Hedger::new(5),
        };
        Self {
            layout,
            entries: (0..ENTRIES).map(|_| entry()).collect(),
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
            most_in_use: 0,
            starts_shared: 0,
            excess_slots: 0,
            setup,
        }
    }

    /// What became of the queries of `rank` that arrived from `from_us` to `to_us`.
    pub fn tally(&self, rank: rank::Rank, from_us: u64, to_us: u64) -> Tally {
        let mut tally = Tally::default();
        for query in &self.queries {
            if query.rank != rank || query.arrived_us < from_us || query.arrived_us >= to_us {
                continue;
            }
            tally.arrived += 1;
            match query.ending {
                Ending::Served(latency_us) => tally.latencies_us.push(latency_us),
                Ending::RefusedEarly => tally.refused_early += 1,
                Ending::RefusedLater => tally.refused_later += 1,
                Ending::Late | Ending::Open => tally.late += 1,
            }
        }
        tally
    }

    /// Calls beside the needed ones, in percent of these.
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
            Event::Arrive => self.arrive(),
            Event::Offer(call) => self.offer(call),
            Event::Done(call) => self.done(call),
            Event::Reply(call, answered, fractions, report) => {
                self.reply(call, answered, fractions, report);
            }
            Event::Hedge(query) => self.hedge(query),
            Event::Deadline(query) => self.end(query, Ending::Late),
            Event::Cancel(call) => self.cancel(call),
            Event::Tick => self.tick(),
        }
    }

    fn arrive(&mut self) {
        let phase = self.setup.phases.iter().rfind(|phase| phase.from_us <= self.now_us);
        let Some(rates) = phase.map(|phase| phase.rates) else {
            return;
        };
        if self.now_us >= self.setup.end_us {
            return;
        }
        let total: f64 = rates.iter().sum();
        let next_us = self.exponential(1e6 / total) as u64;
        self.push(next_us, Event::Arrive);
        let mut drawn = self.uniform() * total;
        let mut rank = rank::Rank::Urgent;
        for candidate in rank::Rank::ALL {
            rank = candidate;
            drawn -= rates[candidate.index()];
            if drawn < 0.0 {
                break;
            }
        }
        let share = self.setup.first_entry_share;
        let entry = match self.uniform() < share {
            true => 0,
            false => 1 + (self.uniform() * (ENTRIES - 1) as f64) as usize,
        };
        self.enter(entry, rank);
    }

    fn enter(&mut self, entry: usize, rank: rank::Rank) {
        let index = self.queries.len();
        let seed = (self.uniform() * 1e18) as u64;
        let at = &mut self.entries[entry];
        let plan = at.chooser.choose(self.now_us, &self.layout, seed);
        let mut admission = admit::Admission::Admit { weight: 1.0 };
        if self.setup.policy == policy::Policy::Full {
            let id = ids::QueryId(seed);
            admission = at.gate.decide(self.now_us, id, rank, &self.layout, &plan);
        }
        let mut query = Query {
            entry,
            rank,
            arrived_us: self.now_us,
            weight: 1.0,
            parts: Vec::new(),
            ending: Ending::Open,
        };
        let admit::Admission::Admit { weight } = admission else {
            query.ending = Ending::RefusedEarly;
            self.queries.push(query);
            return;
        };
        query.weight = weight;
        at.hedger.needed(plan.calls.len() as u32);
        self.needed_calls += plan.calls.len();
        let parts = plan.calls.clone().into_iter();
        query.parts = parts.map(|call| Part { call, answered: false, calls: Vec::new() }).collect();
        self.queries.push(query);
        for (part, call) in plan.calls.iter().enumerate() {
            self.send(index, part, call.searcher);
            let at = &mut self.entries[entry];
            if let Some(slow) = at.chooser.probe(self.now_us, &self.layout, call)
                && at.hedger.hedge(rank, false)
            {
                self.extra_calls += 1;
                self.send(index, part, slow);
            }
        }
        self.push(self.setup.deadlines_us[rank.index()], Event::Deadline(index));
        if let Some(delay_us) = self.entries[entry].hedger.delay_us()
            && self.setup.policy == policy::Policy::Full
        {
            self.push(delay_us, Event::Hedge(index));
        }
    }

    fn send(&mut self, query: usize, part: usize, searcher: u16) {
        let entry = self.queries[query].entry;
        let owner = match self.setup.two_owners {
            Some((from_us, _)) if self.now_us < from_us => 0,
            Some((_, to_us)) if self.now_us < to_us => entry % 2,
            Some(_) => 1,
            None => 0,
        };
        let call = self.calls.len();
        self.calls.push(CallRecord {
            query,
            part,
            searcher: usize::from(searcher),
            owner,
            sent_us: self.now_us,
            started_us: 0,
            over: false,
        });
        self.queries[query].parts[part].calls.push(call);
        self.entries[entry].chooser.sent(searcher);
        self.push(LINK_US, Event::Offer(call));
    }

    fn offer(&mut self, call: usize) {
        let record = &self.calls[call];
        if self
            .setup
            .silent
            .is_some_and(|(at, from_us)| at == record.searcher && self.now_us >= from_us)
        {
            return;
        }
        let query = &self.queries[record.query];
        let deadline_us = query.arrived_us + self.setup.deadlines_us[query.rank.index()];
        let ticket = slots::Ticket {
            call: ids::AttemptId(call as u64),
            query: ids::QueryId(record.query as u64),
            rank: query.rank,
            deadline_us,
        };
        let owner = &mut self.owners[record.searcher][record.owner];
        owner.controller.offered(self.now_us, query.rank, query.weight);
        match owner.slots.offer(self.now_us, ticket) {
            slots::Verdict::Start => self.start(call),
            slots::Verdict::Queued => {}
            slots::Verdict::Refused(_) => self.tell(call, false),
            slots::Verdict::Duplicate => unreachable!("call ids are unique"),
        }
    }

    fn start(&mut self, call: usize) {
        self.calls[call].started_us = self.now_us;
        let at = self.calls[call].searcher;
        let in_use = self.owners[at].iter().map(|owner| owner.slots.in_use()).sum();
        self.most_in_use = self.most_in_use.max(in_use);
        let shared = |(from_us, to_us)| self.now_us >= from_us && self.now_us < to_us;
        if self.setup.two_owners.is_some_and(shared) {
            self.starts_shared += 1;
            self.excess_slots += in_use.saturating_sub(usize::from(self.setup.slots));
        }
        let searcher = &mut self.searchers[at];
        if searcher.running < usize::from(self.setup.slots) {
            searcher.running += 1;
            self.work(call);
        } else if searcher.queue.len() < SEARCHER_QUEUE_MAX {
            searcher.queue.push_back(call);
        } else {
            self.release(call, slots::Outcome::Refused);
        }
    }

    fn work(&mut self, call: usize) {
        let at = self.calls[call].searcher;
        let mut mean_us = self.setup.service_us;
        if self.uniform() < self.setup.long_share {
            mean_us *= 10.0;
        }
        for (slow, factor, from_us) in &self.setup.slow {
            if *slow == at && self.now_us >= *from_us {
                mean_us *= factor;
            }
        }
        let service_us = self.exponential(mean_us) as u64;
        self.push(service_us, Event::Done(call));
    }

    fn done(&mut self, call: usize) {
        let searcher = &mut self.searchers[self.calls[call].searcher];
        searcher.running -= 1;
        let outcome = match searcher.queue.is_empty() {
            true => slots::Outcome::Answered,
            false => slots::Outcome::Crowded,
        };
        if let Some(next) = searcher.queue.pop_front() {
            searcher.running += 1;
            self.work(next);
        }
        self.release(call, outcome);
    }

    fn release(&mut self, call: usize, outcome: slots::Outcome) {
        let record = &self.calls[call];
        let rank = self.queries[record.query].rank;
        let service_us = self.now_us - record.started_us;
        let owner = &mut self.owners[record.searcher][record.owner];
        if outcome != slots::Outcome::Refused {
            owner.controller.answered(self.now_us, rank, service_us);
        }
        let id = ids::AttemptId(call as u64);
        let step = owner.slots.finish(self.now_us, id, service_us, outcome);
        self.tell(call, outcome != slots::Outcome::Refused);
        self.take(step);
    }

    fn take(&mut self, step: slots::Step) {
        for call in step.start {
            self.start(call.0 as usize);
        }
        for refused in step.refuse {
            self.tell(refused.call.0 as usize, false);
        }
    }

    fn tell(&mut self, call: usize, answered: bool) {
        let record = &self.calls[call];
        let rank = self.queries[record.query].rank;
        let owner = &mut self.owners[record.searcher][record.owner];
        let usable = owner.slots.usable_slots();
        let queued = owner.slots.queued_by_rank();
        let fractions = owner.controller.fractions(self.now_us, usable, queued).0;
        let service_us = owner.slots.service_us(rank) as u32;
        let in_use = owner.slots.in_use() as u32;
        let report = [usable as u32, in_use, owner.slots.queued() as u32, service_us];
        self.push(LINK_US, Event::Reply(call, answered, fractions, report));
    }

    fn tick(&mut self) {
        for searcher in 0..self.owners.len() {
            for owner in 0..2 {
                let step = self.owners[searcher][owner].slots.tick(self.now_us);
                self.take(step);
            }
        }
        if self.now_us < self.setup.end_us {
            self.push(TICK_US, Event::Tick);
        }
    }

    fn reply(&mut self, call: usize, answered: bool, fractions: [u16; 3], report: [u32; 4]) {
        let record = &self.calls[call];
        let (query, part, searcher) = (record.query, record.part, record.searcher as u16);
        let latency_us = self.now_us - record.sent_us;
        let at = &mut self.entries[self.queries[query].entry];
        at.gate.learn(self.now_us, searcher, admit::Fractions(fractions));
        let [slots, in_use, queued, service_us] = report;
        let (slots, in_use, queued) = (slots as u16, in_use as u16, queued as u16);
        at.chooser.reported(
            self.now_us,
            searcher,
            choose::Report { slots, in_use, queued, service_us },
        );
        if answered {
            at.chooser.answered(self.now_us, searcher, latency_us);
            at.hedger.answered(latency_us);
        }
        if self.calls[call].over {
            return;
        }
        self.calls[call].over = true;
        self.entries[self.queries[query].entry].chooser.ended(searcher);
        if !answered {
            self.refused(query, part);
            return;
        }
        self.queries[query].parts[part].answered = true;
        self.give_up(query, part);
        if self.queries[query].parts.iter().all(|part| part.answered) {
            let latency_us = self.now_us - self.queries[query].arrived_us;
            self.end(query, Ending::Served(latency_us));
        }
    }

    fn refused(&mut self, query: usize, part: usize) {
        let calls = &self.queries[query].parts[part].calls;
        if calls.iter().any(|call| !self.calls[*call].over) {
            return;
        }
        if self.extra(query, part, |hedger, rank, saturated| hedger.retry(rank, saturated)) {
            return;
        }
        self.end(query, Ending::RefusedLater);
    }

    /// Sends another call for the part, if there is a searcher for it and `allow` has it.
    fn extra(
        &mut self,
        query: usize,
        part: usize,
        allow: impl Fn(&mut hedge::Hedger, rank::Rank, bool) -> bool,
    ) -> bool {
        if self.setup.policy == policy::Policy::Plain {
            return false;
        }
        let rank = self.queries[query].rank;
        let asked = &self.queries[query].parts[part];
        let tried: Vec<u16> =
            asked.calls.iter().map(|call| self.calls[*call].searcher as u16).collect();
        let at = &mut self.entries[self.queries[query].entry];
        let found = at.chooser.alternative(self.now_us, &self.layout, &asked.call, &tried);
        let Some(searcher) = found else {
            return false;
        };
        let saturated = at.gate.share(self.now_us, searcher, rank) < 1.0;
        if !allow(&mut at.hedger, rank, saturated) {
            return false;
        }
        self.extra_calls += 1;
        self.send(query, part, searcher);
        true
    }

    fn hedge(&mut self, query: usize) {
        if self.queries[query].ending != Ending::Open {
            return;
        }
        if let Some(delay_us) = self.entries[self.queries[query].entry].hedger.delay_us() {
            self.push(delay_us, Event::Hedge(query));
        }
        for part in 0..self.queries[query].parts.len() {
            let asked = &self.queries[query].parts[part];
            if asked.answered || asked.calls.len() > 1 {
                continue;
            }
            self.overdue(query, part);
            self.extra(query, part, |hedger, rank, saturated| hedger.hedge(rank, saturated));
        }
    }

    fn overdue(&mut self, query: usize, part: usize) {
        let at = &mut self.entries[self.queries[query].entry];
        for call in &self.queries[query].parts[part].calls {
            let record = &self.calls[*call];
            if record.over {
                continue;
            }
            let age_us = self.now_us - record.sent_us;
            at.chooser.overdue(self.now_us, record.searcher as u16, age_us);
        }
    }

    /// Cancels the calls of a part that are still out.
    fn give_up(&mut self, query: usize, part: usize) {
        self.overdue(query, part);
        for call in self.queries[query].parts[part].calls.clone() {
            if self.calls[call].over {
                continue;
            }
            self.calls[call].over = true;
            let searcher = self.calls[call].searcher as u16;
            self.entries[self.queries[query].entry].chooser.ended(searcher);
            self.push(LINK_US, Event::Cancel(call));
        }
    }

    fn end(&mut self, query: usize, ending: Ending) {
        if self.queries[query].ending != Ending::Open {
            return;
        }
        self.queries[query].ending = ending;
        for part in 0..self.queries[query].parts.len() {
            self.give_up(query, part);
        }
    }

    fn cancel(&mut self, call: usize) {
        let record = &self.calls[call];
        let owner = &mut self.owners[record.searcher][record.owner];
        owner.slots.cancel(self.now_us, ids::AttemptId(call as u64));
    }
}
