//! Fair queueing under overload, without a network: the queues of one service decide, searchers are simulated.

mod forward_support;

use forward_support::Fixture;
use forward_support::NEAR;
use forward_support::START_US;
use forward_support::distance;
use forward_support::gather;
use forward_support::record;
use forward_support::searcher;
use std::collections::BTreeMap;
use tarragondoor::discovery::config;
use tarragondoor::fair_order::gate;
use tarragondoor::fair_order::metrics;
use tarragondoor::fair_order::queue;
use tarragondoor::forward::balancer;
use tarragondoor::forward::query;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
const POLL_US: u64 = 4 * MS;
/// Requests with a lower usual rate are too few in a run for a statement about their share.
const JUDGED_MIN: usize = 20;

/// A linear congruential generator: runs are the same with each version of the libraries.
struct Random(u64);

impl Random {
    /// A number from 0 up to 1.
    fn unit(&mut self) -> f64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.unit()).ln()
    }
}

/// A kind of request as the specification of the deployments states it.
#[derive(Clone, Copy)]
struct Kind {
    name: &'static str,
    rank: u8,
    work_us: u64,
    target_us: u64,
    timeout_us: u64,
}

const HALLCLASH: Kind =
    Kind { name: "hallclash", rank: 0, work_us: 6_700, target_us: 100 * MS, timeout_us: 600 * MS };
const SINGERFREE: Kind = Kind {
    name: "singerfree",
    rank: 1,
    work_us: 20 * MS,
    target_us: 300 * MS,
    timeout_us: 1_200 * MS,
};
const SCOREFIND: Kind = Kind {
    name: "scorefind",
    rank: 2,
    work_us: 160 * MS,
    target_us: 1_500 * MS,
    timeout_us: 4_000 * MS,
};

/// Requests of one tenant and kind, at a rate that depends on the time.
struct Source {
    tenant: String,
    kind: Kind,
    rate_per_s: Box<dyn Fn(u64) -> f64>,
    rate_max_per_s: f64,
}

struct Part {
    source: usize,
    arrived_us: u64,
    ticket: Option<queue::Ticket>,
    next_poll_us: u64,
}

struct Running {
    source: usize,
    ends_us: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    offered: usize,
    served: usize,
}

impl Tally {
    fn ratio(self) -> f64 {
        self.served as f64 / self.offered.max(1) as f64
    }
}

/// What became of the requests.
struct Outcome {
    by_tenant: BTreeMap<String, Tally>,
    by_kind: BTreeMap<&'static str, Tally>,
    all: Tally,
}

impl Outcome {
    /// Checks the requirement: no tenant and no kind is served less than a quarter as often as all requests, and no
    /// kind less often than a less urgent one by over 5 in 100.
    fn check(&self, kinds_by_urgency: &[Kind]) {
        println!("all {:.3} of {}", self.all.ratio(), self.all.offered);
        for (kind, tally) in &self.by_kind {
            println!("  {kind} {:.3} of {}", tally.ratio(), tally.offered);
            assert!(tally.ratio() >= self.all.ratio() / 4.0, "{kind}: {tally:?}");
        }
        for (tenant, tally) in &self.by_tenant {
            if tally.offered >= JUDGED_MIN {
                let ratio = tally.ratio();
                assert!(ratio >= self.all.ratio() / 4.0, "{tenant}: {tally:?}, all {:?}", self.all);
            }
        }
        for (at, kind) in kinds_by_urgency.iter().enumerate() {
            for less_urgent in &kinds_by_urgency[at + 1..] {
                let (ratio, other) =
                    (self.by_kind[kind.name].ratio(), self.by_kind[less_urgent.name].ratio());
                assert!(
                    ratio >= other - 0.05,
                    "{} {ratio}, {} {other}",
                    kind.name,
                    less_urgent.name
                );
            }
        }
    }
}

