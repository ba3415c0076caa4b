//! Copying state to one member of the next generation.
//!
//! Tracks the next page to copy from each source, and restarts when the member reports pages out of order.

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
        }
    }
}

impl CopyTarget {
    /// Starts a new pass, not before `retry_at`.
    pub(super) fn restart(&mut self, retry_at: Option<Timestamp>) {
        let (skip_copying, pass) = (self.skip_copying, self.pass + 1);
        *self = Self { retry_at, skip_copying, pass, ..Self::default() };
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
            self.step = Step::Read(sources.start(self.source, target));
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
            self.step = Step::Store(page.clone());
            self.retry_at = None;
        }
    }

    /// Handles the target's confirmation that it stored the pages of a source before number `next`.
    pub(super) fn handle_copied(&mut self, sources: &Sources, source: &StoreId, next: u64) {
        let is_current = sources.stores.get(self.source) == Some(source);
        let Step::Store(page) = &self.step else { return };
        if !is_current || next != self.number + 1 {
            return;
        }
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
        Install {
            set: set.clone(),
            transfer: transfer.clone(),
            basis: sources.basis,
            old_members: sources.old_members,
            sources: self.done.clone(),
            position: sources.position(),
        }
    }
}
