//! The state machine of one request: chooses the searchers that receive it, decides on retries and hedges,
//! and determines when it completes and with which result. It does no I/O and reads no clock: it is passed
//! the current time with each event and returns the sends to make.
//!
//! A request to one service is a query with one part; a gather has one part per shard. A *send* transmits one
//! part to one searcher. A part is sent to another searcher if the first one fails (a retry) or takes much
//! longer than usual (a hedge), as long as the budget allows. A gather completes as soon as all parts are
//! answered; from its target latency on, as soon as the minimum number of parts is; and immediately once that
//! minimum can no longer be reached.

use crate::discovery::config;
use crate::expected_work::cost;
use crate::fair_order::gate;
use crate::fair_order::queue;
use crate::forward::balancer;
use crate::forward::budget;
use crate::forward::endpoint;
use crate::forward::latency;
use crate::forward::retry_after;
use crate::forward::send_limit;
use crate::placement::homes;
use bytes::Bytes;
use compact_str::CompactString;
use std::sync;

/// A part of a gather is hedged once it takes this many times the route's median.
const GATHER_HEDGE_FACTOR: u64 = 2;
/// A request to one service is hedged once it takes this many times the route's median.
const SINGLE_HEDGE_FACTOR: u64 = 3;
/// The shortest delay before a hedge.
const HEDGE_MIN_US: u64 = 8_000;
/// The delay before a hedge that could not be sent is tried again.
const HEDGE_RETRY_DELAY_US: u64 = 25_000;
/// [`Spec::margin_us`] is at most the target latency divided by this.
const MARGIN_DIVISOR: u64 = 5;
/// How long before the client's deadline a query times out.
const DEADLINE_MARGIN_US: u64 = 8_000;
/// A first send adds the target latency divided by this to the cost of searchers in other regions.
const CROSS_REGION_PENALTY_DIVISOR: u64 = 8;
/// The interval at which a part that waits for a busy searcher is retried.
const WAIT_POLL_US: u64 = 4_000;
/// After this many sends of a part whose connection was reset, the searcher counts as tried.
const RESETS_MAX: u32 = 3;
/// How many rejected sends a part may have beyond its attempts.
const REJECTIONS_MAX: u32 = 2;

/// What a query has to do, and within which limits.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The route's name.
    pub route: CompactString,
    /// The tenant's name; empty if the request belongs to none.
    pub tenant: CompactString,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// To how many searchers each part may be sent. Sends that certainly did not run don't count.
    pub attempts: u32,
    /// The service of each part.
    pub services: Vec<config::ServiceName>,
    /// The minimum number of answered parts for a successful result.
    pub parts_min: usize,
    /// Whether this is a gather.
    pub is_gather: bool,
    /// When the request arrived.
    pub arrived_us: u64,
    /// How long the client had already waited by then, looking up an address and opening a connection.
    pub waited_us: u64,
    /// The route's target latency.
    pub target_us: u64,
    /// How long before the target latency an answer has to be complete to reach the client in time.
    pub margin_us: u64,
    /// The client's timeout, or the route's if that is shorter, counted from the arrival.
    pub timeout_us: u64,
    /// The regions whose searchers may be used.
    pub homes: homes::Homes,
}

/// A complete response of a searcher.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: http::StatusCode,
    /// The HTTP headers.
    pub headers: http::HeaderMap,
    /// The searcher's signature, if the response has one.
    pub stamp: Option<http::HeaderValue>,
    /// The complete body.
    pub body: Bytes,
}

/// How a send ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The searcher answered, with any status.
    Answered(Answer),
    /// The searcher rejected the request without running it.
    NotRun,
    /// Nothing was sent.
    NotSent,
    /// Nothing was sent: the searcher accepts no more connections, but serves requests on those that are open.
    ConnectionReset,
    /// No complete answer arrived; the request may have run.
    Lost,
}

/// A send to make.
pub struct Send {
    /// Its index in [`Query::sends`].
    pub number: usize,
    /// The chosen searcher.
    pub choice: balancer::Choice,
    /// The median processing time of the route, or the expected work of the request, see
    /// [`balancer::Balancer::expected_work_us`].
    pub median_processing_us: u64,
    /// Its share of what all sends together may hold, until it ends.
    pub held: send_limit::SendGuard,
}

/// How a query ends.
#[derive(Clone, Debug)]
pub enum Completion {
    /// The answers to a gather's parts, `None` for missing shards.
    Gathered(Vec<Option<Answer>>),
    /// A searcher's answer, which may be an error.
    Single(Answer),
    /// No searcher has run the request or will run it.
    NotRun {
        /// The delay after which the client may try again.
        retry_after_ms: u64,
    },
    /// Too few parts were answered, and the request may have run.
    Failed,
    /// The deadline has passed.
    TimedOut,
}

