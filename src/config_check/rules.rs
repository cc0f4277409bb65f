//! Errors, entries that can never match, and limits that contradict each other.

use crate::config_check::findings;
use crate::discovery::config;
use crate::tenants::tenant;
use compact_str::CompactString;
use compact_str::format_compact;

/// Adds what is wrong with `new` as the successor of `old`.
pub fn check_succession(
    old: &config::Config,
    new: &config::Config,
    findings: &mut findings::Findings,
) {
    if new.version <= old.version {
        let message = format_compact!("not newer than {}, which is in force", old.version);
        findings.error("version", message);
    }
    if old.tenants.require_keys() && !new.tenants.require_keys() {
        let message = "the list in force is left out: requests would need no key any more";
        findings.error("tenants", message);
    }
}

/// Checks a configuration. `regions` are the deployment's, sorted; empty if they are not known.
pub fn check(config: &config::Config, regions: &[CompactString]) -> findings::Findings {
    let mut check = Check { config, regions, findings: findings::Findings::default() };
    check.routes();
    check.services();
    check.tenants();
    check.limits();
    check.findings
}

struct Check<'a> {
    config: &'a config::Config,
    regions: &'a [CompactString],
    findings: findings::Findings,
}

impl Check<'_> {
    fn routes(&mut self) {
        let config = self.config;
        for (index, route) in config.routes.iter().enumerate() {
            let place = format_compact!("route {}", route.name);
            for (other_index, other) in config.routes.iter().enumerate() {
                if other_index < index && other.name == route.name {
                    self.findings.error(place.clone(), "another route has the same name");
                }
                let is_match =
                    other.host.eq_ignore_ascii_case(&route.host) && other.prefix == route.prefix;
                // Instances use the first of them by name.
                if is_match && (&other.name, other_index) < (&route.name, index) {
                    let message = format_compact!(
                        "never matches: route {} has the same host and prefix",
                        other.name
                    );
                    self.findings.error(place.clone(), message);
                }
            }
            if route.host.is_empty() || route.host.contains(':') {
                self.findings.error(place.clone(), "never matches: host is empty or has a port");
            }
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                let message = "never matches: prefix has to begin and end with a slash";
                self.findings.error(place.clone(), message);
            }
            if route.target == config::Target::Unusable {
                continue;
            }
            if route.timeout_ms == 0 {
                self.findings.error(place.clone(), "a timeout of 0 ms refuses every request");
            }
            if route.target_latency_ms > route.timeout_ms {
                let message = format_compact!(
                    "the target latency of {} ms is longer than the timeout of {} ms",
                    route.target_latency_ms,
                    route.timeout_ms
                );
                self.findings.warning(place.clone(), message);
            }
            if route.attempts == 0 {
                self.findings.warning(place.clone(), "0 attempts count as 1");
            }
            self.home_regions(&place, &route.home_regions);
            self.target(&place, route);
        }
    }

    fn target(&mut self, place: &CompactString, route: &config::Route) {
        match &route.target {
            config::Target::Service(_) | config::Target::Unusable => {}
            config::Target::Split(parts) => {
                for part in parts {
                    if !part.weight.is_finite() || part.weight < 0.0 {
                        let message =
                            format_compact!("service {}: weight {}", part.service, part.weight);
                        self.findings.error(place.clone(), message);
                    } else if part.weight == 0.0 {
                        let message =
                            format_compact!("service {}: weight 0, it gets nothing", part.service);
                        self.findings.warning(place.clone(), message);
                    }
                }
                if !parts.iter().any(|part| part.weight > 0.0) {
                    self.findings.error(place.clone(), "no service has a weight above 0");
                }
            }
            config::Target::Gather(gather) => {
                if route.repeatability == config::Repeatability::NonIdempotent {
                    let message = "a gather has to be idempotent";
                    self.findings.error(place.clone(), message);
                }
                if gather.shards.is_empty() {
                    self.findings.error(place.clone(), "a gather over no shards");
                }
                if gather.top_count == 0 {
                    self.findings.warning(place.clone(), "answers have no records");
                }
                if !(0.0..=1.0).contains(&gather.shard_ratio_min) {
                    let message = format_compact!(
                        "the minimum share of shards is {}, expected 0 to 1",
                        gather.shard_ratio_min
                    );
                    self.findings.error(place.clone(), message);
                }
                let mut shards: Vec<&config::ServiceName> = gather.shards.iter().collect();
                shards.sort();
                for pair in shards.windows(2) {
                    if pair[0] == pair[1] {
                        let message = format_compact!("shard {} is listed twice", pair[0]);
                        self.findings.error(place.clone(), message);
                    }
                }
            }
        }
        for service in route.target.services() {
            if self.config.service(service).is_none() {
                let message = format_compact!("service {service} is not declared");
                self.findings.error(place.clone(), message);
            }
        }
    }

    fn services(&mut self) {
        let mut used: Vec<&config::ServiceName> =
            self.config.routes.iter().flat_map(|route| route.target.services()).collect();
        used.sort();
        for pair in self.config.services.windows(2) {
            if pair[0].name == pair[1].name {
                let place = format_compact!("service {}", pair[0].name);
                self.findings.error(place, "declared twice");
            }
        }
        for service in &self.config.services {
            let place = format_compact!("service {}", service.name);
            if used.binary_search(&&service.name).is_err() {
                self.findings.warning(place.clone(), "no route leads to it");
            }
            if service.connections_max == 0 {
                self.findings.error(place, "0 connections: its searchers can't be reached");
            }
        }
    }

    fn tenants(&mut self) {
        let config = self.config;
        if !config.tenants.require_keys() {
            self.findings.warning("tenants", "no list, so requests need no key");
        }
        if config.tenants.require_keys() && config.routes.iter().all(|route| route.is_auth_exempt) {
            self.findings.warning("tenants", "all routes are exempt, so keys are never checked");
        }
        if config.tenants.require_keys() && config.tenants.as_slice().is_empty() {
            self.findings.warning("tenants", "the list is empty, so only exempt routes are served");
        }
        for tenant in config.tenants.as_slice() {
            let place = format_compact!("tenant {}", tenant.name);
            if tenant.credentials.is_empty() {
                self.findings.warning(place.clone(), "no keys: no request can belong to it");
            }
            if tenant
                .credentials
                .iter()
                .any(|credential| tenant::header_value(&credential.0).is_none())
            {
                let message = "never matches: a key is empty or can't be sent in a header";
                self.findings.error(place.clone(), message);
            }
            if tenant::header_value(&tenant.name).is_none() {
                let message = "the name is empty or can't be sent to searchers in a header";
                self.findings.error(place.clone(), message);
            }
            self.home_regions(&place, &tenant.home_regions);
            self.empty_homes(&place, tenant);
        }
    }

    /// Finds the routes on which a tenant's requests can be served in no region.
    fn empty_homes(&mut self, place: &CompactString, tenant: &tenant::Tenant) {
        for route in &self.config.routes {
            let (route_homes, tenant_homes) = (&route.home_regions, &tenant.home_regions);
            if route.is_auth_exempt || route_homes.is_empty() || tenant_homes.is_empty() {
                continue;
            }
            if route_homes.iter().any(|region| tenant_homes.contains(region)) {
                continue;
            }
            let message = format_compact!(
                "requests on route {} can be served nowhere: no region is allowed for both",
                route.name
            );
            self.findings.warning(place.clone(), message);
        }
    }

    fn home_regions(&mut self, place: &CompactString, homes: &[CompactString]) {
        for region in homes {
            if !self.regions.is_empty() && self.regions.binary_search(region).is_err() {
                let message = format_compact!("unknown region {region}");
                self.findings.error(place.clone(), message);
            }
        }
    }

    fn limits(&mut self) {
        let limits = &self.config.limits;
        let figures = [
            ("header size", limits.header_max_bytes),
            ("header timeout", limits.header_timeout_ms),
            ("idle timeout", limits.idle_timeout_ms),
        ];
        for (name, value) in figures {
            if value == 0 {
                let message = format_compact!("a {name} of 0 refuses every request");
                self.findings.error("limits", message);
            }
        }
        if limits.header_timeout_ms > limits.idle_timeout_ms {
            let message = format_compact!(
                "the header timeout of {} ms is longer than the idle timeout of {} ms",
                limits.header_timeout_ms,
                limits.idle_timeout_ms
            );
            self.findings.warning("limits", message);
        }
    }
}
