//! Tests of the estimate of how long a client had waited before its request arrived.

use tarragondoor::discovery::client_wait;

const TARGET_US: u64 = 100_000;
const SECOND_US: u64 = 1_000_000;

/// Records one stated timeout every 100 ms. Returns the estimated waits, in milliseconds.
fn waited_ms(timeouts_ms: &[u64]) -> Vec<u64> {
    let mut estimator = client_wait::Estimator::default();
    let mut waited = Vec::new();
    for (index, timeout_ms) in timeouts_ms.iter().enumerate() {
        let now_us = index as u64 * SECOND_US / 10;
        waited.push(estimator.waited_us(now_us, "match", timeout_ms * 1_000, TARGET_US) / 1_000);
    }
    waited
}

#[test]
fn a_timeout_below_the_longest_one_shows_how_long_the_client_has_waited() {
    // On an open connection; after opening one; after also looking up an address; on an open one.
    assert_eq!(waited_ms(&[800, 793, 778, 800]), [0, 7, 22, 0]);
}

#[test]
fn the_first_request_counts_as_not_having_waited() {
    assert_eq!(waited_ms(&[793, 778, 800, 793]), [0, 15, 0, 7]);
}

#[test]
fn a_retrying_client_counts_as_not_having_waited() {
    assert_eq!(waited_ms(&[800, 350, 751, 749]), [0, 0, 49, 0]);
}

#[test]
fn routes_are_estimated_separately() {
    let mut estimator = client_wait::Estimator::default();
    estimator.waited_us(0, "history", 6_000_000, TARGET_US);
    assert_eq!(estimator.waited_us(0, "match", 800_000, TARGET_US), 0);
    estimator.retain_routes(&["match"]);
    assert_eq!(estimator.waited_us(0, "history", 5_990_000, TARGET_US), 0, "the route was dropped");
}

#[test]
fn a_timeout_that_is_no_longer_stated_expires() {
    let mut estimator = client_wait::Estimator::default();
    estimator.waited_us(0, "match", 820_000, TARGET_US);
    let mut waited_us = Vec::new();
    for second in 1..30 {
        waited_us.push(estimator.waited_us(second * SECOND_US, "match", 800_000, TARGET_US));
    }
    assert_eq!(waited_us[0], 20_000);
    assert_eq!(waited_us[28], 0);
}

/// An instance with little traffic gets requests on new connections only. Its answers used to leave as late as if their
/// clients had not waited, and arrived after the target latency.
#[test]
fn a_told_timeout_counts_like_an_own_one() {
    let mut busy = client_wait::Estimator::default();
    busy.waited_us(0, "match", 800_000, TARGET_US);
    let mut quiet = client_wait::Estimator::default();
    assert_eq!(quiet.waited_us(0, "match", 785_000, TARGET_US), 0);
    for told in busy.own_longest(SECOND_US) {
        quiet.tell(SECOND_US, &told);
    }
    assert_eq!(quiet.waited_us(2 * SECOND_US, "match", 785_000, TARGET_US), 15_000);
    assert_eq!(quiet.own_longest(2 * SECOND_US), [], "it was not stated to this instance");
    assert_eq!(quiet.longest(2 * SECOND_US), busy.own_longest(2 * SECOND_US));
}

/// Instances that tell each other what they were told must not keep a timeout in effect that no client states any more.
#[test]
fn a_timeout_expires_although_instances_keep_telling_it() {
    let mut instances = [client_wait::Estimator::default(), client_wait::Estimator::default()];
    instances[0].waited_us(0, "match", 820_000, TARGET_US);
    for second in 1..30 {
        for (from, to) in [(0, 1), (1, 0)] {
            for told in instances[from].longest(second * SECOND_US) {
                instances[to].tell(second * SECOND_US, &told);
            }
        }
    }
    for instance in &mut instances {
        assert_eq!(instance.waited_us(30 * SECOND_US, "match", 800_000, TARGET_US), 0);
    }
}

#[test]
fn only_changes_count_as_raised() {
    let mut estimator = client_wait::Estimator::default();
    let mut counts = Vec::new();
    for timeout_us in [780_000, 800_000, 800_000, 790_000] {
        estimator.waited_us(0, "match", timeout_us, TARGET_US);
        counts.push(estimator.raised_count());
    }
    assert_eq!(counts, [1, 2, 2, 2]);
}
