//! Options of TCP connections that this node accepts: `TCP_NODELAY`, and time-outs for peers that disappear
//! without closing the connection.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Minimum keep-alive time and interval; the operating system counts them in whole seconds.
const MIN_KEEPALIVE: Duration = Duration::from_secs(1);

/// Maximum number of bytes that the kernel takes from a metered connection before it sends them. The kernel accepts
/// further bytes once half of them are sent, so that a caller's progress shows in steps of 24 KB and not of the third
/// of a send buffer of megabytes, which no meter counts. A caller that reads 16 KB at a time costs 21 system calls per
/// megabyte; with 32 KB or less it costs 42, and with 64 KB no fewer than with this value.
#[cfg(target_os = "linux")]
const METERED_UNSENT_BYTES: u32 = 48 << 10;

/// Receive buffer of a caller's connection. The kernel would let it grow to megabytes, which a caller can fill with bytes
/// that follow a whole request, while that is in progress.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;

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

/// Sets the options of an accepted connection whose unread responses are counted.
///
/// # Errors
/// When the connection is already closed.
pub(crate) fn prepare_metered(stream: &TcpStream) -> io::Result<()> {
    #[cfg(target_os = "linux")]
    SockRef::from(stream).set_tcp_notsent_lowat(METERED_UNSENT_BYTES)?;
    Ok(())
}

/// Bounds what the kernel keeps of bytes that a caller has sent and that are not read yet.
pub(crate) fn bound_unread_input(stream: &TcpStream) {
    // Without the bound, memory is bounded less tightly.
    let _ = SockRef::from(stream).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
}

/// Resets a connection when it is dropped, so that the kernel frees what the caller has not read.
pub(crate) fn set_reset_on_drop(stream: &TcpStream) {
    // Fails only if the connection is already closed.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
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
