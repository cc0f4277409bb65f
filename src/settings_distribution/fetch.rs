//! Fetches the document of a newer revision: from the instances that told of it, else from the platform.

use super::api;
use crate::document;
use crate::ids;
use std::sync;

/// How long one source is given.
const ATTEMPT_TIMEOUT_MS: u64 = 1_000;

/// The pause after every source has failed.
const RETRY_MS: u64 = 200;

/// The most instances that are asked in turn.
const HOLDERS_MAX: usize = 4;

/// The most documents kept besides the one in force.
const CACHE_MAX: usize = 8;

/// Where a document is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Source {
    Instance(ids::InstanceName),
    Platform,
}

/// A revision whose document is not at hand yet.
#[derive(Clone, Debug)]
pub(super) struct PendingFetch {
    pub(super) version: api::Version,
    holders: Vec<ids::InstanceName>,
    next: usize,
    in_flight: Option<u64>,
    next_attempt_ms: u64,
}

impl PendingFetch {
    pub(super) fn new(version: api::Version) -> Self {
        Self { version, holders: Vec::new(), next: 0, in_flight: None, next_attempt_ms: 0 }
    }

    pub(super) fn add_holder(&mut self, holder: &ids::InstanceName) {
        if self.holders.len() < HOLDERS_MAX && !self.holders.contains(holder) {
            self.holders.push(holder.clone());
        }
    }

    /// The source to ask now, if it is time to.
    pub(super) fn next_source(&mut self, now_ms: u64, request: u64) -> Option<Source> {
        if now_ms < self.next_attempt_ms {
            return None;
        }
        let index = self.next % (self.holders.len() + 1);
        self.next = index + 1;
        self.in_flight = Some(request);
        self.next_attempt_ms = now_ms + ATTEMPT_TIMEOUT_MS;
        match self.holders.get(index) {
            Some(holder) => Some(Source::Instance(holder.clone())),
            None => Some(Source::Platform),
        }
    }

    /// Notes the request under which the attempt was sent.
    pub(super) fn set_request(&mut self, request: u64) {
        self.in_flight = Some(request);
    }

    /// Notes that an attempt failed.
    pub(super) fn record_failure(&mut self, now_ms: u64, request: u64) {
        if self.in_flight != Some(request) {
            return;
        }
        self.in_flight = None;
        let all_failed = self.next > self.holders.len();
        self.next_attempt_ms = if all_failed { now_ms + RETRY_MS } else { now_ms };
    }
}

/// Documents at hand, the newest last.
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
        self.documents.retain(|known| known.hash() != document.hash());
        self.documents.push(document);
        let surplus = self.documents.len().saturating_sub(CACHE_MAX);
        self.documents.drain(..surplus);
    }

    /// Answers another instance.
    pub(super) fn reply_to(&self, call: api::FetchCall) -> api::FetchReply {
        let Some(wanted) = self.find(call.wanted) else { return api::FetchReply::Missing };
        match call.base.and_then(|base| self.find(base)) {
            Some(base) => api::FetchReply::Delta(document::delta(&base, &wanted)),
            None => api::FetchReply::Whole(wanted.bytes().to_vec()),
        }
    }

    /// Opens another instance's answer; `None` if it isn't the document wanted.
    pub(super) fn decode(
        &self,
        reply: &api::FetchReply,
        wanted: document::DocumentHash,
    ) -> Option<document::Document> {
        let document = match reply {
            api::FetchReply::Delta(delta) => {
                let base = self.find(delta.base)?;
                document::apply(&base, delta).ok()?
            }
            api::FetchReply::Whole(bytes) => document::Document::from_bytes(bytes, wanted).ok()?,
            api::FetchReply::Missing => return None,
        };
        (document.hash() == wanted).then_some(document)
    }
}
