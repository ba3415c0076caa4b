//! Forwards streams event by event. A resumable stream that breaks is resumed at another replica within the
//! same response, after the last complete event that was forwarded.
//!
//! After the response head, each stream runs in a task of its own. [`AttemptLoop`] selects replicas and
//! retries; [`EventSplitter`] finds complete events.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response};
use lichenpulley_core::ingress::attempts::{NextStep, SendOutcome};
use lichenpulley_core::ingress::routes::{Route, RouteTable};
use lichenpulley_core::retry::attempt_timeout;
use lichenpulley_platform::headers as names;
use tokio::time::Instant;

use super::attempt_loop::{AttemptLoop, ReplicaAttempt};
use super::caller_request::CallerRequest;
use super::callers::Caller;
use super::in_flight::{InFlightRequest, REPLICA_CONNECT_TIMEOUT, SendOptions};
use super::pool::HttpExchange;
use super::refusal::Refusal;
use super::sse::{Event, EventSplitter};
use super::{Ingress, headers};
use crate::duties::RunCount;
use crate::http::events::{EventSender, metered_event_stream};
use crate::http::unread::ConnectionMeter;
use crate::http::{Body, response};

/// Maximum number of events buffered for a slow caller before reading from the replica pauses.
const CALLER_EVENT_BACKLOG: usize = 64;
/// A resumable stream without a new event for this time is resumed at another replica, if one is available.
const EVENT_STALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A stream in progress at a replica.
struct Stream {
    request: CallerRequest,
    is_resumable: bool,
    /// Whether an event without a number was forwarded, after which no resumption can continue.
    has_unnumbered: bool,
    attempts: AttemptLoop,
    in_flight: InFlightRequest,
}

/// How the event stream of one replica ended.
enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The connection closed before the end of the stream.
    Broken,
    /// A resumable response without a length ended between two events: it is complete or its replica crashed.
    Unframed,
    /// No event arrived for too long, and a slot at another replica is reserved or the deadline passed.
    Stalled,
    /// The replica sent an invalid event.
    Malformed,
    /// The caller disconnected.
    CallerDisconnected,
}

/// What was forwarded at once.
#[derive(Clone, Copy, Debug, Default)]
struct Forwarded {
    /// Whether there were events, not counting comments and blank lines.
    has_new: bool,
    /// Whether an event with data had no number.
    has_unnumbered: bool,
}

/// Answers one streaming request.
pub(super) async fn handle(
    ingress: &Ingress,
    table: &RouteTable,
    route: &Route,
    caller: Caller,
    request: Request<Incoming>,
) -> Response<Body> {
    if !ingress.unread.admits() {
        return Refusal::UnreadAnswers.respond(&ingress.context, &request);
    }
    let last_event = headers::text(request.headers(), names::LAST_EVENT_ID).map(str::to_owned);
    let meter = request.extensions().get::<ConnectionMeter>().cloned();
    let mut request = match CallerRequest::read(ingress, table, route, caller, request).await {
        Ok(request) => request,
        Err(refusal) => return refusal,
    };
    request.wait_until_routable(ingress).await;
    let max_sends = request.sends_allowed(ingress, route).await;
    let mut attempts = AttemptLoop::new(route, max_sends);
    let attempt = StreamAttempt { ingress, last_event: last_event.as_deref() };
    let (in_flight, exchange) = match attempts.run(ingress, &request, &attempt).await {
        Ok(begun) => begun,
        Err(refused) => return refused,
    };
    if !exchange.response.status().is_success() {
        return forward_failure(ingress, &request, in_flight, exchange).await;
    }
    request.record(ingress, &in_flight, "stream_begun", "answered", attempts.sends());
    let stream =
        Stream { request, is_resumable: route.is_resumable, has_unnumbered: false, attempts, in_flight };
    start_forwarding(ingress, stream, exchange, last_event.as_deref(), meter)
}

/// Sends a streaming request and waits for the response head.
struct StreamAttempt<'a> {
    ingress: &'a Ingress,
    /// Number of the last event that the caller received; the stream begins after it.
    last_event: Option<&'a str>,
}

