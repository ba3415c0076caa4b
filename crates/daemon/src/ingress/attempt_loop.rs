//! Sends a caller's request to one replica after another until one answers or the request is given up. Plain
//! requests and streams share this loop.
//!
//! The loop tracks the replicas that were tried, the attempts so far and the slot reserved for the next
//! attempt. The policy is in the core: `ingress::selection` selects the next replica, `ingress::attempts`
//! decides whether another may be tried, `retry::attempt_timeout` when a waiting request may move, and
//! `retry::early_moves` limits moves within the target of the route.
//! [`ReplicaAttempt`] implements what differs between plain requests and streams: a single send, and the
//! refusal after the last one.
//!
//! Invariant: a send is cancelled early only once a slot at another replica is reserved for its request.

use std::time::Duration;

use hyper::Response;
use lichenpulley_core::ingress::attempts::{Attempts, NextStep, SendOutcome};
use lichenpulley_core::ingress::routes::Route;
use lichenpulley_core::ingress::selection::{NoCandidate, StayReason};
use lichenpulley_core::retry::attempt_timeout;
use lichenpulley_core::retry::early_moves::EarlyMoveDenial;
use lichenpulley_core::time::Timestamp;
use tokio::sync::watch;
use tokio::time::Instant;

use super::Ingress;
use super::caller_request::CallerRequest;
use super::in_flight::{InFlightRequest, SendProgress};
use super::refusal::Refusal;
use crate::http::Body;

/// Sends a request to one replica, as a plain request or as a stream.
pub(super) trait ReplicaAttempt: Sync {
    /// The result of a send that a replica answered.
    type Answer: Send;

    /// Whether a request that waits too long for its answer may move to another replica.
    const MAY_MOVE: bool;

    /// Whether a request is refused if the queues of all replicas take longer than the time that it has left, and told
    /// when they have drained.
    const IS_BOUND_BY_QUEUES: bool;

    /// Sends the request to the replica selected in `in_flight`. Dropping the future closes the connection.
    fn send(
        &self,
        request: &CallerRequest,
        in_flight: &mut InFlightRequest,
    ) -> impl Future<Output = (SendOutcome, Option<Self::Answer>)> + Send;

    /// Returns the refusal for a request that is given up.
    fn refusal(&self, request: &CallerRequest, next: NextStep) -> Refusal;
}

/// A completed send of a plain request, or a stream whose response head has arrived.
pub(super) struct SentAttempt<Answer> {
    /// The request in flight at its replica.
    pub(super) in_flight: InFlightRequest,
    /// How the send ended.
    pub(super) outcome: SendOutcome,
    /// The replica's answer, if there is one.
    pub(super) answer: Option<Answer>,
}

/// State of the attempts to get one request answered.
pub(super) struct AttemptLoop {
    attempts: Attempts,
    /// Ids of the replicas to which the request was sent, in order.
    tried: Vec<String>,
    /// The slot reserved at another replica, to which the request moves next.
    reserved: Option<InFlightRequest>,
    /// Whether the decision to stay at the last tried replica is already recorded.
    is_stay_recorded: bool,
}

impl AttemptLoop {
    /// Creates the state for a request of `route` that was not sent yet and may be sent at most `max_sends`
    /// times.
    pub(super) fn new(route: &Route, max_sends: u32) -> Self {
        Self {
            attempts: Attempts::new(route.is_repeatable(), max_sends),
            tried: Vec::new(),
            reserved: None,
            is_stay_recorded: false,
        }
    }

    /// Returns the number of replicas that were tried.
    pub(super) const fn sends(&self) -> usize {
        self.tried.len()
    }

    /// Whether the request has moved early.
    pub(super) const fn has_moved_early(&self) -> bool {
        self.attempts.has_moved_early()
    }

    /// Sends the request to one replica after another until one answers.
    ///
    /// # Errors
    /// Returns the refusal to send to the caller if the request is given up.
    pub(super) async fn run<Attempt: ReplicaAttempt>(
        &mut self,
        ingress: &Ingress,
        request: &CallerRequest,
        attempt: &Attempt,
    ) -> Result<(InFlightRequest, Attempt::Answer), Response<Body>> {
        loop {
            let sent = match self.send_next(ingress, request, attempt).await {
                Ok(sent) => sent,
                Err(reason) if self.is_only_reason(reason) => {
                    return Err(request.refuse_no_candidate(ingress, reason));
                }
                Err(_) => {
                    let refusal = self.refusal(ingress, request, attempt, self.attempts.give_up());
                    return Err(request.refuse(ingress, refusal));
                }
            };
            let SentAttempt { in_flight, outcome, answer } = sent;
            match (self.next_step(request, outcome), answer) {
                (NextStep::Answer, Some(answer)) => return Ok((in_flight, answer)),
                (NextStep::TryAnother, _) => {
                    request.record(ingress, &in_flight, "tried_another", outcome.as_str(), self.sends());
                }
                (next, _) => {
                    request.record(ingress, &in_flight, "given_up", outcome.as_str(), self.sends());
                    return Err(request.refuse(ingress, self.refusal(ingress, request, attempt, next)));
                }
            }
        }
    }

