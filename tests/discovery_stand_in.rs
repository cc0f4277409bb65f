//! Which instances read the store when it turns the readers away, simulated without a network.

mod forward_support;

use forward_support::SECOND_US;
use forward_support::fleet;
use quickcheck::quickcheck;
use std::net;
use std::time;
use tarragondoor::discovery::members;
use tarragondoor::discovery::reader;
use tarragondoor::discovery::stand_in;

const BOUNDS: reader::Bounds = reader::Bounds {
    config_apply: time::Duration::from_secs(6),
    drain: time::Duration::from_secs(6),
    evacuate: None,
};
/// How often an instance checks whether it should read the store.
const CHECK_PERIOD_US: u64 = 100_000;
/// How long a call takes that gets no answer.
const CALL_TIMEOUT_US: u64 = 700_000;
/// What the instances need to pass on what one of them has read.
const DISTRIBUTION_US: u64 = SECOND_US;

/// The members known to the instance `at`.
fn view(fleet: &[members::Member], at: usize) -> members::Members {
    let mut view = members::Members::new(fleet[at].clone());
    view.set_source_members(net::SocketAddr::from(([10, 9, 9, 9], 9)), fleet.to_vec());
    view
}

/// What the instances do from the moment at which the store turns away some of them.
struct Outcome {
    /// When the first instance got an answer to a stale view.
    answered_at_us: Option<u64>,
    /// The number of failed calls.
    failed_calls: usize,
}

/// Lets the store turn away the instances that `is_refused` returns true for. All views are fresh at the start.
fn play(fleet: &[members::Member], is_refused: impl Fn(usize) -> bool, until_us: u64) -> Outcome {
    let count = fleet.len();
    let stale_after_us = BOUNDS.stale_after_us();
    let ranks: Vec<Option<usize>> = (0..count).map(|at| view(fleet, at).stand_in_rank()).collect();
    let mut states = vec![stand_in::StandIn::new(stale_after_us); count];
    // When the call in progress fails.
    let mut fails_at_us: Vec<Option<u64>> = vec![None; count];
    let mut outcome = Outcome { answered_at_us: None, failed_calls: 0 };
    for now_us in (0..until_us).step_by(CHECK_PERIOD_US as usize) {
        for at in 0..count {
            if let Some(at_us) = fails_at_us[at] {
                if now_us < at_us {
                    continue;
                }
                fails_at_us[at] = None;
                states[at].record_failure(now_us);
                outcome.failed_calls += 1;
            }
            if !states[at].should_read(now_us, || ranks[at], now_us) {
                continue;
            }
            if is_refused(at) {
                fails_at_us[at] = Some(now_us + CALL_TIMEOUT_US);
                continue;
            }
            states[at].record_answer(now_us, now_us);
            outcome.answered_at_us.get_or_insert(now_us);
        }
    }
    outcome
}

/// Guards against instances of a large deployment that stay behind because the store turns away the readers and the next
/// instances in the order: each of them used to wait for the one before to give up.
#[test]
fn some_instance_reads_in_time_whatever_third_is_turned_away() {
    fn holds(seed: u64) -> bool {
        let fleet = fleet(295);
        let readers: Vec<String> =
            view(&fleet, 0).readers().iter().map(|reader| reader.name.to_string()).collect();
        let is_refused = |at: usize| {
            let mixed = (at as u64 + 1).wrapping_mul(seed | 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            readers.contains(&fleet[at].name.to_string()) || (mixed >> 32).is_multiple_of(3)
        };
        let bound_us = BOUNDS.drain.as_micros() as u64;
        let outcome = play(&fleet, is_refused, bound_us);
        outcome.answered_at_us.is_some_and(|at_us| at_us + DISTRIBUTION_US <= bound_us)
    }
    quickcheck(holds as fn(u64) -> bool);
}

/// Calls are priced, and all instances know at the same time that their views are old.
#[test]
fn the_calls_in_an_outage_do_not_grow_with_the_instances() {
    let calls = |count: u16| play(&fleet(count), |_| true, 20 * SECOND_US).failed_calls;
    let few = calls(30);
    assert!(few > 0);
    for count in [100, 300, 870] {
        assert_eq!(calls(count), few, "{count} instances");
    }
    // Three regions, a call each 3.7 s from 3.05 s on.
    assert!(few <= 3 * stand_in::STAND_INS_MAX * 5, "{few} calls");
}

#[test]
fn an_instance_goes_on_reading_until_the_reader_role_has_moved() {
    let mut state = stand_in::StandIn::new(2 * SECOND_US);
    assert!(!state.should_read(SECOND_US, || Some(0), SECOND_US), "the view is fresh");
    assert!(!state.should_read(SECOND_US, || None, 9 * SECOND_US), "it may not stand in");
    assert!(!state.should_read(SECOND_US, || Some(stand_in::STAND_INS_MAX), 9 * SECOND_US));
    assert!(state.should_read(SECOND_US, || Some(0), 2 * SECOND_US));
    assert!(!state.should_read(SECOND_US, || Some(2), 2 * SECOND_US), "others come first");
    assert!(state.record_answer(SECOND_US, 2 * SECOND_US));
    assert!(!state.record_answer(SECOND_US, 2 * SECOND_US), "it stands in already");
    assert!(state.should_read(3 * SECOND_US, || Some(0), 0), "its own answers keep the view fresh");
    assert!(
        !state.should_read(5 * SECOND_US, || Some(0), 0),
        "the readers have had time to report"
    );
    state.record_failure(6 * SECOND_US);
    assert!(!state.should_read(8 * SECOND_US, || Some(0), 9 * SECOND_US), "its last call failed");
    assert!(state.should_read(9 * SECOND_US, || Some(0), 9 * SECOND_US));
}
