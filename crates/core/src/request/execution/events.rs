//! Handles the events that the driver reports: the result of the claim, and responses, failures and timeouts
//! of engines.

use rand::Rng;

use super::{ClaimResult, Current, EngineEvent, Execution, RefusalCause, ReleaseCause, State};
use crate::identity::AttemptId;
use crate::request::answer::FinishReason;
use crate::request::assembly::{Acceptance, Chunk};
use crate::request::outcome::{ClaimGranted, EngineRefusal, GiveUpReason};
use crate::routing::pool::Pool;
use crate::time::Timestamp;

impl Execution {
    /// Handles the result of the claim.
    pub fn claimed(&mut self, result: ClaimResult, now: Timestamp) {
        if self.state != State::Claiming {
            return;
        }
        self.state = match result {
            ClaimResult::Granted => {
                self.ledger.claimed(ClaimGranted::by_majority());
                State::Choosing(now)
            }
            ClaimResult::Held => State::GivenUp(GiveUpReason::AlreadyClaimed),
            ClaimResult::Expired => State::GivenUp(GiveUpReason::ClaimExpired),
            ClaimResult::NoMajority => State::GivenUp(GiveUpReason::ClaimUnavailable),
        };
    }

    /// Handles a dispatch that failed to connect, so that nothing was written.
    pub fn nothing_written<R: Rng>(&mut self, now: Timestamp, pool: &mut Pool, random: &mut R) {
        if self.state != State::Requested {
            return;
        }
        self.ledger.nothing_written();
        self.release_replica(now, pool, ReleaseCause::Failed);
        self.retry("not_connected", now, pool, random);
    }

    /// Handles an engine's refusal of the dispatch before admission.
    pub fn refused<R: Rng>(
        &mut self,
        refusal: &EngineRefusal,
        cause: RefusalCause,
        now: Timestamp,
        pool: &mut Pool,
        random: &mut R,
    ) {
        if self.state != State::Requested {
            return;
        }
        self.ledger.refused(refusal);
        let (release_cause, reason) = match cause {
            RefusalCause::Overloaded => (ReleaseCause::Overloaded, "engine_overloaded"),
            RefusalCause::NotServing => (ReleaseCause::NotServing, "engine_not_serving"),
        };
        self.release_replica(now, pool, release_cause);
        self.retry(reason, now, pool, random);
    }

    /// Handles a broken connection. The engine may still be generating.
    pub fn stream_broken<R: Rng>(&mut self, now: Timestamp, pool: &mut Pool, random: &mut R) {
        if !matches!(self.state, State::Requested | State::Receiving) {
            return;
        }
        self.ledger.in_doubt();
        self.handle_interruption("stream_broken", now, pool, random);
    }

    /// Handles a stream that delivered no event in time.
    pub fn stream_stalled<R: Rng>(&mut self, now: Timestamp, pool: &mut Pool, random: &mut R) {
        self.check_deadline(now);
        if !matches!(self.state, State::Requested | State::Receiving) {
            return;
        }
        self.ledger.in_doubt();
        let reason = if self.gap_since.is_some() { "gap" } else { "stream_stalled" };
        // An engine that answered the last resume still has the stream. It is slow or swapping weights, so
        // the request stays with it.
        if self.current.as_ref().is_some_and(|current| current.has_answered) {
            self.resumes_without_progress = 0;
        }
        self.handle_interruption(reason, now, pool, random);
    }

    /// Handles an engine that does not know the stream to be resumed.
    pub fn stream_unknown<R: Rng>(&mut self, now: Timestamp, pool: &mut Pool, random: &mut R) {
        if self.state != State::Requested {
            return;
        }
        self.ledger.in_doubt();
        self.handle_lost_stream("stream_unknown", now, pool, random);
    }

    /// Handles an event of the stream of `attempt`.
    pub fn received<R: Rng>(
        &mut self,
        attempt: &AttemptId,
        event: EngineEvent,
        now: Timestamp,
        pool: &mut Pool,
        random: &mut R,
    ) {
        let Some(current) = self.current.clone().filter(|current| current.attempt == *attempt) else {
            return;
        };
        if !matches!(self.state, State::Requested | State::Receiving) {
            return;
        }
        self.ledger.in_doubt();
        self.state = State::Receiving;
        if let Some(current) = &mut self.current {
            current.has_answered = true;
        }
        match event {
            EngineEvent::Admitted(load) => pool.observe(&current.replica, current.sent_at, load, now),
            EngineEvent::Tokens(chunk) => self.accept_chunk(&current, chunk, now, pool, random),
            EngineEvent::Finished { token_count, finish_reason, load } => {
                pool.observe(&current.replica, current.sent_at, load, now);
                self.handle_finished(attempt, token_count, finish_reason, now, pool, random);
            }
            EngineEvent::Failed => self.handle_lost_stream("engine_gave_up", now, pool, random),
        }
    }

    pub(super) fn accept_chunk<R: Rng>(
        &mut self,
        current: &Current,
        chunk: Chunk,
        now: Timestamp,
        pool: &mut Pool,
        random: &mut R,
    ) {
        let acceptance = self.assembly.accept(&current.attempt, chunk);
        let has_advanced = acceptance == Ok(Acceptance::Advanced);
        match acceptance {
            Ok(Acceptance::Advanced) => {
                self.resumes_without_progress = 0;
                self.record_first_token(current, now, pool);
            }
            Ok(Acceptance::TooFarAhead) => self.handle_interruption("gap", now, pool, random),
            Ok(Acceptance::Duplicate | Acceptance::Buffered | Acceptance::SupersededAttempt) => {}
            Err(_) => self.state = State::GivenUp(GiveUpReason::AnswerNotWhole),
        }
        if self.assembly.is_complete() {
            self.state = State::Complete;
        }
        let has_gap = self.state == State::Receiving && self.assembly.has_gap();
        let known_since = self.gap_since.filter(|_| !has_advanced).unwrap_or(now);
        self.gap_since = has_gap.then_some(known_since);
    }

    pub(super) fn handle_finished<R: Rng>(
        &mut self,
        attempt: &AttemptId,
        token_count: u32,
        finish_reason: FinishReason,
        now: Timestamp,
        pool: &mut Pool,
        random: &mut R,
    ) {
        if self.assembly.finish(attempt, token_count, finish_reason).is_err() {
            self.state = State::GivenUp(GiveUpReason::AnswerNotWhole);
        } else if self.assembly.is_complete() {
            self.state = State::Complete;
        } else {
            self.handle_interruption("gap", now, pool, random);
        }
    }

    pub(super) fn record_first_token(&mut self, current: &Current, now: Timestamp, pool: &mut Pool) {
        if current.has_started {
            return;
        }
        if let Some(current) = &mut self.current {
            current.has_started = true;
        }
        let took = now.saturating_since(current.dispatched_at);
        pool.record_first_token(&current.replica, self.spec.priority, took, now);
    }
}
