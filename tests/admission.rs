//! What a process lets untrusted clients make it hold: shares of the memory, bodies and connections.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use std::sync;
use tarragondoor::forward::admission::body;
use tarragondoor::forward::admission::connections;
use tarragondoor::forward::admission::memory;
use tarragondoor::forward::answer_buffer;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

const SECOND_US: u64 = 1_000_000;
const POOL_BYTES: usize = 1 << 20;
const LARGE_BYTES: usize = 256 << 10;

fn pool() -> sync::Arc<memory::Pool> {
    sync::Arc::new(memory::Pool::new(POOL_BYTES))
}

fn open() -> connections::Open {
    let limit = sync::Arc::new(connections::Limit::new(1));
    match limit.admit(0) {
        connections::Admitted::Free(open) => open,
        other => panic!("{other:?}"),
    }
}

#[test]
fn machines_of_160_mb_and_more_have_48_mb_for_answers_as_before() {
    let answers_mb = [64, 112, 160, 260, 512].map(|memory_mb: u64| {
        memory::Budget::new(Some(memory_mb << 20)).answers_bytes as f64 / f64::from(1 << 20)
    });
    assert_eq!(answers_mb.map(|mb| mb.round() as u64), [19, 34, 48, 48, 48]);
    assert_eq!(memory::Budget::new(None).answers_bytes, 48 << 20);
}

/// Guards against shares that are larger than the machine.
#[test]
fn the_shares_leave_a_third_of_the_memory_to_the_process() {
    for memory_mb in [64, 112, 160, 512_u64] {
        let budget = memory::Budget::new(Some(memory_mb << 20));
        let shares = budget.answers_bytes + budget.bodies_bytes + budget.connections_bytes;
        assert!(shares as f64 <= (memory_mb << 20) as f64 * 0.67, "{budget:?}");
    }
}

/// The same with the sends to searchers, whose connections had been in no share.
#[test]
fn all_shares_leave_a_seventh_of_the_memory_to_the_process() {
    for memory_mb in [64, 112, 160, 512_u64] {
        let budget = memory::Budget::new(Some(memory_mb << 20));
        let shares = budget.answers_bytes + budget.account_bytes;
        assert!(shares as f64 <= (memory_mb << 20) as f64 * 6.0 / 7.0, "{budget:?}");
        let others = budget.bodies_bytes + budget.connections_bytes + budget.directory_bytes;
        assert!(others.max(budget.sends_bytes) <= budget.account_bytes, "{budget:?}");
    }
}

/// Guards against connections that together are more than the descriptors.
#[test]
fn connections_of_all_kinds_leave_descriptors_to_other_instances_and_the_store() {
    let left = [400, 2_870, 8_192].map(|descriptors| {
        let all = connections::all_max(Some(descriptors));
        assert!(connections::clients_max(Some(descriptors), usize::MAX) < all);
        assert!(connections::searchers_max(Some(descriptors)) < all);
        descriptors - 200 - all
    });
    assert_eq!(left, [25, 333, 999]);
}

/// Guards against idle connections to searchers that keep clients out, and against mixed crowds that use up one share
/// after the other.
#[test]
fn clients_and_bodies_take_what_idle_connections_hold_and_share_what_there_is() {
    let max = memory::Usage { bytes: 10 * LARGE_BYTES, connections: 2 };
    let account = sync::Arc::new(memory::Account::new(max));
    let idle = memory::Usage { bytes: LARGE_BYTES, connections: 1 };
    account.add_idle(idle);
    let clients = sync::Arc::new(connections::Limit::within(account.clone(), 100));
    let first = clients.admit(0);
    assert_eq!(account.excess_idle(), memory::Usage::default());
    let second = clients.admit(1);
    assert!(matches!(
        (&first, &second),
        (connections::Admitted::Free(_), connections::Admitted::Free(_))
    ));
    assert_eq!(account.excess_idle(), memory::Usage { bytes: 0, connections: 1 });
    assert!(matches!(clients.admit(2), connections::Admitted::InPlaceOfAnother(_)));
    account.release_idle(idle);
    let pool = sync::Arc::new(memory::Pool::within(account.clone(), usize::MAX));
    let mut bodies = Vec::new();
    loop {
        let mut held = pool.start_body(0);
        if !held.grow(0, LARGE_BYTES) {
            break;
        }
        bodies.push(held);
    }
    assert_eq!(bodies.len(), 9);
    drop(bodies);
    assert!(account.has_room(memory::Usage { bytes: 9 * LARGE_BYTES, connections: 0 }));
}

