//! Admission control: an owner computes which share of each rank's queries its backend server can
//! serve, and entry instances admit that share.
//!
//! An entry instance admits a query if a hash of its id is below the share. All calls of a query
//! are thus admitted or refused together, and a query that passes a small share also passes every
//! larger one. Each call carries the inverse of the share that was applied, so that an owner can
//! compute the offered load from the admitted one.

use crate::choose;
use crate::estimate;
use crate::ids;
use crate::rank;
use serde::{Deserialize, Serialize};

/// The share of the slots' time that is granted to queries.
const TARGET_UTILISATION: f64 = 0.95;
/// Floors are granted with this factor, since shares are estimates and a floor is guaranteed.
const FLOOR_MARGIN: f64 = 1.05;
/// The time constant of the mean service times.
const SERVICE_TIME_CONSTANT_US: u64 = 2_000_000;
/// How fast a correction grows: by this much per second while none of a grant is used.
const CORRECTION_GAIN_PER_S: f64 = 1.0;
/// The wait for a slot up to which grants are not reduced, in service times.
const WAIT_ALLOWED_SERVICE_TIMES: f64 = 4.0;
/// A longer queue is drained over this time.
const QUEUE_DRAIN_US: f64 = 500_000.0;
/// The smallest part of its grant that a rank keeps while its queue is drained.
const DRAIN_FACTOR_MIN: f64 = 0.5;
/// The largest correction factor.
const CORRECTION_MAX: f64 = 1.5;
/// How long a received share is used unchanged.
const SHARE_FRESH_US: u64 = 200_000;
/// How much a share grows per second after that until the next one is received.
const STALE_GROWTH_PER_S: f64 = 0.1;
/// Searchers whose share is below this fraction of the chosen one's are left out of the mean.
const SIMILAR_SHARE_RATIO_MIN: f64 = 0.5;
/// The smallest share, so that some calls are always sent whose replies update it.
const SHARE_MIN: f64 = 0.001;

/// The share of each rank's queries to admit, in units of 1/65535.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fractions(pub [u16; rank::RANK_COUNT]);

impl Default for Fractions {
    fn default() -> Self {
        Self([u16::MAX; rank::RANK_COUNT])
    }
}

impl Fractions {
    /// The share of `rank`, from 0 to 1.
    pub fn share(&self, rank: rank::Rank) -> f64 {
        f64::from(self.0[rank.index()]) / f64::from(u16::MAX)
    }
}

/// The owner's side of admission control, one per backend server.
#[derive(Clone, Debug)]
pub struct Controller {
    floors: [f64; rank::RANK_COUNT],
    offered: [estimate::Rate; rank::RANK_COUNT],
    /// Calls received since the last update of the corrections.
    received: [u32; rank::RANK_COUNT],
    corrections: [f64; rank::RANK_COUNT],
    corrected_us: u64,
    service: [estimate::DecayingMean; rank::RANK_COUNT],
    default_service_us: f64,
}

impl Controller {
    /// Creates a controller. `service_us` is assumed until a service time is measured.
    pub fn new(now_us: u64, floors_percent: [u8; rank::RANK_COUNT], service_us: u64) -> Self {
        Self {
            floors: floors_percent.map(|percent| FLOOR_MARGIN * f64::from(percent) / 100.0),
            offered: [estimate::Rate::new(now_us); rank::RANK_COUNT],
            received: [0; rank::RANK_COUNT],
            corrections: [1.0; rank::RANK_COUNT],
            corrected_us: now_us,
            service: [estimate::DecayingMean::new(SERVICE_TIME_CONSTANT_US); rank::RANK_COUNT],
            default_service_us: service_us as f64,
        }
    }

    /// Records a received call, whether or not it is served. `weight` is the weight that the call
    /// carries.
    pub fn record_offered(&mut self, now_us: u64, rank: rank::Rank, weight: f32) {
        self.offered[rank.index()].record(now_us, f64::from(weight).max(1.0));
        self.received[rank.index()] += 1;
    }

