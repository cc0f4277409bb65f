//! The entry side of an instance: serves callers' searches and address requests.

use crate::attempts;
use crate::caller_api;
use crate::clock;
use crate::dispatch;
use crate::gossip;
use crate::holdings;
use crate::home;
use crate::ids;
use crate::lifecycle;
use crate::link;
use crate::locks;
use crate::metrics;
use crate::owner;
use crate::peer_api;
use crate::peers;
use crate::policy;
use crate::query;
use crate::routes;
use crate::search_run;
use crate::settings;
use crate::settings_worker;
use crate::snapshot;
use compact_str::CompactString;
use std::sync;
use std::time;

/// The maximum number of addresses in one reply.
const ADDRESSES_MAX: usize = 8;

/// The longest deadline that a caller may set.
pub const DEADLINE_MAX_MS: u32 = 20_000;

/// The state of an instance, shared by its tasks.
pub struct Node {
    /// The name of this instance.
    pub instance: ids::InstanceName,
    /// The id of this process run.
    pub boot: ids::BootId,
    /// The region and failure domain of this instance.
    pub location: peers::Location,
    /// The known instances and searchers.
    pub cluster: peers::SharedClusterView,
    /// The settings in force.
    pub settings: arc_swap::ArcSwap<settings::Settings>,
    /// The searchers and the newest complete snapshot of each service.
    pub routes: arc_swap::ArcSwap<routes::Routes>,
    /// The newest report on each searcher.
    pub holdings: arc_swap::ArcSwap<holdings::Holdings>,
    /// The attempts of this instance's queries that have no outcome yet.
    pub attempts: sync::Arc<attempts::Attempts>,
    /// The cluster membership.
    pub gossip: gossip::Handle,
    /// The links to the other instances.
    pub links: sync::Arc<link::Links>,
    /// The non-idempotent requests whose home is this boot.
    pub home: home::Home,
    /// The searchers that this instance owns.
    pub owner: sync::Arc<owner::Owner>,
    /// The distribution of the settings.
    pub settings_worker: settings_worker::Handle,
    /// The dispatcher of each service.
    pub dispatchers: dispatch::Dispatchers,
    /// The policy for choosing searchers, queueing and admission.
    pub policy: policy::Policy,
    /// The metrics.
    pub metrics: metrics::Metrics,
    /// Whether requests are accepted.
    pub lifecycle: lifecycle::Lifecycle,
    /// When the instance started, on the clock of [`clock::now_us`].
    pub started_us: u64,
}

/// Builds an error reply for the caller.
pub fn error_reply(
    code: caller_api::ErrorCode,
    message: impl Into<CompactString>,
) -> caller_api::ErrorReply {
    caller_api::ErrorReply { code, message: message.into() }
}

impl Node {
    /// Microseconds since the instance started.
    pub fn now_us(&self) -> u64 {
        clock::now_us().saturating_sub(self.started_us)
    }

    /// Milliseconds since the instance started.
    pub fn now_ms(&self) -> u64 {
        self.now_us() / 1_000
    }

    /// Checks that requests may be served now.
    ///
    /// # Errors
    ///
    /// Returns [`caller_api::ErrorCode::NotReady`] if the settings in force may be out of date, or if
    /// a newer process uses the name of this instance.
    pub fn ensure_ready(&self) -> Result<(), caller_api::ErrorReply> {
        if self.lifecycle.is_ready(self.now_ms()) {
            return Ok(());
        }
        let message = "the instance does not know the newest settings";
        Err(error_reply(caller_api::ErrorCode::NotReady, message))
    }

    /// Whether no request of a caller, no request whose home is this boot, and no search call to an
    /// owned searcher is in progress. Non-idempotent requests that this instance runs as the owner
    /// for another home are not counted.
    pub fn is_idle(&self) -> bool {
        self.lifecycle.is_idle() && self.home.open_count() == 0 && self.owner.is_idle()
    }

