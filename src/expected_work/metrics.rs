//! Metrics of the routing by expected work.

use prometheus_client::metrics::gauge;
use prometheus_client::metrics::histogram;
use prometheus_client::registry;
use std::sync::atomic;

/// The upper bounds of the buckets of the ratio of actual to expected work.
const RATIO_BOUNDS: [f64; 9] = [0.25, 0.5, 0.8, 1.25, 2.0, 3.0, 5.0, 10.0, 30.0];

/// The metrics of the routing by expected work. They stay empty with any other routing.
#[derive(Debug)]
pub struct Metrics {
    ratio: histogram::Histogram,
    outstanding_s: gauge::Gauge<f64, atomic::AtomicU64>,
}

impl Metrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut registry::Registry) {
        registry.register(
            "work_ratio",
            "Actual work of answered sends divided by the expected work",
            self.ratio.clone(),
        );
        registry.register(
            "outstanding_work_seconds",
            "Expected work of the sends in flight that is not done yet",
            self.outstanding_s.clone(),
        );
    }

    /// Records the work of an answered send.
    pub fn record_work(&self, expected_us: f64, actual_us: f64) {
        self.ratio.observe(actual_us / expected_us.max(1.0));
    }

    /// Sets the expected work of the sends in flight that is not done yet.
    pub fn set_outstanding_us(&self, outstanding_us: f64) {
        self.outstanding_s.set(outstanding_us / 1e6);
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            ratio: histogram::Histogram::new(RATIO_BOUNDS.iter().copied()),
            outstanding_s: gauge::Gauge::default(),
        }
    }
}
