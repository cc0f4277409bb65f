//! A simulated fleet: the state machines of all nodes and the event queue between them.

use crate::ids;
use crate::member;
use crate::member::scaling;
use crate::member::{machine, message};
use crate::seal;
use rand::rngs;
use rand::{RngExt, SeedableRng};
use std::cmp;
use std::collections;
use std::hint;
use std::net;

const TICK_MS: u64 = 50;
const LATENCY_MS: u64 = 1;
const SECOND_MS: u64 = 1_000;
/// The time between two restarts or kills: 850 and 15 a day.
const CHURN_PERIOD_MS: u64 = 24 * 3_600 * SECOND_MS / 865;
/// One in this many restarts is a kill; the others are graceful.
const KILL_INTERVAL: u64 = 58;
/// The time between the announcement of a leave and the end of the process.
const LEAVE_DURATION_MS: u64 = 5_000;
/// The time between the end of a process and the start of the next one.
const RESTART_DELAY_MS: u64 = 10_000;
const KEY: [u8; seal::KEY_BYTES] = [7; seal::KEY_BYTES];
const PORT: u16 = 7_000;

#[derive(Debug)]
enum ScheduledEvent {
    Tick { node: usize, boot: ids::BootId },
    Datagram { from: net::SocketAddr, to: usize, bytes: Vec<u8> },
    Churn { number: u64 },
    Depart { node: usize },
    Start { node: usize },
}

#[derive(Debug)]
struct Node {
    machine: machine::Membership,
    sealer: seal::Sealer,
    opener: seal::Opener,
    running: bool,
    bytes_this_second: u64,
}

/// The traffic sent by all nodes together.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counters {
    pub(super) sent: u64,
    pub(super) sent_bytes: u64,
    /// The most bytes that one node sent in a second.
    pub(super) sent_bytes_peak: u64,
}

/// The nodes and the event queue.
#[derive(Debug)]
pub(super) struct Fleet {
    nodes: Vec<Node>,
    queue: collections::BinaryHeap<cmp::Reverse<(u64, u64)>>,
    events: collections::BTreeMap<u64, ScheduledEvent>,
    sequence: u64,
    now_ms: u64,
    second_end_ms: u64,
    rng: rngs::SmallRng,
    counters: Counters,
    loss: f64,
}

