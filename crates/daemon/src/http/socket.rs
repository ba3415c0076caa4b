//! Options of TCP connections that this node accepts: no delay, and limits for peers that vanish without
//! closing.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// The system counts keep-alive in whole seconds.
const SHORTEST_KEEPALIVE: Duration = Duration::from_secs(1);

/// The limit of connections that name none: within the time of a planned stop
/// (docs/decisions/planned-stop.md). Chosen, not measured: shorter cuts off callers that pause, longer holds
/// up a planned stop.
const DEFAULT_STALL: Duration = Duration::from_secs(30);

/// When a connection is given up although neither side closed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketLimits {
    /// A connection whose peer acknowledges or takes nothing for this time is closed. Without this limit a
    /// caller that stopped reading could hold up a planned stop for ever.
    pub stall_timeout: Duration,
}

impl Default for SocketLimits {
    fn default() -> Self {
        Self { stall_timeout: DEFAULT_STALL }
    }
}

/// Sets the options of a connection.
///
/// # Errors
/// When the connection is lost already.
pub(crate) fn prepare(stream: &TcpStream, limits: SocketLimits) -> io::Result<()> {
    // Small events must not wait for more bytes to fill a segment.
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    // Covers data that is sent and not acknowledged, and data that waits for a peer to make room.
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(limits.stall_timeout))?;
    // Covers a connection on which nothing is sent, such as one that waits for its answer.
    let interval = (limits.stall_timeout / 3).max(SHORTEST_KEEPALIVE);
    let time = limits.stall_timeout.max(SHORTEST_KEEPALIVE);
    let keepalive = TcpKeepalive::new().with_time(time).with_interval(interval);
    socket.set_tcp_keepalive(&keepalive)
}
