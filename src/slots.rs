//! The slots of one backend server, as its owner hands them out.
//!
//! Never more calls than slots are started. Each rank has a bounded queue and a floor: a share of the
//! slots' time that it gets whenever it asks for it. What the floors leave goes to the most urgent
//! rank that asks. A call that can't be answered by its deadline is refused as soon as that is seen.

mod call;

pub use call::{Actions, CallRequest, Cancelled, Cause, Limits, OfferResult, Outcome, RefusedCall};

use crate::estimate;
use crate::ids;
use crate::policy;
use crate::rank;
use std::collections;

/// How long service times are remembered.
const SERVICE_TIME_CONSTANT_US: u64 = 1_000_000;
/// How many service times of floor credit an idle rank may save up, for each slot of its floor.
const CREDIT_MAX_SERVICE_TIMES: f64 = 2.0;
/// How many service times of floor credit a rank may owe, for each slot of its floor.
const DEBT_MAX_SERVICE_TIMES: f64 = 4.0;
/// After a sign that the backend server is called by others, one slot fewer is used for this long.
const SLOT_RESTORE_US: u64 = 200_000;

#[derive(Clone, Copy, Debug)]
struct Running {
    call: ids::AttemptId,
    rank: rank::Rank,
    charged_us: f64,
}

#[derive(Clone, Debug)]
struct RankQueue {
    waiting: collections::VecDeque<CallRequest>,
    floor: f64,
    credit_us: f64,
    service: estimate::DecayingMean,
}

/// The slots of one backend server.
#[derive(Clone, Debug)]
pub struct Slots {
    policy: policy::Policy,
    limits: Limits,
    queues: [RankQueue; rank::RANK_COUNT],
    running: Vec<Running>,
    usable_slots: usize,
    next_restore_us: u64,
    now_us: u64,
}

impl Slots {
    /// Slots that are all free.
    pub fn new(policy: policy::Policy, limits: Limits) -> Self {
        let queue = |index: usize| RankQueue {
            waiting: collections::VecDeque::new(),
            floor: f64::from(limits.floors_percent[index]) / 100.0,
            credit_us: 0.0,
            service: estimate::DecayingMean::new(SERVICE_TIME_CONSTANT_US),
        };
        Self {
            policy,
            limits,
            queues: [queue(0), queue(1), queue(2)],
            running: Vec::with_capacity(usize::from(limits.slots)),
            usable_slots: usize::from(limits.slots),
            next_restore_us: 0,
            now_us: 0,
        }
    }

    /// Takes in a call.
    pub fn offer(&mut self, now_us: u64, request: CallRequest) -> OfferResult {
        self.advance(now_us);
        if request.deadline_us <= now_us {
            return OfferResult::Refused(Cause::Expired);
        }
        if self.contains(request.call) {
            return OfferResult::Duplicate;
        }
        let index = self.queue_index(request.rank);
        if self.queued() == 0 && self.running.len() < self.usable_slots {
            self.start(request);
            return OfferResult::Start;
        }
        if self.queues[index].waiting.len() >= usize::from(self.limits.queue_max) {
            return OfferResult::Refused(Cause::QueueFull);
        }
        if self.policy == policy::Policy::Full && !self.can_finish_in_time(index, &request) {
            return OfferResult::Refused(Cause::TooLate);
        }
        self.queues[index].waiting.push_back(request);
        OfferResult::Queued
    }

    /// Takes back the slot of a started call. `service_us` is the time from its start to its end.
    pub fn finish(
        &mut self,
        now_us: u64,
        call: ids::AttemptId,
        service_us: u64,
        outcome: Outcome,
    ) -> Actions {
        self.advance(now_us);
        let Some(position) = self.running.iter().position(|running| running.call == call) else {
            return Actions::default();
        };
        let running = self.running.swap_remove(position);
        let index = self.queue_index(running.rank);
        self.queues[index].credit_us += running.charged_us - service_us as f64;
        match outcome {
            Outcome::Answered => self.queues[index].service.record(now_us, service_us as f64),
            Outcome::Contended => {
                self.queues[index].service.record(now_us, service_us as f64);
                self.reduce_slots(now_us, usize::from(self.limits.slots).div_ceil(2));
            }
            Outcome::Refused => self.reduce_slots(now_us, 1),
            Outcome::Failed => {}
        }
        self.start_waiting(now_us)
    }

    /// Gives up a call.
    pub fn cancel(&mut self, now_us: u64, call: ids::AttemptId) -> Cancelled {
        self.advance(now_us);
        for queue in &mut self.queues {
            let Some(index) = queue.waiting.iter().position(|request| request.call == call) else {
                continue;
            };
            queue.waiting.remove(index);
            return Cancelled::Dropped;
        }
        if self.running.iter().any(|running| running.call == call) {
            return Cancelled::Running;
        }
        Cancelled::Unknown
    }

    /// Refuses the calls that wait in vain. To be called every few milliseconds.
    pub fn tick(&mut self, now_us: u64) -> Actions {
        self.advance(now_us);
        let mut actions = self.start_waiting(now_us);
        for index in 0..self.queues.len() {
            self.refuse_late(now_us, index, &mut actions);
        }
        actions
    }

    /// How many calls are started.
    pub fn in_use(&self) -> usize {
        self.running.len()
    }

    /// How many calls wait.
    pub fn queued(&self) -> usize {
        self.queues.iter().map(|queue| queue.waiting.len()).sum()
    }

    /// How many calls of each rank wait.
    pub fn queued_by_rank(&self) -> [usize; rank::RANK_COUNT] {
        [0, 1, 2].map(|index: usize| self.queues[index].waiting.len())
    }

