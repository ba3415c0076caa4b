//! Passes plain requests on whole, and their answers back whole.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode, Uri};
use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::TenantName;
use lichenpulley_core::ingress::attempts::{Attempts, Next, SendOutcome};
use lichenpulley_core::ingress::places::AllowedRegions;
use lichenpulley_core::ingress::routes::{Route, RouteTable};
use lichenpulley_core::ingress::selection::NoCandidate;
use lichenpulley_core::quarantine::{Fingerprint, RequestContent};
use lichenpulley_core::retry::attempt_timeout;
use lichenpulley_platform::headers as names;
use tokio::time::Instant;

use super::callers::Caller;
use super::pool::{Exchange, SendError};
use super::refusal::Refusal;
use super::{CONNECT_TIMEOUT, InFlightRequest, Ingress, headers};
use crate::duties::RunCount;
use crate::http::{Body, response};
use crate::metrics::Latency;
use crate::quarantine::begin_trial;

/// How long a request without a deadline or a time-out is held.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Longest answer that is passed back, in bytes.
const ANSWER_LIMIT_BYTES: usize = 64 << 20;

/// A caller's request, read whole.
pub(super) struct CallerRequest {
    pub(super) parts: Parts,
    pub(super) body: Bytes,
    pub(super) request_id: Option<String>,
    /// When the caller or the route gives it up.
    pub(super) limit: Instant,
    pub(super) service: String,
    /// Who sent it.
    pub(super) caller: Caller,
    /// Where it may be served.
    pub(super) regions: AllowedRegions,
    /// What it has in common with the same request sent again.
    pub(super) fingerprint: Fingerprint,
    /// Whether it may reach one replica though replicas ended under it.
    pub(super) is_trial: bool,
    /// When it was read whole.
    began: Instant,
    /// The version of the configuration by which it was routed.
    configuration: u64,
}

impl CallerRequest {
    /// Reads a request whole and picks the service that it goes to.
    pub(super) async fn read(
        ingress: &Ingress,
        table: &RouteTable,
        route: &Route,
        caller: Caller,
        request: Request<Incoming>,
    ) -> Result<Self, Response<Body>> {
        let began = Instant::now();
        let host = headers::host(&request);
        let (parts, body) = request.into_parts();
        let request_id = headers::text(&parts.headers, names::REQUEST_ID).map(str::to_owned);
        let refuse = |refusal: Refusal| refusal.respond_to(&ingress.context, request_id.as_deref());
        let wanted = headers::deadline(&parts.headers).unwrap_or(DEFAULT_DEADLINE);
        let limit = began + route.timeout.map_or(wanted, |timeout| timeout.min(wanted));
        let body = read_body(body, table.limits.body_bytes, limit).await.map_err(refuse)?;
        let Some(service) = route.service_at(rand::random()).map(str::to_owned) else {
            return Err(refuse(Refusal::NoReplica));
        };
        let regions = table.allowed_regions(route, caller.tenant());
        let fingerprint = Fingerprint::of(&RequestContent {
            method: parts.method.as_str(),
            host: &host,
            path: path_and_query(&parts.uri),
            tenant: caller.tenant(),
            body: &body,
        });
        let (began, configuration) = (Instant::now(), table.version);
        Ok(Self {
            parts,
            body,
            request_id,
            limit,
            service,
            caller,
            regions,
            fingerprint,
            is_trial: false,
            began,
            configuration,
        })
    }

    /// Lets a request that is held back through once, after a long time; returns how many replicas it may be sent to.
    pub(super) async fn sends_allowed(&mut self, ingress: &Ingress, route: &Route) -> u32 {
        let quarantine = &ingress.context.quarantine;
        if !quarantine.holds(&self.fingerprint) {
            return route.max_attempts;
        }
        quarantine.saw(self.fingerprint);
        let is_due = quarantine.is_trial_due(&self.fingerprint);
        self.is_trial = is_due && begin_trial(&ingress.context, self.fingerprint).await;
        if self.is_trial {
            let decision = Decision::new(Component::Request, "trial", "held_for_long", self.fingerprint);
            ingress.context.decisions.record(decision);
        }
        1
    }

    pub(super) fn remaining(&self) -> Duration {
        self.limit.saturating_duration_since(Instant::now())
    }

    /// The request for one replica; `last_event` makes it begin after that event.
    pub(super) fn build(&self, replica: &str, last_event: Option<&str>) -> Request<Full<Bytes>> {
        let mut fields = headers::end_to_end(&self.parts.headers);
        self.caller.replace_identity(&mut fields);
        headers::address_to(&mut fields, replica, self.remaining());
        if let Some(number) = last_event.and_then(|number| number.parse().ok()) {
            fields.insert(names::LAST_EVENT_ID, number);
        }
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = origin_form(&self.parts.uri);
        *request.headers_mut() = fields;
        request
    }

