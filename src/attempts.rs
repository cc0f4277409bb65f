//! The attempts of this instance's queries that have no outcome yet, over all links.

use crate::ids;
use crate::locks;
use crate::peer_api;
use std::sync;

/// The channel for the outcomes of one query's attempts.
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
    /// Registers `call`, sent to `owner`; its outcome will go to `sender`.
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
        let index = pending.partition_point(|entry| entry.attempt < call.attempt);
        pending.insert(index, entry);
    }

    /// Delivers an outcome to its query. Returns false if the attempt is not open, or if the
    /// query's channel is closed or full.
    pub fn resolve(&self, reply: peer_api::ShardReply) -> bool {
        let found = self.remove(reply.attempt);
        match found {
            Some(pending) => pending.sender.try_send(reply).is_ok(),
            None => false,
        }
    }

    /// Removes an attempt; its outcome will be ignored.
    pub fn close(&self, attempt: ids::AttemptId) {
        self.remove(attempt);
    }

    /// Fails all attempts sent to `owner`, whose link broke, as lost.
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
                tracing::debug!(
                    attempt = %entry.attempt,
                    "dropped the outcome of a lost attempt: its query has ended or its queue is full"
                );
            }
        }
    }

    /// The number of open attempts.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no attempt is open.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn remove(&self, attempt: ids::AttemptId) -> Option<PendingAttempt> {
        let mut pending = self.lock();
        let index = pending.binary_search_by(|entry| entry.attempt.cmp(&attempt)).ok()?;
        Some(pending.remove(index))
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<PendingAttempt>> {
        locks::lock(&self.pending)
    }
}

/// The outcome of an attempt that failed without a load report from an owner.
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
