//! The reports on searchers, and the selection of the snapshot that queries use.

use crate::ids;
use crate::peer_api;
use crate::snapshot;

/// The newest report on each searcher, sorted by searcher.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Holdings {
    reports: Vec<peer_api::SearcherReport>,
}

/// The searchers that hold one snapshot of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replicas {
    /// The snapshot.
    pub snapshot: snapshot::Snapshot,
    /// The searchers that hold each shard, sorted; the index is the shard number, counted from 0.
    pub shards: Vec<Vec<ids::SearcherName>>,
}

impl Holdings {
    /// Stores a report if it is newer than the known one on the same searcher. Returns whether it
    /// was stored.
    pub fn merge(&mut self, report: peer_api::SearcherReport) -> bool {
        match self.position(&report.searcher) {
            Err(index) => {
                self.reports.insert(index, report);
                true
            }
            Ok(index) => match self.reports.get_mut(index) {
                Some(current) if current.observation < report.observation => {
                    *current = report;
                    true
                }
                _ => false,
            },
        }
    }

    /// The newest report on `searcher`; `None` if there is none.
    pub fn find(&self, searcher: &ids::SearcherName) -> Option<&peer_api::SearcherReport> {
        let index = self.position(searcher).ok()?;
        self.reports.get(index)
    }

    /// All reports, sorted by searcher.
    pub fn all(&self) -> &[peer_api::SearcherReport] {
        &self.reports
    }

    /// Removes the reports for which `keep` returns false.
    pub fn retain(&mut self, keep: impl FnMut(&peer_api::SearcherReport) -> bool) {
        self.reports.retain(keep);
    }

    /// The newest snapshot of `service`, newer than `after` if given, whose shards are all held by
    /// ready searchers; `None` if there is none.
    pub fn newest_complete(
        &self,
        service: &ids::ServiceName,
        after: Option<snapshot::Snapshot>,
    ) -> Option<Replicas> {
        let mut candidates: Vec<(snapshot::Snapshot, u32)> = Vec::new();
        for (_, holding) in self.ready_holdings(service) {
            if after.is_some_and(|after| holding.snapshot <= after) {
                continue;
            }
            candidates.push((holding.snapshot, holding.shard_count));
        }
        candidates.sort_unstable();
        candidates.dedup();
        for (snapshot, shard_count) in candidates.into_iter().rev() {
            let replicas = self.replicas(service, snapshot, shard_count);
            if replicas.shards.iter().all(|searchers| !searchers.is_empty()) {
                return Some(replicas);
            }
        }
        None
    }

    fn replicas(
        &self,
        service: &ids::ServiceName,
        snapshot: snapshot::Snapshot,
        shard_count: u32,
    ) -> Replicas {
        let mut shards = vec![Vec::new(); shard_count as usize];
        for (searcher, holding) in self.ready_holdings(service) {
            if holding.snapshot != snapshot || holding.shard_count != shard_count {
                continue;
            }
            for shard in &holding.shards {
                let Some(searchers) = shards.get_mut(shard.0 as usize) else {
                    continue;
                };
                searchers.push(searcher.clone());
            }
        }
        Replicas { snapshot, shards }
    }

    fn ready_holdings(
        &self,
        service: &ids::ServiceName,
    ) -> impl Iterator<Item = (&ids::SearcherName, &snapshot::Holding)> {
        self.reports
            .iter()
            .filter(move |report| {
                report.service == *service && report.health == peer_api::Health::Ready
            })
            .flat_map(|report| report.holdings.iter().map(|holding| (&report.searcher, holding)))
    }

    fn position(&self, searcher: &ids::SearcherName) -> Result<usize, usize> {
        self.reports.binary_search_by(|report| report.searcher.cmp(searcher))
    }
}
