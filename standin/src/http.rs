//! A small HTTP/1.1 server that can inject faults at the level of a connection.
//!
//! With `volo-http` a handler can neither close its connection without an answer nor limit the
//! number of connections, so the stand-ins use `hyper`, on which `volo-http` is built.

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body;
use hyper::header;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use serde::{Serialize, de};
use std::future;
use std::io;
use std::net;
use std::sync::Arc;
use std::sync::atomic;
use std::time;
use tokio::task;

/// The largest accepted request body, in bytes.
pub const BODY_MAX_BYTES: usize = 4 << 20;

/// How long a connection above the limit may stay open before it is closed.
const EXCESS_CONNECTION_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// The prefix of the paths specific to the stand-ins; faults do not affect them.
pub const CONTROL_PREFIX: &str = "/standin/";

/// A request whose body has been received completely.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: hyper::Method,
    /// The path.
    pub path: String,
    /// The query string; empty if there is none.
    pub query: String,
    /// The body.
    pub body: Bytes,
    /// Whether the connection is above the limit.
    pub excess: bool,
}

impl Call {
    /// Whether the path is specific to the stand-ins.
    pub fn is_control(&self) -> bool {
        self.path.starts_with(CONTROL_PREFIX)
    }

    /// The body as JSON.
    pub fn json<T: de::DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }

    /// The query string's parameters.
    pub fn params<T: de::DeserializeOwned>(&self) -> Result<T, serde_urlencoded::de::Error> {
        serde_urlencoded::from_str(&self.query)
    }
}

/// The application's response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// An answer with a JSON body or an empty one.
    Reply {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// The connection is closed without an answer.
    CloseConnection,
}

impl Answer {
    /// An answer with `value` as its JSON body; status 500 if it can't be serialized.
    pub fn json(status: u16, value: &impl Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Answer::Reply { status, body },
            Err(_) => Answer::empty(500),
        }
    }

    /// An answer without a body.
    pub fn empty(status: u16) -> Self {
        Answer::Reply { status, body: Vec::new() }
    }
}

/// The application that answers the calls of a [`Server`].
pub trait App: Send + Sync + 'static {
    /// Answers one call.
    fn call(self: Arc<Self>, call: Call) -> impl Future<Output = Answer> + Send;
}

/// The limits of a [`Server`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum number of open connections; calls on further ones have [`Call::excess`] set.
    pub connections: usize,
    /// How long a new connection waits before its requests are processed.
    pub open_delay: time::Duration,
}

#[derive(Debug, Default)]
struct Shared {
    opened: atomic::AtomicU64,
    /// Connections with a lower id are silent.
    silent_before_id: atomic::AtomicU64,
    open: atomic::AtomicUsize,
    open_peak: atomic::AtomicUsize,
    excess: atomic::AtomicU64,
}

/// A listener and its connections. Dropping it closes them all.
#[derive(Debug)]
pub struct Server {
    address: net::SocketAddr,
    shared: Arc<Shared>,
    task: task::JoinHandle<()>,
}

impl Server {
    /// Listens on `address`; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// When the listener can't be opened.
    pub async fn start(
        address: net::SocketAddr,
        limits: Limits,
        app: Arc<impl App>,
    ) -> io::Result<Self> {
        let listener = tokio::net::TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let task = tokio::spawn(accept(listener, limits, shared.clone(), app));
        Ok(Self { address, shared, task })
    }

    /// The address that it listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Stops answering on all connections that are open now, permanently; new ones are answered.
    pub fn silence(&self) {
        let opened = self.shared.opened.load(atomic::Ordering::SeqCst);
        self.shared.silent_before_id.store(opened, atomic::Ordering::SeqCst);
    }

    /// How many connections are open, not counting those above the limit.
    pub fn open_connections(&self) -> usize {
        self.shared.open.load(atomic::Ordering::SeqCst)
    }

    /// The largest number of connections open at a time, not counting those above the limit.
    pub fn open_connections_peak(&self) -> usize {
        self.shared.open_peak.load(atomic::Ordering::SeqCst)
    }

    /// How many connections have been opened so far.
    pub fn opened_connections(&self) -> u64 {
        self.shared.opened.load(atomic::Ordering::SeqCst)
    }

    /// How many of them were above the limit.
    pub fn excess_connections(&self) -> u64 {
        self.shared.excess.load(atomic::Ordering::SeqCst)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Counts a connection as open until it is dropped.
struct ConnectionGuard(Arc<Shared>);

impl ConnectionGuard {
    /// Counts a new connection; `None` if `limit` connections are already open.
    fn acquire(shared: &Arc<Shared>, limit: usize) -> Option<Self> {
        let before = shared.open.fetch_add(1, atomic::Ordering::SeqCst);
        let guard = Self(shared.clone());
        if before >= limit {
            shared.excess.fetch_add(1, atomic::Ordering::SeqCst);
            return None;
        }
        shared.open_peak.fetch_max(before + 1, atomic::Ordering::SeqCst);
        Some(guard)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

async fn accept(
    listener: tokio::net::TcpListener,
    limits: Limits,
    shared: Arc<Shared>,
    app: Arc<impl App>,
) {
    // Aborting this task drops the set, which closes all connections.
    let mut connections = task::JoinSet::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => continue,
            },
            Some(_) = connections.join_next() => continue,
        };
        let _ = stream.set_nodelay(true);
        let id = shared.opened.fetch_add(1, atomic::Ordering::SeqCst);
        let guard = ConnectionGuard::acquire(&shared, limits.connections);
        let connection = Connection { id, shared: shared.clone(), app: app.clone() };
        connections.spawn(async move {
            tokio::time::sleep(limits.open_delay).await;
            match guard {
                Some(_guard) => connection.serve(stream, false).await,
                None => {
                    let excess = connection.serve(stream, true);
                    let _ = tokio::time::timeout(EXCESS_CONNECTION_TIMEOUT, excess).await;
                }
            }
        });
    }
}

struct Connection<A> {
    id: u64,
    shared: Arc<Shared>,
    app: Arc<A>,
}

impl<A: App> Connection<A> {
    async fn serve(self, stream: tokio::net::TcpStream, excess: bool) {
        let this = &self;
        let handler = service::service_fn(move |request| this.handle(request, excess));
        let io = rt::TokioIo::new(stream);
        let _ = http1::Builder::new().keep_alive(!excess).serve_connection(io, handler).await;
    }

    async fn handle(
        &self,
        request: hyper::Request<body::Incoming>,
        excess: bool,
    ) -> io::Result<hyper::Response<Full<Bytes>>> {
        let (head, body) = request.into_parts();
        let body = match Limited::new(body, BODY_MAX_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(_) => return response(413, Vec::new()),
        };
        let call = Call {
            method: head.method,
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            body,
            excess,
        };
        if call.is_control() {
            return respond(self.app.clone().call(call).await);
        }
        self.block_if_silent().await;
        let answer = self.app.clone().call(call).await;
        self.block_if_silent().await;
        respond(answer)
    }

    async fn block_if_silent(&self) {
        if self.id < self.shared.silent_before_id.load(atomic::Ordering::SeqCst) {
            future::pending::<()>().await;
        }
    }
}

fn respond(answer: Answer) -> io::Result<hyper::Response<Full<Bytes>>> {
    match answer {
        Answer::Reply { status, body } => response(status, body),
        Answer::CloseConnection => Err(io::Error::other("closed without an answer")),
    }
}

fn response(status: u16, body: Vec<u8>) -> io::Result<hyper::Response<Full<Bytes>>> {
    hyper::Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(io::Error::other)
}
