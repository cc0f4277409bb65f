//! Estimators of durations and rates. All times are in microseconds on one monotonic clock.

/// An exponentially decaying mean: a sample weighs `exp(-age / time constant)`.
#[derive(Clone, Copy, Debug)]
pub struct DecayingMean {
    time_constant_us: f64,
    sum: f64,
    weight: f64,
    updated_us: u64,
}

impl DecayingMean {
    /// A mean without samples.
    pub fn new(time_constant_us: u64) -> Self {
        Self { time_constant_us: time_constant_us as f64, sum: 0.0, weight: 0.0, updated_us: 0 }
    }

    /// Adds a sample taken at `now_us`.
    pub fn record(&mut self, now_us: u64, sample: f64) {
        let retained = decay(self.updated_us, now_us, self.time_constant_us);
        self.sum = self.sum * retained + sample;
        self.weight = self.weight * retained + 1.0;
        self.updated_us = self.updated_us.max(now_us);
    }

    /// The mean, or `None` before the first sample.
    pub fn mean(&self) -> Option<f64> {
        if self.weight < f64::MIN_POSITIVE {
            return None;
        }
        Some(self.sum / self.weight)
    }

    /// When the mean was last updated, 0 if never.
    pub fn updated_us(&self) -> u64 {
        self.updated_us
    }

    /// Marks the mean as updated at `now_us` without adding a sample.
    pub fn touch(&mut self, now_us: u64) {
        self.updated_us = self.updated_us.max(now_us);
    }
}

fn decay(from_us: u64, to_us: u64, time_constant_us: f64) -> f64 {
    let age_us = to_us.saturating_sub(from_us) as f64;
    (-age_us / time_constant_us).exp()
}

/// The time constants of [`Rate`]'s windows: the last one gives the rate, the others detect jumps.
const RATE_TIME_CONSTANTS_US: [f64; RATE_WINDOW_COUNT] = [50_000.0, 500_000.0, 5_000_000.0];
/// The number of windows of a [`Rate`].
const RATE_WINDOW_COUNT: usize = 3;
/// A difference of more standard deviations than this counts as a jump.
const JUMP_DEVIATIONS: f64 = 4.0;
/// The fraction of its weight that a window keeps when it restarts from a shorter one after a jump.
const RESTART_WEIGHT: f64 = 0.25;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    /// Sum of the weights.
    sum: f64,
    /// Sum of the squared weights.
    squares: f64,
    /// The decayed observation time, at most the time constant.
    observed_us: f64,
}

impl Window {
    fn advance(&mut self, retained: f64, time_constant_us: f64) {
        self.sum *= retained;
        self.squares *= retained;
        self.observed_us = self.observed_us * retained + time_constant_us * (1.0 - retained);
    }

    fn per_us(&self) -> f64 {
        if self.observed_us <= 0.0 {
            return 0.0;
        }
        self.sum / self.observed_us
    }

    fn deviation_per_us(&self) -> f64 {
        if self.observed_us <= 0.0 {
            return 0.0;
        }
        self.squares.sqrt() / self.observed_us
    }

    /// The same rate with a smaller weight, since part of it dates from before the jump.
    fn restarted(self) -> Self {
        Self {
            sum: self.sum * RESTART_WEIGHT,
            squares: self.squares * RESTART_WEIGHT,
            observed_us: self.observed_us * RESTART_WEIGHT,
        }
    }

    /// Whether this window's rate differs significantly from a longer window's.
    fn differs(&self, longer: &Window) -> bool {
        let scale = (longer.observed_us / self.observed_us.max(1.0)).max(1.0);
        let expected_deviation_per_us = longer.deviation_per_us() * scale.sqrt();
        let deviation_per_us = expected_deviation_per_us.max(self.deviation_per_us());
        (self.per_us() - longer.per_us()).abs() > JUMP_DEVIATIONS * deviation_per_us
    }
}

