//! How long the requests of each route take at a searcher, the way there and back left out.

use crate::estimate;
use compact_str::CompactString;

/// What is taken until a route has enough samples.
const DEFAULT_MEDIAN_US: u64 = 30_000;
/// The samples that an estimate needs.
const SAMPLES_MIN: u32 = 20;

/// Latencies by route.
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

    /// The median of a route.
    pub fn median_us(&self, route: &str) -> u64 {
        self.quantile_us(route, 0.5).unwrap_or(DEFAULT_MEDIAN_US)
    }

    /// A quantile of a route, if there are enough samples.
    pub fn quantile_us(&self, route: &str, share: f64) -> Option<u64> {
        let index = self.position(route).ok()?;
        let latencies = &self.routes[index].1;
        if latencies.sample_count() < SAMPLES_MIN {
            return None;
        }
        latencies.quantile_us(share)
    }

    /// Forgets routes that are not among `names`, which are sorted.
    pub fn retain_routes(&mut self, names: &[&str]) {
        self.routes.retain(|(name, _)| names.binary_search(&name.as_str()).is_ok());
    }

    fn position(&self, route: &str) -> Result<usize, usize> {
        self.routes.binary_search_by(|(name, _)| name.as_str().cmp(route))
    }
}
