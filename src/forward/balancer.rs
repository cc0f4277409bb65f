//! Load balancing: statistics of each searcher, and the selection of the searcher for a send.
//!
//! The searcher with the lowest expected latency is selected. The expected latency is the sum of the network
//! round trip, the route's median processing time scaled by the searcher's recent slowness, the queueing
//! delay, and penalties for failures and for missing answers. Observations decay exponentially, so a searcher
//! that was slow or failing is tried again.
//!
//! An instance that has never used a searcher of its region tries it once, since others may always seem cheaper.
//!
//! With [`routing::Routing::ExpectedWork`], the round trip, the processing time and the queueing delay are those of
//! [`backlog`] in place of the above; penalties, backoff and limits are the same.

use crate::discovery::config;
use crate::discovery::registry;
use crate::event;
use crate::events::Event;
use crate::expected_work::backlog;
use crate::expected_work::cost;
use crate::expected_work::routing;
use crate::fair_order::gate;
use crate::forward::endpoint;
use crate::forward::limit;
use crate::forward::send_limit;
use crate::placement::cold;
use crate::placement::homes;
use compact_str::CompactString;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;
use std::cell;
use std::sync;

/// The weight of a new sample in the moving average of the slowness.
const SLOWNESS_GAIN: f64 = 0.25;
/// The weight of a new sample in the moving averages of the failure and loss rates.
const FAILURE_GAIN: f64 = 0.25;
/// The half-life of the slowness and the failure rate.
const HALF_LIFE_US: f64 = 700_000.0;
/// The half-life of the loss rate. It is longer because a searcher that loses answers does so for seconds,
/// unlike one that pauses.
const LOSS_HALF_LIFE_US: f64 = 3_000_000.0;
/// The cost of a rejected or unanswered send, in latency, on top of the retry.
const FAILURE_COST_US: f64 = 80_000.0;
/// The cost of a lost answer, in latency, on top of the retry. It is higher because lost answers exhaust the
/// budget of retries, and without a retry the whole query may fail.
const LOSS_COST_US: f64 = 200_000.0;
/// A searcher counts as stalled once its oldest send in flight is older than its expected latency times this,
/// plus [`STALL_SLACK_US`].
const STALL_FACTOR: f64 = 2.5;
/// Added to the age at which a searcher counts as stalled, see [`STALL_FACTOR`].
const STALL_SLACK_US: f64 = 12_000.0;
/// The upper bound of what a stall adds to the expected latency.
const STALL_MAX_US: f64 = 600_000.0;
/// The first backoff after a failed connection or an unanswered send; doubles with each further one.
const BACKOFF_MIN_US: u64 = 150_000;
/// The upper bound of the backoff.
const BACKOFF_MAX_US: u64 = 2_400_000;
/// The backoff after a searcher rejected a request because it was full.
const FULL_BACKOFF_US: u64 = 60_000;
/// The upper bound of a slowness sample.
const SLOWNESS_MAX: f64 = 30.0;
/// The slowness assumed for a searcher that has just started.
const INITIAL_SLOWNESS: f64 = 1.3;
/// The random share added to costs, so that equally good searchers are selected evenly.
const JITTER: f64 = 0.08;
/// How long a searcher is known before it may be selected for a trial. It is slow when it has just started.
const TRIAL_AFTER_US: u64 = 3_000_000;
/// The share of its cost that counts when a searcher is selected for a trial.
const TRIAL_COST_SHARE: f64 = 0.5;
/// The share of a searcher's connections reserved for the active instances of its own region.
const SAME_REGION_CONNECTIONS_SHARE: f64 = 0.45;
/// The share of a searcher's connections reserved for the active instances of other regions. The rest is left
/// for standby instances and for connections that are being closed.
const OTHER_REGION_CONNECTIONS_SHARE: f64 = 0.4;

