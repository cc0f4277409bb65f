//! Simulations of the query state machine and the balancer under load and faults, without a network or a
//! clock: a searcher is a list of the times at which its slots become free, and the time advances from event
//! to event. Each test simulates one fault pattern; most compare with a plain policy (a random searcher, no
//! retries or hedges) under the same pattern.

mod forward_support;

use forward_support::Fixture;
use forward_support::START_US;
use forward_support::answer;
use forward_support::gather;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tarragondoor::forward::balancer;
use tarragondoor::forward::endpoint;
use tarragondoor::forward::query;

const SHARDS: [&str; 10] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];
const PROCESSING_US: u64 = 28_000;
const SLOTS: usize = 4;

/// How a searcher behaves at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behavior {
    Healthy,
    /// Takes this many times as long as usual.
    Slow(u64),
    /// Processes nothing until this time since the start.
    PausedUntil(u64),
    /// Never answers.
    Silent,
    /// Rejects every request.
    Full,
    /// Loses the answers to four in ten requests.
    Lossy,
}

/// How a send ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    Answered,
    Rejected,
    Lost,
}

/// Returns the behavior of a shard's replica at a time since the start.
type BehaviorFn = fn(replica: usize, shard: usize, at_us: u64) -> Behavior;

/// The time of an event, the index of its query, and the number and end of a send; `None` is the start of the
/// query or a timer.
type Events = BinaryHeap<Reverse<(u64, usize, Option<(usize, End)>)>>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// The policy under test: the balancer selects searchers, with retries and hedges.
    Full,
    /// A random searcher, no retry or hedge.
    Plain,
}

#[derive(Debug, Default)]
struct Counts {
    requests: usize,
    complete_in_time: usize,
    in_time: usize,
    answered: usize,
    sends: usize,
    far_sends: usize,
    lost: usize,
}

/// Simulates `count` gathers, one every `gap_us`, and counts their results.
fn simulate(policy: Policy, behavior_of: BehaviorFn, count: usize, gap_us: u64) -> Counts {
    let mut fixture = Fixture::new(&SHARDS);
    let mut counts = Counts { requests: count, ..Counts::default() };
    let mut queries: Vec<Option<query::Query>> = Vec::new();
    let mut events = Events::new();
    let mut sends_by_query: Vec<Vec<(query::Send, u64)>> = Vec::new();
    // The time at which each slot of each searcher becomes free, by shard and replica.
    let mut slots = vec![[[0_u64; SLOTS]; 3]; SHARDS.len()];
    let mut random = 1_u64;
    for query_index in 0..count {
        events.push(Reverse((START_US + query_index as u64 * gap_us, query_index, None)));
    }
    while let Some(Reverse((now_us, query_index, end))) = events.pop() {
        let sends = if query_index == queries.len() {
            let attempts = if policy == Policy::Plain { 1 } else { 2 };
            let spec = query::Spec { arrived_us: now_us, attempts, ..gather(&SHARDS, 9) };
            queries.push(Some(query::Query::new(spec)));
            sends_by_query.push(Vec::new());
            let mut context = fixture.context();
            queries[query_index].as_mut().unwrap().start(now_us, &mut context)
        } else if let Some((number, end)) = end {
            let (send, sent_us) = &sends_by_query[query_index][number];
            let latency_us = now_us - sent_us;
            let report = match end {
                End::Answered => balancer::Report::Answered { latency_us },
                End::Rejected => balancer::Report::Full,
                End::Lost => balancer::Report::Failed,
            };
            fixture.balancer.finish_send(
                now_us,
                &send.choice.endpoint,
                &send.choice.send_id,
                send.median_processing_us,
                report,
            );
            if end == End::Answered
                && send.choice.endpoint.distance != endpoint::Distance::OtherRegion
            {
                let processing_us =
                    latency_us - send.choice.endpoint.distance.round_trip_us().min(latency_us);
                fixture.latencies.record("browse", processing_us);
            }
            match queries[query_index].as_mut() {
                Some(query) => {
                    let outcome = match end {
                        End::Answered => answer(200),
                        End::Rejected => query::Outcome::NotRun,
                        End::Lost => query::Outcome::Lost,
                    };
                    query.record_end(now_us, &mut fixture.context(), number, outcome)
                }
                None => Vec::new(),
            }
        } else if let Some(query) = queries[query_index].as_mut() {
            query.tick(now_us, &mut fixture.context())
        } else {
            Vec::new()
        };
        simulate_sends(
            policy,
            sends,
            now_us,
            query_index,
            &mut events,
            &mut sends_by_query,
            &mut slots,
            behavior_of,
            &mut random,
            &mut counts,
        );
        let Some(query) = queries[query_index].as_mut() else {
            continue;
        };
        let target_us = query.spec().arrived_us + query.spec().target_us;
        match query.completion(now_us) {
            None => events.push(Reverse((
                query.wake_at_us(now_us).max(now_us + 500),
                query_index,
                None,
            ))),
            Some(query::Completion::Gathered(parts)) => {
                let is_complete = parts.iter().all(Option::is_some);
                counts.answered += 1;
                counts.in_time += usize::from(now_us <= target_us);
                counts.complete_in_time += usize::from(is_complete && now_us <= target_us);
                queries[query_index] = None;
            }
            Some(_) => queries[query_index] = None,
        }
    }
    counts
}

