//! Where a query's calls go: searchers for shards, and owners for searchers.

use crate::holdings;
use crate::ids;
use crate::peers;
use crate::query;

/// Chooses the nearest searchers, few of them, spread by the query's id.
#[derive(Debug)]
pub struct Nearest {
    /// Who holds what.
    pub replicas: holdings::Replicas,
    /// How far each searcher is, sorted by searcher.
    pub distances: Vec<Far>,
    /// Spreads queries over equal searchers.
    pub query_id: ids::QueryId,
}

/// How far a searcher is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Far {
    /// The searcher.
    pub searcher: ids::SearcherName,
    /// Its distance.
    pub distance: peers::Distance,
}

impl Nearest {
    fn distance(&self, searcher: &ids::SearcherName) -> peers::Distance {
        match self.distances.binary_search_by(|far| far.searcher.cmp(searcher)) {
            Ok(index) => {
                self.distances.get(index).map_or(peers::Distance::OtherRegion, |far| far.distance)
            }
            Err(_) => peers::Distance::OtherRegion,
        }
    }

    fn nearest(
        &self,
        searchers: &[ids::SearcherName],
        avoid: &[ids::SearcherName],
    ) -> Option<ids::SearcherName> {
        let seed = self.query_id.to_string();
        let mut best: Option<(peers::Distance, u64, &ids::SearcherName)> = None;
        for searcher in searchers {
            if avoid.contains(searcher) {
                continue;
            }
            let weight = peers::rendezvous_weight(searcher.as_str(), &seed);
            let rated = (self.distance(searcher), weight, searcher);
            if best.as_ref().is_none_or(|best| rated < *best) {
                best = Some(rated);
            }
        }
        best.map(|(_, _, searcher)| searcher.clone())
    }
}

impl query::Choose for Nearest {
    fn choose(
        &mut self,
        shards: &[(ids::ShardId, &[ids::SearcherName])],
    ) -> Vec<(ids::SearcherName, Vec<ids::ShardId>)> {
        let mut chosen: Vec<(ids::SearcherName, Vec<ids::ShardId>)> = Vec::new();
        for (shard, avoid) in shards {
            let Some(searchers) = self.replicas.shards.get(shard.0 as usize) else {
                continue;
            };
            let again = chosen
                .iter_mut()
                .find(|(searcher, _)| searchers.contains(searcher) && !avoid.contains(searcher));
            if let Some((_, shards)) = again {
                shards.push(*shard);
                continue;
            }
            let Some(searcher) = self.nearest(searchers, avoid) else {
                continue;
            };
            chosen.push((searcher, vec![*shard]));
        }
        chosen
    }
}
