//! The membership state machine: `(now_ms, input) -> outputs`.

use crate::ids;
use crate::member;
use crate::member::{message, probe, table, updates};
use rand::SeedableRng;
use rand::rngs;
use std::net;

pub use crate::member::step::{Event, Input, Output};

/// The membership state of one instance.
#[derive(Debug)]
pub struct Membership {
    pub(super) config: member::Config,
    pub(super) own_record: member::Record,
    pub(super) settings_status: member::SettingsStatus,
    pub(super) table: table::Table,
    pub(super) updates: updates::Updates,
    pub(super) rng: rngs::SmallRng,
    pub(super) seeds: Vec<net::SocketAddr>,
    /// The platform's last list that was not empty, sorted by name.
    pub(super) listed: Vec<(ids::InstanceName, net::SocketAddr)>,
    pub(super) health: probe::LocalHealth,
    pub(super) probe: Option<probe::Probe>,
    pub(super) relays: Vec<probe::Relay>,
    /// The members still to be probed in the current round.
    pub(super) round: Vec<ids::InstanceName>,
    pub(super) sequence: u32,
    /// Records from others that declare a member Unreachable while this instance still probes it. They are to be
    /// verified; sorted by name.
    pub(super) unverified: Vec<member::Record>,
    pub(super) last_step_ms: Option<u64>,
    pub(super) next_probe_ms: u64,
    pub(super) next_gossip_ms: u64,
    pub(super) next_sync_ms: u64,
    /// The time between two digest exchanges: short after a difference, then doubled up to the configured period.
    pub(super) sync_interval_ms: u64,
    pub(super) next_reprobe_ms: u64,
    pub(super) next_join_ms: u64,
    /// Until when Unreachable members are probed more often, because one of them answered.
    pub(super) fast_reprobe_until_ms: u64,
    pub(super) superseded: bool,
    /// The earliest time at which a suspicion expires or a suspect is to be pinged.
    pub(super) suspicion_due_ms: u64,
    pub(super) outputs: Vec<Output>,
}

impl Membership {
    /// Creates the state of an instance that knows only itself and the addresses of its seeds.
    pub fn new(
        own_record: member::Record,
        config: member::Config,
        seeds: Vec<net::SocketAddr>,
        rng_seed: u64,
    ) -> Self {
        let mut membership = Self {
            config,
            own_record: own_record.clone(),
            settings_status: member::SettingsStatus::default(),
            table: table::Table::default(),
            updates: updates::Updates::default(),
            rng: rngs::SmallRng::seed_from_u64(rng_seed),
            seeds,
            listed: Vec::new(),
            health: probe::LocalHealth::default(),
            probe: None,
            relays: Vec::new(),
            round: Vec::new(),
            sequence: 0,
            unverified: Vec::new(),
            last_step_ms: None,
            next_probe_ms: 0,
            next_gossip_ms: 0,
            next_sync_ms: 0,
            sync_interval_ms: 0,
            next_reprobe_ms: 0,
            next_join_ms: 0,
            fast_reprobe_until_ms: 0,
            superseded: false,
            suspicion_due_ms: u64::MAX,
            outputs: Vec::new(),
        };
        membership.table.put(own_record, 0);
        membership
    }

    /// Sets the settings status that each message carries from now on.
    pub fn set_settings_status(&mut self, status: member::SettingsStatus) {
        self.settings_status = status;
    }

    /// The record of this instance.
    pub fn own_record(&self) -> &member::Record {
        &self.own_record
    }

    /// The records of all members, sorted by name.
    pub fn records(&self) -> Vec<member::Record> {
        self.table.entries().iter().map(|entry| entry.record.clone()).collect()
    }

    /// The record of the member `name`; `None` if it is unknown.
    pub fn find(&self, name: &ids::InstanceName) -> Option<&member::Record> {
        self.table.find(name).map(|entry| &entry.record)
    }

    /// The memory used by this state, in bytes, without the heap memory of names longer than 24 bytes.
    pub fn memory_bytes(&self) -> usize {
        let round = self.round.capacity() * size_of::<ids::InstanceName>();
        let unverified = self.unverified.capacity() * size_of::<member::Record>();
        let listed = self.listed.capacity() * size_of::<(ids::InstanceName, net::SocketAddr)>();
        size_of::<Self>()
            + self.table.memory_bytes()
            + self.updates.memory_bytes()
            + round
            + unverified
            + listed
    }

    /// Handles one input and returns what is to be done. `now_ms` must not decrease.
    pub fn step(&mut self, now_ms: u64, input: Input) -> Vec<Output> {
        self.detect_pause(now_ms);
        match input {
            Input::Tick => self.tick(now_ms),
            Input::Datagram { from, message } => self.receive(now_ms, from, message),
            Input::Listed(list) => self.update_listed(now_ms, list),
            Input::Direct { to, bytes } => self.send_direct(&to, bytes),
            Input::Leave => self.leave(now_ms),
            Input::Depart => self.depart(now_ms),
        }
        std::mem::take(&mut self.outputs)
    }

