//! What a backend server is, and the faults that it can be given.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::net;
use tarragondoor::ids;
use tarragondoor::snapshot;

/// What a backend server is.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub searcher: ids::SearcherName,
    /// The service it belongs to.
    pub service: ids::ServiceName,
    /// Where it listens; port 0 takes any free port.
    pub listen: net::SocketAddr,
    /// How many requests it works on at a time.
    pub slots: u16,
    /// How many requests wait for a slot before it sheds.
    pub queue: u16,
    /// How many connections it accepts.
    pub connections: u16,
    /// How long a new connection takes before it works.
    pub open_ms: u32,
    /// The mean time that a request occupies a slot.
    pub mean_us: u32,
    /// What it holds.
    pub holdings: Vec<snapshot::Holding>,
    /// The seed of the service times.
    pub seed: u64,
}

/// The faults in force: the body of `POST /standin/faults`. What is left out is off.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Service times are multiplied by this; 0 and 1 leave them as they are.
    pub straggle_factor: u32,
    /// Calls are accepted and not answered until the freeze ends.
    pub freeze: bool,
    /// New requests are refused as shed.
    pub shed_all: bool,
    /// New requests are refused, and those under way are finished.
    pub draining: bool,
    /// New requests are refused as too early for this long, from the moment of switching.
    pub starting_ms: u64,
    /// How long a change takes to show in the status.
    pub status_lag_ms: u64,
    /// The status claims to be ready, whatever is true.
    pub claim_ready: bool,
    /// The status claims to have no load, whatever is true.
    pub claim_idle: bool,
    /// The status claims these holdings instead of the true ones.
    pub claim_holdings: Option<Vec<snapshot::Holding>>,
    /// A search for shards that are not held is answered for those that are, not refused.
    pub answer_partially: bool,
    /// How many of the next requests run and lose their reply: the connection is closed.
    pub drop_replies: u32,
    /// How many of the next replies carry the id of another attempt.
    pub wrong_attempts: u32,
    /// How long replies are held back after the slot is free again.
    pub delay_reply_ms: u64,
    /// Extra latency of each way, for a failure domain that is far off.
    pub one_way_delay_ms: u64,
}

/// One execution of a non-idempotent request. It is recorded when the request gets its slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The operation.
    pub operation: ids::OperationName,
    /// What it was applied to.
    pub subject: CompactString,
    /// The attempt that asked for it.
    pub attempt: ids::AttemptId,
}

/// What a backend server counted since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Searches that got a slot.
    pub searches_run: u64,
    /// Shards in those searches.
    pub shards_searched: u64,
    /// Non-idempotent requests that got a slot.
    pub executions: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Calls of the status.
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

/// Stops listening and closes all connections: the body of `POST /standin/kill`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Kill {
    /// After how long it listens again at the same address, with all faults off; never if absent.
    pub revive_ms: Option<u64>,
    /// How long its cold start takes then.
    pub starting_ms: u64,
}
