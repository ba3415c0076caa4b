//! Owns shards of control work: rollout jobs and weight waves.
//!
//! A shard is `job/<job>` or `weights/<pool>`. Its owner is the coordinator that the cluster view names; the
//! owner takes over the shard's log, replays it and acts on it until the view names another node or a higher
//! epoch shows that another owner is ahead. All of it runs on the control runtime; generations run on the
//! traffic runtime, inside the [`Dispatcher`].

mod attempt;
mod discovery;
mod engines;
mod forward;
pub mod http;
mod job_owner;
mod job_shard;
mod shard;
mod supervisor;
mod weights_shard;

use std::sync::Arc;

use lichenpulley_protocol::internal::{CoordinatorRequest, CoordinatorResponse};
use tokio::sync::{mpsc, oneshot};

use crate::context::Context;
use crate::gateway::Dispatcher;
use crate::store::Store;
pub use forward::ask_owner;
use shard::ShardCommand;

/// Requests that wait for the supervisor, or for the owner of one shard, before senders have to wait. Chosen,
/// not measured: greater costs memory while an owner takes over, smaller makes callers wait in a burst.
const COORDINATOR_BACKLOG: usize = 1_024;

/// The handle on this node's coordinator. Cheap to clone; usable from any runtime.
#[derive(Clone)]
pub struct Coordinator {
    commands: mpsc::Sender<ShardCommand>,
}

/// Starts the coordinator on the current runtime. A node with a store tells the owners of the shards that it
/// holds.
pub fn start(context: Context, dispatcher: Dispatcher, store: Option<Store>) -> Coordinator {
    let (commands, received) = mpsc::channel(COORDINATOR_BACKLOG);
    tokio::spawn(supervisor::run(Arc::clone(&context), dispatcher, received));
    let coordinator = Coordinator { commands };
    if let Some(store) = store {
        tokio::spawn(discovery::run(context, coordinator.clone(), store));
    }
    coordinator
}

impl Coordinator {
    /// Answers a request to the owner of a shard, or names the owner.
    pub async fn answer(&self, request: CoordinatorRequest) -> CoordinatorResponse {
        let (reply, answer) = oneshot::channel();
        if self.commands.send(ShardCommand { request, reply }).await.is_err() {
            return CoordinatorResponse::NotOwner(None);
        }
        // The shard's task ended before it answered: it lost the shard, or its log.
        answer.await.unwrap_or(CoordinatorResponse::NotOwner(None))
    }
}
