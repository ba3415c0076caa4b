//! The connections of one server and what each of them waits for. The core's `intake::connections` chooses which to close
//! when there are too many.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lichenpulley_core::intake::connections::{ConnectionLimit, WaitingConnection, to_close};
use lichenpulley_core::intake::lag;
use lichenpulley_core::time::Timestamp;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Interval at which another closing connection is dropped while there is no room for a new one.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The connections of one server. Cheap to clone.
#[derive(Clone)]
pub struct CallerConnections(Arc<Registry>);

struct Registry {
    limit: ConnectionLimit,
    origin: Instant,
    table: Mutex<Table>,
    /// Notified when a connection has ended.
    ended: Notify,
}

#[derive(Default)]
struct Table {
    connections: HashMap<u64, Entry>,
    /// Those that are not leaving.
    served: usize,
    next_number: u64,
}

struct Entry {
    state: Arc<ConnectionState>,
    /// Whether it is being closed, or about to be.
    is_leaving: bool,
}

struct ConnectionState {
    number: u64,
    phase: AtomicU8,
    /// In microseconds since the registry's origin.
    waiting_since_us: AtomicU64,
    is_flushed: AtomicBool,
    /// Cancelled when it has to make room for others.
    evicted: CancellationToken,
    /// Cancelled when it has to end although its caller may not have read the last response.
    dropped: CancellationToken,
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum Phase {
    /// It waits for a request, or for the rest of a head.
    BetweenRequests,
    /// It waits for the rest of a body.
    Body,
    /// A request is in progress.
    Request,
    /// It waits for its caller to close it.
    Closing,
}

impl CallerConnections {
    /// Creates the registry of a server with this limit.
    pub fn new(limit: ConnectionLimit) -> Self {
        let (table, ended) = (Mutex::default(), Notify::new());
        Self(Arc::new(Registry { limit, origin: Instant::now(), table, ended }))
    }

    /// Adds a connection. If there are too many, evicts one that waits for its caller.
    pub(super) fn open(&self) -> ServedConnection {
        let now_us = self.now_us();
        let mut table = self.table();
        let number = table.next_number;
        table.next_number += 1;
        let state = Arc::new(ConnectionState {
            number,
            phase: AtomicU8::new(Phase::BetweenRequests as u8),
            waiting_since_us: AtomicU64::new(now_us),
            is_flushed: AtomicBool::new(true),
            evicted: CancellationToken::new(),
            dropped: CancellationToken::new(),
        });
        table.connections.insert(number, Entry { state: Arc::clone(&state), is_leaving: false });
        table.served += 1;
        if let Some(chosen) = to_close(self.0.limit, table.served, table.waiting()) {
            table.leave(chosen).inspect(|state| state.evicted.cancel());
        }
        ServedConnection(CallerConnection { connections: self.clone(), state })
    }

