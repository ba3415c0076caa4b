//! When an owner takes itself for cut off from its stores, and leaves before others notice that it is silent.
//!
//! Inputs: for how long no append was confirmed and no store has answered, polled at each tick of the owner,
//! and the reply to the question that the owner then asks of all stores. Stores that give no answer to
//! appends may be busy, and after this node itself stood still answers lie unread. So silence alone proves
//! nothing: the owner asks all stores of the deployment a small question, and is cut off only when none
//! answers it within its time. Traced on a day with trouble: an owner that relied on silence alone left its
//! stores and took over again four times, while they were busy with its own first append.

use std::time::Duration;

/// Silence after which the owner begins to suspect that it is cut off. Others take over after a second of
/// silence: with this, three polls and the question's 300 ms the owner has left and offered its progress
/// before.
const CUT_OFF_AFTER: Duration = Duration::from_millis(300);
/// Polls in a row at which the stores were silent, before they are asked. With one, an owner whose thread had
/// stood still just after a takeover left although answers of its stores lay unread. Chosen, not measured:
/// more polls make an owner that is cut off leave later.
const SILENT_POLLS: u32 = 3;
/// A question that ended later than this after its time says that this node stood still, not that nobody
/// answered. Chosen, not measured: smaller, and a busy machine asks again for nothing; greater, and one that
/// stood still leaves its jobs.
const LATE_MARGIN: Duration = Duration::from_millis(150);

/// Whether the stores count as silent at a poll: neither was an append confirmed lately nor did any store
/// answer. While a store is replaced nothing is confirmed, but the stores answer the owner's heartbeats.
pub fn is_silent(unconfirmed_for: Duration, unanswered_for: Duration) -> bool {
    unconfirmed_for >= CUT_OFF_AFTER && unanswered_for >= CUT_OFF_AFTER
}

/// What became of the question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeResult {
    /// Stores that answered.
    pub answered: usize,
    /// How long the question lasted.
    pub took: Duration,
    /// How long it was to last at most.
    pub timeout: Duration,
}

/// What an owner should do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutOffStep {
    /// Go on.
    Continue,
    /// Ask the stores, and go on meanwhile.
    Probe,
    /// Leave.
    Leave,
}

/// What an owner has observed of its stores' silence.
#[derive(Clone, Debug, Default)]
pub struct CutOffMonitor {
    silent_polls: u32,
    is_asking: bool,
}

impl CutOffMonitor {
    /// Takes what a poll of the stores' silence showed (see [`is_silent`]).
    pub fn poll(&mut self, is_silent: bool) -> CutOffStep {
        if !is_silent {
            self.silent_polls = 0;
            return CutOffStep::Continue;
        }
        self.silent_polls = self.silent_polls.saturating_add(1);
        if self.silent_polls < SILENT_POLLS || self.is_asking {
            return CutOffStep::Continue;
        }
        self.is_asking = true;
        CutOffStep::Probe
    }

    /// The question has ended.
    pub fn probe_ended(&mut self, reply: ProbeResult) -> CutOffStep {
        self.is_asking = false;
        // A store answered meanwhile: the silence is over.
        if self.silent_polls == 0 {
            return CutOffStep::Continue;
        }
        let was_late = reply.took > reply.timeout + LATE_MARGIN;
        if reply.answered == 0 && !was_late {
            return CutOffStep::Leave;
        }
        // The stores are asked again after as many silent polls.
        self.silent_polls = 0;
        CutOffStep::Continue
    }
}
