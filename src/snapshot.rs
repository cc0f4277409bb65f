//! The consistent view that a query is answered from.

use crate::ids;
use serde::{Deserialize, Serialize};
use std::fmt;

/// One consistent view of a service: an index version cut into shards by one shard map.
///
/// Snapshots are ordered by index version, then by shard map version; the greatest is the newest.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Snapshot {
    /// The version of the index.
    pub index_version: ids::IndexVersion,
    /// The version of the shard map.
    pub map_version: ids::MapVersion,
}

impl fmt::Display for Snapshot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.index_version, self.map_version)
    }
}

/// What a backend server holds of one snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// How many shards the snapshot's shard map has in all.
    pub shard_count: u32,
    /// The shards held, sorted.
    pub shards: Vec<ids::ShardId>,
}
