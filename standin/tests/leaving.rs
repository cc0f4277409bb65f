//! A draining or leaving backend server gets no new requests after five seconds, and the graceful shutdown
//! of an instance interrupts no request.

mod deployment;

use deployment::fixture;
use standin::platform::{self, list};
use standin::searcher;
use std::time;
use tarragondoor::connection;
use tarragondoor::ids;
use tarragondoor::platform_api;

/// The time after which a leaving backend server must get no new requests.
const LEAVE_LIMIT: time::Duration = time::Duration::from_secs(5);

/// How long the backend server is observed after that.
const OBSERVATION: time::Duration = time::Duration::from_secs(12);

const SEARCH_PAUSE: time::Duration = time::Duration::from_millis(20);

const ADDRESS_TTL_MS: u32 = 2_000;

/// How long callers send to a stopping instance: until 100 ms before its address expires.
const SEND_DURATION: time::Duration = time::Duration::from_millis(ADDRESS_TTL_MS as u64 - 100);

/// Longer than a stopping instance keeps serving when no request is in flight.
const LONG_REPLY_DELAY_MS: u64 = 7_000;

/// Sends searches to all instances in turn for `period` and checks that each answer is complete. Returns the
/// number of searches.
async fn search_for(fixture: &fixture::Fixture, case: &str, period: time::Duration) -> usize {
    let started = time::Instant::now();
    let mut searches = 0;
    while started.elapsed() < period {
        let address = fixture.instances[searches % fixture.instances.len()].address;
        let body = deployment::search_request("packets", &format!("query {searches}"));
        let answer = deployment::call(address, "/v1/search", Some(&body)).await;
        assert_complete(case, answer.as_ref());
        searches += 1;
        tokio::time::sleep(SEARCH_PAUSE).await;
    }
    searches
}

fn assert_complete(case: &str, answer: Option<&deployment::Answer>) {
    let answer = answer.unwrap_or_else(|| panic!("{case}: a search got no answer"));
    assert_eq!(answer.status, 200, "{case}: {answer:?}");
    let missing = answer.body.pointer("/coverage/missing").and_then(|missing| missing.as_array());
    assert!(missing.is_some_and(Vec::is_empty), "{case}: {answer:?}");
}

/// The number of requests that reached a backend server, including refused ones.
fn received_count(searcher: &searcher::Searcher) -> u64 {
    let counts = searcher.counts();
    counts.searches_run + counts.executions + counts.refused
}

