//! Tests of the rules that exclude searchers, without a network.

mod forward_support;

use compact_str::CompactString;
use forward_support::FAR;
use forward_support::Fixture;
use forward_support::NEAR;
use forward_support::SECOND_US;
use forward_support::START_US;
use forward_support::answer;
use forward_support::configuration;
use forward_support::declared_service;
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
use tarragondoor::forward::limit;
use tarragondoor::forward::query;
use tarragondoor::placement::cold;
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

/// The most requests that a cold searcher may get in any second.
fn cold_most(limit_per_s: f64) -> f64 {
    let tolerance = cold::Tolerance::default();
    limit_per_s * tolerance.overage + tolerance.slack
}

fn sharer(number: u64) -> limit::Sharer {
    sharer_in(["north", "south", "west"][number as usize % 3], number)
}

fn sharer_in(region: &str, number: u64) -> limit::Sharer {
    let name_hash = (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    limit::Sharer { name_hash, region: region.into() }
}

/// The most requests in any second of an instance with these shares.
fn most_of(shares: &cold::Shares, searcher: &str, limit_per_s: f64) -> usize {
    let tolerance = cold::Tolerance::default();
    let Some(per_s) = shares.part_per_s(searcher, "north", limit_per_s, tolerance) else {
        return 0;
    };
    let (mut count, mut at_us) = (0, 0);
    while at_us < SECOND_US {
        count += 1;
        at_us = cold::next_us(at_us, per_s);
    }
    count
}

fn limit_of(seed: u16) -> f64 {
    f64::from(seed % 1_000 + 1) / 10.0
}

/// Guards against a cold searcher that crashes because the sides of a partition each divide its limit anew, also when
/// standby instances become active.
#[test]
fn cold_searchers_get_no_more_than_their_limit_in_a_partition() {
    fn property(groups: Vec<u8>, active_count: u8, limit_seed: u16, searcher: u8) -> bool {
        let limit_per_s = limit_of(limit_seed);
        if groups.is_empty() {
            return true;
        }
        // At least one was active before; instances that know of none are in the next test.
        let active_count = usize::from(active_count) % groups.len() + 1;
        let all: Vec<limit::Sharer> = (0..groups.len() as u64).map(sharer).collect();
        let mut most = 0;
        for (number, group) in groups.iter().enumerate() {
            let mut shares = cold::Shares::default();
            let was_active = number < active_count;
            let me = Some(all[number].clone());
            shares.observe(0, me.clone().filter(|_| was_active), &all[..active_count]);
            let is_visible = |at: &usize| groups[*at] % 4 == group % 4;
            let visible = (0..groups.len()).filter(is_visible).map(|at| all[at].clone());
            shares.observe(12 * SECOND_US, me, &visible.collect::<Vec<_>>());
            most += most_of(&shares, &format!("a-{searcher}"), limit_per_s);
        }
        most as f64 <= cold_most(limit_per_s)
    }
    quickcheck(property as fn(Vec<u8>, u8, u16, u8) -> bool);
}

/// Guards against instances that hear from nobody, or from few, since they started: a group in each of the two failure
/// domains of the searcher's region and in each other region, and any number of single instances.
#[test]
fn cold_searchers_get_no_more_than_their_limit_from_instances_that_start_apart() {
    fn property(counts: (u8, u8, u8, u8), alone: u8, limit_seed: u16) -> bool {
        let limit_per_s = limit_of(limit_seed);
        let group = |first: u64, count: u8, region: &str| -> Vec<limit::Sharer> {
            (first..first + u64::from(count % 40)).map(|number| sharer_in(region, number)).collect()
        };
        let mut groups = vec![
            group(0, counts.0, "north"),
            group(100, counts.1, "south"),
            group(200, counts.2, "west"),
            group(300, counts.3, "north"),
        ];
        groups.extend(group(400, alone, "north").into_iter().map(|single| vec![single]));
        let mut most = 0;
        for active in groups {
            for me in &active {
                let mut shares = cold::Shares::default();
                shares.observe(0, Some(me.clone()), &active);
                most += most_of(&shares, "a-0", limit_per_s);
            }
        }
        most as f64 <= cold_most(limit_per_s)
    }
    quickcheck(property as fn((u8, u8, u8, u8), u8, u16) -> bool);
}

/// Most of the limit is used while all instances see each other, and the part of one that is lost is used again later.
#[test]
fn most_of_a_cold_searchers_limit_is_used() {
    let all: Vec<limit::Sharer> = (0..15).map(sharer).collect();
    let total_per_s = |now_us: u64, visible: &[limit::Sharer], limit_per_s: f64| -> f64 {
        let mut total_per_s = 0.0;
        for me in visible {
            let mut shares = cold::Shares::default();
            shares.observe(0, Some(me.clone()), &all);
            shares.observe(SECOND_US, Some(me.clone()), visible);
            shares.observe(now_us, Some(me.clone()), visible);
            let tolerance = cold::Tolerance::default();
            total_per_s += shares.part_per_s("a-0", "north", limit_per_s, tolerance).unwrap_or(0.0);
        }
        total_per_s
    };
    for limit_per_s in [2.0, 10.0, 40.0] {
        let total = total_per_s(2 * SECOND_US, &all, limit_per_s);
        assert!(total >= 0.5 * limit_per_s && total <= limit_per_s, "{total} of {limit_per_s}");
        let few = total_per_s(2 * SECOND_US, &all[..2], limit_per_s);
        assert!(few < total, "{few} of {limit_per_s}");
        let later = total_per_s(62 * SECOND_US, &all[..2], limit_per_s);
        assert!((later - total).abs() < 1e-6, "{later} of {limit_per_s}");
        let alone = total_per_s(62 * SECOND_US, &all[..1], limit_per_s);
        assert!(alone > 0.0 && alone <= 1.0, "{alone} of {limit_per_s}");
    }
}

/// A balancer in which `a-0` is cold for 10 s from [`START_US`] on. The Unix time is 100 s then.
fn cold_balancer(rule: cold::Rule) -> balancer::Balancer {
    let mut balancer = balancer();
    let mut records = records();
    records[0].searcher.as_mut().unwrap().cold_until_ms = 110_000;
    balancer.sync(START_US, &records, distance, |_| 40);
    let active = [sharer(0), sharer(3)];
    balancer.observe_cold_sharers(START_US, Some(sharer(0)), &active);
    balancer.update_cold_limits(START_US, 100_000, |_| Some(rule));
    balancer
}

/// Returns how many of the requests that arrive each millisecond of a second are sent to `a-0`.
fn sent_to_first(balancer: &mut balancer::Balancer, from_us: u64) -> usize {
    let homes = only(&["north"]);
    let profile = balancer::RequestProfile {
        median_processing_us: 1_000,
        priority: 0,
        cross_region_penalty_us: 0,
        homes: &homes,
    };
    let mut count = 0;
    for step in 0..1_000 {
        let now_us = from_us + step * 1_000;
        let Some(candidate) = balancer.find(now_us, &service("a"), &[], profile) else {
            continue;
        };
        let choice = balancer.start_send(now_us, candidate);
        count += usize::from(choice.endpoint.id == "a-0");
        let report = balancer::Report::Answered { latency_us: 1_300 };
        balancer.finish_send(now_us, &choice.endpoint, &choice.send_id, 1_000, report);
    }
    count
}

#[test]
fn a_searcher_is_limited_while_it_is_cold() {
    let rule = cold::Rule { per_s: 10.0, start_ms: 0 };
    let mut balancer = cold_balancer(rule);
    assert_eq!(balancer.cold_count(), 1);
    for second in 0..9 {
        let count = sent_to_first(&mut balancer, START_US + second * SECOND_US);
        assert!((1..=6).contains(&count), "{count} of the requests in second {second}");
    }
    let tried = ["a-3".into()];
    let from_us = |now_us: u64| {
        let homes = only(&["north"]);
        balancer.accepts_from_us(now_us, &service("a"), &tried, 0, &homes).unwrap()
    };
    let last_us = START_US + 9 * SECOND_US;
    assert!(
        from_us(last_us) > last_us && from_us(last_us) <= last_us + SECOND_US,
        "its next request"
    );
    let count = sent_to_first(&mut balancer, START_US + 10 * SECOND_US);
    assert!(count > 300, "{count} of the requests after the cold time");

    let now_us = START_US + 12 * SECOND_US;
    let choice = loop {
        let homes = only(&["north"]);
        let profile = balancer::RequestProfile {
            median_processing_us: 1_000,
            priority: 0,
            cross_region_penalty_us: 0,
            homes: &homes,
        };
        let candidate = balancer.find(now_us, &service("a"), &[], profile).unwrap();
        let choice = balancer.start_send(now_us, candidate);
        if choice.endpoint.id == "a-0" {
            break choice;
        }
    };
    choice.endpoint.set_cold_until_us(now_us + 5 * SECOND_US);
    let count = sent_to_first(&mut balancer, now_us);
    assert!(count <= 6, "{count} of the requests after an answer that says that it is cold");
}

#[test]
fn a_searcher_is_cold_after_its_start_or_by_its_entry() {
    let rule = cold::Rule { per_s: 10.0, start_ms: 3_000 };
    let until_us = |boot_ms: u64, cold_until_ms: u64| {
        rule.cold_until_us(SECOND_US, 10_000, cold::Entry { boot_ms, cold_until_ms })
    };
    assert_eq!(until_us(0, 0), SECOND_US, "it is not cold");
    assert_eq!(until_us(9_000, 0), 3 * SECOND_US);
    assert_eq!(until_us(6_000, 0), SECOND_US);
    assert_eq!(until_us(6_000, 15_000), 6 * SECOND_US);
    let mut declared = declared_service("a", 40);
    assert_eq!(cold::Rule::of(&declared), None);
    (declared.cold_per_s, declared.cold_start_ms) = (10.0, 3_000);
    assert_eq!(cold::Rule::of(&declared), Some(rule));
}

/// Guards against an update to all instances for every renewal of a cold searcher's entry.
#[test]
fn renewals_of_a_cold_searcher_are_no_changes() {
    let report = |number: u64, cold_until_ms: u64| {
        let mut change = record("a-0", searcher("a", NEAR, 1));
        change.revision = revision(number);
        change.searcher.as_mut().unwrap().cold_until_ms = cold_until_ms;
        change
    };
    let mut registry = registry::Registry::default();
    assert!(registry.apply(&report(1, 60_000)));
    let digest = registry.digest();
    for number in 2..60 {
        assert!(!registry.apply(&report(number, 60_000 + number * 37)));
    }
    let mut other = registry::Registry::default();
    other.apply(&report(59, 61_000));
    assert_eq!(other.digest(), digest, "two readers estimate different ends");
    assert!(registry.apply(&report(60, 70_000)), "it stays cold for longer");
    assert!(registry.apply(&report(61, 0)), "it is no longer cold");
    assert_ne!(registry.digest(), digest);

    let mut config = configuration(1, Vec::new());
    let mut changes = [report(1, 60_000)];
    config.services[0].cold_per_s = 5.0;
    cold::strip(Some(&config), &mut changes);
    assert_eq!(changes[0], report(1, 60_000));
    config.services[0].cold_per_s = 0.0;
    cold::strip(Some(&config), &mut changes);
    assert_eq!(changes[0], report(1, 0), "services without a limit");
}

/// Guards against effects on deployments that use none of these rules.
#[test]
fn without_homes_evacuations_and_cold_limits_the_candidates_are_the_same() {
    fn property(steps: Vec<(u8, bool)>) -> bool {
        let mut plain = balancer();
        let mut other = balancer();
        let mut cold_records = records();
        for record in &mut cold_records {
            record.searcher.as_mut().unwrap().cold_until_ms = u64::MAX;
        }
        other.sync(0, &cold_records, distance, |_| 40);
        other.set_evacuated(zones(&["elsewhere"]));
        other.observe_cold_sharers(0, Some(sharer(0)), &[sharer(0), sharer(1)]);
        let mut now_us = START_US;
        for (number, is_silent) in steps {
            now_us += u64::from(number) * 1_000;
            other.update_cold_limits(now_us, 0, |_| None);
            // The same searcher gets a request from both.
            let id = CompactString::from(format!("a-{}", number % 6));
            let others: Vec<CompactString> = records()
                .iter()
                .map(|record| record.id.clone())
                .filter(|other| *other != id)
                .collect();
            let homes = homes::Homes::Any;
            let profile = balancer::RequestProfile {
                median_processing_us: 30_000,
                priority: 0,
                cross_region_penalty_us: 0,
                homes: &homes,
            };
            let mut expected = Vec::new();
            for balancer in [&mut plain, &mut other] {
                let from_us = balancer.accepts_from_us(now_us, &service("a"), &others, 0, &homes);
                let candidate = balancer.find(now_us, &service("a"), &others, profile);
                expected.push((from_us, candidate));
                let Some(candidate) = candidate else {
                    continue;
                };
                let choice = balancer.start_send(now_us, candidate);
                let report = match is_silent {
                    true => balancer::Report::Silent { waited_us: 90_000 },
                    false => balancer::Report::Answered { latency_us: 50_000 },
                };
                let (endpoint, send_id) = (&choice.endpoint, &choice.send_id);
                balancer.finish_send(now_us, endpoint, send_id, 30_000, report);
            }
            if expected[0] != expected[1] {
                return false;
            }
        }
        candidates(&mut plain, &homes::Homes::Any) == candidates(&mut other, &homes::Homes::Any)
    }
    quickcheck(property as fn(Vec<(u8, bool)>) -> bool);
}
