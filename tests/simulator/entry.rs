//! The entry instances of the simulator: queries, their calls, replies and hedges.

use super::{CallRecord, ENTRY_COUNT, Ending, Event, LINK_DELAY_US, Part, Query, Run};
use tarragondoor::{admit, choose, hedge, ids, policy, rank};

impl Run {
    pub(super) fn handle_arrival(&mut self) {
        let phase = self.setup.phases.iter().rfind(|phase| phase.from_us <= self.now_us);
        let Some(rates) = phase.map(|phase| phase.rates) else {
            return;
        };
        if self.now_us >= self.setup.end_us {
            return;
        }
        let total: f64 = rates.iter().sum();
        let next_us = self.exponential(1e6 / total) as u64;
        self.push(next_us, Event::Arrive);
        let mut drawn = self.uniform() * total;
        let mut rank = rank::Rank::Urgent;
        for candidate in rank::Rank::ALL {
            rank = candidate;
            drawn -= rates[candidate.index()];
            if drawn < 0.0 {
                break;
            }
        }
        let share = self.setup.first_entry_share;
        let entry = match self.uniform() < share {
            true => 0,
            false => 1 + (self.uniform() * (ENTRY_COUNT - 1) as f64) as usize,
        };
        self.start_query(entry, rank);
    }

    pub(super) fn start_query(&mut self, entry: usize, rank: rank::Rank) {
        let index = self.queries.len();
        let seed = (self.uniform() * 1e18) as u64;
        let entry_state = &mut self.entries[entry];
        let plan = entry_state.chooser.choose(self.now_us, &self.layout, seed);
        let mut admission = admit::Admission::Admit { weight: 1.0 };
        if self.setup.policy == policy::Policy::Full {
            let id = ids::QueryId(seed);
            admission = entry_state.gate.decide(self.now_us, id, rank, &self.layout, &plan);
        }
        let mut query = Query {
            entry,
            rank,
            arrived_us: self.now_us,
            weight: 1.0,
            parts: Vec::new(),
            ending: Ending::Open,
        };
        let admit::Admission::Admit { weight } = admission else {
            query.ending = Ending::RefusedAtEntry;
            self.queries.push(query);
            return;
        };
        query.weight = weight;
        entry_state.hedger.record_needed(plan.calls.len() as u32);
        self.needed_calls += plan.calls.len();
        let parts = plan.calls.clone().into_iter();
        query.parts = parts.map(|call| Part { call, answered: false, calls: Vec::new() }).collect();
        self.queries.push(query);
        for (part, call) in plan.calls.iter().enumerate() {
            self.send(index, part, call.searcher);
            let entry_state = &mut self.entries[entry];
            if let Some(slow) = entry_state.chooser.probe(self.now_us, &self.layout, call)
                && entry_state.hedger.try_hedge(rank, false)
            {
                self.extra_calls += 1;
                self.send(index, part, slow);
            }
        }
        self.push(self.setup.deadlines_us[rank.index()], Event::Deadline(index));
        if let Some(delay_us) = self.entries[entry].hedger.delay_us(rank)
            && self.setup.policy == policy::Policy::Full
        {
            self.push(delay_us, Event::Hedge(index));
        }
    }

    pub(super) fn send(&mut self, query: usize, part: usize, searcher: u16) {
        let entry = self.queries[query].entry;
        let owner = match self.setup.two_owners {
            Some((from_us, _)) if self.now_us < from_us => 0,
            Some((_, to_us)) if self.now_us < to_us => entry % 2,
            Some(_) => 1,
            None => 0,
        };
        let call = self.calls.len();
        self.calls.push(CallRecord {
            query,
            part,
            searcher: usize::from(searcher),
            owner,
            sent_us: self.now_us,
            started_us: 0,
            closed: false,
        });
        self.queries[query].parts[part].calls.push(call);
        self.entries[entry].chooser.record_sent(searcher);
        self.push(LINK_DELAY_US, Event::Offer(call));
    }

