//! Selection of live members, store readers and instances that accept clients.

mod forward_support;

use forward_support::REGIONS;
use forward_support::configuration;
use forward_support::fleet;
use forward_support::member;
use std::net;
use tarragondoor::discovery::members;
use tarragondoor::forward::address;

/// The members known to one instance after a source has reported all of them.
fn view(fleet: &[members::Member], at: usize) -> members::Members {
    let mut view = members::Members::new(fleet[at].clone());
    view.set_source_members(source(), fleet.to_vec());
    view
}

fn source() -> net::SocketAddr {
    ([10, 9, 9, 9], 9).into()
}

fn names(members: &[&members::Member]) -> Vec<String> {
    let mut names: Vec<String> = members.iter().map(|member| member.name.to_string()).collect();
    names.sort();
    names
}

#[test]
fn all_instances_agree_on_one_reader_in_each_region() {
    let fleet = fleet(91);
    let readers = names(&view(&fleet, 0).readers());
    for at in 0..fleet.len() {
        assert_eq!(names(&view(&fleet, at).readers()), readers, "seen from {at}");
    }
    let view = view(&fleet, 0);
    let mut regions: Vec<&str> = view.readers().iter().map(|reader| &*reader.region).collect();
    regions.sort();
    assert_eq!(regions, REGIONS);
}

#[test]
fn one_region_has_several_readers() {
    let fleet: Vec<members::Member> =
        (0..9).map(|number| member(&format!("i-{number}"), "north", number + 1)).collect();
    assert_eq!(view(&fleet, 0).readers().len(), 3);
}

#[test]
fn readers_that_are_cut_off_draining_or_unresponsive_are_replaced() {
    let mut fleet = fleet(30);
    let first = names(&view(&fleet, 0).readers());
    let at = |fleet: &[members::Member], name: &str| {
        fleet.iter().position(|member| member.name.as_str() == name).unwrap()
    };
    let cut_off = at(&fleet, &first[0]);
    fleet[cut_off].reaches_store = false;
    let draining = at(&fleet, &first[1]);
    fleet[draining].state = members::MemberState::Draining;
    let mut view = view(&fleet, 0);
    let unresponsive = fleet[at(&fleet, &first[2])].control;
    view.mark_source_lost(0, unresponsive, true);
    let readers = names(&view.readers());
    for name in &first {
        assert!(!readers.contains(name), "{name} is still a reader");
    }
    view.expire(5_000_000);
    let resumed = fleet[at(&fleet, &first[2])].name.to_string();
    assert!(names(&view.readers()).contains(&resumed), "a frozen instance may have resumed");
}

/// Guards against a move of all connections, which splits the membership and delays what is new, because the store turns
/// the readers away: only the reader role moves, and the hubs follow the new readers.
#[test]
fn hubs_that_are_cut_off_from_the_store_stay_hubs_and_follow_the_new_readers() {
    let mut fleet = fleet(30);
    let first = names(&view(&fleet, 0).hubs());
    assert_eq!(first, names(&view(&fleet, 0).readers()));
    for member in &mut fleet {
        member.reaches_store = !first.contains(&member.name.to_string());
    }
    let hub = fleet.iter().position(|member| member.name.as_str() == first[0]).unwrap();
    let other = fleet.iter().position(|member| !first.contains(&member.name.to_string())).unwrap();
    fleet[other].stands_in = true;
    let address_of =
        |name: &String| fleet.iter().find(|member| member.name.as_str() == name).unwrap().control;
    for at in [hub, other] {
        let view = view(&fleet, at);
        assert_eq!(names(&view.hubs()), first);
        let readers = names(&view.readers());
        assert!(readers.iter().all(|name| !first.contains(name)), "{readers:?}");
        let mut expected: Vec<net::SocketAddr> = first.iter().map(address_of).collect();
        if at == hub {
            expected.extend(readers.iter().map(address_of));
            expected.push(fleet[other].control);
        }
        expected.retain(|address| *address != fleet[at].control);
        expected.sort();
        expected.dedup();
        assert_eq!(view.selected_sources(), expected);
    }
}

