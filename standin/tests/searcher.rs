//! The contract of a backend server: what it answers, refuses and promises, fault by fault.

mod support;

use standin::{corpus, searcher};
use support::{LOOPBACK, Line, Reply};
use tarragondoor::{ids, rank, searcher_api, snapshot};

/// Longer than any test runs.
const NEVER_US: u32 = u32::MAX;
const NEVER_MS: u32 = u32::MAX;

const FIRST: snapshot::Snapshot =
    snapshot::Snapshot { index_version: ids::IndexVersion(1), map_version: ids::MapVersion(1) };
const SECOND: snapshot::Snapshot =
    snapshot::Snapshot { index_version: ids::IndexVersion(2), map_version: ids::MapVersion(1) };

fn holding(snapshot: snapshot::Snapshot, shards: &[u32]) -> snapshot::Holding {
    let shards = shards.iter().map(|shard| ids::ShardId(*shard)).collect();
    snapshot::Holding { snapshot, shard_count: 3, shards }
}

fn config(mean_us: u32) -> searcher::Config {
    searcher::Config {
        searcher: "beans-s00".parse().unwrap(),
        service: "beans".parse().unwrap(),
        listen: LOOPBACK,
        slots: 1,
        queue: 1,
        connections: 100,
        open_ms: 0,
        mean_us,
        holdings: vec![holding(FIRST, &[0, 1])],
        seed: 1,
    }
}

async fn started(mean_us: u32) -> searcher::Searcher {
    searcher::Searcher::start(config(mean_us), searcher::Faults::default()).await.unwrap()
}

fn search(attempt: u64) -> searcher_api::SearchRequest {
    searcher_api::SearchRequest {
        attempt: ids::AttemptId(attempt),
        service: "beans".parse().unwrap(),
        snapshot: FIRST,
        shards: vec![ids::ShardId(0), ids::ShardId(1)],
        query: "heirloom".into(),
        limit: 2,
        rank: rank::Rank::Urgent,
        timeout_ms: NEVER_MS,
    }
}

fn run(attempt: u64) -> searcher_api::RunRequest {
    searcher_api::RunRequest {
        attempt: ids::AttemptId(attempt),
        service: "beans".parse().unwrap(),
        operation: "claim".parse().unwrap(),
        subject: "packet-7".into(),
        rank: rank::Rank::Urgent,
        timeout_ms: NEVER_MS,
    }
}

fn cancel(attempt: u64) -> searcher_api::CancelRequest {
    searcher_api::CancelRequest { attempt: ids::AttemptId(attempt) }
}

fn refusal(reply: &Reply) -> searcher_api::Refusal {
    assert_eq!(reply.status, 503, "{reply:?}");
    reply.json::<searcher_api::RefusedReply>().refusal
}

async fn status(searcher: &searcher::Searcher) -> searcher_api::StatusReply {
    support::call(searcher.address(), "GET", "/status", "").await.unwrap().json()
}

/// Occupies the only slot.
async fn fill(searcher: &searcher::Searcher, first: &searcher_api::RunRequest) {
    drop(support::start(searcher.address(), "POST", "/run", first));
    support::until("the slot is busy", || searcher.load().busy_slots == 1).await;
}

