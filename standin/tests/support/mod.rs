//! Fixtures of the tests of the stand-ins: requests, single HTTP connections, and waiting for a condition.

#![allow(dead_code)]

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1;
use hyper_util::rt;
use serde::{Serialize, de};
use standin::searcher;
use std::net;
use std::time;
use tarragondoor::{ids, searcher_api, snapshot};
use tokio::task;

const WAIT_MAX: time::Duration = time::Duration::from_secs(30);
const POLL_PERIOD: time::Duration = time::Duration::from_millis(2);

pub const LOOPBACK: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);

pub const RUN_REQUEST: &str = r#"{"attempt":1,"service":"beans","operation":"claim",
    "subject":"packet-7","rank":"urgent","timeout_ms":3600000}"#;

pub const SEARCH_REQUEST: &str = r#"{"attempt":1,"service":"beans","snapshot":{"index_version":1,
    "map_version":1},"shards":[0,1],"query":"heirloom","limit":2,"rank":"urgent",
    "timeout_ms":3600000}"#;

pub const FIRST_HOLDING: &str = r#"{"snapshot":{"index_version":1,"map_version":1},
    "shard_count":3,"shards":[0,1]}"#;

pub const SECOND_HOLDING: &str = r#"{"snapshot":{"index_version":2,"map_version":1},
    "shard_count":3,"shards":[1,2]}"#;

pub fn parse<T: de::DeserializeOwned>(text: &str) -> T {
    serde_json::from_str(text).unwrap_or_else(|e| panic!("{e} in {text}"))
}

pub fn run_request(attempt: u64) -> searcher_api::RunRequest {
    searcher_api::RunRequest { attempt: ids::AttemptId(attempt), ..parse(RUN_REQUEST) }
}

pub fn search_request(attempt: u64) -> searcher_api::SearchRequest {
    searcher_api::SearchRequest { attempt: ids::AttemptId(attempt), ..parse(SEARCH_REQUEST) }
}

/// The configuration of a backend server with one slot and a queue of one request.
pub fn config(mean_us: u32) -> searcher::Config {
    searcher::Config {
        searcher: "beans-s00".parse().unwrap(),
        service: "beans".parse().unwrap(),
        listen: LOOPBACK,
        slots: 1,
        queue: 1,
        connections: 100,
        open_ms: 0,
        mean_us,
        holdings: vec![parse::<snapshot::Holding>(FIRST_HOLDING)],
        seed: 1,
    }
}

pub async fn start_searcher(config: searcher::Config) -> searcher::Searcher {
    searcher::Searcher::start(config, searcher::Faults::default()).await.unwrap()
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub body: String,
}

impl Reply {
    pub fn json<T: de::DeserializeOwned>(&self) -> T {
        parse(&self.body)
    }
}

/// One HTTP/1.1 connection.
pub struct Connection(http1::SendRequest<Full<Bytes>>);

impl Connection {
    pub async fn open(address: net::SocketAddr) -> Self {
        let stream = tokio::net::TcpStream::connect(address).await.unwrap();
        let (sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        Self(sender)
    }

    /// Sends a request and returns the reply; `None` if the connection breaks first.
    pub async fn call(&mut self, method: &str, path: &str, body: &str) -> Option<Reply> {
        let body = Full::new(Bytes::from(body.to_owned()));
        let request = hyper::Request::builder().method(method).uri(path).header("host", "test");
        let answer = async {
            self.0.ready().await.ok()?;
            let response = self.0.send_request(request.body(body).unwrap()).await.ok()?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.ok()?.to_bytes();
            Some(Reply { status, body: String::from_utf8(body.to_vec()).unwrap() })
        };
        tokio::time::timeout(WAIT_MAX, answer).await.expect("the reply arrives in time")
    }
}

/// Sends a request over a new connection; `None` if the connection breaks before the reply.
pub async fn call(address: net::SocketAddr, method: &str, path: &str, body: &str) -> Option<Reply> {
    Connection::open(address).await.call(method, path, body).await
}

/// Posts JSON over a new connection and returns the reply; panics if the connection breaks first.
pub async fn post(address: net::SocketAddr, path: &str, body: &impl Serialize) -> Reply {
    call(address, "POST", path, &serde_json::to_string(body).unwrap())
        .await
        .expect("the connection breaks before the reply")
}

/// Spawns a task that sends JSON over a new connection.
pub fn spawn_call(
    address: net::SocketAddr,
    method: &'static str,
    path: &'static str,
    body: &impl Serialize,
) -> task::JoinHandle<Option<Reply>> {
    let body = serde_json::to_string(body).unwrap();
    tokio::spawn(async move { call(address, method, path, &body).await })
}

/// Polls until `condition` holds; panics after [`WAIT_MAX`].
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = time::Instant::now();
    while !condition() {
        assert!(started.elapsed() < WAIT_MAX, "timed out: {what}");
        tokio::time::sleep(POLL_PERIOD).await;
    }
}
