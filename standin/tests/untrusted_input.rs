//! Untrusted input to an instance's ports changes nothing, and declaring, confirming and reading the status
//! require the operators' token.

mod deployment;

use deployment::fixture;
use serde_json::Value;
use std::net;
use std::time;
use tarragondoor::caller_api;
use tarragondoor::ids;
use tarragondoor::member;
use tarragondoor::member::message;
use tarragondoor::seal;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use xxhash_rust::xxh3;

const SEED: u64 = 20_260_907;
const ROUND_COUNT: u64 = 60;
const DATAGRAM_COUNT: u64 = 400;
const HALF_OPEN_COUNT: usize = 50;
/// The bytes of the deployment's cluster key.
const KEY_BYTES: [u8; 32] = [7; 32];

/// Up to 2 KB of pseudorandom bytes, derived from [`SEED`] and `number`.
fn random_bytes(number: u64) -> Vec<u8> {
    let draw = |index: u64| xxh3::xxh3_64_with_seed(&(number << 20 | index).to_le_bytes(), SEED);
    let length = (draw(0) % 2_048) as usize;
    let mut bytes = Vec::with_capacity(length + 8);
    let mut index = 1;
    while bytes.len() < length {
        bytes.extend_from_slice(&draw(index).to_le_bytes());
        index += 1;
    }
    bytes
}

/// Sends bytes and closes the connection. Errors are ignored: the instance may close it first.
async fn send_bytes(address: net::SocketAddr, bytes: &[u8]) {
    let mut stream = tokio::net::TcpStream::connect(address).await.expect("the port is open");
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(time::Duration::from_millis(100), read).await;
}

struct Request<'a> {
    method: &'a str,
    path: &'a str,
    token: Option<&'a str>,
    body: &'a str,
}

