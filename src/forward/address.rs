//! Which instances take clients, and which of their addresses a client is told.
//!
//! A searcher accepts a limited number of connections from all instances together. Where there are more
//! instances than that allows to be connected well, only some in each region take clients; the others
//! stand by and take their place when one is lost.

use crate::discovery::config;
use crate::discovery::members;
use std::net;
use xxhash_rust::xxh3;

/// How many addresses an answer has at most.
const ADDRESSES_MAX: usize = 64;
/// How many instances of the client's own region an answer needs; with fewer, others are added, so that a
/// client has somewhere to turn when one is lost.
const ADDRESSES_MIN: usize = 2;
/// How many connections an instance that takes clients needs to a searcher on average: several to those in
/// its own region, one or two to the others.
const CONNECTIONS_PER_INSTANCE: f64 = 5.0;
/// The least number of instances of a region that take clients, if there are as many.
const ACTIVE_PER_REGION_MIN: usize = 3;

/// The instances that take clients.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ActiveMembers {
    /// Sorted by name.
    members: Vec<members::Member>,
}

impl ActiveMembers {
    /// Picks them from all members that are alive.
    pub fn select(live: &[&members::Member], config: Option<&config::Config>) -> Self {
        let mut ready: Vec<&members::Member> = Vec::new();
        for member in live {
            if member.state == members::MemberState::Ready && member.front.is_some() {
                ready.push(member);
            }
        }
        let wanted = active_count_wanted(ready.len(), config);
        // The strongest go first, in an order that all instances agree on.
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
            let share = (wanted * count).div_ceil(ready.len().max(1)).max(ACTIVE_PER_REGION_MIN);
            let own = ready.iter().filter(|member| member.region == region);
            members.extend(own.take(share).map(|member| members::Member::clone(member)));
        }
        members.sort_by(|a, b| a.name.cmp(&b.name));
        Self { members }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// How many there are in `region`.
    pub fn count_in(&self, region: &str) -> usize {
        self.members.iter().filter(|member| member.region == region).count()
    }

    /// Whether an instance is among them.
    pub fn contains(&self, member: &members::Member) -> bool {
        self.members.binary_search_by(|known| known.name.cmp(&member.name)).is_ok()
    }

    /// The addresses for a client of `region`.
    pub fn addresses(&self, region: &str) -> Vec<net::SocketAddr> {
        let mut addresses = Vec::new();
        for member in &self.members {
            if member.region == region {
                addresses.extend(member.front);
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

/// How many instances should take clients, out of `ready_count`.
fn active_count_wanted(ready_count: usize, config: Option<&config::Config>) -> usize {
    let services = config.map_or(&[][..], |config| &config.services);
    let Some(connections_max) = services.iter().map(|service| service.connections_max).min() else {
        return ready_count;
    };
    let wanted = f64::from(connections_max) / CONNECTIONS_PER_INSTANCE;
    (wanted as usize).clamp(1, ready_count.max(1))
}
