//! Passes plain requests on whole, and their answers back whole.
//!
//! Owns nothing beyond one request. Relies on the [`AttemptLoop`] for the choice of replicas and for retries.

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};
use lichenpulley_core::ingress::attempts::{NextStep, SendOutcome};
use lichenpulley_core::ingress::routes::{Route, RouteTable};
use tokio::time::Instant;

use super::attempt_loop::{AttemptLoop, ReplicaAttempt};
use super::caller_request::CallerRequest;
use super::callers::Caller;
use super::in_flight::{InFlightRequest, REPLICA_CONNECT_TIMEOUT, SendOptions};
use super::pool::HttpExchange;
use super::refusal::Refusal;
use super::{Ingress, headers};
use crate::duties::RunCount;
use crate::http::{Body, response};

/// Longest plain answer that is passed back, in bytes: it is held whole in memory before its first byte is
/// passed on. Smaller breaks off long answers, larger lets few of them fill the memory.
const PLAIN_ANSWER_LIMIT_BYTES: usize = 64 << 20;

/// An answer of a replica, read whole.
struct WholeAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Answers one request.
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
    let max_sends = request.sends_allowed(ingress, route).await;
    let mut attempts = AttemptLoop::new(route, max_sends);
    let attempt = PlainAttempt { ingress, needs_fresh: !route.is_repeatable() };
    match attempts.run(ingress, &request, &attempt).await {
        Ok((in_flight, answer)) => {
            request.record(ingress, &in_flight, "answered", answer.status.as_str(), attempts.sends());
            pass_back(answer)
        }
        Err(refused) => refused,
    }
}

/// A send of a plain request, whose answer is read whole.
struct PlainAttempt<'a> {
    ingress: &'a Ingress,
    /// Whether each send uses a connection of its own: one that the replica is closing could leave a request
    /// that may run only once in doubt.
    needs_fresh: bool,
}

impl ReplicaAttempt for PlainAttempt<'_> {
    type Answer = WholeAnswer;

    const MAY_MOVE: bool = true;

    async fn send(
        &self,
        request: &CallerRequest,
        in_flight: &mut InFlightRequest,
    ) -> (SendOutcome, Option<WholeAnswer>) {
        let limit = request.limit;
        let connect_timeout = REPLICA_CONNECT_TIMEOUT.min(request.remaining());
        let options = SendOptions { last_event: None, needs_fresh: self.needs_fresh, connect_timeout, limit };
        let mut count = RunCount::begin(&self.ingress.context, request.caller.tenant());
        let (outcome, answer) = match in_flight.send(request, options).await {
            Ok(exchange) => self.read_answer(request, in_flight, exchange, limit).await,
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
        limit: Instant,
    ) -> (SendOutcome, Option<WholeAnswer>) {
        let HttpExchange { response, connection } = exchange;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, PLAIN_ANSWER_LIMIT_BYTES).collect();
        let body = match tokio::time::timeout_at(limit, body).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => {
                in_flight.was_silent();
                in_flight.run.record_broken().await;
                return (SendOutcome::Broken, None);
            }
            Err(_) => {
                in_flight.was_silent();
                return (SendOutcome::TimedOut, None);
            }
        };
        if !headers::echoes_request_id(&head.headers, request.request_id.as_deref()) {
            return (SendOutcome::Broken, None);
        }
        self.ingress.pool.give_back(connection, &head.headers);
        let outcome = headers::outcome(head.status, &head.headers);
        if outcome == SendOutcome::Rejected {
            in_flight.was_full();
        } else {
            in_flight.answered();
            in_flight.run.record_complete();
        }
        let answer = WholeAnswer { status: head.status, headers: head.headers, body: body.to_bytes() };
        (outcome, Some(answer))
    }
}

fn pass_back(answer: WholeAnswer) -> Response<Body> {
    let mut passed = Response::new(response::full(answer.body));
    *passed.status_mut() = answer.status;
    *passed.headers_mut() = headers::end_to_end(&answer.headers);
    passed
}
