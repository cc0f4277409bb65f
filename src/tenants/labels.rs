//! Chooses which tenants are named in metrics, so that the number of series is bounded.

use compact_str::CompactString;

/// The most tenants that are named.
const NAMES_MAX: usize = 32;
/// A tenant is named once it has this part of all requests, and at least [`REQUESTS_MIN`] of them.
const REQUESTS_SHARE: f64 = 0.01;
const REQUESTS_MIN: u64 = 20;
/// Stands for all tenants that are not named.
pub const OTHERS: &str = "others";

/// The tenants that are named in metrics: those with the most requests. A name stays, so that counters never fall.
#[derive(Clone, Debug, Default)]
pub struct Labels {
    request_count: u64,
    name_count: usize,
    /// Sorted by tenant.
    tenants: Vec<Tenant>,
}

#[derive(Clone, Debug)]
struct Tenant {
    name: CompactString,
    request_count: u64,
    is_named: bool,
}

impl Labels {
    /// Counts a request of `tenant` and returns the name under which it is counted in metrics.
    pub fn label(&mut self, tenant: &str) -> CompactString {
        self.request_count += 1;
        let found = self.tenants.binary_search_by(|known| known.name.as_str().cmp(tenant));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                let new = Tenant { name: tenant.into(), request_count: 0, is_named: false };
                self.tenants.insert(at, new);
                at
            }
        };
        let known = &mut self.tenants[at];
        known.request_count += 1;
        let is_large = known.request_count as f64 >= self.request_count as f64 * REQUESTS_SHARE;
        if !known.is_named
            && is_large
            && known.request_count >= REQUESTS_MIN
            && self.name_count < NAMES_MAX
        {
            known.is_named = true;
            self.name_count += 1;
        }
        if known.is_named { known.name.clone() } else { OTHERS.into() }
    }
}
