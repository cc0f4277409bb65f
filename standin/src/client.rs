//! A small client of the stand-ins' own calls and of the calls they stand in for.

use serde::{Serialize, de};
use std::net;
use std::time;
use volo_http::body::BodyConversion as _;
use volo_http::client;
use volo_http::error;

/// How long a call may take.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Why a call gave no answer that could be read.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// There was no answer.
    #[error("no answer")]
    NoAnswer(#[from] error::ClientError),
    /// The answer did not come in time.
    #[error("no answer in time")]
    TimedOut,
    /// The answer's body broke off.
    #[error("the answer broke off")]
    BrokenBody,
    /// The answer's body is not what was expected.
    #[error("the answer can't be read")]
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
    /// The body as JSON.
    pub fn json<T: de::DeserializeOwned>(&self) -> Result<T, ClientError> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}

/// A client with its own connections.
#[derive(Clone, Default)]
pub struct Client(client::Client);

impl Client {
    /// Gets `path`, which may have a query string.
    pub async fn get(&self, address: net::SocketAddr, path: &str) -> Result<Reply, ClientError> {
        let request = self.0.get(format!("http://{address}{path}"));
        receive(request).await
    }

    /// Posts `body` to `path`.
    pub async fn post(
        &self,
        address: net::SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Reply, ClientError> {
        let request = self.0.post(format!("http://{address}{path}")).json(body);
        receive(request).await
    }

    /// Puts `body` to `path`, which may have a query string.
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
