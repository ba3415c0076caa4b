//! Reads a long log in two steps: first which events there are, from several stores at a time, then the
//! texts.
//!
//! This is the half that talks to stores; what an outline is and how it becomes a ledger stands in
//! `core::batch::outline`.

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

/// A log of fewer entries is read whole at once: some megabytes. Chosen, not measured: the outline of a short
/// log costs more rounds than it saves.
const MIN_OUTLINE_ENTRIES: u64 = 1_000;
/// By how many decided entries a member may be behind another and still serve most of the log. Chosen, not
/// measured.
const MAX_READER_LAG: u64 = 500;
/// How many call timeouts a store may take for a page: all that start after a loss of power read at a time.
/// Chosen, not measured.
const PAGE_ANSWER_TIMEOUTS: u32 = 3;
/// Rounds of reading in which nothing more came before the log is read in the ordinary way. Chosen, not
/// measured.
const MAX_IDLE_ROUNDS: u32 = 2;
/// How often the members of the log are asked for: all stores are known within half a second of a start
/// together, that is five of these polls 100 ms apart.
const MAX_READ_ATTEMPTS: u32 = 6;
/// The pause before a store that gave nothing is asked again. Chosen, not measured: shorter asks stores that
/// are starting.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What is read of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadMode {
    Outline,
    Full,
}

/// Reads the outline of a log; `None` where it is short or can't be read this way.
pub(super) async fn read(scope: &Scope) -> Option<LedgerFollower> {
    let mut attempts = 0;
    loop {
        let cause = match try_read(scope).await {
            Ok(follower) => return Some(follower),
            Err(cause) => cause,
        };
        attempts += 1;
        if attempts >= MAX_READ_ATTEMPTS || !cause.is_transient() {
            log::info!(target: "batch", "The log is not read by its outline: {cause}.");
            return None;
        }
        tokio::time::sleep(STORE_RETRY_PAUSE).await;
    }
}

/// Why a log is not read by its outline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum OutlineError {
    #[error("no store knows who keeps it; start a majority of its stores")]
    UnknownSet,
    #[error("no member answered with what is decided; start a majority of its stores")]
    NoMember,
    #[error("{0} entries are read at once")]
    Short(u64),
    #[error("it could be read through {read} of {through} entries")]
    Stuck { read: LogIndex, through: LogIndex },
    #[error("an entry is none of ours; run one version of lichenpulleyd on all nodes")]
    UnreadableEntry,
    #[error("its beginning is missing")]
    Incomplete,
}

impl OutlineError {
    /// Whether another try may find what this one did not: a node that has just started learns of the stores
    /// one by one.
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

/// What is read of a log behind its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct MissingTexts {
    /// The first position whose texts callers wait for, less one; the beginning where that is not known.
    pub(super) open_after: LogIndex,
    /// The last one whose texts are missing.
    pub(super) through: LogIndex,
}

impl MissingTexts {
    /// What an outline leaves out.
    pub(super) fn of(outline: &LedgerFollower) -> Self {
        Self { open_after: outline.before_open_jobs().unwrap_or_default(), through: outline.through() }
    }
}

/// Reads the missing texts and hands them over: those of open jobs first, since their callers wait for them,
/// then all.
pub(super) async fn read_texts(scope: Scope, missing: MissingTexts, texts: mpsc::Sender<Ledger>) {
    for after in [missing.open_after, LogIndex::ZERO] {
        let ledger = read_between(&scope, after, missing.through).await;
        if texts.send(ledger).await.is_err() || after == LogIndex::ZERO {
            return;
        }
    }
}

/// Reads a stretch of the log with its texts, however long it takes.
async fn read_between(scope: &Scope, after: LogIndex, through: LogIndex) -> Ledger {
    let began = Instant::now();
    let mut follower = LedgerFollower::beginning_after(after);
    let mut turn = 0;
    while follower.through() < through {
        let page = match replica_sets::find_among_stores(&scope.context, &scope.shard).await {
            Some(set) => {
                let member = nearest(&scope.context, &set, turn).cloned();
                match member {
                    Some(member) => ask(scope, &set, &member, follower.next(), ReadMode::Full).await,
                    None => None,
                }
            }
            None => None,
        };
        let before = follower.through();
        if page.is_none_or(|page| apply(&mut follower, page).is_none()) || follower.through() <= before {
            turn += 1;
            tokio::time::sleep(STORE_RETRY_PAUSE).await;
        }
    }
    record(scope, "texts_read", &follower, began);
    follower.into_ledger()
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
            log::error!(target: "batch", "The log can't be read: {error}.");
            None
        }
    }
}

/// The outlines of a stretch of the log, each store reading a part of it.
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
        let Some(page) = ask(scope, set, member, next, ReadMode::Outline).await else { break };
        let Some(end) = page.entries.last().map(|entry| entry.index).filter(|end| *end >= next) else {
            break;
        };
        next = end.next();
        pages.push(page);
    }
    pages
}

/// Who keeps the log: as a store says that this node has heard of, or else as the platform does. The platform
/// may name the first set; its members say which one followed.
async fn find_set(scope: &Scope) -> Option<ReplicaSet> {
    if let Some(set) = replica_sets::find_among_stores(&scope.context, &scope.shard).await {
        return Some(set);
    }
    // Without a set the log is read in the ordinary way, whose error says why.
    replica_sets::find(&scope.context, &scope.shard).await.ok()
}

/// Where the reading of an outline begins.
struct OutlineStart {
    first: DecidedPage,
    /// Members that have nearly all that is decided.
    readers: Vec<SetMember>,
    /// What each of them knows to be decided; the rest is recovered with what is not known to be.
    through: LogIndex,
}

/// The first page, and the members that can read on to its mark: a disk that was lost has none of the log,
/// and a member that was brought in lately not all.
async fn find_readers(scope: &Scope, set: &ReplicaSet) -> Option<OutlineStart> {
    // A member that is down is not waited for.
    let timeout = scope.context.settings.store.call_timeout;
    let first_page = |member| ask_within(scope, set, member, LogIndex::FIRST, ReadMode::Outline, timeout);
    let asked = set.members.iter().map(first_page);
    let pages = join_all(asked).await;
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

/// A member by its turn, those of this zone first, since bytes between zones are priced.
pub(super) fn nearest<'a>(context: &Context, set: &'a ReplicaSet, turn: usize) -> Option<&'a SetMember> {
    let mut members: Vec<&SetMember> = set.members.iter().collect();
    members.sort_by_key(|member| member.zone != context.settings.zone);
    members.get(turn.checked_rem(members.len())?).copied()
}

async fn ask(
    scope: &Scope,
    set: &ReplicaSet,
    member: &SetMember,
    next: LogIndex,
    mode: ReadMode,
) -> Option<DecidedPage> {
    let timeout = scope.context.settings.store.call_timeout * PAGE_ANSWER_TIMEOUTS;
    ask_within(scope, set, member, next, mode, timeout).await
}

async fn ask_within(
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
        ReadMode::Outline => exchange::ask_outline(&scope.context, member, request, timeout).await,
        ReadMode::Full => exchange::ask(&scope.context, member, request, timeout).await,
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
            // Another set may be in force, where none that followed was learnt meanwhile.
            let known = scope.context.replica_sets.get(&scope.shard);
            if known.is_none_or(|known| known.generation <= set.generation) {
                scope.context.replica_sets.forget(&scope.shard);
            }
            None
        }
        None => None,
    }
}
