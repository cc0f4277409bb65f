//! Runs one search: sends its calls, processes their outcomes, hedges slow calls, and ends at the
//! deadline.

use crate::attempts;
use crate::caller_api;
use crate::choose;
use crate::dispatch;
use crate::entry;
use crate::holdings;
use crate::ids;
use crate::locks;
use crate::owner;
use crate::peer_api;
use crate::query;
use crate::searcher_api;
use crate::snapshot;
use compact_str::CompactString;
use std::sync;
use std::time;

/// The capacity of a query's queue of outcomes, in attempts.
const REPLY_QUEUE_CAPACITY: usize = 1_024;

/// The parts of a search that stay the same when it is restarted on a newer snapshot.
pub struct SearchContext<'a> {
    /// The instance.
    pub node: &'a entry::Node,
    /// The caller's request.
    pub call: &'a caller_api::SearchCall,
    /// The query's id.
    pub query_id: ids::QueryId,
    /// The W3C `traceparent` of the query's span.
    pub traceparent: &'a CompactString,
    /// When the search ends with the answers received so far.
    pub deadline: tokio::time::Instant,
    /// The service's dispatcher.
    pub dispatcher: dispatch::SharedDispatcher,
}

/// The result of a run on one snapshot.
pub enum RunResult {
    /// The search was not admitted; nothing was sent.
    NotAdmitted,
    /// The query ran to its end.
    Ran {
        /// The result of the query.
        end: query::End,
        /// The number of the next attempt, over all restarts.
        next_attempt: u64,
    },
}

struct SentCall {
    attempt: ids::AttemptId,
    searcher: ids::SearcherName,
    sent_us: u64,
    /// When the call was sent or last considered for a hedge.
    hedge_checked_us: u64,
}

/// The calls to send to one owner.
struct Batch {
    owner: ids::InstanceName,
    calls: Vec<peer_api::ShardCall>,
}

/// A query that runs on one snapshot.
struct ActiveRun<'a> {
    context: &'a SearchContext<'a>,
    snapshot: snapshot::Snapshot,
    weight: f32,
    sender: attempts::ReplySender,
    sent: Vec<SentCall>,
}

impl SearchContext<'_> {
    /// Runs the query on the snapshot of `replicas`. `first_attempt` and `effort` carry over from
    /// the run before a restart.
    pub async fn run(
        &self,
        replicas: &holdings::Replicas,
        first_attempt: u64,
        effort: caller_api::Effort,
    ) -> RunResult {
        let rank = self.call.rank;
        let now_us = self.node.now_us();
        let admitted = lock(&self.dispatcher).admit(now_us, self.query_id, rank, replicas);
        let Some(admitted) = admitted else {
            return RunResult::NotAdmitted;
        };
        let params = query::Params {
            query_id: self.query_id,
            first_attempt,
            snapshot: replicas.snapshot,
            shard_count: replicas.shards.len() as u32,
            limit: self.call.limit,
            effort,
        };
        let (sender, receiver) = tokio::sync::mpsc::channel(REPLY_QUEUE_CAPACITY);
        let mut running = ActiveRun {
            context: self,
            snapshot: replicas.snapshot,
            weight: admitted.weight,
            sender,
            sent: Vec::new(),
        };
        running.probe(&admitted);
        let chooser = dispatch::PlannedChooser::new(self.dispatcher.clone(), admitted);
        let (query, outputs) = query::Query::start(params, chooser);
        running.drive(query, outputs, receiver).await
    }
}

