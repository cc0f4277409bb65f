//! The spread of confirmed settings: a state machine without sockets or clock, one for each instance.
//!
//! The platform holds immutable documents, named by their content hash, and one root that names the
//! revision in force. The root changes only by compare-and-swap, which is the commit. A few instances
//! watch the root; the others learn of a revision by gossip and fetch the document from whoever told
//! them. A revision never goes down. No lease is held anywhere, so a lapsed lease plays no part.
//!
//! "Accepted" is said after every instance that may still serve has answered, after the commit, that
//! the revision is in force. An instance that starts, or that may have missed a revision, announces
//! itself before it reads the root. Whoever it has asked names it to those who collect answers. So a
//! collector waits for it, or it reads the new root.
//!
//! What this gives up: while an instance can't be reached, and the platform's list names it, changes
//! stay pending. The list is the authority on who is gone: an instance that runs on, parted from all
//! others and wrongly dropped from the list, is not waited for. An instance that starts, reaches the
//! platform, and gets no answer from any other for 10 s serves without an announcement.

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

/// How long a call to the platform may go unanswered before it counts as failed.
const CALL_WAIT_MS: u64 = 5_000;

/// What a [`Spread`] is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// The instance.
    pub instance: ids::InstanceName,
    /// Its region.
    pub region: ids::RegionName,
    /// How many other instances there are at least, by the seeds in the settings.
    pub others_min: usize,
    /// The seed of all random choices.
    pub rng_seed: u64,
}

/// What a call to the platform is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    ReadRoot { begun_ms: u64 },
    Watch,
    Document,
    Operation,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    request: u64,
    purpose: Purpose,
    expires_ms: u64,
}

/// The state machine.
#[derive(Debug)]
pub struct Spread {
    config: Config,
    rng: rngs::StdRng,
    now_ms: u64,
    contact_ms: u64,
    peers: peers::Peers,
    documents: fetch::Cache,
    in_force: Option<(ids::Revision, sync::Arc<document::Document>)>,
    wanted: Option<fetch::Wanted>,
    store_revision: u64,
    watch_at_ms: u64,
    calls: Vec<Call>,
    requests: u64,
    readiness: readiness::Readiness,
    operations: Vec<operation::Operation>,
    owed: Vec<(ids::InstanceName, u64)>,
    out: Vec<Output>,
}

impl Spread {
    /// A machine that starts at `now_ms`.
    pub fn new(now_ms: u64, config: Config) -> Self {
        let mut rng = rngs::StdRng::seed_from_u64(config.rng_seed);
        let readiness = readiness::Readiness::new(now_ms, rng.random());
        Self {
            config,
            rng,
            now_ms,
            contact_ms: now_ms,
            peers: peers::Peers::default(),
            documents: fetch::Cache::default(),
            in_force: None,
            wanted: None,
            store_revision: 0,
            watch_at_ms: 0,
            calls: Vec::new(),
            requests: 0,
            readiness,
            operations: Vec::new(),
            owed: Vec::new(),
            out: Vec::new(),
        }
    }

    /// Takes an input at `now_ms` and returns what to do. A [`Input::Tick`] is due every 100 ms.
    pub fn step(&mut self, now_ms: u64, input: Input) -> Vec<Output> {
        self.pass_time(now_ms);
        match input {
            Input::Tick => self.tick(),
            Input::Member(member) if member.instance == self.config.instance => {}
            Input::Member(member) => self.peers.member(member),
            Input::Forgotten(instance) => self.peers.forgotten(&instance),
            Input::Listed(names) => {
                self.peers.listed(names, &self.config.instance, self.now_ms);
            }
            Input::Note { from, boot, version } => self.noted(&from, boot, version),
            Input::Datagram { from, boot, message } => self.datagram(&from, boot, message),
            Input::Fetched { request, reply } => self.fetched(request, reply),
            Input::FetchAsked { request, call } => {
                let reply = self.documents.answer(call);
                self.out.push(Output::FetchAnswer { request, reply });
            }
            Input::Platform { request, reply } => self.platform_answered(request, &reply),
            Input::Declare { ticket, document, warnings } => {
                self.declare(ticket, operation::Declaration { document, warnings });
            }
            Input::Confirm { ticket, plan, wait_ms } => self.confirm(ticket, plan, wait_ms),
        }
        self.check_readiness();
        mem::take(&mut self.out)
    }