    /// Records an answered call that held its slot for `service_us`.
    pub fn record_answer(&mut self, now_us: u64, rank: rank::Rank, service_us: u64) {
        self.service[rank.index()].record(now_us, service_us as f64);
    }

    /// Computes the shares to admit, given the usable `slots` and the number of `queued` calls of
    /// each rank. They are sent with every reply.
    pub fn fractions(
        &mut self,
        now_us: u64,
        slots: usize,
        queued: [usize; rank::RANK_COUNT],
    ) -> Fractions {
        let offered = self.offered_load(now_us);
        let mut granted = allocate(slots as f64, &self.floors, &offered);
        let spare = (slots as f64 - granted.iter().sum::<f64>()).max(0.0);
        for index in 0..rank::RANK_COUNT {
            granted[index] *= self.drain_factor(index, queued[index], granted[index] + spare);
        }
        self.update_corrections(now_us, &granted, &offered);
        let mut fractions = Fractions::default();
        for index in 0..rank::RANK_COUNT {
            if granted[index] >= offered[index] {
                continue;
            }
            let share = granted[index] / offered[index] * self.corrections[index];
            let share = share.clamp(SHARE_MIN, 1.0);
            fractions.0[index] = (share * f64::from(u16::MAX)) as u16;
        }
        fractions
    }

    /// The factor by which a rank's grant is reduced while its queue is too long for the `slots` it
    /// can use.
    fn drain_factor(&self, index: usize, queued: usize, slots: f64) -> f64 {
        if queued == 0 {
            return 1.0;
        }
        let service_us = self.service_us(index);
        let wait_us = queued as f64 * service_us / slots.max(f64::MIN_POSITIVE);
        let allowed_us =
            WAIT_ALLOWED_SERVICE_TIMES * service_us * (1.0 + 1.0 / slots.max(f64::MIN_POSITIVE));
        let excess_us = (wait_us - allowed_us).max(0.0);
        (1.0 - excess_us / QUEUE_DRAIN_US).max(DRAIN_FACTOR_MIN)
    }

    /// Updates the factors that raise the shares. A query is admitted by the smallest share among
    /// its calls, so an owner receives less than it granted; each owner measures its shortfall and
    /// compensates for it.
    fn update_corrections(
        &mut self,
        now_us: u64,
        granted: &[f64; rank::RANK_COUNT],
        offered: &[f64; rank::RANK_COUNT],
    ) {
        let elapsed_s = now_us.saturating_sub(self.corrected_us) as f64 / 1e6;
        self.corrected_us = self.corrected_us.max(now_us);
        for index in 0..rank::RANK_COUNT {
            let received_us =
                f64::from(std::mem::take(&mut self.received[index])) * self.service_us(index);
            if granted[index] >= offered[index] {
                self.corrections[index] = 1.0;
                continue;
            }
            let served_s = received_us / granted[index].max(f64::MIN_POSITIVE) / 1e6;
            let correction =
                self.corrections[index] + CORRECTION_GAIN_PER_S * (elapsed_s - served_s);
            self.corrections[index] = correction.clamp(1.0, CORRECTION_MAX);
        }
    }

    /// The number of slots that each rank would keep busy if all its queries were admitted.
    fn offered_load(&mut self, now_us: u64) -> [f64; rank::RANK_COUNT] {
        let mut load = [0.0; rank::RANK_COUNT];
        for (index, load) in load.iter_mut().enumerate() {
            *load = self.offered[index].per_us(now_us) * self.service_us(index);
        }
        load
    }

    fn service_us(&self, index: usize) -> f64 {
        if let Some(mean_us) = self.service[index].mean() {
            return mean_us;
        }
        let measured = self.service.iter().find_map(|service| service.mean());
        measured.unwrap_or(self.default_service_us)
    }
}

