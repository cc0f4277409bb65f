//! Enforces the tenants' quotas on an instance: holds the state of [`quota`] and, at a hub, of [`usage`], and passes
//! messages between them and the connections.

use crate::clock;
use crate::discovery::config;
use crate::discovery::members;
use crate::discovery::view;
use crate::event;
use crate::events::Event;
use crate::forward::run;
use crate::ids;
use crate::locks;
use crate::tenants::quota;
use crate::tenants::tenant;
use crate::tenants::usage;
use compact_str::CompactString;
use std::net;
use std::sync;
use std::time;

/// How often buckets are filled and limits are compared with the configuration.
const TICK: time::Duration = time::Duration::from_millis(100);
/// How long an instance that is no longer active may still serve without being seen.
const SHARERS_KEEP_US: u64 = usage::ASSUMED_KEEP_US + 2_000_000;
/// The instances that share the quotas as far as an instance knows that sees no other, although there are others.
const SHARERS_UNSEEN: u32 = 16;
/// How long an instance has to be without levels until that is logged.
const UNTOLD_LOG_US: u64 = 3_000_000;

/// The quotas of an instance.
pub struct Enforcement {
    /// Whether the settings name other instances.
    has_others: bool,
    state: sync::Mutex<State>,
}

struct State {
    rule: quota::Rule,
    quotas: quota::Quotas,
    accounts: usage::Accounts,
    is_hub: bool,
    /// The configuration and the number of sharers that the accounts have.
    accounted: Option<(config::ConfigVersion, u32)>,
    config: config::ConfigVersion,
    limits: Vec<(CompactString, tenant::Quota)>,
    /// The largest number of active instances of the last time, and when it was seen.
    sharers: (u32, u64),
    reported: quota::Reported,
    told: usage::Told,
    told_us: u64,
    is_untold: bool,
    lost_count: usize,
}

/// An admitted request, given back on drop unless [`Charge::keep`] was called.
pub struct Charge {
    enforcement: sync::Arc<Enforcement>,
    tenant: CompactString,
    is_kept: bool,
}

impl Charge {
    /// Counts the request from now on: it is about to be sent to a searcher.
    pub fn keep(&mut self) {
        self.is_kept = true;
    }

    /// Gives the request back after all: it was not sent to any searcher.
    pub fn release(mut self) {
        self.is_kept = false;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.is_kept {
            let mut state = locks::lock(&self.enforcement.state);
            state.quotas.give_back(clock::now_us(), &self.tenant);
        }
    }
}

/// A request that is over its tenant's quota, for the response and the log.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// When the tenant has credit again.
    pub retry_after_ms: u64,
    /// Whether a hub tells the levels.
    pub is_told: bool,
    /// What it told last.
    pub told: Option<usage::TenantLevel>,
}

impl Enforcement {
    /// Creates the quotas of an instance. `has_others` is whether there are other instances.
    pub fn new(rule: quota::Rule, has_others: bool) -> Self {
        let now_us = clock::now_us();
        let state = State {
            rule,
            quotas: quota::Quotas::new(now_us, rule, rand::random()),
            accounts: usage::Accounts::new(now_us, rule),
            is_hub: false,
            accounted: None,
            config: config::ConfigVersion::default(),
            limits: Vec::new(),
            sharers: (0, now_us),
            reported: quota::Reported::default(),
            told: usage::Told::default(),
            told_us: now_us,
            is_untold: false,
            lost_count: 0,
        };
        Self { has_others, state: sync::Mutex::new(state) }
    }

    /// Decides on a request of `tenant`.
    ///
    /// # Errors
    ///
    /// When it is over the quota.
    pub fn admit(
        self: &sync::Arc<Self>,
        tenant: &tenant::Tenant,
        limit: tenant::Quota,
    ) -> Result<Charge, Refusal> {
        let now_us = clock::now_us();
        let mut state = locks::lock(&self.state);
        match state.quotas.admit(now_us, &tenant.name, limit) {
            quota::Admission::Admitted => {
                let enforcement = self.clone();
                Ok(Charge { enforcement, tenant: tenant.name.clone(), is_kept: false })
            }
            quota::Admission::Refused { retry_after_ms } => Err(Refusal {
                retry_after_ms,
                is_told: state.quotas.is_told(now_us),
                told: state.quotas.told(&tenant.name).cloned(),
            }),
        }
    }

    /// Returns what to report to the source at `address`, if a report is due.
    pub fn report_due(
        &self,
        address: net::SocketAddr,
        reported: &mut quota::Reported,
    ) -> Option<usage::Report> {
        locks::lock(&self.state).quotas.report_due(clock::now_us(), address, reported)
    }

    /// Applies what the source at `address` tells.
    pub fn apply(&self, address: net::SocketAddr, is_same_region: bool, levels: &usage::Levels) {
        let mut state = locks::lock(&self.state);
        state.quotas.apply(clock::now_us(), address, is_same_region, levels);
    }

