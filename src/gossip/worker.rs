//! The loop of the gossip thread.

use crate::event;
use crate::events;
use crate::gossip;
use crate::gossip::stats;
use crate::member;
use crate::member::{machine, message};
use crate::seal;
use std::collections;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::sync::mpsc;

/// How long one loop iteration waits for a datagram.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(20);
/// How long sending one datagram may wait for space in the socket's buffer.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_millis(1);
/// The time between two ticks of the state machine.
const TICK_MS: u64 = 50;
/// The capacity of the queue of datagrams to send.
const QUEUE_MAX: usize = 4_096;
/// The maximum number of datagrams sent in one loop iteration, before the next one is received.
const SEND_BURST: usize = 64;
/// The size of the receive buffer. Longer datagrams are truncated and then rejected.
const READ_BYTES: usize = 2_048;

/// The state of the gossip thread.
pub(super) struct Worker {
    membership: machine::Membership,
    socket: net::UdpSocket,
    sealer: seal::Sealer,
    opener: seal::Opener,
    shared: sync::Arc<gossip::Shared>,
    commands: rtrb::Consumer<gossip::Command>,
    subscribers: Vec<mpsc::Sender<machine::Event>>,
    queue: collections::VecDeque<(net::SocketAddr, Vec<u8>)>,
    start: time::Instant,
    next_tick_ms: u64,
    view_stale: bool,
}

/// Limits how long receive and send calls on the socket block.
pub(super) fn set_timeouts(socket: &net::UdpSocket) -> io::Result<()> {
    socket.set_read_timeout(Some(READ_TIMEOUT))?;
    socket.set_write_timeout(Some(WRITE_TIMEOUT))
}

impl Worker {
    pub(super) fn new(
        config: gossip::Config,
        socket: net::UdpSocket,
        key: seal::ClusterKey,
        shared: sync::Arc<gossip::Shared>,
        commands: rtrb::Consumer<gossip::Command>,
    ) -> Self {
        let boot = config.own_record.boot;
        let name_hash = xxhash_rust::xxh3::xxh3_64(config.own_record.name.as_str().as_bytes());
        Self {
            sealer: seal::Sealer::new(key.clone(), boot, config.nonce ^ name_hash),
            opener: seal::Opener::new(key),
            membership: machine::Membership::new(
                config.own_record,
                config.protocol,
                config.seeds,
                config.rng_seed,
            ),
            socket,
            shared,
            commands,
            subscribers: Vec::new(),
            queue: collections::VecDeque::new(),
            start: time::Instant::now(),
            next_tick_ms: 0,
            view_stale: true,
        }
    }

    /// Runs until the stop flag is set.
    pub(super) fn run(mut self) {
        event!(info, events::Event::GossipStarted, instance = %self.membership.own_record().name);
        while !self.shared.stop.load(atomic::Ordering::Acquire) {
            self.handle_commands();
            self.tick();
            self.receive_datagram();
            self.publish_view();
            self.send_queued(SEND_BURST);
        }
        self.handle_commands();
        self.step(machine::Input::Depart);
        self.publish_view();
        self.send_queued(QUEUE_MAX);
        event!(info, events::Event::GossipStopped, instance = %self.membership.own_record().name);
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn handle_commands(&mut self) {
        while let Ok(command) = self.commands.pop() {
            match command {
                gossip::Command::Step(input) => self.step(input),
                gossip::Command::SettingsStatus(status) => {
                    self.membership.set_settings_status(status)
                }
                gossip::Command::Subscribe(sender) => self.subscribers.push(sender),
            }
        }
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms();
        if now_ms >= self.next_tick_ms {
            self.next_tick_ms = now_ms + TICK_MS;
            self.step(machine::Input::Tick);
        }
    }

    fn receive_datagram(&mut self) {
        let mut buffer = [0; READ_BYTES];
        let Ok((length, from)) = self.socket.recv_from(&mut buffer) else {
            return;
        };
        let stats = &self.shared.stats;
        stats::add(&stats.received, 1);
        stats::add(&stats.received_bytes, length);
        let opened = match self.opener.open(&buffer[..length], unix_ms()) {
            Ok(opened) => opened,
            Err(reason) => {
                stats.record_rejected(reason);
                event!(debug, events::Event::DatagramDropped, %from, %reason);
                return;
            }
        };
        match message::Message::decode(opened.body) {
            Ok(message) if message.boot == opened.boot => {
                self.step(machine::Input::Datagram { from, message });
            }
            Ok(_) | Err(message::DecodeError) => {
                stats::add(&stats.malformed, 1);
                event!(debug, events::Event::DatagramDropped, %from, reason = "malformed");
            }
        }
    }

    fn step(&mut self, input: machine::Input) {
        let now_ms = self.now_ms();
        for output in self.membership.step(now_ms, input) {
            match output {
                machine::Output::Send(to, message) => self.enqueue(to, &message),
                machine::Output::Event(event) => self.publish_event(event),
            }
        }
    }

    fn enqueue(&mut self, to: net::SocketAddr, message: &message::Message) {
        let body = message.encode();
        if body.len() > message::MESSAGE_MAX_BYTES || self.queue.len() >= QUEUE_MAX {
            stats::add(&self.shared.stats.unsent, 1);
            return;
        }
        let datagram = self.sealer.seal(&body, unix_ms());
        self.queue.push_back((to, datagram));
    }

    fn send_queued(&mut self, count: usize) {
        for _ in 0..count {
            let Some((to, datagram)) = self.queue.front() else {
                return;
            };
            let stats = &self.shared.stats;
            match self.socket.send_to(datagram, to) {
                Ok(length) => {
                    stats::add(&stats.sent, 1);
                    stats::add(&stats.sent_bytes, length);
                }
                Err(error) if would_block(&error) => return,
                Err(_) => stats::add(&stats.unsent, 1),
            }
            self.queue.pop_front();
        }
    }

    fn publish_event(&mut self, event: machine::Event) {
        self.view_stale |=
            matches!(event, machine::Event::Changed(_) | machine::Event::Forgotten(_));
        log(&event);
        let stats = &self.shared.stats;
        self.subscribers.retain(|subscriber| match subscriber.try_send(event.clone()) {
            Ok(()) => true,
            Err(mpsc::error::TrySendError::Full(_)) => {
                stats::add(&stats.events_dropped, 1);
                true
            }
            Err(mpsc::error::TrySendError::Closed(_)) => false,
        });
    }

    fn publish_view(&mut self) {
        if !self.view_stale {
            return;
        }
        self.view_stale = false;
        let version = self.shared.view.load().version + 1;
        let view = member::View { version, members: self.membership.records() };
        self.shared.view.store(sync::Arc::new(view));
    }
}

fn log(event: &machine::Event) {
    match event {
        machine::Event::Changed(record) => {
            let (name, boot, state) = (&record.name, record.boot, record.state);
            event!(info, events::Event::MemberChanged, member = %name, %boot, %state);
        }
        machine::Event::Forgotten(name) => {
            event!(info, events::Event::MemberForgotten, member = %name);
        }
        machine::Event::Superseded(boot) => {
            event!(error, events::Event::InstanceSuperseded, %boot);
        }
        machine::Event::Paused { gap_ms } => event!(warn, events::Event::ProcessPaused, gap_ms),
        machine::Event::SettingsStatus { .. } | machine::Event::Direct { .. } => {}
    }
}

fn would_block(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

fn unix_ms() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |duration| duration.as_millis() as u64)
}
