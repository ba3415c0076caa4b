//! Reads a long log in two steps: first its outline, without the texts, from several stores in parallel; then
//! the texts.
//!
//! `core::batch::outline` defines the outline and how it becomes a ledger.

use futures::future::join_all;
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::ledger_follower::{DecidedPage, LedgerFollower};
use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::replication::entry::LogIndex;
use lichenpulley_core::replication::message::{Operation, ReplicaAnswer, ReplicaRequest, StoreRefusal};
use lichenpulley_core::replication::replica_set::{ReplicaSet, SetMember};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::context::Context;
use crate::ownership::scope::Scope;
use crate::store::{exchange, replica_sets};

#[cfg(test)]
mod tests;

/// Minimum number of entries for which the outline is read first; a shorter log is read completely at once.
const MIN_OUTLINE_ENTRIES: u64 = 1_000;
/// Maximum number of decided entries by which a reader may lag behind the most recent member.
const MAX_READER_LAG: u64 = 500;
/// Timeout for one page as a multiple of the call timeout. After a power loss many nodes read from the stores
/// at the same time.
const PAGE_ANSWER_TIMEOUTS: u32 = 3;
/// Number of consecutive rounds without progress after which the outline is abandoned.
const MAX_IDLE_ROUNDS: u32 = 2;
/// Maximum number of attempts to read the outline; covers the half second in which a node that has just
/// started discovers the stores.
const MAX_READ_ATTEMPTS: u32 = 6;
/// Delay before a store that returned nothing is asked again.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Which part of the entries is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadMode {
    Outline,
    Full,
}

/// Reads the outline of a log. Returns `None` if the log is short or its outline can't be read.
pub(super) async fn read(scope: &Scope) -> Option<LedgerFollower> {
    let mut attempts = 0;
    loop {
        let cause = match try_read(scope).await {
            Ok(follower) => return Some(follower),
            Err(cause) => cause,
        };
        attempts += 1;
        if attempts >= MAX_READ_ATTEMPTS || !cause.is_transient() {
            log::info!(target: "batch", "The outline of the log is not used: {cause}.");
            return None;
        }
        tokio::time::sleep(STORE_RETRY_DELAY).await;
    }
}

/// Why the outline of a log is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum OutlineError {
    #[error("no store knows its replica set; start a majority of its stores")]
    UnknownSet,
    #[error("no member returned decided entries; start a majority of its stores")]
    NoMember,
    #[error("the log has only {0} entries and is read completely")]
    Short(u64),
    #[error("reading stopped at entry {read} of {through}; check the stores of the shard")]
    Stuck { read: LogIndex, through: LogIndex },
    #[error("an entry can't be decoded; run one version of lichenpulleyd on all nodes")]
    UnreadableEntry,
    #[error("its first entries are missing")]
    Incomplete,
}

impl OutlineError {
    /// Returns whether another attempt may succeed. A node that has just started discovers the stores one by
    /// one.
    const fn is_transient(self) -> bool {
        matches!(self, Self::UnknownSet | Self::NoMember)
    }
}

async fn try_read(scope: &Scope) -> Result<LedgerFollower, OutlineError> {
    let began = Instant::now();
    let set = find_set(scope).await.ok_or(OutlineError::UnknownSet)?;
    let OutlineStart { first, readers, through } =
        find_readers(scope, &set).await.ok_or(OutlineError::NoMember)?;
    if through.0 < MIN_OUTLINE_ENTRIES {
        return Err(OutlineError::Short(through.0));
    }
    let mut follower = LedgerFollower::default();
    apply(&mut follower, first).ok_or(OutlineError::UnreadableEntry)?;
    let mut idle_rounds = 0;
    while follower.through() < through {
        let before = follower.through();
        for page in read_in_parallel(scope, &set, &readers, follower.next(), through).await {
            apply(&mut follower, page).ok_or(OutlineError::UnreadableEntry)?;
        }
        idle_rounds = if follower.through() > before { 0 } else { idle_rounds + 1 };
        if idle_rounds >= MAX_IDLE_ROUNDS {
            return Err(OutlineError::Stuck { read: follower.through(), through });
        }
    }
    record(scope, "outline_read", &follower, began);
    Some(follower).filter(LedgerFollower::is_complete).ok_or(OutlineError::Incomplete)
}

