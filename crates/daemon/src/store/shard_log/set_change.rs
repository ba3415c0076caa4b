//! Replica set changes by the owner of the log: the log decides the next set, which is then installed.
//!
//! Nothing is appended during a change, so the owner sends heartbeats to the stores; without them another
//! node would take the shard over.

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

/// Number of call timeouts after which a replica set change fails; a later owner can finish it. Readers of
/// the whole log slow a change down, so the limit is generous. Beside such readers a change took 6 to 9 s
/// on one deployment.
const SET_CHANGE_TIMEOUTS: u32 = 24;
/// Interval of the owner's heartbeats during a replica set change, and the timeout of each. Several of them
/// fit into the time after which candidates take over from a silent owner. A change took 3.6 s on one
/// deployment, and without heartbeats candidates took the log over after 1.4 s.
const SET_CHANGE_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

impl ShardLog {
    /// Replaces a member of the shard's replica set by another store. The log itself decides the next set, so
    /// the platform is not needed. The owner continues in the next set under the same epoch.
    ///
    /// # Errors
    /// Returns an error if the owner is superseded or no majority answers. A later owner may then finish the
    /// change, and this one must not continue.
    pub(crate) async fn replace_member(
        &mut self,
        leaving: &StoreId,
        joining: SetMember,
        reason: &str,
    ) -> Result<(), ShardLogError> {
        let Some(next) = self.proposer.set().with_replaced(leaving, joining) else {
            return Err(self.no_majority_error());
        };
        self.change_set(next, reason).await
    }

    async fn change_set(&mut self, next: ReplicaSet, reason: &str) -> Result<(), ShardLogError> {
        let decision = Decision::new(Component::Replication, "replacing", reason, &self.shard);
        self.context.decisions.record(decision.with("generation", next.generation));
        let through =
            self.proposer.append_next_set(next.clone()).map_err(|refusal| self.append_error(refusal))?;
        self.wait_until_decided(through).await?;
        self.continue_in(&next).await
    }

    /// Installs the set that the log decided and continues in it under the same epoch.
    pub(super) async fn continue_in(&mut self, next: &ReplicaSet) -> Result<(), ShardLogError> {
        let installed = self.install(next).await;
        if installed.is_err() {
            // Another owner may continue from here, so this one must send nothing more.
            self.proposer.stop();
        }
        installed?;
        let through =
            self.proposer.continue_in(next.clone()).map_err(|refusal| self.append_error(refusal))?;
        self.wait_until_decided(through).await?;
        let decision = Decision::new(Component::Replication, "set_changed", "majority_accepted", &self.shard);
        let decision = decision.with("epoch", self.epoch()).with("generation", next.generation);
        self.context.decisions.record(decision);
        Ok(())
    }

    /// Installs the set that the log decided, unless another owner has a higher epoch.
    async fn install(&self, next: &ReplicaSet) -> Result<(), ShardLogError> {
        let (ballot, decided_through) = (self.proposer.ballot().clone(), self.proposer.decided_through());
        let owner = Some(ChangeOwner { ballot, decided_through });
        let change = reconfiguration::install_majority(&self.context, self.proposer.set(), next, owner);
        let deadline = Instant::now() + self.context.settings.store.call_timeout * SET_CHANGE_TIMEOUTS;
        let changed = tokio::select! {
            changed = tokio::time::timeout_at(deadline, change) => changed,
            // Nothing is appended during the change, so other nodes rely on heartbeats.
            highest = self.send_heartbeats(next) => return Err(self.superseded_error(highest)),
        };
        match changed {
            Ok(Ok(installed)) if &installed == next => return Ok(()),
            Ok(Err(ReconfigurationError::Superseded { highest })) => {
                return Err(self.superseded_error(highest));
            }
            _ => {}
        }
        log::warn!(target: "store", "Shard {}: generation {} is not in force yet.", self.shard, next.generation);
        Err(self.no_majority_error())
    }

    /// Finishes the replica set change that interrupted this takeover; returns `None` if there was none or it
    /// failed.
    ///
    /// Sends heartbeats to the stores meanwhile, so that no other node starts the same.
    pub(super) async fn finish_replacement(&mut self) -> Option<()> {
        let next = self.replaced_by.take()?;
        let (context, set) = (&self.context, self.proposer.set());
        let change = async {
            if &next == set {
                return reconfiguration::install_remaining(context, set).await;
            }
            reconfiguration::install_majority(context, set, &next, None).await.map(drop)
        };
        let deadline = Instant::now() + self.context.settings.store.call_timeout * SET_CHANGE_TIMEOUTS;
        let changed = async {
            let changed = tokio::time::timeout_at(deadline, change).await;
            changed.ok()?.ok()
        };
        let heartbeats = async {
            // An owner with a higher epoch is detected in the next set; a decided change is finished
            // regardless.
            self.send_heartbeats(&next).await;
            std::future::pending::<()>().await;
        };
        tokio::select! {
            changed = changed => changed,
            () = heartbeats => None,
        }
    }

    /// Sends heartbeats to the stores of the current set and of `next` until one reports a higher epoch;
    /// returns that epoch.
    async fn send_heartbeats(&self, next: &ReplicaSet) -> Epoch {
        let sets = [self.proposer.set(), next];
        let members: BTreeMap<&StoreId, &SetMember> =
            sets.iter().flat_map(|set| &set.members).map(|member| (&member.store, member)).collect();
        loop {
            let send = |member: &SetMember| {
                let address = exchange::member_address(&self.context, member);
                let (shard, ballot) = (self.shard.clone(), self.proposer.ballot().clone());
                let request = StoreRequest::LeaderAlive { shard, ballot };
                let (context, last_answer) = (self.context.clone(), self.last_answer.clone());
                async move {
                    // A lost heartbeat needs no retry, since the next one follows.
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
