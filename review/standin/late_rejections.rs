//! Searchers that hand out second copies of answers, late, while they serve a route whose requests may be repeated
//! and one whose requests may not.

use crate::base::{Connection, Record};
use crate::instance::{self, Folder, Instance};
use crate::searcher::Searcher;
use crate::store::Store;
use crate::{Verdict, base};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVICE: &str = "goka902";
const SEARCHER_COUNT: usize = 5;
const SLOT_COUNT: usize = 6;
const QUEUE_MAX: usize = 4;
/// The clients of the route whose requests may not be repeated.
const ONCE_CLIENT_COUNT: usize = 50;
/// The clients of the other route.
const QUICK_CLIENT_COUNT: usize = 160;
/// How long searchers hand out copies at a time, and the pause between.
const GARBLE_TIME: Duration = Duration::from_secs(5);
const PAUSE_TIME: Duration = Duration::from_secs(3);
const GARBLE_COUNT: usize = 5;
/// The share of the searchers that hand out copies.
const GARBLING_COUNT: usize = 3;

/// Runs the case.
pub fn run(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let folder = Folder::new("late");
    let store = Store::new();
    let port = store.open_port();
    let searchers: Vec<Arc<Searcher>> = (0..SEARCHER_COUNT)
        .map(|number| {
            Searcher::start(&format!("i-{number}"), SERVICE, number, SLOT_COUNT, QUEUE_MAX, record)
        })
        .collect();
    store.put("op/config", &instance::configuration(
        7,
        &[
            format!(r#"{{"name":"r-quick","host":"h.example","prefix":"/quick/","routeType":"idempotent","timeoutMs":1500,"targetLatencyMs":250,"priority":1,"service":"{SERVICE}","attempts":2}}"#),
            format!(r#"{{"name":"r-once","host":"h.example","prefix":"/once/","routeType":"non_idempotent","timeoutMs":6000,"targetLatencyMs":2000,"priority":2,"service":"{SERVICE}","attempts":2}}"#),
        ],
        &[instance::service(SERVICE, 96)],
    ));
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
    let [control] = base::free_ports();
    let instance =
        Instance::start(&folder.0, 0, instance::ZONES[0], control, &[control], port.number);
    instance.wait_until_ready();

    let is_over = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let next_id = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for number in 0..ONCE_CLIENT_COUNT + QUICK_CLIENT_COUNT {
        let (is_over, answers, next_id, record) =
            (is_over.clone(), answers.clone(), next_id.clone(), record.clone());
        let front = instance.front;
        clients.push(thread::spawn(move || {
            let is_once = number < ONCE_CLIENT_COUNT;
            let mut connection: Option<Connection> = None;
            while !is_over.load(Ordering::Relaxed) {
                let kind = if is_once { "once" } else { "quick" };
                let id = format!("{kind}-{:06}", next_id.fetch_add(1, Ordering::Relaxed));
                let sent = send(&mut connection, front, is_once, &id, &record);
                let (status, retry_after) = sent.unwrap_or_default();
                record.add(format!(
                    "answer  {id}: {}",
                    if status == 0 { "none".to_owned() } else { status.to_string() }
                ));
                answers.lock().unwrap().push((id, status));
                let pause_ms = if is_once {
                    50.0 + 150.0 * base::random()
                } else {
                    10.0 + 30.0 * base::random()
                };
                thread::sleep(retry_after.max(Duration::from_millis(pause_ms as u64)));
            }
        }));
    }
    // The instance gets its part of the budget's fixed number after one window.
    thread::sleep(Duration::from_secs(11));
    for _ in 0..GARBLE_COUNT {
        for searcher in &searchers[..GARBLING_COUNT] {
            searcher.is_garbling.store(has_trouble, Ordering::Relaxed);
        }
        record.add("second copies start");
        thread::sleep(GARBLE_TIME);
        for searcher in &searchers[..GARBLING_COUNT] {
            searcher.is_garbling.store(false, Ordering::Relaxed);
        }
        record.add("second copies end");
        thread::sleep(PAUSE_TIME);
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    // Requests that may still run.
    thread::sleep(Duration::from_secs(1));

    let mut runs: Vec<(String, String, Instant)> = Vec::new();
    for searcher in &searchers {
        for (id, at) in searcher.runs.lock().unwrap().iter() {
            runs.push((id.clone(), searcher.id.clone(), *at));
        }
        record.add(format!(
            "{}: {} answers, {} of them rejections, {} second copies",
            searcher.id,
            searcher.answers.load(Ordering::Relaxed),
            searcher.rejections.load(Ordering::Relaxed),
            searcher.copies.load(Ordering::Relaxed)
        ));
    }
    runs.sort();
    let mut violations = Vec::new();
    for (id, status) in answers.lock().unwrap().iter().filter(|(id, _)| id.starts_with("once-")) {
        let first = runs.partition_point(|(other, _, _)| other < id);
        let at: Vec<&str> = runs[first..]
            .iter()
            .take_while(|(other, _, _)| other == id)
            .map(|(_, at, _)| at.as_str())
            .collect();
        if at.len() > 1 {
            violations.push(format!("TWICE: {id} ran {} times, at {}", at.len(), at.join(" and ")));
        }
        if matches!(status, 408 | 421 | 429 | 503) && !at.is_empty() {
            violations.push(format!(
                "REFUSED: {id} was answered {status} and ran at {}",
                at.join(" and ")
            ));
        }
    }
    Verdict { violations }
}

/// Sends a request on the kept connection, or a new one. Returns the status of the answer and how long the client is
/// told to wait.
fn send(
    connection: &mut Option<Connection>,
    front: u16,
    is_once: bool,
    id: &str,
    record: &Record,
) -> Option<(u16, Duration)> {
    let mut open = match connection.take() {
        Some(open) => open,
        None => Connection::open(front, Duration::from_secs(7)).ok()?,
    };
    record.add(format!("send    {id}"));
    let answer = match is_once {
        true => open.send("POST", "/once/2f", id, 6_000, b"claim one packet"),
        false => open.send("GET", "/quick/2f", id, 1_500, b""),
    };
    let answer = answer.and_then(|()| open.receive()).ok()?;
    if answer.header("connection") != "close" {
        *connection = Some(open);
    }
    let retry_after =
        answer.header("retry-after").parse().map_or(Duration::ZERO, Duration::from_secs_f64);
    Some((answer.status(), retry_after))
}
