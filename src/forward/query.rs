//! The decisions on one request: which searchers get it, when it is sent once more, and when and how it is
//! answered. No sockets, no clock: `(now, input) -> sends`, and a completion when there is one.
//!
//! A request to one service is a query with one part; a gather has a part for each shard. A part is sent
//! to a second searcher when the first has failed, or when it takes much longer than usual (a hedge), as far
//! as the budget goes. A gather is answered when all parts are in; from its target latency on, when enough
//! are; at once, when enough can't come in any more.

use crate::forward::balancer;
use crate::forward::budget;
use crate::forward::endpoint;
use crate::forward::latency;
use crate::ids;
use bytes::Bytes;
use compact_str::CompactString;
use std::sync;

/// A hedge of a gather's part goes out when it takes this many times the median.
const GATHER_HEDGE_FACTOR: u64 = 2;
/// A hedge of a request to one service goes out when it takes this many times the median.
const SINGLE_HEDGE_FACTOR: u64 = 3;
/// The least time before a hedge.
const HEDGE_MIN_US: u64 = 8_000;
/// When a hedge that the budget did not allow is looked at again.
const HEDGE_RETRY_DELAY_US: u64 = 25_000;
/// How much sooner than the target latency an answer leaves: the way from and to the client, and the time
/// to write it.
const TARGET_MARGIN_US: u64 = 10_000;
/// How much sooner than the client's deadline a query is given up.
const DEADLINE_MARGIN_US: u64 = 8_000;
/// The share of the target latency that a first send may lose to stay in its region.
const CROSS_REGION_PENALTY_DIVISOR: u64 = 8;
/// The share of the target latency for which a part waits for a searcher that is busy.
const WAIT_DIVISOR: u64 = 4;
/// How often a send that waits for a searcher is looked at.
const WAIT_POLL_US: u64 = 4_000;
/// How many sends a part may take beyond its attempts, for those that searchers have rejected.
const REJECTIONS_MAX: u32 = 2;
/// When a client may come back whose request found no searcher.
const RETRY_AFTER_MS: u64 = 400;

/// What is asked.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The route's name.
    pub route: CompactString,
    /// Its urgency, 0 is the most urgent.
    pub priority: u8,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// To how many searchers each part may be sent.
    pub attempts: u32,
    /// The services, one for each part.
    pub services: Vec<ids::ServiceName>,
    /// The least number of parts that makes an answer.
    pub parts_min: usize,
    /// Whether the parts are a gather's.
    pub is_gather: bool,
    /// When the request came in.
    pub arrived_us: u64,
    /// How long its client had waited before: for where to connect, and for the connection.
    pub waited_us: u64,
    /// The time within which an answer is worth most.
    pub target_us: u64,
    /// How long the client waits, or the route's timeout if that is shorter.
    pub timeout_us: u64,
}

/// A searcher's answer, whole.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: http::StatusCode,
    /// Its headers.
    pub headers: http::HeaderMap,
    /// The searcher's signature.
    pub stamp: Option<http::HeaderValue>,
    /// Its body.
    pub body: Bytes,
}

/// How a send ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The searcher answered.
    Answered(Answer),
    /// The searcher says that it did not run the request.
    NotRun,
    /// Not a byte was sent.
    NotSent,
    /// No whole answer came; the request may have run.
    Lost,
}

/// A send to make.
pub struct Send {
    /// Its number within the query.
    pub number: usize,
    /// The searcher and its send_id on the balancer.
    pub choice: balancer::Choice,
    /// The usual work time of the route.
    pub median_processing_us: u64,
}

/// How a query ends.
#[derive(Clone, Debug)]
pub enum Completion {
    /// A gather's parts, `None` where a shard is missing.
    Gathered(Vec<Option<Answer>>),
    /// The answer of a searcher.
    Single(Answer),
    /// Nothing has run, and nothing will.
    NotRun {
        /// When the client may come back.
        retry_after_ms: u64,
    },
    /// It may have run, and there is no answer.
    Failed,
    /// Its time is over.
    TimedOut,
}

/// What the decisions look at.
pub struct Context<'a> {
    /// The searchers.
    pub balancer: &'a mut balancer::Balancer,
    /// The budgets of second sends.
    pub budgets: &'a mut budget::Budgets,
    /// The usual latencies.
    pub latencies: &'a latency::Latencies,
}

