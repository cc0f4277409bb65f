//! The operator's configuration: routes, services and limits.

use crate::tenants::tenant;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The version of a configuration. Versions increase, but not always by one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl std::fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl std::str::FromStr for ConfigVersion {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// The name of a service in the operator's configuration and in searchers' entries: any text.
///
/// The names of the project's own interface ([`crate::ids::ServiceName`]) are parts of paths and keys, and follow a rule.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceName(CompactString);

impl ServiceName {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Display for ServiceName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::str::FromStr for ServiceName {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.into()))
    }
}

/// Whether a request may be executed more than once.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum Repeatability {
    /// It may be executed any number of times.
    Idempotent,
    /// It may be executed at most once.
    NonIdempotent,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight, relative to the other weights of the route.
    pub weight: f64,
}

/// A query over many shards, each of them a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gather {
    /// The shards.
    pub shards: Vec<ServiceName>,
    /// The maximum number of records in the answer.
    pub top_count: u32,
    /// The minimum share of the shards that an answer must cover, from 0 to 1.
    pub shard_ratio_min: f64,
}

impl Gather {
    /// The minimum number of shards that an answer must cover; at least one.
    pub fn shards_min(&self) -> usize {
        /// Tolerance for rounding errors, so that 0.9 of 10 shards are 9 and not 10.
        const ROUNDING: f64 = 1e-9;
        let required = (self.shard_ratio_min * self.shards.len() as f64 - ROUNDING).ceil();
        (required.max(1.0) as usize).min(self.shards.len().max(1))
    }
}

/// Where a route's requests go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Target {
    /// To a searcher of one service.
    Service(ServiceName),
    /// To a searcher of one of these services, chosen in proportion to their weights.
    Split(Vec<WeightedService>),
    /// To a searcher of each shard.
    Gather(Gather),
    /// Nowhere: the route can't be used, and its requests are refused.
    Unusable,
}

impl Target {
    /// The number of parts of a request: one for each shard of a gather.
    pub fn parts(&self) -> usize {
        match self {
            Self::Service(_) | Self::Split(_) => 1,
            Self::Gather(gather) => gather.shards.len(),
            Self::Unusable => 0,
        }
    }

    /// All services that a request on this route may use.
    pub fn services(&self) -> Vec<&ServiceName> {
        match self {
            Self::Service(service) => vec![service],
            Self::Split(parts) => parts.iter().map(|part| &part.service).collect(),
            Self::Gather(gather) => gather.shards.iter().collect(),
            Self::Unusable => Vec::new(),
        }
    }
}

/// Identifies a route in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RouteId {
    /// Its name.
    pub name: CompactString,
    /// The host it matches.
    pub host: CompactString,
    /// The path prefix it matches.
    pub prefix: CompactString,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: CompactString,
    /// The host it matches.
    pub host: CompactString,
    /// The path prefix it matches; it begins and ends with a slash.
    pub prefix: CompactString,
    /// Whether its requests may be executed more than once.
    pub repeatability: Repeatability,
    /// The maximum time that a client waits for an answer.
    pub timeout_ms: u64,
    /// The latency within which an answer is worth most to the client. Later answers count as late, and from about
    /// this time on a gather may be answered with parts missing.
    pub target_latency_ms: u64,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The maximum number of searchers to which a request (each part, for a gather) is sent.
    pub attempts: u32,
    /// Where the requests go.
    pub target: Target,
    /// Whether its requests need no key.
    pub is_auth_exempt: bool,
    /// The regions in which its requests may be served; empty if any.
    pub home_regions: Vec<CompactString>,
}

impl RouteId {
    /// The fields, to compare with [`Route::key`].
    fn key(&self) -> (&str, &str, &str) {
        (&self.name, &self.host, &self.prefix)
    }
}

impl Route {
    /// What identifies the route, without a copy of it: name, host and prefix.
    pub fn key(&self) -> (&str, &str, &str) {
        (&self.name, &self.host, &self.prefix)
    }

    fn id(&self) -> RouteId {
        let (name, host) = (self.name.clone(), self.host.clone());
        RouteId { name, host, prefix: self.prefix.clone() }
    }
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The maximum number of connections that each of its searchers accepts from all callers together.
    pub connections_max: u32,
    /// For how long a searcher is cold after its start, in milliseconds.
    pub cold_start_ms: u64,
    /// How many requests per second a cold searcher bears from all callers together; 0 if there is no limit.
    pub cold_per_s: f64,
}

