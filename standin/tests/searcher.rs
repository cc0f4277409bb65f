//! The API of a backend server: its answers, refusals and guarantees, under each fault.

mod support;

use standin::{corpus, searcher};
use support::{
    Connection, FIRST_HOLDING, RUN_REQUEST, Reply, SEARCH_REQUEST, SECOND_HOLDING, parse,
    run_request, search_request,
};
use tarragondoor::{ids, searcher_api, snapshot};

/// Longer than any test takes.
const NEVER_US: u32 = u32::MAX;

async fn start_searcher(mean_us: u32) -> searcher::Searcher {
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

/// Occupies the only slot with `first`.
async fn occupy_slot(searcher: &searcher::Searcher, first: &searcher_api::RunRequest) {
    drop(support::spawn_call(searcher.address(), "POST", "/run", first));
    support::wait_until("the slot is busy", || searcher.load().busy_slots == 1).await;
}

#[tokio::test]
async fn api_replies_and_refusals_match_the_snapshot() {
    let unheld_shard = SEARCH_REQUEST.replace("[0,1]", "[0,1,2]");
    let newer_snapshot = SEARCH_REQUEST.replace(r#""index_version":1"#, r#""index_version":2"#);
    let other_service = SEARCH_REQUEST.replace("beans", "wreaths");
    let cases = [
        ("plain search", "{}", "/search", SEARCH_REQUEST),
        ("plain run", "{}", "/run", RUN_REQUEST),
        ("shard not held", "{}", "/search", &unheld_shard),
        ("shard not held, partly", r#"{"answer_partially":true}"#, "/search", &unheld_shard),
        ("unknown snapshot", "{}", "/search", &newer_snapshot),
        ("another service", "{}", "/search", &other_service),
        ("not JSON", "{}", "/search", "beans"),
        ("run without fields", "{}", "/run", "{}"),
        ("shed, search", r#"{"shed_all":true}"#, "/search", SEARCH_REQUEST),
        ("shed, run", r#"{"shed_all":true}"#, "/run", RUN_REQUEST),
        ("draining, search", r#"{"draining":true}"#, "/search", SEARCH_REQUEST),
        ("draining, run", r#"{"draining":true}"#, "/run", RUN_REQUEST),
        ("starting, search", r#"{"starting_ms":3600000}"#, "/search", SEARCH_REQUEST),
        ("starting, run", r#"{"starting_ms":3600000}"#, "/run", RUN_REQUEST),
        ("started", r#"{"starting_ms":0}"#, "/run", RUN_REQUEST),
        ("wrong attempt", r#"{"wrong_attempts":1}"#, "/run", RUN_REQUEST),
        (
            "delayed reply and network",
            r#"{"delay_reply_ms":2,"one_way_delay_ms":2}"#,
            "/run",
            RUN_REQUEST,
        ),
        ("cancel of an unknown attempt", "{}", "/cancel", r#"{"attempt":99}"#),
        ("cancel without fields", "{}", "/cancel", "{}"),
        ("unknown path", "{}", "/find", "{}"),
    ];
    let searcher = start_searcher(1000).await;
    let mut connection = Connection::open(searcher.address()).await;
    let mut session = String::new();
    for (name, faults, path, body) in cases {
        searcher.set_faults(parse(faults));
        let before = searcher.journal().len();
        let reply = connection.call("POST", path, body).await.unwrap();
        let ran = searcher.journal().len() - before;
        session += &format!("{name}: ran {ran}\n  {} {}\n", reply.status, reply.body);
    }
    insta::assert_snapshot!(session);
}

#[tokio::test]
async fn a_search_returns_the_hits_of_the_corpus() {
    let searcher = start_searcher(0).await;
    let second = parse::<snapshot::Holding>(SECOND_HOLDING);
    searcher.publish(second.clone());
    let shard = second.shards[1];
    let request = searcher_api::SearchRequest {
        snapshot: second.snapshot,
        shards: vec![shard],
        ..search_request(1)
    };
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
    let searcher = start_searcher(NEVER_US).await;
    let address = searcher.address();
    occupy_slot(&searcher, &run_request(1)).await;
    let queued = support::spawn_call(address, "POST", "/run", &run_request(2));
    support::wait_until("the request is queued", || searcher.load().queued == 1).await;
    for attempt in 3..10 {
        let reply = support::post(address, "/run", &run_request(attempt)).await;
        assert_eq!(refusal(&reply), searcher_api::Refusal::Shed);
    }
    assert_eq!(searcher.journal().len(), 1, "a request without a slot ran");
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
        calls.push(support::spawn_call(searcher.address(), "POST", "/run", &run_request(attempt)));
    }
    for call in calls {
        assert_eq!(call.await.unwrap().unwrap().status, 200);
    }
    assert!(searcher.counts().busy_peak <= 3, "{:?}", searcher.counts());
    assert_eq!(searcher.journal().len(), 40);
}

#[tokio::test]
async fn a_timeout_ends_queued_requests_and_running_searches() {
    let searcher = start_searcher(NEVER_US).await;
    let short = searcher_api::SearchRequest { timeout_ms: 5, ..search_request(1) };
    let reply = support::post(searcher.address(), "/search", &short).await;
    assert_eq!(reply.status, 504, "a running search was not aborted at its timeout");
    occupy_slot(&searcher, &run_request(2)).await;
    let reply = support::post(searcher.address(), "/search", &short).await;
    assert_eq!(refusal(&reply), searcher_api::Refusal::TimedOut);
    let short = searcher_api::RunRequest { timeout_ms: 5, ..run_request(3) };
    let reply = support::post(searcher.address(), "/run", &short).await;
    assert_eq!(refusal(&reply), searcher_api::Refusal::TimedOut);
    assert_eq!(searcher.journal().len(), 1, "a request that timed out ran");
}

#[tokio::test]
async fn a_cancel_frees_the_slot_of_a_search_but_not_of_a_run() {
    let searcher = start_searcher(NEVER_US).await;
    let address = searcher.address();
    let running = support::spawn_call(address, "POST", "/search", &search_request(1));
    support::wait_until("the slot is busy", || searcher.load().busy_slots == 1).await;
    let queued = support::spawn_call(address, "POST", "/run", &run_request(2));
    support::wait_until("the request is queued", || searcher.load().queued == 1).await;
    support::post(address, "/cancel", &cancel(1)).await;
    assert_eq!(running.await.unwrap().unwrap().status, 500);
    support::wait_until("the queued request runs", || searcher.journal().len() == 1).await;
    support::post(address, "/cancel", &cancel(2)).await;
    status(&searcher).await;
    assert_eq!(searcher.load().busy_slots, 1);
    assert!(!queued.is_finished());
}

#[tokio::test]
async fn requests_continue_when_their_caller_disconnects() {
    let searcher = start_searcher(NEVER_US).await;
    let address = searcher.address();
    let running = support::spawn_call(address, "POST", "/search", &search_request(1));
    support::wait_until("the slot is busy", || searcher.load().busy_slots == 1).await;
    let queued = support::spawn_call(address, "POST", "/run", &run_request(2));
    support::wait_until("the request is queued", || searcher.load().queued == 1).await;
    running.abort();
    queued.abort();
    support::wait_until("the callers have disconnected", || searcher.open_connections() == 0).await;
    assert_eq!(searcher.load(), searcher_api::Load { busy_slots: 1, queued: 1 });
    support::post(address, "/cancel", &cancel(1)).await;
    support::wait_until("the queued request runs", || searcher.journal().len() == 1).await;
}

#[tokio::test]
async fn a_request_whose_reply_is_dropped_has_run() {
    let searcher = start_searcher(0).await;
    searcher.set_faults(searcher::Faults { drop_replies: 1, ..Default::default() });
    let body = serde_json::to_string(&run_request(1)).unwrap();
    assert_eq!(support::call(searcher.address(), "POST", "/run", &body).await, None);
    assert_eq!(support::post(searcher.address(), "/run", &run_request(2)).await.status, 200);
    let journal = support::call(searcher.address(), "GET", "/standin/journal", "").await.unwrap();
    let attempts: Vec<_> =
        journal.json::<Vec<searcher::Execution>>().iter().map(|e| e.attempt.0).collect();
    assert_eq!(attempts, [1, 2]);
}

#[tokio::test]
async fn a_draining_backend_server_finishes_queued_requests() {
    let searcher = start_searcher(1000).await;
    let address = searcher.address();
    searcher.set_faults(searcher::Faults { straggle_factor: u32::MAX, ..Default::default() });
    drop(support::spawn_call(address, "POST", "/search", &search_request(1)));
    support::wait_until("the slot is busy", || searcher.load().busy_slots == 1).await;
    let queued = support::spawn_call(address, "POST", "/run", &run_request(2));
    support::wait_until("the request is queued", || searcher.load().queued == 1).await;
    searcher.set_faults(searcher::Faults { draining: true, ..Default::default() });
    support::post(address, "/cancel", &cancel(1)).await;
    let reply = queued.await.unwrap().unwrap().json::<searcher_api::RunReply>();
    assert!(reply.draining);
    assert_eq!(status(&searcher).await.state, searcher_api::SearcherState::Draining);
}

#[tokio::test]
async fn a_queued_search_is_refused_when_its_snapshot_or_shard_is_dropped() {
    let first = parse::<snapshot::Holding>(FIRST_HOLDING);
    for (dropped_count, expected) in [
        (first.shards.len(), searcher_api::Refusal::SnapshotGone),
        (1, searcher_api::Refusal::ShardNotHeld),
    ] {
        let searcher = start_searcher(NEVER_US).await;
        let address = searcher.address();
        let running = support::spawn_call(address, "POST", "/search", &search_request(1));
        support::wait_until("the slot is busy", || searcher.load().busy_slots == 1).await;
        let queued = support::spawn_call(address, "POST", "/search", &search_request(2));
        support::wait_until("the request is queued", || searcher.load().queued == 1).await;
        let remaining = first.shards[dropped_count..].to_vec();
        match remaining.is_empty() {
            true => searcher.retire(first.snapshot),
            false => searcher.publish(snapshot::Holding { shards: remaining, ..first.clone() }),
        }
        support::post(address, "/cancel", &cancel(1)).await;
        assert_eq!(running.await.unwrap().unwrap().status, 500);
        assert_eq!(refusal(&queued.await.unwrap().unwrap()), expected);
    }
}

#[tokio::test]
async fn the_status_lags_and_makes_false_claims() {
    let first = parse::<snapshot::Holding>(FIRST_HOLDING);
    let second = parse::<snapshot::Holding>(SECOND_HOLDING);
    let searcher = start_searcher(NEVER_US).await;
    let lag = searcher::Faults { status_lag_ms: 3_600_000, ..Default::default() };
    searcher.set_faults(lag.clone());
    occupy_slot(&searcher, &run_request(1)).await;
    searcher.publish(second.clone());
    searcher.set_faults(searcher::Faults { draining: true, ..lag });
    let seen = status(&searcher).await;
    assert_eq!(
        seen.state,
        searcher_api::SearcherState::Ready,
        "the status shows a change before its lag has passed"
    );
    assert_eq!(
        seen.holdings,
        std::slice::from_ref(&first),
        "the status shows a change before its lag has passed"
    );
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
    let reply = support::post(searcher.address(), "/search", &search_request(2)).await;
    assert_eq!(
        refusal(&reply),
        searcher_api::Refusal::Draining,
        "a false claim in the status changed a reply"
    );
}
