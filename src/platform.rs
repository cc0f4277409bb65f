//! Client of the platform's key-value store and list of instances.

use crate::connection;
use crate::platform_api;
use std::net;
use std::time;

/// The most connections of one client to the platform.
const CONNECTIONS_MAX: usize = 8;

/// The time that a watch may take in addition to its wait and the client's timeout.
const WATCH_GRACE: time::Duration = time::Duration::from_millis(1_000);

/// Why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The request was not sent; nothing has changed.
    #[error("platform unreachable: {0}")]
    Unreachable(compact_str::CompactString),
    /// There was no reply; the request may have taken effect.
    #[error("no reply from the platform: {0}")]
    Lost(compact_str::CompactString),
    /// The platform replied with an error status; a write has not taken effect.
    #[error("platform replied with status {0}")]
    Refused(u16),
    /// The body of the platform's reply does not conform to [`platform_api`].
    #[error("malformed reply from the platform: {0}")]
    Malformed(compact_str::CompactString),
}

impl From<connection::CallError> for PlatformError {
    fn from(error: connection::CallError) -> Self {
        match error {
            connection::CallError::NotSent(text) => PlatformError::Unreachable(text),
            connection::CallError::Lost(text) => PlatformError::Lost(text),
        }
    }
}

/// The outcome of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The value was written; the key's new store revision.
    Written(u64),
    /// The value was not written; the key's current store revision, 0 if it does not exist.
    Conflict(u64),
}

/// A client of the platform.
#[derive(Debug)]
pub struct Client {
    connections: connection::Connections,
    timeout: time::Duration,
}

impl Client {
    /// Creates a client of the platform at `address`. `timeout` limits each call; a watch may
    /// take longer by its wait and a grace period.
    pub fn new(address: net::SocketAddr, timeout: time::Duration) -> Self {
        Self { connections: connection::Connections::new(address, CONNECTIONS_MAX), timeout }
    }

    /// Reads the value of `key`; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if there is no usable reply in time.
    pub async fn get(&self, key: &str) -> Result<Option<platform_api::Entry>, PlatformError> {
        let path = compact_str::format_compact!("/v1/kv?key={key}");
        let answer = self.connections.send(connection::Call::get(path), self.timeout).await?;
        match answer.status.as_u16() {
            200 => Ok(Some(parse(&answer.body)?)),
            404 => Ok(None),
            status => Err(PlatformError::Refused(status)),
        }
    }

    /// Writes `value` if `key` has the store revision `expected_revision`; 0 means that it must not exist.
    ///
    /// # Errors
    ///
    /// After [`PlatformError::Lost`] and [`PlatformError::Malformed`] the value may have been written.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        expected_revision: u64,
        value: String,
    ) -> Result<SwapOutcome, PlatformError> {
        let path = compact_str::format_compact!("/v1/kv?key={key}");
        let put = platform_api::PutRequest { expected_revision, value, lease: None };
        let call = connection::Call::json(http::Method::PUT, path, &put)?;
        let answer = self.connections.send(call, self.timeout).await?;
        match answer.status.as_u16() {
            200 => {
                let reply: platform_api::PutReply = parse(&answer.body)?;
                Ok(SwapOutcome::Written(reply.revision))
            }
            409 => {
                let reply: platform_api::PutReply = parse(&answer.body)?;
                Ok(SwapOutcome::Conflict(reply.revision))
            }
            status => Err(PlatformError::Refused(status)),
        }
    }

    /// Waits up to `wait` until `key` has a store revision above `after_revision`; `None` if that did not happen.
    ///
    /// # Errors
    ///
    /// Fails if there is no usable reply in time.
    pub async fn watch(
        &self,
        key: &str,
        after_revision: u64,
        wait: time::Duration,
    ) -> Result<Option<platform_api::Entry>, PlatformError> {
        let wait_ms = wait.as_millis();
        let path = compact_str::format_compact!(
            "/v1/watch?key={key}&after_revision={after_revision}&wait_ms={wait_ms}"
        );
        let call = connection::Call::get(path);
        let answer = self.connections.send(call, wait + WATCH_GRACE + self.timeout).await?;
        match answer.status.as_u16() {
            200 => Ok(Some(parse(&answer.body)?)),
            204 => Ok(None),
            status => Err(PlatformError::Refused(status)),
        }
    }

    /// Reads the list of live and leaving instances, which may be stale.
    ///
    /// # Errors
    ///
    /// Fails if there is no usable reply in time.
    pub async fn instances(&self) -> Result<platform_api::InstanceList, PlatformError> {
        let call = connection::Call::get("/v1/instances");
        let answer = self.connections.send(call, self.timeout).await?;
        match answer.status.as_u16() {
            200 => parse(&answer.body),
            status => Err(PlatformError::Refused(status)),
        }
    }
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body)
        .map_err(|error| PlatformError::Malformed(compact_str::format_compact!("{error}")))
}
