//! The searcher registry, with reports in any order, and the hold of removals after a store outage.

mod forward_support;

use forward_support::NEAR;
use forward_support::SECOND_US;
use forward_support::searcher;
use quickcheck::quickcheck;
use tarragondoor::discovery::registry;

fn change(id: &str, revision: u64, is_present: bool) -> registry::SearcherChange {
    registry::SearcherChange {
        id: id.into(),
        revision: registry::StoreRevision::new(registry::StoreEra(0), revision),
        searcher: is_present.then(|| searcher("a", NEAR, revision as u16)),
    }
}

#[test]
fn the_newest_revision_wins_in_any_order() {
    fn holds(mut reports: Vec<(u8, u16, bool)>, seed: u64) -> bool {
        // A revision identifies a single state.
        reports.sort_by_key(|(_, revision, _)| *revision);
        reports.dedup_by_key(|(_, revision, _)| *revision);
        let mut shuffled = reports.clone();
        let mut state = seed;
        for at in (1..shuffled.len()).rev() {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            shuffled.swap(at, (state >> 33) as usize % (at + 1));
        }
        state_after(&reports) == state_after(&shuffled)
    }

    fn state_after(reports: &[(u8, u16, bool)]) -> Vec<registry::SearcherChange> {
        let mut registry = registry::Registry::default();
        for (id, revision, is_present) in reports {
            let id = format!("i-{}", id % 5);
            registry.apply(&change(&id, u64::from(*revision) + 1, *is_present));
        }
        registry.records().to_vec()
    }

    quickcheck(holds as fn(Vec<(u8, u16, bool)>, u64) -> bool);
}

#[test]
fn only_a_changed_searcher_counts_as_a_change() {
    let mut registry = registry::Registry::default();
    assert!(registry.apply(&change("i-1", 5, true)));
    let heartbeat = registry::SearcherChange {
        revision: registry::StoreRevision::new(registry::StoreEra(0), 6),
        ..change("i-1", 5, true)
    };
    assert!(!registry.apply(&heartbeat), "a heartbeat changes the revision only");
    assert!(!registry.apply(&change("i-1", 4, false)), "a removal older than the heartbeat");
    assert!(registry.apply(&change("i-1", 7, false)));
    assert!(!registry.apply(&change("i-2", 8, false)), "the removal of an unknown id");
    assert_eq!(registry.live_count(), 0);
}

#[test]
fn removals_right_after_an_outage_are_held_until_searchers_can_register_again() {
    let mut hold = registry::RemovalHold::new(5 * SECOND_US / 2);
    let removals = vec![change("i-1", 5, false), change("i-2", 6, false)];
    hold.record_answer(SECOND_US, Some(SECOND_US), 4 * SECOND_US);
    assert!(hold.filter(SECOND_US, removals).is_empty());
    let returned = hold.filter(2 * SECOND_US, vec![change("i-1", 9, true)]);
    assert_eq!(returned, [change("i-1", 9, true)]);
    assert!(hold.filter(3 * SECOND_US, Vec::new()).is_empty());
    let released = hold.filter(SECOND_US + registry::REMOVAL_HOLD_US, Vec::new());
    assert_eq!(
        released,
        [change("i-2", 6, false)],
        "searchers that did not register again are removed"
    );
    let later = hold.filter(9 * SECOND_US, vec![change("i-3", 10, false)]);
    assert_eq!(later, [change("i-3", 10, false)], "nothing is held without an outage");
}

/// The reader role may move to another instance during an outage. One that became a reader near its end has
/// seen few failed calls, so the age of its view has to reveal the outage.
#[test]
fn a_stale_view_reveals_an_outage_that_the_reader_did_not_observe() {
    let cases = [
        (None, 0, false),
        (Some(SECOND_US), 0, false),
        (Some(SECOND_US), SECOND_US / 2, false),
        (Some(3 * SECOND_US), 0, true),
        (Some(SECOND_US), 2 * SECOND_US, true),
    ];
    for (view_age_us, failing_us, is_held) in cases {
        let mut hold = registry::RemovalHold::new(5 * SECOND_US / 2);
        hold.record_answer(SECOND_US, view_age_us, failing_us);
        let passed = hold.filter(SECOND_US, vec![change("i-1", 5, false)]);
        assert_eq!(passed.is_empty(), is_held, "{view_age_us:?} {failing_us}");
    }
}

/// Guards against removals that are held back although the store was up: it had turned some instances away, and the one
/// that reads instead took its own old view for an outage.
#[test]
fn renewals_show_that_the_store_was_up() {
    let progress =
        |elapsed_us: u64, revision_count: u64, removal_count: usize| registry::StoreProgress {
            elapsed_us,
            revision_count,
            removal_count,
            searcher_count: 100,
            renewal_period_us: 1_200_000,
        };
    // Seconds that have passed, changes, removals among them, and whether lapses are ruled out.
    let cases = [
        (2.4, 0, 0, true),
        (3.0, 250, 1, true),
        (3.0, 170, 0, true),
        (6.0, 500, 5, true),
        (6.0, 100, 0, false),
        // Down for 4.8 of 6 s: half of the entries have lapsed, and all others were renewed at the end.
        (6.0, 100 + 50 + 50, 50, false),
        (9.0, 0, 0, false),
    ];
    for (elapsed_s, revisions, removals, rules_out) in cases {
        let progress = progress((elapsed_s * 1e6) as u64, revisions, removals);
        assert_eq!(progress.rules_out_lapses(), rules_out, "{progress:?}");
    }
}

