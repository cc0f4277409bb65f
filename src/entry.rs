//! Takes callers' searches and sees them through.

use crate::attempts;
use crate::caller_api;
use crate::gossip;
use crate::holdings;
use crate::home;
use crate::ids;
use crate::link;
use crate::owner;
use crate::peer_api;
use crate::peers;
use crate::query;
use crate::route;
use crate::settings;
use crate::snapshot;
use compact_str::CompactString;
use std::sync;
use std::time;

/// How many outcomes of one query may wait to be taken in.
const REPLIES_QUEUE: usize = 1_024;

/// The most addresses in one answer.
const ADDRESSES_MAX: usize = 8;

/// The longest deadline that a caller may ask for.
pub const DEADLINE_MAX_MS: u32 = 20_000;

/// What an instance knows and holds, shared by its duties.
pub struct Node {
    /// Its name.
    pub me: ids::InstanceName,
    /// This run of it.
    pub boot: ids::BootId,
    /// Where it runs.
    pub place: peers::Place,
    /// The other instances and the searchers.
    pub world: peers::SharedWorld,
    /// The settings in force.
    pub settings: arc_swap::ArcSwap<settings::Settings>,
    /// What is known of the searchers.
    pub holdings: arc_swap::ArcSwap<holdings::Holdings>,
    /// The attempts that wait for an outcome.
    pub attempts: sync::Arc<attempts::Attempts>,
    /// The membership.
    pub gossip: gossip::Handle,
    /// The links to the other instances.
    pub links: sync::Arc<link::Links>,
    /// The non-idempotent requests that this boot is the home of.
    pub home: home::Home,
    /// The searchers owned.
    pub owner: sync::Arc<owner::Owner>,
    /// When the process started.
    pub started: time::Instant,
}

/// An error for the caller.
pub fn refuse(
    code: caller_api::ErrorCode,
    message: impl Into<CompactString>,
) -> caller_api::ErrorReply {
    caller_api::ErrorReply { code, message: message.into() }
}

impl Node {
    /// Milliseconds since the process started.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Takes in reports on searchers.
    pub fn merge_reports(&self, reports: Vec<peer_api::SearcherReport>) {
        self.holdings.rcu(|known| {
            let mut next = holdings::Holdings::clone(known);
            for report in &reports {
                next.merge(report.clone());
            }
            next
        });
    }

    /// Answers a search.
    ///
    /// # Errors
    ///
    /// When the search was refused or nothing could be searched.
    pub async fn search(
        &self,
        call: caller_api::SearchCall,
        traceparent: CompactString,
    ) -> Result<caller_api::SearchAnswer, caller_api::ErrorReply> {
        self.check(&call)?;
        let started = tokio::time::Instant::now();
        let deadline = started + time::Duration::from_millis(call.deadline_ms.into());
        let query_id = ids::QueryId(rand::random());
        let mut effort = caller_api::Effort::default();
        let mut first_attempt = 0;
        let mut gone: Option<snapshot::Snapshot> = None;
        loop {
            let holdings = self.holdings.load();
            let Some(replicas) = holdings.newest_complete(&call.service, gone) else {
                let code = caller_api::ErrorCode::NoSnapshot;
                return Err(refuse(code, "no snapshot of the service is complete"));
            };
            let snapshot = replicas.snapshot;
            let terms = query::Terms {
                query_id,
                first_attempt,
                snapshot,
                shard_count: replicas.shards.len() as u32,
                limit: call.limit,
                effort,
            };
            let chooser = self.chooser(replicas, query_id);
            let run =
                Run { node: self, call: &call, query_id, traceparent: &traceparent, deadline };
            let (end, next_attempt) = run.drive(terms, chooser).await;
            match end {
                query::End::SnapshotGone(spent) => {
                    effort = spent;
                    effort.restarts += 1;
                    first_attempt = next_attempt;
                    gone = Some(snapshot);
                }
                query::End::Answer(partial) => {
                    return answer(query_id, snapshot, partial);
                }
            }
        }
    }