#[expect(clippy::too_many_arguments, reason = "the state of one small simulation")]
fn simulate_sends(
    policy: Policy,
    sends: Vec<query::Send>,
    now_us: u64,
    query_index: usize,
    events: &mut Events,
    sends_by_query: &mut [Vec<(query::Send, u64)>],
    slots: &mut [[[u64; SLOTS]; 3]],
    behavior_of: BehaviorFn,
    random: &mut u64,
    counts: &mut Counts,
) {
    for send in sends {
        *random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let id = send.choice.endpoint.id.as_str();
        let (shard, replica) = id.split_once('-').unwrap();
        let shard = SHARDS.iter().position(|name| *name == shard).unwrap();
        let replica = match policy {
            Policy::Full => replica.parse().unwrap(),
            Policy::Plain => (*random >> 33) as usize % 3,
        };
        let round_trip_us = if replica == 0 { 300 } else { 25_000 };
        counts.sends += 1;
        counts.far_sends += usize::from(replica != 0);
        let since_us = now_us - START_US;
        // Processing times vary by up to a third in either direction.
        let processing_us = PROCESSING_US * (67 + (*random >> 40) % 67) / 100;
        let slot = slots[shard][replica].iter_mut().min().unwrap();
        let begin_us = (*slot).max(now_us);
        let behavior = behavior_of(replica, shard, since_us);
        let end_us = match behavior {
            Behavior::Healthy | Behavior::Lossy => Some(begin_us + processing_us),
            Behavior::Slow(times) => Some(begin_us + processing_us * times),
            Behavior::PausedUntil(until_us) => {
                Some(begin_us.max(START_US + until_us) + processing_us)
            }
            Behavior::Silent => None,
            Behavior::Full => {
                events.push(Reverse((
                    now_us + round_trip_us,
                    query_index,
                    Some((send.number, End::Rejected)),
                )));
                sends_by_query[query_index].push((send, now_us));
                continue;
            }
        };
        if let Some(end_us) = end_us {
            *slot = end_us;
            let is_lost = behavior == Behavior::Lossy && (*random >> 50) % 10 < 4;
            let end = if is_lost { End::Lost } else { End::Answered };
            counts.lost += usize::from(is_lost);
            events.push(Reverse((end_us + round_trip_us, query_index, Some((send.number, end)))));
        }
        sends_by_query[query_index].push((send, now_us));
    }
}

/// Returns `part` per thousand of `whole`.
fn per_mille(part: usize, whole: usize) -> usize {
    part * 1_000 / whole
}

