//! The state machine of one query on one snapshot. It does no I/O and reads no clock.
//!
//! For each shard, the first answer counts that is from the query's snapshot and from an open
//! attempt that asked for the shard. All other answers are ignored; [`Query::dropped_count`] tells
//! which of them are counted.

use crate::caller_api;
use crate::ids;
use crate::peer_api;
use crate::searcher_api;
use crate::snapshot;

/// An action that the caller of the state machine performs.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a call to a searcher.
    Send(peer_api::ShardCall),
    /// Cancel attempts whose answers are no longer needed.
    Cancel(Vec<OpenAttempt>),
    /// The query has ended.
    Done(End),
}

/// The result of a query.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// All shards were answered, or no more answers can be obtained in time.
    Answer(Answer),
    /// A shard is unanswered and a searcher no longer holds the snapshot. The query may be
    /// restarted on a newer snapshot.
    SnapshotGone(caller_api::Effort),
}

/// A complete or partial answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Which shards were answered and which are missing.
    pub coverage: caller_api::Coverage,
    /// The merged hits, best first.
    pub hits: Vec<searcher_api::Hit>,
    /// The calls that the query made, over all restarts.
    pub effort: caller_api::Effort,
    /// The last failure of an attempt; `None` if all shards were answered or no attempt failed.
    pub failure: Option<peer_api::Failure>,
}

/// An attempt without an outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenAttempt {
    /// The attempt's id.
    pub attempt: ids::AttemptId,
    /// The searcher that was called.
    pub searcher: ids::SearcherName,
}

#[derive(Clone, Debug)]
struct Attempt {
    attempt: ids::AttemptId,
    searcher: ids::SearcherName,
    shards: Vec<ids::ShardId>,
    hedged: bool,
    open: bool,
}

#[derive(Clone, Debug, Default)]
struct Shard {
    answered: bool,
    excluded: Vec<ids::SearcherName>,
}

/// Chooses searchers for shards.
pub trait Choose {
    /// Assigns each shard to one searcher. `shards` pairs each shard with the searchers that must
    /// not be chosen for it. A shard without an eligible searcher is left out of the result.
    fn choose(
        &mut self,
        shards: &[(ids::ShardId, &[ids::SearcherName])],
    ) -> Vec<(ids::SearcherName, Vec<ids::ShardId>)>;
}

/// The parameters of a query, fixed while it runs.
#[derive(Clone, Debug)]
pub struct Params {
    /// The query's id.
    pub query_id: ids::QueryId,
    /// The number of the first attempt. After a restart the count continues, so that attempt ids
    /// stay unique.
    pub first_attempt: u64,
    /// The snapshot to search.
    pub snapshot: snapshot::Snapshot,
    /// The number of shards in the snapshot; they are numbered from 0.
    pub shard_count: u32,
    /// The maximum number of hits in the answer.
    pub limit: u16,
    /// The calls made before the last restart.
    pub effort: caller_api::Effort,
}

/// The state of one query on one snapshot.
#[derive(Debug)]
pub struct Query<C> {
    params: Params,
    chooser: C,
    shards: Vec<Shard>,
    attempts: Vec<Attempt>,
    hits: Vec<searcher_api::Hit>,
    effort: caller_api::Effort,
    failure: Option<peer_api::Failure>,
    snapshot_gone: bool,
    dropped: u32,
    ended: bool,
}

impl<C: Choose> Query<C> {
    /// Starts a query and returns its first calls.
    pub fn start(params: Params, chooser: C) -> (Self, Vec<Output>) {
        let effort = params.effort;
        let mut query = Self {
            shards: vec![Shard::default(); params.shard_count as usize],
            params,
            chooser,
            attempts: Vec::new(),
            hits: Vec::new(),
            effort,
            failure: None,
            snapshot_gone: false,
            dropped: 0,
            ended: false,
        };
        let all = (0..query.params.shard_count).map(ids::ShardId).collect();
        let mut outputs = query.send(all);
        query.effort.calls_needed = query.attempts.len() as u32;
        query.effort.calls_sent += query.attempts.len() as u32;
        query.end_if_complete(&mut outputs);
        (query, outputs)
    }

