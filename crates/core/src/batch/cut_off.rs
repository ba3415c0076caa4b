//! Detects that an owner is cut off from its stores, so that it hands over before candidates notice its
//! silence.
//!
//! Inputs, polled at each tick of the owner: the time since an append was last confirmed and since any store
//! last answered. Silence alone does not prove a partition: the stores may be busy with the owner's own
//! appends, or their answers may be unread because this node was stalled. So the owner probes all stores of
//! the deployment, and counts as cut off only if none of them answers in time.

use std::time::Duration;

/// Silence after which the owner suspects a partition. Candidates take over after one second: three polls and
/// the probe's 300 ms fit before that.
const CUT_OFF_AFTER: Duration = Duration::from_millis(300);
/// Consecutive silent polls before the stores are probed. With one, an owner whose thread was stalled would
/// probe although answers are waiting to be read.
const SILENT_POLLS_BEFORE_PROBE: u32 = 3;
/// A probe that overran its timeout by more than this shows that this node was stalled, not that the stores
/// are unreachable.
const LATE_MARGIN: Duration = Duration::from_millis(150);

/// Returns whether the stores count as silent: no append was confirmed and no store answered recently. While
/// a store is being replaced nothing is confirmed, but the stores still answer heartbeats.
pub fn is_silent(unconfirmed_for: Duration, unanswered_for: Duration) -> bool {
    unconfirmed_for >= CUT_OFF_AFTER && unanswered_for >= CUT_OFF_AFTER
}

/// Result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeResult {
    /// Number of stores that answered.
    pub answered: usize,
    /// How long the probe took.
    pub took: Duration,
    /// Timeout of the probe.
    pub timeout: Duration,
}

/// What the owner should do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutOffStep {
    /// Continue as owner.
    Continue,
    /// Probe the stores and continue meanwhile.
    Probe,
    /// Hand the jobs over.
    Leave,
}

/// Tracks the silence of an owner's stores.
#[derive(Clone, Debug, Default)]
pub struct CutOffMonitor {
    silent_polls: u32,
    is_probing: bool,
}

impl CutOffMonitor {
    /// Handles a poll of the stores' silence (see [`is_silent`]).
    pub fn poll(&mut self, is_silent: bool) -> CutOffStep {
        if !is_silent {
            self.silent_polls = 0;
            return CutOffStep::Continue;
        }
        self.silent_polls = self.silent_polls.saturating_add(1);
        if self.silent_polls < SILENT_POLLS_BEFORE_PROBE || self.is_probing {
            return CutOffStep::Continue;
        }
        self.is_probing = true;
        CutOffStep::Probe
    }

    /// Handles the end of a probe.
    pub fn probe_ended(&mut self, reply: ProbeResult) -> CutOffStep {
        self.is_probing = false;
        // A store answered during the probe.
        if self.silent_polls == 0 {
            return CutOffStep::Continue;
        }
        let was_late = reply.took > reply.timeout + LATE_MARGIN;
        if reply.answered == 0 && !was_late {
            return CutOffStep::Leave;
        }
        // Requires the same number of silent polls before the next probe.
        self.silent_polls = 0;
        CutOffStep::Continue
    }
}
