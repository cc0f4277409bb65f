//! Counts the outcomes of the searches, by rank and by phase of the run.

use crate::caller_api;
use crate::load;
use crate::rank;
use strum::IntoEnumIterator as _;

/// The longest latency that the histogram records, in microseconds; longer ones count as this.
const LATENCY_MAX_US: u64 = 60_000_000;

/// The significant decimal digits of a recorded latency.
const LATENCY_DIGITS: u8 = 3;

/// A part of the run. A search belongs to the phase of its scheduled start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter, serde::Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// Before the measurement; left out of the counts over the whole run.
    WarmUp,
    /// Before the flood, or the whole run if there is none.
    Before,
    /// During the flood.
    Flood,
    /// After the flood.
    After,
}

impl Phase {
    /// The phase of a search scheduled `at_s` seconds after the start of the warm-up.
    pub fn of(plan: &load::Plan, at_s: f64) -> Self {
        let measured_s = at_s - plan.warm_up.as_secs_f64();
        if measured_s < 0.0 {
            return Phase::WarmUp;
        }
        let Some(flood) = &plan.flood else { return Phase::Before };
        if measured_s < flood.start.as_secs_f64() {
            Phase::Before
        } else if measured_s < flood.end().as_secs_f64() {
            Phase::Flood
        } else {
            Phase::After
        }
    }
}

/// The outcome of one search.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It was answered.
    Answered {
        /// The time from the scheduled start to the answer.
        latency_us: u64,
        /// The coverage of the answer.
        coverage: caller_api::Coverage,
        /// The effort reported in the answer.
        effort: caller_api::Effort,
    },
    /// An instance refused it.
    Refused(caller_api::ErrorCode),
    /// It had no valid answer.
    Failed,
    /// It was not sent because too many searches were in flight.
    Overrun,
}

/// The outcome of one search, with its rank and phase.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The phase of its scheduled start.
    pub phase: Phase,
    /// The urgency.
    pub rank: rank::Rank,
    /// Its outcome.
    pub outcome: Outcome,
}

/// Outcome counts and latencies of a group of searches.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Scheduled searches, including overruns.
    pub offered: u64,
    /// Answers within the deadline.
    pub served: u64,
    /// Answers past the deadline.
    pub late: u64,
    /// Answers that cover every shard.
    pub whole: u64,
    /// Refusals, by cause.
    pub refused: Vec<(caller_api::ErrorCode, u64)>,
    /// Searches without a valid answer.
    pub failed: u64,
    /// Searches that were not sent because too many were in flight.
    pub overruns: u64,
    /// Shards that answered.
    pub shards_answered: u64,
    /// Shards in the answers' snapshots.
    pub shards_total: u64,
    /// The minimum number of shard calls for the answered searches.
    pub calls_needed: u64,
    /// Shard calls sent.
    pub calls_sent: u64,
    /// Of these, hedges.
    pub hedges: u64,
    /// Of these, retries.
    pub retries: u64,
    /// Latencies of all answers, in microseconds.
    pub latencies_us: hdrhistogram::Histogram<u64>,
}

impl Tally {
    fn new() -> Result<Self, hdrhistogram::CreationError> {
        let latencies_us =
            hdrhistogram::Histogram::new_with_bounds(1, LATENCY_MAX_US, LATENCY_DIGITS)?;
        Ok(Self {
            offered: 0,
            served: 0,
            late: 0,
            whole: 0,
            refused: Vec::new(),
            failed: 0,
            overruns: 0,
            shards_answered: 0,
            shards_total: 0,
            calls_needed: 0,
            calls_sent: 0,
            hedges: 0,
            retries: 0,
            latencies_us,
        })
    }

    fn add(&mut self, outcome: &Outcome, deadline_ms: u32) {
        self.offered += 1;
        match outcome {
            Outcome::Answered { latency_us, coverage, effort } => {
                self.record_answer(*latency_us, coverage, effort, deadline_ms);
            }
            Outcome::Refused(cause) => {
                match self.refused.binary_search_by_key(cause, |entry| entry.0) {
                    Ok(index) => self.refused[index].1 += 1,
                    Err(index) => self.refused.insert(index, (*cause, 1)),
                }
            }
            Outcome::Failed => self.failed += 1,
            Outcome::Overrun => self.overruns += 1,
        }
    }

    fn record_answer(
        &mut self,
        latency_us: u64,
        coverage: &caller_api::Coverage,
        effort: &caller_api::Effort,
        deadline_ms: u32,
    ) {
        if latency_us <= u64::from(deadline_ms) * 1_000 {
            self.served += 1;
        } else {
            self.late += 1;
        }
        if coverage.shards_answered == coverage.shards_total {
            self.whole += 1;
        }
        self.shards_answered += u64::from(coverage.shards_answered);
        self.shards_total += u64::from(coverage.shards_total);
        self.calls_needed += u64::from(effort.calls_needed);
        self.calls_sent += u64::from(effort.calls_sent);
        self.hedges += u64::from(effort.hedges);
        self.retries += u64::from(effort.retries);
        self.latencies_us.saturating_record(latency_us);
    }
}

/// The tallies of a run, by rank and phase.
#[derive(Clone, Debug)]
pub struct Tallies {
    deadline_ms: u32,
    all: [Tally; rank::RANK_COUNT],
    phases: Vec<(Phase, [Tally; rank::RANK_COUNT])>,
}

impl Tallies {
    /// Creates empty tallies; answers after `deadline_ms` count as late.
    pub fn new(deadline_ms: u32) -> Result<Self, hdrhistogram::CreationError> {
        let empty = [Tally::new()?, Tally::new()?, Tally::new()?];
        let phases = Phase::iter().map(|phase| (phase, empty.clone())).collect();
        Ok(Self { deadline_ms, all: empty, phases })
    }

    /// Adds a sample to the counts.
    pub fn add(&mut self, sample: &Sample) {
        let rank = sample.rank.index();
        for (phase, tallies) in &mut self.phases {
            if *phase == sample.phase {
                tallies[rank].add(&sample.outcome, self.deadline_ms);
            }
        }
        if sample.phase != Phase::WarmUp {
            self.all[rank].add(&sample.outcome, self.deadline_ms);
        }
    }

    /// The tally of a rank, over all phases but the warm-up.
    pub fn all(&self, rank: rank::Rank) -> &Tally {
        &self.all[rank.index()]
    }

    /// The tally of a rank in one phase, which may be the warm-up.
    pub fn phase(&self, phase: Phase, rank: rank::Rank) -> Option<&Tally> {
        let entry = self.phases.iter().find(|entry| entry.0 == phase)?;
        Some(&entry.1[rank.index()])
    }
}