    /// Sends the request to the next replica.
    ///
    /// # Errors
    /// Returns the reason if no replica can be selected.
    pub(super) async fn send_next<Attempt: ReplicaAttempt>(
        &mut self,
        ingress: &Ingress,
        request: &CallerRequest,
        attempt: &Attempt,
    ) -> Result<SentAttempt<Attempt::Answer>, NoCandidate> {
        let mut in_flight = match self.reserved.take() {
            Some(reserved) => reserved,
            None => {
                // A request that may have run is sent again as before, since it could not be refused as "not run".
                if Attempt::IS_BOUND_BY_QUEUES && self.attempts.give_up() == NextStep::GiveUpNotRun {
                    ingress.check_queues(request, &self.tried)?;
                }
                ingress.probe_and_select(request, &self.tried).await?
            }
        };
        self.tried.push(in_flight.replica.id.clone());
        self.is_stay_recorded = false;
        let waits = WaitingSend {
            is_at_cold: in_flight.is_cold,
            selected_at: in_flight.started_at,
            progress: in_flight.progress(),
        };
        let ended = tokio::select! {
            biased;
            ended = attempt.send(request, &mut in_flight) => Some(ended),
            () = self.reserve_after_timeout(ingress, request, waits), if Attempt::MAY_MOVE => None,
        };
        let (outcome, answer) = ended.unwrap_or_else(|| {
            in_flight.record_no_answer();
            (SendOutcome::TimedOut, None)
        });
        Ok(SentAttempt { in_flight, outcome, answer })
    }

    /// Waits for the attempt timeout of the current replica and then until a slot at another replica is
    /// reserved. Doesn't return while there is none: the current replica may still answer, and giving up
    /// would only tell the caller that the request may have run.
    async fn reserve_after_timeout(
        &mut self,
        ingress: &Ingress,
        request: &CallerRequest,
        mut waits: WaitingSend,
    ) {
        let times_out_at = Instant::now() + attempt_timeout::for_request(request.remaining());
        let may_move_early =
            tokio::time::timeout_at(times_out_at, waits.until_early_move(request.target)).await;
        if may_move_early.is_ok() && self.reserve_early(ingress, request) {
            return;
        }
        tokio::time::sleep_until(times_out_at).await;
        while !self.reserve(ingress, request, waits.is_at_cold) {
            tokio::time::sleep(attempt_timeout::MOVE_RETRY_INTERVAL).await;
        }
    }

    /// Tries to reserve a slot at a replica that is expected to answer within the target. Returns whether a slot is
    /// reserved.
    fn reserve_early(&mut self, ingress: &Ingress, request: &CallerRequest) -> bool {
        if !self.attempts.may_move_early(request.remaining()) {
            return false;
        }
        let target_left = request.target.saturating_sub(request.elapsed());
        match ingress.select_early(request, &self.tried, target_left) {
            Ok(reserved) => {
                request.record_early_move(ingress, self.tried.last(), &reserved.replica.id);
                self.attempts.record_early_move();
                self.reserved = Some(reserved);
            }
            Err(EarlyMoveDenial::NoPace) => {}
            Err(denial) => request.record_early_move_denial(ingress, denial),
        }
        self.reserved.is_some()
    }

    /// Tries to reserve a slot at another replica for a request that waits at the last tried one. Returns
    /// whether a slot is reserved.
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
            Err(reason) => self.record_stay_once(ingress, request, reason),
        }
        self.reserved.is_some()
    }

    /// Records that the request stays at the replica that was tried last, once per replica.
    fn record_stay_once(&mut self, ingress: &Ingress, request: &CallerRequest, reason: StayReason) {
        let Some(replica) = self.tried.last().filter(|_| !self.is_stay_recorded) else { return };
        ingress.mark_late(replica);
        request.record_stay(ingress, replica, reason);
        self.is_stay_recorded = true;
    }

    /// Returns the next step after a send with this outcome.
    pub(super) fn next_step(&mut self, request: &CallerRequest, outcome: SendOutcome) -> NextStep {
        self.attempts.next_step(outcome, request.remaining())
    }

    /// Whether a refusal reports only the missing candidate: the request was not sent at all, or it has not run and
    /// is quarantined or would wait for too long.
    fn is_only_reason(&self, reason: NoCandidate) -> bool {
        let is_final = matches!(reason, NoCandidate::Quarantined | NoCandidate::NoTime(_));
        self.tried.is_empty() || (is_final && self.attempts.give_up() == NextStep::GiveUpNotRun)
    }

    /// Returns the refusal for a request that is given up. If all replicas rejected it and report their queues, the
    /// caller is told when a queue has drained.
    fn refusal<Attempt: ReplicaAttempt>(
        &self,
        ingress: &Ingress,
        request: &CallerRequest,
        attempt: &Attempt,
        next: NextStep,
    ) -> Refusal {
        let refusal = attempt.refusal(request, next);
        if !Attempt::IS_BOUND_BY_QUEUES || refusal != Refusal::NotRun || !self.attempts.is_only_rejected() {
            return refusal;
        }
        ingress.shortest_queue(request).map_or(refusal, Refusal::Rejected)
    }
}

/// A send that waits for its answer.
struct WaitingSend {
    /// Whether the replica was cold when it was selected.
    is_at_cold: bool,
    /// When the replica was selected.
    selected_at: Instant,
    progress: watch::Receiver<SendProgress>,
}

impl WaitingSend {
    /// Waits until the request may move early. Never returns if its first byte is not written, or if its answer has begun
    /// to arrive by then.
    async fn until_early_move(&mut self, target: Duration) {
        let is_written = |progress: &SendProgress| *progress != SendProgress::NotWritten;
        let progress = self.progress.wait_for(is_written).await.map(|progress| *progress);
        let Ok(SendProgress::Written(written_at)) = progress else {
            // The answer is arriving, or the send has ended.
            return std::future::pending().await;
        };
        let written = Timestamp::ORIGIN + written_at.saturating_duration_since(self.selected_at);
        let moves_at = attempt_timeout::early_move_at(target, Timestamp::ORIGIN, written);
        tokio::time::sleep_until(self.selected_at + moves_at.saturating_since(Timestamp::ORIGIN)).await;
        if *self.progress.borrow() == SendProgress::Answering {
            std::future::pending::<()>().await;
        }
    }
}