/// Range of a log whose texts are read after the takeover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct MissingTexts {
    /// The position before the first entry of an open job; zero if it is unknown.
    pub(super) open_after: LogIndex,
    /// The last position whose texts are missing.
    pub(super) through: LogIndex,
    /// Size of the outline in bytes.
    outline_bytes: usize,
}

impl MissingTexts {
    /// Returns the range that an outline leaves out.
    pub(super) fn of(outline: &LedgerFollower) -> Self {
        Self {
            open_after: outline.before_open_jobs().unwrap_or_default(),
            through: outline.through(),
            outline_bytes: outline.held_bytes(),
        }
    }

    /// Returns the bytes of the log that the outline left out, given the log with its texts. A reader that did not
    /// begin at the first entry does not know.
    fn left_out_bytes(&self, whole: &LedgerFollower) -> Option<usize> {
        whole.is_complete().then(|| whole.held_bytes().saturating_sub(self.outline_bytes))
    }
}

/// Texts that were read after the takeover.
pub(super) struct ReadTexts {
    /// A ledger that has them.
    pub(super) ledger: Ledger,
    /// Bytes of the log that the outline left out, once they are known.
    pub(super) left_out_bytes: Option<usize>,
}

/// Reads the missing texts and sends them on `texts`: first those from the first open job on, since callers
/// wait for them, then all.
pub(super) async fn read_texts(scope: Scope, missing: MissingTexts, texts: mpsc::Sender<ReadTexts>) {
    for after in [missing.open_after, LogIndex::ZERO] {
        let follower = read_between(&scope, after, missing.through).await;
        let left_out_bytes = missing.left_out_bytes(&follower);
        let read = ReadTexts { ledger: follower.into_ledger(), left_out_bytes };
        if texts.send(read).await.is_err() || after == LogIndex::ZERO {
            return;
        }
    }
}

/// Reads a range of the log with its texts, and retries until it is complete.
async fn read_between(scope: &Scope, after: LogIndex, through: LogIndex) -> LedgerFollower {
    let began = Instant::now();
    let mut follower = LedgerFollower::beginning_after(after);
    let mut turn = 0;
    while follower.through() < through {
        let page = match replica_sets::find_among_stores(&scope.context, &scope.shard).await {
            Some(set) => {
                let member = nearest(&scope.context, &set, turn).cloned();
                match member {
                    Some(member) => read_page(scope, &set, &member, follower.next(), ReadMode::Full).await,
                    None => None,
                }
            }
            None => None,
        };
        let before = follower.through();
        if page.is_none_or(|page| apply(&mut follower, page).is_none()) || follower.through() <= before {
            turn += 1;
            tokio::time::sleep(STORE_RETRY_DELAY).await;
        }
    }
    record(scope, "texts_read", &follower, began);
    follower
}

fn record(scope: &Scope, action: &str, follower: &LedgerFollower, began: Instant) {
    let decision = Decision::new(Component::Rollout, action, "long_log", &scope.shard);
    let decision = decision.with("through", follower.through()).with("bytes", follower.held_bytes());
    scope.context.decisions.record(decision.with("milliseconds", began.elapsed().as_millis()));
}

fn apply(follower: &mut LedgerFollower, page: DecidedPage) -> Option<()> {
    match follower.apply_page(page) {
        Ok(_) => Some(()),
        Err(error) => {
            log::error!(target: "batch", "Failed to decode the log of the batch jobs: {error}.");
            None
        }
    }
}

/// Reads the outline of a range of the log, one part of it from each reader.
async fn read_in_parallel(
    scope: &Scope,
    set: &ReplicaSet,
    readers: &[SetMember],
    from: LogIndex,
    through: LogIndex,
) -> Vec<DecidedPage> {
    let parts = readers.len().max(1) as u64;
    let length = (through.0 + 1 - from.0).div_ceil(parts).max(1);
    let part = |(number, member)| {
        let first = LogIndex(from.0 + length * number);
        let last = LogIndex((first.0 + length - 1).min(through.0));
        read_range(scope, set, member, first, last)
    };
    let parts = join_all((0..).zip(readers).map(part)).await;
    parts.into_iter().flatten().collect()
}

async fn read_range(
    scope: &Scope,
    set: &ReplicaSet,
    member: &SetMember,
    first: LogIndex,
    last: LogIndex,
) -> Vec<DecidedPage> {
    let (mut pages, mut next) = (Vec::new(), first);
    while next <= last {
        let Some(page) = read_page(scope, set, member, next, ReadMode::Outline).await else { break };
        let Some(end) = page.entries.last().map(|entry| entry.index).filter(|end| *end >= next) else {
            break;
        };
        next = end.next();
        pages.push(page);
    }
    pages
}