    pub(super) fn handle_reply(
        &mut self,
        call: usize,
        answered: bool,
        fractions: [u16; 3],
        report: [u32; 4],
    ) {
        let record = &self.calls[call];
        let (query, part, searcher) = (record.query, record.part, record.searcher as u16);
        let latency_us = self.now_us - record.sent_us;
        let rank = self.queries[query].rank;
        let entry_state = &mut self.entries[self.queries[query].entry];
        entry_state.gate.update(self.now_us, searcher, admit::Fractions(fractions));
        let [slots, in_use, queued, service_us] = report;
        let (slots, in_use, queued) = (slots as u16, in_use as u16, queued as u16);
        entry_state.chooser.record_report(
            self.now_us,
            searcher,
            choose::LoadReport { slots, in_use, queued, service_us },
        );
        if answered {
            entry_state.chooser.record_answer(self.now_us, searcher, latency_us);
            entry_state.hedger.record_answer(rank, latency_us);
        }
        if self.calls[call].closed {
            return;
        }
        self.calls[call].closed = true;
        self.entries[self.queries[query].entry].chooser.record_end(searcher);
        if !answered {
            self.handle_refusal(query, part);
            return;
        }
        self.queries[query].parts[part].answered = true;
        self.cancel_part(query, part);
        if self.queries[query].parts.iter().all(|part| part.answered) {
            let latency_us = self.now_us - self.queries[query].arrived_us;
            self.end_query(query, Ending::Served(latency_us));
        }
    }

    pub(super) fn handle_refusal(&mut self, query: usize, part: usize) {
        let calls = &self.queries[query].parts[part].calls;
        if calls.iter().any(|call| !self.calls[*call].closed) {
            return;
        }
        if self.send_extra(query, part, |hedger, rank, saturated| hedger.try_retry(rank, saturated))
        {
            return;
        }
        self.end_query(query, Ending::RefusedByOwner);
    }

    /// Sends another call for the part if another searcher holds its shards and `allow` returns
    /// true.
    pub(super) fn send_extra(
        &mut self,
        query: usize,
        part: usize,
        allow: impl Fn(&mut hedge::Hedger, rank::Rank, bool) -> bool,
    ) -> bool {
        if self.setup.policy == policy::Policy::Plain {
            return false;
        }
        let rank = self.queries[query].rank;
        let part_state = &self.queries[query].parts[part];
        let tried: Vec<u16> =
            part_state.calls.iter().map(|call| self.calls[*call].searcher as u16).collect();
        let entry_state = &mut self.entries[self.queries[query].entry];
        let found =
            entry_state.chooser.alternative(self.now_us, &self.layout, &part_state.call, &tried);
        let Some(searcher) = found else {
            return false;
        };
        let saturated = entry_state.gate.share(self.now_us, searcher, rank) < 1.0;
        if !allow(&mut entry_state.hedger, rank, saturated) {
            return false;
        }
        self.extra_calls += 1;
        self.send(query, part, searcher);
        true
    }

    pub(super) fn hedge_query(&mut self, query: usize) {
        if self.queries[query].ending != Ending::Open {
            return;
        }
        let rank = self.queries[query].rank;
        if let Some(delay_us) = self.entries[self.queries[query].entry].hedger.delay_us(rank) {
            self.push(delay_us, Event::Hedge(query));
        }
        for part in 0..self.queries[query].parts.len() {
            let part_state = &self.queries[query].parts[part];
            if part_state.answered || part_state.calls.len() > 1 {
                continue;
            }
            self.record_overdue(query, part);
            self.send_extra(query, part, |hedger, rank, saturated| {
                hedger.try_hedge(rank, saturated)
            });
        }
    }

    pub(super) fn record_overdue(&mut self, query: usize, part: usize) {
        let entry_state = &mut self.entries[self.queries[query].entry];
        for call in &self.queries[query].parts[part].calls {
            let record = &self.calls[*call];
            if record.closed {
                continue;
            }
            let age_us = self.now_us - record.sent_us;
            entry_state.chooser.record_overdue(self.now_us, record.searcher as u16, age_us);
        }
    }

    /// Cancels the open calls of a part.
    pub(super) fn cancel_part(&mut self, query: usize, part: usize) {
        self.record_overdue(query, part);
        for call in self.queries[query].parts[part].calls.clone() {
            if self.calls[call].closed {
                continue;
            }
            self.calls[call].closed = true;
            let searcher = self.calls[call].searcher as u16;
            self.entries[self.queries[query].entry].chooser.record_end(searcher);
            self.push(LINK_DELAY_US, Event::Cancel(call));
        }
    }

    pub(super) fn end_query(&mut self, query: usize, ending: Ending) {
        if self.queries[query].ending != Ending::Open {
            return;
        }
        self.queries[query].ending = ending;
        for part in 0..self.queries[query].parts.len() {
            self.cancel_part(query, part);
        }
    }
}
