//! A pooled HTTP/1 client whose errors distinguish a request of which nothing was sent from one that may have
//! arrived.
//!
//! Calls engines, the platform's store and other services whose address is fixed. Owns its connections, which
//! `hyper_util` pools by address. Requests to the platform's replicas go through [`crate::ingress::pool`],
//! whose head gives the reason.

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

/// The longest body that is read whole, in bytes. Chosen, not measured: bounds the memory of one call.
const WHOLE_BODY_LIMIT_BYTES: usize = 64 << 20;
/// Idle connections kept for each address. Chosen, not measured.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// A connection on which a machine acknowledges nothing for this time is closed. Chosen, not measured:
/// streams of engines have time-outs of their own; this one frees what waits without any.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(15);
/// An idle connection is closed after this time. Chosen, not measured.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A client with its pool of connections. Cheap to clone.
///
/// Connections are driven by the runtime that opened them, so control and traffic each have a client of their
/// own.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// A client that gives up a connection which is not made within `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        // A machine that vanished without a word must not hold a stream until its deadline.
        connector.set_keepalive(Some(UNACKNOWLEDGED_TIMEOUT));
        connector.set_keepalive_interval(Some(UNACKNOWLEDGED_TIMEOUT / 3));
        #[cfg(target_os = "linux")]
        connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
        let inner = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build(connector);
        Self { inner }
    }

    /// Reads JSON.
    ///
    /// # Errors
    /// When no successful answer of the expected form comes within `deadline`.
    pub async fn get_json<Answer: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        deadline: Duration,
    ) -> Result<Answer, ClientError> {
        let request = build(Method::GET, address, path, Bytes::new())?;
        self.request_json(address, request, deadline).await
    }

    /// Posts JSON and reads JSON.
    ///
    /// # Errors
    /// When no successful answer of the expected form comes within `deadline`.
    pub async fn post_json<Question: Serialize, Answer: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        question: &Question,
        deadline: Duration,
    ) -> Result<Answer, ClientError> {
        self.send_json(Method::POST, address, path, question, deadline).await
    }

    /// Puts JSON and reads JSON.
    ///
    /// # Errors
    /// When no successful answer of the expected form comes within `deadline`.
    pub async fn put_json<Question: Serialize, Answer: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        question: &Question,
        deadline: Duration,
    ) -> Result<Answer, ClientError> {
        self.send_json(Method::PUT, address, path, question, deadline).await
    }

    async fn send_json<Question: Serialize, Answer: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        question: &Question,
        deadline: Duration,
    ) -> Result<Answer, ClientError> {
        let request = build(method, address, path, encode(question)?)?;
        self.request_json(address, request, deadline).await
    }

    /// Deletes; the answer's body is dropped.
    ///
    /// # Errors
    /// When no successful answer comes within `deadline`.
    pub async fn delete(
        &self,
        address: SocketAddr,
        path: &str,
        deadline: Duration,
    ) -> Result<(), ClientError> {
        let request = build(Method::DELETE, address, path, Bytes::new())?;
        let limit = Instant::now() + deadline;
        let response = self.send(address, request, limit).await?;
        successful(address, response, limit).await.map(drop)
    }

    /// Reads a whole body as it stands.
    ///
    /// # Errors
    /// When no whole successful answer comes within `deadline`.
    pub async fn get_bytes(
        &self,
        address: SocketAddr,
        path: &str,
        deadline: Duration,
    ) -> Result<Bytes, ClientError> {
        let request = build(Method::GET, address, path, Bytes::new())?;
        let limit = Instant::now() + deadline;
        let response = self.send(address, request, limit).await?;
        let response = successful(address, response, limit).await?;
        read_whole(address, response, limit).await
    }

    /// Opens a stream of events by `GET`. `deadline` is for the head of the answer; the events may take
    /// longer.
    ///
    /// # Errors
    /// When no successful head comes within `deadline`.
    pub async fn get_events(
        &self,
        address: SocketAddr,
        path: &str,
        deadline: Duration,
    ) -> Result<EventReader, ClientError> {
        let request = build(Method::GET, address, path, Bytes::new())?;
        self.open_events(address, request, deadline).await
    }

    /// Opens a stream of events by `POST`. `deadline` is for the head of the answer; the events may take
    /// longer.
    ///
    /// # Errors
    /// When no successful head comes within `deadline`.
    pub async fn post_events<Question: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        question: &Question,
        deadline: Duration,
    ) -> Result<EventReader, ClientError> {
        let request = build(Method::POST, address, path, encode(question)?)?;
        self.open_events(address, request, deadline).await
    }

    async fn open_events(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Duration,
    ) -> Result<EventReader, ClientError> {
        let limit = Instant::now() + deadline;
        let response = self.send(address, request, limit).await?;
        let response = successful(address, response, limit).await?;
        Ok(EventReader::new(response.into_body()))
    }

    /// Sends a request that was built elsewhere and reads JSON.
    ///
    /// # Errors
    /// When no successful answer of the expected form comes within `deadline`.
    pub(crate) async fn request_json<Answer: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Duration,
    ) -> Result<Answer, ClientError> {
        let limit = Instant::now() + deadline;
        let response = self.send(address, request, limit).await?;
        let response = successful(address, response, limit).await?;
        let bytes = read_whole(address, response, limit).await?;
        // One text that is no UTF-8 must not hide all others in the answer: it is read with marks in its
        // place.
        serde_json::from_str(&String::from_utf8_lossy(&bytes))
            .map_err(|error| ClientError::BadAnswer { address, reason: error.to_string() })
    }

    /// Sends a request and waits for the head of the answer, whatever its status.
    ///
    /// # Errors
    /// When no head comes by `limit`.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        limit: Instant,
    ) -> Result<Response<Incoming>, ClientError> {
        // Invariant (brief point 5): `NotSent` only where no connection was handed this request, or where
        // `hyper` gave the request back unstarted.
        let connection = capture_connection(&mut request);
        let answered = tokio::time::timeout_at(limit, self.inner.request(request)).await;
        match answered {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if is_unsent(&error) => {
                Err(ClientError::NotSent { address, reason: transport::describe(&error) })
            }
            Ok(Err(error)) => Err(ClientError::NoAnswer { address, reason: transport::describe(&error) }),
            Err(_) if connection.connection_metadata().is_none() => {
                Err(ClientError::NotSent { address, reason: "no connection by the deadline".to_owned() })
            }
            Err(_) => Err(ClientError::NoAnswer { address, reason: "no answer by the deadline".to_owned() }),
        }
    }
}

/// Builds a request to `address`; an empty body is sent without a content type.
///
/// # Errors
/// When the path is no valid path.
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

fn encode<Question: Serialize>(question: &Question) -> Result<Bytes, ClientError> {
    let bytes = serde_json::to_vec(question);
    bytes.map(Bytes::from).map_err(|error| ClientError::BadRequest { reason: error.to_string() })
}

async fn successful(
    address: SocketAddr,
    response: Response<Incoming>,
    limit: Instant,
) -> Result<Response<Incoming>, ClientError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let body = read_whole(address, response, limit).await?;
    Err(ClientError::Status { address, status, body })
}

async fn read_whole(
    address: SocketAddr,
    response: Response<Incoming>,
    limit: Instant,
) -> Result<Bytes, ClientError> {
    let body = Limited::new(response.into_body(), WHOLE_BODY_LIMIT_BYTES).collect();
    match tokio::time::timeout_at(limit, body).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) => Err(ClientError::NoAnswer { address, reason: error.to_string() }),
        Err(_) => Err(ClientError::NoAnswer {
            address,
            reason: "the answer was not whole by the deadline".to_owned(),
        }),
    }
}
