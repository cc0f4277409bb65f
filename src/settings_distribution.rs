//! Distribution of confirmed settings: a state machine without I/O or clock, one for each instance.
//!
//! The platform stores immutable documents, keyed by their content hash, and one root that names the
//! revision in force. The root changes only by compare-and-swap, which is the commit. A few instances
//! watch the root; the others learn of a revision by gossip and fetch the document from an instance
//! that has it. The revision in force at an instance never decreases. No instance holds a lease, so
//! none can expire while its holder is paused.
//!
//! A change is reported as accepted only after every instance that may still serve has confirmed, after
//! the commit, that the revision is in force. An instance that starts, or that may have missed a
//! revision, queries the other instances before it reads the root. These list it in their replies to
//! later queries. Whoever collects the confirmations therefore waits for this instance, or this instance
//! reads the new root.
//!
//! Limitations: a change stays pending while an instance is unreachable and still on the platform's
//! list. The list decides which instances are gone: an instance that still runs, is partitioned from
//! all others and was wrongly removed from the list is not waited for. An instance that starts, reaches
//! the platform and gets no reply from any other instance for 10 s serves without having been
//! announced.

pub mod api;
mod fetch;
mod learn;
mod operation;
mod operators;
mod peers;
mod readiness;
pub mod root;
mod survey;
mod watch;

pub use api::{Input, Output};

use crate::document;
use crate::ids;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;
use std::mem;
use std::sync;

/// Time without a reply after which a call to the platform counts as failed; a watch adds its wait.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// Configuration of a [`Distributor`].
#[derive(Clone, Debug)]
pub struct Config {
    /// This instance.
    pub instance: ids::InstanceName,
    /// Its region.
    pub region: ids::RegionName,
    /// The minimum number of other instances to expect: the number of configured seeds.
    pub others_min: usize,
    /// The seed of all random choices.
    pub rng_seed: u64,
}

/// What the reply to a call to the platform is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    ReadRoot { begun_ms: u64 },
    Watch,
    Document,
    Operation,
}

#[derive(Clone, Copy, Debug)]
struct PendingCall {
    request: u64,
    purpose: Purpose,
    expires_ms: u64,
}

/// The state machine of one instance.
#[derive(Debug)]
pub struct Distributor {
    config: Config,
    rng: rngs::StdRng,
    now_ms: u64,
    last_contact_ms: u64,
    peers: peers::Peers,
    documents: fetch::Cache,
    in_force: Option<(ids::Revision, sync::Arc<document::Document>)>,
    pending_fetch: Option<fetch::PendingFetch>,
    store_revision: u64,
    watch_at_ms: u64,
    calls: Vec<PendingCall>,
    last_request_id: u64,
    readiness: readiness::Readiness,
    operations: Vec<operation::Operation>,
    deferred_replies: Vec<(ids::InstanceName, u64)>,
    outputs: Vec<Output>,
}

impl Distributor {
    /// Creates a state machine at `now_ms`, not ready and with no settings in force.
    pub fn new(now_ms: u64, config: Config) -> Self {
        let mut rng = rngs::StdRng::seed_from_u64(config.rng_seed);
        let readiness = readiness::Readiness::new(now_ms, rng.random());
        Self {
            config,
            rng,
            now_ms,
            last_contact_ms: now_ms,
            peers: peers::Peers::default(),
            documents: fetch::Cache::default(),
            in_force: None,
            pending_fetch: None,
            store_revision: 0,
            watch_at_ms: 0,
            calls: Vec::new(),
            last_request_id: 0,
            readiness,
            operations: Vec::new(),
            deferred_replies: Vec::new(),
            outputs: Vec::new(),
        }
    }

    /// Processes an input at `now_ms` and returns the actions to take. Expects an [`Input::Tick`] every
    /// 100 ms.
    pub fn step(&mut self, now_ms: u64, input: Input) -> Vec<Output> {
        self.advance_time(now_ms);
        match input {
            Input::Tick => self.tick(),
            Input::Member(member) if member.instance == self.config.instance => {}
            Input::Member(member) => self.peers.update_member(member),
            Input::Forgotten(instance) => self.peers.remove_member(&instance),
            Input::Listed(names) => {
                self.peers.update_listed(names, &self.config.instance, self.now_ms);
            }
            Input::SettingsStatus { from, boot, version } => {
                self.handle_settings_status(&from, boot, version)
            }
            Input::Datagram { from, boot, message } => self.handle_datagram(&from, boot, message),
            Input::Fetched { request, reply } => self.handle_fetch_reply(request, reply),
            Input::FetchRequested { request, call } => {
                let reply = self.documents.reply_to(call);
                self.outputs.push(Output::FetchReplied { request, reply });
            }
            Input::Platform { request, reply } => self.handle_platform_reply(request, &reply),
            Input::Declare { operation_id, document, warnings } => {
                self.declare(operation_id, operation::Declaration { document, warnings });
            }
            Input::Confirm { operation_id, plan, wait_ms } => {
                self.confirm(operation_id, plan, wait_ms)
            }
        }
        self.update_readiness();
        mem::take(&mut self.outputs)
    }

    /// Whether requests may be served at `now_ms`; false if the last step was so long ago that the process
    /// must have been paused.
    pub fn may_serve(&self, now_ms: u64) -> bool {
        let pause_ms = now_ms.saturating_sub(self.now_ms);
        self.readiness.standing == api::Standing::Fresh && pause_ms <= readiness::PAUSE_THRESHOLD_MS
    }

