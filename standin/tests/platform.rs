//! The API of the platform, and the faults of its stand-in.

mod support;

use standin::platform::{self, list, store};
use std::collections;
use support::{Connection, LOOPBACK, Reply};
use tarragondoor::platform_api;

/// Longer than any test takes.
const NEVER_MS: u64 = 3_600_000;

async fn start_platform() -> platform::Platform {
    platform::Platform::start(LOOPBACK, platform::Faults::default()).await.unwrap()
}

fn put_request(expected_revision: u64, value: &str) -> platform_api::PutRequest {
    platform_api::PutRequest { expected_revision, value: value.to_owned(), lease: None }
}

fn put_body(expected_revision: u64, value: &str) -> String {
    serde_json::to_string(&put_request(expected_revision, value)).unwrap()
}

/// One call of each kind in the platform's API: method, path and body.
const CALLS: [(&str, &str, &str); 6] = [
    ("GET", "/v1/kv?key=k", ""),
    ("PUT", "/v1/kv?key=k", r#"{"expected_revision":0,"value":"v","lease":null}"#),
    ("GET", "/v1/watch?key=k&after_revision=0&wait_ms=1", ""),
    ("POST", "/v1/leases", r#"{"ttl_ms":60000}"#),
    ("POST", "/v1/leases/renew", r#"{"lease":1}"#),
    ("GET", "/v1/instances", ""),
];

#[tokio::test]
async fn api_replies_match_the_snapshot() {
    let platform = start_platform().await;
    let entry = r#"{"upsert":[{"workload":{"kind":"entry","instance":"e1","peer_address":
        "127.0.0.1:7"},"region":"r","failure_domain":"r-1","state":"live"}]}"#;
    let calls = [
        ("GET", "/v1/kv?key=a%2Fb", ""),
        ("PUT", "/v1/kv?key=a%2Fb", r#"{"expected_revision":1,"value":"x","lease":null}"#),
        ("PUT", "/v1/kv?key=a%2Fb", r#"{"expected_revision":0,"value":"x","lease":null}"#),
        ("PUT", "/v1/kv?key=a%2Fb", r#"{"expected_revision":0,"value":"y","lease":null}"#),
        ("GET", "/v1/kv?key=a/b", ""),
        ("PUT", "/v1/kv?key=other", r#"{"expected_revision":0,"value":"z","lease":null}"#),
        ("PUT", "/v1/kv?key=a/b", r#"{"expected_revision":1,"value":"y","lease":null}"#),
        ("GET", "/v1/kv?key=a/b", ""),
        ("GET", "/v1/kv", ""),
        ("PUT", "/v1/kv?key=a", "not json"),
        ("GET", "/v1/watch?key=a/b&after_revision=2&wait_ms=60000", ""),
        ("GET", "/v1/watch?key=a/b&after_revision=3&wait_ms=1", ""),
        ("GET", "/v1/watch?key=a/b", ""),
        ("PUT", "/v1/kv?key=leased", r#"{"expected_revision":0,"value":"l","lease":7}"#),
        ("POST", "/v1/leases", r#"{"ttl_ms":3600000}"#),
        ("PUT", "/v1/kv?key=leased", r#"{"expected_revision":0,"value":"l","lease":1}"#),
        ("POST", "/v1/leases/renew", r#"{"lease":1}"#),
        ("POST", "/v1/leases/renew", r#"{"lease":2}"#),
        ("POST", "/v1/leases", "{}"),
        ("GET", "/v1/instances", ""),
        ("POST", "/standin/instances", entry),
        ("GET", "/v1/instances", ""),
        ("POST", "/standin/instances", r#"{"remove":["e1"]}"#),
        ("GET", "/v1/instances", ""),
        ("POST", "/standin/instances", r#"{"drop":["e1"]}"#),
        ("POST", "/standin/faults", r#"{"unknown":1}"#),
        ("GET", "/standin/faults", ""),
        ("GET", "/v1/unknown", ""),
        ("GET", "/standin/calls", ""),
    ];
    let mut connection = Connection::open(platform.address()).await;
    let mut session = String::new();
    for (method, path, body) in calls {
        let reply = connection.call(method, path, body).await.unwrap();
        session += &format!("{method} {path} {body}\n  {} {}\n", reply.status, reply.body);
    }
    insta::assert_snapshot!(session);
}

#[tokio::test]
async fn a_refusing_outage_refuses_every_call() {
    let platform = start_platform().await;
    let outage = Some(platform::Outage::Refusing);
    platform.set_faults(platform::Faults { outage, ..Default::default() });
    for (method, path, body) in CALLS {
        let reply = support::call(platform.address(), method, path, body).await.unwrap();
        assert_eq!(reply.status, 503, "{method} {path}");
    }
    platform.set_faults(platform::Faults::default());
    let reply = support::call(platform.address(), "GET", "/v1/kv?key=k", "").await.unwrap();
    assert_eq!(reply.status, 404, "a refused write took effect");
    assert_eq!(platform.calls().total(), 7, "refused calls were not counted");
}

#[tokio::test]
async fn held_back_calls_are_not_answered() {
    let mute = platform::Faults { outage: Some(platform::Outage::Mute), ..Default::default() };
    let slow = platform::Faults { slow_ms: NEVER_MS, ..Default::default() };
    for faults in [mute, slow] {
        for (method, path, body) in CALLS {
            let platform = start_platform().await;
            platform.set_faults(faults);
            let address = platform.address();
            let held = tokio::spawn(support::call(address, method, path, body));
            support::wait_until("the call is received", || platform.calls().total() == 1).await;
            platform.set_faults(platform::Faults::default());
            for (method, path, body) in CALLS {
                let reply = support::call(address, method, path, body).await.unwrap();
                assert!(reply.status < 500, "{method} {path} after {faults:?}");
            }
            assert!(!held.is_finished(), "{method} {path} under {faults:?}");
        }
    }
    let platform = start_platform().await;
    platform.set_faults(platform::Faults { slow_ms: 5, ..Default::default() });
    let reply = support::call(platform.address(), "GET", "/v1/instances", "").await.unwrap();
    assert_eq!(reply.status, 200, "a delayed call failed");
}

#[tokio::test]
async fn a_call_whose_reply_is_lost_takes_effect() {
    let platform = start_platform().await;
    let address = platform.address();
    platform.set_faults(platform::Faults { lose_replies: 2, ..Default::default() });
    let grant = r#"{"ttl_ms":3600000}"#;
    assert_eq!(support::call(address, "PUT", "/v1/kv?key=k", &put_body(0, "v")).await, None);
    assert_eq!(support::call(address, "POST", "/v1/leases", grant).await, None);
    let written = support::call(address, "GET", "/v1/kv?key=k", "").await.unwrap();
    assert_eq!(written.json::<platform_api::Entry>().value, "v");
    let renewed = support::call(address, "POST", "/v1/leases/renew", r#"{"lease":1}"#).await;
    assert_eq!(renewed.unwrap().status, 200, "the lease was not granted");
    let again = support::call(address, "PUT", "/v1/kv?key=k", &put_body(0, "w")).await.unwrap();
    assert_eq!(again, Reply { status: 409, body: r#"{"revision":1}"#.to_owned() });
}

#[tokio::test]
async fn one_of_concurrent_writes_succeeds() {
    let platform = start_platform().await;
    let mut writers = Vec::new();
    for writer in 0..16 {
        let body = put_request(0, &writer.to_string());
        writers.push(support::spawn_call(platform.address(), "PUT", "/v1/kv?key=k", &body));
    }
    let mut statuses = Vec::new();
    for writer in writers {
        let reply = writer.await.unwrap().unwrap();
        assert_eq!(reply.json::<platform_api::PutReply>().revision, 1, "{reply:?}");
        statuses.push(reply.status);
    }
    statuses.sort();
    assert_eq!(statuses[..2], [200, 409]);
    assert_eq!(statuses[15], 409);
}

#[tokio::test]
async fn a_watch_waits_and_counts_as_one_call() {
    let platform = start_platform().await;
    let address = platform.address();
    let path = "/v1/watch?key=k&after_revision=0&wait_ms=60000";
    let watch = support::spawn_call(address, "GET", path, &());
    support::wait_until("the watch waits", || platform.calls().watches_waiting == 1).await;
    support::call(address, "PUT", "/v1/kv?key=other", &put_body(0, "o")).await.unwrap();
    assert!(!watch.is_finished(), "a write to another key ended the watch");
    support::call(address, "PUT", "/v1/kv?key=k", &put_body(0, "v")).await.unwrap();
    let entry = watch.await.unwrap().unwrap().json::<platform_api::Entry>();
    assert_eq!(entry, platform_api::Entry { value: "v".to_owned(), revision: 2 });

    let path = "/v1/watch?key=k&after_revision=2&wait_ms=60000";
    let watch = support::spawn_call(address, "GET", path, &());
    support::wait_until("the watch waits", || platform.calls().watches_waiting == 1).await;
    let outage = Some(platform::Outage::Refusing);
    platform.set_faults(platform::Faults { outage, ..Default::default() });
    assert_eq!(watch.await.unwrap().unwrap().status, 503, "the outage did not end the watch");
    assert_eq!(platform.calls().watches, 2);
    assert_eq!(platform.calls().watches_waiting, 0);
}

#[test]
fn leases_expire() {
    let leased = |lease| platform_api::PutRequest { lease: Some(lease), ..put_request(0, "v") };
    let mut store = store::Store::default();
    let lease = store.grant(100, 50).unwrap();
    assert_eq!(store.put(100, "k", leased(lease)), Ok(1));
    assert!(store.get(149, "k").is_some());
    assert_eq!(store.renew(149, lease), Ok(()));
    assert!(store.get(198, "k").is_some(), "the lease expired too early after its renewal");
    assert!(store.get(199, "k").is_none(), "the key outlived its lease");
    assert_eq!(store.renew(199, lease), Err(store::StoreError::LeaseExpired));
    assert_eq!(store.put(199, "k", leased(lease)), Err(store::StoreError::LeaseExpired));
    assert_eq!(store.put(199, "k", put_request(1, "w")), Err(store::StoreError::Conflict(0)));
    assert_eq!(store.put(199, "k", put_request(0, "w")), Ok(2), "a revision was reused");
    let large = "v".repeat(platform_api::VALUE_MAX_BYTES + 1);
    assert_eq!(store.put(199, "l", put_request(0, &large)), Err(store::StoreError::TooLarge));
}

quickcheck::quickcheck! {
    fn writes_are_conditional(writes: Vec<(u8, u8)>) -> bool {
        let mut store = store::Store::default();
        let mut model = collections::BTreeMap::new();
        let mut last = 0;
        for (key, expected) in writes {
            let key = (key % 4).to_string();
            let expected = u64::from(expected % 8);
            let current_revision = model.get(&key).copied().unwrap_or(0);
            let outcome = store.put(0, &key, put_request(expected, "v"));
            if expected == current_revision {
                last += 1;
                model.insert(key.clone(), last);
                if outcome != Ok(last) {
                    return false;
                }
            } else if outcome != Err(store::StoreError::Conflict(current_revision)) {
                return false;
            }
            let seen = store.get(0, &key).map_or(0, |entry| entry.revision);
            if seen != model.get(&key).copied().unwrap_or(0) {
                return false;
            }
        }
        true
    }
}

#[test]
fn the_list_lags() {
    let change = |text: &str| serde_json::from_str::<list::ListChange>(text).unwrap();
    let upsert = |state: &str| {
        change(&format!(
            r#"{{"upsert":[{{"workload":{{"kind":"entry","instance":"e1","peer_address":
            "127.0.0.1:7"}},"region":"r","failure_domain":"r-1","state":"{state}"}}]}}"#
        ))
    };
    let mut list = list::LaggingList::default();
    list.change(100, upsert("live"));
    list.change(120, upsert("leaving"));
    list.change(140, change(r#"{"remove":["e1"]}"#));
    let mut seen = String::new();
    for (now_ms, lag_ms) in [(100, 10), (109, 10), (110, 10), (130, 10), (150, 11), (150, 0)] {
        let shown = list.read(now_ms, lag_ms);
        let states: Vec<_> = shown.instances.iter().map(|i| i.state.to_string()).collect();
        seen += &format!("{now_ms} lag {lag_ms}: version {} {states:?}\n", shown.version);
    }
    insta::assert_snapshot!(seen, @r#"
    100 lag 10: version 0 []
    109 lag 10: version 0 []
    110 lag 10: version 1 ["live"]
    130 lag 10: version 2 ["leaving"]
    150 lag 11: version 2 ["leaving"]
    150 lag 0: version 3 []
    "#);
}
