//! Slot scheduling for one backend server, done by its owner.
//!
//! No more calls are started than there are slots. Each rank has a bounded queue and a floor: a
//! share of the slots' time that it is guaranteed while it has calls. The remaining time goes to
//! the most urgent rank with calls. A call that cannot be answered by its deadline is refused as
//! soon as this is known.

mod call;

pub use call::{Actions, CallRequest, Cancelled, Cause, Limits, OfferResult, Outcome, RefusedCall};

use crate::estimate;
use crate::ids;
use crate::policy;
use crate::rank;
use std::collections;

/// The time constant of the mean service times.
const SERVICE_TIME_CONSTANT_US: u64 = 1_000_000;
/// The maximum floor credit of a rank, in service times per slot that its floor amounts to, which is
/// at least one.
const CREDIT_MAX_SERVICE_TIMES: f64 = 2.0;
/// The maximum floor debt of a rank, in service times per slot that its floor amounts to, which is
/// at least one.
const DEBT_MAX_SERVICE_TIMES: f64 = 4.0;
/// How long a slot stays unused after a sign that another instance calls the backend server.
const SLOT_RESTORE_US: u64 = 200_000;

#[derive(Clone, Copy, Debug)]
struct Running {
    call: ids::AttemptId,
    rank: rank::Rank,
    /// The expected service time, subtracted from the rank's credit at the start.
    charged_us: f64,
}

#[derive(Clone, Debug)]
struct RankQueue {
    waiting: collections::VecDeque<CallRequest>,
    /// The guaranteed share of the slots' time, from 0 to 1.
    floor: f64,
    /// The slot time guaranteed by the floor, minus the slot time used by the rank's calls. Negative
    /// if more was used.
    credit_us: f64,
    service: estimate::DecayingMean,
}

/// The slots and the queued calls of one backend server.
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
    /// Creates slots that are all free.
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

    /// Starts, queues or refuses a call.
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

    /// Frees the slot of a started call, which held it for `service_us`, and starts waiting calls.
    /// Does nothing for an unknown call.
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

    /// Removes a call that waits. A running call keeps its slot until [`Slots::finish`].
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

    /// Starts waiting calls and refuses those that cannot meet their deadline. Must be called every
    /// few milliseconds.
    pub fn tick(&mut self, now_us: u64) -> Actions {
        self.advance(now_us);
        let mut actions = self.start_waiting(now_us);
        for index in 0..self.queues.len() {
            self.refuse_late(now_us, index, &mut actions);
        }
        actions
    }

    /// The number of running calls.
    pub fn in_use(&self) -> usize {
        self.running.len()
    }

    /// The number of waiting calls.
    pub fn queued(&self) -> usize {
        self.queues.iter().map(|queue| queue.waiting.len()).sum()
    }

    /// The number of waiting calls of each rank.
    pub fn queued_by_rank(&self) -> [usize; rank::RANK_COUNT] {
        [0, 1, 2].map(|index: usize| self.queues[index].waiting.len())
    }

    /// The number of slots that may be used now. It is reduced while another instance seems to call
    /// the backend server.
    pub fn usable_slots(&self) -> usize {
        self.usable_slots
    }

    /// The recent mean service time of the rank.
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
        let measured = self.queues.iter().find_map(|queue| queue.service.mean());
        measured.unwrap_or(self.limits.service_us as f64)
    }

    /// Reduces the usable slots by one, but not below `minimum`.
    fn reduce_slots(&mut self, now_us: u64, minimum: usize) {
        self.usable_slots = (self.usable_slots - 1).max(minimum).min(self.usable_slots);
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

    /// The queue to serve next: the most urgent one with enough floor credit, else the most urgent
    /// one that is not empty.
    fn next_queue(&self) -> Option<usize> {
        let mut most_urgent = None;
        for (index, queue) in self.queues.iter().enumerate() {
            if queue.waiting.is_empty() {
                continue;
            }
            if queue.floor > 0.0 && queue.credit_us >= self.queue_service_us(index) {
                return Some(index);
            }
            most_urgent = most_urgent.or(Some(index));
        }
        most_urgent
    }

    /// Whether a call at the head of its queue would be answered too late if started now. False
    /// while nothing runs, so that a wrong service time estimate is always corrected by a new
    /// measurement.
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

    /// The expected wait of a call with `ahead` calls of its rank before it.
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

    /// Refuses the waiting calls of a queue that cannot meet their deadline.
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
