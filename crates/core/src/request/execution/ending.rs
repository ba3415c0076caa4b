//! Ends a request: builds its outcome with the retry delay for the caller, and records the decision.

use std::time::Duration;

use super::{Execution, ReleaseCause, State, Step};
use crate::request::assembly::Assembly;
use crate::request::outcome::{Doubt, Evidence, GiveUpReason, Ledger, RefusalReason, RequestOutcome};
use crate::routing::pool::Pool;
use crate::time::Timestamp;

impl Execution {
    pub(super) fn finish(&mut self, now: Timestamp, pool: &mut Pool) -> Step {
        let state = std::mem::replace(&mut self.state, State::Ended);
        let release_cause =
            if state == State::Complete { ReleaseCause::Complete } else { ReleaseCause::Abandoned };
        self.release_replica(now, pool, release_cause);
        pool.record_completion(now);
        let retry_after = Some(pool.retry_after(now));
        let ledger = std::mem::replace(&mut self.ledger, Ledger::Unclaimed);
        let assembly = std::mem::replace(&mut self.assembly, Assembly::new(0));
        let outcome = match (state, assembly.into_answer()) {
            (State::Complete, Ok(answer)) => RequestOutcome::Completed { answer, attempts: self.attempts },
            (State::Refused(reason), _) => self.refused_outcome(ledger, reason, retry_after),
            (State::GivenUp(reason), _) => self.given_up_outcome(ledger, reason, retry_after),
            _ => self.given_up_outcome(ledger, GiveUpReason::AnswerNotWhole, retry_after),
        };
        Step::Finish(Box::new(outcome))
    }

    pub(super) fn refused_outcome(
        &mut self,
        ledger: Ledger,
        reason: RefusalReason,
        retry_after: Option<Duration>,
    ) -> RequestOutcome {
        let retry_after = retry_after.filter(|_| reason.is_retryable());
        self.record("refused", reason.as_str(), |decision| {
            decision.with("retry_after_ms", retry_after.map_or(0, |wait| wait.as_millis()))
        });
        match ledger.into_evidence() {
            Evidence::NotRun(proof) => RequestOutcome::NotRun { proof, reason, retry_after },
            Evidence::InDoubt(doubt) => {
                RequestOutcome::Unknown { doubt, reason: GiveUpReason::Unclaimed(reason), retry_after }
            }
        }
    }

    /// Builds the outcome of a request that was given up. It is never reported as not run, whatever the
    /// ledger shows.
    pub(super) fn given_up_outcome(
        &mut self,
        ledger: Ledger,
        reason: GiveUpReason,
        retry_after: Option<Duration>,
    ) -> RequestOutcome {
        let attempts = self.attempts;
        self.record("given_up", reason.as_str(), |decision| decision.with("attempts", attempts));
        let doubt = match ledger.into_evidence() {
            Evidence::InDoubt(doubt) => doubt,
            Evidence::NotRun(_) => Doubt::EarlierSubmission,
        };
        let retry_after = retry_after.filter(|_| reason.is_retryable());
        RequestOutcome::Unknown { doubt, reason, retry_after }
    }
}