/// Why a send was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// It is the part's first.
    First,
    /// The one before takes long.
    Hedge,
    /// The one before has failed.
    Retry,
    /// The one before found no connection, so that nothing was sent.
    Reconnect,
}

/// Why a part gets no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum PartFailure {
    /// There is no searcher that has not been tried.
    NoSearcher,
    /// All searchers that have not been tried have as many sends as they may have.
    Busy,
    /// The budget of second sends is used up.
    NoBudget,
    /// It was sent as often as the route allows, or must not be sent again.
    AttemptsUsed,
    /// A searcher has answered that the request is wrong.
    FinalAnswer,
}

/// What is known of a send, for the log.
#[derive(Clone, Debug)]
pub struct SendRecord {
    /// The part it belongs to.
    pub part: usize,
    /// The searcher.
    pub endpoint: sync::Arc<endpoint::Endpoint>,
    /// Why it was made.
    pub reason: Reason,
    /// When.
    pub sent_us: u64,
    /// How it ended, and when.
    pub ended: Option<(&'static str, u64)>,
}

impl std::fmt::Debug for endpoint::Endpoint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.id)
    }
}

#[derive(Clone, Debug, Default)]
struct Part {
    tried: Vec<CompactString>,
    /// Sends under way.
    in_flight: usize,
    /// Sends that may have run.
    possibly_run: u32,
    rejected: u32,
    hedge_at_us: Option<u64>,
    answer: Option<Answer>,
    /// An answer that is no success; it is the result if no better one comes.
    error_answer: Option<Answer>,
    /// Why a send waits to be made: all searchers have as many as they may have.
    waiting: Option<Reason>,
    /// Why no answer can come any more.
    failed: Option<PartFailure>,
}

/// One request under way.
pub struct Query {
    spec: Spec,
    parts: Vec<Part>,
    sends: Vec<SendRecord>,
    may_have_run: bool,
    hedges_denied: u64,
}

impl Query {
    /// A query that has not begun.
    pub fn new(spec: Spec) -> Self {
        let parts = vec![Part::default(); spec.services.len()];
        Self { spec, parts, sends: Vec::new(), may_have_run: false, hedges_denied: 0 }
    }

    /// What is asked.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// All sends so far.
    pub fn sends(&self) -> &[SendRecord] {
        &self.sends
    }

    /// How many hedges the budget did not allow.
    pub fn hedges_denied(&self) -> u64 {
        self.hedges_denied
    }

    /// The parts that get no answer, and why.
    pub fn failures(&self) -> impl Iterator<Item = (&ids::ServiceName, PartFailure)> {
        let parts = self.spec.services.iter().zip(&self.parts);
        parts.filter_map(|(service, part)| Some((service, part.failed?)))
    }

    /// How many parts are in.
    pub fn answered_count(&self) -> usize {
        self.parts.iter().filter(|part| part.answer.is_some()).count()
    }

    /// When the query's time is over.
    pub fn deadline_us(&self) -> u64 {
        let margin_us = DEADLINE_MARGIN_US.min(self.spec.timeout_us / 10);
        self.spec.arrived_us + self.spec.timeout_us - margin_us
    }

    /// Until when a part waits for a searcher that is busy: a client that is told sooner that its request
    /// has failed can still be served in time at another instance.
    fn wait_until_us(&self) -> u64 {
        self.spec.arrived_us + self.spec.target_us / WAIT_DIVISOR
    }

    /// Until when a gather waits for all of its parts.
    fn partial_from_us(&self) -> u64 {
        let margin_us = TARGET_MARGIN_US.min(self.spec.target_us / 5);
        let left_us = self.spec.target_us.saturating_sub(margin_us + self.spec.waited_us);
        self.spec.arrived_us + left_us
    }

    /// Begins: a send for each part, if enough of them have searchers at all.
    pub fn start(&mut self, now_us: u64, context: &mut Context<'_>) -> Vec<Send> {
        let mut served = 0;
        for service in &self.spec.services {
            context.budgets.record_request(now_us, service);
            served += usize::from(context.balancer.has_searcher(service));
        }
        if served < self.spec.parts_min {
            for part in &mut self.parts {
                part.failed = Some(PartFailure::NoSearcher);
            }
            return Vec::new();
        }
        let mut sends = Vec::with_capacity(self.parts.len());
        for part_index in 0..self.parts.len() {
            sends.extend(self.plan_send_or_wait(now_us, context, part_index, Reason::First));
        }
        sends
    }

