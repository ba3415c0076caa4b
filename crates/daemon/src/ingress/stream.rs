//! Passes streams on event by event. A resumable stream that breaks is resumed at another replica within the
//! same answer, after the last whole event that was passed on.
//!
//! Owns the task of each stream from its head on. Relies on the [`AttemptLoop`] for the choice of replicas
//! and for retries, and on [`EventSplitter`] for whole events.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Collected, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response};
use lichenpulley_core::ingress::attempts::{NextStep, SendOutcome};
use lichenpulley_core::ingress::routes::{Route, RouteTable};
use lichenpulley_core::retry::attempt_timeout;
use lichenpulley_platform::headers as names;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;

use super::attempt_loop::{AttemptLoop, ReplicaAttempt};
use super::caller_request::CallerRequest;
use super::callers::Caller;
use super::in_flight::{InFlightRequest, REPLICA_CONNECT_TIMEOUT, SendOptions};
use super::pool::HttpExchange;
use super::refusal::Refusal;
use super::sse::{Event, EventSplitter};
use super::{Ingress, headers};
use crate::duties::RunCount;
use crate::http::{Body, response};

/// Events that may wait for a caller that reads slowly; then the replica's stream is read no further. Fewer
/// let a short pause of the caller hold up the replica, more cost memory for each slow caller.
const CALLER_EVENT_BACKLOG: usize = 64;
/// Longest answer other than a stream that is passed back, in bytes. Error bodies are short; a smaller limit
/// loses their text, a larger one lets them fill the memory.
const FAILURE_BODY_LIMIT_BYTES: usize = 4 << 20;
/// A resumable stream without a new event for this time is resumed at another replica, where one may take it:
/// too short runs streams twice whose replica is merely slow, too long leaves the caller without events while
/// a replica is silent.
const EVENT_STALL_TIMEOUT: Duration = Duration::from_millis(1_200);

type Pieces = mpsc::Sender<io::Result<Frame<Bytes>>>;

/// A stream that has begun at a replica.
struct Stream {
    request: CallerRequest,
    is_resumable: bool,
    attempts: AttemptLoop,
    in_flight: InFlightRequest,
}

/// How the events of one replica ended.
enum StreamEnd {
    /// Well-formed, and all of them.
    Whole,
    /// The connection closed before their end.
    Broken,
    /// Nothing came for too long, and another replica may take it or the time is over.
    Stalled,
    /// What came is no event.
    Malformed,
    /// The caller has left or given up.
    CallerGone,
}

/// Answers one request.
pub(super) async fn handle(
    ingress: &Ingress,
    table: &RouteTable,
    route: &Route,
    caller: Caller,
    request: Request<Incoming>,
) -> Response<Body> {
    let last_event = headers::text(request.headers(), names::LAST_EVENT_ID).map(str::to_owned);
    let mut request = match CallerRequest::read(ingress, table, route, caller, request).await {
        Ok(request) => request,
        Err(refusal) => return refusal,
    };
    let max_sends = request.sends_allowed(ingress, route).await;
    let mut attempts = AttemptLoop::new(route, max_sends);
    let attempt = StreamAttempt { ingress, last_event: last_event.as_deref() };
    let (mut in_flight, exchange) = match attempts.run(ingress, &request, &attempt).await {
        Ok(begun) => begun,
        Err(refused) => return refused,
    };
    if !exchange.response.status().is_success() {
        in_flight.run.record_complete();
        return pass_failure(exchange, &request).await;
    }
    request.record(ingress, &in_flight, "stream_begun", "answered", attempts.sends());
    let stream = Stream { request, is_resumable: route.is_resumable, attempts, in_flight };
    begin(ingress, stream, exchange, last_event.as_deref())
}

/// A send of a request whose answer is a stream, up to the head of the answer.
struct StreamAttempt<'a> {
    ingress: &'a Ingress,
    /// The stream begins after this event.
    last_event: Option<&'a str>,
}

