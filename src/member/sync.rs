//! Joining, the platform's list, and the digest exchange that repairs what gossip missed.

use crate::ids;
use crate::member;
use crate::member::{machine, message};
use rand::RngExt;
use std::net;

/// How many unknown instances of each platform list get a join request.
const LIST_JOINS_MAX: usize = 3;

impl machine::Membership {
    /// Sends a join request to a seed or listed instance: to any of them while no other member is live, later only to
    /// addresses that belong to no member, so that groups that formed around different seeds merge.
    pub(super) fn tick_join(&mut self, now_ms: u64) {
        if now_ms < self.next_join_ms {
            return;
        }
        let alone = self.table.live_count() < 2;
        let period_ms = if alone { self.config.join_period_ms } else { self.config.sync_period_ms };
        self.next_join_ms = now_ms + period_ms;
        let mut addresses = self.seeds.clone();
        addresses.extend(self.listed.iter().map(|(_, address)| *address));
        addresses.retain(|address| *address != self.own_record.peer_address);
        if !alone {
            addresses.retain(|address| !self.is_member_address(*address));
        }
        if addresses.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..addresses.len());
        self.join(addresses[index]);
        self.sync_soon(now_ms);
    }

    /// Schedules the next digest exchange after the shortest interval, because a difference was found or a join request
    /// was sent.
    pub(super) fn sync_soon(&mut self, now_ms: u64) {
        self.sync_interval_ms = self.config.sync_interval_min_ms;
        self.next_sync_ms = self.next_sync_ms.min(now_ms + self.sync_interval_ms);
    }

    fn is_member_address(&self, address: net::SocketAddr) -> bool {
        self.table.entries().iter().any(|entry| {
            entry.record.peer_address == address && entry.record.state != member::State::Left
        })
    }

    fn join(&mut self, address: net::SocketAddr) {
        self.send_with(address, message::Kind::Join, vec![self.own_record.clone()]);
    }

    /// Handles a new list from the platform. The list may be stale, so it decides only which instances get join
    /// requests and which members are not forgotten.
    pub(super) fn update_listed(
        &mut self,
        now_ms: u64,
        mut list: Vec<(ids::InstanceName, net::SocketAddr)>,
    ) {
        if list.is_empty() {
            return;
        }
        list.sort();
        let names: Vec<ids::InstanceName> = list.iter().map(|(name, _)| name.clone()).collect();
        self.table.mark_listed(&names, now_ms);
        self.listed = list;
        for name in self.table.forget(&self.config, now_ms) {
            self.updates.remove(&name);
            self.emit(machine::Event::Forgotten(name));
        }
        self.join_unknown();
    }

    fn join_unknown(&mut self) {
        let mut addresses = Vec::new();
        for (name, address) in &self.listed {
            let known = self
                .find(name)
                .is_some_and(|record| record.state.is_probed() || record.peer_address == *address);
            if !known && *name != self.own_record.name {
                addresses.push(*address);
            }
        }
        for _ in 0..LIST_JOINS_MAX.min(addresses.len()) {
            let index = self.rng.random_range(0..addresses.len());
            self.join(addresses.swap_remove(index));
        }
    }

    pub(super) fn tick_sync(&mut self, now_ms: u64) {
        if now_ms < self.next_sync_ms {
            return;
        }
        self.sync_interval_ms = (self.sync_interval_ms * 2)
            .clamp(self.config.sync_interval_min_ms, self.config.sync_period_ms);
        self.next_sync_ms = now_ms + self.sync_interval_ms;
        let Some(peer) = self.random_peer(|record| record.state.is_probed()) else {
            return;
        };
        let root = self.table.root_hash();
        self.send(peer.peer_address, message::Kind::Digest { root });
    }

    pub(super) fn compare_digest(&mut self, from: net::SocketAddr, root: u64) {
        if root == self.table.root_hash() {
            return;
        }
        let hashes = self.table.bucket_hashes().to_vec();
        self.send(from, message::Kind::Buckets { hashes });
    }

    pub(super) fn compare_buckets(&mut self, from: net::SocketAddr, hashes: &[u64]) {
        if hashes.len() != message::BUCKETS {
            return;
        }
        let mut differing = 0_u32;
        for (bucket, hash) in self.table.bucket_hashes().iter().enumerate() {
            if *hash != hashes[bucket] {
                differing |= 1 << bucket;
            }
        }
        if differing != 0 {
            self.send_pages(from, differing, differing);
        }
    }

    /// Sends the records of `buckets` in as many datagrams as needed. The first one requests the buckets `want` in
    /// return; both are bit sets.
    pub(super) fn send_pages(&mut self, to: net::SocketAddr, buckets: u32, want: u32) {
        let mut page = self.new_message(message::Kind::Page { want });
        let mut remaining_bytes = page.remaining_bytes();
        for record in self.table.records_in(buckets) {
            let bytes = message::record_bytes(&record);
            if bytes > remaining_bytes {
                self.outputs.push(machine::Output::Send(to, page));
                page = self.new_message(message::Kind::Page { want: 0 });
                remaining_bytes = page.remaining_bytes();
            }
            remaining_bytes = remaining_bytes.saturating_sub(bytes);
            page.updates.push(record);
        }
        self.outputs.push(machine::Output::Send(to, page));
    }
}
