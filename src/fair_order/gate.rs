//! Decides which waiting part of a service is sent next, and which requests are refused on arrival because too much work
//! is ahead of them. It does no I/O and reads no clock.

use crate::discovery::config;
use crate::event;
use crate::events::Event;
use crate::fair_order::metrics;
use crate::fair_order::queue;
use crate::fair_order::shares;
use crate::fair_order::window;

/// The half-life of the work that is offered in each rank.
const NEED_HALF_LIFE_US: f64 = 1_000_000.0;
/// Needs are decayed in steps of at least this, which is much shorter than the half-life.
const NEED_STEP_US: u64 = 10_000;
/// How much more than the mean need of more urgent ranks is kept free for them.
const NEED_MARGIN: f64 = 1.3;
/// The largest part of a service's room that is kept free for more urgent ranks.
const RESERVED_SHARE_MAX: f64 = 0.75;

/// What of a request decides its place.
#[derive(Clone, Copy, Debug)]
pub struct Class<'a> {
    /// The priority by tenant and route; 0 is the most urgent.
    pub rank: u8,
    /// The tenant, or the route of a request without one.
    pub flow: &'a str,
    /// The route.
    pub route: &'a str,
    /// The time from the arrival to the deadline.
    pub timeout_us: u64,
    /// The work that is expected at one searcher.
    pub work_us: u64,
}

/// How busy the searchers of a service are with requests of this instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// The number of searchers that may be used.
    pub searchers: usize,
    /// The number of sends in flight.
    pub in_flight: usize,
    /// How many more may be sent now.
    pub room: usize,
    /// Whether all searchers have rejected requests a moment ago because they were full.
    pub are_all_full: bool,
}

/// How a send ended, as far as it matters here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The request may have run.
    MayHaveRun,
    /// A searcher answered.
    Answered,
    /// The searcher was full; the request has not run.
    Full,
    /// The request was not sent.
    NotSent,
}

/// The work of one rank.
#[derive(Clone, Debug, Default)]
struct Rank {
    rank: u8,
    /// The number of sends in flight.
    held: usize,
    /// The decayed sum of the work offered.
    offered_us: f64,
    updated_us: u64,
}

impl Rank {
    /// Returns how many requests have to be in flight at the same time to do the offered work.
    fn need(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.updated_us) as f64;
        let offered_us = self.offered_us * (-age_us / NEED_HALF_LIFE_US).exp2();
        offered_us * std::f64::consts::LN_2 / NEED_HALF_LIFE_US
    }

    fn offer(&mut self, now_us: u64, work_us: u64) {
        let age_us = now_us.saturating_sub(self.updated_us);
        if age_us >= NEED_STEP_US {
            self.offered_us *= (-(age_us as f64) / NEED_HALF_LIFE_US).exp2();
            self.updated_us = now_us;
        }
        self.offered_us += work_us as f64;
    }
}

#[derive(Debug, Default)]
struct Service {
    queue: queue::Queue,
    window: window::Window,
    flows: shares::Shares,
    routes: shares::Shares,
    /// Sorted by rank.
    ranks: Vec<Rank>,
}

impl Service {
    fn is_underserved(&self, class: &Class<'_>) -> bool {
        self.flows.is_underserved(class.flow) || self.routes.is_underserved(class.route)
    }

    fn place(&self, class: &Class<'_>) -> queue::Place {
        self.queue.place(class.flow, self.is_underserved(class), class.rank, class.timeout_us)
    }

    fn rank(&mut self, rank: u8) -> &mut Rank {
        let at = match self.ranks.binary_search_by_key(&rank, |known| known.rank) {
            Ok(at) => at,
            Err(at) => {
                self.ranks.insert(at, Rank { rank, ..Rank::default() });
                at
            }
        };
        &mut self.ranks[at]
    }

