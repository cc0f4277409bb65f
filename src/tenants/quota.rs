//! Decides whether a request is within its tenant's quota, without asking another instance. It does no I/O and reads
//! no clock.
//!
//! Hubs tell the level of a tenant's token bucket for the whole fleet ([`crate::tenants::usage`]). An instance admits
//! its share of that level until the hub has included its admissions. Beside, it has a credit that fills with its share
//! of the rate: all that it may spend while no hub tells it anything.

use crate::tenants::tenant;
use crate::tenants::usage;
use compact_str::CompactString;
use std::net;
use xxhash_rust::xxh3;

/// The part of the slack by which the fleet's bucket is larger than the burst.
const CAPACITY_SLACK: f64 = 0.45;
/// The part of the slack with which a bucket starts. It starts without the burst, since all instances may have
/// restarted right after the burst was used.
const INITIAL_SLACK: f64 = 0.25;
/// An instance may admit one request although its share of the level is less, if the level is at least this part of the
/// slack.
const FREE_LEVEL_SLACK: f64 = 0.05;
/// All instances together may admit this many times the level as free requests, if that is more than one each.
const FREE_LEVEL_SHARE: f64 = 3.0;
/// One instance may admit at least the first and at most the second of these parts of the level as free requests, if
/// that is more than one.
const FREE_LEVEL_PARTS: (f64, f64) = (0.08, 0.33);
/// The part of the slack that may be admitted before a hub has included it. A tenant with more demand gets no free
/// requests.
const UNKNOWN_SLACK: f64 = 0.4;
/// The part of the level that may be admitted in the same way.
const UNKNOWN_LEVEL: f64 = 0.25;
/// The longest time from an admission until all instances know the level without it: two reports and two journeys
/// between regions.
const UNKNOWN_S: f64 = 0.45;
/// The part of the slack that the credits of all instances may hold beside the burst.
const CREDIT_SLACK: f64 = 0.9;
/// The burst that local credits hold at least while a hub tells levels, as a share of the slack: small tenants can't use
/// up the slack, and need it where their requests arrive unevenly.
const TOLD_BURST_SLACK: f64 = 0.1;
/// The credit fills more slowly while the level is negative, and not at all from this part of the slack on.
const DEBT_SLACK: f64 = 0.25;
/// The levels that a hub has told are used for this long after its last message.
const FRESH_US: u64 = 1_000_000;
/// A hub is preferred from this time of accounting on: the levels of young ones are too low.
const HUB_YOUNG_US: u64 = 20_000_000;
/// A hub is preferred if at least this part of the instances that report to any hub report to it.
const HUB_REPORTERS_SHARE: f64 = 0.75;
/// How long an instance counts as serving after the last request with a quota.
const SERVING_KEEP_US: u64 = 20_000_000;
/// The shortest and the longest `Retry-After` time.
const RETRY_MIN_MS: f64 = 50.0;
const RETRY_MAX_MS: f64 = 60_000.0;

/// The fleet-wide bound: in any window, at most (rate x window + burst) x (1 + overage) + slack requests of a tenant run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// The window.
    pub window_us: u64,
    /// The relative overage.
    pub overage: f64,
    /// The absolute overage, in requests.
    pub slack: f64,
}

impl Rule {
    /// The most requests of a tenant that may run in any window.
    pub fn bound(&self, quota: tenant::Quota) -> f64 {
        let window_s = self.window_us as f64 / 1e6;
        (quota.rate_per_s * window_s + quota.burst) * (1.0 + self.overage) + self.slack
    }

    /// The capacity of the fleet's bucket.
    pub fn capacity(&self, quota: tenant::Quota) -> f64 {
        quota.burst + self.slack * CAPACITY_SLACK
    }

    /// The burst that the local credits of all instances together hold while a hub tells levels, which hold it too: what
    /// the bound leaves beside these, so that a jump of the demand can't use both.
    fn told_burst(&self, quota: tenant::Quota) -> f64 {
        let window_s = self.window_us as f64 / 1e6;
        let used = quota.rate_per_s * window_s + self.capacity(quota) + self.slack * CREDIT_SLACK;
        (self.bound(quota) - used).max(self.slack * TOLD_BURST_SLACK).min(quota.burst)
    }

