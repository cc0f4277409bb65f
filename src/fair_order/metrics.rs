//! The metrics of fair queueing.

use prometheus_client::metrics::counter;
use prometheus_client::metrics::gauge;
use prometheus_client::metrics::histogram;
use prometheus_client::registry;

/// The upper bounds of the wait histogram's buckets, in seconds, up to a quarter of the longest usual target.
const WAIT_BOUNDS_S: [f64; 7] = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.4];

/// Metrics of the parts that wait for searchers. Clones share their values.
#[derive(Clone, Debug)]
pub struct Metrics {
    waiting: gauge::Gauge,
    refused: counter::Counter,
    wait: histogram::Histogram,
}

impl Metrics {
    /// Creates metrics with all values at zero.
    pub fn new() -> Self {
        Self {
            waiting: gauge::Gauge::default(),
            refused: counter::Counter::default(),
            wait: histogram::Histogram::new(WAIT_BOUNDS_S.iter().copied()),
        }
    }

    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut registry::Registry) {
        registry.register(
            "parts_waiting",
            "Parts that wait for searchers in fair order",
            self.waiting.clone(),
        );
        registry.register(
            "refused_on_arrival",
            "Requests refused on arrival because of the work ahead of them",
            self.refused.clone(),
        );
        registry.register(
            "part_wait_seconds",
            "Time that parts waited in fair order until they were sent",
            self.wait.clone(),
        );
    }

    /// Changes the number of waiting parts.
    pub fn record_waiting(&self, change: i64) {
        self.waiting.inc_by(change);
    }

    /// Counts a request that was refused on arrival.
    pub fn record_refusal(&self) {
        self.refused.inc();
    }

    /// Records how long a part waited until it was sent.
    pub fn record_wait(&self, wait_us: u64) {
        self.wait.observe(wait_us as f64 / 1e6);
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
