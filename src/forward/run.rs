//! Runs queries: performs the sends that [`query`] decides on and reports their outcomes back to it.

use crate::clock;
use crate::discovery::config;
use crate::discovery::members;
use crate::discovery::view;
use crate::event;
use crate::events::Event;
use crate::expected_work::cost;
use crate::expected_work::routing;
use crate::fair_order::gate;
use crate::forward::address;
use crate::forward::admission::connections;
use crate::forward::admission::memory;
use crate::forward::answer_buffer;
use crate::forward::answer_delay;
use crate::forward::attempt;
use crate::forward::balancer;
use crate::forward::budget;
use crate::forward::dialect;
use crate::forward::endpoint;
use crate::forward::latency;
use crate::forward::limit;
use crate::forward::metrics;
use crate::forward::query;
use crate::forward::send_limit;
use crate::forward::shutdown;
use crate::locks;
use crate::placement::cold;
use compact_str::CompactString;
use std::sync;
use std::time;
use tokio::sync::mpsc;
use tokio::sync::watch;
use xxhash_rust::xxh3;

/// How long a send of an idempotent request continues after its query has completed: its answer is a sample
/// of the searcher's latency, and its connection can be reused.
const ABANDONED_SEND_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// The shortest time between two wake-ups of a query.
const SLEEP_MIN_US: u64 = 500;
/// The interval at which expired idle connections are closed and a new configuration is detected.
const SWEEP_PERIOD: time::Duration = time::Duration::from_millis(500);
/// The connections that a searcher is assumed to accept if its service is not in the configuration.
const CONNECTIONS_DEFAULT: u32 = 32;

/// Forwards requests to searchers; holds the state shared by all queries.
pub struct Forwarder {
    view: sync::Arc<view::View>,
    dialect: dialect::Dialect,
    /// Pairs of a failure domain and its region, sorted.
    regions: Vec<(CompactString, CompactString)>,
    active: arc_swap::ArcSwap<address::ActiveMembers>,
    metrics: sync::Arc<metrics::Metrics>,
    answer_buffer: sync::Arc<answer_buffer::AnswerBuffer>,
    /// The time by which all queries have to end; `None` unless the instance stops.
    last_answer_us: watch::Sender<Option<u64>>,
    shared: sync::Mutex<Shared>,
}

struct Shared {
    balancer: balancer::Balancer,
    budgets: budget::Budgets,
    latencies: latency::Latencies,
    answer_delay: answer_delay::Estimator,
    /// `None` if the configuration has no tenants.
    fair_order: Option<gate::Gate>,
}

/// A completed query, for the response, the log and the metrics.
pub struct Report {
    /// The result.
    pub completion: query::Completion,
    /// The number of answered parts.
    pub answered_count: usize,
    /// When the query completed.
    completed_us: u64,
    query: query::Query,
}

impl Report {
    fn new(query: query::Query, completion: query::Completion, completed_us: u64) -> Self {
        let answered_count = match &completion {
            query::Completion::Gathered(parts) => parts.iter().flatten().count(),
            query::Completion::Single(_) => 1,
            _ => query.answered_count(),
        };
        Self { completion, answered_count, completed_us, query }
    }

    /// Whether the request was sent to any searcher.
    pub fn was_sent(&self) -> bool {
        !self.query.sends().is_empty()
    }

    /// Returns the number of sends beyond the first one of each part.
    pub fn extra_count(&self) -> usize {
        let sends = self.query.sends().iter();
        sends.filter(|send| send.reason != query::Reason::First).count()
    }

    /// Describes the sends without a successful answer and the parts that failed, for the log.
    pub fn troubles(&self) -> String {
        let query = &self.query;
        let mut troubles = String::new();
        for send in query.sends() {
            let (outcome, end_us) = send.ended.unwrap_or(("open", self.completed_us));
            if outcome == "answered" {
                continue;
            }
            let took_ms = end_us.saturating_sub(send.sent_us) / 1_000;
            if !troubles.is_empty() {
                troubles.push(' ');
            }
            troubles.push_str(&format!(
                "{}:{}:{}:{outcome}:{took_ms}ms",
                query.spec().services[send.part],
                send.endpoint.id,
                send.reason
            ));
        }
        for (service, failure) in query.failures() {
            if !troubles.is_empty() {
                troubles.push(' ');
            }
            troubles.push_str(&format!("{service}:{failure}"));
        }
        troubles
    }
}

