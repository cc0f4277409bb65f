//! Case 9: a version of the configuration withdraws a key and adds a tenant whose name has a space.

use crate::client;
use crate::instance;
use crate::report;
use crate::searcher;
use crate::store;
use std::io;
use std::net;
use std::sync;
use std::thread;
use std::time;

/// `chorwerk-search-grown`, one machine of it.
pub const SHEET: instance::Sheet = instance::Sheet {
    zones: &[("vevey-1", "westschweiz"), ("thun-1", "zentralland"), ("locarno-1", "suedalpen")],
    memory_mb: 160,
    descriptors_max: 4_100,
    link_mbps: 20.0,
    cpu_share: 0.12,
    drain_ms: 5_000,
    config_apply_ms: 5_000,
    stability_ms: 6_000,
    retry_slack: 172,
};
/// `notenhort` of that deployment.
const PROFILE: searcher::Profile = searcher::Profile {
    slots: 4,
    queue: 16,
    connections_max: 460,
    work: time::Duration::from_millis(20),
    keep_alive_s: None,
};
const SEARCHERS: usize = 15;
const WITHDRAWN: &str = "k22xwithdrawn";
const KEPT: &str = "k22xkept";
const ADDED: &str = "k22xadded";
const REQUESTS: usize = 40;

/// Starts the deployment with these tenants, and an instance.
pub fn start(
    tenants: &[(&str, &[&str])],
) -> io::Result<(sync::Arc<store::Store>, searcher::Record, instance::Instance)> {
    let store = store::Store::start();
    let record = searcher::Record::default();
    let mut places = Vec::new();
    for number in 0..SEARCHERS {
        let (zone, _) = SHEET.zones[number % SHEET.zones.len()];
        places.push((format!("i-{number:08x}"), "kafi81c".to_owned(), zone.to_owned()));
    }
    let searchers = searcher::start(&places, SEARCHERS, PROFILE, &record);
    store.put("op/config", &config(7, tenants));
    for searcher in &searchers {
        store.put(&format!("servers/{}", searcher.id), &searcher.entry(PROFILE.slots));
    }
    let instance = instance::Instance::start(SHEET, store.address, "front-vevey-1-1")?;
    Ok((store, record, instance))
}

pub fn play(report: &report::Report, has_trouble: bool) -> io::Result<report::Verdict> {
    let (store, record, mut instance) = start(&[("kami770", &[WITHDRAWN, KEPT])])?;
    report.line("the instance is ready");
    thread::sleep(time::Duration::from_millis(SHEET.stability_ms + 500));
    for key in [WITHDRAWN, KEPT, ADDED] {
        let (served, unauthorized) = ask(instance.front, key, 5);
        report.say(format!("before: {key}: {served} served, {unauthorized} answered 401, of 5"));
    }
    let name = if has_trouble { "Kammerchor Basel" } else { "kammerchor-basel" };
    let version = config(12, &[("kami770", &[KEPT]), (name, &[ADDED])]);
    store.put("op/config", &version);
    report.say(format!("version 12 acknowledged: {version}"));
    thread::sleep(time::Duration::from_millis(SHEET.config_apply_ms + 1_000));
    let received_before = record.lock().unwrap().len();
    let (withdrawn_served, withdrawn_refused) = ask(instance.front, WITHDRAWN, REQUESTS);
    let (added_served, added_refused) = ask(instance.front, ADDED, REQUESTS);
    let (kept_served, _) = ask(instance.front, KEPT, REQUESTS);
    for received in &record.lock().unwrap()[received_before..] {
        report.line(format!(
            "{} at {}: ran {}, X-Tenant-Id {:?}, X-Credential {:?}, {}",
            received.id,
            received.searcher,
            received.has_run,
            received.tenant,
            received.key,
            received.first_line
        ));
    }
    report.say(format!(
        "later than configApplyMs: the withdrawn key: {withdrawn_served} served, {withdrawn_refused} answered 401; the added key: \
         {added_served} served, {added_refused} answered 401; the kept key: {kept_served} served, of {REQUESTS} each"
    ));
    let is_ready = instance.restart(SHEET, time::Duration::from_secs(15))?;
    report.say(format!("after a restart: ready within 15 s: {is_ready}"));
    let is_broken = withdrawn_served > 0 || added_refused > 0;
    Ok(if is_broken { report::Verdict::Broken } else { report::Verdict::Held })
}

/// Sends requests with a key. Returns how many were served, and how many were answered 401.
pub fn ask(front: net::SocketAddr, key: &str, count: usize) -> (usize, usize) {
    let (mut served, mut unauthorized) = (0, 0);
    for _ in 0..count {
        let id = client::next_id();
        let headers = [("X-Credential", key)];
        let request = client::request("GET", "/goka902/2f", &id, 4_000, &headers, b"");
        let status = status(front, &request);
        served += usize::from(status == 200);
        unauthorized += usize::from(status == 401);
    }
    (served, unauthorized)
}

/// Sends a request on a new connection. Returns the status of its answer, 0 without one.
pub fn status(front: net::SocketAddr, request: &[u8]) -> u16 {
    let connection = client::Connection::open(front, time::Duration::from_secs(1));
    let answer = connection.ok().and_then(|mut connection| {
        connection.send(request).ok()?;
        connection.receive(time::Duration::from_secs(4))
    });
    answer.map_or(0, |answer| answer.status())
}

pub fn config(version: u64, tenants: &[(&str, &[&str])]) -> String {
    let mut texts = Vec::new();
    for (name, keys) in tenants {
        let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        texts.push(format!(
            r#"{{"name":"{name}","apiKeys":[{}],"priority":0,"ratePerS":0,"burst":0,"allowedRegions":[]}}"#,
            keys.join(",")
        ));
    }
    format!(
        concat!(
            r#"{{"version":{},"routes":["#,
            r#"{{"name":"r-get","host":"shop.example","prefix":"/goka902/","routeType":"idempotent","timeoutMs":4000,"#,
            r#""targetLatencyMs":1500,"priority":2,"service":"kafi81c","attempts":2,"authExempt":false,"allowedRegions":[]}}],"#,
            r#""services":[{{"name":"kafi81c","healthPath":"/health","maxConnections":460,"protocol":"h1","tls":false,"#,
            r#""coldStartS":3.0,"coldPerS":0.0}}],"#,
            r#""limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"#,
            r#""tenants":[{}]}}"#
        ),
        version,
        texts.join(",")
    )
}
