//! Attributes a request to a tenant by the key that it carries.

use crate::discovery::config;
use crate::tenants::credentials;
use crate::tenants::tenant;

/// Whom a request belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Caller<'a> {
    /// The configuration has no list of tenants: requests need no key.
    Open,
    /// The route needs no key.
    Exempt,
    /// The tenant that holds the request's key.
    Tenant(&'a tenant::Tenant),
    /// The request has no key, several, or one that no tenant holds.
    Unknown,
    /// The request may have a valid key, but the configuration does not say whose it is in a way that can be used.
    Unusable,
}

impl<'a> Caller<'a> {
    /// Returns the tenant; `None` if the request belongs to none.
    pub fn tenant(self) -> Option<&'a tenant::Tenant> {
        match self {
            Self::Tenant(tenant) => Some(tenant),
            Self::Open | Self::Exempt | Self::Unknown | Self::Unusable => None,
        }
    }

    /// Returns the priority of a request of this caller on a route.
    pub fn priority(self, route: &config::Route) -> u8 {
        match self {
            Self::Tenant(tenant) => tenant::request_priority(tenant.priority, route.priority),
            Self::Open | Self::Exempt | Self::Unknown | Self::Unusable => route.priority,
        }
    }

    /// Returns the tenant's name; `None` if the request belongs to none.
    pub fn tenant_name(&self) -> Option<&str> {
        match self {
            Self::Tenant(tenant) => Some(&tenant.name),
            Self::Open | Self::Exempt | Self::Unknown | Self::Unusable => None,
        }
    }
}

/// Attributes a request on `route` to a tenant of `config`, whose keys are in `index`. `name` is the header with the
/// key.
pub fn authenticate<'a>(
    config: &'a config::Config,
    index: &credentials::Index,
    route: &config::Route,
    headers: &http::HeaderMap,
    name: &http::HeaderName,
) -> Caller<'a> {
    if !config.tenants.require_keys() {
        return Caller::Open;
    }
    if route.is_auth_exempt {
        return Caller::Exempt;
    }
    let mut keys = headers.get_all(name).iter();
    let (Some(key), None) = (keys.next(), keys.next()) else {
        return Caller::Unknown;
    };
    let tenant::Tenants::Declared(declared) = &config.tenants else {
        return Caller::Unusable;
    };
    if let Some(tenant) = index.tenant(key.as_bytes()) {
        return Caller::Tenant(&declared.tenants[tenant.0]);
    }
    match declared.unusable_keys.may_contain(key.as_bytes()) {
        true => Caller::Unusable,
        false => Caller::Unknown,
    }
}
