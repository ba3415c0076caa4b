//! Runs one item of a batch job at one replica.
//!
//! Owns the connection from the request to the last event. What becomes of an item whose run ended is the
//! controller's choice.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HOST, HeaderName, HeaderValue};
use hyper::{Method, Request, Response};
use lichenpulley_core::batch::controller::{RunEnd, RunEvent, RunId, RunStart};
use lichenpulley_core::batch::job::OutputEvent;
use lichenpulley_core::quarantine::RunSender;
use lichenpulley_platform::headers;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::boot_clock::BootInstant;
use crate::context::Context;
use crate::ingress::callers;
use crate::ingress::pool::{HttpExchange, ReplicaPool, SendError};
use crate::ingress::sse::EventSplitter;
use crate::metrics::Latency;
use crate::quarantine::TracedRun;

/// A connection to a replica that is not made within this time is given up. Chosen, not measured: some round
/// trips of a busy machine; longer holds an item at a replica that is gone.
const RUN_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// An item that leaves this long after it was decided gets a log line: its job may have ended since. Chosen,
/// not measured.
const LATE_SEND_THRESHOLD: Duration = Duration::from_millis(500);

/// Runs an item and tells the owner of its events. Dropping it closes the connection, by which the replica
/// drops the item.
pub(super) async fn run(
    context: Context,
    pool: ReplicaPool,
    start: RunStart,
    decided_at: BootInstant,
    events: mpsc::Sender<(RunId, RunEvent)>,
) {
    let run = start.run;
    let began = Instant::now();
    let mut traced = TracedRun::begin(&context, start.fingerprint, &start.replica, RunSender::Owner);
    let end = match send(&context, &pool, &start, decided_at).await {
        Ok(exchange) => read(&pool, &start, exchange, &events, &mut traced).await,
        Err(error) => {
            traced.record_send_error(error).await;
            if error == SendError::Withheld { RunEnd::Rejected } else { RunEnd::Broken }
        }
    };
    // What it ended with is known before the owner starts the item anew.
    drop(traced);
    if end == RunEnd::Broken {
        ::log::debug!(target: "batch", "{}: the run of {} at {} broke off.", context.node, start.item.id, start.replica.id);
    }
    context.metrics.observe(Latency::ItemRun, end.as_str(), began.elapsed());
    // An error only says that the owner has ended.
    let _ = events.send((run, RunEvent::Ended(end))).await;
}

async fn send(
    context: &Context,
    pool: &ReplicaPool,
    start: &RunStart,
    decided_at: BootInstant,
) -> Result<HttpExchange, SendError> {
    let request = build(start).map_err(|error| {
        // The ingress has parsed each part of the item, so that a retry elsewhere fails in the same way: this
        // line says why.
        ::log::error!(target: "batch", "{} can't be sent: {error}. Hand it in again with a valid path and headers.", start.item.id);
        SendError::NotSent
    })?;
    let may_send = || {
        let waited = context.boot_clock.since(decided_at);
        if waited >= LATE_SEND_THRESHOLD {
            ::log::warn!(target: "batch", "{} is sent to {} {} ms after that was decided.", start.item.id, start.replica.id, waited.as_millis());
        }
        !context.metadata.is_closed(&start.replica)
    };
    pool.send(&start.replica, request, false, RUN_CONNECT_TIMEOUT, may_send).await
}

fn build(start: &RunStart) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = Request::new(Full::new(Bytes::from(start.item.body.clone())));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = start.item.path.parse()?;
    let fields = request.headers_mut();
    for (name, value) in &start.item.headers {
        let name = HeaderName::from_bytes(name.as_bytes())?;
        fields.append(name, HeaderValue::from_str(value)?);
    }
    if start.tenant.is_some() {
        fields.remove(AUTHORIZATION);
        callers::set_tenant(fields, start.tenant.as_ref());
    }
    fields.insert(HOST, start.host.parse()?);
    fields.insert(headers::REQUEST_ID, start.item.id.parse()?);
    fields.insert(headers::EXPECT_REPLICA, start.replica.name.parse()?);
    if let Some(number) = start.last_event {
        fields.insert(headers::LAST_EVENT_ID, HeaderValue::from(number));
    }
    if start.urgency != NEUTRAL_URGENCY {
        fields.insert(headers::URGENCY, HeaderValue::from(u16::from(start.urgency)));
    }
    Ok(request)
}

/// The version of events for which the replica names none.
const UNKNOWN_VERSION: u64 = 0;
/// The urgency that a replica takes where none is named.
const NEUTRAL_URGENCY: u8 = 5;