impl ReplicaAttempt for StreamAttempt<'_> {
    type Answer = HttpExchange;

    /// How long a prompt takes to be read before the head comes is not known.
    const MAY_MOVE: bool = false;

    async fn send(
        &self,
        request: &CallerRequest,
        in_flight: &mut InFlightRequest,
    ) -> (SendOutcome, Option<HttpExchange>) {
        let options = SendOptions {
            last_event: self.last_event,
            needs_fresh: true,
            connect_timeout: REPLICA_CONNECT_TIMEOUT,
            limit: request.limit,
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
            // A stream begins to run with its first event, which follows the head at once.
            drop(RunCount::begin(&self.ingress.context, request.caller.tenant()));
        }
        match outcome {
            SendOutcome::Rejected => in_flight.was_full(),
            SendOutcome::Failed => {
                in_flight.answered();
                in_flight.run.record_complete();
            }
            // The events are still to come.
            _ => in_flight.answered(),
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

/// Passes an answer other than a stream back.
async fn pass_failure(exchange: HttpExchange, request: &CallerRequest) -> Response<Body> {
    let (head, body) = exchange.response.into_parts();
    let body = Limited::new(body, FAILURE_BODY_LIMIT_BYTES).collect();
    let body = tokio::time::timeout_at(request.limit, body).await;
    // The status alone says that the stream can't begin: where its text is not whole in time, it is passed
    // back without.
    let body = body.ok().and_then(Result::ok).map(Collected::to_bytes).unwrap_or_default();
    let mut passed = Response::new(response::full(body));
    *passed.status_mut() = head.status;
    *passed.headers_mut() = headers::end_to_end(&head.headers);
    passed
}

/// The answer keeps the head and the signature of its first replica.
fn begin(
    ingress: &Ingress,
    stream: Stream,
    exchange: HttpExchange,
    last_event: Option<&str>,
) -> Response<Body> {
    let status = exchange.response.status();
    let fields = headers::end_to_end(exchange.response.headers());
    let (pieces, received) = mpsc::channel(CALLER_EVENT_BACKLOG);
    let last_event = last_event.and_then(|number| number.parse().ok());
    tokio::spawn(forward(ingress.clone(), stream, exchange, pieces, last_event));
    let mut answer = Response::new(StreamBody::new(ReceiverStream::new(received)).boxed_unsync());
    *answer.status_mut() = status;
    *answer.headers_mut() = fields;
    answer
}

impl Stream {
    /// When the stream counts as stalled unless an event comes before.
    fn next_stall(&self) -> Instant {
        let limit = self.request.limit;
        if self.is_resumable { limit.min(Instant::now() + EVENT_STALL_TIMEOUT) } else { limit }
    }

    /// Whether a stalled stream has to wait for its replica: there is time left, and no place at another one
    /// could be reserved. Broken off now, the caller would lose what the replica still makes.
    fn must_stay(&mut self, ingress: &Ingress) -> bool {
        let has_time = !self.request.remaining().is_zero();
        has_time && !self.attempts.reserve(ingress, &self.request, self.in_flight.is_cold)
    }

    fn record_break(&self, ingress: &Ingress, reason: &str) {
        let sends = self.attempts.sends();
        self.request.record(ingress, &self.in_flight, "stream_broken", reason, sends);
    }
}

async fn forward(
    ingress: Ingress,
    mut stream: Stream,
    mut exchange: HttpExchange,
    pieces: Pieces,
    mut last_event: Option<u64>,
) {
    loop {
        match pass_events(&ingress, &mut stream, &mut exchange, &pieces, &mut last_event).await {
            StreamEnd::Whole => return stream.in_flight.run.record_complete(),
            StreamEnd::CallerGone => return,
            StreamEnd::Broken => {
                stream.in_flight.run.record_broken().await;
                stream.record_break(&ingress, "broken");
            }
            StreamEnd::Stalled => stream.record_break(&ingress, "stalled"),
            StreamEnd::Malformed => stream.record_break(&ingress, "malformed"),
        }
        // The replica before must not go on beside the next one.
        drop(exchange);
        let Some(resumed) = resume(&ingress, &mut stream, last_event, &pieces).await else {
            // An error breaks the connection off, so that a part is not taken for the whole.
            let broken = io::Error::new(io::ErrorKind::UnexpectedEof, "the stream broke off before its end");
            // A failed send means that the caller has left, who then needs no error.
            let _ = pieces.send(Err(broken)).await;
            return;
        };
        exchange = resumed;
    }
}

async fn pass_events(
    ingress: &Ingress,
    stream: &mut Stream,
    exchange: &mut HttpExchange,
    pieces: &Pieces,
    last_event: &mut Option<u64>,
) -> StreamEnd {
    let mut splitter = EventSplitter::default();
    let mut stalls_at = stream.next_stall();
    loop {
        let body = exchange.response.body_mut();
        let frame = tokio::select! {
            frame = tokio::time::timeout_at(stalls_at, body.frame()) => frame,
            () = pieces.closed() => return StreamEnd::CallerGone,
        };
        let frame = match frame {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) if !splitter.has_partial_event() => return StreamEnd::Whole,
            Ok(None | Some(Err(_))) => {
                stream.in_flight.was_silent();
                return StreamEnd::Broken;
            }
            Err(_) if stream.must_stay(ingress) => {
                stalls_at = Instant::now() + attempt_timeout::MOVE_RETRY_INTERVAL;
                continue;
            }
            Err(_) => {
                stream.in_flight.was_silent();
                return StreamEnd::Stalled;
            }
        };
        stalls_at = stream.next_stall();
        let Ok(bytes) = frame.into_data() else { continue };
        splitter.push(&bytes);
        if let Err(end) = pass_whole_events(&mut splitter, pieces, last_event).await {
            return end;
        }
    }
}

/// Passes on the whole events that have arrived, without those that the caller has already.
///
/// # Errors
/// How the stream ended: its caller left, or what arrived is no event.
async fn pass_whole_events(
    splitter: &mut EventSplitter,
    pieces: &Pieces,
    last_event: &mut Option<u64>,
) -> Result<(), StreamEnd> {
    loop {
        match splitter.next_event() {
            Ok(Some(event)) if is_new(&event, *last_event) => {
                *last_event = event.number.or(*last_event);
                let sent = pieces.send(Ok(Frame::data(event.raw))).await;
                sent.map_err(|_| StreamEnd::CallerGone)?;
            }
            Ok(Some(_)) => {}
            Ok(None) => return Ok(()),
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

/// Resumes a broken stream at another replica; `None` where none was found.
async fn resume(
    ingress: &Ingress,
    stream: &mut Stream,
    last_event: Option<u64>,
    pieces: &Pieces,
) -> Option<HttpExchange> {
    if !stream.is_resumable {
        return None;
    }
    let last_event = last_event.map(|number| number.to_string());
    let attempt = StreamAttempt { ingress, last_event: last_event.as_deref() };
    let mut outcome = SendOutcome::Broken;
    loop {
        let next = stream.attempts.after(&stream.request, outcome);
        if next != NextStep::TryAnother || pieces.is_closed() {
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