    fn tick(&mut self, now_ms: u64) {
        if self.own_record.state == member::State::Left {
            return;
        }
        self.tick_relays(now_ms);
        self.tick_probe(now_ms);
        self.tick_suspicions(now_ms);
        self.tick_gossip(now_ms);
        self.tick_reprobe(now_ms);
        self.tick_sync(now_ms);
        self.tick_join(now_ms);
    }

    /// After a pause, drops the running probes and extends suspicions, so that other members aren't declared
    /// Unreachable for answers that this process missed.
    fn detect_pause(&mut self, now_ms: u64) {
        let gap_ms = now_ms.saturating_sub(self.last_step_ms.unwrap_or(now_ms));
        self.last_step_ms = Some(now_ms);
        if gap_ms < self.config.pause_ms {
            return;
        }
        self.emit(Event::Paused { gap_ms });
        self.health.set_worst();
        self.probe = None;
        self.relays.clear();
        self.next_probe_ms = now_ms + self.config.probe_period_ms;
        self.next_sync_ms = now_ms;
        for entry in self.table.entries_mut() {
            if let Some(suspicion) = &mut entry.suspicion {
                suspicion.end_ms += gap_ms + self.config.suspicion_ms;
            }
        }
    }

    fn leave(&mut self, now_ms: u64) {
        if self.own_record.state == member::State::Alive {
            self.announce_self(now_ms, member::State::Leaving);
        }
    }

    fn depart(&mut self, now_ms: u64) {
        if self.own_record.state == member::State::Left {
            return;
        }
        self.announce_self(now_ms, member::State::Left);
        for _ in 0..self.retransmit_limit() {
            let Some(to) = self.random_peer(|record| record.state.is_probed()) else {
                return;
            };
            self.send_with(to.peer_address, message::Kind::Gossip, vec![self.own_record.clone()]);
        }
    }

    /// Raises the incarnation, so that this instance's record wins over all others of this boot, and spreads it.
    pub(super) fn announce_self(&mut self, now_ms: u64, state: member::State) {
        self.own_record.incarnation.0 += 1;
        self.own_record.state = state;
        self.publish(now_ms, self.own_record.clone());
    }

    /// Stores a record and queues it for gossip.
    pub(super) fn publish(&mut self, now_ms: u64, record: member::Record) {
        self.updates.push(&record.name);
        self.apply(now_ms, record);
    }

    /// Stores a record and reports the change, without gossiping it.
    pub(super) fn apply(&mut self, now_ms: u64, record: member::Record) {
        self.insert_into_round(&record);
        self.table.put(record.clone(), now_ms);
        self.emit(Event::Changed(record));
    }

    pub(super) fn emit(&mut self, event: Event) {
        self.outputs.push(Output::Event(event));
    }

    pub(super) fn retransmit_limit(&self) -> u32 {
        let members = self.table.entries().len() as u32;
        self.config.retransmit_factor * (members.max(1).ilog10() + 2)
    }

    pub(super) fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    fn send_direct(&mut self, to: &ids::InstanceName, bytes: Vec<u8>) {
        if bytes.len() > message::DIRECT_MAX_BYTES {
            return;
        }
        let Some(address) = self.find(to).map(|record| record.peer_address) else {
            return;
        };
        self.send(address, message::Kind::Direct(bytes));
    }

    /// Sends a message with as many queued updates as fit.
    pub(super) fn send(&mut self, to: net::SocketAddr, kind: message::Kind) {
        self.send_with(to, kind, Vec::new());
    }

    /// Sends a message with the records `first`, followed by as many queued updates as fit.
    pub(super) fn send_with(
        &mut self,
        to: net::SocketAddr,
        kind: message::Kind,
        first: Vec<member::Record>,
    ) {
        let mut message = self.new_message(kind);
        message.updates = first;
        if !self.updates.is_empty() {
            self.fill_updates(&mut message);
        }
        self.outputs.push(Output::Send(to, message));
    }

    pub(super) fn new_message(&self, kind: message::Kind) -> message::Message {
        let from = self.own_record.name.clone();
        message::Message {
            from,
            boot: self.own_record.boot,
            settings_status: self.settings_status,
            kind,
            updates: Vec::new(),
        }
    }

    fn fill_updates(&mut self, message: &mut message::Message) {
        let mut remaining_bytes = message.remaining_bytes();
        let mut sent = Vec::new();
        for name in self.updates.least_sent() {
            if message.updates.iter().any(|record| record.name == name) {
                continue;
            }
            let Some(entry) = self.table.find(&name) else {
                continue;
            };
            let bytes = message::record_bytes(&entry.record);
            if bytes > remaining_bytes {
                break;
            }
            remaining_bytes -= bytes;
            message.updates.push(entry.record.clone());
            sent.push(name);
        }
        self.updates.record_sent(&sent, self.retransmit_limit());
    }
}
