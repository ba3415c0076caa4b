//! Passes streams on event by event. A resumable stream that breaks is continued at another replica within the same
//! answer, after the last whole event that was passed on.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response};
use lichenpulley_core::ingress::attempts::{Attempts, Next, SendOutcome};
use lichenpulley_core::ingress::routes::{Route, RouteTable};
use lichenpulley_platform::headers as names;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;

use super::callers::Caller;
use super::forward::{CallerRequest, is_reason, judge};
use super::pool::Exchange;
use super::refusal::Refusal;
use super::sse::{Event, EventSplitter};
use super::{CONNECT_TIMEOUT, InFlightRequest, Ingress, headers};
use crate::duties::RunCount;
use crate::http::{Body, response};

/// Events that may wait for a slow reader.
const EVENT_BACKLOG: usize = 64;
/// Longest answer other than a stream that is passed back, in bytes.
const ANSWER_LIMIT_BYTES: usize = 4 << 20;
/// A resumable stream without a new event for so long is continued elsewhere.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_200);

type Pieces = mpsc::Sender<io::Result<Frame<Bytes>>>;

/// A stream that has begun at a replica.
struct Stream {
    call: CallerRequest,
    is_resumable: bool,
    attempts: Attempts,
    tried: Vec<String>,
    in_flight: InFlightRequest,
    exchange: Exchange,
}

/// How the events of one replica ended.
enum StreamEnd {
    /// Well-formed, and all of them.
    Whole,
    /// The connection closed before their end.
    Broken,
    /// Nothing came for too long, or what is no event.
    Stalled,
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
            Err(_) => return call.refuse(ingress, refusal(attempts.give_up())),
        };
        tried.push(in_flight.replica.id.clone());
        let (outcome, exchange) = open(ingress, &call, &mut in_flight, last_event.as_deref()).await;
        match (attempts.after(outcome, call.remaining()), exchange) {
            (Next::Answer, Some(exchange)) if exchange.response.status().is_success() => {
                call.record(ingress, &in_flight, "stream_begun", "answered", tried.len());
                let is_resumable = route.is_resumable;
                let stream = Stream { call, is_resumable, attempts, tried, in_flight, exchange };
                return begin(ingress, stream, last_event.as_deref());
            }
            (Next::Answer, Some(exchange)) => {
                in_flight.run.ended_whole();
                return pass_failure(exchange, &call).await;
            }
            (Next::TryAnother, _) => {
                call.record(ingress, &in_flight, "tried_another", outcome.as_str(), tried.len())
            }
            (next, _) => {
                call.record(ingress, &in_flight, "given_up", outcome.as_str(), tried.len());
                return call.refuse(ingress, refusal(next));
            }
        }
    }
}

const fn refusal(next: Next) -> Refusal {
    match next {
        Next::GiveUpNotRun => Refusal::NotRun,
        _ => Refusal::Unknown,
    }
}

/// Sends the request and judges the head of the answer.
async fn open(
    ingress: &Ingress,
    call: &CallerRequest,
    in_flight: &mut InFlightRequest,
    last_event: Option<&str>,
) -> (SendOutcome, Option<Exchange>) {
    let request = call.build(&in_flight.replica.name, last_event);
    let replica = in_flight.replica.clone();
    let may_send = || ingress.may_send(call, &replica);
    let sent = ingress.pool.send(&replica, request, true, CONNECT_TIMEOUT, may_send);
    let exchange = match tokio::time::timeout_at(call.limit, sent).await {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(error)) => return (in_flight.got_no_answer(error).await, None),
        Err(_) => {
            in_flight.was_silent();
            return (SendOutcome::TimedOut, None);
        }
    };
    let fields = exchange.response.headers();
    if let Some(busy) = headers::reported_busy(fields) {
        ingress.reported(&in_flight.replica.id, busy);
    }
    if !headers::echoes(fields, call.request_id.as_deref()) {
        return (SendOutcome::Broken, None);
    }
    let outcome = judge(exchange.response.status(), fields);
    if outcome == SendOutcome::Answered {
        // A stream begins to run with its first event, which follows the head at once.
        drop(RunCount::begin(&ingress.context, call.caller.tenant()));
    }
    match outcome {
        SendOutcome::Rejected => in_flight.was_full(),
        SendOutcome::Failed => {
            in_flight.answered();
            in_flight.run.ended_whole();
        }
        // The events are still to come.
        _ => in_flight.answered(),
    }
    (outcome, Some(exchange))
}

async fn pass_failure(exchange: Exchange, call: &CallerRequest) -> Response<Body> {
    let (head, body) = exchange.response.into_parts();
    let body = http_body_util::Limited::new(body, ANSWER_LIMIT_BYTES).collect();
    let body = tokio::time::timeout_at(call.limit, body).await;
    let body = body.ok().and_then(Result::ok).map(http_body_util::Collected::to_bytes);
    let mut passed = Response::new(response::full(body.unwrap_or_default()));
    *passed.status_mut() = head.status;
    *passed.headers_mut() = headers::end_to_end(&head.headers);
    passed
}

