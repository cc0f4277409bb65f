//! The inputs and outputs of a backend server's slots.

use crate::ids;
use crate::rank;

/// What is known of a backend server beforehand.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How many calls the backend server works on at a time.
    pub slots: u16,
    /// How many calls of one rank may wait.
    pub queue_max: u16,
    /// The share of the slots' time that each rank gets when it asks for it.
    pub floors_percent: [u8; rank::RANK_COUNT],
    /// The service time assumed before the first one is seen.
    pub service_us: u64,
}

/// A call that wants a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallRequest {
    /// The call; its id is never used twice.
    pub call: ids::AttemptId,
    /// The urgency.
    pub rank: rank::Rank,
    /// When the answer is of no use any more.
    pub deadline_us: u64,
}

/// Why a call was refused. It was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The rank's queue is full.
    QueueFull,
    /// The deadline would pass while the call waits.
    TooLate,
    /// The deadline is past.
    Expired,
}

/// The first answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// Start it now.
    Start,
    /// It waits; a later [`Actions`] starts or refuses it.
    Queued,
    /// It is not run.
    Refused(Cause),
    /// The call is already held; nothing changed.
    Duplicate,
}

/// A call that waited and is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedCall {
    /// The call.
    pub call: ids::AttemptId,
    /// Why.
    pub cause: Cause,
}

/// What to do after an input.
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
    /// The backend server answered, and said that calls wait there: someone else calls it too.
    Contended,
    /// The backend server said that it did not run, for want of room.
    Refused,
    /// The connection broke, or the call was given up.
    Failed,
}

/// What became of a call that was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// It waited, and is not run.
    Dropped,
    /// It is running; its slot stays taken until it finishes.
    Running,
    /// It is not held.
    Unknown,
}