/// Plays `sources` for `duration_us` against searchers with `slots` in all. `slowdown` is the factor of the work of a
/// request that starts at a time in a slot.
fn play(
    seed: u64,
    slots: usize,
    duration_us: u64,
    sources: &[Source],
    slowdown: impl Fn(u64, usize) -> f64,
) -> Outcome {
    let service: config::ServiceName = "a".parse().unwrap();
    let mut random = Random(seed);
    let mut gate = gate::Gate::new(metrics::Metrics::new());
    let mut running: Vec<Option<Running>> = (0..slots).map(|_| None).collect();
    let mut waiting: Vec<Part> = Vec::new();
    let mut next_us: Vec<f64> = Vec::new();
    for source in sources {
        next_us.push(random.exponential() / source.rate_max_per_s * 1e6);
    }
    let mut outcome =
        Outcome { by_tenant: BTreeMap::new(), by_kind: BTreeMap::new(), all: Tally::default() };
    let mut now_us = 0;
    while now_us < duration_us {
        for slot in 0..slots {
            let Some(ended) = running[slot].take_if(|running| running.ends_us <= now_us) else {
                continue;
            };
            let source = &sources[ended.source];
            let class = class(source.kind, &source.tenant);
            let occupancy = occupancy(&running);
            gate.record_end(now_us, &service, &class, gate::End::Answered, occupancy);
        }
        for (index, source) in sources.iter().enumerate() {
            while next_us[index] <= now_us as f64 {
                next_us[index] += random.exponential() / source.rate_max_per_s * 1e6;
                if random.unit() >= (source.rate_per_s)(now_us) / source.rate_max_per_s {
                    continue;
                }
                let by_tenant = outcome.by_tenant.entry(source.tenant.clone()).or_default();
                by_tenant.offered += 1;
                outcome.by_kind.entry(source.kind.name).or_default().offered += 1;
                outcome.all.offered += 1;
                let class = class(source.kind, &source.tenant);
                gate.record_arrival(now_us, &service, &class);
                let occupancy = occupancy(&running);
                let start_us = gate.expected_start_us(now_us, &service, &class, occupancy);
                if start_us <= now_us + source.kind.target_us / 4 {
                    let part = Part {
                        source: index,
                        arrived_us: now_us,
                        ticket: None,
                        next_poll_us: now_us,
                    };
                    waiting.push(part);
                }
            }
        }
        waiting.retain_mut(|part| {
            if part.next_poll_us > now_us {
                return true;
            }
            part.next_poll_us = now_us + POLL_US;
            let source = &sources[part.source];
            let class = class(source.kind, &source.tenant);
            let occupancy = occupancy(&running);
            if gate.takes_turn(now_us, &service, &class, &mut part.ticket, occupancy) {
                let slot = running.iter().position(Option::is_none).expect("no slot is free");
                // The work of one request in 100 is five times the mean; that of others varies by half.
                let spread = if random.unit() < 0.01 { 5.0 } else { 0.5 + random.unit() };
                let work_us = source.kind.work_us as f64 * spread * slowdown(now_us, slot);
                running[slot] =
                    Some(Running { source: part.source, ends_us: now_us + work_us as u64 });
                gate.record_send(now_us, &service, &class, part.ticket.take());
                outcome.by_tenant.get_mut(&source.tenant).unwrap().served += 1;
                outcome.by_kind.get_mut(source.kind.name).unwrap().served += 1;
                outcome.all.served += 1;
                return false;
            }
            if now_us < part.arrived_us + source.kind.target_us / 4 {
                return true;
            }
            if let Some(ticket) = part.ticket.take() {
                gate.leave(&service, &ticket);
            }
            false
        });
        now_us += MS / 2;
    }
    outcome
}

fn class(kind: Kind, flow: &str) -> gate::Class<'_> {
    gate::Class {
        rank: kind.rank,
        flow,
        route: kind.name,
        timeout_us: kind.timeout_us,
        work_us: kind.work_us,
    }
}

fn occupancy(running: &[Option<Running>]) -> gate::Occupancy {
    let in_flight = running.iter().flatten().count();
    let room = running.len() - in_flight;
    gate::Occupancy { searchers: 3, in_flight, room, are_all_full: false }
}

fn source(tenant: &str, kind: Kind, rate_per_s: f64) -> Source {
    burst(tenant, kind, rate_per_s, 1.0, 0..0)
}

