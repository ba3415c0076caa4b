//! The loop that sends one caller's request to replicas until one answers or it is given up; plain requests
//! and streams share it.
//!
//! Owns the replicas that were tried and the attempts so far. The rules stand in the core: which replica
//! comes next in `ingress::selection`, whether another may be tried in `ingress::attempts`. What differs
//! between plain requests and streams, how one send goes and what a caller is answered after the last, is a
//! [`ReplicaAttempt`].

use hyper::Response;
use lichenpulley_core::ingress::attempts::{Attempts, Next, SendOutcome};
use lichenpulley_core::ingress::routes::Route;
use lichenpulley_core::ingress::selection::NoCandidate;

use super::Ingress;
use super::caller_request::CallerRequest;
use super::in_flight::InFlightRequest;
use super::refusal::Refusal;
use crate::http::Body;

/// One send of a request to a replica, plain or as a stream.
pub(super) trait ReplicaAttempt: Sync {
    /// What comes of a send that a replica answered.
    type Answer: Send;

    /// Sends the request to the replica at which it is in flight. `may_try_another` tells whether a further
    /// replica may be tried where this one gives no answer.
    fn send(
        &self,
        request: &CallerRequest,
        in_flight: &mut InFlightRequest,
        may_try_another: bool,
    ) -> impl Future<Output = (SendOutcome, Option<Self::Answer>)> + Send;

    /// The refusal of a request that is given up.
    fn refusal(&self, request: &CallerRequest, next: Next) -> Refusal;
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
}

impl AttemptLoop {
    /// A request that was sent to no replica, of a route, and at most `max_sends` times.
    pub(super) fn new(route: &Route, max_sends: u32) -> Self {
        Self { attempts: Attempts::new(route.is_repeatable(), max_sends), tried: Vec::new() }
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
                (Next::Answer, Some(answer)) => return Ok((in_flight, answer)),
                (Next::TryAnother, _) => {
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
        let mut in_flight = ingress.select(request, &self.tried)?;
        self.tried.push(in_flight.replica.id.clone());
        let may_try_another = self.attempts.may_try_another();
        let (outcome, answer) = attempt.send(request, &mut in_flight, may_try_another).await;
        Ok(SentAttempt { in_flight, outcome, answer })
    }

    /// What to do after a send.
    pub(super) fn after(&mut self, request: &CallerRequest, outcome: SendOutcome) -> Next {
        self.attempts.after(outcome, request.remaining())
    }

    /// Whether a missing candidate is the whole reason for a refusal: the request was not sent at all, or it
    /// is quarantined and has not run.
    fn is_whole_reason(&self, reason: NoCandidate) -> bool {
        let is_quarantined = reason == NoCandidate::Quarantined;
        self.tried.is_empty() || (is_quarantined && self.attempts.give_up() == Next::GiveUpNotRun)
    }
}
