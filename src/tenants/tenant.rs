//! A tenant as the operator's configuration declares it.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of route priorities that are told apart within one priority of tenants; all less urgent ones count as the
/// last of them.
const ROUTE_PRIORITIES: u8 = 3;

/// A secret with which a request proves which tenant it belongs to. Its `Debug` output does not contain the secret.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Credential(pub CompactString);

impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credential(..)")
    }
}

/// How many requests of a tenant all instances together admit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests per second; greater than 0.
    pub rate_per_s: f64,
    /// Requests that may be admitted at once after a pause, beside the rate.
    pub burst: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name, unique in a configuration.
    pub name: CompactString,
    /// Its valid keys.
    pub credentials: Vec<Credential>,
    /// Its priority, which goes before that of routes; 0 is the most urgent.
    pub priority: u8,
    /// The limit on its requests; `None` if there is none.
    pub quota: Option<Quota>,
    /// The regions in which its requests may be served; empty if any.
    pub home_regions: Vec<CompactString>,
}

/// Returns the priority of a request of a tenant on a route: the tenant's goes before the route's.
pub fn request_priority(tenant_priority: u8, route_priority: u8) -> u8 {
    let route_priority = route_priority.min(ROUTE_PRIORITIES - 1);
    tenant_priority.saturating_mul(ROUTE_PRIORITIES).saturating_add(route_priority)
}