/// Guards against an instance that never finds the others because its only seed is no hub, and against two instances that
/// keep telling each other of a hub that is gone.
#[test]
fn an_instance_that_is_no_hub_names_the_hubs_that_it_is_connected_to() {
    let fleet = fleet(30);
    let hub_names = names(&view(&fleet, 0).hubs());
    let is_hub = |member: &members::Member| hub_names.contains(&member.name.to_string());
    let other = fleet.iter().position(|member| !is_hub(member)).unwrap();
    let hubs: Vec<&members::Member> = fleet.iter().filter(|member| is_hub(member)).collect();
    let mut view = members::Members::new(fleet[other].clone());
    view.set_source_members(hubs[0].control, fleet.clone());
    let listed = |view: &members::Members| {
        let listed = view.connected_members();
        names(&listed.iter().collect::<Vec<&members::Member>>())
    };
    let mut expected = names(&[&fleet[other], hubs[0]]);
    expected.sort();
    assert_eq!(listed(&view), expected, "it heard of the other hubs, but is not connected to them");
    view.mark_source_lost(0, hubs[0].control, false);
    assert_eq!(listed(&view), names(&[&fleet[other]]));
    let mut view = members::Members::new(hubs[0].clone());
    view.set_source_members(hubs[1].control, fleet.clone());
    assert_eq!(listed(&view), names(&[hubs[0]]), "a hub names those that are connected to it");
}

#[test]
fn the_next_instances_of_a_region_stand_in_for_its_readers() {
    let mut fleet = fleet(30);
    let readers = names(&view(&fleet, 0).readers());
    let ranks = |fleet: &[members::Member]| -> Vec<(String, Option<usize>)> {
        let ranks = (0..fleet.len())
            .map(|at| (fleet[at].region.to_string(), view(fleet, at).stand_in_rank()));
        ranks.collect()
    };
    for region in REGIONS {
        let mut found: Vec<usize> =
            ranks(&fleet).iter().filter(|(of, _)| of == region).filter_map(|(_, r)| *r).collect();
        found.sort();
        assert_eq!(found, (0..found.len()).collect::<Vec<usize>>());
    }
    let without: Vec<usize> =
        (0..30).filter(|at| view(&fleet, *at).stand_in_rank().is_none()).collect();
    let names_without: Vec<String> = without.iter().map(|at| fleet[*at].name.to_string()).collect();
    assert_eq!(
        {
            let mut sorted = names_without;
            sorted.sort();
            sorted
        },
        readers
    );
    let first = (0..30).find(|at| view(&fleet, *at).stand_in_rank() == Some(0)).unwrap();
    fleet[first].state = members::MemberState::Draining;
    assert_eq!(view(&fleet, first).stand_in_rank(), None, "it is about to stop");
}

#[test]
fn members_of_a_lost_source_stay_live_for_a_while() {
    let fleet = fleet(6);
    let mut view = view(&fleet, 0);
    view.mark_source_lost(0, source(), false);
    view.expire(1_900_000);
    assert_eq!(view.live().len(), 6);
    view.expire(2_100_000);
    assert_eq!(view.live().len(), 1, "only the instance itself remains");
}

/// Guards against connections to a source that are opened and closed in a loop: a source that reported that it can't
/// read the store was deselected, its report dropped, and an older report of another source selected it again.
#[test]
fn a_source_that_is_no_longer_needed_does_not_become_a_reader_again_at_once() {
    let mut fleet = fleet(30);
    let first = names(&view(&fleet, 0).readers())[0].clone();
    let unfit = fleet.iter().position(|member| member.name.as_str() == first).unwrap();
    let stale = fleet.clone();
    fleet[unfit].reaches_store = false;
    let address = fleet[unfit].control;
    let mut view = members::Members::new(fleet[0].clone());
    view.set_source_members(address, fleet.clone());
    view.set_source_members(source(), stale);
    assert!(!names(&view.readers()).contains(&first), "it reported that it can't read the store");
    view.release_source(0, address);
    assert!(!names(&view.readers()).contains(&first), "its report was dropped with the connection");
    view.expire(2_100_000);
    assert!(names(&view.readers()).contains(&first), "its report has expired");
}

