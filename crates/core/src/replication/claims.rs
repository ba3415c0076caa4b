//! Write-once claims on the ids of requests that may run at most once.
//!
//! Invariant: a replica never votes for two attempts of the same request id. Two attempts can't both get a
//! majority, so at most one sends the request to an engine. Votes are kept for a limited time, and a replica
//! refuses ids issued before the time whose votes it may have removed. The invariant therefore does not
//! depend on clocks: a clock that jumps makes a replica refuse more ids, but never grant one twice. It
//! depends on the caller repeating an id with its original issue time.

use std::time::Duration;

use speedy::{Readable, Writable};

use super::message::ClaimRequest;
use super::storage::ShardStorage;
use crate::identity::{AttemptId, RequestId, ShardId};
use crate::time::whole_millis;

/// A replica's stored vote on a request id.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ClaimRecord {
    /// When the id was issued, in milliseconds since the Unix epoch.
    pub issued_at_unix_ms: u64,
    /// The attempt that has the vote, `None` after merging copies of sealed replicas that disagreed.
    pub holder: Option<AttemptId>,
}

impl ClaimRecord {
    /// Merges two copies of a vote. If they disagree, no attempt has the vote. Then neither attempt gains a
    /// vote that it did not have, and an attempt that had a majority keeps it at the replicas that voted for
    /// it.
    #[must_use]
    pub fn merged(self, other: Self) -> Self {
        let holder = if self.holder == other.holder { self.holder } else { None };
        Self { issued_at_unix_ms: self.issued_at_unix_ms.max(other.issued_at_unix_ms), holder }
    }
}

/// A replica's vote on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ClaimVote {
    /// This attempt has the replica's vote.
    Granted,
    /// Another attempt has the replica's vote.
    Held,
    /// The id was issued before the time for which claims are kept.
    Expired,
    /// The id was issued further in the future than the maximum clock skew.
    TooFarAhead,
}

/// The range of issue times for which claims are accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimWindow {
    /// How long after its issue time an id can be claimed and its claim is kept.
    pub retention: Duration,
    /// How far an issue time may be ahead of a replica's clock.
    pub maximum_clock_skew: Duration,
}

/// Why a claim window is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimWindowError {
    /// The retention is at most twice the maximum clock skew.
    #[error("claims.retention_ms must be above twice claims.maximum_clock_skew_ms; raise it")]
    RetentionTooShort,
}

impl ClaimWindow {
    /// Checks the window.
    ///
    /// # Errors
    /// When ids could expire before they are used.
    pub fn validate(&self) -> Result<(), ClaimWindowError> {
        if self.retention <= self.maximum_clock_skew * 2 {
            return Err(ClaimWindowError::RetentionTooShort);
        }
        Ok(())
    }

    /// Returns the time before which issued ids are refused and their claims may be removed.
    pub(crate) fn horizon_unix_ms(&self, now_unix_ms: u64) -> u64 {
        now_unix_ms.saturating_sub(whole_millis(self.retention))
    }

    /// Returns the time after which issued ids are refused.
    pub(crate) fn latest_unix_ms(&self, now_unix_ms: u64) -> u64 {
        now_unix_ms.saturating_add(whole_millis(self.maximum_clock_skew))
    }
}

impl Default for ClaimWindow {
    fn default() -> Self {
        Self { retention: Duration::from_secs(15 * 60), maximum_clock_skew: Duration::from_secs(30) }
    }
}

/// Votes on a claim whose issue time is within the window, and stores the vote.
///
/// # Errors
/// When the disk can't be used.
pub(super) fn vote<S: ShardStorage>(
    storage: &mut S,
    shard: &ShardId,
    claim: &ClaimRequest,
) -> Result<ClaimVote, S::Error> {
    let Some(record) = storage.claim(shard, &claim.request)? else {
        let holder = Some(claim.attempt.clone());
        let record = ClaimRecord { issued_at_unix_ms: claim.issued_at_unix_ms, holder };
        storage.put_claim(shard, &claim.request, &record)?;
        return Ok(ClaimVote::Granted);
    };
    let ours = record.holder.as_ref() == Some(&claim.attempt);
    Ok(if ours { ClaimVote::Granted } else { ClaimVote::Held })
}

/// Merges a claim copied from a sealed replica into the stored claim.
///
/// # Errors
/// When the disk can't be used.
pub(super) fn merge_copied<S: ShardStorage>(
    storage: &mut S,
    shard: &ShardId,
    request: &RequestId,
    copied: &ClaimRecord,
) -> Result<(), S::Error> {
    let merged = match storage.claim(shard, request)? {
        Some(present) => present.merged(copied.clone()),
        None => copied.clone(),
    };
    storage.put_claim(shard, request, &merged)
}