/// The state shared by all queries.
pub struct Context<'a> {
    /// Selects searchers.
    pub balancer: &'a mut balancer::Balancer,
    /// The budgets of retries and hedges.
    pub budgets: &'a mut budget::Budgets,
    /// The latencies of each route.
    pub latencies: &'a latency::Latencies,
    /// The order of waiting parts; `None` if the configuration has no tenants.
    pub fair_order: Option<&'a mut gate::Gate>,
}

/// Why a send was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The first send of the part.
    First,
    /// The previous send is slow.
    Hedge,
    /// The previous send failed.
    Retry,
    /// No connection could be opened for the previous send, so nothing was sent.
    Reconnect,
}

/// Why a part will not be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum PartFailure {
    /// No searcher is left that has not been tried, or too few parts of the gather have a searcher.
    NoSearcher,
    /// All searchers that have not been tried are at their limit of concurrent sends, or accept no requests for now.
    Busy,
    /// The budget of retries and hedges is used up.
    NoBudget,
    /// The part was sent as often as the route allows, must not be sent again, or has reached its deadline.
    AttemptsUsed,
    /// A searcher answered with a client error, which a retry would not change.
    FinalAnswer,
}

/// What is known about a send, for the log.
#[derive(Clone, Debug)]
pub struct SendRecord {
    /// The index of its part.
    pub part: usize,
    /// The searcher.
    pub endpoint: sync::Arc<endpoint::Endpoint>,
    /// Why it was sent.
    pub reason: Reason,
    /// When it was sent.
    pub sent_us: u64,
    /// How and when it ended, `None` while it is in flight.
    pub ended: Option<(&'static str, u64)>,
}

impl std::fmt::Debug for endpoint::Endpoint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.id)
    }
}

/// The state of one part.
#[derive(Clone, Debug, Default)]
pub struct Part {
    /// The searchers that it was sent to.
    pub tried: Vec<CompactString>,
    /// Its place among the waiting parts of its service, while it waits in order.
    pub ticket: Option<queue::Ticket>,
    /// The number of sends in flight.
    in_flight: usize,
    /// The number of sends that may have run, those in flight included.
    possibly_run: u32,
    rejected: u32,
    /// The number of sends whose new connection the searcher reset.
    reset: u32,
    hedge_at_us: Option<u64>,
    answer: Option<Answer>,
    /// The latest error response; becomes the result if no success follows.
    error_answer: Option<Answer>,
    /// The reason of a send that is postponed because all searchers are at their limit of concurrent sends.
    waiting: Option<Reason>,
    /// Why the part will not be answered.
    failed: Option<PartFailure>,
}

/// One request in progress.
pub struct Query {
    spec: sync::Arc<Spec>,
    size: cost::RequestSize,
    head_bytes: usize,
    /// While the query waits for room for its first sends.
    waiting_for_room: Option<send_limit::WaitGuard>,
    parts: Vec<Part>,
    sends: Vec<SendRecord>,
    may_have_run: bool,
    hedges_denied: u64,
    /// The time by which the query has to end because the instance stops; [`u64::MAX`] if it does not.
    ends_by_us: u64,
    /// The time from which the searchers accept the requests that they did not accept, as far as they have said.
    accepted_from_us: Option<u64>,
}

impl Query {
    /// Creates a query; [`Query::start`] starts it.
    pub fn new(spec: impl Into<sync::Arc<Spec>>) -> Self {
        let spec = spec.into();
        let parts = vec![Part::default(); spec.services.len()];
        Self {
            spec,
            size: cost::RequestSize::default(),
            head_bytes: 0,
            waiting_for_room: None,
            parts,
            sends: Vec::new(),
            may_have_run: false,
            hedges_denied: 0,
            ends_by_us: u64::MAX,
            accepted_from_us: None,
        }
    }

    /// Sets the size of the request, which affects its expected work.
    pub fn set_size(&mut self, size: cost::RequestSize) {
        self.size = size;
    }

    /// Returns the size of the request.
    pub fn size(&self) -> cost::RequestSize {
        self.size
    }

    /// Sets the length of the request's head, which each send copies.
    pub fn set_head_bytes(&mut self, head_bytes: usize) {
        self.head_bytes = head_bytes;
    }

    /// Returns what the query has to do.
    pub fn spec(&self) -> &sync::Arc<Spec> {
        &self.spec
    }

    /// Returns all sends so far.
    pub fn sends(&self) -> &[SendRecord] {
        &self.sends
    }

