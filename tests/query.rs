//! The query state machine under faults: every answer is from one snapshot and reports its coverage
//! correctly.

use tarragondoor::caller_api;
use tarragondoor::ids;
use tarragondoor::peer_api;
use tarragondoor::query;
use tarragondoor::searcher_api;
use tarragondoor::snapshot;

const SHARDS: u32 = 4;
const LIMIT: u16 = 100;

fn snap(index_version: u64) -> snapshot::Snapshot {
    snapshot::Snapshot {
        index_version: ids::IndexVersion(index_version),
        map_version: ids::MapVersion(1),
    }
}

fn searcher(number: u32) -> ids::SearcherName {
    format!("s{number}").parse().expect("a valid name")
}

/// Four searchers; searcher n holds the shards n and n + 1. Chooses for each shard the first holder
/// that is not excluded.
struct FirstHolder;

impl query::Choose for FirstHolder {
    fn choose(
        &mut self,
        shards: &[(ids::ShardId, &[ids::SearcherName])],
    ) -> Vec<(ids::SearcherName, Vec<ids::ShardId>)> {
        let mut chosen: Vec<(ids::SearcherName, Vec<ids::ShardId>)> = Vec::new();
        for (shard, avoid) in shards {
            let holders = [searcher(shard.0), searcher((shard.0 + SHARDS - 1) % SHARDS)];
            let Some(holder) = holders.into_iter().find(|holder| !avoid.contains(holder)) else {
                continue;
            };
            match chosen.iter_mut().find(|(name, _)| *name == holder) {
                Some((_, shards)) => shards.push(*shard),
                None => chosen.push((holder, vec![*shard])),
            }
        }
        chosen
    }
}

fn start() -> (query::Query<FirstHolder>, Vec<query::Output>) {
    let params = query::Params {
        query_id: ids::QueryId(1_000),
        first_attempt: 0,
        snapshot: snap(7),
        shard_count: SHARDS,
        limit: LIMIT,
        effort: caller_api::Effort::default(),
    };
    query::Query::start(params, FirstHolder)
}

fn hits(shard: ids::ShardId, at: snapshot::Snapshot) -> searcher_api::ShardHits {
    let hit = |n: u32| searcher_api::Hit {
        document: format!("{}-{shard}-{n}", at.index_version).into(),
        score: f64::from(shard.0) + f64::from(n) / 10.0,
    };
    searcher_api::ShardHits { shard, hits: vec![hit(0), hit(1)] }
}

fn answered(call: &peer_api::ShardCall, at: snapshot::Snapshot) -> peer_api::ShardOutcome {
    let shards = call.shards.iter().map(|shard| hits(*shard, at)).collect();
    peer_api::ShardOutcome::Answered { snapshot: at, shards }
}

fn reply(call: &peer_api::ShardCall, outcome: peer_api::ShardOutcome) -> peer_api::ShardReply {
    peer_api::ShardReply {
        attempt: call.attempt,
        searcher: call.searcher.clone(),
        outcome,
        load: None,
    }
}

fn sends(outputs: &[query::Output]) -> Vec<peer_api::ShardCall> {
    let mut calls = Vec::new();
    for output in outputs {
        let query::Output::Send(call) = output else {
            continue;
        };
        calls.push(call.clone());
    }
    calls
}

fn end(outputs: &[query::Output]) -> Option<query::End> {
    for output in outputs {
        let query::Output::Done(end) = output else {
            continue;
        };
        return Some(end.clone());
    }
    None
}

/// How the faulty searchers of a case behave; the others answer correctly.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Lost,
    Shed,
    SnapshotGone,
    OtherSnapshot,
    OmitsOneShard,
    AnswersExtraShards,
    AnswersTwice,
    WrongSearcherName,
    Silent,
}

/// The result of [`run_with_fault`].
struct RunResult {
    end: query::End,
    dropped: u32,
    calls_to_faulty: u32,
}

