//! Base latencies that the owner of the batch jobs measured, and when a gateway asks for them.
//!
//! The owner sends score requests to the plain services and sees each of their replicas several times a second, a
//! gateway one answer in seconds. The latencies are hints: without them, a gateway uses its own figures. They are
//! those of the owner's requests, which may need more work than the gateway's, so that a gateway converts them by the
//! ratio that it observes at the replicas that both have measured.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::identity::NodeId;
use crate::retry::backoff::Backoff;
use crate::time::Timestamp;

/// Time for which a shared latency is used. It spans six questions, so that a lost answer does no harm, and ends soon
/// enough that a gateway cut off from the owner relies on its own figures.
pub const SHARED_BASE_VALIDITY: Duration = Duration::from_secs(30);
/// Maximum number of replicas of one service in a question.
pub const MAX_SHARED_REPLICAS: usize = 32;
/// Maximum number of replicas that the owner answers for at once.
pub const MAX_ANSWERED_REPLICAS: usize = 256;
/// Mean time between two questions. Base latencies hardly change; a gateway sends some 200 bytes a second for this.
const ASK_INTERVAL: Duration = Duration::from_secs(5);
/// Time until the next question if the owner had measured none of the replicas, or no owner is found.
const EMPTY_ANSWER_INTERVAL: Duration = Duration::from_secs(30);
/// Time until the next question after no answer. An owner of an earlier release closes the connection over each
/// question, and will be replaced within the time of a rollout.
const NO_ANSWER_BACKOFF: Backoff = Backoff::new(Duration::from_secs(30), Duration::from_secs(300));

/// The latencies shared for one service.
#[derive(Clone, Debug, Default)]
pub(super) struct SharedBases {
    by_replica: BTreeMap<String, (Timestamp, f64)>,
    /// Latency at this node relative to that at the owner; `None` while no replica was measured by both.
    scale: Option<f64>,
}

impl SharedBases {
    /// Adds latencies in milliseconds that are received now.
    pub(super) fn add(&mut self, bases: impl IntoIterator<Item = (String, f64)>, now: Timestamp) {
        self.by_replica.extend(bases.into_iter().map(|(replica, base_ms)| (replica, (now, base_ms))));
    }

    /// Drops latencies that are too old. Returns whether any is left.
    pub(super) fn expire(&mut self, now: Timestamp) -> bool {
        self.by_replica.retain(|_, (at, _)| now.saturating_since(*at) < SHARED_BASE_VALIDITY);
        !self.by_replica.is_empty()
    }

    /// Determines the scale from the latencies that this node measured: `measured` returns the mean in milliseconds
    /// and its weight.
    pub(super) fn update_scale(&mut self, measured: impl Fn(&str) -> Option<(f64, f64)>) {
        let (mut own_sum, mut shared_sum) = (0.0, 0.0);
        for (replica, (_, shared_ms)) in &self.by_replica {
            if let Some((own_ms, weight)) = measured(replica) {
                own_sum += weight * own_ms;
                shared_sum += weight * shared_ms;
            }
        }
        self.scale = (shared_sum > 0.0).then(|| own_sum / shared_sum).or(self.scale);
    }

    /// Returns the latency of a replica in milliseconds and whether it is converted to this node's requests.
    pub(super) fn base_ms(&self, replica: &str) -> Option<(f64, bool)> {
        let (_, shared_ms) = self.by_replica.get(replica)?;
        Some((shared_ms * self.scale.unwrap_or(1.0), self.scale.is_some()))
    }
}

/// Result of a question to the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SharingAnswer {
    /// The owner has measured some of the replicas.
    Some,
    /// The owner has measured none of the replicas.
    Empty,
    /// The node asked is not the owner, or can't confirm now that it is.
    NotOwner,
    /// No answer, for example because the owner runs an earlier release.
    None,
}

impl SharingAnswer {
    /// Returns the name used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Some => "some",
            Self::Empty => "empty",
            Self::NotOwner => "not_owner",
            Self::None => "none",
        }
    }
}

/// Decides when a gateway asks the owner for base latencies.
#[derive(Clone, Debug)]
pub struct SharingSchedule {
    next_at: Timestamp,
    /// Consecutive questions without an answer, and the owner that gave none.
    failures: u32,
    silent: Option<NodeId>,
    /// Whether the last node asked was not the owner.
    is_owner_unknown: bool,
}

impl SharingSchedule {
    /// Creates a schedule whose first question comes within one interval.
    pub fn new<R: Rng>(now: Timestamp, random: &mut R) -> Self {
        Self {
            next_at: now + ASK_INTERVAL.mul_f64(random.random()),
            failures: 0,
            silent: None,
            is_owner_unknown: false,
        }
    }

    /// Returns whether to ask now. The delay after no answer applies to the owner that gave none, not to its
    /// successor.
    pub fn is_due(&self, owner: Option<&NodeId>, now: Timestamp) -> bool {
        let is_replaced = self.silent.is_some() && owner.is_some() && self.silent.as_ref() != owner;
        is_replaced || now >= self.next_at
    }

    /// Records the result of a question to `owner` and schedules the next one.
    pub fn record<R: Rng>(
        &mut self,
        owner: Option<&NodeId>,
        answer: SharingAnswer,
        now: Timestamp,
        random: &mut R,
    ) {
        if answer != SharingAnswer::None || self.silent.as_ref() != owner {
            self.failures = 0;
        }
        self.silent = None;
        let was_owner_unknown =
            std::mem::replace(&mut self.is_owner_unknown, answer == SharingAnswer::NotOwner);
        let interval = match answer {
            SharingAnswer::Some => ASK_INTERVAL,
            // The node asked may have named the owner. If there is none, the search for it is not repeated often.
            SharingAnswer::NotOwner if !was_owner_unknown => ASK_INTERVAL,
            SharingAnswer::Empty | SharingAnswer::NotOwner => EMPTY_ANSWER_INTERVAL,
            SharingAnswer::None => {
                self.failures += 1;
                self.silent = owner.cloned();
                NO_ANSWER_BACKOFF.pause(self.failures)
            }
        };
        // Jitter keeps the gateways of a deployment from asking at the same time.
        self.next_at = now + interval.mul_f64(random.random_range(0.75..1.25));
    }
}