/// Returns the replica set of the log as known by a store, or else by the platform. The platform may name the
/// first set; its members report later ones.
async fn find_set(scope: &Scope) -> Option<ReplicaSet> {
    if let Some(set) = replica_sets::find_among_stores(&scope.context, &scope.shard).await {
        return Some(set);
    }
    // Without a set the complete log is read, and that read reports the error.
    replica_sets::find(&scope.context, &scope.shard).await.ok()
}

/// The first page of an outline, and how to read the rest.
struct OutlineStart {
    first: DecidedPage,
    /// Members that have nearly all decided entries.
    readers: Vec<SetMember>,
    /// The last entry that every reader knows to be decided. Later ones are recovered together with undecided
    /// entries.
    through: LogIndex,
}

/// Reads the first page from all members and selects the readers. A member whose disk was replaced has no
/// entries, and one that joined recently may lack some.
async fn find_readers(scope: &Scope, set: &ReplicaSet) -> Option<OutlineStart> {
    // The normal call timeout, so that a member that is down causes no long wait.
    let timeout = scope.context.settings.store.call_timeout;
    let first_page =
        |member| read_page_within(scope, set, member, LogIndex::FIRST, ReadMode::Outline, timeout);
    let requests = set.members.iter().map(first_page);
    let pages = join_all(requests).await;
    let highest = pages.iter().flatten().map(|page| page.decided_through).max()?;
    let is_current = |page: &Option<DecidedPage>| {
        page.as_ref().is_some_and(|page| page.decided_through.0 + MAX_READER_LAG >= highest.0)
    };
    let readers: Vec<SetMember> = set
        .members
        .iter()
        .zip(&pages)
        .filter(|(_, page)| is_current(page))
        .map(|(member, _)| member.clone())
        .collect();
    let through =
        pages.iter().filter(|page| is_current(page)).flatten().map(|page| page.decided_through).min()?;
    let first = pages.into_iter().flatten().max_by_key(|page| page.decided_through)?;
    Some(OutlineStart { first, readers, through })
}

/// Returns the member for a turn, counting members of this zone first, since traffic between zones costs
/// money.
pub(super) fn nearest<'a>(context: &Context, set: &'a ReplicaSet, turn: usize) -> Option<&'a SetMember> {
    let mut members: Vec<&SetMember> = set.members.iter().collect();
    members.sort_by_key(|member| member.zone != context.settings.zone);
    members.get(turn.checked_rem(members.len())?).copied()
}

async fn read_page(
    scope: &Scope,
    set: &ReplicaSet,
    member: &SetMember,
    next: LogIndex,
    mode: ReadMode,
) -> Option<DecidedPage> {
    let timeout = scope.context.settings.store.call_timeout * PAGE_ANSWER_TIMEOUTS;
    read_page_within(scope, set, member, next, mode, timeout).await
}

async fn read_page_within(
    scope: &Scope,
    set: &ReplicaSet,
    member: &SetMember,
    next: LogIndex,
    mode: ReadMode,
    timeout: Duration,
) -> Option<DecidedPage> {
    let request = ReplicaRequest {
        shard: scope.shard.clone(),
        generation: set.generation,
        store: member.store.clone(),
        operation: Operation::ReadDecided(next),
    };
    let response = match mode {
        ReadMode::Outline => exchange::query_outline(&scope.context, member, request, timeout).await,
        ReadMode::Full => exchange::query_replica(&scope.context, member, request, timeout).await,
    };
    match response.map(|response| response.outcome) {
        Some(ReplicaAnswer::Decided { entries, base, decided_through, .. }) => {
            Some(DecidedPage { entries, base, decided_through })
        }
        Some(ReplicaAnswer::Refused(StoreRefusal::NewerGeneration { current })) => {
            scope.context.replica_sets.put(&current);
            None
        }
        Some(_) => {
            // The cached set may be outdated, unless a newer one was cached meanwhile.
            let known = scope.context.replica_sets.get(&scope.shard);
            if known.is_none_or(|known| known.generation <= set.generation) {
                scope.context.replica_sets.remove(&scope.shard);
            }
            None
        }
        None => None,
    }
}
