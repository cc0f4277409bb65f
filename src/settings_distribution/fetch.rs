//! Selects where to fetch the document of a newer revision: instances that have it, then the platform.

use super::api;
use crate::document;
use crate::ids;
use std::sync;

/// Time after which the next source is tried.
const ATTEMPT_TIMEOUT_MS: u64 = 1_000;

/// Delay before the next attempt after all sources have failed.
const RETRY_MS: u64 = 200;

/// The most instances that are tried before the platform.
const HOLDERS_MAX: usize = 4;

/// The most documents in the cache. The one in force is inserted again last, so it is never evicted.
const CACHE_MAX: usize = 8;

/// Where a document is fetched from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Source {
    Instance(ids::InstanceName),
    Platform,
}

/// A newer revision whose document is being fetched.
#[derive(Clone, Debug)]
pub(super) struct PendingFetch {
    pub(super) version: api::Version,
    /// Instances that have the document.
    holders: Vec<ids::InstanceName>,
    /// The source to try next: an index into `holders`; the one after the last is the platform.
    next_index: usize,
    /// The request id of the current attempt.
    in_flight: Option<u64>,
    next_attempt_ms: u64,
}

impl PendingFetch {
    pub(super) fn new(version: api::Version) -> Self {
        Self { version, holders: Vec::new(), next_index: 0, in_flight: None, next_attempt_ms: 0 }
    }

    pub(super) fn add_holder(&mut self, holder: &ids::InstanceName) {
        if self.holders.len() < HOLDERS_MAX && !self.holders.contains(holder) {
            self.holders.push(holder.clone());
        }
    }

    /// The source to fetch from now; `None` if the next attempt is not due.
    pub(super) fn next_source(&mut self, now_ms: u64, request: u64) -> Option<Source> {
        if now_ms < self.next_attempt_ms {
            return None;
        }
        let index = self.next_index % (self.holders.len() + 1);
        self.next_index = index + 1;
        self.in_flight = Some(request);
        self.next_attempt_ms = now_ms + ATTEMPT_TIMEOUT_MS;
        match self.holders.get(index) {
            Some(holder) => Some(Source::Instance(holder.clone())),
            None => Some(Source::Platform),
        }
    }

    /// Sets the request id under which the attempt was sent.
    pub(super) fn set_request(&mut self, request: u64) {
        self.in_flight = Some(request);
    }

    /// Records a failed attempt. Ignores a request other than the one in flight.
    pub(super) fn record_failure(&mut self, now_ms: u64, request: u64) {
        if self.in_flight != Some(request) {
            return;
        }
        self.in_flight = None;
        let all_failed = self.next_index > self.holders.len();
        self.next_attempt_ms = if all_failed { now_ms + RETRY_MS } else { now_ms };
    }
}

/// Recently used documents, the last inserted at the end.
#[derive(Clone, Debug, Default)]
pub(super) struct Cache {
    documents: Vec<sync::Arc<document::Document>>,
}

impl Cache {
    pub(super) fn find(
        &self,
        hash: document::DocumentHash,
    ) -> Option<sync::Arc<document::Document>> {
        self.documents.iter().find(|document| document.hash() == hash).cloned()
    }

    pub(super) fn insert(&mut self, document: sync::Arc<document::Document>) {
        self.documents.retain(|cached| cached.hash() != document.hash());
        self.documents.push(document);
        let surplus = self.documents.len().saturating_sub(CACHE_MAX);
        self.documents.drain(..surplus);
    }

    /// Replies to another instance, with a delta if its base is cached.
    pub(super) fn reply_to(&self, call: api::FetchCall) -> api::FetchReply {
        let Some(document) = self.find(call.document) else { return api::FetchReply::Missing };
        match call.base.and_then(|base| self.find(base)) {
            Some(base) => api::FetchReply::Delta(document::delta(&base, &document)),
            None => api::FetchReply::Whole(document.bytes().to_vec()),
        }
    }

    /// Decodes another instance's reply; `None` if it does not contain the document with this hash.
    pub(super) fn decode(
        &self,
        reply: &api::FetchReply,
        hash: document::DocumentHash,
    ) -> Option<document::Document> {
        let document = match reply {
            api::FetchReply::Delta(delta) => {
                let base = self.find(delta.base)?;
                document::apply(&base, delta).ok()?
            }
            api::FetchReply::Whole(bytes) => document::Document::from_bytes(bytes, hash).ok()?,
            api::FetchReply::Missing => return None,
        };
        (document.hash() == hash).then_some(document)
    }
}
