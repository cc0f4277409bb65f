//! Links between instances. Each instance dials one TCP connection to each peer, for the requests that
//! it sends to that peer.
//!
//! A link on which nothing arrives for [`SILENCE_MAX`] is closed and dialled again, since a device on
//! the path may have lost the state of the connection.

use crate::attempts;
use crate::frame;
use crate::ids;
use crate::locks;
use crate::peer_api;
use crate::peers;
use crate::seal;
use std::net;
use std::sync;
use std::time;

/// How long a side that has nothing to send waits before it sends a heartbeat.
pub const HEARTBEAT_PERIOD: time::Duration = time::Duration::from_millis(500);

/// How long a link may deliver no frame, or a write may block, before the link is closed.
pub const SILENCE_MAX: time::Duration = time::Duration::from_millis(2_000);

/// The timeout for the connection and the handshake together.
pub const DIAL_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// The delay before a peer is dialled again, and after a failed accept.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);
/// The capacity of a link's queue of frames to write.
const QUEUE_FRAMES: usize = 4_096;
/// Queued frames are added to a write until it has at least this size.
const WRITE_BATCH_BYTES: usize = 64 * 1024;
const READ_BUFFER_BYTES: usize = 8 * 1024;
const HELLO_MAX_BYTES: usize = 1_024;

/// The queue of frames to write to a link.
pub type FrameSender = tokio::sync::mpsc::Sender<peer_api::Frame>;

/// The context string with which the key of the links is derived from the cluster key.
const KEY_CONTEXT: &[u8] = b"link";

/// Why nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// There is currently no link to the peer.
    #[error("no link to the peer")]
    NoLink,
    /// The queue of the link is full.
    #[error("link queue full")]
    QueueFull,
}

/// Why a request over a link has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// Nothing was sent.
    #[error("not sent: {0}")]
    NotSent(#[from] SendError),
    /// It was queued on the link; the link broke or the timeout expired before the reply.
    #[error("link closed or timed out before the reply")]
    Lost,
}

/// Handles what is received over links.
pub trait FrameHandler: Send + Sync + 'static {
    /// Handles a frame from a link that the peer has dialled. Replies go to `sender`.
    fn handle_frame(&self, peer: &ids::InstanceName, frame: peer_api::Frame, sender: &FrameSender);
    /// Called when a peer has dialled, to send it the reports of this instance.
    fn link_accepted(&self, peer: &ids::InstanceName, sender: &FrameSender);
    /// Handles reports from a peer that this instance has dialled.
    fn handle_reports(&self, reports: Vec<peer_api::SearcherReport>);
}

struct Pending {
    id: u64,
    sender: tokio::sync::oneshot::Sender<peer_api::Reply>,
}

struct Link {
    peer: ids::InstanceName,
    boot: ids::BootId,
    sender: FrameSender,
    pending: sync::Arc<sync::Mutex<Vec<Pending>>>,
}

struct DialTask {
    peer: ids::InstanceName,
    address: net::SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

/// Counts the bytes transferred over all links.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes of the frames sent, after the handshake.
    pub sent_bytes: sync::atomic::AtomicU64,
    /// Bytes of the frames received, after the handshake, without their length fields.
    pub received_bytes: sync::atomic::AtomicU64,
}

/// The links of this instance.
pub struct Links {
    traffic: Traffic,
    instance: ids::InstanceName,
    boot: ids::BootId,
    key: [u8; seal::KEY_BYTES],
    attempts: sync::Arc<attempts::Attempts>,
    /// The dialled links that are up, sorted by peer.
    up: sync::RwLock<Vec<Link>>,
    dial_tasks: sync::Mutex<Vec<DialTask>>,
    /// The queues of the links that peers have dialled.
    accepted: sync::Mutex<Vec<FrameSender>>,
    next_request: sync::atomic::AtomicU64,
}

impl Links {
    /// Creates the state without any link.
    pub fn new(
        instance: ids::InstanceName,
        boot: ids::BootId,
        key: &seal::ClusterKey,
        attempts: sync::Arc<attempts::Attempts>,
    ) -> Self {
        Self {
            instance,
            boot,
            key: key.derive(KEY_CONTEXT),
            attempts,
            traffic: Traffic::default(),
            up: sync::RwLock::default(),
            dial_tasks: sync::Mutex::default(),
            accepted: sync::Mutex::default(),
            next_request: sync::atomic::AtomicU64::new(1),
        }
    }

