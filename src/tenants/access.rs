//! Checks the key and the quota of a request when its head has arrived, before its body is read.

use crate::clock;
use crate::discovery::config;
use crate::discovery::table;
use crate::discovery::view;
use crate::event;
use crate::events::Event;
use crate::forward::response;
use crate::forward::retry_after;
use crate::forward::run;
use crate::rate_limit;
use crate::tenants::authentication;
use crate::tenants::enforcement;
use crate::tenants::metrics;
use crate::tenants::tenant;
use std::sync;
use std::time;

/// The most log lines per second for requests without a known key: a sample, since anybody can send them.
const UNKNOWN_KEY_LOG_LINES_PER_S: u32 = 5;
/// The most log lines per second for requests over their tenant's quota: one tenant may send many.
const OVER_QUOTA_LOG_LINES_PER_S: u32 = 20;
/// The most log lines per second for requests to unusable parts of the configuration.
const UNUSABLE_LOG_LINES_PER_S: u32 = 5;

/// Decides whether requests of tenants are accepted.
pub struct Access {
    view: sync::Arc<view::View>,
    forwarder: sync::Arc<run::Forwarder>,
    /// The time within which a configuration has to take effect.
    config_apply: time::Duration,
    unknown_key_log_limit: rate_limit::RateLimit,
    over_quota_log_limit: rate_limit::RateLimit,
    unusable_log_limit: rate_limit::RateLimit,
}

/// A request whose head has arrived.
#[derive(Clone, Copy)]
pub struct Request<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its route.
    pub route: &'a config::Route,
    /// Its headers.
    pub headers: &'a http::HeaderMap,
    /// When it arrived.
    pub arrived_us: u64,
}

/// What is known of an accepted request.
pub struct Granted<'a> {
    /// Whom it belongs to.
    pub caller: authentication::Caller<'a>,
    /// Its part of the tenant's quota; `None` if there is no quota.
    pub charge: Option<enforcement::Charge>,
}

impl Access {
    /// Creates the checks of an instance.
    pub fn new(
        view: sync::Arc<view::View>,
        forwarder: sync::Arc<run::Forwarder>,
        config_apply: time::Duration,
    ) -> Self {
        Self {
            view,
            forwarder,
            config_apply,
            unknown_key_log_limit: rate_limit::RateLimit::new(UNKNOWN_KEY_LOG_LINES_PER_S),
            over_quota_log_limit: rate_limit::RateLimit::new(OVER_QUOTA_LOG_LINES_PER_S),
            unusable_log_limit: rate_limit::RateLimit::new(UNUSABLE_LOG_LINES_PER_S),
        }
    }

    /// Attributes a request to a tenant by the configuration of `table`, and counts it against the tenant's quota.
    ///
    /// # Errors
    ///
    /// The response to a request without a known key, or over the quota.
    pub fn check<'a>(
        &self,
        table: &'a table::RouteTable,
        request: Request<'_>,
    ) -> Result<Granted<'a>, Box<response::Response>> {
        let caller = authentication::authenticate(
            &table.config,
            &table.credentials,
            request.route,
            request.headers,
            &self.forwarder.dialect().headers.credential,
        );
        let charge = match caller {
            authentication::Caller::Unknown => {
                return Err(Box::new(self.refuse_unknown_key(request, table.config.version)));
            }
            authentication::Caller::Unusable => {
                return Err(Box::new(self.refuse_unusable(request, table.config.version)));
            }
            authentication::Caller::Tenant(tenant) => {
                self.charge(request, tenant, table.config.version)?
            }
            authentication::Caller::Open | authentication::Caller::Exempt => None,
        };
        Ok(Granted { caller, charge })
    }

    /// The response to a request without a key that `version` knows. A configuration that is not known here may have it.
    fn refuse_unknown_key(
        &self,
        request: Request<'_>,
        version: config::ConfigVersion,
    ) -> response::Response {
        let is_overdue = self.view.is_config_overdue(self.config_apply);
        self.forwarder.metrics().tenants().record("", metrics::UNAUTHORIZED);
        if let Some(left_out) = self.unknown_key_log_limit.allow(clock::now_us()) {
            event!(
                info,
                Event::UnknownKey,
                request = %request.id,
                route = %request.route.name,
                config = version.0,
                is_overdue,
                left_out
            );
        }
        if !is_overdue {
            return response::status(http::StatusCode::UNAUTHORIZED);
        }
        let age_us = self.view.ages().config_us.unwrap_or(0);
        response::refuse(retry_after::unready_ms(age_us))
    }

    /// The response to a request that the configuration has a part for which can't be used.
    pub fn refuse_unusable(
        &self,
        request: Request<'_>,
        version: config::ConfigVersion,
    ) -> response::Response {
        let now_us = clock::now_us();
        let latency_s = now_us.saturating_sub(request.arrived_us) as f64 / 1e6;
        let metrics = self.forwarder.metrics();
        metrics.record_answer(request.route.priority, "unusable_part", latency_s, 0);
        if let Some(left_out) = self.unusable_log_limit.allow(now_us) {
            event!(
                info,
                Event::UnusablePart,
                request = %request.id,
                route = %request.route.name,
                config = version.0,
                left_out
            );
        }
        response::refuse(retry_after::unusable_ms())
    }

    /// Counts a request against its tenant's quota; `None` if the tenant has none.
    fn charge(
        &self,
        request: Request<'_>,
        tenant: &tenant::Tenant,
        version: config::ConfigVersion,
    ) -> Result<Option<enforcement::Charge>, Box<response::Response>> {
        let (Some(quotas), Some(limit)) = (self.view.quotas(), tenant.quota) else {
            return Ok(None);
        };
        let refusal = match quotas.admit(tenant, limit) {
            Ok(charge) => return Ok(Some(charge)),
            Err(refusal) => refusal,
        };
        let now_us = clock::now_us();
        let latency_s = now_us.saturating_sub(request.arrived_us) as f64 / 1e6;
        let priority = tenant::request_priority(tenant.priority, request.route.priority);
        let metrics = self.forwarder.metrics();
        metrics.tenants().record(&tenant.name, "over_quota");
        metrics.record_answer(priority, "over_quota", latency_s, 0);
        if let Some(left_out) = self.over_quota_log_limit.allow(now_us) {
            event!(
                info,
                Event::OverQuota,
                request = %request.id,
                route = %request.route.name,
                tenant = %tenant.name,
                rate_per_s = limit.rate_per_s,
                burst = limit.burst,
                retry_after_ms = refusal.retry_after_ms,
                is_told = refusal.is_told,
                level = refusal.told.as_ref().map(|told| told.level),
                demand_per_s = refusal.told.as_ref().map(|told| told.demand_per_s),
                share = refusal.told.as_ref().map(|told| told.share),
                config = version.0,
                left_out
            );
        }
        Err(Box::new(response::refuse_over_quota(refusal.retry_after_ms)))
    }
}
