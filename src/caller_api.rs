//! The API for callers: HTTP/1.1 with JSON bodies.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `GET /v1/addresses?region=R&failure_domain=D` | none | 200 [`AddressesReply`] |
//! | `POST /v1/search` | [`SearchCall`] | 200 [`SearchAnswer`], or an [`ErrorReply`] |
//! | `POST /v1/run` | [`RunCall`] | 200 [`RunAnswer`], or an [`ErrorReply`] |
//!
//! An [`ErrorReply`] means that nothing was run for this call. It does not tell whether an earlier call
//! with the same key was run: only a [`RunAnswer`] does.
//!
//! Requests may carry the W3C `traceparent` header.

use crate::ids;
use crate::rank;
use crate::searcher_api;
use crate::snapshot;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::net;

/// The maximum size of a request body, in bytes.
pub const BODY_MAX_BYTES: usize = 64 * 1024;

/// One instance that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// The instance.
    pub instance: ids::InstanceName,
    /// Its address for callers.
    pub address: net::SocketAddr,
    /// Its region.
    pub region: ids::RegionName,
    /// Its failure domain.
    pub failure_domain: ids::DomainName,
    /// Its boot, which is part of idempotency keys.
    pub boot: ids::BootId,
}

/// The addresses to use, in the order of preference.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressesReply {
    /// How long the reply may be cached.
    pub ttl_ms: u32,
    /// The time of the reply, in seconds since the Unix epoch. The nonces of idempotency keys start
    /// with it.
    pub issued_s: u64,
    /// The addresses, the nearest failure domain first.
    pub addresses: Vec<Address>,
}

/// A search.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SearchCall {
    /// The service to search.
    pub service: ids::ServiceName,
    /// The query's text.
    pub query: CompactString,
    /// The maximum number of hits.
    pub limit: u16,
    /// The urgency.
    pub rank: rank::Rank,
    /// How long the caller can use the answer, counted from the receipt of the request.
    pub deadline_ms: u32,
}

/// How much of the snapshot an answer covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Shards that answered.
    pub shards_answered: u32,
    /// Shards of the snapshot.
    pub shards_total: u32,
    /// Shards that did not answer, sorted.
    pub missing: Vec<ids::ShardId>,
}

/// The shard calls and restarts that an answer took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effort {
    /// The minimum number of shard calls for the query.
    pub calls_needed: u32,
    /// Shard calls that were sent.
    pub calls_sent: u32,
    /// Of these, hedges.
    pub hedges: u32,
    /// Of these, retries.
    pub retries: u32,
    /// How often the query was restarted on another snapshot.
    pub restarts: u32,
}

/// The answer to a search.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SearchAnswer {
    /// The query's id, as in logs and traces.
    pub query_id: ids::QueryId,
    /// The snapshot that all hits are from.
    pub snapshot: snapshot::Snapshot,
    /// How much of the snapshot the answer covers.
    pub coverage: Coverage,
    /// The best hits over all shards, best first; ties are ordered by document.
    pub hits: Vec<searcher_api::Hit>,
    /// The shard calls and restarts that the answer took.
    pub effort: Effort,
}

/// A non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunCall {
    /// The idempotency key: `<instance>:<boot>:<nonce>`, with an instance and its boot from an
    /// address reply, and as the nonce the reply's `issued_s`, a `-` and characters chosen by the
    /// caller (16 to 64 characters of `A-Z a-z 0-9 - _` in all). A retry repeats the key, at any
    /// instance, for at most ten minutes after the first call.
    pub key: CompactString,
    /// The service.
    pub service: ids::ServiceName,
    /// The operation.
    pub operation: ids::OperationName,
    /// What the operation is applied to.
    pub subject: CompactString,
    /// The urgency.
    pub rank: rank::Rank,
    /// How long the caller waits.
    pub deadline_ms: u32,
}

/// Whether a non-idempotent request ran.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// It ran exactly once.
    Ran,
    /// It did not run and, under this key, never will.
    NotRun,
    /// It may have run, at most once. Retry with the same key.
    Unknown,
}

/// The answer to a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunAnswer {
    /// The key.
    pub key: CompactString,
    /// Whether it ran.
    pub outcome: Outcome,
    /// The result; `None` unless it ran.
    pub result: Option<CompactString>,
    /// Why it did not run or is not known to have run; `None` if it ran.
    pub cause: Option<ErrorCode>,
}

/// Why a request was not served. Nothing was run for it, unless this is the cause of a [`RunAnswer`] with
/// [`Outcome::Unknown`].
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ErrorCode {
    /// The request is malformed.
    BadRequest,
    /// The body is larger than [`BODY_MAX_BYTES`].
    TooLarge,
    /// The service is not in the settings in force.
    UnknownService,
    /// The operation is not declared for the service.
    UnknownOperation,
    /// The idempotency key is malformed, too old, issued too far in the future, or belongs to another
    /// request.
    BadKey,
    /// The deadline is past, or can't be met.
    DeadlinePast,
    /// The rank's share of the capacity is used up; more urgent requests go first.
    Overloaded,
    /// No snapshot of the service is complete.
    NoSnapshot,
    /// No searcher that could serve the request is reachable.
    NoSearcher,
    /// The home instance of the idempotency key is gone, was restarted or can't be reached.
    HomeUnreachable,
    /// The instance is starting, or its settings may be out of date; use another address.
    NotReady,
    /// The instance is stopping; use another address.
    Stopping,
    /// The platform does not answer; nothing has changed.
    PlatformUnreachable,
    /// The operators' token is missing or wrong.
    Unauthorized,
    /// An internal error; the logs have details.
    Internal,
}

impl ErrorCode {
    /// The HTTP status that goes with the error.
    pub fn http_status(self) -> u16 {
        match self {
            ErrorCode::BadRequest | ErrorCode::BadKey => 400,
            ErrorCode::Unauthorized => 401,
            ErrorCode::UnknownService | ErrorCode::UnknownOperation => 404,
            ErrorCode::TooLarge => 413,
            ErrorCode::Overloaded => 429,
            ErrorCode::Internal => 500,
            ErrorCode::NoSnapshot
            | ErrorCode::NoSearcher
            | ErrorCode::HomeUnreachable
            | ErrorCode::NotReady
            | ErrorCode::PlatformUnreachable
            | ErrorCode::Stopping => 503,
            ErrorCode::DeadlinePast => 504,
        }
    }
}

/// The answer to a request that was not served. Nothing was run for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// The reason.
    pub code: ErrorCode,
    /// The reason as text for people.
    pub message: CompactString,
}
