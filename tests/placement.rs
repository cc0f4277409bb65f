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
use quickcheck::quickcheck;
use tarragondoor::discovery::members;
use tarragondoor::discovery::registry;
use tarragondoor::forward::address;
use tarragondoor::forward::balancer;
use tarragondoor::forward::query;
use tarragondoor::placement::evacuation;
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

fn zones(names: &[&str]) -> Vec<CompactString> {
    names.iter().map(|name| CompactString::from(*name)).collect()
}

fn revision(number: u64) -> registry::StoreRevision {
    registry::StoreRevision::new(registry::StoreEra(0), number)
}

#[test]
fn searchers_of_evacuated_zones_are_no_candidates_until_the_evacuation_is_taken_back() {
    let mut balancer = balancer();
    balancer.set_evacuated(zones(&[NEAR, FAR]));
    assert_eq!(balancer.evacuated_count(), 4);
    assert_eq!(candidates(&mut balancer, &homes::Homes::Any), ["a-2", "a-5"]);
    let from_us = |balancer: &balancer::Balancer| {
        balancer.accepts_from_us(START_US, &service("a"), &[], 0, &only(&["north"]))
    };
    assert_eq!(from_us(&balancer), None, "refused at once");
    balancer.sync(0, &records(), distance, |_| 40);
    assert_eq!(balancer.evacuated_count(), 4, "new records do not end an evacuation");
    balancer.set_evacuated(Vec::new());
    assert_eq!(from_us(&balancer), Some(START_US));
    assert_eq!(candidates(&mut balancer, &homes::Homes::Any).len(), 6);
}

/// Guards against a removal that is lost, and against an older state that replaces a newer one. Each instance gets complete
/// reads, watches and states of other instances in any order.
#[test]
fn the_known_zones_are_those_at_their_revision() {
    fn property(history: Vec<(u8, bool)>, offers: Vec<(u8, u8, u8)>) -> bool {
        let state_at = |number: u64| {
            let mut state: Vec<CompactString> = Vec::new();
            for (zone, is_evacuated) in history.iter().take(number as usize) {
                let zone = CompactString::from(format!("z-{}", zone % 4));
                state.retain(|known| *known != zone);
                if *is_evacuated {
                    state.push(zone);
                }
            }
            state.sort();
            state
        };
        let last = history.len() as u64;
        let mut known = evacuation::Zones::default();
        let mut known_number = 0;
        for (kind, from, to) in offers {
            let number = u64::from(to) % (last + 1);
            known = match kind % 3 {
                0 => {
                    let read = evacuation::Read::Complete(state_at(number));
                    known.apply(0, revision(number), &read, false)
                }
                1 => {
                    // A watch starts from a revision that is known.
                    let from = u64::from(from) % (known_number + 1);
                    let mut changes = Vec::new();
                    for (zone, is_evacuated) in &history[from as usize..number.max(from) as usize] {
                        let zone = CompactString::from(format!("z-{}", zone % 4));
                        changes.push(evacuation::Change { zone, is_evacuated: *is_evacuated });
                    }
                    let read = evacuation::Read::Changes(changes);
                    known.apply(0, revision(number.max(from)), &read, false)
                }
                _ => {
                    let snapshot = evacuation::Snapshot {
                        as_of: revision(number),
                        zones: state_at(number),
                        held: Vec::new(),
                    };
                    known.receive(0, &snapshot, false)
                }
            };
            known_number = (0..=last).find(|at| revision(*at) == known.as_of()).unwrap();
            if known.effective(0) != state_at(known_number) {
                return false;
            }
        }
        true
    }
    quickcheck(property as fn(Vec<(u8, bool)>, Vec<(u8, u8, u8)>) -> bool);
}

/// Guards against requests to a zone whose evacuation was lost with the store's older copy.
#[test]
fn an_evacuation_that_is_missing_after_a_restore_is_kept_for_a_while() {
    const HOLD_US: u64 = registry::REMOVAL_HOLD_US;
    let complete = |names: &[&str]| evacuation::Read::Complete(zones(names));
    let change = |zone: &str, is_evacuated: bool| {
        evacuation::Read::Changes(vec![evacuation::Change { zone: zone.into(), is_evacuated }])
    };
    let before = evacuation::Zones::default().apply(0, revision(5), &complete(&["a", "b"]), false);
    let restored = before.apply(1_000, revision(6), &complete(&["b"]), true);
    assert_eq!(restored.effective(HOLD_US + 999), ["a", "b"]);
    assert_eq!(restored.effective(HOLD_US + 1_000), ["b"]);
    let ordinary = before.apply(1_000, revision(6), &complete(&["b"]), false);
    assert_eq!(ordinary.effective(1_000), ["b"], "the operator has removed it");

    let again = restored.apply(2_000, revision(7), &change("a", true), false);
    assert_eq!(again.effective(2 * HOLD_US), ["a", "b"], "written again");
    let removed = restored.apply(2_000, revision(7), &change("a", false), false);
    assert_eq!(removed.effective(2_000), ["b"], "removed by the operator since");
    let read_again = restored.apply(2_000, revision(7), &complete(&["b"]), false);
    assert_eq!(read_again.effective(2_000), ["a", "b"], "a second read does not end it");

    let late = evacuation::Zones::default().receive(0, &restored.snapshot(HOLD_US), false);
    assert_eq!(late.effective(999), ["a", "b"], "an instance that starts meanwhile keeps it too");
    assert_eq!(late.effective(1_000), ["b"]);
}

#[test]
fn differing_zones_are_requested_only_if_they_are_newer() {
    let read = |names: &[&str]| evacuation::Read::Complete(zones(names));
    let mut known = evacuation::Zones::default().apply(0, revision(5), &read(&["a"]), false);
    let newer = known.apply(0, revision(9), &read(&["b"]), false);
    assert!(known.compare(newer.summary()));
    assert!(!newer.clone().compare(known.summary()));
    let same = known.apply(0, revision(7), &read(&["a"]), false);
    assert!(!known.compare(same.summary()));
    assert_eq!(known.as_of(), revision(7), "confirmed as of the newer revision");
}
