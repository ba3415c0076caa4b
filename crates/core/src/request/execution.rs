//! Drives one request to its outcome: claim, route, dispatch, resume, retry, give up.
//!
//! The driver calls [`Execution::next`] for what to do, does it, and reports what came of it by one of the event
//! methods. The same pool, random source and events give the same steps.

use std::time::Duration;

use rand::Rng;

use crate::decision::{Component, Decision};
use crate::identity::{AttemptId, ReplicaId, RequestId, WeightVersion};
use crate::request::answer::{FinishReason, Priority};
use crate::request::assembly::{Acceptance, Assembly, Chunk};
use crate::request::outcome::{
    ClaimGranted, Doubt, EngineRefusal, Evidence, GiveUpReason, Ledger, Outcome, RefusalReason,
};
use crate::routing::load::LoadReport;
use crate::routing::pool::{Pool, RouteQuery, RouteRefusal};
use crate::time::Timestamp;

/// How long an engine may take to answer a dispatch or a resume with its first event.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// A stream that waits for its first token is asked after when no event came for this long.
pub const START_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// A stream that has begun is asked after when no event came for this long. To ask costs one small exchange, and an
/// engine that still has the stream keeps it.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A gap that is not filled within this time is fetched again.
pub const GAP_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a request waits for replicas to confirm that they take work, when none has lately.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(600);
/// Pause between looks for such a confirmation.
const CONFIRMATION_PAUSE: Duration = Duration::from_millis(5);
/// Resumes without a new token after which a repeatable request goes on elsewhere.
const RESUMES_BEFORE_MOVING: u32 = 1;
/// Resumes without a new token after which a request that can't go elsewhere is given up.
const RESUMES_BEFORE_GIVING_UP: u32 = 6;

/// What is to be run.
#[derive(Clone, Debug)]
pub struct ExecutionSpec {
    /// The request.
    pub request: RequestId,
    /// Names this run of the request; unique across nodes and restarts.
    pub execution: String,
    /// The prompt's prefix group.
    pub prefix_group: u64,
    /// Who waits.
    pub priority: Priority,
    /// At most this many tokens.
    pub max_tokens: u32,
    /// When the answer is of no use any more.
    pub deadline: Timestamp,
    /// Whether running it twice does no harm. Otherwise it is claimed first and sent on to no second engine.
    pub repeatable: bool,
    /// Replicas that report older weights are passed over.
    pub minimum_version: Option<WeightVersion>,
}

/// What the driver does next.
#[derive(Debug)]
pub enum Step {
    /// Claim the request's id, then call [`Execution::claimed`].
    Claim {
        /// The attempt to claim for.
        attempt: AttemptId,
    },
    /// Ask these replicas for their load without waiting for them, hand the answers to [`Pool::observe`] or
    /// [`Pool::failed`], and call `next` again at `until`, or sooner when one has answered.
    Probe {
        /// The replicas; empty where they have been asked already.
        replicas: Vec<ReplicaId>,
        /// When to call `next` again.
        until: Timestamp,
    },
    /// Send the request to an engine.
    Dispatch {
        /// The engine.
        replica: ReplicaId,
        /// Names the attempt.
        attempt: AttemptId,
        /// Tokens that are known already; the engine goes on after them.
        prior_tokens: Vec<u32>,
    },
    /// Ask the same engine for the rest of a stream.
    Resume {
        /// The engine.
        replica: ReplicaId,
        /// The attempt.
        attempt: AttemptId,
        /// The first token wanted.
        from: u32,
    },
    /// Wait for the next event of the open stream; call [`Execution::stalled`] when none came by `until`.
    Receive {
        /// When to stop waiting.
        until: Timestamp,
    },
    /// Call `next` again at this time.
    Wait {
        /// The time.
        until: Timestamp,
    },
    /// The request is over.
    Finish(Box<Outcome>),
}

/// What became of the claim on a request's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// This execution holds it.
    Granted,
    /// Another holds it, or may.
    Held,
    /// It is older than claims are kept.
    Expired,
    /// No majority answered.
    NoMajority,
}

/// An event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// The engine has taken the attempt.
    Admitted(LoadReport),
    /// Some tokens.
    Tokens(Chunk),
    /// Nothing follows.
    Finished {
        /// Tokens in all.
        token_count: u32,
        /// Why it ended.
        finish_reason: FinishReason,
        /// The engine's load.
        load: LoadReport,
    },
    /// The engine gave the stream up.
    Failed,
}

/// Why an engine refused, as far as it matters here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// It has too much to do.
    Overloaded,
    /// It takes nothing new, or has no weights.
    NotServing,
}