/// Guards against large bodies that leave no memory for ordinary ones.
#[test]
fn large_bodies_leave_room_for_small_ones() {
    let pool = pool();
    let mut large = Vec::new();
    loop {
        let mut held = pool.start_body(0);
        if !held.grow(0, LARGE_BYTES) {
            break;
        }
        large.push(held);
    }
    assert_eq!(large.len(), 3);
    assert!(pool.start_body(0).grow(0, memory::SMALL_BODY_BYTES));
    drop(large);
    assert_eq!(pool.used_bytes(), 0);
}

/// Guards against a crowd of stalled bodies that keeps all others out, and against bodies that arrive slowly giving way.
#[test]
fn the_body_that_has_stalled_longest_gives_way_and_one_that_arrives_does_not() {
    let pool = pool();
    let mut bodies = Vec::new();
    for started_us in [2, 1, 3].map(|seconds| seconds * SECOND_US) {
        let mut held = pool.start_body(started_us);
        assert!(held.grow(started_us, LARGE_BYTES));
        held.start_waiting();
        bodies.push(held);
    }
    let now_us = 4 * SECOND_US;
    // Single bytes are no progress, a KiB is.
    bodies[0].record_arrival(now_us, 1);
    bodies[2].record_arrival(now_us, 1 << 10);
    let mut next = pool.start_body(now_us);
    assert!(next.grow(now_us, LARGE_BYTES), "the one of the first second gives way");
    assert_eq!(pool.used_bytes(), 3 * LARGE_BYTES);
    drop(bodies.remove(1));
    assert_eq!(pool.used_bytes(), 3 * LARGE_BYTES, "it was released only once");
    assert!(pool.start_body(now_us).grow(now_us, LARGE_BYTES));
    drop(bodies.remove(0));
    let mut last = pool.start_body(now_us);
    assert!(last.grow(now_us, LARGE_BYTES));
    assert!(!pool.start_body(now_us).grow(now_us, LARGE_BYTES), "nobody has stalled");
    assert!(pool.start_body(now_us).grow(now_us, 300), "small ones fit");
}

/// Guards against a body's memory being released while the request still needs it.
#[tokio::test]
async fn a_body_holds_its_memory_until_its_last_copy_is_dropped() {
    let pool = pool();
    let sent = Full::new(Bytes::from(vec![b'x'; 5_000]));
    let bytes = body::read(sent, LARGE_BYTES, &pool, &open()).await.unwrap();
    assert_eq!((bytes.len(), pool.used_bytes()), (5_000, 5_000));
    let copy = bytes.slice(1..);
    drop(bytes);
    assert_eq!(pool.used_bytes(), 5_000);
    drop(copy);
    assert_eq!(pool.used_bytes(), 0);
}

#[tokio::test]
async fn bodies_that_are_too_long_or_have_no_room_are_not_read() {
    let pool = pool();
    let full = |byte_count: usize| Full::new(Bytes::from(vec![b'x'; byte_count]));
    let too_long = body::read(full(LARGE_BYTES + 1), LARGE_BYTES, &pool, &open()).await;
    assert!(matches!(too_long, Err(body::Failure::TooLong)), "{too_long:?}");
    let unstated = full(LARGE_BYTES + 1).map_frame(|frame| frame);
    let too_long = body::read(unstated, LARGE_BYTES, &pool, &open()).await;
    assert!(matches!(too_long, Err(body::Failure::TooLong)), "{too_long:?}");
    let mut held = pool.start_body(0);
    assert!(held.grow(0, 3 * LARGE_BYTES));
    let refused = body::read(full(LARGE_BYTES), LARGE_BYTES, &pool, &open()).await;
    assert!(matches!(refused, Err(body::Failure::NoRoom)), "{refused:?}");
    assert_eq!(pool.used_bytes(), 3 * LARGE_BYTES);
}

