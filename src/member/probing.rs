//! Failure detection: direct, indirect and repeated probes, and periodic gossip.

use crate::ids;
use crate::member;
use crate::member::{machine, message, probe};
use rand::RngExt;
use rand::seq::SliceRandom;

/// The probe timeout as a multiple of the smoothed round-trip time.
const TIMEOUT_RTT_FACTOR: u64 = 3;
/// The weight of the smoothed round-trip time relative to a new sample.
const RTT_OLD_WEIGHT: u32 = 3;
/// How many Unreachable members are probed in each gossip period after one of them answered.
const FAST_REPROBES_PER_PERIOD: usize = 2;
/// How long Unreachable members are probed more often after one of them answered.
const FAST_REPROBE_MS: u64 = 5_000;

impl machine::Membership {
    pub(super) fn tick_probe(&mut self, now_ms: u64) {
        if let Some(probe) = self.probe.clone() {
            self.advance_probe(now_ms, probe);
        }
        if self.probe.is_none() && now_ms >= self.next_probe_ms {
            self.start_probe(now_ms);
        }
    }

    fn advance_probe(&mut self, now_ms: u64, probe: probe::Probe) {
        if now_ms >= probe.end_ms {
            self.probe = None;
            if probe.ping_requests > 0 && probe.nacks == 0 {
                self.health.degrade();
            }
            self.suspect(now_ms, &probe.target);
            return;
        }
        if now_ms >= probe.indirect_ms && probe.ping_requests == 0 {
            self.send_ping_requests(probe);
        }
    }

    fn start_probe(&mut self, now_ms: u64) {
        self.next_probe_ms = now_ms + self.config.probe_period_ms;
        let Some(record) = self.next_target() else {
            return;
        };
        let rtt_ms = self.table.find(&record.name).map_or(0, |entry| entry.rtt_ms);
        let timeout_ms =
            self.config.probe_timeout_min_ms.max(TIMEOUT_RTT_FACTOR * u64::from(rtt_ms));
        let factor = self.health.multiplier();
        let period_ms = self.config.probe_period_ms * factor;
        let sequence = self.next_sequence();
        let target = record.name.clone();
        self.probe = Some(probe::Probe {
            target: target.clone(),
            sequence,
            start_ms: now_ms,
            indirect_ms: now_ms + (timeout_ms * factor).min(period_ms / 2),
            end_ms: now_ms + period_ms,
            ping_requests: 0,
            nacks: 0,
        });
        let first =
            if record.state == member::State::Alive { Vec::new() } else { vec![record.clone()] };
        self.send_with(record.peer_address, message::Kind::Ping { sequence, target }, first);
    }

    /// The next member of the round; each round visits all probed members once in a new random order.
    fn next_target(&mut self) -> Option<member::Record> {
        for _ in 0..2 {
            while let Some(name) = self.round.pop() {
                let Some(record) = self.find(&name) else {
                    continue;
                };
                if record.state.is_probed() {
                    return Some(record.clone());
                }
            }
            self.fill_round();
        }
        None
    }

    fn fill_round(&mut self) {
        for entry in self.table.entries() {
            if entry.record.state.is_probed() && entry.record.name != self.own_record.name {
                self.round.push(entry.record.name.clone());
            }
        }
        self.round.shuffle(&mut self.rng);
    }

    /// Inserts a new or returned member at a random position of the current round.
    pub(super) fn insert_into_round(&mut self, record: &member::Record) {
        let was_probed = self.find(&record.name).is_some_and(|old| old.state.is_probed());
        if was_probed || !record.state.is_probed() || record.name == self.own_record.name {
            return;
        }
        if !self.round.contains(&record.name) {
            let index = self.rng.random_range(0..=self.round.len());
            self.round.insert(index, record.name.clone());
        }
    }

    fn send_ping_requests(&mut self, mut probe: probe::Probe) {
        let Some(address) = self.find(&probe.target).map(|record| record.peer_address) else {
            return;
        };
        for peer in self.random_peers(self.config.indirect_probes, &probe.target) {
            probe.ping_requests += 1;
            let (sequence, target) = (probe.sequence, probe.target.clone());
            let kind = message::Kind::PingRequest { sequence, target, address };
            self.send(peer.peer_address, kind);
        }
        self.probe = Some(probe);
    }

