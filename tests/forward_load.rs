//! Patterns of load and trouble, played on the decisions alone: searchers are queues in a table, time is a
//! number. Each test names the pattern that it answers, and compares with a plain policy (a random searcher,
//! no second sends) in the same run.

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
const WORK_US: u64 = 28_000;
const SLOTS: usize = 4;

/// How a searcher behaves at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mood {
    Well,
    /// Takes so many times as long.
    Slow(u64),
    /// Does nothing until this moment.
    PausedUntil(u64),
    /// Never answers.
    Silent,
    /// Rejects everything.
    Full,
    /// Loses the answers of four in ten requests.
    Lossy,
}

/// How a send ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    Answered,
    Rejected,
    Lost,
}

/// Which searchers are in which mood: by searcher, shard and time since the start.
type Moods = fn(replica: usize, shard: usize, at_us: u64) -> Mood;

/// What happens when, to which query: the end of a send with its number, or a look at the clock.
type Events = BinaryHeap<Reverse<(u64, usize, Option<(usize, End)>)>>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    Ours,
    /// Any searcher, no second send.
    Plain,
}

#[derive(Debug, Default)]
struct Tally {
    asked: usize,
    whole_in_time: usize,
    in_time: usize,
    answered: usize,
    sends: usize,
    far_sends: usize,
    lost: usize,
}

/// Plays `count` gathers, one each `gap_us`, and counts how they end.
fn play(policy: Policy, moods: Moods, count: usize, gap_us: u64) -> Tally {
    let mut fixture = Fixture::new(&SHARDS);
    let mut tally = Tally { asked: count, ..Tally::default() };
    let mut queries: Vec<Option<query::Query>> = Vec::new();
    let mut events = Events::new();
    let mut tickets: Vec<Vec<(query::Send, u64)>> = Vec::new();
    // When each slot of each searcher is free, by shard and replica.
    let mut slots = vec![[[0_u64; SLOTS]; 3]; SHARDS.len()];
    let mut random = 1_u64;
    for at in 0..count {
        events.push(Reverse((START_US + at as u64 * gap_us, at, None)));
    }
    while let Some(Reverse((now_us, at, end))) = events.pop() {
        let sends = if at == queries.len() {
            let attempts = if policy == Policy::Plain { 1 } else { 2 };
            let spec = query::Spec { arrived_us: now_us, attempts, ..gather(&SHARDS, 9) };
            queries.push(Some(query::Query::new(spec)));
            tickets.push(Vec::new());
            let mut context = fixture.context();
            queries[at].as_mut().unwrap().start(now_us, &mut context)
        } else if let Some((number, end)) = end {
            let (send, sent_us) = &tickets[at][number];
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
                let work_us =
                    latency_us - send.choice.endpoint.distance.round_trip_us().min(latency_us);
                fixture.latencies.record("browse", work_us);
            }
            match queries[at].as_mut() {
                Some(query) => {
                    let outcome = match end {
                        End::Answered => answer(200),
                        End::Rejected => query::Outcome::NotRun,
                        End::Lost => query::Outcome::Lost,
                    };
                    query.ended(now_us, &mut fixture.context(), number, outcome)
                }
                None => Vec::new(),
            }
        } else if let Some(query) = queries[at].as_mut() {
            query.tick(now_us, &mut fixture.context())
        } else {
            Vec::new()
        };
        make(
            policy,
            sends,
            now_us,
            at,
            &mut events,
            &mut tickets,
            &mut slots,
            moods,
            &mut random,
            &mut tally,
        );
        let Some(query) = queries[at].as_mut() else {
            continue;
        };
        let target_us = query.spec().arrived_us + query.spec().target_us;
        match query.completion(now_us) {
            None => events.push(Reverse((query.wake_at_us(now_us).max(now_us + 500), at, None))),
            Some(query::Completion::Gathered(parts)) => {
                let is_whole = parts.iter().all(Option::is_some);
                tally.answered += 1;
                tally.in_time += usize::from(now_us <= target_us);
                tally.whole_in_time += usize::from(is_whole && now_us <= target_us);
                queries[at] = None;
            }
            Some(_) => queries[at] = None,
        }
    }
    tally
}

#[expect(clippy::too_many_arguments, reason = "the state of one small simulation")]
fn make(
    policy: Policy,
    sends: Vec<query::Send>,
    now_us: u64,
    at: usize,
    events: &mut Events,
    tickets: &mut [Vec<(query::Send, u64)>],
    slots: &mut [[[u64; SLOTS]; 3]],
    moods: Moods,
    random: &mut u64,
    tally: &mut Tally,
) {
    for send in sends {
        *random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let id = send.choice.endpoint.id.as_str();
        let (shard, replica) = id.split_once('-').unwrap();
        let shard = SHARDS.iter().position(|name| *name == shard).unwrap();
        let replica = match policy {
            Policy::Ours => replica.parse().unwrap(),
            Policy::Plain => (*random >> 33) as usize % 3,
        };
        let round_trip_us = if replica == 0 { 300 } else { 25_000 };
        tally.sends += 1;
        tally.far_sends += usize::from(replica != 0);
        let since_us = now_us - START_US;
        // Work times differ by up to a third either way.
        let work_us = WORK_US * (67 + (*random >> 40) % 67) / 100;
        let slot = slots[shard][replica].iter_mut().min().unwrap();
        let begin_us = (*slot).max(now_us);
        let mood = moods(replica, shard, since_us);
        let end_us = match mood {
            Mood::Well | Mood::Lossy => Some(begin_us + work_us),
            Mood::Slow(times) => Some(begin_us + work_us * times),
            Mood::PausedUntil(until_us) => Some(begin_us.max(START_US + until_us) + work_us),
            Mood::Silent => None,
            Mood::Full => {
                events.push(Reverse((
                    now_us + round_trip_us,
                    at,
                    Some((send.number, End::Rejected)),
                )));
                tickets[at].push((send, now_us));
                continue;
            }
        };
        if let Some(end_us) = end_us {
            *slot = end_us;
            let is_lost = mood == Mood::Lossy && (*random >> 50) % 10 < 4;
            let end = if is_lost { End::Lost } else { End::Answered };
            tally.lost += usize::from(is_lost);
            events.push(Reverse((end_us + round_trip_us, at, Some((send.number, end)))));
        }
        tickets[at].push((send, now_us));
    }
}

