//! The contract with a backend server: HTTP/1.1 with JSON bodies.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /search` | [`SearchRequest`] | 200 [`SearchReply`], or 503 [`RefusedReply`] |
//! | `POST /run` | [`RunRequest`] | 200 [`RunReply`], or 503 [`RefusedReply`] |
//! | `POST /cancel` | [`CancelRequest`] | 200, nothing promised |
//! | `GET /status` | none | 200 [`StatusReply`] |
//!
//! A [`RefusedReply`] is the backend server's word that the request did not run. Any other status,
//! and any broken connection after the first byte was sent, leaves the outcome unknown.
//! Requests carry the W3C `traceparent` header.

use crate::ids;
use crate::rank;
use crate::snapshot;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A search on some shards of one backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SearchRequest {
    /// Identifies the attempt; the reply repeats it.
    pub attempt: ids::AttemptId,
    /// The service searched.
    pub service: ids::ServiceName,
    /// The snapshot to search; a backend server that does not hold it refuses.
    pub snapshot: snapshot::Snapshot,
    /// The shards to search, sorted.
    pub shards: Vec<ids::ShardId>,
    /// The query's text.
    pub query: CompactString,
    /// How many hits to return for each shard.
    pub limit: u16,
    /// The urgency.
    pub rank: rank::Rank,
    /// How long the answer is of use, counted from the receipt of the request.
    pub timeout_ms: u32,
}

/// A document found, with its score.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hit {
    /// The document's id within the service.
    pub document: CompactString,
    /// The score; higher is better.
    pub score: f64,
}

/// What one shard answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardHits {
    /// The shard.
    pub shard: ids::ShardId,
    /// The best hits, best first.
    pub hits: Vec<Hit>,
}

/// The load of a backend server as it sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Slots in use.
    pub busy_slots: u16,
    /// Requests queued for a slot.
    pub queued: u16,
}

/// The answer to a search.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SearchReply {
    /// The attempt answered.
    pub attempt: ids::AttemptId,
    /// The snapshot that was searched.
    pub snapshot: snapshot::Snapshot,
    /// One entry for each shard that was searched.
    pub shards: Vec<ShardHits>,
    /// The load when the answer was made.
    pub load: Load,
    /// Whether the backend server is leaving.
    pub draining: bool,
}

/// A non-idempotent request. A backend server does not recognize repeats.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRequest {
    /// Identifies the attempt; the reply repeats it.
    pub attempt: ids::AttemptId,
    /// The service.
    pub service: ids::ServiceName,
    /// The operation, such as `claim`.
    pub operation: ids::OperationName,
    /// What the operation is applied to, such as a packet's id.
    pub subject: CompactString,
    /// The urgency.
    pub rank: rank::Rank,
    /// How long the backend server may wait for a slot before it must refuse.
    pub timeout_ms: u32,
}

/// The answer to a non-idempotent request that ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunReply {
    /// The attempt answered.
    pub attempt: ids::AttemptId,
    /// The result, as text for the caller.
    pub result: CompactString,
    /// The load when the answer was made.
    pub load: Load,
    /// Whether the backend server is leaving.
    pub draining: bool,
}

/// Why a backend server did not run a request.
#[derive(
    Clone,
    Copy,
    Debug,
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
pub enum Refusal {
    /// Too much is queued.
    Shed,
    /// The backend server is leaving.
    Draining,
    /// The backend server is starting and not ready.
    Starting,
    /// The snapshot is not held, or not any more.
    SnapshotGone,
    /// A shard asked for is not held at this snapshot.
    ShardNotHeld,
    /// The request waited for a slot until its time was over.
    TimedOut,
    /// The request was cancelled before it got a slot.
    Cancelled,
    /// The request is not understood.
    BadRequest,
    /// Too many connections are open.
    ConnectionLimit,
}

/// The answer to a request that did not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedReply {
    /// Why.
    pub refusal: Refusal,
    /// The load when the answer was made.
    pub load: Load,
}

/// Gives up an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The attempt.
    pub attempt: ids::AttemptId,
}

/// Where a backend server is in its life.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum SearcherState {
    /// Loading; requests are refused.
    Starting,
    /// Serving.
    Ready,
    /// Leaving; new requests are refused.
    Draining,
}

/// What a backend server says of itself. It may lag behind the truth or mislead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// The backend server.
    pub searcher: ids::SearcherName,
    /// The service it belongs to.
    pub service: ids::ServiceName,
    /// Where it is in its life.
    pub state: SearcherState,
    /// What it holds, sorted by snapshot.
    pub holdings: Vec<snapshot::Holding>,
    /// Its load.
    pub load: Load,
}
