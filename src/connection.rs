//! HTTP/1.1 connections to one address. Their number has a hard limit, and a failed request reports
//! whether any of it can have been sent.
//!
//! The client of `volo-http` limits only its idle connections and does not report whether a failed
//! request was sent, so these connections use `hyper` directly, which `volo-http` is built on.

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

/// The timeout for opening a connection.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// The maximum size of a response body, in bytes.
pub const ANSWER_MAX_BYTES: usize = 4 << 20;

/// Why a call has no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No byte of the request was sent: the server can't have received it.
    #[error("not sent: {0}")]
    NotSent(compact_str::CompactString),
    /// The server may have received the request, but no complete response was received from it.
    #[error("lost: {0}")]
    Lost(compact_str::CompactString),
}

/// A response.
#[derive(Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: http::StatusCode,
    /// The body.
    pub body: Bytes,
}

/// A request.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: http::Method,
    /// The path and query.
    pub path: compact_str::CompactString,
    /// The JSON body; empty if there is none.
    pub body: Bytes,
    /// The value of the W3C `traceparent` header; empty if there is none.
    pub traceparent: compact_str::CompactString,
}

impl Call {
    /// Creates a `GET` request for `path`.
    pub fn get(path: impl Into<compact_str::CompactString>) -> Self {
        Self {
            method: http::Method::GET,
            path: path.into(),
            body: Bytes::new(),
            traceparent: compact_str::CompactString::default(),
        }
    }

    /// Creates a request with `body` as JSON.
    ///
    /// # Errors
    ///
    /// When `body` can't be serialized.
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
    /// Connections that are open or being opened, idle ones included.
    open: usize,
}

/// A pool of connections to one address.
#[derive(Debug)]
pub struct Connections {
    address: net::SocketAddr,
    connections_max: usize,
    pool: sync::Mutex<Pool>,
}

/// A connection that counts towards the limit. Dropping it returns it to the pool if it has a
/// sender, and stops counting it otherwise.
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
    /// Creates a pool without connections that never has more than `connections_max`.
    pub fn new(address: net::SocketAddr, connections_max: usize) -> Self {
        Self { address, connections_max, pool: sync::Mutex::default() }
    }

    /// The address that the connections lead to.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// The number of connections that are open or being opened.
    pub fn open(&self) -> usize {
        self.lock().open
    }

    /// Sends `call` and waits for the complete response, for `timeout` at most.
    ///
    /// # Errors
    ///
    /// [`CallError`] tells whether the server may have received the request. A connection whose call
    /// failed or was cancelled is closed and never reused.
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
                Err(_) => return Err(CallError::Lost("response timed out".into())),
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
                Err(_) => return Err(CallError::Lost("response body timed out".into())),
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

    /// Takes an idle connection or opens one. The flag tells whether the connection was used before.
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
            Err(_) => Err(CallError::NotSent("connect timed out".into())),
            Ok(Err(error)) => Err(error),
            Ok(Ok(sender)) => {
                pooled.sender = Some(sender);
                Ok((pooled, false))
            }
        }
    }

    /// Takes an idle connection from the pool. `None` means that the caller may open a connection,
    /// which is already counted.
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
            return Err(CallError::NotSent("connection limit reached".into()));
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
            tracing::trace!(%error, "HTTP connection ended with an error");
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
