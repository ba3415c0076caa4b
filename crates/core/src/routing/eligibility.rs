//! Whether a replica may be sent new work (brief point 7).
//!
//! A replica is eligible only while it has itself confirmed, within a short time, that it takes new work. The
//! machine list can only take eligibility away. So a node that hears nothing, because its peers, the platform
//! or the replica are cut off, stops sending by itself.

use std::time::Duration;

use crate::routing::load::{EngineRole, earlier};
use crate::time::Timestamp;

/// How long a confirmation holds. Chosen, not measured: longer sends work to engines that have gone, shorter
/// stops work when a few probes are lost.
pub const DEFAULT_CONFIRMATION_VALIDITY: Duration = Duration::from_secs(3);

/// Whether a replica takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// It confirmed so lately enough.
    Eligible,
    /// It has not confirmed lately; ask it.
    Unconfirmed,
    /// It said that it is draining, or the machine list says that it leaves.
    Leaving,
}

impl Eligibility {
    /// The word used in decisions and in the operators' list.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Eligible => "eligible",
            Self::Unconfirmed => "unconfirmed",
            Self::Leaving => "leaving",
        }
    }
}

/// What a replica said about taking work, and when it can at the earliest have said so.
#[derive(Clone, Debug, Default)]
pub struct Confirmation {
    confirmed_at: Option<Timestamp>,
    draining_since: Option<Timestamp>,
    listed_leaving: bool,
}

impl Confirmation {
    /// Notes the role in an answer to a question that was sent at `asked_at`.
    ///
    /// Invariant: `confirmed_at` is never later than the moment at which the replica took work. An answer may
    /// have been under way for long, so it stands for the time of its question, less the age of its figures,
    /// and not for its arrival. A role of draining counts at once, and only an answer to a later question
    /// ends it.
    pub fn observe(&mut self, asked_at: Timestamp, age: Duration, role: EngineRole, now: Timestamp) {
        let stands_for = earlier(asked_at, age);
        match role {
            EngineRole::Draining => self.draining_since = Some(now),
            EngineRole::Serving if self.draining_since.is_some_and(|since| stands_for <= since) => {}
            EngineRole::Serving => {
                self.draining_since = None;
                self.confirmed_at = self.confirmed_at.max(Some(stands_for));
            }
        }
    }

    /// Notes that the replica could not be reached or answered nothing usable: it has to confirm anew.
    pub fn record_failure(&mut self) {
        self.confirmed_at = None;
    }

    /// Notes what the machine list says.
    pub fn set_listed_leaving(&mut self, leaving: bool) {
        self.listed_leaving = leaving;
    }

    /// Whether the machine list says that it leaves.
    pub(crate) const fn is_listed_leaving(&self) -> bool {
        self.listed_leaving
    }

    /// Whether new work may be sent now.
    pub fn eligibility(&self, now: Timestamp, holds: Duration) -> Eligibility {
        if self.listed_leaving || self.draining_since.is_some() {
            return Eligibility::Leaving;
        }
        match self.confirmed_at {
            Some(confirmed_at) if now < confirmed_at + holds => Eligibility::Eligible,
            _ => Eligibility::Unconfirmed,
        }
    }

    /// Whether the replica should be asked for its role: it is not confirmed, or will soon not be.
    pub(crate) fn needs_probe(&self, now: Timestamp, holds: Duration) -> bool {
        let refresh_after = holds * 2 / 3;
        self.confirmed_at.is_none_or(|confirmed_at| now >= confirmed_at + refresh_after)
    }
}
