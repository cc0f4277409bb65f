//! The configuration of a backend server, its injected faults and its counters.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::net;
use tarragondoor::ids;
use tarragondoor::snapshot;

/// The configuration of a backend server.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub searcher: ids::SearcherName,
    /// The service it belongs to.
    pub service: ids::ServiceName,
    /// The address to listen on; port 0 takes any free port.
    pub listen: net::SocketAddr,
    /// How many requests it processes at a time.
    pub slots: u16,
    /// How many requests may wait for a slot; further ones are shed.
    pub queue: u16,
    /// The maximum number of open connections.
    pub connections: u16,
    /// How long a new connection takes until its requests are processed.
    pub open_ms: u32,
    /// The mean time that a request occupies a slot.
    pub mean_us: u32,
    /// The shards that it holds at first, by snapshot.
    pub holdings: Vec<snapshot::Holding>,
    /// The seed of the random service times.
    pub seed: u64,
}

/// The faults to inject: the body of `POST /standin/faults`. Absent fields switch their faults off.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The factor by which service times are multiplied; 0 and 1 leave them unchanged.
    pub straggle_factor: u32,
    /// Calls are accepted but not answered until this is switched off.
    pub freeze: bool,
    /// New requests are refused as shed.
    pub shed_all: bool,
    /// New requests are refused as draining; those in progress are finished.
    pub draining: bool,
    /// How long new requests are refused as starting, from the moment the faults are set.
    pub starting_ms: u64,
    /// How long a change takes to appear in the status.
    pub status_lag_ms: u64,
    /// The status reports the state as ready, regardless of the actual state.
    pub claim_ready: bool,
    /// The status reports no load, regardless of the actual load.
    pub claim_idle: bool,
    /// The holdings that the status reports instead of the actual ones.
    pub claim_holdings: Option<Vec<snapshot::Holding>>,
    /// A search for some shards that are not held is answered for the others instead of refused.
    pub answer_partially: bool,
    /// How many of the next requests run but get no reply: their connections are closed.
    pub drop_replies: u32,
    /// How many of the next replies carry the id of another attempt.
    pub wrong_attempts: u32,
    /// How long replies are delayed after their slots have been freed.
    pub delay_reply_ms: u64,
    /// Extra latency in each direction, as of a remote failure domain.
    pub one_way_delay_ms: u64,
}

/// One execution of a non-idempotent request, recorded when the request gets its slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The operation.
    pub operation: ids::OperationName,
    /// The subject that the operation was applied to.
    pub subject: CompactString,
    /// The attempt that requested it.
    pub attempt: ids::AttemptId,
}

/// The counters of a backend server since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Searches that were given a slot.
    pub searches_run: u64,
    /// Shards in those searches.
    pub shards_searched: u64,
    /// Non-idempotent requests that were given a slot.
    pub executions: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Status calls.
    pub statuses: u64,
    /// Calls to cancel an attempt.
    pub cancels: u64,
    /// The most slots in use at a time.
    pub busy_peak: u16,
    /// Connections opened.
    pub connections_opened: u64,
    /// The most connections open at a time.
    pub connections_peak: u64,
    /// Connections above the limit.
    pub connections_excess: u64,
}

/// Stops listening, closes all connections and aborts all requests in progress: the body of
/// `POST /standin/kill`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Kill {
    /// After how long it listens again on the same address, with all other faults off; `None` for
    /// never.
    pub revive_ms: Option<u64>,
    /// How long new requests are then refused as starting.
    pub starting_ms: u64,
}