    /// Waits until another connection may be accepted. Ends those that are only being closed if need be.
    pub(super) async fn until_room(&self) {
        loop {
            let ended = self.0.ended.notified();
            {
                let table = self.table();
                let limit = self.0.limit;
                if table.connections.len() < limit.served.saturating_add(limit.closing) {
                    return;
                }
                table.longest_closing().inspect(|state| state.dropped.cancel());
            }
            tokio::select! {
                () = ended => {}
                () = tokio::time::sleep(ROOM_POLL_INTERVAL) => {}
            }
        }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.0.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_us(&self) -> u64 {
        u64::try_from(self.0.origin.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}

impl Table {
    /// Counts a connection as leaving.
    fn leave(&mut self, number: u64) -> Option<Arc<ConnectionState>> {
        let entry = self.connections.get_mut(&number).filter(|entry| !entry.is_leaving)?;
        entry.is_leaving = true;
        self.served -= 1;
        Some(Arc::clone(&entry.state))
    }

    fn waiting(&self) -> impl Iterator<Item = WaitingConnection> {
        let staying = self.connections.values().filter(|entry| !entry.is_leaving);
        staying.map(|entry| &entry.state).filter(|state| state.waits_for_caller()).map(|state| {
            WaitingConnection {
                number: state.number,
                waiting_since: Timestamp::from_micros(state.waiting_since_us.load(Ordering::Relaxed)),
            }
        })
    }

    fn longest_closing(&self) -> Option<Arc<ConnectionState>> {
        let states = self.connections.values().map(|entry| &entry.state);
        let closing = states.filter(|state| state.is_in(Phase::Closing) && !state.dropped.is_cancelled());
        closing.min_by_key(|state| state.waiting_since_us.load(Ordering::Relaxed)).cloned()
    }
}

impl ConnectionState {
    fn is_in(&self, phase: Phase) -> bool {
        self.phase.load(Ordering::Relaxed) == phase as u8
    }

    fn is_between_requests(&self) -> bool {
        self.is_in(Phase::BetweenRequests) && self.is_flushed.load(Ordering::Relaxed)
    }

    fn waits_for_caller(&self) -> bool {
        self.is_in(Phase::Body) || self.is_between_requests()
    }
}

/// The server's handle of a connection, which is forgotten when the handle is dropped.
pub(super) struct ServedConnection(CallerConnection);

impl ServedConnection {
    /// Returns the handle for the requests of the connection.
    pub(super) fn handle(&self) -> CallerConnection {
        self.0.clone()
    }

    /// Records that the connection is only being closed.
    pub(super) fn begin_closing(&self) {
        self.0.begin(Phase::Closing);
        self.0.connections.table().leave(self.0.state.number);
    }

    /// Waits until the connection has to end at once.
    pub(super) async fn dropped(&self) {
        self.0.state.dropped.cancelled().await;
    }
}

impl Drop for ServedConnection {
    fn drop(&mut self) {
        let connections = &self.0.connections;
        let mut table = connections.table();
        table.leave(self.0.state.number);
        table.connections.remove(&self.0.state.number);
        drop(table);
        connections.0.ended.notify_waiters();
    }
}

/// A connection as its requests see it.
#[derive(Clone)]
pub struct CallerConnection {
    connections: CallerConnections,
    state: Arc<ConnectionState>,
}

impl CallerConnection {
    fn begin(&self, phase: Phase) {
        self.state.waiting_since_us.store(self.connections.now_us(), Ordering::Relaxed);
        self.state.phase.store(phase as u8, Ordering::Relaxed);
    }

    /// Records that the head of a request was read.
    pub(super) fn begin_request(&self, has_body: bool) {
        self.begin(if has_body { Phase::Body } else { Phase::Request });
    }

    /// Records that bytes of a body were read.
    pub(super) fn record_received(&self, bytes: usize) {
        let since = Timestamp::from_micros(self.state.waiting_since_us.load(Ordering::Relaxed));
        let now = Timestamp::from_micros(self.connections.now_us());
        let since = lag::advance(since, bytes as u64, now);
        self.state.waiting_since_us.store(since.as_micros(), Ordering::Relaxed);
    }

    /// Records that the body was read to its end.
    pub(super) fn complete_body(&self) {
        self.begin(Phase::Request);
    }

    /// Records that the response to a request is handed to the connection.
    pub(super) fn end_request(&self) {
        self.begin(Phase::BetweenRequests);
    }

    /// Records whether all that was to be written is written.
    pub(super) fn set_flushed(&self, is_flushed: bool) {
        self.state.is_flushed.store(is_flushed, Ordering::Relaxed);
    }

    pub(super) fn is_evicted(&self) -> bool {
        self.state.evicted.is_cancelled()
    }

    /// Waits until the connection has to make room for others.
    pub(super) async fn evicted(&self) {
        self.state.evicted.cancelled().await;
    }

    /// Waits until the connection has to make room while it waits for a request. A request that is being read or in progress
    /// ends by itself, with the last response of its connection.
    pub(super) async fn evicted_between_requests(&self) {
        self.evicted().await;
        if !self.state.is_between_requests() {
            std::future::pending().await
        }
    }
}

impl fmt::Debug for CallerConnection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "CallerConnection({})", self.state.number)
    }
}
