//! How often the requests of each tenant, or of each route, are served compared with all requests.

use compact_str::CompactString;

/// The half-life of the counts: long enough that tenants with a request in some seconds are judged by several.
const HALF_LIFE_US: f64 = 20_000_000.0;
/// Counts are decayed in steps of at least this, which is much shorter than the half-life.
const DECAY_STEP_US: u64 = 50_000;
/// A name is behind if it is served less than this share as often as all. The requirement is a quarter; the rest is a
/// margin, since other instances and the noise of small numbers count too.
const BEHIND_SHARE: f64 = 0.4;
/// The most names that are counted. Further ones are never behind.
const NAMES_MAX: usize = 1_024;
/// Names whose decayed count is below this are forgotten when there is no room for others.
const FORGET_BELOW: f64 = 0.2;

#[derive(Clone, Debug, Default)]
struct Counts {
    offered: f64,
    served: f64,
    updated_us: u64,
}

impl Counts {
    fn decay(&mut self, now_us: u64) {
        let age_us = now_us.saturating_sub(self.updated_us);
        if age_us < DECAY_STEP_US {
            return;
        }
        let factor = (-(age_us as f64) / HALF_LIFE_US).exp2();
        self.offered *= factor;
        self.served *= factor;
        self.updated_us = now_us;
    }
}

/// Decayed counts of the requests that were offered and served, by name.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    /// Sorted by name.
    names: Vec<(CompactString, Counts)>,
    total: Counts,
}

impl Shares {
    /// Counts a request that has arrived.
    pub fn record_offered(&mut self, now_us: u64, name: &str) {
        self.total.decay(now_us);
        self.total.offered += 1.0;
        if let Some(counts) = self.counts(now_us, name) {
            counts.offered += 1.0;
        }
    }

    /// Counts a request as served, or no longer so if it turned out that it did not run.
    pub fn record_served(&mut self, now_us: u64, name: &str, is_served: bool) {
        let change = if is_served { 1.0 } else { -1.0 };
        self.total.decay(now_us);
        self.total.served = (self.total.served + change).max(0.0);
        if let Some(counts) = self.counts(now_us, name) {
            counts.served = (counts.served + change).max(0.0);
        }
    }

    /// Whether the requests of `name` before the one that has just arrived were served much less often than all.
    pub fn is_underserved(&self, name: &str) -> bool {
        let Ok(at) = self.position(name) else {
            return false;
        };
        let counts = &self.names[at].1;
        let earlier = counts.offered - 1.0;
        if earlier < 0.5 || self.total.offered <= 0.0 {
            return false;
        }
        counts.served / earlier < BEHIND_SHARE * self.total.served / self.total.offered
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.names.binary_search_by(|(known, _)| known.as_str().cmp(name))
    }

    fn counts(&mut self, now_us: u64, name: &str) -> Option<&mut Counts> {
        let at = match self.position(name) {
            Ok(at) => at,
            Err(_) => {
                if self.names.len() >= NAMES_MAX {
                    self.forget(now_us);
                }
                let at = self.position(name).err().filter(|_| self.names.len() < NAMES_MAX)?;
                self.names.insert(at, (name.into(), Counts::default()));
                at
            }
        };
        let counts = &mut self.names[at].1;
        counts.decay(now_us);
        Some(counts)
    }

    fn forget(&mut self, now_us: u64) {
        self.names.retain_mut(|(_, counts)| {
            counts.decay(now_us);
            counts.offered >= FORGET_BELOW
        });
    }
}
