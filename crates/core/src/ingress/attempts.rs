//! Decides what to do after a request was sent to a replica: forward its answer, try another, or give up.
//!
//! The decision depends on how each send ended ([`SendOutcome`]), whether the request may run twice, how many
//! sends its route allows, and the remaining time. [`crate::retry::attempt_timeout`] computes the time after
//! which a request may move to another replica.

use std::time::Duration;

/// How one send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// No byte of the request was written.
    NotSent,
    /// No byte was written, since the replica may no longer be sent requests.
    Withheld,
    /// The replica responded that it did not run the request.
    Rejected,
    /// A complete answer: success, or an error of the request itself.
    Answered,
    /// A complete answer that reports a failure of the replica.
    Failed,
    /// The connection closed before a complete answer, or carried an unexpected one: the request may have run.
    Broken,
    /// No complete answer before the request moved or its time expired: it may have run.
    TimedOut,
}

impl SendOutcome {
    /// Whether this outcome proves that the replica did not run the request.
    pub const fn has_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Withheld | Self::Rejected)
    }

    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Withheld => "withheld",
            Self::Rejected => "rejected",
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Broken => "broken",
            Self::TimedOut => "timed_out",
        }
    }
}

/// What to do after a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Forward the answer.
    Answer,
    /// Send the request to another replica.
    TryAnother,
    /// Give up; the request has not run.
    GiveUpNotRun,
    /// Give up; the request may have run.
    GiveUpUnknown,
}

/// The sends of one client attempt.
///
/// Invariant: a request that is not repeatable is sent again only if every earlier send ended in
/// [`SendOutcome::NotSent`], [`SendOutcome::Withheld`] or [`SendOutcome::Rejected`], and
/// [`NextStep::GiveUpNotRun`] is returned only if that is true of all sends.
#[derive(Clone, Debug)]
pub struct Attempts {
    is_repeatable: bool,
    max_sends: u32,
    sends: u32,
    unsent: u32,
    may_have_run: bool,
    was_rejected: bool,
    has_moved_early: bool,
}

/// Maximum number of sends that may end unsent before the request is given up. Fewer give up while the replicas of a
/// lost zone are still listed, more spend the caller's time on connections.
const MAX_UNSENT: u32 = 4;
/// Minimum remaining time for a further send; another replica rarely answers in less.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(20);

impl Attempts {
    /// Creates the state of a request that has not been sent.
    pub const fn new(is_repeatable: bool, max_sends: u32) -> Self {
        Self {
            is_repeatable,
            max_sends,
            sends: 0,
            unsent: 0,
            may_have_run: false,
            was_rejected: false,
            has_moved_early: false,
        }
    }

    /// Whether a request that waits at a replica may move to another one, given the remaining time.
    pub fn may_move(&self, remaining: Duration) -> bool {
        self.is_repeatable && self.sends + 1 < self.max_sends && remaining >= MIN_REMAINING_TIME
    }

    /// Whether a request that waits at a replica may move to another one before its attempt timeout, to be answered
    /// within its target. One request moves early at most once, so that it takes at most one slot from others.
    pub fn may_move_early(&self, remaining: Duration) -> bool {
        !self.has_moved_early && self.may_move(remaining)
    }

    /// Records that the request moves early.
    pub const fn record_early_move(&mut self) {
        self.has_moved_early = true;
    }

    /// Whether the request has moved early.
    pub const fn has_moved_early(&self) -> bool {
        self.has_moved_early
    }

    /// Whether no send may have run the request, and at least one replica rejected it.
    pub const fn is_only_rejected(&self) -> bool {
        self.was_rejected && !self.may_have_run
    }

    /// Records the outcome of a send and returns what to do next.
    pub fn next_step(&mut self, outcome: SendOutcome, remaining: Duration) -> NextStep {
        match outcome {
            SendOutcome::Answered => return NextStep::Answer,
            SendOutcome::NotSent | SendOutcome::Withheld => self.unsent += 1,
            SendOutcome::Rejected => {
                self.sends += 1;
                self.was_rejected = true;
            }
            SendOutcome::Failed | SendOutcome::Broken | SendOutcome::TimedOut => {
                self.sends += 1;
                self.may_have_run = true;
            }
        }
        let has_time = remaining >= MIN_REMAINING_TIME;
        let has_sends = self.sends < self.max_sends && self.unsent < MAX_UNSENT;
        if has_time && has_sends && (self.is_repeatable || !self.may_have_run) {
            return NextStep::TryAnother;
        }
        if outcome == SendOutcome::Failed {
            return NextStep::Answer;
        }
        self.give_up()
    }

    /// Returns the result for a request that no further replica can be tried for.
    pub const fn give_up(&self) -> NextStep {
        if self.may_have_run { NextStep::GiveUpUnknown } else { NextStep::GiveUpNotRun }
    }
}
