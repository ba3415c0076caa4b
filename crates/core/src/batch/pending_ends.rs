//! Ends of jobs that this node has read and that are not known to be kept.
//!
//! Invariants: an end that was read is asked of the owner again and again until a majority of stores keeps it
//! or there is no such job, whatever became of its caller; what is held is bounded, and expires.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::identity::{BatchId, TenantName};
use crate::retry::backoff::Backoff;
use crate::time::Timestamp;

/// Ends that are held at a time. A trainer ends a job every few seconds: these are many times the trainers of
/// a deployment. Chosen, not measured: fewer displace ends that are not kept yet, more only take memory.
pub const MAX_PENDING: usize = 4_096;
/// Ends that the owner is asked for at a time, so that many of them are no storm where it is away. Chosen,
/// not measured.
pub const MAX_IN_FLIGHT: usize = 32;
/// An end is forgotten after so long. By then its job has ended by itself: an item waits no longer than its
/// route allows. Chosen, not measured: shorter forgets ends during a long outage of the stores.
pub const EXPIRES_AFTER: Duration = Duration::from_secs(600);
/// The pause after questions that were not answered for sure. The limit is well below the 3 s for which
/// something of an ended job may still arrive.
const BACKOFF: Backoff = Backoff::new(Duration::from_millis(100), Duration::from_millis(800));
/// An unknown job may be on its way: a submission that got no answer is repeated for about 3 s, by its
/// gateway and by its caller.
pub const UNKNOWN_FOR: Duration = Duration::from_secs(10);
/// How long a node that got a copy of an end waits before it asks the owner itself: mostly the end is kept
/// before. Chosen, not measured: shorter asks the owner three times for each end, longer lets an end wait
/// whose reader is lost.
pub const COPY_DELAY: Duration = Duration::from_millis(1_000);

/// An end, by its job and who asked for it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndKey {
    /// The job.
    pub batch: BatchId,
    /// Who ends it; `None` where callers need no key.
    pub caller: Option<TenantName>,
}

/// From whom this node has an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndSource {
    /// It read it from a caller.
    Caller,
    /// It is a copy from another node.
    Peer,
}

impl EndSource {
    /// The name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Peer => "peer",
        }
    }
}

/// What the owner says of an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndAnswer {
    /// A majority of stores keeps it.
    Committed,
    /// There is no such job.
    Unknown,
    /// Nothing for sure.
    Inconclusive,
}

/// Why an end is not held any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndOutcome {
    /// A majority of stores keeps it.
    Committed,
    /// There is no such job, and none came.
    Unknown,
    /// It was held for too long.
    Expired,
    /// Too many newer ones came.
    Displaced,
}

impl EndOutcome {
    /// The name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Committed => "kept",
            Self::Unknown => "unknown",
            Self::Expired => "expired",
            Self::Displaced => "displaced",
        }
    }
}

/// An end that is not held any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettledEnd {
    /// Which.
    pub key: EndKey,
    /// Why.
    pub outcome: EndOutcome,
    /// How long it was held.
    pub held_for: Duration,
    /// How often the owner was asked.
    pub attempts: u32,
}

/// An end that is held.
#[derive(Clone, Debug)]
struct PendingEnd {
    source: EndSource,
    since: Timestamp,
    next_at: Timestamp,
    /// Answers that settled nothing.
    unsettled: u32,
    attempts: u32,
    is_asked: bool,
    unknown_since: Option<Timestamp>,
}

impl PendingEnd {
    const fn new(source: EndSource, now: Timestamp, next_at: Timestamp) -> Self {
        Self { source, since: now, next_at, unsettled: 0, attempts: 0, is_asked: false, unknown_since: None }
    }
}

/// All ends that are held.
#[derive(Debug, Default)]
pub struct PendingEnds {
    pending: BTreeMap<EndKey, PendingEnd>,
}

impl PendingEnds {
    /// Holds an end from now on; one that a caller sends again is asked for at once. Returns what gives way
    /// to it.
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
        let next_at = match source {
            EndSource::Caller => now,
            EndSource::Peer => now + COPY_DELAY,
        };
        self.pending.insert(key, PendingEnd::new(source, now, next_at));
        displaced
    }

    /// Whether an end is held.
    pub fn holds(&self, key: &EndKey) -> bool {
        self.pending.contains_key(key)
    }

    /// How many are held.
    pub fn count(&self) -> usize {
        self.pending.len()
    }

    /// The ends that are held, from whom they came, for how long they have been held, and how often the owner
    /// was asked.
    pub fn list(&self, now: Timestamp) -> impl Iterator<Item = (&EndKey, EndSource, Duration, u32)> {
        let line = move |(key, held): (_, &PendingEnd)| {
            (key, held.source, now.saturating_since(held.since), held.attempts)
        };
        self.pending.iter().map(line)
    }

    /// Ends to ask the owner for now.
    pub fn due(&mut self, now: Timestamp) -> Vec<EndKey> {
        let room = MAX_IN_FLIGHT.saturating_sub(self.asked());
        let is_due = |held: &PendingEnd| !held.is_asked && held.next_at <= now;
        let mut due: Vec<(Timestamp, EndKey)> = self
            .pending
            .iter()
            .filter(|(_, held)| is_due(held))
            .map(|(key, held)| (held.next_at, key.clone()))
            .collect();
        due.sort();
        due.truncate(room);
        for (_, key) in &due {
            if let Some(held) = self.pending.get_mut(key) {
                held.is_asked = true;
                held.attempts += 1;
            }
        }
        due.into_iter().map(|(_, key)| key).collect()
    }

    /// When the next end is due; `None` while as many are asked for as may be, or none waits.
    pub fn deadline(&self) -> Option<Timestamp> {
        if self.asked() >= MAX_IN_FLIGHT {
            return None;
        }
        self.pending.values().filter(|held| !held.is_asked).map(|held| held.next_at).min()
    }

    /// Takes what the owner said; returns the end where it need not be held any more.
    pub fn answered(&mut self, now: Timestamp, key: &EndKey, answer: EndAnswer) -> Option<SettledEnd> {
        let held = self.pending.get_mut(key)?;
        held.is_asked = false;
        held.unsettled += 1;
        held.next_at = now + BACKOFF.pause(held.unsettled);
        let is_expired = now.saturating_since(held.since) >= EXPIRES_AFTER;
        let outcome = match answer {
            EndAnswer::Committed => EndOutcome::Committed,
            // The node that read it goes on asking for a job that may come.
            EndAnswer::Unknown if held.source == EndSource::Peer => EndOutcome::Unknown,
            EndAnswer::Unknown => {
                let since = *held.unknown_since.get_or_insert(now);
                if now.saturating_since(since) < UNKNOWN_FOR {
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

    /// For how many the owner is being asked.
    fn asked(&self) -> usize {
        self.pending.values().filter(|held| held.is_asked).count()
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