    /// Takes in the end of a send. Returns the sends that follow from it.
    pub fn ended(
        &mut self,
        now_us: u64,
        context: &mut Context<'_>,
        number: usize,
        outcome: Outcome,
    ) -> Vec<Send> {
        let record = &mut self.sends[number];
        record.ended = Some((outcome_name(&outcome), now_us));
        let part_index = record.part;
        let part = &mut self.parts[part_index];
        part.in_flight -= 1;
        let mut is_unsent = false;
        match outcome {
            Outcome::Answered(answer) => {
                self.may_have_run = true;
                if answer.status.is_success() {
                    part.answer.get_or_insert(answer);
                    return Vec::new();
                }
                let is_final = answer.status.is_client_error();
                part.error_answer = Some(answer);
                if is_final {
                    if part.answer.is_none() && part.in_flight == 0 {
                        part.failed = Some(PartFailure::FinalAnswer);
                    }
                    return Vec::new();
                }
            }
            Outcome::Lost => self.may_have_run = true,
            Outcome::NotRun => {
                part.possibly_run -= 1;
                part.rejected += 1;
            }
            Outcome::NotSent => {
                part.possibly_run -= 1;
                is_unsent = true;
            }
        }
        if part.answer.is_some() || part.in_flight > 0 {
            return Vec::new();
        }
        let may_repeat = self.spec.is_idempotent || part.possibly_run == 0;
        let may_send = may_repeat
            && part.possibly_run < self.spec.attempts
            && part.rejected <= REJECTIONS_MAX
            && now_us < self.deadline_us();
        if !may_send {
            self.parts[part_index].failed = Some(PartFailure::AttemptsUsed);
            return Vec::new();
        }
        let reason = if is_unsent { Reason::Reconnect } else { Reason::Retry };
        self.plan_send_or_wait(now_us, context, part_index, reason).into_iter().collect()
    }

    /// Sends a part that has nothing under way, or lets it wait while all searchers are busy with as many
    /// sends as they may have from this instance. Without either, the part has failed.
    fn plan_send_or_wait(
        &mut self,
        now_us: u64,
        context: &mut Context<'_>,
        part_index: usize,
        reason: Reason,
    ) -> Option<Send> {
        match self.plan_send(now_us, context, part_index, reason) {
            Ok(send) => return Some(send),
            Err(PartFailure::Busy) if now_us < self.wait_until_us() => {
                self.parts[part_index].waiting = Some(reason);
            }
            Err(failure) => self.parts[part_index].failed = Some(failure),
        }
        None
    }

    /// Looks at the time. Returns the hedges that are due.
    pub fn tick(&mut self, now_us: u64, context: &mut Context<'_>) -> Vec<Send> {
        let mut sends = Vec::new();
        for part_index in 0..self.parts.len() {
            if let Some(reason) = self.parts[part_index].waiting.take() {
                sends.extend(self.plan_send_or_wait(now_us, context, part_index, reason));
                continue;
            }
            let part = &mut self.parts[part_index];
            let is_due = part.hedge_at_us.is_some_and(|due_us| due_us <= now_us);
            if !is_due {
                continue;
            }
            part.hedge_at_us = None;
            let may_send = self.spec.is_idempotent
                && part.answer.is_none()
                && part.in_flight > 0
                && part.possibly_run < self.spec.attempts
                && part.rejected <= REJECTIONS_MAX;
            if !may_send {
                continue;
            }
            match self.plan_send(now_us, context, part_index, Reason::Hedge) {
                Ok(send) => sends.push(send),
                Err(failure) => {
                    self.parts[part_index].hedge_at_us = Some(now_us + HEDGE_RETRY_DELAY_US);
                    self.hedges_denied += u64::from(failure == PartFailure::NoBudget);
                }
            }
        }
        sends
    }

    /// When to look at the time next.
    pub fn wake_at_us(&self, now_us: u64) -> u64 {
        let mut wake_us = self.deadline_us();
        if self.spec.is_gather && self.spec.parts_min < self.parts.len() {
            let partial_from_us = self.partial_from_us();
            if self.answered_count() >= self.spec.parts_min {
                wake_us = wake_us.min(partial_from_us);
            }
        }
        for part in &self.parts {
            if part.answer.is_some() || part.failed.is_some() {
                continue;
            }
            if part.waiting.is_some() {
                wake_us = wake_us.min(now_us + WAIT_POLL_US);
            }
            wake_us = wake_us.min(part.hedge_at_us.unwrap_or(u64::MAX));
        }
        wake_us
    }

