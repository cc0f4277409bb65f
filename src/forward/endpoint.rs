//! A searcher's address and the pool of idle connections to it.

use crate::clock;
use crate::discovery::registry;
use crate::event;
use crate::events::Event;
use crate::expected_work::load;
use crate::forward::connection_limit;
use crate::forward::limit;
use crate::forward::read_limit;
use crate::forward::send_limit;
use crate::locks;
use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use hyper::client::conn::http1;
use std::sync;
use std::sync::atomic;

/// How long an idle connection is kept if the searcher states no idle timeout: less than five seconds,
/// the shortest idle timeout in common use.
const IDLE_TIMEOUT_US: u64 = 4_000_000;
/// How long before the idle timeout that a searcher states an idle connection is closed.
const IDLE_MARGIN_US: u64 = 700_000;

/// How far away a searcher is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Distance {
    /// In the instance's failure domain.
    SameDomain,
    /// In the instance's region, but another failure domain.
    SameRegion,
    /// In another region.
    OtherRegion,
}

impl Distance {
    /// The typical round-trip time over this distance.
    pub fn round_trip_us(self) -> u64 {
        match self {
            Self::SameDomain => 300,
            Self::SameRegion => 1_500,
            Self::OtherRegion => 32_000,
        }
    }
}

/// An open connection that is not in use.
pub struct IdleConnection {
    /// Sends requests on the connection.
    pub sender: http1::SendRequest<Full<Bytes>>,
    /// How much may still be read from it.
    pub allowance: read_limit::Allowance,
    /// The time, by [`clock::now_us`], from which it is not used any more.
    pub expires_us: u64,
    /// Whether all answers on it had the ids of their requests, so that a late copy of one can be told from the answer to
    /// the next request.
    pub is_identified: bool,
    _counted: send_limit::IdleGuard,
}

/// One process of a searcher at one address; a restarted searcher gets a new endpoint.
pub struct Endpoint {
    /// The searcher's id.
    pub id: CompactString,
    /// The searcher as it registered itself.
    pub searcher: registry::Searcher,
    /// How far away it is.
    pub distance: Distance,
    send_limit: sync::Arc<send_limit::SendLimit>,
    idle: sync::Mutex<Vec<IdleConnection>>,
    connection_count: atomic::AtomicUsize,
    connection_limit: sync::Mutex<connection_limit::ConnectionLimit>,
    is_misdirected: atomic::AtomicBool,
    is_leaving: atomic::AtomicBool,
    paused_until_us: atomic::AtomicU64,
    cold_until_us: atomic::AtomicU64,
    limit: sync::Mutex<Option<limit::RequestRate>>,
    load: sync::Mutex<Option<load::Load>>,
}

impl Endpoint {
    /// Creates an endpoint without connections. Its idle connections count in `send_limit`.
    pub fn new(
        id: CompactString,
        searcher: registry::Searcher,
        distance: Distance,
        send_limit: sync::Arc<send_limit::SendLimit>,
    ) -> Self {
        Self {
            id,
            searcher,
            distance,
            send_limit,
            idle: sync::Mutex::default(),
            connection_count: atomic::AtomicUsize::new(0),
            connection_limit: sync::Mutex::default(),
            is_misdirected: atomic::AtomicBool::new(false),
            is_leaving: atomic::AtomicBool::new(false),
            paused_until_us: atomic::AtomicU64::new(0),
            cold_until_us: atomic::AtomicU64::new(0),
            limit: sync::Mutex::default(),
            load: sync::Mutex::default(),
        }
    }

    /// Takes the idle connection that was used last, skipping expired and closed ones and, if `needs_identified`, those
    /// that are not [`IdleConnection::is_identified`]. `None` if there is none; the searcher's limit of connections then
    /// has to have room for another one, so that the one that was idle longest is closed.
    pub fn take_idle(&self, needs_identified: bool) -> Option<IdleConnection> {
        let now_us = clock::now_us();
        let mut idle = locks::lock(&self.idle);
        idle.retain(|idle| idle.sender.is_ready() && now_us < idle.expires_us);
        let index = idle.iter().rposition(|idle| idle.is_identified || !needs_identified);
        if index.is_none() && !idle.is_empty() {
            idle.remove(0);
        }
        index.map(|index| idle.remove(index))
    }

    /// Keeps a connection for the next request. `keep_alive_us` is the idle timeout that the searcher
    /// states, `None` if it states none; `is_identified` whether all answers on it had the ids of their
    /// requests.
    pub fn put_idle(
        &self,
        sender: http1::SendRequest<Full<Bytes>>,
        allowance: read_limit::Allowance,
        keep_alive_us: Option<u64>,
        is_identified: bool,
    ) {
        let keep_us = keep_alive_us
            .map_or(IDLE_TIMEOUT_US, |timeout_us| timeout_us.saturating_sub(IDLE_MARGIN_US));
        let expires_us = clock::now_us() + keep_us;
        locks::lock(&self.idle).push(IdleConnection {
            sender,
            allowance,
            expires_us,
            is_identified,
            _counted: self.send_limit.hold_idle(),
        });
    }

