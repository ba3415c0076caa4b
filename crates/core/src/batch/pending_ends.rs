//! Requests to end jobs that this node has received and that are not known to be committed.
//!
//! Invariants: an end is sent to the owner repeatedly until it is committed or the job is known not to exist,
//! even if its caller has disconnected; while it is pending, copies are sent to other nodes again and again, so
//! that holders that have failed are replaced; the number of pending ends is bounded, and each expires.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::identity::{BatchId, TenantName};
use crate::retry::backoff::Backoff;
use crate::time::Timestamp;

/// Maximum number of pending ends; many times the number of trainers of a deployment.
pub const MAX_PENDING: usize = 4_096;
/// Maximum number of ends sent to the owner at a time, so that an unavailable owner is not flooded, and of ends copied
/// at a time.
pub const MAX_IN_FLIGHT: usize = 32;
/// Age after which an end expires. By then the job has finished, since items wait no longer than their route
/// allows.
pub const EXPIRES_AFTER: Duration = Duration::from_secs(600);
/// Backoff after attempts without a definite answer. The upper limit is well below the 3 s during which
/// output of an ended job may still arrive.
const BACKOFF: Backoff = Backoff::new(Duration::from_millis(100), Duration::from_millis(800));
/// How long an unknown job is awaited. A submission without an answer is repeated for about 3 s by its
/// gateway and its caller, so the job may still arrive.
pub const UNKNOWN_JOB_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before a node with a replicated end contacts the owner itself; usually the end is committed before.
pub const COPY_DELAY: Duration = Duration::from_millis(1_000);
/// Interval at which a holder copies a pending end again.
pub const COPY_RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Delay after which an end is copied again that too few nodes took.
pub const COPY_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Age after which a holder no longer renews copies. Well below [`EXPIRES_AFTER`], so that two holders don't keep an
/// expired end alive by copying it to each other.
pub const RENEWS_COPIES_FOR: Duration = Duration::from_secs(300);

/// Identifies an end by its job and its caller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndKey {
    /// The job.
    pub batch: BatchId,
    /// The tenant that ends it; `None` where callers need no key.
    pub caller: Option<TenantName>,
}

/// Where this node got an end from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndSource {
    /// A caller of this node.
    Caller,
    /// Another node, which replicated it.
    Peer,
}

impl EndSource {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Peer => "peer",
        }
    }
}

/// The owner's answer to an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndAnswer {
    /// A majority of stores has committed it.
    Committed,
    /// The job does not exist.
    Unknown,
    /// There was no definite answer.
    Inconclusive,
}

/// Why an end is no longer pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndOutcome {
    /// A majority of stores has committed it.
    Committed,
    /// The job does not exist and did not arrive in time.
    Unknown,
    /// It expired.
    Expired,
    /// It was evicted in favor of a newer one.
    Displaced,
}

impl EndOutcome {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Committed => "kept",
            Self::Unknown => "unknown",
            Self::Expired => "expired",
            Self::Displaced => "displaced",
        }
    }
}

/// An end that is no longer pending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettledEnd {
    /// The end.
    pub key: EndKey,
    /// Why it is no longer pending.
    pub outcome: EndOutcome,
    /// How long it was pending.
    pub held_for: Duration,
    /// Number of attempts sent to the owner.
    pub attempts: u32,
}

/// State of a pending end.
#[derive(Clone, Debug)]
struct PendingEnd {
    source: EndSource,
    since: Timestamp,
    next_at: Timestamp,
    /// Number of answers so far; determines the backoff.
    retries: u32,
    attempts: u32,
    is_in_flight: bool,
    unknown_since: Option<Timestamp>,
    /// When copies are due next.
    copy_at: Timestamp,
    is_copying: bool,
}

impl PendingEnd {
    fn new(source: EndSource, now: Timestamp) -> Self {
        let (next_at, copy_at) = match source {
            EndSource::Caller => (now, now),
            EndSource::Peer => (now + COPY_DELAY, now + COPY_DELAY + COPY_RENEWAL_INTERVAL),
        };
        Self {
            source,
            since: now,
            next_at,
            retries: 0,
            attempts: 0,
            is_in_flight: false,
            unknown_since: None,
            copy_at,
            is_copying: false,
        }
    }

    /// Returns whether copies are still sent. An end that only waits for its job to arrive needs none.
    fn needs_copies(&self) -> bool {
        let age = self.copy_at.saturating_since(self.since);
        !self.is_copying && self.unknown_since.is_none() && age < RENEWS_COPIES_FOR
    }
}

/// All pending ends of this node.
#[derive(Clone, Debug, Default)]
pub struct PendingEnds {
    pending: BTreeMap<EndKey, PendingEnd>,
}

impl PendingEnds {
    /// Adds an end. If a caller sends it again, it becomes due at once. Returns the end that was evicted, if
    /// any.
    pub fn hold(&mut self, now: Timestamp, key: EndKey, source: EndSource) -> Option<SettledEnd> {
        if let Some(held) = self.pending.get_mut(&key) {
            if source == EndSource::Caller {
                held.source = source;
                held.next_at = held.next_at.min(now);
            }
            return None;
        }
        let displaced = if self.pending.len() >= MAX_PENDING { self.oldest() } else { None };
        let displaced = displaced.and_then(|oldest| self.settle(now, &oldest, EndOutcome::Displaced));
        self.pending.insert(key, PendingEnd::new(source, now));
        displaced
    }

