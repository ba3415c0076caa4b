//! A proposer's view of one replica: its promise, its accepted entries, and when to resend a request.

use super::entry::LogIndex;
use super::group::LogPosition;
use crate::time::Timestamp;

/// The state of a replica when it promised the ballot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Promise {
    /// Its log position.
    pub(super) position: LogPosition,
    /// Its last position with an entry.
    pub(super) last: LogIndex,
}

/// A proposer's view of one replica, which has at most one outstanding request.
#[derive(Debug, Default)]
pub(super) struct MemberProgress {
    promise: Option<Promise>,
    accepted_through: LogIndex,
    base: LogIndex,
    free_bytes: Option<u64>,
    retry_at: Option<Timestamp>,
    must_begin: bool,
    answered: bool,
    /// How often it responded that it is not installed in the set.
    not_installed_count: u32,
}

impl MemberProgress {
    /// Returns the state of the same replica as a member of the next set, before any request in that set.
    pub(super) fn in_next_set(&self) -> Self {
        Self { base: self.base, free_bytes: self.free_bytes, ..Self::default() }
    }

    pub(super) fn may_send(&self, now: Timestamp) -> bool {
        self.retry_at.is_none_or(|retry_at| retry_at <= now)
    }

    pub(super) fn retry_at(&self) -> Option<Timestamp> {
        self.retry_at
    }

    pub(super) fn mark_sent(&mut self, retry_at: Timestamp) {
        self.retry_at = Some(retry_at);
    }

    pub(super) fn mark_answered(&mut self) {
        self.answered = true;
        self.retry_at = None;
    }

    pub(super) fn clear_retry(&mut self) {
        self.retry_at = None;
    }

    pub(super) fn has_answered(&self) -> bool {
        self.answered
    }

    pub(super) fn must_begin(&self) -> bool {
        self.must_begin
    }

    pub(super) fn mark_begun(&mut self) {
        self.must_begin = false;
        self.retry_at = None;
    }

    pub(super) fn mark_not_installed(&mut self, retry_at: Timestamp) {
        // After the first refusal the member may begin at once; after a repeated one it is retried later.
        self.retry_at = self.must_begin.then_some(retry_at);
        self.must_begin = true;
        self.not_installed_count += 1;
    }

    pub(super) fn defer(&mut self, retry_at: Timestamp) {
        self.retry_at = Some(retry_at);
    }

    /// Returns whether it was still not installed after a pause. Two requests are sent before the pause.
    pub(super) fn is_still_not_installed(&self) -> bool {
        self.not_installed_count > 2
    }

    pub(super) fn reset_promise(&mut self) {
        self.promise = None;
        self.answered = false;
        self.retry_at = None;
    }

    pub(super) fn record_promise(&mut self, position: LogPosition, last: LogIndex, free_bytes: u64) {
        self.mark_answered();
        self.base = position.base;
        self.free_bytes = Some(free_bytes);
        self.promise = Some(Promise { position, last });
    }

    pub(super) fn has_promised(&self) -> bool {
        self.promise.is_some()
    }

    pub(super) fn promise(&self) -> Option<&Promise> {
        self.promise.as_ref()
    }

    pub(super) fn set_accepted_through(&mut self, decided_through: LogIndex) {
        self.accepted_through = decided_through;
    }

    /// Returns the last position up to which all entries of the proposer's window are on the replica's disk.
    pub(super) fn accepted_through(&self) -> LogIndex {
        self.accepted_through
    }

    pub(super) fn record_accept(&mut self, through: LogIndex, base: LogIndex, free_bytes: u64) {
        self.mark_answered();
        self.accepted_through = self.accepted_through.max(through);
        self.base = self.base.max(base);
        self.free_bytes = Some(free_bytes);
    }

    /// Returns the free room that it last reported, or `None` before its first report.
    pub(super) fn free_bytes(&self) -> Option<u64> {
        self.free_bytes
    }

    pub(super) fn must_truncate(&self, before: LogIndex) -> bool {
        self.base.max(LogIndex::FIRST) < before
    }
}