/// The result of a send, as observed by the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Report {
    /// A complete answer other than a server error arrived.
    Answered {
        /// The time from the send to the end of the answer.
        latency_us: u64,
    },
    /// The searcher answered with a server error, or its answer was lost or invalid.
    Failed,
    /// The searcher rejected the request because it was full.
    Full,
    /// The searcher reset a new connection, since it accepts no more of them.
    ConnectionReset,
    /// No connection could be opened, or another searcher answered at the address.
    Unreachable,
    /// No complete answer arrived in time.
    Silent {
        /// The time from the send until it was given up.
        waited_us: u64,
    },
    /// The send was cancelled for reasons unrelated to the searcher.
    Cancelled,
}

#[derive(Clone, Debug)]
struct Stats {
    /// The moving average of the processing time divided by its route's median.
    slowness: f64,
    failure_rate: f64,
    updated_us: u64,
    /// The decaying share of answers that were lost, invalid or server errors.
    loss_rate: f64,
    loss_updated_us: u64,
    backoff_until_us: u64,
    backoff_us: u64,
    /// What may be sent, while the searcher names a limit.
    bucket: Option<limit::TokenBucket>,
    /// The id and start time of each send in flight.
    in_flight: Vec<(u64, u64)>,
    next_send_id: u64,
    /// When the last request was sent. A new searcher counts as if one had just been sent: an earlier process of this
    /// instance may have.
    last_send_us: u64,
}

impl Stats {
    fn new(now_us: u64) -> Self {
        Self {
            slowness: INITIAL_SLOWNESS,
            failure_rate: 0.0,
            updated_us: now_us,
            loss_rate: 0.0,
            loss_updated_us: now_us,
            backoff_until_us: 0,
            backoff_us: BACKOFF_MIN_US,
            bucket: None,
            in_flight: Vec::new(),
            next_send_id: 0,
            last_send_us: now_us,
        }
    }

    /// Returns the weight that the last observation still has.
    fn decay_factor(&self, now_us: u64) -> f64 {
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
        1.0 + (self.slowness - 1.0) * self.decay_factor(now_us)
    }

    fn failure_rate(&self, now_us: u64) -> f64 {
        self.failure_rate * self.decay_factor(now_us)
    }

    fn observe(&mut self, now_us: u64, slowness: Option<f64>, failed: bool) {
        let decayed = self.slowness(now_us);
        let rate = self.failure_rate(now_us);
        self.slowness = match slowness {
            Some(sample) => decayed + (sample.clamp(0.2, SLOWNESS_MAX) - decayed) * SLOWNESS_GAIN,
            None => decayed,
        };
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate = rate + (sample - rate) * FAILURE_GAIN;
        self.updated_us = now_us;
    }

    fn back_off(&mut self, now_us: u64) {
        self.backoff_until_us = now_us + self.backoff_us;
        self.backoff_us = (self.backoff_us * 2).min(BACKOFF_MAX_US);
    }
}

struct Entry {
    endpoint: sync::Arc<endpoint::Endpoint>,
    /// Its region; empty if it is not known.
    region: CompactString,
    /// Whether its failure domain is evacuated.
    is_evacuated: bool,
    /// What its entry says of its cold time.
    cold_entry: cold::Entry,
    /// How it is limited while it is cold; `None` if it is not.
    cold_limit: Option<ColdLimit>,
    connections_max: u32,
    stats: Stats,
    backlog: backlog::Backlog,
}

impl Entry {
    /// Whether this instance has known the searcher for a while and never sent a request to it.
    fn is_untried(&self, now_us: u64) -> bool {
        let is_unused = self.stats.next_send_id == 0;
        let known_us = now_us.saturating_sub(self.stats.last_send_us);
        is_unused
            && known_us >= TRIAL_AFTER_US
            && self.endpoint.distance != endpoint::Distance::OtherRegion
    }
}

/// How a searcher is limited while it is cold.
#[derive(Clone, Copy, Debug)]
struct ColdLimit {
    /// Until when it is cold by its entry.
    until_us: u64,
    /// This instance's part, in requests per second; `None` if it has none.
    part_per_s: Option<f64>,
    /// Whether it was cold when the limits were last computed.
    was_cold: bool,
}

/// Identifies a send in flight among those to the same searcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendId(u64);

