//! Drives one request to its outcome: claim, route, dispatch, resume, retry, give up.
//!
//! [`Execution`] holds the request's state, the evidence of whether an engine ran it, and the partial answer.
//! [`crate::routing`] selects replicas and [`crate::retry::budget`] limits retries.
//!
//! The driver calls [`Execution::next`], performs the returned [`Step`] and reports the result through one of
//! the event methods. The same pool, random source and events produce the same steps.

mod choice;
mod ending;
mod events;
mod recovery;
mod step;

use std::time::Duration;

use rand::Rng;

use crate::decision::{Component, Decision};
use crate::identity::{AttemptId, ReplicaId};
use crate::request::assembly::{Assembly, Chunk};
use crate::request::outcome::{GiveUpReason, Ledger, RefusalReason};
use crate::routing::pool::Pool;
use crate::time::Timestamp;
pub use step::{ClaimResult, EngineEvent, ExecutionSpec, RefusalCause, Step};

/// How long an engine may take to answer a dispatch or a resume with its first event.
pub const ENGINE_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// A stream without a first token is resumed after this time without an event. Longer than
/// [`TOKEN_STALL_TIMEOUT`], since the request may be queued at its engine.
const START_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// A stream that has delivered tokens is resumed after this time without an event.
const TOKEN_STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Tokens missing before received ones are fetched again after this time.
const GAP_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a request waits for a replica to confirm that it takes work, when none has recently. Leaves time
/// for one probe of 500 ms.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(600);
/// How often the pool is checked for such a confirmation.
const POOL_CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Resumes without a new token after which a repeatable request is retried on another replica.
const RESUMES_BEFORE_MOVING: u32 = 1;
/// Resumes without a new token after which a request that must not be repeated is given up. Bridges a short
/// network interruption.
const RESUMES_BEFORE_GIVING_UP: u32 = 6;

#[derive(Clone, Debug)]
struct Current {
    replica: ReplicaId,
    attempt: AttemptId,
    sent_at: Timestamp,
    dispatched_at: Timestamp,
    /// Whether a token has been received.
    has_started: bool,
    /// Whether the engine has answered the last dispatch or resume with an event.
    has_answered: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Unclaimed,
    Claiming,
    /// Choosing a replica, not before this time.
    Choosing(Timestamp),
    /// A dispatch or resume was sent and has not been answered.
    Requested,
    /// The stream delivers events.
    Receiving,
    /// Waiting to resume the stream, not before this time.
    Interrupted(Timestamp),
    /// No engine admitted the request.
    Refused(RefusalReason),
    /// An engine may have run the request, and no complete answer will follow.
    GivenUp(GiveUpReason),
    Complete,
    Ended,
}

/// State machine of one request.
#[derive(Debug)]
pub struct Execution {
    spec: ExecutionSpec,
    state: State,
    ledger: Ledger,
    assembly: Assembly,
    current: Option<Current>,
    attempts: u32,
    retries: u32,
    resumes_without_progress: u32,
    choosing_since: Option<Timestamp>,
    /// Since when tokens have been missing before received ones.
    gap_since: Option<Timestamp>,
    refused_by: Vec<ReplicaId>,
    failed_at: Vec<ReplicaId>,
    cancellations: Vec<(ReplicaId, AttemptId)>,
    decisions: Vec<Decision>,
}

impl Execution {
    /// Creates the execution of a request that has not been sent. Deposits into the pool's retry budget.
    pub fn new(spec: ExecutionSpec, pool: &mut Pool, now: Timestamp) -> Self {
        pool.budget().deposit(now);
        Self {
            state: if spec.repeatable { State::Choosing(now) } else { State::Unclaimed },
            assembly: Assembly::new(spec.max_tokens),
            ledger: Ledger::new(spec.repeatable),
            spec,
            current: None,
            attempts: 0,
            retries: 0,
            resumes_without_progress: 0,
            choosing_since: None,
            gap_since: None,
            refused_by: Vec::new(),
            failed_at: Vec::new(),
            cancellations: Vec::new(),
            decisions: Vec::new(),
        }
    }

