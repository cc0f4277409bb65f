//! The views of the cluster that the data path reads: sorted, immutable, and replaced as a whole.

use crate::ids;
use crate::platform_api;
use std::net;
use std::sync;

/// One instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub instance: ids::InstanceName,
    /// Its current boot.
    pub boot: ids::BootId,
    /// The address for callers.
    pub address: net::SocketAddr,
    /// The address for other instances.
    pub peer_address: net::SocketAddr,
    /// Its region.
    pub region: ids::RegionName,
    /// Its failure domain.
    pub failure_domain: ids::DomainName,
    /// Whether it may own searchers and be listed to callers.
    pub eligible: bool,
}

/// All instances, including this one, that are neither unreachable nor have left, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    peers: Vec<Peer>,
}

impl Peers {
    /// Creates a view of `peers`, which may be in any order.
    pub fn new(mut peers: Vec<Peer>) -> Self {
        peers.sort_by(|left, right| left.instance.cmp(&right.instance));
        Self { peers }
    }

    /// The peers, sorted by name.
    pub fn all(&self) -> &[Peer] {
        &self.peers
    }

    /// The peer with this name; `None` if it is not known, is unreachable or has left.
    pub fn find(&self, instance: &ids::InstanceName) -> Option<&Peer> {
        let index = self.peers.binary_search_by(|peer| peer.instance.cmp(instance)).ok()?;
        self.peers.get(index)
    }

    /// The owner of a searcher at `location`: the eligible instance with the highest rendezvous
    /// weight in the same failure domain, else in the same region, else anywhere. `None` if no
    /// instance is eligible.
    pub fn owner(&self, location: &Location, searcher: &ids::SearcherName) -> Option<&Peer> {
        let mut best: Option<(Distance, u64, &Peer)> = None;
        for peer in &self.peers {
            if !peer.eligible {
                continue;
            }
            let distance = location.distance(&peer.region, &peer.failure_domain);
            let weight = rendezvous_weight(peer.instance.as_str(), searcher.as_str());
            let better = match &best {
                None => true,
                Some((best_distance, best_weight, _)) => {
                    (distance, std::cmp::Reverse(weight))
                        < (*best_distance, std::cmp::Reverse(*best_weight))
                }
            };
            if better {
                best = Some((distance, weight, peer));
            }
        }
        best.map(|(_, _, peer)| peer)
    }
}

/// The owner of each searcher, sorted by searcher. Computed once for each change of the views.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owners {
    owners: Vec<Ownership>,
}

/// A searcher and its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ownership {
    /// The searcher.
    pub searcher: ids::SearcherName,
    /// Its owner.
    pub owner: ids::InstanceName,
}

impl Owners {
    /// Computes the owners from these views.
    pub fn new(peers: &Peers, directory: &Directory) -> Self {
        let mut owners = Vec::with_capacity(directory.all().len());
        for listed in directory.all() {
            let Some(owner) = peers.owner(&listed.location, &listed.searcher) else {
                continue;
            };
            let (searcher, owner) = (listed.searcher.clone(), owner.instance.clone());
            owners.push(Ownership { searcher, owner });
        }
        Self { owners }
    }

    /// The owner of a searcher; `None` if it is not listed or no instance is eligible.
    pub fn find(&self, searcher: &ids::SearcherName) -> Option<&ids::InstanceName> {
        let index = self.owners.binary_search_by(|owned| owned.searcher.cmp(searcher)).ok()?;
        self.owners.get(index).map(|owned| &owned.owner)
    }
}

/// The weight of `member` for `key` in rendezvous hashing; the highest wins.
pub fn rendezvous_weight(member: &str, key: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(member.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(key.as_bytes(), seed)
}

/// The distance between two locations, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// The same failure domain.
    SameDomain,
    /// The same region.
    SameRegion,
    /// Another region.
    OtherRegion,
}

/// A region and a failure domain in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// The region.
    pub region: ids::RegionName,
    /// The failure domain.
    pub failure_domain: ids::DomainName,
}

impl Location {
    /// The distance to a location in `region` and `domain`.
    pub fn distance(&self, region: &ids::RegionName, domain: &ids::DomainName) -> Distance {
        if self.failure_domain == *domain {
            return Distance::SameDomain;
        }
        if self.region == *region {
            return Distance::SameRegion;
        }
        Distance::OtherRegion
    }
}

/// A searcher in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedSearcher {
    /// Its name.
    pub searcher: ids::SearcherName,
    /// Its service.
    pub service: ids::ServiceName,
    /// Its HTTP address.
    pub address: net::SocketAddr,
    /// Where it runs.
    pub location: Location,
    /// Whether the platform is going to stop it.
    pub leaving: bool,
}

/// The searchers that the platform lists, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directory {
    searchers: Vec<ListedSearcher>,
}

impl Directory {
    /// Extracts the searchers from the platform's list.
    pub fn new(list: &platform_api::InstanceList) -> Self {
        let mut searchers = Vec::new();
        for listed in &list.instances {
            let platform_api::Workload::Searcher { searcher, service, address } = &listed.workload
            else {
                continue;
            };
            let location = Location {
                region: listed.region.clone(),
                failure_domain: listed.failure_domain.clone(),
            };
            searchers.push(ListedSearcher {
                searcher: searcher.clone(),
                service: service.clone(),
                address: *address,
                location,
                leaving: listed.state == platform_api::ListState::Leaving,
            });
        }
        searchers.sort_by(|left, right| left.searcher.cmp(&right.searcher));
        searchers.dedup_by(|left, right| left.searcher == right.searcher);
        Self { searchers }
    }

    /// The searchers, sorted by name.
    pub fn all(&self) -> &[ListedSearcher] {
        &self.searchers
    }

    /// The searcher with this name; `None` if it is not listed.
    pub fn find(&self, searcher: &ids::SearcherName) -> Option<&ListedSearcher> {
        let index = self.searchers.binary_search_by(|listed| listed.searcher.cmp(searcher)).ok()?;
        self.searchers.get(index)
    }
}

/// The views that the tasks of an instance share. Background tasks replace them; requests and other
/// tasks read them.
#[derive(Debug, Default)]
pub struct ClusterView {
    /// The instances.
    pub peers: arc_swap::ArcSwap<Peers>,
    /// The searchers.
    pub directory: arc_swap::ArcSwap<Directory>,
    /// The owners of the searchers.
    pub owners: arc_swap::ArcSwap<Owners>,
    /// The platform's list as last read by this or another instance; `None` if it was never read.
    pub list: arc_swap::ArcSwapOption<platform_api::InstanceList>,
}

/// A cluster view shared between tasks.
pub type SharedClusterView = sync::Arc<ClusterView>;
