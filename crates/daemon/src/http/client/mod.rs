//! HTTP/1 client with connection pooling, whose errors distinguish a request of which nothing was sent from
//! one that may have arrived.
//!
//! Calls engines, the platform's store and other services with a fixed address. `hyper_util` pools the
//! connections by address. Requests to the platform's replicas go through [`crate::ingress::pool`], which
//! explains why it is separate.

mod error;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use lichenpulley_protocol::transport;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use super::events::EventReader;
pub use error::ClientError;
use error::is_unsent;

/// Maximum size of a response body that is buffered, in bytes; bounds the memory of one call.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Maximum number of idle connections per address.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Time after which a connection whose peer acknowledges nothing is closed. Frees calls that have no timeout
/// of their own.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A client with its connection pool. Cheap to clone.
///
/// Connections are driven by the runtime that opened them, so the control and traffic runtimes use separate
/// clients.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
    max_body_bytes: usize,
}

impl HttpClient {
    /// Creates a client that gives up a connection attempt after `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        // A machine that disappeared without closing its connections must not block a stream until its
        // deadline.
        connector.set_keepalive(Some(UNACKNOWLEDGED_TIMEOUT));
        connector.set_keepalive_interval(Some(UNACKNOWLEDGED_TIMEOUT / 3));
        #[cfg(target_os = "linux")]
        connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
        let inner = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build(connector);
        Self { inner, max_body_bytes: MAX_BODY_BYTES }
    }

    /// Fails calls whose response body has more than this many bytes.
    #[must_use]
    pub fn with_max_body(self, max_body_bytes: usize) -> Self {
        Self { max_body_bytes, ..self }
    }

    /// Sends a `GET` and decodes the JSON response.
    ///
    /// # Errors
    /// When no successful response that decodes as `ResponseBody` arrives within `timeout`.
    pub async fn get_json<ResponseBody: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<ResponseBody, ClientError> {
        let request = build(Method::GET, address, path, Bytes::new())?;
        self.request_json(address, request, timeout).await
    }

    /// Sends JSON by `POST` and decodes the JSON response.
    ///
    /// # Errors
    /// When no successful response that decodes as `ResponseBody` arrives within `timeout`.
    pub async fn post_json<RequestBody: Serialize, ResponseBody: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        request_body: &RequestBody,
        timeout: Duration,
    ) -> Result<ResponseBody, ClientError> {
        self.send_json(Method::POST, address, path, request_body, timeout).await
    }

    /// Sends JSON by `PUT` and decodes the JSON response.
    ///
    /// # Errors
    /// When no successful response that decodes as `ResponseBody` arrives within `timeout`.
    pub async fn put_json<RequestBody: Serialize, ResponseBody: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        request_body: &RequestBody,
        timeout: Duration,
    ) -> Result<ResponseBody, ClientError> {
        self.send_json(Method::PUT, address, path, request_body, timeout).await
    }

    async fn send_json<RequestBody: Serialize, ResponseBody: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        request_body: &RequestBody,
        timeout: Duration,
    ) -> Result<ResponseBody, ClientError> {
        let request = build(method, address, path, encode_json(request_body)?)?;
        self.request_json(address, request, timeout).await
    }

    /// Sends a `DELETE`; the response body is discarded.
    ///
    /// # Errors
    /// When no successful response arrives within `timeout`.
    pub async fn delete(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<(), ClientError> {
        let request = build(Method::DELETE, address, path, Bytes::new())?;
        let deadline = Instant::now() + timeout;
        let response = self.send(address, request, deadline).await?;
        self.check_status(address, response, deadline).await.map(drop)
    }

    /// Sends a `GET` and returns the response body.
    ///
    /// # Errors
    /// When no complete successful response arrives within `timeout`.
    pub async fn get_bytes(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<Bytes, ClientError> {
        let request = build(Method::GET, address, path, Bytes::new())?;
        let deadline = Instant::now() + timeout;
        let response = self.send(address, request, deadline).await?;
        let response = self.check_status(address, response, deadline).await?;
        self.read_body(address, response, deadline).await
    }

    /// Opens a stream of events by `GET`. `timeout` applies to the head of the response; the events may take
    /// longer.
    ///
    /// # Errors
    /// When no successful response head arrives within `timeout`.
    pub async fn get_events(
        &self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<EventReader, ClientError> {
        let request = build(Method::GET, address, path, Bytes::new())?;
        self.open_events(address, request, timeout).await
    }

    /// Opens a stream of events by `POST`. `timeout` applies to the head of the response; the events may take
    /// longer.
    ///
    /// # Errors
    /// When no successful response head arrives within `timeout`.
    pub async fn post_events<RequestBody: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        request_body: &RequestBody,
        timeout: Duration,
    ) -> Result<EventReader, ClientError> {
        let request = build(Method::POST, address, path, encode_json(request_body)?)?;
        self.open_events(address, request, timeout).await
    }

    async fn open_events(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<EventReader, ClientError> {
        let deadline = Instant::now() + timeout;
        let response = self.send(address, request, deadline).await?;
        let response = self.check_status(address, response, deadline).await?;
        Ok(EventReader::new(response.into_body()))
    }

    /// Sends a prepared request and decodes the JSON response.
    ///
    /// # Errors
    /// When no successful response that decodes as `ResponseBody` arrives within `timeout`.
    pub(crate) async fn request_json<ResponseBody: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<ResponseBody, ClientError> {
        let deadline = Instant::now() + timeout;
        let response = self.send(address, request, deadline).await?;
        let response = self.check_status(address, response, deadline).await?;
        let bytes = self.read_body(address, response, deadline).await?;
        // Invalid UTF-8 in one string must not make the whole response unreadable: it is replaced by U+FFFD.
        serde_json::from_str(&String::from_utf8_lossy(&bytes))
            .map_err(|error| ClientError::BadAnswer { address, reason: error.to_string() })
    }

    /// Sends a request and returns the response once its head has arrived, whatever its status.
    ///
    /// # Errors
    /// When no head arrives by `deadline`.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, ClientError> {
        // Invariant: `NotSent` is returned only if no connection was given this request or `hyper` returned
        // the request before it wrote any of it. Callers resend such requests, which must not run twice.
        let connection = capture_connection(&mut request);
        let result = tokio::time::timeout_at(deadline, self.inner.request(request)).await;
        match result {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if is_unsent(&error) => {
                Err(ClientError::NotSent { address, reason: transport::error_chain(&error) })
            }
            Ok(Err(error)) => Err(ClientError::NoAnswer { address, reason: transport::error_chain(&error) }),
            Err(_) if connection.connection_metadata().is_none() => {
                Err(ClientError::NotSent { address, reason: "no connection by the deadline".to_owned() })
            }
            Err(_) => Err(ClientError::NoAnswer { address, reason: "no answer by the deadline".to_owned() }),
        }
    }
}

/// Builds a request to `address`, with a JSON content type unless the body is empty.
///
/// # Errors
/// When the path is invalid.
pub fn build(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, ClientError> {
    let mut builder = Request::builder().method(method).uri(format!("http://{address}{path}"));
    if !body.is_empty() {
        builder = builder.header(CONTENT_TYPE, "application/json");
    }
    builder.body(Full::new(body)).map_err(|error| ClientError::BadRequest { reason: error.to_string() })
}

fn encode_json<RequestBody: Serialize>(request_body: &RequestBody) -> Result<Bytes, ClientError> {
    let bytes = serde_json::to_vec(request_body);
    bytes.map(Bytes::from).map_err(|error| ClientError::BadRequest { reason: error.to_string() })
}

impl HttpClient {
    async fn check_status(
        &self,
        address: SocketAddr,
        response: Response<Incoming>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, ClientError> {
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let body = self.read_body(address, response, deadline).await?;
        Err(ClientError::Status { address, status, body })
    }

    async fn read_body(
        &self,
        address: SocketAddr,
        response: Response<Incoming>,
        deadline: Instant,
    ) -> Result<Bytes, ClientError> {
        let body = Limited::new(response.into_body(), self.max_body_bytes).collect();
        match tokio::time::timeout_at(deadline, body).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(error)) => Err(ClientError::NoAnswer { address, reason: error.to_string() }),
            Err(_) => Err(ClientError::NoAnswer {
                address,
                reason: "the response was not complete by the deadline".to_owned(),
            }),
        }
    }
}
