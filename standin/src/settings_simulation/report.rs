//! The faults of a world, and what is told of it.

use tarragondoor::operator_api;
use tarragondoor::plan;
use tarragondoor::settings_distribution::api;

/// The faults that are on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// The platform does not carry out calls.
    pub platform_down: bool,
    /// The platform carries out calls and its answers are lost.
    pub replies_lost: bool,
    /// How much longer the platform takes.
    pub platform_slow_ms: u64,
    /// A region that has no contact with the others.
    pub partitioned_region: Option<usize>,
    /// Two instances that have no contact with each other.
    pub partitioned_pair: Option<(usize, usize)>,
    /// How many datagrams of 100 are lost.
    pub loss_percent: u8,
}

/// What an operator was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorAnswer {
    /// The answer to a declaration.
    Declared(Result<operator_api::Plan, api::DeclareError>),
    /// The answer to a confirmation.
    Confirmed(plan::PlanId, operator_api::ConfirmReply),
}

/// What was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams.
    pub datagrams: u64,
    /// Their bytes.
    pub datagram_bytes: u64,
    /// Documents asked for over links.
    pub fetches: u64,
    /// Bytes of the answers.
    pub fetch_bytes: u64,
    /// Calls to the platform.
    pub platform_calls: u64,
}
