//! The platform's stand-in: key-value store, leases, watches and the list of instances.
//!
//! | call that only the stand-in has | body | answer |
//! |---|---|---|
//! | `POST /standin/instances` | [`list::ListChange`] | 200 |
//! | `GET /standin/faults` | none | 200 [`Faults`] |
//! | `POST /standin/faults` | [`Faults`]; what is left out is off | 200 |
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

/// The most connections that the platform accepts.
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
    /// Calls are not answered.
    Mute,
}

/// The faults in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether and how the platform is down.
    pub outage: Option<Outage>,
    /// How long each answer is held back.
    pub slow_ms: u64,
    /// How many of the next writes take effect and get no reply.
    pub lose_replies: u32,
    /// How long a change of the list takes to show.
    pub list_lag_ms: u64,
}

/// How many calls were received, those during an outage included. A waiting watch is one call.
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
    /// Watches that wait now.
    pub watches_waiting: u64,
    /// The largest value written, in bytes.
    pub value_peak_bytes: u64,
}

impl Calls {
    /// All calls.
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
    /// Counts the writes, to wake the watches.
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

/// A running stand-in of the platform. Dropping it closes its connections.
#[derive(Debug)]
pub struct Platform {
    inner: Arc<Inner>,
    server: http::Server,
}

impl Platform {
    /// Listens at `address`; port 0 takes any free port.
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

    /// The address it listens at.
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

    /// Makes every connection that is open now silent for good; new ones work.
    pub fn silence(&self) {
        self.server.silence();
    }

    /// Changes the list of instances; the change shows after the lag.
    pub fn change_list(&self, change: list::ListChange) {
        self.inner.state().list.change(self.inner.now_ms(), change);
    }

    /// The calls counted so far.
    pub fn calls(&self) -> Calls {
        self.inner.state().calls
    }
}
