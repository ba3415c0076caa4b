//! Settings of an owner, and its mechanisms.

use std::time::Duration;

/// Attempts of one job at once. Chosen, not measured: the pool's window (`window`) is mostly smaller.
const MAX_IN_FLIGHT: usize = 256;
/// The pause after a failed attempt that named none. Chosen, not measured: shorter storms an engine that
/// fails at once.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The longest attempt. Chosen, not measured: shorter throws long texts away, longer lets a lost attempt hold
/// its slot.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(600);
/// Tokens of one batch for the trainer. Chosen, not measured: some megabytes in one answer.
const MAX_BATCH_TOKENS: usize = 1 << 20;

/// Settings of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerConfig {
    /// Attempts of one job that run at once.
    pub max_in_flight: usize,
    /// How long a slot rests after a failed attempt that gave no time to come back.
    pub retry_delay: Duration,
    /// After this time without a result an attempt is given up and its slot tried anew.
    pub attempt_timeout: Duration,
    /// A batch for the trainer ends before it grows beyond this many tokens, one sample at least.
    pub max_batch_tokens: usize,
    /// Mechanisms; all on in service.
    pub checks: ControllerChecks,
}

impl Default for ControllerConfig {
    fn default() -> Self {
        Self {
            max_in_flight: MAX_IN_FLIGHT,
            retry_delay: RETRY_DELAY,
            attempt_timeout: ATTEMPT_TIMEOUT,
            max_batch_tokens: MAX_BATCH_TOKENS,
            checks: ControllerChecks::default(),
        }
    }
}

/// Mechanisms of an owner. All on in service; proofs switch one off to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerChecks {
    /// Reveal an answer only once the records it rests on are kept by a majority.
    pub commit_before_answer: bool,
    /// Refuse a pull only once a barrier is kept: an owner that has been superseded knows an old cursor.
    pub confirm_refusals: bool,
    /// Test the staleness bound at admission, while an attempt runs and at decision. Only saves work.
    pub staleness_before_hand_over: bool,
    /// Test the staleness bound at hand-over.
    pub staleness_at_hand_over: bool,
    /// Take a result only from a running attempt, and decide only a slot that is open.
    pub decide_once: bool,
    /// Move the cursor only when the trainer states it, not when its batch is answered.
    pub cursor_by_trainer: bool,
}

impl Default for ControllerChecks {
    fn default() -> Self {
        Self {
            commit_before_answer: true,
            confirm_refusals: true,
            staleness_before_hand_over: true,
            staleness_at_hand_over: true,
            decide_once: true,
            cursor_by_trainer: true,
        }
    }
}
