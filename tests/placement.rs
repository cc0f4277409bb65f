//! Tests of the rules that exclude searchers, without a network.

mod forward_support;

use compact_str::CompactString;
use forward_support::FAR;
use forward_support::Fixture;
use forward_support::NEAR;
use forward_support::START_US;
use forward_support::answer;
use forward_support::configuration;
use forward_support::distance;
use forward_support::fleet;
use forward_support::record;
use forward_support::route;
use forward_support::searcher;
use forward_support::service;
use forward_support::single;
use tarragondoor::discovery::members;
use tarragondoor::discovery::registry;
use tarragondoor::forward::address;
use tarragondoor::forward::balancer;
use tarragondoor::forward::query;
use tarragondoor::placement::homes;
use tarragondoor::tenants::tenant;

const WEST: &str = "west-a";

fn regions() -> Vec<(CompactString, CompactString)> {
    [(NEAR, "north"), (FAR, "south"), (WEST, "west")]
        .map(|(domain, region)| (domain.into(), region.into()))
        .to_vec()
}

/// Two searchers of the service `a` in each of three domains: `a-0` and `a-3` are near.
fn records() -> Vec<registry::SearcherChange> {
    let mut records = Vec::new();
    for number in 0..6_u16 {
        let domain = [NEAR, FAR, WEST][usize::from(number) % 3];
        records.push(record(&format!("a-{number}"), searcher("a", domain, number)));
    }
    records
}

fn balancer() -> balancer::Balancer {
    let mut balancer = balancer::Balancer::new(regions());
    balancer.set_instance_counts(balancer::InstanceCounts {
        active: 3,
        active_in_region: 1,
        is_active: true,
    });
    balancer.sync(0, &records(), distance, |_| 40);
    balancer
}

fn only(regions: &[&str]) -> homes::Homes {
    homes::Homes::Only(regions.iter().map(|region| CompactString::from(*region)).collect())
}

/// Returns the ids of all searchers that a request may be sent to, sorted.
fn candidates(balancer: &mut balancer::Balancer, homes: &homes::Homes) -> Vec<CompactString> {
    let profile = balancer::RequestProfile {
        median_processing_us: 30_000,
        priority: 0,
        cross_region_penalty_us: 0,
        homes,
    };
    let mut ids = Vec::new();
    while let Some(candidate) = balancer.find(START_US, &service("a"), &ids, profile) {
        ids.push(balancer.start_send(START_US, candidate).endpoint.id.clone());
    }
    ids.sort();
    ids
}

fn tenant(home_regions: &[&str]) -> tenant::Tenant {
    tenant::Tenant {
        name: "t".into(),
        credentials: Vec::new(),
        priority: 0,
        quota: None,
        home_regions: home_regions.iter().map(|region| CompactString::from(*region)).collect(),
    }
}

#[test]
fn the_home_regions_of_a_route_and_of_a_tenant_both_apply() {
    let mut route = route("r", "h.example", "/");
    assert_eq!(homes::Homes::of(&route, None), homes::Homes::Any);
    assert_eq!(homes::Homes::of(&route, Some(&tenant(&["west"]))), only(&["west"]));
    route.home_regions = vec!["north".into(), "south".into()];
    assert_eq!(homes::Homes::of(&route, Some(&tenant(&[]))), only(&["north", "south"]));
    assert_eq!(homes::Homes::of(&route, Some(&tenant(&["south", "west"]))), only(&["south"]));
    let none = homes::Homes::of(&route, Some(&tenant(&["west"])));
    assert!(!["north", "south", "west", ""].iter().any(|region| none.allows(region)));
}

#[test]
fn only_searchers_in_the_home_regions_are_candidates() {
    assert_eq!(candidates(&mut balancer(), &only(&["south"])), ["a-1", "a-4"]);
    assert_eq!(candidates(&mut balancer(), &only(&["south", "west"])).len(), 4);
    assert!(candidates(&mut balancer(), &only(&["east"])).is_empty());
    let all = candidates(&mut balancer(), &homes::Homes::Any);
    assert_eq!(all.len(), 6);
    assert_eq!(candidates(&mut balancer(), &only(&["north", "south", "west"])), all);
}

/// Guards against retries and hedges that leave the home regions, and against an error other than a refusal when these
/// have no searcher.
#[test]
fn a_query_never_leaves_its_home_regions() {
    for _ in 0..20 {
        let mut fixture = Fixture { balancer: balancer(), ..Fixture::new(&["a"]) };
        let spec = query::Spec { attempts: 6, homes: only(&["west"]), ..single(true) };
        let mut query = query::Query::new(spec);
        let mut sends = query.start(START_US, &mut fixture.context());
        sends.extend(query.tick(START_US + 1_500_000, &mut fixture.context()));
        let mut ended = 0;
        while ended < sends.len() {
            let number = sends[ended].number;
            ended += 1;
            let context = &mut fixture.context();
            sends.extend(query.record_end(START_US, context, number, answer(500)));
        }
        assert!(!sends.is_empty());
        assert!(sends.iter().all(|send| send.choice.endpoint.searcher.domain == WEST));
    }
    let mut fixture = Fixture { balancer: balancer(), ..Fixture::new(&["a"]) };
    let spec = query::Spec { homes: only(&[]), ..single(true) };
    let mut query = query::Query::new(spec);
    assert!(query.start(START_US, &mut fixture.context()).is_empty());
    assert!(matches!(query.completion(START_US), Some(query::Completion::NotRun { .. })));
    assert!(query.lacks_home_searcher());
}

#[test]
fn the_directory_lists_home_regions_before_others() {
    let mut config = configuration(1, vec![route("r", "H.example", "/")]);
    assert!(homes::regions_of_host(&config, "h.example").is_empty());
    config.routes[0].home_regions = vec!["west".into(), "south".into()];
    let homes = homes::regions_of_host(&config, "h.example:80");
    assert_eq!(homes, ["south", "west"]);
    assert!(homes::regions_of_host(&config, "other.example").is_empty());

    let mut fleet = fleet(9);
    for number in [0, 3] {
        fleet[number].state = members::MemberState::Draining;
    }
    let live: Vec<&members::Member> = fleet.iter().collect();
    let active = address::ActiveMembers::select(&live, None);
    let fronts = |numbers: &[usize]| {
        numbers.iter().map(|number| fleet[*number].front.unwrap()).collect::<Vec<_>>()
    };
    let west = [CompactString::from("west")];
    assert_eq!(active.addresses("north", &west), fronts(&[6, 2, 5, 8]));
    assert_eq!(active.addresses("south", &west), fronts(&[1, 4, 7]), "its own region has enough");
    assert_eq!(active.addresses("nowhere", &["east".into()]).len(), 2, "nobody is at home");
    assert_eq!(active.addresses("north", &["east".into()]), fronts(&[6]));
}