/// Requests at a rate that is `factor` times the usual one for a while.
fn burst(
    tenant: &str,
    kind: Kind,
    rate_per_s: f64,
    factor: f64,
    during_us: std::ops::Range<u64>,
) -> Source {
    let rate = move |now_us| rate_per_s * if during_us.contains(&now_us) { factor } else { 1.0 };
    Source {
        tenant: tenant.to_owned(),
        kind,
        rate_per_s: Box::new(rate),
        rate_max_per_s: rate_per_s * factor,
    }
}

/// Guards against a burst of the least urgent kind that holds most slots (2.4 times its rate, 160 ms of work each) so
/// that more urgent requests find none, and then against a burst of the most urgent kind (1.9 times) that takes all.
#[test]
fn bursts_of_the_least_and_the_most_urgent_kind_starve_no_other_kind() {
    // All slots of a service, and about what one instance has of them.
    for (seed, slots) in [(1, 12), (2, 12), (3, 12), (4, 2), (5, 2), (6, 2)] {
        // 85 % are used outside the bursts: 18 % by the most urgent, 25 % by the next, 42 % by the last kind.
        let rate_per_s = |of_12_slots: f64| of_12_slots * slots as f64 / 12.0;
        let kinds = [
            burst("", HALLCLASH, rate_per_s(322.0), 1.9, 14 * SECOND..22 * SECOND),
            source("", SINGERFREE, rate_per_s(150.0)),
            burst("", SCOREFIND, rate_per_s(31.5), 2.4, 4 * SECOND..12 * SECOND),
        ];
        let mut sources = Vec::new();
        for kind in kinds {
            sources.push(Source { tenant: kind.kind.name.to_owned(), ..kind });
        }
        let outcome = play(seed, slots, 26 * SECOND, &sources, |_, _| 1.0);
        outcome.check(&[HALLCLASH, SINGERFREE, SCOREFIND]);
    }
}

/// Guards against a tenant at 7 times its usual rate that takes the room of 74 others, whose rates fall by rank^-1.2.
#[test]
fn a_tenant_at_seven_times_its_rate_delays_its_own_requests_first() {
    for seed in 1..=3 {
        for bursting in [1_usize, 5] {
            let weight = |rank: usize| (rank as f64).powf(-1.2);
            let total: f64 = (1..=75).map(weight).sum();
            let mut sources = Vec::new();
            for rank in 1..=75 {
                // 12 slots, used to 80 % at the usual rates.
                let rate_per_s = 480.0 * weight(rank) / total;
                let factor = if rank == bursting { 7.0 } else { 1.0 };
                let during_us = 4 * SECOND..16 * SECOND;
                sources.push(burst(&format!("t{rank}"), SINGERFREE, rate_per_s, factor, during_us));
            }
            let outcome = play(seed, 12, 20 * SECOND, &sources, |_, _| 1.0);
            outcome.check(&[SINGERFREE]);
            let mut others = Tally::default();
            for (tenant, tally) in &outcome.by_tenant {
                if *tenant != format!("t{bursting}") {
                    others.offered += tally.offered;
                    others.served += tally.served;
                }
            }
            let own = outcome.by_tenant[&format!("t{bursting}")];
            println!("  bursting {:.3}, others {:.3}", own.ratio(), others.ratio());
            assert!(others.ratio() > own.ratio(), "others {others:?}, bursting {own:?}");
        }
    }
}

/// Guards against kinds and tenants that are served least while 40 % of the searchers are 12 times slower for 8 s.
#[test]
fn slow_searchers_delay_less_urgent_requests_first() {
    for seed in 1..=3 {
        let mut sources = Vec::new();
        for tenant in 1..=8 {
            let tenant = format!("t{tenant}");
            sources.push(source(&tenant, HALLCLASH, 40.0));
            sources.push(source(&tenant, SINGERFREE, 19.0));
            sources.push(source(&tenant, SCOREFIND, 3.5));
        }
        let slowdown = |now_us: u64, slot: usize| {
            let is_slow = (6 * SECOND..14 * SECOND).contains(&now_us) && slot % 5 < 2;
            if is_slow { 12.0 } else { 1.0 }
        };
        let outcome = play(seed, 15, 20 * SECOND, &sources, slowdown);
        outcome.check(&[HALLCLASH, SINGERFREE, SCOREFIND]);
    }
}