    /// Processes the outcome of an attempt. Shards that failed are sent to other searchers.
    pub fn reply(&mut self, reply: peer_api::ShardReply) -> Vec<Output> {
        let mut outputs = Vec::new();
        let Some((searcher, requested)) = self.close_attempt(&reply) else {
            self.dropped += 1;
            return outputs;
        };
        let missing = match reply.outcome {
            peer_api::ShardOutcome::Answered { snapshot, shards }
                if snapshot == self.params.snapshot =>
            {
                self.merge_shards(&requested, shards)
            }
            peer_api::ShardOutcome::Answered { .. } => {
                self.failure = Some(peer_api::Failure::Lost);
                requested
            }
            peer_api::ShardOutcome::Failed(failure) => {
                self.snapshot_gone |= failure == SNAPSHOT_GONE;
                self.failure = Some(failure);
                requested
            }
        };
        let to_resend = self.mark_failed(&searcher, missing);
        if !to_resend.is_empty() {
            let sends = self.send(to_resend);
            self.effort.retries += sends.len() as u32;
            self.effort.calls_sent += sends.len() as u32;
            outputs.extend(sends);
        }
        self.end_if_complete(&mut outputs);
        outputs
    }

    /// Sends the unanswered shards of an attempt to other searchers as well. Does nothing if the
    /// attempt has an outcome, was hedged before, or no other searcher holds its shards.
    pub fn hedge(&mut self, attempt: ids::AttemptId) -> Vec<Output> {
        if self.ended {
            return Vec::new();
        }
        let Some(found) = self.attempts.iter_mut().find(|a| a.attempt == attempt) else {
            return Vec::new();
        };
        if !found.open || found.hedged {
            return Vec::new();
        }
        found.hedged = true;
        let searcher = found.searcher.clone();
        let requested = found.shards.clone();
        let mut to_resend = Vec::new();
        for shard in requested {
            let Some(state) = self.shards.get_mut(shard.0 as usize) else {
                continue;
            };
            if state.answered {
                continue;
            }
            if !state.excluded.contains(&searcher) {
                state.excluded.push(searcher.clone());
            }
            to_resend.push(shard);
        }
        let sends = self.send(to_resend);
        self.effort.hedges += sends.len() as u32;
        self.effort.calls_sent += sends.len() as u32;
        sends
    }

