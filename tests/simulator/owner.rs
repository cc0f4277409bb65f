//! The owners and searchers of the simulator: slots, service times and replies.

use super::{Event, LINK_DELAY_US, Run, SEARCHER_QUEUE_MAX, TICK_PERIOD_US};
use tarragondoor::{ids, slots};

impl Run {
    pub(super) fn handle_offer(&mut self, call: usize) {
        let record = &self.calls[call];
        if self
            .setup
            .silent
            .is_some_and(|(silent, from_us)| silent == record.searcher && self.now_us >= from_us)
        {
            return;
        }
        let query = &self.queries[record.query];
        let deadline_us = query.arrived_us + self.setup.deadlines_us[query.rank.index()];
        let request =
            slots::CallRequest { call: ids::AttemptId(call as u64), rank: query.rank, deadline_us };
        let owner = &mut self.owners[record.searcher][record.owner];
        owner.controller.record_offered(self.now_us, query.rank, query.weight);
        match owner.slots.offer(self.now_us, request) {
            slots::OfferResult::Start => self.start(call),
            slots::OfferResult::Queued => {}
            slots::OfferResult::Refused(_) => self.send_reply(call, false),
            slots::OfferResult::Duplicate => unreachable!("call ids are unique"),
        }
    }

    pub(super) fn start(&mut self, call: usize) {
        self.calls[call].started_us = self.now_us;
        let searcher_index = self.calls[call].searcher;
        let in_use = self.owners[searcher_index].iter().map(|owner| owner.slots.in_use()).sum();
        self.max_in_use = self.max_in_use.max(in_use);
        let has_two_owners = |(from_us, to_us)| self.now_us >= from_us && self.now_us < to_us;
        if self.setup.two_owners.is_some_and(has_two_owners) {
            self.starts_with_two_owners += 1;
            self.excess_slots += in_use.saturating_sub(usize::from(self.setup.slots));
        }
        let searcher = &mut self.searchers[searcher_index];
        if searcher.running < usize::from(self.setup.slots) {
            searcher.running += 1;
            self.execute(call);
        } else if searcher.queue.len() < SEARCHER_QUEUE_MAX {
            searcher.queue.push_back(call);
        } else {
            self.release(call, slots::Outcome::Refused);
        }
    }

    pub(super) fn execute(&mut self, call: usize) {
        let searcher_index = self.calls[call].searcher;
        let mut mean_us = self.setup.service_us;
        if self.uniform() < self.setup.long_share {
            mean_us *= 10.0;
        }
        for (slow, factor, from_us) in &self.setup.slow {
            if *slow == searcher_index && self.now_us >= *from_us {
                mean_us *= factor;
            }
        }
        let service_us = self.exponential(mean_us) as u64;
        self.push(service_us, Event::Done(call));
    }

    pub(super) fn handle_done(&mut self, call: usize) {
        let searcher = &mut self.searchers[self.calls[call].searcher];
        searcher.running -= 1;
        let outcome = match searcher.queue.is_empty() {
            true => slots::Outcome::Answered,
            false => slots::Outcome::Contended,
        };
        if let Some(next) = searcher.queue.pop_front() {
            searcher.running += 1;
            self.execute(next);
        }
        self.release(call, outcome);
    }

    pub(super) fn release(&mut self, call: usize, outcome: slots::Outcome) {
        let record = &self.calls[call];
        let rank = self.queries[record.query].rank;
        let service_us = self.now_us - record.started_us;
        let owner = &mut self.owners[record.searcher][record.owner];
        if outcome != slots::Outcome::Refused {
            owner.controller.record_answer(self.now_us, rank, service_us);
        }
        let id = ids::AttemptId(call as u64);
        let actions = owner.slots.finish(self.now_us, id, service_us, outcome);
        self.send_reply(call, outcome != slots::Outcome::Refused);
        self.apply(actions);
    }

    pub(super) fn apply(&mut self, actions: slots::Actions) {
        for call in actions.start {
            self.start(call.0 as usize);
        }
        for refused in actions.refuse {
            self.send_reply(refused.call.0 as usize, false);
        }
    }

    pub(super) fn send_reply(&mut self, call: usize, answered: bool) {
        let record = &self.calls[call];
        let rank = self.queries[record.query].rank;
        let owner = &mut self.owners[record.searcher][record.owner];
        let usable_slots = owner.slots.usable_slots();
        let queued = owner.slots.queued_by_rank();
        let fractions = owner.controller.fractions(self.now_us, usable_slots, queued).0;
        let service_us = owner.slots.service_us(rank) as u32;
        let in_use = owner.slots.in_use() as u32;
        let report = [usable_slots as u32, in_use, owner.slots.queued() as u32, service_us];
        self.push(LINK_DELAY_US, Event::Reply(call, answered, fractions, report));
    }

    pub(super) fn tick(&mut self) {
        for searcher in 0..self.owners.len() {
            for owner in 0..2 {
                let actions = self.owners[searcher][owner].slots.tick(self.now_us);
                self.apply(actions);
            }
        }
        if self.now_us < self.setup.end_us {
            self.push(TICK_PERIOD_US, Event::Tick);
        }
    }

    pub(super) fn cancel(&mut self, call: usize) {
        let record = &self.calls[call];
        let owner = &mut self.owners[record.searcher][record.owner];
        owner.slots.cancel(self.now_us, ids::AttemptId(call as u64));
    }
}
