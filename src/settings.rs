//! The settings that operators declare: one document, planned, confirmed and distributed as a whole.

use crate::ids;
use crate::rank;
use serde::{Deserialize, Serialize};

/// The highest latency target of a rank.
pub const TARGET_MAX_MS: u32 = 600_000;

/// The maximum number of services in a deployment.
pub const SERVICES_MAX: usize = 4_096;

/// The maximum number of searchers of a service.
pub const SEARCHERS_MAX: u16 = 10_000;

/// The maximum number of slots of a searcher.
pub const SLOTS_MAX: u16 = 1_024;

/// The maximum number of connections of a searcher.
pub const CONNECTIONS_MAX: u16 = 10_000;

/// The maximum number of extra shard calls for hedges, in percent of the shard calls needed.
pub const HEDGE_PERCENT_MAX: u8 = 50;

/// The highest limit of hits that a service may allow for a query.
pub const LIMIT_MAX: u16 = 1_000;

/// The maximum number of operations of a service.
pub const OPERATIONS_MAX: usize = 64;

/// Connections that one owner may open in addition to one for each slot: for probes, and to replace
/// unresponsive connections.
pub const CONNECTION_HEADROOM: u16 = 2;

/// The number of connections that a searcher with `slots` slots should accept: enough for two owners,
/// because both may connect to it during a failover.
pub fn recommended_connections(slots: u16) -> u16 {
    slots.saturating_add(CONNECTION_HEADROOM).saturating_mul(2)
}

/// The settings that operators declare.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The three ranks' targets and shares, in the order of [`rank::Rank::ALL`].
    pub ranks: Vec<RankPolicy>,
    /// The services, sorted by name.
    pub services: Vec<ServicePolicy>,
}

/// The latency target and the guaranteed share of one rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankPolicy {
    /// The rank.
    pub rank: rank::Rank,
    /// The latency promised to callers of this rank.
    pub target_ms: u32,
    /// The share of each searcher's slots that is guaranteed to the rank while it has demand.
    pub floor_percent: u8,
}

/// The limits and operations of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePolicy {
    /// The service.
    pub service: ids::ServiceName,
    /// The number of searchers that the service is expected to have.
    pub searchers: u16,
    /// The number of requests that one searcher processes concurrently.
    pub slots_per_searcher: u16,
    /// The number of connections that one searcher accepts.
    pub connections_per_searcher: u16,
    /// Extra shard calls allowed for hedges, in percent of the shard calls that queries need.
    pub hedge_percent: u8,
    /// The maximum number of hits that a query may request.
    pub limit_max: u16,
    /// The non-idempotent operations that the service accepts, sorted.
    pub operations: Vec<ids::OperationName>,
}

impl Settings {
    /// The policy of `service`; `None` if it is not declared.
    pub fn service(&self, service: &ids::ServiceName) -> Option<&ServicePolicy> {
        let index = self.services.binary_search_by(|policy| policy.service.cmp(service)).ok()?;
        self.services.get(index)
    }

    /// The policy of `rank`; `None` if it is not declared.
    pub fn rank(&self, rank: rank::Rank) -> Option<&RankPolicy> {
        self.ranks.iter().find(|policy| policy.rank == rank)
    }
}