/// A searcher returned by [`Balancer::find`]; invalid after [`Balancer::sync`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    index: usize,
    expected_us: u64,
    /// The median processing time of the request's route, or its expected work.
    work_us: u64,
}

/// The searcher selected for a send.
pub struct Choice {
    /// The searcher's endpoint.
    pub endpoint: sync::Arc<endpoint::Endpoint>,
    /// To be passed to [`Balancer::finish_send`].
    pub send_id: SendId,
    /// The expected latency.
    pub expected_us: u64,
}

/// The properties of a request that affect the selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestProfile<'a> {
    /// The median processing time of its route.
    pub median_processing_us: u64,
    /// The priority of its route; 0 is the most urgent.
    pub priority: u8,
    /// Added to the cost of searchers in other regions, since traffic between regions is expensive.
    pub cross_region_penalty_us: u64,
    /// The regions whose searchers may be used.
    pub homes: &'a homes::Homes,
}

/// All searchers that accept new requests, with their statistics.
#[derive(Default)]
pub struct Balancer {
    /// Sorted by service, then id.
    entries: Vec<Entry>,
    instance_counts: InstanceCounts,
    sharers: limit::Sharers,
    /// Pairs of a failure domain and its region, sorted.
    regions: Vec<(CompactString, CompactString)>,
    /// The failure domains whose searchers get no requests, sorted.
    evacuated: Vec<CompactString>,
    cold_shares: cold::Shares,
    cold_tolerance: cold::Tolerance,
    send_limit: sync::Arc<send_limit::SendLimit>,
    routing: routing::Routing,
    /// Used only with [`routing::Routing::ExpectedWork`].
    costs: cost::Model,
    /// The source of the random part of costs.
    jitter: Random,
    /// Decides which requests may be trials.
    trials: Random,
}

struct Random(cell::RefCell<rngs::SmallRng>);

impl Random {
    fn from_seed(seed: u64) -> Self {
        Self(cell::RefCell::new(rngs::SmallRng::seed_from_u64(seed)))
    }
}

impl Default for Random {
    fn default() -> Self {
        Self(cell::RefCell::new(rand::make_rng()))
    }
}

/// The number of instances that share the searchers' connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InstanceCounts {
    /// The active instances: those that clients are sent to.
    pub active: u32,
    /// The active instances in this instance's region.
    pub active_in_region: u32,
    /// Whether this instance is active, or draining: clients may still use a draining instance's address.
    pub is_active: bool,
}

impl Balancer {
    /// Creates a balancer without searchers. `regions` pairs each failure domain with its region, sorted.
    pub fn new(regions: Vec<(CompactString, CompactString)>) -> Self {
        Self { regions, ..Self::default() }
    }

    /// Bounds the sends to all searchers together, and the connections to those that are added from now on.
    pub fn set_send_limit(&mut self, send_limit: send_limit::SendLimit) {
        self.send_limit = send_limit.into();
    }

    /// The bound on the sends to all searchers together.
    pub fn send_limit(&self) -> &sync::Arc<send_limit::SendLimit> {
        &self.send_limit
    }

    /// Sets the rule by which searchers are selected.
    pub fn set_routing(&mut self, routing: routing::Routing) {
        self.routing = routing;
    }

    /// Makes the random part of the selection depend on `seed` alone.
    pub fn set_seed(&mut self, seed: u64) {
        self.jitter = Random::from_seed(seed);
        self.trials = Random::from_seed(!seed);
    }

    /// Returns the expected work of a request, or `median_processing_us`, the median processing time of its route, if
    /// searchers are not selected by expected work.
    pub fn expected_work_us(
        &self,
        now_us: u64,
        route: &str,
        size: cost::RequestSize,
        median_processing_us: u64,
    ) -> u64 {
        match self.routing {
            routing::Routing::Latency => median_processing_us,
            routing::Routing::ExpectedWork => {
                self.costs.expected_us(now_us, route, size, median_processing_us as f64) as u64
            }
        }
    }

