//! The owner's side of one searcher: its slots, connections, health and holdings.

use crate::admit;
use crate::clock;
use crate::connection;
use crate::health;
use crate::ids;
use crate::locks;
use crate::peer_api;
use crate::peers;
use crate::policy;
use crate::rank;
use crate::searcher_api;
use crate::slots;
use crate::trace;
use std::sync;
use std::time;
use tracing::Instrument as _;

/// The timeout of a status call.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// The service time that is assumed before the first one is measured.
const SERVICE_TIME_INITIAL_US: u64 = 5_000;

/// The maximum number of waiting calls of one rank, per slot.
const QUEUE_PER_SLOT: u16 = 16;

/// The limits of one searcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of concurrent requests.
    pub slots: u16,
    /// The maximum number of open connections.
    pub connections: u16,
    /// The share of the slots' time that each rank is guaranteed while it has calls, in percent.
    pub floors_percent: [u8; rank::RANK_COUNT],
    /// The scheduling policy.
    pub policy: policy::Policy,
}

/// Tells a waiting call to start, or why it is refused.
type StartSender = tokio::sync::oneshot::Sender<Result<(), peer_api::Failure>>;
type StartReceiver = tokio::sync::oneshot::Receiver<Result<(), peer_api::Failure>>;

struct Waiting {
    attempt: ids::AttemptId,
    sender: StartSender,
}

struct Queue {
    slots: slots::Slots,
    admission: admit::Controller,
    waiting: Vec<Waiting>,
}

/// A call's request for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest {
    /// The attempt of the call.
    pub attempt: ids::AttemptId,
    /// The urgency.
    pub rank: rank::Rank,
    /// How many offered calls it represents: the inverse of the share that the entry admitted.
    pub weight: f32,
    /// When the answer is no longer useful to the caller.
    pub deadline: tokio::time::Instant,
}

/// The owner's side of one searcher.
pub struct Searcher {
    listed: peers::ListedSearcher,
    limits: Limits,
    connections: connection::Connections,
    queue: sync::Mutex<Queue>,
    health: sync::Mutex<health::Tracker>,
}

/// A call's entry in the queue of a searcher, later its slot. Dropping the guard releases either.
struct SlotGuard<'a> {
    searcher: &'a Searcher,
    slot_request: SlotRequest,
    started_us: u64,
    outcome: slots::Outcome,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.searcher.release_slot(self.slot_request, self.started_us, self.outcome);
    }
}

impl Searcher {
    /// Creates a searcher from its entry in the platform's list and its limits. Nothing else is known
    /// of it before the first probe.
    pub fn new(listed: peers::ListedSearcher, limits: Limits) -> Self {
        let slot_limits = slots::Limits {
            slots: limits.slots,
            queue_max: limits.slots.saturating_mul(QUEUE_PER_SLOT),
            floors_percent: limits.floors_percent,
            service_us: SERVICE_TIME_INITIAL_US,
        };
        let queue = Queue {
            slots: slots::Slots::new(limits.policy, slot_limits),
            admission: admit::Controller::new(
                clock::now_us(),
                limits.floors_percent,
                SERVICE_TIME_INITIAL_US,
            ),
            waiting: Vec::new(),
        };
        Self {
            connections: connection::Connections::new(
                listed.address,
                usize::from(limits.connections),
            ),
            listed,
            limits,
            queue: sync::Mutex::new(queue),
            health: sync::Mutex::default(),
        }
    }

    /// Its entry in the platform's list.
    pub fn listed(&self) -> &peers::ListedSearcher {
        &self.listed
    }

    /// Its limits.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// The number of open connections to it.
    pub fn open_connections(&self) -> usize {
        self.connections.open()
    }

    /// The last report on it; `None` before the first probe has ended.
    pub fn report(&self) -> Option<peer_api::SearcherReport> {
        locks::lock(&self.health).last_report().cloned()
    }

    /// Its load as measured by its owner.
    pub fn load(&self) -> peer_api::OwnerLoad {
        let now_us = self.now_us();
        let mut queue = locks::lock(&self.queue);
        let usable_slots = queue.slots.usable_slots();
        let queued = queue.slots.queued_by_rank();
        peer_api::OwnerLoad {
            fractions: queue.admission.fractions(now_us, usable_slots, queued),
            slots: usable_slots as u16,
            in_flight: queue.slots.in_use() as u16,
            queued: queue.slots.queued() as u16,
            service_time_us: queue.slots.service_us(rank::Rank::Standard) as u32,
        }
    }

    /// Starts waiting calls if slots have become usable again, and refuses those that can no longer
    /// meet their deadline.
    pub fn tick(&self) {
        let now_us = self.now_us();
        let mut queue = locks::lock(&self.queue);
        if queue.waiting.is_empty() {
            return;
        }
        let actions = queue.slots.tick(now_us);
        queue.apply(actions);
    }

