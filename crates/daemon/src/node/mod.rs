//! Puts the parts of a node together: one thread for control state, others for traffic.
//!
//! Owns a node from its start to its end: `listeners` binds its sockets, `control` starts the parts, `servers` the servers,
//! `peer_service` answers other nodes, `stop` is the planned stop. The only place, beside `operators`, that knows every part.

mod control;
mod listeners;
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

/// Where a running node is reached; ports that the system chose included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeAddresses {
    /// Callers, over HTTP.
    pub callers: SocketAddr,
    /// Operators, over HTTP.
    pub operators: SocketAddr,
    /// Other nodes.
    pub peers: SocketAddr,
}

/// Why a node could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address can't be listened on.
    #[error("{key}: {address} can't be listened on: {source}; free it or choose another")]
    Listen {
        /// The settings key.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// Threads can't be started.
    #[error("a thread can't be started: {0}; raise the limit of threads")]
    Thread(io::Error),
    /// A bound socket can't be given to a runtime.
    #[error("a socket can't be used: {0}; raise the limit of open files")]
    Socket(io::Error),
    /// The store can't use its folder.
    #[error("data_folder: {0}")]
    Store(String),
    /// The node ended while it started.
    #[error("the node ended while it started; its log names the cause")]
    Ended,
}

/// A running node. Dropping it ends the node at once, as a crash would; see [`Node::begin_drain`] for a planned
/// stop.
pub struct Node {
    addresses: NodeAddresses,
    context: Context,
    ended: watch::Receiver<bool>,
    abort: CancellationToken,
}

/// What the control thread tells of once everything listens.
struct Started {
    addresses: NodeAddresses,
    context: Context,
}

impl Node {
    /// Starts a node on threads of its own and returns once everything listens.
    ///
    /// # Errors
    /// When an address, a thread or the data folder can't be had.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let listeners = Listeners::bind(&settings.addresses, settings.readiness)?;
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

    /// Where the node is reached.
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// The node's shared state.
    pub fn context(&self) -> &Context {
        &self.context
    }

    /// Begins a planned stop: new work is refused as not run, what runs is finished, then the node ends.
    pub fn begin_drain(&self) {
        self.context.draining.cancel();
    }

    /// Ends the node at once, as a crash would.
    pub fn kill(&self) {
        self.abort.cancel();
    }

    /// Resolves when the node has ended.
    pub async fn stopped(&self) {
        let mut ended = self.ended.clone();
        // An error means that the thread is gone, which is an end as well.
        let _ = ended.wait_for(|ended| *ended).await;
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.abort.cancel();
    }
}
