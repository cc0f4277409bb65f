//! A searcher's address and the connections to it that are idle.

use crate::clock;
use crate::discovery::registry;
use crate::locks;
use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use hyper::client::conn::http1;
use std::sync;
use std::sync::atomic;

/// How long an idle connection is kept if the searcher names no time: shorter than the shortest usual
/// idle timeout of five seconds.
const IDLE_TIMEOUT_DEFAULT_US: u64 = 4_000_000;
/// How much sooner than the searcher says an idle connection is given up.
const IDLE_MARGIN_US: u64 = 700_000;

/// How far a searcher is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Distance {
    /// In the instance's failure domain.
    SameDomain,
    /// In its region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

impl Distance {
    /// A usual round trip over this distance.
    pub fn round_trip_us(self) -> u64 {
        match self {
            Self::SameDomain => 300,
            Self::SameRegion => 1_500,
            Self::OtherRegion => 32_000,
        }
    }
}

/// A connection that waits for its next request.
pub struct IdleConnection {
    /// Sends a request.
    pub sender: http1::SendRequest<Full<Bytes>>,
    /// When it is to be given up.
    pub expires_us: u64,
}

/// One life of a searcher.
pub struct Endpoint {
    /// Its id.
    pub id: CompactString,
    /// What it said of itself.
    pub searcher: registry::Searcher,
    /// How far it is.
    pub distance: Distance,
    idle: sync::Mutex<Vec<IdleConnection>>,
    connection_count: atomic::AtomicUsize,
    is_misdirected: atomic::AtomicBool,
}

impl Endpoint {
    /// An endpoint without connections.
    pub fn new(id: CompactString, searcher: registry::Searcher, distance: Distance) -> Self {
        Self {
            id,
            searcher,
            distance,
            idle: sync::Mutex::default(),
            connection_count: atomic::AtomicUsize::new(0),
            is_misdirected: atomic::AtomicBool::new(false),
        }
    }

    /// Takes the connection that was used last, if one is fit.
    pub fn take_idle(&self) -> Option<IdleConnection> {
        let now_us = clock::now_us();
        let mut idle = locks::lock(&self.idle);
        while let Some(connection) = idle.pop() {
            if connection.sender.is_ready() && now_us < connection.expires_us {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request. `keep_alive_us` is the searcher's own idle timeout.
    pub fn put_idle(&self, sender: http1::SendRequest<Full<Bytes>>, keep_alive_us: Option<u64>) {
        let keep_us = keep_alive_us.map_or(IDLE_TIMEOUT_DEFAULT_US, |timeout_us| {
            timeout_us.saturating_sub(IDLE_MARGIN_US)
        });
        let expires_us = clock::now_us() + keep_us;
        locks::lock(&self.idle).push(IdleConnection { sender, expires_us });
    }

    /// Closes idle connections that have expired.
    pub fn sweep(&self) {
        let now_us = clock::now_us();
        locks::lock(&self.idle).retain(|idle| now_us < idle.expires_us && !idle.sender.is_closed());
    }

    /// Closes all idle connections: one of them turned out to be dead.
    pub fn close_idle(&self) {
        locks::lock(&self.idle).clear();
    }

    /// Counts an open connection until the guard is dropped.
    pub fn track_connection(self: &sync::Arc<Self>) -> ConnectionGuard {
        self.connection_count.fetch_add(1, atomic::Ordering::Relaxed);
        ConnectionGuard(self.clone())
    }

    /// How many connections are open.
    pub fn connection_count(&self) -> usize {
        self.connection_count.load(atomic::Ordering::Relaxed)
    }

    /// Notes that another searcher answers at the address: this life has ended.
    pub fn set_misdirected(&self) {
        self.is_misdirected.store(true, atomic::Ordering::Relaxed);
    }

    /// Whether another searcher answers at the address.
    pub fn is_misdirected(&self) -> bool {
        self.is_misdirected.load(atomic::Ordering::Relaxed)
    }
}

/// Counts an open connection.
pub struct ConnectionGuard(sync::Arc<Endpoint>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connection_count.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