impl Forwarder {
    /// Creates a forwarder to the searchers in `view`. `regions` pairs each failure domain with its
    /// region.
    pub fn new(
        view: sync::Arc<view::View>,
        dialect: dialect::Dialect,
        mut regions: Vec<(CompactString, CompactString)>,
        rule: budget::Rule,
        metrics: sync::Arc<metrics::Metrics>,
    ) -> Self {
        regions.sort();
        let shared = Shared {
            balancer: balancer::Balancer::new(regions.clone()),
            budgets: budget::Budgets::new(rule),
            latencies: latency::Latencies::default(),
            answer_delay: answer_delay::Estimator::default(),
            fair_order: None,
        };
        let active = arc_swap::ArcSwap::from_pointee(address::ActiveMembers::default());
        let answer_buffer = sync::Arc::new(answer_buffer::AnswerBuffer::new(
            memory::Budget::new(None).answers_bytes,
        ));
        Self {
            view,
            dialect,
            regions,
            active,
            metrics,
            answer_buffer,
            last_answer_us: watch::Sender::new(None),
            shared: sync::Mutex::new(shared),
        }
    }

    /// Bounds the sends to all searchers together.
    pub fn with_send_limit(self, send_limit: send_limit::SendLimit) -> Self {
        locks::lock(&self.shared).balancer.set_send_limit(send_limit);
        self
    }

