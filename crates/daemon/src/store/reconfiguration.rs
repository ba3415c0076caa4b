//! Replaces a member of a shard's replica set.
//!
//! Drives the core's reconfigurer between the old and the next set, and settles the set's document afterwards.

use std::time::Duration;

use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::{Epoch, ShardId};
use lichenpulley_core::replication::message::TransferId;
use lichenpulley_core::replication::placement::best_addition;
use lichenpulley_core::replication::reconfigurer::{ChangeOwner, Reconfigurer, ReconfigurerEvent};
use lichenpulley_core::replication::replica_set::{ReplicaSet, ReplicaSetDocument, SetMember, StoreId};
use lichenpulley_core::time::Timestamp;
use tokio::time::Instant;

use super::RETRANSMIT_MARGIN;
use super::exchange::StoreExchange;
use super::replica_sets::{self, DocumentClient, ReplicaSetError, StoredDocument};
use crate::context::Context;

/// How many call timeouts a change may last before it is given up; it can be taken up again: too few give up a
/// change that is under way, too many hold its caller.
const RECONFIGURATION_TIMEOUTS: u32 = 30;
/// How many call timeouts a store may take to answer in a change: beside the pages of a whole log, which
/// others read there meanwhile, its answers wait for longer than one. Requests that were given up after one
/// came again without end, and a change of two disks was not done after six seconds.
const STORE_ANSWER_TIMEOUTS: u32 = 4;
/// How often a document that others write as well is written before the last failure is reported.
const SETTLE_TRIES: u32 = 3;

