//! Connection pool for replicas. Each connection carries one request at a time and is reused if the replica
//! allows it.
//!
//! Invariant: a connection returns to the pool only after the complete response to its last request, and is
//! closed if unsolicited data arrives on it. Dropping a connection closes it, which tells the replica that
//! the response is no longer needed.
//!
//! [`crate::http::client`] pools connections with `hyper_util`, which retries requests on closed connections
//! and keys connections by address. Here each send is counted, calls `may_send` just before its first byte,
//! is bound to one incarnation of a replica, and honours the replica's `Keep-Alive` timeout. TCP keep-alive
//! probes are not needed, since every request has a deadline.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::CONNECTION;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use lichenpulley_core::ingress::replicas::ReplicaRecord;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::counted_stream::{AnswerBytes, CountedStream};
use crate::boot_clock::{BootClock, BootInstant};

/// Idle timeout of a connection whose replica states none.
const DEFAULT_IDLE: Duration = Duration::from_secs(2);
/// Maximum idle timeout, whatever the replica states.
const MAX_IDLE: Duration = Duration::from_secs(20);
/// Margin by which a connection is dropped before the replica closes it. A request sent just then could be
/// lost.
const IDLE_MARGIN: Duration = Duration::from_millis(800);
/// Maximum number of idle connections per replica.
const REPLICA_IDLE_CONNECTIONS: usize = 24;
/// A connection is closed after the replica leaves data unacknowledged for this time (`TCP_USER_TIMEOUT`).
const REPLICA_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Pool of idle connections, keyed by replica incarnation: a connection to an earlier incarnation is dead
/// even if its close has not been seen yet. Cheap to clone.
#[derive(Clone)]
pub struct ReplicaPool {
    clock: BootClock,
    idle: Arc<Mutex<HashMap<String, Vec<IdleConnection>>>>,
}

struct IdleConnection {
    connection: Connection,
    /// Boot time, since replicas also close idle connections while this machine is suspended.
    expires_at: BootInstant,
}

/// An open connection to a replica. Dropping it closes the connection.
pub struct Connection {
    /// Id of the replica incarnation at the other end.
    replica: String,
    sender: SendRequest<Full<Bytes>>,
    received: AnswerBytes,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Error of a send that received no response head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// No byte was written because `may_send` returned false.
    Withheld,
    /// No byte was written.
    NotSent,
    /// The request may have reached the replica.
    Broken,
}

/// A response whose body has not been read, and its connection.
pub struct HttpExchange {
    /// The response.
    pub response: Response<Incoming>,
    /// The connection that the body arrives on.
    pub connection: Connection,
}

impl ReplicaPool {
    /// Creates an empty pool whose connections expire by `clock`.
    pub fn new(clock: BootClock) -> Self {
        Self { clock, idle: Arc::default() }
    }

    /// Sends a request and waits for the response head. `needs_new_connection` opens a new connection instead
    /// of using a pooled one, which the replica may be closing. `may_send` is called just before the first
    /// byte, since conditions may have changed while the request waited for a connection.
    ///
    /// # Errors
    /// Returns a [`SendError`] that tells whether the request may have reached the replica.
    pub async fn send(
        &self,
        replica: &ReplicaRecord,
        request: Request<Full<Bytes>>,
        needs_new_connection: bool,
        connect_timeout: Duration,
        may_send: impl Fn() -> bool,
    ) -> Result<HttpExchange, SendError> {
        let idle = if needs_new_connection { None } else { self.take_idle(&replica.id) };
        let mut connection = match idle {
            Some(connection) => connection,
            None => connect(replica, connect_timeout).await?,
        };
        if !may_send() {
            return Err(SendError::Withheld);
        }
        connection.received.await_head();
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                connection.received.await_body(response.body().size_hint().exact());
                Ok(HttpExchange { response, connection })
            }
            Err(error) if error.message().is_some() => Err(SendError::NotSent),
            Err(_) => Err(SendError::Broken),
        }
    }

    fn take_idle(&self, replica: &str) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(replica)?;
        let now = self.clock.now();
        while let Some(candidate) = connections.pop() {
            if candidate.expires_at > now && candidate.connection.sender.is_ready() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after the complete response with these headers was read from it.
    pub fn give_back(&self, connection: Connection, headers: &HeaderMap) {
        let Some(idle_for) = idle_timeout(headers) else { return };
        if connection.sender.is_closed() {
            return;
        }
        let now = self.clock.now();
        let expires_at = now + idle_for;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let is_open = |entry: &IdleConnection| entry.expires_at > now && !entry.connection.sender.is_closed();
        if !idle.contains_key(&connection.replica) {
            // Drops the connections of ended incarnations.
            idle.retain(|_, connections| connections.iter().any(is_open));
        }
        let connections = idle.entry(connection.replica.clone()).or_default();
        connections.retain(is_open);
        if connections.len() < REPLICA_IDLE_CONNECTIONS {
            connections.push(IdleConnection { connection, expires_at });
        }
    }
}

/// Returns how long a connection may stay idle, or `None` if it has to be closed.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let contains = |value: &hyper::header::HeaderValue, word: &str| {
        value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains(word))
    };
    if headers.get_all(CONNECTION).iter().any(|value| contains(value, "close")) {
        return None;
    }
    let Some(keep_alive) = headers.get("keep-alive").and_then(|value| value.to_str().ok()) else {
        return Some(DEFAULT_IDLE);
    };
    let parts = keep_alive.split(',').filter_map(|part| part.trim().strip_prefix("timeout="));
    let seconds = parts.filter_map(|seconds| seconds.trim().parse().ok()).next();
    let timeout = seconds.map_or(DEFAULT_IDLE, Duration::from_secs).min(MAX_IDLE);
    timeout.checked_sub(IDLE_MARGIN).filter(|left| !left.is_zero())
}

async fn connect(replica: &ReplicaRecord, timeout: Duration) -> Result<Connection, SendError> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(replica.address)).await;
    let Ok(Ok(stream)) = stream else { return Err(SendError::NotSent) };
    if stream.set_nodelay(true).is_err() {
        return Err(SendError::NotSent);
    }
    #[cfg(target_os = "linux")]
    if SockRef::from(&stream).set_tcp_user_timeout(Some(REPLICA_UNACKNOWLEDGED_TIMEOUT)).is_err() {
        return Err(SendError::NotSent);
    }
    let (stream, received) = CountedStream::new(stream);
    let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
    let Ok((sender, driver)) = handshake else { return Err(SendError::NotSent) };
    let task = tokio::spawn(async move {
        // An error also fails the request or body read on this connection, which reports it.
        let _ = driver.await;
    });
    Ok(Connection { replica: replica.id.clone(), sender, received, task: task.abort_handle() })
}
