//! The dispatch of queries to the searchers of a service: admission, choice of searchers, hedges
//! and retries.

use crate::admit;
use crate::choose;
use crate::hedge;
use crate::holdings;
use crate::ids;
use crate::locks;
use crate::peer_api;
use crate::peers;
use crate::policy;
use crate::query;
use crate::rank;
use crate::snapshot;
use std::sync;

/// The minimum interval between the probes of a slow searcher, which are extra calls.
const PROBE_INTERVAL_US: u64 = 1_000_000;

/// The dispatch state of one service at this instance.
#[derive(Debug)]
pub struct Dispatcher {
    searchers: Vec<ids::SearcherName>,
    distances: Vec<peers::Distance>,
    chooser: choose::Chooser,
    hedger: hedge::Hedger,
    gate: admit::Gate,
    layout: Option<(snapshot::Snapshot, sync::Arc<choose::Layout>)>,
    policy: policy::Policy,
    hedge_percent: u8,
}

/// A dispatcher, shared by the queries of its service.
pub type SharedDispatcher = sync::Arc<sync::Mutex<Dispatcher>>;

/// A query that was admitted.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// The number of offered queries that this one represents, at least 1.
    pub weight: f32,
    /// The calls that it needs.
    pub plan: choose::Plan,
    /// The searchers that hold the shards.
    pub layout: sync::Arc<choose::Layout>,
}

/// One searcher of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSearcher {
    /// The searcher.
    pub searcher: ids::SearcherName,
    /// Its distance from this instance.
    pub distance: peers::Distance,
}

impl Dispatcher {
    /// Creates a dispatcher without searchers.
    pub fn new(policy: policy::Policy, hedge_percent: u8) -> Self {
        Self {
            searchers: Vec::new(),
            distances: Vec::new(),
            chooser: choose::Chooser::new(policy, [], PROBE_INTERVAL_US),
            hedger: hedge::Hedger::new(hedge_percent),
            gate: admit::Gate::new(0),
            layout: None,
            policy,
            hedge_percent,
        }
    }

    /// Sets the service's searchers, which must be sorted, and its hedge budget in percent of
    /// needed calls. State that was collected with a different list or budget is discarded.
    pub fn update_searchers(&mut self, searchers: &[ServiceSearcher], hedge_percent: u8) {
        if self.hedge_percent != hedge_percent {
            self.hedger = hedge::Hedger::new(hedge_percent);
            self.hedge_percent = hedge_percent;
        }
        let unchanged = searchers.len() == self.searchers.len()
            && searchers.iter().zip(&self.searchers).all(|(new, name)| new.searcher == *name)
            && searchers
                .iter()
                .zip(&self.distances)
                .all(|(new, distance)| new.distance == *distance);
        if unchanged {
            return;
        }
        self.searchers = searchers.iter().map(|new| new.searcher.clone()).collect();
        self.distances = searchers.iter().map(|new| new.distance).collect();
        let distances: Vec<choose::Distance> =
            self.distances.iter().map(|distance| to_choose_distance(*distance)).collect();
        self.chooser = choose::Chooser::new(self.policy, distances, PROBE_INTERVAL_US);
        self.gate = admit::Gate::new(self.searchers.len());
        self.layout = None;
    }

    /// Plans a query and decides on its admission. Returns `None` if it is refused.
    pub fn admit(
        &mut self,
        now_us: u64,
        query: ids::QueryId,
        rank: rank::Rank,
        replicas: &holdings::Replicas,
    ) -> Option<Admitted> {
        let layout = self.layout(replicas);
        let plan = self.chooser.choose(now_us, &layout, query.0);
        let weight = match self.policy {
            policy::Policy::Plain => 1.0,
            policy::Policy::Full => match self.gate.decide(now_us, query, rank, &layout, &plan) {
                admit::Admission::Admit { weight } => weight,
                admit::Admission::Refuse => return None,
            },
        };
        self.hedger.record_needed(plan.calls.len() as u32);
        Some(Admitted { weight, plan, layout })
    }

    /// The name of the searcher with this index; `None` if the index is out of range.
    pub fn name(&self, searcher: u16) -> Option<&ids::SearcherName> {
        self.searchers.get(usize::from(searcher))
    }

    /// The index of the searcher with this name; `None` if it is not a searcher of the service.
    pub fn index(&self, searcher: &ids::SearcherName) -> Option<u16> {
        let index = self.searchers.binary_search(searcher).ok()?;
        Some(index as u16)
    }

