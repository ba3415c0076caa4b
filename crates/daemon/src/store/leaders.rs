//! Leader of each shard as seen by this store, from its answers to proposers and from heartbeats.
//!
//! Candidates query it to decide whether an owner is active. Times are read from the monotonic clock of this
//! process; after a restart an owner counts as active since the start.

use std::collections::HashMap;
use std::time::Instant;

use lichenpulley_core::identity::ShardId;
use lichenpulley_core::replication::ballot::Ballot;
use lichenpulley_core::replication::message::ReplicaAnswer;
use lichenpulley_protocol::internal::StoreResponse;
use lichenpulley_protocol::internal::store::Leadership;

use super::worker::WorkResult;
use lichenpulley_core::time::whole_millis;

/// Leader of each shard and the time of its last append, read or heartbeat. Kept in memory, so that queries
/// need no disk access while a takeover reads a long log.
pub(super) struct Leaders {
    pub(super) started_at: Instant,
    by_shard: HashMap<ShardId, Leader>,
}

struct Leader {
    ballot: Ballot,
    active_at: Instant,
}

impl Leaders {
    pub(super) fn new() -> Self {
        Self { started_at: Instant::now(), by_shard: HashMap::new() }
    }

    /// Records the leader from an answer to a proposer.
    pub(super) fn record_answer(&mut self, done: &WorkResult) {
        let WorkResult::Response(StoreResponse::Replica(response)) = done else { return };
        let (ReplicaAnswer::Promised { ballot, .. }
        | ReplicaAnswer::Entries { ballot, .. }
        | ReplicaAnswer::Accepted { ballot, .. }) = &response.outcome
        else {
            return;
        };
        let leader = Leader { ballot: ballot.clone(), active_at: Instant::now() };
        self.by_shard.insert(response.shard.clone(), leader);
    }

    /// Records a heartbeat; ignores it if the ballot is not that of the current leader.
    pub(super) fn record_heartbeat(&mut self, shard: &ShardId, ballot: &Ballot) {
        if let Some(leader) = self.by_shard.get_mut(shard).filter(|leader| &leader.ballot == ballot) {
            leader.active_at = Instant::now();
        }
    }

    pub(super) fn get(&self, shard: &ShardId) -> Option<Leadership> {
        let leader = self.by_shard.get(shard)?;
        Some(leadership(&leader.ballot, leader.active_at))
    }
}

pub(super) fn leadership(ballot: &Ballot, since: Instant) -> Leadership {
    let idle_ms = whole_millis(since.elapsed());
    Leadership { epoch: ballot.epoch, proposer: ballot.proposer.clone(), idle_ms }
}

#[cfg(test)]
mod tests;