/// Why a member was not replaced.
#[derive(Debug, thiserror::Error)]
pub enum ReconfigurationError {
    /// The shard's document could not be read or written.
    #[error(transparent)]
    Document(#[from] ReplicaSetError),
    /// The shard has no replica set.
    #[error("shard {0} has no replica set; nothing is to be replaced")]
    UnknownShard(ShardId),
    /// The store is no member.
    #[error("store {0} is no member of the replica set; read the set again")]
    NotAMember(StoreId),
    /// No other store can take the place.
    #[error("no other store answers; start another node with the store role")]
    NoCandidate,
    /// Too few members answered; what was begun can be finished later.
    #[error("the change of replica set is not finished; restore a majority of the old members")]
    Unfinished,
    /// The owner that changed its stores was superseded.
    #[error("the log is held under the higher epoch {highest}; stop acting for it")]
    Superseded {
        /// The highest epoch seen.
        highest: Epoch,
    },
}

/// Finishes a change of replica set that was begun: `next` is the pending set or a later one. Needs no platform.
///
/// # Errors
/// When too few members answer.
pub async fn complete(
    context: &Context,
    old: &ReplicaSet,
    next: &ReplicaSet,
) -> Result<(), ReconfigurationError> {
    let installed = install_majority(context, old, next, None).await?;
    let context = context.clone();
    tokio::spawn(async move {
        catch_up(&context, &installed).await;
        if let Err(error) = settle(&context, &installed).await {
            log::info!(target: "store", "Shard {}: the document is settled later: {error}.", installed.shard);
        }
    });
    Ok(())
}

/// Finishes a change of replica set up to a majority of the next set, and gives the set in force. The others begin when the shard's owner first
/// appends to them, and are repaired by their own nodes. With an `owner` it ends once a store has promised a higher ballot.
///
/// # Errors
/// When too few members answer, or the owner was superseded.
pub(crate) async fn install_majority(
    context: &Context,
    old: &ReplicaSet,
    next: &ReplicaSet,
    owner: Option<ChangeOwner>,
) -> Result<ReplicaSet, ReconfigurationError> {
    let installed = run(context, old, next, Extent::Majority, owner).await?;
    context.replica_sets.put(&installed);
    let decision = Decision::new(Component::Replication, "replaced_set", "installed", &old.shard);
    let decision = decision.with("from", old.generation).with("to", installed.generation);
    context.decisions.record(decision);
    Ok(installed)
}

/// Replaces a member of a shard's replica set by another store, chosen among the live ones. `reason` is shown with
/// the decision.
///
/// # Errors
/// When the document can't be written, no store is free, or too few members answer.
pub async fn replace(
    context: &Context,
    shard: &ShardId,
    leaving: &StoreId,
    reason: &str,
) -> Result<ReplicaSet, ReconfigurationError> {
    let client = DocumentClient::from_settings(&context.settings)?;
    let stored = replica_sets::read(&client, shard).await?;
    let stored = stored.ok_or_else(|| ReconfigurationError::UnknownShard(shard.clone()))?;
    let stored = finish_pending(context, &client, stored).await?;
    let current = stored.document.current;
    if current.member(leaving).is_none() {
        return Err(ReconfigurationError::NotAMember(leaving.clone()));
    }
    let next = choose_next(context, &current, leaving).await?;
    let document = ReplicaSetDocument { current: current.clone(), pending: Some(next.clone()) };
    replica_sets::write(&client, shard, Some(stored.version), &document).await?;
    let decision = Decision::new(Component::Replication, "replacing", reason, shard);
    context.decisions.record(decision.with("leaving", leaving).with("generation", next.generation));
    let installed = run(context, &current, &next, Extent::All, None).await?;
    context.replica_sets.put(&installed);
    settle(context, &installed).await?;
    Ok(installed)
}

/// Brings in members of a set that have not been installed while the others have.
pub(super) async fn catch_up(context: &Context, set: &ReplicaSet) {
    let reconfigurer = Reconfigurer::catch_up(set.clone(), new_transfer(context), retransmit_after(context));
    if let Err(error) = drive(context, reconfigurer, &[set], Extent::All).await {
        log::info!(target: "store", "Shard {}: some members are not installed yet: {error}.", set.shard);
    }
}

/// Finishes a change that stopped after members of the set were heard of and before a majority of them was installed.
///
/// # Errors
/// When too few members answer.
pub(super) async fn install_rest(context: &Context, set: &ReplicaSet) -> Result<(), ReconfigurationError> {
    let reconfigurer = Reconfigurer::catch_up(set.clone(), new_transfer(context), retransmit_after(context));
    drive(context, reconfigurer, &[set], Extent::Majority).await.map(drop)
}

async fn choose_next(
    context: &Context,
    current: &ReplicaSet,
    leaving: &StoreId,
) -> Result<ReplicaSet, ReconfigurationError> {
    let staying: Vec<SetMember> =
        current.members.iter().filter(|member| &member.store != leaving).cloned().collect();
    let mut candidates = replica_sets::candidates(context, &current.shard).await;
    candidates.retain(|candidate| &candidate.store != leaving);
    let joining = best_addition(&current.shard, &staying, &candidates);
    let joining = joining.ok_or(ReconfigurationError::NoCandidate)?;
    current.with_replaced(leaving, joining).ok_or(ReconfigurationError::NoCandidate)
}

/// A change that is pending goes first: a pending set is never withdrawn.
async fn finish_pending(
    context: &Context,
    client: &DocumentClient,
    stored: StoredDocument,
) -> Result<StoredDocument, ReconfigurationError> {
    let Some(pending) = &stored.document.pending else { return Ok(stored) };
    let installed = run(context, &stored.document.current, pending, Extent::All, None).await?;
    settle(context, &installed).await?;
    let stored = replica_sets::read(client, &installed.shard).await?;
    stored.ok_or_else(|| ReconfigurationError::UnknownShard(installed.shard))
}

/// Writes that a set is current, once it is installed. Stores and owners that finished the same change write the
/// same, so that the document tells whether it is written, not the answer to this write.
async fn settle(context: &Context, installed: &ReplicaSet) -> Result<(), ReconfigurationError> {
    let client = DocumentClient::from_settings(&context.settings)?;
    let mut failure = None;
    for _ in 0..SETTLE_TRIES {
        let stored = replica_sets::read(&client, &installed.shard).await?;
        let is_pending = |stored: &StoredDocument| stored.document.pending.as_ref() == Some(installed);
        let Some(stored) = stored.filter(is_pending) else { return Ok(()) };
        let settled = stored.document.completed();
        match replica_sets::write(&client, &installed.shard, Some(stored.version), &settled).await {
            Ok(()) => return Ok(()),
            Err(error) => {
                log::info!(target: "store", "Shard {}: the document is read again: {error}.", installed.shard);
                failure = Some(error);
            }
        }
    }
    failure.map_or(Ok(()), |error| Err(error.into()))
}

/// How many members of the next set must be installed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Extent {
    /// Enough for it to decide.
    Majority,
    /// All, as far as they answer.
    All,
}

