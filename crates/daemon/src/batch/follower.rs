//! Follows the log of the batch jobs on the node that would own them next.
//!
//! Reading the complete log is the longest part of a takeover. The coordinator next in rank after the owner
//! therefore reads decided entries continuously, from one store at a time; other candidates read nothing.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use lichenpulley_core::batch::ledger_follower::{DecidedPage, LedgerFollower};
use lichenpulley_core::identity::NodeId;
use lichenpulley_core::replication::entry::LogIndex;
use lichenpulley_core::replication::message::{Operation, ReplicaAnswer, ReplicaRequest};
use lichenpulley_core::replication::replica_set::ReplicaSet;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::outline::nearest;
use crate::ownership::order;
use crate::ownership::scope::Scope;
use crate::store::{exchange, replica_sets};

/// Interval between two reads once all decided entries have been read. Bounds how much is left to read at a
/// takeover. A takeover that followed took 16 ms after 6,709 records, where reading all of them took 1.5 s.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a node that follows nothing checks whether it has become the first successor.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Share of the machine's memory for the followed log, in percent. Lower than the owner's share, so that a
/// log that can be followed here can also be owned here.
const FOLLOWED_MEMORY_PERCENT: usize = 30;

/// Handle of the follower's task, held by the candidate.
pub(super) struct LogFollower {
    shared: Arc<Shared>,
    task: AbortHandle,
}

#[derive(Default)]
struct Shared {
    followed: Mutex<Option<LedgerFollower>>,
    /// Whether this node is taking over or owns the shard.
    is_owning: AtomicBool,
}

impl Drop for LogFollower {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl LogFollower {
    /// Spawns a task that follows the log whenever this node would own the shard next.
    pub(super) fn spawn(scope: Scope) -> Self {
        let shared = Arc::<Shared>::default();
        let task =
            tokio::spawn(Task { scope, shared: Arc::clone(&shared), store_turn: 0, owner: None }.run());
        Self { shared, task: task.abort_handle() }
    }

    /// Takes what was followed so far, if it is complete. Following is paused until [`Self::resume`].
    pub(super) fn take(&self) -> Option<LedgerFollower> {
        self.shared.is_owning.store(true, Ordering::Relaxed);
        self.shared.lock().take().filter(LedgerFollower::is_complete)
    }

    /// Puts back what was followed, after a takeover has failed.
    pub(super) fn put_back(&self, followed: Option<LedgerFollower>) {
        *self.shared.lock() = followed;
    }

    /// Resumes following, once this node no longer owns the shard.
    pub(super) fn resume(&self) {
        self.shared.is_owning.store(false, Ordering::Relaxed);
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, Option<LedgerFollower>> {
        self.followed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct Task {
    scope: Scope,
    shared: Arc<Shared>,
    /// Which store is read, in the order of [`nearest`]; advanced when a store returns nothing.
    store_turn: usize,
    /// The owner whose log is followed.
    owner: Option<FollowedOwner>,
}

/// An owner whose log is followed.
struct FollowedOwner {
    node: NodeId,
    since: Instant,
    /// Whether its log was too long for this node; following is not retried under the same owner.
    is_too_long: bool,
}

/// What the follower does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FollowAction {
    /// Read the next page.
    Follow,
    /// Keep what was read, and read nothing.
    Wait,
    /// Discard what was read: another node follows, or this node drains.
    Drop,
}

impl Task {
    async fn run(mut self) {
        loop {
            let action = self.next_action();
            match action {
                FollowAction::Follow if self.read_page().await => continue,
                FollowAction::Follow | FollowAction::Wait => {}
                FollowAction::Drop => *self.shared.lock() = None,
            }
            let followed_bytes = self.shared.lock().as_ref().map_or(0, LedgerFollower::held_bytes);
            if self.scope.is_main() {
                self.scope.context.metrics.set_followed_bytes(followed_bytes);
            }
            let follows_nothing = action == FollowAction::Drop;
            tokio::time::sleep(if follows_nothing { ROLE_CHECK_INTERVAL } else { FOLLOW_INTERVAL }).await;
        }
    }

    fn next_action(&mut self) -> FollowAction {
        if self.scope.context.draining.is_cancelled() {
            return FollowAction::Drop;
        }
        let owner = self.scope.owner.load_full();
        let Some(node) = owner.filter(|owner| **owner != self.scope.context.node) else {
            return FollowAction::Wait;
        };
        if self.shared.is_owning.load(Ordering::Relaxed) {
            return FollowAction::Wait;
        }
        if !order::is_first_successor(&self.scope, &node) {
            return FollowAction::Drop;
        }
        if self.owner.as_ref().is_none_or(|seen| seen.node != *node) {
            self.owner =
                Some(FollowedOwner { node: NodeId::clone(&node), since: Instant::now(), is_too_long: false });
        }
        let Some(seen) = &self.owner else { return FollowAction::Wait };
        let has_begun = self.shared.lock().is_some();
        let has_waited = seen.since.elapsed() >= self.scope.context.settings.batch.follow_after;
        if !seen.is_too_long && (has_begun || has_waited) { FollowAction::Follow } else { FollowAction::Wait }
    }

    /// Reads one page; returns whether there is more to read.
    async fn read_page(&mut self) -> bool {
        let Some(set) = replica_sets::find_among_stores(&self.scope.context, &self.scope.shard).await else {
            return false;
        };
        let next = self.shared.lock().get_or_insert_default().next();
        let Some(page) = self.request_page(&set, next).await else {
            self.store_turn += 1;
            return false;
        };
        let mut followed = self.shared.lock();
        // The candidate may have taken the follower meanwhile.
        let Some(follower) = followed.as_mut().filter(|follower| follower.next() == next) else {
            return false;
        };
        match follower.apply_page(page) {
            Ok(has_more) => {
                let max_bytes =
                    self.scope.context.settings.machine.memory_bytes / 100 * FOLLOWED_MEMORY_PERCENT;
                if follower.held_bytes() > max_bytes {
                    ::log::warn!(target: "batch", "The log is too long to be followed here: {} bytes.", follower.held_bytes());
                    *followed = None;
                    if let Some(seen) = &mut self.owner {
                        seen.is_too_long = true;
                    }
                    return false;
                }
                has_more
            }
            Err(error) => {
                ::log::error!(target: "batch", "Failed to follow the log of the batch jobs: {error}.");
                *followed = None;
                false
            }
        }
    }

    async fn request_page(&self, set: &ReplicaSet, next: LogIndex) -> Option<DecidedPage> {
        let member = nearest(&self.scope.context, set, self.store_turn)?;
        let request = ReplicaRequest {
            shard: self.scope.shard.clone(),
            generation: set.generation,
            store: member.store.clone(),
            operation: Operation::ReadDecided(next),
        };
        let timeout = self.scope.context.settings.store.call_timeout;
        let response = exchange::query_replica(&self.scope.context, member, request, timeout).await;
        match response.map(|response| response.outcome) {
            Some(ReplicaAnswer::Decided { entries, base, decided_through, .. }) => {
                Some(DecidedPage { entries, base, decided_through })
            }
            Some(_) => {
                // The cached set may be outdated.
                self.scope.context.replica_sets.remove(&self.scope.shard);
                None
            }
            None => None,
        }
    }
}
