//! The report of a run, as JSON and as a table.

use crate::caller_api;
use crate::load;
use crate::load::tally;
use crate::rank;
use compact_str::CompactString;
use serde::Serialize;
use std::fmt;

/// The number of refusals with one cause.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Refused {
    /// The cause.
    pub cause: caller_api::ErrorCode,
    /// The number of refusals.
    pub count: u64,
}

/// One rank in one phase, or over the whole run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The rank.
    pub rank: rank::Rank,
    /// The phase; `None` for the whole run without its warm-up.
    pub phase: Option<tally::Phase>,
    /// Scheduled searches, including overruns.
    pub offered: u64,
    /// Answers within the deadline.
    pub served: u64,
    /// Answers past the deadline.
    pub late: u64,
    /// Refusals, by cause.
    pub refused: Vec<Refused>,
    /// Searches without a valid answer.
    pub failed: u64,
    /// Searches that were not sent because too many were in flight.
    pub overruns: u64,
    /// The median latency of answers, from the scheduled start; `None` without answers.
    pub p50_ms: Option<f64>,
    /// The 99th percentile of the latency.
    pub p99_ms: Option<f64>,
    /// The 99.9th percentile of the latency.
    pub p99_9_ms: Option<f64>,
    /// Shards that answered, in percent of the shards in the answers' snapshots; `None` without
    /// answers.
    pub coverage_percent: Option<f64>,
    /// Answers that cover every shard.
    pub whole: u64,
    /// Shard calls beyond those needed, in percent of those needed; `None` without answers.
    pub extra_load_percent: Option<f64>,
    /// Hedged shard calls.
    pub hedges: u64,
    /// Retried shard calls.
    pub retries: u64,
    /// Answers within the deadline per offered search during the flood, in percent of the same
    /// ratio before it; for the flooded rank multiplied by the flood's factor. Ratios are used
    /// because the number of arrivals varies randomly. `None` in rows of one phase, and where there
    /// is no flood or a ratio can't be computed.
    pub kept_percent: Option<f64>,
}

/// The report of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The seed of the arrivals.
    pub seed: u64,
    /// Searches per second, without the flood.
    pub rate_per_s: f64,
    /// How long the load was measured, without the warm-up.
    pub duration_s: f64,
    /// The ranks' shares.
    pub mix: CompactString,
    /// The flood, if there was one.
    pub flood: Option<CompactString>,
    /// The deadline of each search.
    pub deadline_ms: u32,
    /// The longest delay between a scheduled start and the load tool's handling of it, in
    /// milliseconds.
    pub lag_max_ms: f64,
    /// The rows: each rank over the whole run, then by phase if there is a flood.
    pub rows: Vec<Row>,
}

impl Report {
    /// Builds the report of a run of `plan` from its `tallies`.
    pub fn new(plan: &load::Plan, tallies: &tally::Tallies, lag_max_ms: f64) -> Self {
        let mut rows = Vec::new();
        for rank in rank::Rank::ALL {
            let mut row = new_row(rank, None, tallies.all(rank));
            row.kept_percent = kept_percent(plan, tallies, rank);
            rows.push(row);
        }
        if plan.flood.is_some() {
            for phase in [tally::Phase::Before, tally::Phase::Flood, tally::Phase::After] {
                for rank in rank::Rank::ALL {
                    let Some(tally) = tallies.phase(phase, rank) else { continue };
                    rows.push(new_row(rank, Some(phase), tally));
                }
            }
        }
        Self {
            seed: plan.seed,
            rate_per_s: plan.rate_per_s,
            duration_s: plan.duration.as_secs_f64(),
            mix: CompactString::from(plan.mix.to_string()),
            flood: plan.flood.map(|flood| CompactString::from(flood.to_string())),
            deadline_ms: plan.deadline_ms,
            lag_max_ms,
            rows,
        }
    }
}

fn new_row(rank: rank::Rank, phase: Option<tally::Phase>, tally: &tally::Tally) -> Row {
    let refused = tally.refused.iter().map(|entry| Refused { cause: entry.0, count: entry.1 });
    let latencies_us = &tally.latencies_us;
    let quantile_ms = |quantile| {
        let latency_us = latencies_us.value_at_quantile(quantile);
        (!latencies_us.is_empty()).then_some(latency_us as f64 / 1_000.0)
    };
    let extra_calls = tally.calls_sent.saturating_sub(tally.calls_needed);
    Row {
        rank,
        phase,
        offered: tally.offered,
        served: tally.served,
        late: tally.late,
        refused: refused.collect(),
        failed: tally.failed,
        overruns: tally.overruns,
        p50_ms: quantile_ms(0.5),
        p99_ms: quantile_ms(0.99),
        p99_9_ms: quantile_ms(0.999),
        coverage_percent: percent(tally.shards_answered, tally.shards_total),
        whole: tally.whole,
        extra_load_percent: percent(extra_calls, tally.calls_needed),
        hedges: tally.hedges,
        retries: tally.retries,
        kept_percent: None,
    }
}

fn kept_percent(plan: &load::Plan, tallies: &tally::Tallies, rank: rank::Rank) -> Option<f64> {
    let flood = plan.flood?;
    let served_share = |phase: tally::Phase| {
        let tally = tallies.phase(phase, rank)?;
        (tally.offered > 0).then(|| tally.served as f64 / tally.offered as f64)
    };
    let before = served_share(tally::Phase::Before).filter(|share| *share > 0.0)?;
    let offered_factor = if rank == flood.rank { flood.factor } else { 1.0 };
    Some(100.0 * offered_factor * served_share(tally::Phase::Flood)? / before)
}

fn percent(part: u64, whole: u64) -> Option<f64> {
    (whole > 0).then(|| 100.0 * part as f64 / whole as f64)
}

fn format_value(value: Option<f64>) -> String {
    value.map_or("-".to_owned(), |value| format!("{value:.2}"))
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} searches/s for {} s, {}", self.rate_per_s, self.duration_s, self.mix)?;
        if let Some(flood) = &self.flood {
            write!(f, ", flood {flood}")?;
        }
        writeln!(f, ", deadline {} ms, seed {}", self.deadline_ms, self.seed)?;
        writeln!(f, "the tool was behind by at most {:.1} ms", self.lag_max_ms)?;
        writeln!(
            f,
            "{:<10} {:<7} {:>8} {:>8} {:>6} {:>8} {:>6} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7}",
            "rank",
            "phase",
            "offered",
            "served",
            "late",
            "refused",
            "failed",
            "overruns",
            "p50_ms",
            "p99_ms",
            "p99.9_ms",
            "cover%",
            "extra%",
            "kept%"
        )?;
        for row in &self.rows {
            let phase = row.phase.map_or("all".to_owned(), |phase| phase.to_string());
            let refused: u64 = row.refused.iter().map(|refused| refused.count).sum();
            writeln!(
                f,
                "{:<10} {:<7} {:>8} {:>8} {:>6} {:>8} {:>6} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7}",
                row.rank.to_string(),
                phase,
                row.offered,
                row.served,
                row.late,
                refused,
                row.failed,
                row.overruns,
                format_value(row.p50_ms),
                format_value(row.p99_ms),
                format_value(row.p99_9_ms),
                format_value(row.coverage_percent),
                format_value(row.extra_load_percent),
                format_value(row.kept_percent)
            )?;
        }
        for row in self.rows.iter().filter(|row| row.phase.is_none()) {
            for refused in &row.refused {
                writeln!(f, "refused: {} {} {}", row.rank, refused.cause, refused.count)?;
            }
        }
        Ok(())
    }
}