    /// Queues a frame for a peer.
    ///
    /// # Errors
    ///
    /// When there is no link to the peer or its queue is full. Nothing was sent.
    pub fn send(&self, peer: &ids::InstanceName, frame: peer_api::Frame) -> Result<(), SendError> {
        let up = locks::read(&self.up);
        let Some(link) = find(&up, peer) else {
            return Err(SendError::NoLink);
        };
        link.sender.try_send(frame).map_err(|_| SendError::QueueFull)
    }

    /// Sends a request to a peer and waits for its reply, for `timeout` at most.
    ///
    /// # Errors
    ///
    /// [`RequestError`] tells whether the peer may have received the request.
    pub async fn request(
        &self,
        peer: &ids::InstanceName,
        request: peer_api::Request,
        timeout: time::Duration,
    ) -> Result<peer_api::Reply, RequestError> {
        let id = self.next_request.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let pending = {
            let up = locks::read(&self.up);
            let Some(link) = find(&up, peer) else {
                return Err(RequestError::NotSent(SendError::NoLink));
            };
            locks::lock(&link.pending).push(Pending { id, sender });
            if link.sender.try_send(peer_api::Frame::Request { id, request }).is_err() {
                remove_pending(&link.pending, id);
                return Err(RequestError::NotSent(SendError::QueueFull));
            }
            sync::Arc::downgrade(&link.pending)
        };
        match tokio::time::timeout(timeout, receiver).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => Err(RequestError::Lost),
            Err(_) => {
                if let Some(pending) = pending.upgrade() {
                    remove_pending(&pending, id);
                }
                Err(RequestError::Lost)
            }
        }
    }

    /// The boot of the peer that the link to it reaches; `None` without a link.
    pub fn peer_boot(&self, peer: &ids::InstanceName) -> Option<ids::BootId> {
        let up = locks::read(&self.up);
        find(&up, peer).map(|link| link.boot)
    }

    /// The bytes transferred over all links.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// The number of dialled links that are up.
    pub fn up_count(&self) -> usize {
        locks::read(&self.up).len()
    }

    /// Queues a frame for each instance that has dialled this one. Links whose queue is full are
    /// skipped.
    pub fn broadcast(&self, frame: &peer_api::Frame) {
        let mut accepted = locks::lock(&self.accepted);
        accepted.retain(|sender| !sender.is_closed());
        for sender in accepted.iter() {
            if sender.try_send(frame.clone()).is_err() {
                tracing::debug!(
                    "queue of an accepted link is full, report dropped; the peer gets the next change"
                );
            }
        }
    }

    /// Starts to dial each new peer of the view, and closes the links to those that left it or have
    /// changed their address.
    pub fn update(
        self: &sync::Arc<Self>,
        view: &peers::Peers,
        handler: &sync::Arc<impl FrameHandler>,
    ) {
        let mut dial_tasks = locks::lock(&self.dial_tasks);
        dial_tasks.retain(|dialled| {
            let unchanged =
                view.find(&dialled.peer).is_some_and(|peer| peer.peer_address == dialled.address);
            if !unchanged {
                dialled.task.abort();
                self.remove(&dialled.peer);
            }
            unchanged
        });
        for peer in view.all() {
            if peer.instance == self.instance
                || dial_tasks.iter().any(|dialled| dialled.peer == peer.instance)
            {
                continue;
            }
            let links = self.clone();
            let handler = handler.clone();
            let instance = peer.instance.clone();
            let address = peer.peer_address;
            let task = tokio::spawn(async move {
                links.keep_connected(instance, address, handler).await;
            });
            dial_tasks.push(DialTask { peer: peer.instance.clone(), address, task });
        }
    }

    /// Accepts and serves the links that peers dial. Never returns.
    pub async fn accept(
        self: sync::Arc<Self>,
        listener: tokio::net::TcpListener,
        handler: sync::Arc<impl FrameHandler>,
    ) {
        loop {
            let (stream, _) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    tracing::debug!(%error, "failed to accept a link");
                    tokio::time::sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            let links = self.clone();
            let handler = handler.clone();
            tokio::spawn(async move {
                if let Err(error) = links.serve_link(stream, handler).await {
                    tracing::debug!(%error, "accepted link ended");
                }
            });
        }
    }

    /// Dials a peer again whenever its link has ended. Never returns.
    async fn keep_connected(
        self: sync::Arc<Self>,
        peer: ids::InstanceName,
        address: net::SocketAddr,
        handler: sync::Arc<impl FrameHandler>,
    ) {
        loop {
            if let Err(error) = self.dial(&peer, address, &handler).await {
                tracing::debug!(%peer, %error, "link ended or could not be opened");
            }
            self.remove(&peer);
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Connects to a peer and serves the link until it ends.
    async fn dial(
        &self,
        peer: &ids::InstanceName,
        address: net::SocketAddr,
        handler: &sync::Arc<impl FrameHandler>,
    ) -> Result<(), frame::FrameError> {
        let dialled = tokio::time::timeout(DIAL_TIMEOUT, async {
            let mut stream = tokio::net::TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let session = self.handshake(&mut stream, frame::Side::Dialer).await?;
            Ok::<_, frame::FrameError>((stream, session))
        });
        let (stream, session) = dialled.await.map_err(|_| timed_out())??;
        if session.peer.instance != *peer {
            return Err(frame::FrameError::NotAuthentic);
        }
        let (sender, receiver) = tokio::sync::mpsc::channel(QUEUE_FRAMES);
        let pending: sync::Arc<sync::Mutex<Vec<Pending>>> = sync::Arc::default();
        let link =
            Link { peer: peer.clone(), boot: session.peer.boot, sender, pending: pending.clone() };
        self.add(link);
        let (reader, writer) = stream.into_split();
        let mut session = session;
        let writing = write_frames(writer, session.outgoing, receiver, &self.traffic);
        let reading =
            read_frames(reader, &mut session.incoming, &self.traffic, |frame| match frame {
                peer_api::Frame::Shard(reply) => {
                    self.attempts.resolve(reply);
                }
                peer_api::Frame::Reports(reports) => handler.handle_reports(reports),
                peer_api::Frame::Reply { id, reply } => complete_pending(&pending, id, reply),
                _ => {}
            });
        tokio::select! {
            ended = reading => ended,
            ended = writing => ended,
        }
    }

    /// Serves a link that a peer has dialled until it ends.
    async fn serve_link(
        &self,
        mut stream: tokio::net::TcpStream,
        handler: sync::Arc<impl FrameHandler>,
    ) -> Result<(), frame::FrameError> {
        stream.set_nodelay(true)?;
        let handshake = self.handshake(&mut stream, frame::Side::Acceptor);
        let mut session =
            tokio::time::timeout(DIAL_TIMEOUT, handshake).await.map_err(|_| timed_out())??;
        let peer = session.peer.instance.clone();
        let (sender, receiver) = tokio::sync::mpsc::channel(QUEUE_FRAMES);
        locks::lock(&self.accepted).push(sender.clone());
        handler.link_accepted(&peer, &sender);
        let (reader, writer) = stream.into_split();
        let writing = write_frames(writer, session.outgoing, receiver, &self.traffic);
        let reading = read_frames(reader, &mut session.incoming, &self.traffic, |frame| {
            handler.handle_frame(&peer, frame, &sender);
        });
        let ended = tokio::select! {
            ended = reading => ended,
            ended = writing => ended,
        };
        locks::lock(&self.accepted).retain(|accepted| !accepted.same_channel(&sender));
        ended
    }

    /// Exchanges hellos. Both are authenticated with a key derived from the cluster key, and all later
    /// frames with a session key that is derived from that key and both nonces.
    async fn handshake(
        &self,
        stream: &mut tokio::net::TcpStream,
        side: frame::Side,
    ) -> Result<Session, frame::FrameError> {
        let hello = peer_api::Hello {
            instance: self.instance.clone(),
            boot: self.boot,
            nonce: rand::random(),
        };
        let peer_side = match side {
            frame::Side::Dialer => frame::Side::Acceptor,
            frame::Side::Acceptor => frame::Side::Dialer,
        };
        let mut buffer = Vec::new();
        frame::Codec::new(self.key, side).encode(&hello, &mut buffer)?;
        frame::write(stream, &buffer).await?;
        let payload = frame::read(stream, HELLO_MAX_BYTES).await?;
        let peer: peer_api::Hello = frame::Codec::new(self.key, peer_side).decode(&payload)?;
        let (dialer, acceptor) = match side {
            frame::Side::Dialer => (&hello.nonce, &peer.nonce),
            frame::Side::Acceptor => (&peer.nonce, &hello.nonce),
        };
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(dialer);
        hasher.update(acceptor);
        let session_key = *hasher.finalize().as_bytes();
        Ok(Session {
            peer,
            outgoing: frame::Codec::new(session_key, side),
            incoming: frame::Codec::new(session_key, peer_side),
        })
    }

    /// Adds a link that is up, and replaces an older one to the same peer.
    fn add(&self, link: Link) {
        let mut up = locks::write(&self.up);
        match up.binary_search_by(|existing| existing.peer.cmp(&link.peer)) {
            Ok(index) => {
                if let Some(existing) = up.get_mut(index) {
                    *existing = link;
                }
            }
            Err(index) => up.insert(index, link),
        }
    }

    /// Removes the link to a peer and fails the attempts that wait for it.
    fn remove(&self, peer: &ids::InstanceName) {
        locks::write(&self.up).retain(|link| link.peer != *peer);
        self.attempts.fail_owner(peer);
    }
}

/// The result of a handshake.
struct Session {
    peer: peer_api::Hello,
    outgoing: frame::Codec,
    incoming: frame::Codec,
}

fn timed_out() -> frame::FrameError {
    frame::FrameError::Stream(std::io::ErrorKind::TimedOut.into())
}

fn complete_pending(pending: &sync::Mutex<Vec<Pending>>, id: u64, reply: peer_api::Reply) {
    let mut pending = locks::lock(pending);
    let Some(index) = pending.iter().position(|waiting| waiting.id == id) else {
        return;
    };
    let waiting = pending.swap_remove(index);
    if waiting.sender.send(reply).is_err() {
        tracing::trace!("reply dropped, its request was cancelled");
    }
}

fn remove_pending(pending: &sync::Mutex<Vec<Pending>>, id: u64) {
    locks::lock(pending).retain(|waiting| waiting.id != id);
}

/// Writes queued frames in batches, and a heartbeat whenever the queue stays empty.
async fn write_frames(
    mut stream: tokio::net::tcp::OwnedWriteHalf,
    mut codec: frame::Codec,
    mut receiver: tokio::sync::mpsc::Receiver<peer_api::Frame>,
    traffic: &Traffic,
) -> Result<(), frame::FrameError> {
    let mut buffer = Vec::new();
    loop {
        let next = tokio::time::timeout(HEARTBEAT_PERIOD, receiver.recv()).await;
        let first = match next {
            Err(_) => peer_api::Frame::Heartbeat,
            Ok(Some(frame)) => frame,
            Ok(None) => return Ok(()),
        };
        buffer.clear();
        codec.encode(&first, &mut buffer)?;
        while buffer.len() < WRITE_BATCH_BYTES {
            let Ok(frame) = receiver.try_recv() else {
                break;
            };
            codec.encode(&frame, &mut buffer)?;
        }
        let written = tokio::time::timeout(SILENCE_MAX, frame::write(&mut stream, &buffer)).await;
        written.map_err(|_| timed_out())??;
        traffic.sent_bytes.fetch_add(buffer.len() as u64, sync::atomic::Ordering::Relaxed);
    }
}

/// Reads frames and passes each to `handle`, until the stream ends.
async fn read_frames(
    stream: tokio::net::tcp::OwnedReadHalf,
    codec: &mut frame::Codec,
    traffic: &Traffic,
    mut handle: impl FnMut(peer_api::Frame),
) -> Result<(), frame::FrameError> {
    let mut stream = tokio::io::BufReader::with_capacity(READ_BUFFER_BYTES, stream);
    loop {
        let reading = frame::read(&mut stream, frame::FRAME_MAX_BYTES);
        let payload =
            tokio::time::timeout(SILENCE_MAX, reading).await.map_err(|_| timed_out())??;
        traffic.received_bytes.fetch_add(payload.len() as u64, sync::atomic::Ordering::Relaxed);
        handle(codec.decode(&payload)?);
    }
}

fn find<'a>(links: &'a [Link], peer: &ids::InstanceName) -> Option<&'a Link> {
    let index = links.binary_search_by(|link| link.peer.cmp(peer)).ok()?;
    links.get(index)
}
