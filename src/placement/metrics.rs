//! The metrics of placement.

use prometheus_client::metrics::counter;
use prometheus_client::registry;

/// Counters and gauges of the rules that exclude searchers.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    no_home_searcher: counter::Counter,
}

impl Metrics {
    /// Registers all metrics.
    pub fn register(&self, registry: &mut registry::Registry) {
        registry.register(
            "requests_without_home_searcher",
            "Requests refused because no searcher in their home regions can be used",
            self.no_home_searcher.clone(),
        );
    }

    /// Counts a request that was refused because no searcher in its home regions can be used.
    pub fn record_no_home_searcher(&self) {
        self.no_home_searcher.inc();
    }
}
