//! The HTTP calls of the platform.

use super::list;
use super::store;
use super::{Calls, Faults, Inner, Outage};
use crate::http;
use compact_str::CompactString;
use serde::Deserialize;
use std::future;
use std::sync::Arc;
use std::time;
use tarragondoor::platform_api;

/// The longest time a watch waits, in milliseconds; a longer `wait_ms` is reduced to it.
const WATCH_MAX_MS: u64 = 60_000;

#[derive(Debug, Deserialize)]
struct KeyParams {
    key: String,
}

#[derive(Debug, Deserialize)]
struct WatchParams {
    key: String,
    after_revision: u64,
    wait_ms: u64,
}

enum Route {
    Get,
    Put,
    Watch,
    Grant,
    Renew,
    List,
}

impl Route {
    fn from_call(call: &http::Call) -> Option<Self> {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/v1/kv") => Some(Route::Get),
            ("PUT", "/v1/kv") => Some(Route::Put),
            ("GET", "/v1/watch") => Some(Route::Watch),
            ("POST", "/v1/leases") => Some(Route::Grant),
            ("POST", "/v1/leases/renew") => Some(Route::Renew),
            ("GET", "/v1/instances") => Some(Route::List),
            _ => None,
        }
    }

    fn count(&self, calls: &mut Calls) {
        match self {
            Route::Get => calls.gets += 1,
            Route::Put => calls.puts += 1,
            Route::Watch => calls.watches += 1,
            Route::Grant | Route::Renew => calls.leases += 1,
            Route::List => calls.lists += 1,
        }
    }

    fn is_write(&self) -> bool {
        match self {
            Route::Put | Route::Grant | Route::Renew => true,
            Route::Get | Route::Watch | Route::List => false,
        }
    }
}

impl http::App for Inner {
    async fn call(self: Arc<Self>, call: http::Call) -> http::Answer {
        if call.is_control() {
            return self.control(&call);
        }
        if call.excess {
            return error_answer(503, "too many connections");
        }
        let Some(route) = Route::from_call(&call) else { return error_answer(404, "no such call") };
        route.count(&mut self.state().calls);
        self.delay().await;
        if let Some(answer) = self.outage_answer().await {
            return answer;
        }
        let answer = self.serve(&route, &call).await;
        if route.is_write() && self.consume_lost_reply() {
            return http::Answer::CloseConnection;
        }
        answer
    }
}

