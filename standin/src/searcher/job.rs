//! Runs searches and non-idempotent requests of a backend server.

use super::config;
use super::slots;
use super::{Inner, lock};
use crate::corpus;
use crate::http;
use std::time;
use tarragondoor::ids;
use tarragondoor::searcher_api;
use tarragondoor::snapshot;
use xxhash_rust::xxh3;

/// The upper bound of a service time, in multiples of the mean, before the straggle factor.
const SERVICE_TIME_MAX_MEANS: f64 = 10.0;

/// The maximum number of executions in the journal; further non-idempotent requests are refused as
/// shed.
const JOURNAL_MAX: usize = 1 << 20;

/// A request that needs a slot.
#[derive(Clone, Debug)]
pub enum Job {
    /// A search.
    Search(searcher_api::SearchRequest),
    /// A non-idempotent request.
    Run(searcher_api::RunRequest),
}

impl Job {
    fn attempt(&self) -> ids::AttemptId {
        match self {
            Job::Search(request) => request.attempt,
            Job::Run(request) => request.attempt,
        }
    }

    fn timeout_ms(&self) -> u32 {
        match self {
            Job::Search(request) => request.timeout_ms,
            Job::Run(request) => request.timeout_ms,
        }
    }

    fn service(&self) -> &ids::ServiceName {
        match self {
            Job::Search(request) => &request.service,
            Job::Run(request) => &request.service,
        }
    }
}

impl Inner {
    /// Counts a refusal and builds the answer that tells the client the request did not run.
    pub fn refuse(&self, refusal: searcher_api::Refusal) -> http::Answer {
        lock(&self.state).counts.refused += 1;
        let load = self.slots.load();
        http::Answer::json(503, &searcher_api::RefusedReply { refusal, load })
    }

    /// Runs a job once it has a slot, or refuses it.
    pub async fn run(&self, job: Job) -> http::Answer {
        let deadline =
            tokio::time::Instant::now() + time::Duration::from_millis(u64::from(job.timeout_ms()));
        let attempt = self.attempts.register(job.attempt());
        let slot = match self.admit(&job, &attempt, deadline).await {
            Ok(slot) => slot,
            Err(refusal) => return self.refuse(refusal),
        };
        let answer = match &job {
            Job::Search(request) => self.search(slot, request, &attempt, deadline).await,
            Job::Run(request) => self.execute(slot, request).await,
        };
        let delay_reply_ms = self.faults.borrow().delay_reply_ms;
        if delay_reply_ms > 0 {
            tokio::time::sleep(time::Duration::from_millis(delay_reply_ms)).await;
        }
        if self.consume_fault(|faults| &mut faults.drop_replies) {
            return http::Answer::CloseConnection;
        }
        answer
    }

