//! Estimators of durations and rates. All times are in microseconds on one monotonic clock.

/// A mean that forgets: older samples weigh less by `exp(-age / time constant)`.
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
        let kept = decay(self.updated_us, now_us, self.time_constant_us);
        self.sum = self.sum * kept + sample;
        self.weight = self.weight * kept + 1.0;
        self.updated_us = self.updated_us.max(now_us);
    }

    /// The mean, or `None` before the first sample.
    pub fn mean(&self) -> Option<f64> {
        if self.weight < f64::MIN_POSITIVE {
            return None;
        }
        Some(self.sum / self.weight)
    }

    /// When the last sample was taken, 0 if there is none.
    pub fn updated_us(&self) -> u64 {
        self.updated_us
    }

    /// Lets the mean stand as of `now_us` without a sample.
    pub fn touch(&mut self, now_us: u64) {
        self.updated_us = self.updated_us.max(now_us);
    }
}

fn decay(from_us: u64, to_us: u64, time_constant_us: f64) -> f64 {
    let age_us = to_us.saturating_sub(from_us) as f64;
    (-age_us / time_constant_us).exp()
}

/// The time constants of [`Rate`]'s windows: the last one gives the rate, the others see jumps.
const RATE_TIME_CONSTANTS_US: [f64; RATE_WINDOW_COUNT] = [50_000.0, 500_000.0, 5_000_000.0];
/// How many windows a [`Rate`] has.
const RATE_WINDOW_COUNT: usize = 3;
/// How many standard deviations make a jump.
const JUMP_DEVIATIONS: f64 = 4.0;
/// What a window that is restarted after a jump keeps of its weight.
const RESTART_WEIGHT: f64 = 0.25;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    /// Sum of the weights.
    sum: f64,
    /// Sum of the squared weights.
    squares: f64,
    /// The decayed length of time watched, at most the time constant.
    observed_us: f64,
}

impl Window {
    fn advance(&mut self, kept: f64, time_constant_us: f64) {
        self.sum *= kept;
        self.squares *= kept;
        self.observed_us = self.observed_us * kept + time_constant_us * (1.0 - kept);
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

    /// The same rate at a smaller weight: part of it is from before the jump.
    fn restarted(self) -> Self {
        Self {
            sum: self.sum * RESTART_WEIGHT,
            squares: self.squares * RESTART_WEIGHT,
            observed_us: self.observed_us * RESTART_WEIGHT,
        }
    }

    /// Whether this window's rate differs from a longer window's by more than chance.
    fn differs(&self, longer: &Window) -> bool {
        let scale = (longer.observed_us / self.observed_us.max(1.0)).max(1.0);
        let expected_per_us = longer.deviation_per_us() * scale.sqrt();
        let deviation_per_us = expected_per_us.max(self.deviation_per_us());
        (self.per_us() - longer.per_us()).abs() > JUMP_DEVIATIONS * deviation_per_us
    }
}

/// The rate of weighted events. It averages over some seconds, and follows a jump as soon as the
/// recent events can't be told from the average by chance: a large one within tens of milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    windows: [Window; RATE_WINDOW_COUNT],
    updated_us: u64,
}

impl Rate {
    /// A rate that is watched from `now_us`.
    pub fn new(now_us: u64) -> Self {
        Self { updated_us: now_us, ..Self::default() }
    }

    /// Counts an event of `weight`.
    pub fn record(&mut self, now_us: u64, weight: f64) {
        self.advance(now_us);
        for window in &mut self.windows {
            window.sum += weight;
            window.squares += weight * weight;
        }
    }

    /// The weight per microsecond.
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
            let kept = decay(self.updated_us, now_us, time_constant_us);
            window.advance(kept, time_constant_us);
        }
        self.updated_us = self.updated_us.max(now_us);
    }
}

/// The number of buckets of [`Quantiles`].
const BUCKET_COUNT: usize = 160;
/// The buckets for each doubling.
const BUCKETS_PER_OCTAVE: f64 = 8.0;
/// The upper bound of the first bucket.
const FIRST_BUCKET_US: f64 = 50.0;
/// The samples after which all counts are halved.
const HALVE_AT_SAMPLES: u32 = 4096;

/// Quantiles of recent durations, from 50 microseconds to about a minute, within 10 %.
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

    /// How many samples the quantiles stand on.
    pub fn sample_count(&self) -> u32 {
        self.total
    }

    /// The upper bound of the bucket that holds the quantile, in microseconds. `share` is from 0 to 1.
    pub fn quantile_us(&self, share: f64) -> Option<u64> {
        if self.total == 0 {
            return None;
        }
        let wanted = (share * f64::from(self.total)).ceil();
        let mut seen = 0;
        for (index, count) in self.counts.iter().enumerate() {
            seen += count;
            if f64::from(seen) >= wanted {
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
