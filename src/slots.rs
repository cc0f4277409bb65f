//! The slots of one backend server, as its owner hands them out.
//!
//! Never more calls than slots are started. Each rank has a bounded queue and a floor: a share of the
//! slots' time that it gets whenever it asks for it. What the floors leave goes to the most urgent
//! rank that asks. A call that can't be answered by its deadline is refused as soon as that is seen.

mod call;

pub use call::{Cancelled, Cause, Limits, Outcome, Refused, Step, Ticket, Verdict};

use crate::estimate;
use crate::ids;
use crate::policy;
use crate::rank;
use std::collections;

/// How long service times are remembered.
const SERVICE_TIME_CONSTANT_US: u64 = 1_000_000;
/// How many service times of floor credit an idle rank may save up, for each slot of its floor.
const CREDIT_SAVED: f64 = 2.0;
/// How many service times of floor credit a rank may owe, for each slot of its floor.
const CREDIT_OWED: f64 = 4.0;
/// After a sign that the backend server is called by others, one slot fewer is used for this long.
const SLOT_RETURN_US: u64 = 200_000;

#[derive(Clone, Copy, Debug)]
struct Running {
    call: ids::AttemptId,
    rank: rank::Rank,
    charged_us: f64,
}

#[derive(Clone, Debug)]
struct Lane {
    queue: collections::VecDeque<Ticket>,
    floor: f64,
    credit_us: f64,
    service: estimate::DecayingMean,
}

/// The slots of one backend server.
#[derive(Clone, Debug)]
pub struct Slots {
    policy: policy::Policy,
    limits: Limits,
    lanes: [Lane; rank::RANK_COUNT],
    running: Vec<Running>,
    usable_slots: usize,
    slot_returns_us: u64,
    now_us: u64,
}

impl Slots {
    /// Slots that are all free.
    pub fn new(policy: policy::Policy, limits: Limits) -> Self {
        let lane = |index: usize| Lane {
            queue: collections::VecDeque::new(),
            floor: f64::from(limits.floors_percent[index]) / 100.0,
            credit_us: 0.0,
            service: estimate::DecayingMean::new(SERVICE_TIME_CONSTANT_US),
        };
        Self {
            policy,
            limits,
            lanes: [lane(0), lane(1), lane(2)],
            running: Vec::with_capacity(usize::from(limits.slots)),
            usable_slots: usize::from(limits.slots),
            slot_returns_us: 0,
            now_us: 0,
        }
    }

    /// Takes in a call.
    pub fn offer(&mut self, now_us: u64, ticket: Ticket) -> Verdict {
        self.advance(now_us);
        if ticket.deadline_us <= now_us {
            return Verdict::Refused(Cause::Expired);
        }
        if self.holds(ticket.call) {
            return Verdict::Duplicate;
        }
        let lane = self.lane_of(ticket.rank);
        if self.queued() == 0 && self.running.len() < self.usable_slots {
            self.start(ticket);
            return Verdict::Start;
        }
        if self.lanes[lane].queue.len() >= usize::from(self.limits.queue_max) {
            return Verdict::Refused(Cause::QueueFull);
        }
        if self.policy == policy::Policy::Full && !self.in_time(lane, &ticket) {
            return Verdict::Refused(Cause::TooLate);
        }
        self.lanes[lane].queue.push_back(ticket);
        Verdict::Queued
    }

    /// Takes back the slot of a started call. `service_us` is the time from its start to its end.
    pub fn finish(
        &mut self,
        now_us: u64,
        call: ids::AttemptId,
        service_us: u64,
        outcome: Outcome,
    ) -> Step {
        self.advance(now_us);
        let Some(index) = self.running.iter().position(|running| running.call == call) else {
            return Step::default();
        };
        let running = self.running.swap_remove(index);
        let lane = self.lane_of(running.rank);
        self.lanes[lane].credit_us += running.charged_us - service_us as f64;
        match outcome {
            Outcome::Answered => self.lanes[lane].service.record(now_us, service_us as f64),
            Outcome::Crowded => {
                self.lanes[lane].service.record(now_us, service_us as f64);
                self.lose_slot(now_us, usize::from(self.limits.slots).div_ceil(2));
            }
            Outcome::Refused => self.lose_slot(now_us, 1),
            Outcome::Failed => {}
        }
        self.fill(now_us)
    }

    /// Gives up a call.
    pub fn cancel(&mut self, now_us: u64, call: ids::AttemptId) -> Cancelled {
        self.advance(now_us);
        for lane in &mut self.lanes {
            let Some(index) = lane.queue.iter().position(|ticket| ticket.call == call) else {
                continue;
            };
            lane.queue.remove(index);
            return Cancelled::Dropped;
        }
        if self.running.iter().any(|running| running.call == call) {
            return Cancelled::Running;
        }
        Cancelled::Unknown
    }

    /// Refuses the calls that wait in vain. To be called every few milliseconds.
    pub fn tick(&mut self, now_us: u64) -> Step {
        self.advance(now_us);
        let mut step = self.fill(now_us);
        for lane in 0..self.lanes.len() {
            self.refuse_late(now_us, lane, &mut step);
        }
        step
    }

    /// How many calls are started.
    pub fn in_use(&self) -> usize {
        self.running.len()
    }

    /// How many calls wait.
    pub fn queued(&self) -> usize {
        self.lanes.iter().map(|lane| lane.queue.len()).sum()
    }

    /// How many calls of each rank wait.
    pub fn queued_by_rank(&self) -> [usize; rank::RANK_COUNT] {
        [0, 1, 2].map(|index: usize| self.lanes[index].queue.len())
    }

