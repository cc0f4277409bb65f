//! An open-loop load generator: searches start on schedule, whether or not earlier ones were
//! answered, and latency is measured from the scheduled start.

pub mod arrivals;
pub mod report;
pub mod runner;
pub mod tally;

use crate::ids;
use crate::rank;
use compact_str::CompactString;
use std::fmt;
use std::str::FromStr;
use std::time;

/// The maximum expected number of searches in one run.
pub const SEARCHES_MAX: f64 = 10_000_000.0;

/// The maximum duration of a run, including its warm-up.
pub const DURATION_MAX: time::Duration = time::Duration::from_secs(3_600);

/// The highest limit that a plan may set on searches in flight.
pub const IN_FLIGHT_MAX: usize = 100_000;

/// Why a load plan is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// The mix is malformed, or its parts add up to 0.
    #[error("a mix is RANK=PARTS,... with a total above 0")]
    Mix,
    /// A flood is malformed.
    #[error("a flood is RANK:FACTOR:START:LENGTH, with a factor of at least 1 and seconds")]
    Flood,
    /// The rate is not a positive number.
    #[error("the rate must be above 0")]
    Rate,
    /// The measured time is zero, or the run is too long.
    #[error(
        "the duration must be above 0, and at most {} seconds with the warm-up",
        DURATION_MAX.as_secs()
    )]
    Duration,
    /// The expected number of searches is too large.
    #[error("the expected number of searches must be at most {SEARCHES_MAX}")]
    TooMany,
    /// The limit on searches in flight is zero or too large.
    #[error("the limit on searches in flight must be from 1 to {IN_FLIGHT_MAX}")]
    InFlight,
    /// The flood is empty, starts at 0 s, or ends after the measured time.
    #[error("the flood must start after 0 s and end within the duration")]
    FloodTime,
    /// The plan has no service.
    #[error("--service is missing")]
    NoService,
}

/// How the searches are divided among the ranks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mix {
    parts: [f64; rank::RANK_COUNT],
}

impl Default for Mix {
    fn default() -> Self {
        Self { parts: [20.0, 50.0, 30.0] }
    }
}

impl Mix {
    /// The share of `rank`, from 0 to 1.
    pub fn share(&self, rank: rank::Rank) -> f64 {
        self.parts[rank.index()] / self.parts.iter().sum::<f64>()
    }
}

impl fmt::Display for Mix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for rank in rank::Rank::ALL {
            write!(f, "{separator}{rank}={}", self.parts[rank.index()])?;
            separator = ",";
        }
        Ok(())
    }
}

impl FromStr for Mix {
    type Err = PlanError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = [0.0; rank::RANK_COUNT];
        for part in text.split(',') {
            let (rank, amount) = part.split_once('=').ok_or(PlanError::Mix)?;
            let rank = rank::Rank::from_str(rank).map_err(|_| PlanError::Mix)?;
            let amount: f64 = amount.parse().map_err(|_| PlanError::Mix)?;
            if !amount.is_finite() || amount < 0.0 {
                return Err(PlanError::Mix);
            }
            parts[rank.index()] += amount;
        }
        let total: f64 = parts.iter().sum();
        if total <= 0.0 || !total.is_finite() {
            return Err(PlanError::Mix);
        }
        Ok(Self { parts })
    }
}

/// A period in which the request rate of one rank is multiplied.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flood {
    /// The rank whose rate rises.
    pub rank: rank::Rank,
    /// The multiplier of its rate, at least 1.
    pub factor: f64,
    /// When it starts, counted from the end of the warm-up.
    pub start: time::Duration,
    /// How long it lasts.
    pub length: time::Duration,
}

impl Flood {
    /// When it ends, counted from the end of the warm-up.
    pub fn end(&self) -> time::Duration {
        self.start.saturating_add(self.length)
    }
}

impl fmt::Display for Flood {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (start, length) = (self.start.as_secs_f64(), self.length.as_secs_f64());
        write!(f, "{}:{}:{start}s:{length}s", self.rank, self.factor)
    }
}

impl FromStr for Flood {
    type Err = PlanError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts: Vec<&str> = text.split(':').collect();
        let [rank, factor, start, length] = parts[..] else { return Err(PlanError::Flood) };
        let rank = rank::Rank::from_str(rank).map_err(|_| PlanError::Flood)?;
        let factor: f64 = factor.parse().map_err(|_| PlanError::Flood)?;
        if !factor.is_finite() || factor < 1.0 {
            return Err(PlanError::Flood);
        }
        Ok(Self { rank, factor, start: parse_seconds(start)?, length: parse_seconds(length)? })
    }
}

fn parse_seconds(text: &str) -> Result<time::Duration, PlanError> {
    let text = text.strip_suffix('s').unwrap_or(text);
    let number: f64 = text.parse().map_err(|_| PlanError::Flood)?;
    time::Duration::try_from_secs_f64(number).map_err(|_| PlanError::Flood)
}

/// The load to generate, and the services to send it to.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The services; each search goes to one of them, chosen uniformly at random.
    pub services: Vec<ids::ServiceName>,
    /// The query's text.
    pub query: CompactString,
    /// The maximum number of hits.
    pub limit: u16,
    /// Searches per second over all ranks, without the flood.
    pub rate_per_s: f64,
    /// How long the load is measured, without the warm-up.
    pub duration: time::Duration,
    /// How long the load runs before the measurement.
    pub warm_up: time::Duration,
    /// The ranks' shares.
    pub mix: Mix,
    /// The flood, if there is one.
    pub flood: Option<Flood>,
    /// The deadline of each search, in milliseconds; later answers count as late.
    pub deadline_ms: u32,
    /// The maximum number of searches in flight; arrivals above it are not sent and count as
    /// overruns.
    pub in_flight_max: usize,
    /// The random seed of the arrivals.
    pub seed: u64,
}

impl Plan {
    /// The duration of the run, including the warm-up.
    pub fn total_duration(&self) -> time::Duration {
        self.warm_up.saturating_add(self.duration)
    }

    /// Checks that the plan is complete and within the limits.
    pub fn check(&self) -> Result<(), PlanError> {
        if self.services.is_empty() {
            return Err(PlanError::NoService);
        }
        if !self.rate_per_s.is_finite() || self.rate_per_s <= 0.0 {
            return Err(PlanError::Rate);
        }
        if self.duration.is_zero() || self.total_duration() > DURATION_MAX {
            return Err(PlanError::Duration);
        }
        if self.in_flight_max == 0 || self.in_flight_max > IN_FLIGHT_MAX {
            return Err(PlanError::InFlight);
        }
        let mut searches = self.rate_per_s * self.total_duration().as_secs_f64();
        if let Some(flood) = &self.flood {
            if flood.start.is_zero() || flood.length.is_zero() || flood.end() > self.duration {
                return Err(PlanError::FloodTime);
            }
            let extra_per_s = self.rate_per_s * self.mix.share(flood.rank) * (flood.factor - 1.0);
            searches += extra_per_s * flood.length.as_secs_f64();
        }
        if searches > SEARCHES_MAX {
            return Err(PlanError::TooMany);
        }
        Ok(())
    }
}
