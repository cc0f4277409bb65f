//! Counts requests by tenant. The number of time series is bounded: only the tenants with the most requests have a
//! series of their own.

use crate::locks;
use compact_str::CompactString;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::family;
use prometheus_client::registry;
use std::sync;
use xxhash_rust::xxh3;

/// The most tenants with series of their own.
const NAMED_MAX: usize = 20;
/// The number of requests after which the named tenants are chosen anew. Counts are then halved.
const ROUND_REQUESTS: u32 = 2_000;
/// The maximum length of a tenant's label; longer names are cut.
const LABEL_MAX_BYTES: usize = 64;
/// The label of all tenants without a name of their own; also of requests that belong to no tenant.
pub const OTHERS: &str = "(others)";
/// The outcome of a request without a known key.
pub const UNAUTHORIZED: &str = "unauthorized";

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    tenant: String,
    outcome: &'static str,
}

#[derive(Debug, Default)]
struct State {
    /// The requests of each tenant, older ones counting less; sorted by name.
    counts: Vec<(CompactString, u32)>,
    /// Sorted.
    named: Vec<CompactString>,
    round: u32,
    /// The outcomes that have been counted, whose series are removed with a tenant's name.
    outcomes: Vec<&'static str>,
}

/// The requests of each tenant by outcome.
#[derive(Debug, Default)]
pub struct Metrics {
    requests: family::Family<Labels, counter::Counter>,
    state: sync::Mutex<State>,
}

impl Metrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut registry::Registry) {
        registry.register(
            "tenant_requests",
            "Requests by tenant and outcome, of the tenants with the most requests and all others together",
            self.requests.clone(),
        );
    }

    /// Counts a request. `tenant` is empty if it belongs to none.
    pub fn record(&self, tenant: &str, outcome: &'static str) {
        let mut state = locks::lock(&self.state);
        if !state.outcomes.contains(&outcome) {
            state.outcomes.push(outcome);
        }
        let is_named = !tenant.is_empty() && self.count(&mut state, tenant);
        drop(state);
        let tenant = if is_named { label(tenant) } else { OTHERS.to_owned() };
        self.requests.get_or_create(&Labels { tenant, outcome }).inc();
    }

    /// Counts a request of a tenant. Returns whether the tenant has series of its own.
    fn count(&self, state: &mut State, tenant: &str) -> bool {
        match state.counts.binary_search_by(|(name, _)| name.as_str().cmp(tenant)) {
            Ok(at) => state.counts[at].1 += 1,
            Err(at) => state.counts.insert(at, (tenant.into(), 1)),
        }
        state.round += 1;
        if state.round >= ROUND_REQUESTS {
            self.choose_named(state);
        }
        if let Err(at) = state.named.binary_search_by(|name| name.as_str().cmp(tenant)) {
            if state.named.len() >= NAMED_MAX {
                return false;
            }
            state.named.insert(at, tenant.into());
        }
        true
    }

    fn choose_named(&self, state: &mut State) {
        state.round = 0;
        let mut ranked: Vec<&(CompactString, u32)> = state.counts.iter().collect();
        ranked.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        let mut named: Vec<CompactString> =
            ranked.into_iter().take(NAMED_MAX).map(|(name, _)| name.clone()).collect();
        named.sort();
        for name in std::mem::replace(&mut state.named, named) {
            if state.named.binary_search(&name).is_ok() {
                continue;
            }
            for outcome in &state.outcomes {
                self.requests.remove(&Labels { tenant: label(&name), outcome });
            }
        }
        for (_, count) in &mut state.counts {
            *count /= 2;
        }
        state.counts.retain(|(_, count)| *count > 0);
    }
}

/// The label of a tenant: its name, which is cut if it is long and then ends with its hash, so that names that begin alike
/// differ.
fn label(name: &str) -> String {
    if name.len() <= LABEL_MAX_BYTES {
        return name.to_owned();
    }
    let hash = format!("~{:016x}", xxh3::xxh3_64(name.as_bytes()));
    let end = name.floor_char_boundary(LABEL_MAX_BYTES - hash.len());
    format!("{}{hash}", &name[..end])
}
