//! Decides whether a replica may be sent new work.
//!
//! A replica is eligible only while its own confirmation that it accepts new work is recent. The machine list
//! can only revoke eligibility. A node that is cut off from its peers, the platform or the replica therefore
//! stops sending without being told.

use std::time::Duration;

use crate::routing::load::{EngineRole, earlier};
use crate::time::Timestamp;

/// Default validity of a confirmation.
pub const DEFAULT_CONFIRMATION_VALIDITY: Duration = Duration::from_secs(3);

/// Whether a replica may be sent new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// Its confirmation is still valid.
    Eligible,
    /// It has no valid confirmation and must be probed.
    Unconfirmed,
    /// It reported that it is draining, or the machine list marks it as leaving.
    Leaving,
}

impl Eligibility {
    /// Returns the name used in decisions and in the operators' list.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Eligible => "eligible",
            Self::Unconfirmed => "unconfirmed",
            Self::Leaving => "leaving",
        }
    }
}

/// A replica's last statement on whether it accepts work, with the earliest time at which it can have made it.
#[derive(Clone, Debug, Default)]
pub struct Confirmation {
    confirmed_at: Option<Timestamp>,
    draining_since: Option<Timestamp>,
    listed_leaving: bool,
}

impl Confirmation {
    /// Records the role in the response to a probe that was sent at `asked_at`.
    ///
    /// Invariant: `confirmed_at` is never later than a time at which the replica accepted work. A response may
    /// be delayed in transit, so it is dated to the time of its probe, less the age of its report, rather than
    /// to its arrival. [`EngineRole::Draining`] takes effect at once and is cleared only by the response to a
    /// later probe.
    pub fn observe(&mut self, asked_at: Timestamp, age: Duration, role: EngineRole, now: Timestamp) {
        let reported_at = earlier(asked_at, age);
        match role {
            EngineRole::Draining => self.draining_since = Some(now),
            EngineRole::Serving if self.draining_since.is_some_and(|since| reported_at <= since) => {}
            EngineRole::Serving => {
                self.draining_since = None;
                self.confirmed_at = self.confirmed_at.max(Some(reported_at));
            }
        }
    }

    /// Invalidates the confirmation after the replica was unreachable or gave no usable response.
    pub fn record_failure(&mut self) {
        self.confirmed_at = None;
    }

    /// Sets whether the machine list marks the replica as leaving.
    pub fn set_listed_leaving(&mut self, leaving: bool) {
        self.listed_leaving = leaving;
    }

    /// Whether the machine list marks the replica as leaving.
    pub(crate) const fn is_listed_leaving(&self) -> bool {
        self.listed_leaving
    }

    /// Returns whether new work may be sent now, given the validity of a confirmation.
    pub fn eligibility(&self, now: Timestamp, validity: Duration) -> Eligibility {
        if self.listed_leaving || self.draining_since.is_some() {
            return Eligibility::Leaving;
        }
        match self.confirmed_at {
            Some(confirmed_at) if now < confirmed_at + validity => Eligibility::Eligible,
            _ => Eligibility::Unconfirmed,
        }
    }

    /// Whether the replica should be probed: its confirmation has expired or is about to.
    pub(crate) fn needs_probe(&self, now: Timestamp, validity: Duration) -> bool {
        let refresh_after = validity * 2 / 3;
        self.confirmed_at.is_none_or(|confirmed_at| now >= confirmed_at + refresh_after)
    }
}