    /// The level with which the fleet's bucket starts.
    pub fn initial_level(&self, quota: tenant::Quota) -> f64 {
        (self.slack * INITIAL_SLACK).min(self.capacity(quota))
    }
}

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is within the quota, and counts.
    Admitted,
    /// It is over the quota.
    Refused {
        /// When the tenant has credit again.
        retry_after_ms: u64,
    },
}

/// What is known of one tenant.
#[derive(Clone, Debug)]
struct Entry {
    tenant: CompactString,
    admitted: u64,
    offered: u64,
    credit: f64,
    credit_us: u64,
    /// What a hub told last; `None` before that.
    told: Option<usage::TenantLevel>,
}

/// A hub that this instance reports to.
#[derive(Clone, Debug)]
struct Hub {
    address: net::SocketAddr,
    is_same_region: bool,
    heard_us: u64,
    age_us: u64,
    reporters: u32,
}

/// What was last reported on one connection.
#[derive(Clone, Debug, Default)]
pub struct Reported {
    at_us: Option<u64>,
    wants_levels: Option<u32>,
    /// Sorted by tenant.
    counts: Vec<usage::TenantCount>,
}

/// The quotas of all tenants at one instance.
#[derive(Clone, Debug)]
pub struct Quotas {
    rule: Rule,
    seed: u64,
    started_us: u64,
    /// The number of instances that may serve.
    sharers: u32,
    is_active: bool,
    offered_us: Option<u64>,
    /// Sorted by tenant.
    entries: Vec<Entry>,
    hubs: Vec<Hub>,
    /// The hub whose levels are used.
    chosen: Option<net::SocketAddr>,
    /// How many times another hub was chosen: what an earlier one told meanwhile was ignored.
    choice_count: u32,
}

impl Quotas {
    /// Creates quotas without any credit. `seed` differs between instances.
    pub fn new(now_us: u64, rule: Rule, seed: u64) -> Self {
        Self {
            rule,
            seed,
            started_us: now_us,
            sharers: 1,
            is_active: false,
            offered_us: None,
            entries: Vec::new(),
            hubs: Vec::new(),
            chosen: None,
            choice_count: 0,
        }
    }

    /// Sets the number of instances that may serve and whether this is one of them.
    pub fn set_sharers(&mut self, sharers: u32, is_active: bool) {
        self.sharers = sharers.max(1);
        self.is_active = is_active;
    }

