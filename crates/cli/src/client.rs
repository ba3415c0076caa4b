//! One HTTP request to one of several nodes.
//!
//! Owns the choice of a node: addresses are tried in order until one takes the connection, within one time for all. Relies on
//! the typed bodies of `lichenpulley_protocol`; tells a lost answer from a request that was not sent.

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

/// Which of a node's HTTP ports a command needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interface {
    /// Settings, pools, drains, decisions.
    Operators,
    /// Jobs.
    Callers,
}

impl Interface {
    /// The flag that gives its address.
    pub const fn flag(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Callers => "callers",
        }
    }

    /// The environment variable that gives its address.
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

/// Asks the first of several nodes that takes a connection.
#[derive(Clone, Debug)]
pub struct Client {
    addresses: Vec<SocketAddr>,
    timeout: Duration,
}

impl Client {
    /// A client of one interface.
    ///
    /// # Errors
    /// [`CliError::NoAddress`] where no address is known.
    pub fn new(interface: Interface, addresses: &[SocketAddr], timeout: Duration) -> Result<Self, CliError> {
        if addresses.is_empty() {
            return Err(CliError::NoAddress { interface });
        }
        Ok(Self { addresses: addresses.to_vec(), timeout })
    }

    /// The addresses, in the order in which they are tried.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Reads a value.
    ///
    /// # Errors
    /// See [`CliError`].
    pub async fn get<Answer: DeserializeOwned>(&self, path: &str) -> Result<Answer, CliError> {
        self.exchange(Method::GET, path, Bytes::new()).await
    }

    /// Sends a value.
    ///
    /// # Errors
    /// See [`CliError`]; only [`CliError::ReplyLost`] and [`CliError::Undecodable`] leave in doubt whether it
    /// took effect.
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
            let whole = response.into_body().collect().await.map_err(|error| lost(error.to_string()))?;
            Ok::<_, CliError>((status, whole.to_bytes()))
        };
        let (status, bytes) = timeout(self.timeout, exchange)
            .await
            .map_err(|_| lost(format!("none came within {} ms", self.timeout.as_millis())))??;
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

    /// Opens a stream of server-sent events at one node.
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
            .map_err(|_| CliError::ReplyLost { address, cause: "the stream did not begin".to_owned() })??;
        let status = response.status();
        if status.is_success() {
            return Ok(response.into_body());
        }
        let whole = response.into_body().collect().await;
        // Where the body is lost the status is still told.
        let bytes = whole.map(http_body_util::Collected::to_bytes).unwrap_or_default();
        Err(refused(status.as_u16(), &bytes))
    }
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<SendRequest<Full<Bytes>>, String> {
    let connecting = async {
        let stream = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
        handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())
    };
    let (sender, connection) =
        timeout(limit, connecting).await.map_err(|_| "connecting took too long".to_owned())??;
    // The request's own result says how the connection ended.
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
        .map_err(|error| CliError::Usage(format!("`{path}` can't be asked for: {error}")))?;
    let sent = sender.send_request(request).await;
    sent.map_err(|error| CliError::ReplyLost { address, cause: error.to_string() })
}

fn refused(status: u16, bytes: &[u8]) -> CliError {
    let body = serde_json::from_slice(bytes).unwrap_or_else(|_| {
        let text = String::from_utf8_lossy(bytes).trim().to_owned();
        let message = if text.is_empty() { "the node refused without a reason".to_owned() } else { text };
        ErrorBody::new("refused", message, "look into the node's log")
    });
    CliError::Refused { status, body }
}

/// Escapes what may not stand in one part of a path or query (RFC 3986, section 2.3).
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