/// Runs a query in which the searchers in `faulty` behave as `fault`.
fn run_with_fault(fault: Fault, faulty: &[ids::SearcherName]) -> RunResult {
    let (mut query, outputs) = start();
    let mut calls_to_faulty = 0;
    let mut ended = end(&outputs);
    let mut open = sends(&outputs);
    while let Some(call) = open.pop() {
        let correct = answered(&call, snap(7));
        let replies = if faulty.contains(&call.searcher) {
            calls_to_faulty += 1;
            faulty_replies(fault, &call, correct)
        } else {
            vec![reply(&call, correct)]
        };
        for reply in replies {
            let outputs = query.reply(reply);
            open.extend(sends(&outputs));
            let new_end = end(&outputs);
            assert!(ended.is_none() || new_end.is_none(), "{fault:?}: ended twice");
            ended = ended.or(new_end);
        }
    }
    if ended.is_none() {
        ended = end(&query.expire());
    }
    let end = ended.unwrap_or_else(|| panic!("{fault:?}: did not end"));
    assert_eq!(query.expire(), Vec::new(), "{fault:?}: outputs after the end");
    RunResult { end, dropped: query.dropped_count(), calls_to_faulty }
}

fn faulty_replies(
    fault: Fault,
    call: &peer_api::ShardCall,
    correct: peer_api::ShardOutcome,
) -> Vec<peer_api::ShardReply> {
    let failed = |failure| vec![reply(call, peer_api::ShardOutcome::Failed(failure))];
    let refused = peer_api::Failure::Refused;
    match fault {
        Fault::None => vec![reply(call, correct)],
        Fault::Lost => failed(peer_api::Failure::Lost),
        Fault::Shed => failed(refused(searcher_api::Refusal::Shed)),
        Fault::SnapshotGone => failed(refused(searcher_api::Refusal::SnapshotGone)),
        Fault::OtherSnapshot => vec![reply(call, answered(call, snap(8)))],
        Fault::OmitsOneShard => {
            let mut shorter = call.clone();
            shorter.shards.pop();
            vec![reply(call, answered(&shorter, snap(7)))]
        }
        Fault::AnswersExtraShards => {
            let mut longer = call.clone();
            for shard in (0..SHARDS).map(ids::ShardId) {
                if !longer.shards.contains(&shard) {
                    longer.shards.push(shard);
                }
            }
            vec![reply(call, answered(&longer, snap(7)))]
        }
        Fault::AnswersTwice => vec![reply(call, correct.clone()), reply(call, correct)],
        Fault::WrongSearcherName => {
            let mut forged = reply(call, correct);
            forged.searcher = searcher(99);
            vec![forged]
        }
        Fault::Silent => Vec::new(),
    }
}

/// Checks that an answer has exactly the hits of the shards that it reports as answered.
fn check_coverage(answer: &query::Answer) {
    let mut expected = Vec::new();
    for shard in (0..SHARDS).map(ids::ShardId) {
        if answer.coverage.missing.contains(&shard) {
            continue;
        }
        expected.extend(hits(shard, snap(7)).hits);
    }
    assert_eq!(answer.hits, query::merge(expected, LIMIT), "hits are those of the covered shards");
    assert_eq!(answer.coverage.shards_total, SHARDS);
    let counted = answer.coverage.shards_answered + answer.coverage.missing.len() as u32;
    assert_eq!(counted, SHARDS);
}

#[test]
fn faults_of_one_searcher_still_give_a_complete_answer() {
    // The number of dropped answers per call to a faulty searcher.
    let faults = [
        (Fault::None, 0),
        (Fault::Lost, 0),
        (Fault::Shed, 0),
        (Fault::SnapshotGone, 0),
        (Fault::OtherSnapshot, 0),
        (Fault::OmitsOneShard, 0),
        (Fault::AnswersTwice, 1),
    ];
    for (fault, drops_per_call) in faults {
        for faulty in 0..SHARDS {
            let run = run_with_fault(fault, &[searcher(faulty)]);
            let query::End::Answer(answer) = run.end else {
                panic!("{fault:?} at s{faulty}: {:?}", run.end);
            };
            check_coverage(&answer);
            assert_eq!(answer.coverage.missing, Vec::new(), "{fault:?} at s{faulty}");
            let expected = run.calls_to_faulty * drops_per_call;
            assert_eq!(run.dropped, expected, "{fault:?} at s{faulty}: drops");
        }
    }
}

#[test]
fn shards_that_were_not_asked_for_are_dropped() {
    for faulty in 0..SHARDS {
        let run = run_with_fault(Fault::AnswersExtraShards, &[searcher(faulty)]);
        let query::End::Answer(answer) = run.end else {
            panic!("s{faulty}: {:?}", run.end);
        };
        check_coverage(&answer);
        assert_eq!(answer.coverage.missing, Vec::new(), "s{faulty}");
        assert!(run.dropped >= run.calls_to_faulty, "s{faulty}: {}", run.dropped);
    }
}

