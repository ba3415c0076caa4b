//! Replaces a member of a shard's replica set.
//!
//! It runs the core's reconfigurer between the old and the next set, and marks the next set as current in the
//! shard's document afterwards.

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

/// Number of call timeouts after which a replica set change stops; it can be continued later.
const RECONFIGURATION_TIMEOUTS: u32 = 30;
/// Timeout of a store's answer during a change, in call timeouts. Others may read the whole log at the same
/// time, so an answer can take longer than one call timeout; with too short a timeout requests are repeated
/// without progress. With one call timeout a change of two disks was not done after six seconds.
const STORE_ANSWER_TIMEOUTS: u32 = 4;
/// Maximum number of attempts to write a document that others may write at the same time.
const SETTLE_TRIES: u32 = 3;

/// Error of a member replacement.
#[derive(Debug, thiserror::Error)]
pub enum ReconfigurationError {
    /// The replica set document can't be read or written.
    #[error(transparent)]
    Document(#[from] ReplicaSetError),
    /// The shard has no replica set.
    #[error("shard {0} has no replica set; check the name of the shard")]
    UnknownShard(ShardId),
    /// The store is not a member.
    #[error("store {0} is not a member of the replica set; read the set again")]
    NotAMember(StoreId),
    /// No other store is available.
    #[error("no other store answers; start another node with the store role")]
    NoCandidate,
    /// Too few members answered; the change can be finished later.
    #[error("the replica set change is not finished; restore a majority of the old members")]
    Unfinished,
    /// The owner that made the change was superseded.
    #[error("the log is owned under the higher epoch {highest}; stop acting as its owner")]
    Superseded {
        /// The highest epoch seen.
        highest: Epoch,
    },
}

/// Finishes a replica set change that has begun; `next` is the pending set or a later one. Does not need the
/// platform.
///
/// # Errors
/// Returns an error if too few members answer.
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
            log::info!(target: "store", "Shard {}: replica set document not updated yet: {error}.", installed.shard);
        }
    });
    Ok(())
}

/// Finishes a replica set change up to a majority of the next set, and returns the set in force. The
/// remaining members begin when the shard's owner first appends to them, and are repaired by their own nodes.
/// With an `owner` it fails once a store has promised a higher ballot.
///
/// # Errors
/// Returns an error if too few members answer or the owner is superseded.
pub(crate) async fn install_majority(
    context: &Context,
    old: &ReplicaSet,
    next: &ReplicaSet,
    owner: Option<ChangeOwner>,
) -> Result<ReplicaSet, ReconfigurationError> {
    let installed = run_change(context, old, next, InstallTarget::Majority, owner).await?;
    context.replica_sets.put(&installed);
    let decision = Decision::new(Component::Replication, "replaced_set", "installed", &old.shard);
    let decision = decision.with("from", old.generation).with("to", installed.generation);
    context.decisions.record(decision);
    Ok(installed)
}

/// Replaces a member of a shard's replica set by another live store. `reason` is recorded with the decision.
///
/// # Errors
/// Returns an error if the document can't be written, no store is available or too few members answer.
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
    let installed = run_change(context, &current, &next, InstallTarget::All, None).await?;
    context.replica_sets.put(&installed);
    settle(context, &installed).await?;
    Ok(installed)
}

/// Installs the members of a set that are not installed yet.
pub(super) async fn catch_up(context: &Context, set: &ReplicaSet) {
    let reconfigurer = Reconfigurer::catch_up(set.clone(), new_transfer(context), retransmit_after(context));
    if let Err(error) = drive(context, reconfigurer, &[set], InstallTarget::All).await {
        log::info!(target: "store", "Shard {}: some members are not installed yet: {error}.", set.shard);
    }
}

/// Installs a majority of a set whose change was interrupted before.
///
/// # Errors
/// Returns an error if too few members answer.
pub(super) async fn install_remaining(
    context: &Context,
    set: &ReplicaSet,
) -> Result<(), ReconfigurationError> {
    let reconfigurer = Reconfigurer::catch_up(set.clone(), new_transfer(context), retransmit_after(context));
    drive(context, reconfigurer, &[set], InstallTarget::Majority).await.map(drop)
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

/// Finishes a pending change first, since a pending set is never withdrawn.
async fn finish_pending(
    context: &Context,
    client: &DocumentClient,
    stored: StoredDocument,
) -> Result<StoredDocument, ReconfigurationError> {
    let Some(pending) = &stored.document.pending else { return Ok(stored) };
    let installed = run_change(context, &stored.document.current, pending, InstallTarget::All, None).await?;
    settle(context, &installed).await?;
    let stored = replica_sets::read(client, &installed.shard).await?;
    stored.ok_or_else(|| ReconfigurationError::UnknownShard(installed.shard))
}

/// Marks an installed set as current in the document. Stores and owners that finished the same change write
/// the same content, so success is checked by reading the document, not by the result of this write.
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
                log::info!(target: "store", "Shard {}: reading the replica set document again: {error}.", installed.shard);
                failure = Some(error);
            }
        }
    }
    failure.map_or(Ok(()), |error| Err(error.into()))
}

/// Number of members of the next set that must be installed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum InstallTarget {
    /// A majority.
    Majority,
    /// All members that answer.
    All,
}

/// Runs a change and returns the set that is in force afterwards.
async fn run_change(
    context: &Context,
    old: &ReplicaSet,
    next: &ReplicaSet,
    install_target: InstallTarget,
    owner: Option<ChangeOwner>,
) -> Result<ReplicaSet, ReconfigurationError> {
    if next.generation > old.generation.next() {
        // The caller is several changes behind: the later set is in force already.
        return Ok(next.clone());
    }
    let transfer = new_transfer(context);
    let mut reconfigurer = Reconfigurer::new(old.clone(), next.clone(), transfer, retransmit_after(context));
    if let Some(owner) = owner {
        reconfigurer = reconfigurer.with_owner(owner);
    }
    let later = drive(context, reconfigurer, &[old, next], install_target).await?;
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

/// Exchanges messages until enough members are installed; returns a later set if a store reports one.
async fn drive(
    context: &Context,
    mut reconfigurer: Reconfigurer,
    sets: &[&ReplicaSet],
    install_target: InstallTarget,
) -> Result<Option<ReplicaSet>, ReconfigurationError> {
    let origin = Instant::now();
    let deadline = origin + context.settings.store.call_timeout * RECONFIGURATION_TIMEOUTS;
    let mut exchange = StoreExchange::with_deadline(context.clone(), answer_deadline(context));
    let mut has_majority = false;
    loop {
        match reconfigurer.poll_event() {
            Some(ReconfigurerEvent::Installed) if install_target == InstallTarget::Majority => {
                return Ok(None);
            }
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