/// Distributes the target share of `slots`: first to each rank up to its floor and its offered
/// load, then the remainder in order of urgency.
fn allocate(
    slots: f64,
    floors: &[f64; rank::RANK_COUNT],
    offered: &[f64; rank::RANK_COUNT],
) -> [f64; rank::RANK_COUNT] {
    let mut granted = [0.0; rank::RANK_COUNT];
    let mut remaining = slots * TARGET_UTILISATION;
    for index in 0..rank::RANK_COUNT {
        granted[index] = offered[index].min(floors[index] * slots).min(remaining);
        remaining -= granted[index];
    }
    for index in 0..rank::RANK_COUNT {
        let extra = (offered[index] - granted[index]).min(remaining);
        granted[index] += extra;
        remaining -= extra;
    }
    granted
}

/// The decision on a query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The query is admitted; its calls carry the weight.
    Admit {
        /// The inverse of the share that was applied, at least 1.
        weight: f32,
    },
    /// The query is refused; nothing is sent.
    Refuse,
}

#[derive(Clone, Copy, Debug, Default)]
struct ReceivedFractions {
    fractions: Fractions,
    received_us: u64,
}

/// The entry instance's side of admission control, one per service. Searchers are identified by
/// their index in the service's layout.
#[derive(Clone, Debug)]
pub struct Gate {
    latest: Vec<ReceivedFractions>,
}

impl Gate {
    /// Creates a gate that admits everything until shares are received.
    pub fn new(searcher_count: usize) -> Self {
        Self { latest: vec![ReceivedFractions::default(); searcher_count] }
    }

    /// Stores the shares received with a reply.
    pub fn update(&mut self, now_us: u64, searcher: u16, fractions: Fractions) {
        let Some(latest) = self.latest.get_mut(usize::from(searcher)) else {
            return;
        };
        *latest = ReceivedFractions { fractions, received_us: now_us };
    }

    /// The share of `rank` to admit to `searcher`.
    pub fn share(&self, now_us: u64, searcher: u16, rank: rank::Rank) -> f64 {
        let Some(latest) = self.latest.get(usize::from(searcher)) else {
            return 1.0;
        };
        let stale_us = now_us.saturating_sub(latest.received_us).saturating_sub(SHARE_FRESH_US);
        let grown = latest.fractions.share(rank) + STALE_GROWTH_PER_S * stale_us as f64 / 1e6;
        grown.min(1.0)
    }

    /// Decides on a query with the given plan. The share of a call is the mean over the searchers
    /// that could serve it: calls are spread over these, so the errors of their shares cancel out.
    pub fn decide(
        &self,
        now_us: u64,
        query: ids::QueryId,
        rank: rank::Rank,
        layout: &choose::Layout,
        plan: &choose::Plan,
    ) -> Admission {
        let mut share = 1.0_f64;
        for call in &plan.calls {
            share = share.min(self.mean_share(now_us, rank, layout, call));
        }
        if admission_hash(query) >= share {
            return Admission::Refuse;
        }
        Admission::Admit { weight: (1.0 / share) as f32 }
    }

    fn mean_share(
        &self,
        now_us: u64,
        rank: rank::Rank,
        layout: &choose::Layout,
        call: &choose::Call,
    ) -> f64 {
        let chosen = self.share(now_us, call.searcher, rank);
        if chosen >= 1.0 {
            return chosen;
        }
        let mut sum = chosen;
        let mut count = 1.0;
        for holder in layout.holders_of(call) {
            let share = self.share(now_us, *holder, rank);
            if *holder == call.searcher || share < chosen * SIMILAR_SHARE_RATIO_MIN {
                continue;
            }
            sum += share;
            count += 1.0;
        }
        sum / count
    }
}

/// Maps a query id to [0, 1), with the same result on every instance.
pub fn admission_hash(query: ids::QueryId) -> f64 {
    let hash = xxhash_rust::xxh3::xxh3_64(&query.0.to_le_bytes());
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