    /// Returns the next step for the driver.
    pub fn next<R: Rng>(&mut self, now: Timestamp, pool: &mut Pool, random: &mut R) -> Step {
        self.check_deadline(now);
        match self.state {
            State::Unclaimed => self.claim(),
            State::Choosing(not_before) if now < not_before => Step::Wait { until: not_before },
            State::Choosing(_) => self.choose(now, pool, random),
            State::Interrupted(not_before) if now < not_before => Step::Wait { until: not_before },
            State::Interrupted(_) => self.resume(now),
            State::Requested => Step::Receive { until: self.cap_at_deadline(now + ENGINE_ANSWER_TIMEOUT) },
            State::Receiving => Step::Receive { until: self.receive_until(now) },
            State::Claiming => Step::Wait { until: self.spec.deadline },
            State::Refused(_) | State::GivenUp(_) | State::Complete | State::Ended => self.finish(now, pool),
        }
    }

    /// Returns the tokens received since the last call, in order and without gaps.
    pub fn take_new(&mut self) -> Vec<Chunk> {
        self.assembly.take_new()
    }

    /// Returns the streams to cancel at their engines, on a best-effort basis.
    pub fn take_cancellations(&mut self) -> Vec<(ReplicaId, AttemptId)> {
        std::mem::take(&mut self.cancellations)
    }

    /// Returns the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns the running attempt, if any.
    pub fn current_attempt(&self) -> Option<&AttemptId> {
        self.current.as_ref().map(|current| &current.attempt)
    }

    /// Returns how many attempts have been sent to engines.
    pub const fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Abandons the request because its caller has gone, and releases its replica. Call
    /// [`Execution::take_cancellations`] afterwards.
    pub fn abandon(&mut self, now: Timestamp, pool: &mut Pool) {
        self.release_replica(now, pool, ReleaseCause::Abandoned);
        self.state = State::Ended;
    }

    fn give_up(&mut self, not_run: RefusalReason, may_have_run: GiveUpReason) {
        self.state =
            if self.ledger.is_not_run() { State::Refused(not_run) } else { State::GivenUp(may_have_run) };
    }

    fn check_deadline(&mut self, now: Timestamp) {
        let is_over =
            matches!(self.state, State::Refused(_) | State::GivenUp(_) | State::Complete | State::Ended);
        if !is_over && now >= self.spec.deadline {
            self.give_up(RefusalReason::DeadlineTooNear, GiveUpReason::DeadlineExceeded);
        }
    }

    fn receive_until(&self, now: Timestamp) -> Timestamp {
        let has_started = self.current.as_ref().is_some_and(|current| current.has_started);
        let stalled_at = now + if has_started { TOKEN_STALL_TIMEOUT } else { START_STALL_TIMEOUT };
        let gap_expires_at = self.gap_since.map_or(stalled_at, |since| since + GAP_TIMEOUT);
        self.cap_at_deadline(stalled_at.min(gap_expires_at))
    }

    fn cap_at_deadline(&self, until: Timestamp) -> Timestamp {
        until.min(self.spec.deadline)
    }

    fn release_replica(&mut self, now: Timestamp, pool: &mut Pool, release_cause: ReleaseCause) {
        let Some(current) = self.current.take() else { return };
        pool.release(&current.replica, now);
        match release_cause {
            ReleaseCause::Complete => {}
            ReleaseCause::Abandoned => self.cancellations.push((current.replica, current.attempt)),
            ReleaseCause::Overloaded => {
                pool.record_overload(&current.replica, now);
                self.refused_by.push(current.replica);
            }
            ReleaseCause::NotServing => {
                pool.record_failure(&current.replica, now);
                self.refused_by.push(current.replica);
            }
            ReleaseCause::Failed => {
                pool.record_failure(&current.replica, now);
                self.failed_at.push(current.replica.clone());
                self.cancellations.push((current.replica, current.attempt));
            }
        }
    }

    fn record(&mut self, action: &str, reason: &str, inputs: impl FnOnce(Decision) -> Decision) {
        let component = if action == "routed" { Component::Routing } else { Component::Request };
        self.decisions.push(inputs(Decision::new(component, action, reason, &self.spec.request)));
    }
}

#[derive(Clone, Copy, Debug)]
enum ReleaseCause {
    Complete,
    Abandoned,
    Overloaded,
    NotServing,
    Failed,
}
