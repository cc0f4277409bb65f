//! How long a client has waited before its request came in, from the times that clients state.

use tarragondoor::forward::client_wait;

const TARGET_US: u64 = 100_000;
const SECOND_US: u64 = 1_000_000;

/// Feeds the times that clients state, in milliseconds, one each 100 ms.
fn waited_ms(stated_ms: &[u64]) -> Vec<u64> {
    let mut client_wait = client_wait::Estimator::default();
    let mut waited = Vec::new();
    for (at, stated_ms) in stated_ms.iter().enumerate() {
        let now_us = at as u64 * SECOND_US / 10;
        waited.push(client_wait.waited_us(now_us, "match", stated_ms * 1_000, TARGET_US) / 1_000);
    }
    waited
}

#[test]
fn less_than_the_longest_time_stated_has_passed_before() {
    // On an open connection; after opening one; after asking where to connect as well.
    assert_eq!(waited_ms(&[800, 793, 778, 800]), [0, 7, 22, 0]);
}

#[test]
fn the_first_request_is_taken_to_have_waited_for_nothing() {
    assert_eq!(waited_ms(&[793, 778, 800, 793]), [0, 15, 0, 7]);
}

#[test]
fn a_client_that_asks_again_begins_anew() {
    assert_eq!(waited_ms(&[800, 350, 751, 749]), [0, 0, 49, 0]);
}

#[test]
fn routes_do_not_mix() {
    let mut client_wait = client_wait::Estimator::default();
    client_wait.waited_us(0, "history", 6_000_000, TARGET_US);
    assert_eq!(client_wait.waited_us(0, "match", 800_000, TARGET_US), 0);
    client_wait.retain_routes(&["match"]);
    assert_eq!(client_wait.waited_us(0, "history", 5_990_000, TARGET_US), 0, "it was forgotten");
}

#[test]
fn a_time_that_nobody_states_any_more_is_forgotten() {
    let mut client_wait = client_wait::Estimator::default();
    client_wait.waited_us(0, "match", 820_000, TARGET_US);
    let mut waited_us = Vec::new();
    for second in 1..30 {
        waited_us.push(client_wait.waited_us(second * SECOND_US, "match", 800_000, TARGET_US));
    }
    assert_eq!(waited_us[0], 20_000);
    assert_eq!(waited_us[28], 0);
}