#[tokio::test]
async fn answers_and_refusals() {
    let faults = |text: &str| serde_json::from_str::<searcher::Faults>(text).unwrap();
    let search_body = |change: fn(&mut searcher_api::SearchRequest)| {
        let mut request = search(1);
        change(&mut request);
        serde_json::to_string(&request).unwrap()
    };
    let run_body = serde_json::to_string(&run(2)).unwrap();
    let plain = search_body(|_| {});
    let far = search_body(|request| request.shards.push(ids::ShardId(2)));
    let newer = search_body(|request| request.snapshot = SECOND);
    let stranger = search_body(|request| request.service = "wreaths".parse().unwrap());
    let cases = [
        ("plain search", "{}", "/search", plain.as_str()),
        ("plain run", "{}", "/run", &run_body),
        ("shard not held", "{}", "/search", &far),
        ("shard not held, partly", r#"{"answer_partially":true}"#, "/search", &far),
        ("unknown snapshot", "{}", "/search", &newer),
        ("another service", "{}", "/search", &stranger),
        ("not JSON", "{}", "/search", "beans"),
        ("run without fields", "{}", "/run", "{}"),
        ("shed, search", r#"{"shed_all":true}"#, "/search", &plain),
        ("shed, run", r#"{"shed_all":true}"#, "/run", &run_body),
        ("draining, search", r#"{"draining":true}"#, "/search", &plain),
        ("draining, run", r#"{"draining":true}"#, "/run", &run_body),
        ("starting, search", r#"{"starting_ms":3600000}"#, "/search", &plain),
        ("starting, run", r#"{"starting_ms":3600000}"#, "/run", &run_body),
        ("started", r#"{"starting_ms":0}"#, "/run", &run_body),
        ("wrong attempt", r#"{"wrong_attempts":1}"#, "/run", &run_body),
        ("delayed and far", r#"{"delay_reply_ms":2,"one_way_delay_ms":2}"#, "/run", &run_body),
        ("cancel of what is unknown", "{}", "/cancel", r#"{"attempt":99}"#),
        ("cancel without fields", "{}", "/cancel", "{}"),
        ("unknown path", "{}", "/find", "{}"),
    ];
    let searcher = started(1000).await;
    let mut line = Line::open(searcher.address()).await;
    let mut session = String::new();
    for (name, text, path, body) in cases {
        searcher.set_faults(faults(text));
        let ran = searcher.journal().len();
        let reply = line.call("POST", path, body).await.unwrap();
        let ran = searcher.journal().len() - ran;
        session += &format!("{name}: ran {ran}\n  {} {}\n", reply.status, reply.body);
    }
    insta::assert_snapshot!(session);
}

#[tokio::test]
async fn a_search_answers_what_the_corpus_holds() {
    let searcher = started(0).await;
    searcher.publish(holding(SECOND, &[1, 2]));
    let request = searcher_api::SearchRequest {
        snapshot: SECOND,
        shards: vec![ids::ShardId(2)],
        ..search(1)
    };
    let reply = support::post(searcher.address(), "/search", &request).await;
    let reply = reply.json::<searcher_api::SearchReply>();
    let version = SECOND.index_version;
    let expected = corpus::hits(&request.service, version, ids::ShardId(2), 3, "heirloom", 2);
    assert_eq!(expected.len(), 2);
    assert_eq!(reply.shards[0].hits, expected);
    assert_eq!((reply.snapshot, reply.attempt), (SECOND, ids::AttemptId(1)));
}

#[tokio::test]
async fn slots_and_queue_are_bounded() {
    let searcher = started(NEVER_US).await;
    let address = searcher.address();
    fill(&searcher, &run(1)).await;
    let queued = support::start(address, "POST", "/run", &run(2));
    support::until("it queues", || searcher.load().queued == 1).await;
    for attempt in 3..10 {
        let reply = support::post(address, "/run", &run(attempt)).await;
        assert_eq!(refusal(&reply), searcher_api::Refusal::Shed);
    }
    assert_eq!(searcher.journal().len(), 1, "only what has a slot runs");
    support::post(address, "/cancel", &cancel(2)).await;
    let reply = queued.await.unwrap().unwrap();
    assert_eq!(refusal(&reply), searcher_api::Refusal::Cancelled);
    assert_eq!(searcher.load(), searcher_api::Load { busy_slots: 1, queued: 0 });
}

#[tokio::test]
async fn slots_are_never_exceeded() {
    let config = searcher::Config { slots: 3, queue: 40, ..config(2000) };
    let searcher = searcher::Searcher::start(config, searcher::Faults::default()).await.unwrap();
    let mut calls = Vec::new();
    for attempt in 0..40 {
        calls.push(support::start(searcher.address(), "POST", "/run", &run(attempt)));
    }
    for call in calls {
        assert_eq!(call.await.unwrap().unwrap().status, 200);
    }
    assert!(searcher.counts().busy_peak <= 3, "{:?}", searcher.counts());
    assert_eq!(searcher.journal().len(), 40);
}

#[tokio::test]
async fn a_deadline_ends_the_wait_and_the_search() {
    let searcher = started(NEVER_US).await;
    let short = searcher_api::SearchRequest { timeout_ms: 5, ..search(1) };
    let reply = support::post(searcher.address(), "/search", &short).await;
    assert_eq!(reply.status, 504, "a search that has a slot is given up");
    fill(&searcher, &run(2)).await;
    let reply = support::post(searcher.address(), "/search", &short).await;
    assert_eq!(refusal(&reply), searcher_api::Refusal::TimedOut);
    let short = searcher_api::RunRequest { timeout_ms: 5, ..run(3) };
    let reply = support::post(searcher.address(), "/run", &short).await;
    assert_eq!(refusal(&reply), searcher_api::Refusal::TimedOut);
    assert_eq!(searcher.journal().len(), 1, "what timed out did not run");
}

#[tokio::test]
async fn a_cancel_frees_the_slot_of_a_search_but_not_of_a_run() {
    let searcher = started(NEVER_US).await;
    let address = searcher.address();
    let running = support::start(address, "POST", "/search", &search(1));
    support::until("the slot is busy", || searcher.load().busy_slots == 1).await;
    let queued = support::start(address, "POST", "/run", &run(2));
    support::until("it queues", || searcher.load().queued == 1).await;
    support::post(address, "/cancel", &cancel(1)).await;
    assert_eq!(running.await.unwrap().unwrap().status, 500);
    support::until("the queued one runs", || searcher.journal().len() == 1).await;
    support::post(address, "/cancel", &cancel(2)).await;
    status(&searcher).await;
    assert_eq!(searcher.load().busy_slots, 1);
    assert!(!queued.is_finished());
}

#[tokio::test]
async fn a_run_goes_on_when_its_caller_hangs_up() {
    let searcher = started(NEVER_US).await;
    let address = searcher.address();
    let running = support::start(address, "POST", "/search", &search(1));
    support::until("the slot is busy", || searcher.load().busy_slots == 1).await;
    let queued = support::start(address, "POST", "/run", &run(2));
    support::until("it queues", || searcher.load().queued == 1).await;
    running.abort();
    queued.abort();
    support::until("they hang up", || searcher.open_connections() == 0).await;
    assert_eq!(searcher.load(), searcher_api::Load { busy_slots: 1, queued: 1 });
    support::post(address, "/cancel", &cancel(1)).await;
    support::until("the queued one runs", || searcher.journal().len() == 1).await;
}

#[tokio::test]
async fn a_dropped_reply_has_run() {
    let searcher = started(0).await;
    searcher.set_faults(searcher::Faults { drop_replies: 1, ..Default::default() });
    let body = serde_json::to_string(&run(1)).unwrap();
    assert_eq!(support::call(searcher.address(), "POST", "/run", &body).await, None);
    assert_eq!(support::post(searcher.address(), "/run", &run(2)).await.status, 200);
    let journal = support::call(searcher.address(), "GET", "/standin/journal", "").await.unwrap();
    let attempts: Vec<_> =
        journal.json::<Vec<searcher::Execution>>().iter().map(|e| e.attempt.0).collect();
    assert_eq!(attempts, [1, 2]);
}

#[tokio::test]
async fn draining_finishes_what_is_queued() {
    let searcher = started(1000).await;
    let address = searcher.address();
    searcher.set_faults(searcher::Faults { straggle_factor: u32::MAX, ..Default::default() });
    drop(support::start(address, "POST", "/search", &search(1)));
    support::until("the slot is busy", || searcher.load().busy_slots == 1).await;
    let queued = support::start(address, "POST", "/run", &run(2));
    support::until("it queues", || searcher.load().queued == 1).await;
    searcher.set_faults(searcher::Faults { draining: true, ..Default::default() });
    support::post(address, "/cancel", &cancel(1)).await;
    let reply = queued.await.unwrap().unwrap().json::<searcher_api::RunReply>();
    assert!(reply.draining);
    assert_eq!(status(&searcher).await.state, searcher_api::SearcherState::Draining);
}

#[tokio::test]
async fn a_snapshot_may_go_while_a_request_waits() {
    let searcher = started(NEVER_US).await;
    let address = searcher.address();
    let running = support::start(address, "POST", "/search", &search(1));
    support::until("the slot is busy", || searcher.load().busy_slots == 1).await;
    let queued = support::start(address, "POST", "/search", &search(2));
    support::until("it queues", || searcher.load().queued == 1).await;
    searcher.retire(FIRST);
    support::post(address, "/cancel", &cancel(1)).await;
    assert_eq!(running.await.unwrap().unwrap().status, 500);
    let reply = queued.await.unwrap().unwrap();
    assert_eq!(refusal(&reply), searcher_api::Refusal::SnapshotGone);
}

#[tokio::test]
async fn the_status_lags_and_misleads() {
    let searcher = started(NEVER_US).await;
    let lag = searcher::Faults { status_lag_ms: 3_600_000, ..Default::default() };
    searcher.set_faults(lag.clone());
    searcher.publish(holding(SECOND, &[0]));
    searcher.set_faults(searcher::Faults { draining: true, ..lag });
    fill_while_ready(&searcher).await;
    let seen = status(&searcher).await;
    assert_eq!(seen.state, searcher_api::SearcherState::Ready, "it lags");
    assert_eq!(seen.holdings, [holding(FIRST, &[0, 1])], "it lags");
    searcher.set_faults(searcher::Faults { draining: true, ..Default::default() });
    let seen = status(&searcher).await;
    assert_eq!(seen.state, searcher_api::SearcherState::Draining);
    assert_eq!(seen.holdings, [holding(FIRST, &[0, 1]), holding(SECOND, &[0])]);
    assert_eq!(seen.load.busy_slots, 1);
    let claimed = vec![holding(FIRST, &[0, 1, 2])];
    searcher.set_faults(searcher::Faults {
        draining: true,
        claim_ready: true,
        claim_idle: true,
        claim_holdings: Some(claimed.clone()),
        ..Default::default()
    });
    let seen = status(&searcher).await;
    assert_eq!(seen.state, searcher_api::SearcherState::Ready);
    assert_eq!(seen.holdings, claimed);
    assert_eq!(seen.load, searcher_api::Load::default());
    let reply = support::post(searcher.address(), "/search", &search(2)).await;
    assert_eq!(refusal(&reply), searcher_api::Refusal::Draining, "claims change no answer");
}

async fn fill_while_ready(searcher: &searcher::Searcher) {
    let before = searcher.faults();
    searcher.set_faults(searcher::Faults { draining: false, ..before.clone() });
    fill(searcher, &run(1)).await;
    searcher.set_faults(before);
}
