//! What a proposer knows of one replica.
//!
//! Owns when the replica is asked again, its promise, and how far it has accepted; the proposer decides by it.

use super::entry::LogIndex;
use super::group::LogPosition;
use crate::time::Timestamp;

/// What a replica had when it promised.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Promise {
    /// Its marks.
    pub(super) position: LogPosition,
    /// Its last position with an entry.
    pub(super) last: LogIndex,
}

/// One replica as the proposer sees it. At most one request to it is on the way.
#[derive(Debug, Default)]
pub(super) struct MemberProgress {
    promise: Option<Promise>,
    accepted_through: LogIndex,
    base: LogIndex,
    free_bytes: u64,
    retry_at: Option<Timestamp>,
    must_begin: bool,
    answered: bool,
    /// How often it said that it takes no part in the set.
    not_installed: u32,
}

impl MemberProgress {
    /// The same replica as a member of the next set, in which nothing was asked of it yet.
    pub(super) fn in_next_set(&self) -> Self {
        Self { base: self.base, free_bytes: self.free_bytes, ..Self::default() }
    }

    pub(super) fn may_send(&self, now: Timestamp) -> bool {
        self.retry_at.is_none_or(|retry_at| retry_at <= now)
    }

    pub(super) fn retry_at(&self) -> Option<Timestamp> {
        self.retry_at
    }

    pub(super) fn sent(&mut self, retry_at: Timestamp) {
        self.retry_at = Some(retry_at);
    }

    pub(super) fn answered(&mut self) {
        self.answered = true;
        self.retry_at = None;
    }

    pub(super) fn idle(&mut self) {
        self.retry_at = None;
    }

    pub(super) fn has_answered(&self) -> bool {
        self.answered
    }

    pub(super) fn must_begin(&self) -> bool {
        self.must_begin
    }

    pub(super) fn begun(&mut self) {
        self.must_begin = false;
        self.retry_at = None;
    }

    pub(super) fn not_installed(&mut self, retry_at: Timestamp) {
        // The first time it may begin at once; a member that still is not installed is asked again later.
        self.retry_at = self.must_begin.then_some(retry_at);
        self.must_begin = true;
        self.not_installed += 1;
    }

    pub(super) fn abstains(&mut self, retry_at: Timestamp) {
        self.retry_at = Some(retry_at);
    }

    /// Whether it still took no part in the set after a pause: it is asked twice before that.
    pub(super) fn was_asked_to_join_again(&self) -> bool {
        self.not_installed > 2
    }

    pub(super) fn forget_answers(&mut self) {
        self.promise = None;
        self.answered = false;
        self.retry_at = None;
    }

    pub(super) fn promised(&mut self, position: LogPosition, last: LogIndex, free_bytes: u64) {
        self.answered();
        self.base = position.base;
        self.free_bytes = free_bytes;
        self.promise = Some(Promise { position, last });
    }

    pub(super) fn has_promised(&self) -> bool {
        self.promise.is_some()
    }

    pub(super) fn promise(&self) -> Option<&Promise> {
        self.promise.as_ref()
    }

    pub(super) fn start_from(&mut self, decided_through: LogIndex) {
        self.accepted_through = decided_through;
    }

    /// Every position of the proposer's window up to this one is on the replica's disk.
    pub(super) fn accepted_through(&self) -> LogIndex {
        self.accepted_through
    }

    pub(super) fn accepted(&mut self, through: LogIndex, base: LogIndex, free_bytes: u64) {
        self.answered();
        self.accepted_through = self.accepted_through.max(through);
        self.base = self.base.max(base);
        self.free_bytes = free_bytes;
    }

    pub(super) fn has_room(&self, bytes: u64) -> bool {
        self.free_bytes >= bytes
    }

    pub(super) fn must_truncate(&self, before: LogIndex) -> bool {
        self.base.max(LogIndex::FIRST) < before
    }
}
