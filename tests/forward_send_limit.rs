//! What the sends to searchers hold together, and how requests wait for room.

mod forward_support;

use forward_support::*;
use std::sync;
use tarragondoor::forward::query;
use tarragondoor::forward::send_limit;

const CONNECTIONS_MAX: usize = 16;
const BYTES_MAX: usize = CONNECTIONS_MAX * send_limit::CONNECTION_BYTES;

fn need(count: usize, head_bytes: usize, priority: u8) -> send_limit::Need {
    send_limit::Need { count, head_bytes, priority }
}

fn limit() -> sync::Arc<send_limit::SendLimit> {
    send_limit::SendLimit::new(CONNECTIONS_MAX, BYTES_MAX).into()
}

/// Guards against long heads that are copied for each send and in no account.
#[test]
fn long_heads_leave_room_for_fewer_sends() {
    let counts = [0, send_limit::CONNECTION_BYTES].map(|head_bytes| {
        let limit = limit();
        let mut sends = Vec::new();
        while limit.has_room(need(1, head_bytes, 0)) {
            sends.push(limit.start_send(head_bytes));
        }
        sends.len()
    });
    assert_eq!(counts, [CONNECTIONS_MAX, CONNECTIONS_MAX / 2]);
}

/// Guards against less urgent sends that take all connections.
#[test]
fn less_urgent_sends_leave_room_for_urgent_ones() {
    let limit = limit();
    let mut sends = Vec::new();
    let counts = [9, 2, 1, 0].map(|priority| {
        while limit.has_room(need(1, 0, priority)) {
            sends.push(limit.start_send(0));
        }
        sends.len()
    });
    assert_eq!(counts, [13, 14, 15, 16]);
}

/// Guards against requests that never start because they need more than there may be.
#[test]
fn the_largest_request_starts_when_half_is_free() {
    let limit = limit();
    let mut sends = Vec::new();
    for _ in 0..CONNECTIONS_MAX / 2 {
        sends.push(limit.start_send(0));
    }
    assert!(limit.has_room(need(1_000, 16 << 10, 0)));
    sends.push(limit.start_send(0));
    assert!(!limit.has_room(need(1_000, 16 << 10, 0)));
}

/// Guards against idle connections that take the memory and the descriptors of sends.
#[test]
fn idle_connections_are_closed_for_sends() {
    let limit = limit();
    let mut idle: Vec<_> = (0..CONNECTIONS_MAX).map(|_| limit.hold_idle()).collect();
    assert_eq!(limit.excess_idle_count(), 0);
    let short = limit.start_send(0);
    assert_eq!(limit.excess_idle_count(), 1);
    let long = limit.start_send(send_limit::CONNECTION_BYTES);
    assert_eq!(limit.excess_idle_count(), 3);
    idle.truncate(CONNECTIONS_MAX - 3);
    assert_eq!(limit.excess_idle_count(), 0);
    drop((short, long));
    assert!(limit.has_room(need(CONNECTIONS_MAX / 2, 0, 0)));
}

/// Guards against requests that wait although those before them take longer than they may wait.
#[test]
fn the_expected_wait_grows_with_what_waits() {
    let limit = limit();
    let mut sends = Vec::new();
    for _ in 0..CONNECTIONS_MAX {
        sends.push(limit.start_send(0));
    }
    let first = limit.expected_wait_us(need(8, 0, 0), 1_000);
    let waiting = limit.wait(need(8, 0, 0));
    let second = limit.expected_wait_us(need(8, 0, 0), 1_000);
    drop(waiting);
    drop(sends);
    let later = limit.expected_wait_us(need(8, 0, 0), 1_000);
    assert_eq!([first, second, later], [500, 1_000, 0]);
}

/// Guards against parts that are sent in vain because the others of their gather find no room in time.
#[test]
fn a_gather_starts_once_there_is_room_for_all_its_parts() {
    let mut fixture = Fixture::new(&["a", "b", "c"]);
    fixture.balancer.set_send_limit(send_limit::SendLimit::new(8, usize::MAX));
    let services = ["a", "b", "c"];
    let mut queries = Vec::new();
    let mut sends = Vec::new();
    for _ in 0..3 {
        let mut query = query::Query::new(query::Spec { priority: 0, ..gather(&services, 3) });
        sends.push(query.start(START_US, &mut fixture.context()));
        queries.push(query);
    }
    assert_eq!(sends.iter().map(Vec::len).collect::<Vec<_>>(), [3, 3, 0]);
    assert!(queries[2].tick(START_US + 1_000, &mut fixture.context()).is_empty());
    sends.remove(0);
    assert_eq!(queries[2].tick(START_US + 2_000, &mut fixture.context()).len(), 3);
}

/// Guards against a request that is known not to find room but waits until its deadline.
#[test]
fn a_request_that_finds_no_room_is_refused_as_not_run() {
    let mut fixture = Fixture::new(&["a", "b", "c"]);
    fixture.balancer.set_send_limit(send_limit::SendLimit::new(4, usize::MAX));
    let services = ["a", "b", "c"];
    let mut first = query::Query::new(gather(&services, 3));
    let _sends = first.start(START_US, &mut fixture.context());
    let mut second = query::Query::new(gather(&services, 3));
    assert!(second.start(START_US, &mut fixture.context()).is_empty());
    let wait_until_us = second.spec().wait_until_us();
    assert!(second.tick(wait_until_us, &mut fixture.context()).is_empty());
    let completion = second.completion(wait_until_us);
    assert!(matches!(completion, Some(query::Completion::NotRun { .. })), "{completion:?}");
}
