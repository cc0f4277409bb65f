//! The operators' settings: one document that is declared, planned, confirmed and spread as a whole.

use crate::ids;
use crate::rank;
use serde::{Deserialize, Serialize};

/// The longest target of a rank.
pub const TARGET_MAX_MS: u32 = 600_000;

/// The most services of a deployment.
pub const SERVICES_MAX: usize = 4_096;

/// The most searchers of a service.
pub const SEARCHERS_MAX: u16 = 10_000;

/// The most slots of a searcher.
pub const SLOTS_MAX: u16 = 1_024;

/// The most connections of a searcher.
pub const CONNECTIONS_MAX: u16 = 10_000;

/// The most extra shard calls for hedges, in percent.
pub const HEDGE_PERCENT_MAX: u8 = 50;

/// The most hits that a service may allow a query.
pub const LIMIT_MAX: u16 = 1_000;

/// The most operations of a service.
pub const OPERATIONS_MAX: usize = 64;

/// Connections of one owner beyond its slots: probes, and replacements for silent connections.
pub const CONNECTION_HEADROOM: u16 = 2;

/// Connections that a searcher with `slots` should accept, for two owners during a failover.
pub fn recommended_connections(slots: u16) -> u16 {
    slots.saturating_add(CONNECTION_HEADROOM).saturating_mul(2)
}

/// What the operators declare.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The three ranks' targets and shares, in the order of [`rank::Rank::ALL`].
    pub ranks: Vec<RankPolicy>,
    /// The services, sorted by name.
    pub services: Vec<ServicePolicy>,
}

/// What one rank gets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankPolicy {
    /// The rank.
    pub rank: rank::Rank,
    /// The latency that callers of this rank are promised.
    pub target_ms: u32,
    /// The share of each searcher's slots that the rank gets when it asks for it.
    pub floor_percent: u8,
}

/// What one service may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePolicy {
    /// The service.
    pub service: ids::ServiceName,
    /// How many searchers the service is expected to have.
    pub searchers: u16,
    /// How many requests one searcher works on at a time.
    pub slots_per_searcher: u16,
    /// How many connections one searcher accepts.
    pub connections_per_searcher: u16,
    /// Extra shard calls allowed for hedges, in percent of the shard calls that queries need.
    pub hedge_percent: u8,
    /// The most hits that a query may ask for.
    pub limit_max: u16,
    /// The non-idempotent operations that the service takes, sorted.
    pub operations: Vec<ids::OperationName>,
}

impl Settings {
    /// The policy of `service`, if it is declared.
    pub fn service(&self, service: &ids::ServiceName) -> Option<&ServicePolicy> {
        let index = self.services.binary_search_by(|policy| policy.service.cmp(service)).ok()?;
        self.services.get(index)
    }

    /// The policy of `rank`, if it is declared.
    pub fn rank(&self, rank: rank::Rank) -> Option<&RankPolicy> {
        self.ranks.iter().find(|policy| policy.rank == rank)
    }
}
