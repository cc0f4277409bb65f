//! Builders for the inputs of forwarding decisions.
#![allow(dead_code)]

pub mod subscriber;

use compact_str::CompactString;
use http::StatusCode;
use tarragondoor::discovery::config;
use tarragondoor::discovery::members;
use tarragondoor::discovery::registry;
use tarragondoor::fair_order::gate;
use tarragondoor::forward::balancer;
use tarragondoor::forward::budget;
use tarragondoor::forward::endpoint;
use tarragondoor::forward::latency;
use tarragondoor::forward::query;
use tarragondoor::placement::homes;
use tarragondoor::tenants::tenant;

pub const SECOND_US: u64 = 1_000_000;
pub const NEAR: &str = "north-a";
pub const FAR: &str = "south-a";

pub fn service(name: &str) -> config::ServiceName {
    name.parse().unwrap()
}

pub fn searcher(service_name: &str, domain: &str, number: u16) -> registry::Searcher {
    registry::Searcher {
        service: service(service_name),
        address: ([10, 0, 0, 1], number.max(1)).into(),
        domain: domain.into(),
        slots: 4,
        state: registry::SearcherState::Ready,
        boot_ms: 1,
        cold_until_ms: 0,
    }
}

pub fn record(id: &str, searcher: registry::Searcher) -> registry::SearcherChange {
    registry::SearcherChange {
        id: id.into(),
        revision: registry::StoreRevision::new(registry::StoreEra(0), 1),
        searcher: Some(searcher),
    }
}

pub fn distance(domain: &str) -> endpoint::Distance {
    match domain {
        NEAR => endpoint::Distance::SameDomain,
        _ => endpoint::Distance::OtherRegion,
    }
}

/// A balancer with one near and two far searchers for each service. For a service `a`, `a-0` is the near one.
pub fn balancer(services: &[&str]) -> balancer::Balancer {
    let mut records = Vec::new();
    for (at, name) in services.iter().enumerate() {
        for (replica, domain) in [NEAR, FAR, "west-a"].into_iter().enumerate() {
            let number = (at * 3 + replica) as u16;
            let id = format!("{name}-{replica}");
            records.push(record(&id, searcher(name, domain, number)));
        }
    }
    let mut balancer = balancer::Balancer::default();
    balancer.set_instance_counts(balancer::InstanceCounts {
        active: 3,
        active_in_region: 1,
        is_active: true,
    });
    balancer.sync(0, &records, distance, |_| 40);
    balancer
}

pub fn rule() -> budget::Rule {
    budget::Rule { ratio: 0.2, slack: 60.0, window_us: 10 * SECOND_US }
}

/// The state that forwarding decisions depend on, without a network.
pub struct Fixture {
    pub balancer: balancer::Balancer,
    pub budgets: budget::Budgets,
    pub latencies: latency::Latencies,
    pub fair_order: Option<gate::Gate>,
}

impl Fixture {
    pub fn new(services: &[&str]) -> Self {
        let mut budgets = budget::Budgets::new(rule());
        budgets.set_active_instances(0, 1, true);
        Self {
            balancer: balancer(services),
            budgets,
            latencies: latency::Latencies::default(),
            fair_order: None,
        }
    }

    pub fn context(&mut self) -> query::Context<'_> {
        query::Context {
            balancer: &mut self.balancer,
            budgets: &mut self.budgets,
            latencies: &self.latencies,
            fair_order: self.fair_order.as_mut(),
        }
    }
}

/// The time at which tests start: late enough for the fixed part of the budget to be available.
pub const START_US: u64 = 20 * SECOND_US;

pub fn gather(services: &[&str], parts_min: usize) -> query::Spec {
    query::Spec {
        route: "browse".into(),
        tenant: CompactString::default(),
        priority: 1,
        is_idempotent: true,
        attempts: 2,
        services: services.iter().map(|name| service(name)).collect(),
        parts_min,
        is_gather: true,
        arrived_us: START_US,
        waited_us: 0,
        target_us: 250_000,
        margin_us: 10_000,
        timeout_us: 1_500_000,
        homes: homes::Homes::Any,
    }
}

pub fn single(is_idempotent: bool) -> query::Spec {
    query::Spec {
        route: "claim".into(),
        is_idempotent,
        services: vec![service("a")],
        parts_min: 1,
        is_gather: false,
        target_us: 2_000_000,
        timeout_us: 6_000_000,
        ..gather(&["a"], 1)
    }
}

pub fn answer(status: u16) -> query::Outcome {
    query::Outcome::Answered(query::Answer {
        status: StatusCode::from_u16(status).unwrap(),
        headers: http::HeaderMap::new(),
        stamp: Some(http::HeaderValue::from_static("stamp")),
        body: bytes::Bytes::new(),
    })
}

pub fn member(name: &str, region: &str, number: u16) -> members::Member {
    members::Member {
        name: name.parse().unwrap(),
        boot_ms: 1,
        control: ([10, 1, 0, 1], number).into(),
        front: Some(([10, 1, 0, 1], 10_000 + number).into()),
        domain: CompactString::from(region),
        region: region.into(),
        cpu_millicores: 250,
        state: members::MemberState::Ready,
        reaches_store: true,
        stands_in: false,
    }
}

pub fn limits() -> config::Limits {
    config::Limits {
        header_max_bytes: 16_384,
        body_max_bytes: 262_144,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    }
}

pub fn route(name: &str, host: &str, prefix: &str) -> config::Route {
    config::Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        repeatability: config::Repeatability::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: 0,
        attempts: 2,
        target: config::Target::Service(service("a")),
        is_auth_exempt: false,
        home_regions: Vec::new(),
    }
}

pub fn declared_service(name: &str, connections_max: u32) -> config::Service {
    config::Service { name: service(name), connections_max, cold_start_ms: 0, cold_per_s: 0.0 }
}

pub fn configuration(version: u64, routes: Vec<config::Route>) -> config::Config {
    config::Config {
        version: config::ConfigVersion(version),
        routes,
        services: vec![declared_service("a", 40)],
        limits: limits(),
        tenants: tenant::Tenants::Open,
        unusable_count: 0,
    }
}

pub const REGIONS: [&str; 3] = ["north", "south", "west"];

/// `count` instances spread over [`REGIONS`].
pub fn fleet(count: u16) -> Vec<members::Member> {
    let mut fleet = Vec::new();
    for number in 0..count {
        let region = REGIONS[usize::from(number) % REGIONS.len()];
        fleet.push(member(&format!("i-{number}"), region, number + 1));
    }
    fleet
}
