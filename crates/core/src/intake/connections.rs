//! Bounds the connections that callers keep open.
//!
//! Load pattern: callers open more connections than the process may have descriptors, send most of a request on each
//! and stop. Every further caller then waits for as long as they stay.
//!
//! At the bound, each new connection closes the one that has kept the process waiting for the longest time: between two
//! requests, within a head or within a body. Connections whose requests are in progress are never closed, so that a new
//! connection is closed itself if all others have requests in progress.

use crate::time::Timestamp;

/// Connections of callers, in eighths of the process's descriptors. Each request in progress may take another descriptor
/// for its replica; files, other nodes and the other addresses take the rest.
const CALLER_DESCRIPTOR_EIGHTHS: u64 = 3;
/// Divisor of the process's descriptors for the connections of an address that few callers use.
const OPERATOR_DESCRIPTOR_DIVISOR: u64 = 16;
/// Memory for one connection of a caller: its buffers, and what the kernel keeps of bytes that are not read yet.
const CALLER_CONNECTION_BYTES: u64 = 128 << 10;
/// Part of the machine's memory for which an address that few callers use has one connection.
const OPERATOR_CONNECTION_BYTES: u64 = 512 << 10;
/// Fewest connections of an address.
const MIN_CONNECTIONS: usize = 8;
/// Divisor of the limit for connections that are being closed beside those that are served.
const CLOSING_DIVISOR: usize = 8;

/// The number of connections that an address serves.
///
/// The default is no limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimit {
    /// Maximum number of connections that are served.
    pub served: usize,
    /// Maximum number of connections that are being closed besides.
    pub closing: usize,
}

impl Default for ConnectionLimit {
    fn default() -> Self {
        Self { served: usize::MAX, closing: usize::MAX }
    }
}

impl ConnectionLimit {
    /// Returns the limit for callers on a machine with this memory, for a process with so many descriptors.
    pub fn for_callers(memory_bytes: u64, descriptors: u64) -> Self {
        Self::new((memory_bytes / CALLER_CONNECTION_BYTES).min(descriptors / 8 * CALLER_DESCRIPTOR_EIGHTHS))
    }

    /// Returns the limit for an address of operators or load balancers.
    pub fn for_operators(memory_bytes: u64, descriptors: u64) -> Self {
        Self::new((memory_bytes / OPERATOR_CONNECTION_BYTES).min(descriptors / OPERATOR_DESCRIPTOR_DIVISOR))
    }

    fn new(served: u64) -> Self {
        let served = usize::try_from(served).unwrap_or(usize::MAX).max(MIN_CONNECTIONS);
        Self { served, closing: (served / CLOSING_DIVISOR).max(1) }
    }
}

/// A connection that waits for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingConnection {
    /// Number of the connection.
    pub number: u64,
    /// When the wait began, or until when the caller is on time with what it has sent since ([`super::lag`]).
    pub waiting_since: Timestamp,
}

/// Returns the connection to close so that a new one can be served: the one that has waited for the longest time. `served`
/// counts the new one.
pub fn to_close(
    limit: ConnectionLimit,
    served: usize,
    waiting: impl IntoIterator<Item = WaitingConnection>,
) -> Option<u64> {
    if served <= limit.served {
        return None;
    }
    let longest = waiting.into_iter().min_by_key(|connection| (connection.waiting_since, connection.number));
    longest.map(|connection| connection.number)
}
