//! The attempts that this instance waits for, whichever link their outcomes come over.

use crate::ids;
use crate::locks;
use crate::peer_api;
use std::sync;

/// Where the outcomes of one query's attempts go.
pub type ReplySender = tokio::sync::mpsc::Sender<peer_api::ShardReply>;

#[derive(Debug)]
struct PendingAttempt {
    attempt: ids::AttemptId,
    searcher: ids::SearcherName,
    owner: ids::InstanceName,
    sender: ReplySender,
}

/// The open attempts, sorted by id.
#[derive(Debug, Default)]
pub struct Attempts {
    pending: sync::Mutex<Vec<PendingAttempt>>,
}

impl Attempts {
    /// Waits for the outcome of `call` at `owner`.
    pub fn open(
        &self,
        call: &peer_api::ShardCall,
        owner: &ids::InstanceName,
        sender: &ReplySender,
    ) {
        let entry = PendingAttempt {
            attempt: call.attempt,
            searcher: call.searcher.clone(),
            owner: owner.clone(),
            sender: sender.clone(),
        };
        let mut pending = self.lock();
        let index = pending.partition_point(|w| w.attempt < call.attempt);
        pending.insert(index, entry);
    }

    /// Gives an outcome to the query that waits for it. False if none does.
    pub fn resolve(&self, reply: peer_api::ShardReply) -> bool {
        let found = self.remove(reply.attempt);
        match found {
            Some(pending) => pending.sender.try_send(reply).is_ok(),
            None => false,
        }
    }

    /// Stops waiting for an attempt.
    pub fn close(&self, attempt: ids::AttemptId) {
        self.remove(attempt);
    }

    /// Fails all attempts at `owner`, whose link broke.
    pub fn fail_owner(&self, owner: &ids::InstanceName) {
        let mut failed = Vec::new();
        {
            let mut pending = self.lock();
            let mut index = 0;
            while let Some(entry) = pending.get(index) {
                if entry.owner != *owner {
                    index += 1;
                    continue;
                }
                failed.push(pending.remove(index));
            }
        }
        for entry in failed {
            let reply = failed_reply(entry.attempt, entry.searcher, peer_api::Failure::Lost);
            if entry.sender.try_send(reply).is_err() {
                tracing::debug!(attempt = %entry.attempt, "query ended before its attempt failed");
            }
        }
    }

    /// How many attempts are open.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn remove(&self, attempt: ids::AttemptId) -> Option<PendingAttempt> {
        let mut pending = self.lock();
        let index = pending.binary_search_by(|w| w.attempt.cmp(&attempt)).ok()?;
        Some(pending.remove(index))
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<PendingAttempt>> {
        locks::lock(&self.pending)
    }
}

/// The outcome of an attempt that failed without an owner's word on its load.
pub fn failed_reply(
    attempt: ids::AttemptId,
    searcher: ids::SearcherName,
    failure: peer_api::Failure,
) -> peer_api::ShardReply {
    peer_api::ShardReply {
        attempt,
        searcher,
        outcome: peer_api::ShardOutcome::Failed(failure),
        load: None,
    }
}