/// A service whose searchers have room for one more request, or for none.
struct Service {
    name: config::ServiceName,
    gate: gate::Gate,
    occupancy: gate::Occupancy,
    now_us: u64,
}

impl Service {
    fn with_room(room: usize) -> Self {
        let occupancy = gate::Occupancy { searchers: 3, in_flight: 8, room, are_all_full: false };
        let gate = gate::Gate::new(metrics::Metrics::new());
        Self { name: "a".parse().unwrap(), gate, occupancy, now_us: SECOND }
    }

    fn takes_turn(&mut self, kind: Kind, flow: &str, ticket: &mut Option<queue::Ticket>) -> bool {
        let class = class(kind, flow);
        self.gate.takes_turn(self.now_us, &self.name, &class, ticket, self.occupancy)
    }

    fn expected_wait_us(&mut self, kind: Kind) -> u64 {
        let class = class(kind, "t");
        let start_us = self.gate.expected_start_us(self.now_us, &self.name, &class, self.occupancy);
        start_us - self.now_us
    }
}

/// Guards against parts that take the room of others that wait and come before them.
#[test]
fn room_goes_to_the_first_in_order_and_an_ended_query_does_not_block_it() {
    let mut service = Service::with_room(0);
    let (mut burst_1, mut burst_2, mut other, mut urgent) = (None, None, None, None);
    assert!(!service.takes_turn(SINGERFREE, "burst", &mut burst_1));
    assert!(!service.takes_turn(SINGERFREE, "burst", &mut burst_2));
    assert!(!service.takes_turn(SINGERFREE, "other", &mut other));
    assert!(!service.takes_turn(HALLCLASH, "burst", &mut urgent));
    service.occupancy.room = 1;
    assert!(!service.takes_turn(SINGERFREE, "burst", &mut burst_1));
    assert!(service.takes_turn(HALLCLASH, "burst", &mut urgent));
    let sent = class(HALLCLASH, "burst");
    service.gate.record_send(service.now_us, &service.name, &sent, urgent);
    assert!(!service.takes_turn(SINGERFREE, "other", &mut other), "it came later");
    assert!(service.takes_turn(SINGERFREE, "burst", &mut burst_1));
    let sent = class(SINGERFREE, "burst");
    service.gate.record_send(service.now_us, &service.name, &sent, burst_1);
    assert!(!service.takes_turn(SINGERFREE, "burst", &mut burst_2), "its flow had more");
    assert!(service.takes_turn(SINGERFREE, "other", &mut other), "its flow had nothing");
    // The queries of the two that come first have ended; nobody asks for them any more.
    service.now_us += 60 * MS;
    assert!(!service.gate.has_waiting(service.now_us, &service.name));
    assert!(service.takes_turn(SINGERFREE, "burst", &mut burst_2));
}

/// Guards against requests that wait although it is known that they can't be served in time.
#[test]
fn the_expected_start_is_after_the_work_that_is_ahead() {
    let mut service = Service::with_room(0);
    for number in 0..16 {
        service.takes_turn(SINGERFREE, &format!("t{number}"), &mut None);
    }
    // 8 are in flight: a request of 20 ms each 2.5 ms.
    assert_eq!(service.expected_wait_us(HALLCLASH), 6_700 / 8);
    assert_eq!(service.expected_wait_us(SCOREFIND), (16 * 20 + 160) * MS / 8);
    service.occupancy.room = 1;
    assert_eq!(service.expected_wait_us(HALLCLASH), 0);
    assert_eq!(service.expected_wait_us(SCOREFIND), (16 * 20 + 160) * MS / 8);
}