    /// How many slots may be used now: fewer than there are while others seem to call the backend server.
    pub fn usable_slots(&self) -> usize {
        self.usable_slots
    }

    /// The service time of the rank, as seen lately.
    pub fn service_us(&self, rank: rank::Rank) -> f64 {
        self.queue_service_us(rank.index())
    }

    fn queue_index(&self, rank: rank::Rank) -> usize {
        match self.policy {
            policy::Policy::Plain => 0,
            policy::Policy::Full => rank.index(),
        }
    }

    fn contains(&self, call: ids::AttemptId) -> bool {
        let running = self.running.iter().any(|running| running.call == call);
        running
            || self
                .queues
                .iter()
                .any(|queue| queue.waiting.iter().any(|request| request.call == call))
    }

    fn queue_service_us(&self, index: usize) -> f64 {
        if let Some(mean_us) = self.queues[index].service.mean() {
            return mean_us;
        }
        let known = self.queues.iter().find_map(|queue| queue.service.mean());
        known.unwrap_or(self.limits.service_us as f64)
    }

    /// Uses one slot fewer, but `least` at least.
    fn reduce_slots(&mut self, now_us: u64, least: usize) {
        self.usable_slots = (self.usable_slots - 1).max(least).min(self.usable_slots);
        self.next_restore_us = now_us + SLOT_RESTORE_US;
    }

    fn advance(&mut self, now_us: u64) {
        let slots = f64::from(self.limits.slots);
        let elapsed_us = now_us.saturating_sub(self.now_us) as f64;
        self.now_us = self.now_us.max(now_us);
        for index in 0..self.queues.len() {
            let service_us = self.queue_service_us(index);
            let queue = &mut self.queues[index];
            let unit_us = service_us * (slots * queue.floor).max(1.0);
            queue.credit_us += elapsed_us * slots * queue.floor;
            queue.credit_us = queue
                .credit_us
                .clamp(-DEBT_MAX_SERVICE_TIMES * unit_us, CREDIT_MAX_SERVICE_TIMES * unit_us);
        }
        if self.usable_slots < usize::from(self.limits.slots) && now_us >= self.next_restore_us {
            self.usable_slots += 1;
            self.next_restore_us = now_us + SLOT_RESTORE_US;
        }
    }

    fn start(&mut self, request: CallRequest) {
        let index = self.queue_index(request.rank);
        let charged_us = self.queue_service_us(index);
        self.queues[index].credit_us -= charged_us;
        self.running.push(Running { call: request.call, rank: request.rank, charged_us });
    }

    fn start_waiting(&mut self, now_us: u64) -> Actions {
        let mut actions = Actions::default();
        while self.running.len() < self.usable_slots {
            let Some(index) = self.next_queue() else {
                break;
            };
            let Some(request) = self.queues[index].waiting.pop_front() else {
                break;
            };
            if request.deadline_us <= now_us {
                actions.refuse.push(RefusedCall { call: request.call, cause: Cause::Expired });
                continue;
            }
            if self.is_too_late_to_start(now_us, index, &request) {
                actions.refuse.push(RefusedCall { call: request.call, cause: Cause::TooLate });
                continue;
            }
            self.start(request);
            actions.start.push(request.call);
        }
        actions
    }

    /// A rank that is owed its floor, else the most urgent one that waits.
    fn next_queue(&self) -> Option<usize> {
        let mut first = None;
        for (index, queue) in self.queues.iter().enumerate() {
            if queue.waiting.is_empty() {
                continue;
            }
            if queue.floor > 0.0 && queue.credit_us >= self.queue_service_us(index) {
                return Some(index);
            }
            first = first.or(Some(index));
        }
        first
    }

    /// Whether a call at the head would be answered too late. Something else must be running, so that
    /// a wrong estimate is always put right.
    fn is_too_late_to_start(&self, now_us: u64, index: usize, request: &CallRequest) -> bool {
        if self.policy == policy::Policy::Plain || self.running.is_empty() {
            return false;
        }
        now_us as f64 + self.queue_service_us(index) > request.deadline_us as f64
    }

    fn can_finish_in_time(&self, index: usize, request: &CallRequest) -> bool {
        let wait_us = self.wait_us(index, self.queues[index].waiting.len());
        let answered_us = self.now_us as f64 + wait_us + self.queue_service_us(index);
        answered_us <= request.deadline_us as f64
    }

    /// How long a call waits that has `ahead` calls of its rank before it.
    fn wait_us(&self, index: usize, ahead: usize) -> f64 {
        let slots = self.usable_slots as f64;
        let own_us = ahead as f64 * self.queue_service_us(index);
        let mut all_us = own_us;
        for more_urgent in 0..index {
            all_us +=
                self.queues[more_urgent].waiting.len() as f64 * self.queue_service_us(more_urgent);
        }
        let floor = self.queues[index].floor;
        if floor <= 0.0 {
            return all_us / slots;
        }
        (all_us / slots).min(own_us / (slots * floor))
    }

    fn refuse_late(&mut self, now_us: u64, index: usize, actions: &mut Actions) {
        let waiting = std::mem::take(&mut self.queues[index].waiting);
        for request in waiting {
            if request.deadline_us <= now_us {
                actions.refuse.push(RefusedCall { call: request.call, cause: Cause::Expired });
                continue;
            }
            if self.policy == policy::Policy::Full && !self.can_finish_in_time(index, &request) {
                actions.refuse.push(RefusedCall { call: request.call, cause: Cause::TooLate });
                continue;
            }
            self.queues[index].waiting.push_back(request);
        }
    }
}