    /// How the query ends, if it does now.
    pub fn completion(&mut self, now_us: u64) -> Option<Completion> {
        let answered = self.answered_count();
        let failed =
            self.parts.iter().filter(|part| part.answer.is_none() && part.failed.is_some()).count();
        let open = self.parts.len() - answered - failed;
        let is_enough = answered >= self.spec.parts_min;
        let is_due = open == 0 || now_us >= self.partial_from_us();
        if is_enough && is_due {
            return Some(self.success());
        }
        if answered + open < self.spec.parts_min {
            return Some(self.failure());
        }
        let nothing_sent = self.sends.is_empty();
        if nothing_sent && now_us >= self.partial_from_us().min(self.deadline_us()) {
            return Some(Completion::NotRun { retry_after_ms: RETRY_AFTER_MS });
        }
        if now_us >= self.deadline_us() {
            return Some(Completion::TimedOut);
        }
        None
    }

    fn success(&mut self) -> Completion {
        let mut answers: Vec<Option<Answer>> =
            self.parts.iter_mut().map(|part| part.answer.take()).collect();
        if self.spec.is_gather {
            return Completion::Gathered(answers);
        }
        match answers.pop().flatten() {
            Some(answer) => Completion::Single(answer),
            None => Completion::Failed,
        }
    }

    fn failure(&mut self) -> Completion {
        let is_in_flight = self.parts.iter().any(|part| part.in_flight > 0);
        if !self.may_have_run && !is_in_flight {
            return Completion::NotRun { retry_after_ms: RETRY_AFTER_MS };
        }
        if self.spec.is_gather {
            return Completion::Failed;
        }
        match self.parts.iter_mut().find_map(|part| part.error_answer.take()) {
            Some(answer) => Completion::Single(answer),
            None => Completion::Failed,
        }
    }

    fn plan_send(
        &mut self,
        now_us: u64,
        context: &mut Context<'_>,
        part_index: usize,
        reason: Reason,
    ) -> Result<Send, PartFailure> {
        let median_processing_us = context.latencies.median_us(&self.spec.route);
        let part = &mut self.parts[part_index];
        let cross_region_penalty_us = match reason {
            Reason::First => self.spec.target_us / CROSS_REGION_PENALTY_DIVISOR,
            Reason::Hedge | Reason::Retry | Reason::Reconnect => 0,
        };
        let profile = balancer::RequestProfile { median_processing_us, cross_region_penalty_us };
        let service = &self.spec.services[part_index];
        let found = context.balancer.find(now_us, service, &part.tried, profile);
        let candidate = match found {
            Some(candidate) => candidate,
            None if context.balancer.has_untried(service, &part.tried) => {
                return Err(PartFailure::Busy);
            }
            None => return Err(PartFailure::NoSearcher),
        };
        let is_extra = matches!(reason, Reason::Hedge | Reason::Retry);
        if is_extra && !context.budgets.spend(now_us, service, self.spec.priority) {
            return Err(PartFailure::NoBudget);
        }
        let choice = context.balancer.start_send(now_us, candidate);
        part.tried.push(choice.endpoint.id.clone());
        part.in_flight += 1;
        part.possibly_run += 1;
        let factor = if self.spec.is_gather { GATHER_HEDGE_FACTOR } else { SINGLE_HEDGE_FACTOR };
        let delay_us = choice.endpoint.distance.round_trip_us() + median_processing_us * factor;
        part.hedge_at_us = Some(now_us + delay_us.max(HEDGE_MIN_US));
        let number = self.sends.len();
        self.sends.push(SendRecord {
            part: part_index,
            endpoint: choice.endpoint.clone(),
            reason,
            sent_us: now_us,
            ended: None,
        });
        Ok(Send { number, choice, median_processing_us })
    }
}

fn outcome_name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered(answer) if answer.status.is_success() => "answered",
        Outcome::Answered(_) => "error_answer",
        Outcome::NotRun => "rejected",
        Outcome::NotSent => "not_sent",
        Outcome::Lost => "lost",
    }
}
