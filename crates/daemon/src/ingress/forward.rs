//! Forwards plain requests to replicas and returns their buffered responses.
//!
//! [`AttemptLoop`] selects replicas and retries.

use hyper::body::Incoming;
use hyper::{Request, Response};
use lichenpulley_core::ingress::attempts::{NextStep, SendOutcome};
use lichenpulley_core::ingress::routes::{Route, RouteTable};
use lichenpulley_core::retry::early_moves::EarlyMoveResult;
use tokio::time::Instant;

use super::answer_body::BufferedAnswer;
use super::attempt_loop::{AttemptLoop, ReplicaAttempt};
use super::caller_request::CallerRequest;
use super::callers::Caller;
use super::in_flight::{InFlightRequest, REPLICA_CONNECT_TIMEOUT, SendOptions};
use super::pool::HttpExchange;
use super::refusal::Refusal;
use super::{Ingress, headers};
use crate::duties::RunCount;
use crate::http::Body;

/// Answers one plain request.
pub(super) async fn handle(
    ingress: &Ingress,
    table: &RouteTable,
    route: &Route,
    caller: Caller,
    request: Request<Incoming>,
) -> Response<Body> {
    let mut request = match CallerRequest::read(ingress, table, route, caller, request).await {
        Ok(request) => request,
        Err(refusal) => return refusal,
    };
    request.wait_until_routable(ingress).await;
    let max_sends = request.sends_allowed(ingress, route).await;
    let mut attempts = AttemptLoop::new(route, max_sends);
    let attempt = PlainAttempt { ingress, needs_new_connection: !route.is_repeatable() };
    ingress.record_plain_request(&request.service);
    let ended = attempts.run(ingress, &request, &attempt).await;
    if attempts.has_moved_early() {
        let elapsed = ended.is_ok().then(|| request.elapsed());
        ingress.record_early_move_result(&request.service, EarlyMoveResult::of(elapsed, route.target));
    }
    match ended {
        Ok((in_flight, answer)) => {
            request.record(ingress, &in_flight, "answered", answer.head.status.as_str(), attempts.sends());
            answer.into_response()
        }
        Err(refused) => refused,
    }
}

/// Sends a plain request and reads the complete response.
struct PlainAttempt<'a> {
    ingress: &'a Ingress,
    /// Whether each send opens a new connection. On a pooled connection that the replica is closing, it could
    /// remain unknown whether a non-repeatable request ran.
    needs_new_connection: bool,
}

impl ReplicaAttempt for PlainAttempt<'_> {
    type Answer = BufferedAnswer;

    const MAY_MOVE: bool = true;

    const IS_BOUND_BY_QUEUES: bool = true;

    async fn send(
        &self,
        request: &CallerRequest,
        in_flight: &mut InFlightRequest,
    ) -> (SendOutcome, Option<BufferedAnswer>) {
        let deadline = request.deadline;
        let connect_timeout = REPLICA_CONNECT_TIMEOUT.min(request.remaining());
        let options = SendOptions {
            last_event: None,
            needs_new_connection: self.needs_new_connection,
            connect_timeout,
            deadline,
        };
        let mut count = RunCount::begin(&self.ingress.context, request.caller.tenant());
        let (outcome, answer) = match in_flight.send(request, options).await {
            Ok(exchange) => self.read_answer(request, in_flight, exchange, deadline).await,
            Err(outcome) => (outcome, None),
        };
        if outcome.has_not_run() {
            count.has_not_run();
        }
        (outcome, answer)
    }

    fn refusal(&self, request: &CallerRequest, next: NextStep) -> Refusal {
        match next {
            NextStep::GiveUpNotRun => Refusal::NotRun,
            _ if request.remaining().is_zero() => Refusal::TimedOut,
            _ => Refusal::Unknown,
        }
    }
}

impl PlainAttempt<'_> {
    async fn read_answer(
        &self,
        request: &CallerRequest,
        in_flight: &mut InFlightRequest,
        exchange: HttpExchange,
        deadline: Instant,
    ) -> (SendOutcome, Option<BufferedAnswer>) {
        let (answer, connection) = match in_flight.read(exchange, deadline).await {
            Ok(read) => read,
            Err(outcome) => return (outcome, None),
        };
        let head = &answer.head;
        if !headers::echoes_request_id(&head.headers, request.request_id.as_deref()) {
            return (SendOutcome::Broken, None);
        }
        self.ingress.pool.give_back(connection, &head.headers);
        let outcome = headers::outcome(head.status, &head.headers);
        if outcome == SendOutcome::Rejected {
            in_flight.record_rejected();
        } else {
            in_flight.record_answered();
            in_flight.run.record_complete();
        }
        (outcome, Some(answer))
    }
}
