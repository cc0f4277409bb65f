//! What an instance observes of each searcher, and which one it chooses.
//!
//! The choice is the searcher with the least expected latency: the way there and back, the usual work time
//! of the route scaled by how slow the searcher has been, what waits there already, and a penalty for
//! failures and for silence. Old observations fade, so a searcher that was slow or failing is tried again.

use crate::discovery::registry;
use crate::forward::endpoint;
use crate::ids;
use std::sync;

/// The weight of a new sample of slowness.
const SLOWNESS_GAIN: f64 = 0.25;
/// The weight of a new sample of failure.
const FAILURE_GAIN: f64 = 0.25;
/// The time in which an observation loses half of its weight.
const HALF_LIFE_US: f64 = 700_000.0;
/// The time in which the share of lost answers that was observed of a searcher loses half of its weight. A
/// searcher that loses answers goes on for seconds, unlike one that pauses.
const LOSS_HALF_LIFE_US: f64 = 3_000_000.0;
/// What a rejected or unanswered send costs beside the second send, in latency.
const FAILURE_COST_US: f64 = 80_000.0;
/// What a lost answer costs beside the second send, in latency: the budget of second sends is short when
/// answers are lost, and without one the whole query may fail.
const LOSS_COST_US: f64 = 200_000.0;
/// A request that is unanswered for this many times its expected latency makes its searcher suspect.
const STALL_FACTOR: f64 = 2.5;
/// What is added to that before the searcher is suspect.
const STALL_SLACK_US: f64 = 12_000.0;
/// The most that a stall adds to the expected latency.
const STALL_MAX_US: f64 = 600_000.0;
/// The first time that a searcher is passed over after a failure to connect; it doubles.
const AVOID_MIN_US: u64 = 150_000;
/// The longest time that a searcher is passed over.
const AVOID_MAX_US: u64 = 2_400_000;
/// How long a searcher is passed over that rejected a request because it was full.
const FULL_AVOID_US: u64 = 60_000;
/// The slowest that a searcher is taken to be.
const SLOWNESS_MAX: f64 = 30.0;
/// What slowness a searcher that has just started is taken to have.
const COLD_SLOWNESS: f64 = 1.3;
/// The spread of the choice among equals.
const JITTER: f64 = 0.08;
/// The share of a searcher's connections for the instances of its own region that take clients.
const NEAR_CONNECTIONS_SHARE: f64 = 0.45;
/// The share of a searcher's connections for the instances of other regions that take clients. The rest is
/// for instances that stand by and for connections that are being closed.
const FAR_CONNECTIONS_SHARE: f64 = 0.4;

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Report {
    /// A good answer came after this time.
    Answered {
        /// From the send to the end of the answer.
        latency_us: u64,
    },
    /// The searcher ran the request and failed, or its answer was damaged.
    Failed,
    /// The searcher refused the request since it is full.
    Full,
    /// No connection could be opened.
    Unreachable,
    /// No answer came before the send was given up, after this time.
    Silent {
        /// From the send to its end.
        waited_us: u64,
    },
    /// The send was given up early for reasons of the client.
    Cancelled,
}

#[derive(Clone, Debug)]
struct Stats {
    slowness: f64,
    failure_rate: f64,
    updated_us: u64,
    /// The share of answers that were lost.
    loss_rate: f64,
    loss_updated_us: u64,
    avoid_until_us: u64,
    avoid_us: u64,
    /// When each send that is under way began.
    in_flight: Vec<(u64, u64)>,
    next_ticket: u64,
}

impl Stats {
    fn new(now_us: u64) -> Self {
        Self {
            slowness: COLD_SLOWNESS,
            failure_rate: 0.0,
            updated_us: now_us,
            loss_rate: 0.0,
            loss_updated_us: now_us,
            avoid_until_us: 0,
            avoid_us: AVOID_MIN_US,
            in_flight: Vec::new(),
            next_ticket: 0,
        }
    }

    /// How much of the last observation still counts.
    fn kept(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.updated_us) as f64;
        (-age_us / HALF_LIFE_US).exp2()
    }

    fn loss_rate(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.loss_updated_us) as f64;
        self.loss_rate * (-age_us / LOSS_HALF_LIFE_US).exp2()
    }

    fn observe_loss(&mut self, now_us: u64, is_lost: bool) {
        let rate = self.loss_rate(now_us);
        let sample = if is_lost { 1.0 } else { 0.0 };
        self.loss_rate = rate + (sample - rate) * FAILURE_GAIN;
        self.loss_updated_us = now_us;
    }

    fn slowness(&self, now_us: u64) -> f64 {
        1.0 + (self.slowness - 1.0) * self.kept(now_us)
    }

    fn failure_rate(&self, now_us: u64) -> f64 {
        self.failure_rate * self.kept(now_us)
    }

    fn observe(&mut self, now_us: u64, slowness: Option<f64>, failed: bool) {
        let faded = self.slowness(now_us);
        let rate = self.failure_rate(now_us);
        self.slowness = match slowness {
            Some(sample) => faded + (sample.clamp(0.2, SLOWNESS_MAX) - faded) * SLOWNESS_GAIN,
            None => faded,
        };
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate = rate + (sample - rate) * FAILURE_GAIN;
        self.updated_us = now_us;
    }

    fn avoid(&mut self, now_us: u64) {
        self.avoid_until_us = now_us + self.avoid_us;
        self.avoid_us = (self.avoid_us * 2).min(AVOID_MAX_US);
    }
}