    fn check(&self, call: &caller_api::SearchCall) -> Result<(), caller_api::ErrorReply> {
        let settings = self.settings.load();
        let Some(policy) = settings.service(&call.service) else {
            let code = caller_api::ErrorCode::UnknownService;
            return Err(refuse(code, "the service is not in the settings in force"));
        };
        if call.deadline_ms == 0 {
            let code = caller_api::ErrorCode::DeadlinePast;
            return Err(refuse(code, "the deadline is past"));
        }
        if call.deadline_ms > DEADLINE_MAX_MS {
            let code = caller_api::ErrorCode::BadRequest;
            return Err(refuse(code, "the deadline is too far"));
        }
        if call.limit == 0 || call.limit > policy.limit_max {
            let code = caller_api::ErrorCode::BadRequest;
            return Err(refuse(code, "the limit is out of range"));
        }
        Ok(())
    }

    fn chooser(&self, replicas: holdings::Replicas, query_id: ids::QueryId) -> route::Nearest {
        let directory = self.world.directory.load();
        let mut distances = Vec::new();
        for searcher in replicas.shards.iter().flatten() {
            let distance = match directory.find(searcher) {
                Some(listed) => {
                    self.place.distance(&listed.place.region, &listed.place.failure_domain)
                }
                None => peers::Distance::OtherRegion,
            };
            distances.push(route::Far { searcher: searcher.clone(), distance });
        }
        distances.sort_by(|left, right| left.searcher.cmp(&right.searcher));
        distances.dedup();
        route::Nearest { replicas, distances, query_id }
    }

    /// The instance that owns a searcher.
    pub fn owner_of(&self, searcher: &ids::SearcherName) -> Option<ids::InstanceName> {
        let directory = self.world.directory.load();
        let listed = directory.find(searcher)?;
        let peers = self.world.peers.load();
        peers.owner(&listed.place, searcher).map(|peer| peer.instance.clone())
    }
}

fn answer(
    query_id: ids::QueryId,
    snapshot: snapshot::Snapshot,
    partial: query::Partial,
) -> Result<caller_api::SearchAnswer, caller_api::ErrorReply> {
    if partial.coverage.shards_answered == 0 {
        let code = match partial.failure {
            Some(peer_api::Failure::Overloaded) => caller_api::ErrorCode::Overloaded,
            Some(peer_api::Failure::DeadlinePast) | None => caller_api::ErrorCode::DeadlinePast,
            Some(_) => caller_api::ErrorCode::NoSearcher,
        };
        return Err(refuse(code, "no shard answered"));
    }
    Ok(caller_api::SearchAnswer {
        query_id,
        snapshot,
        coverage: partial.coverage,
        hits: partial.hits,
        effort: partial.effort,
    })
}

/// One start of a query.
struct Run<'a> {
    node: &'a Node,
    call: &'a caller_api::SearchCall,
    query_id: ids::QueryId,
    traceparent: &'a CompactString,
    deadline: tokio::time::Instant,
}

