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

/// A port of the store. Each instance may be given one of its own, so that the store can tell them apart.
pub struct Port {
    /// Its number.
    pub number: u16,
    /// Whether calls to it get no answer.
    pub is_silent: AtomicBool,
    /// The number of calls to it.
    pub calls: AtomicU64,
}

/// The store.
pub struct Store {
    state: Mutex<State>,
    /// The size of the largest answer, in bytes.
    pub largest_answer: AtomicU64,
}

impl Store {
    /// Creates a store without a port.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State { revision: 10, ..State::default() }),
            largest_answer: AtomicU64::new(0),
        })
    }

    /// Serves calls at a port.
    pub fn open_port(self: &Arc<Self>) -> Arc<Port> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let number = listener.local_addr().unwrap().port();
        let port =
            Arc::new(Port { number, is_silent: AtomicBool::new(false), calls: AtomicU64::new(0) });
        let (store, served) = (self.clone(), port.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, port) = (store.clone(), served.clone());
                thread::spawn(move || store.serve(stream, &port));
            }
        });
        port
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

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        let text = format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#);
        state.history.push(Event { at: Instant::now(), revision, key: key.to_owned(), text });
    }

    fn serve(&self, stream: TcpStream, port: &Port) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        let mut stream = stream;
        while let Ok(Some(request)) = base::read_message(&mut reader) {
            port.calls.fetch_add(1, Ordering::Relaxed);
            let (status, body) = self.answer(&request);
            thread::sleep(ANSWER_TIME);
            if port.is_silent.load(Ordering::Relaxed) {
                while port.is_silent.load(Ordering::Relaxed) {
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
            if stream
                .write_all(head.as_bytes())
                .and_then(|()| stream.write_all(body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.target();
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(key, _)| *key == name)
                .map(|(_, value)| value.replace("%2F", "/"))
                .next()
                .unwrap_or_default()
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
                let dropped =
                    state.history.iter().take_while(|event| event.at.elapsed() > HISTORY).count();
                for event in state.history.drain(..dropped).collect::<Vec<_>>() {
                    state.history_from = event.revision;
                }
                if after < state.history_from {
                    return (410, "{}".to_owned());
                }
                let is_new =
                    |event: &&Event| event.key.starts_with(prefix) && event.revision > after;
                let events: Vec<&str> =
                    state.history.iter().filter(is_new).map(|event| event.text.as_str()).collect();
                if !events.is_empty() || Instant::now() >= end {
                    let events = events.join(",");
                    return (200, format!(r#"{{"events":[{events}],"asOf":{}}}"#, state.revision));
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
}
