//! TCP proxy on loopback that can delay or reset connections, or drop their data in one or both directions.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::error::LabError;

/// What the proxy does to connections. The `Debug` form is part of the soak's report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyMode {
    /// Forwards data.
    #[default]
    Open,
    /// Forwards each chunk of data after a delay.
    Delayed(Duration),
    /// Resets existing and new connections.
    Resets,
    /// Drops data in both directions and keeps connections open.
    Silent,
    /// Forwards data from clients and drops data from the server.
    DeafBack,
}

/// A running proxy, which stops on drop.
pub struct LoopbackProxy {
    /// Address that the proxy listens on.
    pub address: SocketAddr,
    modes: Arc<Mutex<watch::Sender<ProxyMode>>>,
    _stop: DropGuard,
}

impl LoopbackProxy {
    /// Listens on a free loopback port and forwards connections to `target`.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn bind(target: SocketAddr) -> Result<Self, LabError> {
        let io_error = |source| LabError::Io {
            action: "listen on a free loopback port".to_owned(),
            remedy: "free some local ports",
            source,
        };
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.map_err(io_error)?;
        let address = listener.local_addr().map_err(io_error)?;
        let (sender, modes) = watch::channel(ProxyMode::Open);
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = accept(listener, target, modes, stopped.clone()) => {}
            }
        });
        Ok(Self { address, modes: Arc::new(Mutex::new(sender)), _stop: stop.drop_guard() })
    }

    /// Sets the mode of open and new connections.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.modes.lock().unwrap_or_else(PoisonError::into_inner).send_replace(mode);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    modes: watch::Receiver<ProxyMode>,
    stopped: CancellationToken,
) {
    while let Ok((caller, _)) = listener.accept().await {
        let (modes, stopped) = (modes.clone(), stopped.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = forward(caller, target, modes) => {}
            }
        });
    }
}

async fn forward(caller: TcpStream, target: SocketAddr, modes: watch::Receiver<ProxyMode>) {
    if *modes.borrow() == ProxyMode::Resets {
        return reset(&caller);
    }
    let Ok(server) = TcpStream::connect(target).await else { return reset(&caller) };
    let _ = (caller.set_nodelay(true), server.set_nodelay(true));
    let (mut caller_read, mut caller_write) = caller.into_split();
    let (mut server_read, mut server_write) = server.into_split();
    let mut resets = modes.clone();
    let is_reset = async move {
        // Also returns when the sender is dropped with the proxy, which closes the connection.
        let _ = resets.wait_for(|mode| *mode == ProxyMode::Resets).await;
    };
    let requests = copy(&mut caller_read, &mut server_write, modes.clone(), false);
    let responses = copy(&mut server_read, &mut caller_write, modes, true);
    tokio::select! {
        () = is_reset => {}
        ((), ()) = async { tokio::join!(requests, responses) } => {}
    }
}

/// Sets a zero linger time, so that closing the connection sends a reset.
pub(super) fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

async fn copy(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
    modes: watch::Receiver<ProxyMode>,
    is_response: bool,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let count = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        let mode = *modes.borrow();
        match mode {
            ProxyMode::Silent => continue,
            ProxyMode::DeafBack if is_response => continue,
            ProxyMode::Delayed(delay) => tokio::time::sleep(delay).await,
            _ => {}
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