#[derive(Clone, Debug)]
struct Current {
    replica: ReplicaId,
    attempt: AttemptId,
    asked_at: Timestamp,
    dispatched_at: Timestamp,
    /// Whether a token has come.
    has_started: bool,
    /// Whether the engine has answered the last dispatch or resume with an event.
    has_answered: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Unclaimed,
    Claiming,
    /// A replica is to be chosen, not before this time.
    Choosing(Timestamp),
    /// An engine was asked and has not answered.
    Asked,
    /// Events come in.
    Receiving,
    /// The stream is to be resumed, not before this time.
    Interrupted(Timestamp),
    /// No answer will come; the reason.
    Refused(RefusalReason),
    GivenUp(GiveUpReason),
    Whole,
    Over,
}

/// One request on its way to its outcome.
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
    /// Since when tokens have been missing before others that came.
    gap_since: Option<Timestamp>,
    refused_by: Vec<ReplicaId>,
    failed_at: Vec<ReplicaId>,
    cancellations: Vec<(ReplicaId, AttemptId)>,
    decisions: Vec<Decision>,
}

impl Execution {
    /// A request that has been sent nowhere. Pays into the pool's retry budget.
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

    /// What to do next.
    pub fn next<R: Rng>(&mut self, now: Timestamp, pool: &mut Pool, random: &mut R) -> Step {
        self.check_deadline(now);
        match self.state {
            State::Unclaimed => self.claim(),
            State::Choosing(not_before) if now < not_before => Step::Wait { until: not_before },
            State::Choosing(_) => self.choose(now, pool, random),
            State::Interrupted(not_before) if now < not_before => Step::Wait { until: not_before },
            State::Interrupted(_) => self.resume(now),
            State::Asked => Step::Receive { until: self.bounded(now + ANSWER_TIMEOUT) },
            State::Receiving => Step::Receive { until: self.receive_until(now) },
            State::Claiming => Step::Wait { until: self.spec.deadline },
            State::Refused(_) | State::GivenUp(_) | State::Whole | State::Over => self.finish(now, pool),
        }
    }

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
    pub fn broken<R: Rng>(&mut self, now: Timestamp, pool: &mut Pool, random: &mut R) {
        if !matches!(self.state, State::Asked | State::Receiving) {
            return;
        }
        self.ledger.in_doubt();
        self.interrupted("stream_broken", now, pool, random);
    }

    /// No event came in time.
    pub fn stalled<R: Rng>(&mut self, now: Timestamp, pool: &mut Pool, random: &mut R) {
        self.check_deadline(now);
        if !matches!(self.state, State::Asked | State::Receiving) {
            return;
        }
        self.ledger.in_doubt();
        let reason = if self.gap_since.is_some() { "gap" } else { "stream_stalled" };
        // An engine that answered the last resume has the stream: it is slow, or swaps weights, and is not left.
        if self.current.as_ref().is_some_and(|current| current.has_answered) {
            self.resumes_without_progress = 0;
        }
        self.interrupted(reason, now, pool, random);
    }