    /// Sets the rule by which searchers are selected.
    pub fn with_routing(self, routing: routing::Routing) -> Self {
        locks::lock(&self.shared).balancer.set_routing(routing);
        self
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &metrics::Metrics {
        &self.metrics
    }

    /// Returns the number of open connections to searchers.
    pub fn connection_count(&self) -> usize {
        locks::lock(&self.shared).balancer.connection_count()
    }

    /// Returns the variant of the HTTP protocol that clients and searchers use.
    pub fn dialect(&self) -> &dialect::Dialect {
        &self.dialect
    }

    /// Applies changes of the view to the balancer, the budgets and the statistics, until the process ends.
    pub async fn apply_view_changes(&self) {
        let mut searchers = self.view.searchers_epoch();
        let mut members = self.view.members_epoch();
        let send_limit = locks::lock(&self.shared).balancer.send_limit().clone();
        let mut version = config::ConfigVersion::default();
        let mut sweep = tokio::time::interval(SWEEP_PERIOD);
        sweep.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        self.sync_balancer();
        loop {
            tokio::select! {
                _ = searchers.changed() => self.sync_balancer(),
                _ = members.changed() => self.sync_members(),
                () = send_limit.wait_for_shortage() => {
                    locks::lock(&self.shared).balancer.close_excess_idle();
                }
                _ = sweep.tick() => {
                    self.sweep();
                    self.sync_placement();
                    if self.view.config_version() != version {
                        version = self.view.config_version();
                        self.sync_balancer();
                        self.retain_current_routes();
                    }
                }
            }
        }
    }

    fn sync_balancer(&self) {
        let me = self.view.with_members(|members| members.me().clone());
        let table = self.view.table();
        let distance = |domain: &str| {
            if domain == me.domain {
                return endpoint::Distance::SameDomain;
            }
            let found = self.regions.binary_search_by(|(known, _)| known.as_str().cmp(domain));
            match found {
                Ok(at) if self.regions[at].1 == me.region => endpoint::Distance::SameRegion,
                _ => endpoint::Distance::OtherRegion,
            }
        };
        let connections_max = |service: &config::ServiceName| {
            let service = table.as_ref().and_then(|table| table.config.service(service));
            service.map_or(CONNECTIONS_DEFAULT, |service| service.connections_max)
        };
        let cold_rule = |service: &config::ServiceName| {
            table.as_ref()?.config.service(service).and_then(cold::Rule::of)
        };
        let now_us = clock::now_us();
        self.view.with_registry(|registry| {
            let mut shared = locks::lock(&self.shared);
            shared.balancer.sync(now_us, registry.records(), distance, connections_max);
            // Before anything is sent to new searchers, which may be cold.
            shared.balancer.update_cold_limits(now_us, cold::unix_ms(), cold_rule);
        });
        self.sync_members();
    }

    /// Applies the rules that exclude searchers and that may change with time.
    fn sync_placement(&self) {
        let evacuated = self.view.evacuated_zones();
        let table = self.view.table();
        let rule = |service: &config::ServiceName| {
            table.as_ref()?.config.service(service).and_then(cold::Rule::of)
        };
        let mut shared = locks::lock(&self.shared);
        shared.balancer.set_evacuated(evacuated);
        shared.balancer.update_cold_limits(clock::now_us(), cold::unix_ms(), rule);
    }

    /// Sets by how much the limits of cold searchers may be exceeded.
    pub fn set_cold_tolerance(&self, tolerance: cold::Tolerance) {
        locks::lock(&self.shared).balancer.set_cold_tolerance(tolerance);
    }

    /// Sets the gauges of placement.
    pub fn update_placement_metrics(&self) {
        let shared = locks::lock(&self.shared);
        self.metrics.placement.set_evacuated(shared.balancer.evacuated_count());
        self.metrics.placement.set_cold(shared.balancer.cold_count());
    }

    fn sweep(&self) {
        let shared = locks::lock(&self.shared);
        shared.balancer.sweep();
        let outstanding_us = shared.balancer.outstanding_work_us(clock::now_us());
        self.metrics.expected_work.set_outstanding_us(outstanding_us);
    }

    /// Drops the statistics of routes that are not in the current configuration.
    fn retain_current_routes(&self) {
        let Some(table) = self.view.table() else {
            return;
        };
        let mut names: Vec<&str> =
            table.config.routes.iter().map(|route| route.name.as_str()).collect();
        names.sort_unstable();
        let mut shared = locks::lock(&self.shared);
        shared.latencies.retain_routes(&names);
        shared.balancer.retain_routes(&names);
        gate::apply_config(&mut shared.fair_order, &table.config, self.metrics.fair_order());
        drop(shared);
        self.view.with_client_wait(|client_wait| client_wait.retain_routes(&names));
    }

    fn sync_members(&self) {
        let table = self.view.table();
        let config = table.as_ref().map(|table| &*table.config);
        let (active, instance_counts, me) = self.view.with_members(|members| {
            let me = members.me();
            let active = address::ActiveMembers::select(&members.live(), config);
            let instance_counts = balancer::InstanceCounts {
                active: active.count() as u32,
                active_in_region: active.count_in(&me.region) as u32,
                is_active: active.contains(me) || me.state == members::MemberState::Draining,
            };
            (active, instance_counts, sharer(me))
        });
        let active = sync::Arc::new(active);
        let previous = self.active.swap(active.clone());
        if active != previous {
            log_active_change(&previous, &active);
        }
        let sharers: Vec<limit::Sharer> = active.iter().map(sharer).collect();
        let mut shared = locks::lock(&self.shared);
        shared.balancer.set_instance_counts(instance_counts);
        shared.budgets.set_active_instances(
            clock::now_us(),
            instance_counts.active,
            instance_counts.is_active,
        );
        let me = instance_counts.is_active.then_some(me);
        let counted = shared.budgets.retained_active_count();
        shared.balancer.observe_cold_sharers(clock::now_us(), me.clone(), &sharers);
        shared.balancer.set_sharers(limit::Sharers::new(me, sharers, counted));
        drop(shared);
        self.sync_placement();
    }

    /// Bounds the memory for answers to `clients`.
    #[must_use]
    pub fn with_answers_max(
        mut self,
        bytes_max: usize,
        clients: sync::Arc<connections::Limit>,
    ) -> Self {
        let answer_buffer = answer_buffer::AnswerBuffer::new(bytes_max).with_clients(clients);
        self.answer_buffer = sync::Arc::new(answer_buffer);
        self
    }

    /// Returns the instances that clients are sent to.
    pub fn active(&self) -> sync::Arc<address::ActiveMembers> {
        self.active.load_full()
    }

    /// Estimates how long the client of a request on `route` that has just arrived had waited before. The
    /// client will wait for another `client_timeout_us`.
    pub fn waited_us(&self, route: &config::Route, client_timeout_us: u64) -> u64 {
        let target_us = route.target_latency_ms * 1_000;
        self.view.with_client_wait(|client_wait| {
            client_wait.waited_us(clock::now_us(), &route.name, client_timeout_us, target_us)
        })
    }

    /// Returns how long before its target latency a query has to be complete.
    pub fn answer_margin_us(&self) -> u64 {
        locks::lock(&self.shared).answer_delay.margin_us()
    }

    fn record_wake(&self, delay_us: u64) {
        locks::lock(&self.shared).answer_delay.record_wake(delay_us);
    }

    /// Records how long the response of a completed query took to build.
    pub fn record_build(&self, duration_us: u64) {
        locks::lock(&self.shared).answer_delay.record_build(duration_us);
    }

    /// Makes all queries end by `last_answer_us`, also those in progress.
    pub fn limit_deadlines(&self, last_answer_us: u64) {
        self.last_answer_us.send_replace(Some(last_answer_us));
    }

    /// Returns how long a request is expected to take at the most.
    pub fn expected_duration_us(&self, spec: &query::Spec) -> u64 {
        let shared = locks::lock(&self.shared);
        let processing_us = shared.latencies.quantile_us(&spec.route, shutdown::QUANTILE);
        shutdown::expected_duration_us(spec, processing_us)
    }

    /// Returns how long the first sends of a request on `route` are expected to wait for room, see
    /// [`send_limit::SendLimit::expected_wait_us`].
    pub fn expected_wait_us(&self, route: &config::Route, need: send_limit::Need) -> u64 {
        let shared = locks::lock(&self.shared);
        let processing_us = shared.latencies.median_us(&route.name);
        shared.balancer.send_limit().expected_wait_us(need, processing_us)
    }

    /// Runs a query to completion. If the future is dropped, the sends of an idempotent request end shortly
    /// after.
    pub async fn run(
        self: &sync::Arc<Self>,
        spec: query::Spec,
        outgoing: sync::Arc<attempt::OutgoingRequest>,
    ) -> Report {
        let mut query = query::Query::new(spec);
        query.set_size(cost::RequestSize::of(&outgoing.body));
        query.set_head_bytes(outgoing.head_bytes);
        let (end_sender, mut end_receiver) = mpsc::unbounded_channel();
        let mut limit = self.last_answer_us.subscribe();
        let first = self.decide(|now_us, context| query.start(now_us, context));
        self.spawn_sends(first, &query, &outgoing, &end_sender);
        loop {
            if let Some(last_answer_us) = *limit.borrow_and_update() {
                query.limit_deadline(last_answer_us);
            }
            if let Some(completion) = query.completion(clock::now_us()) {
                self.metrics.record_denied_hedges(query.hedges_denied());
                if query.lacks_home_searcher() {
                    self.metrics.placement.record_no_home_searcher();
                }
                return Report::new(query, completion, clock::now_us());
            }
            let now_us = clock::now_us();
            let sleep_us = query.wake_at_us(now_us).saturating_sub(now_us).max(SLEEP_MIN_US);
            let wake = tokio::time::sleep(time::Duration::from_micros(sleep_us));
            let sends = tokio::select! {
                Some((number, outcome)) = end_receiver.recv() => {
                    self.decide(|now_us, context| query.record_end(now_us, context, number, outcome))
                }
                () = wake => {
                    self.record_wake(clock::now_us().saturating_sub(now_us + sleep_us));
                    self.decide(|now_us, context| query.tick(now_us, context))
                }
                // Can't fail: `self` owns the sender.
                _ = limit.changed() => Vec::new(),
            };
            self.spawn_sends(sends, &query, &outgoing, &end_sender);
        }
    }

    fn decide<T>(&self, decide: impl FnOnce(u64, &mut query::Context<'_>) -> T) -> T {
        let mut shared = locks::lock(&self.shared);
        let Shared { balancer, budgets, latencies, fair_order, .. } = &mut *shared;
        let fair_order = fair_order.as_mut();
        decide(clock::now_us(), &mut query::Context { balancer, budgets, latencies, fair_order })
    }

    fn spawn_sends(
        self: &sync::Arc<Self>,
        sends: Vec<query::Send>,
        query: &query::Query,
        outgoing: &sync::Arc<attempt::OutgoingRequest>,
        end_sender: &mpsc::UnboundedSender<(usize, query::Outcome)>,
    ) {
        for send in sends {
            let record = &query.sends()[send.number];
            self.metrics.record_send(record.reason, record.endpoint.distance);
            let task = SendTask {
                forwarder: self.clone(),
                spec: query.spec().clone(),
                size: query.size(),
                outgoing: outgoing.clone(),
                send,
            };
            tokio::spawn(task.run(end_sender.clone()));
        }
    }
}

/// One send. It runs in its own task, since it may outlive its query.
struct SendTask {
    forwarder: sync::Arc<Forwarder>,
    spec: sync::Arc<query::Spec>,
    size: cost::RequestSize,
    outgoing: sync::Arc<attempt::OutgoingRequest>,
    send: query::Send,
}

impl SendTask {
    async fn run(self, end_sender: mpsc::UnboundedSender<(usize, query::Outcome)>) {
        let started_us = clock::now_us();
        let endpoint = &self.send.choice.endpoint;
        let headers = &self.forwarder.dialect.headers;
        let abandoned = async {
            end_sender.closed().await;
            if !self.spec.is_idempotent {
                return std::future::pending().await;
            }
            tokio::time::sleep(ABANDONED_SEND_TIMEOUT).await;
        };
        let result = tokio::select! {
            result = attempt::send(endpoint, &self.outgoing, headers, &self.forwarder.answer_buffer) => Some(result),
            () = abandoned => None,
        };
        let now_us = clock::now_us();
        let waited_us = now_us.saturating_sub(started_us);
        let report = match &result {
            Some(result) => result.report,
            None if waited_us > self.send.choice.expected_us * 3 => {
                balancer::Report::Silent { waited_us }
            }
            None => balancer::Report::Cancelled,
        };
        self.report_to_balancer(now_us, report);
        self.forwarder.metrics.record_send_end(report.into());
        let Some(result) = result else {
            return;
        };
        if !matches!(result.outcome, query::Outcome::Answered(_)) {
            event!(
                debug,
                Event::SendFailed,
                request = %self.outgoing.id,
                searcher = %endpoint.id,
                report = %report,
                detail = %result.detail
            );
        }
        // The receiver is closed if the query has completed without this answer; the balancer already has it.
        let _ = end_sender.send((self.send.number, result.outcome));
    }

    fn report_to_balancer(&self, now_us: u64, report: balancer::Report) {
        let endpoint = &self.send.choice.endpoint;
        let mut shared = locks::lock(&self.forwarder.shared);
        let median_processing_us = self.send.median_processing_us;
        let sample = shared.balancer.finish_send(
            now_us,
            endpoint,
            &self.send.choice.send_id,
            median_processing_us,
            report,
        );
        if let Some(sample) = sample {
            shared.balancer.record_work(now_us, &self.spec.route, self.size, sample);
            let metrics = &self.forwarder.metrics.expected_work;
            metrics.record_work(sample.expected_us, sample.actual_us);
        }
        let Shared { balancer, fair_order, .. } = &mut *shared;
        if let Some(gate) = fair_order {
            let class = self.spec.class(median_processing_us);
            let service = &endpoint.searcher.service;
            let occupancy =
                balancer.occupancy(now_us, service, &[], self.spec.priority, &self.spec.homes);
            gate.record_end(now_us, service, &class, report.into(), occupancy);
        }
        if let balancer::Report::Answered { latency_us } = report {
            let processing_us = latency_us.saturating_sub(endpoint.distance.round_trip_us());
            if endpoint.distance != endpoint::Distance::OtherRegion {
                shared.latencies.record(&self.spec.route, processing_us);
            }
        }
    }
}

fn sharer(member: &members::Member) -> limit::Sharer {
    let name_hash = xxh3::xxh3_64(member.name.as_str().as_bytes());
    limit::Sharer { name_hash, region: member.region.clone() }
}

fn log_active_change(previous: &address::ActiveMembers, active: &address::ActiveMembers) {
    let added: Vec<&str> = active.names_not_in(previous).collect();
    let removed: Vec<&str> = previous.names_not_in(active).collect();
    if added.is_empty() && removed.is_empty() {
        // Only the properties of some instances changed.
        return;
    }
    event!(
        info,
        Event::ActiveChanged,
        count = active.count(),
        added = added.join(" "),
        removed = removed.join(" ")
    );
}