/// Sends a request over a new connection. Returns the status code and the body, null if it is not JSON.
async fn send_request(address: net::SocketAddr, request: &Request<'_>) -> (u16, Value) {
    let mut text = format!("{} {} HTTP/1.1\r\nhost: test\r\n", request.method, request.path);
    text.push_str("connection: close\r\ncontent-type: application/json\r\n");
    if let Some(token) = request.token {
        text.push_str(&format!("authorization: {token}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{}", request.body.len(), request.body));
    let mut stream = tokio::net::TcpStream::connect(address).await.expect("the port is open");
    stream.write_all(text.as_bytes()).await.expect("the request is sent");
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    let read = tokio::time::timeout(deployment::WAIT_MAX, read).await;
    read.expect("the answer arrives in time").expect("the answer can be read");
    let text = String::from_utf8_lossy(&bytes);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or_else(|| panic!("no answer: {text}"));
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    (
        status.expect("the response has a status code"),
        serde_json::from_str(body).unwrap_or_default(),
    )
}

/// The members and their revisions, as an instance reports them.
fn read_status(address: net::SocketAddr) -> Value {
    let status = deployment::run_client(address, &["--json", "status"]);
    assert_eq!(status.code, 0, "{}", status.text);
    serde_json::from_str(&status.text).expect("the status is JSON")
}

/// Checks that the first instance still serves and that its members and revisions are unchanged.
async fn assert_unchanged(fixture: &fixture::Fixture, before: &Value, case: &str) {
    let address = fixture.instances[0].address;
    let body = deployment::search_request("packets", "late runner");
    let answer = deployment::call(address, "/v1/search", Some(&body)).await;
    let answer = answer.unwrap_or_else(|| panic!("{case}: no answer"));
    assert_eq!(answer.status, 200, "{case}: {answer:?}");
    assert_eq!(answer.body.pointer("/coverage/missing"), Some(&serde_json::json!([])), "{case}");
    assert_eq!(read_status(address), *before, "{case}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn arbitrary_bytes_change_nothing() {
    let fixture = fixture::Fixture::start(500).await;
    let target = &fixture.instances[0];
    let before = read_status(target.address);

    let mut half_open = Vec::new();
    for address in [target.address, target.peer_address] {
        for number in 0..HALF_OPEN_COUNT {
            let mut stream =
                tokio::net::TcpStream::connect(address).await.expect("the port is open");
            let part = &b"POST /v1/search HTTP/1.1\r\ncontent-length: 9000\r\n\r\n{"[..number];
            stream.write_all(part).await.expect("the bytes are sent");
            half_open.push(stream);
        }
    }
    assert_unchanged(&fixture, &before, "half-open connections").await;

    for number in 0..ROUND_COUNT {
        send_bytes(target.address, &random_bytes(number)).await;
        let mut framed = b"POST /v1/run HTTP/1.1\r\ncontent-length: 100\r\n\r\n".to_vec();
        framed.extend_from_slice(&random_bytes(number));
        send_bytes(target.address, &framed).await;
        send_bytes(target.peer_address, &random_bytes(number)).await;
    }
    assert_unchanged(&fixture, &before, "bytes over TCP").await;

    let socket = net::UdpSocket::bind("127.0.0.1:0").expect("the socket is bound");
    for number in 0..DATAGRAM_COUNT {
        socket.send_to(&random_bytes(number), target.peer_address).expect("the bytes are sent");
    }
    socket.send_to(&[], target.peer_address).expect("the bytes are sent");
    assert_unchanged(&fixture, &before, "datagrams").await;
    drop(half_open);
    assert_unchanged(&fixture, &before, "half-open connections closed").await;
}

/// A datagram that announces a nonexistent member, sealed with `key`.
fn member_announcement(key: [u8; 32], fixture: &fixture::Fixture) -> Vec<u8> {
    let name: ids::InstanceName = "entry-9".parse().expect("the name is valid");
    let target = &fixture.instances[1];
    let now_ms = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .expect("the clock is past the Unix epoch");
    let now_ms = now_ms.as_millis() as u64;
    let boot = ids::BootId(now_ms * 1_000);
    let record = member::Record {
        name: name.clone(),
        boot,
        incarnation: ids::Incarnation(0),
        state: member::State::Alive,
        peer_address: target.peer_address,
        caller_address: target.address,
        region: "north".parse().expect("the name is valid"),
        failure_domain: "north-1".parse().expect("the name is valid"),
    };
    let message = message::Message {
        from: name,
        boot,
        settings_status: member::SettingsStatus::default(),
        kind: message::Kind::Gossip,
        updates: vec![record],
    };
    let key = seal::ClusterKey::from_bytes(key);
    seal::Sealer::new(key, boot, now_ms).seal(&message.encode(), now_ms)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn datagram_sealed_with_another_key_is_rejected() {
    let fixture = fixture::Fixture::start(500).await;
    let target = &fixture.instances[0];
    let before = read_status(target.address);
    let socket = net::UdpSocket::bind("127.0.0.1:0").expect("the socket is bound");
    for _ in 0..20 {
        let datagram = member_announcement([9; 32], &fixture);
        socket.send_to(&datagram, target.peer_address).expect("the bytes are sent");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    assert_unchanged(&fixture, &before, "another key").await;
    // The same datagram sealed with the right key is accepted, so only the key was wrong before.
    socket
        .send_to(&member_announcement(KEY_BYTES, &fixture), target.peer_address)
        .expect("the bytes are sent");
    deployment::wait_for("the announced member", async || {
        let instances = read_status(target.address)["instances"].as_array()?.len();
        (instances == 4).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn invalid_and_unauthorized_requests_are_rejected() {
    let fixture = fixture::Fixture::start(500).await;
    let address = fixture.instances[0].address;
    let before = read_status(address);
    let search = |service: &str, deadline_ms: u32| {
        let mut search = deployment::search_request(service, "late runner");
        search["deadline_ms"] = deadline_ms.into();
        search.to_string()
    };
    let large = "x".repeat(caller_api::BODY_MAX_BYTES + 1);
    let declare = serde_json::json!({
        "document": include_str!("data/settings-changed.jsonc"),
    })
    .to_string();
    let declared = deployment::run_client(
        address,
        &["--json", "declare", "tests/data/settings-changed.jsonc"],
    );
    let plan: Value = serde_json::from_str(&declared.text).expect("the plan is JSON");
    let confirm = serde_json::json!({ "plan": plan["plan"], "wait_ms": 1_000 }).to_string();
    let text = |body: &str| body.to_owned();

    let mut cases = vec![
        ("/v1/search", None, large.clone(), 413, "too_large"),
        ("/v1/run", None, large, 413, "too_large"),
        ("/v1/search", None, text("{\"service\":"), 400, "bad_request"),
        ("/v1/run", None, text("[1, 2"), 400, "bad_request"),
        ("/v1/search", None, text(""), 400, "bad_request"),
        ("/v1/search", None, search("no-such-service", 1_000), 404, "unknown_service"),
        ("/v1/search", None, search("packets", 0), 504, "deadline_past"),
    ];
    let longer = format!("Bearer {}x", deployment::TOKEN);
    let shorter = format!("Bearer {}", &deployment::TOKEN[1..]);
    let tokens = [None, Some("Bearer "), Some(deployment::TOKEN), Some(&longer), Some(&shorter)];
    for token in tokens {
        for (path, body) in [
            ("/v1/operator/plans", declare.clone()),
            ("/v1/operator/confirm", confirm.clone()),
            ("/v1/operator/status", String::new()),
        ] {
            cases.push((path, token, body, 401, "unauthorized"));
        }
    }
    for (path, token, body, status, code) in &cases {
        let method = if path.ends_with("status") { "GET" } else { "POST" };
        let request = Request { method, path, token: *token, body };
        let (received, answer) = send_request(address, &request).await;
        let start: String = body.chars().take(40).collect();
        assert_eq!(received, *status, "{path} {token:?} {start}: {answer}");
        assert_eq!(answer["code"], *code, "{path} {token:?} {start}: {answer}");
    }
    assert_unchanged(&fixture, &before, "rejected requests").await;

    // The same plan is accepted with the token, so only the token was missing before.
    let token = format!("Bearer {}", deployment::TOKEN);
    let request = Request {
        method: "POST",
        path: "/v1/operator/confirm",
        token: Some(&token),
        body: &confirm.replace("1000", "30000"),
    };
    let (status, answer) = send_request(address, &request).await;
    assert_eq!((status, &answer["state"]), (200, &Value::from("accepted")), "{answer}");
}
