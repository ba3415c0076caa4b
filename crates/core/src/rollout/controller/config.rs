//! Configuration of a job's owner.

use std::time::Duration;

const MAX_IN_FLIGHT: usize = 256;
const RETRY_DELAY: Duration = Duration::from_millis(200);
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(600);
/// Keeps one answer to a few megabytes.
const MAX_BATCH_TOKENS: usize = 1 << 20;

/// Configuration of a job's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerConfig {
    /// Most concurrent attempts of one job.
    pub max_in_flight: usize,
    /// Initial retry delay of a slot after a failed attempt without a `retry_after`. Doubles with each
    /// failure in a row.
    pub retry_delay: Duration,
    /// After this time without a result an attempt is cancelled and its slot retried.
    pub attempt_timeout: Duration,
    /// Most tokens in a batch for the trainer. A batch has at least one sample.
    pub max_batch_tokens: usize,
    /// Safety mechanisms; all on in production.
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

/// Safety mechanisms of a job's owner. All are on in production; simulations switch one off to show that it
/// is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerChecks {
    /// Send an answer only once the records that it depends on are committed.
    pub commit_before_answer: bool,
    /// Refuse a pull only once a barrier is committed, since a superseded owner knows an old cursor.
    pub confirm_refusals: bool,
    /// Check the staleness bound before and during an attempt and at decision. Only saves work.
    pub staleness_before_hand_over: bool,
    /// Check the staleness bound at hand-over.
    pub staleness_at_hand_over: bool,
    /// Accept a result only from a running attempt, and decide only open slots.
    pub decide_once: bool,
    /// Move the cursor when the trainer states it rather than when the batch is sent.
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
