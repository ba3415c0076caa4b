//! After something broke: resume, go on elsewhere, or give up.
//!
//! Inputs: whether the request may run twice, resumes without progress, the pool's retry budget, the
//! deadline. A stream is resumed at its engine first, since that repeats nothing; only a repeatable request
//! goes on at another one.

use std::time::Duration;

use rand::Rng;

use super::{Execution, Leaving, RESUMES_BEFORE_GIVING_UP, RESUMES_BEFORE_MOVING, State};
use crate::request::outcome::{GiveUpReason, RefusalReason};
use crate::routing::pool::Pool;
use crate::time::Timestamp;

impl Execution {
    /// The stream stopped, and its engine may still have it: resume there, unless that has been tried enough.
    pub(super) fn interrupted<R: Rng>(
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
            self.lost(reason, now, pool, random);
            return;
        }
        let wait = match self.resumes_without_progress {
            1 => Duration::ZERO,
            further => pool.config().backoff.jittered_pause(further, random),
        };
        let from = self.assembly.next_token();
        self.decide("resumed", reason, |decision| decision.with("from_token", from));
        self.state = State::Interrupted(now + wait);
    }

    /// The engine does not have the stream any more, or can't be reached.
    pub(super) fn lost<R: Rng>(&mut self, reason: &str, now: Timestamp, pool: &mut Pool, random: &mut R) {
        self.leave(now, pool, Leaving::Failed);
        if self.spec.repeatable {
            self.retry(reason, now, pool, random);
        } else {
            self.state = State::GivenUp(GiveUpReason::NotRepeatable);
        }
    }

    /// Tries another replica, within the budget and the deadline.
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
        self.decide("retried", reason, |decision| decision.with("retry", retry).with("tokens_kept", kept));
        self.state = State::Choosing(not_before);
    }
}
