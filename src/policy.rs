//! The policy of an instance: the full one, or a plain one as a baseline for measurements.

use serde::{Deserialize, Serialize};

/// The policy by which calls are distributed, queued and admitted.
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
    /// Round robin over replicas, FIFO queues, no hedges and no admission control. Queues are still
    /// bounded and calls still have a timeout.
    Plain,
    /// Load-aware choice of replicas, ranks with floors, hedges within a budget, admission control.
    #[default]
    Full,
}