    /// Whether there is so much room that no order is needed: nothing waits, and what is kept free for more urgent ranks
    /// is not used either.
    fn is_idle(&mut self, now_us: u64, occupancy: Occupancy) -> bool {
        let total = (occupancy.in_flight + occupancy.room) as f64;
        self.queue.is_empty()
            && self.window.limit(now_us).is_none()
            && occupancy.room as f64 > total * RESERVED_SHARE_MAX
    }

    /// Returns how many more parts may be sent now of those at `place` and before it.
    fn room(&mut self, now_us: u64, place: &queue::Place, occupancy: Occupancy) -> usize {
        let mut room = occupancy.room;
        if let Some(limit) = self.window.limit(now_us) {
            room = room.min(limit.saturating_sub(occupancy.in_flight));
        }
        if !place.has_fair_share {
            return room;
        }
        let total = occupancy.in_flight + room;
        let (mut missing, mut held_by_less_urgent) = (0.0, 0);
        for rank in &self.ranks {
            if rank.rank < place.rank {
                missing += (rank.need(now_us) * NEED_MARGIN - rank.held as f64).max(0.0);
            } else {
                held_by_less_urgent += rank.held;
            }
        }
        let unreserved = ((total as f64 * (1.0 - RESERVED_SHARE_MAX)) as usize).max(1);
        let kept = room.saturating_sub(missing.round() as usize);
        kept.max(unreserved.saturating_sub(held_by_less_urgent)).min(room)
    }
}

/// The queues of all services.
#[derive(Debug)]
pub struct Gate {
    /// Sorted by service.
    services: Vec<(config::ServiceName, Service)>,
    metrics: metrics::Metrics,
}

impl Gate {
    /// Creates empty queues.
    pub fn new(metrics: metrics::Metrics) -> Self {
        Self { services: Vec::new(), metrics }
    }

    /// Counts a part that has arrived.
    pub fn record_arrival(&mut self, now_us: u64, name: &config::ServiceName, class: &Class<'_>) {
        let service = service_of(&mut self.services, name);
        service.flows.record_offered(now_us, class.flow);
        service.routes.record_offered(now_us, class.route);
        service.rank(class.rank).offer(now_us, class.work_us);
    }

    /// Returns when a part that arrives now is expected to be sent: when the work ahead of it is done.
    pub fn expected_start_us(
        &mut self,
        now_us: u64,
        name: &config::ServiceName,
        class: &Class<'_>,
        occupancy: Occupancy,
    ) -> u64 {
        let service = service_of(&mut self.services, name);
        if service.is_idle(now_us, occupancy) {
            return now_us;
        }
        let place = service.place(class);
        let (position, ahead_us) = service.queue.ahead(&place);
        if service.room(now_us, &place, occupancy) > position {
            return now_us;
        }
        now_us + (ahead_us + class.work_us) / occupancy.in_flight.max(1) as u64
    }

    /// Returns whether a part may be sent now. If not, it waits; `ticket` then holds its place.
    pub fn takes_turn(
        &mut self,
        now_us: u64,
        name: &config::ServiceName,
        class: &Class<'_>,
        ticket: &mut Option<queue::Ticket>,
        occupancy: Occupancy,
    ) -> bool {
        let service = service_of(&mut self.services, name);
        if service.is_idle(now_us, occupancy) {
            return true;
        }
        let place = ticket.as_ref().map_or_else(|| service.place(class), |ticket| ticket.place);
        if service.room(now_us, &place, occupancy) > service.queue.position(&place) {
            return true;
        }
        let before = service.queue.len();
        service.queue.wait(now_us, place, class.flow, class.work_us);
        self.metrics.record_waiting(service.queue.len() as i64 - before as i64);
        ticket.get_or_insert(queue::Ticket { place, since_us: now_us });
        false
    }

    /// Whether parts wait for the searchers of a service. Hedges then don't go ahead of them.
    pub fn has_waiting(&mut self, now_us: u64, name: &config::ServiceName) -> bool {
        let service = service_of(&mut self.services, name);
        let before = service.queue.len();
        service.queue.prune(now_us);
        self.metrics.record_waiting(service.queue.len() as i64 - before as i64);
        !service.queue.is_empty()
    }

