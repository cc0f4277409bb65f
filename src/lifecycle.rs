//! Whether an instance takes requests, and how many are open.

use std::sync;
use std::sync::atomic;

/// The state that all handlers look at.
#[derive(Debug, Default)]
pub struct Lifecycle {
    stopping: atomic::AtomicBool,
    ready_until_ms: atomic::AtomicU64,
    superseded: atomic::AtomicBool,
    open: sync::Arc<atomic::AtomicUsize>,
}

/// A request that is open until this is dropped.
#[derive(Debug)]
pub struct OpenRequest(sync::Arc<atomic::AtomicUsize>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

/// How old the word of the settings' duty may be: a process that was paused for longer may have missed
/// a revision.
pub const READY_AGE_MAX_MS: u64 = 3_000;

impl Lifecycle {
    /// Notes whether the settings in force may be trusted.
    pub fn set_ready(&self, now_ms: u64, ready: bool) {
        let until_ms = if ready { now_ms + READY_AGE_MAX_MS } else { 0 };
        self.ready_until_ms.store(until_ms, atomic::Ordering::Release);
    }

    /// Whether the settings in force may be trusted now.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        if self.superseded.load(atomic::Ordering::Acquire) {
            return false;
        }
        now_ms < self.ready_until_ms.load(atomic::Ordering::Acquire)
    }

    /// Notes that a newer process has this instance's name: this one serves no more.
    pub fn set_superseded(&self) {
        self.superseded.store(true, atomic::Ordering::Release);
    }

    /// Counts a request in.
    pub fn begin_request(&self) -> OpenRequest {
        self.open.fetch_add(1, atomic::Ordering::AcqRel);
        OpenRequest(self.open.clone())
    }

    /// Whether no request is open.
    pub fn is_idle(&self) -> bool {
        self.open.load(atomic::Ordering::Acquire) == 0
    }

    /// Notes that the instance is about to stop. It still serves those who hold its address.
    pub fn set_stopping(&self) {
        self.stopping.store(true, atomic::Ordering::Release);
    }

    /// Whether the instance is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(atomic::Ordering::Acquire)
    }
}