    /// Applies the report of a subscriber.
    pub fn report(&self, name: &ids::InstanceName, boot_ms: u64, report: &usage::Report) {
        let mut state = locks::lock(&self.state);
        if state.is_hub {
            state.accounts.report(clock::now_us(), name, boot_ms, report);
        }
    }

    /// Returns what to tell a subscriber, if it is due.
    pub fn levels_due(
        &self,
        name: &ids::InstanceName,
        wants_levels: Option<u32>,
        told: &mut usage::Told,
    ) -> Option<usage::Levels> {
        let state = locks::lock(&self.state);
        if !state.is_hub {
            return None;
        }
        state.accounts.levels_due(clock::now_us(), name, wants_levels, told)
    }

    /// Applies changes of the configuration and of the instances and, at a hub, fills the buckets, until the process
    /// ends.
    pub async fn run(&self, view: sync::Arc<view::View>, forwarder: sync::Arc<run::Forwarder>) {
        let mut timer = tokio::time::interval(TICK);
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut members_changed = view.members_epoch();
        members_changed.mark_changed();
        let me = view.with_members(|members| members.me().clone());
        let (mut is_hub, mut is_alone) = (false, true);
        loop {
            timer.tick().await;
            // All members have to be ranked for this, which is much work for a small instance.
            if members_changed.has_changed().unwrap_or(false) {
                members_changed.mark_unchanged();
                (is_hub, is_alone) =
                    view.with_members(|members| (members.is_hub(), members.live().len() == 1));
            }
            let active = forwarder.active();
            let is_active = active.contains(&me);
            let active_count = active.count() as u32;
            let sharers_min = if is_alone && self.has_others { SHARERS_UNSEEN } else { 1 };
            let mut state = locks::lock(&self.state);
            state.apply_config(&view);
            state.tick(clock::now_us(), &me, is_hub, is_active, active_count, sharers_min);
        }
    }
}

impl State {
    fn apply_config(&mut self, view: &view::View) {
        let Some(table) = view.table().filter(|table| table.config.version != self.config) else {
            return;
        };
        self.config = table.config.version;
        let mut limits = Vec::new();
        for tenant in table.config.tenants.as_slice() {
            limits.extend(tenant.quota.map(|quota| (tenant.name.clone(), quota)));
        }
        limits.sort_by(|a, b| a.0.cmp(&b.0));
        let names: Vec<&str> = limits.iter().map(|(name, _)| name.as_str()).collect();
        self.quotas.retain_tenants(&names);
        self.limits = limits;
    }

    fn tick(
        &mut self,
        now_us: u64,
        me: &members::Member,
        is_hub: bool,
        is_active: bool,
        active_count: u32,
        sharers_min: u32,
    ) {
        let (counted, counted_us) = self.sharers;
        if active_count >= counted || now_us.saturating_sub(counted_us) >= SHARERS_KEEP_US {
            self.sharers = (active_count, now_us);
        }
        let sharers = self.sharers.0.max(sharers_min);
        self.quotas.set_sharers(sharers, is_active);
        if is_hub != self.is_hub {
            self.is_hub = is_hub;
            self.accounts = usage::Accounts::new(now_us, self.rule);
            self.accounted = None;
            self.reported = quota::Reported::default();
            self.told = usage::Told::default();
        }
        if is_hub {
            if self.accounted != Some((self.config, sharers)) {
                self.accounted = Some((self.config, sharers));
                self.accounts
                    .set_limits(self.limits.iter().map(|(name, limit)| (name, *limit)), sharers);
            }
            let report = self.quotas.report_due(now_us, me.control, &mut self.reported);
            let wants_levels = report.as_ref().map(|report| report.wants_levels);
            if let Some(report) = report {
                self.accounts.report(now_us, &me.name, me.boot_ms, &report);
            }
            self.accounts.tick(now_us);
            let wants_levels = wants_levels.unwrap_or_else(|| self.told.wants_levels());
            let levels = self.accounts.levels_due(now_us, &me.name, wants_levels, &mut self.told);
            if let Some(levels) = levels {
                self.quotas.apply(now_us, me.control, true, &levels);
            }
            let lost_count = self.accounts.lost_count();
            if lost_count != self.lost_count {
                self.lost_count = lost_count;
                event!(info, Event::QuotaInstancesLost, count = lost_count, expected = sharers);
            }
        }
        self.log_told(now_us);
    }

    /// Logs when this instance begins or ceases to decide without levels.
    fn log_told(&mut self, now_us: u64) {
        if self.limits.is_empty() || !self.quotas.is_serving(now_us) || self.quotas.is_told(now_us)
        {
            let untold_ms = now_us.saturating_sub(self.told_us) / 1_000;
            self.told_us = now_us;
            if std::mem::take(&mut self.is_untold) {
                event!(info, Event::QuotaLevelsRegained, untold_ms);
            }
            return;
        }
        if !self.is_untold && now_us.saturating_sub(self.told_us) >= UNTOLD_LOG_US {
            self.is_untold = true;
            event!(warn, Event::QuotaLevelsLost);
        }
    }
}