    /// Waits for a slot, then sends a search.
    pub async fn search(
        &self,
        slot_request: SlotRequest,
        mut request: searcher_api::SearchRequest,
        traceparent: compact_str::CompactString,
    ) -> peer_api::ShardOutcome {
        let failed = peer_api::ShardOutcome::Failed;
        let mut guard = match self.acquire_slot(slot_request).await {
            Ok(guard) => guard,
            Err(failure) => return failed(failure),
        };
        let remaining =
            slot_request.deadline.saturating_duration_since(tokio::time::Instant::now());
        request.timeout_ms = remaining.as_millis() as u32;
        let answer = match self.call("/search", &request, traceparent, remaining).await {
            Ok(answer) => answer,
            Err(failure) => {
                guard.outcome = slot_outcome(failure);
                return failed(failure);
            }
        };
        let Ok(reply) = serde_json::from_slice::<searcher_api::SearchReply>(&answer.body) else {
            return failed(peer_api::Failure::Lost);
        };
        if reply.attempt != request.attempt {
            return failed(peer_api::Failure::Lost);
        }
        guard.outcome = answered_outcome(reply.load);
        if reply.draining {
            self.mark_draining();
        }
        peer_api::ShardOutcome::Answered { snapshot: reply.snapshot, shards: reply.shards }
    }

    /// Waits for a slot, then sends a non-idempotent request, at most once.
    pub async fn run(
        &self,
        slot_request: SlotRequest,
        run: peer_api::OwnerRun,
    ) -> peer_api::RunOutcome {
        let failed = peer_api::RunOutcome::Failed;
        let mut guard = match self.acquire_slot(slot_request).await {
            Ok(guard) => guard,
            Err(failure) => return failed(failure),
        };
        let remaining =
            slot_request.deadline.saturating_duration_since(tokio::time::Instant::now());
        if remaining.is_zero() || crate::home::unix_ms() >= run.expires_unix_ms {
            return failed(peer_api::Failure::DeadlinePast);
        }
        let request = searcher_api::RunRequest {
            attempt: run.attempt,
            service: run.service,
            operation: run.operation,
            subject: run.subject,
            rank: run.rank,
            timeout_ms: remaining.as_millis() as u32,
        };
        let answer = match self.call("/run", &request, run.traceparent, remaining).await {
            Ok(answer) => answer,
            Err(failure) => {
                guard.outcome = slot_outcome(failure);
                return failed(failure);
            }
        };
        match serde_json::from_slice::<searcher_api::RunReply>(&answer.body) {
            Ok(reply) if reply.attempt == request.attempt => {
                guard.outcome = answered_outcome(reply.load);
                if reply.draining {
                    self.mark_draining();
                }
                peer_api::RunOutcome::Ran(reply.result)
            }
            _ => failed(peer_api::Failure::Lost),
        }
    }

    /// Probes the status and updates the health. Returns the new report if something has changed or
    /// if `known_observation` is newer than the last report.
    pub async fn probe(&self, known_observation: u64) -> Option<peer_api::SearcherReport> {
        let status = self.status().await;
        let now_ms = self.now_us() / 1_000;
        locks::lock(&self.health).observe(now_ms, &self.listed, status, known_observation)
    }

    fn now_us(&self) -> u64 {
        clock::now_us()
    }

