//! What [`query`] asks about turns. Without tenants in the configuration there are no queues, and all answers are those
//! of the balancer alone.

use crate::discovery::config;
use crate::fair_order::gate;
use crate::fair_order::queue;
use crate::forward::balancer;
use crate::forward::query;
use compact_str::CompactString;

/// A part waits for a busy searcher for at most the target latency divided by this.
const WAIT_DIVISOR: u64 = 4;

/// Returns how long a part of a request with this target latency waits for a busy searcher.
pub fn wait_max_us(target_us: u64) -> u64 {
    target_us / WAIT_DIVISOR
}

impl query::Spec {
    /// Returns the time until which a part waits for a busy searcher. It is well before the target latency, so that a
    /// client whose request is refused can still be served in time by another instance.
    pub fn wait_until_us(&self) -> u64 {
        self.arrived_us + wait_max_us(self.target_us)
    }

    /// Returns what decides the request's place, with the work that is expected at one searcher.
    pub fn class(&self, work_us: u64) -> gate::Class<'_> {
        gate::Class {
            rank: self.priority,
            flow: if self.tenant.is_empty() { &self.route } else { &self.tenant },
            route: &self.route,
            timeout_us: self.timeout_us,
            work_us,
        }
    }
}

impl query::Context<'_> {
    /// Counts a part that has arrived. Returns the earliest time at which it may be sent, see
    /// [`query::Context::accepts_from_us`].
    pub fn record_arrival(
        &mut self,
        now_us: u64,
        spec: &query::Spec,
        service: &config::ServiceName,
    ) -> Option<u64> {
        let accepts_us = self.accepts_from_us(now_us, spec, service, &[])?;
        let Some(gate) = &mut self.fair_order else {
            return Some(accepts_us);
        };
        let class = spec.class(self.latencies.median_us(&spec.route));
        gate.record_arrival(now_us, service, &class);
        let occupancy = self.balancer.occupancy(now_us, service, &[], spec.priority, &spec.homes);
        Some(accepts_us.max(gate.expected_start_us(now_us, service, &class, occupancy)))
    }

    /// Returns the earliest time at which a searcher of `service` that is not in `tried` accepts a request, `None` if
    /// there is no such searcher.
    pub fn accepts_from_us(
        &self,
        now_us: u64,
        spec: &query::Spec,
        service: &config::ServiceName,
        tried: &[CompactString],
    ) -> Option<u64> {
        self.balancer.accepts_from_us(now_us, service, tried, spec.priority, &spec.homes)
    }

    /// Counts a request that is refused on arrival because it could only be sent from `accepted_from_us` on; `None` if
    /// there is no searcher, which is not counted.
    pub fn record_refusal(&self, accepted_from_us: Option<u64>) {
        if let Some((gate, _)) = self.fair_order.as_ref().zip(accepted_from_us) {
            gate.record_refusal();
        }
    }

    /// Returns whether a part may be sent now. If not, it waits in order, unless it is a hedge.
    pub fn takes_turn(
        &mut self,
        now_us: u64,
        spec: &query::Spec,
        service: &config::ServiceName,
        part: &mut query::Part,
        reason: query::Reason,
    ) -> bool {
        let Some(gate) = &mut self.fair_order else {
            return true;
        };
        if reason == query::Reason::Hedge {
            return !gate.has_waiting(now_us, service);
        }
        let occupancy =
            self.balancer.occupancy(now_us, service, &part.tried, spec.priority, &spec.homes);
        if occupancy.searchers == 0 {
            return true;
        }
        let class = spec.class(self.latencies.median_us(&spec.route));
        gate.takes_turn(now_us, service, &class, &mut part.ticket, occupancy)
    }

    /// Removes a part that waits no longer without having been sent.
    pub fn leave(&mut self, service: &config::ServiceName, ticket: Option<queue::Ticket>) {
        if let Some((gate, ticket)) = self.fair_order.as_mut().zip(ticket) {
            gate.leave(service, &ticket);
        }
    }

    /// Makes a send of a part, which may have waited.
    pub fn start_send(
        &mut self,
        now_us: u64,
        spec: &query::Spec,
        service: &config::ServiceName,
        part: &mut query::Part,
        candidate: balancer::Candidate,
    ) -> balancer::Choice {
        if let Some(gate) = &mut self.fair_order {
            let class = spec.class(self.latencies.median_us(&spec.route));
            gate.record_send(now_us, service, &class, part.ticket.take());
        }
        self.balancer.start_send(now_us, candidate)
    }
}

impl From<balancer::Report> for gate::End {
    fn from(report: balancer::Report) -> Self {
        match report {
            balancer::Report::Answered { .. } => Self::Answered,
            balancer::Report::Full => Self::Full,
            balancer::Report::ConnectionReset | balancer::Report::Unreachable => Self::NotSent,
            balancer::Report::Failed
            | balancer::Report::Silent { .. }
            | balancer::Report::Cancelled => Self::MayHaveRun,
        }
    }
}
