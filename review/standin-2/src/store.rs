//! A stand-in for the platform's store: ranges and watches of keys that the case writes.

use crate::http;
use std::collections::BTreeMap;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::sync;
use std::thread;
use std::time;

/// The most items in the answer to a range call.
const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    /// The revision and the JSON of each change.
    history: Vec<(u64, String, String)>,
}

pub struct Store {
    state: sync::Mutex<State>,
    changed: sync::Condvar,
    pub address: net::SocketAddr,
}

impl Store {
    pub fn start() -> sync::Arc<Self> {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let store = sync::Arc::new(Self {
            state: sync::Mutex::new(State { revision: 10, ..State::default() }),
            changed: sync::Condvar::new(),
            address: listener.local_addr().expect("the store's address"),
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

    /// Writes a key. The return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let item = item(key, value, revision);
        state.items.insert(key.to_owned(), (value.to_owned(), revision));
        state.history.push((revision, key.to_owned(), item));
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: net::TcpStream) {
        let mut buffer = Vec::new();
        let mut chunk = [0; 4_096];
        loop {
            while let Some(request) = http::take_message(&mut buffer) {
                let (status, body) = self.answer(request.target());
                let headers = [("Content-Type", "application/json"), ("Store-Era", "0")];
                let answer = http::answer(status, &headers, body.as_bytes());
                if stream.write_all(&answer).is_err() {
                    return;
                }
            }
            match stream.read(&mut chunk) {
                Ok(count) if count > 0 => buffer.extend_from_slice(&chunk[..count]),
                _ => return,
            }
        }
    }

    fn answer(&self, target: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.clone().find(|(known, _)| *known == name);
            found.map(|(_, value)| value.replace("%2F", "/")).unwrap_or_default()
        };
        match path {
            "/-/kv-range" => (200, self.range(&field("prefix"), &field("after"))),
            "/-/kv-watch" => {
                let after = field("after").parse().unwrap_or(0);
                let wait_ms = field("waitMs").parse().unwrap_or(0);
                self.watch(&field("prefix"), after, time::Duration::from_millis(wait_ms))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.state.lock().unwrap();
        let mut items = Vec::new();
        let mut has_more = false;
        for (key, (value, revision)) in &state.items {
            if !key.starts_with(prefix) || key.as_str() <= after {
                continue;
            }
            if items.len() == PAGE_ITEMS {
                has_more = true;
                break;
            }
            items.push(item(key, value, *revision));
        }
        let as_of = state.revision;
        format!(r#"{{"items":[{}],"hasMore":{has_more},"asOf":{as_of}}}"#, items.join(","))
    }

    fn watch(&self, prefix: &str, after: u64, wait: time::Duration) -> (u16, String) {
        let end = time::Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            if after > state.revision {
                return (410, "{}".to_owned());
            }
            let changes = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<&str> = changes.map(|(_, _, item)| item.as_str()).collect();
            let left = end.saturating_duration_since(time::Instant::now());
            if !events.is_empty() || left.is_zero() {
                let as_of = state.revision;
                return (200, format!(r#"{{"events":[{}],"asOf":{as_of}}}"#, events.join(",")));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item(key: &str, value: &str, revision: u64) -> String {
    let value = base64(value.as_bytes());
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#
    )
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            if digit > chunk.len() {
                text.push('=');
                continue;
            }
            let index = (number >> (18 - 6 * digit)) & 63;
            text.push(char::from(DIGITS[index as usize]));
        }
    }
    text
}
