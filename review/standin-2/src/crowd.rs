//! What the cases of a crowd have in common: one of the smallest machines of `pigmentum-search-grown` is left, and some of
//! that deployment's clients ask at the same moment, once a second, each on its own kept connection.

use crate::client;
use crate::http;
use crate::instance;
use crate::report;
use crate::searcher;
use crate::store;
use std::io;
use std::net;
use std::sync;
use std::time;

pub const SHEET: instance::Sheet = instance::Sheet {
    zones: &[
        ("sofia-lozenets", "sofia"),
        ("plovdiv-trakia", "plovdiv"),
        ("varna-asparuhovo", "varna"),
    ],
    memory_mb: 112,
    descriptors_max: 2_870,
    link_mbps: 14.0,
    cpu_share: 0.084,
    drain_ms: 5_000,
    config_apply_ms: 5_000,
    stability_ms: 6_000,
    retry_slack: 278,
};
/// The searchers of `tint-finder` and `batch-ledger`, as far as they matter here.
const SHARD_PROFILE: searcher::Profile = searcher::Profile {
    slots: 4,
    queue: 24,
    connections_max: 105,
    work: time::Duration::from_millis(15),
    keep_alive_s: Some(15),
};
const SINGLE_PROFILE: searcher::Profile = searcher::Profile {
    slots: 3,
    queue: 12,
    connections_max: 735,
    work: time::Duration::from_millis(120),
    keep_alive_s: Some(15),
};
const SHARDS: usize = 36;
const REPLICAS: usize = 3;
const SINGLES: usize = 13;
const SHARDS_PER_THREAD: usize = 9;
/// The timeout of the route for the searches.
const SEARCH_TIMEOUT_MS: u64 = 1_500;

pub struct Deployment {
    pub instance: instance::Instance,
    pub record: searcher::Record,
    _store: sync::Arc<store::Store>,
}

pub fn start(report: &report::Report) -> io::Result<Deployment> {
    let store = store::Store::start();
    let record = searcher::Record::default();
    let mut shards = Vec::new();
    for shard in 0..SHARDS {
        for replica in 0..REPLICAS {
            let id = format!("i-{shard:02}{replica}a91c2");
            shards.push((id, shard_name(shard), SHEET.zones[replica].0.to_owned()));
        }
    }
    let mut singles = Vec::new();
    for number in 0..SINGLES {
        let (zone, _) = SHEET.zones[number % SHEET.zones.len()];
        singles.push((format!("i-{number:02}b02d9"), "kafi81c".to_owned(), zone.to_owned()));
    }
    store.put("op/config", &config());
    let groups = [(shards, SHARDS_PER_THREAD, SHARD_PROFILE), (singles, SINGLES, SINGLE_PROFILE)];
    for (places, per_thread, profile) in groups {
        for searcher in searcher::start(&places, per_thread, profile, &record) {
            store.put(&format!("servers/{}", searcher.id), &searcher.entry(profile.slots));
        }
    }
    let instance = instance::Instance::start(SHEET, store.address, "front-sofia-lozenets-1")?;
    report.say(format!(
        "the instance is ready; {SHARDS} shards with {REPLICAS} searchers each, memoryMb = {}, maxFds = {}",
        SHEET.memory_mb, SHEET.descriptors_max
    ));
    Ok(Deployment { instance, record, _store: store })
}

fn shard_name(shard: usize) -> String {
    format!("huvo{shard:02}a")
}

fn config() -> String {
    let names: Vec<String> =
        (0..SHARDS).map(|shard| format!("\"{}\"", shard_name(shard))).collect();
    let mut services = Vec::new();
    for name in &names {
        services.push(service(name, SHARD_PROFILE));
    }
    services.push(service("\"kafi81c\"", SINGLE_PROFILE));
    format!(
        concat!(
            r#"{{"version":7,"routes":["#,
            r#"{{"name":"r-all","host":"shop.example","prefix":"/rany330/","routeType":"idempotent","timeoutMs":{},"#,
            r#""targetLatencyMs":200,"priority":1,"gather":[{}],"attempts":2,"topK":50,"minShardRatio":0.95}},"#,
            r#"{{"name":"r-post","host":"shop.example","prefix":"/tida117/","routeType":"non_idempotent","timeoutMs":2000,"#,
            r#""targetLatencyMs":500,"priority":0,"service":"kafi81c","attempts":2}}],"#,
            r#""services":[{}],"#,
            r#""limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
        ),
        SEARCH_TIMEOUT_MS,
        names.join(","),
        services.join(",")
    )
}

fn service(quoted_name: &str, profile: searcher::Profile) -> String {
    let connections_max = profile.connections_max;
    format!(
        r#"{{"name":{quoted_name},"healthPath":"/health","maxConnections":{connections_max},"protocol":"h1","tls":false}}"#
    )
}

/// Clients with a kept connection each.
pub fn connect(front: net::SocketAddr, count: usize) -> io::Result<Vec<client::Connection>> {
    let timeout = time::Duration::from_secs(1);
    (0..count).map(|_| client::Connection::open(front, timeout)).collect()
}

/// What became of a search.
pub struct Searched {
    pub id: String,
    /// `None` without an answer within the client's deadline.
    pub answer: Option<http::Message>,
    pub is_closed: bool,
}

/// Sends a search on each connection at the same moment, and waits for the answers.
pub fn search_at_once(
    connections: &mut [client::Connection],
    headers: &[(&str, &str)],
) -> Vec<Searched> {
    let mut ids = Vec::new();
    for connection in &mut *connections {
        let id = client::next_id();
        let path = "/rany330/2f";
        let request = client::request("GET", path, &id, SEARCH_TIMEOUT_MS, headers, b"");
        // A connection that is closed has no answer either.
        let _ = connection.send(&request);
        ids.push(id);
    }
    let end = time::Instant::now() + time::Duration::from_millis(SEARCH_TIMEOUT_MS + 500);
    let mut searched = Vec::new();
    for (connection, id) in connections.iter_mut().zip(ids) {
        let left = end.saturating_duration_since(time::Instant::now());
        let answer = connection.receive(left.max(time::Duration::from_millis(1)));
        searched.push(Searched { id, answer, is_closed: connection.is_closed });
    }
    searched
}

/// Counts the statuses; 0 stands for no answer.
pub fn statuses(searched: &[Searched]) -> String {
    let mut counts: std::collections::BTreeMap<u16, usize> = std::collections::BTreeMap::new();
    for one in searched {
        let status = one.answer.as_ref().map_or(0, |answer| answer.status());
        *counts.entry(status).or_default() += 1;
    }
    let texts: Vec<String> =
        counts.iter().map(|(status, count)| format!("{status}: {count}")).collect();
    texts.join(", ")
}