impl Run<'_> {
    async fn drive(&self, terms: query::Terms, chooser: route::Nearest) -> (query::End, u64) {
        let (sender, mut receiver) = tokio::sync::mpsc::channel(REPLIES_QUEUE);
        let snapshot = terms.snapshot;
        let (mut query, outputs) = query::Query::start(self.node.now_ms(), terms, chooser);
        let mut outputs = outputs;
        loop {
            if let Some(end) = self.act(outputs, snapshot, &sender) {
                return (end, query.next_attempt());
            }
            outputs = match tokio::time::timeout_at(self.deadline, receiver.recv()).await {
                Ok(Some(reply)) => query.reply(self.node.now_ms(), reply),
                Ok(None) | Err(_) => query.expire(),
            };
        }
    }

    fn act(
        &self,
        outputs: Vec<query::Output>,
        snapshot: snapshot::Snapshot,
        sender: &attempts::ReplySender,
    ) -> Option<query::End> {
        let mut batches: Vec<Batch> = Vec::new();
        let mut end = None;
        for output in outputs {
            match output {
                query::Output::Send(call) => self.add(&mut batches, call, sender),
                query::Output::Cancel(open) => self.cancel(open),
                query::Output::Done(ended) => end = Some(ended),
            }
        }
        for batch in batches {
            self.send(batch, snapshot);
        }
        end
    }

    fn add(
        &self,
        batches: &mut Vec<Batch>,
        call: peer_api::ShardCall,
        sender: &attempts::ReplySender,
    ) {
        let Some(owner) = self.node.owner_of(&call.searcher) else {
            let failure = peer_api::Failure::NotOwner;
            let reply = attempts::failed_reply(call.attempt, call.searcher, failure);
            if sender.try_send(reply).is_err() {
                tracing::warn!("more outcomes than a query takes");
            }
            return;
        };
        self.node.attempts.open(&call, &owner, sender);
        match batches.iter_mut().find(|batch| batch.owner == owner) {
            Some(batch) => batch.calls.push(call),
            None => batches.push(Batch { owner, calls: vec![call] }),
        }
    }

    fn send(&self, batch: Batch, snapshot: snapshot::Snapshot) {
        let left = self.deadline.saturating_duration_since(tokio::time::Instant::now());
        let search = peer_api::Search {
            query_id: self.query_id,
            traceparent: self.traceparent.clone(),
            service: self.call.service.clone(),
            snapshot,
            query: self.call.query.clone(),
            limit: self.call.limit,
            rank: self.call.rank,
            timeout_ms: left.as_millis() as u32,
            weight: 1.0,
            calls: batch.calls,
        };
        if batch.owner == self.node.me {
            let reply_to = owner::ReplyTo::Here(self.node.attempts.clone());
            self.node.owner.search(&search, &reply_to);
            return;
        }
        let calls = search.calls.clone();
        if self.node.links.send(&batch.owner, peer_api::Frame::Search(search)).is_ok() {
            return;
        }
        for call in calls {
            let failure = peer_api::Failure::NotSent;
            let reply = attempts::failed_reply(call.attempt, call.searcher, failure);
            self.node.attempts.resolve(reply);
        }
    }

    fn cancel(&self, open: Vec<query::OpenAttempt>) {
        let mut batches: Vec<(ids::InstanceName, Vec<ids::AttemptId>)> = Vec::new();
        for attempt in open {
            self.node.attempts.close(attempt.attempt);
            let Some(owner) = self.node.owner_of(&attempt.searcher) else {
                continue;
            };
            match batches.iter_mut().find(|(known, _)| *known == owner) {
                Some((_, attempts)) => attempts.push(attempt.attempt),
                None => batches.push((owner, vec![attempt.attempt])),
            }
        }
        for (owner, attempts) in batches {
            if owner == self.node.me {
                self.node.owner.cancel(&attempts);
                continue;
            }
            if self.node.links.send(&owner, peer_api::Frame::Cancel(attempts)).is_err() {
                tracing::debug!(%owner, "could not cancel");
            }
        }
    }
}

/// The calls for one owner.
struct Batch {
    owner: ids::InstanceName,
    calls: Vec<peer_api::ShardCall>,
}

/// Where a caller says to be.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Near {
    /// Its region, if told.
    pub region: Option<ids::RegionName>,
    /// Its failure domain, if told.
    pub failure_domain: Option<ids::DomainName>,
}

impl Near {
    fn distance(&self, peer: &peers::Peer) -> peers::Distance {
        if self.failure_domain.as_ref() == Some(&peer.failure_domain) {
            return peers::Distance::SameDomain;
        }
        if self.region.as_ref() == Some(&peer.region) {
            return peers::Distance::SameRegion;
        }
        peers::Distance::OtherRegion
    }
}

impl Node {
    /// The addresses for a caller: the nearest first, those equally near in random order.
    pub fn addresses(&self, near: Near, ttl_ms: u32) -> caller_api::AddressesReply {
        let peers = self.world.peers.load();
        let mut rated: Vec<(peers::Distance, u64, &peers::Peer)> = Vec::new();
        for peer in peers.all() {
            if !peer.eligible {
                continue;
            }
            rated.push((near.distance(peer), rand::random(), peer));
        }
        rated.sort_by_key(|(distance, random, _)| (*distance, *random));
        rated.truncate(ADDRESSES_MAX);
        let mut addresses = Vec::with_capacity(rated.len());
        for (_, _, peer) in rated {
            addresses.push(caller_api::Address {
                instance: peer.instance.clone(),
                address: peer.address,
                region: peer.region.clone(),
                failure_domain: peer.failure_domain.clone(),
                boot: peer.boot,
            });
        }
        let issued_s = home::unix_ms() / 1_000;
        caller_api::AddressesReply { ttl_ms, issued_s, addresses }
    }
}
