//! Whether an instance takes requests, and how many are open.

use std::sync;
use std::sync::atomic;

/// The state that all handlers look at.
#[derive(Debug, Default)]
pub struct Gate {
    stopping: atomic::AtomicBool,
    ready: atomic::AtomicBool,
    told_ms: atomic::AtomicU64,
    open: sync::Arc<atomic::AtomicUsize>,
}

/// A request that is open until this is dropped.
#[derive(Debug)]
pub struct Open(sync::Arc<atomic::AtomicUsize>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

/// How old the word of the settings' duty may be: a process that was paused for longer may have missed
/// a revision.
pub const READY_AGE_MAX_MS: u64 = 3_000;

impl Gate {
    /// Notes whether the settings in force may be trusted.
    pub fn set_ready(&self, now_ms: u64, ready: bool) {
        self.told_ms.store(now_ms, atomic::Ordering::Release);
        self.ready.store(ready, atomic::Ordering::Release);
    }

    /// Whether the settings in force may be trusted now.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        let age_ms = now_ms.saturating_sub(self.told_ms.load(atomic::Ordering::Acquire));
        self.ready.load(atomic::Ordering::Acquire) && age_ms <= READY_AGE_MAX_MS
    }

    /// Counts a request in.
    pub fn enter(&self) -> Open {
        self.open.fetch_add(1, atomic::Ordering::AcqRel);
        Open(self.open.clone())
    }

    /// Whether no request is open.
    pub fn is_idle(&self) -> bool {
        self.open.load(atomic::Ordering::Acquire) == 0
    }

    /// Notes that the instance is about to stop. It still serves those who hold its address.
    pub fn stop(&self) {
        self.stopping.store(true, atomic::Ordering::Release);
    }

    /// Whether the instance is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(atomic::Ordering::Acquire)
    }
}
