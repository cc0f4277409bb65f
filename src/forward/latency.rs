//! The time that searchers take to process the requests of each route, without the network round trip.

use crate::estimate;
use compact_str::CompactString;

/// The median assumed until a route has enough samples.
const DEFAULT_MEDIAN_US: u64 = 30_000;
/// The minimum number of samples for an estimate.
const SAMPLES_MIN: u32 = 20;

/// The latencies of each route.
#[derive(Clone, Debug, Default)]
pub struct Latencies {
    /// Sorted by route name.
    routes: Vec<(CompactString, estimate::Quantiles)>,
}

impl Latencies {
    /// Adds a sample.
    pub fn record(&mut self, route: &str, latency_us: u64) {
        let index = match self.position(route) {
            Ok(index) => index,
            Err(index) => {
                self.routes.insert(index, (route.into(), estimate::Quantiles::default()));
                index
            }
        };
        self.routes[index].1.record(latency_us);
    }

    /// Returns the median of a route, or a default if it has too few samples.
    pub fn median_us(&self, route: &str) -> u64 {
        self.quantile_us(route, 0.5).unwrap_or(DEFAULT_MEDIAN_US)
    }

    /// Returns a quantile of a route, or `None` if it has too few samples. `share` is from 0 to 1.
    pub fn quantile_us(&self, route: &str, share: f64) -> Option<u64> {
        let index = self.position(route).ok()?;
        let latencies = &self.routes[index].1;
        if latencies.sample_count() < SAMPLES_MIN {
            return None;
        }
        latencies.quantile_us(share)
    }

    /// Drops routes that are not in `names`, which must be sorted.
    pub fn retain_routes(&mut self, names: &[&str]) {
        self.routes.retain(|(name, _)| names.binary_search(&name.as_str()).is_ok());
    }

    fn position(&self, route: &str) -> Result<usize, usize> {
        self.routes.binary_search_by(|(name, _)| name.as_str().cmp(route))
    }
}
