//! Snapshots of a service's index, and the shards that a searcher holds of them.

use crate::ids;
use serde::{Deserialize, Serialize};
use std::fmt;

/// One consistent view of a service: an index version divided into shards by one shard map.
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

/// The shards of one snapshot that a backend server holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// The total number of shards in the snapshot's shard map.
    pub shard_count: u32,
    /// The shards held, sorted.
    pub shards: Vec<ids::ShardId>,
}