    /// Removes a part that waits no longer without having been sent.
    pub fn leave(&mut self, name: &config::ServiceName, ticket: &queue::Ticket) {
        let queue = &mut service_of(&mut self.services, name).queue;
        let before = queue.len();
        queue.leave(&ticket.place);
        self.metrics.record_waiting(queue.len() as i64 - before as i64);
    }

    /// Counts a request that was refused on arrival.
    pub fn record_refusal(&self) {
        self.metrics.record_refusal();
    }

    /// Records that a part was sent, which may have waited.
    pub fn record_send(
        &mut self,
        now_us: u64,
        name: &config::ServiceName,
        class: &Class<'_>,
        ticket: Option<queue::Ticket>,
    ) {
        let service = service_of(&mut self.services, name);
        let before = service.queue.len();
        let place = ticket.as_ref().map(|ticket| &ticket.place);
        service.queue.record_sent(place, class.flow, class.work_us);
        self.metrics.record_waiting(service.queue.len() as i64 - before as i64);
        if let Some(ticket) = &ticket {
            self.metrics.record_wait(now_us.saturating_sub(ticket.since_us));
        }
        service.flows.record_served(now_us, class.flow, true);
        service.routes.record_served(now_us, class.route, true);
        service.rank(class.rank).held += 1;
    }

    /// Records the end of a send.
    pub fn record_end(
        &mut self,
        now_us: u64,
        name: &config::ServiceName,
        class: &Class<'_>,
        end: End,
        occupancy: Occupancy,
    ) {
        let service = service_of(&mut self.services, name);
        let rank = service.rank(class.rank);
        rank.held = rank.held.saturating_sub(1);
        match end {
            End::MayHaveRun => {}
            End::Answered => service.window.record_answer(occupancy.in_flight),
            End::Full | End::NotSent => {
                service.flows.record_served(now_us, class.flow, false);
                service.routes.record_served(now_us, class.route, false);
            }
        }
        if end != End::Full {
            return;
        }
        let in_flight = occupancy.in_flight;
        if service.window.record_full(now_us, in_flight, occupancy.are_all_full) {
            event!(info, Event::ServiceFull, service = %name, in_flight);
        }
    }

    /// Drops the queues of services that are not in `names`, which must be sorted.
    pub fn retain_services(&mut self, names: &[&config::ServiceName]) {
        let mut dropped = 0;
        self.services.retain(|(name, service)| {
            let is_known = names.binary_search(&name).is_ok();
            dropped += if is_known { 0 } else { service.queue.len() };
            is_known
        });
        self.metrics.record_waiting(-(dropped as i64));
    }
}

fn service_of<'a>(
    services: &'a mut Vec<(config::ServiceName, Service)>,
    name: &config::ServiceName,
) -> &'a mut Service {
    let at = match services.binary_search_by(|(known, _)| known.cmp(name)) {
        Ok(at) => at,
        Err(at) => {
            services.insert(at, (name.clone(), Service::default()));
            at
        }
    };
    &mut services[at].1
}

/// Creates, keeps or ends the queues as a configuration requires: there are some if requests need keys.
pub fn apply_config(gate: &mut Option<Gate>, config: &config::Config, metrics: &metrics::Metrics) {
    let is_active = config.tenants.require_keys();
    if is_active != gate.is_some() {
        event!(info, Event::FairOrderChanged, is_active, config = config.version.0);
    }
    if !is_active {
        *gate = None;
        return;
    }
    let names: Vec<&config::ServiceName> =
        config.services.iter().map(|service| &service.name).collect();
    gate.get_or_insert_with(|| Gate::new(metrics.clone())).retain_services(&names);
}

impl Drop for Gate {
    fn drop(&mut self) {
        let waiting: usize = self.services.iter().map(|(_, service)| service.queue.len()).sum();
        self.metrics.record_waiting(-(waiting as i64));
    }
}
