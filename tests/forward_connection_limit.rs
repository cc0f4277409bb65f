//! How many connections an instance opens to a searcher that resets those beyond its limit.

use tarragondoor::forward::connection_limit;

const SECOND_US: u64 = 1_000_000;
const HOLD_US: u64 = 250_000;

#[test]
fn the_limit_is_that_of_the_last_reset_and_grows_until_the_next_one() {
    let mut limit = connection_limit::ConnectionLimit::default();
    let start_us = 20 * SECOND_US;
    assert_eq!((limit.allowed(start_us), limit.is_suspected(start_us)), (usize::MAX, false));
    limit.record_reset(start_us, 2);
    let after = |limit: &connection_limit::ConnectionLimit, us| limit.allowed(start_us + us);
    assert_eq!(after(&limit, 0), 2);
    assert_eq!(after(&limit, HOLD_US - 1), 2);
    assert_eq!([1, 2, 3].map(|holds| after(&limit, holds * HOLD_US)), [3, 4, 5]);
    limit.record_reset(start_us + HOLD_US, 3);
    assert_eq!(after(&limit, 2 * HOLD_US), 3, "the next hold is longer");
    assert_eq!(after(&limit, 3 * HOLD_US), 4);
    assert_eq!(after(&limit, HOLD_US + 8 * SECOND_US), usize::MAX, "forgotten");
}

#[test]
fn connections_that_are_reset_together_count_once() {
    let mut limit = connection_limit::ConnectionLimit::default();
    for _ in 0..10 {
        limit.record_reset(SECOND_US, 0);
    }
    assert_eq!(limit.allowed(SECOND_US + HOLD_US), 1);
}

/// Searchers that reset connections after they have run requests must not be left without any.
#[test]
fn a_reset_after_a_request_was_sent_limits_nothing() {
    let mut limit = connection_limit::ConnectionLimit::default();
    limit.suspect(SECOND_US);
    assert_eq!(limit.allowed(SECOND_US), usize::MAX);
    assert_eq!([0, 1].map(|s| limit.is_suspected((1 + s) * SECOND_US)), [true, false]);
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Policy {
    Learned,
    /// Opens a connection whenever there is no idle one.
    Plain,
}

/// Instances that share one searcher, each with a request every 15 ms that takes 18 ms. Until `STALE_UNTIL_US` the
/// searcher still counts connections of the instances' predecessors. Returns the numbers of requests, of those that a
/// connection carried within 50 ms, and of connections that were reset.
fn restart(policy: Policy) -> (usize, usize, usize) {
    const INSTANCES: usize = 7;
    const CONNECTIONS_MAX: usize = 31;
    const STALE: usize = 22;
    const STALE_UNTIL_US: u64 = 5 * SECOND_US;
    const REQUEST_PERIOD_US: u64 = 15_000;
    const PROCESSING_US: u64 = 18_000;
    const WAIT_MAX_US: u64 = 50_000;
    const STEP_US: u64 = 1_000;

    let mut limits = vec![connection_limit::ConnectionLimit::default(); INSTANCES];
    // When each open connection is free again, by instance.
    let mut connections: Vec<Vec<u64>> = vec![Vec::new(); INSTANCES];
    let mut waiting: Vec<Vec<u64>> = vec![Vec::new(); INSTANCES];
    let (mut requests, mut carried, mut resets) = (0, 0, 0);
    for step in 0..8_000 {
        let now_us = 20 * SECOND_US + step * STEP_US;
        for instance in 0..INSTANCES {
            if (now_us + instance as u64 * 2_000).is_multiple_of(REQUEST_PERIOD_US) {
                requests += 1;
                waiting[instance].push(now_us);
            }
            waiting[instance].retain(|arrived_us| now_us - arrived_us <= WAIT_MAX_US);
            while !waiting[instance].is_empty() {
                if let Some(free) = connections[instance].iter_mut().find(|at| **at <= now_us) {
                    *free = now_us + PROCESSING_US;
                    waiting[instance].remove(0);
                    carried += 1;
                    continue;
                }
                let open = connections[instance].len();
                if policy == Policy::Learned && open >= limits[instance].allowed(now_us) {
                    break;
                }
                let stale = if step * STEP_US < STALE_UNTIL_US { STALE } else { 0 };
                let total: usize = connections.iter().map(Vec::len).sum();
                if total + stale < CONNECTIONS_MAX {
                    connections[instance].push(now_us);
                    continue;
                }
                // The request is lost with its connection.
                resets += 1;
                limits[instance].record_reset(now_us, open);
                waiting[instance].remove(0);
            }
        }
    }
    (requests, carried, resets)
}

/// Guards against the pattern of incident inc-9a77: all instances were killed, and for six seconds after their restart
/// the searchers reset most of their connections, and the requests on them were lost.
#[test]
fn after_a_restart_requests_share_the_connections_that_are_accepted() {
    let (requests, carried, resets) = restart(Policy::Learned);
    let (_, plain_carried, plain_resets) = restart(Policy::Plain);
    println!(
        "learned: {carried} of {requests}, {resets} resets; plain: {plain_carried}, {plain_resets}"
    );
    assert!(resets * 10 <= plain_resets, "{resets} resets, {plain_resets} without the limit");
    assert!(carried * 10 >= requests * 9, "{carried} of {requests}");
    assert!(carried > plain_carried);
}
