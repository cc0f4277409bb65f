//! The metrics of an instance, in the OpenMetrics text format.

use crate::caller_api;
use crate::ids;
use crate::member;
use crate::rank;
use prometheus_client::encoding;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::family;
use prometheus_client::metrics::gauge;
use prometheus_client::metrics::histogram;
use prometheus_client::registry;
use std::fmt;
use std::time;
use strum::IntoEnumIterator as _;

/// The content type of [`Metrics::render`].
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The upper bounds of the latency histograms' buckets, in seconds.
const LATENCY_BOUNDS_S: [f64; 15] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.5, 1.0, 2.0, 5.0];

/// The kind of peer that a connection leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::EnumIter, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Peer {
    /// A backend server.
    Searcher,
    /// Another instance.
    Instance,
}

/// The channel of control traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Channel {
    /// Membership and revisions, over UDP.
    Gossip,
    /// Requests between instances, over TCP.
    Link,
    /// Calls to the platform.
    Platform,
}

/// The direction of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Direction {
    /// Out of this instance.
    Sent,
    /// Into this instance.
    Received,
}

/// A kind of shard call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum CallKind {
    Needed,
    Sent,
    Hedge,
    Retry,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RankLabels {
    rank: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    rank: &'static str,
    cause: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    rank: &'static str,
    kind: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PeerLabels {
    peer: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StateLabels {
    state: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TrafficLabels {
    channel: &'static str,
    direction: &'static str,
}

type Counters<L> = family::Family<L, counter::Counter>;
type Gauges<L> = family::Family<L, gauge::Gauge>;
type Histograms<L> = family::Family<L, histogram::Histogram, fn() -> histogram::Histogram>;

/// All metrics of an instance. Every method may be called from any thread.
#[derive(Debug)]
pub struct Metrics {
    registry: registry::Registry,
    latency: Histograms<RankLabels>,
    whole: Counters<RankLabels>,
    partial: Counters<RankLabels>,
    shards_answered: Counters<RankLabels>,
    shards_expected: Counters<RankLabels>,
    calls: Counters<CallLabels>,
    restarts: Counters<RankLabels>,
    refusals: Counters<RefusalLabels>,
    runs: Counters<OutcomeLabels>,
    ledger_records: gauge::Gauge,
    ledger_open: gauge::Gauge,
    connections: Gauges<PeerLabels>,
    members: Gauges<StateLabels>,
    revision_in_force: gauge::Gauge,
    revision_newest: gauge::Gauge,
    traffic: Counters<TrafficLabels>,
}

impl Metrics {
    /// Creates and registers all metrics, with zero counts.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: registry::Registry::with_prefix("tarragondoor"),
            latency: Histograms::new_with_constructor(new_latency_histogram),
            whole: Counters::default(),
            partial: Counters::default(),
            shards_answered: Counters::default(),
            shards_expected: Counters::default(),
            calls: Counters::default(),
            restarts: Counters::default(),
            refusals: Counters::default(),
            runs: Counters::default(),
            ledger_records: gauge::Gauge::default(),
            ledger_open: gauge::Gauge::default(),
            connections: Gauges::default(),
            members: Gauges::default(),
            revision_in_force: gauge::Gauge::default(),
            revision_newest: gauge::Gauge::default(),
            traffic: Counters::default(),
        };
        metrics.register_searches();
        metrics.register_instance();
        metrics
    }

    fn register_searches(&mut self) {
        let registry = &mut self.registry;
        let help = "Time from a search's receipt to its answer";
        let unit = registry::Unit::Seconds;
        registry.register_with_unit("search_latency", help, unit, self.latency.clone());
        registry.register("searches_whole", "Answers with every shard", self.whole.clone());
        registry.register("searches_partial", "Answers without some shard", self.partial.clone());
        let help = "Shards that answered, over all answers";
        registry.register("shards_answered", help, self.shards_answered.clone());
        let help = "Shards of the snapshots, over all answers";
        registry.register("shards_expected", help, self.shards_expected.clone());
        let help = "Shard calls: needed, sent, and of these hedges and retries";
        registry.register("shard_calls", help, self.calls.clone());
        let help = "Searches started again on another snapshot";
        registry.register("search_restarts", help, self.restarts.clone());
        registry.register("refusals", "Refused requests, by cause", self.refusals.clone());
    }

    fn register_instance(&mut self) {
        let registry = &mut self.registry;
        registry.register("runs", "Answers to non-idempotent requests", self.runs.clone());
        let help = "Idempotency keys that are remembered";
        registry.register("ledger_records", help, self.ledger_records.clone());
        let help = "Non-idempotent requests that are being run";
        registry.register("ledger_open", help, self.ledger_open.clone());
        registry.register("connections", "Open connections", self.connections.clone());
        registry.register("members", "Members known, by state", self.members.clone());
        let help = "The revision of the settings in force here";
        registry.register("settings_revision", help, self.revision_in_force.clone());
        let help = "The newest revision known to be committed";
        registry.register("settings_newest_revision", help, self.revision_newest.clone());
        let (help, unit) = ("Traffic besides that with callers", registry::Unit::Bytes);
        registry.register_with_unit("traffic", help, unit, self.traffic.clone());
    }

    /// Counts an answer to a search.
    pub fn record_search(
        &self,
        rank: rank::Rank,
        latency: time::Duration,
        coverage: &caller_api::Coverage,
        effort: &caller_api::Effort,
    ) {
        let labels = RankLabels { rank: rank.into() };
        self.latency.get_or_create(&labels).observe(latency.as_secs_f64());
        let is_whole = coverage.shards_answered == coverage.shards_total;
        let answers = if is_whole { &self.whole } else { &self.partial };
        answers.get_or_create(&labels).inc();
        let (answered, expected) = (coverage.shards_answered, coverage.shards_total);
        self.shards_answered.get_or_create(&labels).inc_by(answered.into());
        self.shards_expected.get_or_create(&labels).inc_by(expected.into());
        self.restarts.get_or_create(&labels).inc_by(effort.restarts.into());
        for (kind, count) in [
            (CallKind::Needed, effort.calls_needed),
            (CallKind::Sent, effort.calls_sent),
            (CallKind::Hedge, effort.hedges),
            (CallKind::Retry, effort.retries),
        ] {
            let labels = CallLabels { rank: rank.into(), kind: kind.into() };
            self.calls.get_or_create(&labels).inc_by(count.into());
        }
    }

    /// Counts a refused search or non-idempotent request.
    pub fn record_refusal(&self, rank: rank::Rank, cause: caller_api::ErrorCode) {
        let labels = RefusalLabels { rank: rank.into(), cause: cause.into() };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Counts an answer to a non-idempotent request.
    pub fn record_run(&self, outcome: caller_api::Outcome) {
        let labels = OutcomeLabels { outcome: outcome.to_string() };
        self.runs.get_or_create(&labels).inc();
    }

    /// Sets the numbers of remembered keys and of open requests in the ledger.
    pub fn set_ledger(&self, record_count: usize, open_count: usize) {
        self.ledger_records.set(saturating_i64(record_count));
        self.ledger_open.set(saturating_i64(open_count));
    }

    /// Sets the number of open connections to this kind of peer.
    pub fn set_connections(&self, peer: Peer, count: usize) {
        self.connections
            .get_or_create(&PeerLabels { peer: peer.into() })
            .set(saturating_i64(count));
    }

    /// Sets the number of members in each state, from the states of all members.
    pub fn set_members(&self, states: impl IntoIterator<Item = member::State>) {
        let mut counts: Vec<(member::State, i64)> = Vec::new();
        for state in member::State::iter() {
            counts.push((state, 0));
        }
        for state in states {
            if let Some(entry) = counts.iter_mut().find(|entry| entry.0 == state) {
                entry.1 += 1;
            }
        }
        for (state, count) in counts {
            let labels = StateLabels { state: state.to_string() };
            self.members.get_or_create(&labels).set(count);
        }
    }

    /// Sets the revision in force here and the newest one known.
    pub fn set_revisions(&self, in_force: ids::Revision, newest: ids::Revision) {
        self.revision_in_force.set(saturating_i64(in_force.0));
        self.revision_newest.set(saturating_i64(newest.0));
    }

    /// Raises the traffic counter to `total_bytes`. A lower value leaves it unchanged.
    pub fn set_traffic(&self, channel: Channel, direction: Direction, total_bytes: u64) {
        let labels = TrafficLabels { channel: channel.into(), direction: direction.into() };
        let counter = self.traffic.get_or_create(&labels);
        counter.inc_by(total_bytes.saturating_sub(counter.get()));
    }

    /// All metrics as text.
    ///
    /// # Errors
    ///
    /// When a metric can't be encoded. Writing to a `String` does not fail.
    pub fn render(&self) -> Result<String, fmt::Error> {
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

fn new_latency_histogram() -> histogram::Histogram {
    histogram::Histogram::new(LATENCY_BOUNDS_S)
}

fn saturating_i64(number: impl TryInto<i64>) -> i64 {
    number.try_into().unwrap_or(i64::MAX)
}