    /// Returns how many times a hedge was denied for lack of budget.
    pub fn hedges_denied(&self) -> u64 {
        self.hedges_denied
    }

    /// Returns the services of the parts that failed, and the causes.
    pub fn failures(&self) -> impl Iterator<Item = (&config::ServiceName, PartFailure)> {
        let parts = self.spec.services.iter().zip(&self.parts);
        parts.filter_map(|(service, part)| Some((service, part.failed?)))
    }

    /// Whether nothing was sent because a part has no searcher in the request's home regions.
    pub fn lacks_home_searcher(&self) -> bool {
        let has_none = |part: &Part| part.failed == Some(PartFailure::NoSearcher);
        self.spec.homes.is_restricted() && self.sends.is_empty() && self.parts.iter().any(has_none)
    }

    /// Returns the number of answered parts.
    pub fn answered_count(&self) -> usize {
        self.parts.iter().filter(|part| part.answer.is_some()).count()
    }

    /// Makes the query end by `ends_by_us`, which may be before its deadline.
    pub fn limit_deadline(&mut self, ends_by_us: u64) {
        self.ends_by_us = ends_by_us;
    }

    /// Returns the time at which the query times out.
    pub fn deadline_us(&self) -> u64 {
        let margin_us = DEADLINE_MARGIN_US.min(self.spec.timeout_us / 10);
        let deadline_us = self.spec.arrived_us + self.spec.timeout_us - margin_us;
        deadline_us.min(self.ends_by_us)
    }

    /// Returns the time from which a gather may complete with some of its parts missing.
    fn partial_from_us(&self) -> u64 {
        let margin_us = self.spec.margin_us.min(self.spec.target_us / MARGIN_DIVISOR);
        let wait_us = self.spec.target_us.saturating_sub(margin_us + self.spec.waited_us);
        self.spec.arrived_us + wait_us
    }

    /// Starts the query. Returns a send for each part, except those that wait for a busy searcher or have
    /// none; no sends if too few parts have a searcher.
    pub fn start(&mut self, now_us: u64, context: &mut Context<'_>) -> Vec<Send> {
        let mut accepting_from_us = Vec::with_capacity(self.spec.services.len());
        for service in &self.spec.services {
            context.budgets.record_request(now_us, service, self.spec.priority);
            accepting_from_us.extend(context.record_arrival(now_us, &self.spec, service));
        }
        accepting_from_us.sort_unstable();
        let enough_from_us = accepting_from_us.get(self.spec.parts_min.saturating_sub(1)).copied();
        if enough_from_us.is_none_or(|from_us| from_us > self.spec.wait_until_us().max(now_us)) {
            let failure = match enough_from_us {
                Some(_) => PartFailure::Busy,
                None => PartFailure::NoSearcher,
            };
            context.record_refusal(enough_from_us);
            self.accepted_from_us = enough_from_us;
            for part in &mut self.parts {
                part.failed = Some(failure);
            }
            return Vec::new();
        }
        if !self.has_room_to_start(context) {
            let need = self.need(self.parts.len());
            self.waiting_for_room = Some(context.balancer.send_limit().wait(need));
            for part in &mut self.parts {
                part.waiting = Some(Reason::First);
            }
            return Vec::new();
        }
        let mut sends = Vec::with_capacity(self.parts.len());
        for part_index in 0..self.parts.len() {
            sends.extend(self.plan_send_or_wait(now_us, context, part_index, Reason::First));
        }
        sends
    }

    fn need(&self, count: usize) -> send_limit::Need {
        send_limit::Need { count, head_bytes: self.head_bytes, priority: self.spec.priority }
    }

    fn has_room_to_start(&self, context: &Context<'_>) -> bool {
        context.balancer.send_limit().has_room(self.need(self.parts.len()))
    }

