//! Options of TCP connections that this node accepts: `TCP_NODELAY`, and time-outs for peers that disappear
//! without closing the connection.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Minimum keep-alive time and interval; the operating system counts them in whole seconds.
const MIN_KEEPALIVE: Duration = Duration::from_secs(1);

/// Default stall timeout; within the time of a planned stop (docs/decisions/planned-stop.md).
const DEFAULT_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Limits after which the node closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketLimits {
    /// A connection whose peer acknowledges or accepts no data for this time is closed. Without this limit a
    /// caller that stopped reading could delay a planned stop forever.
    pub stall_timeout: Duration,
}

impl Default for SocketLimits {
    fn default() -> Self {
        Self { stall_timeout: DEFAULT_STALL_TIMEOUT }
    }
}

/// Sets the options of an accepted connection.
///
/// # Errors
/// When the connection is already closed.
pub(crate) fn prepare(stream: &TcpStream, limits: SocketLimits) -> io::Result<()> {
    // Small events must not be delayed by Nagle's algorithm.
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    // Covers unacknowledged data, and data that waits for the peer's receive window to open.
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(limits.stall_timeout))?;
    // Covers connections on which nothing is sent, such as one that waits for an answer.
    let interval = (limits.stall_timeout / 3).max(MIN_KEEPALIVE);
    let time = limits.stall_timeout.max(MIN_KEEPALIVE);
    let keepalive = TcpKeepalive::new().with_time(time).with_interval(interval);
    socket.set_tcp_keepalive(&keepalive)
}
