//! The contract of a backend server at the level of its connections.

mod support;

use standin::searcher;
use std::net;
use support::{Line, RUN};
use tarragondoor::searcher_api;

async fn started(connections: u16, open_ms: u32) -> searcher::Searcher {
    support::start_searcher(searcher::Config { connections, open_ms, ..support::config(1) }).await
}

#[tokio::test]
async fn connections_above_the_limit_are_refused() {
    let searcher = started(2, 0).await;
    let mut lines = Vec::new();
    for _ in 0..2 {
        let mut line = Line::open(searcher.address()).await;
        assert_eq!(line.call("POST", "/run", RUN).await.unwrap().status, 200);
        lines.push(line);
    }
    let mut excess = Line::open(searcher.address()).await;
    let reply = excess.call("POST", "/run", RUN).await.unwrap();
    let refused = reply.json::<searcher_api::RefusedReply>();
    assert_eq!(refused.refusal, searcher_api::Refusal::ConnectionLimit);
    assert_eq!(excess.call("POST", "/run", RUN).await, None, "it is closed after its refusal");
    assert_eq!(searcher.journal().len(), 2);
    let counts = searcher.counts();
    assert_eq!((counts.connections_peak, counts.connections_excess), (2, 1));
    drop(lines);
    support::until("the places are free", || searcher.open_connections() == 0).await;
    let reply = support::call(searcher.address(), "POST", "/run", RUN).await.unwrap();
    assert_eq!(reply.status, 200);
}

#[tokio::test]
async fn a_new_connection_costs_time_once() {
    let costly = started(2, 60_000).await;
    let cheap = started(2, 1).await;
    let held = support::start(costly.address(), "GET", "/status", &());
    support::until("it connects", || costly.counts().connections_opened == 1).await;
    let mut line = Line::open(cheap.address()).await;
    for _ in 0..20 {
        assert_eq!(line.call("POST", "/run", RUN).await.unwrap().status, 200);
    }
    assert!(!held.is_finished());
    assert_eq!(costly.counts().statuses, 0, "it got through");
}

#[tokio::test]
async fn a_silent_connection_stays_silent_and_new_ones_work() {
    let searcher = started(10, 0).await;
    let mut old = Line::open(searcher.address()).await;
    assert_eq!(old.call("POST", "/run", RUN).await.unwrap().status, 200);
    searcher.silence();
    let held = tokio::spawn(async move { old.call("POST", "/run", RUN).await });
    for _ in 0..10 {
        let reply = support::call(searcher.address(), "POST", "/run", RUN).await.unwrap();
        assert_eq!(reply.status, 200);
    }
    assert!(!held.is_finished());
    assert_eq!(searcher.journal().len(), 11, "the silent one did not arrive");
}

#[tokio::test]
async fn a_reply_under_way_is_lost_when_its_connection_goes_silent() {
    let searcher = started(10, 0).await;
    let address = searcher.address();
    searcher.set_faults(searcher::Faults { straggle_factor: u32::MAX, ..Default::default() });
    let running = support::start(address, "POST", "/search", &support::search(2));
    support::until("the slot is busy", || searcher.load().busy_slots == 1).await;
    let held = tokio::spawn(support::call(address, "POST", "/run", RUN));
    support::until("it queues", || searcher.load().queued == 1).await;
    searcher.silence();
    searcher.set_faults(searcher::Faults::default());
    support::call(address, "POST", "/cancel", r#"{"attempt":2}"#).await.unwrap();
    support::until("it has run", || {
        searcher.journal().len() == 1 && searcher.load().busy_slots == 0
    })
    .await;
    for _ in 0..10 {
        let reply = support::call(address, "POST", "/run", RUN).await.unwrap();
        assert_eq!(reply.status, 200);
    }
    assert!(!held.is_finished());
    assert!(!running.is_finished());
}

#[tokio::test]
async fn a_frozen_backend_server_answers_when_it_wakes() {
    let searcher = started(10, 0).await;
    searcher.set_faults(searcher::Faults { freeze: true, ..Default::default() });
    let address = searcher.address();
    let mut held = Vec::new();
    for (method, path) in [("GET", "/status"), ("POST", "/run"), ("POST", "/cancel")] {
        held.push(tokio::spawn(support::call(address, method, path, RUN)));
    }
    support::until("they connect", || searcher.counts().connections_opened == 3).await;
    let faults = support::call(address, "GET", "/standin/faults", "").await.unwrap();
    assert!(faults.json::<searcher::Faults>().freeze);
    assert!(held.iter().all(|call| !call.is_finished()));
    assert!(searcher.journal().is_empty());
    searcher.set_faults(searcher::Faults::default());
    for call in held {
        assert_eq!(call.await.unwrap().unwrap().status, 200);
    }
    assert_eq!(searcher.journal().len(), 1);
}

#[tokio::test]
async fn a_killed_backend_server_comes_back_cold() {
    let searcher = started(10, 0).await;
    searcher.set_faults(searcher::Faults { freeze: true, ..Default::default() });
    let address = searcher.address();
    let held = tokio::spawn(support::call(address, "POST", "/run", RUN));
    support::until("it connects", || searcher.counts().connections_opened == 1).await;
    searcher.kill(searcher::Kill::default());
    assert_eq!(held.await.unwrap(), None, "its connection breaks");
    support::until("it listens no more", || net::TcpStream::connect(address).is_err()).await;

    let searcher = started(10, 0).await;
    let address = searcher.address();
    let kill = searcher::Kill { revive_ms: Some(1), starting_ms: 3_600_000 };
    support::call(address, "POST", "/standin/kill", &serde_json::to_string(&kill).unwrap()).await;
    support::until("it listens again", || net::TcpStream::connect(address).is_ok()).await;
    let reply = support::call(address, "POST", "/run", RUN).await.unwrap();
    let refused = reply.json::<searcher_api::RefusedReply>();
    assert_eq!(refused.refusal, searcher_api::Refusal::Starting);
    searcher.set_faults(searcher::Faults::default());
    let reply = support::call(address, "POST", "/run", RUN).await.unwrap();
    assert_eq!(reply.status, 200);
}