impl ReplicaAttempt for StreamAttempt<'_> {
    type Answer = HttpExchange;

    /// The time to process the prompt before the response head is not known in advance.
    const MAY_MOVE: bool = false;

    /// A stream waits for its first event within a deadline that covers all events.
    const IS_BOUND_BY_QUEUES: bool = false;

    async fn send(
        &self,
        request: &CallerRequest,
        in_flight: &mut InFlightRequest,
    ) -> (SendOutcome, Option<HttpExchange>) {
        let options = SendOptions {
            last_event: self.last_event,
            needs_new_connection: true,
            connect_timeout: REPLICA_CONNECT_TIMEOUT,
            deadline: request.deadline,
        };
        let exchange = match in_flight.send(request, options).await {
            Ok(exchange) => exchange,
            Err(outcome) => return (outcome, None),
        };
        let fields = exchange.response.headers();
        if !headers::echoes_request_id(fields, request.request_id.as_deref()) {
            return (SendOutcome::Broken, None);
        }
        let outcome = headers::outcome(exchange.response.status(), fields);
        if outcome == SendOutcome::Answered {
            // A stream counts as one run from its head on; its first event follows at once.
            drop(RunCount::begin(&self.ingress.context, request.caller.tenant()));
        }
        match outcome {
            SendOutcome::Rejected => in_flight.record_rejected(),
            SendOutcome::Failed => {
                in_flight.record_answered();
                in_flight.run.record_complete();
            }
            // The run ends with the events, which have not arrived yet.
            _ => in_flight.record_answered(),
        }
        (outcome, Some(exchange))
    }

    fn refusal(&self, _request: &CallerRequest, next: NextStep) -> Refusal {
        match next {
            NextStep::GiveUpNotRun => Refusal::NotRun,
            _ => Refusal::Unknown,
        }
    }
}

/// Forwards an unsuccessful response of a replica. One that is not complete is not forwarded, since it would look so.
async fn forward_failure(
    ingress: &Ingress,
    request: &CallerRequest,
    mut in_flight: InFlightRequest,
    exchange: HttpExchange,
) -> Response<Body> {
    match in_flight.read(exchange, request.deadline).await {
        Ok((answer, _connection)) => {
            in_flight.run.record_complete();
            answer.into_response()
        }
        Err(_) => request.refuse(ingress, Refusal::Unknown),
    }
}

/// Spawns the task that forwards the stream, and returns the response with the head of the first replica.
fn start_forwarding(
    ingress: &Ingress,
    stream: Stream,
    exchange: HttpExchange,
    last_event: Option<&str>,
    meter: Option<ConnectionMeter>,
) -> Response<Body> {
    let status = exchange.response.status();
    let fields = headers::end_to_end(exchange.response.headers());
    let (events, mut answer) = metered_event_stream(CALLER_EVENT_BACKLOG, meter);
    let last_event = last_event.and_then(|number| number.parse().ok());
    tokio::spawn(forward_stream(ingress.clone(), stream, exchange, events, last_event));
    *answer.status_mut() = status;
    *answer.headers_mut() = fields;
    answer
}

impl Stream {
    /// Returns when the stream counts as stalled unless an event arrives before.
    fn stall_deadline(&self) -> Instant {
        let deadline = self.request.deadline;
        if self.is_resumable { deadline.min(Instant::now() + EVENT_STALL_TIMEOUT) } else { deadline }
    }

    /// Whether a stalled stream keeps waiting for its replica: the deadline has not passed, and no slot at
    /// another replica could be reserved. Ending it now would lose the events that the replica may still
    /// send.
    fn must_stay(&mut self, ingress: &Ingress) -> bool {
        let has_time = !self.request.remaining().is_zero();
        has_time && !self.attempts.reserve(ingress, &self.request, self.in_flight.is_cold)
    }

    /// Returns how a stream ended whose body ended between two events. A response without a length ends in the
    /// same way when its replica crashes, so it is resumed until a replica that is still alive brings nothing. One
    /// that can't be resumed is complete if it has brought an event.
    async fn end_between_events(
        &self,
        is_framed: bool,
        began_after: Option<u64>,
        last_event: Option<u64>,
    ) -> StreamEnd {
        if is_framed {
            return StreamEnd::Complete;
        }
        let brought_nothing = began_after == last_event && !self.has_unnumbered;
        if !self.is_resumable || self.has_unnumbered {
            return if brought_nothing { StreamEnd::Broken } else { StreamEnd::Complete };
        }
        if brought_nothing && began_after.is_some() && !self.in_flight.run.has_replica_ended().await {
            return StreamEnd::Complete;
        }
        StreamEnd::Unframed
    }

    fn record_break(&self, ingress: &Ingress, reason: &str) {
        let sends = self.attempts.sends();
        self.request.record(ingress, &self.in_flight, "stream_broken", reason, sends);
    }
}

