//! The stand-in for a backend server.
//!
//! | call specific to the stand-in | body | answer |
//! |---|---|---|
//! | `GET /standin/faults` | none | 200 [`Faults`] |
//! | `POST /standin/faults` | [`Faults`]; an absent field switches its fault off | 200 |
//! | `POST /standin/publish` | [`snapshot::Holding`] | 200 |
//! | `POST /standin/retire` | [`snapshot::Snapshot`] | 200 |
//! | `POST /standin/silence` | none | 200; connections open now are never answered again |
//! | `POST /standin/kill` | [`Kill`] | none: the connection is closed |
//! | `GET /standin/journal` | none | 200, a list of [`Execution`] |
//! | `GET /standin/counts` | none | 200 [`Counts`] |

pub mod config;
mod job;
mod routes;
pub mod slots;
pub mod status;

use crate::http;
pub use config::{Config, Counts, Execution, Faults, Kill};
use std::io;
use std::net;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time;
use tarragondoor::searcher_api;
use tarragondoor::snapshot;
use tokio::sync::watch;
use tokio::task;

/// How many times a revived backend server tries to listen on its old address.
const LISTEN_ATTEMPTS: u32 = 100;

/// The pause between two such attempts.
const LISTEN_RETRY_DELAY: time::Duration = time::Duration::from_millis(10);

#[derive(Debug, Default)]
struct State {
    holdings: Vec<snapshot::Holding>,
    history: status::History,
    journal: Vec<Execution>,
    counts: Counts,
    starting_until_ms: u64,
}

#[derive(Debug)]
struct Inner {
    config: Config,
    started: time::Instant,
    slots: slots::Slots,
    attempts: slots::Attempts,
    faults: watch::Sender<Faults>,
    state: Mutex<State>,
    server: Mutex<Option<http::Server>>,
    job_tasks: Mutex<task::JoinSet<()>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Inner {
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    async fn listen(self: &Arc<Self>, address: net::SocketAddr) -> io::Result<net::SocketAddr> {
        let limits = http::Limits {
            connections: usize::from(self.config.connections),
            open_delay: time::Duration::from_millis(u64::from(self.config.open_ms)),
        };
        let app = Arc::new(routes::Routes(Arc::downgrade(self)));
        let server = http::Server::start(address, limits, app).await?;
        let address = server.address();
        *lock(&self.server) = Some(server);
        Ok(address)
    }

    fn set_faults(&self, faults: Faults) {
        lock(&self.state).starting_until_ms = self.now_ms().saturating_add(faults.starting_ms);
        self.faults.send_replace(faults);
        self.record_status();
    }

    fn publish(&self, holding: snapshot::Holding) {
        let mut state = lock(&self.state);
        let holdings = &mut state.holdings;
        match holdings.binary_search_by_key(&holding.snapshot, |held| held.snapshot) {
            Ok(index) => holdings[index] = holding,
            Err(index) => holdings.insert(index, holding),
        }
        drop(state);
        self.record_status();
    }

    fn retire(&self, snapshot: snapshot::Snapshot) {
        lock(&self.state).holdings.retain(|held| held.snapshot != snapshot);
        self.record_status();
    }

    fn silence(&self) {
        if let Some(server) = &*lock(&self.server) {
            server.silence();
        }
    }

    fn kill(self: &Arc<Self>, address: net::SocketAddr, kill: Kill) {
        lock(&self.job_tasks).abort_all();
        let server = lock(&self.server).take();
        drop(server);
        let Some(revive_ms) = kill.revive_ms else { return };
        tokio::spawn(revive(Arc::downgrade(self), address, revive_ms, kill.starting_ms));
    }

    fn state(&self) -> searcher_api::SearcherState {
        if self.faults.borrow().draining {
            return searcher_api::SearcherState::Draining;
        }
        if self.now_ms() < lock(&self.state).starting_until_ms {
            return searcher_api::SearcherState::Starting;
        }
        searcher_api::SearcherState::Ready
    }

    fn record_status(&self) {
        let state = self.state();
        let now_ms = self.now_ms();
        let load = self.slots.load();
        let mut locked_state = lock(&self.state);
        let actual = searcher_api::StatusReply {
            searcher: self.config.searcher.clone(),
            service: self.config.service.clone(),
            state,
            holdings: locked_state.holdings.clone(),
            load,
        };
        locked_state.history.record(now_ms, actual);
    }

    fn status(&self) -> Option<searcher_api::StatusReply> {
        self.record_status();
        let faults = self.faults.borrow().clone();
        let status = lock(&self.state).history.lagged(self.now_ms(), faults.status_lag_ms);
        let mut status = status?;
        status::apply_claims(&mut status, &faults);
        Some(status)
    }

    fn counts(&self) -> Counts {
        let mut counts = lock(&self.state).counts;
        counts.busy_peak = self.slots.busy_peak();
        if let Some(server) = &*lock(&self.server) {
            counts.connections_opened = server.opened_connections();
            counts.connections_peak = server.open_connections_peak() as u64;
            counts.connections_excess = server.excess_connections();
        }
        counts
    }
}

async fn revive(inner: Weak<Inner>, address: net::SocketAddr, revive_ms: u64, starting_ms: u64) {
    tokio::time::sleep(time::Duration::from_millis(revive_ms)).await;
    let Some(inner) = inner.upgrade() else { return };
    let faults = Faults { starting_ms, ..Faults::default() };
    inner.set_faults(faults);
    for _ in 0..LISTEN_ATTEMPTS {
        if inner.listen(address).await.is_ok() {
            return;
        }
        // The old listener is closed asynchronously by its own task.
        tokio::time::sleep(LISTEN_RETRY_DELAY).await;
    }
    tracing::warn!(
        searcher = %inner.config.searcher,
        "could not listen on {address} again after {LISTEN_ATTEMPTS} attempts"
    );
}

/// A running stand-in for a backend server. Dropping it stops it.
#[derive(Debug)]
pub struct Searcher {
    inner: Arc<Inner>,
    address: net::SocketAddr,
}

impl Searcher {
    /// Starts listening on the configured address and serving requests.
    ///
    /// # Errors
    ///
    /// When the listener can't be opened.
    pub async fn start(config: Config, faults: Faults) -> io::Result<Self> {
        let mut holdings = config.holdings.clone();
        holdings.sort_by_key(|held| held.snapshot);
        let state = State { holdings, ..State::default() };
        let listen = config.listen;
        let inner = Arc::new(Inner {
            slots: slots::Slots::new(config.slots, config.queue),
            config,
            started: time::Instant::now(),
            attempts: slots::Attempts::default(),
            faults: watch::Sender::new(Faults::default()),
            state: Mutex::new(state),
            server: Mutex::default(),
            job_tasks: Mutex::default(),
        });
        inner.set_faults(faults);
        let address = inner.listen(listen).await?;
        Ok(Self { inner, address })
    }

