//! A small client for the calls specific to the stand-ins and for those they emulate.

use serde::{Serialize, de};
use std::net;
use std::time;
use volo_http::body::BodyConversion as _;
use volo_http::client;
use volo_http::error;

/// The time limit of a call.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The request could not be sent, or no answer arrived.
    #[error("no answer")]
    NoAnswer(#[from] error::ClientError),
    /// The answer did not arrive within the time limit.
    #[error("no answer in time")]
    TimedOut,
    /// The connection failed before the body was complete.
    #[error("the connection failed before the answer was complete")]
    BrokenBody,
    /// The body is not JSON of the expected type.
    #[error("the answer is not JSON of the expected type")]
    BadBody(#[from] serde_json::Error),
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Parses the body as JSON.
    pub fn json<T: de::DeserializeOwned>(&self) -> Result<T, ClientError> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}

/// A client with its own connection pool.
#[derive(Clone, Default)]
pub struct Client(client::Client);

impl Client {
    /// Sends a GET request to `path`, which may have a query string.
    pub async fn get(&self, address: net::SocketAddr, path: &str) -> Result<Reply, ClientError> {
        let request = self.0.get(format!("http://{address}{path}"));
        receive(request).await
    }

    /// Sends `body` as JSON in a POST request to `path`.
    pub async fn post(
        &self,
        address: net::SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Reply, ClientError> {
        let request = self.0.post(format!("http://{address}{path}")).json(body);
        receive(request).await
    }

    /// Sends `body` as JSON in a PUT request to `path`, which may have a query string.
    pub async fn put(
        &self,
        address: net::SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Reply, ClientError> {
        let request = self.0.put(format!("http://{address}{path}")).json(body);
        receive(request).await
    }
}

async fn receive(request: client::RequestBuilder<client::Client>) -> Result<Reply, ClientError> {
    let answer = async {
        let response = request.send().await?;
        let status = response.status().as_u16();
        let body = response.into_body().into_vec().await.map_err(|_| ClientError::BrokenBody)?;
        Ok(Reply { status, body })
    };
    tokio::time::timeout(CALL_TIMEOUT, answer).await.unwrap_or(Err(ClientError::TimedOut))
}
