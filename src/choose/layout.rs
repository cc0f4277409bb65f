//! The assignment of shards to the searchers that hold them, and the calls of a query.

/// The holders of each shard of one snapshot.
#[derive(Clone, Debug)]
pub struct Layout {
    pub(super) holders: Vec<Vec<u16>>,
    /// For each searcher, a bit set of the shards that it holds.
    held: Vec<Vec<u64>>,
}

impl Layout {
    /// Creates a layout from the holders of each shard. `searcher_count` is the number of searchers
    /// of the [`super::Chooser`]; holders with an index at or above it are ignored.
    pub fn new(searcher_count: usize, mut holders: Vec<Vec<u16>>) -> Self {
        let words = holders.len().div_ceil(64);
        let mut held = vec![vec![0_u64; words]; searcher_count];
        for (shard, searchers) in holders.iter_mut().enumerate() {
            searchers.retain(|searcher| usize::from(*searcher) < searcher_count);
            for searcher in searchers {
                held[usize::from(*searcher)][shard / 64] |= 1 << (shard % 64);
            }
        }
        Self { holders, held }
    }

    /// The holders of the call's first shard.
    pub fn holders_of(&self, call: &Call) -> &[u16] {
        match call.shards.first() {
            Some(shard) => &self.holders[*shard as usize],
            None => &[],
        }
    }

    /// The number of shards in the bit set `unassigned` that `searcher` holds.
    pub(super) fn count_unassigned(&self, searcher: u16, unassigned: &[u64]) -> u32 {
        let mut count = 0;
        for (held, unassigned) in self.held[usize::from(searcher)].iter().zip(unassigned) {
            count += (held & unassigned).count_ones();
        }
        count
    }

    /// Removes the shards that `searcher` holds from the bit set `unassigned` and returns them.
    pub(super) fn assign(&self, searcher: u16, unassigned: &mut [u64]) -> Vec<u32> {
        let mut shards = Vec::new();
        for (word, held) in self.held[usize::from(searcher)].iter().enumerate() {
            let mut taken = held & unassigned[word];
            unassigned[word] &= !taken;
            while taken != 0 {
                shards.push(word as u32 * 64 + taken.trailing_zeros());
                taken &= taken - 1;
            }
        }
        shards
    }

    pub(super) fn holds_all(&self, searcher: u16, shards: &[u32]) -> bool {
        let held = &self.held[usize::from(searcher)];
        shards.iter().all(|shard| held[*shard as usize / 64] >> (shard % 64) & 1 == 1)
    }
}

/// A call to one searcher for some of a query's shards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The searcher to call.
    pub searcher: u16,
    /// The shards to ask it for, sorted.
    pub shards: Vec<u32>,
}

/// The calls that a query needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// The calls. Each shard is in at most one of them.
    pub calls: Vec<Call>,
    /// The shards without an available searcher.
    pub missing: Vec<u32>,
}
