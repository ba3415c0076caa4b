//! Decides after a failure whether to resume the stream, retry on another replica, or give up.
//!
//! The decision depends on whether the request is repeatable, the number of resumes without progress, the
//! pool's retry budget and the deadline. A stream is first resumed at its engine, since that repeats no work.
//! Only a repeatable request is retried on another replica.

use std::time::Duration;

use rand::Rng;

use super::{Execution, RESUMES_BEFORE_GIVING_UP, RESUMES_BEFORE_MOVING, ReleaseCause, State};
use crate::request::outcome::{GiveUpReason, RefusalReason};
use crate::routing::pool::Pool;
use crate::time::Timestamp;

impl Execution {
    /// Resumes an interrupted stream at its engine, which may still have it, until the limit of resumes
    /// without progress is reached.
    pub(super) fn handle_interruption<R: Rng>(
        &mut self,
        reason: &str,
        now: Timestamp,
        pool: &mut Pool,
        random: &mut R,
    ) {
        self.resumes_without_progress += 1;
        self.gap_since = None;
        let tries = if self.spec.repeatable { RESUMES_BEFORE_MOVING } else { RESUMES_BEFORE_GIVING_UP };
        if self.resumes_without_progress > tries {
            self.handle_lost_stream(reason, now, pool, random);
            return;
        }
        let wait = match self.resumes_without_progress {
            1 => Duration::ZERO,
            further => pool.config().backoff.jittered_pause(further, random),
        };
        let from = self.assembly.next_token();
        self.record("resumed", reason, |decision| decision.with("from_token", from));
        self.state = State::Interrupted(now + wait);
    }

    /// Handles a stream that its engine no longer has or whose engine can't be reached.
    pub(super) fn handle_lost_stream<R: Rng>(
        &mut self,
        reason: &str,
        now: Timestamp,
        pool: &mut Pool,
        random: &mut R,
    ) {
        self.release_replica(now, pool, ReleaseCause::Failed);
        if self.spec.repeatable {
            self.retry(reason, now, pool, random);
        } else {
            self.state = State::GivenUp(GiveUpReason::NotRepeatable);
        }
    }

    /// Retries on another replica, within the retry budget and the deadline.
    pub(super) fn retry<R: Rng>(&mut self, reason: &str, now: Timestamp, pool: &mut Pool, random: &mut R) {
        self.resumes_without_progress = 0;
        if !pool.budget().withdraw(now) {
            self.give_up(RefusalReason::RetryBudgetExhausted, GiveUpReason::RetryBudgetExhausted);
            return;
        }
        self.retries += 1;
        let not_before = now + pool.config().backoff.jittered_pause(self.retries, random);
        if not_before >= self.spec.deadline {
            self.give_up(RefusalReason::DeadlineTooNear, GiveUpReason::DeadlineExceeded);
            return;
        }
        let (retry, kept) = (self.retries, self.assembly.next_token());
        self.record("retried", reason, |decision| decision.with("retry", retry).with("tokens_kept", kept));
        self.state = State::Choosing(not_before);
    }
}
