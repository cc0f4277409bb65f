//! A stand-in for the platform's store: range and watch calls, a history of limited length, and outages.

use crate::base::{self, Message};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long it takes to answer a call.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// How long a change stays in the history (`historyS`).
const HISTORY: Duration = Duration::from_secs(20);

struct Event {
    at: Instant,
    revision: u64,
    key: String,
    /// The JSON text of the event.
    text: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// The JSON text of each item.
    items: BTreeMap<String, String>,
    history: Vec<Event>,
    /// The history holds all changes after this revision.
    history_from: u64,
}

/// The store.
pub struct Store {
    /// Its port.
    pub port: u16,
    state: Mutex<State>,
    /// Whether it is down: calls of the system get no answer.
    pub is_down: AtomicBool,
    /// The size of the largest answer, in bytes.
    pub largest_answer: AtomicU64,
}

impl Store {
    /// Starts the store.
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Arc::new(Self {
            port: listener.local_addr().unwrap().port(),
            state: Mutex::new(State { revision: 10, ..State::default() }),
            is_down: AtomicBool::new(false),
            largest_answer: AtomicU64::new(0),
        });
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key and returns the revision.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        let value = base::base64(value);
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let text = format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#
        );
        state.items.insert(key.to_owned(), text.clone());
        state.history.push(Event { at: Instant::now(), revision, key: key.to_owned(), text });
        revision
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        let mut stream = stream;
        while let Ok(Some(request)) = base::read_message(&mut reader) {
            let (status, body) = self.answer(&request);
            thread::sleep(ANSWER_TIME);
            if self.is_down.load(Ordering::Relaxed) {
                while self.is_down.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(5));
                }
                // A connection on which an answer was lost returns nothing further.
                return;
            }
            self.largest_answer.fetch_max(body.len() as u64, Ordering::Relaxed);
            let head = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.target();
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.replace("%2F", "/")).next().unwrap_or_default()
        };
        match path {
            "/-/kv-range" => self.range(&field("prefix"), &field("after")),
            "/-/kv-watch" => {
                let wait = Duration::from_millis(field("waitMs").parse().unwrap_or(0));
                self.watch(&field("prefix"), field("after").parse().unwrap_or(0), wait)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let mut items = Vec::new();
        let mut has_more = false;
        for (key, text) in &state.items {
            if !key.starts_with(prefix) || key.as_str() <= after {
                continue;
            }
            if items.len() == 500 {
                has_more = true;
                break;
            }
            items.push(text.as_str());
        }
        let items = items.join(",");
        (200, format!(r#"{{"items":[{items}],"hasMore":{has_more},"asOf":{}}}"#, state.revision))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        loop {
            {
                let mut state = self.state.lock().unwrap();
                let dropped = state.history.iter().take_while(|event| event.at.elapsed() > HISTORY).count();
                for event in state.history.drain(..dropped).collect::<Vec<_>>() {
                    state.history_from = event.revision;
                }
                if after < state.history_from {
                    return (410, "{}".to_owned());
                }
                let is_new = |event: &&Event| event.key.starts_with(prefix) && event.revision > after;
                let events: Vec<&str> = state.history.iter().filter(is_new).map(|event| event.text.as_str()).collect();
                if !events.is_empty() || Instant::now() >= end {
                    let events = events.join(",");
                    return (200, format!(r#"{{"events":[{events}],"asOf":{}}}"#, state.revision));
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
}