    /// Records the end of the send with this number. Returns the sends to make in response.
    pub fn record_end(
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
            Outcome::ConnectionReset => {
                part.possibly_run -= 1;
                is_unsent = true;
                part.reset += 1;
                if part.reset <= RESETS_MAX {
                    // The part may wait for one of the searcher's open connections.
                    let searcher = &self.sends[number].endpoint.id;
                    part.tried.retain(|tried| tried != searcher);
                }
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

    /// Plans a send of a part that has none in flight. If all searchers are at this instance's limit of
    /// concurrent sends, or accept no requests for a short time, the part waits for one. If it can't be sent for
    /// another reason, has waited too long, or is known to have to, it fails.
    fn plan_send_or_wait(
        &mut self,
        now_us: u64,
        context: &mut Context<'_>,
        part_index: usize,
        reason: Reason,
    ) -> Option<Send> {
        match self.plan_send(now_us, context, part_index, reason) {
            Ok(send) => return Some(send),
            Err(PartFailure::Busy) => {
                let service = &self.spec.services[part_index];
                let part = &mut self.parts[part_index];
                let from_us = context.accepts_from_us(now_us, &self.spec, service, &part.tried);
                let wait_until_us = self.spec.wait_until_us();
                if now_us < wait_until_us && from_us.is_some_and(|us| us <= wait_until_us) {
                    part.waiting = Some(reason);
                } else {
                    context.leave(service, part.ticket.take());
                    self.accepted_from_us = self.accepted_from_us.max(from_us);
                    part.failed = Some(PartFailure::Busy);
                }
            }
            Err(failure) => self.parts[part_index].failed = Some(failure),
        }
        None
    }

    /// Handles the passing of time. Returns the hedges that are due and the sends that had to wait.
    pub fn tick(&mut self, now_us: u64, context: &mut Context<'_>) -> Vec<Send> {
        if self.waiting_for_room.is_some() {
            let has_room = self.has_room_to_start(context);
            if !has_room && now_us < self.spec.wait_until_us() {
                return Vec::new();
            }
            self.waiting_for_room = None;
            if !has_room {
                for part in &mut self.parts {
                    part.waiting = None;
                    part.failed = Some(PartFailure::Busy);
                }
                return Vec::new();
            }
        }
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

    /// Returns the time by which [`Query::tick`] and [`Query::completion`] have to be called next.
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

    /// Returns the result once the query has completed, `None` before. It moves the answers out of the query.
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
            return Some(self.failure(now_us));
        }
        let nothing_sent = self.sends.is_empty();
        if nothing_sent && now_us >= self.partial_from_us().min(self.deadline_us()) {
            return Some(self.not_run(now_us));
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

    fn not_run(&self, now_us: u64) -> Completion {
        let wait_us = self.accepted_from_us.map_or(0, |from_us| from_us.saturating_sub(now_us));
        let wait_ms = wait_us.div_ceil(1_000);
        let retry_after_ms = retry_after::unavailable_ms(wait_ms, self.spec.priority);
        Completion::NotRun { retry_after_ms }
    }

    fn failure(&mut self, now_us: u64) -> Completion {
        let is_in_flight = self.parts.iter().any(|part| part.in_flight > 0);
        if !self.may_have_run && !is_in_flight {
            return self.not_run(now_us);
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
        let need = self.need(1);
        let route = &self.spec.route;
        let priority = self.spec.priority;
        let median_processing_us = context.latencies.median_us(route);
        let median_processing_us =
            context.balancer.expected_work_us(now_us, route, self.size, median_processing_us);
        let part = &mut self.parts[part_index];
        let service = &self.spec.services[part_index];
        if !context.balancer.send_limit().has_room(need) {
            return Err(PartFailure::Busy);
        }
        if !context.takes_turn(now_us, &self.spec, service, part, reason) {
            return Err(PartFailure::Busy);
        }
        let cross_region_penalty_us = match reason {
            Reason::First => self.spec.target_us / CROSS_REGION_PENALTY_DIVISOR,
            Reason::Hedge | Reason::Retry | Reason::Reconnect => 0,
        };
        let profile = balancer::RequestProfile {
            median_processing_us,
            priority,
            cross_region_penalty_us,
            homes: &self.spec.homes,
        };
        let found = context.balancer.find(now_us, service, &part.tried, profile);
        let candidate = match found {
            Some(candidate) => candidate,
            None => {
                let accepts = context.accepts_from_us(now_us, &self.spec, service, &part.tried);
                return Err(accepts.map_or(PartFailure::NoSearcher, |_| PartFailure::Busy));
            }
        };
        let is_extra = matches!(reason, Reason::Hedge | Reason::Retry);
        if is_extra && !context.budgets.spend(now_us, service, self.spec.priority) {
            return Err(PartFailure::NoBudget);
        }
        let choice = context.start_send(now_us, &self.spec, service, part, candidate);
        let held = context.balancer.send_limit().start_send(self.head_bytes);
        context.balancer.close_excess_idle();
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
        Ok(Send { number, choice, median_processing_us, held })
    }
}

fn outcome_name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered(answer) if answer.status.is_success() => "answered",
        Outcome::Answered(_) => "error_answer",
        Outcome::NotRun => "rejected",
        Outcome::NotSent => "not_sent",
        Outcome::ConnectionReset => "connection_reset",
        Outcome::Lost => "lost",
    }
}