impl Inner {
    fn control(&self, call: &http::Call) -> http::Answer {
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/standin/instances") => match call.json::<list::ListChange>() {
                Ok(change) => {
                    self.state().list.change(self.now_ms(), change);
                    http::Answer::empty(200)
                }
                Err(e) => error_answer(400, &e.to_string()),
            },
            ("POST", "/standin/faults") => match call.json::<Faults>() {
                Ok(faults) => {
                    self.faults.send_replace(faults);
                    http::Answer::empty(200)
                }
                Err(e) => error_answer(400, &e.to_string()),
            },
            ("GET", "/standin/faults") => http::Answer::json(200, &*self.faults.borrow()),
            ("GET", "/standin/calls") => http::Answer::json(200, &self.state().calls),
            _ => error_answer(404, "no such call"),
        }
    }

    async fn delay(&self) {
        let slow_ms = self.faults.borrow().slow_ms;
        if slow_ms > 0 {
            tokio::time::sleep(time::Duration::from_millis(slow_ms)).await;
        }
    }

    /// The answer to a call during an outage; `None` if the platform is up. Never returns if the
    /// outage is [`Outage::Mute`].
    async fn outage_answer(&self) -> Option<http::Answer> {
        let outage = self.faults.borrow().outage;
        match outage {
            None => None,
            Some(Outage::Refusing) => Some(error_answer(503, "down")),
            Some(Outage::Mute) => future::pending().await,
        }
    }

    /// Decrements the number of replies to lose; true if it was above 0.
    fn consume_lost_reply(&self) -> bool {
        self.faults.send_if_modified(|faults| match faults.lose_replies.checked_sub(1) {
            Some(remaining) => {
                faults.lose_replies = remaining;
                true
            }
            None => false,
        })
    }

    async fn serve(&self, route: &Route, call: &http::Call) -> http::Answer {
        match route {
            Route::Get => self.get(call),
            Route::Put => self.put(call),
            Route::Watch => self.watch(call).await,
            Route::Grant => self.grant(call),
            Route::Renew => self.renew(call),
            Route::List => {
                let lag_ms = self.faults.borrow().list_lag_ms;
                http::Answer::json(200, self.state().list.read(self.now_ms(), lag_ms))
            }
        }
    }

    fn get(&self, call: &http::Call) -> http::Answer {
        let Ok(params) = call.params::<KeyParams>() else {
            return error_answer(400, "bad parameters");
        };
        match self.state().store.get(self.now_ms(), &params.key) {
            Some(entry) => http::Answer::json(200, &entry),
            None => error_answer(404, "no such key"),
        }
    }

    fn put(&self, call: &http::Call) -> http::Answer {
        let Ok(params) = call.params::<KeyParams>() else {
            return error_answer(400, "bad parameters");
        };
        let Ok(request) = call.json::<platform_api::PutRequest>() else {
            return error_answer(400, "bad body");
        };
        let bytes = request.value.len() as u64;
        let mut state = self.state();
        match state.store.put(self.now_ms(), &params.key, request) {
            Ok(revision) => {
                state.calls.value_peak_bytes = state.calls.value_peak_bytes.max(bytes);
                drop(state);
                self.writes.send_modify(|writes| *writes += 1);
                http::Answer::json(200, &platform_api::PutReply { revision })
            }
            Err(e) => store_error(e),
        }
    }

    fn grant(&self, call: &http::Call) -> http::Answer {
        let Ok(request) = call.json::<platform_api::LeaseRequest>() else {
            return error_answer(400, "bad body");
        };
        match self.state().store.grant(self.now_ms(), request.ttl_ms) {
            Ok(lease) => http::Answer::json(200, &platform_api::LeaseReply { lease }),
            Err(e) => store_error(e),
        }
    }

    fn renew(&self, call: &http::Call) -> http::Answer {
        let Ok(request) = call.json::<platform_api::LeaseReply>() else {
            return error_answer(400, "bad body");
        };
        match self.state().store.renew(self.now_ms(), request.lease) {
            Ok(()) => http::Answer::json(200, &request),
            Err(e) => store_error(e),
        }
    }

    async fn watch(&self, call: &http::Call) -> http::Answer {
        let Ok(params) = call.params::<WatchParams>() else {
            return error_answer(400, "bad parameters");
        };
        let _waiting = WaitingWatch::new(self);
        let wait = time::Duration::from_millis(params.wait_ms.min(WATCH_MAX_MS));
        let answer = tokio::select! {
            answer = self.wait_for_write(&params) => answer,
            () = self.wait_for_outage() => http::Answer::CloseConnection,
            () = tokio::time::sleep(wait) => http::Answer::empty(204),
        };
        self.outage_answer().await.unwrap_or(answer)
    }

    async fn wait_for_write(&self, params: &WatchParams) -> http::Answer {
        let mut writes = self.writes.subscribe();
        loop {
            writes.borrow_and_update();
            let entry = self.state().store.get(self.now_ms(), &params.key);
            if let Some(entry) = entry.filter(|entry| entry.revision > params.after_revision) {
                return http::Answer::json(200, &entry);
            }
            if writes.changed().await.is_err() {
                return error_answer(503, "down");
            }
        }
    }

    async fn wait_for_outage(&self) {
        let mut faults = self.faults.subscribe();
        let _ = faults.wait_for(|faults| faults.outage.is_some()).await;
    }
}

/// Counts a watch while it waits.
struct WaitingWatch<'a>(&'a Inner);

impl<'a> WaitingWatch<'a> {
    fn new(inner: &'a Inner) -> Self {
        inner.state().calls.watches_waiting += 1;
        Self(inner)
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.0.state().calls.watches_waiting -= 1;
    }
}

fn store_error(e: store::StoreError) -> http::Answer {
    match e {
        store::StoreError::Conflict(revision) => {
            http::Answer::json(409, &platform_api::PutReply { revision })
        }
        store::StoreError::LeaseExpired => error_answer(404, &e.to_string()),
        store::StoreError::TooLarge => error_answer(413, &e.to_string()),
        store::StoreError::Full => error_answer(507, &e.to_string()),
    }
}

fn error_answer(status: u16, text: &str) -> http::Answer {
    http::Answer::json(status, &platform_api::PlatformError { error: CompactString::from(text) })
}
