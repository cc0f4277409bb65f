//! The metrics of an instance that forwards requests.

use crate::build_info;
use crate::discovery::config;
use crate::discovery::view;
use crate::expected_work::metrics as expected_work;
use crate::fair_order;
use crate::forward::endpoint;
use crate::forward::query;
use crate::placement;
use crate::tenants;
use prometheus_client::encoding;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::family;
use prometheus_client::metrics::gauge;
use prometheus_client::metrics::histogram;
use prometheus_client::registry;
use std::fmt;

/// The upper bounds of the latency histograms' buckets, in seconds. They are chosen around common target
/// latencies.
const LATENCY_BOUNDS_S: [f64; 12] =
    [0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 5.0, 15.0];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PriorityLabels {
    priority: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    priority: u8,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SendLabels {
    reason: String,
    distance: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AdmissionLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreLabels {
    call: &'static str,
    outcome: &'static str,
}

type Counters<L> = family::Family<L, counter::Counter>;
type Latencies = family::Family<PriorityLabels, histogram::Histogram, fn() -> histogram::Histogram>;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct FeedLabels {
    update: &'static str,
}

/// All metrics of an instance that forwards requests.
#[derive(Debug)]
pub struct Metrics {
    registry: registry::Registry,
    requests: Counters<RequestLabels>,
    latency: Latencies,
    parts_missing: Counters<PriorityLabels>,
    sends: Counters<SendLabels>,
    ends: Counters<EndLabels>,
    hedges_denied: counter::Counter,
    admission: Counters<AdmissionLabels>,
    body_bytes: gauge::Gauge,
    store_calls: Counters<StoreLabels>,
    members_delay: histogram::Histogram,
    feed_sent_bytes: Counters<FeedLabels>,
    config_version: gauge::Gauge,
    config_unusable_parts: gauge::Gauge,
    config_keys_required: gauge::Gauge,
    config_tenants: gauge::Gauge,
    config_keys: gauge::Gauge,
    config_age_ms: gauge::Gauge,
    searchers_age_ms: gauge::Gauge,
    searchers: gauge::Gauge,
    members: gauge::Gauge,
    client_connections: gauge::Gauge,
    searcher_connections: gauge::Gauge,
    /// The metrics of placement.
    pub placement: placement::metrics::Metrics,
    tenants: tenants::metrics::Metrics,
    fair_order: fair_order::metrics::Metrics,
    /// Those of the routing by expected work.
    pub expected_work: expected_work::Metrics,
}

impl Metrics {
    /// Creates metrics with all values at zero.
    pub fn new() -> Self {
        Self::of_build(&build_info::BuildInfo::default())
    }

    /// Creates metrics with all values at zero, and what the program was built from.
    pub fn of_build(build: &build_info::BuildInfo) -> Self {
        let latency: fn() -> histogram::Histogram =
            || histogram::Histogram::new(LATENCY_BOUNDS_S.iter().copied());
        let mut metrics = Self {
            registry: registry::Registry::with_prefix("tarragondoor"),
            requests: Counters::default(),
            latency: Latencies::new_with_constructor(latency),
            parts_missing: Counters::default(),
            sends: Counters::default(),
            ends: Counters::default(),
            hedges_denied: counter::Counter::default(),
            admission: Counters::default(),
            body_bytes: gauge::Gauge::default(),
            store_calls: Counters::default(),
            feed_sent_bytes: Counters::default(),
            members_delay: histogram::Histogram::new(LATENCY_BOUNDS_S.iter().copied()),
            config_version: gauge::Gauge::default(),
            config_unusable_parts: gauge::Gauge::default(),
            config_keys_required: gauge::Gauge::default(),
            config_tenants: gauge::Gauge::default(),
            config_keys: gauge::Gauge::default(),
            config_age_ms: gauge::Gauge::default(),
            searchers_age_ms: gauge::Gauge::default(),
            searchers: gauge::Gauge::default(),
            members: gauge::Gauge::default(),
            client_connections: gauge::Gauge::default(),
            searcher_connections: gauge::Gauge::default(),
            placement: placement::metrics::Metrics::default(),
            tenants: tenants::metrics::Metrics::default(),
            fair_order: fair_order::metrics::Metrics::new(),
            expected_work: expected_work::Metrics::default(),
        };
        build.register(&mut metrics.registry);
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        self.placement.register(registry);
        self.tenants.register(registry);
        self.fair_order.register(registry);
        self.expected_work.register(registry);
        registry.register("requests", "Requests of clients by outcome", self.requests.clone());
        registry.register("latency_seconds", "Time to the answer", self.latency.clone());
        registry.register(
            "parts_missing",
            "Parts left out of answers to gathers",
            self.parts_missing.clone(),
        );
        registry.register("sends", "Sends to searchers by reason", self.sends.clone());
        registry.register("sends_ended", "Sends by how they ended", self.ends.clone());
        registry.register(
            "hedges_denied",
            "Hedges that the budget did not allow",
            self.hedges_denied.clone(),
        );
        registry.register(
            "admission",
            "Bodies and connections of clients that were turned away, by reason",
            self.admission.clone(),
        );
        registry.register(
            "body_bytes",
            "Bytes held for bodies of clients' requests",
            self.body_bytes.clone(),
        );
        registry.register(
            "members_delay_seconds",
            "Time from a change of the members until a subscriber is sent the new list",
            self.members_delay.clone(),
        );
        registry.register(
            "feed_sent_bytes",
            "Bytes sent to subscribers by kind of update",
            self.feed_sent_bytes.clone(),
        );
        registry.register("store_calls", "Calls to the platform's store", self.store_calls.clone());
        registry.register(
            "config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "config_unusable_parts",
            "Parts of the configuration in force that can't be used",
            self.config_unusable_parts.clone(),
        );
        registry.register(
            "config_keys_required",
            "Whether the configuration in force needs keys (1) or not (0), -1 if there is none",
            self.config_keys_required.clone(),
        );
        registry.register(
            "config_tenants",
            "Tenants of the configuration in force",
            self.config_tenants.clone(),
        );
        registry.register("config_keys", "Keys that these tenants hold", self.config_keys.clone());
        registry.register(
            "config_age_ms",
            "Time since the configuration was known to be the newest, -1 if there is none",
            self.config_age_ms.clone(),
        );
        registry.register(
            "searchers_age_ms",
            "Time since the view of the searchers was complete, -1 if it never was",
            self.searchers_age_ms.clone(),
        );
        registry.register("searchers", "Searchers known", self.searchers.clone());
        registry.register("members", "Instances believed to be alive", self.members.clone());
        registry.register(
            "client_connections",
            "Connections of clients",
            self.client_connections.clone(),
        );
        registry.register(
            "searcher_connections",
            "Connections to searchers",
            self.searcher_connections.clone(),
        );
    }

    /// Records how a client's request ended and how long it took. `missing` is the number of parts that its
    /// answer lacks.
    pub fn record_answer(
        &self,
        priority: u8,
        outcome: &'static str,
        latency_s: f64,
        missing: usize,
    ) {
        self.requests.get_or_create(&RequestLabels { priority, outcome }).inc();
        self.latency.get_or_create(&PriorityLabels { priority }).observe(latency_s);
        if missing > 0 {
            let labels = PriorityLabels { priority };
            self.parts_missing.get_or_create(&labels).inc_by(missing as u64);
        }
    }

    /// Returns the metrics by tenant.
    pub fn tenants(&self) -> &tenants::metrics::Metrics {
        &self.tenants
    }

    /// Returns the metrics of fair queueing.
    pub fn fair_order(&self) -> &fair_order::metrics::Metrics {
        &self.fair_order
    }

    /// Counts a send to a searcher.
    pub fn record_send(&self, reason: query::Reason, distance: endpoint::Distance) {
        let labels = SendLabels { reason: reason.to_string(), distance: distance.to_string() };
        self.sends.get_or_create(&labels).inc();
    }

    /// Counts how a send ended.
    pub fn record_send_end(&self, outcome: &'static str) {
        self.ends.get_or_create(&EndLabels { outcome }).inc();
    }

    /// Counts hedges that the budget did not allow.
    pub fn record_denied_hedges(&self, count: u64) {
        self.hedges_denied.inc_by(count);
    }

    /// Counts a body or a connection of a client that was turned away.
    pub fn record_admission(&self, outcome: &'static str) {
        self.admission.get_or_create(&AdmissionLabels { outcome }).inc();
    }

    /// Sets how many bytes are held for bodies of clients' requests.
    pub fn set_body_bytes(&self, byte_count: usize) {
        self.body_bytes.set(byte_count as i64);
    }

    /// Counts a call to the platform's store.
    pub fn record_store_call(&self, call: &'static str, outcome: &'static str) {
        self.store_calls.get_or_create(&StoreLabels { call, outcome }).inc();
    }

    /// Records how long after a change of the members a subscriber was sent the new list.
    pub fn record_members_delay(&self, delay_s: f64) {
        self.members_delay.observe(delay_s);
    }

    /// Counts the bytes of an update that is sent to a subscriber.
    pub fn record_feed_sent(&self, update: &'static str, bytes: usize) {
        self.feed_sent_bytes.get_or_create(&FeedLabels { update }).inc_by(bytes as u64);
    }

    fn set_config(&self, config: Option<&config::Config>) {
        let Some(config) = config else {
            self.config_keys_required.set(-1);
            return;
        };
        self.config_version.set(config.version.0 as i64);
        self.config_unusable_parts.set(config.unusable_count.into());
        self.config_keys_required.set(config.tenants.require_keys().into());
        self.config_tenants.set(config.tenants.as_slice().len() as i64);
        self.config_keys.set(config.tenants.key_count() as i64);
    }

    /// Encodes all metrics as text; the gauges are first set from the view and the connection counts.
    ///
    /// # Errors
    ///
    /// When a metric can't be encoded.
    pub fn render(
        &self,
        view: &view::View,
        client_connections: usize,
        searcher_connections: usize,
    ) -> Result<String, fmt::Error> {
        let ages = view.ages();
        let age_ms = |age_us: Option<u64>| age_us.map_or(-1, |us| (us / 1_000) as i64);
        self.set_config(view.table().as_ref().map(|table| &*table.config));
        self.config_age_ms.set(age_ms(ages.config_us));
        self.searchers_age_ms.set(age_ms(ages.searchers_us));
        self.searchers.set(view.with_registry(|registry| registry.live_count()) as i64);
        self.members.set(view.with_members(|members| members.live().len()) as i64);
        self.client_connections.set(client_connections as i64);
        self.searcher_connections.set(searcher_connections as i64);
        let mut text = String::new();
        encoding::text::encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