/// Runs a change; gives the set that is in force in the end.
async fn run(
    context: &Context,
    old: &ReplicaSet,
    next: &ReplicaSet,
    extent: Extent,
    owner: Option<ChangeOwner>,
) -> Result<ReplicaSet, ReconfigurationError> {
    if next.generation > old.generation.next() {
        // Several changes behind: the later set is in force already.
        return Ok(next.clone());
    }
    let transfer = new_transfer(context);
    let mut reconfigurer = Reconfigurer::new(old.clone(), next.clone(), transfer, retransmit_after(context));
    if let Some(owner) = owner {
        reconfigurer = reconfigurer.with_owner(owner);
    }
    let later = drive(context, reconfigurer, &[old, next], extent).await?;
    Ok(later.unwrap_or_else(|| next.clone()))
}

fn new_transfer(context: &Context) -> TransferId {
    TransferId(format!("{}/{:016x}", context.node, rand::random::<u64>()))
}

fn retransmit_after(context: &Context) -> Duration {
    answer_deadline(context) + RETRANSMIT_MARGIN
}

fn answer_deadline(context: &Context) -> Duration {
    context.settings.store.call_timeout * STORE_ANSWER_TIMEOUTS
}

/// Exchanges messages until enough members are installed; gives a later set where one was met.
async fn drive(
    context: &Context,
    mut reconfigurer: Reconfigurer,
    sets: &[&ReplicaSet],
    extent: Extent,
) -> Result<Option<ReplicaSet>, ReconfigurationError> {
    let origin = Instant::now();
    let deadline = origin + context.settings.store.call_timeout * RECONFIGURATION_TIMEOUTS;
    let mut exchange = StoreExchange::with_deadline(context.clone(), answer_deadline(context));
    let mut has_majority = false;
    loop {
        match reconfigurer.poll_event() {
            Some(ReconfigurerEvent::Installed) if extent == Extent::Majority => return Ok(None),
            Some(ReconfigurerEvent::Installed) => has_majority = true,
            Some(ReconfigurerEvent::Complete) => return Ok(None),
            Some(ReconfigurerEvent::AlreadyReplaced(later)) => return Ok(Some(later)),
            Some(ReconfigurerEvent::Superseded { highest }) => {
                return Err(ReconfigurationError::Superseded { highest });
            }
            None => {}
        }
        let now = Timestamp::ORIGIN + origin.elapsed();
        while let Some(transmit) = reconfigurer.poll_transmit(now) {
            exchange.send(sets, &transmit.to, transmit.request);
        }
        if Instant::now() >= deadline {
            let unfinished = ReconfigurationError::Unfinished;
            return if has_majority { Ok(None) } else { Err(unfinished) };
        }
        let retry = reconfigurer.poll_timeout().map(|at| origin + Duration::from_micros(at.as_micros()));
        let until = retry.map_or(deadline, |retry| retry.min(deadline));
        let answer = tokio::time::timeout_at(until, exchange.next()).await;
        if let Ok(Some(response)) = answer.map(|answer| answer.and_then(|answer| answer.response)) {
            reconfigurer.step(response);
        }
    }
}
