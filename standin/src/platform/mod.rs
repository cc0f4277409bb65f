//! The stand-in for the platform: key-value store, leases, watches and the list of instances.
//!
//! | call specific to the stand-in | body | answer |
//! |---|---|---|
//! | `POST /standin/instances` | [`list::ListChange`] | 200 |
//! | `GET /standin/faults` | none | 200 [`Faults`] |
//! | `POST /standin/faults` | [`Faults`]; an absent field switches its fault off | 200 |
//! | `GET /standin/calls` | none | 200 [`Calls`] |

pub mod list;
mod routes;
pub mod store;

use crate::http;
use serde::{Deserialize, Serialize};
use std::io;
use std::net;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time;
use tokio::sync::watch;

/// The maximum number of open connections.
const CONNECTIONS_MAX: usize = 20_000;

/// How the platform fails while it is down.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outage {
    /// Calls are answered with status 503.
    Refusing,
    /// Calls that are received or waiting during the outage are never answered.
    Mute,
}

/// The faults to inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// How the platform is down; `None` if it is up.
    pub outage: Option<Outage>,
    /// How long each call is delayed.
    pub slow_ms: u64,
    /// How many of the next writes take effect but get no reply: their connections are closed.
    pub lose_replies: u32,
    /// How long a change of the list takes to become visible.
    pub list_lag_ms: u64,
}

/// Counters of the calls received, including those during an outage. A waiting watch is one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads of keys.
    pub gets: u64,
    /// Conditional writes, successful or not.
    pub puts: u64,
    /// Watches.
    pub watches: u64,
    /// Grants and renewals of leases.
    pub leases: u64,
    /// Reads of the list.
    pub lists: u64,
    /// Watches waiting at present.
    pub watches_waiting: u64,
    /// The largest value written, in bytes.
    pub value_peak_bytes: u64,
}

impl Calls {
    /// The number of calls of all kinds.
    pub fn total(&self) -> u64 {
        self.gets + self.puts + self.watches + self.leases + self.lists
    }
}

#[derive(Debug, Default)]
struct State {
    store: store::Store,
    list: list::LaggingList,
    calls: Calls,
}

#[derive(Debug)]
struct Inner {
    started: time::Instant,
    state: Mutex<State>,
    faults: watch::Sender<Faults>,
    /// The number of writes; a change wakes the waiting watches.
    writes: watch::Sender<u64>,
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

/// A running stand-in for the platform. Dropping it stops listening and closes its connections.
#[derive(Debug)]
pub struct Platform {
    inner: Arc<Inner>,
    server: http::Server,
}

impl Platform {
    /// Listens on `address`; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// When the listener can't be opened.
    pub async fn start(address: net::SocketAddr, faults: Faults) -> io::Result<Self> {
        let inner = Arc::new(Inner {
            started: time::Instant::now(),
            state: Mutex::default(),
            faults: watch::Sender::new(faults),
            writes: watch::Sender::new(0),
        });
        let limits =
            http::Limits { connections: CONNECTIONS_MAX, open_delay: time::Duration::ZERO };
        let server = http::Server::start(address, limits, inner.clone()).await?;
        Ok(Self { inner, server })
    }

    /// The address that it listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.inner.faults.send_replace(faults);
    }

    /// The faults in force.
    pub fn faults(&self) -> Faults {
        *self.inner.faults.borrow()
    }

    /// Stops answering on all connections that are open now, permanently; new ones are answered.
    pub fn silence(&self) {
        self.server.silence();
    }

    /// Changes the list of instances; the change becomes visible after the lag.
    pub fn change_list(&self, change: list::ListChange) {
        self.inner.state().list.change(self.inner.now_ms(), change);
    }

    /// The calls counted so far.
    pub fn calls(&self) -> Calls {
        self.inner.state().calls
    }
}