#[test]
fn connections_are_bounded_by_descriptors_and_memory() {
    let max = |fds, memory_mb: u64| {
        let budget = memory::Budget::new(Some(memory_mb << 20));
        connections::clients_max(Some(fds), budget.connections_bytes)
    };
    let counts = [max(400, 64), max(2_870, 112), max(4_100, 160), max(8_192, 512)];
    assert_eq!(counts, [100, 955, 1_365, 3_996]);
    assert_eq!(connections::clients_max(None, 0), usize::MAX);
}

/// Guards against a crowd of idle connections that keeps everybody else out.
#[tokio::test]
async fn at_the_limit_the_longest_idle_connection_gives_way_and_one_in_use_does_not() {
    let limit = sync::Arc::new(connections::Limit::new(2));
    let admit = |now_us| match limit.admit(now_us) {
        connections::Admitted::Free(open) | connections::Admitted::InPlaceOfAnother(open) => {
            Some(open)
        }
        connections::Admitted::Refused => None,
    };
    let oldest = admit(1).unwrap();
    let busy = admit(2).unwrap();
    let request = busy.start_request(false);
    let newest = admit(3).unwrap();
    oldest.wait_for_closing().await;
    assert_eq!(limit.count(), 2);
    drop(oldest);
    assert_eq!(limit.count(), 2, "it was counted only once");
    let _second = newest.start_request(false);
    assert!(admit(4).is_none(), "both are in use");
    drop(request);
    assert!(admit(5).is_some());
}

/// Guards against connections of ordinary clients being closed because the rest of an unread body, of a request that was
/// answered at once, is taken for a head that stopped arriving.
#[tokio::test]
async fn a_head_that_stops_arriving_is_closed_and_the_rest_of_an_unread_body_is_none() {
    let limit = sync::Arc::new(connections::Limit::new(4));
    for (has_unread_body, closed_count) in [(false, 1), (true, 0)] {
        let connections::Admitted::Free(open) = limit.admit(0) else {
            panic!("there is room");
        };
        drop(open.start_request(has_unread_body));
        let (mut client, stream) = tokio::io::duplex(100);
        let mut stream = connections::Watched::new(stream, open);
        assert_eq!(limit.close_stalled_heads(u64::MAX, 0), 0, "it is idle");
        client.write_all(b"x").await.unwrap();
        stream.read_u8().await.unwrap();
        assert_eq!(limit.close_stalled_heads(u64::MAX, 0), closed_count);
    }
}

/// Guards against clients that don't read their answers: these are held in memory until the last byte is written.
#[tokio::test]
async fn a_client_that_takes_nothing_of_its_answer_gives_way() {
    let clients = sync::Arc::new(connections::Limit::new(3));
    let mut streams = Vec::new();
    for written_bytes in [1, 8, 8] {
        let connections::Admitted::Free(open) = clients.admit(0) else {
            panic!("no room");
        };
        let (stream, client) = tokio::io::duplex(4);
        let mut stream = connections::Watched::new(stream, open.clone());
        let written = stream.write_all(&[0; 8][..written_bytes]);
        let waiting = tokio::time::timeout(std::time::Duration::from_millis(5), written).await;
        assert_eq!(waiting.is_err(), written_bytes > 4);
        streams.push((stream, client, open));
    }
    let now_us = tarragondoor::clock::now_us();
    assert!(!clients.close_longest_blocked(now_us), "not blocked for long enough");
    let later_us = now_us + SECOND_US;
    let mut buffer = [0; 4];
    let (stream, client, _) = &mut streams[1];
    client.read_exact(&mut buffer).await.unwrap();
    stream.write_all(&[0; 4]).await.unwrap();
    let closed: Vec<bool> = (0..2).map(|_| clients.close_longest_blocked(later_us)).collect();
    assert_eq!((closed, clients.count()), (vec![true, false], 2));
    streams[2].2.wait_for_closing().await;
}

/// Guards against answers that count only until they have been received.
#[tokio::test]
async fn an_answer_holds_its_memory_until_its_last_copy_is_dropped() {
    let buffer = sync::Arc::new(answer_buffer::AnswerBuffer::new(100));
    let mut reservation = buffer.start_answer();
    assert!(reservation.grow_or_make_room(60).await);
    let answer = reservation.complete(vec![0; 60]);
    let copy = answer.clone();
    drop(answer);
    assert!(!buffer.start_answer().grow_or_make_room(41).await);
    drop(copy);
    assert!(buffer.start_answer().grow(100));
}
