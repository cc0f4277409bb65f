//! The lifecycle of an instance: whether it serves requests, and how many are open.

use std::sync;
use std::sync::atomic;

/// The lifecycle state that all request handlers share.
#[derive(Debug, Default)]
pub struct Lifecycle {
    stopping: atomic::AtomicBool,
    ready_until_ms: atomic::AtomicU64,
    superseded: atomic::AtomicBool,
    open: sync::Arc<atomic::AtomicUsize>,
}

/// Counts a request as open until dropped.
#[derive(Debug)]
pub struct OpenRequest(sync::Arc<atomic::AtomicUsize>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

/// How long the readiness set by the settings task stays valid. A process that was paused for longer
/// may have missed a revision.
pub const READY_AGE_MAX_MS: u64 = 3_000;

impl Lifecycle {
    /// Records whether the settings in force are known to be up to date.
    pub fn set_ready(&self, now_ms: u64, ready: bool) {
        let until_ms = if ready { now_ms + READY_AGE_MAX_MS } else { 0 };
        self.ready_until_ms.store(until_ms, atomic::Ordering::Release);
    }

    /// Whether the settings in force are known to be up to date. Always false once superseded.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        if self.superseded.load(atomic::Ordering::Acquire) {
            return false;
        }
        now_ms < self.ready_until_ms.load(atomic::Ordering::Acquire)
    }

    /// Records that a newer process uses the name of this instance, so that this one no longer serves.
    pub fn set_superseded(&self) {
        self.superseded.store(true, atomic::Ordering::Release);
    }

    /// Counts a request as open until the returned guard is dropped.
    pub fn begin_request(&self) -> OpenRequest {
        self.open.fetch_add(1, atomic::Ordering::AcqRel);
        OpenRequest(self.open.clone())
    }

    /// Whether no request is open.
    pub fn is_idle(&self) -> bool {
        self.open.load(atomic::Ordering::Acquire) == 0
    }

    /// Records that the instance is stopping. It still serves callers that have its address.
    pub fn set_stopping(&self) {
        self.stopping.store(true, atomic::Ordering::Release);
    }

    /// Whether the instance is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(atomic::Ordering::Acquire)
    }
}
