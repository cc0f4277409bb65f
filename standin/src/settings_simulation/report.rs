//! The faults of a simulation, and the answers and traffic that it records.

use tarragondoor::operator_api;
use tarragondoor::plan;
use tarragondoor::settings_distribution::api;

/// The faults to inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Calls to the platform fail without effect.
    pub platform_down: bool,
    /// Calls to the platform take effect, but their answers are lost.
    pub replies_lost: bool,
    /// The extra latency of each call to the platform.
    pub platform_slow_ms: u64,
    /// The region that is partitioned from all others.
    pub partitioned_region: Option<usize>,
    /// The two instances that can't reach each other, the lower index first.
    pub partitioned_pair: Option<(usize, usize)>,
    /// The percentage of datagrams that are lost, from 0 to 100.
    pub loss_percent: u8,
}

/// An answer to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorAnswer {
    /// The answer to a declaration.
    Declared(Result<operator_api::Plan, api::DeclareError>),
    /// The answer to a confirmation.
    Confirmed(plan::PlanId, operator_api::ConfirmReply),
}

/// Counters of the traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams sent, including those lost.
    pub datagrams: u64,
    /// Their bytes.
    pub datagram_bytes: u64,
    /// Documents requested over links.
    pub fetches: u64,
    /// The bytes of the answers to these requests.
    pub fetch_bytes: u64,
    /// Calls to the platform.
    pub platform_calls: u64,
}