    /// Updates the metrics that are read from the current state.
    pub fn update_metrics(&self) {
        let view = self.gossip.view();
        self.metrics.set_members(view.members.iter().map(|record| record.state));
        let status = self.settings_worker.status();
        self.metrics.set_revisions(status.in_force, status.newest);
        let sizes = self.home.sizes();
        self.metrics.set_ledger(sizes.record_count, sizes.open_count);
        self.metrics.set_connections(metrics::Peer::Instance, self.links.up_count());
        let mut open = 0;
        for searcher in self.owner.all() {
            open += searcher.open_connections();
        }
        self.metrics.set_connections(metrics::Peer::Searcher, open);
        self.update_traffic_metrics();
    }

    fn update_traffic_metrics(&self) {
        let gossip = self.gossip.stats();
        let links = self.links.traffic();
        for (channel, direction, bytes) in [
            (metrics::Channel::Gossip, metrics::Direction::Sent, &gossip.sent_bytes),
            (metrics::Channel::Gossip, metrics::Direction::Received, &gossip.received_bytes),
            (metrics::Channel::Link, metrics::Direction::Sent, &links.sent_bytes),
            (metrics::Channel::Link, metrics::Direction::Received, &links.received_bytes),
        ] {
            let total_bytes = bytes.load(sync::atomic::Ordering::Relaxed);
            self.metrics.set_traffic(channel, direction, total_bytes);
        }
    }

    /// Merges reports on searchers and recomputes the routes of their services.
    pub fn merge_reports(&self, reports: Vec<peer_api::SearcherReport>) {
        let mut services: Vec<ids::ServiceName> = Vec::new();
        for report in &reports {
            services.push(report.service.clone());
        }
        services.sort();
        services.dedup();
        self.holdings.rcu(|current| {
            let mut next = holdings::Holdings::clone(current);
            for report in &reports {
                next.merge(report.clone());
            }
            next
        });
        let directory = self.cluster.directory.load();
        self.routes.rcu(|routes| {
            routes.with_updated(&services, &directory, &self.holdings.load(), &self.location)
        });
        self.dispatchers.forget_layouts(&services);
    }

    /// Replaces the list of searchers by the platform's, removes the reports on searchers that are
    /// not listed, and recomputes all routes. Does nothing if the list is unchanged.
    pub fn update_directory(&self, directory: peers::Directory) {
        if **self.cluster.directory.load() == directory {
            return;
        }
        self.holdings.rcu(|current| {
            let mut next = holdings::Holdings::clone(current);
            next.retain(|report| directory.find(&report.searcher).is_some());
            next
        });
        let routes = routes::Routes::new(&directory, &self.holdings.load(), &self.location);
        self.cluster.directory.store(sync::Arc::new(directory));
        self.routes.store(sync::Arc::new(routes));
        self.dispatchers.forget_all_layouts();
    }

    /// Runs a search, restarted on a newer snapshot if searchers drop the one in use.
    ///
    /// # Errors
    ///
    /// Returns an error reply if the call is invalid, the search was not admitted, no complete
    /// snapshot exists, or no shard answered.
    pub async fn search(
        &self,
        call: caller_api::SearchCall,
        traceparent: CompactString,
    ) -> Result<caller_api::SearchAnswer, caller_api::ErrorReply> {
        self.validate(&call)?;
        let started = tokio::time::Instant::now();
        let deadline = started + time::Duration::from_millis(call.deadline_ms.into());
        let query_id = ids::QueryId(rand::random());
        let context = search_run::SearchContext {
            node: self,
            call: &call,
            query_id,
            traceparent: &traceparent,
            deadline,
            dispatcher: self.dispatcher(&call.service),
        };
        let mut effort = caller_api::Effort::default();
        let mut first_attempt = 0;
        let mut dropped: Option<snapshot::Snapshot> = None;
        loop {
            let Some(replicas) = self.replicas(&call.service, dropped) else {
                let code = caller_api::ErrorCode::NoSnapshot;
                return Err(error_reply(code, "no snapshot of the service is complete"));
            };
            match context.run(&replicas, first_attempt, effort).await {
                search_run::RunResult::NotAdmitted => {
                    let code = caller_api::ErrorCode::Overloaded;
                    return Err(error_reply(code, "the rank's share of the service is used up"));
                }
                search_run::RunResult::Ran { end: query::End::Answer(answer), .. } => {
                    return search_answer(query_id, replicas.snapshot, answer);
                }
                search_run::RunResult::Ran {
                    end: query::End::SnapshotGone(spent),
                    next_attempt,
                } => {
                    effort = spent;
                    effort.restarts += 1;
                    first_attempt = next_attempt;
                    dropped = Some(replicas.snapshot);
                }
            }
        }
    }