    /// Returns whether an end is pending.
    pub fn holds(&self, key: &EndKey) -> bool {
        self.pending.contains_key(key)
    }

    /// Returns the number of pending ends.
    pub fn count(&self) -> usize {
        self.pending.len()
    }

    /// Lists the pending ends with their source, their age and the number of attempts.
    pub fn list(&self, now: Timestamp) -> impl Iterator<Item = (&EndKey, EndSource, Duration, u32)> {
        let describe = move |(key, held): (_, &PendingEnd)| {
            (key, held.source, now.saturating_since(held.since), held.attempts)
        };
        self.pending.iter().map(describe)
    }

    /// Returns the ends to send to the owner now and marks them as in flight.
    pub fn due(&mut self, now: Timestamp) -> Vec<EndKey> {
        let available = MAX_IN_FLIGHT.saturating_sub(self.in_flight());
        let due_at = |held: &PendingEnd| (!held.is_in_flight).then_some(held.next_at);
        let due = self.earliest(now, available, due_at);
        for key in &due {
            if let Some(held) = self.pending.get_mut(key) {
                held.is_in_flight = true;
                held.attempts += 1;
            }
        }
        due
    }

    /// Returns the ends to copy to other nodes now and marks them as being copied.
    pub fn copies_due(&mut self, now: Timestamp) -> Vec<EndKey> {
        let available = MAX_IN_FLIGHT.saturating_sub(self.copying());
        let due_at = |held: &PendingEnd| held.needs_copies().then_some(held.copy_at);
        let due = self.earliest(now, available, due_at);
        for key in &due {
            if let Some(held) = self.pending.get_mut(key) {
                held.is_copying = true;
            }
        }
        due
    }

    /// Handles the end of copying. `is_complete` tells whether enough nodes hold a copy.
    pub fn copied(&mut self, now: Timestamp, key: &EndKey, is_complete: bool) {
        let Some(held) = self.pending.get_mut(key) else { return };
        held.is_copying = false;
        held.copy_at = now + if is_complete { COPY_RENEWAL_INTERVAL } else { COPY_RETRY_DELAY };
    }

    /// Returns when the next end is due, or `None` while the maximum is in flight or nothing waits.
    pub fn deadline(&self) -> Option<Timestamp> {
        if self.in_flight() >= MAX_IN_FLIGHT {
            return None;
        }
        self.pending.values().filter(|held| !held.is_in_flight).map(|held| held.next_at).min()
    }

    /// Returns when the next end is to be copied, or `None` while the maximum is being copied or nothing waits.
    pub fn copy_deadline(&self) -> Option<Timestamp> {
        if self.copying() >= MAX_IN_FLIGHT {
            return None;
        }
        self.pending.values().filter(|held| held.needs_copies()).map(|held| held.copy_at).min()
    }

    /// Handles the owner's answer. Returns the end if it is no longer pending.
    pub fn answered(&mut self, now: Timestamp, key: &EndKey, answer: EndAnswer) -> Option<SettledEnd> {
        let held = self.pending.get_mut(key)?;
        held.is_in_flight = false;
        held.retries += 1;
        held.next_at = now + BACKOFF.pause(held.retries);
        let is_expired = now.saturating_since(held.since) >= EXPIRES_AFTER;
        let outcome = match answer {
            EndAnswer::Committed => EndOutcome::Committed,
            // Only the node that received the end from a caller waits for a job that may still arrive.
            EndAnswer::Unknown if held.source == EndSource::Peer => EndOutcome::Unknown,
            EndAnswer::Unknown => {
                let since = *held.unknown_since.get_or_insert(now);
                if now.saturating_since(since) < UNKNOWN_JOB_TIMEOUT {
                    return None;
                }
                EndOutcome::Unknown
            }
            EndAnswer::Inconclusive if is_expired => EndOutcome::Expired,
            EndAnswer::Inconclusive => {
                held.unknown_since = None;
                return None;
            }
        };
        self.settle(now, key, outcome)
    }

    /// Returns up to `count` ends that are due by `due_at` now, the earliest first.
    fn earliest(
        &self,
        now: Timestamp,
        count: usize,
        due_at: impl Fn(&PendingEnd) -> Option<Timestamp>,
    ) -> Vec<EndKey> {
        if count == 0 {
            return Vec::new();
        }
        let due = self.pending.iter().filter_map(|(key, held)| due_at(held).map(|at| (at, key)));
        let mut due: Vec<(Timestamp, &EndKey)> = due.filter(|(at, _)| *at <= now).collect();
        due.sort();
        due.into_iter().take(count).map(|(_, key)| key.clone()).collect()
    }

    /// Returns the number of ends in flight.
    fn in_flight(&self) -> usize {
        self.pending.values().filter(|held| held.is_in_flight).count()
    }

    /// Returns the number of ends that are being copied.
    fn copying(&self) -> usize {
        self.pending.values().filter(|held| held.is_copying).count()
    }

    fn oldest(&self) -> Option<EndKey> {
        self.pending.iter().min_by_key(|(_, held)| held.since).map(|(key, _)| key.clone())
    }

    fn settle(&mut self, now: Timestamp, key: &EndKey, outcome: EndOutcome) -> Option<SettledEnd> {
        let held = self.pending.remove(key)?;
        let held_for = now.saturating_since(held.since);
        Some(SettledEnd { key: key.clone(), outcome, held_for, attempts: held.attempts })
    }
}
