//! Copying state to one member of the next generation.
//!
//! Tracks the next page to copy from each source, and starts a new pass when the member reports pages out of
//! order or the sources change.
//!
//! Invariant: the member has every decided entry of its [`HeldEntries`] on its disk. A decided entry is the
//! same on all replicas, so each pass reads only the entries after them.

use super::entry::LogIndex;
use super::group::LogPosition;
use super::message::{CopiedSource, CopyPage, Install, Operation, PagePosition, StatePage, TransferId};
use super::reconfigurer::Sources;
use super::replica_set::{Generation, ReplicaSet, StoreId};
use crate::time::Timestamp;

/// Copies the sources in order, page by page, with at most one outstanding request.
pub(super) struct CopyTarget {
    pub(super) retry_at: Option<Timestamp>,
    /// The index of the source that is being copied.
    source: usize,
    step: Step,
    /// The number of pages stored from the current source.
    number: u64,
    /// The sources that are copied completely.
    done: Vec<CopiedSource>,
    skip_copying: bool,
    /// The number of the current pass.
    pass: u64,
    /// Kept when a new pass starts.
    held: HeldEntries,
    /// The last position that the current source knew to be decided in all of its pages so far. An installed
    /// source accepts entries meanwhile, and a page that arrives late is from an earlier state.
    source_decided: Option<LogIndex>,
}

/// The decided entries that a member has: those from `base` to `through`.
#[derive(Clone, Copy, Default)]
struct HeldEntries {
    /// Earlier positions are covered by a decided snapshot.
    base: LogIndex,
    /// The last position.
    through: LogIndex,
}

impl HeldEntries {
    fn extend(&mut self, base: LogIndex, through: LogIndex) {
        self.base = self.base.max(base);
        self.through = self.through.max(through).max(self.base.previous());
    }
}

enum Step {
    /// Start reading the current source.
    Begin,
    /// Read a page at this position.
    Read(PagePosition),
    /// Store this page.
    Store(StatePage),
}

impl Default for CopyTarget {
    fn default() -> Self {
        Self {
            retry_at: None,
            source: 0,
            step: Step::Begin,
            number: 0,
            done: Vec::new(),
            skip_copying: false,
            pass: 0,
            held: HeldEntries::default(),
            source_decided: None,
        }
    }
}

impl CopyTarget {
    /// Starts a new pass, not before `retry_at`.
    pub(super) fn restart(&mut self, retry_at: Option<Timestamp>) {
        let (skip_copying, pass, held) = (self.skip_copying, self.pass + 1, self.held);
        *self = Self { retry_at, skip_copying, pass, held, ..Self::default() };
    }

    /// Records the position that the member reported when it was sealed. Starts a new pass if the current one
    /// reads entries that the member has.
    pub(super) fn handle_sealed(&mut self, position: &LogPosition) {
        let known = self.held.through;
        self.held.extend(position.base, position.decided_through);
        if self.held.through > known && !matches!(self.step, Step::Begin) {
            self.restart(None);
        }
    }

    pub(super) fn skip_copying(&mut self, skip: bool) {
        self.skip_copying = skip;
    }

    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        self.retry_at.is_none_or(|at| at <= now)
    }

    /// Returns the next operation with its receiver and generation.
    pub(super) fn next_request(
        &mut self,
        target: &StoreId,
        sources: &Sources,
        set: &ReplicaSet,
        transfer: &TransferId,
    ) -> Option<(StoreId, Generation, Operation)> {
        self.skip_target(target, sources);
        let transfer = &transfer.pass(self.pass);
        let Some(source) = sources.stores.get(self.source) else {
            let install = self.install(sources, set, transfer);
            return Some((target.clone(), set.generation, Operation::Install(install)));
        };
        if matches!(self.step, Step::Begin) {
            self.step = Step::Read(self.start());
        }
        match &self.step {
            Step::Begin => None,
            Step::Read(from) => {
                Some((source.clone(), sources.generation, Operation::ReadState(from.clone())))
            }
            Step::Store(page) => {
                let copy = CopyPage {
                    set: set.clone(),
                    transfer: transfer.clone(),
                    source: source.clone(),
                    number: self.number,
                    page: page.clone(),
                };
                Some((target.clone(), set.generation, Operation::Copy(copy)))
            }
        }
    }

    /// Returns the position at which reading from a source starts.
    fn start(&self) -> PagePosition {
        match self.held.through {
            LogIndex::ZERO => PagePosition::START,
            through => PagePosition::Entries(through.next()),
        }
    }

    /// Handles a page that was read from a source. Ignores it if it is not the page needed next.
    pub(super) fn handle_page(
        &mut self,
        sources: &Sources,
        source: &StoreId,
        from: &PagePosition,
        page: &StatePage,
    ) {
        let is_current = sources.stores.get(self.source) == Some(source);
        let Step::Read(position) = &self.step else { return };
        if is_current && position == from {
            let decided = page.position.decided_through;
            self.source_decided = Some(self.source_decided.map_or(decided, |known| known.min(decided)));
            self.step = Step::Store(page.clone());
            self.retry_at = None;
        }
    }

    /// Returns whether `copied` is the current pass of `transfer`. Another pass had other pages.
    pub(super) fn is_current_pass(&self, transfer: &TransferId, copied: &TransferId) -> bool {
        &transfer.pass(self.pass) == copied
    }

    /// Handles the target's confirmation that it stored the pages of a source before number `next`.
    pub(super) fn handle_copied(&mut self, sources: &Sources, source: &StoreId, next: u64) {
        let is_current = sources.stores.get(self.source) == Some(source);
        let Step::Store(page) = &self.step else { return };
        if !is_current || next != self.number + 1 {
            return;
        }
        let decided = self.source_decided.unwrap_or_default();
        // Pages of claims follow the last entry.
        let last = page.entries.last().map_or(decided, |last| last.index.min(decided));
        self.held.extend(page.position.base, last);
        self.number = next;
        self.retry_at = None;
        match page.next.clone() {
            Some(position) => self.step = Step::Read(position),
            None => self.source_done(source),
        }
    }

    fn source_done(&mut self, source: &StoreId) {
        self.done.push(CopiedSource { store: source.clone(), pages: self.number });
        self.source += 1;
        self.number = 0;
        self.step = Step::Begin;
        self.source_decided = None;
    }

    /// Skips the target itself as a source, since it already has its own state.
    fn skip_target(&mut self, target: &StoreId, sources: &Sources) {
        while let Some(source) =
            sources.stores.get(self.source).filter(|source| self.skip_copying || *source == target)
        {
            self.source_done(source);
        }
    }

    fn install(&self, sources: &Sources, set: &ReplicaSet, transfer: &TransferId) -> Install {
        let HeldEntries { base, through } = self.held;
        let held = LogPosition { base, decided_through: through, ..LogPosition::default() };
        Install {
            set: set.clone(),
            transfer: transfer.clone(),
            basis: sources.basis,
            old_members: sources.old_members,
            sources: self.done.clone(),
            position: sources.position().merged(held),
        }
    }
}