/// Guards against sends to searchers that are known to be full, where the next rejection may hit an urgent request.
#[test]
fn once_all_searchers_are_full_less_urgent_requests_give_way_first() {
    let mut service = Service::with_room(20);
    let full = class(SCOREFIND, "t");
    let reject = |service: &mut Service, are_all_full| {
        let occupancy = gate::Occupancy { are_all_full, ..service.occupancy };
        let now_us = service.now_us;
        service.gate.record_end(now_us, &service.name, &full, gate::End::Full, occupancy);
    };
    reject(&mut service, false);
    assert!(service.takes_turn(SCOREFIND, "t", &mut None), "others have room");
    reject(&mut service, true);
    assert!(!service.takes_turn(SCOREFIND, "t", &mut None), "8 are in flight, 6 are allowed");
    service.occupancy.in_flight = 5;
    assert!(service.takes_turn(HALLCLASH, "t", &mut None), "it goes first");
    assert!(!service.takes_turn(SCOREFIND, "u", &mut None), "one waits already");
    service.now_us += 4 * SECOND;
    service.gate.has_waiting(service.now_us, &service.name);
    service.occupancy.in_flight = 8;
    assert!(service.takes_turn(SCOREFIND, "t", &mut None), "the rejection was long ago");
}

/// Guards against queries that don't ask for their turn, or wait although too much is ahead of them.
#[test]
fn queries_take_turns_in_order_and_are_refused_when_too_much_is_ahead() {
    let mut fixture = Fixture::new(&["a"]);
    fixture.balancer.sync(0, &[record("a-0", searcher("a", NEAR, 1))], distance, |_| 1);
    fixture.fair_order = Some(gate::Gate::new(metrics::Metrics::new()));
    let start = |fixture: &mut Fixture, tenant: &str, priority: u8| {
        let spec = query::Spec {
            tenant: tenant.into(),
            priority,
            target_us: 2 * SECOND,
            ..gather(&["a"], 1)
        };
        let mut query = query::Query::new(spec);
        let sends = query.start(START_US, &mut fixture.context());
        (query, sends)
    };
    let (_, mut sent) = start(&mut fixture, "burst", 1);
    let (mut second, sends) = start(&mut fixture, "burst", 1);
    assert_eq!((sent.len(), sends.len()), (1, 0), "there is room for one");
    let (mut urgent, _) = start(&mut fixture, "other", 0);
    // Until something is known of the route, 30 ms are expected of each request; it may wait for half a second.
    let mut completions = Vec::new();
    for _ in 0..20 {
        completions.push(start(&mut fixture, "burst", 1).0.completion(START_US));
    }
    assert!(completions[..14].iter().all(Option::is_none), "{completions:?}");
    for completion in &completions[15..] {
        let Some(query::Completion::NotRun { retry_after_ms }) = completion else {
            panic!("{completion:?}");
        };
        assert!(*retry_after_ms >= 400, "{retry_after_ms}");
    }
    let send = sent.remove(0);
    let report = balancer::Report::Answered { latency_us: 30_000 };
    let now_us = START_US + 30_000;
    let endpoint = &send.choice.endpoint;
    fixture.balancer.finish_send(now_us, endpoint, &send.choice.send_id, 30_000, report);
    assert_eq!(second.tick(now_us, &mut fixture.context()).len(), 0, "a more urgent one waits");
    assert_eq!(urgent.tick(now_us, &mut fixture.context()).len(), 1);
    assert_eq!(second.tick(now_us, &mut fixture.context()).len(), 0, "the room is taken");
}

/// Guards against queues in deployments without tenants, and against queues that outlive the list of tenants.
#[test]
fn there_are_queues_only_while_the_configuration_has_tenants() {
    let without = forward_support::configuration(1, Vec::new());
    let tenant = tarragondoor::tenants::tenant::Tenant {
        name: "t".into(),
        credentials: Vec::new(),
        priority: 0,
        quota: None,
        home_regions: Vec::new(),
    };
    let with = tarragondoor::discovery::config::Config {
        tenants: tarragondoor::tenants::tenant::Tenants::Declared(
            tarragondoor::tenants::tenant::Declared { tenants: vec![tenant], ..Default::default() },
        ),
        ..without.clone()
    };
    let mut found = Vec::new();
    let mut gate = None;
    for config in [&without, &with, &with, &without] {
        gate::apply_config(&mut gate, config, &metrics::Metrics::new());
        found.push(gate.is_some());
    }
    assert_eq!(found, [false, true, true, false]);
}
