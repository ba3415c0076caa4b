//! Runs the shards of rollout jobs and of weight rollouts.
//!
//! A shard is `job/<job>` or `weights/<pool>`. The cluster view determines its owner. The owner takes over
//! the shard's log, replays it and runs the shard's state machine until the view names another node or a
//! higher epoch shows that another owner has taken over. The coordinator runs on the control runtime;
//! generations run on the traffic runtime, inside the [`Dispatcher`].

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

/// Capacity, in requests, of the supervisor's queue and of each shard's queue.
const COMMAND_QUEUE_CAPACITY: usize = 1_024;

/// A handle to this node's coordinator. Cheap to clone; usable from any runtime.
#[derive(Clone)]
pub struct Coordinator {
    commands: mpsc::Sender<ShardCommand>,
}

/// Starts the coordinator on the current runtime. A node with a store also notifies the owners of the shards
/// that it stores.
pub fn start(context: Context, dispatcher: Dispatcher, store: Option<Store>) -> Coordinator {
    let (commands, received) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    tokio::spawn(supervisor::run(Arc::clone(&context), dispatcher, received));
    let coordinator = Coordinator { commands };
    if let Some(store) = store {
        tokio::spawn(discovery::run(context, coordinator.clone(), store));
    }
    coordinator
}

impl Coordinator {
    /// Handles a request if this node owns its shard; otherwise returns the owner.
    pub async fn answer(&self, request: CoordinatorRequest) -> CoordinatorResponse {
        let (reply, answer) = oneshot::channel();
        if self.commands.send(ShardCommand { request, reply }).await.is_err() {
            return CoordinatorResponse::NotOwner(None);
        }
        // The shard's task ended before it answered: it lost the shard or its log failed.
        answer.await.unwrap_or(CoordinatorResponse::NotOwner(None))
    }
}