#[test]
fn a_lost_source_is_removed_at_once() {
    let fleet = fleet(6);
    let mut view = members::Members::new(fleet[0].clone());
    view.set_source_members(fleet[1].control, fleet.clone());
    view.mark_source_lost(0, fleet[1].control, false);
    assert!(!names(&view.live()).contains(&fleet[1].name.to_string()));
}

#[test]
fn the_latest_boot_of_a_name_wins() {
    let fleet = fleet(2);
    let mut view = members::Members::new(fleet[0].clone());
    let restarted = members::Member { boot_ms: 9, ..fleet[1].clone() };
    assert!(view.upsert_subscriber(restarted.clone()));
    assert!(!view.upsert_subscriber(fleet[1].clone()), "a report from an earlier boot is ignored");
    assert!(
        !view.remove_subscriber(&fleet[1].name, fleet[1].boot_ms),
        "the end of an earlier boot's connection is ignored"
    );
    assert_eq!(view.live(), [&fleet[0], &restarted]);
    assert!(view.remove_subscriber(&restarted.name, 9));
}

#[test]
fn an_unchanged_member_list_is_not_a_change() {
    let fleet = fleet(3);
    let mut view = members::Members::new(fleet[0].clone());
    assert!(view.set_source_members(source(), fleet.clone()));
    assert!(!view.set_source_members(source(), fleet.clone()));
}

/// A searcher accepts 78 connections. If all 91 instances were active, each could open less than one.
#[test]
fn few_connections_per_searcher_leave_some_instances_of_each_region_active() {
    let fleet = fleet(91);
    let mut config = configuration(1, Vec::new());
    config.services[0].connections_max = 78;
    let live: Vec<&members::Member> = fleet.iter().collect();
    let active = address::ActiveMembers::select(&live, Some(&config));
    let counts = REGIONS.map(|region| active.count_in(region));
    assert_eq!(counts, [6, 5, 5], "78 connections, at five per active instance");
    assert_eq!(counts, REGIONS.map(|region| active.addresses(region, &[]).len()));
    let survivors: Vec<&members::Member> =
        fleet.iter().filter(|member| !active.contains(member)).collect();
    let next = address::ActiveMembers::select(&survivors, Some(&config));
    assert_eq!(next.count(), 15, "others take over when all active instances are lost");
}

#[test]
fn all_instances_of_a_small_deployment_are_active() {
    let fleet = fleet(7);
    let live: Vec<&members::Member> = fleet.iter().collect();
    let active = address::ActiveMembers::select(&live, Some(&configuration(1, Vec::new())));
    assert_eq!(active.count(), 7);
}

#[test]
fn starting_and_draining_instances_are_not_listed_and_a_single_one_is_supplemented() {
    let mut fleet = fleet(6);
    fleet[0].state = members::MemberState::Draining;
    fleet[1].state = members::MemberState::Starting;
    let live: Vec<&members::Member> = fleet.iter().collect();
    let active = address::ActiveMembers::select(&live, None);
    assert_eq!(active.addresses("west", &[]).len(), 2);
    assert_eq!(
        active.addresses("north", &[]).len(),
        2,
        "its only instance and one from another region"
    );
    assert_eq!(active.addresses("north", &[])[0], fleet[3].front.unwrap());
    assert_eq!(active.addresses("nowhere", &[]).len(), 2);
    assert!(address::ActiveMembers::select(&[], None).addresses("north", &[]).is_empty());
}