impl ActiveRun<'_> {
    async fn drive(
        &mut self,
        mut query: query::Query<dispatch::PlannedChooser>,
        mut outputs: Vec<query::Output>,
        mut receiver: tokio::sync::mpsc::Receiver<peer_api::ShardReply>,
    ) -> RunResult {
        loop {
            if let Some(end) = self.apply(outputs) {
                return RunResult::Ran { end, next_attempt: query.next_attempt() };
            }
            let hedge_at = self.next_hedge_at(&query);
            let wake = hedge_at.map_or(self.context.deadline, |at| at.min(self.context.deadline));
            outputs = match tokio::time::timeout_at(wake, receiver.recv()).await {
                Ok(Some(reply)) => self.handle_reply(&mut query, reply),
                Ok(None) => query.expire(),
                Err(_) if tokio::time::Instant::now() >= self.context.deadline => query.expire(),
                Err(_) => self.hedge_overdue(&mut query),
            };
        }
    }

    fn handle_reply(
        &mut self,
        query: &mut query::Query<dispatch::PlannedChooser>,
        reply: peer_api::ShardReply,
    ) -> Vec<query::Output> {
        let now_us = self.context.node.now_us();
        let position = self.sent.iter().position(|sent| sent.attempt == reply.attempt);
        if let Some(position) = position {
            let sent = self.sent.swap_remove(position);
            let mut dispatcher = lock(&self.context.dispatcher);
            dispatcher.record_outcome(
                now_us,
                self.context.call.rank,
                &reply,
                now_us.saturating_sub(sent.sent_us),
            );
            if is_overload(&reply) {
                query.chooser_mut().retry_denied =
                    !dispatcher.try_retry(now_us, self.context.call.rank);
            }
        }
        query.chooser_mut().now_us = now_us;
        query.reply(reply)
    }

    /// When the next call becomes due for a hedge. `None` if no call can be hedged, or if the
    /// dispatcher has no hedge delay.
    fn next_hedge_at(
        &self,
        query: &query::Query<dispatch::PlannedChooser>,
    ) -> Option<tokio::time::Instant> {
        let delay_us = lock(&self.context.dispatcher).hedge_delay_us(self.context.call.rank)?;
        let mut oldest_us: Option<u64> = None;
        for sent in &self.sent {
            if !query.can_hedge(sent.attempt) {
                continue;
            }
            oldest_us = Some(
                oldest_us.map_or(sent.hedge_checked_us, |oldest| oldest.min(sent.hedge_checked_us)),
            );
        }
        let due_us = oldest_us? + delay_us;
        let remaining_us = due_us.saturating_sub(self.context.node.now_us());
        Some(tokio::time::Instant::now() + time::Duration::from_micros(remaining_us))
    }

    /// Hedges the overdue calls while the hedge budget allows.
    fn hedge_overdue(
        &mut self,
        query: &mut query::Query<dispatch::PlannedChooser>,
    ) -> Vec<query::Output> {
        let now_us = self.context.node.now_us();
        let Some(delay_us) = lock(&self.context.dispatcher).hedge_delay_us(self.context.call.rank)
        else {
            return Vec::new();
        };
        let mut outputs = Vec::new();
        for sent in &mut self.sent {
            let since_check_us = now_us.saturating_sub(sent.hedge_checked_us);
            if since_check_us < delay_us || !query.can_hedge(sent.attempt) {
                continue;
            }
            sent.hedge_checked_us = now_us;
            let age_us = now_us.saturating_sub(sent.sent_us);
            let allowed = lock(&self.context.dispatcher).try_hedge(
                now_us,
                self.context.call.rank,
                &sent.searcher,
                age_us,
            );
            if !allowed {
                continue;
            }
            query.chooser_mut().now_us = now_us;
            let sends = query.hedge(sent.attempt);
            lock(&self.context.dispatcher).charge_hedge(sends.len() as u32);
            outputs.extend(sends);
        }
        outputs
    }

    /// Performs the outputs of the query. Returns its end if it has ended.
    fn apply(&mut self, outputs: Vec<query::Output>) -> Option<query::End> {
        let mut batches: Vec<Batch> = Vec::new();
        let mut end = None;
        for output in outputs {
            match output {
                query::Output::Send(call) => self.register(&mut batches, call),
                query::Output::Cancel(open) => self.cancel(open),
                query::Output::Done(ended) => end = Some(ended),
            }
        }
        for batch in batches {
            self.send(batch);
        }
        end
    }

    /// Records a call as sent and adds it to the batch of its owner. Without a known owner the call
    /// fails at once.
    fn register(&mut self, batches: &mut Vec<Batch>, call: peer_api::ShardCall) {
        let node = self.context.node;
        self.sent.push(SentCall {
            attempt: call.attempt,
            searcher: call.searcher.clone(),
            sent_us: node.now_us(),
            hedge_checked_us: node.now_us(),
        });
        lock(&self.context.dispatcher).record_sent(&call.searcher);
        let Some(owner) = node.owner_of(&call.searcher) else {
            let failure = peer_api::Failure::NotOwner;
            let reply = attempts::failed_reply(call.attempt, call.searcher, failure);
            if self.sender.try_send(reply).is_err() {
                tracing::warn!(
                    "the outcome queue of the query is full; dropped the outcome of an attempt"
                );
            }
            return;
        };
        node.attempts.open(&call, &owner, &self.sender);
        match batches.iter_mut().find(|batch| batch.owner == owner) {
            Some(batch) => batch.calls.push(call),
            None => batches.push(Batch { owner, calls: vec![call] }),
        }
    }

    fn send(&self, batch: Batch) {
        let node = self.context.node;
        let search = self.search_frame(batch.calls);
        if batch.owner == node.instance {
            let reply_to = owner::ReplyTo::Local(node.attempts.clone());
            node.owner.search(&search, &reply_to);
            return;
        }
        let calls = search.calls.clone();
        if node.links.send(&batch.owner, peer_api::Frame::Search(search)).is_ok() {
            return;
        }
        for call in calls {
            let failure = peer_api::Failure::NotSent;
            node.attempts.resolve(attempts::failed_reply(call.attempt, call.searcher, failure));
        }
    }

    fn search_frame(&self, calls: Vec<peer_api::ShardCall>) -> peer_api::Search {
        let call = self.context.call;
        let remaining =
            self.context.deadline.saturating_duration_since(tokio::time::Instant::now());
        peer_api::Search {
            query_id: self.context.query_id,
            traceparent: self.context.traceparent.clone(),
            service: call.service.clone(),
            snapshot: self.snapshot,
            query: call.query.clone(),
            limit: call.limit,
            rank: call.rank,
            timeout_ms: remaining.as_millis() as u32,
            weight: self.weight,
            calls,
        }
    }

    fn cancel(&mut self, open: Vec<query::OpenAttempt>) {
        let node = self.context.node;
        let mut batches: Vec<(ids::InstanceName, Vec<ids::AttemptId>)> = Vec::new();
        for attempt in open {
            node.attempts.close(attempt.attempt);
            lock(&self.context.dispatcher).record_abandoned(&attempt.searcher);
            let Some(owner) = node.owner_of(&attempt.searcher) else {
                continue;
            };
            match batches.iter_mut().find(|(name, _)| *name == owner) {
                Some((_, attempts)) => attempts.push(attempt.attempt),
                None => batches.push((owner, vec![attempt.attempt])),
            }
        }
        for (owner, attempts) in batches {
            if owner == node.instance {
                node.owner.cancel(&attempts);
                continue;
            }
            if node.links.send(&owner, peer_api::Frame::Cancel(attempts)).is_err() {
                tracing::debug!(%owner, "could not send a cancellation to the owner");
            }
        }
    }

    /// Sends extra calls as probes to slow searchers that are due for one. The query does not wait
    /// for them.
    fn probe(&self, admitted: &dispatch::Admitted) {
        for call in &admitted.plan.calls {
            let node = self.context.node;
            let now_us = node.now_us();
            let mut dispatcher = lock(&self.context.dispatcher);
            let Some(probed) =
                dispatcher.probe(now_us, self.context.call.rank, &admitted.layout, call)
            else {
                continue;
            };
            let Some(searcher) = dispatcher.name(probed).cloned() else {
                continue;
            };
            dispatcher.record_sent(&searcher);
            drop(dispatcher);
            self.send_probe(searcher, call);
        }
    }

    fn send_probe(&self, searcher: ids::SearcherName, call: &choose::Call) {
        let node = self.context.node;
        let Some(owner) = node.owner_of(&searcher) else {
            lock(&self.context.dispatcher).record_abandoned(&searcher);
            return;
        };
        let attempt = ids::AttemptId(rand::random());
        let shards = call.shards.iter().copied().map(ids::ShardId).collect();
        let call = peer_api::ShardCall { attempt, searcher: searcher.clone(), shards };
        let (sender, mut receiver) = tokio::sync::mpsc::channel(1);
        node.attempts.open(&call, &owner, &sender);
        self.send(Batch { owner, calls: vec![call] });
        let sent = time::Instant::now();
        let sent_us = node.now_us();
        let dispatcher = self.context.dispatcher.clone();
        let attempts = node.attempts.clone();
        let deadline = self.context.deadline;
        let rank = self.context.call.rank;
        tokio::spawn(async move {
            let answered = tokio::time::timeout_at(deadline, receiver.recv()).await;
            let latency_us = sent.elapsed().as_micros() as u64;
            let mut dispatcher = lock(&dispatcher);
            match answered {
                Ok(Some(reply)) => {
                    dispatcher.record_outcome(sent_us + latency_us, rank, &reply, latency_us);
                }
                Ok(None) | Err(_) => {
                    attempts.close(attempt);
                    dispatcher.record_abandoned(&searcher);
                }
            }
        });
    }
}

/// Whether a call failed because of overload. Retries of such calls add load and need budget.
fn is_overload(reply: &peer_api::ShardReply) -> bool {
    let peer_api::ShardOutcome::Failed(failure) = reply.outcome else {
        return false;
    };
    match failure {
        peer_api::Failure::Overloaded | peer_api::Failure::DeadlinePast => true,
        peer_api::Failure::Refused(refusal) => refusal == searcher_api::Refusal::Shed,
        _ => false,
    }
}

fn lock(dispatcher: &dispatch::SharedDispatcher) -> sync::MutexGuard<'_, dispatch::Dispatcher> {
    locks::lock(dispatcher)
}