struct Entry {
    endpoint: sync::Arc<endpoint::Endpoint>,
    connections_max: u32,
    stats: Stats,
}

/// A send that is under way, as the board knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket(u64);

/// A searcher that was found; good until the board changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Found {
    at: usize,
    expected_us: u64,
}

/// A searcher that was chosen.
pub struct Choice {
    /// The searcher.
    pub endpoint: sync::Arc<endpoint::Endpoint>,
    /// To be handed back when the send ends.
    pub ticket: Ticket,
    /// The expected latency.
    pub expected_us: u64,
}

/// What a request asks of a searcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// The usual work time of its route.
    pub typical_us: u64,
    /// How much latency it may lose to stay in its region: bytes between regions are dear.
    pub detour_us: u64,
}

/// All searchers that take new work, with what is observed of them.
#[derive(Default)]
pub struct Board {
    /// Sorted by service, then id.
    entries: Vec<Entry>,
    crowd: Crowd,
}

/// How many instances send to the searchers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Crowd {
    /// The instances that take clients.
    pub active: u32,
    /// Those in the own region.
    pub active_near: u32,
    /// Whether this instance is one of them, or was until it began to stop: clients still hold its address.
    pub is_active: bool,
}

impl Board {
    /// Sets how many instances send requests.
    pub fn share_among(&mut self, crowd: Crowd) {
        self.crowd = crowd;
    }

    /// Takes over the searchers that take new work. What was observed of those that go on is kept.
    pub fn sync(
        &mut self,
        now_us: u64,
        records: &[registry::SearcherChange],
        distance: impl Fn(&str) -> endpoint::Distance,
        connections_max: impl Fn(&ids::ServiceName) -> u32,
    ) {
        let mut old = std::mem::take(&mut self.entries);
        for record in records {
            let Some(searcher) = &record.searcher else {
                continue;
            };
            if searcher.state != registry::SearcherState::Ready {
                continue;
            }
            let known = old.iter().position(|entry| {
                entry.endpoint.id == record.id
                    && entry.endpoint.searcher.boot_ms == searcher.boot_ms
                    && entry.endpoint.searcher.address == searcher.address
                    && entry.endpoint.searcher.service == searcher.service
            });
            let connections_max = connections_max(&searcher.service);
            let entry = match known {
                Some(at) => Entry { connections_max, ..old.swap_remove(at) },
                None => {
                    let distance = distance(&searcher.domain);
                    let endpoint =
                        endpoint::Endpoint::new(record.id.clone(), searcher.clone(), distance);
                    Entry {
                        endpoint: sync::Arc::new(endpoint),
                        connections_max,
                        stats: Stats::new(now_us),
                    }
                }
            };
            self.entries.push(entry);
        }
        self.entries.sort_by(|a, b| key(a).cmp(&key(b)));
    }

    /// Whether any searcher of a service is known.
    pub fn has_any(&self, service: &ids::ServiceName) -> bool {
        self.of_service(service).any(|entry| !entry.endpoint.is_misdirected())
    }

    /// Finds the best searcher of `service` that is not among `tried`.
    pub fn find(
        &self,
        now_us: u64,
        service: &ids::ServiceName,
        tried: &[compact_str::CompactString],
        work: Work,
    ) -> Option<Found> {
        let start =
            self.entries.partition_point(|entry| entry.endpoint.searcher.service < *service);
        let mut best: Option<(bool, f64, usize, u64)> = None;
        for (at, entry) in self.entries.iter().enumerate().skip(start) {
            if entry.endpoint.searcher.service != *service {
                break;
            }
            if tried.contains(&entry.endpoint.id) || entry.endpoint.is_misdirected() {
                continue;
            }
            if entry.stats.in_flight.len() >= self.connections_cap(entry) {
                continue;
            }
            let avoided = now_us < entry.stats.avoid_until_us;
            let expected_us = self.expected_us(now_us, entry, work.typical_us);
            let detour_us = match entry.endpoint.distance {
                endpoint::Distance::OtherRegion => work.detour_us as f64,
                _ => 0.0,
            };
            let cost = (expected_us + detour_us) * (1.0 + JITTER * rand::random::<f64>());
            let better = match best {
                None => true,
                Some((best_avoided, best_cost, _, _)) => {
                    (avoided, cost) < (best_avoided, best_cost)
                }
            };
            if better {
                best = Some((avoided, cost, at, expected_us as u64));
            }
        }
        let (_, _, at, expected_us) = best?;
        Some(Found { at, expected_us })
    }

    /// Whether there are searchers of `service` that are not among `tried`, though they may be busy.
    pub fn is_busy(
        &self,
        service: &ids::ServiceName,
        tried: &[compact_str::CompactString],
    ) -> bool {
        let mut searchers = self.of_service(service);
        searchers
            .any(|entry| !entry.endpoint.is_misdirected() && !tried.contains(&entry.endpoint.id))
    }

