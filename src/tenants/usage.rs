//! Accounts for the admissions of the whole fleet, at a hub.
//!
//! Instances report cumulative counts, so that a lost or repeated report does no harm. For each tenant the hub keeps a
//! token bucket from which the reported admissions are taken, and tells instances its level and their share of the
//! tenant's requests. It does no I/O and reads no clock.

use crate::ids;
use crate::tenants::quota;
use crate::tenants::tenant;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// How often instances report, and hubs tell the levels, while something changes.
pub const REPORT_PERIOD_US: u64 = 200_000;
/// How often hubs, and instances that don't serve, send something although nothing has changed. Instances that serve
/// report each [`REPORT_PERIOD_US`].
pub const KEEP_ALIVE_US: u64 = 400_000;
/// An instance that serves and has not reported for this long counts as lost: three reports and a margin. Until then
/// both parts of a split fleet may spend the whole level.
const LOST_AFTER_US: u64 = 700_000;
/// Shares are settled while all instances have reported within this time.
const SETTLED_US: u64 = 350_000;
/// A hub that has not run for this long does not know who reported meanwhile.
const PAUSE_US: u64 = 300_000;
/// How long a lost instance is assumed to use its share: longer than a network partition of 12 s.
pub const ASSUMED_KEEP_US: u64 = 13_000_000;
/// How long a reporter without demand is remembered.
const FORGET_US: u64 = 60_000_000;
/// The time constant with which the demand at an instance is averaged for the shares.
const SHARE_AVERAGE_S: f64 = 5.0;
/// The time constant with which the demand of the fleet is averaged: short, since a jump has to be seen within a few
/// reports.
const DEMAND_AVERAGE_S: f64 = 0.5;
/// The demand that is divided equally among the instances, in proportion to the limit and at least: a tenant's requests
/// may turn to other instances.
const EQUAL_RATE_SHARE: f64 = 0.05;
const EQUAL_RATE_MIN_PER_S: f64 = 0.2;
/// A level is told again when it has changed by this part of the capacity, or at least by [`TOLD_CHANGE_MIN`].
const TOLD_CHANGE_SHARE: f64 = 0.05;
const TOLD_CHANGE_MIN: f64 = 0.5;
/// A share is told again when it has changed by this factor.
const TOLD_SHARE_FACTOR: f64 = 1.25;

/// What an instance has counted for one tenant since its process started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantCount {
    /// The tenant's name.
    pub tenant: CompactString,
    /// The requests that it admitted, less those that were given back.
    pub admitted: u64,
    /// All requests that reached it.
    pub offered: u64,
}

/// What an instance tells a hub.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// How long its process has been running.
    pub age_us: u64,
    /// Whether clients are sent to it, or were a short time ago.
    pub is_serving: bool,
    /// Whether this hub is to tell it the levels. All of them are told again when the number changes.
    pub wants_levels: Option<u32>,
    /// The counts that have changed since the last report on the same connection.
    pub counts: Vec<TenantCount>,
}

/// What a hub tells one instance about one tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantLevel {
    /// The tenant's name.
    pub tenant: CompactString,
    /// How many requests the fleet may admit now; negative if it admitted too many.
    pub level: f32,
    /// The requests per second that reach the fleet.
    pub demand_per_s: f32,
    /// The instance's share of them, from 0 to 1.
    pub share: f32,
    /// The count of the instance's admissions that the level includes.
    pub included: u64,
}

/// What a hub tells one instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Levels {
    /// How long the hub has been accounting.
    pub age_us: u64,
    /// The number of instances that report to it.
    pub reporters: u32,
    /// What has changed since it was last told on the same connection; empty if the instance wants no levels.
    pub levels: Vec<TenantLevel>,
}

/// What was last told on one connection.
#[derive(Clone, Debug, Default)]
pub struct Told {
    at_us: u64,
    wants_levels: Option<u32>,
    /// Sorted by tenant.
    levels: Vec<TenantLevel>,
}

impl Told {
    /// Whether the instance wanted levels, as in [`Report`].
    pub fn wants_levels(&self) -> Option<u32> {
        self.wants_levels
    }
}

/// The token bucket of one tenant.
#[derive(Clone, Debug)]
struct Bucket {
    tenant: CompactString,
    quota: tenant::Quota,
    level: f64,
    demand_per_s: f64,
    /// The requests that reached the fleet since the last tick.
    offered: u64,
    /// The sum of the instances' demand.
    share_demand_per_s: f64,
}

/// What one instance has reported of one tenant.
#[derive(Clone, Debug)]
struct Usage {
    tenant: CompactString,
    admitted: u64,
    offered: u64,
    demand_per_s: f64,
    /// The requests that reached it since the last tick.
    new: u64,
    /// Its share when all instances last reported.
    settled_share: f64,
    /// While it is lost: its share, and how many admissions are assumed.
    lost_share: f64,
    assumed: f64,
}

