//! The duty of membership: a thread that owns the UDP socket and the state machine.
//!
//! Other duties read the published [`member::View`], subscribe to events, and hand in commands over a bounded
//! ring. Nothing here waits for them.

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

/// How many commands wait for the thread.
const COMMANDS_MAX: usize = 1_024;

/// What the thread starts with.
#[derive(Clone, Debug)]
pub struct Config {
    /// This instance's record: Alive, with its boot and addresses.
    pub me: member::Record,
    /// The protocol's periods and limits.
    pub protocol: member::Config,
    /// Where to ask first.
    pub seeds: Vec<net::SocketAddr>,
    /// Seeds the protocol's random choices.
    pub rng_seed: u64,
    /// Tells this process from others of the same boot; drawn at random.
    pub nonce: u64,
}

/// Why the thread did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The socket does not take its timeouts.
    #[error("the membership socket can't be set up")]
    Socket(#[source] io::Error),
    /// There is no thread.
    #[error("the membership thread can't be started")]
    Thread(#[source] io::Error),
}

/// The thread has too many commands to do; nothing was handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the membership thread's command ring is full")]
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

/// The running thread. Dropping it stops the thread as [`Handle::stop`] does.
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
    let view = member::View { version: 0, members: vec![config.me.clone()] };
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
    /// The members as known now. Cheap; hold it for one decision only.
    pub fn view(&self) -> sync::Arc<member::View> {
        self.shared.view.load_full()
    }

    /// The address of the socket.
    pub fn local_address(&self) -> net::SocketAddr {
        self.local_address
    }

    /// What went over the socket.
    pub fn stats(&self) -> &Stats {
        &self.shared.stats
    }

    /// Says that this instance is leaving; it still answers.
    pub fn leave(&self) -> Result<(), CommandQueueFull> {
        self.command(Command::Step(machine::Input::Leave))
    }

    /// Hands in the platform's list of instances.
    pub fn set_listed(
        &self,
        list: Vec<(ids::InstanceName, net::SocketAddr)>,
    ) -> Result<(), CommandQueueFull> {
        self.command(Command::Step(machine::Input::Listed(list)))
    }

    /// Sets the note that goes along with each message.
    pub fn set_settings_status(
        &self,
        status: member::SettingsStatus,
    ) -> Result<(), CommandQueueFull> {
        self.command(Command::SettingsStatus(status))
    }

    /// Sends bytes to a member once, at most [`member::message::DIRECT_MAX_BYTES`]; they may be lost.
    pub fn send_direct(
        &self,
        to: ids::InstanceName,
        bytes: Vec<u8>,
    ) -> Result<(), CommandQueueFull> {
        self.command(Command::Step(machine::Input::Direct { to, bytes }))
    }

    /// Has events handed to a new channel of `capacity`. Events that find it full are dropped and counted.
    pub fn subscribe(
        &self,
        capacity: usize,
    ) -> Result<mpsc::Receiver<machine::Event>, CommandQueueFull> {
        let (sender, receiver) = mpsc::channel(capacity.max(1));
        self.command(Command::Subscribe(sender))?;
        Ok(receiver)
    }

    /// Says that this instance has left and waits for the thread's end.
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
            // A panic of the thread was reported by the panic hook.
            let _ = thread.join();
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.join();
    }
}