/// Guards against a report from other operators: after a restart, a server that had left was in use again. A restarted
/// instance hears of it from a source that is behind, and the others have no record of its removal, since they started
/// after it.
#[test]
fn a_searcher_that_left_before_all_others_started_is_removed_by_their_complete_list() {
    let mut stale = registry::Registry::default();
    stale.apply(&change("i-left", 5, true));
    stale.apply(&change("i-stays", 6, true));
    let mut current = registry::Registry::default();
    current.apply(&change("i-stays", 6, true));
    current.apply(&change("i-new", 8, true));
    let mut restarted = registry::Registry::default();
    for source in [&stale, &current] {
        for record in source.records() {
            restarted.apply(record);
        }
    }
    assert_ne!(restarted.digest(), current.digest());
    let removals = restarted.removals_missing_in(
        current.records(),
        registry::StoreRevision::new(registry::StoreEra(0), 20),
    );
    assert_eq!(removals, [change("i-left", 20, false)]);
    for removal in &removals {
        restarted.apply(removal);
    }
    assert_eq!(restarted.digest(), current.digest());
    assert!(!restarted.apply(&change("i-left", 5, true)), "the stale source tells it again");
}

/// For any history of the store: whatever an instance has heard before, the complete list of one that knows all changes
/// up to a revision removes only searchers that were gone at that revision or have left since.
#[test]
fn a_complete_list_removes_no_searcher_that_registered_after_it() {
    fn holds(history: Vec<(u8, bool)>, as_of: u8, heard: Vec<u8>) -> bool {
        let as_of = usize::from(as_of).min(history.len());
        let reports: Vec<registry::SearcherChange> = history
            .iter()
            .enumerate()
            .map(|(at, (id, is_present))| {
                change(&format!("i-{}", id % 6), at as u64 + 1, *is_present)
            })
            .collect();
        let mut source = registry::Registry::default();
        for report in &reports[..as_of] {
            source.apply(report);
        }
        let mut instance = registry::Registry::default();
        for index in &heard {
            if let Some(report) = reports.get(usize::from(*index)) {
                instance.apply(report);
            }
        }
        let revision = registry::StoreRevision::new(registry::StoreEra(0), as_of as u64);
        let mut all = source.records().to_vec();
        all.extend(instance.removals_missing_in(source.records(), revision));
        for report in &all {
            instance.apply(report);
        }
        // Complete up to the revision, and newer where the instance has heard so.
        let mut expected = source.clone();
        for index in &heard {
            if let Some(report) = reports.get(usize::from(*index)) {
                expected.apply(report);
            }
        }
        instance.digest() == expected.digest()
    }
    quickcheck(holds as fn(Vec<(u8, bool)>, u8, Vec<u8>) -> bool);
}

/// A change in the era after a restore of the store.
fn restored(id: &str, revision: u64, is_present: bool) -> registry::SearcherChange {
    let era = registry::StoreEra(1);
    registry::SearcherChange {
        revision: registry::StoreRevision::new(era, revision),
        ..change(id, revision, is_present)
    }
}

/// By number alone, what a restored store accepts would count as older than what it has lost.
#[test]
fn a_later_era_is_newer_than_any_revision_of_an_earlier_one() {
    let mut registry = registry::Registry::default();
    assert!(registry.apply(&change("i-1", 900, true)));
    assert!(registry.apply(&restored("i-1", 7, true)));
    assert!(!registry.apply(&change("i-1", 901, false)), "a late report of the earlier era");
    let revision: registry::StoreRevision = "1:7".parse().unwrap();
    assert_eq!(registry.get("i-1").unwrap().revision, revision);
    assert_eq!(revision.to_string(), "1:7");
    assert!("7".parse::<registry::StoreRevision>().is_err());
}

/// A restored copy lists searchers as ready that have left since it was made.
#[test]
fn a_restored_copy_does_not_bring_back_what_has_left() {
    let mut registry = registry::Registry::default();
    let mut draining = change("i-1", 5, true);
    draining.searcher.as_mut().unwrap().state = registry::SearcherState::Draining;
    registry.apply(&draining);
    registry.apply(&change("i-2", 5, true));
    registry.apply(&change("i-2", 6, false));
    registry.apply(&change("i-3", 5, true));
    let mut restarted = change("i-4", 5, true);
    restarted.searcher.as_mut().unwrap().boot_ms = 50;
    registry.apply(&restarted);
    for id in ["i-1", "i-2", "i-4"] {
        assert!(registry.is_superseded(&restored(id, 4, true)), "{id}");
    }
    assert!(!registry.is_superseded(&restored("i-3", 4, true)), "it was ready all the time");
    assert!(!registry.is_superseded(&restored("i-5", 4, true)), "it was not known");
    assert!(!registry.is_superseded(&change("i-2", 7, true)), "a new entry of the same era");
}

/// Searchers that the copy lacks may be alive, and need time to register again.
#[test]
fn removals_by_a_restore_are_held_once_for_each_era() {
    let mut registry = registry::Registry::default();
    registry.apply(&change("i-1", 5, true));
    assert!(registry.is_removal_by_restore(&restored("i-1", 3, false)));
    assert!(!registry.is_removal_by_restore(&change("i-1", 6, false)));
    let mut hold = registry::RemovalHold::new(5 * SECOND_US / 2);
    let era = registry::StoreEra(1);
    hold.record_restore(SECOND_US, era);
    assert!(hold.filter(SECOND_US, vec![restored("i-1", 3, false)]).is_empty());
    hold.record_restore(2 * SECOND_US, era);
    let released = hold.filter(SECOND_US + registry::REMOVAL_HOLD_US, Vec::new());
    assert_eq!(released, [restored("i-1", 3, false)], "a later read does not extend the hold");
}
