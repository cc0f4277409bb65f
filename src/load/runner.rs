//! Runs a load plan against the instances.

use crate::caller_api;
use crate::client;
use crate::client::caller;
use crate::load;
use crate::load::arrivals;
use crate::load::report;
use crate::load::tally;
use std::sync;
use std::time;
use tokio::sync::mpsc;
use tokio::task;

/// How often the progress is reported.
const PROGRESS_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// A search times out after four deadlines plus this time, regardless of the caller's own timeouts.
const ANSWER_GRACE: time::Duration = time::Duration::from_millis(2_000);

/// Capacity of the channel from the searches to the collector.
const SAMPLES_QUEUED_MAX: usize = 4_096;

/// Why a run failed.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The latency histograms could not be created.
    #[error("could not create the latency histograms: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// The collector task ended without returning its counts.
    #[error("the task that collects the samples failed")]
    CollectorFailed,
}

/// The progress of a run.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// The time since the start.
    pub elapsed: time::Duration,
    /// Searches started.
    pub started: u64,
    /// Searches in flight.
    pub in_flight: usize,
    /// Searches that were not sent because too many were in flight.
    pub overruns: u64,
}

/// Runs `plan`, using `callers` round-robin, and passes its progress to `on_progress`.
pub async fn run(
    callers: &[sync::Arc<caller::Caller>],
    plan: &load::Plan,
    mut on_progress: impl FnMut(Progress),
) -> Result<report::Report, RunError> {
    let tallies = tally::Tallies::new(plan.deadline_ms)?;
    let (sender, receiver) = mpsc::channel(SAMPLES_QUEUED_MAX);
    let collector = tokio::spawn(collect(receiver, tallies));
    let permits = sync::Arc::new(tokio::sync::Semaphore::new(plan.in_flight_max));
    let mut tasks = task::JoinSet::new();
    let answer_timeout = time::Duration::from_millis(plan.deadline_ms.into()) * 4 + ANSWER_GRACE;
    let begin = tokio::time::Instant::now();
    let mut next_progress = begin + PROGRESS_INTERVAL;
    let mut progress =
        Progress { elapsed: time::Duration::ZERO, started: 0, in_flight: 0, overruns: 0 };
    let mut lag_max = time::Duration::ZERO;
    let mut caller_cycle = callers.iter().cycle();
    for arrival in arrivals::Arrivals::new(plan) {
        let intended = begin + time::Duration::from_secs_f64(arrival.at_s);
        tokio::time::sleep_until(intended).await;
        let now = tokio::time::Instant::now();
        lag_max = lag_max.max(now - intended);
        while tasks.try_join_next().is_some() {}
        if now >= next_progress {
            next_progress = now + PROGRESS_INTERVAL;
            progress.elapsed = now - begin;
            progress.in_flight = plan.in_flight_max - permits.available_permits();
            on_progress(progress);
        }
        let phase = tally::Phase::of(plan, arrival.at_s);
        let rank = arrival.rank;
        let Ok(permit) = sync::Arc::clone(&permits).try_acquire_owned() else {
            progress.overruns += 1;
            let outcome = tally::Outcome::Overrun;
            // Fails only if the collector failed, which the end of the run reports.
            let _ = sender.send(tally::Sample { phase, rank, outcome }).await;
            continue;
        };
        progress.started += 1;
        let call = search_call(plan, &arrival);
        let Some(caller) = caller_cycle.next().cloned() else { break };
        let sender = sender.clone();
        tasks.spawn(async move {
            let outcome = match tokio::time::timeout(answer_timeout, caller.search(&call)).await {
                Ok(result) => outcome_of(result, intended.elapsed()),
                Err(_) => tally::Outcome::Failed,
            };
            drop(permit);
            let _ = sender.send(tally::Sample { phase, rank, outcome }).await;
        });
    }
    while tasks.join_next().await.is_some() {}
    drop(sender);
    let tallies = collector.await.map_err(|_| RunError::CollectorFailed)?;
    Ok(report::Report::new(plan, &tallies, lag_max.as_secs_f64() * 1_000.0))
}

async fn collect(
    mut receiver: mpsc::Receiver<tally::Sample>,
    mut tallies: tally::Tallies,
) -> tally::Tallies {
    while let Some(sample) = receiver.recv().await {
        tallies.add(&sample);
    }
    tallies
}

fn search_call(plan: &load::Plan, arrival: &arrivals::Arrival) -> caller_api::SearchCall {
    caller_api::SearchCall {
        service: plan.services[arrival.service].clone(),
        query: plan.query.clone(),
        limit: plan.limit,
        rank: arrival.rank,
        deadline_ms: plan.deadline_ms,
    }
}

fn outcome_of(
    result: Result<caller_api::SearchAnswer, client::CallError>,
    latency: time::Duration,
) -> tally::Outcome {
    match result {
        Ok(answer) => tally::Outcome::Answered {
            latency_us: u64::try_from(latency.as_micros()).unwrap_or(u64::MAX),
            coverage: answer.coverage,
            effort: answer.effort,
        },
        Err(client::CallError::Refused(_, reply)) => tally::Outcome::Refused(reply.code),
        Err(_) => tally::Outcome::Failed,
    }
}
