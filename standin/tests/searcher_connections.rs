//! A backend server's behavior at the level of connections: limit, open delay, and faults.

mod support;

use standin::searcher;
use std::net;
use support::{Connection, RUN_REQUEST};
use tarragondoor::searcher_api;

async fn start_searcher(connections: u16, open_ms: u32) -> searcher::Searcher {
    support::start_searcher(searcher::Config { connections, open_ms, ..support::config(1) }).await
}

#[tokio::test]
async fn connections_above_the_limit_are_refused() {
    let searcher = start_searcher(2, 0).await;
    let mut open = Vec::new();
    for _ in 0..2 {
        let mut connection = Connection::open(searcher.address()).await;
        assert_eq!(connection.call("POST", "/run", RUN_REQUEST).await.unwrap().status, 200);
        open.push(connection);
    }
    let mut excess = Connection::open(searcher.address()).await;
    let reply = excess.call("POST", "/run", RUN_REQUEST).await.unwrap();
    let refused = reply.json::<searcher_api::RefusedReply>();
    assert_eq!(refused.refusal, searcher_api::Refusal::ConnectionLimit);
    assert_eq!(
        excess.call("POST", "/run", RUN_REQUEST).await,
        None,
        "the connection stayed open after the refusal"
    );
    assert_eq!(searcher.journal().len(), 2);
    let counts = searcher.counts();
    assert_eq!((counts.connections_peak, counts.connections_excess), (2, 1));
    drop(open);
    support::wait_until("the connections are closed", || searcher.open_connections() == 0).await;
    let reply = support::call(searcher.address(), "POST", "/run", RUN_REQUEST).await.unwrap();
    assert_eq!(reply.status, 200);
}

#[tokio::test]
async fn the_open_delay_applies_once_per_connection() {
    let slow = start_searcher(2, 60_000).await;
    let fast = start_searcher(2, 1).await;
    let pending = support::spawn_call(slow.address(), "GET", "/status", &());
    support::wait_until("the connection is accepted", || slow.counts().connections_opened == 1)
        .await;
    let mut connection = Connection::open(fast.address()).await;
    for _ in 0..20 {
        assert_eq!(connection.call("POST", "/run", RUN_REQUEST).await.unwrap().status, 200);
    }
    assert!(!pending.is_finished());
    assert_eq!(slow.counts().statuses, 0, "a request was served before the open delay");
}

#[tokio::test]
async fn a_silenced_connection_stays_unresponsive_while_new_ones_work() {
    let searcher = start_searcher(10, 0).await;
    let mut old = Connection::open(searcher.address()).await;
    assert_eq!(old.call("POST", "/run", RUN_REQUEST).await.unwrap().status, 200);
    searcher.silence();
    let pending = tokio::spawn(async move { old.call("POST", "/run", RUN_REQUEST).await });
    for _ in 0..10 {
        let reply = support::call(searcher.address(), "POST", "/run", RUN_REQUEST).await.unwrap();
        assert_eq!(reply.status, 200);
    }
    assert!(!pending.is_finished());
    assert_eq!(searcher.journal().len(), 11, "the request on the silenced connection was received");
}

#[tokio::test]
async fn a_pending_reply_is_lost_when_its_connection_is_silenced() {
    let searcher = start_searcher(10, 0).await;
    let address = searcher.address();
    searcher.set_faults(searcher::Faults { straggle_factor: u32::MAX, ..Default::default() });
    let running = support::spawn_call(address, "POST", "/search", &support::search_request(2));
    support::wait_until("the slot is busy", || searcher.load().busy_slots == 1).await;
    let pending = tokio::spawn(support::call(address, "POST", "/run", RUN_REQUEST));
    support::wait_until("the request is queued", || searcher.load().queued == 1).await;
    searcher.silence();
    searcher.set_faults(searcher::Faults::default());
    support::call(address, "POST", "/cancel", r#"{"attempt":2}"#).await.unwrap();
    support::wait_until("the queued request has run", || {
        searcher.journal().len() == 1 && searcher.load().busy_slots == 0
    })
    .await;
    for _ in 0..10 {
        let reply = support::call(address, "POST", "/run", RUN_REQUEST).await.unwrap();
        assert_eq!(reply.status, 200);
    }
    assert!(!pending.is_finished());
    assert!(!running.is_finished());
}

#[tokio::test]
async fn a_frozen_backend_server_answers_after_the_freeze() {
    let searcher = start_searcher(10, 0).await;
    searcher.set_faults(searcher::Faults { freeze: true, ..Default::default() });
    let address = searcher.address();
    let mut pending = Vec::new();
    for (method, path) in [("GET", "/status"), ("POST", "/run"), ("POST", "/cancel")] {
        pending.push(tokio::spawn(support::call(address, method, path, RUN_REQUEST)));
    }
    support::wait_until("the connections are accepted", || {
        searcher.counts().connections_opened == 3
    })
    .await;
    let faults = support::call(address, "GET", "/standin/faults", "").await.unwrap();
    assert!(faults.json::<searcher::Faults>().freeze);
    assert!(pending.iter().all(|call| !call.is_finished()));
    assert!(searcher.journal().is_empty());
    searcher.set_faults(searcher::Faults::default());
    for call in pending {
        assert_eq!(call.await.unwrap().unwrap().status, 200);
    }
    assert_eq!(searcher.journal().len(), 1);
}

#[tokio::test]
async fn a_killed_backend_server_restarts_as_starting() {
    let searcher = start_searcher(10, 0).await;
    searcher.set_faults(searcher::Faults { freeze: true, ..Default::default() });
    let address = searcher.address();
    let pending = tokio::spawn(support::call(address, "POST", "/run", RUN_REQUEST));
    support::wait_until("the connection is accepted", || searcher.counts().connections_opened == 1)
        .await;
    searcher.kill(searcher::Kill::default());
    assert_eq!(pending.await.unwrap(), None, "the killed backend server replied");
    support::wait_until("the port is closed", || net::TcpStream::connect(address).is_err()).await;

    let searcher = start_searcher(10, 0).await;
    let address = searcher.address();
    let kill = searcher::Kill { revive_ms: Some(1), starting_ms: 3_600_000 };
    support::call(address, "POST", "/standin/kill", &serde_json::to_string(&kill).unwrap()).await;
    support::wait_until("the port is open", || net::TcpStream::connect(address).is_ok()).await;
    let reply = support::call(address, "POST", "/run", RUN_REQUEST).await.unwrap();
    let refused = reply.json::<searcher_api::RefusedReply>();
    assert_eq!(refused.refusal, searcher_api::Refusal::Starting);
    searcher.set_faults(searcher::Faults::default());
    let reply = support::call(address, "POST", "/run", RUN_REQUEST).await.unwrap();
    assert_eq!(reply.status, 200);
}