/// In a thousand.
fn share(part: usize, whole: usize) -> usize {
    part * 1_000 / whole
}

/// The pattern: every searcher stands still for 300 ms each 7.5 s, each at its own time, so a third of the
/// queries over ten shards meet one that does.
#[test]
fn pauses_of_single_searchers_cost_few_whole_answers() {
    let moods: Moods = |replica, shard, at_us| {
        let phase_us = (replica * 2_500_000 + shard * 700_000) as u64;
        let in_turn_us = (at_us + phase_us) % 7_500_000;
        match in_turn_us < 300_000 {
            true => Mood::PausedUntil(at_us + 300_000 - in_turn_us),
            false => Mood::Well,
        }
    };
    let ours = play(Policy::Ours, moods, 1_500, 12_000);
    let plain = play(Policy::Plain, moods, 1_500, 12_000);
    println!("ours {ours:?}\nplain {plain:?}");
    assert!(share(ours.whole_in_time, ours.asked) >= 980, "{ours:?}");
    assert!(ours.whole_in_time > plain.whole_in_time);
    assert!(share(ours.sends, SHARDS.len() * ours.asked) <= 1_200, "{ours:?}");
    // A pause takes 4 % of the time; some seconds of memory of it sent half of the work away.
    assert!(share(ours.far_sends, ours.sends) <= 250, "{ours:?}");
}

/// The pattern: an eighth of the searchers, of all shards, take eight times as long for ten seconds.
#[test]
fn slow_searchers_are_left_for_others_and_tried_again() {
    let moods: Moods = |replica, shard, at_us| {
        let is_slow = (replica + shard * 3) % 8 == 0 && (2_000_000..12_000_000).contains(&at_us);
        if is_slow { Mood::Slow(8) } else { Mood::Well }
    };
    let ours = play(Policy::Ours, moods, 1_500, 12_000);
    let plain = play(Policy::Plain, moods, 1_500, 12_000);
    println!("ours {ours:?}\nplain {plain:?}");
    assert!(share(ours.in_time, ours.asked) >= 980, "{ours:?}");
    assert!(ours.whole_in_time > plain.whole_in_time);
}

/// The pattern: a region's searchers fall silent, with no connection reset.
#[test]
fn silent_searchers_of_a_region_are_left_after_the_first_second() {
    let moods: Moods = |replica, _, at_us| {
        let is_silent = replica == 0 && (2_000_000..9_000_000).contains(&at_us);
        if is_silent { Mood::Silent } else { Mood::Well }
    };
    let ours = play(Policy::Ours, moods, 1_200, 12_000);
    let plain = play(Policy::Plain, moods, 1_200, 12_000);
    println!("ours {ours:?}\nplain {plain:?}");
    assert!(share(ours.answered, ours.asked) >= 900, "{ours:?}");
    assert!(share(ours.in_time, ours.asked) >= 850, "{ours:?}");
    assert!(ours.whole_in_time > plain.whole_in_time);
}

/// The pattern: one shard's near searcher sheds everything.
#[test]
fn a_searcher_that_sheds_is_passed_over() {
    let moods: Moods =
        |replica, shard, _| if replica == 0 && shard == 0 { Mood::Full } else { Mood::Well };
    let ours = play(Policy::Ours, moods, 1_000, 12_000);
    println!("ours {ours:?}");
    assert!(share(ours.whole_in_time, ours.asked) >= 990, "{ours:?}");
}

/// The pattern: all is well. Bytes between regions are dear, so nearly all sends stay.
#[test]
fn on_a_calm_day_sends_stay_in_the_region() {
    let ours = play(Policy::Ours, |_, _, _| Mood::Well, 1_000, 12_000);
    println!("ours {ours:?}");
    assert_eq!(ours.whole_in_time, ours.asked);
    assert!(share(ours.far_sends, ours.sends) <= 50, "{ours:?}");
}

/// The pattern: half of the searchers of all shards lose the answers of four in ten requests that they have
/// run, for four seconds. Each lost answer costs a second send, and two parts without one the whole query.
#[test]
fn searchers_that_lose_answers_are_left_for_seconds() {
    let moods: Moods = |replica, shard, at_us| {
        let is_lossy = (replica + shard) % 2 == 0 && (2_000_000..6_000_000).contains(&at_us);
        if is_lossy { Mood::Lossy } else { Mood::Well }
    };
    let ours = play(Policy::Ours, moods, 800, 12_000);
    let plain = play(Policy::Plain, moods, 800, 12_000);
    println!("ours {ours:?}\nplain {plain:?}");
    assert!(share(ours.in_time, ours.asked) >= 980, "{ours:?}");
    assert!(share(ours.lost, ours.sends) <= 20, "{ours:?}");
    assert!(ours.whole_in_time > plain.whole_in_time);
}
