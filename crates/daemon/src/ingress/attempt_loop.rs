//! The loop that sends one caller's request to replicas until one answers or it is given up; plain requests
//! and streams share it.
//!
//! Owns the replicas that were tried, the attempts so far and the place that is reserved for the next one. The
//! rules stand in the core: which replica comes next in `ingress::selection`, whether another may be tried in
//! `ingress::attempts`, when a request that waits may move in `retry::attempt_timeout`. What differs between
//! plain requests and streams, how one send goes and what a caller is answered after the last, is a
//! [`ReplicaAttempt`].
//!
//! Invariant: a send is cut short only once a place at another replica is reserved for its request.

use hyper::Response;
use lichenpulley_core::ingress::attempts::{Attempts, NextStep, SendOutcome};
use lichenpulley_core::ingress::routes::Route;
use lichenpulley_core::ingress::selection::{NoCandidate, StayReason};
use lichenpulley_core::retry::attempt_timeout;

use super::Ingress;
use super::caller_request::CallerRequest;
use super::in_flight::InFlightRequest;
use super::refusal::Refusal;
use crate::http::Body;

/// One send of a request to a replica, plain or as a stream.
pub(super) trait ReplicaAttempt: Sync {
    /// What comes of a send that a replica answered.
    type Answer: Send;

    /// Whether a request that waits long for its answer may move to another replica.
    const MAY_MOVE: bool;

    /// Sends the request to the replica at which it is in flight. Dropping the future closes the connection.
    fn send(
        &self,
        request: &CallerRequest,
        in_flight: &mut InFlightRequest,
    ) -> impl Future<Output = (SendOutcome, Option<Self::Answer>)> + Send;

    /// The refusal of a request that is given up.
    fn refusal(&self, request: &CallerRequest, next: NextStep) -> Refusal;
}

/// A send that has ended or, as a stream, begun.
pub(super) struct SentAttempt<Answer> {
    /// The request at its replica.
    pub(super) in_flight: InFlightRequest,
    /// How the send ended.
    pub(super) outcome: SendOutcome,
    /// What the replica answered, if it did.
    pub(super) answer: Option<Answer>,
}

/// The attempts to have one request answered.
pub(super) struct AttemptLoop {
    attempts: Attempts,
    /// Ids of the replicas to which the request was sent.
    tried: Vec<String>,
    /// The place to which the request moves.
    reserved: Option<InFlightRequest>,
    /// Whether it is recorded why the request stays at the last replica that was tried.
    is_stay_recorded: bool,
}

impl AttemptLoop {
    /// A request that was sent to no replica, of a route, and at most `max_sends` times.
    pub(super) fn new(route: &Route, max_sends: u32) -> Self {
        Self {
            attempts: Attempts::new(route.is_repeatable(), max_sends),
            tried: Vec::new(),
            reserved: None,
            is_stay_recorded: false,
        }
    }

    /// How many replicas were tried.
    pub(super) const fn sends(&self) -> usize {
        self.tried.len()
    }

    /// Sends the request to one replica after another until one answers.
    ///
    /// # Errors
    /// The answer to the caller, where the request is given up.
    pub(super) async fn run<Attempt: ReplicaAttempt>(
        &mut self,
        ingress: &Ingress,
        request: &CallerRequest,
        attempt: &Attempt,
    ) -> Result<(InFlightRequest, Attempt::Answer), Response<Body>> {
        loop {
            let sent = match self.send_next(ingress, request, attempt).await {
                Ok(sent) => sent,
                Err(reason) if self.is_whole_reason(reason) => {
                    return Err(request.refuse_no_candidate(ingress, reason));
                }
                Err(_) => {
                    let refusal = attempt.refusal(request, self.attempts.give_up());
                    return Err(request.refuse(ingress, refusal));
                }
            };
            let SentAttempt { in_flight, outcome, answer } = sent;
            match (self.after(request, outcome), answer) {
                (NextStep::Answer, Some(answer)) => return Ok((in_flight, answer)),
                (NextStep::TryAnother, _) => {
                    request.record(ingress, &in_flight, "tried_another", outcome.as_str(), self.sends());
                }
                (next, _) => {
                    request.record(ingress, &in_flight, "given_up", outcome.as_str(), self.sends());
                    return Err(request.refuse(ingress, attempt.refusal(request, next)));
                }
            }
        }
    }

    /// Sends the request to the next replica.
    ///
    /// # Errors
    /// When no replica can be sent it.
    pub(super) async fn send_next<Attempt: ReplicaAttempt>(
        &mut self,
        ingress: &Ingress,
        request: &CallerRequest,
        attempt: &Attempt,
    ) -> Result<SentAttempt<Attempt::Answer>, NoCandidate> {
        let mut in_flight = match self.reserved.take() {
            Some(reserved) => reserved,
            None => ingress.select(request, &self.tried)?,
        };
        self.tried.push(in_flight.replica.id.clone());
        self.is_stay_recorded = false;
        let waits_at_cold = in_flight.is_cold;
        let ended = tokio::select! {
            biased;
            ended = attempt.send(request, &mut in_flight) => Some(ended),
            () = self.reserve_when_late(ingress, request, waits_at_cold), if Attempt::MAY_MOVE => None,
        };
        let (outcome, answer) = ended.unwrap_or_else(|| {
            in_flight.was_silent();
            (SendOutcome::TimedOut, None)
        });
        Ok(SentAttempt { in_flight, outcome, answer })
    }

    /// Returns once the replica at which the request waits has had its share of the time, and a place at
    /// another one is reserved; never, where there is none. A request without a better place goes on waiting:
    /// its answer may still come, and without it the caller would only learn that it may have run.
    async fn reserve_when_late(&mut self, ingress: &Ingress, request: &CallerRequest, waits_at_cold: bool) {
        tokio::time::sleep(attempt_timeout::for_request(request.remaining())).await;
        while !self.reserve(ingress, request, waits_at_cold) {
            tokio::time::sleep(attempt_timeout::MOVE_RETRY_INTERVAL).await;
        }
    }

    /// Reserves a place at another replica for a request that waits at the last one that was tried; returns
    /// whether one could be had.
    pub(super) fn reserve(
        &mut self,
        ingress: &Ingress,
        request: &CallerRequest,
        waits_at_cold: bool,
    ) -> bool {
        if !self.attempts.may_move(request.remaining()) {
            return false;
        }
        match ingress.select_alternative(request, &self.tried, waits_at_cold) {
            Ok(reserved) => self.reserved = Some(reserved),
            Err(reason) => self.note_stay(ingress, request, reason),
        }
        self.reserved.is_some()
    }

    /// The request stays at the replica that was tried last; once for each replica.
    fn note_stay(&mut self, ingress: &Ingress, request: &CallerRequest, reason: StayReason) {
        let Some(replica) = self.tried.last().filter(|_| !self.is_stay_recorded) else { return };
        ingress.late(replica);
        request.record_stay(ingress, replica, reason);
        self.is_stay_recorded = true;
    }

    /// What to do after a send.
    pub(super) fn after(&mut self, request: &CallerRequest, outcome: SendOutcome) -> NextStep {
        self.attempts.next_step(outcome, request.remaining())
    }

    /// Whether a missing candidate is the whole reason for a refusal: the request was not sent at all, or it
    /// is quarantined and has not run.
    fn is_whole_reason(&self, reason: NoCandidate) -> bool {
        let is_quarantined = reason == NoCandidate::Quarantined;
        self.tried.is_empty() || (is_quarantined && self.attempts.give_up() == NextStep::GiveUpNotRun)
    }
}
