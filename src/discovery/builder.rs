//! Builds a configuration from its parts, some of which may be unusable.
//!
//! An unusable part keeps nothing else out of force. Requests that it applies to are refused, so that they are neither
//! handled as an older version allows, nor by another part that happens to match them.

use crate::discovery::config;
use crate::tenants::tenant;
use compact_str::CompactString;
use compact_str::format_compact;
use std::fmt;

/// How many unusable parts are described. All are counted.
const DESCRIBED_MAX: usize = 1_000;
/// The maximum length of a description's place and of its reason; names may be as long as a configuration.
const TEXT_MAX_BYTES: usize = 200;

/// A part of a configuration that can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unusable {
    /// Where it is, such as `tenant t1`.
    pub place: CompactString,
    /// Why it can't be used. Keys are not named.
    pub reason: CompactString,
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.reason)
    }
}

/// A configuration, and the parts of it that can't be used.
#[derive(Clone, Debug, PartialEq)]
pub struct Built {
    /// The configuration.
    pub config: config::Config,
    /// The first of the unusable parts, in the order in which they were found; [`config::Config::unusable_count`] counts all.
    pub unusable: Vec<Unusable>,
}

/// Collects the parts of a configuration.
#[derive(Debug)]
pub struct Builder {
    config: config::Config,
    /// Keys that no request may use, though the configuration holds them.
    unusable_keys: tenant::UnusableKeys,
    unusable: Vec<Unusable>,
}

impl Builder {
    /// Creates a configuration without parts, which needs no keys.
    pub fn new(version: config::ConfigVersion) -> Self {
        Self {
            config: config::Config {
                version,
                routes: Vec::new(),
                services: Vec::new(),
                limits: config::Limits::default(),
                tenants: tenant::Tenants::Open,
                unusable_count: 0,
            },
            unusable_keys: tenant::UnusableKeys::default(),
            unusable: Vec::new(),
        }
    }

    /// Notes an unusable part that nothing else depends on.
    pub fn unusable(&mut self, place: impl Into<CompactString>, reason: impl Into<CompactString>) {
        self.config.unusable_count += 1;
        if self.unusable.len() < DESCRIBED_MAX {
            let (place, reason) = (shortened(place.into()), shortened(reason.into()));
            self.unusable.push(Unusable { place, reason });
        }
    }

    /// Adds a route. If its target has nowhere to send requests, they are refused.
    pub fn route(&mut self, mut route: config::Route) {
        if let Some(reason) = unusable_target(&route.target) {
            route.target = config::Target::Unusable;
            self.unusable(format_compact!("route {}", route.name), reason);
        }
        self.config.routes.push(route);
    }

    /// Adds a route of which no more than the name and the requests that it matches can be read.
    pub fn unusable_route(&mut self, id: config::RouteId, reason: impl Into<CompactString>) {
        self.unusable(format_compact!("route {}", id.name), reason);
        self.config.routes.push(config::Route {
            name: id.name,
            host: id.host,
            prefix: id.prefix,
            repeatability: config::Repeatability::NonIdempotent,
            timeout_ms: 0,
            target_latency_ms: 0,
            priority: 0,
            attempts: 1,
            target: config::Target::Unusable,
            is_auth_exempt: false,
            home_regions: Vec::new(),
        });
    }

    /// Adds a service.
    pub fn service(&mut self, service: config::Service) {
        match self.config.services.binary_search_by(|known| known.name.cmp(&service.name)) {
            Ok(_) => self.unusable(format_compact!("service {}", service.name), "declared twice"),
            Err(at) => self.config.services.insert(at, service),
        }
    }

    /// Sets the limits of clients.
    pub fn limits(&mut self, limits: config::Limits) {
        self.config.limits = limits;
    }

    /// Declares a list of tenants: from now on requests need keys.
    pub fn declare_tenants(&mut self) {
        self.config.tenants = tenant::Tenants::Declared(tenant::Declared::default());
    }

    /// Declares a list of tenants that can't be read: no request that needs a key can be served.
    pub fn unusable_tenants(&mut self, reason: impl Into<CompactString>) {
        self.config.tenants = tenant::Tenants::Unusable;
        self.unusable("tenants", reason);
    }

    /// Adds a tenant. Its requests are refused if searchers can't be told its name.
    pub fn tenant(&mut self, tenant: tenant::Tenant) {
        if tenant::header_value(&tenant.name).is_none() {
            let place = format_compact!("tenant {:?}", tenant.name);
            let reason = "the name is empty or can't be sent to searchers in a header";
            self.unusable_tenant(place, tenant.credentials, reason);
            return;
        }
        if let tenant::Tenants::Declared(declared) = &mut self.config.tenants {
            declared.tenants.push(tenant);
        }
    }

    /// Adds the keys of a tenant that can't be used otherwise.
    pub fn unusable_tenant(
        &mut self,
        place: impl Into<CompactString>,
        credentials: Vec<tenant::Credential>,
        reason: impl Into<CompactString>,
    ) {
        self.unusable(place, reason);
        self.unusable_keys.keys.extend(credentials);
    }

