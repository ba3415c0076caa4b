//! Write-once claims on the ids of requests that may run at most once.
//!
//! This module collects the votes on one claim; the core's `claim_tally` decides the outcome. Only `Granted`
//! allows a dispatch.

use std::collections::BTreeMap;
use std::time::Duration;

use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::{AttemptId, RequestId, ShardId};
use lichenpulley_core::replication::claim_tally::{ClaimTally, TallyResult};
use lichenpulley_core::replication::message::{
    ClaimRequest, Operation, ReplicaAnswer, ReplicaRequest, StoreRefusal,
};
use lichenpulley_core::replication::replica_set::{Generation, ReplicaSet, StoreId};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::exchange::{Answer, StoreExchange};
use super::{reconfiguration, replica_sets};
use crate::context::Context;

/// Number of shards over which request ids are distributed. It must be the same on all nodes and never change
/// in a deployment; otherwise a claim would be looked up in the wrong shard and granted twice.
pub(crate) const CLAIM_SHARDS: u64 = 16;
/// Prefix of the names of claim shards.
const CLAIM_SHARD_PREFIX: &str = "claims/";
/// Delay before a replica without a vote is asked again.
const VOTE_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Number of call timeouts after which a claim without a majority is refused; with one, a single slow store
/// would refuse it.
const CLAIM_TIMEOUTS: u32 = 2;

/// Outcome of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// A majority granted the claim to this attempt; only this attempt may send the request to an engine.
    Granted,
    /// Another attempt holds the id or may hold it; this attempt must not send the request.
    Held,
    /// The issue time of the id is outside the window in which claims are retained. The claim is refused,
    /// since an earlier one may have been removed already, or this one might never be removed.
    Expired,
    /// No majority answered. This attempt must not send the request, and the state of the claim is unknown.
    NoMajority,
}

impl ClaimOutcome {
    const fn reason(&self) -> &'static str {
        match self {
            Self::Granted => "majority_granted",
            Self::Held => "held_by_another_attempt",
            Self::Expired => "outside_claim_window",
            Self::NoMajority => "no_majority",
        }
    }
}

/// Claims a request id for one attempt. Only `Granted` allows a dispatch.
pub async fn claim(
    context: &Context,
    request: &RequestId,
    issued_at_unix_ms: u64,
    attempt: &AttemptId,
) -> ClaimOutcome {
    let shard = claim_shard(request);
    let claim = ClaimRequest { request: request.clone(), issued_at_unix_ms, attempt: attempt.clone() };
    let deadline = Instant::now() + context.settings.store.call_timeout * CLAIM_TIMEOUTS;
    let outcome = tokio::time::timeout_at(deadline, claim_on(context, &shard, &claim)).await;
    let outcome = outcome.unwrap_or(ClaimOutcome::NoMajority);
    if outcome == ClaimOutcome::NoMajority {
        context.replica_sets.remove(&shard);
    }
    let action = if outcome == ClaimOutcome::Granted { "claim_granted" } else { "claim_refused" };
    let decision = Decision::new(Component::Replication, action, outcome.reason(), request);
    context.decisions.record(decision.with("shard", &shard).with("attempt", attempt));
    outcome
}

/// Returns the shard that stores the claim on a request.
pub fn claim_shard(request: &RequestId) -> ShardId {
    let bucket = xxh3_64(request.as_str().as_bytes()) % CLAIM_SHARDS;
    ShardId::new(format!("{CLAIM_SHARD_PREFIX}{bucket}"))
}

/// Claims in successive generations of the replica set until one decides.
async fn claim_on(context: &Context, shard: &ShardId, claim: &ClaimRequest) -> ClaimOutcome {
    loop {
        let set = match replica_sets::find(context, shard).await {
            Ok(set) => set,
            Err(error) => {
                log::warn!(target: "store", "Request {}: shard {shard} has no replica set: {error}.", claim.request);
                return ClaimOutcome::NoMajority;
            }
        };
        match collect_votes(context, &set, claim).await {
            VotingResult::Decided(outcome) => return outcome,
            VotingResult::Replaced(next) => {
                if reconfiguration::complete(context, &set, &next).await.is_err() {
                    return ClaimOutcome::NoMajority;
                }
            }
        }
    }
}

/// Result of the votes in one generation.
enum VotingResult {
    Decided(ClaimOutcome),
    Replaced(ReplicaSet),
}

async fn collect_votes(context: &Context, set: &ReplicaSet, claim: &ClaimRequest) -> VotingResult {
    let mut exchange = StoreExchange::new(context.clone());
    let mut tally = ClaimTally::new(set);
    let mut operations = BTreeMap::new();
    for member in &set.members {
        operations.insert(member.store.clone(), Operation::Claim(claim.clone()));
        send(&exchange, set, &member.store, &operations);
    }
    loop {
        let Some(Answer { store, response }) = exchange.next().await else {
            return VotingResult::Decided(ClaimOutcome::NoMajority);
        };
        match response.map(|response| response.outcome) {
            Some(ReplicaAnswer::Voted { vote, .. }) => tally.add(&store, &vote),
            Some(ReplicaAnswer::Begun) => {
                operations.insert(store.clone(), Operation::Claim(claim.clone()));
                send(&exchange, set, &store, &operations);
            }
            Some(ReplicaAnswer::Refused(StoreRefusal::SealedFor { next })) => {
                return VotingResult::Replaced(next);
            }
            Some(ReplicaAnswer::Refused(StoreRefusal::NewerGeneration { current })) => {
                return VotingResult::Replaced(current);
            }
            Some(ReplicaAnswer::Refused(StoreRefusal::NotInstalled)) if can_begin(set, &tally) => {
                operations.insert(store.clone(), Operation::Begin(set.clone()));
                send(&exchange, set, &store, &operations);
            }
            _ => send_after(VOTE_RETRY_PAUSE, &exchange, set, &store, &operations),
        }
        match tally.result() {
            TallyResult::Granted => return VotingResult::Decided(ClaimOutcome::Granted),
            TallyResult::Held => return VotingResult::Decided(ClaimOutcome::Held),
            TallyResult::OutsideWindow => return VotingResult::Decided(ClaimOutcome::Expired),
            TallyResult::Pending => {}
        }
    }
}

/// Returns whether members without a replica may create one. Members of a later generation may do so only
/// after a majority of the set has voted.
fn can_begin(set: &ReplicaSet, tally: &ClaimTally) -> bool {
    set.generation == Generation::FIRST || tally.answered() >= set.majority()
}

fn send(exchange: &StoreExchange, set: &ReplicaSet, to: &StoreId, operations: &BTreeMap<StoreId, Operation>) {
    send_after(Duration::ZERO, exchange, set, to, operations);
}

fn send_after(
    pause: Duration,
    exchange: &StoreExchange,
    set: &ReplicaSet,
    to: &StoreId,
    operations: &BTreeMap<StoreId, Operation>,
) {
    let Some(operation) = operations.get(to) else { return };
    let request = ReplicaRequest {
        shard: set.shard.clone(),
        generation: set.generation,
        store: to.clone(),
        operation: operation.clone(),
    };
    exchange.send_after(pause, &[set], to, request);
}
