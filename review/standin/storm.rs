//! Large configurations in quick succession while the store is slow.

use crate::base::{self, Connection, Record};
use crate::instance::{self, Folder, Instance};
use crate::searcher::Searcher;
use crate::store::Store;
use crate::Verdict;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const OLD_SERVICE: &str = "kafi81c";
const NEW_SERVICE: &str = "nylo40d";
const INSTANCE_COUNT: usize = 3;
/// The largest value that the store takes (`valueBytes`).
const VALUE_MAX_BYTES: usize = 1_048_576;
/// The configurations of the storm and the pause between two.
const STORM_COUNT: u64 = 25;
const STORM_GAP: Duration = Duration::from_millis(60);
/// How long the store is slow, and how long it then takes to answer a call.
const SLOW_TIME: Duration = Duration::from_millis(4_500);
const SLOW_ANSWER_MS: u64 = 240;
/// `stabilityWindowMs`
const STABILITY_WINDOW: Duration = Duration::from_secs(5);
/// `configApplyMs`
const CONFIG_APPLY: Duration = Duration::from_secs(3);
/// How long requests are sent after the store has become stable.
const WATCH_TIME: Duration = Duration::from_secs(30);

fn config(version: u64, service: &str) -> Vec<u8> {
    let mut routes = vec![format!(r#"{{"name":"r-moved","host":"h.example","prefix":"/moved/","routeType":"idempotent","timeoutMs":1500,"targetLatencyMs":250,"priority":0,"service":"{service}","attempts":2}}"#)];
    let services = [instance::service(OLD_SERVICE, 96), instance::service(NEW_SERVICE, 96)];
    let mut size: usize = 500;
    let mut number = 0;
    while size < VALUE_MAX_BYTES - 1_000 {
        let route = format!(r#"{{"name":"r-{number:05}","host":"h{number}.example","prefix":"/more{number}/","routeType":"idempotent","timeoutMs":6000,"targetLatencyMs":2000,"priority":2,"service":"{OLD_SERVICE}","attempts":2}}"#);
        size += route.len() + 1;
        routes.push(route);
        number += 1;
    }
    let value = instance::configuration(version, &routes, &services);
    assert!(value.len() <= VALUE_MAX_BYTES, "{}", value.len());
    value
}

/// Runs the case.
pub fn run(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let folder = Folder::new();
    let store = Store::start();
    let searchers: Vec<Arc<Searcher>> = [OLD_SERVICE, NEW_SERVICE, OLD_SERVICE, NEW_SERVICE]
        .iter()
        .enumerate()
        .map(|(number, service)| Searcher::start(&format!("i-{number}"), service, number, 6, 24, record))
        .collect();
    store.put("op/config", &config(7, OLD_SERVICE));
    for searcher in &searchers {
        store.put(&format!("servers/{}", searcher.id), &searcher.entry());
    }
    let (beating, beaten) = (store.clone(), searchers.clone());
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(1_200));
        for searcher in &beaten {
            beating.put(&format!("servers/{}", searcher.id), &searcher.entry());
        }
    });
    let controls: [u16; INSTANCE_COUNT] = base::free_ports();
    let instances: Vec<Instance> = controls
        .iter()
        .enumerate()
        .map(|(number, control)| Instance::start(&folder.0, number, *control, &controls, store.port))
        .collect();
    for instance in &instances {
        instance.wait_until_ready();
    }
    thread::sleep(Duration::from_secs(4));

    let slow_from = Instant::now();
    if has_trouble {
        store.answer_ms.store(SLOW_ANSWER_MS, Ordering::Relaxed);
        record.add(format!("the store takes {SLOW_ANSWER_MS} ms an answer"));
    }
    let versions: Vec<Vec<u8>> = (1..=STORM_COUNT).map(|step| config(7 + step, NEW_SERVICE)).collect();
    thread::sleep(Duration::from_millis(500));
    for (step, value) in versions.iter().enumerate() {
        store.put("op/config", value);
        record.add(format!("op/config has version {}", 8 + step));
        thread::sleep(STORM_GAP);
    }
    let acknowledged = Instant::now();
    thread::sleep((slow_from + SLOW_TIME).saturating_duration_since(Instant::now()));
    store.answer_ms.store(4, Ordering::Relaxed);
    record.add("the store takes 4 ms an answer");
    let judged_from = (Instant::now() + STABILITY_WINDOW).max(acknowledged + CONFIG_APPLY);
    let mut violations = Vec::new();
    let mut number = 0;
    while Instant::now() < judged_from + WATCH_TIME {
        for (index, instance) in instances.iter().enumerate() {
            number += 1;
            let id = format!("moved-{number:05}");
            let sent = Instant::now();
            record.add(format!("send    {id} to instance {index}"));
            let answer = Connection::open(instance.front, Duration::from_secs(2)).and_then(|mut connection| {
                connection.send("GET", "/moved/2f", &id, 1_500, b"")?;
                connection.receive()
            });
            let text = answer.as_ref().map_or_else(|error| error.to_string(), |answer| format!("{} {}", answer.status(), String::from_utf8_lossy(&answer.body)));
            record.add(format!("answer  {id}: {text}"));
            if sent >= judged_from && text.contains(OLD_SERVICE) {
                let late_s = (sent - acknowledged).as_secs_f64();
                violations.push(format!("CONFIG: {id}, sent {late_s:.1} s after the last version to instance {index}, was run by the service of version 7"));
            }
        }
        thread::sleep(Duration::from_millis(250));
    }
    record.add(format!("the largest answer of the store had {} bytes", store.largest_answer.load(Ordering::Relaxed)));
    Verdict { violations }
}
