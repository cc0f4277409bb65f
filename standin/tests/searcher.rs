//! The contract of a backend server: what it answers, refuses and promises, fault by fault.

mod support;

use standin::{corpus, searcher};
use support::{FIRST_HOLDING, Line, RUN, Reply, SEARCH, SECOND_HOLDING, parse, run, search};
use tarragondoor::{ids, searcher_api, snapshot};

/// Longer than any test runs.
const NEVER_US: u32 = u32::MAX;

async fn started(mean_us: u32) -> searcher::Searcher {
    support::start_searcher(support::config(mean_us)).await
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
    let far = SEARCH.replace("[0,1]", "[0,1,2]");
    let newer = SEARCH.replace(r#""index_version":1"#, r#""index_version":2"#);
    let stranger = SEARCH.replace("beans", "wreaths");
    let cases = [
        ("plain search", "{}", "/search", SEARCH),
        ("plain run", "{}", "/run", RUN),
        ("shard not held", "{}", "/search", &far),
        ("shard not held, partly", r#"{"answer_partially":true}"#, "/search", &far),
        ("unknown snapshot", "{}", "/search", &newer),
        ("another service", "{}", "/search", &stranger),
        ("not JSON", "{}", "/search", "beans"),
        ("run without fields", "{}", "/run", "{}"),
        ("shed, search", r#"{"shed_all":true}"#, "/search", SEARCH),
        ("shed, run", r#"{"shed_all":true}"#, "/run", RUN),
        ("draining, search", r#"{"draining":true}"#, "/search", SEARCH),
        ("draining, run", r#"{"draining":true}"#, "/run", RUN),
        ("starting, search", r#"{"starting_ms":3600000}"#, "/search", SEARCH),
        ("starting, run", r#"{"starting_ms":3600000}"#, "/run", RUN),
        ("started", r#"{"starting_ms":0}"#, "/run", RUN),
        ("wrong attempt", r#"{"wrong_attempts":1}"#, "/run", RUN),
        ("delayed and far", r#"{"delay_reply_ms":2,"one_way_delay_ms":2}"#, "/run", RUN),
        ("cancel of what is unknown", "{}", "/cancel", r#"{"attempt":99}"#),
        ("cancel without fields", "{}", "/cancel", "{}"),
        ("unknown path", "{}", "/find", "{}"),
    ];
    let searcher = started(1000).await;
    let mut line = Line::open(searcher.address()).await;
    let mut session = String::new();
    for (name, text, path, body) in cases {
        searcher.set_faults(parse(text));
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
    let second = parse::<snapshot::Holding>(SECOND_HOLDING);
    searcher.publish(second.clone());
    let shard = second.shards[1];
    let request =
        searcher_api::SearchRequest { snapshot: second.snapshot, shards: vec![shard], ..search(1) };
    let reply = support::post(searcher.address(), "/search", &request).await;
    let reply = reply.json::<searcher_api::SearchReply>();
    let version = second.snapshot.index_version;
    let expected = corpus::hits(&request.service, version, shard, 3, "heirloom", 2);
    assert_eq!(expected.len(), 2);
    assert_eq!(reply.shards, [searcher_api::ShardHits { shard, hits: expected }]);
    assert_eq!((reply.snapshot, reply.attempt), (second.snapshot, request.attempt));
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
    let config = searcher::Config { slots: 3, queue: 40, ..support::config(2000) };
    let searcher = support::start_searcher(config).await;
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
async fn what_is_held_may_go_while_a_request_waits() {
    let first = parse::<snapshot::Holding>(FIRST_HOLDING);
    for (gone, expected) in [
        (first.shards.len(), searcher_api::Refusal::SnapshotGone),
        (1, searcher_api::Refusal::ShardNotHeld),
    ] {
        let searcher = started(NEVER_US).await;
        let address = searcher.address();
        let running = support::start(address, "POST", "/search", &search(1));
        support::until("the slot is busy", || searcher.load().busy_slots == 1).await;
        let queued = support::start(address, "POST", "/search", &search(2));
        support::until("it queues", || searcher.load().queued == 1).await;
        let left = first.shards[gone..].to_vec();
        match left.is_empty() {
            true => searcher.retire(first.snapshot),
            false => searcher.publish(snapshot::Holding { shards: left, ..first.clone() }),
        }
        support::post(address, "/cancel", &cancel(1)).await;
        assert_eq!(running.await.unwrap().unwrap().status, 500);
        assert_eq!(refusal(&queued.await.unwrap().unwrap()), expected);
    }
}

#[tokio::test]
async fn the_status_lags_and_misleads() {
    let first = parse::<snapshot::Holding>(FIRST_HOLDING);
    let second = parse::<snapshot::Holding>(SECOND_HOLDING);
    let searcher = started(NEVER_US).await;
    let lag = searcher::Faults { status_lag_ms: 3_600_000, ..Default::default() };
    searcher.set_faults(lag.clone());
    fill(&searcher, &run(1)).await;
    searcher.publish(second.clone());
    searcher.set_faults(searcher::Faults { draining: true, ..lag });
    let seen = status(&searcher).await;
    assert_eq!(seen.state, searcher_api::SearcherState::Ready, "it lags");
    assert_eq!(seen.holdings, std::slice::from_ref(&first), "it lags");
    searcher.set_faults(searcher::Faults { draining: true, ..Default::default() });
    let seen = status(&searcher).await;
    assert_eq!(seen.state, searcher_api::SearcherState::Draining);
    assert_eq!(seen.holdings, [first, second.clone()]);
    assert_eq!(seen.load.busy_slots, 1);
    searcher.set_faults(searcher::Faults {
        draining: true,
        claim_ready: true,
        claim_idle: true,
        claim_holdings: Some(vec![second.clone()]),
        ..Default::default()
    });
    let seen = status(&searcher).await;
    assert_eq!(seen.state, searcher_api::SearcherState::Ready);
    assert_eq!(seen.holdings, [second]);
    assert_eq!(seen.load, searcher_api::Load::default());
    let reply = support::post(searcher.address(), "/search", &search(2)).await;
    assert_eq!(refusal(&reply), searcher_api::Refusal::Draining, "claims change no answer");
}
