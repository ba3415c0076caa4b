//! Accepts connections on a listening port, and goes on where a single connection can't be accepted.

use std::future::Future;
use std::io;
use std::pin::pin;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

use super::connections::CallerConnections;

/// Delay after a failed `accept`, for instance because no file descriptor is free; keeps the accept loop from
/// spinning.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until `stop` completes, each once there is room among `connections`, if these are limited.
pub(crate) async fn accept_until(
    listener: &TcpListener,
    stop: impl Future<Output = ()>,
    connections: Option<&CallerConnections>,
    start_connection: impl Fn(TcpStream),
) {
    let mut stop = pin!(stop);
    loop {
        let accept = async {
            if let Some(connections) = connections {
                connections.until_room().await;
            }
            listener.accept().await
        };
        let accepted = tokio::select! {
            accepted = accept => accepted,
            () = &mut stop => return,
        };
        match accepted {
            Ok((stream, _)) => start_connection(stream),
            Err(error) if concerns_one_connection(&error) => {}
            Err(error) => {
                log::warn!(target: "http", "A connection can't be accepted: {error}.");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Returns whether the next `accept` may succeed at once: the peer gave up its connection while it was queued, or a
/// signal arrived.
pub(super) fn concerns_one_connection(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted)
}
