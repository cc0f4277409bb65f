//! HTTP client for calls to instances; every call has a timeout.

pub mod caller;

use crate::caller_api;
use crate::operator_api;
use crate::trace;
use compact_str::CompactString;
use compact_str::ToCompactString as _;
use serde::{Deserialize, Serialize};
use std::error;
use std::io;
use std::net;
use std::time;
use volo_http::body::BodyConversion as _;
use volo_http::http;

/// How long opening a connection may take.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);

/// The maximum number of idle connections kept to one instance.
const IDLE_CONNECTIONS_MAX: usize = 256;

/// Why a call did not return the expected reply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection could be opened, so the request was not sent.
    #[error("{0} can't be reached")]
    Unreachable(net::SocketAddr),
    /// No complete answer arrived before the timeout.
    #[error("{0} did not answer in time")]
    TimedOut(net::SocketAddr),
    /// Sending the request or reading the response failed; the request may have been received.
    #[error("the connection to {0} failed: {1}")]
    ConnectionFailed(net::SocketAddr, CompactString),
    /// The response does not match the API: an unexpected status or an invalid body.
    #[error("unexpected response from {0}: {1}")]
    Malformed(net::SocketAddr, CompactString),
    /// The instance refused the request; nothing was run.
    #[error("{0} refused: {message}", message = .1.message)]
    Refused(net::SocketAddr, caller_api::ErrorReply),
    /// The settings document has errors, which the findings list.
    #[error("the settings have errors")]
    Findings(Vec<operator_api::Finding>),
    /// No instance was called: no address is known, or no time was left.
    #[error("no instance is known")]
    NoInstance,
    /// The HTTP client could not be created.
    #[error("could not create the HTTP client: {0}")]
    ClientSetup(CompactString),
}

impl CallError {
    /// Whether the request certainly reached no instance.
    pub fn never_received(&self) -> bool {
        matches!(
            self,
            CallError::Unreachable(_) | CallError::NoInstance | CallError::ClientSetup(_)
        )
    }

    /// Whether the call may succeed at another instance. Does not say that repeating it is safe.
    pub fn may_succeed_elsewhere(&self) -> bool {
        match self {
            CallError::Refused(_, reply) => matches!(
                reply.code,
                caller_api::ErrorCode::NotReady | caller_api::ErrorCode::Stopping
            ),
            CallError::Findings(_) | CallError::NoInstance | CallError::ClientSetup(_) => false,
            CallError::Unreachable(_)
            | CallError::TimedOut(_)
            | CallError::ConnectionFailed(..)
            | CallError::Malformed(..) => true,
        }
    }
}

/// A call to an instance.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a, B> {
    /// The path, with the query string.
    pub path: &'a str,
    /// The JSON body of a `POST`; `None` sends a `GET`.
    pub body: Option<&'a B>,
    /// The operators' token, sent as a bearer token if present.
    pub token: Option<&'a str>,
    /// The trace that the call belongs to.
    pub trace: trace::TraceContext,
    /// How long the call may take, until the whole answer is read.
    pub timeout: time::Duration,
}

/// An HTTP client with a connection pool.
pub struct Client {
    http: volo_http::client::Client,
}

impl Client {
    /// Creates a client; connections are opened by calls.
    pub fn new() -> Result<Self, CallError> {
        let mut builder = volo_http::client::Client::builder();
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        builder.set_max_idle_per_host(IDLE_CONNECTIONS_MAX);
        let http =
            builder.build().map_err(|error| CallError::ClientSetup(error.to_compact_string()))?;
        Ok(Self { http })
    }

    /// Calls the instance at `address` and parses its JSON reply.
    pub async fn call<B, T>(
        &self,
        address: net::SocketAddr,
        call: Call<'_, B>,
    ) -> Result<T, CallError>
    where
        B: Serialize,
        T: for<'de> Deserialize<'de>,
    {
        match tokio::time::timeout(call.timeout, self.call_without_timeout(address, call)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::TimedOut(address)),
        }
    }

    async fn call_without_timeout<B, T>(
        &self,
        address: net::SocketAddr,
        call: Call<'_, B>,
    ) -> Result<T, CallError>
    where
        B: Serialize,
        T: for<'de> Deserialize<'de>,
    {
        let method = if call.body.is_some() { http::Method::POST } else { http::Method::GET };
        let uri = format!("http://{address}{}", call.path);
        let mut request = self.http.request(method, uri);
        request = request.header(trace::TRACEPARENT, call.trace.to_string());
        if let Some(token) = call.token {
            request = request.header(http::header::AUTHORIZATION, format!("Bearer {token}"));
        }
        if let Some(body) = call.body {
            request = request.json(body);
        }
        let response = request.send().await.map_err(|error| send_error(address, &error))?;
        let status = response.status();
        let body = response.into_body().into_vec().await;
        let body =
            body.map_err(|error| CallError::ConnectionFailed(address, error.to_compact_string()))?;
        parse_response(address, status, &body)
    }
}

fn parse_response<T>(
    address: net::SocketAddr,
    status: http::StatusCode,
    body: &[u8],
) -> Result<T, CallError>
where
    T: for<'de> Deserialize<'de>,
{
    if status == http::StatusCode::OK {
        return serde_json::from_slice(body)
            .map_err(|error| CallError::Malformed(address, error.to_compact_string()));
    }
    if let Ok(reply) = serde_json::from_slice::<caller_api::ErrorReply>(body) {
        return Err(CallError::Refused(address, reply));
    }
    if status == http::StatusCode::UNPROCESSABLE_ENTITY
        && let Ok(reply) = serde_json::from_slice::<operator_api::FindingsReply>(body)
    {
        return Err(CallError::Findings(reply.findings));
    }
    Err(CallError::Malformed(address, CompactString::from(format!("status {status}"))))
}

fn send_error(address: net::SocketAddr, error: &volo_http::error::ClientError) -> CallError {
    let mut cause: Option<&(dyn error::Error + 'static)> = Some(error);
    while let Some(current) = cause {
        if let Some(io_error) = current.downcast_ref::<io::Error>()
            && is_connect_error(io_error.kind())
        {
            return CallError::Unreachable(address);
        }
        cause = current.source();
    }
    CallError::ConnectionFailed(address, error.to_compact_string())
}

/// Whether an error of this kind can only come from opening a connection.
fn is_connect_error(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
            | io::ErrorKind::AddrNotAvailable
    )
}
