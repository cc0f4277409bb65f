//! What differs between the configuration in force and another one.

use crate::discovery::config;
use crate::tenants::tenant;
use compact_str::CompactString;
use compact_str::format_compact;

/// Returns a line for each difference from `old` to `new`. Keys are counted, not shown.
pub fn between(old: &config::Config, new: &config::Config) -> Vec<CompactString> {
    let mut lines = Vec::new();
    let delta = config::ConfigDelta::between(old, new);
    for route in &delta.routes {
        match old.routes.iter().find(|known| known.key() == route.key()) {
            Some(known) => lines.push(changed("route", &route.name, known, route)),
            None => lines.push(format_compact!("route {}: added", route.name)),
        }
    }
    lines.extend(delta.routes_gone.iter().map(|id| format_compact!("route {}: removed", id.name)));
    for service in &delta.services {
        match old.service(&service.name) {
            Some(known) => lines.push(changed("service", service.name.as_str(), known, service)),
            None => lines.push(format_compact!("service {}: added", service.name)),
        }
    }
    lines.extend(delta.services_gone.iter().map(|name| format_compact!("service {name}: removed")));
    tenants(&old.tenants, &new.tenants, &delta.tenants, &mut lines);
    if old.limits != new.limits {
        lines.push(changed("limits", "of clients", &old.limits, &new.limits));
    }
    lines
}

fn tenants(
    old: &tenant::Tenants,
    new: &tenant::Tenants,
    delta: &tenant::TenantsDelta,
    lines: &mut Vec<CompactString>,
) {
    match (old.require_keys(), new.require_keys()) {
        (true, false) => lines.push("tenants: list removed, requests need no key any more".into()),
        (false, true) => lines.push("tenants: list added, requests need a key from now on".into()),
        (true, true) | (false, false) => {}
    }
    let tenant::TenantsDelta::Declared { changed, removed, unusable_keys: _ } = delta else {
        return;
    };
    for tenant in changed {
        match old.find(&tenant.name) {
            Some(known) => lines.push(tenant_changed(known, tenant)),
            None => {
                let count = tenant.credentials.len();
                lines.push(format_compact!("tenant {}: added, {count} keys", tenant.name));
            }
        }
    }
    lines.extend(removed.iter().map(|name| format_compact!("tenant {name}: removed")));
    if new.as_slice().is_empty() && !old.as_slice().is_empty() {
        lines.push("tenants: none left, only exempt routes are served".into());
    }
}

fn changed<T: std::fmt::Debug>(kind: &str, name: &str, old: &T, new: &T) -> CompactString {
    format_compact!("{kind} {name}: changed from {old:?} to {new:?}")
}

fn tenant_changed(old: &tenant::Tenant, new: &tenant::Tenant) -> CompactString {
    let is_in = |credential: &tenant::Credential, tenant: &tenant::Tenant| {
        tenant.credentials.contains(credential)
    };
    let added = new.credentials.iter().filter(|credential| !is_in(credential, old)).count();
    let removed = old.credentials.iter().filter(|credential| !is_in(credential, new)).count();
    let without_keys =
        |tenant: &tenant::Tenant| tenant::Tenant { credentials: Vec::new(), ..tenant.clone() };
    let mut line = format_compact!("tenant {}: {added} keys added, {removed} removed", new.name);
    let (old, new) = (without_keys(old), without_keys(new));
    if old != new {
        line.push_str(&format!(", changed from {old:?} to {new:?}"));
    }
    line
}