    fn validate(&self, call: &caller_api::SearchCall) -> Result<(), caller_api::ErrorReply> {
        let settings = self.settings.load();
        let Some(policy) = settings.service(&call.service) else {
            let code = caller_api::ErrorCode::UnknownService;
            return Err(error_reply(code, "the service is not in the settings in force"));
        };
        if call.deadline_ms == 0 {
            let code = caller_api::ErrorCode::DeadlinePast;
            return Err(error_reply(code, "the deadline is past"));
        }
        if call.deadline_ms > DEADLINE_MAX_MS {
            let code = caller_api::ErrorCode::BadRequest;
            return Err(error_reply(code, "the deadline is too far"));
        }
        if call.limit == 0 || call.limit > policy.limit_max {
            let code = caller_api::ErrorCode::BadRequest;
            return Err(error_reply(code, "the limit is out of range"));
        }
        Ok(())
    }

    /// The holders of the service's newest complete snapshot; if `after` is given, of the newest one
    /// after it. `None` if there is no such snapshot.
    fn replicas(
        &self,
        service: &ids::ServiceName,
        after: Option<snapshot::Snapshot>,
    ) -> Option<sync::Arc<holdings::Replicas>> {
        if after.is_some() {
            return self.holdings.load().newest_complete(service, after).map(sync::Arc::new);
        }
        self.routes.load().find(service)?.replicas.clone()
    }

    /// The dispatcher of a service, updated to the current searchers and settings.
    fn dispatcher(&self, service: &ids::ServiceName) -> dispatch::SharedDispatcher {
        let shared = self.dispatchers.get_or_create(service, self.policy);
        let hedge_percent =
            self.settings.load().service(service).map_or(0, |policy| policy.hedge_percent);
        if let Some(route) = self.routes.load().find(service) {
            let mut dispatcher = locks::lock(&shared);
            dispatcher.update_searchers(&route.searchers, hedge_percent);
        }
        shared
    }

    /// The instance that owns a searcher; `None` if no owner is known.
    pub fn owner_of(&self, searcher: &ids::SearcherName) -> Option<ids::InstanceName> {
        self.cluster.owners.load().find(searcher).cloned()
    }
}

fn search_answer(
    query_id: ids::QueryId,
    snapshot: snapshot::Snapshot,
    answer: query::Answer,
) -> Result<caller_api::SearchAnswer, caller_api::ErrorReply> {
    if answer.coverage.shards_answered == 0 {
        let code = match answer.failure {
            Some(peer_api::Failure::Overloaded) => caller_api::ErrorCode::Overloaded,
            Some(peer_api::Failure::DeadlinePast) | None => caller_api::ErrorCode::DeadlinePast,
            Some(_) => caller_api::ErrorCode::NoSearcher,
        };
        return Err(error_reply(code, "no shard answered"));
    }
    Ok(caller_api::SearchAnswer {
        query_id,
        snapshot,
        coverage: answer.coverage,
        hits: answer.hits,
        effort: answer.effort,
    })
}

/// The location that a caller gave in its request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerLocation {
    /// Its region, if given.
    pub region: Option<ids::RegionName>,
    /// Its failure domain, if given.
    pub failure_domain: Option<ids::DomainName>,
}

impl CallerLocation {
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
    /// Returns instance addresses for a caller, nearest first, in random order at equal distance.
    pub fn addresses(&self, caller: CallerLocation, ttl_ms: u32) -> caller_api::AddressesReply {
        let peers = self.cluster.peers.load();
        let mut candidates: Vec<(peers::Distance, u64, &peers::Peer)> = Vec::new();
        for peer in peers.all() {
            if !peer.eligible {
                continue;
            }
            candidates.push((caller.distance(peer), rand::random(), peer));
        }
        candidates.sort_by_key(|(distance, random, _)| (*distance, *random));
        candidates.truncate(ADDRESSES_MAX);
        let mut addresses = Vec::with_capacity(candidates.len());
        for (_, _, peer) in candidates {
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
