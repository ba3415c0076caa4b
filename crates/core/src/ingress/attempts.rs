//! What to do after a request was sent to a replica: pass its answer on, try another, or give up.
//!
//! Inputs: how each send ended ([`SendOutcome`]), whether the request may run twice, how many sends its route
//! allows, and the time that is left. The time after which a request may move to another replica stands in
//! [`crate::retry::attempt_timeout`].

use std::time::Duration;

/// How one send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// No byte of the request was written.
    NotSent,
    /// No byte was written: the replica may be sent nothing any more, though it might when it was chosen.
    Withheld,
    /// The replica stated that it did not run the request.
    Rejected,
    /// A whole answer that says success or a failure of the request itself.
    Answered,
    /// A whole answer that says that the replica failed.
    Failed,
    /// The connection ended before a whole answer, or another answer came on it: the request may have run.
    Broken,
    /// No whole answer before the request moved or its time was over: it may have run.
    TimedOut,
}

impl SendOutcome {
    /// Whether it is proved that the replica did not run the request.
    pub const fn has_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Withheld | Self::Rejected)
    }

    /// The name used in logs and metrics.
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

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Pass the answer on.
    Answer,
    /// Send the request to another replica.
    TryAnother,
    /// Give up with the proof that the request has not run.
    GiveUpNotRun,
    /// Give up; the request may have run.
    GiveUpUnknown,
}

/// One attempt of a client and what became of it so far.
///
/// Invariant: a request that is not repeatable is sent again only while every send before ended in
/// [`SendOutcome::NotSent`], [`SendOutcome::Withheld`] or [`SendOutcome::Rejected`]; and "not run" is said
/// only where that holds for all sends.
#[derive(Clone, Debug)]
pub struct Attempts {
    is_repeatable: bool,
    max_sends: u32,
    sends: u32,
    unsent: u32,
    may_have_run: bool,
}

/// Replicas that may be found unreachable before a request is given up: fewer give up while one zone's
/// replicas are still listed after its loss, more spend the caller's time on connections.
const MAX_UNSENT: u32 = 4;
/// The least time in which another replica can still answer: shorter sends requests whose answers come too
/// late, longer gives up those that could still be answered.
const MIN_RETRY_TIME: Duration = Duration::from_millis(20);

impl Attempts {
    /// A request that has not been sent.
    pub const fn new(is_repeatable: bool, max_sends: u32) -> Self {
        Self { is_repeatable, max_sends, sends: 0, unsent: 0, may_have_run: false }
    }

    /// Whether a request that waits at a replica may move to another one, with so much time left.
    pub fn may_move(&self, remaining: Duration) -> bool {
        self.is_repeatable && self.sends + 1 < self.max_sends && remaining >= MIN_RETRY_TIME
    }

    /// Takes the outcome of a send.
    pub fn next_step(&mut self, outcome: SendOutcome, remaining: Duration) -> NextStep {
        match outcome {
            SendOutcome::Answered => return NextStep::Answer,
            SendOutcome::NotSent | SendOutcome::Withheld => self.unsent += 1,
            SendOutcome::Rejected => self.sends += 1,
            SendOutcome::Failed | SendOutcome::Broken | SendOutcome::TimedOut => {
                self.sends += 1;
                self.may_have_run = true;
            }
        }
        let has_time = remaining >= MIN_RETRY_TIME;
        let has_sends = self.sends < self.max_sends && self.unsent < MAX_UNSENT;
        if has_time && has_sends && (self.is_repeatable || !self.may_have_run) {
            return NextStep::TryAnother;
        }
        if outcome == SendOutcome::Failed {
            return NextStep::Answer;
        }
        self.give_up()
    }

    /// Gives up where no further replica can be tried.
    pub const fn give_up(&self) -> NextStep {
        if self.may_have_run { NextStep::GiveUpUnknown } else { NextStep::GiveUpNotRun }
    }
}
