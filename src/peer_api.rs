//! The contract between instances over their links: frames of `postcard`.
//!
//! An instance dials every other instance. Over the link that it dialled it sends searches and
//! requests and gets their outcomes and the peer's reports.

use crate::admit;
use crate::caller_api;
use crate::ids;
use crate::rank;
use crate::searcher_api;
use crate::snapshot;
use crate::spread::api;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The first frame of either side of a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender.
    pub instance: ids::InstanceName,
    /// The sender's boot.
    pub boot: ids::BootId,
    /// Drawn at random for this link.
    pub nonce: [u8; 16],
}

/// The calls of one query that one owner is asked to make.
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
    /// How many hits are wanted.
    pub limit: u16,
    /// The urgency.
    pub rank: rank::Rank,
    /// How much of the caller's time is left.
    pub timeout_ms: u32,
    /// How many offered queries this one stands for: 1 / (fraction admitted by the entry).
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

/// Why an owner did not get an answer from a searcher.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// The searcher refused; it did not run.
    Refused(searcher_api::Refusal),
    /// The answering instance does not own the searcher; nothing was sent.
    NotOwner,
    /// The searcher's slots are taken by work that goes first; nothing was sent.
    Overloaded,
    /// The time was over before a slot was free; nothing was sent.
    DeadlinePast,
    /// The searcher could not be connected to; nothing was sent.
    NotSent,
    /// The call was cancelled before it was sent.
    Cancelled,
    /// The request was sent; no usable answer came.
    Lost,
}

impl Failure {
    /// Whether it is certain that the searcher did not run the request.
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

/// What came of a [`ShardCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ShardOutcome {
    /// The searcher answered.
    Answered {
        /// The snapshot that it searched.
        snapshot: snapshot::Snapshot,
        /// What each shard answered.
        shards: Vec<searcher_api::ShardHits>,
    },
    /// It did not.
    Failed(Failure),
}

/// An owner's word on its searcher, on every outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OwnerLoad {
    /// The share of each rank's queries to admit.
    pub fractions: admit::Fractions,
    /// Slots that may be used.
    pub slots: u16,
    /// Calls at the searcher.
    pub in_flight: u16,
    /// Calls that wait for a slot.
    pub queued: u16,
    /// The mean time that the searcher takes for a call.
    pub service_time_us: u32,
}

/// The outcome of one attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardReply {
    /// The attempt.
    pub attempt: ids::AttemptId,
    /// The searcher.
    pub searcher: ids::SearcherName,
    /// What came of it.
    pub outcome: ShardOutcome,
    /// The searcher's load, if the owner tells.
    pub load: Option<OwnerLoad>,
}

/// A non-idempotent request, from its home to the owner of the chosen searcher.
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
    /// How much of the caller's time is left.
    pub timeout_ms: u32,
    /// When the request is of no use any more, in milliseconds since the Unix epoch: a frozen owner
    /// that wakes later must not send it.
    pub expires_unix_ms: u64,
}

/// What came of an [`OwnerRun`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// It ran, with this result.
    Ran(CompactString),
    /// It has failed; [`Failure::did_not_run`] tells whether it may have run.
    Failed(Failure),
}

/// Where a searcher is in its life, as its owner sees it.
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
    /// Leaving; gets no new work.
    Draining,
    /// Gives no answer.
    Unreachable,
}

/// An owner's observation of a searcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearcherReport {
    /// The searcher.
    pub searcher: ids::SearcherName,
    /// Its service.
    pub service: ids::ServiceName,
    /// Grows with each observation, also from one owner to the next; the greatest wins.
    pub observation: u64,
    /// Where it is in its life.
    pub health: Health,
    /// What it says to hold, sorted by snapshot.
    pub holdings: Vec<snapshot::Holding>,
}

/// A request that one instance answers whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Have a searcher run a non-idempotent request.
    OwnerRun(OwnerRun),
    /// Run, or report on, a non-idempotent request whose home the receiver is.
    HomeRun {
        /// The W3C `traceparent` of the request's span.
        traceparent: CompactString,
        /// The caller's request.
        call: caller_api::RunCall,
    },
    /// Give a settings document.
    Fetch(api::FetchCall),
    /// Give the platform's list as last read.
    List,
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Request::OwnerRun`].
    OwnerRun(RunOutcome),
    /// To [`Request::HomeRun`].
    HomeRun(Result<caller_api::RunAnswer, caller_api::ErrorReply>),
    /// To [`Request::Fetch`].
    Fetch(api::FetchReply),
    /// To [`Request::List`]: the list in JSON, as the platform gives it; empty if it was never read.
    List(String),
}

/// What goes over a link after the [`Hello`]s.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Says that the sender is there.
    Heartbeat,
    /// Calls to make.
    Search(Search),
    /// The outcome of one of them.
    Shard(ShardReply),
    /// Calls to give up.
    Cancel(Vec<ids::AttemptId>),
    /// Observations of searchers that the sender owns.
    Reports(Vec<SearcherReport>),
    /// Asks something.
    Request {
        /// Chosen by the sender.
        id: u64,
        /// What.
        request: Request,
    },
    /// Answers it.
    Reply {
        /// The request's id.
        id: u64,
        /// The answer.
        reply: Reply,
    },
}