/// The answer keeps the head and the signature of its first replica.
fn begin(ingress: &Ingress, stream: Stream, last_event: Option<&str>) -> Response<Body> {
    let status = stream.exchange.response.status();
    let fields = headers::end_to_end(stream.exchange.response.headers());
    let (pieces, received) = mpsc::channel(EVENT_BACKLOG);
    let last_event = last_event.and_then(|number| number.parse().ok());
    tokio::spawn(forward(ingress.clone(), stream, pieces, last_event));
    let mut answer = Response::new(StreamBody::new(ReceiverStream::new(received)).boxed_unsync());
    *answer.status_mut() = status;
    *answer.headers_mut() = fields;
    answer
}

impl Stream {
    fn record_break(&self, ingress: &Ingress, reason: &str) {
        self.call.record(ingress, &self.in_flight, "stream_broken", reason, self.tried.len());
    }
}

async fn forward(ingress: Ingress, mut stream: Stream, pieces: Pieces, mut last_event: Option<u64>) {
    loop {
        match pass_events(&mut stream, &pieces, &mut last_event).await {
            StreamEnd::Whole => return stream.in_flight.run.ended_whole(),
            StreamEnd::CallerGone => return,
            StreamEnd::Broken => {
                stream.in_flight.run.broke().await;
                stream.record_break(&ingress, "broken");
            }
            StreamEnd::Stalled => stream.record_break(&ingress, "stalled"),
        }
        if !resume(&ingress, &mut stream, last_event, &pieces).await {
            // An error breaks the connection off, so that a part is not taken for the whole.
            let broken = io::Error::new(io::ErrorKind::UnexpectedEof, "the stream broke off before its end");
            let _ = pieces.send(Err(broken)).await;
            return;
        }
    }
}

async fn pass_events(stream: &mut Stream, pieces: &Pieces, last_event: &mut Option<u64>) -> StreamEnd {
    let mut splitter = EventSplitter::default();
    let limit = stream.call.limit;
    loop {
        let stall = if stream.is_resumable { Instant::now() + STALL_TIMEOUT } else { limit };
        let body = stream.exchange.response.body_mut();
        let frame = tokio::select! {
            frame = tokio::time::timeout_at(stall.min(limit), body.frame()) => frame,
            () = pieces.closed() => return StreamEnd::CallerGone,
        };
        let frame = match frame {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) if !splitter.has_rest() => return StreamEnd::Whole,
            Ok(None | Some(Err(_))) => {
                stream.in_flight.was_silent();
                return StreamEnd::Broken;
            }
            Err(_) => {
                stream.in_flight.was_silent();
                return StreamEnd::Stalled;
            }
        };
        let Ok(bytes) = frame.into_data() else { continue };
        splitter.push(&bytes);
        loop {
            match splitter.next_event() {
                Ok(Some(event)) if is_new(&event, *last_event) => {
                    *last_event = event.number.or(*last_event);
                    if pieces.send(Ok(Frame::data(event.raw))).await.is_err() {
                        return StreamEnd::CallerGone;
                    }
                }
                Ok(Some(_)) => {}
                Ok(None) => break,
                Err(_) => return StreamEnd::Stalled,
            }
        }
    }
}

fn is_new(event: &Event, last_event: Option<u64>) -> bool {
    match (event.number, last_event) {
        (Some(number), Some(last)) => number > last,
        _ => true,
    }
}

/// Continues a broken stream at another replica; tells whether one was found.
async fn resume(ingress: &Ingress, stream: &mut Stream, last_event: Option<u64>, pieces: &Pieces) -> bool {
    if !stream.is_resumable {
        return false;
    }
    let last_event = last_event.map(|number| number.to_string());
    let mut outcome = SendOutcome::Broken;
    loop {
        let next = stream.attempts.after(outcome, stream.call.remaining());
        if next != Next::TryAnother || pieces.is_closed() {
            return false;
        }
        let Ok(mut in_flight) = ingress.select(&stream.call, &stream.tried) else { return false };
        stream.tried.push(in_flight.replica.id.clone());
        let (opened, exchange) = open(ingress, &stream.call, &mut in_flight, last_event.as_deref()).await;
        match exchange {
            Some(exchange) if opened == SendOutcome::Answered && exchange.response.status().is_success() => {
                let sends = stream.tried.len();
                stream.call.record(ingress, &in_flight, "stream_resumed", "broken", sends);
                stream.in_flight = in_flight;
                stream.exchange = exchange;
                return true;
            }
            _ => outcome = if opened == SendOutcome::Answered { SendOutcome::Failed } else { opened },
        }
    }
}