/// Checks that a backend server gets no requests once [`LEAVE_LIMIT`], five seconds, has passed.
async fn assert_no_new_requests(fixture: &fixture::Fixture, case: &str, name: &str) {
    let name: ids::SearcherName = name.parse().expect("the name is valid");
    let searcher = fixture.fleet.searcher(&name).expect("the fleet has the backend server");
    assert!(received_count(searcher) > 0, "{case}: the backend server got no requests before");
    search_for(fixture, case, LEAVE_LIMIT).await;
    let before = received_count(searcher);
    let searches = search_for(fixture, case, OBSERVATION).await;
    assert!(searches > 0, "{case}: no search was sent during the observation");
    assert_eq!(
        received_count(searcher),
        before,
        "{case}: the backend server got requests after five seconds"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_backend_server_gets_no_new_requests() {
    let fixture = fixture::Fixture::start(500).await;
    search_for(&fixture, "before", time::Duration::from_secs(1)).await;
    let draining =
        searcher::Faults { draining: true, status_lag_ms: 4_000, ..searcher::Faults::default() };
    let set_faults = |name: &str, faults: searcher::Faults| {
        let name: ids::SearcherName = name.parse().expect("the name is valid");
        fixture.fleet.searcher(&name).expect("the fleet has the backend server").set_faults(faults);
    };

    set_faults("packets-s00", draining.clone());
    assert_no_new_requests(&fixture, "its status lags", "packets-s00").await;
    set_faults("packets-s00", searcher::Faults::default());
    deployment::wait_for("requests to the backend server that is ready again", async || {
        let name: ids::SearcherName = "packets-s00".parse().expect("the name is valid");
        let searcher = fixture.fleet.searcher(&name)?;
        let before = searcher.counts().searches_run;
        search_for(&fixture, "ready again", time::Duration::from_secs(1)).await;
        (searcher.counts().searches_run > before).then_some(())
    })
    .await;

    let outage = Some(platform::Outage::Mute);
    fixture.platform.set_faults(platform::Faults { outage, ..platform::Faults::default() });
    set_faults("packets-s01", draining);
    assert_no_new_requests(&fixture, "its status lags and the platform is down", "packets-s01")
        .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_backend_server_that_claims_to_be_ready_gets_no_new_requests() {
    let fixture = fixture::Fixture::start(500).await;
    search_for(&fixture, "before", time::Duration::from_secs(1)).await;
    let name: ids::SearcherName = "packets-s03".parse().expect("the name is valid");
    fixture.fleet.searcher(&name).expect("the fleet has the backend server").set_faults(
        searcher::Faults { draining: true, claim_ready: true, ..searcher::Faults::default() },
    );
    assert_no_new_requests(&fixture, "its status claims to be ready", name.as_str()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn backend_server_listed_as_leaving_gets_no_new_requests() {
    let fixture = fixture::Fixture::start(500).await;
    search_for(&fixture, "before", time::Duration::from_secs(1)).await;
    let name: ids::SearcherName = "packets-s02".parse().expect("the name is valid");
    let leaving = fixture
        .fleet
        .members()
        .find(|member| member.searcher.config().searcher == name)
        .expect("the fleet has the backend server")
        .listed(platform_api::ListState::Leaving);
    fixture.platform.change_list(list::ListChange { upsert: vec![leaving], remove: Vec::new() });
    assert_no_new_requests(&fixture, "listed as leaving", name.as_str()).await;
}

async fn send(connections: &connection::Connections, service: &str) -> deployment::Answer {
    let body = serde_json::json!({
        "service": service, "query": "late runner", "limit": 5, "rank": "urgent",
        "deadline_ms": 15_000,
    });
    let call = connection::Call::json(http::Method::POST, "/v1/search", &body)
        .expect("the body is serializable");
    let answer = connections.send(call, deployment::WAIT_MAX).await.expect("the instance answers");
    let body = serde_json::from_slice(&answer.body).unwrap_or_default();
    deployment::Answer { status: answer.status.as_u16(), body }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stopping_instance_answers_all_requests() {
    let mut fixture = fixture::Fixture::start(ADDRESS_TTL_MS).await;
    let address = fixture.instances[2].address;
    let other = fixture.instances[0].address;

    // Idle connections: one is used again at the end, the others are not.
    let mut idle = Vec::new();
    for _ in 0..4 {
        let connections = connection::Connections::new(address, 1);
        assert_complete("before the stop", Some(&send(&connections, "packets").await));
        idle.push(connections);
    }

    let beans = fixture
        .fleet
        .service(&"beans".parse().expect("the name is valid"))
        .expect("the fleet has the service");
    let before: u64 = beans.members.iter().map(|m| m.searcher.counts().searches_run).sum();
    for member in &beans.members {
        member.searcher.set_faults(searcher::Faults {
            delay_reply_ms: LONG_REPLY_DELAY_MS,
            ..searcher::Faults::default()
        });
    }
    let long =
        tokio::spawn(async move { send(&connection::Connections::new(address, 1), "beans").await });
    deployment::wait_for("the start of the long request", async || {
        let now: u64 = beans.members.iter().map(|m| m.searcher.counts().searches_run).sum();
        (now > before).then_some(())
    })
    .await;

    let stopped = time::Instant::now();
    fixture.instances[2].process.signal(libc::SIGTERM);
    let reused = connection::Connections::new(address, 1);
    let mut sent = 0;
    while stopped.elapsed() < SEND_DURATION {
        assert_complete("over a reused connection", Some(&send(&reused, "packets").await));
        let fresh = connection::Connections::new(address, 1);
        assert_complete("over a new connection", Some(&send(&fresh, "packets").await));
        let elsewhere = connection::Connections::new(other, 1);
        assert_complete("at another instance", Some(&send(&elsewhere, "packets").await));
        sent += 1;
    }
    assert!(sent > 0, "no request was sent after the signal");
    assert_complete("over an idle connection", Some(&send(&idle[0], "packets").await));
    assert!(!long.is_finished(), "the long request ended too early");
    assert_complete(
        "the long request",
        Some(&long.await.expect("the task of the long request ends")),
    );
    assert!(fixture.instances[2].process.wait(), "the instance exited with an error");
    assert_complete(
        "at another instance",
        Some(&send(&connection::Connections::new(other, 1), "packets").await),
    );
    drop(idle);
}
