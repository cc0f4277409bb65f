//! A simulated network between state machines, with a seeded random generator, latency, loss and cut links.

#![allow(dead_code)]

use rand::rngs;
use rand::{RngExt, SeedableRng};
use std::cmp;
use std::collections;
use std::net;
use tarragondoor::member::{machine, message};
use tarragondoor::{ids, member};

const TICK_MS: u64 = 50;
/// More events in the queue than this mean that messages multiply without end.
const MESSAGES_IN_FLIGHT_MAX: usize = 1_000_000;
const LATENCY_NEAR_MS: u64 = 1;
const LATENCY_FAR_MS: u64 = 20;
pub const REGIONS: [&str; 2] = ["north", "south"];

#[derive(Debug)]
enum ScheduledEvent {
    Tick { node: usize, generation: u64 },
    Message { from: net::SocketAddr, to: net::SocketAddr, message: Box<message::Message> },
}

#[derive(Debug)]
pub struct Node {
    pub machine: machine::Membership,
    pub address: net::SocketAddr,
    pub running: bool,
    pub paused: bool,
    /// Drops all messages to this node.
    pub drops_incoming: bool,
    /// Drops all messages from this node.
    pub drops_outgoing: bool,
    generation: u64,
    inbox: Vec<(net::SocketAddr, message::Message)>,
    pub events: Vec<(u64, machine::Event)>,
}

pub struct Net {
    pub now_ms: u64,
    pub nodes: Vec<Node>,
    /// Sorted by address.
    addresses: Vec<(net::SocketAddr, usize)>,
    queue: collections::BinaryHeap<cmp::Reverse<(u64, u64)>>,
    events_by_sequence: collections::BTreeMap<u64, ScheduledEvent>,
    sequence: u64,
    rng: rngs::SmallRng,
    /// The fraction of messages that are lost, from 0 to 1.
    pub loss: f64,
    /// Drops all messages between the two regions.
    pub partitioned: bool,
    /// Links, as (from, to), that drop all messages in this direction.
    pub cut: Vec<(usize, usize)>,
    pub config: member::Config,
    pub sent: u64,
    /// A line of text for each message that is sent, if tracing is on.
    pub trace: Option<Vec<String>>,
    /// Each message that is sent to a node, with the sender's address and the receiver, if recording is on.
    pub recorded: Option<Vec<(net::SocketAddr, usize, message::Message)>>,
}

pub fn address(number: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250 + 1) as u8], 7_000))
}

pub fn name(index: usize) -> ids::InstanceName {
    format!("entry-{index:03}").parse().unwrap()
}

pub fn record(index: usize, address: net::SocketAddr, boot: u64) -> member::Record {
    let region = REGIONS[index % 2];
    member::Record {
        name: name(index),
        boot: ids::BootId(boot),
        incarnation: ids::Incarnation(0),
        state: member::State::Alive,
        peer_address: address,
        caller_address: net::SocketAddr::new(address.ip(), 8_000),
        region: region.parse().unwrap(),
        failure_domain: format!("{region}-a").parse().unwrap(),
    }
}

