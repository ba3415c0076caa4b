//! Follows the log of the batch jobs on the node that would own them next.
//!
//! Reading the whole log is the longest part of a takeover. The first coordinator beside the owner reads what
//! is decided as it comes, a quarter of a second behind, from one store after another; the others read
//! nothing.

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

/// Time between two readings once all that is decided was read. A takeover goes on from what was read: 16 ms
/// after 6,709 records, where reading all took 1.5 s. Chosen, not measured: longer leaves more to read,
/// shorter asks the stores more.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(250);
/// The part of the machine's memory that the followed log may take, in percent. Chosen, not measured: below
/// the owner's bound of 35, so that what is followed here can also be owned here.
const FOLLOWED_MEMORY_PERCENT: usize = 30;

/// The follower's task, as the candidate sees it.
pub(super) struct LogFollower {
    shared: Arc<Shared>,
    task: AbortHandle,
}

#[derive(Default)]
struct Shared {
    followed: Mutex<Option<LedgerFollower>>,
    /// Whether this node takes over or owns.
    is_owning: AtomicBool,
}

impl Drop for LogFollower {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl LogFollower {
    /// Begins to follow whenever this node would own next.
    pub(super) fn spawn(scope: Scope) -> Self {
        let shared = Arc::<Shared>::default();
        let task =
            tokio::spawn(Task { scope, shared: Arc::clone(&shared), store_turn: 0, owner: None }.run());
        Self { shared, task: task.abort_handle() }
    }

    /// What was followed so far; nothing more is followed until [`Self::resume`].
    pub(super) fn take(&self) -> Option<LedgerFollower> {
        self.shared.is_owning.store(true, Ordering::Relaxed);
        self.shared.lock().take().filter(LedgerFollower::is_complete)
    }

    /// The takeover failed: what was followed is followed on.
    pub(super) fn put_back(&self, followed: Option<LedgerFollower>) {
        *self.shared.lock() = followed;
    }

    /// This node owns no longer.
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
    /// Which store is read, in the order of [`nearest`]; another after one that gave nothing.
    store_turn: usize,
    /// The owner that is followed.
    owner: Option<FollowedOwner>,
}

/// An owner as this node sees it.
struct FollowedOwner {
    node: NodeId,
    since: Instant,
    /// Whether its log was too long for this node: it is not begun again under the same owner.
    is_too_long: bool,
}

/// What to do about the log now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FollowAction {
    /// Read on.
    Follow,
    /// Keep what there is, and read nothing.
    Wait,
    /// Another node follows.
    Drop,
}

impl Task {
    async fn run(mut self) {
        loop {
            match self.next_action() {
                FollowAction::Follow if self.read_page().await => continue,
                FollowAction::Follow | FollowAction::Wait => {}
                FollowAction::Drop => *self.shared.lock() = None,
            }
            let followed_bytes = self.shared.lock().as_ref().map_or(0, LedgerFollower::held_bytes);
            if self.scope.is_main() {
                self.scope.context.metrics.set_followed_bytes(followed_bytes);
            }
            tokio::time::sleep(FOLLOW_INTERVAL).await;
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
        if !order::is_next(&self.scope, &node) {
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

    /// Reads once; returns whether there is more.
    async fn read_page(&mut self) -> bool {
        let Some(set) = replica_sets::find_among_stores(&self.scope.context, &self.scope.shard).await else {
            return false;
        };
        let next = self.shared.lock().get_or_insert_default().next();
        let Some(page) = self.ask(&set, next).await else {
            self.store_turn += 1;
            return false;
        };
        let mut followed = self.shared.lock();
        // It may have been taken meanwhile.
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
                ::log::error!(target: "batch", "The log can't be followed: {error}.");
                *followed = None;
                false
            }
        }
    }

    async fn ask(&self, set: &ReplicaSet, next: LogIndex) -> Option<DecidedPage> {
        let member = nearest(&self.scope.context, set, self.store_turn)?;
        let request = ReplicaRequest {
            shard: self.scope.shard.clone(),
            generation: set.generation,
            store: member.store.clone(),
            operation: Operation::ReadDecided(next),
        };
        let timeout = self.scope.context.settings.store.call_timeout;
        let response = exchange::ask(&self.scope.context, member, request, timeout).await;
        match response.map(|response| response.outcome) {
            Some(ReplicaAnswer::Decided { entries, base, decided_through, .. }) => {
                Some(DecidedPage { entries, base, decided_through })
            }
            Some(_) => {
                // Another set may be in force.
                self.scope.context.replica_sets.forget(&self.scope.shard);
                None
            }
            None => None,
        }
    }
}
