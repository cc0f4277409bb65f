//! Large configurations in quick succession after an outage of the store.

use crate::Verdict;
use crate::base::{self, Connection, Record};
use crate::instance::{self, Folder, Instance};
use crate::searcher::Searcher;
use crate::store::Store;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const OLD_SERVICE: &str = "kafi81c";
const NEW_SERVICE: &str = "nylo40d";
const INSTANCE_COUNT: usize = 3;
/// The routes of each configuration: about 0.7 MB; the store takes up to 1 MiB (`valueBytes`).
const ROUTE_COUNT: usize = 4_000;
/// How long the store is down.
const DOWN_TIME: Duration = Duration::from_millis(5_400);
/// The configurations of the storm and the time between two.
const STORM_COUNT: u64 = 25;
const STORM_GAP: Duration = Duration::from_millis(60);
/// `stabilityWindowMs`
const STABILITY_WINDOW: Duration = Duration::from_secs(5);
/// `configApplyMs`
const CONFIG_APPLY: Duration = Duration::from_secs(3);
/// How long requests are sent after the store has become stable.
const WATCH_TIME: Duration = Duration::from_secs(30);

fn config(version: u64, service: &str) -> Vec<u8> {
    let mut routes = vec![format!(
        r#"{{"name":"r-moved","host":"h.example","prefix":"/moved/","routeType":"idempotent","timeoutMs":1500,"targetLatencyMs":250,"priority":0,"service":"{service}","attempts":2}}"#
    )];
    let services = [instance::service(OLD_SERVICE, 96), instance::service(NEW_SERVICE, 96)];
    for number in 1..ROUTE_COUNT {
        routes.push(format!(r#"{{"name":"r-{number:05}","host":"h{number}.example","prefix":"/more{number}/","routeType":"idempotent","timeoutMs":6000,"targetLatencyMs":2000,"priority":2,"service":"{OLD_SERVICE}","attempts":2}}"#));
    }
    instance::configuration(version, &routes, &services)
}

/// Runs the case.
pub fn run(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let folder = Folder::new("storm");
    let store = Store::new();
    let port = store.open_port();
    let searchers: Vec<Arc<Searcher>> = [OLD_SERVICE, NEW_SERVICE, OLD_SERVICE, NEW_SERVICE]
        .iter()
        .enumerate()
        .map(|(number, service)| {
            Searcher::start(&format!("i-{number}"), service, number, 6, 24, record)
        })
        .collect();
    store.put("op/config", &config(7, OLD_SERVICE));
    for searcher in &searchers {
        store.put(&format!("servers/{}", searcher.id), &searcher.entry());
    }
    let (beating, beaten) = (store.clone(), searchers.clone());
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(1_200));
            for searcher in &beaten {
                beating.put(&format!("servers/{}", searcher.id), &searcher.entry());
            }
        }
    });
    let controls: [u16; INSTANCE_COUNT] = base::free_ports();
    let instances: Vec<Instance> = controls
        .iter()
        .enumerate()
        .map(|(number, control)| {
            Instance::start(
                &folder.0,
                number,
                instance::ZONES[number],
                *control,
                &controls,
                port.number,
            )
        })
        .collect();
    for instance in &instances {
        instance.wait_until_ready();
    }
    thread::sleep(Duration::from_secs(4));

    // Only the last version moves the route.
    let versions: Vec<Vec<u8>> = (1..=STORM_COUNT)
        .map(|step| config(7 + step, if step == STORM_COUNT { NEW_SERVICE } else { OLD_SERVICE }))
        .collect();
    if has_trouble {
        port.is_silent.store(true, Ordering::Relaxed);
        record.add("the store is down");
    }
    thread::sleep(DOWN_TIME);
    port.is_silent.store(false, Ordering::Relaxed);
    record.add("the store is back");
    let back = Instant::now();
    for (step, value) in versions.iter().enumerate() {
        store.put("op/config", value);
        record.add(format!("op/config has version {}", 8 + step));
        if step + 1 < versions.len() {
            thread::sleep(STORM_GAP);
        }
    }
    let acknowledged = Instant::now();
    let judged_from = (back + STABILITY_WINDOW).max(acknowledged + CONFIG_APPLY);
    let mut violations = Vec::new();
    let mut number = 0;
    while Instant::now() < judged_from + WATCH_TIME {
        for (index, instance) in instances.iter().enumerate() {
            number += 1;
            let id = format!("moved-{number:05}");
            let sent = Instant::now();
            record.add(format!("send    {id} to instance {index}"));
            let answer = Connection::open(instance.front, Duration::from_secs(2)).and_then(
                |mut connection| {
                    connection.send("GET", "/moved/2f", &id, 1_500, b"")?;
                    connection.receive()
                },
            );
            let text = answer.as_ref().map_or_else(
                |error| error.to_string(),
                |answer| format!("{} {}", answer.status(), String::from_utf8_lossy(&answer.body)),
            );
            record.add(format!("answer  {id}: {text}"));
            if sent >= judged_from && text.contains(OLD_SERVICE) {
                let late_s = (sent - acknowledged).as_secs_f64();
                violations.push(format!("CONFIG: {id}, sent {late_s:.1} s after the last version to instance {index}, was run by the service of version 7"));
            }
        }
        thread::sleep(Duration::from_millis(250));
    }
    record.add(format!(
        "the largest answer of the store had {} bytes",
        store.largest_answer.load(Ordering::Relaxed)
    ));
    Verdict { violations }
}