    /// The time at which the connection that has been idle longest expires; `None` if there is none.
    pub fn oldest_idle_expires_us(&self) -> Option<u64> {
        locks::lock(&self.idle).first().map(|idle| idle.expires_us)
    }

    /// Closes the connection that has been idle longest.
    pub fn close_oldest_idle(&self) {
        let mut idle = locks::lock(&self.idle);
        if !idle.is_empty() {
            idle.remove(0);
        }
    }

    /// Drops idle connections that have expired or are closed.
    pub fn sweep(&self) {
        let now_us = clock::now_us();
        locks::lock(&self.idle).retain(|idle| now_us < idle.expires_us && !idle.sender.is_closed());
    }

    /// Closes all idle connections: one of them failed, so the others are likely to be broken as well.
    pub fn close_idle(&self) {
        locks::lock(&self.idle).clear();
    }

    /// Counts a connection as open until the guard is dropped.
    pub fn track_connection(self: &sync::Arc<Self>) -> ConnectionGuard {
        self.connection_count.fetch_add(1, atomic::Ordering::Relaxed);
        ConnectionGuard(self.clone())
    }

    /// Records that the searcher reset a new connection that was not used yet.
    pub fn record_reset(&self, now_us: u64) {
        // The one that was reset is still counted.
        let open_count = self.connection_count().saturating_sub(1);
        locks::lock(&self.connection_limit).record_reset(now_us, open_count);
        tracing::debug!(searcher = %self.id, open_count, "the searcher reset a new connection");
    }

    /// Records that a new connection was reset after a request was sent on it.
    pub fn suspect_limit(&self, now_us: u64) {
        locks::lock(&self.connection_limit).suspect(now_us);
    }

    /// Returns how many connections the searcher accepts from this instance, as far as it is known.
    pub fn connections_allowed(&self, now_us: u64) -> usize {
        locks::lock(&self.connection_limit).allowed(now_us)
    }

    /// Whether the searcher may reset a new connection.
    pub fn may_reset(&self, now_us: u64) -> bool {
        locks::lock(&self.connection_limit).is_suspected(now_us)
    }

    /// The number of open connections, idle or in use.
    pub fn connection_count(&self) -> usize {
        self.connection_count.load(atomic::Ordering::Relaxed)
    }

    /// Marks the endpoint as misdirected: another searcher answers at the address, so this one has ended.
    pub fn set_misdirected(&self) {
        self.is_misdirected.store(true, atomic::Ordering::Relaxed);
    }

    /// Marks the endpoint as leaving: the searcher has said in an answer that it is about to stop.
    pub fn set_leaving(&self) {
        if !self.is_leaving.swap(true, atomic::Ordering::Relaxed) {
            event!(info, Event::SearcherLeaving, searcher = %self.id);
        }
    }

    /// Sends no requests before `until_us`, by [`clock::now_us`]: the searcher has rejected one and said when to come
    /// back.
    pub fn pause(&self, until_us: u64) {
        self.paused_until_us.fetch_max(until_us, atomic::Ordering::Relaxed);
    }

    /// The time, by [`clock::now_us`], before which the searcher wants no requests from this instance.
    pub fn paused_until_us(&self) -> u64 {
        self.paused_until_us.load(atomic::Ordering::Relaxed)
    }

    /// Sets until when, by [`clock::now_us`], the searcher is cold, as it said in its last answer that states it.
    pub fn set_cold_until_us(&self, until_us: u64) {
        self.cold_until_us.store(until_us, atomic::Ordering::Relaxed);
    }

    /// Until when, by [`clock::now_us`], the searcher is cold by what it said in answers.
    pub fn cold_until_us(&self) -> u64 {
        self.cold_until_us.load(atomic::Ordering::Relaxed)
    }

    /// Sets the limit that the searcher named in its last answer; `None` if it named none.
    pub fn set_limit(&self, limit: Option<limit::RequestRate>) {
        let previous = std::mem::replace(&mut *locks::lock(&self.limit), limit);
        if previous.is_some() != limit.is_some() {
            let per_s = limit.map_or(-1.0, |limit| limit.per_s());
            event!(info, Event::SearcherLimit, searcher = %self.id, per_s);
        }
    }

    /// How many requests per second the searcher takes from all instances together; `None` if it named no limit.
    pub fn limit(&self) -> Option<limit::RequestRate> {
        *locks::lock(&self.limit)
    }

    /// Sets the load that the searcher stated in an answer that has just arrived.
    pub fn set_load(&self, load: load::Load) {
        *locks::lock(&self.load) = Some(load);
    }

    /// Takes the load that the searcher stated since this was called last; `None` if it stated none.
    pub fn take_load(&self) -> Option<load::Load> {
        locks::lock(&self.load).take()
    }

    /// Whether the endpoint gets no more requests: another searcher answers at the address, or the searcher is
    /// leaving.
    pub fn is_gone(&self) -> bool {
        self.is_misdirected.load(atomic::Ordering::Relaxed)
            || self.is_leaving.load(atomic::Ordering::Relaxed)
    }
}

/// Counts a connection as open while it lives.
pub struct ConnectionGuard(sync::Arc<Endpoint>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connection_count.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