#[derive(Clone, Debug)]
struct Reporter {
    name: ids::InstanceName,
    boot_ms: u64,
    heard_us: u64,
    is_serving: bool,
    /// When it was found to be lost.
    lost_us: Option<u64>,
    /// Sorted by tenant.
    usage: Vec<Usage>,
}

/// The accounts of a hub.
#[derive(Clone, Debug)]
pub struct Accounts {
    rule: quota::Rule,
    started_us: u64,
    ticked_us: u64,
    /// The number of instances that may serve, whether or not they report.
    expected: u32,
    /// Sorted by tenant.
    buckets: Vec<Bucket>,
    /// Sorted by name.
    reporters: Vec<Reporter>,
}

impl Accounts {
    /// Creates accounts without any tenants.
    pub fn new(now_us: u64, rule: quota::Rule) -> Self {
        let (buckets, reporters) = (Vec::new(), Vec::new());
        Self { rule, started_us: now_us, ticked_us: now_us, expected: 1, buckets, reporters }
    }

    /// Sets the tenants with quotas, sorted by name, and the number of instances that may serve. A lowered limit applies
    /// to the level at once.
    pub fn set_limits<'a>(
        &mut self,
        limits: impl IntoIterator<Item = (&'a CompactString, tenant::Quota)>,
        expected: u32,
    ) {
        self.expected = expected;
        let mut buckets = Vec::new();
        for (name, quota) in limits {
            let known = self.buckets.binary_search_by(|bucket| bucket.tenant.cmp(name));
            let mut bucket = match known {
                Ok(at) => self.buckets[at].clone(),
                Err(_) => Bucket {
                    tenant: name.clone(),
                    quota,
                    level: self.rule.initial_level(quota),
                    demand_per_s: 0.0,
                    offered: 0,
                    share_demand_per_s: 0.0,
                },
            };
            bucket.quota = quota;
            bucket.level = bucket.level.min(self.rule.capacity(quota));
            buckets.push(bucket);
        }
        buckets.sort_by(|a, b| a.tenant.cmp(&b.tenant));
        self.buckets = buckets;
    }