    /// Shows a decision about this request, with what it rests on.
    pub(super) fn record(
        &self,
        ingress: &Ingress,
        in_flight: &InFlightRequest,
        action: &str,
        reason: &str,
        sends: usize,
    ) {
        let subject = self.request_id.as_deref().unwrap_or("-");
        let decision = Decision::new(Component::Request, action, reason, subject)
            .with("replica", &in_flight.replica.id)
            .with("service", &self.service)
            .with("tenant", self.caller.tenant().map_or("none", TenantName::as_str))
            .with("sends", sends)
            .with("milliseconds", in_flight.began.elapsed().as_millis())
            .with("remaining_ms", self.remaining().as_millis())
            .with("configuration", self.configuration)
            .with("fingerprint", self.fingerprint);
        let is_bound = !self.regions.is_all();
        let decision = if is_bound { decision.with("regions", &self.regions) } else { decision };
        ingress.context.decisions.record(decision);
        let latency = if action == "stream_begun" { Latency::StreamBegin } else { Latency::Request };
        ingress.context.metrics.observe(latency, action, self.began.elapsed());
    }

    /// The answer where no replica can be sent the request, with what the refusal rests on.
    pub(super) fn refuse_no_candidate(&self, ingress: &Ingress, no_candidate: NoCandidate) -> Response<Body> {
        let subject = self.request_id.as_deref().unwrap_or("-");
        let decision = Decision::new(Component::Request, "nowhere_to_send", no_candidate.as_str(), subject);
        let decision = decision.with("service", &self.service).with("fingerprint", self.fingerprint);
        ingress.context.decisions.record(decision);
        self.refuse(ingress, no_candidate.into())
    }

    pub(super) fn refuse(&self, ingress: &Ingress, refusal: Refusal) -> Response<Body> {
        refusal.respond_within(&ingress.context, self.request_id.as_deref(), &self.regions)
    }
}

fn path_and_query(uri: &Uri) -> &str {
    uri.path_and_query().map_or("/", |path| path.as_str())
}

/// Path and query alone, as a server that is asked directly expects them.
fn origin_form(uri: &Uri) -> Uri {
    path_and_query(uri).parse().unwrap_or_default()
}

/// Reads a body whole. Of one that is too long the rest is read and dropped, within bounds: a connection that is closed
/// with unread bytes is reset, and the caller would lose the answer that says why.
pub(super) async fn read_body(
    mut body: Incoming,
    limit_bytes: usize,
    limit: Instant,
) -> Result<Bytes, Refusal> {
    let mut whole = BytesMut::new();
    let mut dropped_bytes = 0;
    loop {
        let frame = match tokio::time::timeout_at(limit, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(Refusal::BadBody),
            Ok(None) if dropped_bytes > 0 => return Err(Refusal::BodyTooLong),
            Ok(None) => return Ok(whole.freeze()),
            Err(_) if dropped_bytes > 0 => return Err(Refusal::BodyTooLong),
            Err(_) => return Err(Refusal::BodyTooSlow),
        };
        let Ok(bytes) = frame.into_data() else { continue };
        if dropped_bytes > 0 || whole.len() + bytes.len() > limit_bytes {
            dropped_bytes += bytes.len();
            whole = BytesMut::new();
        } else {
            whole.extend_from_slice(&bytes);
        }
        if dropped_bytes > DROPPED_BYTES {
            return Err(Refusal::BodyTooLong);
        }
    }
}

/// So much of a body that is too long is read before the answer.
const DROPPED_BYTES: usize = 16 << 20;

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
    let mut call = match CallerRequest::read(ingress, table, route, caller, request).await {
        Ok(call) => call,
        Err(refusal) => return refusal,
    };
    let max_sends = call.sends_allowed(ingress, route).await;
    let mut attempts = Attempts::new(route.is_repeatable(), max_sends);
    let mut tried = Vec::new();
    loop {
        let mut in_flight = match ingress.select(&call, &tried) {
            Ok(in_flight) => in_flight,
            Err(no_candidate) if is_reason(no_candidate, &tried, &attempts) => {
                return call.refuse_no_candidate(ingress, no_candidate);
            }
            Err(_) => return call.refuse(ingress, given_up(attempts.give_up(), &call)),
        };
        tried.push(in_flight.replica.id.clone());
        let may_try_another = route.is_repeatable() && !attempts.is_last();
        let timeout = attempt_timeout::of_request(call.remaining(), may_try_another);
        let sent = send(ingress, &call, &mut in_flight, !route.is_repeatable(), timeout).await;
        let (outcome, answer) = sent;
        match (attempts.after(outcome, call.remaining()), answer) {
            (Next::Answer, Some(answer)) => {
                call.record(ingress, &in_flight, "answered", answer.status.as_str(), tried.len());
                return pass_back(answer);
            }
            (Next::TryAnother, _) => {
                call.record(ingress, &in_flight, "tried_another", outcome.as_str(), tried.len())
            }
            (next, _) => {
                call.record(ingress, &in_flight, "given_up", outcome.as_str(), tried.len());
                return call.refuse(ingress, given_up(next, &call));
            }
        }
    }
}