    /// Records that a call was sent.
    pub fn record_sent(&mut self, searcher: &ids::SearcherName) {
        if let Some(index) = self.index(searcher) {
            self.chooser.record_sent(index);
        }
    }

    /// Records that a call was abandoned without an outcome.
    pub fn record_abandoned(&mut self, searcher: &ids::SearcherName) {
        if let Some(index) = self.index(searcher) {
            self.chooser.record_end(index);
        }
    }

    /// Records an outcome that came `latency_us` after its call was sent.
    pub fn record_outcome(
        &mut self,
        now_us: u64,
        rank: rank::Rank,
        reply: &peer_api::ShardReply,
        latency_us: u64,
    ) {
        let Some(index) = self.index(&reply.searcher) else {
            return;
        };
        self.chooser.record_end(index);
        if let Some(load) = reply.load {
            self.gate.update(now_us, index, load.fractions);
            let report = choose::LoadReport {
                slots: load.slots,
                in_use: load.in_flight,
                queued: load.queued,
                service_us: load.service_time_us,
            };
            self.chooser.record_report(now_us, index, report);
        }
        match reply.outcome {
            peer_api::ShardOutcome::Answered { .. } => {
                self.chooser.record_answer(now_us, index, latency_us);
                self.hedger.record_answer(rank, latency_us);
            }
            peer_api::ShardOutcome::Failed(peer_api::Failure::Lost) => {
                self.chooser.record_overdue(now_us, index, latency_us);
            }
            peer_api::ShardOutcome::Failed(_) => {}
        }
    }

    /// How long to wait for an answer before a hedge, in microseconds; `None` if calls are not hedged
    /// under this policy, or while there are too few latency samples.
    pub fn hedge_delay_us(&self, rank: rank::Rank) -> Option<u64> {
        match self.policy {
            policy::Policy::Plain => None,
            policy::Policy::Full => self.hedger.delay_us(rank),
        }
    }

    /// Records that a call is overdue, and returns whether it may be hedged. An allowed hedge is
    /// taken from the budget.
    pub fn try_hedge(
        &mut self,
        now_us: u64,
        rank: rank::Rank,
        searcher: &ids::SearcherName,
        age_us: u64,
    ) -> bool {
        let Some(index) = self.index(searcher) else {
            return false;
        };
        self.chooser.record_overdue(now_us, index, age_us);
        let saturated = self.is_saturated(now_us, rank);
        self.hedger.try_hedge(rank, saturated)
    }

    /// Whether a call that failed because of overload may be sent to another searcher. An allowed
    /// retry is taken from the budget.
    pub fn try_retry(&mut self, now_us: u64, rank: rank::Rank) -> bool {
        let saturated = self.is_saturated(now_us, rank);
        self.hedger.try_retry(rank, saturated)
    }

    /// Charges the calls of an allowed hedge beyond the first. `calls` is their total, which exceeds
    /// one if no single searcher holds all of its shards.
    pub fn charge_hedge(&mut self, calls: u32) {
        self.hedger.charge_hedges(calls.saturating_sub(1));
    }

    /// Returns a slow searcher to probe with an extra call besides `call`, if one is due and the
    /// hedge budget allows it.
    pub fn probe(
        &mut self,
        now_us: u64,
        rank: rank::Rank,
        layout: &choose::Layout,
        call: &choose::Call,
    ) -> Option<u16> {
        let probed = self.chooser.probe(now_us, layout, call)?;
        if !self.hedger.try_hedge(rank, false) {
            return None;
        }
        Some(probed)
    }

    /// Returns the best searcher that holds all shards of a call and is not in `tried`; `None` if
    /// there is none.
    pub fn alternative(
        &self,
        now_us: u64,
        layout: &choose::Layout,
        call: &choose::Call,
        tried: &[u16],
    ) -> Option<u16> {
        self.chooser.alternative(now_us, layout, call, tried)
    }

    /// Whether the owners of most searchers admit less than all queries of the rank.
    fn is_saturated(&self, now_us: u64, rank: rank::Rank) -> bool {
        let mut limited = 0;
        for index in 0..self.searchers.len() {
            if self.gate.share(now_us, index as u16, rank) < 1.0 {
                limited += 1;
            }
        }
        limited * 2 > self.searchers.len()
    }

    fn layout(&mut self, replicas: &holdings::Replicas) -> sync::Arc<choose::Layout> {
        if let Some((snapshot, layout)) = &self.layout
            && *snapshot == replicas.snapshot
        {
            return layout.clone();
        }
        let mut holders = Vec::with_capacity(replicas.shards.len());
        for searchers in &replicas.shards {
            let indices = searchers.iter().filter_map(|searcher| self.index(searcher)).collect();
            holders.push(indices);
        }
        let layout = sync::Arc::new(choose::Layout::new(self.searchers.len(), holders));
        self.layout = Some((replicas.snapshot, layout.clone()));
        layout
    }

