//! Estimates how long before a route's target latency an answer has to leave to reach its client in time.
//!
//! An instance wakes up later than planned, takes time to build an answer, and the answer takes time to arrive. The
//! first two depend on the machine and its load, so they are measured; they are the same for all routes, so that an
//! instance with little traffic knows them soon.

use crate::estimate;

/// The network round trip to a client, which can't be measured: the request took half of it.
const CLIENT_ROUND_TRIP_US: u64 = 6_000;
/// Covers what is not measured: the time until an arrived request is read, and until the answer is written.
const GUARD_US: u64 = 3_000;
/// The quantile of the measured times that is allowed for.
const QUANTILE: f64 = 0.9;
/// The minimum number of samples for an estimate.
const SAMPLES_MIN: u32 = 8;
/// The wake-up delay assumed until it is measured.
const DEFAULT_WAKE_US: u64 = 2_000;
/// The time to build an answer assumed until it is measured.
const DEFAULT_BUILD_US: u64 = 1_000;
/// The longest measured time that is allowed for. A longer delay is an exception, such as a paused process.
const MEASURED_MAX_US: u64 = 20_000;

/// Estimates the delay of answers from measured times.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    wake: estimate::Quantiles,
    build: estimate::Quantiles,
}

impl Estimator {
    /// Records that a query woke up `delay_us` later than planned.
    pub fn record_wake(&mut self, delay_us: u64) {
        self.wake.record(delay_us);
    }

    /// Records that building an answer took `duration_us`.
    pub fn record_build(&mut self, duration_us: u64) {
        self.build.record(duration_us);
    }

    /// Returns how long before the target latency an answer has to be complete.
    pub fn margin_us(&self) -> u64 {
        let wake_us = measured_us(&self.wake, DEFAULT_WAKE_US);
        let build_us = measured_us(&self.build, DEFAULT_BUILD_US);
        CLIENT_ROUND_TRIP_US + GUARD_US + wake_us + build_us
    }
}

fn measured_us(quantiles: &estimate::Quantiles, default_us: u64) -> u64 {
    if quantiles.sample_count() < SAMPLES_MIN {
        return default_us;
    }
    quantiles.quantile_us(QUANTILE).unwrap_or(default_us).min(MEASURED_MAX_US)
}