    /// Decides on a request of `tenant` and counts it.
    pub fn admit(&mut self, now_us: u64, tenant: &str, limit: tenant::Quota) -> Admission {
        self.offered_us = Some(now_us);
        let is_told = self.chosen_hub(now_us).is_some();
        let (rule, seed, sharers) = (self.rule, self.seed, f64::from(self.sharers));
        let entry = self.entry(now_us, tenant);
        entry.offered += 1;
        let told = entry.told.as_ref();
        let share = told.map_or(1.0 / sharers, |told| f64::from(told.share));
        let told = told.filter(|_| is_told);
        let debt_share = told.map_or(0.0, |told| {
            (-f64::from(told.level) / (rule.slack * DEBT_SLACK)).clamp(0.0, 1.0)
        });
        let fill_per_s = limit.rate_per_s * share * (1.0 - debt_share);
        // While a hub tells levels, these hold the burst: local credit for it would admit it twice.
        let burst = match told {
            Some(_) => rule.told_burst(limit),
            None => limit.burst,
        };
        let credit_max = (rule.slack * CREDIT_SLACK / sharers).min(1.0) + share * burst;
        let elapsed_s = now_us.saturating_sub(entry.credit_us) as f64 / 1e6;
        entry.credit = (entry.credit + elapsed_s * fill_per_s).min(credit_max);
        entry.credit_us = now_us;
        let mut needed_level = f64::INFINITY;
        let mut is_admitted = false;
        if let Some(told) = told {
            let level = f64::from(told.level);
            let unknown = entry.admitted.saturating_sub(told.included) as f64;
            let demand = f64::from(told.demand_per_s) * UNKNOWN_S;
            let has_free = demand <= rule.slack * UNKNOWN_SLACK + level.max(0.0) * UNKNOWN_LEVEL;
            needed_level = (unknown + 1.0) / share.max(1e-9);
            let (part_min, part_max) = FREE_LEVEL_PARTS;
            let free_part = (FREE_LEVEL_SHARE / sharers).clamp(part_min, part_max);
            let free_max = (level * free_part).max(1.0);
            if has_free && unknown + 1.0 <= free_max {
                needed_level = needed_level.min(rule.slack * FREE_LEVEL_SLACK);
            }
            is_admitted = level >= needed_level;
            needed_level -= level;
        }
        if !is_admitted && entry.credit >= 1.0 && debt_share < 1.0 {
            is_admitted = true;
        } else if !is_admitted && credit_max < 1.0 && debt_share < 1.0 {
            // No instance alone has a whole credit: a part of one is admitted with this probability.
            let bits = xxh3::xxh3_64_with_seed(&entry.offered.to_le_bytes(), seed);
            is_admitted = (bits >> 11) as f64 / (1_u64 << 53) as f64 <= entry.credit;
            if !is_admitted {
                entry.credit = 0.0;
            }
        }
        if is_admitted {
            entry.admitted += 1;
            entry.credit = (entry.credit - 1.0).max(0.0);
            return Admission::Admitted;
        }
        let credit_s = (1.0 - entry.credit) / (limit.rate_per_s * share);
        let level_s = needed_level / limit.rate_per_s + usage::REPORT_PERIOD_US as f64 / 1e6;
        let retry_ms = (credit_s.min(level_s) * 1e3).clamp(RETRY_MIN_MS, RETRY_MAX_MS);
        Admission::Refused { retry_after_ms: retry_ms.ceil() as u64 }
    }

    /// Takes back the admission of a request that was not sent anywhere.
    pub fn give_back(&mut self, now_us: u64, tenant: &str) {
        let entry = self.entry(now_us, tenant);
        entry.admitted = entry.admitted.saturating_sub(1);
        entry.credit += 1.0;
    }

    /// Returns what to report to the hub at `address`, if a report is due. `reported` is what was reported on the same
    /// connection.
    pub fn report_due(
        &mut self,
        now_us: u64,
        address: net::SocketAddr,
        reported: &mut Reported,
    ) -> Option<usage::Report> {
        let is_serving = self.is_serving(now_us);
        let wants_levels = is_serving
            && match self.chosen_hub(now_us) {
                Some(chosen) => chosen == address,
                None => true,
            };
        let wants_levels = wants_levels.then_some(self.choice_count);
        let mut counts = Vec::new();
        for entry in &self.entries {
            if entry.offered == 0 {
                continue;
            }
            let count = usage::TenantCount {
                tenant: entry.tenant.clone(),
                admitted: entry.admitted,
                offered: entry.offered,
            };
            match reported.counts.binary_search_by(|known| known.tenant.cmp(&count.tenant)) {
                Ok(at) if reported.counts[at] == count => continue,
                Ok(at) => reported.counts[at] = count.clone(),
                Err(at) => reported.counts.insert(at, count.clone()),
            }
            counts.push(count);
        }
        let keep_alive_us = if is_serving { usage::REPORT_PERIOD_US } else { usage::KEEP_ALIVE_US };
        let age_us = reported.at_us.map(|at_us| now_us.saturating_sub(at_us));
        let is_old = age_us.is_none_or(|age_us| age_us >= keep_alive_us);
        let has_changed = !counts.is_empty() || wants_levels != reported.wants_levels;
        if !has_changed && !is_old {
            return None;
        }
        reported.at_us = Some(now_us);
        reported.wants_levels = wants_levels;
        let age_us = now_us.saturating_sub(self.started_us);
        Some(usage::Report { age_us, is_serving, wants_levels, counts })
    }

