//! Changes of the stores that keep the log, by its owner: the log decides the next set, which is then brought into force.
//!
//! While the set is changed nothing is appended, so the stores get heartbeats of the owner: without them another node would
//! take the shard over.

use std::collections::BTreeMap;
use std::time::Duration;

use futures::future::join_all;
use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::Epoch;
use lichenpulley_core::replication::reconfigurer::ChangeOwner;
use lichenpulley_core::replication::replica_set::{ReplicaSet, SetMember, StoreId};
use lichenpulley_protocol::internal::{StoreRequest, StoreResponse};
use tokio::time::Instant;

use super::{ShardLog, ShardLogError};
use crate::store::exchange;
use crate::store::reconfiguration::{self, ReconfigurationError};

/// How many call timeouts a change of the replica set may last. Chosen, not measured: beside readers of the whole log a change
/// took 6 to 9 s on a grown deployment, which has to fit; longer only delays giving up one that a later owner finishes.
const SET_CHANGE_TIMEOUTS: u32 = 24;
/// The pause between two heartbeats of the owner while the stores are changed, and how long a store may take to answer one.
/// Traced on the grown deployment: a change took 3.6 s, and without heartbeats candidates took the log over after 1.4 s.
/// Several heartbeats fit into that; the number itself is chosen.
const SET_CHANGE_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

impl ShardLog {
    /// Replaces a member of the shard's replica set by another store, without the platform: the log itself decides which
    /// set follows. The owner goes on in the next set under the same epoch.
    ///
    /// # Errors
    /// When superseded or without a majority. The change may then be finished by a later owner, and this one must not go on.
    pub(crate) async fn replace_member(
        &mut self,
        leaving: &StoreId,
        joining: SetMember,
        reason: &str,
    ) -> Result<(), ShardLogError> {
        let Some(next) = self.proposer.set().with_replaced(leaving, joining) else {
            return Err(self.no_majority());
        };
        self.change_set(next, reason).await
    }

    async fn change_set(&mut self, next: ReplicaSet, reason: &str) -> Result<(), ShardLogError> {
        let decision = Decision::new(Component::Replication, "replacing", reason, &self.shard);
        self.context.decisions.record(decision.with("generation", next.generation));
        let through = self.proposer.append_next_set(next.clone()).map_err(|refusal| self.refused(refusal))?;
        self.decide(through).await?;
        self.continue_in(&next).await
    }

    /// Brings the set that the log chose into force and goes on in it under the same epoch.
    pub(super) async fn continue_in(&mut self, next: &ReplicaSet) -> Result<(), ShardLogError> {
        let installed = self.install(next).await;
        if installed.is_err() {
            // Another owner may go on from here: this one sends nothing more.
            self.proposer.stop();
        }
        installed?;
        let through = self.proposer.continue_in(next.clone()).map_err(|refusal| self.refused(refusal))?;
        self.decide(through).await?;
        let decision = Decision::new(Component::Replication, "set_changed", "majority_accepted", &self.shard);
        let decision = decision.with("epoch", self.epoch()).with("generation", next.generation);
        self.context.decisions.record(decision);
        Ok(())
    }

    /// Brings the set that the log chose into force, unless another owner is ahead.
    async fn install(&self, next: &ReplicaSet) -> Result<(), ShardLogError> {
        let (ballot, decided_through) = (self.proposer.ballot().clone(), self.proposer.decided_through());
        let owner = Some(ChangeOwner { ballot, decided_through });
        let change = reconfiguration::install_majority(&self.context, self.proposer.set(), next, owner);
        let deadline = Instant::now() + self.context.settings.store.call_timeout * SET_CHANGE_TIMEOUTS;
        let changed = tokio::select! {
            changed = tokio::time::timeout_at(deadline, change) => changed,
            // Nothing is appended meanwhile: without heartbeats another node would take the shard over.
            highest = self.send_heartbeats(next) => return Err(self.superseded(highest)),
        };
        match changed {
            Ok(Ok(installed)) if &installed == next => return Ok(()),
            Ok(Err(ReconfigurationError::Superseded { highest })) => return Err(self.superseded(highest)),
            _ => {}
        }
        log::warn!(target: "store", "Shard {}: generation {} is not in force yet.", self.shard, next.generation);
        Err(self.no_majority())
    }

    /// Finishes a change of the replica set that stopped this take-over. `None` where there was none.
    ///
    /// Sends heartbeats to the stores meanwhile, so that no other node begins the same.
    pub(super) async fn follow_replacement(&mut self) -> Option<()> {
        let next = self.replaced_by.take()?;
        let (context, set) = (&self.context, self.proposer.set());
        let change = async {
            if &next == set {
                return reconfiguration::install_rest(context, set).await;
            }
            reconfiguration::install_majority(context, set, &next, None).await.map(drop)
        };
        let deadline = Instant::now() + self.context.settings.store.call_timeout * SET_CHANGE_TIMEOUTS;
        let changed = async {
            let changed = tokio::time::timeout_at(deadline, change).await;
            changed.ok()?.ok()
        };
        let heartbeats = async {
            // Whoever is ahead is met in the next set: a change that was decided is finished all the same.
            self.send_heartbeats(&next).await;
            std::future::pending::<()>().await;
        };
        tokio::select! {
            changed = changed => changed,
            () = heartbeats => None,
        }
    }

    /// Sends heartbeats to the stores of the present set and of `next` until one answers that another owner is ahead; returns
    /// that owner's epoch.
    async fn send_heartbeats(&self, next: &ReplicaSet) -> Epoch {
        let sets = [self.proposer.set(), next];
        let members: BTreeMap<&StoreId, &SetMember> =
            sets.iter().flat_map(|set| &set.members).map(|member| (&member.store, member)).collect();
        loop {
            let send = |member: &SetMember| {
                let address = exchange::address_of(&self.context, member);
                let (shard, ballot) = (self.shard.clone(), self.proposer.ballot().clone());
                let request = StoreRequest::LeaderAlive { shard, ballot };
                let (context, last_answer) = (self.context.clone(), self.last_answer.clone());
                async move {
                    // A heartbeat that is lost is followed by the next one.
                    match context.peers.store(address?, request, SET_CHANGE_HEARTBEAT_INTERVAL).await {
                        Ok(StoreResponse::Leadership(seen)) => {
                            last_answer.record();
                            seen.map(|seen| seen.epoch)
                        }
                        _ => None,
                    }
                }
            };
            let seen = join_all(members.values().map(|member| send(member))).await;
            let highest = seen.into_iter().flatten().max().unwrap_or_default();
            if highest > self.epoch() {
                return highest;
            }
            tokio::time::sleep(SET_CHANGE_HEARTBEAT_INTERVAL).await;
        }
    }
}
