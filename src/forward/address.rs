//! Which instances' addresses clients are told.

use crate::discovery::members;
use std::net;

/// How many addresses an answer has at most.
const ADDRESSES_MAX: usize = 64;
/// How many instances of the client's own region an answer needs; with fewer, others are added, so that a
/// client has somewhere to turn when one is lost.
const NEAR_MIN: usize = 2;

/// The members that take clients, out of all that are alive: those that are ready.
fn takers<'a>(live: &[&'a members::Member]) -> Vec<&'a members::Member> {
    let mut takers = Vec::new();
    for member in live {
        if member.state == members::MemberState::Ready && member.front.is_some() {
            takers.push(*member);
        }
    }
    takers
}

/// The addresses for a client of `region`.
pub fn addresses(live: &[&members::Member], region: &str) -> Vec<net::SocketAddr> {
    let takers = takers(live);
    let mut addresses = Vec::new();
    for member in &takers {
        if member.region == region {
            addresses.extend(member.front);
        }
    }
    if addresses.len() < NEAR_MIN {
        for member in &takers {
            if member.region != region && addresses.len() < NEAR_MIN {
                addresses.extend(member.front);
            }
        }
    }
    addresses.truncate(ADDRESSES_MAX);
    addresses
}

/// How many instances take clients: in all, and in `region`.
pub fn taker_counts(live: &[&members::Member], region: &str) -> (usize, usize) {
    let takers = takers(live);
    let near = takers.iter().filter(|member| member.region == region).count();
    (takers.len(), near)
}
