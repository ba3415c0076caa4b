//! Counts the bytes of responses that are kept for callers who have not read them, and aborts connections whose
//! callers read nothing. The core's `ingress::unread` decides which.
//!
//! Bytes count from when a response or an event is handed to the connection until their memory is freed, which is
//! after the last of them was written to the socket. A caller's progress is seen as writes that the socket accepts.
//! A receiver announces room in its buffer in steps of about a sixteenth of it; only slower reading than that looks
//! like none.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use lichenpulley_core::ingress::unread::{KeptAnswer, UnreadAnswers, UnreadLimit};
use lichenpulley_core::time::{Timestamp, whole_millis};
use tokio::time::{Instant, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

use super::Body;

/// Memory of one kept event or body beyond its bytes: handles in queues, and the bookkeeping of its allocation.
const PIECE_OVERHEAD_BYTES: u64 = 128;
/// Interval at which the sum is compared with its bound.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Counts the bytes kept for the callers of a server. Cheap to clone.
#[derive(Clone)]
pub struct UnreadMeter(Arc<MeterState>);

struct MeterState {
    limit: UnreadLimit,
    origin: Instant,
    kept_bytes: AtomicU64,
    next_number: AtomicU64,
    connections: Mutex<HashMap<u64, Arc<ConnectionState>>>,
}

/// What is kept for the caller of one connection. The connection is counted until the last clone that is held by the
/// server is dropped.
#[derive(Clone)]
pub struct ConnectionMeter {
    meter: UnreadMeter,
    state: Arc<ConnectionState>,
}

struct ConnectionState {
    number: u64,
    peer: Option<SocketAddr>,
    kept_bytes: AtomicU64,
    /// The last progress, in milliseconds since the meter's origin.
    progress_ms: AtomicU64,
    aborted: CancellationToken,
}

/// A connection that was aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AbortedConnection {
    /// The caller's address; `None` if it had already closed the connection.
    pub peer: Option<SocketAddr>,
    /// Bytes that were kept for the caller.
    pub bytes: u64,
    /// How long the caller had taken nothing.
    pub stalled_for: Duration,
    /// Bytes that were kept for all callers.
    pub kept_bytes: u64,
}

impl UnreadMeter {
    /// Creates a meter with this bound.
    pub fn new(limit: UnreadLimit) -> Self {
        Self(Arc::new(MeterState {
            limit,
            origin: Instant::now(),
            kept_bytes: AtomicU64::new(0),
            next_number: AtomicU64::new(0),
            connections: Mutex::default(),
        }))
    }

    /// Returns the number of bytes kept for callers.
    pub fn kept_bytes(&self) -> u64 {
        self.0.kept_bytes.load(Ordering::Relaxed)
    }

    /// Returns whether new streams and reads of result pages are taken.
    pub fn admits(&self) -> bool {
        self.0.limit.admits(self.kept_bytes())
    }

    /// Aborts connections while the sum is above the bound, until `stop` is cancelled. `report` gets the sum at each
    /// look, and `aborted` each connection that was aborted.
    pub async fn keep_bounded(
        &self,
        stop: CancellationToken,
        report: impl Fn(u64),
        aborted: impl Fn(AbortedConnection),
    ) {
        let mut unread = UnreadAnswers::new(self.0.limit, self.now());
        let mut ticks = tokio::time::interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = ticks.tick() => {}
            }
            unread.observe(self.now());
            report(self.kept_bytes());
            if !self.admits() {
                self.abort_stalled(&unread).into_iter().for_each(&aborted);
            }
        }
    }

    fn abort_stalled(&self, unread: &UnreadAnswers) -> Vec<AbortedConnection> {
        let (now, sum) = (self.now(), self.kept_bytes());
        let connections: Vec<KeptAnswer> =
            self.connections().values().map(|connection| connection.kept()).collect();
        let mut aborted = Vec::new();
        for chosen in unread.to_abort(now, sum, connections) {
            let connection = self.connections().get(&chosen.connection).cloned();
            // A caller that has read something since is left alone.
            let Some(connection) = connection.filter(|one| one.kept().progress_at == chosen.progress_at)
            else {
                continue;
            };
            connection.aborted.cancel();
            aborted.push(AbortedConnection {
                peer: connection.peer,
                bytes: chosen.bytes,
                stalled_for: now.saturating_since(chosen.progress_at),
                kept_bytes: sum,
            });
        }
        aborted
    }

    /// Starts counting for a connection.
    pub(super) fn connection(&self, peer: Option<SocketAddr>) -> ServedConnection {
        let number = self.0.next_number.fetch_add(1, Ordering::Relaxed);
        let state = Arc::new(ConnectionState {
            number,
            peer,
            kept_bytes: AtomicU64::new(0),
            progress_ms: AtomicU64::new(self.now_ms()),
            aborted: CancellationToken::new(),
        });
        self.connections().insert(number, Arc::clone(&state));
        ServedConnection(ConnectionMeter { meter: self.clone(), state })
    }

    fn connections(&self) -> MutexGuard<'_, HashMap<u64, Arc<ConnectionState>>> {
        self.0.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + Duration::from_millis(self.now_ms())
    }

    fn now_ms(&self) -> u64 {
        whole_millis(self.0.origin.elapsed())
    }
}

