//! The protocol of the backend servers: HTTP/1.1 with JSON bodies.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /search` | [`SearchRequest`] | 200 [`SearchReply`], or 503 [`RefusedReply`] |
//! | `POST /run` | [`RunRequest`] | 200 [`RunReply`], or 503 [`RefusedReply`] |
//! | `POST /cancel` | [`CancelRequest`] | 200, best effort |
//! | `GET /status` | none | 200 [`StatusReply`] |
//!
//! A [`RefusedReply`] guarantees that the request did not run. With any other status than these, or if
//! the connection breaks after the first byte was sent, the outcome is unknown.
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
    /// The maximum number of hits for each shard.
    pub limit: u16,
    /// The urgency.
    pub rank: rank::Rank,
    /// How long the answer is useful, counted from the receipt of the request.
    pub timeout_ms: u32,
}

/// A matching document and its score.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hit {
    /// The document's id within the service.
    pub document: CompactString,
    /// The relevance score; higher is better.
    pub score: f64,
}

/// The hits of one shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardHits {
    /// The shard.
    pub shard: ids::ShardId,
    /// The best hits, best first.
    pub hits: Vec<Hit>,
}

/// The load of a backend server as measured by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The number of slots in use.
    pub busy_slots: u16,
    /// The number of requests that wait for a slot.
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
    /// Whether the backend server is shutting down.
    pub draining: bool,
}

/// A non-idempotent request. A backend server does not detect duplicates.
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
    /// Whether the backend server is shutting down.
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
    /// The queue is too long.
    Shed,
    /// The backend server is shutting down.
    Draining,
    /// The backend server is starting and not ready yet.
    Starting,
    /// The snapshot is not held, or not any more.
    SnapshotGone,
    /// A shard asked for is not held at this snapshot.
    ShardNotHeld,
    /// The request waited for a slot until its timeout expired.
    TimedOut,
    /// The request was cancelled before it got a slot.
    Cancelled,
    /// The request is invalid.
    BadRequest,
    /// Too many connections are open.
    ConnectionLimit,
}

/// The answer to a request that did not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedReply {
    /// Why it did not run.
    pub refusal: Refusal,
    /// The load when the answer was made.
    pub load: Load,
}

/// Cancels an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The attempt.
    pub attempt: ids::AttemptId,
}

/// The state of a backend server.
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
    /// Shutting down; new requests are refused.
    Draining,
}

/// The status that a backend server reports. It may be out of date or wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// The backend server.
    pub searcher: ids::SearcherName,
    /// The service it belongs to.
    pub service: ids::ServiceName,
    /// Its state.
    pub state: SearcherState,
    /// The shards that it holds, sorted by snapshot.
    pub holdings: Vec<snapshot::Holding>,
    /// Its load.
    pub load: Load,
}