    /// Ends the query with the answers received so far. Does nothing if it has ended.
    pub fn expire(&mut self) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.end(&mut outputs);
        outputs
    }

    /// Whether an attempt is open and has not been hedged.
    pub fn can_hedge(&self, attempt: ids::AttemptId) -> bool {
        let found = self.attempts.iter().find(|candidate| candidate.attempt == attempt);
        found.is_some_and(|found| found.open && !found.hedged)
    }

    /// The number of replies for no open attempt, plus the number of shard answers that were not
    /// asked for or came twice in one reply.
    pub fn dropped_count(&self) -> u32 {
        self.dropped
    }

    /// The searcher chooser of this query.
    pub fn chooser_mut(&mut self) -> &mut C {
        &mut self.chooser
    }

    /// The number of the next attempt, which is the number of attempts made over all restarts.
    pub fn next_attempt(&self) -> u64 {
        self.params.first_attempt + self.attempts.len() as u64
    }

    /// Chooses searchers for `shards` and opens an attempt for each call.
    fn send(&mut self, shards: Vec<ids::ShardId>) -> Vec<Output> {
        let mut requests: Vec<(ids::ShardId, &[ids::SearcherName])> =
            Vec::with_capacity(shards.len());
        for shard in shards {
            let Some(state) = self.shards.get(shard.0 as usize) else {
                continue;
            };
            requests.push((shard, &state.excluded));
        }
        let chosen = self.chooser.choose(&requests);
        let mut outputs = Vec::with_capacity(chosen.len());
        for (searcher, shards) in chosen {
            let number = self.next_attempt();
            let attempt = ids::AttemptId(self.params.query_id.0.wrapping_add(number));
            self.attempts.push(Attempt {
                attempt,
                searcher: searcher.clone(),
                shards: shards.clone(),
                hedged: false,
                open: true,
            });
            outputs.push(Output::Send(peer_api::ShardCall { attempt, searcher, shards }));
        }
        outputs
    }

    /// Closes the attempt that a reply is for and returns its searcher and shards; `None` if no
    /// open attempt matches.
    fn close_attempt(
        &mut self,
        reply: &peer_api::ShardReply,
    ) -> Option<(ids::SearcherName, Vec<ids::ShardId>)> {
        if self.ended {
            return None;
        }
        let attempt = self.attempts.iter_mut().find(|a| a.attempt == reply.attempt)?;
        if !attempt.open || attempt.searcher != reply.searcher {
            return None;
        }
        attempt.open = false;
        Some((attempt.searcher.clone(), attempt.shards.clone()))
    }

    /// Merges the hits of the requested shards. Returns the requested shards that the reply lacks.
    fn merge_shards(
        &mut self,
        requested: &[ids::ShardId],
        answers: Vec<searcher_api::ShardHits>,
    ) -> Vec<ids::ShardId> {
        let mut missing = requested.to_vec();
        for answer in answers {
            let Some(position) = missing.iter().position(|shard| *shard == answer.shard) else {
                self.dropped += 1;
                continue;
            };
            missing.remove(position);
            let Some(state) = self.shards.get_mut(answer.shard.0 as usize) else {
                continue;
            };
            if state.answered {
                continue;
            }
            state.answered = true;
            self.hits.extend(answer.hits);
        }
        missing
    }

    /// Excludes a searcher for shards that it failed to answer. Returns the shards that are
    /// unanswered and in no open attempt.
    fn mark_failed(
        &mut self,
        searcher: &ids::SearcherName,
        shards: Vec<ids::ShardId>,
    ) -> Vec<ids::ShardId> {
        let mut to_resend = Vec::new();
        for shard in shards {
            let pending = self.is_pending(shard);
            let Some(state) = self.shards.get_mut(shard.0 as usize) else {
                continue;
            };
            if !state.excluded.contains(searcher) {
                state.excluded.push(searcher.clone());
            }
            if state.answered || pending {
                continue;
            }
            to_resend.push(shard);
        }
        to_resend
    }

    /// Whether an open attempt asks for the shard.
    fn is_pending(&self, shard: ids::ShardId) -> bool {
        self.attempts.iter().any(|attempt| attempt.open && attempt.shards.contains(&shard))
    }

    /// Ends the query unless an unanswered shard is in an open attempt.
    fn end_if_complete(&mut self, outputs: &mut Vec<Output>) {
        if self.ended {
            return;
        }
        let mut all_answered = true;
        for (index, shard) in self.shards.iter().enumerate() {
            if shard.answered {
                continue;
            }
            all_answered = false;
            if self.is_pending(ids::ShardId(index as u32)) {
                return;
            }
        }
        if !all_answered && self.snapshot_gone {
            self.cancel_open(outputs);
            self.ended = true;
            outputs.push(Output::Done(End::SnapshotGone(self.effort)));
            return;
        }
        self.end(outputs);
    }

    fn end(&mut self, outputs: &mut Vec<Output>) {
        if self.ended {
            return;
        }
        self.cancel_open(outputs);
        self.ended = true;
        let mut missing = Vec::new();
        for (index, shard) in self.shards.iter().enumerate() {
            if !shard.answered {
                missing.push(ids::ShardId(index as u32));
            }
        }
        let coverage = caller_api::Coverage {
            shards_answered: self.params.shard_count - missing.len() as u32,
            shards_total: self.params.shard_count,
            missing,
        };
        let hits = merge(std::mem::take(&mut self.hits), self.params.limit);
        let failure = if coverage.missing.is_empty() { None } else { self.failure };
        let answer = Answer { coverage, hits, effort: self.effort, failure };
        outputs.push(Output::Done(End::Answer(answer)));
    }

    fn cancel_open(&mut self, outputs: &mut Vec<Output>) {
        let mut open = Vec::new();
        for attempt in &mut self.attempts {
            if !attempt.open {
                continue;
            }
            attempt.open = false;
            open.push(OpenAttempt { attempt: attempt.attempt, searcher: attempt.searcher.clone() });
        }
        if !open.is_empty() {
            outputs.push(Output::Cancel(open));
        }
    }
}

const SNAPSHOT_GONE: peer_api::Failure =
    peer_api::Failure::Refused(searcher_api::Refusal::SnapshotGone);

/// Returns the best `limit` hits, best first. Hits with equal scores are ordered by document.
pub fn merge(mut hits: Vec<searcher_api::Hit>, limit: u16) -> Vec<searcher_api::Hit> {
    hits.sort_by(|left, right| {
        right.score.total_cmp(&left.score).then_with(|| left.document.cmp(&right.document))
    });
    hits.truncate(limit as usize);
    hits
}