/// Every searcher pauses for 300 ms every 7.5 s, each at a different time, so a third of the queries over ten
/// shards hit a paused one.
#[test]
fn pauses_of_single_searchers_leave_most_answers_complete() {
    let behavior_of: BehaviorFn = |replica, shard, at_us| {
        let phase_us = (replica * 2_500_000 + shard * 700_000) as u64;
        let in_cycle_us = (at_us + phase_us) % 7_500_000;
        match in_cycle_us < 300_000 {
            true => Behavior::PausedUntil(at_us + 300_000 - in_cycle_us),
            false => Behavior::Healthy,
        }
    };
    let full = simulate(Policy::Full, behavior_of, 1_500, 12_000);
    let plain = simulate(Policy::Plain, behavior_of, 1_500, 12_000);
    println!("full {full:?}\nplain {plain:?}");
    assert!(per_mille(full.complete_in_time, full.requests) >= 980, "{full:?}");
    assert!(full.complete_in_time > plain.complete_in_time);
    assert!(per_mille(full.sends, SHARDS.len() * full.requests) <= 1_200, "{full:?}");
    // A searcher is paused for 4 % of the time. When its pauses affected its expected latency for several
    // seconds, half of the sends went to other regions.
    assert!(per_mille(full.far_sends, full.sends) <= 250, "{full:?}");
}

/// Four of the 30 searchers, each of a different shard, take eight times as long for ten seconds.
#[test]
fn slow_searchers_are_avoided_and_tried_again() {
    let behavior_of: BehaviorFn = |replica, shard, at_us| {
        let is_slow = (replica + shard * 3) % 8 == 0 && (2_000_000..12_000_000).contains(&at_us);
        if is_slow { Behavior::Slow(8) } else { Behavior::Healthy }
    };
    let full = simulate(Policy::Full, behavior_of, 1_500, 12_000);
    let plain = simulate(Policy::Plain, behavior_of, 1_500, 12_000);
    println!("full {full:?}\nplain {plain:?}");
    assert!(per_mille(full.in_time, full.requests) >= 980, "{full:?}");
    assert!(full.complete_in_time > plain.complete_in_time);
}

/// The searchers of a region stop answering without resetting their connections.
#[test]
fn silent_searchers_of_a_region_are_avoided_after_the_first_second() {
    let behavior_of: BehaviorFn = |replica, _, at_us| {
        let is_silent = replica == 0 && (2_000_000..9_000_000).contains(&at_us);
        if is_silent { Behavior::Silent } else { Behavior::Healthy }
    };
    let full = simulate(Policy::Full, behavior_of, 1_200, 12_000);
    let plain = simulate(Policy::Plain, behavior_of, 1_200, 12_000);
    println!("full {full:?}\nplain {plain:?}");
    assert!(per_mille(full.answered, full.requests) >= 900, "{full:?}");
    assert!(per_mille(full.in_time, full.requests) >= 850, "{full:?}");
    assert!(full.complete_in_time > plain.complete_in_time);
}

/// The near searcher of one shard rejects every request.
#[test]
fn a_searcher_that_rejects_everything_is_avoided() {
    let behavior_of: BehaviorFn = |replica, shard, _| {
        if replica == 0 && shard == 0 { Behavior::Full } else { Behavior::Healthy }
    };
    let full = simulate(Policy::Full, behavior_of, 1_000, 12_000);
    println!("full {full:?}");
    assert!(per_mille(full.complete_in_time, full.requests) >= 990, "{full:?}");
}

/// Without faults nearly all sends must stay in the region, since traffic between regions is expensive.
#[test]
fn without_faults_sends_stay_in_the_region() {
    let full = simulate(Policy::Full, |_, _, _| Behavior::Healthy, 1_000, 12_000);
    println!("full {full:?}");
    assert_eq!(full.complete_in_time, full.requests);
    assert!(per_mille(full.far_sends, full.sends) <= 50, "{full:?}");
}

/// Half of the searchers, across all shards, lose the answers to four in ten of the requests that they have
/// run, for four seconds. Each lost answer costs a retry, and two parts that get no retry fail the whole query.
#[test]
fn searchers_that_lose_answers_are_avoided_for_seconds() {
    let behavior_of: BehaviorFn = |replica, shard, at_us| {
        let is_lossy = (replica + shard) % 2 == 0 && (2_000_000..6_000_000).contains(&at_us);
        if is_lossy { Behavior::Lossy } else { Behavior::Healthy }
    };
    let full = simulate(Policy::Full, behavior_of, 800, 12_000);
    let plain = simulate(Policy::Plain, behavior_of, 800, 12_000);
    println!("full {full:?}\nplain {plain:?}");
    assert!(per_mille(full.in_time, full.requests) >= 980, "{full:?}");
    assert!(per_mille(full.lost, full.sends) <= 20, "{full:?}");
    assert!(full.complete_in_time > plain.complete_in_time);
}