    /// Learns from the work of an answered request.
    pub fn record_work(
        &mut self,
        now_us: u64,
        route: &str,
        size: cost::RequestSize,
        sample: backlog::WorkSample,
    ) {
        self.costs.record(now_us, route, size, sample.actual_us);
    }

    /// Drops what is known about routes that are not in `names`, which must be sorted.
    pub fn retain_routes(&mut self, names: &[&str]) {
        self.costs.retain_routes(names);
    }

    /// Returns the expected work of all sends in flight that is not done yet, 0 if it is not tracked.
    pub fn outstanding_work_us(&self, now_us: u64) -> f64 {
        self.entries.iter().map(|entry| entry.backlog.outstanding_us(now_us)).sum()
    }

    /// Sets the instances that divide the limits of searchers.
    pub fn set_sharers(&mut self, sharers: limit::Sharers) {
        self.sharers = sharers;
    }

    /// Sets the number of instances that share the searchers' connections.
    pub fn set_instance_counts(&mut self, instance_counts: InstanceCounts) {
        self.instance_counts = instance_counts;
    }

    /// Replaces the searchers by the ready ones of `records`. Searchers that stay keep their statistics.
    pub fn sync(
        &mut self,
        now_us: u64,
        records: &[registry::SearcherChange],
        distance: impl Fn(&str) -> endpoint::Distance,
        connections_max: impl Fn(&config::ServiceName) -> u32,
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
            let cold_entry =
                cold::Entry { boot_ms: searcher.boot_ms, cold_until_ms: searcher.cold_until_ms };
            let entry = match known {
                Some(index) => Entry { connections_max, cold_entry, ..old.swap_remove(index) },
                None => {
                    let region = self.region_of(&searcher.domain).into();
                    let distance = distance(&searcher.domain);
                    let endpoint = endpoint::Endpoint::new(
                        record.id.clone(),
                        searcher.clone(),
                        distance,
                        self.send_limit.clone(),
                    );
                    Entry {
                        endpoint: sync::Arc::new(endpoint),
                        region,
                        cold_entry,
                        cold_limit: None,
                        is_evacuated: self.evacuated.binary_search(&searcher.domain).is_ok(),
                        connections_max,
                        stats: Stats::new(now_us),
                        backlog: backlog::Backlog::new(now_us),
                    }
                }
            };
            self.entries.push(entry);
        }
        self.entries.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
    }

    /// Replaces the failure domains whose searchers get no requests. `zones` is sorted.
    pub fn set_evacuated(&mut self, zones: Vec<CompactString>) {
        if zones == self.evacuated {
            return;
        }
        for entry in &mut self.entries {
            entry.is_evacuated = zones.binary_search(&entry.endpoint.searcher.domain).is_ok();
        }
        self.evacuated = zones;
    }

    /// Sets by how much the limits of cold searchers may be exceeded.
    pub fn set_cold_tolerance(&mut self, tolerance: cold::Tolerance) {
        self.cold_tolerance = tolerance;
    }

    /// Records the instances that divide the limits of cold searchers. `me` is this instance, if clients are sent to it.
    pub fn observe_cold_sharers(
        &mut self,
        now_us: u64,
        me: Option<limit::Sharer>,
        active: &[limit::Sharer],
    ) {
        self.cold_shares.observe(now_us, me, active);
    }

    /// Computes the limits of cold searchers. `unix_ms` is the Unix time at `now_us`, `rule` the rule of a service.
    pub fn update_cold_limits(
        &mut self,
        now_us: u64,
        unix_ms: u64,
        rule: impl Fn(&config::ServiceName) -> Option<cold::Rule>,
    ) {
        for entry in &mut self.entries {
            let Some(rule) = rule(&entry.endpoint.searcher.service) else {
                entry.cold_limit = None;
                continue;
            };
            let until_us = rule.cold_until_us(now_us, unix_ms, entry.cold_entry);
            let id = &entry.endpoint.id;
            let tolerance = self.cold_tolerance;
            let part_per_s = self.cold_shares.part_per_s(id, &entry.region, rule.per_s, tolerance);
            let is_cold = now_us < until_us.max(entry.endpoint.cold_until_us());
            if is_cold != entry.cold_limit.is_some_and(|limit| limit.was_cold) {
                event!(
                    info,
                    Event::SearcherCold,
                    searcher = %id,
                    is_cold,
                    part_per_s = part_per_s.unwrap_or(0.0)
                );
            }
            entry.cold_limit = Some(ColdLimit { until_us, part_per_s, was_cold: is_cold });
        }
    }

    /// Returns the number of searchers that were cold when the limits were last computed.
    pub fn cold_count(&self) -> usize {
        let limits = self.entries.iter().filter_map(|entry| entry.cold_limit);
        limits.filter(|limit| limit.was_cold).count()
    }

    /// Returns the number of searchers that are excluded because their failure domain is evacuated.
    pub fn evacuated_count(&self) -> usize {
        self.entries.iter().filter(|entry| entry.is_evacuated).count()
    }

    /// Finds the best searcher of `service` that is not in `tried`; one in backoff only if there is no other.
    /// `None` if there is none below its limit of concurrent sends.
    pub fn find(
        &self,
        now_us: u64,
        service: &config::ServiceName,
        tried: &[CompactString],
        profile: RequestProfile<'_>,
    ) -> Option<Candidate> {
        let start =
            self.entries.partition_point(|entry| entry.endpoint.searcher.service < *service);
        let mut best: Option<(bool, f64, usize, u64)> = None;
        let mut jitter = self.jitter.0.borrow_mut();
        let may_try = tried.is_empty() && self.may_try();
        for (index, entry) in self.entries.iter().enumerate().skip(start) {
            if entry.endpoint.searcher.service != *service {
                break;
            }
            if tried.contains(&entry.endpoint.id) || !is_usable(entry, profile.homes) {
                continue;
            }
            let connections_cap =
                self.connections_cap(entry).min(entry.endpoint.connections_allowed(now_us));
            if entry.stats.in_flight.len() >= connections_cap
                || now_us < self.accepts_entry_from_us(now_us, entry, profile.priority)
            {
                continue;
            }
            let is_backed_off = now_us < entry.stats.backoff_until_us;
            let expected_us = match self.routing {
                routing::Routing::Latency => {
                    self.expected_us(now_us, entry, profile.median_processing_us)
                }
                routing::Routing::ExpectedWork => {
                    self.completion_us(now_us, entry, profile.median_processing_us)
                }
            };
            let cross_region_penalty_us = match entry.endpoint.distance {
                endpoint::Distance::OtherRegion => profile.cross_region_penalty_us as f64,
                _ => 0.0,
            };
            let cost_share =
                if may_try && entry.is_untried(now_us) { TRIAL_COST_SHARE } else { 1.0 };
            let cost = (expected_us + cross_region_penalty_us)
                * (1.0 + JITTER * jitter.random::<f64>())
                * cost_share;
            let is_better = match best {
                None => true,
                Some((best_backed_off, best_cost, _, _)) => {
                    (is_backed_off, cost) < (best_backed_off, best_cost)
                }
            };
            if is_better {
                best = Some((is_backed_off, cost, index, expected_us as u64));
            }
        }
        let (_, _, index, expected_us) = best?;
        Some(Candidate { index, expected_us, work_us: profile.median_processing_us })
    }

    /// Returns the earliest time from which a searcher of `service` that is not in `tried` accepts a request, as far
    /// as the searchers have said; one at its limit of concurrent sends may accept one at any time. `None` if there
    /// is no such searcher.
    pub fn accepts_from_us(
        &self,
        now_us: u64,
        service: &config::ServiceName,
        tried: &[CompactString],
        priority: u8,
        homes: &homes::Homes,
    ) -> Option<u64> {
        let mut earliest_us: Option<u64> = None;
        for entry in self.service_entries(service) {
            if tried.contains(&entry.endpoint.id) || !is_usable(entry, homes) {
                continue;
            }
            let from_us = self.accepts_entry_from_us(now_us, entry, priority);
            earliest_us = Some(earliest_us.map_or(from_us, |known_us| known_us.min(from_us)));
        }
        earliest_us
    }

    /// Returns how busy the searchers of `service` that are not in `tried` are.
    pub fn occupancy(
        &self,
        now_us: u64,
        service: &config::ServiceName,
        tried: &[CompactString],
        priority: u8,
        homes: &homes::Homes,
    ) -> gate::Occupancy {
        let mut occupancy = gate::Occupancy { are_all_full: true, ..gate::Occupancy::default() };
        for entry in self.service_entries(service) {
            let in_flight = entry.stats.in_flight.len();
            occupancy.in_flight += in_flight;
            if tried.contains(&entry.endpoint.id) || !is_usable(entry, homes) {
                continue;
            }
            occupancy.searchers += 1;
            occupancy.are_all_full &= now_us < entry.stats.backoff_until_us;
            if now_us >= self.accepts_entry_from_us(now_us, entry, priority) {
                let connections_cap =
                    self.connections_cap(entry).min(entry.endpoint.connections_allowed(now_us));
                occupancy.room += connections_cap.saturating_sub(in_flight);
            }
        }
        occupancy
    }

    /// Records the start of a send to a searcher found just before.
    pub fn start_send(&mut self, now_us: u64, candidate: Candidate) -> Choice {
        let limit_part = self.limit_part(&self.entries[candidate.index]);
        let profile = self.backlog_profile(&self.entries[candidate.index]);
        let entry = &mut self.entries[candidate.index];
        if let Some((bucket, rate)) = entry.stats.bucket.as_mut().zip(limit_part) {
            bucket.take(now_us, rate);
        }
        let send_id = entry.stats.next_send_id;
        entry.stats.next_send_id += 1;
        entry.stats.last_send_us = now_us;
        entry.stats.in_flight.push((send_id, now_us));
        if self.routing == routing::Routing::ExpectedWork {
            let work_us = candidate.work_us as f64;
            let estimate = entry.backlog.estimate(now_us, work_us, profile);
            entry.backlog.start(now_us, send_id, work_us, estimate);
        }
        let endpoint = entry.endpoint.clone();
        Choice { endpoint, send_id: SendId(send_id), expected_us: candidate.expected_us }
    }

    /// Records the end of a send. `median_processing_us` is the median processing time of its route, or its expected
    /// work. Returns the work of an answered send if searchers are selected by expected work.
    pub fn finish_send(
        &mut self,
        now_us: u64,
        endpoint: &endpoint::Endpoint,
        send_id: &SendId,
        median_processing_us: u64,
        report: Report,
    ) -> Option<backlog::WorkSample> {
        let found = self.entries.iter().position(|entry| {
            entry.endpoint.id == endpoint.id
                && entry.endpoint.searcher.boot_ms == endpoint.searcher.boot_ms
        });
        let index = found?;
        let profile = self.backlog_profile(&self.entries[index]);
        let entry = &mut self.entries[index];
        let sample = match self.routing {
            routing::Routing::Latency => None,
            routing::Routing::ExpectedWork => {
                let sample = finish_work(now_us, &mut entry.backlog, send_id, profile, report);
                if let Some(load) = endpoint.take_load() {
                    entry.backlog.observe_load(now_us, load);
                }
                sample
            }
        };
        let stats = &mut entry.stats;
        stats.in_flight.retain(|(known, _)| *known != send_id.0);
        match endpoint.limit() {
            Some(_) => {
                stats.bucket.get_or_insert_with(|| limit::TokenBucket::new(now_us));
            }
            None => stats.bucket = None,
        }
        let round_trip_us = endpoint.distance.round_trip_us();
        let slowness = |latency_us: u64| {
            latency_us.saturating_sub(round_trip_us) as f64 / median_processing_us.max(1) as f64
        };
        match report {
            Report::Answered { latency_us } => {
                stats.observe(now_us, Some(slowness(latency_us)), false);
                stats.observe_loss(now_us, false);
                stats.backoff_us = BACKOFF_MIN_US;
                stats.backoff_until_us = 0;
            }
            Report::Failed => stats.observe_loss(now_us, true),
            Report::Full => {
                stats.observe(now_us, None, true);
                stats.backoff_until_us = stats.backoff_until_us.max(now_us + FULL_BACKOFF_US);
            }
            // The endpoint has learned how many connections it accepts.
            Report::ConnectionReset => {}
            Report::Unreachable => {
                stats.observe(now_us, None, true);
                stats.back_off(now_us);
            }
            Report::Silent { waited_us } => {
                stats.observe(now_us, Some(slowness(waited_us)), true);
                stats.back_off(now_us);
            }
            Report::Cancelled => {}
        }
        sample
    }

    /// Returns the number of open connections to searchers.
    pub fn connection_count(&self) -> usize {
        self.entries.iter().map(|entry| entry.endpoint.connection_count()).sum()
    }

    /// Closes idle connections, those that expire first, until the sends in progress may each have a connection.
    pub fn close_excess_idle(&self) {
        for _ in 0..self.send_limit.excess_idle_count() {
            let expiring = self.entries.iter().filter_map(|entry| {
                Some((entry.endpoint.oldest_idle_expires_us()?, &entry.endpoint))
            });
            let Some((_, endpoint)) = expiring.min_by_key(|(expires_us, _)| *expires_us) else {
                return;
            };
            endpoint.close_oldest_idle();
        }
    }

    /// Closes expired idle connections.
    pub fn sweep(&self) {
        for entry in &self.entries {
            entry.endpoint.sweep();
        }
    }

    /// Returns from when a searcher accepts a request of `priority`, by the pause and the limit that it has named.
    fn accepts_entry_from_us(&self, now_us: u64, entry: &Entry, priority: u8) -> u64 {
        let from_us = now_us.max(entry.endpoint.paused_until_us()).max(cold_from_us(now_us, entry));
        let Some((bucket, rate)) = entry.stats.bucket.zip(self.limit_part(entry)) else {
            return from_us;
        };
        from_us.max(bucket.allows_from_us(now_us, rate, priority))
    }

    /// Whether the next request may be a trial of a searcher: on average, one of as many requests as there are active
    /// instances in the region, which would all try a new searcher at once.
    fn may_try(&self) -> bool {
        self.trials.0.borrow_mut().random_ratio(1, self.instance_counts.active_in_region.max(1))
    }

    /// Returns this instance's part of the limit that a searcher has named; `None` if it has named none.
    fn limit_part(&self, entry: &Entry) -> Option<limit::RequestRate> {
        let limit = entry.endpoint.limit()?;
        Some(self.sharers.part(&entry.endpoint.id, &entry.region, limit))
    }

    /// Returns the region of a failure domain; empty if it is not known.
    fn region_of(&self, domain: &str) -> &str {
        let found = self.regions.binary_search_by(|(known, _)| known.as_str().cmp(domain));
        found.map_or("", |index| self.regions[index].1.as_str())
    }

    /// Returns how many connections this instance may have to a searcher: its limit of concurrent sends.
    fn connections_cap(&self, entry: &Entry) -> usize {
        if !self.instance_counts.is_active {
            return 1;
        }
        let in_region = self.instance_counts.active_in_region.max(1);
        let (share, instance_count) = match entry.endpoint.distance {
            endpoint::Distance::OtherRegion => (
                OTHER_REGION_CONNECTIONS_SHARE,
                self.instance_counts.active.saturating_sub(in_region).max(1),
            ),
            _ => (SAME_REGION_CONNECTIONS_SHARE, in_region),
        };
        let cap = f64::from(entry.connections_max) * share / f64::from(instance_count);
        (cap as usize).max(1)
    }

    fn expected_us(&self, now_us: u64, entry: &Entry, median_processing_us: u64) -> f64 {
        let stats = &entry.stats;
        let round_trip_us = entry.endpoint.distance.round_trip_us() as f64;
        let processing_us = median_processing_us as f64 * stats.slowness(now_us);
        let slots = f64::from(entry.endpoint.searcher.slots.max(1));
        // Every active instance of this region is assumed to have as many sends in flight to a searcher of the
        // region as this one; for other searchers, only this instance's sends are counted.
        let sharing_count = match entry.endpoint.distance {
            endpoint::Distance::OtherRegion => 1.0,
            _ => f64::from(self.instance_counts.active_in_region.max(1)),
        };
        let waiting = (stats.in_flight.len() as f64 * sharing_count - slots + 1.0).max(0.0);
        let mut expected_us = round_trip_us + processing_us * (1.0 + waiting / slots);
        let oldest_us = stats.in_flight.iter().map(|(_, sent_us)| *sent_us).min();
        if let Some(oldest_us) = oldest_us {
            let age_us = now_us.saturating_sub(oldest_us) as f64;
            let limit_us = (round_trip_us + processing_us) * STALL_FACTOR + STALL_SLACK_US;
            if age_us > limit_us {
                expected_us += age_us.clamp(STALL_MAX_US / 3.0, STALL_MAX_US);
            }
        }
        expected_us + failure_cost_us(now_us, stats, median_processing_us)
    }

    /// Returns the expected time to the end of the answer to a request with this expected work, and the penalties for
    /// failures.
    fn completion_us(&self, now_us: u64, entry: &Entry, work_us: u64) -> f64 {
        let profile = self.backlog_profile(entry);
        let estimate = entry.backlog.estimate(now_us, work_us as f64, profile);
        estimate.total_us + failure_cost_us(now_us, &entry.stats, work_us)
    }

    fn backlog_profile(&self, entry: &Entry) -> backlog::Profile {
        // As for the expected latency, only instances of the searcher's region are assumed to use it.
        let sharing_count = match entry.endpoint.distance {
            endpoint::Distance::OtherRegion => 1,
            _ => self.instance_counts.active_in_region.max(1),
        };
        backlog::Profile {
            round_trip_us: entry.endpoint.distance.round_trip_us() as f64,
            slots: f64::from(entry.endpoint.searcher.slots.max(1)),
            sharing_count: f64::from(sharing_count),
        }
    }

    fn service_entries(&self, service: &config::ServiceName) -> impl Iterator<Item = &Entry> {
        let start =
            self.entries.partition_point(|entry| entry.endpoint.searcher.service < *service);
        let end = self.entries.partition_point(|entry| entry.endpoint.searcher.service <= *service);
        self.entries[start..end].iter()
    }
}

