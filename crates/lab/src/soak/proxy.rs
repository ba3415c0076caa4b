//! A loopback proxy in front of a stand-in: connections are delayed, reset, or silenced one way or both.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::error::LabError;

/// How the proxy treats connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyMode {
    /// Bytes pass.
    #[default]
    Open,
    /// Bytes pass so much later.
    Delayed(Duration),
    /// Connections are reset, and new ones too.
    Resets,
    /// Nothing passes either way; what was sent is dropped once this ends.
    Silent,
    /// What the callers send passes, and nothing comes back.
    DeafBack,
}

/// A running proxy; it ends when dropped.
pub struct LoopbackProxy {
    /// Where callers connect.
    pub address: SocketAddr,
    modes: Arc<Mutex<watch::Sender<ProxyMode>>>,
    _stop: DropGuard,
}

impl LoopbackProxy {
    /// Listens on a free port and passes connections on to `target`.
    ///
    /// # Errors
    /// When no port can be had.
    pub async fn bind(target: SocketAddr) -> Result<Self, LabError> {
        let problem = |source| LabError::Io {
            action: "listen on a free loopback port".to_owned(),
            remedy: "free some ports",
            source,
        };
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.map_err(problem)?;
        let address = listener.local_addr().map_err(problem)?;
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

    /// Treats connections so from now on, those that are open too.
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
                () = pass(caller, target, modes) => {}
            }
        });
    }
}

async fn pass(caller: TcpStream, target: SocketAddr, modes: watch::Receiver<ProxyMode>) {
    if *modes.borrow() == ProxyMode::Resets {
        return reset(&caller);
    }
    let Ok(server) = TcpStream::connect(target).await else { return reset(&caller) };
    let _ = (caller.set_nodelay(true), server.set_nodelay(true));
    let (mut caller_read, mut caller_write) = caller.into_split();
    let (mut server_read, mut server_write) = server.into_split();
    let mut resets = modes.clone();
    let is_reset = async move {
        // The proxy's end closes the connection as well.
        let _ = resets.wait_for(|mode| *mode == ProxyMode::Resets).await;
    };
    let forth = copy(&mut caller_read, &mut server_write, modes.clone(), false);
    let back = copy(&mut server_read, &mut caller_write, modes, true);
    tokio::select! {
        () = is_reset => {}
        ((), ()) = async { tokio::join!(forth, back) } => {}
    }
}

/// Closes without the usual end, so that the peer sees a reset.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

async fn copy(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
    modes: watch::Receiver<ProxyMode>,
    is_back: bool,
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
            ProxyMode::DeafBack if is_back => continue,
            ProxyMode::Delayed(delay) => tokio::time::sleep(delay).await,
            _ => {}
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