    /// Notes that the configuration has keys that can't be read.
    pub fn unreadable_keys(&mut self) {
        self.unusable_keys.are_incomplete = true;
    }

    /// Returns the configuration with what was found unusable.
    pub fn build(mut self) -> Built {
        self.drop_repeated_routes();
        if let tenant::Tenants::Declared(declared) = &mut self.config.tenants {
            let tenants = std::mem::take(&mut declared.tenants);
            let tenants = self.merge_tenants(tenants);
            let declared = self.assign_keys(tenants);
            self.config.tenants = tenant::Tenants::Declared(declared);
        }
        Built { config: self.config, unusable: self.unusable }
    }

    /// Drops routes that repeat an earlier one's name, host and prefix.
    fn drop_repeated_routes(&mut self) {
        let routes = &self.config.routes;
        let mut order: Vec<usize> = (0..routes.len()).collect();
        order.sort_by(|&a, &b| routes[a].key().cmp(&routes[b].key()));
        let mut repeated = Vec::new();
        for pair in order.windows(2) {
            if routes[pair[0]].key() == routes[pair[1]].key() {
                repeated.push(pair[1]);
            }
        }
        repeated.sort_unstable();
        for at in repeated.into_iter().rev() {
            let route = self.config.routes.remove(at);
            let place = format_compact!("route {}", route.name);
            self.unusable(place, "declared before with the same host and prefix");
        }
    }

    /// Sorts tenants by name. Those of one name are one tenant if nothing but their keys differs, else unusable.
    fn merge_tenants(&mut self, mut tenants: Vec<tenant::Tenant>) -> Vec<tenant::Tenant> {
        tenants.sort_by(|a, b| a.name.cmp(&b.name));
        let mut merged = Vec::with_capacity(tenants.len());
        for same in tenants.chunk_by(|a, b| a.name == b.name) {
            let mut tenant = same[0].clone();
            tenant.credentials = Vec::new();
            let is_consistent = same
                .iter()
                .all(|other| tenant == tenant::Tenant { credentials: Vec::new(), ..other.clone() });
            for other in same {
                tenant.credentials.extend_from_slice(&other.credentials);
            }
            if is_consistent {
                merged.push(tenant);
                continue;
            }
            let place = format_compact!("tenant {}", tenant.name);
            self.unusable_tenant(place, tenant.credentials, "declared twice and not alike");
        }
        merged
    }

    /// Takes away the keys that belong to no single tenant, and empty ones, which requests without a key would have.
    fn assign_keys(&mut self, mut tenants: Vec<tenant::Tenant>) -> tenant::Declared {
        let mut holders = Vec::new();
        for (index, tenant) in tenants.iter().enumerate() {
            for credential in &tenant.credentials {
                holders.push((credential.clone(), index));
            }
        }
        holders.sort();
        for same in holders.chunk_by(|a, b| a.0 == b.0) {
            let (first, last) = (same[0].1, same[same.len() - 1].1);
            if first == last {
                continue;
            }
            let place = format_compact!("tenant {}", tenants[last].name);
            let reason = format_compact!("tenant {} has the same key", tenants[first].name);
            self.unusable_tenant(place, vec![same[0].0.clone()], reason);
        }
        let mut unusable_keys = std::mem::take(&mut self.unusable_keys);
        unusable_keys.keys.retain(|credential| !credential.0.is_empty());
        unusable_keys.keys.sort();
        unusable_keys.keys.dedup();
        for tenant in &mut tenants {
            if tenant.credentials.iter().any(|credential| credential.0.is_empty()) {
                self.unusable(format_compact!("tenant {}", tenant.name), "a key is empty");
            }
            tenant.credentials.retain(|credential| {
                !credential.0.is_empty() && unusable_keys.keys.binary_search(credential).is_err()
            });
        }
        tenant::Declared { tenants, unusable_keys }
    }
}

fn shortened(mut text: CompactString) -> CompactString {
    if text.len() > TEXT_MAX_BYTES {
        text.truncate(text.floor_char_boundary(TEXT_MAX_BYTES));
        text.push_str("...");
        text.shrink_to_fit();
    }
    text
}

/// Why requests can't be sent to a target; `None` if they can.
fn unusable_target(target: &config::Target) -> Option<&'static str> {
    match target {
        config::Target::Service(_) | config::Target::Unusable => None,
        config::Target::Split(parts) => {
            let is_weight = |weight: f64| weight.is_finite() && weight >= 0.0;
            if !parts.iter().all(|part| is_weight(part.weight)) {
                return Some("a weight is negative");
            }
            let has_weight = parts.iter().any(|part| part.weight > 0.0);
            (!has_weight).then_some("no service has a weight above 0")
        }
        config::Target::Gather(gather) => {
            gather.shards.is_empty().then_some("a gather over no shards")
        }
    }
}
