//! The protocol between instances over their links: frames encoded with `postcard`.
//!
//! Each instance dials every other instance. Over the link that it has dialled it sends searches and
//! requests, and receives their outcomes and the reports of the peer.

use crate::admit;
use crate::caller_api;
use crate::ids;
use crate::rank;
use crate::searcher_api;
use crate::settings_distribution::api;
use crate::snapshot;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The first frame that each side of a link sends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender.
    pub instance: ids::InstanceName,
    /// The sender's boot.
    pub boot: ids::BootId,
    /// A random number for this link.
    pub nonce: [u8; 16],
}

/// The calls of one query that its entry asks one owner to make.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Search {
    /// The query.
    pub query_id: ids::QueryId,
    /// The W3C `traceparent` of the query's span.
    pub traceparent: CompactString,
    /// The service.
    pub service: ids::ServiceName,
    /// The query's snapshot.
    pub snapshot: snapshot::Snapshot,
    /// The query's text.
    pub query: CompactString,
    /// The maximum number of hits.
    pub limit: u16,
    /// The urgency.
    pub rank: rank::Rank,
    /// The time until the deadline of the caller.
    pub timeout_ms: u32,
    /// How many offered queries this one represents: 1 / (fraction admitted by the entry).
    pub weight: f32,
    /// The calls.
    pub calls: Vec<ShardCall>,
}

/// One call to one searcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardCall {
    /// Identifies the attempt.
    pub attempt: ids::AttemptId,
    /// The searcher.
    pub searcher: ids::SearcherName,
    /// The shards to search, sorted.
    pub shards: Vec<ids::ShardId>,
}

/// Why a call to a searcher through its owner failed.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// The searcher refused the request and did not run it.
    Refused(searcher_api::Refusal),
    /// The searcher has no known owner, or the answering instance does not own it; nothing was sent.
    NotOwner,
    /// The rank's queue at the owner is full, or the call is not expected to be answered by its
    /// deadline; nothing was sent.
    Overloaded,
    /// The deadline passed before the request could be sent; nothing was sent.
    DeadlinePast,
    /// Nothing was sent, for instance because there was no link to the owner or no connection to the
    /// searcher.
    NotSent,
    /// The call was cancelled; a non-idempotent request only before it was sent.
    Cancelled,
    /// The request may have been sent; no usable answer was received.
    Lost,
}

impl Failure {
    /// Whether it is certain that the searcher did not run a non-idempotent request. A cancelled search
    /// may have run.
    pub fn did_not_run(self) -> bool {
        match self {
            Failure::Refused(_)
            | Failure::NotOwner
            | Failure::Overloaded
            | Failure::DeadlinePast
            | Failure::NotSent
            | Failure::Cancelled => true,
            Failure::Lost => false,
        }
    }
}

/// The outcome of a [`ShardCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ShardOutcome {
    /// The searcher answered.
    Answered {
        /// The snapshot that it searched.
        snapshot: snapshot::Snapshot,
        /// What each shard answered.
        shards: Vec<searcher_api::ShardHits>,
    },
    /// The call failed.
    Failed(Failure),
}

/// The load of a searcher as measured by its owner, sent with every outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OwnerLoad {
    /// The share of each rank's queries to admit.
    pub fractions: admit::Fractions,
    /// The number of usable slots.
    pub slots: u16,
    /// The number of calls in progress at the searcher.
    pub in_flight: u16,
    /// The number of calls that wait for a slot.
    pub queued: u16,
    /// The mean service time of a call of the standard rank.
    pub service_time_us: u32,
}

/// The outcome of one attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardReply {
    /// The attempt.
    pub attempt: ids::AttemptId,
    /// The searcher.
    pub searcher: ids::SearcherName,
    /// The outcome.
    pub outcome: ShardOutcome,
    /// The load of the searcher; `None` if the outcome was not reported by the searcher's owner.
    pub load: Option<OwnerLoad>,
}

/// A non-idempotent request that its home sends to the owner of the chosen searcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRun {
    /// Identifies the attempt.
    pub attempt: ids::AttemptId,
    /// The searcher.
    pub searcher: ids::SearcherName,
    /// The W3C `traceparent` of the request's span.
    pub traceparent: CompactString,
    /// The service.
    pub service: ids::ServiceName,
    /// The operation.
    pub operation: ids::OperationName,
    /// What it is applied to.
    pub subject: CompactString,
    /// The urgency.
    pub rank: rank::Rank,
    /// The time until the deadline of the caller.
    pub timeout_ms: u32,
    /// When the request must no longer be sent, in milliseconds since the Unix epoch. Stops an owner
    /// whose process was paused from sending it late.
    pub expires_unix_ms: u64,
}

/// The outcome of an [`OwnerRun`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// It ran, with this result.
    Ran(CompactString),
    /// The attempt failed; [`Failure::did_not_run`] tells whether it may have run.
    Failed(Failure),
}

/// The state of a searcher as seen by its owner.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Health {
    /// Not ready yet.
    Starting,
    /// Serving.
    Ready,
    /// Shutting down; gets no new work.
    Draining,
    /// Does not respond.
    Unreachable,
}

/// The state of a searcher as observed by its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearcherReport {
    /// The searcher.
    pub searcher: ids::SearcherName,
    /// Its service.
    pub service: ids::ServiceName,
    /// Increases with each observation, also across a change of the owner; the highest wins.
    pub observation: u64,
    /// Its state.
    pub health: Health,
    /// The holdings that it reports, sorted by snapshot.
    pub holdings: Vec<snapshot::Holding>,
}

/// A request that is answered with one [`Reply`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Has a searcher of the receiver run a non-idempotent request.
    OwnerRun(OwnerRun),
    /// Runs a non-idempotent request whose home is the receiver, or returns its known outcome.
    HomeRun {
        /// The W3C `traceparent` of the request's span.
        traceparent: CompactString,
        /// The caller's request.
        call: caller_api::RunCall,
    },
    /// Fetches a settings document.
    Fetch(api::FetchCall),
    /// Fetches the platform's list as last read by the receiver.
    List,
}

/// The reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Request::OwnerRun`].
    OwnerRun(RunOutcome),
    /// To [`Request::HomeRun`].
    HomeRun(Result<caller_api::RunAnswer, caller_api::ErrorReply>),
    /// To [`Request::Fetch`].
    Fetch(api::FetchReply),
    /// To [`Request::List`]: the list as JSON in the platform's format; empty if it was never read.
    List(String),
}

/// A frame on a link after the [`Hello`]s.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Keeps an idle link alive.
    Heartbeat,
    /// Calls to make.
    Search(Search),
    /// The outcome of one of them.
    Shard(ShardReply),
    /// Calls to cancel.
    Cancel(Vec<ids::AttemptId>),
    /// Observations of searchers that the sender owns.
    Reports(Vec<SearcherReport>),
    /// A request.
    Request {
        /// Chosen by the sender; the reply repeats it.
        id: u64,
        /// The request.
        request: Request,
    },
    /// The reply to a request.
    Reply {
        /// The id of the request.
        id: u64,
        /// The reply.
        reply: Reply,
    },
}