impl Net {
    /// Creates `count` nodes with the first two as their seeds.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut net = Self {
            now_ms: 0,
            nodes: Vec::new(),
            addresses: Vec::new(),
            queue: collections::BinaryHeap::new(),
            events_by_sequence: collections::BTreeMap::new(),
            sequence: 0,
            rng: rngs::SmallRng::seed_from_u64(seed),
            loss: 0.0,
            partitioned: false,
            cut: Vec::new(),
            config: member::Config::default(),
            sent: 0,
            trace: None,
            recorded: None,
        };
        for _ in 0..count {
            net.add();
        }
        net
    }

    /// Creates `count` nodes and runs them until all views have converged.
    pub fn settled(count: usize, seed: u64) -> Self {
        let mut net = Self::new(count, seed);
        let settled = net.run_until(120_000, Net::agrees);
        assert!(settled.is_some(), "{count} nodes did not find each other");
        net.run(2_000);
        net
    }

    pub fn add(&mut self) -> usize {
        let index = self.nodes.len();
        let address = address(index);
        let machine = self.new_machine(index, address, 1);
        self.nodes.push(Node {
            machine,
            address,
            running: true,
            paused: false,
            drops_incoming: false,
            drops_outgoing: false,
            generation: 0,
            inbox: Vec::new(),
            events: Vec::new(),
        });
        self.start(index, address);
        index
    }

    fn new_machine(
        &mut self,
        index: usize,
        address: net::SocketAddr,
        boot: u64,
    ) -> machine::Membership {
        let seeds = vec![self::address(0), self::address(1)];
        let own_record = record(index, address, boot);
        machine::Membership::new(own_record, self.config.clone(), seeds, self.rng.random())
    }

    fn start(&mut self, node: usize, address: net::SocketAddr) {
        self.addresses.retain(|(old, index)| *old != address && *index != node);
        self.addresses.push((address, node));
        self.addresses.sort();
        let generation = self.nodes[node].generation;
        let delay_ms = self.rng.random_range(0..TICK_MS);
        self.push(delay_ms, ScheduledEvent::Tick { node, generation });
    }

    /// Restarts the node's process with a newer boot.
    pub fn restart(&mut self, index: usize, address: net::SocketAddr) {
        let boot = self.nodes[index].machine.own_record().boot.0 + 1;
        let machine = self.new_machine(index, address, boot);
        let node = &mut self.nodes[index];
        node.machine = machine;
        node.address = address;
        node.running = true;
        node.paused = false;
        node.generation += 1;
        node.inbox.clear();
        self.start(index, address);
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].running = false;
        self.nodes[index].generation += 1;
    }

    pub fn pause(&mut self, index: usize) {
        self.nodes[index].paused = true;
    }

    pub fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
        self.step(index, machine::Input::Tick);
        for (from, message) in std::mem::take(&mut self.nodes[index].inbox) {
            self.step(index, machine::Input::Datagram { from, message });
        }
    }

    pub fn step(&mut self, index: usize, input: machine::Input) {
        let now_ms = self.now_ms;
        for output in self.nodes[index].machine.step(now_ms, input) {
            match output {
                machine::Output::Send(to, message) => self.send(index, to, message),
                machine::Output::Event(event) => self.nodes[index].events.push((now_ms, event)),
            }
        }
    }

    fn send(&mut self, index: usize, to: net::SocketAddr, message: message::Message) {
        self.sent += 1;
        if let Some(trace) = &mut self.trace {
            trace.push(describe(self.now_ms, &message, to));
        }
        let Some(target) = self.node_at(to) else {
            return;
        };
        if let Some(recorded) = &mut self.recorded {
            recorded.push((self.nodes[index].address, target, message.clone()));
        }
        let far = target % 2 != index % 2;
        let lost = self.loss > 0.0 && self.rng.random_bool(self.loss);
        if lost
            || self.nodes[index].drops_outgoing
            || self.nodes[target].drops_incoming
            || far && self.partitioned
        {
            return;
        }
        if self.cut.contains(&(index, target)) {
            return;
        }
        let latency_ms = if far { LATENCY_FAR_MS } else { LATENCY_NEAR_MS };
        let jitter_ms = self.rng.random_range(0..=latency_ms / 4);
        let from = self.nodes[index].address;
        let message = Box::new(message);
        self.push(latency_ms + jitter_ms, ScheduledEvent::Message { from, to, message });
    }

    /// Delivers a message to node `to` after 1 ms as if `from` had sent it.
    pub fn inject(&mut self, from: net::SocketAddr, to: usize, message: message::Message) {
        let to = self.nodes[to].address;
        self.push(1, ScheduledEvent::Message { from, to, message: Box::new(message) });
    }

    fn node_at(&self, address: net::SocketAddr) -> Option<usize> {
        let index = self.addresses.binary_search_by(|(other, _)| other.cmp(&address)).ok()?;
        Some(self.addresses[index].1)
    }

    fn push(&mut self, delay_ms: u64, event: ScheduledEvent) {
        assert!(
            self.queue.len() < MESSAGES_IN_FLIGHT_MAX,
            "more than {MESSAGES_IN_FLIGHT_MAX} messages in flight"
        );
        self.sequence += 1;
        self.queue.push(cmp::Reverse((self.now_ms + delay_ms, self.sequence)));
        self.events_by_sequence.insert(self.sequence, event);
    }

    pub fn run(&mut self, duration_ms: u64) {
        self.run_until(duration_ms, |_| false);
    }

    /// Runs until `holds`, which is checked every tick. Returns how long that took; `None` after `limit_ms`.
    pub fn run_until(&mut self, limit_ms: u64, holds: impl Fn(&Net) -> bool) -> Option<u64> {
        let start_ms = self.now_ms;
        let end_ms = start_ms + limit_ms;
        let mut check_ms = start_ms;
        while let Some(cmp::Reverse((due_ms, sequence))) = self.queue.peek().copied() {
            if due_ms >= check_ms {
                self.now_ms = check_ms;
                if holds(self) {
                    return Some(self.now_ms - start_ms);
                }
                if check_ms == end_ms {
                    return None;
                }
                check_ms = (check_ms + TICK_MS).min(end_ms);
                continue;
            }
            self.queue.pop();
            self.now_ms = due_ms;
            if let Some(event) = self.events_by_sequence.remove(&sequence) {
                self.handle(event);
            }
        }
        None
    }

    fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Tick { node, generation } => {
                if self.nodes[node].generation != generation {
                    return;
                }
                if !self.nodes[node].paused {
                    self.step(node, machine::Input::Tick);
                }
                self.push(TICK_MS, ScheduledEvent::Tick { node, generation });
            }
            ScheduledEvent::Message { from, to, message } => {
                let Some(target) = self.node_at(to) else {
                    return;
                };
                let node = &mut self.nodes[target];
                if !node.running {
                    return;
                }
                if node.paused {
                    node.inbox.push((from, *message));
                    return;
                }
                self.step(target, machine::Input::Datagram { from, message: *message });
            }
        }
    }

    pub fn state(&self, at: usize, of: usize) -> Option<member::State> {
        self.nodes[at].machine.find(&name(of)).map(|record| record.state)
    }

    pub fn is_up(&self, index: usize) -> bool {
        self.nodes[index].running && !self.nodes[index].paused
    }

    /// Whether every node that is up has the current record of each node that is up and Alive, and regards no
    /// other node as live.
    pub fn agrees(&self) -> bool {
        (0..self.nodes.len()).filter(|at| self.is_up(*at)).all(|at| self.agrees_at(at))
    }

    pub fn agrees_at(&self, at: usize) -> bool {
        for of in 0..self.nodes.len() {
            let record = self.nodes[at].machine.find(&name(of));
            let live = record.is_some_and(|record| record.state.is_live());
            let exact = record == Some(self.nodes[of].machine.own_record());
            let expected_live =
                self.is_up(of) && self.nodes[of].machine.own_record().state == member::State::Alive;
            if expected_live && !exact || !expected_live && live {
                return false;
            }
        }
        true
    }

    /// Whether all other nodes that are up have `of` in the given state.
    pub fn all_hold(&self, of: usize, state: member::State) -> bool {
        (0..self.nodes.len())
            .filter(|at| self.is_up(*at) && *at != of)
            .all(|at| self.state(at, of) == Some(state))
    }

    /// How often any node changed a member's record to `state` since `since_ms`.
    pub fn declared(&self, state: member::State, since_ms: u64) -> usize {
        let mut count = 0;
        for node in &self.nodes {
            for (at_ms, event) in &node.events {
                let changed =
                    matches!(event, machine::Event::Changed(record) if record.state == state);
                count += usize::from(changed && *at_ms >= since_ms);
            }
        }
        count
    }
}

pub fn describe(now_ms: u64, message: &message::Message, to: net::SocketAddr) -> String {
    let mut line = format!("{now_ms:>6} {} -> {to} {:?}", message.from, message.kind);
    for record in &message.updates {
        line +=
            &format!(" [{} {}.{} {}]", record.name, record.boot, record.incarnation, record.state);
    }
    line
}