#[test]
fn a_partial_answer_lists_the_missing_shards() {
    let all: Vec<ids::SearcherName> = (0..SHARDS).map(searcher).collect();
    for fault in [Fault::Lost, Fault::Shed, Fault::OtherSnapshot, Fault::Silent] {
        let ended = run_with_fault(fault, &all).end;
        let query::End::Answer(answer) = ended else {
            panic!("{fault:?}: {ended:?}");
        };
        check_coverage(&answer);
        assert_eq!(answer.coverage.shards_answered, 0, "{fault:?}");
    }
    let ended = run_with_fault(Fault::WrongSearcherName, &all).end;
    let query::End::Answer(answer) = ended else {
        panic!("{ended:?}");
    };
    assert_eq!(answer.coverage.shards_answered, 0);
}

#[test]
fn a_query_ends_with_snapshot_gone_when_all_replicas_dropped_the_snapshot() {
    let ended = run_with_fault(Fault::SnapshotGone, &[searcher(0), searcher(1)]).end;
    assert!(matches!(ended, query::End::SnapshotGone(_)), "{ended:?}");
}

#[test]
fn a_hedge_asks_another_searcher_and_the_late_answer_is_dropped() {
    let (mut query, outputs) = start();
    let calls = sends(&outputs);
    let slow = calls.first().expect("the query sends at least one call").clone();
    for call in calls.iter().skip(1) {
        assert_eq!(end(&query.reply(reply(call, answered(call, snap(7))))), None);
    }
    let hedgeable = calls.iter().filter(|call| query.can_hedge(call.attempt));
    assert_eq!(hedgeable.map(|call| call.attempt).collect::<Vec<_>>(), vec![slow.attempt]);
    let hedges = sends(&query.hedge(slow.attempt));
    assert!(hedges.iter().all(|hedge| hedge.searcher != slow.searcher));
    assert_eq!(query.hedge(slow.attempt), Vec::new(), "hedged once only");
    let mut ended = None;
    for hedge in &hedges {
        ended = end(&query.reply(reply(hedge, answered(hedge, snap(7)))));
    }
    let Some(query::End::Answer(answer)) = ended else {
        panic!("{ended:?}");
    };
    check_coverage(&answer);
    assert_eq!(answer.coverage.missing, Vec::new());
    assert_eq!(query.reply(reply(&slow, answered(&slow, snap(7)))), Vec::new());
    assert_eq!(query.dropped_count(), 1);
}

/// Runs a schedule, which gives for each step a call and how it is answered or hedged. Returns
/// whether the query ended.
fn run_schedule(steps: &[(u8, u8)]) -> bool {
    let (mut query, outputs) = start();
    let mut ended = end(&outputs);
    let mut calls = sends(&outputs);
    for (pick, kind) in steps {
        let Some(call) = calls.get(usize::from(*pick) % calls.len().max(1)).cloned() else {
            break;
        };
        let correct = answered(&call, snap(7));
        let outputs = match kind % 12 {
            0 | 1 => query.reply(reply(&call, correct)),
            2 => query.hedge(call.attempt),
            other => {
                let fault = match other {
                    3 => Fault::Lost,
                    4 => Fault::Shed,
                    5 => Fault::SnapshotGone,
                    6 => Fault::OtherSnapshot,
                    7 => Fault::OmitsOneShard,
                    8 => Fault::AnswersExtraShards,
                    9 => Fault::AnswersTwice,
                    10 => Fault::WrongSearcherName,
                    _ => Fault::Silent,
                };
                let mut outputs = Vec::new();
                for reply in faulty_replies(fault, &call, correct) {
                    outputs.extend(query.reply(reply));
                }
                outputs
            }
        };
        calls.extend(sends(&outputs));
        let new_end = end(&outputs);
        assert!(ended.is_none() || new_end.is_none(), "ended twice");
        ended = ended.or(new_end);
    }
    let ended = ended.or_else(|| end(&query.expire()));
    match ended {
        Some(query::End::Answer(answer)) => {
            check_coverage(&answer);
            true
        }
        Some(query::End::SnapshotGone(_)) => true,
        None => false,
    }
}

#[test]
fn coverage_is_correct_for_any_order_of_answers_and_faults() {
    let property: fn(Vec<(u8, u8)>) -> bool = |steps| run_schedule(&steps);
    quickcheck::QuickCheck::new().tests(5_000).quickcheck(property);
}