    /// Waits for a slot; refuses the call if the searcher is draining.
    async fn acquire_slot(
        &self,
        slot_request: SlotRequest,
    ) -> Result<SlotGuard<'_>, peer_api::Failure> {
        if locks::lock(&self.health).health() == peer_api::Health::Draining {
            return Err(peer_api::Failure::Refused(searcher_api::Refusal::Draining));
        }
        let (mut guard, receiver) = self.request_slot(slot_request)?;
        if let Some(receiver) = receiver {
            match receiver.await {
                Ok(Ok(())) => guard.started_us = self.now_us(),
                Ok(Err(failure)) => return Err(failure),
                Err(_) => return Err(peer_api::Failure::Cancelled),
            }
        }
        Ok(guard)
    }

    /// Requests a slot without waiting. The receiver is `None` if the call may start now.
    fn request_slot(
        &self,
        slot_request: SlotRequest,
    ) -> Result<(SlotGuard<'_>, Option<StartReceiver>), peer_api::Failure> {
        let now_us = self.now_us();
        let remaining =
            slot_request.deadline.saturating_duration_since(tokio::time::Instant::now());
        let request = slots::CallRequest {
            call: slot_request.attempt,
            rank: slot_request.rank,
            deadline_us: now_us + remaining.as_micros() as u64,
        };
        let mut queue = locks::lock(&self.queue);
        queue.admission.record_offered(now_us, slot_request.rank, slot_request.weight);
        let result = queue.slots.offer(now_us, request);
        let outcome = slots::Outcome::Failed;
        let guard = || SlotGuard { searcher: self, slot_request, started_us: now_us, outcome };
        match result {
            slots::OfferResult::Start => Ok((guard(), None)),
            slots::OfferResult::Queued => {
                let (sender, receiver) = tokio::sync::oneshot::channel();
                queue.waiting.push(Waiting { attempt: slot_request.attempt, sender });
                Ok((guard(), Some(receiver)))
            }
            slots::OfferResult::Refused(cause) => Err(refusal(cause)),
            slots::OfferResult::Duplicate => Err(peer_api::Failure::Cancelled),
        }
    }

    /// Removes a call from the queue, or releases its slot and starts waiting calls.
    fn release_slot(&self, slot_request: SlotRequest, started_us: u64, outcome: slots::Outcome) {
        let now_us = self.now_us();
        let mut queue = locks::lock(&self.queue);
        queue.waiting.retain(|waiting| waiting.attempt != slot_request.attempt);
        match queue.slots.cancel(now_us, slot_request.attempt) {
            slots::Cancelled::Dropped | slots::Cancelled::Unknown => {}
            slots::Cancelled::Running => {
                let service_us = now_us.saturating_sub(started_us);
                if matches!(outcome, slots::Outcome::Answered | slots::Outcome::Contended) {
                    queue.admission.record_answer(now_us, slot_request.rank, service_us);
                }
                let actions = queue.slots.finish(now_us, slot_request.attempt, service_us, outcome);
                queue.apply(actions);
            }
        }
    }

    /// Sends a request. A status other than 200 is a failure.
    async fn call(
        &self,
        path: &str,
        request: &impl serde::Serialize,
        traceparent: compact_str::CompactString,
        timeout: time::Duration,
    ) -> Result<connection::Answer, peer_api::Failure> {
        let mut call =
            connection::Call::json(http::Method::POST, path, request).map_err(failure)?;
        let context = trace::child_of(&traceparent);
        call.traceparent = context.to_string().into();
        let span = trace::span(trace::Hop::Searcher, &context);
        let response = self.connections.send(call, timeout).instrument(span);
        let answer = response.await.map_err(failure)?;
        match answer.status {
            http::StatusCode::OK => Ok(answer),
            http::StatusCode::SERVICE_UNAVAILABLE => {
                match serde_json::from_slice::<searcher_api::RefusedReply>(&answer.body) {
                    Ok(refused) => {
                        if refused.refusal == searcher_api::Refusal::Draining {
                            self.mark_draining();
                        }
                        Err(peer_api::Failure::Refused(refused.refusal))
                    }
                    Err(_) => Err(peer_api::Failure::Lost),
                }
            }
            _ => Err(peer_api::Failure::Lost),
        }
    }

    /// Fetches the searcher's status; `None` if there is no usable answer in time.
    async fn status(&self) -> Option<searcher_api::StatusReply> {
        let call = connection::Call::get("/status");
        let answer = self.connections.send(call, PROBE_TIMEOUT).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    fn mark_draining(&self) {
        locks::lock(&self.health).record_draining(self.now_us() / 1_000);
    }
}

impl Queue {
    /// Starts and refuses waiting calls as the slots have decided.
    fn apply(&mut self, actions: slots::Actions) {
        for call in actions.start {
            self.notify(call, Ok(()));
        }
        for refused in actions.refuse {
            self.notify(refused.call, Err(refusal(refused.cause)));
        }
    }

    /// Sends the decision to a waiting call. If the task of the call is gone, nothing needs to be done:
    /// its [`SlotGuard`] was dropped with it and releases the slot.
    fn notify(&mut self, call: ids::AttemptId, result: Result<(), peer_api::Failure>) {
        let Some(index) = self.waiting.iter().position(|waiting| waiting.attempt == call) else {
            return;
        };
        let waiting = self.waiting.swap_remove(index);
        if waiting.sender.send(result).is_err() {
            tracing::trace!(%call, "call was cancelled while it waited for a slot");
        }
    }
}

fn refusal(cause: slots::Cause) -> peer_api::Failure {
    match cause {
        slots::Cause::QueueFull | slots::Cause::TooLate => peer_api::Failure::Overloaded,
        slots::Cause::Expired => peer_api::Failure::DeadlinePast,
    }
}

/// The outcome of an answered call. Its owner never sends more calls than there are slots, so a
/// searcher that has calls queued is also used by another owner.
fn answered_outcome(load: searcher_api::Load) -> slots::Outcome {
    if load.queued > 0 {
        return slots::Outcome::Contended;
    }
    slots::Outcome::Answered
}

fn slot_outcome(failure: peer_api::Failure) -> slots::Outcome {
    match failure {
        peer_api::Failure::Refused(searcher_api::Refusal::Shed) => slots::Outcome::Refused,
        _ => slots::Outcome::Failed,
    }
}

fn failure(error: connection::CallError) -> peer_api::Failure {
    match error {
        connection::CallError::NotSent(_) => peer_api::Failure::NotSent,
        connection::CallError::Lost(_) => peer_api::Failure::Lost,
    }
}