async fn forward_stream(
    ingress: Ingress,
    mut stream: Stream,
    mut exchange: HttpExchange,
    events: EventSender,
    mut last_event: Option<u64>,
) {
    loop {
        match forward_events(&ingress, &mut stream, &mut exchange, &events, &mut last_event).await {
            StreamEnd::Complete => {
                stream.in_flight.run.record_complete();
                // Frees the replica's slot, however slowly the caller reads.
                drop((stream, exchange));
                // Sending fails only if the caller disconnected.
                let _ = events.finish().await;
                return;
            }
            StreamEnd::CallerDisconnected => return,
            StreamEnd::Broken => {
                stream.in_flight.run.record_broken().await;
                stream.record_break(&ingress, "broken");
            }
            StreamEnd::Unframed => {
                stream.in_flight.run.record_broken().await;
                stream.record_break(&ingress, "unframed");
            }
            StreamEnd::Stalled => stream.record_break(&ingress, "stalled"),
            StreamEnd::Malformed => stream.record_break(&ingress, "malformed"),
        }
        // Closes the connection, so that the previous replica stops before the next one starts.
        drop(exchange);
        let Some(resumed) = resume(&ingress, &mut stream, last_event, &events).await else {
            // Dropping the unfinished sender aborts the connection, so that the caller can't mistake a partial
            // response for a complete one.
            return;
        };
        exchange = resumed;
    }
}

async fn forward_events(
    ingress: &Ingress,
    stream: &mut Stream,
    exchange: &mut HttpExchange,
    events: &EventSender,
    last_event: &mut Option<u64>,
) -> StreamEnd {
    let mut splitter = EventSplitter::default();
    let began_after = *last_event;
    let is_framed = response::is_framed(&exchange.response);
    let mut stalls_at = stream.stall_deadline();
    loop {
        let body = exchange.response.body_mut();
        let frame = tokio::select! {
            frame = tokio::time::timeout_at(stalls_at, body.frame()) => frame,
            () = events.closed() => return StreamEnd::CallerDisconnected,
        };
        let frame = match frame {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) if !splitter.has_partial_event() => {
                return stream.end_between_events(is_framed, began_after, *last_event).await;
            }
            Ok(None | Some(Err(_))) => {
                stream.in_flight.record_no_answer();
                return StreamEnd::Broken;
            }
            Err(_) if stream.must_stay(ingress) => {
                stalls_at = Instant::now() + attempt_timeout::MOVE_RETRY_INTERVAL;
                continue;
            }
            Err(_) => {
                stream.in_flight.record_no_answer();
                return StreamEnd::Stalled;
            }
        };
        let Ok(bytes) = frame.into_data() else { continue };
        splitter.push(&bytes);
        let forwarded = match forward_complete_events(&mut splitter, events, last_event).await {
            Ok(forwarded) => forwarded,
            Err(end) => return end,
        };
        stream.has_unnumbered |= forwarded.has_unnumbered;
        if forwarded.has_new {
            stalls_at = stream.stall_deadline();
        }
    }
}

/// Forwards the complete events that have arrived, except those that the caller already has.
///
/// # Errors
/// Returns how the stream ended if the caller disconnected or an event is invalid.
async fn forward_complete_events(
    splitter: &mut EventSplitter,
    events: &EventSender,
    last_event: &mut Option<u64>,
) -> Result<Forwarded, StreamEnd> {
    let mut forwarded = Forwarded::default();
    loop {
        match splitter.next_event() {
            Ok(Some(event)) if is_new(&event, *last_event) => {
                let (has_number, has_data) = (event.number.is_some(), !event.data.is_empty());
                forwarded.has_new |= has_number || has_data;
                forwarded.has_unnumbered |= has_data && !has_number;
                *last_event = event.number.or(*last_event);
                let sent = events.send_bytes(event.raw).await;
                sent.map_err(|_| StreamEnd::CallerDisconnected)?;
            }
            Ok(Some(_)) => {}
            Ok(None) => return Ok(forwarded),
            Err(_) => return Err(StreamEnd::Malformed),
        }
    }
}

fn is_new(event: &Event, last_event: Option<u64>) -> bool {
    match (event.number, last_event) {
        (Some(number), Some(last)) => number > last,
        _ => true,
    }
}

/// Resumes a broken stream at another replica. Returns `None` if that is not possible.
async fn resume(
    ingress: &Ingress,
    stream: &mut Stream,
    last_event: Option<u64>,
    events: &EventSender,
) -> Option<HttpExchange> {
    if !stream.is_resumable {
        return None;
    }
    let last_event = last_event.map(|number| number.to_string());
    let attempt = StreamAttempt { ingress, last_event: last_event.as_deref() };
    let mut outcome = SendOutcome::Broken;
    loop {
        let next = stream.attempts.next_step(&stream.request, outcome);
        if next != NextStep::TryAnother || events.is_closed() {
            return None;
        }
        let sent = stream.attempts.send_next(ingress, &stream.request, &attempt).await.ok()?;
        let is_answered = sent.outcome == SendOutcome::Answered;
        match sent.answer {
            Some(exchange) if is_answered && exchange.response.status().is_success() => {
                let sends = stream.attempts.sends();
                stream.request.record(ingress, &sent.in_flight, "stream_resumed", "broken", sends);
                stream.in_flight = sent.in_flight;
                return Some(exchange);
            }
            _ => outcome = if is_answered { SendOutcome::Failed } else { sent.outcome },
        }
    }
}
