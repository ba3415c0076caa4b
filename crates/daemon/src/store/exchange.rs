//! Sends requests to store replicas and receives their answers, each in a separate task.
//!
//! Addresses come from the cluster view. Requests are sent once; callers decide on retries.

use std::net::SocketAddr;
use std::time::Duration;

use lichenpulley_core::replication::message::{ReplicaRequest, ReplicaResponse};
use lichenpulley_core::replication::proposer::transfer_time;
use lichenpulley_core::replication::replica_set::{ReplicaSet, SetMember, StoreId};
use lichenpulley_protocol::internal::{StoreRequest, StoreResponse};
use tokio::sync::mpsc;

use crate::context::Context;

/// Capacity of the answer channel; above the members of two replica sets, so that sending tasks don't block.
const ANSWERS_LIMIT: usize = 64;

/// Returns the peer address of a member: the one in the cluster view, or else the one recorded in the replica
/// set.
pub(super) fn member_address(context: &Context, member: &SetMember) -> Option<SocketAddr> {
    let cluster = context.cluster.load();
    let seen = cluster.member(&member.node).map(|seen| seen.peer_address);
    seen.or_else(|| member.address.parse().ok())
}

/// Sends a request to one replica; returns `None` if no answer arrives in time.
pub(crate) async fn query_replica(
    context: &Context,
    member: &SetMember,
    request: ReplicaRequest,
    deadline: Duration,
) -> Option<ReplicaResponse> {
    send(context, member, StoreRequest::Replica(Box::new(request)), deadline).await
}

/// Reads decided entries without the texts of events from one replica; returns `None` if no answer arrives in
/// time.
pub(crate) async fn query_outline(
    context: &Context,
    member: &SetMember,
    request: ReplicaRequest,
    deadline: Duration,
) -> Option<ReplicaResponse> {
    send(context, member, StoreRequest::Outline(Box::new(request)), deadline).await
}

async fn send(
    context: &Context,
    member: &SetMember,
    request: StoreRequest,
    deadline: Duration,
) -> Option<ReplicaResponse> {
    let address = member_address(context, member)?;
    match context.peers.store(address, request, deadline).await {
        Ok(StoreResponse::Replica(response)) => Some(*response),
        Ok(_) => None,
        Err(error) => {
            log::debug!(target: "store", "No answer from store {}: {error}.", member.store);
            None
        }
    }
}

/// Result of a request: an answer, or none in time.
pub(super) struct Answer {
    /// Store that was asked.
    pub(super) store: StoreId,
    /// Its answer, if one arrived.
    pub(super) response: Option<ReplicaResponse>,
}

/// Requests in flight. Each runs in a separate task, so that a slow replica delays no other.
pub(super) struct StoreExchange {
    context: Context,
    deadline: Duration,
    sender: mpsc::Sender<Answer>,
    answers: mpsc::Receiver<Answer>,
}

impl StoreExchange {
    pub(super) fn new(context: Context) -> Self {
        let deadline = context.settings.store.call_timeout;
        Self::with_deadline(context, deadline)
    }

    /// Creates an exchange with the given deadline for answers.
    pub(super) fn with_deadline(context: Context, deadline: Duration) -> Self {
        let (sender, answers) = mpsc::channel(ANSWERS_LIMIT);
        Self { context, deadline, sender, answers }
    }

    /// Sends a request to a member of any of the sets.
    pub(super) fn send(&self, sets: &[&ReplicaSet], to: &StoreId, request: ReplicaRequest) {
        self.send_after(Duration::ZERO, sets, to, request);
    }

    /// Sends a request after a delay.
    pub(super) fn send_after(
        &self,
        pause: Duration,
        sets: &[&ReplicaSet],
        to: &StoreId,
        request: ReplicaRequest,
    ) {
        let member = sets.iter().find_map(|set| set.member(to)).cloned();
        let (context, sender) = (self.context.clone(), self.sender.clone());
        let deadline = self.deadline + transfer_time(request.operation.payload_bytes());
        let store = to.clone();
        tokio::spawn(async move {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            let response = match member {
                Some(member) => query_replica(&context, &member, request, deadline).await,
                None => None,
            };
            // Fails only if the exchange has been dropped.
            let _ = sender.send(Answer { store, response }).await;
        });
    }

    /// Waits for the next answer.
    pub(super) async fn next(&mut self) -> Option<Answer> {
        self.answers.recv().await
    }
}