    /// Applies a report of the instance `name`.
    pub fn report(&mut self, now_us: u64, name: &ids::InstanceName, boot_ms: u64, report: &Report) {
        let found = self.reporters.binary_search_by(|known| known.name.cmp(name));
        let is_known = found.is_ok();
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                let reporter = Reporter {
                    name: name.clone(),
                    boot_ms,
                    heard_us: now_us,
                    is_serving: report.is_serving,
                    lost_us: None,
                    usage: Vec::new(),
                };
                self.reporters.insert(at, reporter);
                at
            }
        };
        let reporter = &mut self.reporters[at];
        if reporter.boot_ms > boot_ms {
            return;
        }
        if reporter.boot_ms < boot_ms {
            // The counts begin again. What the earlier process was assumed to admit stays taken.
            reporter.boot_ms = boot_ms;
            reporter.usage.clear();
        }
        reporter.heard_us = now_us;
        reporter.is_serving = report.is_serving;
        if reporter.lost_us.take().is_some() {
            for usage in &mut reporter.usage {
                if let Some(bucket) = find(&mut self.buckets, &usage.tenant) {
                    bucket.level += usage.assumed;
                }
                usage.assumed = 0.0;
                usage.lost_share = 0.0;
            }
        }
        // Counts from before this hub began are not taken from its level, unless they are recent.
        let is_young = report.age_us <= self.rule.window_us;
        let accounting_us = now_us.saturating_sub(self.started_us);
        let from_start = is_known || is_young || report.age_us <= accounting_us;
        for count in &report.counts {
            let usage = match reporter.usage.binary_search_by(|u| u.tenant.cmp(&count.tenant)) {
                Ok(at) => &mut reporter.usage[at],
                Err(at) => {
                    let (admitted, offered) =
                        if from_start { (0, 0) } else { (count.admitted, count.offered) };
                    let usage = Usage {
                        tenant: count.tenant.clone(),
                        admitted,
                        offered,
                        demand_per_s: 0.0,
                        new: 0,
                        settled_share: 0.0,
                        lost_share: 0.0,
                        assumed: 0.0,
                    };
                    reporter.usage.insert(at, usage);
                    &mut reporter.usage[at]
                }
            };
            let admitted = count.admitted as f64 - usage.admitted as f64;
            let offered = count.offered.saturating_sub(usage.offered);
            usage.admitted = count.admitted;
            usage.offered = count.offered;
            usage.new += offered;
            if let Some(bucket) = find(&mut self.buckets, &count.tenant) {
                bucket.level -= admitted;
                bucket.offered += offered;
            }
        }
    }

    /// Fills the buckets, averages the demand, and takes what lost instances are assumed to admit.
    pub fn tick(&mut self, now_us: u64) {
        let elapsed_s = now_us.saturating_sub(self.ticked_us) as f64 / 1e6;
        if elapsed_s <= 0.0 {
            return;
        }
        let elapsed_us = now_us - self.ticked_us;
        self.ticked_us = now_us;
        if elapsed_us >= PAUSE_US {
            for reporter in &mut self.reporters {
                reporter.heard_us += elapsed_us;
            }
        }
        for bucket in &mut self.buckets {
            average(&mut bucket.demand_per_s, &mut bucket.offered, elapsed_s, DEMAND_AVERAGE_S);
            bucket.share_demand_per_s = 0.0;
        }
        for reporter in &mut self.reporters {
            for usage in &mut reporter.usage {
                average(&mut usage.demand_per_s, &mut usage.new, elapsed_s, SHARE_AVERAGE_S);
                if let Some(bucket) = find(&mut self.buckets, &usage.tenant) {
                    bucket.share_demand_per_s += usage.demand_per_s;
                }
            }
        }
        self.settle_shares(now_us);
        let lost: Vec<usize> = (0..self.reporters.len())
            .filter(|at| {
                let reporter = &self.reporters[*at];
                let silent_us = now_us.saturating_sub(reporter.heard_us);
                reporter.lost_us.is_none() && reporter.is_serving && silent_us > LOST_AFTER_US
            })
            .collect();
        self.mark_lost(now_us, &lost);
        let missing = self.missing_share();
        for bucket in &mut self.buckets {
            let rate_per_s = bucket.quota.rate_per_s;
            let mut visible = 1.0 - missing;
            for reporter in &mut self.reporters {
                if reporter.lost_us.is_none() {
                    continue;
                }
                let found = reporter.usage.binary_search_by(|u| u.tenant.cmp(&bucket.tenant));
                let Ok(at) = found else {
                    continue;
                };
                let usage = &mut reporter.usage[at];
                let assumed = rate_per_s * usage.lost_share * elapsed_s;
                usage.assumed += assumed;
                bucket.level -= assumed;
                visible -= usage.lost_share;
            }
            bucket.level += rate_per_s * (1.0 - missing) * elapsed_s;
            bucket.level = bucket.level.min(self.rule.capacity(bucket.quota) * visible.max(0.0));
        }
        self.reporters.retain(|reporter| match reporter.lost_us {
            Some(at_us) => now_us.saturating_sub(at_us) < ASSUMED_KEEP_US,
            None => now_us.saturating_sub(reporter.heard_us) < FORGET_US,
        });
    }

    /// Returns what to tell the instance `name`, if it is due. `told` is what it was told on the same connection.
    pub fn levels_due(
        &self,
        now_us: u64,
        name: &ids::InstanceName,
        wants_levels: Option<u32>,
        told: &mut Told,
    ) -> Option<Levels> {
        if wants_levels != told.wants_levels {
            told.levels.clear();
        }
        told.wants_levels = wants_levels;
        let mut changed = Vec::new();
        if wants_levels.is_some() {
            let reporter = self.reporters.binary_search_by(|known| known.name.cmp(name)).ok();
            let reporter = reporter.map(|at| &self.reporters[at]);
            let serving = self.serving_count().max(self.expected as usize).max(1);
            for bucket in &self.buckets {
                let usage = reporter.and_then(|reporter| {
                    let at = reporter.usage.binary_search_by(|u| u.tenant.cmp(&bucket.tenant));
                    at.ok().map(|at| &reporter.usage[at])
                });
                let level = TenantLevel {
                    tenant: bucket.tenant.clone(),
                    level: bucket.level as f32,
                    demand_per_s: bucket.demand_per_s as f32,
                    share: share(bucket, usage.map_or(0.0, |u| u.demand_per_s), serving) as f32,
                    included: usage.map_or(0, |usage| usage.admitted),
                };
                let at = told.levels.binary_search_by(|known| known.tenant.cmp(&level.tenant));
                let capacity = self.rule.capacity(bucket.quota);
                match at {
                    Ok(at) if !is_changed(&told.levels[at], &level, capacity) => continue,
                    Ok(at) => told.levels[at] = level.clone(),
                    Err(at) => told.levels.insert(at, level.clone()),
                }
                changed.push(level);
            }
        }
        let is_due = now_us.saturating_sub(told.at_us) >= KEEP_ALIVE_US;
        if changed.is_empty() && !is_due {
            return None;
        }
        told.at_us = now_us;
        Some(Levels {
            age_us: now_us.saturating_sub(self.started_us),
            reporters: self.serving_count() as u32,
            levels: changed,
        })
    }

    /// The level of a tenant; `None` if it has no quota.
    pub fn level(&self, tenant: &str) -> Option<f64> {
        let at = self.buckets.binary_search_by(|bucket| bucket.tenant.as_str().cmp(tenant)).ok()?;
        Some(self.buckets[at].level)
    }

    /// The number of lost instances whose shares are kept.
    pub fn lost_count(&self) -> usize {
        self.reporters.iter().filter(|reporter| reporter.lost_us.is_some()).count()
    }

    /// Notes the shares if all instances have reported. While some may be lost, the demand of the others alone grows, and
    /// the two parts of a split fleet would come to shares whose sum is more than one.
    fn settle_shares(&mut self, now_us: u64) {
        let serving = self.serving_count().max(self.expected as usize).max(1);
        for reporter in &self.reporters {
            let is_silent = now_us.saturating_sub(reporter.heard_us) > SETTLED_US;
            if reporter.is_serving && is_silent {
                return;
            }
        }
        for reporter in &mut self.reporters {
            for usage in &mut reporter.usage {
                if let Some(bucket) = find(&mut self.buckets, &usage.tenant) {
                    usage.settled_share = share(bucket, usage.demand_per_s, serving);
                }
            }
        }
    }

    /// Assumes that lost instances have admitted their part of the burst, and go on with their share of the rate.
    fn mark_lost(&mut self, now_us: u64, lost: &[usize]) {
        if lost.is_empty() {
            return;
        }
        let serving = self.serving_count().max(self.expected as usize).max(1);
        for at in lost {
            let reporter = &mut self.reporters[*at];
            reporter.lost_us = Some(now_us);
            for bucket in &mut self.buckets {
                let found = reporter.usage.binary_search_by(|u| u.tenant.cmp(&bucket.tenant));
                let index = match found {
                    Ok(index) => index,
                    Err(index) => {
                        let usage = Usage {
                            tenant: bucket.tenant.clone(),
                            admitted: 0,
                            offered: 0,
                            demand_per_s: 0.0,
                            new: 0,
                            settled_share: share(bucket, 0.0, serving),
                            lost_share: 0.0,
                            assumed: 0.0,
                        };
                        reporter.usage.insert(index, usage);
                        index
                    }
                };
                let usage = &mut reporter.usage[index];
                usage.lost_share = usage.settled_share;
                let silent_s = now_us.saturating_sub(reporter.heard_us) as f64 / 1e6;
                let unseen = self.rule.capacity(bucket.quota) + bucket.quota.rate_per_s * silent_s;
                usage.assumed = usage.lost_share * unseen;
                bucket.level -= usage.assumed;
            }
        }
    }

    /// The instances that report and serve, also those that are lost.
    fn serving_count(&self) -> usize {
        self.reporters.iter().filter(|reporter| reporter.is_serving).count()
    }

    /// The part of the rate that belongs to instances that have not reported at all.
    fn missing_share(&self) -> f64 {
        let expected = f64::from(self.expected.max(1));
        let missing = expected - self.serving_count() as f64;
        (missing / expected).clamp(0.0, 1.0)
    }
}