impl Fleet {
    /// Creates nodes that start simultaneously, with the first two as seeds.
    pub(super) fn new(members: usize, seed: u64) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            queue: collections::BinaryHeap::new(),
            events: collections::BTreeMap::new(),
            sequence: 0,
            now_ms: 0,
            second_end_ms: 0,
            rng: rngs::SmallRng::seed_from_u64(seed),
            counters: Counters::default(),
            loss: 0.0,
        };
        for index in 0..members {
            let node = fleet.new_node(index, ids::BootId(1));
            fleet.nodes.push(node);
            fleet.start_ticks(index);
        }
        fleet
    }

    pub(super) fn counters(&self) -> Counters {
        self.counters
    }

    pub(super) fn reset_counters(&mut self) {
        self.counters = Counters::default();
    }

    pub(super) fn set_loss(&mut self, share: f64) {
        self.loss = share;
    }

    pub(super) fn memory_bytes(&self) -> usize {
        let Some(node) = self.nodes.first() else {
            return 0;
        };
        let windows = node.opener.memory_bytes();
        node.machine.memory_bytes() + scaling::view_bytes(self.nodes.len()) + windows
    }

    /// The live entries in the tables of the running nodes, in percent of the expected number.
    pub(super) fn agreement_percent(&self) -> f64 {
        let running = self.nodes.iter().filter(|node| node.running).count();
        let mut live = 0;
        for node in self.nodes.iter().filter(|node| node.running) {
            let records = node.machine.records();
            live += records.iter().filter(|record| record.state.is_live()).count();
        }
        live as f64 * 100.0 / (running * running) as f64
    }

    pub(super) fn run(&mut self, duration_s: u64, load: scaling::Load) {
        let end_ms = self.now_ms + duration_s * SECOND_MS;
        if load == scaling::Load::Churn {
            self.push(CHURN_PERIOD_MS / 2, ScheduledEvent::Churn { number: 1 });
        }
        while let Some(cmp::Reverse((due_ms, sequence))) = self.queue.peek().copied() {
            if due_ms > end_ms {
                break;
            }
            self.queue.pop();
            self.now_ms = due_ms;
            self.update_peak();
            if let Some(event) = self.events.remove(&sequence) {
                self.handle(event);
            }
        }
        self.now_ms = end_ms;
    }

    fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Tick { node, boot } => {
                if self.nodes[node].running && self.nodes[node].machine.own_record().boot == boot {
                    self.step(node, machine::Input::Tick);
                    self.push(TICK_MS, ScheduledEvent::Tick { node, boot });
                }
            }
            ScheduledEvent::Datagram { from, to, bytes } => self.deliver(from, to, &bytes),
            ScheduledEvent::Churn { number } => self.churn(number),
            ScheduledEvent::Depart { node } => {
                self.step(node, machine::Input::Depart);
                self.stop_node(node);
            }
            ScheduledEvent::Start { node } => {
                let boot = ids::BootId(self.nodes[node].machine.own_record().boot.0 + 1);
                self.nodes[node] = self.new_node(node, boot);
                self.start_ticks(node);
            }
        }
    }

    fn churn(&mut self, number: u64) {
        self.push(CHURN_PERIOD_MS, ScheduledEvent::Churn { number: number + 1 });
        let node = self.rng.random_range(0..self.nodes.len());
        if !self.nodes[node].running {
            return;
        }
        if number.is_multiple_of(KILL_INTERVAL) {
            self.stop_node(node);
            return;
        }
        self.step(node, machine::Input::Leave);
        self.push(LEAVE_DURATION_MS, ScheduledEvent::Depart { node });
    }

    fn stop_node(&mut self, node: usize) {
        self.nodes[node].running = false;
        self.push(RESTART_DELAY_MS, ScheduledEvent::Start { node });
    }

    fn deliver(&mut self, from: net::SocketAddr, to: usize, bytes: &[u8]) {
        let node = &mut self.nodes[to];
        if !node.running {
            return;
        }
        let Ok(opened) = node.opener.open(bytes, self.now_ms) else {
            return;
        };
        let Ok(message) = message::Message::decode(opened.body) else {
            return;
        };
        self.step(to, machine::Input::Datagram { from, message });
    }

    fn step(&mut self, index: usize, input: machine::Input) {
        let node = &mut self.nodes[index];
        let mut changed = false;
        let mut datagrams = Vec::new();
        for output in node.machine.step(self.now_ms, input) {
            match output {
                machine::Output::Send(to, message) => {
                    datagrams.push((to, node.sealer.seal(&message.encode(), self.now_ms)));
                }
                machine::Output::Event(machine::Event::Changed(_)) => changed = true,
                machine::Output::Event(_) => {}
            }
        }
        if changed {
            // The gossip thread copies all records into a new view after a change; this adds that cost.
            hint::black_box(node.machine.records());
        }
        let from = node.machine.own_record().peer_address;
        for (to, bytes) in datagrams {
            self.send(index, from, to, bytes);
        }
    }

    fn send(&mut self, index: usize, from: net::SocketAddr, to: net::SocketAddr, bytes: Vec<u8>) {
        let size_bytes = bytes.len() as u64 + scaling::IP_UDP_BYTES;
        self.counters.sent += 1;
        self.counters.sent_bytes += size_bytes;
        self.nodes[index].bytes_this_second += size_bytes;
        if self.loss > 0.0 && self.rng.random_bool(self.loss) {
            return;
        }
        if let Some(to) = index_of(to).filter(|to| *to < self.nodes.len()) {
            self.push(LATENCY_MS, ScheduledEvent::Datagram { from, to, bytes });
        }
    }

    fn update_peak(&mut self) {
        if self.now_ms < self.second_end_ms {
            return;
        }
        self.second_end_ms = self.now_ms + SECOND_MS;
        for node in &mut self.nodes {
            let bytes = std::mem::take(&mut node.bytes_this_second);
            self.counters.sent_bytes_peak = self.counters.sent_bytes_peak.max(bytes);
        }
    }

    fn new_node(&mut self, index: usize, boot: ids::BootId) -> Node {
        let own_record = record(index, boot);
        let seeds = vec![address(0), address(1)];
        let config = member::Config::default();
        let key = seal::ClusterKey::from_bytes(KEY);
        Node {
            machine: machine::Membership::new(own_record, config, seeds, self.rng.random()),
            sealer: seal::Sealer::new(key.clone(), boot, index as u64),
            opener: seal::Opener::new(key),
            running: true,
            bytes_this_second: 0,
        }
    }

    fn start_ticks(&mut self, node: usize) {
        let boot = self.nodes[node].machine.own_record().boot;
        let delay_ms = self.rng.random_range(0..TICK_MS);
        self.push(delay_ms, ScheduledEvent::Tick { node, boot });
    }

    fn push(&mut self, delay_ms: u64, event: ScheduledEvent) {
        self.sequence += 1;
        self.queue.push(cmp::Reverse((self.now_ms + delay_ms, self.sequence)));
        self.events.insert(self.sequence, event);
    }
}

fn address(index: usize) -> net::SocketAddr {
    let [_, _, high, low] = (index as u32).to_be_bytes();
    net::SocketAddr::from(([10, 0, high, low], PORT))
}

fn index_of(address: net::SocketAddr) -> Option<usize> {
    match address.ip() {
        net::IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            Some(usize::from(u16::from_be_bytes([high, low])))
        }
        net::IpAddr::V6(_) => None,
    }
}

fn record(index: usize, boot: ids::BootId) -> member::Record {
    let text = "the generated names are valid";
    member::Record {
        name: format!("entry-{index:04}").parse().expect(text),
        boot,
        incarnation: ids::Incarnation(0),
        state: member::State::Alive,
        peer_address: address(index),
        caller_address: address(index),
        region: format!("region-{}", index % 2).parse().expect(text),
        failure_domain: format!("region-{}-domain-{}", index % 2, index / 2 % 2)
            .parse()
            .expect(text),
    }
}
