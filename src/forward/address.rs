//! Selects the instances that accept clients, and the addresses that a client is given.
//!
//! A searcher accepts a limited number of connections from all instances together. If there are too many
//! instances for each of them to get enough, only some in each region are active, which means that clients
//! are sent to them; the others replace them when they fail.

use crate::discovery::config;
use crate::discovery::members;
use compact_str::CompactString;
use std::net;
use xxhash_rust::xxh3;

/// The maximum number of addresses in an answer.
const ADDRESSES_MAX: usize = 64;
/// The minimum number of addresses in an answer. If the client's region has fewer instances, instances of
/// other regions are added, so that the client has an alternative when one fails.
const ADDRESSES_MIN: usize = 2;
/// How many connections to a searcher an active instance needs on average: several to searchers in its own
/// region, one or two to others.
const CONNECTIONS_PER_INSTANCE: f64 = 5.0;
/// The minimum number of active instances in a region, if it has that many.
const ACTIVE_PER_REGION_MIN: usize = 3;

/// The instances that clients are sent to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ActiveMembers {
    /// Sorted by name.
    members: Vec<members::Member>,
}

impl ActiveMembers {
    /// Selects the active instances from the members that are alive. Without a configuration all ready
    /// instances are active.
    pub fn select(live: &[&members::Member], config: Option<&config::Config>) -> Self {
        let mut ready: Vec<&members::Member> = Vec::new();
        for member in live {
            if member.state == members::MemberState::Ready && member.front.is_some() {
                ready.push(member);
            }
        }
        let target_count = target_active_count(ready.len(), config);
        // Most CPU first, then by a hash of the name: all instances compute the same order.
        ready.sort_by_key(|member| {
            let hash = xxh3::xxh3_64(member.name.as_str().as_bytes());
            (std::cmp::Reverse(member.cpu_millicores), hash)
        });
        let mut regions: Vec<(&str, usize)> = Vec::new();
        for member in &ready {
            match regions.iter_mut().find(|(region, _)| *region == member.region) {
                Some((_, count)) => *count += 1,
                None => regions.push((&member.region, 1)),
            }
        }
        let mut members = Vec::new();
        for (region, count) in regions {
            let share =
                (target_count * count).div_ceil(ready.len().max(1)).max(ACTIVE_PER_REGION_MIN);
            let in_region = ready.iter().filter(|member| member.region == region);
            members.extend(in_region.take(share).map(|member| members::Member::clone(member)));
        }
        members.sort_by(|a, b| a.name.cmp(&b.name));
        Self { members }
    }

    /// The active instances, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &members::Member> {
        self.members.iter()
    }

    /// The number of active instances.
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// The number of active instances in `region`.
    pub fn count_in(&self, region: &str) -> usize {
        self.members.iter().filter(|member| member.region == region).count()
    }

    /// The names of the instances that are active here but not in `other`.
    pub fn names_not_in<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = &'a str> {
        let missing = self.members.iter().filter(|member| !other.contains(member));
        missing.map(|member| member.name.as_str())
    }

    /// Whether an instance is active.
    pub fn contains(&self, member: &members::Member) -> bool {
        self.members.binary_search_by(|known| known.name.cmp(&member.name)).is_ok()
    }

    /// The addresses for a client in `region`, whose requests have the home regions `homes`; empty if they have none. If
    /// the client's region has too few instances, all those in the home regions follow. With home regions, instances
    /// elsewhere are added only if there is no other.
    pub fn addresses(&self, region: &str, homes: &[CompactString]) -> Vec<net::SocketAddr> {
        let mut addresses = Vec::new();
        for member in &self.members {
            if member.region == region {
                addresses.extend(member.front);
            }
        }
        if addresses.len() < ADDRESSES_MIN {
            for member in &self.members {
                if member.region != region && homes.contains(&member.region) {
                    addresses.extend(member.front);
                }
            }
            if !homes.is_empty() && !addresses.is_empty() {
                addresses.truncate(ADDRESSES_MAX);
                return addresses;
            }
        }
        for member in &self.members {
            if addresses.len() >= ADDRESSES_MIN {
                break;
            }
            if member.region != region {
                addresses.extend(member.front);
            }
        }
        addresses.truncate(ADDRESSES_MAX);
        addresses
    }
}

/// How many of `ready_count` instances should be active, so that each gets
/// [`CONNECTIONS_PER_INSTANCE`] connections to the searchers that accept the fewest.
fn target_active_count(ready_count: usize, config: Option<&config::Config>) -> usize {
    let services = config.map_or(&[][..], |config| &config.services);
    let Some(connections_max) = services.iter().map(|service| service.connections_max).min() else {
        return ready_count;
    };
    let target_count = f64::from(connections_max) / CONNECTIONS_PER_INSTANCE;
    (target_count as usize).clamp(1, ready_count.max(1))
}