    /// Counts a send to the searcher that was found just now.
    pub fn take(&mut self, now_us: u64, found: Found) -> Choice {
        let entry = &mut self.entries[found.at];
        let ticket = entry.stats.next_ticket;
        entry.stats.next_ticket += 1;
        entry.stats.in_flight.push((ticket, now_us));
        let endpoint = entry.endpoint.clone();
        Choice { endpoint, ticket: Ticket(ticket), expected_us: found.expected_us }
    }

    /// A send has ended. `typical_us` is the usual work time of its route.
    pub fn done(
        &mut self,
        now_us: u64,
        endpoint: &endpoint::Endpoint,
        ticket: &Ticket,
        typical_us: u64,
        report: Report,
    ) {
        let found = self.entries.iter_mut().find(|entry| {
            entry.endpoint.id == endpoint.id
                && entry.endpoint.searcher.boot_ms == endpoint.searcher.boot_ms
        });
        let Some(entry) = found else {
            return;
        };
        let stats = &mut entry.stats;
        stats.in_flight.retain(|(known, _)| *known != ticket.0);
        let round_trip_us = endpoint.distance.round_trip_us();
        let slowness = |latency_us: u64| {
            latency_us.saturating_sub(round_trip_us) as f64 / typical_us.max(1) as f64
        };
        match report {
            Report::Answered { latency_us } => {
                stats.observe(now_us, Some(slowness(latency_us)), false);
                stats.observe_loss(now_us, false);
                stats.avoid_us = AVOID_MIN_US;
                stats.avoid_until_us = 0;
            }
            Report::Failed => stats.observe_loss(now_us, true),
            Report::Full => {
                stats.observe(now_us, None, true);
                stats.avoid_until_us = stats.avoid_until_us.max(now_us + FULL_AVOID_US);
            }
            Report::Unreachable => {
                stats.observe(now_us, None, true);
                stats.avoid(now_us);
            }
            Report::Silent { waited_us } => {
                stats.observe(now_us, Some(slowness(waited_us)), true);
                stats.avoid(now_us);
            }
            Report::Cancelled => {}
        }
    }

    /// How many connections to searchers are open.
    pub fn connection_count(&self) -> usize {
        self.entries.iter().map(|entry| entry.endpoint.connection_count()).sum()
    }

    /// Closes idle connections that have expired.
    pub fn sweep(&self) {
        for entry in &self.entries {
            entry.endpoint.sweep();
        }
    }

    /// How many connections this instance may have to a searcher.
    fn connections_cap(&self, entry: &Entry) -> usize {
        if !self.crowd.is_active {
            return 1;
        }
        let near = self.crowd.active_near.max(1);
        let (share, sharers) = match entry.endpoint.distance {
            endpoint::Distance::OtherRegion => {
                (FAR_CONNECTIONS_SHARE, self.crowd.active.saturating_sub(near).max(1))
            }
            _ => (NEAR_CONNECTIONS_SHARE, near),
        };
        let cap = f64::from(entry.connections_max) * share / f64::from(sharers);
        (cap as usize).max(1)
    }

    fn expected_us(&self, now_us: u64, entry: &Entry, typical_us: u64) -> f64 {
        let stats = &entry.stats;
        let round_trip_us = entry.endpoint.distance.round_trip_us() as f64;
        let work_us = typical_us as f64 * stats.slowness(now_us);
        let slots = f64::from(entry.endpoint.searcher.slots.max(1));
        let crowd = match entry.endpoint.distance {
            endpoint::Distance::OtherRegion => 1.0,
            _ => f64::from(self.crowd.active_near.max(1)),
        };
        let waiting = (stats.in_flight.len() as f64 * crowd - slots + 1.0).max(0.0);
        let mut expected_us = round_trip_us + work_us * (1.0 + waiting / slots);
        let oldest_us = stats.in_flight.iter().map(|(_, sent_us)| *sent_us).min();
        if let Some(oldest_us) = oldest_us {
            let age_us = now_us.saturating_sub(oldest_us) as f64;
            let limit_us = (round_trip_us + work_us) * STALL_FACTOR + STALL_SLACK_US;
            if age_us > limit_us {
                expected_us += age_us.clamp(STALL_MAX_US / 3.0, STALL_MAX_US);
            }
        }
        let typical_us = typical_us as f64;
        expected_us
            + stats.failure_rate(now_us) * (FAILURE_COST_US + typical_us)
            + stats.loss_rate(now_us) * (LOSS_COST_US + typical_us)
    }

    fn of_service(&self, service: &ids::ServiceName) -> impl Iterator<Item = &Entry> {
        let start =
            self.entries.partition_point(|entry| entry.endpoint.searcher.service < *service);
        let end = self.entries.partition_point(|entry| entry.endpoint.searcher.service <= *service);
        self.entries[start..end].iter()
    }
}

fn key(entry: &Entry) -> (&ids::ServiceName, &compact_str::CompactString) {
    (&entry.endpoint.searcher.service, &entry.endpoint.id)
}
