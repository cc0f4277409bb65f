//! Tests of how long before the target latency answers leave, so that they reach their clients in time.

mod forward_support;

use forward_support::Fixture;
use forward_support::START_US;
use forward_support::answer;
use forward_support::gather;
use tarragondoor::forward::answer_delay;
use tarragondoor::forward::query;

const SHARDS: [&str; 10] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];
const TARGET_US: u64 = 100_000;
/// The time that a request and its answer are on the way between the client and the instance.
const ROUND_TRIP_US: u64 = 6_000;

fn estimator(wakes_us: &[u64], builds_us: &[u64]) -> answer_delay::Estimator {
    let mut estimator = answer_delay::Estimator::default();
    for (wake_us, build_us) in wakes_us.iter().zip(builds_us) {
        estimator.record_wake(*wake_us);
        estimator.record_build(*build_us);
    }
    estimator
}

#[test]
fn the_margin_follows_the_measured_times_of_the_machine() {
    let fast = estimator(&[100; 50], &[50; 50]).margin_us();
    let usual = answer_delay::Estimator::default().margin_us();
    let slow = estimator(&[4_000; 50], &[3_000; 50]).margin_us();
    assert!(fast < usual && usual < slow, "{fast} {usual} {slow}");
    assert!((7_000..=9_700).contains(&fast), "{fast}");
    assert!((16_000..=17_700).contains(&slow), "{slow}");
}

#[test]
fn a_few_samples_and_rare_exceptions_do_not_count() {
    let usual = answer_delay::Estimator::default().margin_us();
    assert_eq!(estimator(&[15_000; 3], &[15_000; 3]).margin_us(), usual);
    let mut wakes_us = vec![1_000; 99];
    wakes_us.push(5_000_000);
    let margin_us = estimator(&wakes_us, &[1_000; 100]).margin_us();
    assert!(margin_us <= usual, "{margin_us}");
    let paused = estimator(&[5_000_000; 20], &[1_000; 20]).margin_us();
    assert!(paused <= 31_000, "{paused}");
}

/// A machine with little processor time wakes up 3 ms late and takes 2 ms to build an answer. With a fixed margin of
/// 10 ms, answers with a part missing left 90 ms after their requests had arrived and reached the clients after 101 ms.
#[test]
fn partial_answers_of_a_slow_machine_reach_their_clients_in_time() {
    const WAKE_US: u64 = 3_000;
    const BUILD_US: u64 = 2_000;
    let margin_us = estimator(&[WAKE_US; 20], &[BUILD_US; 20]).margin_us();
    let mut fixture = Fixture::new(&SHARDS);
    let spec = query::Spec { target_us: TARGET_US, margin_us, ..gather(&SHARDS, 9) };
    let mut query = query::Query::new(spec);
    query.start(START_US, &mut fixture.context());
    for number in 0..9 {
        query.record_end(START_US + 20_000, &mut fixture.context(), number, answer(200));
    }
    assert!(query.completion(START_US + 20_000).is_none());
    let mut now_us = START_US + 20_000;
    while query.completion(now_us).is_none() {
        now_us = query.wake_at_us(now_us).max(now_us + 500) + WAKE_US;
        query.tick(now_us, &mut fixture.context());
    }
    let received_us = now_us - START_US + BUILD_US + ROUND_TRIP_US;
    assert!(received_us <= TARGET_US, "received after {received_us} us");
    assert!(
        received_us >= TARGET_US - 10_000,
        "parts had less time than they could: {received_us} us"
    );
}