    async fn admit(
        &self,
        job: &Job,
        attempt: &slots::Attempt<'_>,
        deadline: tokio::time::Instant,
    ) -> Result<slots::Slot<'_>, searcher_api::Refusal> {
        self.check(job)?;
        self.slots.acquire(deadline, attempt).await
    }

    fn check(&self, job: &Job) -> Result<(), searcher_api::Refusal> {
        if job.service() != &self.config.service {
            return Err(searcher_api::Refusal::BadRequest);
        }
        match self.state() {
            searcher_api::SearcherState::Starting => Err(searcher_api::Refusal::Starting),
            searcher_api::SearcherState::Draining => Err(searcher_api::Refusal::Draining),
            searcher_api::SearcherState::Ready if self.faults.borrow().shed_all => {
                Err(searcher_api::Refusal::Shed)
            }
            searcher_api::SearcherState::Ready => self.check_job(job),
        }
    }

    fn check_job(&self, job: &Job) -> Result<(), searcher_api::Refusal> {
        match job {
            Job::Search(request) => self.requested_holding(request).map(|_| ()),
            Job::Run(_) if lock(&self.state).journal.len() >= JOURNAL_MAX => {
                Err(searcher_api::Refusal::Shed)
            }
            Job::Run(_) => Ok(()),
        }
    }

    /// Returns the requested shards that are held now.
    ///
    /// # Errors
    ///
    /// `SnapshotGone` if the snapshot is not held; `ShardNotHeld` if some of the shards are not,
    /// unless partial answers are switched on.
    fn requested_holding(
        &self,
        request: &searcher_api::SearchRequest,
    ) -> Result<snapshot::Holding, searcher_api::Refusal> {
        let state = lock(&self.state);
        let position = state.holdings.binary_search_by_key(&request.snapshot, |held| held.snapshot);
        let index = position.map_err(|_| searcher_api::Refusal::SnapshotGone)?;
        let mut held = state.holdings[index].clone();
        held.shards.retain(|shard| request.shards.contains(shard));
        let partial = self.faults.borrow().answer_partially;
        if held.shards.len() < request.shards.len() && !partial {
            return Err(searcher_api::Refusal::ShardNotHeld);
        }
        Ok(held)
    }

    async fn search(
        &self,
        slot: slots::Slot<'_>,
        request: &searcher_api::SearchRequest,
        attempt: &slots::Attempt<'_>,
        deadline: tokio::time::Instant,
    ) -> http::Answer {
        // The holdings may have changed while the request waited for its slot.
        let held = match self.requested_holding(request) {
            Ok(held) => held,
            Err(refusal) => return self.refuse(refusal),
        };
        self.count_search(held.shards.len());
        tokio::select! {
            () = tokio::time::sleep(self.service_time(request.attempt)) => {}
            () = tokio::time::sleep_until(deadline) => return http::Answer::empty(504),
            () = attempt.cancelled() => return http::Answer::empty(500),
        }
        let mut shards = Vec::new();
        for shard in held.shards {
            let hits = corpus::hits(
                &request.service,
                request.snapshot.index_version,
                shard,
                held.shard_count,
                &request.query,
                request.limit,
            );
            shards.push(searcher_api::ShardHits { shard, hits });
        }
        drop(slot);
        let reply = searcher_api::SearchReply {
            attempt: self.reply_attempt(request.attempt),
            snapshot: request.snapshot,
            shards,
            load: self.slots.load(),
            draining: self.faults.borrow().draining,
        };
        http::Answer::json(200, &reply)
    }

    async fn execute(
        &self,
        slot: slots::Slot<'_>,
        request: &searcher_api::RunRequest,
    ) -> http::Answer {
        self.record_execution(request);
        tokio::time::sleep(self.service_time(request.attempt)).await;
        drop(slot);
        let reply = searcher_api::RunReply {
            attempt: self.reply_attempt(request.attempt),
            result: corpus::run_result(&request.operation, &request.subject),
            load: self.slots.load(),
            draining: self.faults.borrow().draining,
        };
        http::Answer::json(200, &reply)
    }

    fn record_execution(&self, request: &searcher_api::RunRequest) {
        let execution = config::Execution {
            operation: request.operation.clone(),
            subject: request.subject.clone(),
            attempt: request.attempt,
        };
        let mut state = lock(&self.state);
        state.journal.push(execution);
        state.counts.executions += 1;
    }

    fn count_search(&self, shards: usize) {
        let mut state = lock(&self.state);
        state.counts.searches_run += 1;
        state.counts.shards_searched += shards as u64;
    }

    /// Draws the service time of an attempt: half of the mean is fixed, the rest is exponentially
    /// distributed. The same attempt and seed give the same time.
    fn service_time(&self, attempt: ids::AttemptId) -> time::Duration {
        let bits = xxh3::xxh3_64_with_seed(&attempt.0.to_le_bytes(), self.config.seed);
        let exponential = -(1.0 - corpus::unit_interval(bits)).ln();
        let means = (0.5 + 0.5 * exponential).min(SERVICE_TIME_MAX_MEANS);
        let straggle = f64::from(self.faults.borrow().straggle_factor.max(1));
        let mean_us = f64::from(self.config.mean_us);
        time::Duration::from_micros((mean_us * means * straggle) as u64)
    }

    fn reply_attempt(&self, attempt: ids::AttemptId) -> ids::AttemptId {
        if self.consume_fault(|faults| &mut faults.wrong_attempts) {
            return ids::AttemptId(attempt.0.wrapping_add(1));
        }
        attempt
    }

    /// Decrements a counted fault; true if it was above 0.
    fn consume_fault(&self, count: impl Fn(&mut config::Faults) -> &mut u32) -> bool {
        self.faults.send_if_modified(|faults| {
            let count = count(faults);
            let before = *count;
            *count = before.saturating_sub(1);
            before > 0
        })
    }
}
