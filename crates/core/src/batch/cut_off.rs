//! When an owner takes itself for cut off from its stores, and leaves before others notice that it is silent.
//!
//! Stores that give no answer to appends may be busy, and after this node itself stood still answers lie unread. So silence
//! alone proves nothing: the owner asks all stores of the deployment a small question, and is cut off only when none
//! answers it within its time.

use std::time::Duration;

/// Looks in a row at which the stores were silent, before they are asked.
const SILENT_LOOKS: u32 = 3;
/// A question that ended later than this after its time says that this node stood still, not that nobody answered.
const LATE_MARGIN: Duration = Duration::from_millis(150);

/// What became of the question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoresReply {
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
    GoOn,
    /// Ask the stores, and go on meanwhile.
    Ask,
    /// Leave.
    Leave,
}

/// What an owner has seen of its stores' silence.
#[derive(Clone, Debug, Default)]
pub struct CutOffWatch {
    silent_looks: u32,
    is_asking: bool,
}

impl CutOffWatch {
    /// A look at the stores: whether none has answered for long.
    pub fn look(&mut self, is_silent: bool) -> CutOffStep {
        if !is_silent {
            self.silent_looks = 0;
            return CutOffStep::GoOn;
        }
        self.silent_looks = self.silent_looks.saturating_add(1);
        if self.silent_looks < SILENT_LOOKS || self.is_asking {
            return CutOffStep::GoOn;
        }
        self.is_asking = true;
        CutOffStep::Ask
    }

    /// The question has ended.
    pub fn replied(&mut self, reply: StoresReply) -> CutOffStep {
        self.is_asking = false;
        // Heard meanwhile: the silence is over.
        if self.silent_looks == 0 {
            return CutOffStep::GoOn;
        }
        let was_late = reply.took > reply.timeout + LATE_MARGIN;
        if reply.answered == 0 && !was_late {
            return CutOffStep::Leave;
        }
        // Asked again after as many silent looks.
        self.silent_looks = 0;
        CutOffStep::GoOn
    }
}
