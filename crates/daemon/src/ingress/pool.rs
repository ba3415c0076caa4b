//! Connections to replicas: one request at a time on each, kept for the next one where the replica allows it.
//!
//! Invariant: a connection goes back to the pool only after a whole answer to the request sent on it, and is
//! closed when anything arrives on it that nobody asked for. Dropping a connection closes it, by which the
//! replica learns that its answer is not wanted any more.
//!
//! [`crate::http::client`] pools connections too, by `hyper_util`. It can't serve here: its pool retries a
//! request on a connection that has closed and keeps connections by address, while here each send is counted,
//! asks `may_send` just before its first byte, belongs to one incarnation of a replica, and keeps a
//! connection as long as the replica's `Keep-Alive` allows. Socket options differ as well: a request here has
//! a caller's deadline, so keep-alive probes are not needed.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::CONNECTION;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use lichenpulley_core::ingress::replicas::ReplicaRecord;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::boot_clock::{BootClock, BootInstant};

/// How long a connection is kept where the replica does not state how long it keeps it. Chosen, not measured:
/// longer sends requests on connections that the replica has closed, shorter makes more connections.
const DEFAULT_IDLE: Duration = Duration::from_secs(2);
/// The longest time that a connection is kept. Chosen, not measured.
const MAX_IDLE: Duration = Duration::from_secs(20);
/// A connection is given up this time before the replica closes it: a request that is sent just then may be
/// lost with it. Chosen, not measured.
const IDLE_MARGIN: Duration = Duration::from_millis(800);
/// Idle connections kept for each replica. Chosen, not measured: fewer reconnect after each burst, more hold
/// descriptors.
const REPLICA_IDLE_CONNECTIONS: usize = 24;
/// A connection on which a replica acknowledges nothing for this time is closed. Chosen, not measured: longer
/// leaves streams that can't be resumed waiting on a dead machine, shorter closes them for a short cut.
const REPLICA_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle connections by the incarnation of the replica that they were made to: a connection to an earlier
/// incarnation is dead, though that may not show yet. Cheap to clone.
#[derive(Clone)]
pub struct ReplicaPool {
    clock: BootClock,
    idle: Arc<Mutex<HashMap<String, Vec<IdleConnection>>>>,
}

struct IdleConnection {
    connection: Connection,
    /// Replicas close idle connections also while this machine is suspended.
    expires_at: BootInstant,
}

/// An open connection; dropping it closes it.
pub struct Connection {
    /// The incarnation of the replica to which it was made.
    replica: String,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why a request got no answer's head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// No byte of it was written: the replica may be sent nothing any more.
    Withheld,
    /// No byte of it was written.
    NotSent,
    /// It may have arrived.
    Broken,
}

/// An answer whose body is still to come, with the connection that it comes on.
pub struct HttpExchange {
    /// The answer.
    pub response: Response<Incoming>,
    /// Its connection.
    pub connection: Connection,
}

impl ReplicaPool {
    /// An empty pool whose connections expire by this clock.
    pub fn new(clock: BootClock) -> Self {
        Self { clock, idle: Arc::default() }
    }

    /// Sends a request and waits for the head of its answer. `needs_fresh` asks for a connection of its own,
    /// which the replica can't be closing just now. `may_send` is asked just before the first byte: a request
    /// that waited for a connection may have been let through under what no longer holds.
    ///
    /// # Errors
    /// Tells apart whether anything was written.
    pub async fn send(
        &self,
        replica: &ReplicaRecord,
        request: Request<Full<Bytes>>,
        needs_fresh: bool,
        connect_timeout: Duration,
        may_send: impl Fn() -> bool,
    ) -> Result<HttpExchange, SendError> {
        let idle = if needs_fresh { None } else { self.take(&replica.id) };
        let mut connection = match idle {
            Some(connection) => connection,
            None => connect(replica, connect_timeout).await?,
        };
        if !may_send() {
            return Err(SendError::Withheld);
        }
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok(HttpExchange { response, connection }),
            Err(error) if error.message().is_some() => Err(SendError::NotSent),
            Err(_) => Err(SendError::Broken),
        }
    }

    fn take(&self, replica: &str) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.get_mut(replica)?;
        let now = self.clock.now();
        while let Some(candidate) = kept.pop() {
            if candidate.expires_at > now && candidate.connection.sender.is_ready() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request, after the whole answer with these headers came on it.
    pub fn give_back(&self, connection: Connection, headers: &HeaderMap) {
        let Some(idle_for) = idle_time(headers) else { return };
        if connection.sender.is_closed() {
            return;
        }
        let now = self.clock.now();
        let expires_at = now + idle_for;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let is_kept = |kept: &IdleConnection| kept.expires_at > now && !kept.connection.sender.is_closed();
        if !idle.contains_key(&connection.replica) {
            // Connections of incarnations that have ended are dropped.
            idle.retain(|_, kept| kept.iter().any(is_kept));
        }
        let kept = idle.entry(connection.replica.clone()).or_default();
        kept.retain(is_kept);
        if kept.len() < REPLICA_IDLE_CONNECTIONS {
            kept.push(IdleConnection { connection, expires_at });
        }
    }
}

/// How long a connection may be kept; `None` where it is to be closed.
fn idle_time(headers: &HeaderMap) -> Option<Duration> {
    let says = |value: &hyper::header::HeaderValue, word: &str| {
        value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains(word))
    };
    if headers.get_all(CONNECTION).iter().any(|value| says(value, "close")) {
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
    let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
    let Ok((sender, driver)) = handshake else { return Err(SendError::NotSent) };
    let task = tokio::spawn(async move {
        // A failure also reaches the request or the body that waits on this connection, and is reported
        // there.
        let _ = driver.await;
    });
    Ok(Connection { replica: replica.id.clone(), sender, task: task.abort_handle() })
}
