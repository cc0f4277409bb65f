//! The inputs and outputs of a backend server's slots.

use crate::ids;
use crate::rank;

/// The fixed limits of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The number of calls that the backend server executes concurrently.
    pub slots: u16,
    /// The maximum number of waiting calls of one rank.
    pub queue_max: u16,
    /// The share of the slots' time that each rank is guaranteed while it has calls.
    pub floors_percent: [u8; rank::RANK_COUNT],
    /// The service time assumed before the first one is measured.
    pub service_us: u64,
}

/// A call that requests a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallRequest {
    /// The unique id of the call.
    pub call: ids::AttemptId,
    /// The rank of the call.
    pub rank: rank::Rank,
    /// When the answer must have arrived, on the clock of `now_us` in [`super::Slots::offer`].
    pub deadline_us: u64,
}

/// Why a call was refused. It was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The rank's queue is full.
    QueueFull,
    /// The call is not expected to be answered by its deadline.
    TooLate,
    /// The deadline has passed.
    Expired,
}

/// The result of [`super::Slots::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// The owner must start the call now.
    Start,
    /// The call waits; a later [`Actions`] starts or refuses it.
    Queued,
    /// The call is not run.
    Refused(Cause),
    /// A call with this id is already queued or running; nothing changed.
    Duplicate,
}

/// A call that waited and is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedCall {
    /// The id of the call.
    pub call: ids::AttemptId,
    /// Why it is refused.
    pub cause: Cause,
}

/// The calls that the owner must start and refuse.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Actions {
    /// Calls to start now.
    pub start: Vec<ids::AttemptId>,
    /// Calls to refuse now.
    pub refuse: Vec<RefusedCall>,
}

/// How a started call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server answered.
    Answered,
    /// The backend server answered and reported waiting calls, so another instance calls it too.
    Contended,
    /// The backend server shed the call without running it.
    Refused,
    /// The call was lost, abandoned, or refused other than by shedding.
    Failed,
}

/// The result of [`super::Slots::cancel`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// The call waited and was removed.
    Dropped,
    /// The call is running; its slot stays in use until it finishes.
    Running,
    /// No call with this id is queued or running.
    Unknown,
}