/// An instance's share of a tenant's requests: its part of the demand, and an equal part of what may come anywhere.
fn share(bucket: &Bucket, demand_per_s: f64, serving: usize) -> f64 {
    let equal_per_s = (bucket.quota.rate_per_s * EQUAL_RATE_SHARE).max(EQUAL_RATE_MIN_PER_S);
    let total_per_s = bucket.share_demand_per_s + equal_per_s;
    (demand_per_s + equal_per_s / serving as f64) / total_per_s
}

/// Adds `count` events of the last `elapsed_s` to an exponentially averaged rate.
fn average(per_s: &mut f64, count: &mut u64, elapsed_s: f64, time_s: f64) {
    let kept = (-elapsed_s / time_s).exp();
    *per_s = *per_s * kept + std::mem::take(count) as f64 / elapsed_s * (1.0 - kept);
}

fn find<'a>(buckets: &'a mut [Bucket], tenant: &CompactString) -> Option<&'a mut Bucket> {
    let at = buckets.binary_search_by(|bucket| bucket.tenant.cmp(tenant)).ok()?;
    Some(&mut buckets[at])
}

fn is_changed(old: &TenantLevel, new: &TenantLevel, capacity: f64) -> bool {
    let change = f64::from((new.level - old.level).abs());
    let factor = f64::from(new.share.max(1e-6) / old.share.max(1e-6));
    old.included != new.included
        || change >= (capacity * TOLD_CHANGE_SHARE).max(TOLD_CHANGE_MIN)
        || !(1.0 / TOLD_SHARE_FACTOR..=TOLD_SHARE_FACTOR).contains(&factor)
}
