//! The inputs and outputs of the ledger.

use crate::caller_api;
use crate::ids;
use crate::key;
use crate::rank;
use compact_str::CompactString;

/// What is known about whether a request ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// It ran, with this result.
    Ran(CompactString),
    /// It did not run and never will.
    NotRun(caller_api::ErrorCode),
    /// It may have run, at most once.
    Unknown(caller_api::ErrorCode),
}

impl RequestStatus {
    /// The answer to the caller with this status.
    pub fn answer(&self, key: &key::Key) -> caller_api::RunAnswer {
        let (outcome, result, cause) = match self {
            RequestStatus::Ran(result) => (caller_api::Outcome::Ran, Some(result.clone()), None),
            RequestStatus::NotRun(cause) => (caller_api::Outcome::NotRun, None, Some(*cause)),
            RequestStatus::Unknown(cause) => (caller_api::Outcome::Unknown, None, Some(*cause)),
        };
        caller_api::RunAnswer { key: CompactString::from(key.to_string()), outcome, result, cause }
    }
}

/// The parts of a non-idempotent request that the ledger needs.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The hash of the service, operation and subject.
    pub body: key::BodyHash,
    /// The urgency.
    pub rank: rank::Rank,
    /// When it must no longer be sent to a backend server, in milliseconds on the ledger's clock.
    pub deadline_ms: u64,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it: call [`Ledger::permit_send`](super::Ledger::permit_send) before each attempt.
    Start,
    /// It is in progress for another call: wait for that outcome.
    Attach,
    /// Answer with this status.
    Answer(RequestStatus),
    /// The key belongs to a request with another body. Nothing was run for this one.
    OtherBody,
    /// The home of the key is another instance: forward the request to it.
    Forward {
        /// The home of the key.
        to: ids::InstanceName,
        /// The boot that the key names; no other boot of the home may answer.
        boot: ids::BootId,
    },
}

/// The number of an attempt within its request, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptNumber(pub(super) u32);

/// Whether an attempt may be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Permit {
    /// It may be sent, once, immediately.
    Send(AttemptNumber),
    /// It must not be sent; this is the status of the request.
    Denied(RequestStatus),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The backend server ran it.
    Ran(CompactString),
    /// It did not run: the backend server refused it, or no byte was sent.
    Refused,
    /// Bytes were sent, and no answer was received.
    Lost,
}

/// What to do after an attempt has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Try another backend server.
    TryAnother,
    /// Answer all waiting calls with this status.
    Settled(RequestStatus),
    /// The attempt is not the current one; nothing has changed.
    Ignored,
}
