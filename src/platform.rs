//! The client of the platform's key-value store and list of instances.

use crate::connection;
use crate::platform_api;
use std::net;
use std::time;

/// How many connections an instance opens to one address of the platform.
const CONNECTIONS_MAX: usize = 8;

/// How much longer than the asked wait a watch may take.
const WATCH_GRACE: time::Duration = time::Duration::from_millis(1_000);

/// Why the platform gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// Nothing was sent; nothing has changed.
    #[error("platform unreachable: {0}")]
    Unreachable(compact_str::CompactString),
    /// The request may have taken effect; its answer was lost.
    #[error("platform answer lost: {0}")]
    Lost(compact_str::CompactString),
    /// The platform answered with an error; a write has not taken effect.
    #[error("platform refused with status {0}")]
    Refused(u16),
    /// The platform's answer is not what the contract says.
    #[error("platform answered nonsense: {0}")]
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
    /// Written; the key's new store revision.
    Written(u64),
    /// Not written; the key's store revision, 0 if it does not exist.
    Conflict(u64),
}

/// A client of the platform.
#[derive(Debug)]
pub struct Client {
    connections: connection::Connections,
    timeout: time::Duration,
}

impl Client {
    /// A client of the platform at `address` whose calls take `timeout` at most.
    pub fn new(address: net::SocketAddr, timeout: time::Duration) -> Self {
        Self { connections: connection::Connections::new(address, CONNECTIONS_MAX), timeout }
    }

    /// The value of `key`, if there is one.
    ///
    /// # Errors
    ///
    /// When there is no usable answer in time.
    pub async fn get(&self, key: &str) -> Result<Option<platform_api::Entry>, PlatformError> {
        let path = compact_str::format_compact!("/v1/kv?key={key}");
        let answer = self.connections.send(connection::Call::get(path), self.timeout).await?;
        match answer.status.as_u16() {
            200 => Ok(Some(parse(&answer.body)?)),
            404 => Ok(None),
            status => Err(PlatformError::Refused(status)),
        }
    }

    /// Writes `value` if `key` still has `expected_revision`; 0 means that it must not exist.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Lost`] and [`PlatformError::Malformed`] leave open whether it was written.
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

    /// Waits until `key` has a store revision above `after_revision`, for `wait` at most.
    ///
    /// # Errors
    ///
    /// When there is no usable answer in time.
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

    /// The list of live and leaving instances; it lags.
    ///
    /// # Errors
    ///
    /// When there is no usable answer in time.
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