    /// Whether requests may be served at `now_ms`; false when the process was paused until now.
    pub fn may_serve(&self, now_ms: u64) -> bool {
        let pause_ms = now_ms.saturating_sub(self.now_ms);
        self.readiness.standing == api::Standing::Fresh && pause_ms <= readiness::PAUSE_MS
    }

    /// What is in force.
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
        let wanted =
            self.wanted.as_ref().map_or(ids::Revision(0), |wanted| wanted.version.revision);
        wanted.max(self.revision())
    }

    /// How far the settings in force may be trusted.
    pub fn standing(&self) -> api::Standing {
        self.readiness.standing
    }

    fn pass_time(&mut self, now_ms: u64) {
        let pause_ms = now_ms.saturating_sub(self.now_ms);
        self.now_ms = self.now_ms.max(now_ms);
        let silence_ms = self.now_ms.saturating_sub(self.contact_ms);
        let others = self.peers.may_serve(self.now_ms).next().is_some();
        if !self.readiness.must_doubt(pause_ms, silence_ms, others) {
            return;
        }
        let nonce = self.draw();
        let was_fresh = self.readiness.standing == api::Standing::Fresh;
        self.readiness.doubt(self.now_ms, nonce);
        if was_fresh {
            self.out.push(Output::Readiness { ready: false });
        }
    }

    fn tick(&mut self) {
        self.expire_calls();
        self.watch();
        self.drive_fetch();
        self.drive_operations(operators::Asking::Yes);
        if self.readiness.standing == api::Standing::Fresh {
            return;
        }
        let due = self
            .readiness
            .survey
            .due(self.now_ms, &self.peers, |survey, peer| survey.confirms(peer, ids::Revision(0)));
        self.query(self.readiness.survey.nonce, due);
        if self.readiness.read_due(self.now_ms) {
            let purpose = Purpose::ReadRoot { begun_ms: self.now_ms };
            self.call(api::PlatformCall::Get(api::Key::Root), purpose);
        }
    }

    fn check_readiness(&mut self) {
        if self.readiness.standing == api::Standing::Fresh {
            return;
        }
        let others = self.others();
        self.readiness.announce(self.now_ms, others);
        if self.wanted.is_some() || !self.readiness.is_enough(others) {
            return;
        }
        self.readiness.standing = api::Standing::Fresh;
        self.contact_ms = self.now_ms;
        self.out.push(Output::Readiness { ready: true });
    }

    fn others(&self) -> readiness::Others {
        let known = self.peers.may_serve(self.now_ms).count();
        readiness::Others {
            known: known.max(self.config.others_min),
            answered: self.readiness.survey.answered(self.peers.may_serve(self.now_ms)),
            veterans: self.readiness.survey.veterans(self.peers.may_serve(self.now_ms)),
            list_known: self.peers.list_known(),
        }
    }

    fn query(&mut self, nonce: u64, to: Vec<ids::InstanceName>) {
        let message = api::Message::Query {
            nonce,
            version: self.version(),
            standing: self.readiness.standing,
        };
        for to in to {
            self.out.push(Output::Send { to, message: message.clone() });
        }
    }

    /// Starts a call to the platform and returns its request.
    fn call(&mut self, call: api::PlatformCall, purpose: Purpose) -> u64 {
        let wait_ms = match call {
            api::PlatformCall::Watch { wait_ms, .. } => wait_ms,
            api::PlatformCall::Get(_) | api::PlatformCall::Put { .. } => 0,
        };
        let request = self.request();
        let expires_ms = self.now_ms + wait_ms + CALL_WAIT_MS;
        self.calls.push(Call { request, purpose, expires_ms });
        self.out.push(Output::Platform { request, call });
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
            self.platform_answered(request, &api::PlatformReply::Failed);
        }
    }

    fn platform_answered(&mut self, request: u64, reply: &api::PlatformReply) {
        let Some(index) = self.calls.iter().position(|call| call.request == request) else {
            return;
        };
        let call = self.calls.swap_remove(index);
        if *reply != api::PlatformReply::Failed {
            self.contact_ms = self.now_ms;
        }
        match call.purpose {
            Purpose::ReadRoot { begun_ms } => match self.read_root(reply) {
                Some(_) => self.readiness.root_read(begun_ms),
                None => self.readiness.root_failed(),
            },
            Purpose::Watch => self.watched(reply),
            Purpose::Document => self.document_read(request, reply),
            Purpose::Operation => self.operation_answered(request, reply),
        }
    }

    fn request(&mut self) -> u64 {
        self.requests += 1;
        self.requests
    }

    fn draw(&mut self) -> u64 {
        self.rng.random()
    }
}