impl ConnectionState {
    fn kept(&self) -> KeptAnswer {
        KeptAnswer {
            connection: self.number,
            bytes: self.kept_bytes.load(Ordering::Relaxed),
            progress_at: Timestamp::ORIGIN + Duration::from_millis(self.progress_ms.load(Ordering::Relaxed)),
        }
    }
}

/// The server's handle of a connection that is counted; the connection is forgotten when it is dropped.
pub(super) struct ServedConnection(ConnectionMeter);

impl ServedConnection {
    /// Returns the meter for the handlers of the connection's requests.
    pub(super) fn meter(&self) -> ConnectionMeter {
        self.0.clone()
    }
}

impl Drop for ServedConnection {
    fn drop(&mut self) {
        self.0.meter.connections().remove(&self.0.state.number);
    }
}

impl ConnectionMeter {
    /// Records that the socket accepted bytes.
    pub(super) fn record_progress(&self) {
        self.state.progress_ms.store(self.meter.now_ms(), Ordering::Relaxed);
    }

    /// Waits until the connection is to be aborted.
    pub(super) async fn aborted(&self) {
        self.state.aborted.cancelled().await;
    }

    pub(super) fn is_aborted(&self) -> bool {
        self.state.aborted.is_cancelled()
    }

    /// Counts bytes until their memory is freed.
    pub(crate) fn keep(&self, bytes: Bytes) -> Bytes {
        let count = self.count(bytes.len() as u64);
        Bytes::from_owner(KeptBytes { bytes, _count: Some(count) })
    }

    /// Counts the bytes of a response whose length is known. Events of a stream are counted by its sender.
    pub fn keep_response(&self, response: Response<Body>) -> Response<Body> {
        match HttpBody::size_hint(response.body()).exact() {
            Some(length) if length > 0 => {
                let count = Some(self.count(length));
                response.map(|body| KeptBody { body, count }.boxed_unsync())
            }
            _ => response,
        }
    }

    fn count(&self, bytes: u64) -> KeptCount {
        let bytes = bytes + PIECE_OVERHEAD_BYTES;
        if self.state.kept_bytes.fetch_add(bytes, Ordering::Relaxed) == 0 {
            // Until now the caller had nothing to read.
            self.record_progress();
        }
        self.meter.0.kept_bytes.fetch_add(bytes, Ordering::Relaxed);
        KeptCount { connection: self.clone(), bytes }
    }
}

impl fmt::Debug for ConnectionMeter {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "ConnectionMeter({})", self.state.number)
    }
}

/// Bytes that count as kept until this value is dropped.
struct KeptCount {
    connection: ConnectionMeter,
    bytes: u64,
}

impl Drop for KeptCount {
    fn drop(&mut self) {
        self.connection.state.kept_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
        self.connection.meter.0.kept_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Bytes with their count.
struct KeptBytes {
    bytes: Bytes,
    _count: Option<KeptCount>,
}

impl AsRef<[u8]> for KeptBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A body in one piece, with its count until the piece is taken.
struct KeptBody {
    body: Body,
    count: Option<KeptCount>,
}

impl HttpBody for KeptBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        let Some(Ok(frame)) = frame else { return Poll::Ready(frame) };
        let count = self.count.take();
        let keep = |bytes| Bytes::from_owner(KeptBytes { bytes, _count: count });
        Poll::Ready(Some(Ok(frame.map_data(keep))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