    /// The engine does not know the stream that was to be resumed.
    pub fn resume_unknown<R: Rng>(&mut self, now: Timestamp, pool: &mut Pool, random: &mut R) {
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

    /// Tokens that came since the last call, in order and without gaps.
    pub fn take_new(&mut self) -> Vec<Chunk> {
        self.assembly.take_new()
    }

    /// Streams that are to be cancelled at their engines, as far as that can be done.
    pub fn take_cancellations(&mut self) -> Vec<(ReplicaId, AttemptId)> {
        std::mem::take(&mut self.cancellations)
    }

    /// What was decided since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// The attempt that is out, if one is.
    pub fn current_attempt(&self) -> Option<&AttemptId> {
        self.current.as_ref().map(|current| &current.attempt)
    }

    /// How many attempts have been sent to engines.
    pub const fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Nobody waits for the answer any more. Frees what is held; see [`Execution::take_cancellations`] after it.
    pub fn abandon(&mut self, now: Timestamp, pool: &mut Pool) {
        self.leave(now, pool, Leaving::Abandoned);
        self.state = State::Over;
    }

    fn claim(&mut self) -> Step {
        self.state = State::Claiming;
        Step::Claim { attempt: AttemptId::new(format!("{}.claim", self.spec.execution)) }
    }

    fn choose<R: Rng>(&mut self, now: Timestamp, pool: &mut Pool, random: &mut R) -> Step {
        let query = RouteQuery {
            prefix_group: self.spec.prefix_group,
            priority: self.spec.priority,
            refused_by: &self.refused_by,
            failed_at: &self.failed_at,
            minimum_version: self.spec.minimum_version,
        };
        let refusal = match pool.reserve(&query, random, now) {
            Ok(choice) => {
                self.decide("routed", "lowest_cost", |decision| {
                    decision
                        .with("replica", &choice.replica)
                        .with("cost", format_args!("{:.3}", choice.cost))
                        .with("prefix_cached", choice.prefix_cached)
                        .with("candidates", choice.candidates)
                });
                return self.dispatch(choice.replica, now);
            }
            Err(refusal) => refusal,
        };
        match refusal {
            RouteRefusal::Unconfirmed { probe } => self.await_confirmation(probe, now, pool),
            RouteRefusal::NoneEligible => self.no_replica(RefusalReason::NoEligibleReplica, now, pool),
            RouteRefusal::AllRefused => self.no_replica(RefusalReason::EnginesRefused, now, pool),
            RouteRefusal::AtLimit => self.no_replica(RefusalReason::ConcurrencyLimit, now, pool),
        }
    }

    fn await_confirmation(&mut self, replicas: Vec<ReplicaId>, now: Timestamp, pool: &mut Pool) -> Step {
        let since = *self.choosing_since.get_or_insert(now);
        if now >= since + CONFIRMATION_WAIT {
            return self.no_replica(RefusalReason::NoEligibleReplica, now, pool);
        }
        Step::Probe { replicas, until: self.bounded(now + CONFIRMATION_PAUSE) }
    }

    fn no_replica(&mut self, reason: RefusalReason, now: Timestamp, pool: &mut Pool) -> Step {
        self.give_up(reason, GiveUpReason::NoEligibleReplica);
        self.finish(now, pool)
    }

    fn dispatch(&mut self, replica: ReplicaId, now: Timestamp) -> Step {
        self.attempts += 1;
        self.choosing_since = None;
        self.gap_since = None;
        let attempt = AttemptId::new(format!("{}.{}", self.spec.execution, self.attempts));
        self.ledger.dispatch(attempt.clone());
        self.assembly.begin(attempt.clone());
        self.current = Some(Current {
            replica: replica.clone(),
            attempt: attempt.clone(),
            asked_at: now,
            dispatched_at: now,
            has_started: false,
            has_answered: false,
        });
        self.state = State::Asked;
        Step::Dispatch { replica, attempt, prior_tokens: self.assembly.tokens().to_vec() }
    }

    fn resume(&mut self, now: Timestamp) -> Step {
        let Some(current) = &mut self.current else {
            self.state = State::Choosing(now);
            return Step::Wait { until: now };
        };
        current.asked_at = now;
        current.has_answered = false;
        self.state = State::Asked;
        let from = self.assembly.next_token();
        Step::Resume { replica: current.replica.clone(), attempt: current.attempt.clone(), from }
    }

    fn take<R: Rng>(
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

    fn ended<R: Rng>(
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

    fn note_start(&mut self, current: &Current, now: Timestamp, pool: &mut Pool) {
        if current.has_started {
            return;
        }
        if let Some(current) = &mut self.current {
            current.has_started = true;
        }
        let took = now.saturating_since(current.dispatched_at);
        pool.started(&current.replica, self.spec.priority, took, now);
    }

    /// The stream stopped, and its engine may still have it: resume there, unless that has been tried enough.
    fn interrupted<R: Rng>(&mut self, reason: &str, now: Timestamp, pool: &mut Pool, random: &mut R) {
        self.resumes_without_progress += 1;
        self.gap_since = None;
        let tries = if self.spec.repeatable { RESUMES_BEFORE_MOVING } else { RESUMES_BEFORE_GIVING_UP };
        if self.resumes_without_progress > tries {
            self.lost(reason, now, pool, random);
            return;
        }
        let wait = match self.resumes_without_progress {
            1 => Duration::ZERO,
            further => pool.config().backoff.wait(further, random),
        };
        let from = self.assembly.next_token();
        self.decide("resumed", reason, |decision| decision.with("from_token", from));
        self.state = State::Interrupted(now + wait);
    }

    /// The engine does not have the stream any more, or can't be reached.
    fn lost<R: Rng>(&mut self, reason: &str, now: Timestamp, pool: &mut Pool, random: &mut R) {
        self.leave(now, pool, Leaving::Failed);
        if self.spec.repeatable {
            self.retry(reason, now, pool, random);
        } else {
            self.state = State::GivenUp(GiveUpReason::NotRepeatable);
        }
    }

    /// Tries another replica, within the budget and the deadline.
    fn retry<R: Rng>(&mut self, reason: &str, now: Timestamp, pool: &mut Pool, random: &mut R) {
        self.resumes_without_progress = 0;
        if !pool.budget().withdraw(now) {
            self.give_up(RefusalReason::RetryBudgetExhausted, GiveUpReason::RetryBudgetExhausted);
            return;
        }
        self.retries += 1;
        let not_before = now + pool.config().backoff.wait(self.retries, random);
        if not_before >= self.spec.deadline {
            self.give_up(RefusalReason::DeadlineTooNear, GiveUpReason::DeadlineExceeded);
            return;
        }
        let (retry, kept) = (self.retries, self.assembly.next_token());
        self.decide("retried", reason, |decision| decision.with("retry", retry).with("tokens_kept", kept));
        self.state = State::Choosing(not_before);
    }

    fn give_up(&mut self, not_run: RefusalReason, may_have_run: GiveUpReason) {
        self.state =
            if self.ledger.is_not_run() { State::Refused(not_run) } else { State::GivenUp(may_have_run) };
    }

    fn check_deadline(&mut self, now: Timestamp) {
        let is_over =
            matches!(self.state, State::Refused(_) | State::GivenUp(_) | State::Whole | State::Over);
        if !is_over && now >= self.spec.deadline {
            self.give_up(RefusalReason::DeadlineTooNear, GiveUpReason::DeadlineExceeded);
        }
    }

    fn receive_until(&self, now: Timestamp) -> Timestamp {
        let has_started = self.current.as_ref().is_some_and(|current| current.has_started);
        let stalled_at = now + if has_started { STALL_TIMEOUT } else { START_STALL_TIMEOUT };
        let gap_is_old_at = self.gap_since.map_or(stalled_at, |since| since + GAP_TIMEOUT);
        self.bounded(stalled_at.min(gap_is_old_at))
    }

    fn bounded(&self, until: Timestamp) -> Timestamp {
        until.min(self.spec.deadline)
    }

    fn leave(&mut self, now: Timestamp, pool: &mut Pool, leaving: Leaving) {
        let Some(current) = self.current.take() else { return };
        pool.release(&current.replica, now);
        match leaving {
            Leaving::Whole => {}
            Leaving::Abandoned => self.cancellations.push((current.replica, current.attempt)),
            Leaving::Overloaded => {
                pool.overloaded(&current.replica, now);
                self.refused_by.push(current.replica);
            }
            Leaving::NotServing => {
                pool.failed(&current.replica, now);
                self.refused_by.push(current.replica);
            }
            Leaving::Failed => {
                pool.failed(&current.replica, now);
                self.failed_at.push(current.replica.clone());
                self.cancellations.push((current.replica, current.attempt));
            }
        }
    }

    fn finish(&mut self, now: Timestamp, pool: &mut Pool) -> Step {
        let state = std::mem::replace(&mut self.state, State::Over);
        let leaving = if state == State::Whole { Leaving::Whole } else { Leaving::Abandoned };
        self.leave(now, pool, leaving);
        pool.completed(now);
        let retry_after = Some(pool.retry_after(now));
        let ledger = std::mem::replace(&mut self.ledger, Ledger::Unclaimed);
        let assembly = std::mem::replace(&mut self.assembly, Assembly::new(0));
        let outcome = match (state, assembly.into_answer()) {
            (State::Whole, Ok(answer)) => Outcome::Completed { answer, attempts: self.attempts },
            (State::Refused(reason), _) => self.refusal(ledger, reason, retry_after),
            (State::GivenUp(reason), _) => self.failure(ledger, reason, retry_after),
            _ => self.failure(ledger, GiveUpReason::AnswerNotWhole, retry_after),
        };
        Step::Finish(Box::new(outcome))
    }

    fn refusal(&mut self, ledger: Ledger, reason: RefusalReason, retry_after: Option<Duration>) -> Outcome {
        let retry_after = retry_after.filter(|_| reason.is_worth_repeating());
        self.decide("refused", reason.as_str(), |decision| {
            decision.with("retry_after_ms", retry_after.map_or(0, |wait| wait.as_millis()))
        });
        match ledger.into_evidence() {
            Evidence::NotRun(proof) => Outcome::NotRun { proof, reason, retry_after },
            Evidence::InDoubt(doubt) => {
                Outcome::Unknown { doubt, reason: GiveUpReason::Unclaimed(reason), retry_after }
            }
        }
    }

    /// A request that is given up is never called not run, whatever the ledger shows.
    fn failure(&mut self, ledger: Ledger, reason: GiveUpReason, retry_after: Option<Duration>) -> Outcome {
        let attempts = self.attempts;
        self.decide("given_up", reason.as_str(), |decision| decision.with("attempts", attempts));
        let doubt = match ledger.into_evidence() {
            Evidence::InDoubt(doubt) => doubt,
            Evidence::NotRun(_) => Doubt::EarlierSubmission,
        };
        let retry_after = retry_after.filter(|_| reason.is_worth_repeating());
        Outcome::Unknown { doubt, reason, retry_after }
    }

    fn decide(&mut self, action: &str, reason: &str, inputs: impl FnOnce(Decision) -> Decision) {
        let component = if action == "routed" { Component::Routing } else { Component::Request };
        self.decisions.push(inputs(Decision::new(component, action, reason, &self.spec.request)));
    }
}

#[derive(Clone, Copy, Debug)]
enum Leaving {
    Whole,
    Abandoned,
    Overloaded,
    NotServing,
    Failed,
}
