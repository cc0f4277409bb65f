//! Which policy an instance runs: the full one, or the plain one that measurements compare it with.

use serde::{Deserialize, Serialize};

/// The policy by which calls are spread, queued and admitted.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// Round robin over replicas, first come first served, no hedges, no admission. Each call has
    /// a bounded queue and a timeout all the same.
    Plain,
    /// Load-aware choice of replicas, ranks with floors, hedges within a budget, admission.
    #[default]
    Full,
}