/// Returns from when a searcher accepts a request by its limit while it is cold.
fn cold_from_us(now_us: u64, entry: &Entry) -> u64 {
    let Some(limit) = &entry.cold_limit else {
        return now_us;
    };
    let until_us = limit.until_us.max(entry.endpoint.cold_until_us());
    let from_us = match limit.part_per_s {
        Some(per_s) => cold::next_us(entry.stats.last_send_us, per_s),
        None => until_us,
    };
    from_us.min(until_us).max(now_us)
}

/// Whether a request with these home regions may be sent to a searcher at all.
fn is_usable(entry: &Entry, homes: &homes::Homes) -> bool {
    !entry.endpoint.is_gone() && !entry.is_evacuated && homes.allows(&entry.region)
}

/// Returns the expected cost of a rejection and of a lost answer.
fn failure_cost_us(now_us: u64, stats: &Stats, median_processing_us: u64) -> f64 {
    let median_processing_us = median_processing_us as f64;
    stats.failure_rate(now_us) * (FAILURE_COST_US + median_processing_us)
        + stats.loss_rate(now_us) * (LOSS_COST_US + median_processing_us)
}

fn finish_work(
    now_us: u64,
    backlog: &mut backlog::Backlog,
    send_id: &SendId,
    profile: backlog::Profile,
    report: Report,
) -> Option<backlog::WorkSample> {
    let (took_us, is_answered) = match report {
        Report::Answered { latency_us } => (Some(latency_us), true),
        Report::Silent { waited_us } => (Some(waited_us), false),
        _ => (None, false),
    };
    backlog.finish(now_us, send_id.0, took_us, is_answered, profile)
}

fn sort_key(entry: &Entry) -> (&config::ServiceName, &compact_str::CompactString) {
    (&entry.endpoint.searcher.service, &entry.endpoint.id)
}
