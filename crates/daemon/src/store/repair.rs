//! Periodic maintenance of the store's replicas: fills gaps left by missed appends, finishes interrupted
//! replica set changes, replaces lost members and removes expired claims.

use std::time::Duration;

use lichenpulley_core::replication::group::{GroupPhase, GroupRecord};
use lichenpulley_core::replication::message::{Operation, ReplicaAnswer, ReplicaRequest, StoreRefusal};
use lichenpulley_core::replication::replica_set::{Generation, ReplicaSet, SetMember};
use rand::seq::IndexedRandom;

use super::exchange::query_replica;
use super::replacement::MemberReplacer;
use super::worker::{Work, WorkResult};
use super::{Store, reconfiguration};
use crate::context::Context;

/// Interval between two maintenance rounds.
const REPAIR_INTERVAL: Duration = Duration::from_secs(2);

/// Runs the maintenance rounds until the node stops.
pub(super) fn spawn(context: Context, store: Store) {
    tokio::spawn(async move {
        let mut replacer = MemberReplacer::default();
        while !context.stopped.is_cancelled() {
            tokio::select! {
                () = context.stopped.cancelled() => return,
                () = tokio::time::sleep(REPAIR_INTERVAL) => run_round(&context, &store, &mut replacer).await,
            }
        }
    });
}

async fn run_round(context: &Context, store: &Store, replacer: &mut MemberReplacer) {
    store.submit(Work::RemoveExpiredClaims).await;
    let WorkResult::Groups(groups) = store.submit(Work::Groups).await else { return };
    // With a metadata store, the owner of the shard replaces members through its log.
    if context.settings.platform.metadata_store.is_none() {
        replacer.run_round(context, &store.id, &groups).await;
    }
    for group in groups {
        match &group.phase {
            GroupPhase::Active => repair(context, store, &group).await,
            GroupPhase::Joining => reconfiguration::catch_up(context, &group.set).await,
            GroupPhase::Sealed { next } => finish_change(context, store, &group, next).await,
        }
    }
}

/// Finishes an interrupted replica set change. A store that is not in the next set leaves this to the others.
async fn finish_change(context: &Context, store: &Store, group: &GroupRecord, next: &ReplicaSet) {
    if next.member(&store.id).is_none() {
        return;
    }
    if let Err(error) = reconfiguration::complete(context, &group.set, next).await {
        log::info!(target: "store", "Shard {}: {error}.", group.set.shard);
    }
}

async fn repair(context: &Context, store: &Store, group: &GroupRecord) {
    let members = group.set.members.iter().filter(|member| member.store != store.id);
    let members: Vec<&SetMember> = members.collect();
    let Some(source) = members.choose(&mut rand::rng()) else { return };
    let mut known = group.position.decided_through;
    loop {
        let request = ReplicaRequest {
            shard: group.set.shard.clone(),
            generation: group.set.generation,
            store: source.store.clone(),
            operation: Operation::ReadDecided(known.next()),
        };
        let response = query_replica(context, source, request, context.settings.store.call_timeout).await;
        let entries = match response.map(|response| response.outcome) {
            Some(ReplicaAnswer::Decided { entries, .. }) => entries,
            Some(ReplicaAnswer::Refused(StoreRefusal::NotInstalled))
                if group.set.generation > Generation::FIRST =>
            {
                return reconfiguration::catch_up(context, &group.set).await;
            }
            _ => return,
        };
        if entries.is_empty() {
            return;
        }
        let (shard, generation) = (group.set.shard.clone(), group.set.generation);
        let WorkResult::Repaired(through) = store.submit(Work::Repair { shard, generation, entries }).await
        else {
            return;
        };
        if through <= known {
            return;
        }
        log::info!(target: "store", "Shard {}: repaired through {through}.", group.set.shard);
        known = through;
    }
}
