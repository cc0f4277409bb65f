//! The slots of a backend server, their bounded queue, and the attempts that can be cancelled.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, atomic};
use tarragondoor::ids;
use tarragondoor::searcher_api;
use tokio::sync;

/// The slots and their queue. Slots are granted in the order of arrival.
#[derive(Debug)]
pub struct Slots {
    free: Arc<sync::Semaphore>,
    queue_max: u16,
    busy: atomic::AtomicU16,
    busy_peak: atomic::AtomicU16,
    queued: atomic::AtomicU16,
}

/// A slot in use; dropping this frees it.
pub struct Slot<'a> {
    slots: &'a Slots,
    _permit: sync::OwnedSemaphorePermit,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.slots.busy.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

/// A place in the queue; dropping this frees it.
struct QueueEntry<'a>(&'a Slots);

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.0.queued.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

impl Slots {
    /// Creates `slots` free slots with a queue of at most `queue_max` requests.
    pub fn new(slots: u16, queue_max: u16) -> Self {
        Self {
            free: Arc::new(sync::Semaphore::new(usize::from(slots))),
            queue_max,
            busy: atomic::AtomicU16::new(0),
            busy_peak: atomic::AtomicU16::new(0),
            queued: atomic::AtomicU16::new(0),
        }
    }

    /// The current load.
    pub fn load(&self) -> searcher_api::Load {
        searcher_api::Load {
            busy_slots: self.busy.load(atomic::Ordering::SeqCst),
            queued: self.queued.load(atomic::Ordering::SeqCst),
        }
    }

    /// The largest number of slots that were in use at a time.
    pub fn busy_peak(&self) -> u16 {
        self.busy_peak.load(atomic::Ordering::SeqCst)
    }

    /// Acquires a slot, or waits for one until `deadline` or until `attempt` is cancelled.
    ///
    /// # Errors
    ///
    /// `Shed` if the queue is full, `Cancelled` or `TimedOut` if the wait ends without a slot.
    pub async fn acquire(
        &self,
        deadline: tokio::time::Instant,
        attempt: &Attempt<'_>,
    ) -> Result<Slot<'_>, searcher_api::Refusal> {
        if let Ok(permit) = self.free.clone().try_acquire_owned() {
            return Ok(self.occupy(permit));
        }
        let _queued = self.enqueue().ok_or(searcher_api::Refusal::Shed)?;
        tokio::select! {
            biased;
            () = attempt.cancelled() => Err(searcher_api::Refusal::Cancelled),
            () = tokio::time::sleep_until(deadline) => Err(searcher_api::Refusal::TimedOut),
            Ok(permit) = self.free.clone().acquire_owned() => Ok(self.occupy(permit)),
        }
    }

    fn enqueue(&self) -> Option<QueueEntry<'_>> {
        let increment = |queued: u16| (queued < self.queue_max).then_some(queued + 1);
        let order = atomic::Ordering::SeqCst;
        self.queued.fetch_update(order, order, increment).ok()?;
        Some(QueueEntry(self))
    }

    fn occupy(&self, permit: sync::OwnedSemaphorePermit) -> Slot<'_> {
        let busy = self.busy.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        self.busy_peak.fetch_max(busy, atomic::Ordering::SeqCst);
        Slot { slots: self, _permit: permit }
    }
}

#[derive(Clone, Debug)]
struct AttemptEntry {
    id: ids::AttemptId,
    cancel: Arc<sync::Notify>,
}

/// The attempts that are queued or running.
#[derive(Debug, Default)]
pub struct Attempts(Mutex<Vec<AttemptEntry>>);

impl Attempts {
    /// Registers an attempt until the returned [`Attempt`] is dropped.
    pub fn register(&self, id: ids::AttemptId) -> Attempt<'_> {
        let cancel = Arc::new(sync::Notify::new());
        let mut entries = self.lock();
        let index = entries.partition_point(|entry| entry.id <= id);
        entries.insert(index, AttemptEntry { id, cancel: cancel.clone() });
        Attempt { attempts: self, id, cancel }
    }

    /// Cancels an attempt, if it is queued or running.
    pub fn cancel(&self, id: ids::AttemptId) {
        let entries = self.lock();
        let from = entries.partition_point(|entry| entry.id < id);
        for entry in &entries[from..] {
            if entry.id != id {
                break;
            }
            entry.cancel.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<AttemptEntry>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A registered attempt; dropping it removes its entry.
pub struct Attempt<'a> {
    attempts: &'a Attempts,
    id: ids::AttemptId,
    cancel: Arc<sync::Notify>,
}

impl Attempt<'_> {
    /// Waits until the attempt is cancelled.
    pub async fn cancelled(&self) {
        self.cancel.notified().await;
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        let cancel = &self.cancel;
        self.attempts
            .lock()
            .retain(|entry| entry.id != self.id || !Arc::ptr_eq(&entry.cancel, cancel));
    }
}
