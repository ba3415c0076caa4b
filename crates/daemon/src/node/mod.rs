//! Assembles and runs a node: one thread for control state, others for traffic.
//!
//! `listeners` binds the sockets, `control` starts the subsystems, `servers` starts the servers, `peer_service` handles
//! requests of other nodes, within the memory that `partial_frame` counts, and `stop` performs the planned stop. Only this
//! module and `operators` depend on all subsystems.

mod control;
mod listeners;
mod partial_frame;
mod peer_service;
mod servers;
mod stop;

use std::io;
use std::net::SocketAddr;
use std::thread;

use serde::{Deserialize, Serialize};
use tokio::sync::{oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::context::Context;
use crate::settings::Settings;
use listeners::Listeners;

/// Addresses on which a running node listens, with the ports that the operating system chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeAddresses {
    /// Address for callers, over HTTP.
    pub callers: SocketAddr,
    /// Address for operators, over HTTP.
    pub operators: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
}

/// Error of starting a node.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address is not available to listen on.
    #[error("{key}: cannot listen on {address}: {source}; free the address or choose another")]
    Listen {
        /// The settings key.
        key: &'static str,
        /// The address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A thread or runtime failed to start.
    #[error("cannot start a thread: {0}; raise the limit of threads")]
    Thread(io::Error),
    /// Registering a bound socket with a runtime failed.
    #[error("cannot register a socket: {0}; raise the limit of open files")]
    Socket(io::Error),
    /// The store failed to open its data folder.
    #[error("data_folder: {0}")]
    Store(String),
    /// The node stopped during its start.
    #[error("the node stopped during its start; see its log for the cause")]
    Ended,
}

/// A running node. Dropping it stops the node immediately, like a crash; [`Node::begin_drain`] begins a planned stop.
pub struct Node {
    addresses: NodeAddresses,
    context: Context,
    ended: watch::Receiver<bool>,
    abort: CancellationToken,
}

/// Sent by the control thread once all servers listen.
struct Started {
    addresses: NodeAddresses,
    context: Context,
}

impl Node {
    /// Starts a node on its own threads and returns once all servers listen. Waits some seconds for ports that are in
    /// use.
    ///
    /// # Errors
    /// Returns an error if an address, a thread or the data folder is unavailable.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let listeners = Listeners::bind(&settings.addresses, settings.readiness).await?;
        let abort = CancellationToken::new();
        let (started_sender, started) = oneshot::channel();
        let (ended_sender, ended) = watch::channel(false);
        let thread_abort = abort.clone();
        thread::Builder::new()
            .name(format!("control-{}", settings.node))
            .spawn(move || {
                control::run(settings, listeners, started_sender, &thread_abort);
                ended_sender.send_replace(true);
            })
            .map_err(StartError::Thread)?;
        let Started { addresses, context } = started.await.map_err(|_| StartError::Ended)??;
        Ok(Self { addresses, context, ended, abort })
    }

    /// Returns the addresses on which the node listens.
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// Returns the node's shared state.
    pub fn context(&self) -> &Context {
        &self.context
    }

    /// Begins a planned stop: the node refuses new work as not run, finishes requests in flight, then stops.
    pub fn begin_drain(&self) {
        self.context.draining.cancel();
    }

    /// Stops the node immediately, like a crash.
    pub fn kill(&self) {
        self.abort.cancel();
    }

    /// Waits until the node has stopped.
    pub async fn stopped(&self) {
        let mut ended = self.ended.clone();
        // An error means that the control thread dropped the sender, so the node has stopped as well.
        let _ = ended.wait_for(|ended| *ended).await;
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.abort.cancel();
    }
}
