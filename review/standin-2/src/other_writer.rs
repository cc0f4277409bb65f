//! Case 6: an entry of another writer, with fields missing, stands among the searchers' entries.

use crate::client;
use crate::instance;
use crate::report;
use crate::searcher;
use crate::store;
use std::io;
use std::sync::mpsc;
use std::thread;
use std::time;

/// `sprout-search`.
const SHEET: instance::Sheet = instance::Sheet {
    zones: &[("north-uk-a", "north-uk"), ("west-eu-b", "west-eu"), ("nordic-c", "nordic")],
    memory_mb: 260,
    descriptors_max: 4_100,
    link_mbps: 1_000.0,
    cpu_share: 0.25,
    drain_ms: 3_000,
    config_apply_ms: 3_000,
    stability_ms: 5_000,
    retry_slack: 52,
};
/// `ledger-view` of that deployment, with less work for each request.
const PROFILE: searcher::Profile = searcher::Profile {
    slots: 6,
    queue: 24,
    connections_max: 96,
    work: time::Duration::from_millis(50),
    keep_alive_s: None,
};
const SEARCHERS: usize = 13;
const SERVICE: &str = "kafi81c";
const CONFIG: &str = concat!(
    r#"{"version":7,"routes":["#,
    r#"{"name":"r-get","host":"shop.example","prefix":"/goka902/","routeType":"idempotent","timeoutMs":6000,"#,
    r#""targetLatencyMs":2000,"priority":2,"service":"kafi81c","attempts":2},"#,
    r#"{"name":"r-post","host":"shop.example","prefix":"/tida117/","routeType":"non_idempotent","timeoutMs":6000,"#,
    r#""targetLatencyMs":2000,"priority":2,"service":"kafi81c","attempts":2}],"#,
    r#""services":[{"name":"kafi81c","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}],"#,
    r#""limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#
);
const REQUESTS_PER_S: u64 = 45;
const CALM_S: u64 = 7;
const JUDGED_S: u64 = 10;

/// The end of one request.
struct Outcome {
    is_judged: bool,
    status: u16,
    is_from_searcher: bool,
}

pub fn play(report: &report::Report, has_trouble: bool) -> io::Result<report::Verdict> {
    let store = store::Store::start();
    let record = searcher::Record::default();
    let mut places = Vec::new();
    for number in 0..SEARCHERS {
        let (zone, _) = SHEET.zones[number % SHEET.zones.len()];
        places.push((format!("i-{number:08x}"), SERVICE.to_owned(), zone.to_owned()));
    }
    let searchers = searcher::start(&places, SEARCHERS, PROFILE, &record);
    store.put("op/config", CONFIG);
    for searcher in &searchers {
        store.put(&format!("servers/{}", searcher.id), &searcher.entry(PROFILE.slots));
    }
    let (other, answered) = searcher::start_other_server();
    let instance = instance::Instance::start(SHEET, store.address, "front-north-uk-a-1")?;
    report.line("the instance is ready");
    let (sender, outcomes) = mpsc::channel();
    let started = time::Instant::now();
    let mut has_entry = !has_trouble;
    for number in 0..(CALM_S + JUDGED_S) * REQUESTS_PER_S {
        let at = started + time::Duration::from_millis(number * 1_000 / REQUESTS_PER_S);
        thread::sleep(at.saturating_duration_since(time::Instant::now()));
        let is_judged = number >= CALM_S * REQUESTS_PER_S;
        if is_judged && !has_entry {
            // No `version`, `coldRemainingMs` and `sequence`.
            let entry = format!(
                r#"{{"service":"{SERVICE}","address":"{other}","zone":"north-uk-a","slots":6,"state":"ready"}}"#
            );
            store.put("servers/inventory-export", &entry);
            report.say(format!("written to servers/inventory-export: {entry}"));
            has_entry = true;
        }
        let sender = sender.clone();
        let front = instance.front;
        thread::spawn(move || {
            let outcome = send(front, number, is_judged);
            // The receiver lives until all requests have ended.
            let _ = sender.send(outcome);
        });
    }
    drop(sender);
    let verdict = judge(report, &outcomes, &answered);
    for received in record.lock().unwrap().iter() {
        report.line(format!("{} at {}: ran {}", received.id, received.searcher, received.has_run));
    }
    drop(instance);
    Ok(verdict)
}

fn send(front: std::net::SocketAddr, number: u64, is_judged: bool) -> (String, Outcome) {
    let id = client::next_id();
    let request = match number % 4 {
        0 => client::request("POST", "/tida117/claim", &id, 6_000, &[], b"one packet of beans"),
        _ => client::request("GET", "/goka902/2f", &id, 6_000, &[], b""),
    };
    let timeout = time::Duration::from_secs(6);
    let answer = client::Connection::open(front, time::Duration::from_secs(1)).ok();
    let answer = answer.and_then(|mut connection| {
        connection.send(&request).ok()?;
        connection.receive(timeout)
    });
    let status = answer.as_ref().map_or(0, |answer| answer.status());
    let is_from_searcher = answer.as_ref().is_some_and(|answer| answer.has("x-server-stamp"));
    let text = answer.map_or("no answer".to_owned(), |answer| {
        format!("{} {:?}", answer.first_line, String::from_utf8_lossy(&answer.body))
    });
    (format!("{id} {text}"), Outcome { is_judged, status, is_from_searcher })
}

fn judge(
    report: &report::Report,
    outcomes: &mpsc::Receiver<(String, Outcome)>,
    answered: &searcher::OtherRecord,
) -> report::Verdict {
    let (mut count, mut denied, mut served, mut early_denied) = (0, 0, 0, 0);
    for (text, outcome) in outcomes {
        report.line(&text);
        let is_denied = (300..500).contains(&outcome.status)
            && ![408, 421, 429].contains(&outcome.status)
            && !outcome.is_from_searcher;
        if !outcome.is_judged {
            early_denied += usize::from(is_denied);
            continue;
        }
        count += 1;
        denied += usize::from(is_denied);
        served += usize::from(outcome.status == 200 && outcome.is_from_searcher);
    }
    let allowed = 5 + count / 500;
    let answered = answered.lock().unwrap();
    for id in answered.iter() {
        report.line(format!("{id} reached the other server"));
    }
    let answered = answered.len();
    report.say(format!(
        "{count} requests: {served} served, {denied} ended with a 3xx or 4xx that no searcher gave (allowed: {allowed}); \
         before: {early_denied}; the other server got {answered} requests"
    ));
    if denied > allowed { report::Verdict::Broken } else { report::Verdict::Held }
}