/// Whether it is the whole reason for a refusal that there is no_candidate to send a request: it was not sent, or is held back and has not run.
pub(super) fn is_reason(no_candidate: NoCandidate, tried: &[String], attempts: &Attempts) -> bool {
    tried.is_empty() || (no_candidate == NoCandidate::Quarantined && attempts.give_up() == Next::GiveUpNotRun)
}

fn given_up(next: Next, call: &CallerRequest) -> Refusal {
    match next {
        Next::GiveUpNotRun => Refusal::NotRun,
        _ if call.remaining().is_zero() => Refusal::TimedOut,
        _ => Refusal::Unknown,
    }
}

async fn send(
    ingress: &Ingress,
    call: &CallerRequest,
    in_flight: &mut InFlightRequest,
    needs_fresh: bool,
    timeout: Duration,
) -> (SendOutcome, Option<WholeAnswer>) {
    let limit = Instant::now() + timeout;
    let request = call.build(&in_flight.replica.name, None);
    let mut count = RunCount::begin(&ingress.context, call.caller.tenant());
    let connect_timeout = CONNECT_TIMEOUT.min(timeout);
    let replica = in_flight.replica.clone();
    let may_send = || ingress.may_send(call, &replica);
    let sent = ingress.pool.send(&replica, request, needs_fresh, connect_timeout, may_send);
    let exchange = match tokio::time::timeout_at(limit, sent).await {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(error)) => {
            if error != SendError::Broken {
                count.has_not_run();
            }
            return (in_flight.got_no_answer(error).await, None);
        }
        Err(_) => {
            in_flight.was_silent();
            return (SendOutcome::TimedOut, None);
        }
    };
    let (outcome, answer) = read_answer(ingress, call, in_flight, exchange, limit).await;
    if outcome == SendOutcome::Rejected {
        count.has_not_run();
    }
    (outcome, answer)
}

async fn read_answer(
    ingress: &Ingress,
    call: &CallerRequest,
    in_flight: &mut InFlightRequest,
    exchange: Exchange,
    limit: Instant,
) -> (SendOutcome, Option<WholeAnswer>) {
    let Exchange { response, connection } = exchange;
    let (head, body) = response.into_parts();
    if let Some(busy) = headers::reported_busy(&head.headers) {
        ingress.reported(&in_flight.replica.id, busy);
    }
    let is_own = headers::echoes(&head.headers, call.request_id.as_deref());
    let body = tokio::time::timeout_at(limit, Limited::new(body, ANSWER_LIMIT_BYTES).collect()).await;
    let body = match body {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => {
            in_flight.was_silent();
            in_flight.run.broke().await;
            return (SendOutcome::Broken, None);
        }
        Err(_) => {
            in_flight.was_silent();
            return (SendOutcome::TimedOut, None);
        }
    };
    if !is_own {
        return (SendOutcome::Broken, None);
    }
    ingress.pool.give_back(connection, &head.headers);
    let outcome = judge(head.status, &head.headers);
    match outcome {
        SendOutcome::Rejected => in_flight.was_full(),
        _ => {
            in_flight.answered();
            in_flight.run.ended_whole();
        }
    }
    let answer = WholeAnswer { status: head.status, headers: head.headers, body: body.to_bytes() };
    (outcome, Some(answer))
}

/// What a whole answer says. Only the replica's own word proves that it did not run the request.
pub(super) fn judge(status: StatusCode, fields: &HeaderMap) -> SendOutcome {
    if fields.contains_key(names::NOT_RUN) || status.as_u16() == names::STATUS_OTHER_REPLICA {
        return SendOutcome::Rejected;
    }
    if !headers::is_signed(fields) {
        return SendOutcome::Broken;
    }
    if status.is_server_error() { SendOutcome::Failed } else { SendOutcome::Answered }
}

fn pass_back(answer: WholeAnswer) -> Response<Body> {
    let mut passed = Response::new(response::full(answer.body));
    *passed.status_mut() = answer.status;
    *passed.headers_mut() = headers::end_to_end(&answer.headers);
    passed
}
