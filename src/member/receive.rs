//! Handling of received messages.
//!
//! Exchanges always terminate: a ping is answered with an ack, a ping request with an ack or a nack. If their sender,
//! or that of a direct message, is unknown, it also gets a digest. A digest is answered with buckets and gossip,
//! buckets with pages that request pages in return, a join request with pages that request none. The pages in return,
//! acks, nacks and gossip are not answered.

use crate::ids;
use crate::member;
use crate::member::{machine, message, probe};
use std::net;

/// How many indirect probes for other members run at a time; further requests are dropped.
const RELAYS_MAX: usize = 256;

impl machine::Membership {
    pub(super) fn receive(
        &mut self,
        now_ms: u64,
        from: net::SocketAddr,
        mut message: message::Message,
    ) {
        if message.from == self.own_record.name && message.boot == self.own_record.boot {
            return;
        }
        if self.own_record.state == member::State::Left {
            return;
        }
        let updates = std::mem::take(&mut message.updates);
        let has_own_record = updates.iter().any(|record| record.name == self.own_record.name);
        // Records in pages repair a difference to one member and are not gossiped again: gossip already spreads them.
        let spread = !matches!(message.kind, message::Kind::Page { .. });
        for record in updates {
            self.merge_record(now_ms, record, &message.from, spread);
        }
        if self.is_current_boot(&message) {
            self.emit(machine::Event::SettingsStatus {
                from: message.from.clone(),
                boot: message.boot,
                status: message.settings_status,
            });
        } else if self.needs_digest(&message) {
            let root = self.table.root_hash();
            self.send(from, message::Kind::Digest { root });
        }
        self.handle_message(now_ms, from, message, has_own_record);
    }

    /// Whether the sender's boot is the one in the member table.
    fn is_current_boot(&self, message: &message::Message) -> bool {
        self.find(&message.from).is_some_and(|record| record.boot == message.boot)
    }

    /// The record about the sender that it has to refute; `None` if the table has it as Alive or Leaving, with an
    /// older boot, or not at all.
    fn record_to_refute(&self, message: &message::Message) -> Option<member::Record> {
        let record = self.find(&message.from)?;
        let up_to_date = record.boot < message.boot
            || record.boot == message.boot
                && matches!(record.state, member::State::Alive | member::State::Leaving);
        if up_to_date { None } else { Some(record.clone()) }
    }

    /// Whether to start a digest exchange, which brings the sender's record: the sender or its newer boot is unknown
    /// here, and the message is not part of an exchange.
    fn needs_digest(&self, message: &message::Message) -> bool {
        let starts_exchange = matches!(
            message.kind,
            message::Kind::Ping { .. }
                | message::Kind::PingRequest { .. }
                | message::Kind::Direct(_)
        );
        starts_exchange && self.find(&message.from).is_none_or(|record| record.boot < message.boot)
    }

    fn handle_message(
        &mut self,
        now_ms: u64,
        from: net::SocketAddr,
        message: message::Message,
        has_own_record: bool,
    ) {
        let mut first: Vec<member::Record> = self.record_to_refute(&message).into_iter().collect();
        match message.kind {
            message::Kind::Ping { sequence, target } => {
                if has_own_record {
                    first.push(self.own_record.clone());
                }
                if target == self.own_record.name {
                    self.send_with(from, message::Kind::Ack { sequence, target }, first);
                }
            }
            message::Kind::Ack { sequence, target } => {
                self.handle_ack(now_ms, sequence, &target);
                self.relay_ack(sequence, &target);
            }
            message::Kind::Nack { sequence } => self.handle_nack(sequence),
            message::Kind::PingRequest { sequence, target, address } => {
                self.relay_probe(now_ms, from, sequence, target, address);
            }
            message::Kind::Join => self.send_pages(from, u32::MAX, 0),
            message::Kind::Gossip => {}
            message::Kind::Digest { root } => {
                self.compare_digest(from, root);
                if !first.is_empty() {
                    self.send_with(from, message::Kind::Gossip, first);
                }
            }
            message::Kind::Buckets { hashes } => self.compare_buckets(from, &hashes),
            message::Kind::Page { want } => {
                if want != 0 {
                    self.send_pages(from, want, 0);
                }
            }
            message::Kind::Direct(bytes) => {
                let (from, boot) = (message.from, message.boot);
                self.emit(machine::Event::Direct { from, boot, bytes });
            }
        }
    }

    fn relay_probe(
        &mut self,
        now_ms: u64,
        origin: net::SocketAddr,
        origin_sequence: u32,
        target: ids::InstanceName,
        address: net::SocketAddr,
    ) {
        if self.relays.len() >= RELAYS_MAX {
            return;
        }
        let sequence = self.next_sequence();
        let nack_ms = now_ms + self.config.probe_timeout_min_ms;
        let relay =
            probe::Relay { target: target.clone(), sequence, origin, origin_sequence, nack_ms };
        self.relays.push(relay);
        self.send(address, message::Kind::Ping { sequence, target });
    }

    fn relay_ack(&mut self, sequence: u32, target: &ids::InstanceName) {
        let position = self
            .relays
            .iter()
            .position(|relay| relay.sequence == sequence && relay.target == *target);
        let Some(index) = position else {
            return;
        };
        let relay = self.relays.swap_remove(index);
        let sequence = relay.origin_sequence;
        self.send(relay.origin, message::Kind::Ack { sequence, target: relay.target });
    }

    pub(super) fn tick_relays(&mut self, now_ms: u64) {
        let mut due = Vec::new();
        self.relays.retain(|relay| {
            let pending = now_ms < relay.nack_ms;
            if !pending {
                due.push((relay.origin, relay.origin_sequence));
            }
            pending
        });
        for (origin, sequence) in due {
            self.send(origin, message::Kind::Nack { sequence });
        }
    }
}
