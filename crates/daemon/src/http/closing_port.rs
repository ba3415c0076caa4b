//! Closes a listening port without losing a connection that a caller has established.
//!
//! Closing a listener resets the connections in its accept queue, although their callers may have sent requests
//! already. [`close`] first keeps further connections out of the queue and then empties it. Only a handshake that
//! takes longer than [`HANDSHAKE_TIME`] may still end in a reset.

use std::io;
use std::time::Duration;

#[cfg(target_os = "linux")]
use socket2::SockFilter;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use super::accept::{RETRY_PAUSE, accept_until, concerns_one_connection};

/// Time for handshakes in progress to complete, also where a packet is lost: TCP repeats it after 200 ms and a round
/// trip.
const HANDSHAKE_TIME: Duration = Duration::from_millis(500);
/// Time for which the accept queue is emptied although `accept` fails, for instance because no file descriptor is
/// free: connections that end release some.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts all connections that callers have established and closes the port. A caller that begins a handshake
/// meanwhile repeats it a second later and is then refused.
pub(super) async fn close(listener: TcpListener, start_connection: impl Fn(TcpStream)) {
    if let Err(error) = ignore_new_handshakes(&listener) {
        log::warn!(target: "http", "A connection that arrives while its port closes may be reset: {error}.");
    }
    accept_until(&listener, tokio::time::sleep(HANDSHAKE_TIME), None, &start_connection).await;
    if let Err(error) = accept_queued(listener, start_connection).await {
        log::warn!(target: "http", "Connections in the queue of a closing port were reset: {error}.");
    }
}

/// Makes the listener ignore packets that open a connection; those of connections in the handshake pass.
#[cfg(target_os = "linux")]
fn ignore_new_handshakes(listener: &TcpListener) -> io::Result<()> {
    const LOAD_BYTE: u16 = 0x30;
    const JUMP_IF_ANY_SET: u16 = 0x45;
    const RETURN: u16 = 0x06;
    const FLAGS_OFFSET: u32 = 13;
    const SYN_FLAG: u32 = 0x02;
    const DROP: u32 = 0;
    const PASS: u32 = u32::MAX;
    // A classic packet filter sees a segment from the start of its TCP header.
    SockRef::from(listener).attach_filter(&[
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(JUMP_IF_ANY_SET, 0, 1, SYN_FLAG),
        SockFilter::new(RETURN, 0, 0, DROP),
        SockFilter::new(RETURN, 0, 0, PASS),
    ])
}

#[cfg(not(target_os = "linux"))]
fn ignore_new_handshakes(_: &TcpListener) -> io::Result<()> {
    Err(io::Error::from(io::ErrorKind::Unsupported))
}

/// Accepts the connections in the accept queue and drops the listener.
///
/// Asks the operating system instead of the runtime, which doesn't know of connections that arrived since it
/// last polled for events. On a busy machine these are many.
async fn accept_queued(listener: TcpListener, start_connection: impl Fn(TcpStream)) -> io::Result<()> {
    let listener = listener.into_std()?;
    let give_up_at = Instant::now() + ACCEPT_TIMEOUT;
    loop {
        match listener.accept() {
            Ok((stream, _)) => match into_async(stream) {
                Ok(stream) => start_connection(stream),
                Err(error) => log::warn!(target: "http", "A connection was closed unserved: {error}."),
            },
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) if concerns_one_connection(&error) => {}
            Err(error) if Instant::now() >= give_up_at => return Err(error),
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

fn into_async(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}
