//! The store turns away a third of the instances, those that read it, while a searcher leaves.

use crate::Verdict;
use crate::base::{self, Connection, Record};
use crate::instance::{self, Folder, Instance, ZONES, Zone};
use crate::searcher::Searcher;
use crate::store::{Port, Store};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVICE: &str = "kafi81c";
const SEARCHER_COUNT: usize = 4;
/// All machines of the deployment, the spare ones included.
const INSTANCE_ZONES: [Zone; 9] =
    [ZONES[0], ZONES[1], ZONES[2], ZONES[0], ZONES[1], ZONES[0], ZONES[0], ZONES[1], ZONES[2]];
/// How many instances the store turns away: a share of 0.33.
const REFUSED_COUNT: usize = 3;
/// How long it does so.
const REFUSED_TIME: Duration = Duration::from_secs(9);
/// Deployments that are tried one after the other, and at the same time.
const BATCH_COUNT: usize = 2;
const BATCH_SIZE: usize = 9;
/// How much later the disruption comes in each of the deployments that are tried at the same time: instances that are not
/// readers read the store in turns of half a second.
const STAGGER: Duration = Duration::from_millis(500);
/// `drainMs`
const DRAIN: Duration = Duration::from_secs(3);
/// The time between two requests to an instance.
const REQUEST_PERIOD: Duration = Duration::from_millis(20);

/// Runs the case.
pub fn run(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let mut violations = Vec::new();
    for batch in 0..BATCH_COUNT {
        let trials: Vec<_> = (0..BATCH_SIZE)
            .map(|number| {
                let (record, name) = (record.clone(), format!("d{}", batch * BATCH_SIZE + number));
                let delay = STAGGER * number as u32;
                thread::spawn(move || trial(&name, delay, &record, has_trouble))
            })
            .collect();
        for trial in trials {
            violations
                .extend(trial.join().unwrap_or_else(|_| crate::cannot_run("a deployment failed")));
        }
    }
    Verdict { violations }
}

/// Starts a deployment, lets the store turn instances away while a searcher leaves, and returns what broke the rule.
fn trial(name: &str, delay: Duration, record: &Arc<Record>, has_trouble: bool) -> Vec<String> {
    let folder = Folder::new(name);
    let store = Store::new();
    let searchers: Vec<Arc<Searcher>> = (0..SEARCHER_COUNT)
        .map(|number| {
            Searcher::start(&format!("i-{name}-{number}"), SERVICE, number, 6, 24, record)
        })
        .collect();
    let route = format!(
        r#"{{"name":"r-kept","host":"h.example","prefix":"/kept/","routeType":"idempotent","timeoutMs":1500,"targetLatencyMs":250,"priority":0,"service":"{SERVICE}","attempts":2}}"#
    );
    store
        .put("op/config", &instance::configuration(7, &[route], &[instance::service(SERVICE, 96)]));
    for searcher in &searchers {
        store.put(&format!("servers/{}", searcher.id), &searcher.entry());
    }
    let (beating, beaten) = (store.clone(), searchers.clone());
    let is_over = Arc::new(AtomicBool::new(false));
    let is_ended = is_over.clone();
    thread::spawn(move || {
        while !is_ended.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(1_200));
            for searcher in
                beaten.iter().filter(|searcher| !searcher.has_left.load(Ordering::Relaxed))
            {
                beating.put(&format!("servers/{}", searcher.id), &searcher.entry());
            }
        }
    });
    let ports: Vec<Arc<Port>> = INSTANCE_ZONES.iter().map(|_| store.open_port()).collect();
    let controls: [u16; INSTANCE_ZONES.len()] = base::free_ports();
    let instances: Vec<Instance> = (0..INSTANCE_ZONES.len())
        .map(|number| {
            let (zone, port) = (INSTANCE_ZONES[number], ports[number].number);
            Instance::start(&folder.0, number, zone, controls[number], &controls, port)
        })
        .collect();
    for instance in &instances {
        instance.wait_until_ready();
    }

    // The id of each request, and the instance that it was sent to.
    let sent: Arc<Mutex<Vec<(String, usize)>>> = Arc::default();
    let mut clients = Vec::new();
    for (index, instance) in instances.iter().enumerate() {
        let (is_over, sent, record, front) =
            (is_over.clone(), sent.clone(), record.clone(), instance.front);
        let name = name.to_owned();
        clients.push(thread::spawn(move || {
            let mut connection: Option<Connection> = None;
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("{name}-{index}-{number:05}");
                sent.lock().unwrap().push((id.clone(), index));
                record.add(format!("send    {id} to instance {index}"));
                let opened = connection
                    .take()
                    .map_or_else(|| Connection::open(front, Duration::from_secs(2)), Ok);
                let answer = opened.and_then(|mut open| {
                    open.send("GET", "/kept/2f", &id, 1_500, b"")?;
                    let answer = open.receive()?;
                    connection = Some(open);
                    Ok(answer)
                });
                let text = answer
                    .map_or_else(|error| error.to_string(), |answer| answer.status().to_string());
                record.add(format!("answer  {id}: {text}"));
                thread::sleep(REQUEST_PERIOD);
            }
        }));
    }
    // Until all follow the same readers, and for `stabilityWindowMs` before the disruption.
    thread::sleep(Duration::from_secs(7) + delay);
    for port in &ports {
        port.calls.store(0, Ordering::Relaxed);
    }
    thread::sleep(Duration::from_secs(2));
    let calls: Vec<u64> = ports.iter().map(|port| port.calls.load(Ordering::Relaxed)).collect();
    let mut refused: Vec<usize> = (0..ports.len()).collect();
    refused.sort_by_key(|index| std::cmp::Reverse(calls[*index]));
    refused.truncate(REFUSED_COUNT);
    if has_trouble {
        record.add(format!("{name}: the store gives no answer to the instances {refused:?}; calls in 2 s: {calls:?}"));
        for index in &refused {
            ports[*index].is_silent.store(true, Ordering::Relaxed);
        }
    }
    let leaving = &searchers[0];
    leaving.has_left.store(true, Ordering::Relaxed);
    store.remove(&format!("servers/{}", leaving.id));
    let acknowledged = Instant::now();
    record.add(format!("{name}: the entry of {} is removed; it goes on serving", leaving.id));
    thread::sleep(REFUSED_TIME);
    for index in &refused {
        ports[*index].is_silent.store(false, Ordering::Relaxed);
    }
    record.add(format!("{name}: the store answers all instances"));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }

    let mut sent = sent.lock().unwrap().clone();
    sent.sort();
    let mut violations = Vec::new();
    for (id, at) in leaving.runs.lock().unwrap().iter().filter(|(_, at)| *at > acknowledged + DRAIN)
    {
        let Ok(found) = sent.binary_search_by(|(other, _)| other.cmp(id)) else { continue };
        if refused.contains(&sent[found].1) {
            continue;
        }
        let late_s = (*at - acknowledged).as_secs_f64();
        violations.push(format!(
            "DRAIN: {id} reached {} {late_s:.1} s after its entry was removed",
            leaving.id
        ));
    }
    violations
}
