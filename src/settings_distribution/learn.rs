//! Learns of newer revisions, fetches their documents and puts them in force.

use super::api;
use super::fetch;
use super::{Distributor, Output, Purpose};
use crate::document;
use crate::ids;
use rand::seq::IteratorRandom as _;
use std::sync;

/// How many instances are notified directly when a revision comes into force here.
const PUSH_FANOUT: usize = 4;

/// The most queries to answer a second time: those from instances with a newer revision, once a newer
/// revision is in force here.
const DEFERRED_REPLIES_MAX: usize = 16;

impl Distributor {
    /// Starts to put the committed `version` in force, unless it is outdated or contradicts the known one.
    /// `holder` is an instance that has its document, `None` if none is known.
    pub(super) fn learn(&mut self, version: api::Version, holder: Option<&ids::InstanceName>) {
        if let Some(known) = self.version()
            && version.revision <= known.revision
        {
            if version.revision == known.revision && version != known {
                self.outputs.push(Output::Contradiction { known, reported: version });
            }
            return;
        }
        if version.revision == ids::Revision(0) {
            return;
        }
        match &self.pending_fetch {
            Some(pending) if pending.version.revision > version.revision => return,
            Some(pending) if pending.version == version => {}
            Some(pending) if pending.version.revision == version.revision => {
                let known = pending.version;
                self.outputs.push(Output::Contradiction { known, reported: version });
                return;
            }
            Some(_) | None => self.pending_fetch = Some(fetch::PendingFetch::new(version)),
        }
        if let (Some(pending), Some(holder)) = (&mut self.pending_fetch, holder) {
            pending.add_holder(holder);
        }
        self.advance_fetch();
    }

    pub(super) fn advance_fetch(&mut self) {
        let Some(pending) = &self.pending_fetch else { return };
        if let Some(document) = self.documents.find(pending.version.document) {
            self.apply(document);
            return;
        }
        let request = self.next_request_id();
        let Some(pending) = &mut self.pending_fetch else { return };
        let hash = pending.version.document;
        match pending.next_source(self.now_ms, request) {
            Some(fetch::Source::Instance(to)) => {
                let base = self.version().map(|version| version.document);
                let call = api::FetchCall { base, document: hash };
                self.outputs.push(Output::Fetch { request, to, call });
            }
            Some(fetch::Source::Platform) => {
                let call = api::PlatformCall::Get(api::Key::Document(hash));
                let platform_request = self.call_platform(call, Purpose::Document);
                if let Some(pending) = &mut self.pending_fetch {
                    pending.set_request(platform_request);
                }
            }
            None => {}
        }
    }

    pub(super) fn handle_fetch_reply(&mut self, request: u64, reply: Option<api::FetchReply>) {
        let Some(pending) = &self.pending_fetch else { return };
        let document =
            reply.and_then(|reply| self.documents.decode(&reply, pending.version.document));
        self.handle_fetch_result(request, document);
    }

    pub(super) fn handle_document_reply(&mut self, request: u64, reply: &api::PlatformReply) {
        let Some(pending) = &self.pending_fetch else { return };
        let document = match reply {
            api::PlatformReply::Found { value, .. } => {
                document::Document::from_value(value, pending.version.document).ok()
            }
            _ => None,
        };
        self.handle_fetch_result(request, document);
    }

    fn handle_fetch_result(&mut self, request: u64, document: Option<document::Document>) {
        let now_ms = self.now_ms;
        match document {
            Some(document) => self.cache(sync::Arc::new(document)),
            None => {
                if let Some(pending) = &mut self.pending_fetch {
                    pending.record_failure(now_ms, request);
                }
            }
        }
        self.advance_fetch();
    }

    pub(super) fn cache(&mut self, document: sync::Arc<document::Document>) {
        self.documents.insert(document);
        if let Some((_, in_force)) = &self.in_force {
            self.documents.insert(in_force.clone());
        }
    }

    fn apply(&mut self, document: sync::Arc<document::Document>) {
        let Some(pending) = self.pending_fetch.take() else { return };
        let version = pending.version;
        self.in_force = Some((version.revision, document.clone()));
        self.cache(document.clone());
        self.outputs.push(Output::Apply { revision: version.revision, document });
        let live = self.peers.all().iter().filter(|peer| peer.is_live());
        for peer in live.sample(&mut self.rng, PUSH_FANOUT) {
            let message = api::Message::Push { version };
            self.outputs.push(Output::Send { to: peer.instance.clone(), message });
        }
        for (to, nonce) in std::mem::take(&mut self.deferred_replies) {
            self.send_reply(&to, nonce);
        }
    }

    pub(super) fn handle_settings_status(
        &mut self,
        from: &ids::InstanceName,
        boot: ids::BootId,
        version: Option<api::Version>,
    ) {
        if *from == self.config.instance {
            return;
        }
        self.last_contact_ms = self.now_ms;
        self.peers.record_contact(from, boot, self.now_ms);
        if let Some(version) = version {
            self.learn(version, Some(from));
        }
    }

    pub(super) fn handle_datagram(
        &mut self,
        from: &ids::InstanceName,
        boot: ids::BootId,
        message: api::Message,
    ) {
        if *from == self.config.instance {
            return;
        }
        match message {
            api::Message::Push { version } => {
                self.handle_settings_status(from, boot, Some(version))
            }
            api::Message::Query { nonce, version, standing } => {
                self.handle_settings_status(from, boot, version);
                if standing != api::Standing::Fresh {
                    self.peers.record_starting(from, boot, self.now_ms);
                }
                if self.deferred_replies.len() < DEFERRED_REPLIES_MAX && version > self.version() {
                    self.deferred_replies.push((from.clone(), nonce));
                }
                self.send_reply(from, nonce);
            }
            api::Message::Reply { nonce, version, standing, starters, more_starters } => {
                self.handle_settings_status(from, boot, version);
                for starter in starters {
                    if starter.instance != self.config.instance {
                        self.peers.record_contact(&starter.instance, starter.boot, self.now_ms);
                    }
                }
                let revision = version.map_or(ids::Revision(0), |version| version.revision);
                if nonce == self.readiness.survey.nonce {
                    self.readiness.survey.record_reply(from, boot, revision, standing, true);
                    self.readiness.record_standing(standing);
                    return;
                }
                self.record_survey_reply(nonce, |survey| {
                    survey.record_reply(from, boot, revision, standing, !more_starters);
                });
            }
        }
    }

    /// Replies to a query with the version in force here.
    fn send_reply(&mut self, to: &ids::InstanceName, nonce: u64) {
        let (starters, more_starters) = self.peers.starters(self.now_ms);
        let message = api::Message::Reply {
            nonce,
            version: self.version(),
            standing: self.readiness.standing,
            starters,
            more_starters,
        };
        self.outputs.push(Output::Send { to: to.clone(), message });
    }
}
