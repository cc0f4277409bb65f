//! The waiting parts of one service in their order: start-time fair queueing among flows (tenants, or routes for
//! requests without one) within each class of urgency.

use compact_str::CompactString;

/// A part that has not been seen for this long waits no more: its query has ended. Waiting parts are polled more often.
const ABSENT_US: u64 = 40_000;
/// The shortest time between two searches for absent parts.
const PRUNE_PERIOD_US: u64 = 10_000;
/// The number of flows above which those that are not ahead of the others are forgotten.
const FLOWS_KEPT: usize = 64;

/// The place of a part in the order; a smaller one goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// False for parts whose flow or route was served much less often than all: they go first.
    pub has_fair_share: bool,
    /// The rank by the tenant's and the route's priority; 0 is the most urgent.
    pub rank: u8,
    /// The class of the remaining time to the deadline when the part arrived: its binary logarithm.
    pub deadline_class: u32,
    /// The work that flows had been given, in virtual microseconds, from which it is the flow's turn.
    start_tag_us: u64,
    number: u64,
}

/// A part that waits, held by its query.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// The part's place.
    pub place: Place,
    /// When it began to wait.
    pub since_us: u64,
}

#[derive(Debug)]
struct Waiting {
    place: Place,
    flow: CompactString,
    work_us: u64,
    seen_us: u64,
}

/// The waiting parts of one service.
#[derive(Debug, Default)]
pub struct Queue {
    /// Sorted by place.
    waiting: Vec<Waiting>,
    /// The virtual time at which each flow has used what it was given; sorted by flow.
    finish_tags: Vec<(CompactString, u64)>,
    /// The start tag of the part that was sent last.
    virtual_us: u64,
    next_number: u64,
    pruned_us: u64,
}

impl Queue {
    /// Returns the number of waiting parts.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no part waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the place that a part of `flow` would get now.
    pub fn place(&self, flow: &str, is_underserved: bool, rank: u8, remaining_us: u64) -> Place {
        let finish_us = self.flow_position(flow).map_or(0, |at| self.finish_tags[at].1);
        Place {
            has_fair_share: !is_underserved,
            rank,
            deadline_class: remaining_us.max(1).ilog2(),
            start_tag_us: finish_us.max(self.virtual_us),
            number: self.next_number,
        }
    }

    /// Returns the number of waiting parts before `place`, and the sum of their work.
    pub fn ahead(&self, place: &Place) -> (usize, u64) {
        let count = self.waiting.partition_point(|waiting| waiting.place < *place);
        (count, self.waiting[..count].iter().map(|waiting| waiting.work_us).sum())
    }

    /// Returns the number of waiting parts before `place`.
    pub fn position(&self, place: &Place) -> usize {
        self.waiting.partition_point(|waiting| waiting.place < *place)
    }

    /// Adds a part at a place returned by [`Queue::place`], or notes that it still waits.
    pub fn wait(&mut self, now_us: u64, place: Place, flow: &str, work_us: u64) {
        match self.waiting.binary_search_by(|waiting| waiting.place.cmp(&place)) {
            Ok(at) => self.waiting[at].seen_us = now_us,
            Err(at) => {
                let waiting = Waiting { place, flow: flow.into(), work_us, seen_us: now_us };
                self.waiting.insert(at, waiting);
                if place.number == self.next_number {
                    self.next_number += 1;
                }
                let finish_us = self.flow_position(flow).map_or(0, |at| self.finish_tags[at].1);
                self.set_finish(flow, finish_us.max(place.start_tag_us + work_us));
            }
        }
        if now_us.saturating_sub(self.pruned_us) >= PRUNE_PERIOD_US {
            self.pruned_us = now_us;
            self.prune(now_us);
        }
    }

    /// Removes a part that waits no longer without having been sent. Its flow has not used the work.
    pub fn leave(&mut self, place: &Place) {
        if let Ok(at) = self.waiting.binary_search_by(|waiting| waiting.place.cmp(place)) {
            let waiting = self.waiting.remove(at);
            self.return_work(&waiting);
        }
    }

    /// Records that a part was sent, which may have waited at `place`.
    pub fn record_sent(&mut self, place: Option<&Place>, flow: &str, work_us: u64) {
        let waited =
            place.map(|place| (place, self.waiting.binary_search_by(|w| w.place.cmp(place))));
        let start_us = match waited {
            Some((place, Ok(at))) => {
                self.waiting.remove(at);
                place.start_tag_us
            }
            _ => {
                let finish_us = self.flow_position(flow).map_or(0, |at| self.finish_tags[at].1);
                let start_us = finish_us.max(self.virtual_us);
                self.set_finish(flow, start_us + work_us);
                start_us
            }
        };
        self.virtual_us = self.virtual_us.max(start_us);
    }

    /// Drops parts whose queries have ended.
    pub fn prune(&mut self, now_us: u64) {
        let absent = |waiting: &mut Waiting| now_us.saturating_sub(waiting.seen_us) > ABSENT_US;
        let gone: Vec<Waiting> = self.waiting.extract_if(.., absent).collect();
        for waiting in &gone {
            self.return_work(waiting);
        }
    }

    fn flow_position(&self, flow: &str) -> Result<usize, usize> {
        self.finish_tags.binary_search_by(|(known, _)| known.as_str().cmp(flow))
    }

    fn set_finish(&mut self, flow: &str, finish_us: u64) {
        match self.flow_position(flow) {
            Ok(at) => self.finish_tags[at].1 = finish_us,
            Err(at) => {
                self.finish_tags.insert(at, (flow.into(), finish_us));
                if self.finish_tags.len() > FLOWS_KEPT {
                    let virtual_us = self.virtual_us;
                    self.finish_tags.retain(|(_, finish_us)| *finish_us > virtual_us);
                }
            }
        }
    }

    fn return_work(&mut self, waiting: &Waiting) {
        if let Ok(at) = self.flow_position(&waiting.flow) {
            let finish_us = self.finish_tags[at].1.saturating_sub(waiting.work_us);
            self.finish_tags[at].1 = finish_us;
        }
    }
}
