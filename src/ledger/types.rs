//! What the ledger is told and what it says.

use crate::caller_api;
use crate::ids;
use crate::key;
use crate::rank;
use compact_str::CompactString;

/// What is known of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// It ran, with this result.
    Ran(CompactString),
    /// It did not run and never will.
    NotRun(caller_api::ErrorCode),
    /// It may have run, once at most.
    Unknown(caller_api::ErrorCode),
}

impl RequestStatus {
    /// The answer that says so.
    pub fn answer(&self, key: &key::Key) -> caller_api::RunAnswer {
        let (outcome, result, cause) = match self {
            RequestStatus::Ran(result) => (caller_api::Outcome::Ran, Some(result.clone()), None),
            RequestStatus::NotRun(cause) => (caller_api::Outcome::NotRun, None, Some(*cause)),
            RequestStatus::Unknown(cause) => (caller_api::Outcome::Unknown, None, Some(*cause)),
        };
        caller_api::RunAnswer { key: CompactString::from(key.to_string()), outcome, result, cause }
    }
}

/// A non-idempotent request, as the ledger sees it.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// What is asked for.
    pub body: key::BodyHash,
    /// The urgency.
    pub rank: rank::Rank,
    /// Until when it may be sent to a backend server, on the ledger's clock.
    pub deadline_ms: u64,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it: ask [`Ledger::permit_send`] before each attempt.
    Start,
    /// It is being run for another call: wait for that outcome.
    Attach,
    /// Answer this.
    Answer(RequestStatus),
    /// The key belongs to a request with another body. Nothing was run for this one.
    OtherBody,
    /// The key's home is another instance: send the request there, to this boot only.
    Forward {
        /// The home.
        to: ids::InstanceName,
        /// The only boot of it that may answer.
        boot: ids::BootId,
    },
}

/// The number of an attempt within its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptNumber(pub(super) u32);

/// Whether an attempt may be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Permit {
    /// Yes, once, at once.
    Send(AttemptNumber),
    /// No.
    Denied(RequestStatus),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The backend server ran it.
    Ran(CompactString),
    /// It did not run: the backend server said so, or no byte left.
    Refused,
    /// Bytes left, and no answer came.
    Lost,
}

/// What follows from an attempt's end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Another backend server may be tried.
    TryAnother,
    /// The answer for all who wait.
    Settled(RequestStatus),
    /// The attempt is not the one that is awaited; nothing changes.
    Ignored,
}