    /// Its configuration.
    pub fn config(&self) -> &Config {
        &self.inner.config
    }

    /// The address that it listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.inner.set_faults(faults);
    }

    /// The faults in force.
    pub fn faults(&self) -> Faults {
        self.inner.faults.borrow().clone()
    }

    /// Adds a snapshot to its holdings, or replaces the holding of the same snapshot.
    pub fn publish(&self, holding: snapshot::Holding) {
        self.inner.publish(holding);
    }

    /// Removes a snapshot from its holdings.
    pub fn retire(&self, snapshot: snapshot::Snapshot) {
        self.inner.retire(snapshot);
    }

    /// Stops answering on all connections that are open now, permanently; new ones are answered.
    pub fn silence(&self) {
        self.inner.silence();
    }

    /// Stops listening, closes all connections and aborts all requests in progress. Listens again
    /// later if [`Kill::revive_ms`] is set.
    pub fn kill(&self, kill: Kill) {
        self.inner.kill(self.address, kill);
    }

    /// The non-idempotent requests that were executed, in the order of their start.
    pub fn journal(&self) -> Vec<Execution> {
        lock(&self.inner.state).journal.clone()
    }

    /// Its current holdings, sorted by snapshot.
    pub fn holdings(&self) -> Vec<snapshot::Holding> {
        lock(&self.inner.state).holdings.clone()
    }

    /// The current load.
    pub fn load(&self) -> searcher_api::Load {
        self.inner.slots.load()
    }

    /// How many connections are open; 0 while it is killed.
    pub fn open_connections(&self) -> usize {
        lock(&self.inner.server).as_ref().map_or(0, http::Server::open_connections)
    }

    /// Its counters.
    pub fn counts(&self) -> Counts {
        self.inner.counts()
    }
}

impl Drop for Searcher {
    fn drop(&mut self) {
        self.inner.kill(self.address, Kill::default());
    }
}
