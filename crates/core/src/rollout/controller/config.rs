//! Settings of an owner, and its mechanisms.

use std::time::Duration;

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
            max_in_flight: 256,
            retry_delay: Duration::from_millis(200),
            attempt_timeout: Duration::from_secs(600),
            max_batch_tokens: 1 << 20,
            checks: ControllerChecks::default(),
        }
    }
}

/// Mechanisms of an owner. All on in service; proofs switch one off to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerChecks {
    /// Reveal an answer only once the records it rests on are kept by a majority.
    pub keep_before_answer: bool,
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
            keep_before_answer: true,
            confirm_refusals: true,
            staleness_before_hand_over: true,
            staleness_at_hand_over: true,
            decide_once: true,
            cursor_by_trainer: true,
        }
    }
}