/// Limits on the size of clients' requests and on the idle time of their connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The maximum size of a request head (request line and headers). The server does not apply it exactly: its
    /// buffer for the head holds 4 KiB more, and at least 8 KiB.
    pub header_max_bytes: u64,
    /// The maximum size of a request body. The server accepts 256 KiB even if this is lower.
    pub body_max_bytes: u64,
    /// The longest time that a client may take to send a request head, from its first byte. It is checked twice a
    /// second.
    pub header_timeout_ms: u64,
    /// The longest time that a client's connection may be idle.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    /// The limits of a configuration that states none.
    fn default() -> Self {
        Self {
            header_max_bytes: 16 << 10,
            body_max_bytes: 256 << 10,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A complete configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// The version of this configuration.
    pub version: ConfigVersion,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services, sorted by name.
    pub services: Vec<Service>,
    /// The limits for clients.
    pub limits: Limits,
    /// The tenants.
    pub tenants: tenant::Tenants,
    /// How many of its parts can't be used.
    pub unusable_count: u32,
}

impl Config {
    /// The service with this name; `None` if the configuration does not declare it.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        let at = self.services.binary_search_by(|service| service.name.cmp(name)).ok()?;
        self.services.get(at)
    }
}

/// The differences between two configurations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// The version of the configuration that the delta applies to.
    pub base: ConfigVersion,
    /// The version of the resulting configuration.
    pub version: ConfigVersion,
    /// Routes that were added or changed.
    pub routes: Vec<Route>,
    /// Routes that were removed.
    pub routes_gone: Vec<RouteId>,
    /// Services that were added or changed.
    pub services: Vec<Service>,
    /// Names of services that were removed.
    pub services_gone: Vec<ServiceName>,
    /// The limits for clients.
    pub limits: Limits,
    /// The differences between the tenants.
    pub tenants: tenant::TenantsDelta,
    /// How many parts of the resulting configuration can't be used.
    pub unusable_count: u32,
}

impl ConfigDelta {
    /// The delta from `old` to `new`.
    pub fn between(old: &Config, new: &Config) -> Self {
        let old_routes = by_key(&old.routes);
        let new_routes = by_key(&new.routes);
        let mut routes = Vec::new();
        for route in &new.routes {
            let known = old_routes.binary_search_by(|old| old.key().cmp(&route.key())).ok();
            if known.is_some_and(|at| old_routes[at] == route) {
                continue;
            }
            routes.push(route.clone());
        }
        let mut routes_gone = Vec::new();
        for route in &old.routes {
            if new_routes.binary_search_by(|new| new.key().cmp(&route.key())).is_err() {
                routes_gone.push(route.id());
            }
        }
        let mut services = Vec::new();
        for service in &new.services {
            if old.service(&service.name) != Some(service) {
                services.push(service.clone());
            }
        }
        let mut services_gone = Vec::new();
        for service in &old.services {
            if new.service(&service.name).is_none() {
                services_gone.push(service.name.clone());
            }
        }
        Self {
            base: old.version,
            version: new.version,
            routes,
            routes_gone,
            services,
            services_gone,
            limits: new.limits,
            tenants: tenant::TenantsDelta::between(&old.tenants, &new.tenants),
            unusable_count: new.unusable_count,
        }
    }

    /// Applies the delta to `old`. Returns `None` if `old` is not the base of the delta.
    pub fn apply(self, old: &Config) -> Option<Config> {
        if old.version != self.base {
            return None;
        }
        let mut routes = old.routes.clone();
        routes.retain(|route| !self.routes_gone.iter().any(|gone| gone.key() == route.key()));
        for route in self.routes {
            match routes.iter_mut().find(|known| known.key() == route.key()) {
                Some(known) => *known = route,
                None => routes.push(route),
            }
        }
        let mut services = old.services.clone();
        services.retain(|service| !self.services_gone.contains(&service.name));
        for service in self.services {
            match services.binary_search_by(|known| known.name.cmp(&service.name)) {
                Ok(at) => services[at] = service,
                Err(at) => services.insert(at, service),
            }
        }
        let tenants = self.tenants.apply(&old.tenants);
        Some(Config {
            version: self.version,
            routes,
            services,
            limits: self.limits,
            tenants,
            unusable_count: self.unusable_count,
        })
    }
}

fn by_key(routes: &[Route]) -> Vec<&Route> {
    let mut sorted: Vec<&Route> = routes.iter().collect();
    sorted.sort_by(|a, b| a.key().cmp(&b.key()));
    sorted
}
