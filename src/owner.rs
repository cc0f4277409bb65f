//! The searchers that this instance owns: it makes the calls to them and probes their status.

use crate::attempts;
use crate::ids;
use crate::link;
use crate::locks;
use crate::peer_api;
use crate::peers;
use crate::searcher;
use crate::searcher_api;
use crate::trace;
use std::sync;
use std::time;
use tracing::Instrument as _;

/// The pause between two rounds of status probes. A round lasts until the last probe has an answer
/// or its timeout expires.
pub const PROBE_PERIOD: time::Duration = time::Duration::from_millis(500);

/// The pause between two calls of [`Owner::tick`].
pub const TICK_PERIOD: time::Duration = time::Duration::from_millis(10);

/// How long an instance still accepts calls to a searcher that it no longer owns. Other instances
/// learn of the new owner with a delay.
pub const RELEASE_GRACE: time::Duration = time::Duration::from_millis(2_000);

/// Where to send the outcome of a call.
#[derive(Clone)]
pub enum ReplyTo {
    /// To the instance at the other end of a link.
    Link(link::FrameSender),
    /// To a query of this instance.
    Local(sync::Arc<attempts::Attempts>),
}

impl ReplyTo {
    /// Sends an outcome. It is dropped if the link is closed or full, or if the query has ended.
    pub fn send(&self, reply: peer_api::ShardReply) {
        match self {
            ReplyTo::Link(sender) => {
                if sender.try_send(peer_api::Frame::Shard(reply)).is_err() {
                    tracing::debug!(
                        "outcome dropped, link closed or full; the entry treats the call as lost"
                    );
                }
            }
            ReplyTo::Local(attempts) => {
                attempts.resolve(reply);
            }
        }
    }
}

struct Running {
    attempt: ids::AttemptId,
    cancel: tokio::sync::oneshot::Sender<()>,
}

/// A searcher that this instance no longer owns, and until when it accepts calls.
struct Released {
    searcher: sync::Arc<searcher::Searcher>,
    until: tokio::time::Instant,
}

/// All searchers that this instance owns, sorted by name.
pub struct Owner {
    instance: ids::InstanceName,
    owned: sync::RwLock<Vec<sync::Arc<searcher::Searcher>>>,
    released: sync::Mutex<Vec<Released>>,
    running: sync::Mutex<Vec<Running>>,
}

impl Owner {
    /// Creates an owner without searchers.
    pub fn new(instance: ids::InstanceName) -> Self {
        Self {
            instance,
            owned: sync::RwLock::default(),
            released: sync::Mutex::default(),
            running: sync::Mutex::default(),
        }
    }

    /// Replaces the owned searchers by those that `owners` assigns to this instance and that have
    /// limits. A released searcher accepts calls for [`RELEASE_GRACE`], and its running calls are
    /// not cancelled.
    pub fn update(
        &self,
        owners: &peers::Owners,
        directory: &peers::Directory,
        limits: impl Fn(&ids::ServiceName) -> Option<searcher::Limits>,
    ) {
        let mut next = Vec::new();
        let current = self.all();
        for listed in directory.all() {
            if owners.find(&listed.searcher) != Some(&self.instance) {
                continue;
            }
            let Some(limits) = limits(&listed.service) else {
                continue;
            };
            let unchanged = find(&current, &listed.searcher)
                .filter(|owned| owned.listed() == listed && owned.limits() == limits);
            match unchanged {
                Some(owned) => next.push(owned.clone()),
                None => {
                    next.push(sync::Arc::new(searcher::Searcher::new(listed.clone(), limits)));
                }
            }
        }
        self.retain_released(&current, &next);
        *locks::write(&self.owned) = next;
    }

    /// Keeps the searchers that are in `current` but not in `next` for [`RELEASE_GRACE`].
    fn retain_released(
        &self,
        current: &[sync::Arc<searcher::Searcher>],
        next: &[sync::Arc<searcher::Searcher>],
    ) {
        let now = tokio::time::Instant::now();
        let mut released = locks::lock(&self.released);
        released.retain(|released| released.until > now);
        for searcher in current {
            if find(next, &searcher.listed().searcher).is_some() {
                continue;
            }
            released.push(Released { searcher: searcher.clone(), until: now + RELEASE_GRACE });
        }
    }

    /// Whether no search call is in progress.
    pub fn is_idle(&self) -> bool {
        locks::lock(&self.running).is_empty()
    }

    /// The owned searchers, sorted by name.
    pub fn all(&self) -> Vec<sync::Arc<searcher::Searcher>> {
        locks::read(&self.owned).clone()
    }

