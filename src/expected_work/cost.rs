//! The expected work of requests: the time that a searcher of usual speed takes to process one, without waiting.
//!
//! It is learned for each route and for a few classes of sizes and numbers of records. A class with few or old samples
//! takes the estimate of its route, in proportion.

use compact_str::CompactString;

/// The upper bounds of the classes of request sizes, in bytes; larger requests form one more class.
const SIZE_BOUNDS_BYTES: [usize; 3] = [1 << 10, 8 << 10, 64 << 10];
/// The upper bounds of the classes of numbers of records; more records form one more class.
const RECORDS_BOUNDS: [usize; 3] = [1, 16, 256];
const CLASS_COUNT: usize = (SIZE_BOUNDS_BYTES.len() + 1) * (RECORDS_BOUNDS.len() + 1);
/// The number of samples with which a class, or a route, counts as much as what it falls back to.
const PRIOR_WEIGHT: f64 = 4.0;
/// The weight of all samples together is at most this, so that a change is followed within about as many samples.
const WEIGHT_MAX: f64 = 60.0;
/// The time in which samples lose half of their weight.
const HALF_LIFE_US: f64 = 60_000_000.0;
/// A sample counts as at most this multiple of the mean, and at least its inverse. One in a hundred requests costs five
/// times as much, and one that waits for a paused searcher takes ten times as long; neither tells what others cost.
const SAMPLE_MAX_FACTOR: f64 = 2.0;
/// With fewer samples than this, all of them count in full.
const SETTLED_WEIGHT: f64 = 8.0;

/// What is known about the size of a request before it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// The length of the body.
    pub bytes: usize,
    /// The number of records in the body.
    pub records: usize,
}

impl RequestSize {
    /// Returns the size of a request with this body. Records are separated by newlines.
    pub fn of(body: &[u8]) -> Self {
        let newline_count = body.iter().filter(|byte| **byte == b'\n').count();
        let is_unterminated = body.last().is_some_and(|byte| *byte != b'\n');
        Self { bytes: body.len(), records: newline_count + usize::from(is_unterminated) }
    }

    fn class(self) -> usize {
        let bytes_class = SIZE_BOUNDS_BYTES.partition_point(|bound| *bound < self.bytes);
        let records_class = RECORDS_BOUNDS.partition_point(|bound| *bound < self.records);
        bytes_class * (RECORDS_BOUNDS.len() + 1) + records_class
    }
}

/// A geometric mean whose samples lose weight with age. Work varies by factors, so that this is the cost of a typical
/// request, from which hedges have to be told.
#[derive(Clone, Copy, Debug, Default)]
struct AgingMean {
    /// The mean of the logarithm of the samples in microseconds.
    value: f64,
    weight: f64,
    updated_us: u64,
}

impl AgingMean {
    fn weight(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.updated_us) as f64;
        self.weight * (-age_us / HALF_LIFE_US).exp2()
    }

    fn record(&mut self, now_us: u64, sample_us: f64) {
        let known_weight = self.weight(now_us);
        let mut change = sample_us.max(1.0).ln() - self.value;
        if known_weight >= SETTLED_WEIGHT {
            let change_max = SAMPLE_MAX_FACTOR.ln();
            change = change.clamp(-change_max, change_max);
        }
        self.weight = (known_weight + 1.0).min(WEIGHT_MAX);
        self.value += change / self.weight;
        self.updated_us = now_us;
    }

    /// Returns the mean together with `prior_us`, which counts as [`PRIOR_WEIGHT`] samples.
    fn blend(&self, now_us: u64, prior_us: f64) -> f64 {
        let weight = self.weight(now_us);
        (self.value.exp() * weight + prior_us * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT)
    }
}

#[derive(Clone, Debug)]
struct RouteCost {
    name: CompactString,
    all: AgingMean,
    classes: [AgingMean; CLASS_COUNT],
}

/// The expected work of requests by route, size and number of records.
#[derive(Clone, Debug, Default)]
pub struct Model {
    /// Sorted by name.
    routes: Vec<RouteCost>,
}

impl Model {
    /// Returns the expected work of a request in microseconds. `default_us` is what is assumed of a route without
    /// samples.
    pub fn expected_us(&self, now_us: u64, route: &str, size: RequestSize, default_us: f64) -> f64 {
        let Ok(index) = self.position(route) else {
            return default_us;
        };
        let cost = &self.routes[index];
        cost.classes[size.class()].blend(now_us, cost.all.blend(now_us, default_us))
    }

    /// Adds a sample: a request took `work_us` on a searcher, less its waiting time and scaled to the usual speed.
    pub fn record(&mut self, now_us: u64, route: &str, size: RequestSize, work_us: f64) {
        let index = match self.position(route) {
            Ok(index) => index,
            Err(index) => {
                let all = AgingMean::default();
                let cost = RouteCost { name: route.into(), all, classes: [all; CLASS_COUNT] };
                self.routes.insert(index, cost);
                index
            }
        };
        let cost = &mut self.routes[index];
        let class = &mut cost.classes[size.class()];
        for mean in [&mut cost.all, class] {
            mean.record(now_us, work_us);
        }
    }

    /// Drops routes that are not in `names`, which must be sorted.
    pub fn retain_routes(&mut self, names: &[&str]) {
        self.routes.retain(|cost| names.binary_search(&cost.name.as_str()).is_ok());
    }

    fn position(&self, route: &str) -> Result<usize, usize> {
        self.routes.binary_search_by(|cost| cost.name.as_str().cmp(route))
    }
}
