//! Forwarding over real connections, with a minimal searcher.

mod forward_support;

use forward_support::NEAR;
use forward_support::configuration;
use forward_support::member;
use forward_support::record;
use forward_support::route;
use forward_support::rule;
use forward_support::searcher;
use forward_support::single;
use std::net;
use std::sync;
use std::time;
use tarragondoor::clock;
use tarragondoor::discovery::members;
use tarragondoor::discovery::reader;
use tarragondoor::discovery::registry;
use tarragondoor::discovery::subscriber;
use tarragondoor::discovery::view;
use tarragondoor::forward::address;
use tarragondoor::forward::answer_buffer;
use tarragondoor::forward::attempt;
use tarragondoor::forward::dialect;
use tarragondoor::forward::metrics;
use tarragondoor::forward::query;
use tarragondoor::forward::run;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

fn dialect() -> dialect::Dialect {
    let name = http::HeaderName::from_static;
    dialect::Dialect {
        headers: dialect::Headers {
            request_id: name("x-id"),
            deadline_ms: name("x-deadline"),
            expected_searcher: name("x-searcher"),
            stamp: name("x-stamp"),
            not_executed: name("x-not-run"),
            leaving: name("x-leaving"),
            limit: name("x-limit"),
            credential: name("x-key"),
            tenant: name("x-tenant"),
            load: name("x-load"),
            cold_remaining_ms: name("x-cold"),
            part_stamps: name("x-parts"),
            missing_parts: name("x-missing"),
        },
        readiness_path: "/ready",
        parse_directory: |_| None,
        write_directory: |_| bytes::Bytes::new(),
    }
}

/// Starts a searcher that answers each request at once and closes connections that are idle for a second.
async fn start_searcher() -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_requests(stream));
        }
    });
    address
}

async fn answer_requests(mut stream: TcpStream) {
    let mut buffer = Vec::new();
    loop {
        let mut chunk = [0; 4_096];
        match stream.read(&mut chunk).await {
            Ok(count) if count > 0 => buffer.extend_from_slice(&chunk[..count]),
            _ => return,
        }
        if !buffer.ends_with(b"\r\n\r\n") {
            continue;
        }
        buffer.clear();
        let answer = "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-stamp: s\r\nkeep-alive: timeout=1\r\n\
                      content-length: 2\r\n\r\nok";
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// A view with one searcher of the service `a`, and a forwarder that follows it.
async fn start_forwarder() -> (sync::Arc<view::View>, sync::Arc<run::Forwarder>) {
    let address = start_searcher().await;
    let view = sync::Arc::new(view::View::new(member("front", "north", 1)));
    view.offer_config(
        configuration(1, vec![route("claim", "h.example", "/claim/")]),
        view::Origin::Store,
        0,
    );
    let searcher = registry::Searcher { address, ..searcher("a", NEAR, 1) };
    view.apply_searchers(vec![record("a-0", searcher)], 0);
    let regions = vec![(NEAR.into(), "north".into())];
    let metrics = sync::Arc::new(metrics::Metrics::new());
    let forwarder = run::Forwarder::new(view.clone(), dialect(), regions, rule(), metrics);
    let forwarder = sync::Arc::new(forwarder);
    let following = forwarder.clone();
    tokio::spawn(async move { following.apply_view_changes().await });
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    (view, forwarder)
}

async fn send_request(forwarder: &sync::Arc<run::Forwarder>) -> query::Completion {
    let now_us = clock::now_us();
    let spec = query::Spec { arrived_us: now_us, ..single(true) };
    let outgoing = attempt::OutgoingRequest {
        head_bytes: 100,
        method: http::Method::GET,
        uri: http::Uri::from_static("/claim/1"),
        headers: [(http::header::HOST, http::HeaderValue::from_static("h.example"))]
            .into_iter()
            .collect(),
        body: bytes::Bytes::new(),
        id: "r1".into(),
        deadline_us: now_us + spec.timeout_us,
        is_idempotent: true,
    };
    forwarder.run(spec, sync::Arc::new(outgoing)).await.completion
}

/// Guards against the cause of incident inc1 elsewhere: expired connections were kept and the limits of a new
/// configuration were not applied, because the period of the sweep started anew with each change of the members.
#[tokio::test]
async fn idle_connections_expire_while_the_members_keep_changing() {
    let (view, forwarder) = start_forwarder().await;
    let completion = send_request(&forwarder).await;
    assert!(matches!(completion, query::Completion::Single(_)), "{completion:?}");
    tokio::time::sleep(time::Duration::from_millis(60)).await;
    assert_eq!(forwarder.connection_count(), 1);
    let start = time::Instant::now();
    while forwarder.connection_count() > 0 {
        assert!(start.elapsed() < time::Duration::from_secs(3), "the connection is still open");
        view.change_members(|_| true);
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
}

/// Guards against an instance that runs out of memory because many searchers send bodies without end at once.
#[test]
fn the_answers_that_are_being_received_share_one_bound() {
    let buffer = sync::Arc::new(answer_buffer::AnswerBuffer::new(100));
    let mut first = buffer.start_answer();
    let mut second = buffer.start_answer();
    assert!(first.grow(60));
    assert!(!second.grow(41), "more than the bound in all");
    assert!(second.grow(40));
    drop(first);
    assert!(second.grow(60), "the bytes of the first answer are released");
}

/// Guards against a directory that goes on listing an instance after the last report of it has expired, as when
/// it is lost together with the source that reported it.
#[tokio::test]
async fn the_directory_drops_an_instance_whose_last_report_has_expired() {
    let (view, forwarder) = start_forwarder().await;
    // Nothing listens at the source. The other instance is silent, so that its connection ends only after the
    // source's report has expired.
    let closed = net::SocketAddr::from(([127, 0, 0, 1], 1));
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let source = members::Member { control: closed, ..member("source", "north", 2) };
    let other =
        members::Member { control: silent.local_addr().unwrap(), ..member("other", "north", 3) };
    view.change_members(|members| members.set_source_members(closed, vec![source, other]));
    let (_seeds, seeds) = watch::channel(Vec::new());
    let bound = time::Duration::from_secs(3);
    let bounds = reader::Bounds { config_apply: bound, drain: bound, evacuate: None };
    tokio::spawn(subscriber::run(view.clone(), seeds, bounds));
    let lists_other = || {
        let none = address::ActiveMembers::default();
        forwarder.active().names_not_in(&none).any(|name| name == "other")
    };
    let start = time::Instant::now();
    while !lists_other() {
        assert!(start.elapsed() < time::Duration::from_secs(1), "it is never listed");
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    while lists_other() {
        assert!(start.elapsed() < time::Duration::from_secs(5), "it is still listed");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}