    /// Discards the layout because the holders have changed.
    pub fn forget_layout(&mut self) {
        self.layout = None;
    }
}

/// The dispatchers of all services, sorted by service.
#[derive(Debug, Default)]
pub struct Dispatchers {
    services: sync::RwLock<Vec<(ids::ServiceName, SharedDispatcher)>>,
}

impl Dispatchers {
    /// The dispatcher of a service, created if there is none yet.
    pub fn get_or_create(
        &self,
        service: &ids::ServiceName,
        policy: policy::Policy,
    ) -> SharedDispatcher {
        {
            let services = locks::read(&self.services);
            if let Ok(index) = services.binary_search_by(|(name, _)| name.cmp(service))
                && let Some((_, shared)) = services.get(index)
            {
                return shared.clone();
            }
        }
        let mut services = locks::write(&self.services);
        let shared = sync::Arc::new(sync::Mutex::new(Dispatcher::new(policy, 0)));
        match services.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(index) => services.get(index).map_or(shared, |(_, existing)| existing.clone()),
            Err(index) => {
                services.insert(index, (service.clone(), shared.clone()));
                shared
            }
        }
    }

    /// Discards the layouts of these services because their holders have changed.
    pub fn forget_layouts(&self, names: &[ids::ServiceName]) {
        let services = locks::read(&self.services);
        for (service, shared) in services.iter() {
            if names.binary_search(service).is_err() {
                continue;
            }
            locks::lock(shared).forget_layout();
        }
    }

    /// Discards all layouts because searchers were added or removed.
    pub fn forget_all_layouts(&self) {
        let services = locks::read(&self.services);
        for (_, shared) in services.iter() {
            locks::lock(shared).forget_layout();
        }
    }
}

fn to_choose_distance(distance: peers::Distance) -> choose::Distance {
    match distance {
        peers::Distance::SameDomain => choose::Distance::SameDomain,
        peers::Distance::SameRegion => choose::Distance::SameRegion,
        peers::Distance::OtherRegion => choose::Distance::OtherRegion,
    }
}

/// Chooses searchers for one query: the planned ones first, alternatives for retries and hedges.
#[derive(Debug)]
pub struct PlannedChooser {
    dispatcher: SharedDispatcher,
    layout: sync::Arc<choose::Layout>,
    planned: Option<choose::Plan>,
    /// The time of the next choice, in microseconds.
    pub now_us: u64,
    /// Whether the next choice must be empty because no retry is allowed.
    pub retry_denied: bool,
}

impl PlannedChooser {
    /// Creates a chooser for an admitted query.
    pub fn new(dispatcher: SharedDispatcher, admitted: Admitted) -> Self {
        Self {
            dispatcher,
            layout: admitted.layout,
            planned: Some(admitted.plan),
            now_us: 0,
            retry_denied: false,
        }
    }
}

impl query::Choose for PlannedChooser {
    fn choose(
        &mut self,
        shards: &[(ids::ShardId, &[ids::SearcherName])],
    ) -> Vec<(ids::SearcherName, Vec<ids::ShardId>)> {
        if std::mem::take(&mut self.retry_denied) {
            return Vec::new();
        }
        let dispatcher = locks::lock(&self.dispatcher);
        let mut chosen: Vec<(ids::SearcherName, Vec<ids::ShardId>)> = Vec::new();
        if let Some(plan) = self.planned.take() {
            for call in plan.calls {
                let Some(name) = dispatcher.name(call.searcher) else {
                    continue;
                };
                chosen.push((name.clone(), call.shards.into_iter().map(ids::ShardId).collect()));
            }
            return chosen;
        }
        for (shard, avoid) in shards {
            let tried: Vec<u16> = avoid.iter().filter_map(|name| dispatcher.index(name)).collect();
            let call = choose::Call { searcher: 0, shards: vec![shard.0] };
            let other = dispatcher.alternative(self.now_us, &self.layout, &call, &tried);
            let Some(name) = other.and_then(|index| dispatcher.name(index)) else {
                continue;
            };
            match chosen.iter_mut().find(|(searcher, _)| searcher == name) {
                Some((_, shards)) => shards.push(*shard),
                None => chosen.push((name.clone(), vec![*shard])),
            }
        }
        chosen
    }
}
