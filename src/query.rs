//! One query from its snapshot to its answer, without sockets or a clock.
//!
//! A query is fixed to one snapshot. Each shard counts once, with the first answer that is from this
//! snapshot and from an open attempt that asked for it. Everything else is dropped and counted.

use crate::caller_api;
use crate::ids;
use crate::peer_api;
use crate::searcher_api;
use crate::snapshot;

/// What a query asks its shell to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a call.
    Send(peer_api::ShardCall),
    /// Give up attempts whose answers are of no use any more.
    Cancel(Vec<OpenAttempt>),
    /// The query has ended.
    Done(End),
}

/// How a query ends.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// As complete as it gets.
    Answer(Answer),
    /// The snapshot can't be completed any more, since searchers dropped it.
    SnapshotGone(caller_api::Effort),
}

/// An answer, whole or not.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The coverage.
    pub coverage: caller_api::Coverage,
    /// The merged hits.
    pub hits: Vec<searcher_api::Hit>,
    /// The cost.
    pub effort: caller_api::Effort,
    /// The last failure that left a shard without an answer.
    pub failure: Option<peer_api::Failure>,
}

/// An attempt that has not been answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenAttempt {
    /// The attempt.
    pub attempt: ids::AttemptId,
    /// The searcher.
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
    /// Searchers for `shards`, each shard once, none of them among those to `avoid` for it. A shard
    /// without a searcher is left out.
    fn choose(
        &mut self,
        shards: &[(ids::ShardId, &[ids::SearcherName])],
    ) -> Vec<(ids::SearcherName, Vec<ids::ShardId>)>;
}

/// A query's fixed part.
#[derive(Clone, Debug)]
pub struct Params {
    /// The query.
    pub query_id: ids::QueryId,
    /// The number of the first attempt; a query that starts again goes on counting.
    pub first_attempt: u64,
    /// The snapshot.
    pub snapshot: snapshot::Snapshot,
    /// Its shards.
    pub shard_count: u32,
    /// How many hits are wanted.
    pub limit: u16,
    /// What earlier starts have cost.
    pub effort: caller_api::Effort,
}

/// One query on one snapshot.
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
    /// Starts a query; the outputs hold its first calls.
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

    /// Takes in the outcome of an attempt.
    pub fn reply(&mut self, reply: peer_api::ShardReply) -> Vec<Output> {
        let mut outputs = Vec::new();
        let Some((searcher, asked)) = self.close_attempt(&reply) else {
            self.dropped += 1;
            return outputs;
        };
        let missing = match reply.outcome {
            peer_api::ShardOutcome::Answered { snapshot, shards }
                if snapshot == self.params.snapshot =>
            {
                self.merge_shards(&asked, shards)
            }
            peer_api::ShardOutcome::Answered { .. } => {
                self.failure = Some(peer_api::Failure::Lost);
                asked
            }
            peer_api::ShardOutcome::Failed(failure) => {
                self.snapshot_gone |= failure == SNAPSHOT_GONE;
                self.failure = Some(failure);
                asked
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

    /// Asks another searcher too for what an attempt has not answered yet. Does nothing if the
    /// attempt is answered, was hedged before, or no other searcher has its shards.
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
        let asked = found.shards.clone();
        let mut to_resend = Vec::new();
        for shard in asked {
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

    /// Ends the query with what has been answered by now.
    pub fn expire(&mut self) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.end(&mut outputs);
        outputs
    }

    /// Whether an attempt is open and was not hedged.
    pub fn can_hedge(&self, attempt: ids::AttemptId) -> bool {
        let found = self.attempts.iter().find(|known| known.attempt == attempt);
        found.is_some_and(|known| known.open && !known.hedged)
    }

    /// Answers that came for attempts that were closed, or were never made.
    pub fn dropped_count(&self) -> u32 {
        self.dropped
    }

    /// The chooser.
    pub fn chooser_mut(&mut self) -> &mut C {
        &mut self.chooser
    }

    /// How many attempts were made, counted over all starts.
    pub fn next_attempt(&self) -> u64 {
        self.params.first_attempt + self.attempts.len() as u64
    }

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

    /// Closes the attempt that a reply is for; nothing if it is not open.
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

    /// Takes in the shards that were asked for; returns those that were not answered.
    fn merge_shards(
        &mut self,
        asked: &[ids::ShardId],
        answers: Vec<searcher_api::ShardHits>,
    ) -> Vec<ids::ShardId> {
        let mut missing = asked.to_vec();
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

    /// Notes that a searcher failed for shards; returns those that no open attempt asks for.
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

    fn is_pending(&self, shard: ids::ShardId) -> bool {
        self.attempts.iter().any(|attempt| attempt.open && attempt.shards.contains(&shard))
    }

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

/// The best `limit` hits, best first; ties are ordered by document.
pub fn merge(mut hits: Vec<searcher_api::Hit>, limit: u16) -> Vec<searcher_api::Hit> {
    hits.sort_by(|left, right| {
        right.score.total_cmp(&left.score).then_with(|| left.document.cmp(&right.document))
    });
    hits.truncate(limit as usize);
    hits
}
