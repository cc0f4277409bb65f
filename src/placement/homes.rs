//! The regions in which a request may be served.

use crate::discovery::config;
use crate::tenants::tenant;
use compact_str::CompactString;

/// The regions in which a request may be served.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Homes {
    /// All regions.
    #[default]
    Any,
    /// These regions only; none if the list is empty.
    Only(Vec<CompactString>),
}

impl Homes {
    /// Returns the home regions of a request on `route`. If the route and the tenant both have some, only the regions that
    /// both have remain.
    pub fn of(route: &config::Route, tenant: Option<&tenant::Tenant>) -> Self {
        let by_tenant = tenant.map_or(&[][..], |tenant| &tenant.home_regions);
        match (route.home_regions.is_empty(), by_tenant.is_empty()) {
            (true, true) => Self::Any,
            (false, true) => Self::Only(route.home_regions.clone()),
            (true, false) => Self::Only(by_tenant.to_vec()),
            (false, false) => {
                let mut both = route.home_regions.clone();
                both.retain(|region| by_tenant.contains(region));
                Self::Only(both)
            }
        }
    }

    /// Whether a searcher in `region` may be used.
    pub fn allows(&self, region: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => regions.iter().any(|home| home == region),
        }
    }

    /// Whether some regions are not allowed.
    pub fn is_restricted(&self) -> bool {
        *self != Self::Any
    }
}

/// Returns the home regions of all routes of `host`, sorted. A port in `host` is ignored.
pub fn regions_of_host(config: &config::Config, host: &str) -> Vec<CompactString> {
    let host = host.split(':').next().unwrap_or_default();
    let mut regions = Vec::new();
    for route in &config.routes {
        if !route.home_regions.is_empty() && route.host.eq_ignore_ascii_case(host) {
            regions.extend_from_slice(&route.home_regions);
        }
    }
    regions.sort();
    regions.dedup();
    regions
}
