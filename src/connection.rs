//! HTTP/1.1 connections to one address, with a hard cap and exact knowledge of what was sent.
//!
//! `volo-http`'s client limits only its idle connections and does not say whether a failed request
//! had left, so these connections stand on `hyper`, which it is built on.

use crate::locks;
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::client::conn::http1;
use hyper_util::rt;
use std::net;
use std::sync;
use std::time;

type Body = http_body_util::Full<Bytes>;
type Sender = http1::SendRequest<Body>;

/// How long opening a connection may take.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// The largest answer that is read, in bytes.
pub const ANSWER_MAX_BYTES: usize = 4 << 20;

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No byte of the request left: the server can't have seen it.
    #[error("not sent: {0}")]
    NotSent(compact_str::CompactString),
    /// The request may have been seen; its answer did not arrive in time or not whole.
    #[error("lost: {0}")]
    Lost(compact_str::CompactString),
}

/// An answer.
#[derive(Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: http::StatusCode,
    /// The body.
    pub body: Bytes,
}

/// A request's method, path and body.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: http::Method,
    /// The path and query.
    pub path: compact_str::CompactString,
    /// The JSON body; empty for none.
    pub body: Bytes,
    /// The W3C `traceparent` header's value; empty for none.
    pub traceparent: compact_str::CompactString,
}

impl Call {
    /// A `GET` of `path`.
    pub fn get(path: impl Into<compact_str::CompactString>) -> Self {
        Self {
            method: http::Method::GET,
            path: path.into(),
            body: Bytes::new(),
            traceparent: compact_str::CompactString::default(),
        }
    }

    /// A request with `body` as JSON.
    ///
    /// # Errors
    ///
    /// When `body` can't be written as JSON; nothing is sent.
    pub fn json(
        method: http::Method,
        path: impl Into<compact_str::CompactString>,
        body: &impl serde::Serialize,
    ) -> Result<Self, CallError> {
        let body = match serde_json::to_vec(body) {
            Ok(body) => Bytes::from(body),
            Err(error) => return Err(not_sent(error)),
        };
        Ok(Self { body, ..Self { method, ..Self::get(path) } })
    }
}

#[derive(Debug, Default)]
struct Pool {
    idle: Vec<Sender>,
    open: usize,
}

/// Connections to one address.
#[derive(Debug)]
pub struct Connections {
    address: net::SocketAddr,
    connections_max: usize,
    pool: sync::Mutex<Pool>,
}

/// Counts one open connection until it is dropped.
struct PooledConnection<'a> {
    connections: &'a Connections,
    sender: Option<Sender>,
}

impl Drop for PooledConnection<'_> {
    fn drop(&mut self) {
        let mut pool = self.connections.lock();
        match self.sender.take() {
            Some(sender) => pool.idle.push(sender),
            None => pool.open -= 1,
        }
    }
}

impl Connections {
    /// No connection yet, and never more than `connections_max`.
    pub fn new(address: net::SocketAddr, connections_max: usize) -> Self {
        Self { address, connections_max, pool: sync::Mutex::default() }
    }

    /// The address.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// How many connections are open or being opened.
    pub fn open(&self) -> usize {
        self.lock().open
    }

    /// Sends `call` and waits for the whole answer, `timeout` at most.
    ///
    /// # Errors
    ///
    /// [`CallError`] tells whether the server can have seen the request. A connection whose call
    /// failed or was given up is closed, never used again.
    pub async fn send(&self, call: Call, timeout: time::Duration) -> Result<Answer, CallError> {
        let deadline = tokio::time::Instant::now() + timeout;
        let mut call = self.request(call)?;
        loop {
            let (mut pooled, reused) = self.checkout(deadline).await?;
            let Some(mut sender) = pooled.sender.take() else {
                return Err(CallError::NotSent("no connection".into()));
            };
            match tokio::time::timeout_at(deadline, sender.ready()).await {
                Err(_) => return Err(CallError::NotSent("connection not ready in time".into())),
                Ok(Err(_)) if reused => continue,
                Ok(Err(error)) => return Err(not_sent(error)),
                Ok(Ok(())) => {}
            }
            let sent = tokio::time::timeout_at(deadline, sender.try_send_request(call)).await;
            let response = match sent {
                Err(_) => return Err(CallError::Lost("no answer in time".into())),
                Ok(Ok(response)) => response,
                Ok(Err(mut error)) => match error.take_message() {
                    Some(unsent) if reused => {
                        call = unsent;
                        continue;
                    }
                    Some(_) => return Err(not_sent(error.into_error())),
                    None => return Err(lost(error.into_error())),
                },
            };
            let status = response.status();
            let limited = http_body_util::Limited::new(response.into_body(), ANSWER_MAX_BYTES);
            let body = match tokio::time::timeout_at(deadline, limited.collect()).await {
                Err(_) => return Err(CallError::Lost("answer cut by the deadline".into())),
                Ok(Err(error)) => return Err(lost(error)),
                Ok(Ok(body)) => body.to_bytes(),
            };
            pooled.sender = Some(sender);
            return Ok(Answer { status, body });
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Pool> {
        locks::lock(&self.pool)
    }

    fn request(&self, call: Call) -> Result<http::Request<Body>, CallError> {
        let mut builder = http::Request::builder()
            .method(call.method)
            .uri(call.path.as_str())
            .header(http::header::HOST, self.address.to_string());
        if !call.body.is_empty() {
            builder = builder.header(http::header::CONTENT_TYPE, "application/json");
        }
        if !call.traceparent.is_empty() {
            builder = builder.header("traceparent", call.traceparent.as_str());
        }
        builder.body(Body::new(call.body)).map_err(not_sent)
    }

    async fn checkout(
        &self,
        deadline: tokio::time::Instant,
    ) -> Result<(PooledConnection<'_>, bool), CallError> {
        if let Some(sender) = self.checkout_idle()? {
            return Ok((PooledConnection { connections: self, sender: Some(sender) }, true));
        }
        let mut pooled = PooledConnection { connections: self, sender: None };
        let deadline = deadline.min(tokio::time::Instant::now() + CONNECT_TIMEOUT);
        match tokio::time::timeout_at(deadline, connect(self.address)).await {
            Err(_) => Err(CallError::NotSent("no connection in time".into())),
            Ok(Err(error)) => Err(error),
            Ok(Ok(sender)) => {
                pooled.sender = Some(sender);
                Ok((pooled, false))
            }
        }
    }

    /// An idle connection; or none, and then the caller may open one, which is counted already.
    fn checkout_idle(&self) -> Result<Option<Sender>, CallError> {
        let mut pool = self.lock();
        while let Some(sender) = pool.idle.pop() {
            if sender.is_closed() {
                pool.open -= 1;
                continue;
            }
            return Ok(Some(sender));
        }
        if pool.open >= self.connections_max {
            return Err(CallError::NotSent("connection limit".into()));
        }
        pool.open += 1;
        Ok(None)
    }
}

async fn connect(address: net::SocketAddr) -> Result<Sender, CallError> {
    let stream = tokio::net::TcpStream::connect(address).await.map_err(not_sent)?;
    stream.set_nodelay(true).map_err(not_sent)?;
    let io = rt::TokioIo::new(stream);
    let (sender, connection) = http1::handshake(io).await.map_err(not_sent)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::trace!(%error, "connection ended");
        }
    });
    Ok(sender)
}

fn not_sent(error: impl std::fmt::Display) -> CallError {
    CallError::NotSent(compact_str::format_compact!("{error}"))
}

fn lost(error: impl std::fmt::Display) -> CallError {
    CallError::Lost(compact_str::format_compact!("{error}"))
}