    /// Starts the calls of a query and sends the outcome of each to `reply_to`.
    pub fn search(self: &sync::Arc<Self>, search: &peer_api::Search, reply_to: &ReplyTo) {
        let deadline = deadline(search.timeout_ms);
        for call in &search.calls {
            let Some(owned) = self.find(&call.searcher) else {
                reply_to.send(attempts::failed_reply(
                    call.attempt,
                    call.searcher.clone(),
                    peer_api::Failure::NotOwner,
                ));
                continue;
            };
            let slot_request = searcher::SlotRequest {
                attempt: call.attempt,
                rank: search.rank,
                weight: search.weight,
                deadline,
            };
            let request = searcher_api::SearchRequest {
                attempt: call.attempt,
                service: search.service.clone(),
                snapshot: search.snapshot,
                shards: call.shards.clone(),
                query: search.query.clone(),
                limit: search.limit,
                rank: search.rank,
                timeout_ms: search.timeout_ms,
            };
            let owner = self.clone();
            let context = trace::child_of(&search.traceparent);
            let span = trace::span(trace::Hop::Owner, &context);
            let traceparent = context.to_string().into();
            let reply_to = reply_to.clone();
            let search = async move {
                owner.search_one(&owned, slot_request, request, traceparent, &reply_to).await;
            };
            tokio::spawn(search.instrument(span));
        }
    }

    /// Makes one call of a query, until it ends or is cancelled.
    async fn search_one(
        &self,
        owned: &searcher::Searcher,
        slot_request: searcher::SlotRequest,
        request: searcher_api::SearchRequest,
        traceparent: compact_str::CompactString,
        reply_to: &ReplyTo,
    ) {
        let attempt = slot_request.attempt;
        let (cancel, cancelled) = tokio::sync::oneshot::channel();
        locks::lock(&self.running).push(Running { attempt, cancel });
        let outcome = tokio::select! {
            outcome = owned.search(slot_request, request, traceparent) => outcome,
            _ = cancelled => peer_api::ShardOutcome::Failed(peer_api::Failure::Cancelled),
        };
        locks::lock(&self.running).retain(|running| running.attempt != attempt);
        let searcher = owned.listed().searcher.clone();
        let load = Some(owned.load());
        reply_to.send(peer_api::ShardReply { attempt, searcher, outcome, load });
    }

    /// Cancels the running calls among `attempts`.
    pub fn cancel(&self, attempts: &[ids::AttemptId]) {
        let mut running = locks::lock(&self.running);
        let mut index = 0;
        while let Some(entry) = running.get(index) {
            if !attempts.contains(&entry.attempt) {
                index += 1;
                continue;
            }
            let entry = running.swap_remove(index);
            if entry.cancel.send(()).is_err() {
                tracing::trace!("call had already ended when it was cancelled");
            }
        }
    }

    /// Sends a non-idempotent request to an owned searcher, at most once.
    pub async fn run(&self, run: peer_api::OwnerRun) -> peer_api::RunOutcome {
        let Some(owned) = self.find(&run.searcher) else {
            return peer_api::RunOutcome::Failed(peer_api::Failure::NotOwner);
        };
        let slot_request = searcher::SlotRequest {
            attempt: run.attempt,
            rank: run.rank,
            weight: 1.0,
            deadline: deadline(run.timeout_ms),
        };
        let context = trace::child_of(&run.traceparent);
        let span = trace::span(trace::Hop::Owner, &context);
        let run = peer_api::OwnerRun { traceparent: context.to_string().into(), ..run };
        owned.run(slot_request, run).instrument(span).await
    }

    /// Probes the status of each owned searcher and returns the reports that have changed.
    /// `known_observation` returns the newest known observation of a searcher, 0 if there is none.
    pub async fn probe(
        &self,
        known_observation: impl Fn(&ids::SearcherName) -> u64,
    ) -> Vec<peer_api::SearcherReport> {
        let mut probes = tokio::task::JoinSet::new();
        for owned in self.all() {
            let known_observation = known_observation(&owned.listed().searcher);
            probes.spawn(async move { owned.probe(known_observation).await });
        }
        let mut changed = Vec::new();
        while let Some(probed) = probes.join_next().await {
            let Ok(Some(report)) = probed else {
                continue;
            };
            changed.push(report);
        }
        changed
    }

    /// The last report on each owned searcher that has one.
    pub fn reports(&self) -> Vec<peer_api::SearcherReport> {
        let mut reports = Vec::new();
        for owned in locks::read(&self.owned).iter() {
            reports.extend(owned.report());
        }
        reports
    }

    /// Starts waiting calls if slots have become usable again, and refuses those that can no longer
    /// meet their deadline. Called every [`TICK_PERIOD`].
    pub fn tick(&self) {
        for owned in locks::read(&self.owned).iter() {
            owned.tick();
        }
    }

    /// The owned searcher with this name, or the released one that still accepts calls.
    fn find(&self, searcher: &ids::SearcherName) -> Option<sync::Arc<searcher::Searcher>> {
        if let Some(owned) = find(&locks::read(&self.owned), searcher) {
            return Some(owned.clone());
        }
        let released = locks::lock(&self.released);
        let found = released.iter().rev().find(|released| {
            released.searcher.listed().searcher == *searcher
                && released.until > tokio::time::Instant::now()
        });
        found.map(|released| released.searcher.clone())
    }
}

fn deadline(timeout_ms: u32) -> tokio::time::Instant {
    tokio::time::Instant::now() + time::Duration::from_millis(timeout_ms.into())
}

fn find<'a>(
    owned: &'a [sync::Arc<searcher::Searcher>],
    searcher: &ids::SearcherName,
) -> Option<&'a sync::Arc<searcher::Searcher>> {
    let index =
        owned.binary_search_by(|candidate| candidate.listed().searcher.cmp(searcher)).ok()?;
    owned.get(index)
}
