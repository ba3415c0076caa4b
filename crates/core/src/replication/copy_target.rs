//! One member of the next generation while state is copied to it.
//!
//! Owns which page of which source comes next for it, and begins anew when the member has lost its place.

use super::message::{CopiedSource, CopyPage, Install, Operation, PagePosition, StatePage, TransferId};
use super::reconfigurer::Sources;
use super::replica_set::{Generation, ReplicaSet, StoreId};
use crate::time::Timestamp;

/// Copies the sources one after the other, page by page. At most one request for it is on the way.
pub(super) struct CopyTarget {
    pub(super) retry_at: Option<Timestamp>,
    /// Which of the sources is being copied.
    source: usize,
    step: Step,
    /// Pages stored from the present source.
    number: u64,
    /// Sources that are done.
    done: Vec<CopiedSource>,
    skip_copying: bool,
    /// Which pass of the copying this is.
    pass: u64,
}

enum Step {
    /// Reading of the present source is to begin.
    Begin,
    /// A page is to be read at this position.
    Read(PagePosition),
    /// A page is to be stored.
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
    /// Begins again, not before `retry_at`.
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

    /// What to ask whom next.
    pub(super) fn wanted(
        &mut self,
        own: &StoreId,
        sources: &Sources,
        set: &ReplicaSet,
        transfer: &TransferId,
    ) -> Option<(StoreId, Generation, Operation)> {
        self.skip_own(own, sources);
        let transfer = &transfer.pass(self.pass);
        let Some(source) = sources.stores.get(self.source) else {
            let install = self.install(sources, set, transfer);
            return Some((own.clone(), set.generation, Operation::Install(install)));
        };
        if matches!(self.step, Step::Begin) {
            self.step = Step::Read(sources.start(self.source, own));
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
                Some((own.clone(), set.generation, Operation::Copy(copy)))
            }
        }
    }

    /// A page of a source was read; it may be the one that is wanted here.
    pub(super) fn page_read(
        &mut self,
        sources: &Sources,
        source: &StoreId,
        from: &PagePosition,
        page: &StatePage,
    ) {
        let wanted = sources.stores.get(self.source) == Some(source);
        let Step::Read(position) = &self.step else { return };
        if wanted && position == from {
            self.step = Step::Store(page.clone());
            self.retry_at = None;
        }
    }

    /// The target has stored pages of a source up to number `next`.
    pub(super) fn copied(&mut self, sources: &Sources, source: &StoreId, next: u64) {
        let wanted = sources.stores.get(self.source) == Some(source);
        let Step::Store(page) = &self.step else { return };
        if !wanted || next != self.number + 1 {
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

    /// A sealed replica that stays has its own state already.
    fn skip_own(&mut self, own: &StoreId, sources: &Sources) {
        while let Some(source) =
            sources.stores.get(self.source).filter(|source| self.skip_copying || *source == own)
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
