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

/// Returns the value of a header that carries `text` unchanged; `None` if there is none: recipients strip white space at
/// either end, and control characters can't be sent.
pub fn header_value(text: &str) -> Option<http::HeaderValue> {
    let is_stripped = text.trim_matches([' ', '\t']).len() < text.len();
    if text.is_empty() || is_stripped {
        return None;
    }
    http::HeaderValue::from_bytes(text.as_bytes()).ok()
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name, unique in a configuration. Searchers get it in a header ([`header_value`]).
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

/// The tenants of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub enum Tenants {
    /// The configuration has no list of tenants: requests need no key.
    #[default]
    Open,
    /// Requests need a key of one of these tenants. If there are none, only exempt routes are served.
    Declared(Declared),
    /// Requests need a key, but the list can't be read: only exempt routes are served.
    Unusable,
}

/// The tenants that a configuration declares.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Declared {
    /// The tenants, sorted by name.
    pub tenants: Vec<Tenant>,
    /// The keys that can't be attributed to one of them.
    pub unusable_keys: UnusableKeys,
}

/// Keys that a configuration holds, but not in a way that says which tenant their requests belong to: of several tenants,
/// or of a tenant that can't be used.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UnusableKeys {
    /// The keys, sorted.
    pub keys: Vec<Credential>,
    /// Whether there are more, which can't be read.
    pub are_incomplete: bool,
}

impl UnusableKeys {
    /// Whether `key` is one of them, or may be. Only for keys that no tenant holds.
    pub fn may_contain(&self, key: &[u8]) -> bool {
        self.are_incomplete
            || self.keys.binary_search_by(|known| known.0.as_bytes().cmp(key)).is_ok()
    }
}

impl Tenants {
    /// The declared tenants, sorted by name.
    pub fn as_slice(&self) -> &[Tenant] {
        match self {
            Self::Open | Self::Unusable => &[],
            Self::Declared(declared) => &declared.tenants,
        }
    }

    /// The number of keys that these tenants hold.
    pub fn key_count(&self) -> usize {
        self.as_slice().iter().map(|tenant| tenant.credentials.len()).sum()
    }

    /// Whether requests on routes that are not exempt need a key.
    pub fn require_keys(&self) -> bool {
        match self {
            Self::Open => false,
            Self::Declared(_) | Self::Unusable => true,
        }
    }

    /// The tenant with this name; `None` if it is not declared.
    pub fn find(&self, name: &str) -> Option<&Tenant> {
        let tenants = self.as_slice();
        let at = tenants.binary_search_by(|tenant| tenant.name.as_str().cmp(name)).ok()?;
        tenants.get(at)
    }
}

/// The differences between the tenants of two configurations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TenantsDelta {
    /// The resulting configuration has no list of tenants.
    Open,
    /// The resulting configuration has one.
    Declared {
        /// Tenants that were added or changed.
        changed: Vec<Tenant>,
        /// Names of tenants that were removed.
        removed: Vec<CompactString>,
        /// All keys of the resulting configuration that can't be used.
        unusable_keys: UnusableKeys,
    },
    /// The resulting configuration has one that can't be read.
    Unusable,
}

impl TenantsDelta {
    /// The delta from `old` to `new`.
    pub fn between(old: &Tenants, new: &Tenants) -> Self {
        let declared = match new {
            Tenants::Open => return Self::Open,
            Tenants::Unusable => return Self::Unusable,
            Tenants::Declared(declared) => declared,
        };
        let mut changed = Vec::new();
        for tenant in &declared.tenants {
            if old.find(&tenant.name) != Some(tenant) {
                changed.push(tenant.clone());
            }
        }
        let mut removed = Vec::new();
        for tenant in old.as_slice() {
            if new.find(&tenant.name).is_none() {
                removed.push(tenant.name.clone());
            }
        }
        Self::Declared { changed, removed, unusable_keys: declared.unusable_keys.clone() }
    }

    /// Applies the delta to `old`.
    pub fn apply(self, old: &Tenants) -> Tenants {
        let (changed, removed, unusable_keys) = match self {
            Self::Open => return Tenants::Open,
            Self::Unusable => return Tenants::Unusable,
            Self::Declared { changed, removed, unusable_keys } => (changed, removed, unusable_keys),
        };
        let mut tenants = old.as_slice().to_vec();
        tenants.retain(|tenant| !removed.contains(&tenant.name));
        for tenant in changed {
            match tenants.binary_search_by(|known| known.name.cmp(&tenant.name)) {
                Ok(at) => tenants[at] = tenant,
                Err(at) => tenants.insert(at, tenant),
            }
        }
        Tenants::Declared(Declared { tenants, unusable_keys })
    }
}

/// Returns the priority of a request of a tenant on a route: the tenant's goes before the route's.
pub fn request_priority(tenant_priority: u8, route_priority: u8) -> u8 {
    let route_priority = route_priority.min(ROUTE_PRIORITIES - 1);
    tenant_priority.saturating_mul(ROUTE_PRIORITIES).saturating_add(route_priority)
}
