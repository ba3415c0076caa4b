//! The small HTTP client that stand-ins and tests use.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

type HyperClient = hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>;

/// Why a request failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No answer came, or not a whole one.
    #[error("no whole answer from {address}: {message}; check that it runs")]
    Connection {
        /// Who was asked.
        address: SocketAddr,
        /// What went wrong.
        message: String,
    },
    /// The answer was not a success.
    #[error("{address} answered {status}: {body}")]
    Status {
        /// Who was asked.
        address: SocketAddr,
        /// The status.
        status: StatusCode,
        /// The body as text.
        body: String,
    },
    /// The answer is not what was expected.
    #[error("the answer of {address} can't be read: {message}; check that both sides are of one version")]
    Body {
        /// Who was asked.
        address: SocketAddr,
        /// What went wrong.
        message: String,
    },
}

/// A client that keeps its connections.
#[derive(Clone, Debug)]
pub struct Client {
    client: HyperClient,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// A client without connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self { client: hyper_util::client::legacy::Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Sends a request and gives the answer whatever its status, its body still to be read.
    ///
    /// # Errors
    /// When no answer came.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<hyper::Response<hyper::body::Incoming>, ClientError> {
        let failed = |message: String| ClientError::Connection { address, message };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| failed(error.to_string()))?;
        self.client.request(request).await.map_err(|error| failed(error.to_string()))
    }

    /// Gets a body.
    ///
    /// # Errors
    /// When the answer is not a whole success.
    pub async fn get_bytes(&self, address: SocketAddr, path: &str) -> Result<Bytes, ClientError> {
        self.whole(Method::GET, address, path, Bytes::new()).await
    }

    /// Gets a JSON value.
    ///
    /// # Errors
    /// When the answer is not a whole success of this shape.
    pub async fn get_json<Value>(&self, address: SocketAddr, path: &str) -> Result<Value, ClientError>
    where
        Value: DeserializeOwned,
    {
        let bytes = self.get_bytes(address, path).await?;
        decode(address, &bytes)
    }

    /// Puts a JSON value.
    ///
    /// # Errors
    /// When the answer is not a success.
    pub async fn put_json<Value>(
        &self,
        address: SocketAddr,
        path: &str,
        value: &Value,
    ) -> Result<(), ClientError>
    where
        Value: Serialize + Sync,
    {
        self.whole(Method::PUT, address, path, encode(address, value)?).await.map(|_| ())
    }

    /// Posts a JSON value and reads one.
    ///
    /// # Errors
    /// When the answer is not a whole success of this shape.
    pub async fn post_json<Value, Answer>(
        &self,
        address: SocketAddr,
        path: &str,
        value: &Value,
    ) -> Result<Answer, ClientError>
    where
        Value: Serialize + Sync,
        Answer: DeserializeOwned,
    {
        let bytes = self.whole(Method::POST, address, path, encode(address, value)?).await?;
        decode(address, &bytes)
    }

    async fn whole(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, ClientError> {
        let response = self.send(method, address, path, body).await?;
        let status = response.status();
        let collected = response.into_body().collect().await;
        let failed = |message: String| ClientError::Connection { address, message };
        let bytes = collected.map_err(|error| failed(error.to_string()))?.to_bytes();
        if status.is_success() {
            return Ok(bytes);
        }
        let body = String::from_utf8_lossy(&bytes).into_owned();
        Err(ClientError::Status { address, status, body })
    }
}

fn encode<Value: Serialize>(address: SocketAddr, value: &Value) -> Result<Bytes, ClientError> {
    let body = serde_json::to_vec(value);
    let body = body.map_err(|error| ClientError::Body { address, message: error.to_string() })?;
    Ok(body.into())
}

fn decode<Value: DeserializeOwned>(address: SocketAddr, bytes: &[u8]) -> Result<Value, ClientError> {
    serde_json::from_slice(bytes).map_err(|error| ClientError::Body { address, message: error.to_string() })
}
