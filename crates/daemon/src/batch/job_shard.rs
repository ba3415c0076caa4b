//! Routes requests from any node to the owner of one shard of batch jobs.
//!
//! Where this node may own the shard, requests to it go to the local candidate. Where no node names the
//! owner, the stores are asked who leads. All requests of `coordinator::forward` can be repeated; a request
//! here that got no answer may have been accepted, and the caller receives `InDoubt`.

use std::sync::Arc;
use std::time::Duration;

use lichenpulley_core::identity::NodeId;
use lichenpulley_protocol::internal::{BatchRequest, BatchResponse};
use lichenpulley_protocol::operator::ShardQueue;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::{Command, EndHolder, candidate};
use crate::ingress::pool::ReplicaPool;
use crate::ownership::scope::Scope;
use crate::peers::{PeerClients, PeerError};

/// Capacity of the channel to the owner, in requests.
const OWNER_COMMAND_BACKLOG: usize = 1_024;
/// How long a request tries to reach the owner; covers a takeover after one second of silence.
const JOB_OWNER_SEARCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of one request to the owner, in addition to the time for which a reader waits.
const OWNER_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Number of nodes that are asked for the waiting work while each names another owner.
const QUEUE_ATTEMPTS: usize = 3;
/// Delay between two attempts to reach the owner.
const JOB_OWNER_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Client of one shard of batch jobs. Cheap to clone; usable from any runtime.
#[derive(Clone)]
pub(crate) struct JobShard {
    pub(crate) scope: Scope,
    /// Channel to the local candidate; `None` if this node may not own the shard.
    commands: Option<mpsc::Sender<Command>>,
}

impl JobShard {
    /// Starts this node's candidate on `control` if the node may own the shard. Runs of items are spawned on
    /// `traffic`.
    pub(super) fn start(
        scope: Scope,
        pool: ReplicaPool,
        ends: EndHolder,
        control: &Handle,
        traffic: Handle,
    ) -> Self {
        let settings = &scope.context.settings;
        let can_own = settings.roles.coordinator && settings.platform.metadata_store.is_some();
        let commands = (can_own && scope.allows_this_node()).then(|| {
            let (commands, received) = mpsc::channel(OWNER_COMMAND_BACKLOG);
            control.spawn(candidate::run(scope.clone(), pool, ends, traffic, received));
            commands
        });
        Self { scope, commands }
    }

    /// Answers a request on this node, or returns `NotOwner` with the owner known here.
    pub(super) async fn answer(&self, request: BatchRequest) -> BatchResponse {
        let (reply, answer) = oneshot::channel();
        let Some(commands) = &self.commands else { return BatchResponse::NotOwner(self.scope.known_owner()) };
        if commands.send(Command { request, reply }).await.is_err() {
            return BatchResponse::NotOwner(self.scope.known_owner());
        }
        // Without a reply, the owner's task ended before it answered.
        answer.await.unwrap_or(BatchResponse::InDoubt)
    }

    /// Sends a request to the owner on whichever node it is, retrying while the ownership moves. Returns
    /// `InDoubt` if an owner may have accepted the request without answering.
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

    /// Asks the owner for the waiting work. Tried again only where a node names another owner, since an owner of an
    /// earlier release gives no answer however often it is asked.
    pub(super) async fn queue(&self) -> ShardQueue {
        let peers = self.scope.context.peers.separate();
        let (mut owner, mut report) = (None, None);
        for _ in 0..QUEUE_ATTEMPTS {
            if self.scope.known_owner().is_none() {
                self.update_owner(None).await;
            }
            owner = self.scope.known_owner();
            if owner.is_none() {
                break;
            }
            match self.ask_once(&peers, BatchRequest::Queue, OWNER_ANSWER_TIMEOUT).await {
                Some(BatchResponse::Queue(answer)) => {
                    report = Some(answer);
                    break;
                }
                Some(BatchResponse::NotOwner(_)) => owner = self.scope.known_owner(),
                _ => break,
            }
        }
        let (shard, regions) = (self.scope.shard.to_string(), self.scope.regions.to_string());
        ShardQueue { shard, regions, owner, report }
    }

    /// Sends a request to one node. Returns `None` if it did not answer and may have accepted the request.
    /// Invariant: no request is sent to a node outside the regions in which the shard may be stored.
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
        match self.scope.call_peer(member.peer_address, request, timeout).await {
            Ok(response) => Some(response),
            Err(error) if error.nothing_sent() => Some(BatchResponse::NotOwner(None)),
            Err(error) => {
                ::log::info!(target: "batch", "The owner of {} did not answer: {error}.", self.scope.shard);
                None
            }
        }
    }

    /// Sends a request once to the known owner, through `peers`, so that an owner that can't decode it interrupts no
    /// other call by closing the connection. Returns `None` if there was no answer. A node that is not the owner may
    /// name it, and the next request goes there.
    pub(super) async fn ask_once(
        &self,
        peers: &PeerClients,
        request: BatchRequest,
        timeout: Duration,
    ) -> Option<BatchResponse> {
        let response = match self.scope.known_owner() {
            Some(owner) if owner == self.scope.context.node => {
                tokio::time::timeout(timeout, self.answer(request)).await.ok()?
            }
            Some(owner) => {
                let member = self.scope.context.cluster.load().member(&owner).cloned();
                match member.filter(|member| self.scope.allows(member)) {
                    Some(member) => {
                        let answer =
                            self.scope.call_through(peers, member.peer_address, request, timeout).await;
                        let report = |error: &PeerError| {
                            ::log::info!(target: "batch", "The owner of {} did not answer: {error}.", self.scope.shard);
                        };
                        answer.inspect_err(report).ok()?
                    }
                    None => BatchResponse::NotOwner(None),
                }
            }
            None => BatchResponse::NotOwner(None),
        };
        if let BatchResponse::NotOwner(other) = &response {
            self.update_owner(other.clone()).await;
        }
        Some(response)
    }

    /// Updates the known owner: to the one that another node named, or else to the one that the stores
    /// report.
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