    pub(super) fn handle_ack(&mut self, now_ms: u64, sequence: u32, target: &ids::InstanceName) {
        if self.find(target).is_some_and(|record| record.state == member::State::Unreachable) {
            self.fast_reprobe_until_ms = now_ms + FAST_REPROBE_MS;
        }
        self.clear_leaving_suspicion(target);
        let Some(probe) = &self.probe else {
            return;
        };
        if probe.sequence != sequence || probe.target != *target {
            return;
        }
        let rtt_ms = now_ms.saturating_sub(probe.start_ms) as u32;
        let direct = probe.ping_requests == 0;
        self.probe = None;
        self.health.improve();
        if let Some(entry) = self.table.find_mut(target).filter(|_| direct) {
            let old_ms = if entry.rtt_ms == 0 { rtt_ms } else { entry.rtt_ms };
            entry.rtt_ms = (old_ms * RTT_OLD_WEIGHT + rtt_ms) / (RTT_OLD_WEIGHT + 1);
        }
    }

    /// Ends the suspicion of a leaving member that answered. Its record stays Leaving while it is suspected, so there
    /// is no Suspect record that it could refute.
    fn clear_leaving_suspicion(&mut self, target: &ids::InstanceName) {
        if let Some(entry) = self.table.find_mut(target)
            && entry.record.state == member::State::Leaving
        {
            entry.suspicion = None;
        }
    }

    /// Counts a nack: another member had no ack either, so this instance's own network is not the cause.
    pub(super) fn handle_nack(&mut self, sequence: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.sequence == sequence) {
            probe.nacks += 1;
        }
    }

    pub(super) fn tick_gossip(&mut self, now_ms: u64) {
        if now_ms < self.next_gossip_ms {
            return;
        }
        self.next_gossip_ms = now_ms + self.config.gossip_period_ms;
        self.verify_claims(now_ms);
        if now_ms < self.fast_reprobe_until_ms {
            for _ in 0..FAST_REPROBES_PER_PERIOD {
                self.reprobe();
            }
        }
        if self.updates.is_empty() {
            return;
        }
        let own_name = self.own_record.name.clone();
        for peer in self.random_peers(self.config.gossip_fanout, &own_name) {
            self.send(peer.peer_address, message::Kind::Gossip);
        }
    }

    /// Periodically probes an Unreachable member, to detect the end of a network partition.
    pub(super) fn tick_reprobe(&mut self, now_ms: u64) {
        if now_ms < self.next_reprobe_ms {
            return;
        }
        self.next_reprobe_ms = now_ms + self.config.reprobe_period_ms;
        self.reprobe();
    }

    fn reprobe(&mut self) {
        let peer = self.random_peer(|record| record.state == member::State::Unreachable);
        if let Some(record) = peer {
            self.ping(record);
        }
    }

    /// A random other member that `accept` selects; `None` if there is none.
    pub(super) fn random_peer(
        &mut self,
        accept: impl Fn(&member::Record) -> bool,
    ) -> Option<member::Record> {
        let entries = self.table.entries();
        if entries.len() < 2 {
            return None;
        }
        let start = self.rng.random_range(0..entries.len());
        for offset in 0..entries.len() {
            let record = &entries[(start + offset) % entries.len()].record;
            if record.name != self.own_record.name && accept(record) {
                return Some(record.clone());
            }
        }
        None
    }

    fn random_peers(&mut self, count: usize, except: &ids::InstanceName) -> Vec<member::Record> {
        let mut peers: Vec<member::Record> = Vec::new();
        for _ in 0..count {
            let chosen: Vec<ids::InstanceName> =
                peers.iter().map(|record| record.name.clone()).collect();
            let peer = self.random_peer(|record| {
                record.state.is_probed() && record.name != *except && !chosen.contains(&record.name)
            });
            peers.extend(peer);
        }
        peers
    }
}