    /// Applies what the hub at `address` tells.
    pub fn apply(
        &mut self,
        now_us: u64,
        address: net::SocketAddr,
        is_same_region: bool,
        levels: &usage::Levels,
    ) {
        let hub = Hub {
            address,
            is_same_region,
            heard_us: now_us,
            age_us: levels.age_us,
            reporters: levels.reporters,
        };
        match self.hubs.iter_mut().find(|known| known.address == address) {
            Some(known) => *known = hub,
            None => self.hubs.push(hub),
        }
        self.choose_hub(now_us);
        if self.chosen != Some(address) {
            return;
        }
        for level in &levels.levels {
            let is_finite = level.level.is_finite()
                && level.share.is_finite()
                && level.demand_per_s.is_finite();
            if !is_finite {
                continue;
            }
            self.entry(now_us, &level.tenant).told = Some(level.clone());
        }
    }

    /// Drops tenants that are not in `names`, which must be sorted. Those with requests stay: their counts were reported and
    /// must not begin again.
    pub fn retain_tenants(&mut self, names: &[&str]) {
        self.entries.retain(|entry| {
            entry.offered > 0 || names.binary_search(&entry.tenant.as_str()).is_ok()
        });
    }

    /// Whether a hub tells the levels.
    pub fn is_told(&self, now_us: u64) -> bool {
        self.chosen_hub(now_us).is_some()
    }

    /// What the last hub told of a tenant; `None` if none did.
    pub fn told(&self, tenant: &str) -> Option<&usage::TenantLevel> {
        let found = self.entries.binary_search_by(|entry| entry.tenant.as_str().cmp(tenant));
        found.ok().and_then(|at| self.entries[at].told.as_ref())
    }

    /// Whether clients are sent to this instance, or were a short time ago.
    pub fn is_serving(&self, now_us: u64) -> bool {
        let is_recent = |at_us: u64| now_us.saturating_sub(at_us) < SERVING_KEEP_US;
        self.is_active || self.offered_us.is_some_and(is_recent)
    }

    /// The hub whose levels are used; `None` if it has told nothing for a while.
    fn chosen_hub(&self, now_us: u64) -> Option<net::SocketAddr> {
        let hub = self.hubs.iter().find(|hub| Some(hub.address) == self.chosen)?;
        (now_us.saturating_sub(hub.heard_us) <= FRESH_US).then_some(hub.address)
    }

    /// Chooses the hub that has been accounting for long enough, that most instances report to and that is in this region.
    fn choose_hub(&mut self, now_us: u64) {
        self.hubs.retain(|hub| now_us.saturating_sub(hub.heard_us) <= FRESH_US);
        let reporters_max = self.hubs.iter().map(|hub| hub.reporters).max().unwrap_or(0);
        let reporters_min = f64::from(reporters_max) * HUB_REPORTERS_SHARE;
        let chosen = self.hubs.iter().max_by_key(|hub| {
            let is_old = hub.age_us >= HUB_YOUNG_US;
            let is_complete = f64::from(hub.reporters) >= reporters_min;
            let is_chosen = Some(hub.address) == self.chosen;
            (is_complete, is_old, hub.is_same_region, is_chosen, hub.address)
        });
        let chosen = chosen.map(|hub| hub.address);
        if chosen != self.chosen {
            self.chosen = chosen;
            self.choice_count = self.choice_count.wrapping_add(1);
        }
    }

    fn entry(&mut self, now_us: u64, tenant: &str) -> &mut Entry {
        let found = self.entries.binary_search_by(|entry| entry.tenant.as_str().cmp(tenant));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                let entry = Entry {
                    tenant: tenant.into(),
                    admitted: 0,
                    offered: 0,
                    credit: 0.0,
                    credit_us: now_us,
                    told: None,
                };
                self.entries.insert(at, entry);
                at
            }
        };
        &mut self.entries[at]
    }
}