async fn read(
    pool: &ReplicaPool,
    start: &RunStart,
    exchange: HttpExchange,
    events: &mpsc::Sender<(RunId, RunEvent)>,
    traced: &mut TracedRun,
) -> RunEnd {
    let HttpExchange { response, connection } = exchange;
    if let Some(end) = end_by_head(&response, &start.item.id) {
        trace_head(traced, &end);
        return end;
    }
    let (head, mut body) = response.into_parts();
    let version = version_of_head(&head.headers, start);
    let mut reader = EventReader { start, events, version, splitter: EventSplitter::default() };
    if let Err(end) = reader.read_all(&mut body, traced).await {
        return end;
    }
    if reader.splitter.has_partial_event() || !is_framed(&head.headers) {
        traced.record_broken().await;
        return RunEnd::Broken;
    }
    traced.record_complete();
    pool.give_back(connection, &head.headers);
    RunEnd::Complete
}

/// Notes what an answer without events says of the run.
fn trace_head(traced: &mut TracedRun, end: &RunEnd) {
    match end {
        RunEnd::Rejected | RunEnd::OtherReplica => traced.record_not_run(),
        RunEnd::Failed | RunEnd::Unprocessable => traced.record_complete(),
        RunEnd::Broken | RunEnd::Complete => {}
    }
}

/// Passes the events of one answer on to the owner.
struct EventReader<'a> {
    start: &'a RunStart,
    events: &'a mpsc::Sender<(RunId, RunEvent)>,
    /// The version that the newest event, or else the head, names.
    version: u64,
    splitter: EventSplitter,
}

impl EventReader<'_> {
    /// Reads until the body ends. The error is the run's end, where the connection or an event broke or the
    /// owner has ended.
    async fn read_all(&mut self, body: &mut Incoming, traced: &mut TracedRun) -> Result<(), RunEnd> {
        while let Some(frame) = body.frame().await {
            // Why the connection broke does not matter: the run is resumed elsewhere.
            let Ok(frame) = frame else {
                traced.record_broken().await;
                return Err(RunEnd::Broken);
            };
            // Trailers carry no events.
            let Ok(bytes) = frame.into_data() else { continue };
            self.splitter.push(&bytes);
            self.forward_events().await?;
        }
        Ok(())
    }

    /// Passes on the events that are whole.
    async fn forward_events(&mut self) -> Result<(), RunEnd> {
        loop {
            let event = match self.splitter.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => return Ok(()),
                Err(error) => {
                    ::log::info!(target: "batch", "{} at {}: the events can't be read: {error}.", self.start.item.id, self.start.replica.id);
                    return Err(RunEnd::Broken);
                }
            };
            self.version = event.version.unwrap_or(self.version);
            let Some(number) = event.number else { continue };
            let output = OutputEvent { number, version: self.version, data: event.data };
            // An error says that the owner has ended.
            if self.events.send((self.start.run, RunEvent::Event(output))).await.is_err() {
                return Err(RunEnd::Broken);
            }
        }
    }
}

/// The version that the answer's head names; events that name their own go before it. Without either an event
/// counts as made by version 0, which no job accepts that asks for a version.
fn version_of_head(fields: &hyper::HeaderMap, start: &RunStart) -> u64 {
    let Some(value) = fields.get(headers::WEIGHT_VERSION) else { return UNKNOWN_VERSION };
    let version = value.to_str().ok().and_then(|version| version.trim().parse().ok());
    version.unwrap_or_else(|| {
        ::log::warn!(target: "batch", "{} at {}: the version {value:?} can't be read. Mend what the replica names.", start.item.id, start.replica.id);
        UNKNOWN_VERSION
    })
}

/// The end of a run whose answer's head says it all; `None` where events follow.
fn end_by_head(response: &Response<Incoming>, item: &str) -> Option<RunEnd> {
    let fields = response.headers();
    let status = response.status();
    let is_own = fields.get(headers::REQUEST_ID).is_some_and(|id| id.as_bytes() == item.as_bytes());
    if !is_own {
        return Some(RunEnd::Broken);
    }
    if status.as_u16() == headers::STATUS_OTHER_REPLICA {
        return Some(RunEnd::OtherReplica);
    }
    if fields.contains_key(headers::NOT_RUN) {
        return Some(RunEnd::Rejected);
    }
    let is_signed = fields.contains_key(headers::SIGNATURE);
    match status.as_u16() {
        200..=299 if is_signed => None,
        headers::STATUS_NEVER if is_signed => Some(RunEnd::Unprocessable),
        500 if is_signed => Some(RunEnd::Failed),
        _ => Some(RunEnd::Broken),
    }
}

/// Whether the end of the body differs from a connection that broke.
fn is_framed(fields: &hyper::HeaderMap) -> bool {
    fields.contains_key(hyper::header::CONTENT_LENGTH)
        || fields.contains_key(hyper::header::TRANSFER_ENCODING)
}
