//! The metrics of placement.

use prometheus_client::metrics::counter;
use prometheus_client::metrics::gauge;
use prometheus_client::registry;

/// Counters and gauges of the rules that exclude searchers.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    no_home_searcher: counter::Counter,
    evacuated_searchers: gauge::Gauge,
    cold_searchers: gauge::Gauge,
}

impl Metrics {
    /// Registers all metrics.
    pub fn register(&self, registry: &mut registry::Registry) {
        registry.register(
            "requests_without_home_searcher",
            "Requests refused because no searcher in their home regions can be used",
            self.no_home_searcher.clone(),
        );
        registry.register(
            "searchers_evacuated",
            "Searchers that get no requests because their zone is evacuated",
            self.evacuated_searchers.clone(),
        );
        registry.register(
            "searchers_cold",
            "Searchers that are cold and get a limited number of requests",
            self.cold_searchers.clone(),
        );
    }

    /// Sets the number of cold searchers of services that limit them.
    pub fn set_cold(&self, count: usize) {
        self.cold_searchers.set(count as i64);
    }

    /// Sets the number of searchers that are excluded by evacuations.
    pub fn set_evacuated(&self, count: usize) {
        self.evacuated_searchers.set(count as i64);
    }

    /// Counts a request that was refused because no searcher in its home regions can be used.
    pub fn record_no_home_searcher(&self) {
        self.no_home_searcher.inc();
    }
}
