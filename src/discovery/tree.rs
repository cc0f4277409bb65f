//! How large updates reach the instances of a region: the reader sends them to a few *relays*, and each relay to its
//! part of the other instances.
//!
//! All instances compute the same tree from the members that they know. While their views differ, an instance may get an
//! update twice, or not at all; then it learns from the sources' heartbeats that it is behind, and requests the update.

use crate::discovery::members;
use xxhash_rust::xxh3;

/// The reader sends to this many instances itself; if there are more, it sends to relays.
const DIRECT_MAX: usize = 32;
/// The number of relays is the square root of the number of instances times this, so that the reader and the busiest
/// relay send to about as many.
const RELAYS_FACTOR: f64 = 1.5;

/// The tree of one region.
#[derive(Clone, Debug)]
pub struct Tree<'a> {
    root: &'a members::Member,
    /// All other instances of the region, the relays first.
    others: Vec<&'a members::Member>,
    relay_count: usize,
}

impl<'a> Tree<'a> {
    /// Builds the tree of the region of `root`, its reader. `ranked` holds all members in the order in which they become
    /// readers, so that instances that fail as readers are the last to be relays.
    pub fn new(root: &'a members::Member, ranked: &[&'a members::Member]) -> Self {
        let mut others = Vec::new();
        for member in ranked {
            if member.region == root.region && member.name != root.name {
                others.push(*member);
            }
        }
        let relay_count = match others.len() {
            count if count <= DIRECT_MAX => count,
            count => ((count as f64).sqrt() * RELAYS_FACTOR).ceil() as usize,
        };
        Self { root, others, relay_count }
    }

    /// The instance that sends large updates to `member`; `None` if that is the reader or not in the tree.
    pub fn parent(&self, member: &members::Member) -> Option<&'a members::Member> {
        let index = self.others.iter().position(|other| other.name == member.name)?;
        Some(self.parent_at(index))
    }

    /// The instances that `member` sends large updates to.
    pub fn children(&self, member: &members::Member) -> Vec<&'a members::Member> {
        let mut children = Vec::new();
        for (index, other) in self.others.iter().enumerate() {
            if self.parent_at(index).name == member.name {
                children.push(*other);
            }
        }
        children
    }

    fn parent_at(&self, index: usize) -> &'a members::Member {
        if index < self.relay_count {
            return self.root;
        }
        // Rendezvous hashing: if a relay is lost, only its own children get another parent.
        let seed = name_hash(self.others[index]);
        let relays = self.others[..self.relay_count].iter();
        let weight = |relay: &&&members::Member| {
            xxh3::xxh3_64_with_seed(relay.name.as_str().as_bytes(), seed)
        };
        relays.max_by_key(weight).copied().unwrap_or(self.root)
    }
}

fn name_hash(member: &members::Member) -> u64 {
    xxh3::xxh3_64(member.name.as_str().as_bytes())
}