    /// The revision in force and its document; `None` if there is none.
    pub fn version(&self) -> Option<api::Version> {
        let (revision, document) = self.in_force.as_ref()?;
        Some(api::Version { revision: *revision, document: document.hash() })
    }

    /// The revision in force; 0 if there is none.
    pub fn revision(&self) -> ids::Revision {
        self.in_force.as_ref().map_or(ids::Revision(0), |(revision, _)| *revision)
    }

    /// The newest revision that is known to be committed.
    pub fn newest(&self) -> ids::Revision {
        let pending = self
            .pending_fetch
            .as_ref()
            .map_or(ids::Revision(0), |pending| pending.version.revision);
        pending.max(self.revision())
    }

    /// Whether the settings in force are known to be current.
    pub fn standing(&self) -> api::Standing {
        self.readiness.standing
    }

    fn advance_time(&mut self, now_ms: u64) {
        let pause_ms = now_ms.saturating_sub(self.now_ms);
        self.now_ms = self.now_ms.max(now_ms);
        let silence_ms = self.now_ms.saturating_sub(self.last_contact_ms);
        let has_peers = self.peers.may_serve(self.now_ms).next().is_some();
        if !self.readiness.must_revalidate(pause_ms, silence_ms, has_peers) {
            return;
        }
        let nonce = self.random_nonce();
        let was_fresh = self.readiness.standing == api::Standing::Fresh;
        self.readiness.revalidate(self.now_ms, nonce);
        if was_fresh {
            self.outputs.push(Output::Readiness { ready: false });
        }
    }

    fn tick(&mut self) {
        self.expire_calls();
        self.start_watch();
        self.advance_fetch();
        self.advance_operations(operators::Queries::Allowed);
        if self.readiness.standing == api::Standing::Fresh {
            return;
        }
        let due = self.readiness.survey.next_queries(self.now_ms, &self.peers, |survey, peer| {
            survey.confirms(peer, ids::Revision(0))
        });
        self.send_queries(self.readiness.survey.nonce, due);
        if self.readiness.try_start_read(self.now_ms) {
            let purpose = Purpose::ReadRoot { begun_ms: self.now_ms };
            self.call_platform(api::PlatformCall::Get(api::Key::Root), purpose);
        }
    }

    fn update_readiness(&mut self) {
        if self.readiness.standing == api::Standing::Fresh {
            return;
        }
        let evidence = self.peer_evidence();
        self.readiness.update_announced(self.now_ms, evidence);
        if self.pending_fetch.is_some() || !self.readiness.is_sufficient(evidence) {
            return;
        }
        self.readiness.standing = api::Standing::Fresh;
        self.last_contact_ms = self.now_ms;
        self.outputs.push(Output::Readiness { ready: true });
    }

    fn peer_evidence(&self) -> readiness::PeerEvidence {
        let peer_count = self.peers.may_serve(self.now_ms).count();
        readiness::PeerEvidence {
            expected: peer_count.max(self.config.others_min),
            replied: self.readiness.survey.count_replied(self.peers.may_serve(self.now_ms)),
            previously_ready: self
                .readiness
                .survey
                .count_previously_ready(self.peers.may_serve(self.now_ms)),
            list_known: self.peers.list_known(),
        }
    }

    fn send_queries(&mut self, nonce: u64, to: Vec<ids::InstanceName>) {
        let message = api::Message::Query {
            nonce,
            version: self.version(),
            standing: self.readiness.standing,
        };
        for to in to {
            self.outputs.push(Output::Send { to, message: message.clone() });
        }
    }

    /// Starts a call to the platform and returns its request id.
    fn call_platform(&mut self, call: api::PlatformCall, purpose: Purpose) -> u64 {
        let wait_ms = match call {
            api::PlatformCall::Watch { wait_ms, .. } => wait_ms,
            api::PlatformCall::Get(_) | api::PlatformCall::Put { .. } => 0,
        };
        let request = self.next_request_id();
        let expires_ms = self.now_ms + wait_ms + CALL_TIMEOUT_MS;
        self.calls.push(PendingCall { request, purpose, expires_ms });
        self.outputs.push(Output::Platform { request, call });
        request
    }

    fn expire_calls(&mut self) {
        let mut expired = Vec::new();
        for call in &self.calls {
            if call.expires_ms <= self.now_ms {
                expired.push(call.request);
            }
        }
        for request in expired {
            self.handle_platform_reply(request, &api::PlatformReply::Failed);
        }
    }

    fn handle_platform_reply(&mut self, request: u64, reply: &api::PlatformReply) {
        let Some(index) = self.calls.iter().position(|call| call.request == request) else {
            return;
        };
        let call = self.calls.swap_remove(index);
        if *reply != api::PlatformReply::Failed {
            self.last_contact_ms = self.now_ms;
        }
        match call.purpose {
            Purpose::ReadRoot { begun_ms } => match self.handle_root_reply(reply) {
                Some(_) => self.readiness.record_root_read(begun_ms),
                None => self.readiness.record_root_failure(),
            },
            Purpose::Watch => self.handle_watch_reply(reply),
            Purpose::Document => self.handle_document_reply(request, reply),
            Purpose::Operation => self.handle_operation_reply(request, reply),
        }
    }

    fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }

    fn random_nonce(&mut self) -> u64 {
        self.rng.random()
    }
}