    /// How many slots may be used now: fewer than there are while others seem to call the backend server.
    pub fn usable_slots(&self) -> usize {
        self.usable_slots
    }

    /// The service time of the rank, as seen lately.
    pub fn service_us(&self, rank: rank::Rank) -> f64 {
        self.lane_service_us(rank.index())
    }

    fn lane_of(&self, rank: rank::Rank) -> usize {
        match self.policy {
            policy::Policy::Plain => 0,
            policy::Policy::Full => rank.index(),
        }
    }

    fn holds(&self, call: ids::AttemptId) -> bool {
        let running = self.running.iter().any(|running| running.call == call);
        running || self.lanes.iter().any(|lane| lane.queue.iter().any(|ticket| ticket.call == call))
    }

    fn lane_service_us(&self, lane: usize) -> f64 {
        if let Some(mean_us) = self.lanes[lane].service.mean() {
            return mean_us;
        }
        let known = self.lanes.iter().find_map(|lane| lane.service.mean());
        known.unwrap_or(self.limits.service_us as f64)
    }

    /// Uses one slot fewer, but `least` at least.
    fn lose_slot(&mut self, now_us: u64, least: usize) {
        self.usable_slots = (self.usable_slots - 1).max(least).min(self.usable_slots);
        self.slot_returns_us = now_us + SLOT_RETURN_US;
    }

    fn advance(&mut self, now_us: u64) {
        let slots = f64::from(self.limits.slots);
        let elapsed_us = now_us.saturating_sub(self.now_us) as f64;
        self.now_us = self.now_us.max(now_us);
        for index in 0..self.lanes.len() {
            let service_us = self.lane_service_us(index);
            let lane = &mut self.lanes[index];
            let unit_us = service_us * (slots * lane.floor).max(1.0);
            lane.credit_us += elapsed_us * slots * lane.floor;
            lane.credit_us = lane.credit_us.clamp(-CREDIT_OWED * unit_us, CREDIT_SAVED * unit_us);
        }
        if self.usable_slots < usize::from(self.limits.slots) && now_us >= self.slot_returns_us {
            self.usable_slots += 1;
            self.slot_returns_us = now_us + SLOT_RETURN_US;
        }
    }

    fn start(&mut self, ticket: Ticket) {
        let lane = self.lane_of(ticket.rank);
        let charged_us = self.lane_service_us(lane);
        self.lanes[lane].credit_us -= charged_us;
        self.running.push(Running { call: ticket.call, rank: ticket.rank, charged_us });
    }

    fn fill(&mut self, now_us: u64) -> Step {
        let mut step = Step::default();
        while self.running.len() < self.usable_slots {
            let Some(lane) = self.next_lane() else {
                break;
            };
            let Some(ticket) = self.lanes[lane].queue.pop_front() else {
                break;
            };
            if ticket.deadline_us <= now_us {
                step.refuse.push(Refused { call: ticket.call, cause: Cause::Expired });
                continue;
            }
            if self.hopeless(now_us, lane, &ticket) {
                step.refuse.push(Refused { call: ticket.call, cause: Cause::TooLate });
                continue;
            }
            self.start(ticket);
            step.start.push(ticket.call);
        }
        step
    }

    /// A rank that is owed its floor, else the most urgent one that waits.
    fn next_lane(&self) -> Option<usize> {
        let mut first = None;
        for (index, lane) in self.lanes.iter().enumerate() {
            if lane.queue.is_empty() {
                continue;
            }
            if lane.floor > 0.0 && lane.credit_us >= self.lane_service_us(index) {
                return Some(index);
            }
            first = first.or(Some(index));
        }
        first
    }

    /// Whether a call at the head would be answered too late. Something else must be running, so that
    /// a wrong estimate is always put right.
    fn hopeless(&self, now_us: u64, lane: usize, ticket: &Ticket) -> bool {
        if self.policy == policy::Policy::Plain || self.running.is_empty() {
            return false;
        }
        now_us as f64 + self.lane_service_us(lane) > ticket.deadline_us as f64
    }

    fn in_time(&self, lane: usize, ticket: &Ticket) -> bool {
        let wait_us = self.wait_us(lane, self.lanes[lane].queue.len());
        let answered_us = self.now_us as f64 + wait_us + self.lane_service_us(lane);
        answered_us <= ticket.deadline_us as f64
    }

    /// How long a call waits that has `ahead` calls of its rank before it.
    fn wait_us(&self, lane: usize, ahead: usize) -> f64 {
        let slots = self.usable_slots as f64;
        let own_us = ahead as f64 * self.lane_service_us(lane);
        let mut all_us = own_us;
        for more_urgent in 0..lane {
            all_us +=
                self.lanes[more_urgent].queue.len() as f64 * self.lane_service_us(more_urgent);
        }
        let floor = self.lanes[lane].floor;
        if floor <= 0.0 {
            return all_us / slots;
        }
        (all_us / slots).min(own_us / (slots * floor))
    }

    fn refuse_late(&mut self, now_us: u64, lane: usize, step: &mut Step) {
        let waiting = std::mem::take(&mut self.lanes[lane].queue);
        for ticket in waiting {
            if ticket.deadline_us <= now_us {
                step.refuse.push(Refused { call: ticket.call, cause: Cause::Expired });
                continue;
            }
            if self.policy == policy::Policy::Full && !self.in_time(lane, &ticket) {
                step.refuse.push(Refused { call: ticket.call, cause: Cause::TooLate });
                continue;
            }
            self.lanes[lane].queue.push_back(ticket);
        }
    }
}