/// Estimates the rate of weighted events. It averages over a few seconds and follows a jump as soon
/// as the recent rate differs significantly from the average: within tens of milliseconds if the
/// jump is large.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    windows: [Window; RATE_WINDOW_COUNT],
    updated_us: u64,
}

impl Rate {
    /// Creates an estimator that starts at `now_us`.
    pub fn new(now_us: u64) -> Self {
        Self { updated_us: now_us, ..Self::default() }
    }

    /// Records an event of `weight`.
    pub fn record(&mut self, now_us: u64, weight: f64) {
        self.advance(now_us);
        for window in &mut self.windows {
            window.sum += weight;
            window.squares += weight * weight;
        }
    }

    /// The estimated weight per microsecond.
    pub fn per_us(&mut self, now_us: u64) -> f64 {
        self.advance(now_us);
        for longer in 1..RATE_WINDOW_COUNT {
            let recent = self.windows[longer - 1];
            if recent.differs(&self.windows[longer]) {
                self.windows[longer] = recent.restarted();
            }
        }
        self.windows[RATE_WINDOW_COUNT - 1].per_us()
    }

    fn advance(&mut self, now_us: u64) {
        for (window, time_constant_us) in self.windows.iter_mut().zip(RATE_TIME_CONSTANTS_US) {
            let retained = decay(self.updated_us, now_us, time_constant_us);
            window.advance(retained, time_constant_us);
        }
        self.updated_us = self.updated_us.max(now_us);
    }
}

/// The number of buckets of [`Quantiles`].
const BUCKET_COUNT: usize = 160;
/// The number of buckets per doubling of the duration.
const BUCKETS_PER_OCTAVE: f64 = 8.0;
/// The upper bound of the first bucket.
const FIRST_BUCKET_US: f64 = 50.0;
/// All counts are halved at this many samples, so that recent ones dominate.
const HALVE_AT_SAMPLES: u32 = 4096;

/// Estimates quantiles of recent durations from 50 microseconds to about a minute, within 10 %.
#[derive(Clone, Debug)]
pub struct Quantiles {
    counts: [u32; BUCKET_COUNT],
    total: u32,
}

impl Default for Quantiles {
    fn default() -> Self {
        Self { counts: [0; BUCKET_COUNT], total: 0 }
    }
}

impl Quantiles {
    /// Adds a duration.
    pub fn record(&mut self, duration_us: u64) {
        self.counts[bucket(duration_us)] += 1;
        self.total += 1;
        if self.total < HALVE_AT_SAMPLES {
            return;
        }
        self.total = 0;
        for count in &mut self.counts {
            *count /= 2;
            self.total += *count;
        }
    }

    /// The number of samples counted, reduced by each halving.
    pub fn sample_count(&self) -> u32 {
        self.total
    }

    /// The upper bound of the bucket that holds the quantile, in microseconds; `None` without
    /// samples. `share` is from 0 to 1.
    pub fn quantile_us(&self, share: f64) -> Option<u64> {
        if self.total == 0 {
            return None;
        }
        let target_count = (share * f64::from(self.total)).ceil();
        let mut cumulative_count = 0;
        for (index, count) in self.counts.iter().enumerate() {
            cumulative_count += count;
            if f64::from(cumulative_count) >= target_count {
                return Some(upper_bound_us(index));
            }
        }
        Some(upper_bound_us(BUCKET_COUNT - 1))
    }
}

fn bucket(duration_us: u64) -> usize {
    let octaves = (duration_us as f64 / FIRST_BUCKET_US).max(1.0).log2();
    let index = (octaves * BUCKETS_PER_OCTAVE).ceil() as usize;
    index.min(BUCKET_COUNT - 1)
}

fn upper_bound_us(index: usize) -> u64 {
    (FIRST_BUCKET_US * (index as f64 / BUCKETS_PER_OCTAVE).exp2()) as u64
}
