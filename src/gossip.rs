//! The gossip thread, which owns the UDP socket and the membership state machine.
//!
//! Other tasks read the published [`member::View`], subscribe to events, and send commands over a bounded queue.
//! The thread never blocks on them.

mod stats;
mod worker;

pub use stats::Stats;

use crate::ids;
use crate::member;
use crate::member::machine;
use crate::seal;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use tokio::sync::mpsc;

/// The capacity of the thread's command queue.
const COMMANDS_MAX: usize = 1_024;

/// The configuration of the gossip thread.
#[derive(Clone, Debug)]
pub struct Config {
    /// This instance's record: Alive, with its current boot and addresses.
    pub own_record: member::Record,
    /// The periods and limits of the protocol.
    pub protocol: member::Config,
    /// The addresses of the instances to join first.
    pub seeds: Vec<net::SocketAddr>,
    /// The seed of the protocol's random choices.
    pub rng_seed: u64,
    /// A random number that distinguishes this process from others with the same boot.
    pub nonce: u64,
}

/// Why the gossip thread could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The socket's timeouts could not be set, or its local address could not be read.
    #[error("can't set up the gossip socket")]
    Socket(#[source] io::Error),
    /// The thread could not be created.
    #[error("can't start the gossip thread")]
    Thread(#[source] io::Error),
}

/// The thread's command queue is full; the command was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the command queue of the gossip thread is full")]
pub struct CommandQueueFull;

#[derive(Debug)]
enum Command {
    Step(machine::Input),
    SettingsStatus(member::SettingsStatus),
    Subscribe(mpsc::Sender<machine::Event>),
}

#[derive(Debug)]
struct Shared {
    view: arc_swap::ArcSwap<member::View>,
    stats: Stats,
    stop: atomic::AtomicBool,
}

/// A handle to the running thread. Dropping it stops the thread as [`Handle::stop`] does.
#[derive(Debug)]
pub struct Handle {
    shared: sync::Arc<Shared>,
    commands: sync::Mutex<rtrb::Producer<Command>>,
    thread: Option<thread::JoinHandle<()>>,
    local_address: net::SocketAddr,
}

/// Starts the thread on a bound socket.
pub fn start(
    config: Config,
    socket: net::UdpSocket,
    key: seal::ClusterKey,
) -> Result<Handle, StartError> {
    worker::set_timeouts(&socket).map_err(StartError::Socket)?;
    let local_address = socket.local_addr().map_err(StartError::Socket)?;
    let (producer, consumer) = rtrb::RingBuffer::new(COMMANDS_MAX);
    let view = member::View { version: 0, members: vec![config.own_record.clone()] };
    let shared = sync::Arc::new(Shared {
        view: arc_swap::ArcSwap::from_pointee(view),
        stats: Stats::default(),
        stop: atomic::AtomicBool::new(false),
    });
    let worker = worker::Worker::new(config, socket, key, sync::Arc::clone(&shared), consumer);
    let thread = thread::Builder::new()
        .name("gossip".into())
        .spawn(move || worker.run())
        .map_err(StartError::Thread)?;
    let commands = sync::Mutex::new(producer);
    Ok(Handle { shared, commands, thread: Some(thread), local_address })
}

impl Handle {
    /// The members as currently known. Cheap; load a new view for each decision.
    pub fn view(&self) -> sync::Arc<member::View> {
        self.shared.view.load_full()
    }

    /// The local address of the socket.
    pub fn local_address(&self) -> net::SocketAddr {
        self.local_address
    }

    /// The counters of the socket's traffic.
    pub fn stats(&self) -> &Stats {
        &self.shared.stats
    }

    /// Announces that this instance is leaving; it still answers.
    pub fn leave(&self) -> Result<(), CommandQueueFull> {
        self.command(Command::Step(machine::Input::Leave))
    }

    /// Passes the platform's list of instances to the membership state machine.
    pub fn set_listed(
        &self,
        list: Vec<(ids::InstanceName, net::SocketAddr)>,
    ) -> Result<(), CommandQueueFull> {
        self.command(Command::Step(machine::Input::Listed(list)))
    }

    /// Sets the settings status that each message carries.
    pub fn set_settings_status(
        &self,
        status: member::SettingsStatus,
    ) -> Result<(), CommandQueueFull> {
        self.command(Command::SettingsStatus(status))
    }

    /// Sends bytes to a member once, without retransmission. Payloads longer than
    /// [`member::message::DIRECT_MAX_BYTES`] and payloads for an unknown member are dropped.
    pub fn send_direct(
        &self,
        to: ids::InstanceName,
        bytes: Vec<u8>,
    ) -> Result<(), CommandQueueFull> {
        self.command(Command::Step(machine::Input::Direct { to, bytes }))
    }

    /// Sends events to a new channel with `capacity`, at least 1. While it is full, events are dropped and counted.
    pub fn subscribe(
        &self,
        capacity: usize,
    ) -> Result<mpsc::Receiver<machine::Event>, CommandQueueFull> {
        let (sender, receiver) = mpsc::channel(capacity.max(1));
        self.command(Command::Subscribe(sender))?;
        Ok(receiver)
    }

    /// Announces that this instance has left and waits for the thread to end.
    pub fn stop(mut self) {
        self.join();
    }

    fn command(&self, command: Command) -> Result<(), CommandQueueFull> {
        let mut commands = self.commands.lock().unwrap_or_else(sync::PoisonError::into_inner);
        commands.push(command).map_err(|_| CommandQueueFull)
    }

    fn join(&mut self) {
        self.shared.stop.store(true, atomic::Ordering::Release);
        if let Some(thread) = self.thread.take() {
            // The panic hook has already reported a panic of the thread.
            let _ = thread.join();
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.join();
    }
}
