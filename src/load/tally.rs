//! Counts of what became of the searches, by rank and by phase of the run.

use crate::caller_api;
use crate::load;
use crate::rank;
use strum::IntoEnumIterator as _;

/// The longest latency told apart, in microseconds.
const LATENCY_MAX_US: u64 = 60_000_000;

/// The significant digits of a latency.
const LATENCY_DIGITS: u8 = 3;

/// A part of the run, by the intended start of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter, serde::Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// Not counted.
    WarmUp,
    /// Before the flood, or the whole run if there is none.
    Before,
    /// During the flood.
    Flood,
    /// After the flood.
    After,
}

impl Phase {
    /// The phase of a search that was to start `at_s` seconds after the start of the warm-up.
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

/// What became of one search.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// An answer came.
    Answered {
        /// The time from the intended start to the answer.
        latency_us: u64,
        /// The coverage it reported.
        coverage: caller_api::Coverage,
        /// The effort it reported.
        effort: caller_api::Effort,
    },
    /// The system refused it.
    Refused(caller_api::ErrorCode),
    /// No answer came, or none that is understood.
    Failed,
    /// It was not sent, since too many were under way.
    Overrun,
}

/// One search of the run.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The phase of its intended start.
    pub phase: Phase,
    /// The urgency.
    pub rank: rank::Rank,
    /// What became of it.
    pub outcome: Outcome,
}

/// Counts of searches.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Searches that were to start.
    pub offered: u64,
    /// Answers within the deadline.
    pub served: u64,
    /// Answers past the deadline.
    pub late: u64,
    /// Answers with every shard.
    pub whole: u64,
    /// Refusals, by cause.
    pub refused: Vec<(caller_api::ErrorCode, u64)>,
    /// Searches without an answer.
    pub failed: u64,
    /// Searches that were not sent.
    pub overruns: u64,
    /// Shards that answered.
    pub shards_answered: u64,
    /// Shards that should have.
    pub shards_total: u64,
    /// Shard calls needed.
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

/// The tallies of a run.
#[derive(Clone, Debug)]
pub struct Tallies {
    deadline_ms: u32,
    all: [Tally; rank::RANK_COUNT],
    phases: Vec<(Phase, [Tally; rank::RANK_COUNT])>,
}

impl Tallies {
    /// Empty tallies; answers after `deadline_ms` are late.
    pub fn new(deadline_ms: u32) -> Result<Self, hdrhistogram::CreationError> {
        let empty = [Tally::new()?, Tally::new()?, Tally::new()?];
        let phases = Phase::iter().map(|phase| (phase, empty.clone())).collect();
        Ok(Self { deadline_ms, all: empty, phases })
    }

    /// Counts a sample.
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

    /// The tally of a rank in one phase.
    pub fn phase(&self, phase: Phase, rank: rank::Rank) -> Option<&Tally> {
        let entry = self.phases.iter().find(|entry| entry.0 == phase)?;
        Some(&entry.1[rank.index()])
    }
}
