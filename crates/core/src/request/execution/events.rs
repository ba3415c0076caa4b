//! What the driver reports of engines and of the claim, and how the state of the request changes.

use rand::Rng;

use super::{ClaimVerdict, Current, EngineEvent, Execution, Leaving, RefusalCause, State};
use crate::identity::AttemptId;
use crate::request::answer::FinishReason;
use crate::request::assembly::{Acceptance, Chunk};
use crate::request::outcome::{ClaimGranted, EngineRefusal, GiveUpReason};
use crate::routing::pool::Pool;
use crate::time::Timestamp;

impl Execution {
    /// The claim was answered.
    pub fn claimed(&mut self, verdict: ClaimVerdict, now: Timestamp) {
        if self.state != State::Claiming {
            return;
        }
        self.state = match verdict {
            ClaimVerdict::Granted => {
                self.ledger.claimed(ClaimGranted::by_majority());
                State::Choosing(now)
            }
            ClaimVerdict::Held => State::GivenUp(GiveUpReason::AlreadyClaimed),
            ClaimVerdict::Expired => State::GivenUp(GiveUpReason::ClaimExpired),
            ClaimVerdict::NoMajority => State::GivenUp(GiveUpReason::ClaimUnavailable),
        };
    }

    /// The dispatch found no connection: nothing was written.
    pub fn nothing_written<R: Rng>(&mut self, now: Timestamp, pool: &mut Pool, random: &mut R) {
        if self.state != State::Asked {
            return;
        }
        self.ledger.nothing_written();
        self.leave(now, pool, Leaving::Failed);
        self.retry("not_connected", now, pool, random);
    }

    /// The engine refused the dispatch before admission.
    pub fn refused<R: Rng>(
        &mut self,
        refusal: &EngineRefusal,
        cause: RefusalCause,
        now: Timestamp,
        pool: &mut Pool,
        random: &mut R,
    ) {
        if self.state != State::Asked {
            return;
        }
        self.ledger.refused(refusal);
        let (leaving, reason) = match cause {
            RefusalCause::Overloaded => (Leaving::Overloaded, "engine_overloaded"),
            RefusalCause::NotServing => (Leaving::NotServing, "engine_not_serving"),
        };
        self.leave(now, pool, leaving);
        self.retry(reason, now, pool, random);
    }

    /// The stream or the exchange broke; the engine may go on.
    pub fn stream_broken<R: Rng>(&mut self, now: Timestamp, pool: &mut Pool, random: &mut R) {
        if !matches!(self.state, State::Asked | State::Receiving) {
            return;
        }
        self.ledger.in_doubt();
        self.interrupted("stream_broken", now, pool, random);
    }

    /// No event came in time.
    pub fn stream_stalled<R: Rng>(&mut self, now: Timestamp, pool: &mut Pool, random: &mut R) {
        self.check_deadline(now);
        if !matches!(self.state, State::Asked | State::Receiving) {
            return;
        }
        self.ledger.in_doubt();
        let reason = if self.gap_since.is_some() { "gap" } else { "stream_stalled" };
        // An engine that answered the last resume has the stream: it is slow, or swaps weights, and is not
        // left.
        if self.current.as_ref().is_some_and(|current| current.has_answered) {
            self.resumes_without_progress = 0;
        }
        self.interrupted(reason, now, pool, random);
    }

    /// The engine does not know the stream that was to be resumed.
    pub fn stream_unknown<R: Rng>(&mut self, now: Timestamp, pool: &mut Pool, random: &mut R) {
        if self.state != State::Asked {
            return;
        }
        self.ledger.in_doubt();
        self.lost("stream_unknown", now, pool, random);
    }

    /// An event of the stream of `attempt`.
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
        if !matches!(self.state, State::Asked | State::Receiving) {
            return;
        }
        self.ledger.in_doubt();
        self.state = State::Receiving;
        if let Some(current) = &mut self.current {
            current.has_answered = true;
        }
        match event {
            EngineEvent::Admitted(load) => pool.observe(&current.replica, current.asked_at, load, now),
            EngineEvent::Tokens(chunk) => self.take(&current, chunk, now, pool, random),
            EngineEvent::Finished { token_count, finish_reason, load } => {
                pool.observe(&current.replica, current.asked_at, load, now);
                self.ended(attempt, token_count, finish_reason, now, pool, random);
            }
            EngineEvent::Failed => self.lost("engine_gave_up", now, pool, random),
        }
    }

    pub(super) fn take<R: Rng>(
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
                self.note_start(current, now, pool);
            }
            Ok(Acceptance::TooFarAhead) => self.interrupted("gap", now, pool, random),
            Ok(Acceptance::Duplicate | Acceptance::Held | Acceptance::FromEarlierAttempt) => {}
            Err(_) => self.state = State::GivenUp(GiveUpReason::AnswerNotWhole),
        }
        if self.assembly.is_whole() {
            self.state = State::Whole;
        }
        let has_gap = self.state == State::Receiving && self.assembly.has_gap();
        let known_since = self.gap_since.filter(|_| !has_advanced).unwrap_or(now);
        self.gap_since = has_gap.then_some(known_since);
    }

    pub(super) fn ended<R: Rng>(
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
        } else if self.assembly.is_whole() {
            self.state = State::Whole;
        } else {
            self.interrupted("gap", now, pool, random);
        }
    }

    pub(super) fn note_start(&mut self, current: &Current, now: Timestamp, pool: &mut Pool) {
        if current.has_started {
            return;
        }
        if let Some(current) = &mut self.current {
            current.has_started = true;
        }
        let took = now.saturating_since(current.dispatched_at);
        pool.started(&current.replica, self.spec.priority, took, now);
    }
}
