//! Carries requests to store replicas and their answers back, each in a task of its own.
//!
//! Relies on the peers' connections and on the members' addresses in the cluster view; it decides nothing and
//! repeats nothing.

use std::net::SocketAddr;
use std::time::Duration;

use lichenpulley_core::replication::message::{ReplicaRequest, ReplicaResponse};
use lichenpulley_core::replication::replica_set::{ReplicaSet, SetMember, StoreId};
use lichenpulley_protocol::internal::{StoreRequest, StoreResponse};
use tokio::sync::mpsc;

use crate::context::Context;

/// Answers that may wait to be taken. Chosen, not measured: above the members of two sets, so that a task
/// that answers does not wait.
const ANSWERS_LIMIT: usize = 64;

/// Where a member answers: where the cluster sees its node, or else where it was when the set was made.
pub(super) fn address_of(context: &Context, member: &SetMember) -> Option<SocketAddr> {
    let cluster = context.cluster.load();
    let seen = cluster.member(&member.node).map(|seen| seen.peer_address);
    seen.or_else(|| member.address.parse().ok())
}

/// Asks one replica. `None` where no answer came in time.
pub(crate) async fn query_replica(
    context: &Context,
    member: &SetMember,
    request: ReplicaRequest,
    deadline: Duration,
) -> Option<ReplicaResponse> {
    send(context, member, StoreRequest::Replica(Box::new(request)), deadline).await
}

/// Asks one replica for decided entries without the texts of events. `None` where no answer came in time.
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
    let address = address_of(context, member)?;
    match context.peers.store(address, request, deadline).await {
        Ok(StoreResponse::Replica(response)) => Some(*response),
        Ok(_) => None,
        Err(error) => {
            log::debug!(target: "store", "No answer from store {}: {error}.", member.store);
            None
        }
    }
}

/// An answer, or that there was none.
pub(super) struct Answer {
    /// Who was asked.
    pub(super) store: StoreId,
    /// What it answered.
    pub(super) response: Option<ReplicaResponse>,
}

/// Requests on their way, each in a task of its own, so that a slow replica holds up no other.
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

    /// The same, where answers may take so long.
    pub(super) fn with_deadline(context: Context, deadline: Duration) -> Self {
        let (sender, answers) = mpsc::channel(ANSWERS_LIMIT);
        Self { context, deadline, sender, answers }
    }

    /// Sends a request to a member of any of the sets.
    pub(super) fn send(&self, sets: &[&ReplicaSet], to: &StoreId, request: ReplicaRequest) {
        self.send_after(Duration::ZERO, sets, to, request);
    }

    /// Sends a request after a pause.
    pub(super) fn send_after(
        &self,
        pause: Duration,
        sets: &[&ReplicaSet],
        to: &StoreId,
        request: ReplicaRequest,
    ) {
        let member = sets.iter().find_map(|set| set.member(to)).cloned();
        let (context, sender, deadline) = (self.context.clone(), self.sender.clone(), self.deadline);
        let store = to.clone();
        tokio::spawn(async move {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            let response = match member {
                Some(member) => query_replica(&context, &member, request, deadline).await,
                None => None,
            };
            // An error only says that the asker has gone.
            let _ = sender.send(Answer { store, response }).await;
        });
    }

    /// The next answer.
    pub(super) async fn next(&mut self) -> Option<Answer> {
        self.answers.recv().await
    }
}
