//! HTTP client for the nodes.
//!
//! Addresses are tried in order until one accepts a connection; the timeout applies to each connection attempt and to the
//! exchange. Requests and responses have the types of `lichenpulley_protocol`. The errors distinguish a missing response from
//! a request that was not sent.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{ACCEPT, CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use lichenpulley_protocol::error::ErrorBody;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::error::CliError;

/// HTTP interface of a node that a command uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interface {
    /// Interface for settings, pools, drains and decisions.
    Operators,
    /// Interface for jobs.
    Callers,
}

impl Interface {
    /// Returns the name of the flag that sets the address.
    pub const fn flag(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Callers => "callers",
        }
    }

    /// Returns the environment variable that sets the address.
    pub const fn variable(self) -> &'static str {
        match self {
            Self::Operators => "LICHENPULLEY_OPERATORS",
            Self::Callers => "LICHENPULLEY_CALLERS",
        }
    }
}

impl fmt::Display for Interface {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Operators => formatter.write_str("operators'"),
            Self::Callers => formatter.write_str("callers'"),
        }
    }
}

/// Client that sends each request to the first address that accepts a connection.
#[derive(Clone, Debug)]
pub struct Client {
    addresses: Vec<SocketAddr>,
    timeout: Duration,
}

impl Client {
    /// Creates a client of one interface.
    ///
    /// # Errors
    /// Returns [`CliError::NoAddress`] if `addresses` is empty.
    pub fn new(interface: Interface, addresses: &[SocketAddr], timeout: Duration) -> Result<Self, CliError> {
        if addresses.is_empty() {
            return Err(CliError::NoAddress { interface });
        }
        Ok(Self { addresses: addresses.to_vec(), timeout })
    }

    /// Returns the addresses in the order in which they are tried.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Sends a GET request and decodes the response.
    ///
    /// # Errors
    /// See [`CliError`].
    pub async fn get<Answer: DeserializeOwned>(&self, path: &str) -> Result<Answer, CliError> {
        self.exchange(Method::GET, path, Bytes::new()).await
    }

    /// Sends `content` as JSON and decodes the response.
    ///
    /// # Errors
    /// See [`CliError`]. After [`CliError::ReplyLost`], [`CliError::Undecodable`] or a server error that doesn't state
    /// `not_run`, it is unknown whether the request took effect.
    pub async fn send<Content: Serialize, Answer: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        content: &Content,
    ) -> Result<Answer, CliError> {
        let body = serde_json::to_vec(content).map_err(std::io::Error::from)?;
        self.exchange(method, path, Bytes::from(body)).await
    }

    async fn exchange<Answer: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, CliError> {
        let (address, sender) = self.connect_first().await?;
        let lost = |cause: String| CliError::ReplyLost { address, cause };
        let exchange = async {
            let response = send(sender, address, method, path, body).await?;
            let status = response.status();
            let collected = response.into_body().collect().await.map_err(|error| lost(error.to_string()))?;
            Ok::<_, CliError>((status, collected.to_bytes()))
        };
        let (status, bytes) = timeout(self.timeout, exchange)
            .await
            .map_err(|_| lost(format!("timed out after {} ms", self.timeout.as_millis())))??;
        if !status.is_success() {
            return Err(refused(status.as_u16(), &bytes));
        }
        serde_json::from_slice(&bytes)
            .map_err(|error| CliError::Undecodable { address, cause: error.to_string() })
    }

    async fn connect_first(&self) -> Result<(SocketAddr, SendRequest<Full<Bytes>>), CliError> {
        let mut cause = String::new();
        for &address in &self.addresses {
            match connect(address, self.timeout).await {
                Ok(sender) => return Ok((address, sender)),
                Err(error) => cause = error,
            }
        }
        let addresses: Vec<String> = self.addresses.iter().map(ToString::to_string).collect();
        Err(CliError::Unreachable { addresses: addresses.join(", "), cause })
    }

    /// Opens a stream of server-sent events from one node.
    ///
    /// # Errors
    /// See [`CliError`].
    pub async fn open_stream(&self, address: SocketAddr, path: &str) -> Result<Incoming, CliError> {
        let sender = connect(address, self.timeout)
            .await
            .map_err(|cause| CliError::Unreachable { addresses: address.to_string(), cause })?;
        let sent = send(sender, address, Method::GET, path, Bytes::new());
        let response = timeout(self.timeout, sent)
            .await
            .map_err(|_| CliError::ReplyLost { address, cause: "the stream did not start".to_owned() })??;
        let status = response.status();
        if status.is_success() {
            return Ok(response.into_body());
        }
        let collected = response.into_body().collect().await;
        // If the body can't be read, the error still reports the status.
        let bytes = collected.map(http_body_util::Collected::to_bytes).unwrap_or_default();
        Err(refused(status.as_u16(), &bytes))
    }
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<SendRequest<Full<Bytes>>, String> {
    let connecting = async {
        let stream = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
        handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())
    };
    let (sender, connection) =
        timeout(limit, connecting).await.map_err(|_| "the connection attempt timed out".to_owned())??;
    // Errors of the connection are reported by the request itself.
    tokio::spawn(connection);
    Ok(sender)
}

async fn send(
    mut sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Response<Incoming>, CliError> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .header(ACCEPT, "application/json, text/event-stream")
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|error| CliError::Usage(format!("invalid request path `{path}`: {error}")))?;
    let sent = sender.send_request(request).await;
    sent.map_err(|error| CliError::ReplyLost { address, cause: error.to_string() })
}

fn refused(status: u16, bytes: &[u8]) -> CliError {
    let body = serde_json::from_slice(bytes).unwrap_or_else(|_| {
        let text = String::from_utf8_lossy(bytes).trim().to_owned();
        let message =
            if text.is_empty() { "the node refused without giving a reason".to_owned() } else { text };
        ErrorBody::new("refused", message, "check the node's log")
    });
    CliError::Refused { status, body }
}

/// Percent-encodes all bytes except the unreserved characters of RFC 3986, section 2.3.
pub fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => encoded.push(byte as char),
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}
