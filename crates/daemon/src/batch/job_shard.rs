//! The way to the owner of one shard of batch jobs, from any node.
//!
//! Owns the channel to this node's candidate, where the node may own the shard. Relies on the stores for who
//! leads where no node names the owner. It differs from `coordinator::forward`, whose requests can all be
//! repeated: here a request that got no answer may have been taken, and the caller learns so.

use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::identity::NodeId;
use lichenpulley_protocol::internal::{BatchRequest, BatchResponse};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::{Command, candidate};
use crate::ingress::pool::ReplicaPool;
use crate::ownership::scope::Scope;

/// Requests that wait for the owner before senders have to wait. Greater costs memory while the owner stands
/// still; smaller makes peers wait in a burst.
const OWNER_COMMAND_BACKLOG: usize = 1_024;
/// How long a request tries to reach the owner. A takeover after a second of silence fits; longer holds
/// callers while nobody can own.
const JOB_OWNER_SEARCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long the owner may take, besides what a reader waits. Above the appends of a busy owner; longer delays
/// the search for the next one.
const OWNER_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause before the owner is looked up again. Shorter asks every store more often while nobody owns.
const JOB_OWNER_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// One shard of batch jobs. Cheap to clone; usable from any runtime.
#[derive(Clone)]
pub(crate) struct JobShard {
    pub(crate) scope: Scope,
    /// Where this node may own the shard.
    commands: Option<mpsc::Sender<Command>>,
}

impl JobShard {
    /// Starts this node's part on `control`; runs of items go on `traffic`. A node that may not own only
    /// asks.
    pub(super) fn start(scope: Scope, pool: ReplicaPool, control: &Handle, traffic: Handle) -> Self {
        let settings = &scope.context.settings;
        let can_own = settings.roles.coordinator && settings.platform.metadata_store.is_some();
        let commands = (can_own && scope.allows_this_node()).then(|| {
            let (commands, received) = mpsc::channel(OWNER_COMMAND_BACKLOG);
            control.spawn(candidate::run(scope.clone(), pool, traffic, received));
            commands
        });
        Self { scope, commands }
    }

    /// Answers a peer, or names the owner.
    pub(super) async fn answer(&self, request: BatchRequest) -> BatchResponse {
        let (reply, answer) = oneshot::channel();
        let Some(commands) = &self.commands else { return BatchResponse::NotOwner(self.scope.known_owner()) };
        if commands.send(Command { request, reply }).await.is_err() {
            return BatchResponse::NotOwner(self.scope.known_owner());
        }
        // The owner's task ended before it answered.
        answer.await.unwrap_or(BatchResponse::InDoubt)
    }

    /// Asks the owner, wherever it is, and waits while the ownership moves. `InDoubt` where the last owner
    /// asked may have taken the request without an answer.
    pub(crate) async fn ask(&self, request: BatchRequest) -> BatchResponse {
        let search_deadline = Instant::now() + JOB_OWNER_SEARCH_TIMEOUT;
        let wait = match &request {
            BatchRequest::Read { wait_ms, .. } => Duration::from_millis(*wait_ms),
            _ => Duration::ZERO,
        };
        let mut may_be_accepted = false;
        loop {
            let response = match self.scope.known_owner() {
                Some(owner) => self.ask_node(&owner, request.clone(), wait + OWNER_ANSWER_TIMEOUT).await,
                None => Some(BatchResponse::NotOwner(None)),
            };
            match response {
                Some(BatchResponse::NotOwner(other)) => self.update_owner(other).await,
                Some(BatchResponse::InDoubt) | None => {
                    may_be_accepted = true;
                    self.update_owner(None).await;
                }
                Some(BatchResponse::Unavailable) => {}
                Some(response) => return response,
            }
            if Instant::now() + JOB_OWNER_RETRY_INTERVAL >= search_deadline {
                return if may_be_accepted { BatchResponse::InDoubt } else { BatchResponse::Unavailable };
            }
            tokio::time::sleep(JOB_OWNER_RETRY_INTERVAL).await;
        }
    }

    /// Asks one node; `None` where it gave no answer and may have taken the request. Invariant: nothing goes
    /// to a node where what the shard keeps may not be.
    async fn ask_node(
        &self,
        node: &NodeId,
        request: BatchRequest,
        timeout: Duration,
    ) -> Option<BatchResponse> {
        if node == &self.scope.context.node {
            return Some(self.answer(request).await);
        }
        let member = self.scope.context.cluster.load().member(node).cloned();
        let Some(member) = member.filter(|member| self.scope.allows(member)) else {
            return Some(BatchResponse::NotOwner(None));
        };
        match self.scope.ask_peer(member.peer_address, request, timeout).await {
            Ok(response) => Some(response),
            Err(error) if error.nothing_sent() => Some(BatchResponse::NotOwner(None)),
            Err(error) => {
                ::log::info!(target: "batch", "The owner of {} gave no answer: {error}.", self.scope.shard);
                None
            }
        }
    }

    /// Takes the owner that another node named, or asks the stores who owns.
    async fn update_owner(&self, named: Option<NodeId>) {
        let owner = match named {
            Some(named) if Some(&named) != self.scope.known_owner().as_ref() => Some(named),
            _ => candidate::ask_stores(&self.scope).await.owner().cloned(),
        };
        if let Some(owner) = owner {
            self.scope.owner.store(Some(Arc::new(owner)));
        }
    }
}
